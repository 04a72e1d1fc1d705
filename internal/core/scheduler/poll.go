package scheduler

import (
	"slices"
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/eventer"
)

const (
	// longPollTime is how long a worker holds the response to a poll if no run
	// ends. Each poll renews the lease.
	longPollTime = 300 * time.Millisecond
	// busyLongPollTime replaces longPollTime for workers with wanted runs, whose
	// progress reveals slow workers.
	busyLongPollTime = 100 * time.Millisecond
	// emptyPollPause is the pause after a poll that returned at once without a
	// new end.
	emptyPollPause = 4 * time.Millisecond
	// pollBackoff doubles with each failed poll up to maxPollBackoff.
	pollBackoff    = 25 * time.Millisecond
	maxPollBackoff = 400 * time.Millisecond
	// maxInitialPolls limits the concurrent first polls of workers: each opens a
	// connection, and a fifth of a core opens only some in a millisecond.
	maxInitialPolls = 48
	// foreignEndRetention is how long the end of another instance's run is kept
	// for that instance, which polls at least every longPollTime.
	foreignEndRetention = 800 * time.Millisecond
)

// sendPolls sends the polls that are due.
func (s *Scheduler) sendPolls() {
	initialPolls := 0
	s.forEachPolledWorker(func(w *worker) {
		if w.pollInFlight && !w.runsListed {
			initialPolls++
		}
	})
	s.forEachPolledWorker(func(w *worker) {
		if w.pollInFlight || s.now.Before(w.nextPollAt) || !w.runsListed && initialPolls >= maxInitialPolls {
			return
		}
		if !s.shouldPoll(w) {
			if len(w.foreignRuns) > 0 {
				s.setForeignRuns(w, nil)
			}
			return
		}
		if !w.runsListed {
			initialPolls++
		}
		w.removeExpiredReservations(s.now)
		s.sendPoll(w)
	})
}

func (s *Scheduler) sendPoll(w *worker) {
	w.pollInFlight = true
	poll := Poll{Worker: w.id, AckSequence: w.ackedSequence, Wait: longPollTime}
	s.countOrphanedRuns(w)
	switch {
	case !w.runsListed, s.isUnresponsive(w):
		poll.Wait = 0
	case w.hasWantedRuns():
		poll.Wait = busyLongPollTime
	}
	if w.runsListed && w.hasWantedRuns() && w.orphanedRuns == 0 {
		poll.LeaseUntil = s.leaseEnd(w)
	}
	s.emit(poll)
}

// hasWantedRuns reports whether a worker has runs that are to continue: wanted
// runs of this instance, or any run of another.
func (w *worker) hasWantedRuns() bool {
	if len(w.foreignRuns) > 0 {
		return true
	}
	for _, r := range w.ownRuns {
		if r.task != nil {
			return true
		}
	}
	return false
}

// handlePollResult processes the runs that a worker has listed.
func (s *Scheduler) handlePollResult(e PollResult) {
	w := s.workers[e.Worker]
	if w == nil {
		return
	}
	if !e.OutOfBand {
		w.pollInFlight = false
	}
	if e.NoResponse || e.WrongIncarnation {
		s.handlePollFailure(w, e)
		return
	}
	if e.BootTime > w.bootTime {
		s.resetIncarnation(w, e.BootTime)
	}
	if e.BootTime < w.bootTime && e.BootTime != 0 {
		w.nextPollAt = s.now.Add(emptyPollPause)
		return
	}
	recentlySeen := s.now.Sub(w.lastSeen) < longPollTime+busyLongPollTime
	if s.isUnresponsive(w) || !w.runsListed {
		s.placementDue = true
		s.emit(Decision{Event: eventer.WorkerReachable, Worker: w.id, Age: s.sinceLastSeen(w)})
	}
	w.lastSeen, w.suspected, w.failedPolls, w.runsListed = s.now, false, 0, true
	w.setClock(s.now, e.Clock)
	hasNewEnd := s.handleEndedRuns(w, e.Ended)
	s.handleActiveRuns(w, e, recentlySeen)
	if e.OutOfBand {
		return
	}
	w.nextPollAt = s.now
	if !hasNewEnd && s.now.Sub(e.SentAt) < emptyPollPause {
		w.nextPollAt = s.now.Add(emptyPollPause)
	}
}

func (s *Scheduler) handlePollFailure(w *worker, e PollResult) {
	if e.WrongIncarnation {
		w.runsListed = false
	}
	if !w.suspected {
		s.emit(Decision{Event: eventer.WorkerUnreachable, Worker: w.id, Age: s.sinceLastSeen(w)})
	}
	w.suspected = true
	s.stopInDoubtRuns(w, e)
	if e.OutOfBand {
		return
	}
	w.nextPollAt = s.now.Add(min(pollBackoff<<min(w.failedPolls, 4), maxPollBackoff))
	w.failedPolls++
}

// stopInDoubtRuns requests a stop of the runs that are still in doubt although a
// poll that was sent since then has a result, which may be a failure.
func (s *Scheduler) stopInDoubtRuns(w *worker, e PollResult) {
	for _, r := range w.ownRuns {
		if r.inDoubt && !e.SentAt.Before(r.inDoubtSince) {
			r.stopRequested = true
		}
	}
}

// handleEndedRuns processes the ended runs of a poll result and acknowledges those
// that no instance needs any more. It reports whether a run of this instance is
// among them.
func (s *Scheduler) handleEndedRuns(w *worker, ended []EndedRun) bool {
	hasNewEnd := false
	slices.SortFunc(ended, func(a, b EndedRun) int { return int(a.Sequence - b.Sequence) })
	ackBlocked := false
	for _, e := range ended {
		if e.Sequence <= w.ackedSequence {
			continue
		}
		isOwn := s.handleEndedRun(w, e)
		if isOwn || w.peerAckedEnds[e.Sequence] || s.handleForeignEnd(w, e) {
			hasNewEnd = hasNewEnd || isOwn
			if !ackBlocked {
				w.ackedSequence = e.Sequence
				delete(w.foreignEndsSeen, e.Sequence)
			}
			continue
		}
		ackBlocked = true
	}
	for n := range w.foreignEndsSeen {
		if n <= w.ackedSequence {
			delete(w.foreignEndsSeen, n)
			delete(w.peerAckedEnds, n)
		}
	}
	return hasNewEnd
}

// handleForeignEnd processes the listed end of another instance's run, which that
// instance has not acknowledged. It releases the run's capacity when the end is
// first listed, and notifies the instance each time the end is listed. It returns
// true if the end may be discarded: because the instance is not live, or has not
// acknowledged it within foreignEndRetention. An end under this instance's own run
// tag is of an unknown run and may be discarded at once.
func (s *Scheduler) handleForeignEnd(w *worker, e EndedRun) bool {
	if e.Run.Tag() == s.RunTag || !s.isLiveTag(e.Run.Tag()) {
		return true
	}
	firstSeen, found := w.foreignEndsSeen[e.Sequence]
	if !found {
		w.foreignEndsSeen[e.Sequence] = s.now
		s.removeForeignRun(w, e)
		s.sendRunEnd(w, e)
		return false
	}
	if s.now.Sub(firstSeen) > foreignEndRetention {
		return true
	}
	s.sendRunEnd(w, e)
	return false
}

// removeForeignRun releases the capacity of another instance's ended run.
func (s *Scheduler) removeForeignRun(w *worker, e EndedRun) {
	w.reservations = slices.DeleteFunc(w.reservations, func(p reservation) bool { return p.key == runKey{e.Task, e.Run} })
	i := w.foreignIndex(runKey{e.Task, e.Run})
	if i < 0 {
		return
	}
	s.setForeignRuns(w, slices.Delete(slices.Clone(w.foreignRuns), i, i+1))
	w.fullUntil = time.Time{}
	s.placementDue = true
}

// handleEndedRun processes an ended run. It reports whether it was this instance's.
func (s *Scheduler) handleEndedRun(w *worker, e EndedRun) bool {
	r := s.runs[runKey{e.Task, e.Run}]
	if r == nil || r.worker != w {
		return false
	}
	t := r.task
	runTime := s.now.Sub(r.startedAt)
	confirmed := r.confirmed
	s.removeRun(r)
	w.fullUntil = time.Time{}
	if e.Cause == EndSucceeded {
		w.recordSuccess()
	}
	if t == nil {
		return true
	}
	s.emitJobDecision(eventer.TaskEnded, t.job, Decision{
		Task: taskLabel(e.Task), Run: e.Run, Worker: w.id, Reason: endReasons[e.Cause], Age: runTime, PredictedRunTime: r.predictedRunTime,
	})
	switch e.Cause {
	case EndSucceeded:
		if confirmed {
			s.kindState(t.job.Kind).observeRunTime(t.step.EstimatedRunTime, runTime)
			t.job.observeRunTime(t.step, runTime)
		}
		s.completeTask(t)
	case EndFailed:
		s.recordFailure(w)
		s.recordTaskFailure(t)
	default:
		t.job.mayHaveRun = true
		if !r.stopRequested {
			s.recordStoppedByPeer(t.job)
		}
	}
	return true
}

var endReasons = map[EndCause]string{
	EndSucceeded: "done", EndFailed: "failed", EndStopped: "stopped", EndLeaseExpired: "lease lapsed", EndOther: "ended with its gang",
}

// recordStoppedByPeer counts a run that another instance has stopped or whose
// lease has expired. One per task is tolerated; if there are more, another
// instance has taken over the job.
func (s *Scheduler) recordStoppedByPeer(j *job) {
	j.stoppedByPeers++
	if j.stoppedByPeers > len(j.tasks) {
		s.abortJob(j, "another instance stops its runs")
	}
}

func (s *Scheduler) completeTask(t *task) {
	t.state = taskDone
	t.job.mayHaveRun = true
	t.job.unfinishedTasks--
	if t.job.unfinishedTasks == 0 {
		s.completeJob(t.job)
	}
}

// recordTaskFailure counts a failed run of a task. The job fails after MaxAttempts
// of them.
func (s *Scheduler) recordTaskFailure(t *task) {
	t.failures++
	t.job.mayHaveRun = true
	if t.failures >= t.job.MaxAttempts {
		s.failJob(t.job, "a task failed in each of its attempts")
	}
}

// handleActiveRuns processes the active runs of a poll result. A confirmed run
// that is missing, although the poll was sent after the confirmation, has ended
// without this instance seeing its end.
func (s *Scheduler) handleActiveRuns(w *worker, e PollResult, recentlySeen bool) {
	var foreign []foreignRun
	for _, r := range w.ownRuns {
		r.inLastPoll = false
	}
	for _, a := range e.Active {
		if r := s.runs[runKey{a.Task, a.Run}]; r != nil && r.worker == w {
			s.confirmRun(r)
			r.inLastPoll, r.progressPercent, r.progressAt = true, a.Percent, s.now
			continue
		}
		foreign = append(foreign, s.foreignRunFrom(w, a))
		if recentlySeen && w.foreignIndex(runKey{a.Task, a.Run}) < 0 {
			s.recordTagSeen(a.Run.Tag())
		}
	}
	foreign = append(foreign, w.unlistedRuns(foreign, e.SentAt)...)
	if len(foreign) < len(w.foreignRuns) {
		w.fullUntil = time.Time{}
		s.placementDue = true
	}
	s.setForeignRuns(w, foreign)
	for _, r := range slices.Clone(w.ownRuns) {
		switch {
		case r.inLastPoll:
		case !r.stopAckedAt.IsZero() && !e.SentAt.Before(r.stopAckedAt):
			s.removeRun(r)
		case r.confirmed && e.SentAt.After(r.startedAt):
			s.removeMissingRun(w, r)
		}
	}
	s.stopInDoubtRuns(w, e)
	if w.owner == nil {
		s.stopForeignRuns(w)
		s.sendRunProgress(w)
	}
}

// unlistedRuns returns the runs of other instances that are missing from a list but
// were reported as started after the poll was sent. The worker may have written the
// list before it started them.
func (w *worker) unlistedRuns(listed []foreignRun, pollSentAt time.Time) []foreignRun {
	var out []foreignRun
	for _, f := range w.foreignRuns {
		isListed := slices.ContainsFunc(listed, func(l foreignRun) bool { return l.Run == f.Run && l.Task == f.Task })
		if !isListed && !f.reportedAt.Before(pollSentAt) {
			out = append(out, f)
		}
	}
	return out
}

// foreignRunFrom returns the table entry of another instance's run. It replaces
// the run's reservation, if there is one.
func (s *Scheduler) foreignRunFrom(w *worker, a ActiveRun) foreignRun {
	key := runKey{a.Task, a.Run}
	if i := w.reservationIndex(key); i >= 0 {
		size := w.reservations[i].size
		w.reservations = slices.Delete(w.reservations, i, i+1)
		return foreignRun{ActiveRun: a, size: size}
	}
	if i := w.foreignIndex(key); i >= 0 {
		return foreignRun{ActiveRun: a, size: w.foreignRuns[i].size}
	}
	return foreignRun{ActiveRun: a}
}

// removeMissingRun removes a run whose end another instance has acknowledged.
func (s *Scheduler) removeMissingRun(w *worker, r *run) {
	if t := r.task; t != nil {
		s.emitJobDecision(eventer.RunMissing, t.job, Decision{Task: taskLabel(r.taskID), Run: r.number, Worker: w.id})
	}
	s.removeRun(r)
}

// stopForeignRuns stops the runs of instances that are not live, and those of
// jobs that were resubmitted to this instance.
func (s *Scheduler) stopForeignRuns(w *worker) {
	if s.now.Sub(s.startedAt) < peerTimeout {
		return
	}
	for _, a := range w.foreignRuns {
		if s.isLiveTag(a.Run.Tag()) && s.jobsByName[a.Task.Job] == nil {
			continue
		}
		s.emit(Decision{Event: eventer.RunOrphaned, Job: a.Task.Job, Task: taskLabel(a.Task), Run: a.Run, Worker: w.id})
		s.emit(Stop{Worker: w.id, Task: a.Task, Run: a.Run})
	}
}
