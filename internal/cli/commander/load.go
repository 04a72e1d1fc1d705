package commander

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/rs/zerolog"

	"github.com/heatherslip/heatherslip/internal/bench/loadtester"
)

type loadCmd struct {
	Scenario string `arg:"" optional:"" help:"Scenario or INI file; by default the scenarios are listed."`
	Mode     string `help:"How submissions get their runner: heir or log." enum:"heir,log," default:""`
	Seed     uint64 `help:"Seed of the arrivals; by default the scenario's."`
	Log      string `help:"Write the decisions of all instances to this file." type:"path"`
	CSV      string `help:"Write the lines to this file." type:"path"`
	Plot     string `help:"Write a plot to this file, .svg or .png." type:"path"`
}

// loadOutput holds the reports of a scenario; its encoding is the output of --json.
type loadOutput struct {
	Report      *loadtester.Report           `json:"report"`
	Baseline    *loadtester.Report           `json:"calm,omitempty"`
	Comparisons []loadtester.FloodComparison `json:"kept,omitempty"`
}

// Run runs a scenario and prints its report. A scenario with a flood is first run
// without it, as the baseline that the other loads are compared with.
func (c *loadCmd) Run(inv *invocation) error {
	if c.Scenario == "" {
		return inv.printResult(loadtester.ScenarioNames(), func(t *table) { t.addRow(strings.Join(loadtester.ScenarioNames(), "\n")) })
	}
	scenario, err := loadtester.ReadScenario(c.Scenario)
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	if c.Mode != "" {
		scenario.Mode = c.Mode
	}
	if c.Seed != 0 {
		scenario.Seed = c.Seed
	}
	if c.Log != "" {
		f, err := os.Create(c.Log)
		if err != nil {
			return withExitCode(ExitUsage, fmt.Errorf("write log: %w", err))
		}
		defer f.Close()
		scenario.Log = zerolog.New(zerolog.SyncWriter(f)).With().Timestamp().Logger()
	}
	var output loadOutput
	if scenario.HasFlood() {
		if output.Baseline, err = loadtester.Run(inv.ctx, scenario.WithoutFloods()); err != nil {
			return withExitCode(ExitFailed, err)
		}
	}
	if output.Report, err = loadtester.Run(inv.ctx, scenario); err != nil {
		return withExitCode(ExitFailed, err)
	}
	if output.Baseline != nil {
		output.Comparisons = loadtester.CompareReports(output.Baseline, output.Report)
	}
	if err := c.writeFiles(output.Report); err != nil {
		return withExitCode(ExitFailed, err)
	}
	if err := inv.printResult(output, func(t *table) { output.addRows(t) }); err != nil {
		return err
	}
	if output.Report.DuplicateRuns > 0 {
		return withExitCode(ExitFailed, errors.New("a task or an unrepeatable request ran more than once"))
	}
	return nil
}

// writeFiles writes the report to the CSV and plot files that the flags name.
func (c *loadCmd) writeFiles(report *loadtester.Report) error {
	if c.CSV != "" {
		f, err := os.Create(c.CSV)
		if err != nil {
			return fmt.Errorf("write CSV: %w", err)
		}
		defer f.Close()
		if err := report.WriteCSV(f); err != nil {
			return err
		}
	}
	if c.Plot != "" {
		return report.WritePlot(c.Plot)
	}
	return nil
}

func (o *loadOutput) addRows(t *table) {
	report := o.Report
	t.addRow("LOAD", "CALLS", "DONE", "P50/IDEAL", "P90/IDEAL", "P99/IDEAL", "P99.9/IDEAL", "ADDED P50 MS", "ADDED P99 MS", "REFUSED P50 MS", "P99", "OTHER ANSWERS")
	for _, l := range report.Results {
		t.addRow(l.Load, fmt.Sprint(l.Calls), fmt.Sprint(l.Done), fmt.Sprintf("%.3f", l.RatioP50), fmt.Sprintf("%.3f", l.RatioP90), fmt.Sprintf("%.3f", l.RatioP99),
			fmt.Sprintf("%.3f", l.RatioP999), fmt.Sprintf("%.2f", l.AddedMillisP50), fmt.Sprintf("%.2f", l.AddedMillisP99),
			fmt.Sprintf("%.2f", l.RefusalMillisP50), fmt.Sprintf("%.2f", l.RefusalMillisP99), l.OtherAnswersText())
	}
	t.addRow(fmt.Sprintf("mode %s; wasted %d for %d useful; doubles %d; appends %d; peer messages %d; task starts %d; slots busy %.2f; most on one minion %d",
		report.Mode, report.WastedMessages, report.UsefulMessages, report.DuplicateRuns, report.LogAppends, report.PeerMessages, report.TaskStarts, report.SlotUtilization, report.MaxBusySlots))
	for _, c := range o.Comparisons {
		t.addRow(fmt.Sprintf("%s keeps %.3f of its undisturbed service; p99 %.3f calm, %.3f in the flood", c.Load, c.ThroughputRatio, c.BaselineP99, c.FloodP99))
	}
}
