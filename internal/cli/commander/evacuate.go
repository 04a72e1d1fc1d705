package commander

import (
	"errors"
	"time"

	"github.com/heatherslip/heatherslip/internal/edge/server"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

type evacuateCmd struct {
	Domain string `arg:"" optional:"" help:"Failure domain; without it, the evacuations are listed."`
	End    bool   `help:"Take the evacuation back."`
}

// Run requests the evacuation of a domain, takes it back, or lists the evacuations.
func (c *evacuateCmd) Run(r *rootCLI, inv *invocation) error {
	if c.Domain == "" {
		if c.End {
			return withExitCode(ExitUsage, errors.New("--end needs a domain"))
		}
		return c.list(r, inv)
	}
	cl := r.client()
	defer cl.Close()
	result, err := cl.Evacuate(inv.ctx, server.EvacuateBody{Domain: namer.Domain(c.Domain), End: c.End, Author: currentUser()})
	if err != nil {
		return err
	}
	switch result.Verdict {
	case server.PublishAccepted:
		return inv.printResult(result, func(t *table) { t.addRow("verdict", string(result.Verdict)) })
	case server.PublishUnconfirmed:
		return withExitCode(ExitUnknown, errors.New(result.Detail))
	default:
		return withExitCode(ExitRefused, errors.New(result.Detail))
	}
}

// list prints the evacuations in force.
func (c *evacuateCmd) list(r *rootCLI, inv *invocation) error {
	cl := r.client()
	defer cl.Close()
	evacuations, err := cl.Evacuations(inv.ctx)
	if err != nil {
		return err
	}
	return inv.printResult(evacuations, func(t *table) {
		t.addRow("DOMAIN", "EVACUATED", "BY", "AT")
		for _, e := range evacuations {
			state := "yes"
			if e.Ended {
				state = "taken back"
			}
			t.addRow(string(e.Domain), state, e.Author, e.At.Format(time.DateTime))
		}
	})
}
