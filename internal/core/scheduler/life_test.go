package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

const (
	// firstBoot and secondBoot are the boot times of two incarnations of a worker.
	firstBoot  = namer.UnixMillis(1_799_000_000_000)
	secondBoot = firstBoot + 1
)

var lifeWall = namer.UnixMillis(simEpoch.UnixMilli())

// newLifeOwner returns the owner of a worker w in its first incarnation, with a peer e0.
func newLifeOwner() (*Scheduler, time.Time) {
	s, now := newOwner()
	now = now.Add(time.Millisecond)
	s.Step(now, lifeWall, []Event{PollResult{Worker: "w", SentAt: now, BootTime: firstBoot, Clock: 1}})
	return s, now
}

func pollsOf(actions []Action) []Poll {
	var out []Poll
	for _, a := range actions {
		if poll, isPoll := a.(Poll); isPoll {
			out = append(out, poll)
		}
	}
	return out
}

// callsOf returns the number of calls to workers among the actions.
func callsOf(actions []Action) int {
	n := 0
	for _, a := range actions {
		switch a.(type) {
		case Start, Stop, Poll:
			n++
		}
	}
	return n
}

// Guards against calls to two incarnations that a worker can't tell apart.
func TestBootFences(t *testing.T) {
	const bootTime = namer.UnixMillis(1_800_000_000_123)
	cases := map[string]struct {
		lower, higher namer.Fence
	}{
		"unknown, known":                {bootFenceAt(0), bootFenceAt(bootTime)},
		"a millisecond later":           {bootFenceAt(bootTime), bootFenceAt(bootTime + 1)},
		"next count":                    {bootFenceAt(bootTime + 6), bootFenceAt(bootTime + 7)},
		"claim of the count before":     {namer.NewFence(runCountAt(bootTime)-1, namer.MaxRunTag), bootFenceAt(bootTime)},
		"claim of the next count":       {bootFenceAt(bootTime), namer.NewFence(runCountAt(bootTime)+1, 0)},
		"largest that JSON can carry":   {bootFenceAt(bootTime), 1<<53 - 1},
		"before the counts, after them": {bootFenceAt(runCountEpoch), bootFenceAt(runCountEpoch + 1)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { must.Less(t, c.higher, c.lower) })
	}
	must.Eq(t, 0, bootFenceAt(1))
}

// Guards against a start for an earlier incarnation that the next one accepts although its
// owner has found it.
func TestNewIncarnationIsPolledAtOnce(t *testing.T) {
	s, now := newLifeOwner()
	foreign := EndedRun{Sequence: 1, Task: namer.TaskName{Job: "b"}, Run: 1<<20 | 2}
	cases := []struct {
		name string
		list PollResult
	}{
		{"lists nothing", PollResult{Worker: "w", BootTime: secondBoot, Clock: 1}},
		{"lists an end", PollResult{Worker: "w", BootTime: secondBoot + 1, Clock: 1, Ended: []EndedRun{foreign}}},
	}
	for _, c := range cases {
		now = now.Add(time.Second)
		c.list.SentAt, c.list.Fence = now, bootFenceAt(firstBoot)
		polls := pollsOf(s.Step(now, lifeWall, []Event{c.list}))
		must.Len(t, 1, polls, must.Sprint(c.name))
		must.Eq(t, bootFenceAt(c.list.BootTime), polls[0].Fence, must.Sprint(c.name))
	}
}

// Guards against a second start while the new incarnation of a worker still accepts the
// first: the stop was acknowledged by the earlier one.
func TestRunIsKeptUntilStartsAreRejected(t *testing.T) {
	cases := map[string]struct {
		bootTime namer.UnixMillis
		fence    namer.Fence
		kept     bool
	}{
		"same incarnation":                      {firstBoot, bootFenceAt(firstBoot), false},
		"new incarnation, earlier fence":        {secondBoot, bootFenceAt(firstBoot), true},
		"new incarnation, its fence":            {secondBoot, bootFenceAt(secondBoot), false},
		"new incarnation, fence of a later one": {secondBoot, bootFenceAt(secondBoot + 1), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, now := newLifeOwner()
			w := s.workers["w"]
			j := &job{JobSpec: JobSpec{Name: "a"}}
			r := s.addRun(&task{id: namer.TaskName{Job: "a"}, job: j, step: &StepSpec{}}, w, 1<<20|1, Resources{Cores: 1}, forecast{})
			s.Step(now, lifeWall, []Event{StartResult{Worker: "w", Task: r.taskID, Run: r.number, Status: StartNoResponse}})
			now = now.Add(time.Millisecond)
			s.Step(now, lifeWall, []Event{StopResult{Worker: "w", Task: r.taskID, Run: r.number, Acknowledged: true}})
			now = now.Add(time.Millisecond)
			s.Step(now, lifeWall, []Event{PollResult{Worker: "w", SentAt: now, BootTime: c.bootTime, Clock: 2, Fence: c.fence}})
			must.Eq(t, c.kept, s.runs[runKey{r.taskID, r.number}] != nil)
		})
	}
}

// Guards against repeated calls with a fence that a worker has rejected, and against a
// claim of a worker that has only restarted.
func TestRefusedCalls(t *testing.T) {
	told := func(bootTime namer.UnixMillis) Event {
		return MessageReceived{From: "e0", SourceAddr: peerAddr(0), Message: PeerMessage{Fences: []WorkerFence{{Worker: "w", BootTime: bootTime}}}}
	}
	listed := WorkerListUpdated{Workers: []WorkerInfo{{
		ID: "w", Service: "s", Domain: "d0", Capacity: Resources{Cores: 16000, Memory: 1 << 20}, BootTime: secondBoot,
	}}}
	cases := map[string]struct {
		event  Event
		wait   time.Duration
		called bool
		guard  bool
	}{
		"nothing is known":                     {nil, refusalPatience / 2, false, false},
		"a peer knows no later incarnation":    {told(firstBoot), refusalPatience / 2, false, false},
		"a peer knows an impossible one":       {told(10 * secondBoot), refusalPatience / 2, false, false},
		"a peer knows the new incarnation":     {told(secondBoot), time.Millisecond, true, false},
		"the list has the new incarnation":     {listed, time.Millisecond, true, false},
		"nothing was learned, so it's claimed": {nil, refusalPatience, true, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, now := newLifeOwner()
			fence := bootFenceAt(firstBoot)
			now = now.Add(time.Millisecond)
			must.Eq(t, 0, callsOf(s.Step(now, lifeWall, []Event{PollResult{Worker: "w", SentAt: now, Fence: fence, Fenced: true, NoResponse: true}})))
			var events []Event
			if c.event != nil {
				events = append(events, c.event)
			}
			var calls []Poll
			for end := now.Add(c.wait); now.Before(end); events = nil {
				now = now.Add(min(end.Sub(now), 10*time.Millisecond))
				calls = append(calls, pollsOf(s.Step(now, lifeWall, events))...)
			}
			must.Eq(t, c.called, len(calls) > 0)
			for _, poll := range calls {
				must.Less(t, poll.Fence, fence)
			}
			must.Eq(t, c.guard, s.workers["w"].guard.needed)
		})
	}
}

// Guards against a worker that restarts and isn't called for a long pause while a late
// start may be on its way to it.
func TestRestartingWorkerIsPolledOften(t *testing.T) {
	cases := map[string]struct {
		unanswered, refused bool
		longest             time.Duration
	}{
		"all starts were answered":                           {false, true, maxPollBackoff},
		"a start got no response":                            {true, true, pollBackoff},
		"all starts were answered, its machine has no power": {false, false, maxPollBackoff},
		"a start got no response, its machine has no power":  {true, false, pollBackoff},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, now := newLifeOwner()
			if c.unanswered {
				s.recordStartResult(s.workers["w"], StartResult{Worker: "w", Status: StartNoResponse}, minStartTimeout)
			}
			var longest time.Duration
			for range 8 {
				s.Step(now, lifeWall, []Event{PollResult{Worker: "w", SentAt: now, NoResponse: true, Refused: c.refused}})
				longest = max(longest, s.workers["w"].nextPollAt.Sub(now))
				now = now.Add(maxPollBackoff)
			}
			must.Eq(t, c.longest, longest)
		})
	}
}

// Guards against starts by the labels, the capacity and the service of a worker's former
// incarnation, after its list of runs has shown the next one and before its entry has.
func TestNoStartByEntryOfFormerIncarnation(t *testing.T) {
	entry := func(bootTime namer.UnixMillis, label string) Event {
		return WorkerListUpdated{Workers: []WorkerInfo{{
			ID: "w", Service: "s", Domain: "d0", Capacity: Resources{Cores: 16000, Memory: 1 << 20}, Labels: []string{label}, BootTime: bootTime,
		}}}
	}
	runs := func(bootTime namer.UnixMillis) Event {
		return PollResult{Worker: "w", BootTime: bootTime, Clock: 1, Fence: bootFenceAt(bootTime)}
	}
	told := MessageReceived{From: "e0", SourceAddr: peerAddr(0), Message: PeerMessage{Fences: []WorkerFence{{Worker: "w", BootTime: secondBoot}}}}
	cases := map[string]struct {
		events   []Event
		required string
		granted  bool
	}{
		"no restart":            {nil, "former", true},
		"list of runs is newer": {[]Event{runs(secondBoot)}, "former", false},
		"list of runs is newer, any kind would do":   {[]Event{runs(secondBoot)}, "", false},
		"a peer knows the restart":                   {[]Event{told, runs(secondBoot)}, "former", false},
		"entry is as new, of another kind":           {[]Event{runs(secondBoot), entry(secondBoot, "next")}, "former", false},
		"entry is as new, of the kind":               {[]Event{runs(secondBoot), entry(secondBoot, "next")}, "next", true},
		"entry comes first":                          {[]Event{entry(secondBoot, "next"), runs(secondBoot)}, "next", true},
		"entry comes first, then the former's again": {[]Event{entry(secondBoot, "next"), runs(secondBoot), entry(firstBoot, "former")}, "former", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, now := newLifeOwner()
			for _, e := range append([]Event{entry(firstBoot, "former"), runs(firstBoot)}, c.events...) {
				now = now.Add(time.Millisecond)
				if poll, isPoll := e.(PollResult); isPoll {
					poll.SentAt = now
					e = poll
				}
				s.Step(now, lifeWall, []Event{e})
			}
			request := reserveRequest(0, 1<<20|2, 1000)
			request.Message.ReserveRequests[0].RequiredLabel = c.required
			must.Eq(t, c.granted, len(reservedWorkers(s.Step(now, lifeWall, []Event{request}))) == 1)
		})
	}
}
