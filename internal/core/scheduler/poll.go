package scheduler

import (
	"cmp"
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
	// ackPause is the longest pause after a poll that listed ends of other instances'
	// runs, whose acknowledgments end it. Until these arrive, the worker would respond
	// to each poll at once.
	ackPause = 20 * time.Millisecond
	// pollBackoff doubles with each failed poll up to maxPollBackoff.
	pollBackoff    = 25 * time.Millisecond
	maxPollBackoff = 400 * time.Millisecond
	// maxInitialPolls limits the concurrent first polls of workers: each opens a
	// connection, and a fifth of a core opens only some in a millisecond.
	maxInitialPolls = 48
	// foreignEndRetention is how long the end of another instance's run is kept for
	// that instance, which may be paused.
	foreignEndRetention = orphanTimeout
)

// sendPolls sends the polls that are due.
func (s *Scheduler) sendPolls() {
	s.forEachPolledWorker(s.followRefusal)
	s.sendClaims()
	initialPolls := 0
	s.forEachPolledWorker(func(w *worker) {
		if w.pollInFlight && !w.runsListed {
			initialPolls++
		}
	})
	s.forEachPolledWorker(func(w *worker) {
		if w.isRefused() || w.pollInFlight || s.now.Before(w.nextPollAt) || !w.runsListed && initialPolls >= maxInitialPolls {
			return
		}
		if w.owned && w.isUnclaimed() && !w.guard.claiming {
			return
		}
		if !s.shouldPoll(w) {
			s.forgetForeignRuns(w)
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
	poll := Poll{Worker: w.id, AckSequence: w.ackedSequence(), Wait: longPollTime}
	switch {
	case !s.knowsRuns(w), w.owned && w.isUnclaimed(), s.isUnresponsive(w):
		poll.Wait = 0
	case w.hasWantedRuns():
		poll.Wait = busyLongPollTime
	}
	if s.knowsRuns(w) && w.hasWantedRuns() && !s.hasOrphanedRuns(w) {
		poll.LeaseUntil = s.leaseEnd(w)
	}
	s.emit(poll)
}

// hasListedRuns reports whether a worker has listed its runs in response to a poll that was
// sent after the last pause of this instance, during which it may have had another owner.
func (s *Scheduler) hasListedRuns(w *worker) bool {
	return w.runsListed && !w.listRequestedAt.Before(s.resumedAt)
}

// knowsRuns reports whether the list of a worker's runs is recent enough to extend their
// lease. The instance of a run that has started since was alive after the list was
// requested, so the list is worth as much as a sign of life of that time.
func (s *Scheduler) knowsRuns(w *worker) bool {
	return s.hasListedRuns(w) && s.now.Sub(w.listRequestedAt) < peerTimeout
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
	if e.Fenced {
		s.handleFenced(w, e.Fence)
		s.stopInDoubtRuns(w, e)
		if e.Fence >= s.callFence(w) {
			w.nextPollAt = s.now.Add(fenceRequestPause)
		}
		return
	}
	if e.NoResponse || e.WrongIncarnation {
		s.handlePollFailure(w, e)
		return
	}
	if e.BootTime > w.bootTime {
		s.resetIncarnation(w, e.BootTime, restartPolled)
		s.tellBootTime(w)
	}
	if e.BootTime < w.bootTime && e.BootTime != 0 {
		w.nextPollAt = s.now.Add(emptyPollPause)
		return
	}
	if !s.acceptsList(w, e) {
		return
	}
	if w.isOvertaken(&e) {
		// All that it says is known, or contradicted by the later list.
		s.emit(Decision{Event: eventer.RunListOvertaken, Worker: w.id, Age: s.now.Sub(e.SentAt), Runs: w.missingRuns(&e)})
		s.stopInDoubtRuns(w, e)
		if !e.OutOfBand {
			w.nextPollAt = s.now
		}
		return
	}
	// A run that is missing from the last list of an owned worker has started since.
	isTracked := w.owned && w.runsListed && s.now.Sub(w.lastSeen) < longPollTime+busyLongPollTime
	if s.isUnresponsive(w) || w.owned && !w.runsListed {
		s.placementDue = true
		s.emit(Decision{Event: eventer.WorkerReachable, Worker: w.id, Age: s.sinceLastSeen(w)})
	}
	if w.crashed {
		s.withdrawLostRuns(w)
	}
	w.endDelay = s.endDelay(w, &e)
	w.lastSeen, w.suspected, w.crashed, w.failedPolls, w.runsListed = s.now, false, false, 0, true
	w.refusedAt = time.Time{}
	w.listRequestedAt, w.listClock, w.listedAt = e.SentAt, e.Clock, s.now
	w.setClock(s.now, e.Clock)
	s.recordClaim(w)
	s.recordRestart(w, &e)
	hasNewEnd := s.handleEndedRuns(w, e)
	s.handleActiveRuns(w, e, isTracked)
	if e.OutOfBand {
		return
	}
	w.nextPollAt = s.now
	switch {
	case !s.rejectsEarlierStarts(w, e.Fence):
	case len(w.unackedEnds) > 0:
		w.nextPollAt = s.now.Add(ackPause)
	case !hasNewEnd && s.now.Sub(e.SentAt) < emptyPollPause:
		w.nextPollAt = s.now.Add(emptyPollPause)
	}
}

// isOvertaken reports whether the list in a poll result may have been written before the
// last one: responses on different connections overtake each other. A poll that was sent
// before the last list arrived may have been answered before or after it; the order of two
// lists of one millisecond is unknown.
func (w *worker) isOvertaken(e *PollResult) bool {
	return e.SentAt.Before(w.listedAt) && e.Clock <= w.listClock
}

// missingRuns returns how many of the listed runs of other instances a poll result has
// neither as active nor as ended.
func (w *worker) missingRuns(e *PollResult) int {
	n := 0
	for i := range w.foreignRuns {
		f := &w.foreignRuns[i]
		isActive := slices.ContainsFunc(e.Active, func(a ActiveRun) bool { return a.Run == f.Run && a.Task == f.Task })
		isEnded := slices.ContainsFunc(e.Ended, func(a EndedRun) bool { return a.Run == f.Run && a.Task == f.Task })
		if f.listed && !isActive && !isEnded {
			n++
		}
	}
	return n
}

func (s *Scheduler) handlePollFailure(w *worker, e PollResult) {
	if e.WrongIncarnation {
		w.runsListed = false
	}
	if !w.suspected {
		s.emit(Decision{Event: eventer.WorkerUnreachable, Worker: w.id, Age: s.sinceLastSeen(w)})
	}
	w.suspected = true
	if e.Refused {
		s.handleCrash(w)
	}
	s.stopInDoubtRuns(w, e)
	if e.OutOfBand {
		return
	}
	w.nextPollAt = s.now.Add(min(pollBackoff<<min(w.failedPolls, 4), maxPollBackoff))
	if s.mayGetLateStarts(w) {
		// The next incarnation is to see its fence before they arrive.
		w.nextPollAt = s.now.Add(pollBackoff)
	}
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

// handleEndedRuns processes the ended runs of a poll result. It reports whether a run
// of this instance is among those that are new.
func (s *Scheduler) handleEndedRuns(w *worker, result PollResult) bool {
	hasNewEnd := false
	slices.SortFunc(result.Ended, func(a, b EndedRun) int { return cmp.Compare(a.Sequence, b.Sequence) })
	for n, firstListed := range w.unackedEnds {
		isListed := slices.ContainsFunc(result.Ended, func(e EndedRun) bool { return e.Sequence == n })
		if !isListed && firstListed.Before(result.SentAt) {
			// Another instance has let the worker discard it.
			delete(w.unackedEnds, n)
		}
	}
	for _, e := range result.Ended {
		isNew := e.Sequence > w.listedSequence
		w.listedSequence = max(w.listedSequence, e.Sequence)
		switch {
		case isNew && s.handleEndedRun(w, e):
			hasNewEnd = true
		case isNew:
			s.removeForeignRun(w, e)
			w.unackedEnds[e.Sequence] = s.now
			s.handleForeignEnd(w, e)
		default:
			if _, unacked := w.unackedEnds[e.Sequence]; unacked {
				s.handleForeignEnd(w, e)
			}
		}
	}
	return hasNewEnd
}

// handleForeignEnd notifies another instance of the end of its run, each time that
// the end is listed. The end may be discarded if the instance is dead, or has not
// acknowledged it within foreignEndRetention. An end under this instance's own run
// tag is of an unknown run and may be discarded at once.
func (s *Scheduler) handleForeignEnd(w *worker, e EndedRun) {
	if e.Run.Tag() == s.RunTag || s.isDeadTag(e.Run.Tag()) || s.now.Sub(w.unackedEnds[e.Sequence]) > foreignEndRetention {
		delete(w.unackedEnds, e.Sequence)
		return
	}
	s.sendRunEnd(w, e)
}

// removeForeignRun releases the capacity of another instance's ended run.
func (s *Scheduler) removeForeignRun(w *worker, e EndedRun) {
	w.reservations = slices.DeleteFunc(w.reservations, func(p reservation) bool { return p.key == runKey{e.Task, e.Run} })
	i := w.foreignIndex(runKey{e.Task, e.Run})
	if i < 0 {
		return
	}
	s.observeForeignRun(w, &w.foreignRuns[i], e.Cause)
	kind, startedAt := w.foreignRuns[i].kind, w.foreignRuns[i].startedAt
	s.setForeignRuns(w, slices.Delete(slices.Clone(w.foreignRuns), i, i+1))
	s.recordPastRun(w, kind, startedAt)
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
	defer s.recordPastRun(w, t.job.Kind, r.startedAt)
	s.emitJobDecision(eventer.TaskEnded, t.job, Decision{
		Task: taskLabel(e.Task), Run: e.Run, Worker: w.id, Reason: endReasons[e.Cause], Age: runTime, PredictedRunTime: r.forecast.expected,
	})
	switch e.Cause {
	case EndSucceeded:
		if confirmed {
			s.observeOwnRun(r, t, runTime)
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

// handleActiveRuns processes the active runs of a poll result; isTracked is set if
// those that were not listed before are new. A confirmed run
// that is missing, although the poll was sent after the confirmation, has ended
// without this instance seeing its end.
func (s *Scheduler) handleActiveRuns(w *worker, e PollResult, isTracked bool) {
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
		s.recordTagListed(a.Run.Tag(), isTracked && w.foreignIndex(runKey{a.Task, a.Run}) < 0)
	}
	foreign = append(foreign, w.unlistedRuns(foreign, e)...)
	if len(foreign) < len(w.foreignRuns) {
		w.fullUntil = time.Time{}
		s.placementDue = true
	}
	s.setForeignRuns(w, foreign)
	// Until a call with the fence of the incarnation, starts for earlier ones may take effect.
	mayStartLate := !s.rejectsEarlierStarts(w, e.Fence)
	for _, r := range slices.Clone(w.ownRuns) {
		if r.inDoubt && !e.SentAt.Before(r.inDoubtSince) {
			r.doubt = noDoubt
		}
		switch {
		case r.inLastPoll, mayStartLate:
		case !r.stopAckedAt.IsZero() && !e.SentAt.Before(r.stopAckedAt):
			s.removeRun(r)
		case r.confirmed && e.SentAt.After(r.startedAt):
			s.removeMissingRun(w, r)
		}
	}
	s.stopInDoubtRuns(w, e)
	if w.owned {
		s.observeActiveRuns(w)
		s.reportOutlivingRuns(w)
		s.findUnknownRuns(w)
		s.stopForeignRuns(w)
		s.sendRunProgress(w)
		s.requestSizes(w)
	}
}

// unlistedRuns returns the runs of other instances that are missing from a list but
// were reported as started after the poll was sent. The worker may have written the
// list before it started them.
func (w *worker) unlistedRuns(listed []foreignRun, e PollResult) []foreignRun {
	var out []foreignRun
	for _, f := range w.foreignRuns {
		isListed := slices.ContainsFunc(listed, func(l foreignRun) bool { return l.Run == f.Run && l.Task == f.Task })
		if !isListed && (!f.reportedAt.Before(e.SentAt) || w.mayStartLater(&f, e.Clock)) {
			f.listed = false
			if !e.SentAt.Before(f.reportedAt) {
				f.doubt = noDoubt
			}
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
		f := w.reservations[i].foreignRun(a)
		f.listed = true
		w.reservations = slices.Delete(w.reservations, i, i+1)
		return f
	}
	if i := w.foreignIndex(key); i >= 0 {
		f := w.foreignRuns[i]
		f.ActiveRun, f.listed, f.reportedAt, f.startableUntil, f.doubt = a, true, time.Time{}, 0, noDoubt
		return f
	}
	return foreignRun{ActiveRun: a, listed: true}
}

// removeMissingRun removes a run whose end another instance has acknowledged.
func (s *Scheduler) removeMissingRun(w *worker, r *run) {
	if t := r.task; t != nil {
		s.emitJobDecision(eventer.RunMissing, t.job, Decision{Task: taskLabel(r.taskID), Run: r.number, Worker: w.id})
	}
	s.removeRun(r)
}

// stopForeignRuns stops the runs of instances that are dead or don't know them, and those
// of jobs that were resubmitted to this instance.
func (s *Scheduler) stopForeignRuns(w *worker) {
	for i := range w.foreignRuns {
		f := &w.foreignRuns[i]
		if f.unknown || s.isDeadTag(f.Run.Tag()) || s.jobsByName[f.Task.Job] != nil {
			s.stopForeignRun(w, f)
		}
	}
}

func (s *Scheduler) stopForeignRun(w *worker, f *foreignRun) {
	s.emit(Decision{Event: eventer.RunOrphaned, Job: f.Task.Job, Task: taskLabel(f.Task), Run: f.Run, Worker: w.id})
	s.emit(Stop{Worker: w.id, Task: f.Task, Run: f.Run})
}
