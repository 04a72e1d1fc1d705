//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { scenarios["drain"] = drain }

// drain: DRAIN. A minion that is draining is cut off from the store for so long that its
// entry is removed. When it is listed again, it counts as having announced its departure
// only now.
func drain(e *environment) ([]string, error) {
	const drainTime = 2000 * time.Millisecond
	nodes, places, err := e.start([]string{"north"}, 2, 16)
	if err != nil {
		return nil, err
	}
	// One such task fits on a minion, so that 16 of them fill all, 80 in a second.
	const fullCpu = 10000
	leaving := places[0]
	done := make(chan struct{})
	var wg sync.WaitGroup
	for _, n := range nodes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			e.press(n, 16*time.Millisecond, step{Count: 1, Cpu: fullCpu, MemMb: taskMem, EstimateMs: 200}, 200, done)
		}()
	}
	time.Sleep(2 * time.Second)
	acceptedAt := e.site.drain(leaving, 14*time.Second)
	time.Sleep(200 * time.Millisecond)
	if e.trouble {
		e.site.setCut(leaving, true)
		time.Sleep(5 * time.Second)
		e.site.setCut(leaving, false)
	} else {
		time.Sleep(5 * time.Second)
	}
	time.Sleep(6 * time.Second)
	close(done)
	wg.Wait()
	var broken []string
	for _, r := range e.record.runsSeen() {
		if r.minion == leaving.minion.id && r.startedAt > acceptedAt+drainTime {
			broken = append(broken, fmt.Sprintf("DRAIN: task %s starts on %s %s after the store has accepted that it is draining", r.task, r.minion, seconds(r.startedAt-acceptedAt)))
		}
	}
	return broken, nil
}
