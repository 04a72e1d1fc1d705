package commander

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/rs/zerolog"

	"github.com/heatherslip/heatherslip/internal/bench/loader"
)

type loadCmd struct {
	Scenario string `arg:"" optional:"" help:"Scenario or INI file; by default the scenarios are listed."`
	Mode     string `help:"How submissions get their runner: heir or log." enum:"heir,log," default:""`
	Seed     uint64 `help:"Seed of the arrivals; by default the scenario's."`
	Log      string `help:"Write the decisions of all instances to this file." type:"path"`
	CSV      string `help:"Write the lines to this file." type:"path"`
	Plot     string `help:"Write a plot to this file, .svg or .png." type:"path"`
}

// outcome is what the command prints for programs.
type outcome struct {
	Report *loader.Report `json:"report"`
	Calm   *loader.Report `json:"calm,omitempty"`
	Kept   []loader.Kept  `json:"kept,omitempty"`
}

// Run runs a scenario, and a second time without its floods where it has one.
func (c *loadCmd) Run(s *screen) error {
	if c.Scenario == "" {
		return s.show(loader.Names(), func(t *table) { t.row(strings.Join(loader.Names(), "\n")) })
	}
	scenario, err := loader.Open(c.Scenario)
	if err != nil {
		return fail(ExitUsage, err)
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
			return fail(ExitUsage, fmt.Errorf("write log: %w", err))
		}
		defer f.Close()
		scenario.Log = zerolog.New(zerolog.SyncWriter(f)).With().Timestamp().Logger()
	}
	var out outcome
	if scenario.HasFlood() {
		if out.Calm, err = loader.Run(s.ctx, scenario.WithoutFloods()); err != nil {
			return fail(ExitFailed, err)
		}
	}
	if out.Report, err = loader.Run(s.ctx, scenario); err != nil {
		return fail(ExitFailed, err)
	}
	if out.Calm != nil {
		out.Kept = loader.Compare(out.Calm, out.Report)
	}
	if err := c.files(out.Report); err != nil {
		return fail(ExitFailed, err)
	}
	if err := s.show(out, func(t *table) { out.fill(t) }); err != nil {
		return err
	}
	if out.Report.Doubles > 0 {
		return fail(ExitFailed, errors.New("a task started twice"))
	}
	return nil
}

func (c *loadCmd) files(rep *loader.Report) error {
	if c.CSV != "" {
		f, err := os.Create(c.CSV)
		if err != nil {
			return fmt.Errorf("write CSV: %w", err)
		}
		defer f.Close()
		if err := rep.WriteCSV(f); err != nil {
			return err
		}
	}
	if c.Plot != "" {
		return rep.Plot(c.Plot)
	}
	return nil
}

func (o *outcome) fill(t *table) {
	rep := o.Report
	t.row("LOAD", "CALLS", "DONE", "P50/IDEAL", "P90/IDEAL", "P99/IDEAL", "P99.9/IDEAL", "ADDED P50 MS", "ADDED P99 MS", "REFUSED P50 MS", "P99", "OTHER ANSWERS")
	for _, l := range rep.Lines {
		t.row(l.Load, fmt.Sprint(l.Calls), fmt.Sprint(l.Done), fmt.Sprintf("%.3f", l.P50), fmt.Sprintf("%.3f", l.P90), fmt.Sprintf("%.3f", l.P99),
			fmt.Sprintf("%.3f", l.P999), fmt.Sprintf("%.2f", l.Added50), fmt.Sprintf("%.2f", l.Added99),
			fmt.Sprintf("%.2f", l.Refused50), fmt.Sprintf("%.2f", l.Refused99), l.OthersText())
	}
	t.row(fmt.Sprintf("mode %s; wasted %d for %d useful; doubles %d; appends %d; peer messages %d; task starts %d; slots busy %.2f; most on one minion %d",
		rep.Mode, rep.Wasted, rep.Useful, rep.Doubles, rep.Appends, rep.Peer, rep.Starts, rep.Busy, rep.MostBusy))
	for _, k := range o.Kept {
		t.row(fmt.Sprintf("%s keeps %.3f of its undisturbed service; p99 %.3f calm, %.3f in the flood", k.Load, k.Throughput, k.CalmP99, k.FloodP99))
	}
}
