package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

var (
	firstEntry = WorkerListUpdated{Workers: []WorkerInfo{{
		ID: "w", Service: "s", Domain: "d0", Capacity: Resources{Cores: 16000, Memory: 1 << 20}, BootTime: firstBoot,
	}}}
	removedEntry = WorkerListUpdated{Workers: []WorkerInfo{{ID: "w", Removed: true}}}
	orderedStart = StartResult{Worker: "w", Task: namer.TaskName{Job: "a"}, Run: 1<<20 | 2, Fence: bootFenceAt(firstBoot)}
	refusedPoll  = PollResult{Worker: "w", NoResponse: true, Refused: true}
)

// newOrderingOwner returns the owner of a worker w, which has sent the start of a task of
// the peer e0 to it.
func newOrderingOwner(t *testing.T) (*Scheduler, time.Time) {
	t.Helper()
	s, now := newLifeOwner()
	s.Step(now, lifeWall, []Event{firstEntry, reserveRequest(0, orderedStart.Run, 1000)})
	must.Len(t, 1, startsOf(s.Step(now, lifeWall, []Event{startOrder(0, orderedStart.Run)})))
	return s, now
}

// longestPollPause steps an instance whose polls of worker w are refused, and returns the longest
// time without a poll.
func longestPollPause(s *Scheduler, now time.Time, d time.Duration) time.Duration {
	longest, polledAt := time.Duration(0), now
	// The poll before the crash.
	events := []Event{refusedPoll}
	for end := now.Add(d); now.Before(end); {
		now = now.Add(simStepInterval)
		polls := pollsOf(s.Step(now, lifeWall, events))
		events = nil
		for _, poll := range polls {
			polledAt = now
			result := refusedPoll
			result.SentAt, result.Fence, result.OutOfBand = now, poll.Fence, poll.OutOfBand
			events = append(events, result)
		}
		longest = max(longest, now.Sub(polledAt))
	}
	return longest
}

// Guards against a late start that the next incarnation of a worker accepts because its
// owner doesn't call it before its new entry is read.
func TestUnlistedWorkerIsPolledForLateStarts(t *testing.T) {
	noResponse, accepted := orderedStart, orderedStart
	noResponse.Status, accepted.Status = StartNoResponse, StartAccepted
	cases := map[string]struct {
		events []Event
		wait   time.Duration
		polled bool
	}{
		"start got no response":              {[]Event{noResponse, removedEntry}, 11 * time.Second, true},
		"start was answered":                 {[]Event{accepted, removedEntry}, time.Second, false},
		"no response came after the removal": {[]Event{removedEntry, noResponse}, 11 * time.Second, true},
		"start can't take effect any more":   {[]Event{noResponse, removedEntry}, maxOrderDelay + 2*peerCheckInterval, false},
		"start is in flight":                 {[]Event{removedEntry}, time.Second, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, now := newOrderingOwner(t)
			for _, e := range c.events {
				now = now.Add(time.Millisecond)
				s.Step(now, lifeWall, []Event{e})
			}
			pause := longestPollPause(s, now, c.wait)
			must.Eq(t, c.polled, pause < 2*pollBackoff+simStepInterval, must.Sprint(pause))
			must.Eq(t, c.polled, s.AwaitsRestart())
		})
	}
}

// Guards against a late start that the next incarnation of a worker accepts because the
// instance that sent it, or ordered it, isn't the owner any more or is lost.
func TestNewOwnerLearnsOfLateStarts(t *testing.T) {
	peers := []Event{ownerHeartbeat(0, "d0"), ownerHeartbeat(1, "d0")}
	reported := func(status StartStatus) Event {
		return MessageReceived{From: "e0", SourceAddr: peerAddr(0), Message: PeerMessage{StartReports: []StartReport{
			{RunRef{"w", namer.TaskName{Job: "b"}, 1<<20 | 1}, status},
		}}}
	}
	owners, none := []string{"e0", "e1"}, []string(nil)
	cases := map[string]struct {
		// granter is the peer that has sent the start, empty if this instance has. owner is
		// the peer that owns the worker, empty if this instance does.
		granter, owner string
		status         StartStatus
		told           []string
	}{
		"sent as the owner":                  {"", "", StartNoResponse, owners},
		"sent as the former owner":           {"", "e1", StartNoResponse, owners},
		"sent as the former owner, answered": {"", "e1", StartAccepted, none},
		"ordered at the former owner":        {"e0", "e1", StartNoResponse, owners},
		"ordered at the owner":               {"e0", "e0", StartNoResponse, none},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, now := newLifeOwner()
			s.Step(now, lifeWall, peers)
			now = now.Add(100 * time.Millisecond)
			s.Step(now, lifeWall, nil)
			w := s.workers["w"]
			w.owned, w.owner = c.owner == "", s.peers[c.owner]
			j := &job{JobSpec: JobSpec{Name: "b"}}
			r := s.addRun(&task{id: namer.TaskName{Job: "b"}, job: j, step: &StepSpec{}}, w, 1<<20|1, Resources{Cores: 1}, forecast{})
			var result Event = StartResult{Worker: "w", Task: r.taskID, Run: r.number, Status: c.status}
			if c.granter != "" {
				r.grantedBy, r.orderedAt = s.peers[c.granter], now
				result = reported(c.status)
			}
			s.handleEvent(result)
			must.Eq(t, c.told, addresseesOf(s, func(m *PeerMessage) bool { return len(m.LateStarts) > 0 }))
		})
	}
}

// Guards against a worker that is called for ever, or not for as long as a start may be late,
// because a peer has told of that start.
func TestToldLateStartIsAsOldAsItWas(t *testing.T) {
	s, now := newLifeOwner()
	w := s.workers["w"]
	s.handleLateStart(&LateStart{Worker: "w", Age: time.Second})
	must.True(t, s.mayGetLateStarts(w))
	s.now = now.Add(maxOrderDelay - time.Second)
	must.False(t, s.mayGetLateStarts(w))
}
