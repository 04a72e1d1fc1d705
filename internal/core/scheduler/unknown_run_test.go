package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

const (
	ownTag, firstPeerTag = namer.RunTag(1), namer.RunTag(2)
)

func stopsOf(actions []Action) []Stop {
	var out []Stop
	for _, a := range actions {
		if stop, isStop := a.(Stop); isStop {
			out = append(out, stop)
		}
	}
	return out
}

// Guards against a late start that goes on beside the run in its place, since its own
// instance, which is alive, doesn't know it any more.
func TestRunUnknownToItsInstanceIsStopped(t *testing.T) {
	task := namer.TaskName{Job: "b"}
	disowned := func(peer int, run namer.RunID) Event {
		return MessageReceived{From: ownerHeartbeat(peer, "d0").Name, SourceAddr: peerAddr(peer), Message: PeerMessage{
			UnknownRuns: []RunRef{{"w", task, run}},
		}}
	}
	cases := map[string]struct {
		tag     namer.RunTag
		message Event
		stopped bool
	}{
		"of this instance":                   {ownTag, nil, true},
		"of a peer":                          {firstPeerTag, nil, false},
		"of a peer that doesn't know it":     {firstPeerTag, disowned(0, namer.NewRunID(1, firstPeerTag)), true},
		"another peer doesn't know it":       {firstPeerTag, disowned(1, namer.NewRunID(1, firstPeerTag)), false},
		"a peer doesn't know an earlier run": {firstPeerTag, disowned(0, namer.NewRunID(0, firstPeerTag)), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, now := newLifeOwner()
			heartbeats := []Event{ownerHeartbeat(0, "d0"), ownerHeartbeat(1, "d0")}
			s.Step(now, lifeWall, heartbeats)
			list := func() []Stop {
				now = now.Add(10 * time.Millisecond)
				return stopsOf(s.Step(now, lifeWall, []Event{PollResult{
					Worker: "w", SentAt: now, BootTime: firstBoot, Clock: namer.WorkerClockMillis(now.Sub(simEpoch).Milliseconds()),
					Active: []ActiveRun{{Task: task, Run: namer.NewRunID(1, c.tag)}},
				}}))
			}
			stops := list()
			if c.message != nil {
				stops = stopsOf(s.Step(now, lifeWall, []Event{c.message}))
			}
			must.Eq(t, c.stopped, len(stops) == 1)
			// The stop may have got no answer.
			must.Eq(t, c.stopped, len(list()) == 1)
		})
	}
}

// Guards against an instance that lets a run go on which it has given up.
func TestReportOfUnknownRunIsAnswered(t *testing.T) {
	ref := RunRef{"w", namer.TaskName{Job: "b"}, namer.NewRunID(1, ownTag)}
	elsewhere := ref
	elsewhere.Worker = "other"
	cases := map[string]struct {
		known   bool
		message PeerMessage
		unknown []RunRef
	}{
		"progress of a known run":               {true, PeerMessage{Progress: []RunProgress{{RunRef: ref}}}, nil},
		"progress of an unknown run":            {false, PeerMessage{Progress: []RunProgress{{RunRef: ref}}}, []RunRef{ref}},
		"progress of a known run, other worker": {true, PeerMessage{Progress: []RunProgress{{RunRef: elsewhere}}}, []RunRef{elsewhere}},
		"size of a known run":                   {true, PeerMessage{SizeRequests: []RunRef{ref}}, nil},
		"size of an unknown run":                {false, PeerMessage{SizeRequests: []RunRef{ref}}, []RunRef{ref}},
		"end of an unknown run":                 {false, PeerMessage{RunEnds: []RunEnd{{RunRef: ref}}}, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, now := newLifeOwner()
			s.Step(now, lifeWall, []Event{ownerHeartbeat(0, "d0")})
			if c.known {
				j := &job{JobSpec: JobSpec{Name: "b"}}
				s.addRun(&task{id: ref.Task, job: j, step: &StepSpec{}}, s.workers["w"], ref.Run, Resources{Cores: 1}, forecast{})
			}
			var unknown []RunRef
			for _, a := range s.Step(now, lifeWall, []Event{MessageReceived{From: "e0", SourceAddr: peerAddr(0), Message: c.message}}) {
				if m, isMessage := a.(SendMessage); isMessage {
					unknown = append(unknown, m.Message.UnknownRuns...)
				}
			}
			must.Eq(t, c.unknown, unknown)
		})
	}
}

// Guards against stops and messages in calm: an end overtakes the progress that waits to
// be sent.
func TestNoProgressAfterEnd(t *testing.T) {
	s, now := newLifeOwner()
	s.Step(now, lifeWall, []Event{ownerHeartbeat(0, "d0")})
	active := ActiveRun{Task: namer.TaskName{Job: "b"}, Run: namer.NewRunID(1, firstPeerTag)}
	other := ActiveRun{Task: namer.TaskName{Job: "b", Index: 1}, Run: namer.NewRunID(2, firstPeerTag)}
	both := []ActiveRun{active, other}
	ended := []EndedRun{{Sequence: 1, Task: active.Task, Run: active.Run}}
	// The first progress is sent at once, the second waits.
	lists := []PollResult{{Active: both}, {Active: both}, {Active: both[1:], Ended: ended}}
	var sent PeerMessage
	for n, list := range lists {
		now = now.Add(time.Millisecond)
		list.Worker, list.SentAt, list.BootTime, list.Clock = "w", now, firstBoot, namer.WorkerClockMillis(10+n)
		for _, a := range s.Step(now, lifeWall, []Event{list}) {
			if m, isMessage := a.(SendMessage); isMessage {
				sent = m.Message
			}
		}
	}
	must.Len(t, 1, sent.RunEnds)
	must.Len(t, 1, sent.Progress)
	must.Eq(t, other.Run, sent.Progress[0].Run)
}

// Guards against messages on late starts and unknown runs while nothing is disturbed.
func TestNoUnknownRunsInCalm(t *testing.T) {
	w := newSimWorld(1, smallSite)
	w.onMessage = func(m SendMessage) {
		must.SliceEmpty(t, m.Message.UnknownRuns)
		must.SliceEmpty(t, m.Message.LateStarts)
		must.SliceEmpty(t, m.Message.FenceRequests)
	}
	w.addMixedTraffic(0.7, 600*time.Millisecond, 4*time.Second, w.evenWeights())
	w.run(10 * time.Second)
	must.Positive(t, w.messages)
}
