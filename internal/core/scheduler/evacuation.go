package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// The operator may request the evacuation of a failure domain: nothing is started on its
// workers until the request is taken back. Runs there end by themselves, so workers are
// polled and their leases renewed as before.

// EvacuationsUpdated carries the evacuated domains, all of them.
type EvacuationsUpdated struct {
	Domains []namer.Domain
	// ReadAt is when the read that returned them was sent.
	ReadAt time.Time
}

func (EvacuationsUpdated) event() {}

// RefreshEvacuations asks for an EvacuationsUpdated that was read after this action, even
// if nothing has changed.
type RefreshEvacuations struct{}

func (RefreshEvacuations) action() {}

const (
	// evacuationPause is the pause of this instance from which on it starts nothing
	// before it has read the evacuations again. A shorter one delays an evacuation by
	// less than the fifth of the 5 s that the platform allows.
	evacuationPause = time.Second
	// refreshTimeout bounds that wait, since work has to go on while the store is away.
	// Peers that know of a newer evacuation have sent a heartbeat by then.
	refreshTimeout = 500 * time.Millisecond
)

// evacuations is what this instance knows of the operator's requests.
type evacuations struct {
	// known is set once there was an EvacuationsUpdated. Before that, nothing is started
	// if the settings say that there will be one.
	known bool
	// reported has the evacuated domains, with whether they have been logged.
	reported map[namer.Domain]bool
	// services has each service of which all listed workers are in evacuated domains.
	services map[namer.Service]bool
	// noneLeft is set if all listed workers are in evacuated domains.
	noneLeft bool
	// refreshBy is until when nothing is started for lack of a refresh; zero if none is
	// awaited.
	refreshBy time.Time
}

func (e *evacuations) has(domain namer.Domain) bool {
	_, found := e.reported[domain]
	return found
}

// obstacleToDomain returns the obstacle to starts that a worker's domain is.
func (s *Scheduler) obstacleToDomain(w *worker) obstacle {
	switch {
	case s.AwaitsEvacuations && !s.evacuations.known:
		return obstacleEvacuationsUnknown
	case s.evacuations.has(w.domain):
		return obstacleEvacuated
	}
	return noObstacle
}

// handleEvacuationsUpdated replaces the evacuated domains.
func (s *Scheduler) handleEvacuationsUpdated(e EvacuationsUpdated) {
	known := &s.evacuations
	known.known = true
	if !e.ReadAt.Before(s.resumedAt) {
		known.refreshBy = time.Time{}
	}
	before := known.reported
	known.reported = make(map[namer.Domain]bool, len(e.Domains))
	for _, d := range e.Domains {
		known.reported[d] = before[d]
	}
	for d := range before {
		if !known.has(d) {
			s.emitEvacuation(eventer.EvacuationEnded, d)
		}
	}
	s.reviewEvacuations()
	s.placementDue = true
	if s.isOwner && !maps.Equal(before, known.reported) {
		// Peers learn at once which workers are usable.
		s.stateUpdatedAt = time.Time{}
		s.registrar.Announce()
	}
}

// reviewEvacuations derives from the evacuated domains and the listed workers what can
// still be served. It logs new evacuations as soon as workers are listed, and refuses the
// waiting jobs that no worker is left for.
func (s *Scheduler) reviewEvacuations() {
	known := &s.evacuations
	if len(known.reported) == 0 {
		known.services, known.noneLeft = nil, false
		return
	}
	wasNoneLeft, hasListed := known.noneLeft, false
	known.services, known.noneLeft = make(map[namer.Service]bool), true
	for _, w := range s.sortedWorkers {
		if !w.listed {
			continue
		}
		evacuated := known.has(w.domain)
		previous, seen := known.services[w.service]
		known.services[w.service] = evacuated && (previous || !seen)
		known.noneLeft = known.noneLeft && evacuated
		hasListed = true
	}
	known.noneLeft = known.noneLeft && hasListed
	if !hasListed {
		return
	}
	s.reportEvacuations()
	if known.noneLeft && !wasNoneLeft {
		s.emit(Decision{Event: eventer.NoDomainLeft, Workers: len(s.sortedWorkers)})
	}
	s.refuseUnservable()
}

// reportEvacuations logs the evacuations that have not been logged.
func (s *Scheduler) reportEvacuations() {
	var domains []namer.Domain
	for d, isReported := range s.evacuations.reported {
		if !isReported {
			domains = append(domains, d)
		}
	}
	slices.Sort(domains)
	for _, d := range domains {
		s.evacuations.reported[d] = true
		if s.emitEvacuation(eventer.EvacuationBegun, d) == 0 {
			s.emit(Decision{Event: eventer.EvacuationNoWorkers, Domain: d})
		}
	}
}

// emitEvacuation logs the beginning or the end of an evacuation and returns the number
// of listed workers in the domain.
func (s *Scheduler) emitEvacuation(e eventer.Event, domain namer.Domain) int {
	d := Decision{Event: e, Domain: domain}
	for _, w := range s.sortedWorkers {
		if w.listed && w.domain == domain {
			d.Workers++
			d.Tasks += len(w.ownRuns) + len(w.foreignRuns)
		}
	}
	s.emit(d)
	return d.Workers
}

// refuseUnservable refuses the jobs of which nothing has started and that no worker is
// left for.
func (s *Scheduler) refuseUnservable() {
	for _, j := range slices.Clone(s.openJobs) {
		if s.evacuations.services[j.Service] && !j.mayHaveStarted() {
			s.refuseJob(j, Unavailable, s.unreachableReason(j.Service))
		}
	}
}

// unreachableReason returns why no worker of a service can be reached.
func (s *Scheduler) unreachableReason(service namer.Service) string {
	if s.evacuations.services[service] {
		return "all failure domains with workers are evacuated"
	}
	return "no worker can be reached"
}

// isUsableOwner reports whether a peer owns usable workers as far as is known. While
// domains are evacuated this instance may depend on others' owners alone, and must not
// attract clients once it does not hear them any more.
func (s *Scheduler) isUsableOwner(p *peer) bool {
	isCurrent := len(s.evacuations.reported) == 0 || s.now.Sub(p.advertisedAt) <= p.advertisedFor
	return len(p.freeCores) > 0 && isCurrent
}

// awaitRefresh has the evacuations read again after a pause of this instance, which may
// have missed a request.
func (s *Scheduler) awaitRefresh(pause time.Duration) {
	if !s.evacuations.known || pause < evacuationPause {
		return
	}
	s.evacuations.refreshBy = s.now.Add(refreshTimeout)
	s.emit(RefreshEvacuations{})
}

// isAwaitingRefresh reports whether nothing may be started until the evacuations are
// read again.
func (s *Scheduler) isAwaitingRefresh() bool { return s.now.Before(s.evacuations.refreshBy) }

// withholdStart drops the reservation of a start order and tells the peer, which places
// the task elsewhere. It reports whether the start must not be sent.
func (s *Scheduler) withholdStart(p *peer, w *worker, key runKey) bool {
	if s.obstacleToDomain(w) == noObstacle && !s.isAwaitingRefresh() {
		return false
	}
	i := w.reservationIndex(key)
	w.reservations = slices.Delete(w.reservations, i, i+1)
	out := s.outboxOf(p)
	out.StartReports = append(out.StartReports, StartReport{RunRef{w.id, key.task, key.run}, StartWithheld})
	s.placementDue = true
	return true
}
