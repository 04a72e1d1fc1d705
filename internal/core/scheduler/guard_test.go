package scheduler

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// claimOf returns the fence of the last poll among the actions.
func claimOf(actions []Action) namer.Fence {
	var fence namer.Fence
	for _, a := range actions {
		if poll, isPoll := a.(Poll); isPoll {
			fence = poll.Fence
		}
	}
	return fence
}

// TestClaims checks when an owner grants capacity on a worker that does not check it.
func TestClaims(t *testing.T) {
	const size, run, nextRun = 6000, namer.RunID(1<<20 | 2), namer.RunID(2<<20 | 2)
	foreign := ActiveRun{Task: namer.TaskName{Job: "b"}, Run: run, Cores: 100}
	list := func(fence namer.Fence, active ...ActiveRun) Event {
		return PollResult{Worker: "w", SentAt: simEpoch.Add(time.Hour), BootTime: 1, Clock: 2, Fence: fence, Active: active}
	}
	sizeOf := func(cores namer.MilliCores) Event {
		return MessageReceived{From: "e0", SourceAddr: peerAddr(0), Message: PeerMessage{RunSizes: []RunSize{
			{RunRef{"w", foreign.Task, run}, Resources{Cores: cores}},
		}}}
	}
	cases := map[string]struct {
		events  func(claim namer.Fence) []Event
		granted bool
	}{
		"claim is on its way":           {func(namer.Fence) []Event { return nil }, false},
		"list is from before the claim": {func(namer.Fence) []Event { return []Event{list(0)} }, false},
		"claim got no response":         {func(f namer.Fence) []Event { return []Event{PollResult{Worker: "w", Fence: f, NoResponse: true}} }, false},
		"claimed":                       {func(f namer.Fence) []Event { return []Event{list(f)} }, true},
		"claim was rejected": {func(f namer.Fence) []Event {
			return []Event{PollResult{Worker: "w", Fence: f, Fenced: true, NoResponse: true}}
		}, false},
		"another has claimed it since": {func(f namer.Fence) []Event {
			return []Event{list(f), PollResult{Worker: "w", Fence: f, Fenced: true, NoResponse: true}}
		}, false},
		"an earlier call was rejected": {func(f namer.Fence) []Event {
			return []Event{list(f), PollResult{Worker: "w", Fenced: true, NoResponse: true}}
		}, true},
		"a run of unknown size":            {func(f namer.Fence) []Event { return []Event{list(f, foreign)} }, false},
		"its size fits":                    {func(f namer.Fence) []Event { return []Event{list(f, foreign), sizeOf(size)} }, true},
		"its size does not fit":            {func(f namer.Fence) []Event { return []Event{list(f, foreign), sizeOf(2 * size)} }, false},
		"its size is negative":             {func(f namer.Fence) []Event { return []Event{list(f, foreign), sizeOf(-size)} }, false},
		"its size is told twice":           {func(f namer.Fence) []Event { return []Event{list(f, foreign), sizeOf(2 * size), sizeOf(1)} }, false},
		"a run of unknown size, has ended": {func(f namer.Fence) []Event { return []Event{list(f, foreign), list(f)} }, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, now := newOwner()
			s.learnUnguarded("s", true)
			events := c.events(claimOf(s.Step(now, 1, nil)))
			for _, e := range events {
				now = now.Add(time.Millisecond)
				s.Step(now, 1, []Event{e})
			}
			now = now.Add(time.Millisecond)
			must.Eq(t, c.granted, len(reservedWorkers(s.Step(now, 1, []Event{reserveRequest(1, nextRun, size)}))) > 0)
		})
	}
}

// TestLateStarts checks that a start without a response takes capacity of an unguarded
// worker for as long as it can take effect: until its lease has ended, or its stop was
// acknowledged.
func TestLateStarts(t *testing.T) {
	const size, run, nextRun = 9000, namer.RunID(1<<20 | 2), namer.RunID(2<<20 | 2)
	cases := map[string]struct {
		cancel  bool
		clock   namer.WorkerClockMillis
		granted bool
	}{
		"lease goes on":             {false, 500, false},
		"lease has ended":           {false, 5000, true},
		"stop was acknowledged":     {true, 500, true},
		"both":                      {true, 5000, true},
		"clock can't be read":       {false, 0, false},
		"clock is as at the start":  {false, 1, false},
		"clock went back, canceled": {true, 0, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, now := newOwner()
			s.learnUnguarded("s", true)
			fence := claimOf(s.Step(now, 1, nil))
			list := func(clock namer.WorkerClockMillis) Event {
				return PollResult{Worker: "w", SentAt: now, BootTime: 1, Clock: clock, Fence: fence}
			}
			s.Step(now, 1, []Event{list(1)})
			s.Step(now, 1, []Event{reserveRequest(0, run, size)})
			must.Len(t, 1, startsOf(s.Step(now, 1, []Event{startOrder(0, run)})))
			s.Step(now, 1, []Event{StartResult{Worker: "w", Task: namer.TaskName{Job: "a"}, Run: run, Status: StartNoResponse, Fence: fence}})
			if c.cancel {
				s.Step(now, 1, []Event{MessageReceived{From: "e0", SourceAddr: peerAddr(0), Message: PeerMessage{
					Cancellations: []Cancellation{{namer.TaskName{Job: "a"}, run}},
				}}})
			}
			now = now.Add(time.Millisecond)
			s.Step(now, 1, []Event{list(c.clock)})
			must.Eq(t, c.granted, len(reservedWorkers(s.Step(now, 1, []Event{reserveRequest(1, nextRun, size)}))) > 0)
		})
	}
}

// TestFencesOfPeers checks that a fence which a peer tells is used, unless it would
// keep all owners from the worker.
func TestFencesOfPeers(t *testing.T) {
	cases := map[string]struct{ told, want namer.Fence }{
		"of a claim":        {namer.NewFence(50, 2), namer.NewFence(50, 2)},
		"negative":          {-1, 0},
		"far in the future": {namer.NewFence(10*maxFenceLead, 2), 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, _ := newOwner()
			w := s.newWorker("other")
			s.handleFence(&WorkerFence{Worker: "other", Fence: c.told})
			must.Eq(t, c.want, w.guard.fence)
		})
	}
}

// Guards against two owners that start tasks on an unguarded worker under one fence: one that
// takes the worker over adopted that of the other, whose grants carry it.
func TestOwnerKeepsItsOwnFence(t *testing.T) {
	lead := namer.NewFence(maxFenceLead/2, firstPeerTag)
	grant := MessageReceived{From: "e0", SourceAddr: peerAddr(0), Message: PeerMessage{ReserveResponses: []ReserveResponse{
		{Task: namer.TaskName{Job: "b"}, Run: 1<<20 | 1, Worker: "w", Fence: lead},
	}}}
	told := MessageReceived{From: "e0", SourceAddr: peerAddr(0), Message: PeerMessage{Fences: []WorkerFence{{Worker: "w", Fence: lead}}}}
	cases := map[string]struct {
		owned, claimed bool
		message        Event
		adopted        bool
	}{
		"grant, claimed":               {true, true, grant, false},
		"grant, claim is on its way":   {true, false, grant, false},
		"grant, owned by a peer":       {false, false, grant, true},
		"told, claimed":                {true, true, told, false},
		"told, claim is on its way":    {true, false, told, false},
		"told, worker owned by a peer": {false, false, told, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, now := newOwner()
			s.learnUnguarded("s", true)
			fence := claimOf(s.Step(now, 1, nil))
			w := s.workers["w"]
			if c.claimed {
				s.Step(now, 1, []Event{PollResult{Worker: "w", SentAt: now, BootTime: 1, Clock: 2, Fence: fence}})
			}
			if !c.owned {
				s.setOwner(w, s.peers["e0"])
			}
			s.handleEvent(c.message)
			must.Eq(t, c.adopted, w.guard.fence == lead)
			if c.owned {
				// The worker has seen the fence of the peer.
				s.handleEvent(PollResult{Worker: "w", Fence: fence, Fenced: true, NoResponse: true})
				must.False(t, w.guard.claimed)
				must.False(t, w.guard.claiming)
			}
		})
	}
}

// TestUnguardedWorkersTwoFaults checks that late orders and lost answers overload no
// unguarded worker while its owner changes or two instances take themselves for it. With
// the flag for all pairs it simulates all pairs of faults.
func TestUnguardedWorkersTwoFaults(t *testing.T) {
	firsts, seconds := slices.Sorted(maps.Keys(ownerFaults)), []string{"requests to workers are delayed", "answers of workers are lost"}
	if *allPairs {
		firsts = slices.Sorted(maps.Keys(faults))
		seconds = firsts
	}
	for a, first := range firsts {
		for b, second := range seconds {
			t.Run(first+", "+second, func(t *testing.T) {
				t.Parallel()
				w := newUnguardedWorld(uint64(100*a+b), true)
				faults[first](w, 2*time.Second)
				faults[second](w, 1800*time.Millisecond)
				w.run(30 * time.Second)
				must.SliceEmpty(t, w.violations, must.Sprint(w.violations))
				w.checkIdle(t, first)
			})
		}
	}
}

func newUnguardedWorld(seed uint64, unguarded bool) *simWorld {
	w := newSimWorld(seed, smallSite)
	for _, s := range w.workers {
		s.unguarded = unguarded
	}
	w.addVariedTraffic(siteVariation, 1, 600*time.Millisecond, 6*time.Second, w.evenWeights())
	return w
}

// TestGuardCost checks what the claims cost in jobs within their objective, against the
// same load on workers that check their capacity.
func TestGuardCost(t *testing.T) {
	const seeds = 4
	cases := map[string]float64{"no fault": 0.005, "instance crashes and restarts": 0.02, "all instances crash at once": 0.05}
	for name, most := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cost := 0.0
			for seed := range uint64(seeds) {
				for _, unguarded := range []bool{false, true} {
					w := newUnguardedWorld(seed, unguarded)
					faults[name](w, 2*time.Second)
					w.run(10 * time.Second)
					if unguarded {
						cost -= w.inTimeShare("") / seeds
						continue
					}
					cost += w.inTimeShare("") / seeds
				}
			}
			t.Logf("share of jobs in time lost: %.4f", cost)
			must.LessEq(t, most, cost)
		})
	}
}
