package commander

import (
	"errors"
	"time"

	"github.com/heatherslip/heatherslip/internal/bench/demonstrator"
)

type demoCmd struct {
	Verbose bool `help:"Print the log lines of all instances."`
}

// demoTime bounds the demonstration.
const demoTime = 60 * time.Second

// Run shows the main job for each of the two users.
func (c *demoCmd) Run(s *screen) error {
	report, err := demonstrator.Run(s.ctx, demonstrator.Options{Out: s.err, Verbose: c.Verbose, Limit: demoTime})
	if err != nil {
		return fail(ExitFailed, err)
	}
	if err := s.show(report, func(t *table) {
		t.row("USER", "ASKED", "CAME BACK", "TIME / IDEAL", "WASTED", "PROMISE", "HELD")
		for _, l := range report.Lines {
			t.row(l.User, l.Asked, l.Got, l.Ratio, l.Wasted, l.Promise, l.Verdict())
		}
	}); err != nil {
		return err
	}
	if !report.Held() {
		return fail(ExitFailed, errors.New("a promise did not hold"))
	}
	return nil
}
