//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { scenarios["spread"] = spread }

// spread: ROUTE. A job allows one of its tasks for each minion. As long as one machine owns
// all minions it keeps to that; once a machine is added, it asks that one for room without
// telling it.
func spread(e *environment) ([]string, error) {
	const limit = 1
	nodes, places, err := e.start([]string{"north"}, 1, 8)
	if err != nil {
		return nil, err
	}
	c := newClient(e.record, 1500*time.Millisecond)
	submit := func() {
		for range 5 {
			c.submit(nodes[0], prefix, newJob(200, step{Count: len(places), Cpu: taskCpu, MemMb: taskMem, EstimateMs: 200, AntiAffinity: limit}))
			time.Sleep(300 * time.Millisecond)
		}
	}
	submit()
	if e.trouble {
		added, err := e.fleet.start(2, "edge-north-2", "north", []string{"north"}, []string{e.fleet.ip(1)}, false)
		if err != nil {
			return nil, err
		}
		if err := e.fleet.awaitReady(10*time.Second, added); err != nil {
			return nil, err
		}
	}
	time.Sleep(4 * time.Second)
	submit()
	var broken []string
	runs := e.record.runsSeen()
	for i, r := range runs {
		beside := 0
		for _, other := range runs[:i] {
			if jobOf(other.task) == jobOf(r.task) && other.minion == r.minion && other.endedAt > r.startedAt {
				beside++
			}
		}
		if beside >= limit {
			broken = append(broken, fmt.Sprintf("ROUTE: task %s starts on %s at %s beside %d of its step, with AntiAffinity %d", r.task, r.minion, seconds(r.startedAt), beside, limit))
		}
	}
	return broken, nil
}
