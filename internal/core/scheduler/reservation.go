package scheduler

import (
	"slices"
	"time"

	"github.com/heatherslip/heatherslip/internal/core/admitter"
	"github.com/heatherslip/heatherslip/internal/core/hasher"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

const (
	// reserveTimeout is how long an owner that advertised free capacity may take to
	// respond; a round trip takes 2 ms between domains.
	reserveTimeout = 10 * time.Millisecond
	// maxRequestedOwners is how many owners are asked at once if none advertises
	// enough free capacity. With one, a task too often waits for the wrong owner; each
	// additional one wastes reservations.
	maxRequestedOwners = 3
	// reservationTime is how long a reservation is held without a start order.
	reservationTime = 150 * time.Millisecond
)

// pendingRequest is a reserve request of a peer that waits for capacity.
type pendingRequest struct {
	ReserveRequest
	peer      *peer
	step      StepSpec
	flow      *admitter.Flow
	expiresAt time.Time
	// finishBy is when the task has to end; zero if its job has no objective.
	finishBy time.Time
	// holdUntil is how long the task may wait for a worker on which it ends in time.
	holdUntil time.Time
	// rackUntil is until when the task gets capacity only in its data's rack.
	rackUntil time.Time
	// reserved is set once capacity is reserved, queuedSent once the peer has
	// been notified that the request is queued.
	reserved, queuedSent bool
	// held is set once the request was held although a worker was free.
	held bool
}

// reservation is capacity of an owned worker that is held for a task of a peer.
type reservation struct {
	key runKey
	// peer is the instance that the task belongs to.
	peer      *peer
	size      Resources
	expiresAt time.Time
	// kind and predicted are those of the reserve request.
	kind      namer.Kind
	predicted time.Duration
	// tasks is the number of tasks of the step; zero if unknown.
	tasks int
	// starting is set once the peer has ordered the start. The reservation does not
	// expire then.
	starting bool
	// startableUntil is the end of the lease of the start, on the worker's clock.
	startableUntil namer.WorkerClockMillis
	// startTimeout is that of the start.
	startTimeout time.Duration
}

// foreignRun returns the table entry of the run that the reservation was for.
func (r *reservation) foreignRun(a ActiveRun) foreignRun {
	return foreignRun{ActiveRun: a, size: r.size, kind: r.kind, tasks: r.tasks, predicted: r.predicted}
}

// requestReservations sends reserve requests for the waiting tasks.
func (s *Scheduler) requestReservations() {
	if len(s.owners) == 0 {
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
// advertises free capacity, and to further owners if that one turns out to be full.
func (s *Scheduler) requestReservation(t *task, urgency urgencyClass, dueAt time.Time) {
	if t.awaitingAdvertiser && s.now.Sub(t.requestedAt) < reserveTimeout {
		return
	}
	if len(t.requestedOwners) > 0 && urgency != t.requestedUrgency {
		s.sendReserveRequests(t, t.requestedOwners, urgency, dueAt)
	}
	t.requestedUrgency = urgency
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
		Task: t.id, Run: t.requestedRun, Service: t.job.Service, Size: t.step.Size, RequiredLabel: t.step.RequiredLabel, DataRack: t.step.DataRack, Tasks: t.step.Count,
		Kind: t.job.Kind, Priority: t.job.Priority, Urgency: urgency, PredictedRunTime: s.kindState(t.job.Kind).predictRunTime(t.step), Timeout: dueAt.Sub(s.now),
		Unguarded: s.unguarded[t.job.Service],
	}
	if finishBy := s.finishBy(t.job); !finishBy.IsZero() {
		request.TimeLeft = max(finishBy.Sub(s.now), minTimeLeft)
	}
	if t.step.DataRack != "" {
		request.RackWait = max(0, t.rackUntil.Sub(s.now))
	}
	for _, p := range owners {
		out := s.outboxOf(p)
		out.ReserveRequests = append(out.ReserveRequests, request)
	}
}

// selectOwners returns, among the owners not asked yet, the preferred one of those that
// advertise enough free capacity. If there is none, it returns a pseudo-random
// selection, limited so that maxRequestedOwners are asked in total. The task is
// subtracted from the capacity of a selected advertiser, and t.awaitingAdvertiser is
// set.
func (s *Scheduler) selectOwners(t *task) []*peer {
	if s.keepsToRack(t) {
		return s.selectRackOwners(t)
	}
	var best *peer
	var candidates []*peer
	remaining := max(0, maxRequestedOwners-len(t.requestedOwners))
	service, size := t.job.Service, t.step.Size
	home := s.homeOf(t)
	for _, p := range s.owners {
		if !s.isAdvertising(p, service) || slices.Contains(t.requestedOwners, p) {
			continue
		}
		if p.fits(service, size) && (best == nil || s.prefersOwner(p, best, home)) {
			best = p
		}
		if remaining > 0 {
			candidates = append(candidates, p)
		}
	}
	t.awaitingAdvertiser = best != nil
	if best != nil {
		best.take(service, size)
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
			if hasher.Mix(candidates[i].nameHash, taskHash) < hasher.Mix(candidates[least].nameHash, taskHash) {
				least = i
			}
		}
		candidates[n], candidates[least] = candidates[least], candidates[n]
	}
	return candidates[:count]
}

// hash returns a hash of the task's ID.
func (t *task) hash() uint64 {
	return hasher.Mix(hasher.String(string(t.id.Job)), uint64(t.id.Step)<<32|uint64(t.id.Index))
}

// homeOf returns the domain where a task is to run if there is room: this instance's, or
// another one if the balancer sends the task over.
func (s *Scheduler) homeOf(t *task) namer.Domain {
	if s.balancer.Total() == 0 {
		return s.Domain
	}
	return s.balancer.Choose(t.hash())
}

// prefersOwner reports whether a is preferred to b if both have enough free capacity:
// owners of the task's home first, then those of this domain, and always in the same
// order, so that an instance works with few owners.
func (s *Scheduler) prefersOwner(a, b *peer, home namer.Domain) bool {
	if aHome, bHome := a.domain == home, b.domain == home; aHome != bHome {
		return aHome
	}
	if aLocal, bLocal := a.domain == s.Domain, b.domain == s.Domain; aLocal != bLocal {
		return aLocal
	}
	return hasher.Mix(s.nameHash, a.nameHash) < hasher.Mix(s.nameHash, b.nameHash)
}

// cancelReserveRequests cancels the outstanding reserve requests for a task.
func (s *Scheduler) cancelReserveRequests(t *task) {
	for _, p := range t.requestedOwners {
		out := s.outboxOf(p)
		out.Cancellations = append(out.Cancellations, Cancellation{t.id, t.requestedRun})
	}
	delete(s.requestedRuns, t.requestedRun)
	t.requestedOwners, t.requestedRun, t.awaitingAdvertiser = nil, 0, false
	t.queuedOwners, t.roomAt = 0, time.Time{}
}

// handleReserveRequest queues a peer's reserve request for placement. If capacity is
// already reserved for it, the response is repeated.
func (s *Scheduler) handleReserveRequest(p *peer, request *ReserveRequest) {
	if request.Unguarded {
		s.learnUnguarded(request.Service, true)
	}
	key := runKey{request.Task, request.Run}
	if s.isGivenUp(request.Task) {
		s.sendGivenUp(p, key)
		return
	}
	for _, w := range s.ownedWorkers {
		if i := w.reservationIndex(key); i >= 0 && s.obstacleToDomain(w) == noObstacle {
			s.sendGrant(p, w, &w.reservations[i])
			return
		}
	}
	s.removePendingRequest(key)
	runTime, timeout := boundedTime(request.PredictedRunTime), boundedTime(request.Timeout)
	step := StepSpec{Size: request.Size, RequiredLabel: request.RequiredLabel, DataRack: request.DataRack, EstimatedRunTime: runTime}
	pending := pendingRequest{
		ReserveRequest: *request, peer: p, expiresAt: s.now.Add(timeout), step: step,
		flow:      s.shares.Flow(request.Kind, request.Priority, p.domain),
		rackUntil: s.now.Add(min(request.RackWait, s.patienceFor(&step, runTime))),
	}
	if request.TimeLeft > 0 {
		pending.finishBy = s.now.Add(request.TimeLeft)
		pending.holdUntil = s.now.Add(holdTime(min(timeout, scale(request.TimeLeft, startWaitShare))))
	}
	s.pendingRequests = append(s.pendingRequests, pending)
	s.placementDue = true
}

// boundedTime returns a time that a peer has sent within what is plausible.
func boundedTime(d time.Duration) time.Duration { return min(max(d, 0), maxRequestTime) }

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
func (s *Scheduler) reserve(request *pendingRequest, w *worker, size Resources) {
	w.reservations = append(w.reservations, reservation{
		key: runKey{request.Task, request.Run}, peer: request.peer, size: size, expiresAt: s.now.Add(reservationTime),
		kind: request.Kind, tasks: max(0, request.Tasks), predicted: s.runTimeAt(w, &request.step, request.PredictedRunTime),
	})
	request.reserved = true
	expected := s.predictRunTimeOn(w, w.reservations[len(w.reservations)-1].predicted)
	s.emit(Decision{
		Event: eventer.CapacityReserved, Job: request.Task.Job, Task: taskLabel(request.Task), Run: request.Run, Worker: w.id,
		Age: s.sinceLastSeen(w), Cores: request.Size.Cores, FreeCores: w.freeCapacity().Cores, ForeignRuns: len(w.foreignRuns),
		PredictedRunTime: expected, Factor: w.speed.Factor(s.now), Slack: s.slack(request.finishBy, expected), TimeLeft: s.timeLeft(w),
	})
	s.sendGrant(request.peer, w, &w.reservations[len(w.reservations)-1])
}

func (s *Scheduler) sendGrant(p *peer, w *worker, r *reservation) {
	f := s.forecastOn(w, r.predicted)
	out := s.outboxOf(p)
	out.ReserveResponses = append(out.ReserveResponses, ReserveResponse{
		Task: r.key.task, Run: r.key.run, Worker: w.id, ExpectedRunTime: f.expected, LatestRunTime: f.latest, Draining: w.draining, Fence: w.guard.fence,
	})
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
		out := s.outboxOf(request.peer)
		out.ReserveResponses = append(out.ReserveResponses, ReserveResponse{
			Task: request.Task, Run: request.Run, Held: request.held, ExpectedWait: s.expectedWait(request.Service, request.flow),
		})
	}
}

// handleReserveResponse orders the start of a task on the worker that an owner has
// reserved.
func (s *Scheduler) handleReserveResponse(p *peer, response *ReserveResponse) {
	t := s.requestedRuns[response.Run]
	if response.GivenUp {
		if t != nil && t.id == response.Task {
			s.failCrashing(t.job, t.id)
		}
		return
	}
	if response.Worker == "" {
		s.handleQueued(p, t, response)
		return
	}
	w := s.workers[response.Worker]
	if w == nil {
		// The owner has a newer list.
		w = s.newWorker(response.Worker)
		w.domain = p.domain
	}
	s.learnFence(w, response.Fence)
	defer s.removeIfUnused(w)
	if r := s.runs[runKey{response.Task, response.Run}]; r != nil && r.worker == w {
		// The response was repeated.
		return
	}
	if !s.acceptsGrant(t, w, response) {
		out := s.outboxOf(p)
		out.Cancellations = append(out.Cancellations, Cancellation{response.Task, response.Run})
		return
	}
	t.requestedOwners = slices.DeleteFunc(t.requestedOwners, func(o *peer) bool { return o == p })
	base := s.runTimeAt(w, t.step, s.kindState(t.job.Kind).predictRunTime(t.step))
	r := s.addRun(t, w, response.Run, t.step.Size, grantedForecast(base, response))
	r.grantedBy, r.orderedAt = p, s.now
	s.outboxOf(p).addStartOrder(RunRef{w.id, r.taskID, r.number}, t.job.Payload)
}

// acceptsGrant reports whether a task is to be started on the worker that an owner has
// reserved for it. An owner may not know yet that the worker is leaving or evacuated.
func (s *Scheduler) acceptsGrant(t *task, w *worker, response *ReserveResponse) bool {
	if t == nil || t.id != response.Task || t.state != taskWaiting {
		return false
	}
	if w.removed || w.draining && !response.Draining || s.evacuations.has(w.domain) {
		return false
	}
	return s.staleRuns[response.Task.Job] == 0 && !s.isResuming()
}

// handleQueued records that an owner has no free capacity at present, or none on a worker
// that is fast enough for the task, and when it expects some.
func (s *Scheduler) handleQueued(p *peer, t *task, response *ReserveResponse) {
	if t == nil {
		return
	}
	isFull := !response.Held && !s.now.Before(t.rackUntil)
	if isFull {
		p.removeFitting(t.job.Service, t.step.Size)
	}
	s.recordRackFull(p, t)
	t.awaitingAdvertiser = false
	s.placementDue = true
	if isFull {
		s.recordExpectedRoom(t, response.ExpectedWait)
	}
}

// handleCancellation withdraws a peer's reserve request. What was reserved is
// released, unless its start was ordered.
func (s *Scheduler) handleCancellation(c *Cancellation) {
	key := runKey{c.Task, c.Run}
	s.removePendingRequest(key)
	for _, w := range s.ownedWorkers {
		s.endLateStart(w, key)
		if i := w.reservationIndex(key); i >= 0 && !w.reservations[i].starting {
			w.reservations = slices.Delete(w.reservations, i, i+1)
			s.placementDue = true
		}
	}
}

// handleStartOrder starts a peer's task on the worker that is reserved for it, unless the
// worker is draining and it is too late for a start, or it declines the order. An order
// without a reservation is ignored: the reservation has expired, or the order was
// repeated. The peer finds out from the worker's runs.
func (s *Scheduler) handleStartOrder(p *peer, order RunRef, payload string) {
	w := s.workers[order.Worker]
	if w == nil {
		return
	}
	key := runKey{order.Task, order.Run}
	i := w.reservationIndex(key)
	if i < 0 || w.reservations[i].starting || s.withholdStart(p, w, key) {
		return
	}
	isLate := !s.admitsStarts(w)
	if isLate || s.declinesOrder(p, w, &w.reservations[i]) {
		status := StartDeclined
		if isLate {
			status = StartNotSent
		}
		w.reservations = slices.Delete(w.reservations, i, i+1)
		s.placementDue = true
		out := s.outboxOf(p)
		out.StartReports = append(out.StartReports, StartReport{order, status})
		return
	}
	until := s.leaseEnd(w)
	w.reservations[i].starting, w.reservations[i].startableUntil, w.leasableUntil = true, until, time.Time{}
	w.reservations[i].startTimeout = s.startTimeout()
	s.orderedStarts[key] = p
	s.emit(Start{
		Worker: w.id, Task: order.Task, Run: order.Run, Payload: payload, LeaseUntil: until, Timeout: w.reservations[i].startTimeout,
	})
}

// declinesOrder reports whether a start that a peer has ordered on a reservation must not be
// sent: the order is old, or the start would extend the lease of runs that are unknown or
// of a silent instance.
func (s *Scheduler) declinesOrder(p *peer, w *worker, r *reservation) bool {
	isOld := s.now.After(r.expiresAt) || s.now.Sub(p.lastSeen) >= peerTimeout
	return isOld || !s.hasListedRuns(w) || s.hasOrphanedRuns(w)
}

// handleOrderedStartResult reports the result of a start to the peer that ordered it,
// and replaces the reservation by the run. A start without a response may have taken
// effect.
func (s *Scheduler) handleOrderedStartResult(p *peer, e StartResult) {
	key := runKey{e.Task, e.Run}
	delete(s.orderedStarts, key)
	out := s.outboxOf(p)
	out.StartReports = append(out.StartReports, StartReport{RunRef{e.Worker, e.Task, e.Run}, e.Status})
	w := s.workers[e.Worker]
	if w == nil {
		return
	}
	timeout := s.startTimeout()
	if i := w.reservationIndex(key); i >= 0 {
		timeout = w.reservations[i].startTimeout
	}
	s.recordStartResult(w, e, timeout)
	i := w.reservationIndex(key)
	if i < 0 {
		return
	}
	f := w.reservations[i].foreignRun(ActiveRun{Task: e.Task, Run: e.Run})
	f.reportedAt, f.startableUntil = s.now, w.reservations[i].startableUntil
	if e.Status == StartNoResponse {
		f.doubt = doubtAfter(e.Latency, timeout)
	}
	if e.Status == StartAccepted {
		f.startedAt, f.startableUntil = s.now, 0
	}
	w.reservations = slices.Delete(w.reservations, i, i+1)
	if e.Status != StartAccepted && e.Status != StartNoResponse {
		s.placementDue = true
		return
	}
	if w.foreignIndex(key) < 0 {
		s.setForeignRuns(w, append(slices.Clone(w.foreignRuns), f))
	}
}

// handleStartReport processes the result of a start that this instance has ordered.
func (s *Scheduler) handleStartReport(report *StartReport) {
	r := s.runs[runKey{report.Task, report.Run}]
	if r == nil || r.orderedAt.IsZero() {
		return
	}
	s.updateStartLatency(s.now.Sub(r.orderedAt))
	s.applyStartResult(r, report.Status, s.now.Sub(r.orderedAt))
}

// checkOrderedStarts handles the ordered starts of a job that were not reported in
// time like starts without a response.
func (s *Scheduler) checkOrderedStarts(j *job) {
	for _, t := range j.tasks {
		if r := t.run; t.state == taskStarting && !r.orderedAt.IsZero() && !r.inDoubt && s.now.Sub(r.orderedAt) > s.orderTimeout() {
			s.applyStartResult(r, StartNoResponse, s.now.Sub(r.orderedAt))
		}
	}
}
