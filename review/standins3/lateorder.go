//go:build review

package main

import (
	"fmt"
	"time"
)

const (
	// downTime is how long the minion is down, the site's for_s of srv_crash.
	downTime = 4500 * time.Millisecond
	// lateAfterBirth is how long after its next start the minion carries the order out.
	lateAfterBirth = 200 * time.Millisecond
	// entryAfterBirth is how long after its next start its entry is in the store.
	entryAfterBirth = 500 * time.Millisecond
)

// playLateOrder leaves a start unanswered. Its minion crashes and carries it out in its next
// life, while the run that has taken its place is at work.
func playLateOrder(d *deployment, trouble bool) (bool, error) {
	if err := d.startThreeZones(3, 3, 400, 20000); err != nil {
		return false, err
	}
	// The start that is late is one of some thirty.
	var others []<-chan reply
	for n := range 10 {
		others = append(others, d.submitAsync(d.nodes[n%3], oneStep(3, 500, 300, 5000)))
	}
	for _, o := range others {
		<-o
	}
	// The minions of the first zone are full.
	long := d.submitAsync(d.nodes[0], oneStep(3, 15000, 14000, 20000))
	time.Sleep(300 * time.Millisecond)
	j := oneStep(1, 2000, 7000, 20000)
	if trouble {
		late := &lateOrder{job: j.id}
		for _, m := range d.minions {
			m.late = late
		}
		replies := d.submitAsync(d.nodes[0], j)
		time.Sleep(muteTime + 100*time.Millisecond)
		m := late.held()
		if m == nil {
			return false, fmt.Errorf("no start was sent")
		}
		if runs := d.runsOf(j.id); len(runs) != 1 || runs[0].minion == m {
			return false, fmt.Errorf("the task was not started on another minion")
		}
		d.crash(m)
		time.Sleep(downTime)
		next, err := d.reborn(m)
		if err != nil {
			return false, err
		}
		time.Sleep(lateAfterBirth)
		late.release(next)
		time.Sleep(entryAfterBirth - lateAfterBirth)
		d.register(next)
		<-replies
	} else {
		d.submit(d.nodes[0], j)
	}
	<-long
	time.Sleep(500 * time.Millisecond)
	return d.overlaps(d.runsOf(j.id)), nil
}

// overlaps records the runs of one task that were at work at the same time, and reports
// whether there are any.
func (d *deployment) overlaps(runs []minionRun) bool {
	found := false
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			from, to := later(a.startedAt, b.startedAt), earlier(a.end(), b.end())
			if a.task != b.task || !from.Before(to) {
				continue
			}
			found = true
			d.rec.addf("%s: run %d on minion %s (%s) and run %d on minion %s (%s) were at work at the same time for %v", a.task,
				a.run, a.minion.id, a.how, b.run, b.minion.id, b.how, to.Sub(from).Round(time.Millisecond))
		}
	}
	return found
}

// end returns when a run has ended, now if it has not.
func (r *minionRun) end() time.Time {
	if r.endedAt.IsZero() {
		return time.Now()
	}
	return r.endedAt
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
