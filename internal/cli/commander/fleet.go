package commander

import (
	"fmt"
	"strconv"
)

type instancesCmd struct{}

// Run lists the entry instances that the called instance sees.
func (c *instancesCmd) Run(r *rootCLI, inv *invocation) error {
	cl := r.client()
	defer cl.Close()
	lines, err := cl.Instances(inv.ctx)
	if err != nil {
		return err
	}
	return inv.printResult(lines, func(t *table) {
		t.addRow("INCARNATION", "DOMAIN", "PEER", "SELF", "SETTLED", "RETIRED")
		for _, l := range lines {
			t.addRow(string(l.Incarnation), string(l.Domain), l.PeerAddress, strconv.FormatBool(l.Self),
				strconv.FormatBool(l.Synced), strconv.FormatBool(l.Retired))
		}
	})
}

type workersCmd struct{}

// Run lists the workers that the called instance sees.
func (c *workersCmd) Run(r *rootCLI, inv *invocation) error {
	cl := r.client()
	defer cl.Close()
	lines, err := cl.Workers(inv.ctx)
	if err != nil {
		return err
	}
	return inv.printResult(lines, func(t *table) {
		t.addRow("WORKER", "RACK", "LEASE", "LEAVING", "ASIDE", "RUNNING", "FREE CORES")
		for _, l := range lines {
			t.addRow(string(l.Name), l.Rack, strconv.FormatBool(l.HasLease), strconv.FormatBool(l.Draining),
				strconv.FormatBool(l.Quarantined), strconv.Itoa(l.RunningTasks), fmt.Sprintf("%.1f", float64(l.FreeCores)/1000))
		}
	})
}

type minionsCmd struct{}

// Run lists the minions that the called instance sees.
func (c *minionsCmd) Run(r *rootCLI, inv *invocation) error {
	cl := r.client()
	defer cl.Close()
	lines, err := cl.Minions(inv.ctx)
	if err != nil {
		return err
	}
	return inv.printResult(lines, func(t *table) {
		t.addRow("MINION", "SERVICE", "LEAVING", "IN FLIGHT", "SHARE", "SLOTS")
		for _, l := range lines {
			t.addRow(string(l.Name), string(l.Service), strconv.FormatBool(l.Draining),
				strconv.Itoa(l.InFlight), strconv.Itoa(l.SlotShare), strconv.Itoa(l.Slots))
		}
	})
}

type drainCmd struct{}

// Run drains the called instance and waits until it has drained.
func (c *drainCmd) Run(r *rootCLI, inv *invocation) error {
	cl := r.client()
	defer cl.Close()
	stopProgress := inv.showProgress("waiting for work in flight")
	err := cl.Drain(inv.ctx)
	stopProgress()
	if err != nil {
		return withExitCode(ExitFailed, err)
	}
	fmt.Fprintln(inv.stdout, "drained")
	return nil
}
