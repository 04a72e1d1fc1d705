package scheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// newRemoteRun returns an instance with a run on worker w, which the peer e0 of domain d0
// owns. Its other peers are owners too: e1 in d0, e2 in another domain.
func newRemoteRun() (*Scheduler, *run) {
	s, now := newLifeOwner()
	s.Step(now, lifeWall, []Event{ownerHeartbeat(0, "d0"), ownerHeartbeat(1, "d0"), ownerHeartbeat(2, "d1")})
	now = now.Add(100 * time.Millisecond)
	s.Step(now, lifeWall, nil)
	w := s.workers["w"]
	s.setOwner(w, s.peers["e0"])
	j := &job{JobSpec: JobSpec{Name: "b"}}
	r := s.addRun(&task{id: namer.TaskName{Job: "b"}, job: j, step: &StepSpec{}}, w, 1<<20|1, Resources{Cores: 1}, forecast{})
	return s, r
}

// addresseesOf returns the names of the peers whose outbox has something that matches.
func addresseesOf(s *Scheduler, matches func(*PeerMessage) bool) []string {
	var out []string
	for _, p := range s.addressees {
		if matches(&p.outbox) {
			out = append(out, p.name)
		}
	}
	slices.Sort(out)
	return out
}

// Guards against runs that go on after their job was answered, because a stop, or the request
// for the fence that a stop needs, reaches nobody but a silent owner.
func TestStopReachesOwnerUnknownToInstance(t *testing.T) {
	hasStop := func(m *PeerMessage) bool { return len(m.Stops) > 0 }
	hasRequest := func(m *PeerMessage) bool { return len(m.FenceRequests) > 0 }
	hasBootTime := func(m *PeerMessage) bool { return len(m.Fences) > 0 }
	inDomain, all, none := []string{"e0", "e1"}, []string{"e0", "e1", "e2"}, []string(nil)
	stop := StopResult{Worker: "w", Task: namer.TaskName{Job: "b"}, Run: 1<<20 | 1, Fence: bootFenceAt(firstBoot)}
	fenced, acknowledged := stop, stop
	fenced.Fenced, acknowledged.Acknowledged = true, true
	refused := PollResult{Worker: "w", Fence: bootFenceAt(firstBoot), Fenced: true, NoResponse: true}
	reborn := PollResult{Worker: "w", BootTime: secondBoot, Clock: 1, Fence: bootFenceAt(firstBoot)}
	cases := map[string]struct {
		event   Event
		domain  namer.Domain
		matches func(*PeerMessage) bool
		asked   []string
	}{
		"stop without a response":           {stop, "d0", hasStop, inDomain},
		"stop is rejected":                  {fenced, "d0", hasStop, inDomain},
		"stop is rejected, fence":           {fenced, "d0", hasRequest, inDomain},
		"stop is acknowledged":              {acknowledged, "d0", hasStop, none},
		"domain without an owner":           {fenced, "d2", hasStop, all},
		"poll is rejected":                  {refused, "d0", hasRequest, inDomain},
		"poll finds the next incarnation":   {reborn, "d0", hasBootTime, inDomain},
		"poll is rejected, no owner nearby": {refused, "d2", hasRequest, all},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, r := newRemoteRun()
			r.worker.domain, r.stopRequested = c.domain, true
			s.handleEvent(c.event)
			must.Eq(t, c.asked, addresseesOf(s, c.matches))
		})
	}
}

// Guards against calls of several instances for one stop, of which only the owner's counts.
func TestForwardedStopIsSentByOwner(t *testing.T) {
	cases := map[string]struct {
		owned bool
		stops int
	}{
		"owner":          {true, 1},
		"other instance": {false, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, r := newRemoteRun()
			r.worker.owned = c.owned
			message := PeerMessage{Stops: []RunRef{{"w", namer.TaskName{Job: "c"}, 1<<20 | 2}}}
			s.handleEvent(MessageReceived{From: "e1", SourceAddr: peerAddr(1), Message: message})
			must.Len(t, c.stops, stopsOf(s.actions))
		})
	}
}
