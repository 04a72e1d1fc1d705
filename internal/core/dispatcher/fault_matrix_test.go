package dispatcher

import (
	"sort"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// cast names the nodes by their part in a submission's life.
type cast struct {
	entry, owner, heir int
	sub                namer.Submission
}

// fault is something that goes wrong at one step.
type fault struct {
	strike func(s *sim, c cast)
	// serves is set where a client that asks again must get its work done, and
	// not only the truth.
	serves bool
}

// allFaults lists the brief's "What fails" as far as the core sees it.
func allFaults() map[string]fault {
	both := func(s *sim, a, b int, lost bool) {
		s.cut[[2]int{a, b}] = lost
		s.cut[[2]int{b, a}] = lost
	}
	for10s := func(s *sim, on, off func()) {
		on()
		s.after(10*time.Second, off)
	}
	return map[string]fault{
		"nothing":    {func(*sim, cast) {}, true},
		"entry dies": {func(s *sim, c cast) { s.kill(c.entry) }, true},
		"owner dies": {func(s *sim, c cast) { s.kill(c.owner) }, false},
		"heir dies":  {func(s *sim, c cast) { s.kill(c.heir) }, true},
		"owner and heir die": {func(s *sim, c cast) {
			s.kill(c.owner)
			s.kill(c.heir)
		}, false},
		"owner restarts":       {func(s *sim, c cast) { s.restart(c.owner) }, false},
		"heir restarts":        {func(s *sim, c cast) { s.restart(c.heir) }, true},
		"owner pauses briefly": {func(s *sim, c cast) { s.freeze(c.owner, 1200*time.Millisecond) }, true},
		"owner pauses":         {func(s *sim, c cast) { s.freeze(c.owner, 5*time.Second) }, false},
		"heir pauses":          {func(s *sim, c cast) { s.freeze(c.heir, 5*time.Second) }, true},
		"entry pauses":         {func(s *sim, c cast) { s.freeze(c.entry, 5*time.Second) }, true},
		"owner and heir pause": {func(s *sim, c cast) {
			s.freeze(c.owner, 5*time.Second)
			s.freeze(c.heir, 5*time.Second)
		}, false},
		"all pause": {func(s *sim, c cast) {
			s.freeze(c.owner, 5*time.Second)
			s.freeze(c.heir, 5*time.Second)
			s.freeze(c.entry, 5*time.Second)
		}, false},
		"owner pauses, heir dies": {func(s *sim, c cast) {
			s.freeze(c.owner, 5*time.Second)
			s.after(3*time.Second, func() { s.kill(c.heir) })
		}, false},
		"owner pauses in an outage": {func(s *sim, c cast) {
			s.freeze(c.owner, 5*time.Second)
			for10s(s, func() { s.log.Faults.Down = true }, func() { s.log.Faults.Down = false })
		}, false},
		"owner dies in an outage": {func(s *sim, c cast) {
			s.kill(c.owner)
			for10s(s, func() { s.log.Faults.Down = true }, func() { s.log.Faults.Down = false })
		}, false},
		"heir dies in an outage": {func(s *sim, c cast) {
			s.kill(c.heir)
			for10s(s, func() { s.log.Faults.Down = true }, func() { s.log.Faults.Down = false })
		}, false},
		"log is down": {func(s *sim, _ cast) {
			for10s(s, func() { s.log.Faults.Down = true }, func() { s.log.Faults.Down = false })
		}, true},
		"appends are lost": {func(s *sim, _ cast) {
			for10s(s, func() { s.loseAppends = true }, func() { s.loseAppends = false })
		}, true},
		"owner loses the log": {func(s *sim, c cast) { s.nodes[c.owner].noLog = true }, true},
		"owner is cut off": {func(s *sim, c cast) {
			for10s(s, func() {
				both(s, c.owner, c.heir, true)
				both(s, c.owner, c.entry, true)
			}, func() {
				both(s, c.owner, c.heir, false)
				both(s, c.owner, c.entry, false)
			})
		}, false},
		"owner hears nobody": {func(s *sim, c cast) {
			s.cut[[2]int{c.heir, c.owner}] = true
			s.cut[[2]int{c.entry, c.owner}] = true
		}, false},
		"nobody hears owner": {func(s *sim, c cast) {
			s.cut[[2]int{c.owner, c.heir}] = true
			s.cut[[2]int{c.owner, c.entry}] = true
		}, false},
		"owner to heir is cut": {func(s *sim, c cast) { s.cut[[2]int{c.owner, c.heir}] = true }, false},
		"heir to owner is cut": {func(s *sim, c cast) { s.cut[[2]int{c.heir, c.owner}] = true }, false},
		"messages are lost and doubled": {func(s *sim, _ cast) {
			for10s(s, func() { s.loss, s.double = 0.2, 0.3 }, func() { s.loss, s.double = 0, 0 })
		}, true},
		"answers of starts are lost": {func(s *sim, _ cast) {
			for10s(s, func() { s.loseStart = true }, func() { s.loseStart = false })
		}, true},
		"starts are late, owner pauses": {func(s *sim, c cast) {
			s.delayStart = 6 * time.Second
			s.after(time.Second, func() { s.delayStart = 0 })
			s.freeze(c.owner, 4*time.Second)
		}, false},
		"starts are late, owner dies": {func(s *sim, c cast) {
			s.delayStart = 3 * time.Second
			s.after(time.Second, func() { s.delayStart = 0 })
			s.after(10*time.Millisecond, func() { s.kill(c.owner) })
		}, false},
		"workers die": {func(s *sim, _ cast) {
			for _, w := range s.workers[:2] {
				w.Faults.Dead = true
			}
		}, false},
		"workers die, owner dies": {func(s *sim, c cast) {
			for _, w := range s.workers[:2] {
				w.Faults.Dead = true
			}
			s.kill(c.owner)
		}, false},
		"minions lose answers": {func(s *sim, _ cast) { s.loseSend = true }, false},
		"minions refuse":       {func(s *sim, _ cast) { s.refuseSend = true }, false},
		"owner drains":         {func(s *sim, c cast) { s.deliver(s.nodes[c.owner], Drain{}) }, true},
		"heir drains":          {func(s *sim, c cast) { s.deliver(s.nodes[c.heir], Drain{}) }, true},
		"a node joins":         {func(s *sim, _ cast) { s.addNode() }, true},
		"a node joins, owner dies": {func(s *sim, c cast) {
			s.addNode()
			s.kill(c.owner)
		}, false},
		"client cancels": {func(s *sim, c cast) {
			w := s.work(c.sub.Key, 0, false)
			s.ask(c.entry, coder.OpCancel, w)
		}, false},
		"client cancels, owner dies": {func(s *sim, c cast) {
			s.ask(c.heir, coder.OpCancel, s.work(c.sub.Key, 0, false))
			s.kill(c.owner)
		}, false},
		"heir dies, then owner": {func(s *sim, c cast) {
			s.kill(c.heir)
			s.after(3*time.Second, func() { s.kill(c.owner) })
		}, false},
		"owner dies, then heir": {func(s *sim, c cast) {
			s.kill(c.owner)
			s.after(3*time.Second, func() { s.kill(c.heir) })
		}, false},
		"owner dies, then heir at once": {func(s *sim, c cast) {
			s.kill(c.owner)
			s.after(1800*time.Millisecond, func() { s.kill(c.heir) })
		}, false},
	}
}

// steps of the life of a job and of a request, as the simulation notes them.
var jobSteps = []string{
	"ask", "forward", "forward arrives", "replicate", "replicate arrives", "ack", "ack arrives",
	"start", "start arrives", "start answered", "end", "final", "final arrives", "outcome", "outcome arrives", "reply",
}

var requestSteps = []string{
	"ask", "forward", "forward arrives", "replicate", "replicate arrives", "ack", "ack arrives",
	"send", "send arrives", "send answered", "final", "final arrives", "outcome", "outcome arrives", "reply",
}

func names(faults map[string]fault) []string {
	out := make([]string, 0, len(faults))
	for name := range faults {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// TestFaultMatrix runs every fault at every step of a job's and a request's
// life. A client asks again at once, a little later, and much later, at
// whichever instance lives.
func TestFaultMatrix(t *testing.T) {
	faults := allFaults()
	for kind, steps := range map[string][]string{"job": jobSteps, "request": requestSteps} {
		for _, step := range steps {
			for _, name := range names(faults) {
				t.Run(kind+"/"+step+"/"+name, func(t *testing.T) {
					t.Parallel()
					runCell(t, kind == "request", step, faults[name])
				})
			}
		}
	}
}

func runCell(t *testing.T, request bool, step string, f fault) {
	s := newSim(t, 3, 11, ModeHeir)
	w := s.work("the key", 3, request)
	if request {
		w = s.work("the key", 1, true)
	}
	c := cast{sub: w.Submission}
	c.owner, c.heir = s.ownerOf(w.Submission)
	c.entry = 3 - c.owner - c.heir
	struck := false
	s.hook = func(at string, _ int) {
		if at == step && !struck {
			struck = true
			s.hook = nil
			f.strike(s, c)
		}
	}
	first := s.ask(c.entry, coder.OpSubmit, w)
	s.run(100 * time.Millisecond)
	s.askAgain(c, w)
	s.run(2 * time.Second)
	s.askAgain(c, w)
	s.run(22 * time.Second)
	must.True(t, struck, must.Sprint("the step was never reached"))
	last := s.askAgain(c, w)
	s.run(8 * time.Second)
	s.check()
	if f.serves {
		must.Eq(t, coder.Done, last.answers[0].Status, must.Sprintf("%+v", last.answers[0]))
	}
	if f.serves && !first.gone {
		must.Eq(t, coder.Done, first.answers[0].Status, must.Sprintf("%+v", first.answers[0]))
	}
}

// askAgain submits the work through the first instance that lives.
func (s *sim) askAgain(c cast, w coder.Work) *simCall {
	for _, i := range []int{c.heir, c.entry, c.owner} {
		if n := s.nodes[i]; !n.dead && !n.frozen && !n.left {
			return s.ask(i, coder.OpSubmit, w)
		}
	}
	// Everything is down: a replacement comes.
	return s.ask(s.addNode().index, coder.OpSubmit, w)
}
