package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/heatherslip/heatherslip/internal/core/hasher"
	"github.com/heatherslip/heatherslip/internal/core/registrar"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Each worker is owned by one instance. Only the owner polls the worker,
// renews its lease and tracks its free capacity; other instances request a
// reservation from the owner before they start a task there. A reservation is
// advisory, not a lock: run numbers, leases and acknowledged stops are what
// prevent two runs of a task at the same time.

// setOwners records which other instances own workers, and whether this one does.
func (s *Scheduler) setOwners(owners []registrar.Owner) {
	s.isOwner = s.registrar.IsOwner()
	known := slices.Clone(s.owners)
	for _, p := range known {
		p.isOwner = false
	}
	s.owners = s.owners[:0]
	for _, o := range owners {
		p := s.peerNamed(o.Name)
		p.domain, p.cpuLimit, p.isOwner = o.Domain, o.CPULimit, true
		s.owners = append(s.owners, p)
		if !slices.Contains(known, p) {
			s.sendAllCrashes(p)
		}
	}
	s.ownersOutdated = true
	s.endClaimPauses()
}

// assignOwners assigns an owner to each worker: the instance ranked first by
// weighted rendezvous hashing, in proportion to its CPU limit, among the owners of
// the worker's domain, or among all owners if the domain has none. The assignment is
// stable while the owners and the listed workers stay the same.
func (s *Scheduler) assignOwners() {
	if !s.ownersOutdated {
		return
	}
	s.ownersOutdated = false
	s.rackOwners = nil
	s.ownedWorkers = s.ownedWorkers[:0]
	for _, w := range s.sortedWorkers {
		s.setOwner(w, s.ownerOf(w))
		if w.owned {
			s.ownedWorkers = append(s.ownedWorkers, w)
		}
	}
	s.placementDue = true
}

// setOwner assigns an owner to a worker: a peer, or if that is nil this instance,
// provided that it owns workers.
func (s *Scheduler) setOwner(w *worker, owner *peer) {
	owned := owner == nil && s.isOwner
	if owner == w.owner && owned == w.owned {
		return
	}
	wasOwned := w.owned
	w.owner, w.owned = owner, owned
	w.reservations, w.pastRuns = nil, nil
	if wasOwned {
		s.handOverSpeed(w)
	}
	s.tellLateStarts(w)
	w.resetGuard()
	w.runsListed = false
	if !owned {
		s.forgetForeignRuns(w)
		s.trackRemoteWorker(w)
		return
	}
	w.nextPollAt = s.now
	s.emit(Decision{Event: eventer.WorkerOwned, Worker: w.id, WaitingTasks: len(s.owners)})
}

// trackRemoteWorker records that this instance has runs on a worker that it does not
// own.
func (s *Scheduler) trackRemoteWorker(w *worker) {
	if !w.owned && len(w.ownRuns) > 0 && !slices.Contains(s.remoteWorkers, w) {
		s.remoteWorkers = append(s.remoteWorkers, w)
	}
}

// forEachPolledWorker calls visit for each worker that this instance may have to
// poll: those that it owns, and those where it has runs.
func (s *Scheduler) forEachPolledWorker(visit func(*worker)) {
	for _, w := range s.ownedWorkers {
		visit(w)
	}
	s.remoteWorkers = slices.DeleteFunc(s.remoteWorkers, func(w *worker) bool { return w.owned || len(w.ownRuns) == 0 && !w.pollInFlight })
	for _, w := range s.remoteWorkers {
		visit(w)
	}
}

// ownerOf returns the peer that should own a worker, or nil if this instance should
// or no owner is known.
func (s *Scheduler) ownerOf(w *worker) *peer {
	var best *peer
	var bestRank ownerRank
	if s.isOwner {
		bestRank = ownerRank{sameDomain: s.Domain == w.domain, score: rendezvousScore(s.nameHash, w.idHash, s.CPULimit)}
	}
	for _, p := range s.owners {
		rank := ownerRank{sameDomain: p.domain == w.domain, score: rendezvousScore(p.nameHash, w.idHash, p.cpuLimit)}
		if rank.outranks(bestRank) {
			best, bestRank = p, rank
		}
	}
	return best
}

// possibleOwners returns the peers one of which owns a worker, none if this instance does. The
// supposed owner alone is not enough: it may be silent, and another one have taken its place,
// long before this instance hears of that.
func (s *Scheduler) possibleOwners(w *worker) []*peer {
	if w.owned {
		return nil
	}
	return s.ownersOf(w.domain)
}

// ownersOf returns the peers that own the workers of a domain: its own owners, or all if it has
// none.
func (s *Scheduler) ownersOf(d namer.Domain) []*peer {
	var out []*peer
	for _, p := range s.owners {
		if p.domain == d {
			out = append(out, p)
		}
	}
	if len(out) == 0 {
		return s.owners
	}
	return out
}

// ownerRank is the rank of an instance as owner of a worker. The fields are
// compared in order.
type ownerRank struct {
	sameDomain bool
	score      float64
}

func (r ownerRank) outranks(other ownerRank) bool {
	if r.sameDomain != other.sameDomain {
		return r.sameDomain
	}
	return r.score > other.score
}

// shouldPoll reports whether this instance polls a worker: as its owner, or
// because it has runs there and the owner doesn't report on them.
func (s *Scheduler) shouldPoll(w *worker) bool {
	if w.owned {
		return s.tracks(w)
	}
	if len(w.ownRuns) == 0 {
		return false
	}
	if w.owner == nil || s.now.Sub(w.owner.lastSeen) > ownerTimeout {
		return true
	}
	return slices.ContainsFunc(w.ownRuns, func(r *run) bool { return r.stopRequested || r.inDoubt || s.isOverdue(r) })
}

const (
	// ownerTimeout is how long an owner may be silent before an instance itself
	// polls the workers where it has runs.
	ownerTimeout = 250 * time.Millisecond
	// A run that takes longer than overdueFactor times its predicted run time plus
	// overdueSlack is overdue: it is slow, or its end was not reported.
	overdueFactor = 1.5
	overdueSlack  = 60 * time.Millisecond
)

func (s *Scheduler) isOverdue(r *run) bool {
	return r.confirmed && s.now.Sub(r.startedAt) > time.Duration(overdueFactor*float64(r.forecast.expected))+overdueSlack
}

// defaultCPULimit is assumed for an instance that reports no CPU limit.
const defaultCPULimit namer.MilliCores = namer.MilliCoresPerCore

// rendezvousScore returns the score of an instance for a worker in weighted
// rendezvous hashing. The weight is the instance's CPU limit.
func rendezvousScore(instanceHash, workerHash uint64, cpuLimit namer.MilliCores) float64 {
	if cpuLimit <= 0 {
		cpuLimit = defaultCPULimit
	}
	const mantissaRange = 1 << 53
	uniform := (float64(hasher.Mix(instanceHash, workerHash)>>11) + 0.5) / mantissaRange
	return -float64(cpuLimit) / math.Log(uniform)
}
