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

// Report is what a run has shown.
type Report struct {
	Scenario string `json:"scenario"`
	Mode     string `json:"mode"`
	Lines    []Line `json:"lines"`
	// Wasted counts messages to workers and minions that led to no work, and
	// Useful those that did.
	Wasted int `json:"wasted"`
	Useful int `json:"useful"`
	// Doubles counts the starts of tasks, and the runs of unrepeatable
	// requests, beyond the first. It must be 0.
	Doubles int `json:"doubles"`
	// Appends counts appends to the log, and Peer messages between instances.
	Appends int `json:"appends"`
	Peer    int `json:"peer_messages"`
	Starts  int `json:"starts"`
	// Busy is the part of the minions' slots that was busy, over the run.
	Busy     float64 `json:"busy"`
	MostBusy int     `json:"most_busy"`
}

// Line is what the callers of one load saw.
type Line struct {
	Load  string `json:"load"`
	Calls int    `json:"calls"`
	Done  int    `json:"done"`
	// Part is Done over Calls.
	Part float64 `json:"part"`
	// P50, P99 and P999 are response times over the ideal, of what was done.
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	// Added are response times less the ideal, in milliseconds.
	Added50 float64 `json:"added_ms_p50"`
	Added99 float64 `json:"added_ms_p99"`
	// Refused99 is how soon refusals were answered, in milliseconds.
	Refused50 float64 `json:"refused_ms_p50"`
	Refused99 float64 `json:"refused_ms_p99"`
	// Others counts the answers that are not Done, by status and code.
	Others []Count `json:"others"`
}

// Count is how often something was answered.
type Count struct {
	What  string `json:"what"`
	Count int    `json:"count"`
}

// ratioScale keeps three decimals of a ratio in a histogram of whole numbers.
const (
	ratioScale = 1000
	maxRatio   = 1000 * ratioScale
	maxMicros  = 120_000_000
	digits     = 3
)

func (r *run) report(before, after emulator.Stats, peer int) *Report {
	rep := &Report{
		Scenario: r.scenario.Name, Mode: r.scenario.Mode,
		Wasted:  after.Workers.Refused + after.Minions.Refused - before.Workers.Refused - before.Minions.Refused,
		Useful:  after.Starts + after.Minions.Runs - before.Starts - before.Minions.Runs,
		Doubles: after.Doubles + after.Minions.Doubles, Appends: after.Appends - before.Appends,
		Peer: peer, Starts: after.Starts - before.Starts, MostBusy: after.Minions.MostBusy,
	}
	for i := range r.scenario.Loads {
		rep.Lines = append(rep.Lines, r.line(i))
	}
	rep.Busy = r.busy()
	return rep
}

// busy is the sum of the run times of what minions have done over the slot
// time that there was.
func (r *run) busy() float64 {
	var sum time.Duration
	for _, res := range r.results {
		if r.scenario.Loads[res.load].Type != "job" && res.answer.Status == coder.Done {
			sum += res.ideal
		}
	}
	slots := 0
	for _, m := range r.fleet.Platform.MinionSlots() {
		slots += m
	}
	return float64(sum) / (float64(slots) * float64(r.scenario.Length))
}

func (r *run) line(load int) Line {
	ratios := hdrhistogram.New(1, maxRatio, digits)
	added := hdrhistogram.New(1, maxMicros, digits)
	refused := hdrhistogram.New(1, maxMicros, digits)
	others := make(map[string]int)
	l := Line{Load: r.scenario.Loads[load].Name}
	for _, res := range r.results {
		if res.load != load {
			continue
		}
		l.Calls++
		switch {
		case res.err != nil:
			others["no answer"]++
		case res.answer.Status == coder.Done:
			l.Done++
			record(ratios, int64(float64(res.took)/float64(res.ideal)*ratioScale))
			record(added, (res.took - res.ideal).Microseconds())
		default:
			others[string(res.answer.Status)+" "+string(res.answer.Code)]++
			if res.answer.Code == coder.CodeOverload {
				record(refused, res.took.Microseconds())
			}
		}
	}
	l.Part = float64(l.Done) / float64(max(1, l.Calls))
	l.P50, l.P90, l.P99, l.P999 = quantile(ratios, 50), quantile(ratios, 90), quantile(ratios, 99), quantile(ratios, 99.9)
	l.Added50, l.Added99 = quantile(added, 50), quantile(added, 99)
	l.Refused50, l.Refused99 = quantile(refused, 50), quantile(refused, 99)
	l.Others = sortedCounts(others)
	return l
}

func record(h *hdrhistogram.Histogram, v int64) {
	// What lies beyond the histogram counts as its largest value.
	if err := h.RecordValue(v); err != nil {
		_ = h.RecordValue(h.HighestTrackableValue())
	}
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / ratioScale
}

func sortedCounts(m map[string]int) []Count {
	out := make([]Count, 0, len(m))
	for what, n := range m {
		out = append(out, Count{what, n})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].What < out[j].What })
	return out
}

// Kept is what a kind keeps of its undisturbed service in a flood.
type Kept struct {
	Load string `json:"load"`
	// Throughput is what was done in the flood over what was done without.
	Throughput float64 `json:"throughput"`
	CalmP99    float64 `json:"calm_p99"`
	FloodP99   float64 `json:"flood_p99"`
}

// Compare returns what each load of the calm run keeps in the other.
func Compare(calm, flood *Report) []Kept {
	var out []Kept
	for _, c := range calm.Lines {
		for _, f := range flood.Lines {
			if c.Load == f.Load {
				out = append(out, Kept{c.Load, float64(f.Done) / float64(max(1, c.Done)), c.P99, f.P99})
			}
		}
	}
	return out
}

// WriteCSV writes a report's lines for spreadsheets.
func (rep *Report) WriteCSV(w io.Writer) error {
	out := csv.NewWriter(w)
	rows := [][]string{{"scenario", "mode", "load", "calls", "done", "p50", "p90", "p99", "p999", "added_ms_p50", "added_ms_p99", "others"}}
	for _, l := range rep.Lines {
		rows = append(rows, []string{
			rep.Scenario, rep.Mode, l.Load, strconv.Itoa(l.Calls), strconv.Itoa(l.Done),
			decimal(l.P50), decimal(l.P90), decimal(l.P99), decimal(l.P999), decimal(l.Added50), decimal(l.Added99), l.OthersText(),
		})
	}
	if err := out.WriteAll(rows); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

func decimal(f float64) string { return strconv.FormatFloat(f, 'f', digits, 64) }

// OthersText lists the answers that are not Done on one line.
func (l *Line) OthersText() string {
	var parts []string
	for _, c := range l.Others {
		parts = append(parts, fmt.Sprintf("%s: %d", c.What, c.Count))
	}
	return strings.Join(parts, ", ")
}

// Size of a plot.
const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// Plot writes a bar for each load's p99 over the ideal to a file, whose name
// ends in .svg or .png.
func (rep *Report) Plot(path string) error {
	p := plot.New()
	p.Title.Text = "response time over the ideal, " + rep.Scenario
	p.Y.Label.Text = "p50 and p99"
	p.Y.Min = 0
	var p50, p99 plotter.Values
	var names []string
	for _, l := range rep.Lines {
		p50 = append(p50, l.P50)
		p99 = append(p99, l.P99)
		names = append(names, l.Load)
	}
	const width = 0.3 * vg.Inch
	low, err := plotter.NewBarChart(p50, width)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	high, err := plotter.NewBarChart(p99, width)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	low.Offset, high.Offset = -width/2, width/2
	high.Color = plotter.DefaultLineStyle.Color
	p.Add(low, high)
	p.Legend.Add("p50", low)
	p.Legend.Add("p99", high)
	p.NominalX(names...)
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}
