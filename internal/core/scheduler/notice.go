package scheduler

import (
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Notice says how long a draining worker stays, on the worker's own clock, so that the
// age of its entry in the list makes no difference. docs/design/short-notice.md has the
// rationale.
type Notice struct {
	// LeavesAt is when the worker leaves at the earliest; zero if unknown.
	LeavesAt namer.WorkerClockMillis
	// AnnouncedAt is a time before which no instance can have known that the worker is
	// draining; zero if unknown.
	AnnouncedAt namer.WorkerClockMillis
}

const (
	// maxNotice bounds the time that a worker says it has left.
	maxNotice = 10 * time.Minute
	// noticeTolerance is the difference up to which two times of departure count as the
	// same. It covers the time between the two readings that make up a notice.
	noticeTolerance = 50 * time.Millisecond
	// runTimeUncertainty times its predicted run time is how long a task must have left
	// on a draining worker. A job that loses a task there has to start it again, which
	// its objective rarely allows; with estimates that are off by a standard deviation of
	// 0.4 of their logarithm, one task in a hundred takes longer.
	runTimeUncertainty = 2.5
	// departureMargin is added to that. A start may take effect this late.
	departureMargin = maxStartTimeout
	// drainMargin is how long before the end of DrainTime the last start is sent. It
	// covers the way of a reserve request, its order and its start, with a process that
	// is suspended meanwhile.
	drainMargin = 500 * time.Millisecond
	// evacuationTime is the time that a stop, the end of the run and another start take.
	evacuationTime = 60 * time.Millisecond
)

// NewNotice returns the notice of a worker that said at writtenAt how much time it has
// left. A negative time counts as none, an extreme one as maxNotice.
func NewNotice(writtenAt namer.WorkerClockMillis, remaining time.Duration) Notice {
	return Notice{LeavesAt: writtenAt + onSlowClock(min(max(0, remaining), maxNotice))}
}

// onSlowClock returns what a time is at least on the clock of a worker.
func onSlowClock(d time.Duration) namer.WorkerClockMillis {
	return namer.WorkerClockMillis(float64(d.Milliseconds()) / maxClockDrift)
}

// SetAnnounced sets when the draining worker can first have been known as such.
// previous is its entry so far, nil if there is none. isNext is set if no entry of the
// worker came between the two; else it may have been draining since the previous one.
func (w *WorkerInfo) SetAnnounced(previous *WorkerInfo, isNext bool) {
	isSameIncarnation := previous != nil && previous.BootTime == w.BootTime
	switch {
	case !w.Draining:
	case isSameIncarnation && previous.Draining:
		w.Notice.AnnouncedAt = previous.Notice.AnnouncedAt
	case isNext:
		w.Notice.AnnouncedAt = w.WrittenAt
	case isSameIncarnation:
		w.Notice.AnnouncedAt = previous.WrittenAt
	}
}

// HasSameDeparture reports whether two entries of a worker give the same time of
// departure, or both say that it is over.
func (w *WorkerInfo) HasSameDeparture(other *WorkerInfo) bool {
	if w.isDue() && other.isDue() {
		return true
	}
	difference := w.Notice.LeavesAt - other.Notice.LeavesAt
	return max(difference, -difference) <= onSlowClock(noticeTolerance)
}

// isDue reports whether a worker gives itself no more time.
func (w *WorkerInfo) isDue() bool {
	return w.Draining && w.Notice.LeavesAt > 0 && w.Notice.LeavesAt-w.WrittenAt <= onSlowClock(noticeTolerance)
}

// timeLeft returns how long the worker stays at least, at a reading of its clock that
// may be too high, never too low. It is zero if that is unknown.
func (n Notice) timeLeft(clock namer.WorkerClockMillis) time.Duration {
	if n.LeavesAt == 0 || clock <= 0 {
		return 0
	}
	return min(max(0, time.Duration(n.LeavesAt-clock)*time.Millisecond), maxNotice)
}

// admitsStart reports whether a start may be sent to the draining worker, for a task of
// any length: not once drainTime is nearly over, and not if anything is unknown or if
// the announcement lies in the future, which means another incarnation's clock.
func (n Notice) admitsStart(clock namer.WorkerClockMillis, drainTime time.Duration) bool {
	if n.AnnouncedAt == 0 || clock < n.AnnouncedAt {
		return false
	}
	return n.timeLeft(clock) > departureMargin && clock < n.AnnouncedAt+onSlowClock(drainTime)-onSlowClock(drainMargin)
}

// admitsTask reports whether a task that starts now will end well before the departure.
func (n Notice) admitsTask(clock namer.WorkerClockMillis, predicted time.Duration) bool {
	return predicted < maxNotice && n.timeLeft(clock) > time.Duration(runTimeUncertainty*float64(predicted))+departureMargin
}

// admitsStarts reports whether a worker isn't draining, or may get starts all the same.
func (s *Scheduler) admitsStarts(w *worker) bool {
	return !w.draining || w.clockReading > 0 && w.notice.admitsStart(w.estimatedClock(s.now), s.DrainTime)
}

// endsBeforeDeparture reports whether a task ends well before its worker leaves, if it
// is draining.
func (s *Scheduler) endsBeforeDeparture(w *worker, predicted time.Duration) bool {
	return !w.draining || w.notice.admitsTask(w.estimatedClock(s.now), predicted)
}

// timeLeft returns how long a draining worker stays at least, as its owner knows it;
// zero if it isn't draining or that is unknown.
func (s *Scheduler) timeLeft(w *worker) time.Duration {
	if !w.draining || !w.owned || w.clockReading == 0 {
		return 0
	}
	return w.notice.timeLeft(w.estimatedClock(s.now))
}

// updateNotice records what an entry of the list says about a worker's departure. The
// worker's clock belongs to one incarnation, so a notice of another one is not used.
func (s *Scheduler) updateNotice(w *worker, info *WorkerInfo, wasDraining bool) {
	previous := w.notice
	w.notice = Notice{}
	if info.Draining && info.BootTime == w.bootTime {
		w.notice = info.Notice
	}
	decision := Decision{Worker: w.id, TimeLeft: w.notice.timeLeft(info.WrittenAt)}
	switch {
	case info.Draining && !wasDraining:
		decision.Event = eventer.WorkerDraining
	case wasDraining && !info.Draining:
		decision.Event = eventer.NoticeWithdrawn
		w.leavesAt = time.Time{}
	case info.Draining && previous.LeavesAt != w.notice.LeavesAt:
		decision.Event = eventer.NoticeChanged
	default:
		return
	}
	s.emit(decision)
}

// recordTimeLeft records what the owner of a worker says about its departure.
func (s *Scheduler) recordTimeLeft(w *worker, progress *RunProgress) {
	if w.owned {
		return
	}
	w.leavesAt = time.Time{}
	if progress.TimeLeft > 0 && progress.TimeLeft <= maxNotice {
		w.leavesAt = s.now.Add(progress.TimeLeft - max(0, progress.Age))
	}
}

// departureOf returns when a worker leaves at the earliest, and whether that is known.
func (s *Scheduler) departureOf(w *worker) (time.Time, bool) {
	if left := s.timeLeft(w); left > 0 {
		return s.now.Add(left), true
	}
	return w.leavesAt, !w.owned && !w.leavesAt.IsZero()
}

// mustLeaveWorker reports whether a run can't end before its worker leaves, while a run
// that is started elsewhere now would meet the objective.
func (s *Scheduler) mustLeaveWorker(t *task) bool {
	r := t.run
	departure, known := s.departureOf(r.worker)
	if !known || r.stopRequested {
		return false
	}
	expected, hasProjection := r.projectedRunTime()
	if !hasProjection {
		expected = max(r.forecast.expected, t.step.maxRunTime)
	}
	return r.startedAt.Add(expected).After(departure) && !s.now.Add(expected+evacuationTime).After(t.job.objectiveAt)
}

// leaveWorker requests a stop of a run whose worker is draining. The task is started
// elsewhere once the run is known to have ended.
func (s *Scheduler) leaveWorker(t *task) {
	r := t.run
	departure, _ := s.departureOf(r.worker)
	s.emitJobDecision(eventer.RunMoved, t.job, Decision{
		Task: taskLabel(r.taskID), Run: r.number, Worker: r.worker.id, Reason: "worker leaves before the end",
		Age: s.now.Sub(r.startedAt), PredictedRunTime: r.forecast.expected, TimeLeft: departure.Sub(s.now),
	})
	r.stopRequested = true
}
