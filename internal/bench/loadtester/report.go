package loadtester

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
	Results  []LoadResult `json:"lines"`
	// WastedMessages is the number of task starts and requests that workers and minions
	// refused.
	WastedMessages int `json:"wasted"`
	// UsefulMessages is the number of task starts and requests that workers and minions
	// accepted.
	UsefulMessages int `json:"useful"`
	// DuplicateRuns is the number of task starts, and of runs of unrepeatable requests,
	// beyond the first. It must be 0.
	DuplicateRuns int `json:"doubles"`
	// LogAppends is the number of appends to the log.
	LogAppends int `json:"appends"`
	// PeerMessages is the number of messages between instances.
	PeerMessages int `json:"peer_messages"`
	TaskStarts   int `json:"starts"`
	// SlotUtilization is the average fraction of the minions' slots that was busy during
	// the run.
	SlotUtilization float64 `json:"busy"`
	// MaxBusySlots is the largest number of concurrent requests on one minion.
	MaxBusySlots int `json:"most_busy"`
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
	RatioP50  float64 `json:"p50"`
	RatioP90  float64 `json:"p90"`
	RatioP99  float64 `json:"p99"`
	RatioP999 float64 `json:"p999"`
	// Percentiles of the response time minus the ideal time, in milliseconds, of the calls
	// that were done.
	AddedMillisP50 float64 `json:"added_ms_p50"`
	AddedMillisP99 float64 `json:"added_ms_p99"`
	// Percentiles of the response time of refusals because of overload, in milliseconds.
	RefusalMillisP50 float64 `json:"refused_ms_p50"`
	RefusalMillisP99 float64 `json:"refused_ms_p99"`
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
	// precision is the number of significant digits in histograms and of decimals in
	// the CSV file.
	precision = 3
)

// buildReport builds the report from the results and from the counts that the run added.
func (r *scenarioRun) buildReport(statsBefore, statsAfter emulator.Stats, peerMessages int) *Report {
	report := &Report{
		Scenario: r.scenario.Name, Mode: r.scenario.Mode,
		WastedMessages: statsAfter.Workers.RefusedStarts + statsAfter.Minions.RefusedRequests - statsBefore.Workers.RefusedStarts - statsBefore.Minions.RefusedRequests,
		UsefulMessages: statsAfter.Starts + statsAfter.Minions.Runs - statsBefore.Starts - statsBefore.Minions.Runs,
		DuplicateRuns:  statsAfter.DuplicateStarts + statsAfter.Minions.DuplicateRuns, LogAppends: statsAfter.Appends - statsBefore.Appends,
		PeerMessages: peerMessages, TaskStarts: statsAfter.Starts - statsBefore.Starts, MaxBusySlots: statsAfter.Minions.MaxInFlight,
	}
	for i := range r.scenario.Loads {
		report.Results = append(report.Results, r.summarizeLoad(i))
	}
	report.SlotUtilization = r.slotUtilization()
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
	result.RatioP50, result.RatioP90, result.RatioP99, result.RatioP999 = scaledQuantile(responseRatios, 50), scaledQuantile(responseRatios, 90), scaledQuantile(responseRatios, 99), scaledQuantile(responseRatios, 99.9)
	result.AddedMillisP50, result.AddedMillisP99 = scaledQuantile(addedLatencies, 50), scaledQuantile(addedLatencies, 99)
	result.RefusalMillisP50, result.RefusalMillisP99 = scaledQuantile(refusalLatencies, 50), scaledQuantile(refusalLatencies, 99)
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

// FloodComparison compares the results of a load during a flood with its results
// without the flood.
type FloodComparison struct {
	Load string `json:"load"`
	// ThroughputRatio is the number of calls done during the flood divided by the number
	// done without it.
	ThroughputRatio float64 `json:"throughput"`
	BaselineP99     float64 `json:"calm_p99"`
	FloodP99        float64 `json:"flood_p99"`
}

// CompareReports compares the loads that a run without floods and a run with floods share.
func CompareReports(baseline, flood *Report) []FloodComparison {
	var comparisons []FloodComparison
	for _, baselineResult := range baseline.Results {
		for _, floodResult := range flood.Results {
			if baselineResult.Load == floodResult.Load {
				comparisons = append(comparisons, FloodComparison{baselineResult.Load, float64(floodResult.Done) / float64(max(1, baselineResult.Done)), baselineResult.RatioP99, floodResult.RatioP99})
			}
		}
	}
	return comparisons
}

// WriteCSV writes the results of the loads as CSV, one row each.
func (rep *Report) WriteCSV(w io.Writer) error {
	csvWriter := csv.NewWriter(w)
	rows := [][]string{{"scenario", "mode", "load", "calls", "done", "p50", "p90", "p99", "p999", "added_ms_p50", "added_ms_p99", "others"}}
	for _, l := range rep.Results {
		rows = append(rows, []string{
			rep.Scenario, rep.Mode, l.Load, strconv.Itoa(l.Calls), strconv.Itoa(l.Done),
			formatDecimal(l.RatioP50), formatDecimal(l.RatioP90), formatDecimal(l.RatioP99), formatDecimal(l.RatioP999), formatDecimal(l.AddedMillisP50), formatDecimal(l.AddedMillisP99), l.OtherAnswersText(),
		})
	}
	if err := csvWriter.WriteAll(rows); err != nil {
		return fmt.Errorf("write CSV: %w", err)
	}
	return nil
}

func formatDecimal(f float64) string { return strconv.FormatFloat(f, 'f', precision, 64) }

// OtherAnswersText returns the counts of the answers that are not done on one line.
func (l *LoadResult) OtherAnswersText() string {
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

// WritePlot writes a bar chart with the P50 and P99 of each load to a file. The format
// follows from the file's extension, .svg or .png.
func (rep *Report) WritePlot(path string) error {
	p := plot.New()
	p.Title.Text = "response time / ideal time, " + rep.Scenario
	p.Y.Label.Text = "p50 and p99"
	p.Y.Min = 0
	var p50, p99 plotter.Values
	var names []string
	for _, l := range rep.Results {
		p50 = append(p50, l.RatioP50)
		p99 = append(p99, l.RatioP99)
		names = append(names, l.Load)
	}
	const barWidth = 0.3 * vg.Inch
	p50Bars, err := plotter.NewBarChart(p50, barWidth)
	if err != nil {
		return fmt.Errorf("plot p50: %w", err)
	}
	p99Bars, err := plotter.NewBarChart(p99, barWidth)
	if err != nil {
		return fmt.Errorf("plot p99: %w", err)
	}
	p50Bars.Offset, p99Bars.Offset = -barWidth/2, barWidth/2
	p99Bars.Color = plotter.DefaultLineStyle.Color
	p.Add(p50Bars, p99Bars)
	p.Legend.Add("p50", p50Bars)
	p.Legend.Add("p99", p99Bars)
	p.NominalX(names...)
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("save plot: %w", err)
	}
	return nil
}
