package scheduler

import (
	"slices"
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// An unguarded worker starts what it is told to, also beyond its capacity. Only its owner
// starts runs there, but two instances may each take themselves for the owner, and a start
// may take effect seconds after it was sent. So an owner first claims such a worker: it
// polls it with a higher fence than any before. The worker then ignores all calls with a
// lower one, and the response lists every run that was started under them. A run of
// unknown size counts as the whole worker until its instance has told its size.
// docs/design/unguarded-workers.md has the rationale.

const (
	// minClaimPause is the pause before a worker is claimed again that another instance
	// has claimed. It doubles with each time up to maxClaimPause, so that two instances
	// that do not hear each other rarely take a worker from one another. The first is
	// longer than a reservation needs to be turned into a start, the last is a lease.
	minClaimPause = 50 * time.Millisecond
	maxClaimPause = 1600 * time.Millisecond
	// fenceRequestPause is the time for an owner to tell the fence of its worker.
	fenceRequestPause = 20 * time.Millisecond
	// maxFenceLead is how far the count in a fence that a peer tells may be ahead of that
	// of this instance, in hundredths of a second: many times the largest difference
	// between two clocks. A call with a higher one would keep all owners from the worker.
	maxFenceLead = 100 * supersededSkip
	// maxClaimsPerStep limits the claims sent in one step, each of which may open a
	// connection.
	maxClaimsPerStep = maxInitialPolls
)

// guard is what an instance knows of the fence of a worker.
type guard struct {
	// needed is set if the worker does not check its capacity, or has rejected a fence.
	// Without it, all other fields are zero.
	needed bool
	// fence is the highest that is known to have been used on the worker, and that
	// the calls of this instance carry.
	fence namer.Fence
	// claiming is set from the first poll with a fence of this instance on, claimed once
	// the worker has listed its runs in response to one.
	claiming, claimed bool
	claimedAt         time.Time
	// lead is added to the count in the fence, because the clocks of other instances
	// are ahead.
	lead int64
	// losses counts how often another instance has claimed the worker since it got its
	// owner. No claim is sent before nextClaimAt.
	losses      int
	nextClaimAt time.Time
	// requestedAt is when an owner was last asked for the fence.
	requestedAt time.Time
}

// WorkerFence tells an instance the fence that its calls to a worker need.
type WorkerFence struct {
	Worker namer.Worker `cbor:"1,keyasint"`
	// Fence is that of a claim; zero if there is none.
	Fence namer.Fence `cbor:"2,keyasint"`
	// BootTime is that of the newest incarnation known; zero if unknown.
	BootTime namer.UnixMillis `cbor:"3,keyasint,omitempty"`
}

// RunSize tells the owner of a worker the size of a run.
type RunSize struct {
	RunRef
	Size Resources `cbor:"4,keyasint"`
}

// isUnclaimed reports whether this instance must not start anything on a worker that it
// owns, since starts of another owner may exist that it does not know.
func (w *worker) isUnclaimed() bool { return w.guard.needed && !w.guard.claimed }

// learnUnguarded records whether the workers of a service check their capacity, as
// the configuration says.
func (s *Scheduler) learnUnguarded(service namer.Service, unguarded bool) {
	if s.unguarded[service] == unguarded {
		return
	}
	if !unguarded {
		delete(s.unguarded, service)
		return
	}
	s.unguarded[service] = true
	for _, w := range s.sortedWorkers {
		if w.service == service {
			s.guardWorker(w)
		}
	}
}

// guardWorker makes this instance claim a worker before it starts anything there.
func (s *Scheduler) guardWorker(w *worker) {
	if w.guard.needed {
		return
	}
	w.guard = guard{needed: true}
	s.dropReservations(w)
	s.setForeignRuns(w, w.foreignRuns)
}

// resetGuard forgets the claim on a worker that has another owner, or an incarnation that
// has seen no fence.
func (w *worker) resetGuard() {
	w.guard.claiming, w.guard.claimed, w.guard.losses, w.guard.nextClaimAt = false, false, 0, time.Time{}
}

// dropReservations removes the reservations that were made before a claim, as the worker
// may have other runs by now. A start that was sent counts until its result.
func (s *Scheduler) dropReservations(w *worker) {
	w.reservations = slices.DeleteFunc(w.reservations, func(p reservation) bool { return !p.starting })
}

// isClaimDue reports whether this instance has to claim a worker.
func (s *Scheduler) isClaimDue(w *worker) bool {
	return w.isUnclaimed() && w.owned && s.tracks(w) && !w.guard.claiming && !s.now.Before(w.guard.nextClaimAt)
}

// claim polls a worker with a fence that is higher than any known. A pending poll with a
// lower one is not waited for.
func (s *Scheduler) claim(w *worker) {
	s.lastRunCount++
	w.guard.fence = namer.NewFence(max(s.lastRunCount+w.guard.lead, s.callFence(w).Count()+1), s.RunTag)
	w.guard.claiming, w.guard.claimedAt = true, s.now
	if w.pollInFlight {
		s.sendImmediatePoll(w)
		return
	}
	w.nextPollAt = s.now
}

// sendClaims sends the claims that are due.
func (s *Scheduler) sendClaims() {
	sent := 0
	for _, w := range s.ownedWorkers {
		if sent < maxClaimsPerStep && s.isClaimDue(w) {
			s.claim(w)
			sent++
		}
	}
}

// acceptsList reports whether a list of runs is one that this instance may use: on a
// worker that it has to claim, one in response to its current fence.
func (s *Scheduler) acceptsList(w *worker, e PollResult) bool {
	return !w.guard.needed || !w.owned || e.Fence == w.guard.fence
}

// recordClaim records a list of runs that this instance may use.
func (s *Scheduler) recordClaim(w *worker) {
	if !w.owned || !w.guard.claiming || w.guard.claimed {
		return
	}
	w.guard.claimed, s.placementDue = true, true
	s.emit(Decision{Event: eventer.WorkerClaimed, Worker: w.id, Age: s.now.Sub(w.guard.claimedAt), Cores: w.capacity.Cores})
}

// handleFenced handles a call that a worker has rejected because of its fence.
func (s *Scheduler) handleFenced(w *worker, fence namer.Fence) {
	if fence < s.callFence(w) {
		return
	}
	if !w.guard.needed {
		s.handleRefusal(w)
		return
	}
	if !w.owned {
		s.requestFence(w)
		return
	}
	if !w.guard.claiming {
		return
	}
	if !w.guard.claimed {
		w.guard.lead += supersededSkip
	}
	s.emit(Decision{Event: eventer.WorkerClaimLost, Worker: w.id, Age: s.now.Sub(w.guard.claimedAt), Owners: len(s.owners)})
	s.dropReservations(w)
	w.guard.claiming, w.guard.claimed = false, false
	w.guard.nextClaimAt = s.now.Add(s.claimPause(w))
	w.guard.losses++
}

// claimPause returns the pause before a worker is claimed again. An instance that knows
// no other owner is probably the one that is cut off.
func (s *Scheduler) claimPause(w *worker) time.Duration {
	if len(s.owners) == 0 {
		return maxClaimPause
	}
	return min(minClaimPause<<min(w.guard.losses, 5), maxClaimPause)
}

// endClaimPauses lets this instance claim its workers again, since it now hears other
// owners than before.
func (s *Scheduler) endClaimPauses() {
	for _, w := range s.ownedWorkers {
		w.guard.losses, w.guard.nextClaimAt = 0, time.Time{}
	}
}

// requestFence asks the instances that may own a worker for the fence that calls need there.
func (s *Scheduler) requestFence(w *worker) {
	if s.now.Sub(w.guard.requestedAt) < fenceRequestPause {
		return
	}
	w.guard.requestedAt = s.now
	for _, p := range s.possibleOwners(w) {
		s.askForFence(p, w)
	}
}

// handleFenceRequest tells a peer the boot time of a worker, and its fence if this
// instance has claimed it.
func (s *Scheduler) handleFenceRequest(p *peer, id namer.Worker) {
	w := s.workers[id]
	if w == nil {
		return
	}
	told := WorkerFence{Worker: w.id, BootTime: w.bootTime}
	if w.owned && w.guard.claimed {
		told.Fence = w.guard.fence
	}
	if told.Fence > 0 || told.BootTime > 0 {
		out := s.outboxOf(p)
		out.Fences = append(out.Fences, told)
	}
}

// handleFence records the boot time of a worker, and its fence if a peer owns it.
func (s *Scheduler) handleFence(f *WorkerFence) {
	w := s.workers[f.Worker]
	if w == nil {
		return
	}
	s.learnBootTime(w, f.BootTime)
	s.learnFence(w, f.Fence)
}

// learnFence records the fence that calls to a worker of a peer need. An owner starts tasks
// under a fence of its own only: that of a peer which still takes itself for the owner would
// let both start them.
func (s *Scheduler) learnFence(w *worker, fence namer.Fence) {
	if fence <= w.guard.fence || fence.Count() > s.lastRunCount+maxFenceLead {
		return
	}
	s.guardWorker(w)
	if !w.owned {
		w.guard.fence, w.refusedAt = fence, time.Time{}
	}
}

// requestSizes asks the instances with runs of unknown size on a worker for these.
func (s *Scheduler) requestSizes(w *worker) {
	if !w.guard.needed {
		return
	}
	for i := range w.foreignRuns {
		f := &w.foreignRuns[i]
		if f.size != (Resources{}) {
			continue
		}
		if p := s.peersByTag[f.Run.Tag()]; p != nil && p.name != "" {
			out := s.outboxOf(p)
			out.SizeRequests = append(out.SizeRequests, RunRef{w.id, f.Task, f.Run})
		}
	}
}

// handleSizeRequest tells a peer the size of a run of this instance.
func (s *Scheduler) handleSizeRequest(p *peer, ref RunRef) {
	r := s.ownRun(ref)
	if r == nil {
		s.disownRun(p, ref)
		return
	}
	out := s.outboxOf(p)
	out.RunSizes = append(out.RunSizes, RunSize{ref, r.size})
}

// handleRunSize records the size of another instance's run.
func (s *Scheduler) handleRunSize(e *RunSize) {
	w := s.workers[e.Worker]
	if w == nil || e.Size.Cores <= 0 || e.Size.Memory < 0 || e.Size.Accelerators < 0 {
		return
	}
	i := w.foreignIndex(runKey{e.Task, e.Run})
	if i < 0 || w.foreignRuns[i].size != (Resources{}) {
		return
	}
	w.foreignRuns[i].size = e.Size
	s.setForeignRuns(w, w.foreignRuns)
	s.placementDue = true
}

// sizeOn returns the capacity that a run of another instance is assumed to use on a
// worker.
func (s *Scheduler) sizeOn(w *worker, f *foreignRun) Resources {
	if w.guard.needed && f.size == (Resources{}) {
		return w.capacity
	}
	return s.foreignRunSize(f)
}

// mayStartLater reports whether a start without a response may take effect after a
// worker has written a list of its runs.
func (w *worker) mayStartLater(f *foreignRun, clock namer.WorkerClockMillis) bool {
	return w.guard.needed && f.startableUntil > 0 && f.startableUntil >= clock
}

// cancelLateStart tells the owner of an unguarded worker that a start without a response
// can't take effect any more, because the worker has acknowledged its stop.
func (s *Scheduler) cancelLateStart(r *run) {
	owner := r.worker.owner
	if !r.worker.guard.needed || owner == nil || r.confirmed {
		return
	}
	out := s.outboxOf(owner)
	out.Cancellations = append(out.Cancellations, Cancellation{r.taskID, r.number})
}

// endLateStart lets the next list of a worker decide whether a run exists there.
func (s *Scheduler) endLateStart(w *worker, key runKey) {
	if !w.guard.needed {
		return
	}
	if i := w.foreignIndex(key); i >= 0 {
		w.foreignRuns[i].startableUntil, w.foreignRuns[i].reportedAt = 0, s.now
	}
}

// withFence adds the fence of its worker to a call.
func (s *Scheduler) withFence(a Action) Action {
	switch call := a.(type) {
	case Start:
		if call.Fence = s.fenceOf(call.Worker); call.Fence > 0 {
			return call
		}
	case Stop:
		if call.Fence = s.fenceOf(call.Worker); call.Fence > 0 {
			return call
		}
	case Poll:
		if call.Fence = s.fenceOf(call.Worker); call.Fence > 0 {
			return call
		}
	}
	return a
}

func (s *Scheduler) fenceOf(id namer.Worker) namer.Fence {
	if w := s.workers[id]; w != nil {
		return s.callFence(w)
	}
	return 0
}
