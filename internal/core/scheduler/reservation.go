package scheduler

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

const (
	// reserveTimeout is how long an owner that advertised free slots may take to
	// respond; a round trip takes 2 ms between domains.
	reserveTimeout = 10 * time.Millisecond
	// maxRequestedOwners is how many owners are asked at once if none advertises
	// free slots. With one, a task too often waits for the wrong owner; each
	// additional one wastes reservations.
	maxRequestedOwners = 3
	// reservationTime is how long a reservation is held without a result.
	reservationTime = 150 * time.Millisecond
)

// pendingRequest is a reserve request of a peer that waits for capacity.
type pendingRequest struct {
	ReserveRequest
	peer      *peer
	step      StepSpec
	expiresAt time.Time
	// reserved is set once capacity is reserved, queuedSent once the peer has
	// been notified that the request is queued.
	reserved, queuedSent bool
}

// reservation is capacity of an owned worker that is held for a peer's start.
type reservation struct {
	key       runKey
	size      Resources
	expiresAt time.Time
}

// requestReservations sends reserve requests for the waiting tasks.
func (s *Scheduler) requestReservations() {
	if len(s.livePeers) == 0 {
		return
	}
	for _, j := range s.openJobs {
		if s.staleRuns[j.Name] > 0 {
			continue
		}
		urgency, dueAt := s.urgencyOf(j)
		for _, t := range j.tasks {
			if t.state == taskWaiting && j.isReady(t) {
				s.requestReservation(t, urgency, dueAt)
			}
		}
	}
}

// requestReservation sends reserve requests for a task: first to an owner that
// advertises free slots, and to further owners if that one turns out to be full.
func (s *Scheduler) requestReservation(t *task, urgency urgencyClass, dueAt time.Time) {
	if len(t.requestedOwners) > 0 && urgency != t.requestedUrgency {
		s.sendReserveRequests(t, t.requestedOwners, urgency, dueAt)
	}
	t.requestedUrgency = urgency
	if t.awaitingAdvertiser && s.now.Sub(t.requestedAt) < reserveTimeout {
		return
	}
	owners := s.selectOwners(t)
	if len(owners) == 0 {
		return
	}
	if t.requestedRun == 0 {
		s.lastRunCount++
		t.requestedRun = namer.NewRunID(s.lastRunCount, s.RunTag)
		s.requestedRuns[t.requestedRun] = t
	}
	t.requestedOwners = append(t.requestedOwners, owners...)
	t.requestedAt = s.now
	s.sendReserveRequests(t, owners, urgency, dueAt)
}

func (s *Scheduler) sendReserveRequests(t *task, owners []*peer, urgency urgencyClass, dueAt time.Time) {
	request := ReserveRequest{
		Task: t.id, Run: t.requestedRun, Service: t.job.Service, Size: t.step.Size, RequiredLabel: t.step.RequiredLabel,
		Kind: t.job.Kind, Urgency: urgency, PredictedRunTime: s.kindState(t.job.Kind).predictRunTime(t.step), Timeout: dueAt.Sub(s.now),
	}
	for _, p := range owners {
		p.outbox.ReserveRequests = append(p.outbox.ReserveRequests, request)
	}
}

// selectOwners returns, among the owners not asked yet, the one that advertises
// the most free slots, preferably in the same domain. If none advertises any, it
// returns a pseudo-random selection, limited so that maxRequestedOwners are asked
// in total. A selected advertiser counts as having one free slot less, and
// t.awaitingAdvertiser is set.
func (s *Scheduler) selectOwners(t *task) []*peer {
	var best *peer
	var candidates []*peer
	remaining := max(0, maxRequestedOwners-len(t.requestedOwners))
	for _, p := range s.livePeers {
		slots, serving := p.freeSlots[t.job.Service]
		if !serving || s.now.Sub(p.lastSeen) > ownerTimeout || slices.Contains(t.requestedOwners, p) {
			continue
		}
		if slots > 0 && (best == nil || s.prefersOwner(p, best, t.job.Service)) {
			best = p
		}
		if remaining > 0 {
			candidates = append(candidates, p)
		}
	}
	t.awaitingAdvertiser = best != nil
	if best != nil {
		best.freeSlots[t.job.Service]--
		return []*peer{best}
	}
	return pickOwners(candidates, min(remaining, len(candidates)), t.hash())
}

// pickOwners selects count candidates by a hash of the task, so that tasks are
// spread evenly and the choice for a task is repeatable. It reorders candidates.
func pickOwners(candidates []*peer, count int, taskHash uint64) []*peer {
	for n := range count {
		least := n
		for i := n + 1; i < len(candidates); i++ {
			if mixHashes(candidates[i].nameHash, taskHash) < mixHashes(candidates[least].nameHash, taskHash) {
				least = i
			}
		}
		candidates[n], candidates[least] = candidates[least], candidates[n]
	}
	return candidates[:count]
}

// hash returns a hash of the task's ID.
func (t *task) hash() uint64 {
	return mixHashes(xxhash.Sum64String(string(t.id.Job)), uint64(t.id.Step)<<32|uint64(t.id.Index))
}

func (s *Scheduler) prefersOwner(a, b *peer, service namer.Service) bool {
	if aLocal, bLocal := a.domain == s.Domain, b.domain == s.Domain; aLocal != bLocal {
		return aLocal
	}
	return a.freeSlots[service] > b.freeSlots[service]
}

// cancelReserveRequests cancels the outstanding reserve requests for a task.
func (s *Scheduler) cancelReserveRequests(t *task) {
	for _, p := range t.requestedOwners {
		p.outbox.ReservationResults = append(p.outbox.ReservationResults, ReservationResult{RunRef: RunRef{Task: t.id, Run: t.requestedRun}})
	}
	delete(s.requestedRuns, t.requestedRun)
	t.requestedOwners, t.requestedRun, t.awaitingAdvertiser = nil, 0, false
}

// handleReserveRequest queues a peer's reserve request for placement.
func (s *Scheduler) handleReserveRequest(p *peer, request *ReserveRequest) {
	s.removePendingRequest(runKey{request.Task, request.Run})
	s.pendingRequests = append(s.pendingRequests, pendingRequest{
		ReserveRequest: *request, peer: p, expiresAt: s.now.Add(request.Timeout),
		step: StepSpec{Size: request.Size, RequiredLabel: request.RequiredLabel, EstimatedRunTime: request.PredictedRunTime},
	})
	s.placementDue = true
}

func (s *Scheduler) removePendingRequest(key runKey) {
	s.pendingRequests = slices.DeleteFunc(s.pendingRequests, func(a pendingRequest) bool { return a.Task == key.task && a.Run == key.run })
}

// prunePendingRequests removes the requests that are served or expired, and
// those of silent peers.
func (s *Scheduler) prunePendingRequests() {
	s.pendingRequests = slices.DeleteFunc(s.pendingRequests, func(a pendingRequest) bool {
		return a.reserved || s.now.After(a.expiresAt) || s.now.Sub(a.peer.lastSeen) > peerTimeout
	})
}

// reserve reserves capacity on a worker for a peer's request.
func (s *Scheduler) reserve(request *pendingRequest, w *worker) {
	w.reservations = append(w.reservations, reservation{runKey{request.Task, request.Run}, request.Size, s.now.Add(reservationTime)})
	request.reserved = true
	s.emit(Decision{
		Event: eventer.CapacityReserved, Job: request.Task.Job, Task: taskLabel(request.Task), Run: request.Run, Worker: w.id,
		Age: s.sinceLastSeen(w), Cores: request.Size.Cores, FreeCores: w.freeCapacity().Cores, ForeignRuns: len(w.foreignRuns),
		PredictedRunTime: request.PredictedRunTime,
	})
	request.peer.outbox.ReserveResponses = append(request.peer.outbox.ReserveResponses, ReserveResponse{Task: request.Task, Run: request.Run, Worker: w.id, Clock: w.estimatedClock(s.now)})
}

// notifyQueued notifies the peers whose requests found no capacity, so that they
// ask other owners too.
func (s *Scheduler) notifyQueued() {
	for i := range s.pendingRequests {
		request := &s.pendingRequests[i]
		if request.reserved || request.queuedSent {
			continue
		}
		request.queuedSent = true
		request.peer.outbox.ReserveResponses = append(request.peer.outbox.ReserveResponses, ReserveResponse{Task: request.Task, Run: request.Run})
	}
}

// handleReserveResponse starts a task on the worker that an owner has reserved.
func (s *Scheduler) handleReserveResponse(p *peer, response *ReserveResponse) {
	t := s.requestedRuns[response.Run]
	if response.Worker == "" {
		s.handleQueued(p, t)
		return
	}
	w := s.workers[response.Worker]
	if t == nil || t.id != response.Task || t.state != taskWaiting || w == nil || !w.listed || w.draining || s.staleRuns[response.Task.Job] > 0 {
		p.outbox.ReservationResults = append(p.outbox.ReservationResults, ReservationResult{RunRef: RunRef{response.Worker, response.Task, response.Run}})
		return
	}
	t.requestedOwners = slices.DeleteFunc(t.requestedOwners, func(o *peer) bool { return o == p })
	w.setClock(s.now, response.Clock)
	s.startRun(t, w, response.Run)
}

// handleQueued records that an owner has no free capacity at present.
func (s *Scheduler) handleQueued(p *peer, t *task) {
	if t == nil {
		return
	}
	if p.freeSlots[t.job.Service] > 0 {
		p.freeSlots[t.job.Service] = 0
	}
	t.awaitingAdvertiser = false
	s.placementDue = true
}

// sendReservationResult reports the result of a start to the worker's owner. A start
// without a response may have taken effect.
func (s *Scheduler) sendReservationResult(r *run, status StartStatus) {
	owner := r.worker.owner
	if owner == nil {
		return
	}
	owner.outbox.ReservationResults = append(owner.outbox.ReservationResults, ReservationResult{
		RunRef: RunRef{r.worker.id, r.taskID, r.number}, Started: status == StartAccepted || status == StartNoResponse,
		NoCapacity: status == StartNoCapacity,
	})
}

// handleReservationResult releases a reservation or, if the run was started,
// replaces it by the run. Without a worker, it cancels the reserve request.
func (s *Scheduler) handleReservationResult(result *ReservationResult) {
	key := runKey{result.Task, result.Run}
	w := s.workers[result.Worker]
	if w == nil {
		s.removePendingRequest(key)
		return
	}
	i := w.reservationIndex(key)
	size := Resources{}
	if i >= 0 {
		size = w.reservations[i].size
		w.reservations = slices.Delete(w.reservations, i, i+1)
	}
	if result.Started && i >= 0 && w.foreignIndex(key) < 0 {
		s.setForeignRuns(w, append(slices.Clone(w.foreignRuns), foreignRun{
			ActiveRun: ActiveRun{Task: result.Task, Run: result.Run}, size: size, reportedAt: s.now,
		}))
	}
	if result.NoCapacity {
		s.recordNoCapacity(w)
	}
	if !result.Started {
		s.placementDue = true
	}
}

// recordNoCapacity stops placing tasks on a worker that has less free capacity than
// it seemed to have, and asks it for its runs.
func (s *Scheduler) recordNoCapacity(w *worker) {
	w.fullUntil = s.now.Add(fullPause)
	s.sendImmediatePoll(w)
}
