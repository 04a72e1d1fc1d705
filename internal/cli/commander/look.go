package commander

import (
	"fmt"
	"strconv"
)

type instancesCmd struct{}

// Run lists the entry instances.
func (c *instancesCmd) Run(r *root, s *screen) error {
	cl := r.client()
	defer cl.Close()
	lines, err := cl.Instances(s.ctx)
	if err != nil {
		return err
	}
	return s.show(lines, func(t *table) {
		t.row("INCARNATION", "DOMAIN", "PEER", "SELF", "SETTLED", "RETIRED")
		for _, l := range lines {
			t.row(string(l.Incarnation), string(l.Domain), l.Peer, strconv.FormatBool(l.Self),
				strconv.FormatBool(l.Settled), strconv.FormatBool(l.Retired))
		}
	})
}

type workersCmd struct{}

// Run lists the workers.
func (c *workersCmd) Run(r *root, s *screen) error {
	cl := r.client()
	defer cl.Close()
	lines, err := cl.Workers(s.ctx)
	if err != nil {
		return err
	}
	return s.show(lines, func(t *table) {
		t.row("WORKER", "RACK", "LEASE", "LEAVING", "ASIDE", "RUNNING", "FREE CORES")
		for _, l := range lines {
			t.row(string(l.Name), l.Rack, strconv.FormatBool(l.Lease), strconv.FormatBool(l.Leaving),
				strconv.FormatBool(l.Aside), strconv.Itoa(l.Running), fmt.Sprintf("%.1f", float64(l.Cores)/1000))
		}
	})
}

type minionsCmd struct{}

// Run lists the minions.
func (c *minionsCmd) Run(r *root, s *screen) error {
	cl := r.client()
	defer cl.Close()
	lines, err := cl.Minions(s.ctx)
	if err != nil {
		return err
	}
	return s.show(lines, func(t *table) {
		t.row("MINION", "SERVICE", "LEAVING", "IN FLIGHT", "SHARE", "SLOTS")
		for _, l := range lines {
			t.row(string(l.Name), string(l.Service), strconv.FormatBool(l.Leaving),
				strconv.Itoa(l.InFlight), strconv.Itoa(l.Share), strconv.Itoa(l.Slots))
		}
	})
}

type drainCmd struct{}

// Run drains the instance and waits until it has left.
func (c *drainCmd) Run(r *root, s *screen) error {
	cl := r.client()
	defer cl.Close()
	stop := s.progress("waiting for work in flight")
	err := cl.Drain(s.ctx)
	stop()
	if err != nil {
		return fail(ExitFailed, err)
	}
	fmt.Fprintln(s.out, "drained")
	return nil
}
