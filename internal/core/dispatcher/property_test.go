package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// TestPromisesUnderRandomFaults drives the core with random sequences of
// submissions, resubmissions, cancellations and faults, and checks the
// invariants.
func TestPromisesUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(t, 3, rapid.Uint64().Draw(rt, "seed"), ModeReplicate)
		s.lossRate = rapid.SampledFrom([]float64{0, 0, 0.05, 0.2}).Draw(rt, "loss")
		s.duplicateRate = rapid.SampledFrom([]float64{0, 0.1}).Draw(rt, "duplicates")
		works := make([]coder.Work, 4)
		for i := range works {
			works[i] = s.newWork(namer.Key(fmt.Sprintf("key %d", i)), 1+i*2, i == 3)
			works[i].Tasks = works[i].Tasks[:max(1, len(works[i].Tasks)-i%2)]
		}
		works[3].Tasks = works[3].Tasks[:1]
		events := rapid.IntRange(6, 24).Draw(rt, "events")
		for range events {
			s.injectRandomEvent(rt, works)
			s.advanceTime(time.Duration(rapid.IntRange(0, 1500).Draw(rt, "interval")) * time.Millisecond)
		}
		s.clearFaults()
		s.advanceTime(60 * time.Second)
		s.checkInvariants()
	})
}

// injectRandomEvent makes one random call or injects one random fault.
func (s *sim) injectRandomEvent(rt *rapid.T, works []coder.Work) {
	target := rapid.IntRange(0, len(s.nodes)-1).Draw(rt, "node")
	w := works[rapid.IntRange(0, len(works)-1).Draw(rt, "work")]
	other := rapid.IntRange(0, len(s.nodes)-1).Draw(rt, "other")
	switch rapid.IntRange(0, 13).Draw(rt, "event") {
	case 0, 1, 2, 3, 4:
		if !s.nodes[target].killed && !s.nodes[target].paused && !s.nodes[target].drained {
			s.makeCall(target, coder.OpSubmit, w)
		}
	case 5:
		if !s.nodes[target].killed && !s.nodes[target].paused && !s.nodes[target].drained {
			cancelled := w
			cancelled.Tasks = nil
			s.makeCall(target, coder.OpCancel, cancelled)
		}
	case 6:
		s.restartNode(target)
	case 7, 8:
		s.pauseNode(target, time.Duration(rapid.IntRange(100, 8000).Draw(rt, "pause"))*time.Millisecond)
	case 9:
		s.brokenLinks[[2]int{target, other}] = !s.brokenLinks[[2]int{target, other}]
	case 10:
		s.log.Faults.Unavailable = !s.log.Faults.Unavailable
	case 11:
		s.loseStartAnswers = !s.loseStartAnswers
	case 12:
		s.nodes[target].logUnreachable = !s.nodes[target].logUnreachable
	case 13:
		s.loseRequestAnswers = !s.loseRequestAnswers
	}
}

// clearFaults ends all faults.
func (s *sim) clearFaults() {
	s.log.Faults.Unavailable = false
	s.loseStartAnswers, s.loseRequestAnswers = false, false
	s.lossRate, s.duplicateRate = 0, 0
	clear(s.brokenLinks)
	for _, n := range s.nodes {
		n.logUnreachable = false
	}
}
