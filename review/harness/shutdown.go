//go:build review

package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["shutdown"] = shutdown }

// shutdown: LOST. A machine gets SIGTERM while it has a job of which some tasks have run
// and the next one waits for room. It ends before its grace period does, and cuts the job's
// connection without an answer.
func shutdown(e *environment) ([]string, error) {
	const grace = 6 * time.Second
	nodes, _, err := e.start([]string{"north"}, 3, 4)
	if err != nil {
		return nil, err
	}
	// The second step needs more room than others leave, of which five fit on a minion.
	const smallCpu, bigCpu = 3000, 10000
	j := newJob(900, step{Count: 1, Cpu: taskCpu, MemMb: taskMem, EstimateMs: 900}, step{Count: 1, Cpu: bigCpu, MemMb: taskMem, EstimateMs: 700, DependsOn: []int{0}})
	c := newClient(e.record, 7*time.Second)
	type end struct {
		answer answer
		at     time.Duration
	}
	ended := make(chan end, 1)
	go func() {
		a := c.submit(nodes[0], prefix, j)
		ended <- end{a, e.record.now()}
	}()
	sentAt := e.record.now()
	time.Sleep(100 * time.Millisecond)
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		e.press(nodes[1], 7*time.Millisecond, step{Count: 1, Cpu: smallCpu, MemMb: taskMem, EstimateMs: 200}, 200, done)
	}()
	time.Sleep(100 * time.Millisecond)
	stoppedAt := e.record.now()
	if e.trouble {
		e.fleet.signal(nodes[0], syscall.SIGTERM, "gets SIGTERM")
	}
	result := <-ended
	close(done)
	wg.Wait()
	ran, atWork := 0, time.Duration(0)
	for _, r := range e.record.runsSeen() {
		if jobOf(r.task) == j.id {
			ran++
			atWork = max(atWork, r.endedAt)
		}
	}
	e.record.note("%d tasks of the job were started, the last one ended %s after the client had sent it", ran, seconds(atWork-sentAt))
	if ran == 0 {
		return nil, errors.New("no task of the job was started")
	}
	// Not counted are those cut while a minion is at work in the last sixth of the grace
	// period, and those whose deadline has passed.
	if result.answer.status == 0 && result.at < sentAt+c.deadline-50*time.Millisecond && result.at <= stoppedAt+grace+time.Second && atWork < stoppedAt+grace*5/6 {
		return []string{fmt.Sprintf("LOST: the connection of job %s ends without an answer %s after it was sent and %s after the SIGTERM, no minion was at work since %s after it",
			j.id, seconds(result.at-sentAt), seconds(result.at-stoppedAt), seconds(atWork-stoppedAt))}, nil
	}
	return nil, nil
}
