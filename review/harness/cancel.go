//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["cancel"] = cancel }

// cancel: UNASKED. Clients cancel two of eight jobs that they have handed in and whose
// answers they still await. The cancels are acknowledged, and tasks of these jobs go on
// being started.
func cancel(e *environment) ([]string, error) {
	const cancelTime, stopSlack = 3000 * time.Millisecond, 50 * time.Millisecond
	nodes, _, err := e.start([]string{"north"}, 2, 4)
	if err != nil {
		return nil, err
	}
	c := newClient(e.record, 10*time.Second)
	var chain []step
	for n := range 8 {
		s := step{Count: 1, Cpu: taskCpu, MemMb: taskMem, EstimateMs: 900}
		if n > 0 {
			s.DependsOn = []int{n - 1}
		}
		chain = append(chain, s)
	}
	jobs := make([]job, 8)
	var wg sync.WaitGroup
	for i := range jobs {
		jobs[i] = newJob(900, chain...)
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.submit(nodes[0], prefix, jobs[i])
		}()
	}
	time.Sleep(500 * time.Millisecond)
	acknowledged := make(map[string]time.Duration)
	if e.trouble {
		// One is cancelled at the machine that has it, the other at another machine.
		for i, at := range nodes {
			e.record.note("client cancels job %s at %s", jobs[i].id, at.name)
			a := c.call(at, http.MethodDelete, prefix+jobs[i].id, nil)
			e.record.note("client gets for its cancel of job %s: %v", jobs[i].id, a)
			if a.status == http.StatusGone || a.status/100 == 2 {
				acknowledged[jobs[i].id] = e.record.now()
			}
		}
	}
	wg.Wait()
	var broken []string
	for _, r := range e.record.runsSeen() {
		ackedAt, found := acknowledged[jobOf(r.task)]
		if !found {
			continue
		}
		switch {
		case r.startedAt > ackedAt+cancelTime:
			broken = append(broken, fmt.Sprintf("UNASKED: task %s starts on %s %s after its job's cancel was acknowledged", r.task, r.minion, seconds(r.startedAt-ackedAt)))
		case r.endedAt > ackedAt+cancelTime+stopSlack:
			broken = append(broken, fmt.Sprintf("UNASKED: task %s runs on %s until %s after its job's cancel was acknowledged", r.task, r.minion, seconds(r.endedAt-ackedAt)))
		}
	}
	return broken, nil
}
