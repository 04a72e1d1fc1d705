//go:build review

package main

import (
	"errors"
	"sync"
	"time"
)

func init() { scenarios["revival"] = revival }

// revival: TWICE. A start gets no answer and is carried out seconds later. Meanwhile its run
// was stopped, its task was started on another minion, and the first one has crashed and
// started again under its id. The new life knows nothing of the stop and carries the start
// out.
func revival(e *environment) ([]string, error) {
	const (
		longMs             = 3400
		others, otherPause = 24, 30 * time.Millisecond
		// late is after how long the order is carried out, crashAfter and darkFor when its
		// minion crashes and for how long it is down.
		late       = 3 * time.Second
		crashAfter = 300 * time.Millisecond
		darkFor    = 2200 * time.Millisecond
	)
	nodes, _, err := e.start([]string{"north"}, 2, 16)
	if err != nil {
		return nil, err
	}
	c := newClient(e.record, 6500*time.Millisecond)
	var wg sync.WaitGroup
	submit := func(j job) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.submit(nodes[0], prefix, j)
		}()
		time.Sleep(3 * time.Millisecond)
	}
	one := func(ms int) job {
		return newJob(ms, step{Count: 1, Cpu: taskCpu, MemMb: taskMem, EstimateMs: ms})
	}
	last := one(longMs)
	held := make(chan *place, 1)
	if e.trouble {
		e.site.holdUpStart(last.id, late, held)
	}
	// The first two fill a minion, and the third half of another one, whose other half the
	// last one gets. When its start has failed, the second job has made room on the first
	// minion.
	submit(one(longMs))
	submit(one(25))
	submit(one(longMs))
	submit(last)
	// Other starts, of which the late one is a small share.
	wg.Add(1)
	go func() {
		defer wg.Done()
		for range others {
			time.Sleep(otherPause)
			c.submit(nodes[1], prefix, one(60))
		}
	}()
	if e.trouble {
		var p *place
		select {
		case p = <-held:
		case <-time.After(2 * time.Second):
			return nil, errors.New("the job was not started")
		}
		time.Sleep(crashAfter)
		e.site.crash(p)
		time.Sleep(darkFor)
		if err := e.site.restart(p); err != nil {
			return nil, err
		}
	}
	wg.Wait()
	return e.overlaps(), nil
}
