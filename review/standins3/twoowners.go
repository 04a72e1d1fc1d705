//go:build review

package main

import (
	"syscall"
	"time"
)

const (
	// outages is how often the instance of the second zone is killed, and outageTime how
	// long it is down, within the site's for_s of node_kill.
	outages    = 10
	outageTime = 2 * time.Second
	// returnTime is when clients come to the instance again after its start: it takes
	// minions over after 100 ms.
	returnTime = 108 * time.Millisecond
	// crowdJobs jobs come to it then, one each crowdPause, of crowdTasks tasks each.
	crowdJobs  = 10
	crowdPause = 2 * time.Millisecond
	crowdTasks = 16
	// steadyPause is the time between two jobs of steadyTasks tasks at each of the other
	// two instances.
	steadyPause = 20 * time.Millisecond
	steadyTasks = 4
	// ownMinions is the number of minions in the second zone.
	ownMinions = 20
)

// playTwoOwners kills the instance of a zone and starts it again, several times. Its minions
// do not check their capacity.
func playTwoOwners(d *deployment, trouble bool) (bool, error) {
	d.unguarded = true
	d.publish(1.6, 400, 3000)
	for i, zone := range zones {
		count := 2
		if i == 1 {
			count = ownMinions
		}
		for range count {
			if _, err := d.addMinion(zone, "r"+zone, 16000); err != nil {
				return false, err
			}
		}
		d.addNode(zone)
	}
	if err := d.startNodes(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	defer close(stop)
	for _, n := range []*node{d.nodes[0], d.nodes[2]} {
		// The minions of the first and the third zone are full most of the time.
		d.repeat(stop, 0, func() { d.submit(n, oneStep(2, 15500, 3000, 3500)) })
	}
	time.Sleep(500 * time.Millisecond)
	for _, n := range []*node{d.nodes[0], d.nodes[2]} {
		d.repeat(stop, steadyPause, func() { go d.submit(n, oneStep(steadyTasks, 7000, 60, 1500)) })
	}
	time.Sleep(6 * time.Second)
	returning := d.nodes[1]
	for range outages {
		if trouble {
			if err := d.signal(returning, syscall.SIGKILL); err != nil {
				return false, err
			}
			<-returning.exited
		}
		time.Sleep(outageTime)
		if trouble {
			if err := d.startNode(returning); err != nil {
				return false, err
			}
		}
		time.Sleep(returnTime)
		for range crowdJobs {
			go d.submit(returning, oneStep(crowdTasks, 7000, 200, 1500))
			time.Sleep(crowdPause)
		}
		time.Sleep(2 * time.Second)
	}
	return d.overloads(), nil
}

// repeat calls f again and again, with a pause between.
func (d *deployment) repeat(stop <-chan struct{}, pause time.Duration, f func()) {
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		for {
			select {
			case <-stop:
				return
			case <-d.done:
				return
			case <-time.After(pause):
			}
			f()
		}
	}()
}

// overloads records the starts that brought a minion over its capacity, and reports whether
// there are any.
func (d *deployment) overloads() bool {
	found := 0
	for _, m := range d.minions {
		for _, r := range m.allRuns() {
			if r.used <= m.cpu {
				continue
			}
			found++
			d.rec.addf("the start of %s, run %d, with fence %d at %.1f ms brought minion %s to %d of %d", r.task, r.run, r.fence,
				float64(r.startedAt.Sub(d.rec.startedAt).Microseconds())/1000, m.id, r.used, m.cpu)
		}
	}
	d.rec.addf("%d starts brought a minion over its capacity", found)
	return found > 0
}
