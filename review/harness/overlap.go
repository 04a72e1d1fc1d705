//go:build review

package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["overlap"] = overlap }

// overlap: TWICE. A machine that owns minions freezes, then the machine of a caller, and the
// first one wakes. It takes the heartbeats that lay in its socket for signs of life, and
// keeps up the leases of the other machine's runs. Their client has had no answer and
// hands its job in again elsewhere.
func overlap(e *environment) ([]string, error) {
	nodes, _, err := e.start([]string{"south", "north", "west"}, 2, 6)
	if err != nil {
		return nil, err
	}
	caller, other, owners := nodes[0], nodes[1], nodes[2:]
	var wg sync.WaitGroup
	submit := func(at *node, ms int) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := newClient(e.record, 1500*time.Millisecond)
			c.submitUntilAnswered(at, other, prefix, newJob(ms, step{Count: 2, Cpu: taskCpu, MemMb: taskMem, EstimateMs: 1100}))
		}()
	}
	// These fill the minions of the caller's zone, so that its jobs run in other ones.
	for range 6 {
		submit(other, 1200)
	}
	time.Sleep(100 * time.Millisecond)
	sentAt := time.Now()
	for range 5 {
		submit(caller, 3200)
	}
	at := func(d time.Duration) { time.Sleep(time.Until(sentAt.Add(d))) }
	at(300 * time.Millisecond)
	if e.trouble {
		frozen, err := e.mostLoaded(owners)
		if err != nil {
			return nil, err
		}
		e.fleet.signal(frozen, syscall.SIGSTOP, "freezes")
		at(1350 * time.Millisecond)
		e.fleet.signal(caller, syscall.SIGSTOP, "freezes")
		at(2070 * time.Millisecond)
		e.fleet.signal(frozen, syscall.SIGCONT, "wakes")
		at(5 * time.Second)
		e.fleet.signal(caller, syscall.SIGCONT, "wakes")
	}
	wg.Wait()
	return e.overlaps(), nil
}

// mostLoaded returns the machine on whose minions most tasks run.
func (e *environment) mostLoaded(nodes []*node) (*node, error) {
	var best *node
	most := 0
	for _, n := range nodes {
		count := 0
		for _, r := range e.record.runsSeen() {
			if e.fleet.ownerOf(r.minion) == n {
				count++
			}
		}
		e.record.note("%d runs on the minions of machine %s", count, n.name)
		if count > most {
			best, most = n, count
		}
	}
	if best == nil {
		return nil, errors.New("nothing runs on the minions of these machines")
	}
	return best, nil
}

// overlaps lists the tasks that had two runs at the same time.
func (e *environment) overlaps() []string {
	var broken []string
	runs := e.record.runsSeen()
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			if a.task != b.task || b.startedAt >= a.endedAt {
				continue
			}
			broken = append(broken, fmt.Sprintf("TWICE: task %s runs on %s from %s to %s (%s) and on %s from %s to %s (%s)", a.task,
				a.minion, seconds(a.startedAt), seconds(a.endedAt), a.how, b.minion, seconds(b.startedAt), seconds(b.endedAt), b.how))
		}
	}
	return broken
}
