package scheduler

import (
	"slices"
	"time"

	"github.com/heatherslip/heatherslip/internal/core/detector"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Owners notice which kinds slow each other down on one worker, tell each other, and
// prefer workers where a task disturbs nobody and isn't disturbed. It is a preference: a
// task shares a worker rather than find no capacity. docs/design/interference.md has the
// rationale.

const (
	// interferenceInterval is how often an owner tells the others what it has found. A
	// finding is forgotten there after some missed reports.
	interferenceInterval = 5 * time.Second
	// maxReportedPairs bounds the findings in a message.
	maxReportedPairs = 32
	// maxPastRuns is how many ended runs of a worker are kept to tell who was beside a
	// run that ends later.
	maxPastRuns = 16
)

// pastRun is a run that has ended on a worker.
type pastRun struct {
	kind             namer.Kind
	startedAt, ended time.Time
}

// recordPastRun records that a run has ended on an owned worker.
func (s *Scheduler) recordPastRun(w *worker, kind namer.Kind, startedAt time.Time) {
	if kind == "" || startedAt.IsZero() || !w.owned {
		return
	}
	if len(w.pastRuns) >= maxPastRuns {
		w.pastRuns = slices.Delete(w.pastRuns, 0, 1)
	}
	w.pastRuns = append(w.pastRuns, pastRun{kind, startedAt, s.now})
}

// observeNeighbors learns from a run that has ended how others beside it slow it down. It
// returns by how much those that are known to do so were expected to.
func (s *Scheduler) observeNeighbors(o observedRun, startedAt time.Time) (slowdown float64) {
	if s.IgnoresInterference || o.predicted <= 0 || o.tasks <= 0 {
		return 1
	}
	s.exposures = s.appendExposures(s.exposures[:0], o.worker, startedAt)
	slowdown = 1
	for _, e := range s.exposures {
		slowdown *= 1 + (s.interference.Slowdown(o.kind, e.Neighbor)-1)*min(e.Share, 1)
	}
	s.interference.Observe(s.now, detector.Observation{
		Kind: o.kind, Weight: 1 / float64(o.tasks), Exposures: s.exposures,
		Ratio: float64(o.actual) / (float64(o.predicted) * o.worker.speed.Estimate()),
	})
	s.logInterference()
	return slowdown
}

// appendExposures appends the kinds that were on a worker beside a run that ends now. The
// run itself isn't among the worker's runs any more.
func (s *Scheduler) appendExposures(out []detector.Exposure, w *worker, startedAt time.Time) []detector.Exposure {
	total := s.now.Sub(startedAt)
	if total <= 0 {
		return out
	}
	add := func(kind namer.Kind, from, until time.Time) {
		if from.Before(startedAt) {
			from = startedAt
		}
		if kind == "" || !from.Before(until) {
			return
		}
		share := float64(until.Sub(from)) / float64(total)
		if i := slices.IndexFunc(out, func(e detector.Exposure) bool { return e.Neighbor == kind }); i >= 0 {
			out[i].Share += share
			return
		}
		out = append(out, detector.Exposure{Neighbor: kind, Share: share})
	}
	for i := range w.pastRuns {
		add(w.pastRuns[i].kind, w.pastRuns[i].startedAt, w.pastRuns[i].ended)
	}
	for _, r := range w.ownRuns {
		if r.confirmed && r.task != nil {
			add(r.task.job.Kind, r.startedAt, s.now)
		}
	}
	for i := range w.foreignRuns {
		if f := &w.foreignRuns[i]; !f.startedAt.IsZero() {
			add(f.kind, f.startedAt, s.now)
		}
	}
	return out
}

// disturbance returns how much longer a request is expected to take beside what runs on a
// worker, and by how much it adds to the run times there, as shares of them.
func (s *Scheduler) disturbance(request *placementRequest, w *worker) (own, others float64) {
	if s.interference.Found() == 0 {
		return 0, 0
	}
	kind := request.kind()
	add := func(neighbor namer.Kind) {
		own += s.interference.Slowdown(kind, neighbor) - 1
		others += s.interference.Slowdown(neighbor, kind) - 1
	}
	for _, r := range w.ownRuns {
		if r.task != nil {
			add(r.task.job.Kind)
		}
	}
	for i := range w.foreignRuns {
		add(w.foreignRuns[i].kind)
	}
	for i := range w.reservations {
		add(w.reservations[i].kind)
	}
	return own, others
}

// kind returns the kind of a request's job.
func (r *placementRequest) kind() namer.Kind {
	if r.task != nil {
		return r.task.job.Kind
	}
	return r.pending.Kind
}

// shareInterference tells the other owners what this one has found.
func (s *Scheduler) shareInterference() {
	if s.now.Sub(s.interferenceSharedAt) < interferenceInterval {
		return
	}
	s.interferenceSharedAt = s.now
	s.interference.Expire(s.now)
	s.logInterference()
	findings := s.interference.Findings()
	if len(findings) == 0 || !s.isOwner {
		return
	}
	for _, p := range s.owners {
		s.outboxOf(p).Interference = findings[:min(len(findings), maxReportedPairs)]
	}
}

// handleInterference adds the findings of a peer.
func (s *Scheduler) handleInterference(p *peer, findings []detector.Finding) {
	if s.IgnoresInterference || len(findings) == 0 {
		return
	}
	if rejected := s.interference.Report(s.now, findings[:min(len(findings), maxReportedPairs)]); rejected > 0 {
		s.emit(Decision{Event: eventer.InterferenceRejected, Peer: p.name, Runs: rejected})
	}
	s.logInterference()
}

// logInterference logs the pairs of kinds that were found or forgotten.
func (s *Scheduler) logInterference() {
	for _, f := range s.interference.TakeChanges() {
		d := Decision{Event: eventer.InterferenceEnded, Reason: string(f.Kind) + " beside " + string(f.Neighbor)}
		if f.Slowdown > 1 {
			d.Event, d.Factor = eventer.InterferenceFound, f.Slowdown
		}
		s.emit(d)
		s.placementDue = true
	}
}

// InterferingPairs returns the number of pairs of kinds that are known to slow each other
// down.
func (s *Scheduler) InterferingPairs() int { return s.interference.Found() }
