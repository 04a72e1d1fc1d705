package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Guards against a run that its owner forgets because a list that was written before the
// start arrives after one that has the run: its capacity would be given away again.
func TestOvertakenListForgetsNoRun(t *testing.T) {
	const (
		run, nextRun = namer.RunID(1<<20 | 2), namer.RunID(2<<20 | 2)
		bootTime     = namer.UnixMillis(1)
		clock        = namer.WorkerClockMillis(100)
	)
	task := namer.TaskName{Job: "a"}
	end := []EndedRun{{Sequence: 1, Task: task, Run: run}}
	// sentBefore and sentAfter are when the poll was sent whose list arrives last, from the
	// arrival of the one that has the run.
	const sentBefore, sentAfter = -20 * time.Millisecond, time.Millisecond
	cases := map[string]struct {
		sent    time.Duration
		last    PollResult
		granted bool
	}{
		"written before":                       {sentBefore, PollResult{BootTime: bootTime, Clock: clock - 1}, false},
		"written before, out of band":          {sentBefore, PollResult{BootTime: bootTime, Clock: clock - 1, OutOfBand: true}, false},
		"written in the same millisecond":      {sentBefore, PollResult{BootTime: bootTime, Clock: clock}, false},
		"without a clock":                      {sentBefore, PollResult{BootTime: bootTime}, false},
		"written after, run has ended":         {sentBefore, PollResult{BootTime: bootTime, Clock: clock + 1, Ended: end}, true},
		"written after, end was acknowledged":  {sentBefore, PollResult{BootTime: bootTime, Clock: clock + 1}, true},
		"requested after, run has ended":       {sentAfter, PollResult{BootTime: bootTime, Clock: clock, Ended: end}, true},
		"requested after, clock was set back":  {sentAfter, PollResult{BootTime: bootTime, Clock: 1}, true},
		"written after, run is active as well": {sentBefore, PollResult{BootTime: bootTime, Clock: clock + 1, Active: []ActiveRun{{Task: task, Run: run}}}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, now := newOwner()
			s.Step(now, 1, []Event{reserveRequest(0, run, 9000)})
			s.Step(now, 1, []Event{startOrder(0, run)})
			now = now.Add(40 * time.Millisecond)
			s.Step(now, 1, []Event{StartResult{Worker: "w", Task: task, Run: run, Status: StartNoResponse}})
			sentAt := now
			now = now.Add(2 * time.Millisecond)
			s.Step(now, 1, []Event{PollResult{
				Worker: "w", SentAt: sentAt, OutOfBand: true, BootTime: bootTime, Clock: clock, Active: []ActiveRun{{Task: task, Run: run}},
			}})
			must.SliceEmpty(t, reservedWorkers(s.Step(now, 1, []Event{reserveRequest(1, nextRun, 9000)})))
			c.last.Worker, c.last.SentAt = "w", now.Add(c.sent)
			now = now.Add(2 * time.Millisecond)
			actions := s.Step(now, 1, []Event{c.last})
			must.Eq(t, c.granted, len(reservedWorkers(actions)) == 1)
		})
	}
}

// Guards against a worker that isn't polled any more once a list was ignored.
func TestPollAfterOvertakenList(t *testing.T) {
	s, now := newOwner()
	sentAt := now.Add(-time.Millisecond)
	now = now.Add(10 * time.Millisecond)
	must.SliceLen(t, 1, pollsOf(s.Step(now, 1, []Event{PollResult{Worker: "w", SentAt: sentAt, BootTime: 1, Clock: 1}})))
}
