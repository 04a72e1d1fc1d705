package dispatcher

import (
	"sort"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// nodeRoles holds the indexes of the nodes by their role for one submission.
type nodeRoles struct {
	entry, owner, successor int
	submission              namer.Submission
}

// fault is a failure that is injected at one step.
type fault struct {
	inject func(s *sim, roles nodeRoles)
	// mustComplete is set if the work must be done in spite of the fault, for a
	// client that asks again. Otherwise only the answers must be correct.
	mustComplete bool
}

// allFaults lists the failures that the system must tolerate, as far as they
// are visible to the core.
func allFaults() map[string]fault {
	setLinks := func(s *sim, a, b int, broken bool) {
		s.brokenLinks[[2]int{a, b}] = broken
		s.brokenLinks[[2]int{b, a}] = broken
	}
	forTenSeconds := func(s *sim, start, stop func()) {
		start()
		s.schedule(10*time.Second, stop)
	}
	return map[string]fault{
		"no fault":       {func(*sim, nodeRoles) {}, true},
		"entry dies":     {func(s *sim, roles nodeRoles) { s.killNode(roles.entry) }, true},
		"owner dies":     {func(s *sim, roles nodeRoles) { s.killNode(roles.owner) }, false},
		"successor dies": {func(s *sim, roles nodeRoles) { s.killNode(roles.successor) }, true},
		"owner and successor die": {func(s *sim, roles nodeRoles) {
			s.killNode(roles.owner)
			s.killNode(roles.successor)
		}, false},
		"owner restarts":       {func(s *sim, roles nodeRoles) { s.restartNode(roles.owner) }, false},
		"successor restarts":   {func(s *sim, roles nodeRoles) { s.restartNode(roles.successor) }, true},
		"owner pauses briefly": {func(s *sim, roles nodeRoles) { s.pauseNode(roles.owner, 1200*time.Millisecond) }, true},
		"owner pauses":         {func(s *sim, roles nodeRoles) { s.pauseNode(roles.owner, 5*time.Second) }, false},
		"successor pauses":     {func(s *sim, roles nodeRoles) { s.pauseNode(roles.successor, 5*time.Second) }, true},
		"entry pauses":         {func(s *sim, roles nodeRoles) { s.pauseNode(roles.entry, 5*time.Second) }, true},
		"owner and successor pause": {func(s *sim, roles nodeRoles) {
			s.pauseNode(roles.owner, 5*time.Second)
			s.pauseNode(roles.successor, 5*time.Second)
		}, false},
		"all instances pause": {func(s *sim, roles nodeRoles) {
			s.pauseNode(roles.owner, 5*time.Second)
			s.pauseNode(roles.successor, 5*time.Second)
			s.pauseNode(roles.entry, 5*time.Second)
		}, false},
		"owner pauses, successor dies": {func(s *sim, roles nodeRoles) {
			s.pauseNode(roles.owner, 5*time.Second)
			s.schedule(3*time.Second, func() { s.killNode(roles.successor) })
		}, false},
		"owner pauses during log outage": {func(s *sim, roles nodeRoles) {
			s.pauseNode(roles.owner, 5*time.Second)
			forTenSeconds(s, func() { s.log.Faults.Unavailable = true }, func() { s.log.Faults.Unavailable = false })
		}, false},
		"owner dies during log outage": {func(s *sim, roles nodeRoles) {
			s.killNode(roles.owner)
			forTenSeconds(s, func() { s.log.Faults.Unavailable = true }, func() { s.log.Faults.Unavailable = false })
		}, false},
		"successor dies during log outage": {func(s *sim, roles nodeRoles) {
			s.killNode(roles.successor)
			forTenSeconds(s, func() { s.log.Faults.Unavailable = true }, func() { s.log.Faults.Unavailable = false })
		}, false},
		"log is down": {func(s *sim, _ nodeRoles) {
			forTenSeconds(s, func() { s.log.Faults.Unavailable = true }, func() { s.log.Faults.Unavailable = false })
		}, true},
		"appends are lost": {func(s *sim, _ nodeRoles) {
			forTenSeconds(s, func() { s.loseAppends = true }, func() { s.loseAppends = false })
		}, true},
		"owner cannot reach the log": {func(s *sim, roles nodeRoles) { s.nodes[roles.owner].logUnreachable = true }, true},
		"owner is partitioned": {func(s *sim, roles nodeRoles) {
			forTenSeconds(s, func() {
				setLinks(s, roles.owner, roles.successor, true)
				setLinks(s, roles.owner, roles.entry, true)
			}, func() {
				setLinks(s, roles.owner, roles.successor, false)
				setLinks(s, roles.owner, roles.entry, false)
			})
		}, false},
		"owner receives nothing": {func(s *sim, roles nodeRoles) {
			s.brokenLinks[[2]int{roles.successor, roles.owner}] = true
			s.brokenLinks[[2]int{roles.entry, roles.owner}] = true
		}, false},
		"owner sends nothing": {func(s *sim, roles nodeRoles) {
			s.brokenLinks[[2]int{roles.owner, roles.successor}] = true
			s.brokenLinks[[2]int{roles.owner, roles.entry}] = true
		}, false},
		"link from owner to successor breaks": {func(s *sim, roles nodeRoles) { s.brokenLinks[[2]int{roles.owner, roles.successor}] = true }, false},
		"link from successor to owner breaks": {func(s *sim, roles nodeRoles) { s.brokenLinks[[2]int{roles.successor, roles.owner}] = true }, false},
		"messages are lost and duplicated": {func(s *sim, _ nodeRoles) {
			forTenSeconds(s, func() { s.lossRate, s.duplicateRate = 0.2, 0.3 }, func() { s.lossRate, s.duplicateRate = 0, 0 })
		}, true},
		"start answers are lost": {func(s *sim, _ nodeRoles) {
			forTenSeconds(s, func() { s.loseStartAnswers = true }, func() { s.loseStartAnswers = false })
		}, true},
		"starts are delayed, owner pauses": {func(s *sim, roles nodeRoles) {
			s.startDelay = 6 * time.Second
			s.schedule(time.Second, func() { s.startDelay = 0 })
			s.pauseNode(roles.owner, 4*time.Second)
		}, false},
		"starts are delayed, owner dies": {func(s *sim, roles nodeRoles) {
			s.startDelay = 3 * time.Second
			s.schedule(time.Second, func() { s.startDelay = 0 })
			s.schedule(10*time.Millisecond, func() { s.killNode(roles.owner) })
		}, false},
		"workers die": {func(s *sim, _ nodeRoles) {
			for _, w := range s.workers[:2] {
				w.Faults.Unreachable = true
			}
		}, false},
		"workers restart": {func(s *sim, _ nodeRoles) {
			for _, w := range s.workers[:2] {
				w.Restart()
			}
		}, false},
		"workers restart, owner dies": {func(s *sim, roles nodeRoles) {
			for _, w := range s.workers[:2] {
				w.Restart()
			}
			s.killNode(roles.owner)
		}, false},
		"workers die, owner dies": {func(s *sim, roles nodeRoles) {
			for _, w := range s.workers[:2] {
				w.Faults.Unreachable = true
			}
			s.killNode(roles.owner)
		}, false},
		"minion answers are lost": {func(s *sim, _ nodeRoles) { s.loseRequestAnswers = true }, false},
		"minions refuse requests": {func(s *sim, _ nodeRoles) { s.refuseRequests = true }, false},
		"owner drains":            {func(s *sim, roles nodeRoles) { s.deliverEvent(s.nodes[roles.owner], Drain{}) }, true},
		"successor drains":        {func(s *sim, roles nodeRoles) { s.deliverEvent(s.nodes[roles.successor], Drain{}) }, true},
		"an instance joins":       {func(s *sim, _ nodeRoles) { s.addNode() }, true},
		"an instance joins, owner dies": {func(s *sim, roles nodeRoles) {
			s.addNode()
			s.killNode(roles.owner)
		}, false},
		"client cancels": {func(s *sim, roles nodeRoles) {
			w := s.newWork(roles.submission.Key, 0, false)
			s.makeCall(roles.entry, coder.OpCancel, w)
		}, false},
		"client cancels, owner dies": {func(s *sim, roles nodeRoles) {
			s.makeCall(roles.successor, coder.OpCancel, s.newWork(roles.submission.Key, 0, false))
			s.killNode(roles.owner)
		}, false},
		"successor dies, owner dies later": {func(s *sim, roles nodeRoles) {
			s.killNode(roles.successor)
			s.schedule(3*time.Second, func() { s.killNode(roles.owner) })
		}, false},
		"owner dies, successor dies later": {func(s *sim, roles nodeRoles) {
			s.killNode(roles.owner)
			s.schedule(3*time.Second, func() { s.killNode(roles.successor) })
		}, false},
		"owner dies, successor dies soon after": {func(s *sim, roles nodeRoles) {
			s.killNode(roles.owner)
			s.schedule(1800*time.Millisecond, func() { s.killNode(roles.successor) })
		}, false},
	}
}

// jobSteps are the steps in the processing of a job, as the simulation reports
// them.
var jobSteps = []string{
	"call", "forward", "forward arrives", "replicate", "replicate arrives", "ack", "ack arrives",
	"start", "start arrives", "start answered", "task end", "final answer", "final answer arrives", "forward response", "forward response arrives", "reply",
}

// requestSteps are the steps in the processing of a request.
var requestSteps = []string{
	"call", "forward", "forward arrives", "replicate", "replicate arrives", "ack", "ack arrives",
	"send", "send arrives", "send answered", "final answer", "final answer arrives", "forward response", "forward response arrives", "reply",
}

func sortedNames(faults map[string]fault) []string {
	out := make([]string, 0, len(faults))
	for name := range faults {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// TestFaultMatrix injects every fault at every step of a job and of a request.
// The client submits the same work again at once, after two seconds, and after
// the deadline, at an instance that is running.
func TestFaultMatrix(t *testing.T) {
	faults := allFaults()
	for kind, steps := range map[string][]string{"job": jobSteps, "request": requestSteps} {
		for _, step := range steps {
			for _, name := range sortedNames(faults) {
				t.Run(kind+"/"+step+"/"+name, func(t *testing.T) {
					t.Parallel()
					runFaultCase(t, kind == "request", step, faults[name])
				})
			}
		}
	}
}

func runFaultCase(t *testing.T, request bool, step string, f fault) {
	s := newSim(t, 3, 11, ModeReplicate)
	w := s.newWork("the key", 3, request)
	if request {
		w = s.newWork("the key", 1, true)
	}
	roles := nodeRoles{submission: w.Submission}
	roles.owner, roles.successor = s.ownerAndSuccessorOf(w.Submission)
	roles.entry = 3 - roles.owner - roles.successor
	injected := false
	s.onStep = func(reached string, _ int) {
		if reached == step && !injected {
			injected = true
			s.onStep = nil
			f.inject(s, roles)
		}
	}
	first := s.makeCall(roles.entry, coder.OpSubmit, w)
	s.advanceTime(100 * time.Millisecond)
	s.resubmit(roles, w)
	s.advanceTime(2 * time.Second)
	s.resubmit(roles, w)
	s.advanceTime(22 * time.Second)
	must.True(t, injected, must.Sprint("the step must be reached"))
	last := s.resubmit(roles, w)
	s.advanceTime(8 * time.Second)
	s.checkInvariants()
	if f.mustComplete {
		must.Eq(t, coder.StatusDone, last.answers[0].Status, must.Sprintf("%+v", last.answers[0]))
	}
	if f.mustComplete && !first.abandoned {
		must.Eq(t, coder.StatusDone, first.answers[0].Status, must.Sprintf("%+v", first.answers[0]))
	}
}

// resubmit submits the work at the first instance that is running.
func (s *sim) resubmit(roles nodeRoles, w coder.Work) *simCall {
	for _, i := range []int{roles.successor, roles.entry, roles.owner} {
		if n := s.nodes[i]; !n.killed && !n.paused && !n.drained {
			return s.makeCall(i, coder.OpSubmit, w)
		}
	}
	// No instance is running, so a replacement is started.
	return s.makeCall(s.addNode().index, coder.OpSubmit, w)
}
