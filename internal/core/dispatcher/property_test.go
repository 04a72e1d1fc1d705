package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// TestPromisesUnderRandomFaults drives the core with random schedules of work,
// resubmissions, cancellations and faults, and looks whether the promises hold.
func TestPromisesUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(t, 3, rapid.Uint64().Draw(rt, "seed"), ModeHeir)
		s.loss = rapid.SampledFrom([]float64{0, 0, 0.05, 0.2}).Draw(rt, "loss")
		s.double = rapid.SampledFrom([]float64{0, 0.1}).Draw(rt, "double")
		works := make([]coder.Work, 4)
		for i := range works {
			works[i] = s.work(namer.Key(fmt.Sprintf("key %d", i)), 1+i*2, i == 3)
			works[i].Tasks = works[i].Tasks[:max(1, len(works[i].Tasks)-i%2)]
		}
		works[3].Tasks = works[3].Tasks[:1]
		events := rapid.IntRange(6, 24).Draw(rt, "events")
		for range events {
			s.random(rt, works)
			s.run(time.Duration(rapid.IntRange(0, 1500).Draw(rt, "pause")) * time.Millisecond)
		}
		s.calm()
		s.run(60 * time.Second)
		s.check()
	})
}

// random lets one thing happen.
func (s *sim) random(rt *rapid.T, works []coder.Work) {
	at := rapid.IntRange(0, len(s.nodes)-1).Draw(rt, "node")
	w := works[rapid.IntRange(0, len(works)-1).Draw(rt, "work")]
	other := rapid.IntRange(0, len(s.nodes)-1).Draw(rt, "other")
	switch rapid.IntRange(0, 13).Draw(rt, "event") {
	case 0, 1, 2, 3, 4:
		if !s.nodes[at].dead && !s.nodes[at].frozen && !s.nodes[at].left {
			s.ask(at, coder.OpSubmit, w)
		}
	case 5:
		if !s.nodes[at].dead && !s.nodes[at].frozen && !s.nodes[at].left {
			c := w
			c.Tasks = nil
			s.ask(at, coder.OpCancel, c)
		}
	case 6:
		s.restart(at)
	case 7, 8:
		s.freeze(at, time.Duration(rapid.IntRange(100, 8000).Draw(rt, "freeze"))*time.Millisecond)
	case 9:
		s.cut[[2]int{at, other}] = !s.cut[[2]int{at, other}]
	case 10:
		s.log.Faults.Down = !s.log.Faults.Down
	case 11:
		s.loseStart = !s.loseStart
	case 12:
		s.nodes[at].noLog = !s.nodes[at].noLog
	case 13:
		s.loseSend = !s.loseSend
	}
}

// calm ends all faults.
func (s *sim) calm() {
	s.log.Faults.Down = false
	s.loseStart, s.loseSend = false, false
	s.loss, s.double = 0, 0
	clear(s.cut)
	for _, n := range s.nodes {
		n.noLog = false
	}
}
