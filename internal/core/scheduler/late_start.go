package scheduler

import (
	"slices"
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// A start without a response may take effect seconds later, also in the next incarnation of its
// worker, which accepts it until it has seen the fence of its own boot time. So a worker to which
// such a start may be on its way is called often while it doesn't respond, whether the platform
// lists it or not.

// maxOrderDelay is how late a start without a response may take effect.
const maxOrderDelay = 12 * time.Second

// recordUnansweredStart records that a start on a worker got no response. sender is the peer
// that has sent it, nil if this instance has. The owner and those that may take its place
// have to know; a sender that is the owner tells them.
func (s *Scheduler) recordUnansweredStart(w *worker, sender *peer) {
	w.unansweredAt = s.now
	if sender == nil || w.owner != sender {
		s.tellLateStarts(w)
	}
}

// mayGetLateStarts reports whether a start without a response, or one in flight that may get
// none, may still be on its way to a worker.
func (s *Scheduler) mayGetLateStarts(w *worker) bool {
	if !w.unansweredAt.IsZero() && s.now.Sub(w.unansweredAt) < maxOrderDelay {
		return true
	}
	return slices.ContainsFunc(w.reservations, func(r reservation) bool { return r.starting })
}

// AwaitsRestart reports whether an owned worker doesn't respond whose next incarnation has to
// be called at once.
func (s *Scheduler) AwaitsRestart() bool {
	return slices.ContainsFunc(s.ownedWorkers, func(w *worker) bool { return w.suspected && s.mayGetLateStarts(w) })
}

// tracks reports whether this instance keeps track of a worker: the platform lists it, it has
// runs of this instance, or its next incarnation may get a late start before it is listed.
func (s *Scheduler) tracks(w *worker) bool {
	return w.listed || len(w.ownRuns) > 0 || s.mayGetLateStarts(w)
}

// forgetUntrackedWorkers removes the workers that this instance keeps track of no longer.
func (s *Scheduler) forgetUntrackedWorkers() {
	for _, w := range slices.Clone(s.sortedWorkers) {
		s.removeIfUnused(w)
	}
}

// LateStart tells the owners of a domain that a start may still take effect on a worker.
type LateStart struct {
	Worker namer.Worker `cbor:"1,keyasint"`
	// Age is the time since the start got no response.
	Age time.Duration `cbor:"2,keyasint"`
}

// tellLateStarts tells the owners of a worker's domain of starts without a response.
func (s *Scheduler) tellLateStarts(w *worker) {
	if w.unansweredAt.IsZero() || !s.mayGetLateStarts(w) {
		return
	}
	for _, p := range s.ownersOf(w.domain) {
		out := s.outboxOf(p)
		out.LateStarts = append(out.LateStarts, LateStart{Worker: w.id, Age: s.now.Sub(w.unansweredAt)})
	}
}

// handleLateStart records what a peer knows of starts that may still take effect.
func (s *Scheduler) handleLateStart(e *LateStart) {
	if w := s.workers[e.Worker]; w != nil {
		w.unansweredAt = later(w.unansweredAt, s.now.Add(-max(0, e.Age)))
	}
}
