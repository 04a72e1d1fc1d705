package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Each worker is owned by one live instance. Only the owner polls the worker,
// renews its lease and tracks its free capacity; other instances request a
// reservation from the owner before they start a task there. A reservation is
// advisory, not a lock: run numbers, leases and acknowledged stops are what
// prevent two runs of a task at the same time.

// assignOwners assigns an owner to each worker: the instance ranked first by
// weighted rendezvous hashing, in proportion to its CPU limit, among the live
// instances of the worker's domain, or among all if the domain has none. The
// assignment is stable while the same instances are live and the same workers
// are listed.
//
// A newly started instance takes no workers until it has discovered its peers.
// Otherwise, when a whole site starts, each instance would poll most workers.
func (s *Scheduler) assignOwners() {
	livePeers := s.sortedLivePeers()
	if uptime := s.now.Sub(s.startedAt); uptime < startupDelay || uptime < isolatedStartupDelay && len(livePeers) == 0 {
		return
	}
	if slices.Equal(livePeers, s.livePeers) && !s.ownersOutdated {
		return
	}
	s.livePeers, s.ownersOutdated = livePeers, false
	s.ownedWorkers = s.ownedWorkers[:0]
	for _, w := range s.sortedWorkers {
		s.setOwner(w, s.ownerOf(w))
		if w.owner == nil {
			s.ownedWorkers = append(s.ownedWorkers, w)
		}
	}
	s.placementDue = true
}

func (s *Scheduler) setOwner(w *worker, owner *peer) {
	if owner == w.owner && w.ownerAssigned {
		return
	}
	w.owner, w.ownerAssigned = owner, true
	w.reservations = nil
	if owner != nil {
		s.setForeignRuns(w, nil)
		s.trackRemoteWorker(w)
		return
	}
	w.runsListed = false
	w.nextPollAt = s.now
	s.emit(Decision{Event: eventer.WorkerOwned, Worker: w.id, WaitingTasks: len(s.livePeers)})
}

// trackRemoteWorker records that this instance has runs on a worker that a peer
// owns.
func (s *Scheduler) trackRemoteWorker(w *worker) {
	if w.owner != nil && len(w.ownRuns) > 0 && !slices.Contains(s.remoteWorkers, w) {
		s.remoteWorkers = append(s.remoteWorkers, w)
	}
}

// forEachPolledWorker calls visit for each worker that this instance may have to
// poll: those that it owns, and those where it has runs.
func (s *Scheduler) forEachPolledWorker(visit func(*worker)) {
	for _, w := range s.ownedWorkers {
		visit(w)
	}
	s.remoteWorkers = slices.DeleteFunc(s.remoteWorkers, func(w *worker) bool { return w.owner == nil || len(w.ownRuns) == 0 && !w.pollInFlight })
	for _, w := range s.remoteWorkers {
		visit(w)
	}
}

// ownerOf returns the peer that should own a worker, or nil for this instance.
// A draining instance owns no workers unless all live instances are draining.
func (s *Scheduler) ownerOf(w *worker) *peer {
	var best *peer
	bestRank := ownerRank{notDraining: !s.draining, sameDomain: s.Domain == w.domain, score: rendezvousScore(s.nameHash, w.idHash, s.CPULimit)}
	for _, p := range s.livePeers {
		rank := ownerRank{notDraining: !p.draining, sameDomain: p.domain == w.domain, score: rendezvousScore(p.nameHash, w.idHash, p.cpuLimit)}
		if rank.outranks(bestRank) {
			best, bestRank = p, rank
		}
	}
	return best
}

// ownerRank is the rank of an instance as owner of a worker. The fields are
// compared in order.
type ownerRank struct {
	notDraining, sameDomain bool
	score                   float64
}

func (r ownerRank) outranks(other ownerRank) bool {
	if r.notDraining != other.notDraining {
		return r.notDraining
	}
	if r.sameDomain != other.sameDomain {
		return r.sameDomain
	}
	return r.score > other.score
}

// Drain starts draining: the workers get other owners while the jobs here end.
func (s *Scheduler) Drain() {
	s.draining = true
	s.ownersOutdated = true
}

// shouldPoll reports whether this instance polls a worker: as its owner, or
// because it has runs there and the owner doesn't report on them.
func (s *Scheduler) shouldPoll(w *worker) bool {
	if w.owner == nil {
		return w.listed || len(w.ownRuns) > 0
	}
	if len(w.ownRuns) == 0 {
		return false
	}
	if s.now.Sub(w.owner.lastSeen) > ownerTimeout {
		return true
	}
	return slices.ContainsFunc(w.ownRuns, func(r *run) bool { return r.stopRequested || r.inDoubt || s.isOverdue(r) })
}

const (
	// startupDelay is how long a newly started instance discovers its peers
	// before it owns workers: heartbeats arrive every 50 to 130 ms, and peers
	// respond at once to those of a new instance.
	startupDelay = 100 * time.Millisecond
	// isolatedStartupDelay replaces startupDelay while no peer is known: when a
	// whole site starts, the seed instances may come up last, after up to 0.3 s.
	isolatedStartupDelay = 400 * time.Millisecond
	// ownerTimeout is how long an owner may be silent before an instance itself
	// polls the workers where it has runs.
	ownerTimeout = 250 * time.Millisecond
	// A run that takes longer than overdueFactor times its predicted run time plus
	// overdueSlack is overdue: it is slow, or its end was not reported.
	overdueFactor = 1.5
	overdueSlack  = 60 * time.Millisecond
)

func (s *Scheduler) isOverdue(r *run) bool {
	return r.confirmed && s.now.Sub(r.startedAt) > time.Duration(overdueFactor*float64(r.predictedRunTime))+overdueSlack
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
	uniform := (float64(mixHashes(instanceHash, workerHash)>>11) + 0.5) / mantissaRange
	return -float64(cpuLimit) / math.Log(uniform)
}

// mixHashes combines two hashes with the finalizer of SplitMix64.
func mixHashes(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
