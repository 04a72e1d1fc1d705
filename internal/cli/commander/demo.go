package commander

import (
	"errors"
	"time"

	"github.com/heatherslip/heatherslip/internal/bench/demonstrator"
)

type demoCmd struct {
	Verbose bool `help:"Print the log lines of all instances."`
}

const demoTimeout = 60 * time.Second

// Run runs the main job of both example users on embedded instances and fails if
// a demonstrated promise does not hold.
func (c *demoCmd) Run(inv *invocation) error {
	report, err := demonstrator.Run(inv.ctx, demonstrator.Options{Progress: inv.stderr, Verbose: c.Verbose, Timeout: demoTimeout})
	if err != nil {
		return withExitCode(ExitFailed, err)
	}
	if err := inv.printResult(report, func(t *table) {
		t.addRow("USER", "ASKED", "CAME BACK", "TIME / IDEAL", "WASTED", "PROMISE", "HELD")
		for _, l := range report.Results {
			t.addRow(l.User, l.Workload, l.Outcome, l.TimeRatio, l.WastedMessages, l.Promise, l.HeldText())
		}
	}); err != nil {
		return err
	}
	if !report.AllHeld() {
		return withExitCode(ExitFailed, errors.New("at least one promise did not hold"))
	}
	return nil
}
