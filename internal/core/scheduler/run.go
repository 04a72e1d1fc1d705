package scheduler

import (
	"strconv"
	"time"

	"github.com/heatherslip/heatherslip/internal/core/holder"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// run is an attempt to execute a task on a worker. It remains in the tables,
// even when its task no longer needs it, until it is known to have ended.
type run struct {
	taskID namer.TaskName
	number namer.RunID
	worker *worker
	size   Resources
	// task is nil once the run is no longer wanted.
	task *task
	// grantedBy is the peer that reserved capacity for the run and starts it, and
	// orderedAt when it was told to. Both are zero if this instance starts the run.
	grantedBy *peer
	orderedAt time.Time
	// startedAt is when the worker confirmed the run.
	startedAt time.Time
	// confirmed is set once the worker has confirmed that the run exists.
	confirmed bool
	// inDoubt is set if the start got no response and the run has not been
	// confirmed since.
	inDoubt      bool
	inDoubtSince time.Time
	// startTimeout is that of the start; zero if a peer sends it.
	startTimeout time.Duration
	// doubt is that about a start without a response, until the worker lists its runs.
	doubt startDoubt
	// lost is set while the run's worker counts as crashed.
	lost bool
	// stopRequested is set once the run is to be stopped, stopInFlight while a
	// stop request is unanswered.
	stopRequested bool
	stopInFlight  bool
	nextStopAt    time.Time
	// stopAckedAt is when the worker acknowledged a stop; zero before. From then
	// on the run can't start any more, and ends soon if it is active.
	stopAckedAt time.Time
	// inLastPoll is set if the worker's last poll result lists the run.
	inLastPoll      bool
	progressPercent int
	// progressAt is when progressPercent was received.
	progressAt time.Time
	// forecast is the run time predicted at placement.
	forecast forecast
	// speedObserved is set once the run has counted for the speed of the worker.
	speedObserved bool
}

const (
	// stopRetryInterval is the pause before an unacknowledged stop is repeated.
	stopRetryInterval = 20 * time.Millisecond
	// supersededSkip is how far run counts advance when a worker has seen a
	// higher run number: the largest difference between the clocks of two
	// instances, in hundredths of a second.
	supersededSkip = 500
)

func taskLabel(id namer.TaskName) string {
	return strconv.Itoa(id.Step) + "." + strconv.Itoa(id.Index)
}

// handleStartResult processes the result of a start that this instance has sent.
func (s *Scheduler) handleStartResult(e StartResult) {
	key := runKey{e.Task, e.Run}
	if p := s.orderedStarts[key]; p != nil {
		s.handleOrderedStartResult(p, e)
		return
	}
	r := s.runs[key]
	if r == nil {
		return
	}
	s.updateStartLatency(e.Latency)
	s.recordStartResult(r.worker, e, r.startTimeout)
	if e.Status == StartNoResponse {
		r.doubt = doubtAfter(e.Latency, r.startTimeout)
	}
	s.applyStartResult(r, e.Status, e.Latency)
}

// recordStartResult records what the result of a start, which had the given timeout, says
// about the worker.
func (s *Scheduler) recordStartResult(w *worker, e StartResult, timeout time.Duration) {
	if e.Status != StartNoResponse && e.Status != StartNotSent && e.Clock >= w.clockReading {
		// A list of runs may have overtaken the response.
		w.setClock(s.now, e.Clock)
	}
	switch e.Status {
	case StartNoCapacity:
		s.recordNoCapacity(w)
	case StartFenced:
		s.handleFenced(w, e.Fence)
	case StartUnhealthy:
		w.breakerOpenUntil = s.now.Add(unhealthyPause)
	case StartWrongIncarnation:
		w.runsListed = false
	case StartRefused:
		s.recordFailure(w)
	case StartNoResponse:
		if doubt := doubtAfter(e.Latency, timeout); w.crashed && doubt.counts(true) {
			s.recordLostRun(w, &CrashReport{RunRef: RunRef{w.id, e.Task, e.Run}, Evidence: doubt.evidence(false)})
		}
		w.suspected = true
		s.recordUnansweredStart(w, nil)
		s.sendImmediatePoll(w)
	case StartNotSent:
		w.suspected = true
		s.sendImmediatePoll(w)
	}
}

// recordNoCapacity stops placing tasks on a worker that has less free capacity than
// it seemed to have, and asks it for its runs.
func (s *Scheduler) recordNoCapacity(w *worker) {
	w.fullUntil = s.now.Add(fullPause)
	s.sendImmediatePoll(w)
}

// applyStartResult applies the result of a start to its run.
func (s *Scheduler) applyStartResult(r *run, status StartStatus, latency time.Duration) {
	if r.confirmed || status == StartAccepted {
		s.confirmRun(r)
		return
	}
	if r.task != nil {
		s.emitJobDecision(eventer.TaskNotStarted, r.task.job, Decision{
			Task: taskLabel(r.taskID), Run: r.number, Worker: r.worker.id, Reason: startStatusReasons[status], Age: latency,
			FreeCores: r.worker.freeCapacity().Cores, ForeignRuns: len(r.worker.foreignRuns),
		})
	}
	switch status {
	case StartSuperseded:
		s.lastRunCount += supersededSkip
	case StartNoResponse:
		s.markInDoubt(r)
		return
	}
	s.removeRun(r)
}

var startStatusReasons = map[StartStatus]string{
	StartNoCapacity:       "no room",
	StartSuperseded:       "run number is not higher than one that has ended there",
	StartLeaseExpired:     "lease was over on arrival",
	StartUnhealthy:        "worker is unhealthy",
	StartWrongIncarnation: "worker has another incarnation",
	StartRefused:          "refused",
	StartNoResponse:       "no answer",
	StartNotSent:          "no connection",
	StartWithheld:         "domain is evacuated",
	StartFenced:           "another instance has claimed the worker",
	StartDeclined:         "declined by the owner of the worker",
}

// markInDoubt handles a start without a response. It polls the worker: if the run
// is active, the task continues; otherwise only an acknowledged stop proves that
// the run won't start later.
func (s *Scheduler) markInDoubt(r *run) {
	r.inDoubt = true
	r.inDoubtSince = s.now
	if !r.orderedAt.IsZero() {
		s.recordUnansweredStart(r.worker, r.grantedBy)
		s.sendImmediatePoll(r.worker)
	}
	if r.task != nil {
		r.task.job.mayHaveRun = true
	}
}

// confirmRun records that a run exists on its worker.
func (s *Scheduler) confirmRun(r *run) {
	if r.confirmed {
		return
	}
	r.confirmed = true
	s.reach(holder.FirstStart)
	r.startedAt = s.now
	if r.task == nil {
		return
	}
	r.task.job.mayHaveRun = true
	if r.task.state == taskStarting {
		r.task.state = taskRunning
	}
	r.inDoubt = false
}

// sendStops sends the stop requests that are due.
func (s *Scheduler) sendStops() {
	s.forEachPolledWorker(func(w *worker) {
		if w.isRefused() {
			return
		}
		for _, r := range w.ownRuns {
			if !r.stopRequested || r.stopInFlight || s.now.Before(r.nextStopAt) {
				continue
			}
			r.stopInFlight = true
			s.emit(Stop{Worker: w.id, Task: r.taskID, Run: r.number})
		}
	})
}

// handleStopResult processes the result of a stop.
func (s *Scheduler) handleStopResult(e StopResult) {
	r := s.runs[runKey{e.Task, e.Run}]
	if r == nil {
		s.handleForeignStopResult(e)
		return
	}
	r.stopInFlight = false
	r.nextStopAt = s.now.Add(stopRetryInterval)
	switch {
	case e.WrongIncarnation:
		s.removeRun(r)
	case e.Fenced:
		s.logFencedStop(r)
		s.handleFenced(r.worker, e.Fence)
		s.forwardStop(r)
	case e.Acknowledged:
		r.stopAckedAt = s.now
		r.nextStopAt = s.now.Add(s.leaseTime)
		s.cancelLateStart(r)
		if !r.confirmed {
			s.sendImmediatePoll(r.worker)
		}
	default:
		r.worker.suspected = true
		s.forwardStop(r)
	}
}

// logFencedStop logs that a worker has rejected a stop because of its fence.
func (s *Scheduler) logFencedStop(r *run) {
	d := Decision{Event: eventer.StopFenced, Job: r.taskID.Job, Task: taskLabel(r.taskID), Run: r.number, Worker: r.worker.id}
	if owner := r.worker.owner; owner != nil {
		d.Peer, d.Age = owner.name, s.now.Sub(owner.lastSeen)
	}
	s.emit(d)
}

// sendImmediatePoll polls a worker in addition to its pending long poll.
func (s *Scheduler) sendImmediatePoll(w *worker) {
	if w.isRefused() {
		return
	}
	s.emit(Poll{Worker: w.id, AckSequence: w.ackedSequence(), OutOfBand: true})
}

// handleForeignStopResult handles the result of stopping another instance's run.
// The worker is polled again, since it soon lists the run as ended.
func (s *Scheduler) handleForeignStopResult(e StopResult) {
	w := s.workers[e.Worker]
	if w == nil {
		return
	}
	if e.WrongIncarnation {
		w.runsListed = false
	}
	if e.Fenced {
		s.handleFenced(w, e.Fence)
	}
	w.nextPollAt = s.now
}

// moveStragglers stops slow and stalled runs, and those whose worker leaves before they
// end, if another run of the task can still end in time.
func (s *Scheduler) moveStragglers() {
	for _, j := range s.openJobs {
		for _, t := range j.tasks {
			switch {
			case t.state != taskRunning:
			case s.mustLeaveWorker(t):
				s.leaveWorker(t)
			case s.isStraggler(t):
				s.moveTask(t)
			}
		}
	}
}

const (
	// A run is slow if its projected run time is more than stragglerFactor times
	// that of its siblings, both by what is known of the speed of their workers.
	// Estimated run times are off by as much for whole jobs.
	stragglerFactor = 2.5
	// minProgressPercent is the progress below which a run is stalled after half
	// of its predicted run time.
	minProgressPercent = 4
	// minObservation is the shortest run time at which progress is meaningful.
	minObservation = 40 * time.Millisecond
	// moveTime is the time needed for a stop and another start.
	moveTime = 5 * time.Millisecond
)

// isStraggler reports whether a run is stalled, or much slower than its siblings,
// and a run started now would meet the objective.
func (s *Scheduler) isStraggler(t *task) bool {
	r := t.run
	elapsed := s.now.Sub(r.startedAt)
	if r.stopRequested || elapsed < minObservation || elapsed < r.forecast.expected/2 {
		return false
	}
	expected := s.kindState(t.job.Kind).predictRunTime(t.step)
	if !r.isStalled() {
		siblingTime, hasSiblings := t.job.siblingRunTime(t)
		projected, hasProjection := r.projectedRunTime()
		if !hasSiblings || !hasProjection || float64(projected) < stragglerFactor*r.forecast.factor()*r.forecast.uncertainty()*float64(siblingTime) {
			return false
		}
		expected = siblingTime
	}
	return s.now.Add(expected + moveTime).Before(t.job.objectiveAt)
}

// isStalled reports whether a run has made almost no progress after half of its
// predicted run time.
func (r *run) isStalled() bool {
	observed := r.progressAt.Sub(r.startedAt)
	return !r.progressAt.IsZero() && observed >= minObservation && observed >= r.forecast.expected/2 && r.progressPercent < minProgressPercent
}

// projectedRunTime extrapolates the run time from the progress. The second result
// is false if there is too little progress to do so.
func (r *run) projectedRunTime() (time.Duration, bool) {
	observed := r.progressAt.Sub(r.startedAt)
	if r.progressAt.IsZero() || observed < minObservation || r.progressPercent < minProgressPercent {
		return 0, false
	}
	return observed * 100 / time.Duration(r.progressPercent), true
}

// siblingRunTime returns the shortest run time, actual or projected, of the other
// tasks of a step that run on other workers, apart from the speed of these. The second
// result is false if none is available.
func (j *job) siblingRunTime(t *task) (time.Duration, bool) {
	shortest, found := t.step.minRunTime, t.step.minRunTime > 0
	for _, other := range j.tasks {
		if other == t || other.step != t.step || other.run == nil || other.run.worker == t.run.worker {
			continue
		}
		projected, hasProjection := other.run.projectedRunTime()
		projected = scale(projected, 1/other.run.forecast.factor())
		if hasProjection && (!found || projected < shortest) {
			shortest, found = projected, true
		}
	}
	return shortest, found
}

// moveTask requests a stop of a task's run and opens the breaker of its worker. The
// task is started elsewhere once the run is known to have ended.
func (s *Scheduler) moveTask(t *task) {
	r := t.run
	s.emitJobDecision(eventer.RunMoved, t.job, Decision{
		Task: taskLabel(r.taskID), Run: r.number, Worker: r.worker.id, Reason: "run is slow",
		Age: s.now.Sub(r.progressAt), PredictedRunTime: r.forecast.expected,
	})
	s.openBreaker(r.worker, "runs are slow")
	r.stopRequested = true
}
