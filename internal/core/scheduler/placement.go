package scheduler

import (
	"slices"
	"time"

	"github.com/heatherslip/heatherslip/internal/core/admitter"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

const (
	// minStartTimeout and maxStartTimeout bound the wait for the response to a
	// start. A round trip takes 2 ms, and a process that is short of processor
	// time is suspended for 100 ms. With a much longer timeout, no repeated run
	// ends in time.
	minStartTimeout = 30 * time.Millisecond
	maxStartTimeout = 200 * time.Millisecond
	// startTimeoutFactor times the smoothed latency is the timeout of a start.
	startTimeoutFactor = 6
	// orderMargin is added to the timeout of a start for the way to its owner and
	// back.
	orderMargin = 20 * time.Millisecond
	// latencyWeight is the weight of the newest value in the smoothed latency.
	latencyWeight = 0.05
)

// placementRequest is a task that needs capacity on an owned worker: either a
// task of this instance or a peer's reserve request.
type placementRequest struct {
	service namer.Service
	step    *StepSpec
	flow    *admitter.Flow
	// predicted is the predicted run time near the task's data and without regard to the
	// worker's speed, and work that times the size in core-seconds.
	predicted time.Duration
	work      float64
	// finishBy is when the task has to end; zero if its job has no objective.
	finishBy time.Time
	urgency  urgencyClass
	// dueAt is when the request expires, or when a started job misses its
	// objective.
	dueAt time.Time
	// holdUntil is how long the task may wait for a worker on which it ends in time.
	holdUntil time.Time
	// isolated is set if the task needs a worker for itself.
	isolated bool
	// onlyInRack is set if the task waits for a worker in its data's rack.
	onlyInRack bool
	task       *task
	pending    *pendingRequest
}

// urgencyClass is the main criterion for the order of placement: started jobs
// come first while they can still meet their objective.
type urgencyClass int

const (
	urgencyStarted urgencyClass = iota
	urgencyNew
	urgencyLate
)

// placeTasks assigns free capacity: first to tasks of started jobs, then to new
// jobs in the order of their shares, and last to started jobs that will miss
// their objective. For its own tasks that remain, the instance sends reserve
// requests to other owners.
func (s *Scheduler) placeTasks() {
	if !s.rackRetryAt.IsZero() && !s.now.Before(s.rackRetryAt) {
		s.rackRetryAt, s.placementDue = time.Time{}, true
	}
	if !s.placementDue || s.isResuming() {
		return
	}
	s.placementDue = false
	s.prunePendingRequests()
	requests := s.placementRequests(s.maxFreeCores())
	round := placementRound{s: s, smallestUnplaced: make(map[namer.Service]unplaced)}
	var queues []flowQueue
	var late []*placementRequest
	for i := range requests {
		request := &requests[i]
		switch request.urgency {
		case urgencyStarted:
			round.place(request)
		case urgencyNew:
			queues = addToQueue(queues, request)
		case urgencyLate:
			late = append(late, request)
		}
	}
	for len(queues) > 0 {
		next := s.nextQueue(queues)
		request := queues[next].requests[0]
		if !round.place(request) && !request.onlyInRack {
			queues = slices.DeleteFunc(queues, func(q flowQueue) bool { return q.flow.IsSameKind(request.flow) })
			continue
		}
		if queues[next].requests = queues[next].requests[1:]; len(queues[next].requests) == 0 {
			queues = slices.Delete(queues, next, next+1)
		}
	}
	for _, request := range late {
		round.place(request)
	}
	s.prunePendingRequests()
	s.notifyQueued()
	s.requestReservations()
}

// maxFreeCores returns the largest free capacity of the usable owned workers, or
// -1 if there are none.
func (s *Scheduler) maxFreeCores() namer.MilliCores {
	largest := namer.MilliCores(-1)
	for _, w := range s.ownedWorkers {
		if !s.now.Before(w.fullUntil) && s.isUsable(w) {
			largest = max(largest, w.freeCapacity().Cores)
		}
	}
	return largest
}

// placementRequests lists the requests of at most maxCores in the order of dueAt.
func (s *Scheduler) placementRequests(maxCores namer.MilliCores) []placementRequest {
	var out []placementRequest
	for _, j := range s.openJobs {
		if s.staleRuns[j.Name] > 0 {
			continue
		}
		kind := s.kindState(j.Kind)
		urgency, dueAt := s.urgencyOf(j)
		finishBy, holdUntil := s.finishBy(j), s.holdUntil(j)
		for _, t := range j.tasks {
			if t.state == taskWaiting && t.step.Size.Cores <= maxCores && j.isReady(t) {
				predicted := kind.predictRunTime(t.step)
				out = append(out, placementRequest{
					service: j.Service, step: t.step, flow: j.flow, predicted: predicted, work: taskCoreSeconds(t.step.Size, predicted),
					finishBy: finishBy, holdUntil: holdUntil, urgency: urgency, dueAt: dueAt, isolated: s.isIsolated(t.id), onlyInRack: s.keepsToRack(t), task: t,
				})
			}
		}
	}
	for i := range s.pendingRequests {
		pending := &s.pendingRequests[i]
		if pending.Size.Cores > maxCores {
			continue
		}
		out = append(out, placementRequest{
			service: pending.Service, step: &pending.step, flow: pending.flow, predicted: pending.step.EstimatedRunTime,
			work: taskCoreSeconds(pending.Size, pending.step.EstimatedRunTime), finishBy: pending.finishBy, holdUntil: pending.holdUntil,
			urgency: pending.Urgency, dueAt: pending.expiresAt, isolated: s.isIsolated(pending.Task), onlyInRack: s.isBefore(pending.rackUntil), pending: pending,
		})
	}
	slices.SortStableFunc(out, func(a, b placementRequest) int { return a.dueAt.Compare(b.dueAt) })
	return out
}

func (s *Scheduler) urgencyOf(j *job) (urgencyClass, time.Time) {
	switch {
	case !j.placed && !(j.held && s.isLate(j)):
		return urgencyNew, j.startBy
	case s.isLate(j):
		return urgencyLate, earlier(j.usefulUntil, j.deadline)
	default:
		return urgencyStarted, j.objectiveAt
	}
}

func (s *Scheduler) isLate(j *job) bool {
	return s.now.Add(j.criticalPath(s.kindState(j.Kind).runTimeRatio)).After(j.objectiveAt)
}

func taskCoreSeconds(size Resources, runTime time.Duration) float64 {
	return float64(size.Cores) / namer.MilliCoresPerCore * runTime.Seconds()
}

// flowQueue has the new requests of a flow in a placement round, the first due first.
type flowQueue struct {
	flow     *admitter.Flow
	requests []*placementRequest
}

func addToQueue(queues []flowQueue, request *placementRequest) []flowQueue {
	for i := range queues {
		if queues[i].flow == request.flow {
			queues[i].requests = append(queues[i].requests, request)
			return queues
		}
	}
	return append(queues, flowQueue{request.flow, []*placementRequest{request}})
}

// nextQueue returns the index of the queue whose flow is to get capacity first.
func (s *Scheduler) nextQueue(queues []flowQueue) int {
	best := 0
	for i := 1; i < len(queues); i++ {
		if s.shares.Precedes(queues[i].flow, queues[best].flow) {
			best = i
		}
	}
	return best
}

// placementRound is the state of one call of placeTasks.
type placementRound struct {
	s *Scheduler
	// smallestUnplaced is, by service, the smallest request that found no worker.
	smallestUnplaced map[namer.Service]unplaced
}

// unplaced describes the requests that find no worker: those that need as many cores
// and run as long.
type unplaced struct {
	cores namer.MilliCores
	// runTime is zero if the run time was no obstacle.
	runTime time.Duration
}

// place places a request on an owned worker and reports whether one was found. A request
// that is held is none that finds no room.
func (p *placementRound) place(request *placementRequest) bool {
	smallest, found := p.smallestUnplaced[request.service]
	if found && request.step.Size.Cores >= smallest.cores && request.predicted >= smallest.runTime {
		return false
	}
	target, isTooLong := p.s.chooseWorker(request)
	if target == nil {
		p.recordUnplaced(request, isTooLong)
		return false
	}
	if p.s.isHeld(request, target) {
		return true
	}
	p.s.shares.Charge(request.flow, request.work, request.urgency == urgencyNew)
	if request.task != nil {
		p.s.startTask(request.task, target, request.sizeOn(target))
		return true
	}
	p.s.reserve(request.pending, target, request.sizeOn(target))
	return true
}

// recordUnplaced records that a request found no worker. isTooLong is set if a shorter
// task might have found one.
func (p *placementRound) recordUnplaced(request *placementRequest, isTooLong bool) {
	if request.step.RequiredLabel != "" || request.step.MaxPerWorker > 0 || request.isolated || request.onlyInRack {
		return
	}
	u := unplaced{cores: request.step.Size.Cores}
	if isTooLong {
		u.runTime = request.predicted
	}
	if smallest, found := p.smallestUnplaced[request.service]; !found || u.cores <= smallest.cores && u.runTime <= smallest.runTime {
		p.smallestUnplaced[request.service] = u
	}
}

// sizeOn returns the capacity that the task takes on a worker.
func (r *placementRequest) sizeOn(w *worker) Resources {
	if r.isolated {
		return w.capacity
	}
	return r.step.Size
}

// chooseWorker returns the owned worker that suits a request best, or nil if there is an
// obstacle to each. isTooLong is set if one of them would do for a shorter task.
func (s *Scheduler) chooseWorker(request *placementRequest) (best *worker, isTooLong bool) {
	for _, w := range s.ownedWorkers {
		o := s.obstacleTo(request, w)
		isTooLong = isTooLong || o == obstacleDeparture
		if o != noObstacle {
			continue
		}
		if best == nil || s.prefersWorker(request, w, best) {
			best = w
		}
	}
	return best, isTooLong
}

// prefersWorker reports whether a suits a request better than b. Among the workers on
// which it ends in time, those that stay come before draining ones, then those where it
// and its neighbors slow each other down least, and then those near its data; the one that
// it fits most tightly is best. If it ends in time on neither, the
// one on which it ends first is better.
func (s *Scheduler) prefersWorker(request *placementRequest, a, b *worker) bool {
	if !request.finishBy.IsZero() {
		aInTime := s.endsInTime(request, a)
		if aInTime != s.endsInTime(request, b) {
			return aInTime
		}
		if !aInTime {
			if aTime, bTime := s.runTimeOn(request, a), s.runTimeOn(request, b); aTime != bTime {
				return aTime < bTime
			}
		}
	}
	if a.draining != b.draining {
		return !a.draining
	}
	if s.interference.Found() > 0 {
		if aTotal, bTotal := s.totalDisturbance(request, a), s.totalDisturbance(request, b); aTotal != bTotal {
			return aTotal < bTotal
		}
	}
	if aNear := s.isNearData(a, request.step); aNear != s.isNearData(b, request.step) {
		return aNear
	}
	return a.freeCapacity().Cores < b.freeCapacity().Cores
}

// totalDisturbance returns how much a request and the runs on a worker would slow each
// other down.
func (s *Scheduler) totalDisturbance(request *placementRequest, w *worker) float64 {
	own, others := s.disturbance(request, w)
	return own + others
}

// runTimeOn returns the run time to expect of a request on a worker.
func (s *Scheduler) runTimeOn(request *placementRequest, w *worker) time.Duration {
	own, _ := s.disturbance(request, w)
	return scale(s.predictRunTimeOn(w, s.runTimeAt(w, request.step, request.predicted)), 1+own)
}

// isProbing reports whether a worker whose breaker has tripped already has its
// single trial run.
func (w *worker) isProbing() bool { return w.breakerTrips > 0 && len(w.ownRuns) > 0 }

// isUnused reports whether nothing runs on a worker and nothing is reserved there.
func (w *worker) isUnused() bool {
	return len(w.ownRuns)+len(w.foreignRuns)+len(w.reservations) == 0
}

func (w *worker) runsOfStep(t *task) int {
	n := 0
	for _, r := range w.ownRuns {
		if r.taskID.Job == t.id.Job && r.taskID.Step == t.id.Step {
			n++
		}
	}
	return n
}

// startTask starts a task on an owned worker, under a new run number.
func (s *Scheduler) startTask(t *task, w *worker, size Resources) {
	s.lastRunCount++
	base := s.runTimeAt(w, t.step, s.kindState(t.job.Kind).predictRunTime(t.step))
	r := s.addRun(t, w, namer.NewRunID(s.lastRunCount, s.RunTag), size, s.forecastOn(w, base))
	r.startTimeout = s.startTimeout()
	s.emit(Start{
		Worker: w.id, Task: r.taskID, Run: r.number, Payload: t.job.Payload, LeaseUntil: s.leaseEnd(w), Timeout: r.startTimeout,
	})
}

// addRun adds a run that is about to be started, and cancels the task's reserve
// requests.
func (s *Scheduler) addRun(t *task, w *worker, number namer.RunID, size Resources, f forecast) *run {
	s.cancelReserveRequests(t)
	if !t.job.placed {
		s.returns.JobStarted(s.now)
		s.recordWait(t.job, true)
	}
	t.job.placed = true
	r := &run{taskID: t.id, number: number, worker: w, size: size, task: t, forecast: f}
	t.run, t.state = r, taskStarting
	s.runs[runKey{r.taskID, r.number}] = r
	w.ownRuns = append(w.ownRuns, r)
	s.trackRemoteWorker(w)
	w.ownUsage = w.ownUsage.add(r.size)
	s.emitJobDecision(eventer.TaskPlaced, t.job, Decision{
		Task: taskLabel(t.id), Run: r.number, Worker: w.id, Age: s.sinceLastSeen(w),
		PredictedRunTime: f.expected, Factor: f.factor(), Slack: s.slack(t.job.objectiveAt, f.expected),
		Cores: r.size.Cores, FreeCores: w.freeCapacity().Cores, ForeignRuns: len(w.foreignRuns), TimeLeft: s.timeLeft(w),
		AwayFromData: !s.isNearData(w, t.step),
	})
	return r
}

// startTimeout returns how long to wait for the response to a start. It grows
// with the latency: if this instance or its network is slow, early timeouts
// would only add load.
func (s *Scheduler) startTimeout() time.Duration {
	return min(max(startTimeoutFactor*s.startLatency, minStartTimeout), maxStartTimeout)
}

// orderTimeout returns how long to wait for the report on an ordered start. It leaves
// the owner time to wait for the worker.
func (s *Scheduler) orderTimeout() time.Duration { return s.startTimeout() + orderMargin }

func (s *Scheduler) updateStartLatency(latency time.Duration) {
	s.startLatency += time.Duration(latencyWeight * float64(latency-s.startLatency))
}

func (s *Scheduler) leaseEnd(w *worker) namer.WorkerClockMillis {
	return w.estimatedClock(s.now) + namer.WorkerClockMillis(s.leaseTime.Milliseconds())
}
