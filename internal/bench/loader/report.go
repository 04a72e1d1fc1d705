package loader

import (
	"encoding/csv"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/heatherslip/heatherslip/internal/standin/emulator"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
)

// Report is the result of a run of a scenario.
type Report struct {
	Scenario string       `json:"scenario"`
	Mode     string       `json:"mode"`
	Lines    []LoadResult `json:"lines"`
	// Wasted is the number of task starts and requests that workers and minions refused.
	Wasted int `json:"wasted"`
	// Useful is the number of task starts and requests that workers and minions accepted.
	Useful int `json:"useful"`
	// Doubles is the number of task starts, and of runs of unrepeatable requests, beyond
	// the first. It must be 0.
	Doubles int `json:"doubles"`
	// Appends is the number of appends to the log.
	Appends int `json:"appends"`
	// Peer is the number of messages between instances.
	Peer   int `json:"peer_messages"`
	Starts int `json:"starts"`
	// Busy is the average fraction of the minions' slots that was busy during the run.
	Busy float64 `json:"busy"`
	// MostBusy is the largest number of concurrent requests on one minion.
	MostBusy int `json:"most_busy"`
}

// LoadResult summarizes the responses to the calls of one load.
type LoadResult struct {
	Load  string `json:"load"`
	Calls int    `json:"calls"`
	Done  int    `json:"done"`
	// DoneFraction is Done divided by Calls.
	DoneFraction float64 `json:"part"`
	// Percentiles of the response time divided by the ideal time, of the calls that were
	// done.
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	// Percentiles of the response time minus the ideal time, in milliseconds, of the calls
	// that were done.
	Added50 float64 `json:"added_ms_p50"`
	Added99 float64 `json:"added_ms_p99"`
	// Percentiles of the response time of refusals because of overload, in milliseconds.
	Refused50 float64 `json:"refused_ms_p50"`
	Refused99 float64 `json:"refused_ms_p99"`
	// OtherAnswers counts the answers that are not done, by status and code.
	OtherAnswers []AnswerCount `json:"others"`
}

// AnswerCount is the number of calls that got an answer, given as status and code.
type AnswerCount struct {
	Answer string `json:"what"`
	Count  int    `json:"count"`
}

// Histograms store whole numbers: ratios in thousandths, which keeps three decimals, and
// times in microseconds.
const (
	// ratioScale also converts microseconds to milliseconds.
	ratioScale       = 1000
	maxScaledRatio   = 1000 * ratioScale
	maxLatencyMicros = 120_000_000
	precision        = 3
)

// buildReport builds the report from the results and from the counts that the run added.
func (r *scenarioRun) buildReport(statsBefore, statsAfter emulator.Stats, peerMessages int) *Report {
	report := &Report{
		Scenario: r.scenario.Name, Mode: r.scenario.Mode,
		Wasted:  statsAfter.Workers.Refused + statsAfter.Minions.Refused - statsBefore.Workers.Refused - statsBefore.Minions.Refused,
		Useful:  statsAfter.Starts + statsAfter.Minions.Runs - statsBefore.Starts - statsBefore.Minions.Runs,
		Doubles: statsAfter.Doubles + statsAfter.Minions.Doubles, Appends: statsAfter.Appends - statsBefore.Appends,
		Peer: peerMessages, Starts: statsAfter.Starts - statsBefore.Starts, MostBusy: statsAfter.Minions.MostBusy,
	}
	for i := range r.scenario.Loads {
		report.Lines = append(report.Lines, r.summarizeLoad(i))
	}
	report.Busy = r.slotUtilization()
	return report
}

// slotUtilization returns the total run time of the requests that minions have completed,
// divided by the time that all their slots offer during the scenario.
func (r *scenarioRun) slotUtilization() float64 {
	var busyTime time.Duration
	for _, call := range r.results {
		if r.scenario.Loads[call.loadIndex].Type != "job" && call.answer.Status == coder.StatusDone {
			busyTime += call.idealTime
		}
	}
	slots := 0
	for _, minionSlots := range r.fleet.Platform.MinionSlots() {
		slots += minionSlots
	}
	return float64(busyTime) / (float64(slots) * float64(r.scenario.Duration))
}

// summarizeLoad summarizes the calls of a load.
func (r *scenarioRun) summarizeLoad(loadIndex int) LoadResult {
	responseRatios := hdrhistogram.New(1, maxScaledRatio, precision)
	addedLatencies := hdrhistogram.New(1, maxLatencyMicros, precision)
	refusalLatencies := hdrhistogram.New(1, maxLatencyMicros, precision)
	otherAnswers := make(map[string]int)
	result := LoadResult{Load: r.scenario.Loads[loadIndex].Name}
	for _, call := range r.results {
		if call.loadIndex != loadIndex {
			continue
		}
		result.Calls++
		switch {
		case call.err != nil:
			otherAnswers["no answer"]++
		case call.answer.Status == coder.StatusDone:
			result.Done++
			recordClamped(responseRatios, int64(float64(call.responseTime)/float64(call.idealTime)*ratioScale))
			recordClamped(addedLatencies, (call.responseTime - call.idealTime).Microseconds())
		default:
			otherAnswers[string(call.answer.Status)+" "+string(call.answer.Code)]++
			if call.answer.Code == coder.CodeOverload {
				recordClamped(refusalLatencies, call.responseTime.Microseconds())
			}
		}
	}
	result.DoneFraction = float64(result.Done) / float64(max(1, result.Calls))
	result.P50, result.P90, result.P99, result.P999 = scaledQuantile(responseRatios, 50), scaledQuantile(responseRatios, 90), scaledQuantile(responseRatios, 99), scaledQuantile(responseRatios, 99.9)
	result.Added50, result.Added99 = scaledQuantile(addedLatencies, 50), scaledQuantile(addedLatencies, 99)
	result.Refused50, result.Refused99 = scaledQuantile(refusalLatencies, 50), scaledQuantile(refusalLatencies, 99)
	result.OtherAnswers = sortAnswerCounts(otherAnswers)
	return result
}

// recordClamped records a value, or the histogram's largest value if that is smaller.
func recordClamped(h *hdrhistogram.Histogram, value int64) {
	if err := h.RecordValue(value); err != nil {
		_ = h.RecordValue(h.HighestTrackableValue())
	}
}

// scaledQuantile returns a percentile of a histogram divided by ratioScale: a ratio, or
// milliseconds if the histogram is in microseconds.
func scaledQuantile(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / ratioScale
}

func sortAnswerCounts(counts map[string]int) []AnswerCount {
	sorted := make([]AnswerCount, 0, len(counts))
	for answer, n := range counts {
		sorted = append(sorted, AnswerCount{answer, n})
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Answer < sorted[j].Answer })
	return sorted
}

// Kept compares the results of a load during a flood with its results without the flood.
type Kept struct {
	Load string `json:"load"`
	// Throughput is the number of calls done during the flood divided by the number done
	// without it.
	Throughput float64 `json:"throughput"`
	CalmP99    float64 `json:"calm_p99"`
	FloodP99   float64 `json:"flood_p99"`
}

// Compare compares the loads that a run without floods and a run with floods share.
func Compare(baseline, flood *Report) []Kept {
	var comparisons []Kept
	for _, baselineResult := range baseline.Lines {
		for _, floodResult := range flood.Lines {
			if baselineResult.Load == floodResult.Load {
				comparisons = append(comparisons, Kept{baselineResult.Load, float64(floodResult.Done) / float64(max(1, baselineResult.Done)), baselineResult.P99, floodResult.P99})
			}
		}
	}
	return comparisons
}

// WriteCSV writes the results of the loads as CSV, one row each.
func (rep *Report) WriteCSV(w io.Writer) error {
	csvWriter := csv.NewWriter(w)
	rows := [][]string{{"scenario", "mode", "load", "calls", "done", "p50", "p90", "p99", "p999", "added_ms_p50", "added_ms_p99", "others"}}
	for _, l := range rep.Lines {
		rows = append(rows, []string{
			rep.Scenario, rep.Mode, l.Load, strconv.Itoa(l.Calls), strconv.Itoa(l.Done),
			formatDecimal(l.P50), formatDecimal(l.P90), formatDecimal(l.P99), formatDecimal(l.P999), formatDecimal(l.Added50), formatDecimal(l.Added99), l.OthersText(),
		})
	}
	if err := csvWriter.WriteAll(rows); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

func formatDecimal(f float64) string { return strconv.FormatFloat(f, 'f', precision, 64) }

// OthersText returns the counts of the answers that are not done on one line.
func (l *LoadResult) OthersText() string {
	var parts []string
	for _, c := range l.OtherAnswers {
		parts = append(parts, fmt.Sprintf("%s: %d", c.Answer, c.Count))
	}
	return strings.Join(parts, ", ")
}

// Size of the plot.
const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// Plot writes a bar chart with the P50 and P99 of each load to a file. The format follows
// from the file's extension, .svg or .png.
func (rep *Report) Plot(path string) error {
	p := plot.New()
	p.Title.Text = "response time / ideal time, " + rep.Scenario
	p.Y.Label.Text = "p50 and p99"
	p.Y.Min = 0
	var p50, p99 plotter.Values
	var names []string
	for _, l := range rep.Lines {
		p50 = append(p50, l.P50)
		p99 = append(p99, l.P99)
		names = append(names, l.Load)
	}
	const barWidth = 0.3 * vg.Inch
	p50Bars, err := plotter.NewBarChart(p50, barWidth)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	p99Bars, err := plotter.NewBarChart(p99, barWidth)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	p50Bars.Offset, p99Bars.Offset = -barWidth/2, barWidth/2
	p99Bars.Color = plotter.DefaultLineStyle.Color
	p.Add(p50Bars, p99Bars)
	p.Legend.Add("p50", p50Bars)
	p.Legend.Add("p99", p99Bars)
	p.NominalX(names...)
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}
