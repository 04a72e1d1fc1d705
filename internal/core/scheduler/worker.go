package scheduler

import (
	"slices"
	"time"

	"github.com/heatherslip/heatherslip/internal/core/estimator"
	"github.com/heatherslip/heatherslip/internal/core/hasher"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// worker is an entry of the worker table.
type worker struct {
	id       namer.Worker
	service  namer.Service
	domain   namer.Domain
	draining bool
	// notice is the current incarnation's; zero if it isn't draining.
	notice Notice
	// leavesAt is when the worker leaves, as its owner reported it; zero if unknown or
	// if this instance owns the worker.
	leavesAt time.Time
	// listed is false before the worker is known from the platform's list, which a peer
	// may have newer, and once the platform has removed it. The entry stays while runs
	// of this instance may exist there, or late starts may arrive.
	listed bool
	// removed is set once the platform has removed the worker, at removedAt.
	removed   bool
	removedAt time.Time
	capacity  Resources
	labels    []string
	// bootTime identifies the newest incarnation that is known, to which the fields below
	// refer. The fields above are from the worker's entry in the list, whose incarnation is
	// entryBootTime: never a later one.
	bootTime, entryBootTime namer.UnixMillis
	// restartedAt is when this instance found the incarnation.
	restartedAt time.Time
	// clockReading is the worker's clock as of clockReadAt.
	clockReading namer.WorkerClockMillis
	clockReadAt  time.Time
	// runsListed is set once the incarnation has listed its runs, as long as foreignRuns are
	// kept. The list is the response to a poll that was sent at listRequestedAt.
	runsListed      bool
	listRequestedAt time.Time
	// listClock is the worker's clock when it wrote that list, and listedAt when this
	// instance got it. Both are zero before the incarnation's first list.
	listClock namer.WorkerClockMillis
	listedAt  time.Time
	lastSeen  time.Time
	// listedSequence is the highest sequence number of an ended run that the worker
	// has listed.
	listedSequence int64
	// unackedEnds has the listed ends of other instances' runs that these have not
	// acknowledged, by sequence number, with the time when each was first listed.
	unackedEnds map[int64]time.Time
	// ownRuns are the runs of this instance that may exist there, oldest first.
	ownRuns []*run
	// foreignRuns are the runs of other instances that the worker listed last,
	// plus those started on a reservation since. Only the owner tracks them.
	foreignRuns []foreignRun
	// reservations hold capacity for starts of peers.
	reservations []reservation
	// leasableUntil is a time until which the instances of all foreign runs and of the starts
	// in flight count as live.
	leasableUntil time.Time
	// ownUsage and foreignUsage are the capacity used by both groups of runs.
	ownUsage     Resources
	foreignUsage Resources
	// No run is placed on the worker until both fullUntil, which is set when it
	// rejects a start for lack of capacity, and breakerOpenUntil have passed.
	fullUntil        time.Time
	breakerOpenUntil time.Time
	// suspected is set by a request without a response, until the next poll
	// result.
	suspected bool
	// crashed is set while the worker's address refuses connections. lostRuns are the
	// runs that were counted as lost then.
	crashed  bool
	lostRuns []RunRef
	// refusedAt is when the worker has rejected the highest fence that is known here; zero
	// if it has not. unansweredAt is when a start last got no response, as far as is known.
	refusedAt    time.Time
	unansweredAt time.Time
	// runsBeforeRestart are the runs that were known when the worker turned out to have
	// restarted, until the new incarnation has listed its runs.
	runsBeforeRestart   []CrashReport
	consecutiveFailures int
	// breakerTrips counts how often the breaker has opened since the last
	// success. While it is positive, the worker gets one run at a time.
	breakerTrips int
	// speed is that of the incarnation, as far as this instance has seen runs end there
	// as its owner.
	speed estimator.Speed
	// speedReportsDue is how often the speed is still to be told to the owner.
	speedReportsDue int
	speedLoggedAt   time.Time
	// endDelay is how late the ends in the newest poll result may have been seen.
	endDelay time.Duration

	pollInFlight bool
	nextPollAt   time.Time
	failedPolls  int
	// pastRuns are the latest runs that have ended there, the oldest first.
	pastRuns []pastRun
	// owned is set if this instance owns the worker. Otherwise owner is the peer that
	// does, or nil if none is known.
	owned bool
	owner *peer
	guard guard
	// idHash is the hash of the ID.
	idHash uint64
}

// foreignRun is a run of another instance.
type foreignRun struct {
	ActiveRun
	// size is what was reserved for the run; zero if unknown.
	size Resources
	// listed is set if the worker's last list has the run. Otherwise it may not exist.
	listed bool
	// outlives is set once the run was logged as outliving its instance.
	outlives bool
	// unknown is set once its own instance is found not to know the run. It is stopped.
	unknown bool
	// startableUntil is the end of the lease, on the worker's clock, of a start without a
	// response; zero if the run is known to exist.
	startableUntil namer.WorkerClockMillis
	// doubt is that about a start without a response, until the worker lists its runs.
	doubt startDoubt
	// reportedAt is when its instance reported the start; zero if the run is only
	// known from the worker's list.
	reportedAt time.Time
	// startedAt is when the worker confirmed the start; zero if this instance has not
	// seen that. kind and predicted are those of the reserve request.
	startedAt time.Time
	kind      namer.Kind
	// tasks is the number of tasks of the run's step; zero if unknown.
	tasks     int
	predicted time.Duration
	// speedObserved is set once the run has counted for the speed of the worker.
	speedObserved bool
}

const (
	// workerTimeout is how long a worker may be silent before it counts as
	// unresponsive; polls return within longPollTime and a round trip.
	workerTimeout = 700 * time.Millisecond
	// fullPause is how long a worker without enough capacity gets no starts,
	// unless one of its runs ends sooner. It is the shortest run time at the
	// sites.
	fullPause = 60 * time.Millisecond
	// breakerPause doubles with each trip up to maxBreakerPause.
	breakerPause    = 1500 * time.Millisecond
	maxBreakerPause = 12 * time.Second
	// breakerThreshold is the number of consecutive failures that opens the
	// breaker.
	breakerThreshold = 2
	// unhealthyPause is how long a worker gets no starts after reporting that it
	// is unhealthy.
	unhealthyPause = 300 * time.Millisecond
)

// ackedSequence returns the sequence number up to which the worker may discard ended
// runs. Only the owner of a worker lets it discard any.
func (w *worker) ackedSequence() int64 {
	if !w.owned {
		return 0
	}
	acked := w.listedSequence
	for n := range w.unackedEnds {
		acked = min(acked, n-1)
	}
	return acked
}

func (w *worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.labels, label)
}

func (w *worker) freeCapacity() Resources {
	free := w.capacity.sub(w.ownUsage).sub(w.foreignUsage)
	for i := range w.reservations {
		free = free.sub(w.reservations[i].size)
	}
	return free
}

func (w *worker) foreignIndex(key runKey) int {
	return slices.IndexFunc(w.foreignRuns, func(f foreignRun) bool { return f.Run == key.run && f.Task == key.task })
}

func (w *worker) reservationIndex(key runKey) int {
	return slices.IndexFunc(w.reservations, func(p reservation) bool { return p.key == key })
}

// removeExpiredReservations removes the reservations that got no start order in time.
func (w *worker) removeExpiredReservations(now time.Time) {
	w.reservations = slices.DeleteFunc(w.reservations, func(p reservation) bool { return !p.starting && now.After(p.expiresAt) })
}

// estimatedClock extrapolates the worker's clock. The estimate is ahead of the
// real value by no more than the drift.
func (w *worker) estimatedClock(now time.Time) namer.WorkerClockMillis {
	return w.clockReading + namer.WorkerClockMillis(now.Sub(w.clockReadAt).Milliseconds())
}

// setClock records a reading of the worker's clock that is newer than the last one, or of
// another incarnation.
func (w *worker) setClock(now time.Time, reading namer.WorkerClockMillis) {
	if reading > 0 {
		w.clockReading, w.clockReadAt = reading, now
	}
}

// isUnresponsive reports whether a worker does not respond. For a worker owned
// by a peer, only the requests of this instance count.
func (s *Scheduler) isUnresponsive(w *worker) bool {
	return w.suspected || w.owned && s.now.Sub(w.lastSeen) > workerTimeout
}

// sinceLastSeen returns the time since the last response; zero if there was none.
func (s *Scheduler) sinceLastSeen(w *worker) time.Duration {
	if w.lastSeen.IsZero() {
		return 0
	}
	return s.now.Sub(w.lastSeen)
}

// isServiceReachable reports whether this instance, or a peer that owns one, can
// reach a worker of the service.
func (s *Scheduler) isServiceReachable(service namer.Service) bool {
	for _, w := range s.ownedWorkers {
		if w.service == service && w.listed && !w.isEntryOutdated() && w.runsListed && s.admitsStarts(w) && !s.evacuations.has(w.domain) && s.now.Sub(w.lastSeen) <= workerTimeout {
			return true
		}
	}
	return slices.ContainsFunc(s.owners, func(p *peer) bool { return s.isAdvertising(p, service) })
}

// handleWorkerListUpdated applies changes of the platform's worker list.
func (s *Scheduler) handleWorkerListUpdated(e WorkerListUpdated) {
	for i := range e.Workers {
		info := &e.Workers[i]
		w := s.workers[info.ID]
		switch {
		case info.Removed && w != nil:
			w.listed, w.removed, w.removedAt = false, true, s.now
			s.ownersOutdated = true
			s.emit(Decision{Event: eventer.WorkerRemoved, Worker: w.id})
			s.removeIfUnused(w)
		case info.Removed:
		case w == nil:
			s.addWorker(info)
		default:
			s.updateWorker(w, info)
		}
	}
	s.reviewEvacuations()
	s.placementDue = true
}

func (s *Scheduler) addWorker(info *WorkerInfo) {
	w := s.newWorker(info.ID)
	s.updateWorker(w, info)
	s.emit(Decision{Event: eventer.WorkerListed, Worker: w.id})
}

// newWorker adds a worker to the table.
func (s *Scheduler) newWorker(id namer.Worker) *worker {
	w := &worker{id: id, idHash: hasher.String(string(id)), unackedEnds: make(map[int64]time.Time)}
	s.workers[id] = w
	s.insertSorted(w)
	s.ownersOutdated = true
	return w
}

// IsListed reports whether the platform lists a worker, as of the last step.
func (s *Scheduler) IsListed(id namer.Worker) bool {
	w := s.workers[id]
	return w != nil && w.listed
}

// Tracks reports whether this instance may call a worker, as of the last step.
func (s *Scheduler) Tracks(id namer.Worker) bool {
	w := s.workers[id]
	return w != nil && s.tracks(w)
}

func (s *Scheduler) updateWorker(w *worker, info *WorkerInfo) {
	wasDraining := w.draining
	w.service, w.domain, w.draining, w.listed, w.removed = info.Service, info.Domain, info.Draining, true, false
	if !slices.Equal(w.labels, info.Labels) {
		s.rackOwners = nil
	}
	w.capacity, w.labels = info.Capacity, info.Labels
	if s.unguarded[w.service] {
		s.guardWorker(w)
	}
	wasOutdated := w.isEntryOutdated()
	w.entryBootTime = info.BootTime
	if info.BootTime > w.bootTime {
		s.resetIncarnation(w, info.BootTime, restartListed)
	}
	if wasOutdated && !w.isEntryOutdated() {
		s.emit(Decision{Event: eventer.WorkerEntryCurrent, Worker: w.id, Age: s.now.Sub(w.restartedAt), Cores: w.capacity.Cores})
	}
	s.updateNotice(w, info, wasDraining)
}

// isEntryOutdated reports whether the worker's entry in the list was written by an earlier
// incarnation than the one that is known, whose service, labels and capacity may differ.
func (w *worker) isEntryOutdated() bool { return w.entryBootTime < w.bootTime }

// resetIncarnation discards the state of a worker's earlier incarnation. Runs of
// this instance may exist on either incarnation; the next poll result lists them.
func (s *Scheduler) resetIncarnation(w *worker, bootTime namer.UnixMillis, source restartSource) {
	first := w.bootTime == 0
	w.bootTime, w.restartedAt, w.speed, w.speedReportsDue = bootTime, s.now, estimator.Speed{}, 0
	w.refusedAt, w.listClock, w.listedAt = time.Time{}, 0, time.Time{}
	if first && !w.runsListed {
		return
	}
	if w.owned && !w.crashed {
		w.runsBeforeRestart = w.lostInCrash(false)
	}
	s.emit(Decision{Event: eventer.WorkerRestarted, Worker: w.id, Reason: string(source)})
	w.crashed, w.lostRuns = false, nil
	w.notice, w.leavesAt = Notice{}, time.Time{}
	w.runsListed, w.listedSequence, w.clockReading = false, 0, 0
	w.unackedEnds = make(map[int64]time.Time)
	w.reservations = nil
	w.resetGuard()
	s.setForeignRuns(w, nil)
	w.nextPollAt = s.now
}

// removeIfUnused removes a worker that this instance keeps track of no longer.
func (s *Scheduler) removeIfUnused(w *worker) {
	if s.tracks(w) {
		return
	}
	delete(s.workers, w.id)
	s.setForeignRuns(w, nil)
	i := slices.Index(s.sortedWorkers, w)
	s.sortedWorkers = slices.Delete(s.sortedWorkers, i, i+1)
	s.ownersOutdated = true
}

// removeRun removes a run that has ended or will never start. If its task still
// wants it, the task waits for another run.
func (s *Scheduler) removeRun(r *run) {
	key := runKey{r.taskID, r.number}
	if _, found := s.runs[key]; !found {
		return
	}
	delete(s.runs, key)
	r.worker.ownRuns = slices.DeleteFunc(r.worker.ownRuns, func(other *run) bool { return other == r })
	r.worker.ownUsage = r.worker.ownUsage.sub(r.size)
	if t := r.task; t != nil {
		t.run, t.state = nil, taskWaiting
		r.task = nil
	} else {
		s.releaseStaleRun(r.taskID.Job)
	}
	s.placementDue = true
	s.removeIfUnused(r.worker)
}

func (s *Scheduler) releaseStaleRun(name namer.JobName) {
	s.staleRuns[name]--
	if s.staleRuns[name] <= 0 {
		delete(s.staleRuns, name)
	}
}

// setForeignRuns replaces the runs of other instances on a worker.
func (s *Scheduler) setForeignRuns(w *worker, runs []foreignRun) {
	for i := range w.foreignRuns {
		s.releaseStaleRun(w.foreignRuns[i].Task.Job)
	}
	w.foreignRuns = runs
	w.foreignUsage = Resources{}
	for i := range runs {
		s.staleRuns[runs[i].Task.Job]++
		w.foreignUsage = w.foreignUsage.add(s.sizeOn(w, &runs[i]))
	}
	w.leasableUntil = time.Time{}
}

// forgetForeignRuns discards what is known of the runs of other instances on a worker that
// is not polled any more.
func (s *Scheduler) forgetForeignRuns(w *worker) {
	w.runsListed = false
	if len(w.foreignRuns) > 0 {
		s.setForeignRuns(w, nil)
	}
}

// foreignRunSize returns the capacity that another instance's run is assumed to
// use: the reserved size, or else the typical size, or else its measured use.
func (s *Scheduler) foreignRunSize(f *foreignRun) Resources {
	if f.size != (Resources{}) {
		return f.size
	}
	if typical := s.typicalCores(); typical > 0 {
		return Resources{Cores: typical}
	}
	return Resources{Cores: f.Cores}
}

// hasOrphanedRuns reports whether a worker has runs of an instance that does not count as
// live, or starts of such runs on their way. Nothing may extend the lease of the worker
// then, since a lease covers all runs.
func (s *Scheduler) hasOrphanedRuns(w *worker) bool {
	if len(w.foreignRuns)+len(w.reservations) == 0 || s.now.Before(w.leasableUntil) {
		return false
	}
	until := s.now.Add(peerTimeout)
	for i := range w.reservations {
		if r := &w.reservations[i]; r.starting {
			until = earlier(until, s.liveUntil(r.key.run.Tag()))
		}
	}
	if !s.now.Before(until) {
		return true
	}
	for i := range w.foreignRuns {
		if until = earlier(until, s.liveUntil(w.foreignRuns[i].Run.Tag())); !s.now.Before(until) {
			return true
		}
	}
	w.leasableUntil = until
	return false
}

// openBreaker stops placing tasks on a worker for a while.
func (s *Scheduler) openBreaker(w *worker, reason string) {
	pause := min(breakerPause<<min(w.breakerTrips, 3), maxBreakerPause)
	w.breakerTrips++
	w.breakerOpenUntil = s.now.Add(pause)
	s.emit(Decision{Event: eventer.WorkerQuarantined, Worker: w.id, Reason: reason, Age: pause})
}

func (w *worker) recordSuccess() {
	w.consecutiveFailures, w.breakerTrips = 0, 0
}

// recordFailure counts a failed run or a refused start on a worker. It opens the
// breaker after breakerThreshold consecutive failures, or at once if the worker has
// had no success since the breaker last opened.
func (s *Scheduler) recordFailure(w *worker) {
	w.consecutiveFailures++
	if w.consecutiveFailures >= breakerThreshold || w.breakerTrips > 0 {
		w.consecutiveFailures = 0
		s.openBreaker(w, "runs fail")
	}
}
