package scheduler

import (
	"time"

	"github.com/heatherslip/heatherslip/internal/core/estimator"
	"github.com/heatherslip/heatherslip/internal/core/hasher"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

const (
	// minTimeLeft is sent for an objective that is over, so that the job still counts as
	// one that has an objective.
	minTimeLeft = time.Nanosecond
	// A task may wait for a worker on which it ends in time, while others are free, until
	// a startShare of the time is left in which its job must start, but no less than
	// minStartShare: the time between two steps and the way to an owner.
	startShare    = 0.25
	minStartShare = 12 * time.Millisecond
	// earlyFactor times its expected run time is when an active run is counted as slow,
	// by its progress, without waiting for its end.
	earlyFactor = 2
	// speedLogInterval bounds how often a change of a worker's class is logged.
	speedLogInterval = time.Second
	// speedReportCount is how often the speed of a worker is told to its new owner, at
	// peerCheckInterval: messages may be lost, and a new instance may not know the worker
	// yet.
	speedReportCount = 3
)

// forecast is how long a task is expected to run on a worker.
type forecast struct {
	// base is the prediction without regard to the worker, expected that with its speed,
	// and latest what the run probably doesn't exceed.
	base, expected, latest time.Duration
}

// forecastOn returns the forecast for a worker that this instance owns.
func (s *Scheduler) forecastOn(w *worker, base time.Duration) forecast {
	expected := s.predictRunTimeOn(w, base)
	return forecast{base: base, expected: expected, latest: scale(expected, 1+w.speed.Deviation())}
}

// grantedForecast returns the forecast of a peer that has granted a reservation, within
// what workers can differ by.
func grantedForecast(base time.Duration, response *ReserveResponse) forecast {
	f := forecast{base: base, expected: base, latest: base}
	if response.ExpectedRunTime > 0 {
		f.expected = min(max(response.ExpectedRunTime, scale(base, 1/estimator.MaxFactor)), scale(base, estimator.MaxFactor))
		f.latest = f.expected
	}
	if response.LatestRunTime > f.expected {
		f.latest = min(response.LatestRunTime, 2*f.expected)
	}
	return f
}

// factor returns the expected factor of the worker on run times.
func (f forecast) factor() float64 {
	if f.base <= 0 || f.expected <= 0 {
		return 1
	}
	return float64(f.expected) / float64(f.base)
}

// uncertainty returns how many times as long as expected the run may take.
func (f forecast) uncertainty() float64 {
	if f.expected <= 0 || f.latest <= f.expected {
		return 1
	}
	return float64(f.latest) / float64(f.expected)
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

// predictRunTimeOn returns the expected run time on a worker of a task that was predicted
// without regard to the worker.
func (s *Scheduler) predictRunTimeOn(w *worker, predicted time.Duration) time.Duration {
	return scale(predicted, w.speed.Factor(s.now))
}

// endsInTime reports whether a request placed on a worker now will probably end before
// finishBy.
func (s *Scheduler) endsInTime(request *placementRequest, w *worker) bool {
	runTime := s.runTimeAt(w, request.step, request.predicted)
	own, _ := s.disturbance(request, w)
	return !s.now.Add(scale(runTime, w.speed.Margin(s.now)*(1+own))).After(request.finishBy)
}

// finishBy returns when a task of a job has to end: at the objective, or with the last of
// the tasks that run already, which decides when the job ends. It is zero if the job has
// no objective.
func (s *Scheduler) finishBy(j *job) time.Time {
	if j.ObjectiveFactor <= 0 {
		return time.Time{}
	}
	last := j.objectiveAt
	for _, t := range j.tasks {
		if t.run == nil {
			continue
		}
		start := t.run.startedAt
		if start.IsZero() {
			start = s.now
		}
		if end := start.Add(t.run.forecast.expected); end.After(last) && end.After(s.now) {
			last = end
		}
	}
	return last
}

// isHeld reports whether a task has to wait although a worker is free, because it would
// be late there and in time on another one of this instance. Meanwhile other owners are
// asked; where all workers are equal, no task is held.
func (s *Scheduler) isHeld(request *placementRequest, free *worker) bool {
	if request.finishBy.IsZero() || !s.now.Before(request.holdUntil) || s.endsInTime(request, free) {
		return false
	}
	for _, w := range s.ownedWorkers {
		if w.service == request.service && request.step.Size.fitsIn(w.capacity) && w.hasLabel(request.step.RequiredLabel) &&
			s.isUsable(w) && s.endsInTime(request, w) {
			if s.holdsEnd.IsZero() || request.holdUntil.Before(s.holdsEnd) {
				s.holdsEnd = request.holdUntil
			}
			if request.pending != nil {
				request.pending.held = true
			}
			return true
		}
	}
	return false
}

// holdUntil returns how long the tasks of a job may be held. A job that has started is
// not refused for waiting, but must not lose more time than one that hasn't.
func (s *Scheduler) holdUntil(j *job) time.Time {
	if j.ObjectiveFactor <= 0 {
		return time.Time{}
	}
	return j.arrivedAt.Add(holdTime(j.startBy.Sub(j.arrivedAt)))
}

// holdTime returns how much of the time until a start a task may be held.
func holdTime(untilStart time.Duration) time.Duration {
	return untilStart - max(scale(untilStart, startShare), minStartShare)
}

// releaseHolds has the tasks placed whose time to be held is over.
func (s *Scheduler) releaseHolds() {
	if !s.holdsEnd.IsZero() && !s.now.Before(s.holdsEnd) {
		s.holdsEnd, s.placementDue = time.Time{}, true
	}
}

// slack returns the time between the expected end of a task that starts now and
// finishBy; zero if that is.
func (s *Scheduler) slack(finishBy time.Time, runTime time.Duration) time.Duration {
	if finishBy.IsZero() {
		return 0
	}
	return finishBy.Sub(s.now) - runTime
}

// observedRun is a run time that this instance has seen. Each one passes observeRun.
type observedRun struct {
	worker *worker
	kind   namer.Kind
	job    namer.JobName
	// tasks is the number of tasks of the run's step, which share the error of their
	// estimate; zero if unknown.
	tasks int
	// predicted is the prediction without regard to the worker.
	predicted, actual time.Duration
}

// observeRun learns the speed of an owned worker from a run. It reports whether the run is
// no sign that the speed has changed.
func (s *Scheduler) observeRun(o observedRun) bool {
	w := o.worker
	finding := s.speeds.Observe(s.now, &w.speed, estimator.Observation{
		Job: hasher.String(string(o.job)), Predicted: o.predicted, Actual: o.actual,
	})
	if finding.ClassChanged {
		s.placementDue = true
		s.logSpeed(w)
	}
	return !finding.Unusual
}

func (s *Scheduler) logSpeed(w *worker) {
	if s.now.Sub(w.speedLoggedAt) < speedLogInterval {
		return
	}
	w.speedLoggedAt = s.now
	s.emit(Decision{Event: eventer.WorkerSpeedChanged, Worker: w.id, Reason: w.speed.Class().String(), Factor: w.speed.Estimate(), Runs: w.speed.Observations()})
}

// observeRunEnd learns from the end of a run that was started on an owned worker. It
// reports whether the run is no sign that the speed has changed.
func (s *Scheduler) observeRunEnd(o observedRun, startedAt time.Time) bool {
	o.actual = s.now.Sub(startedAt) - o.worker.endDelay/2
	if s.resumedAt.After(startedAt) || o.worker.endDelay > o.actual {
		s.speeds.Reject()
		return true
	}
	o.predicted = scale(o.predicted, s.observeNeighbors(o, startedAt))
	return s.observeRun(o)
}

// endDelay returns how late an end may be seen that the result of a poll lists. A worker
// responds to a pending poll as soon as a run ends.
func (s *Scheduler) endDelay(w *worker, e *PollResult) time.Duration {
	if w.lastSeen.IsZero() || !e.OutOfBand && s.now.Sub(e.SentAt) >= emptyPollPause {
		return 0
	}
	return max(0, s.now.Sub(w.lastSeen))
}

// observeOwnRun records the run time of a task of this instance that has succeeded. What
// is due to the worker's speed neither counts for the job nor for its kind.
func (s *Scheduler) observeOwnRun(r *run, t *task, actual time.Duration) {
	w, factor, estimate := r.worker, r.forecast.factor(), r.forecast.factor()
	if w.owned {
		factor, estimate = w.speed.Factor(s.now), w.speed.Estimate()
	}
	nearData := s.nearDataTime(r, t, actual)
	t.job.observeRunTime(t.step, scale(nearData, 1/factor))
	isUsual := !r.speedObserved
	if w.owned && r.orderedAt.IsZero() && r.inDoubtSince.IsZero() && !r.speedObserved {
		isUsual = s.observeRunEnd(observedRun{worker: w, kind: t.job.Kind, job: t.job.Name, tasks: t.step.Count, predicted: r.forecast.base}, r.startedAt)
	}
	if isUsual {
		s.kindState(t.job.Kind).observeRunTime(t.step.EstimatedRunTime, scale(nearData, 1/estimate))
	}
}

// observeForeignRun learns from the end of a peer's run on an owned worker.
func (s *Scheduler) observeForeignRun(w *worker, f *foreignRun, cause EndCause) {
	if cause != EndSucceeded || f.startedAt.IsZero() || f.speedObserved {
		return
	}
	s.observeRunEnd(observedRun{worker: w, kind: f.kind, job: f.Task.Job, tasks: f.tasks, predicted: f.predicted}, f.startedAt)
}

// observeActiveRuns learns from the progress of the runs on an owned worker that take
// much longer than expected. Their ends are not counted again.
func (s *Scheduler) observeActiveRuns(w *worker) {
	for _, r := range w.ownRuns {
		if r.task != nil && r.inLastPoll && r.orderedAt.IsZero() && r.inDoubtSince.IsZero() && s.isEarlySlow(w, r.startedAt, r.forecast.base, r.speedObserved) {
			r.speedObserved = true
			s.observeProgress(observedRun{worker: w, kind: r.task.job.Kind, job: r.taskID.Job, predicted: r.forecast.base}, r.startedAt, r.progressPercent)
		}
	}
	for i := range w.foreignRuns {
		f := &w.foreignRuns[i]
		if f.listed && s.isEarlySlow(w, f.startedAt, f.predicted, f.speedObserved) {
			f.speedObserved = true
			s.observeProgress(observedRun{worker: w, kind: f.kind, job: f.Task.Job, predicted: f.predicted}, f.startedAt, f.Percent)
		}
	}
}

// isEarlySlow reports whether an active run takes much longer than expected and has not
// been observed.
func (s *Scheduler) isEarlySlow(w *worker, startedAt time.Time, predicted time.Duration, observed bool) bool {
	elapsed := s.now.Sub(startedAt)
	return !observed && !startedAt.IsZero() && !s.resumedAt.After(startedAt) &&
		elapsed >= minObservation && elapsed > earlyFactor*s.predictRunTimeOn(w, predicted)
}

func (s *Scheduler) observeProgress(o observedRun, startedAt time.Time, percent int) {
	o.actual = s.now.Sub(startedAt) * 100 / time.Duration(min(max(percent, minProgressPercent), 100))
	s.observeRun(o)
}

// SpeedReport tells the new owner of a worker what the old one has learned of its speed.
type SpeedReport struct {
	Worker namer.Worker `cbor:"1,keyasint"`
	// BootTime is the incarnation that the speed is of.
	BootTime namer.UnixMillis `cbor:"2,keyasint"`
	Speed    estimator.Report `cbor:"3,keyasint"`
}

// reportSpeed tells the speed of a worker to its owner if some reports are due.
func (s *Scheduler) reportSpeed(w *worker) {
	if w.speedReportsDue == 0 || w.owner == nil {
		return
	}
	w.speedReportsDue--
	out := s.outboxOf(w.owner)
	out.Speeds = append(out.Speeds, SpeedReport{Worker: w.id, BootTime: w.bootTime, Speed: w.speed.Report(s.now)})
}

// handOverSpeed starts to tell the speed of a worker that this instance owned to the new
// owner.
func (s *Scheduler) handOverSpeed(w *worker) {
	w.speedReportsDue = 0
	if w.speed.Observations() > 0 && w.bootTime != 0 {
		w.speedReportsDue = speedReportCount
		s.reportSpeed(w)
	}
}

func (s *Scheduler) repeatSpeedReports() {
	for _, w := range s.sortedWorkers {
		s.reportSpeed(w)
	}
}

// handleSpeedReport adopts what a peer has learned of a worker's speed, unless it is of
// another incarnation.
func (s *Scheduler) handleSpeedReport(r *SpeedReport) {
	w := s.workers[r.Worker]
	if w == nil || r.BootTime == 0 || w.bootTime != r.BootTime {
		return
	}
	if s.speeds.Adopt(s.now, &w.speed, r.Speed) {
		s.placementDue = true
	}
}

// WorkerSpeeds summarizes the speeds of the workers that an instance owns.
type WorkerSpeeds struct {
	// Slow and Fast count the workers that differ from the others, and MeanFactor is the
	// mean factor on predicted run times of all.
	Slow, Fast int
	MeanFactor float64
	// Bounded and Rejected count observations whose influence was bounded and that were
	// not used, and Changes how often a worker has changed its speed, since the start.
	Bounded, Rejected, Changes int
}

// WorkerSpeeds returns a summary of the speeds of the owned workers.
func (s *Scheduler) WorkerSpeeds() WorkerSpeeds {
	out := WorkerSpeeds{MeanFactor: 1, Bounded: s.speeds.Bounded(), Rejected: s.speeds.Rejected(), Changes: s.speeds.Changes()}
	sum := 0.0
	for _, w := range s.ownedWorkers {
		sum += w.speed.Factor(s.now)
		switch w.speed.Class() {
		case estimator.Slow:
			out.Slow++
		case estimator.Fast:
			out.Fast++
		}
	}
	if len(s.ownedWorkers) > 0 {
		out.MeanFactor = sum / float64(len(s.ownedWorkers))
	}
	return out
}
