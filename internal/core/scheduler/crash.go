package scheduler

import (
	"slices"
	"time"

	"github.com/heatherslip/heatherslip/internal/core/crashcounter"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// A task may crash each worker that starts it. Such a run has no end that a worker
// could list, and its job may come back at any instance. So the owners of workers count
// crashes by task and tell each other: a task that was on a crashed worker gets the
// next one for itself, and its job fails once maxCrashes workers have crashed under it.
//
// A run counts as lost in a crash if its worker had shown that it existed (the start was
// accepted, or a list of that life had the run), unless its end or an acknowledgment of its
// stop was seen before. A start without an answer counts only if no list has arrived that
// was requested after the start was given up: a worker that lists its runs has outlived the
// start. If the crash shows as a refused connection, the start must also have been cut off
// before its timeout: a process that crashes breaks its connections. If it shows as a later
// life only, the machine may have gone without a sign, and a start that timed out counts
// too. The instance that sent a start judges it; the one that ordered it hears of the crash
// by a report. Such a start may still not have been carried out, as a worker may crash for
// another reason while it holds one back. So a job fails after maxCrashesInDoubt crashes,
// and after maxCrashes only if the runs were all seen, or the starts all cut off at once as
// those of a task are that takes each worker along before it can answer.

const (
	// maxCrashes is the number of workers that have crashed under runs that were seen, or
	// under starts cut off at once, after which a task is given up.
	maxCrashes = 2
	// maxCrashesInDoubt replaces maxCrashes if some of the starts got no answer.
	maxCrashesInDoubt = 3
	// crashOnStartTime is how soon the connection breaks if a start crashes its worker: far
	// sooner than starts time out while answers are late.
	crashOnStartTime = minStartTimeout / 2
	// Reports of crashes are sent crashReportSends times, since messages may be lost.
	crashReportSends    = 3
	crashReportInterval = 200 * time.Millisecond
	// minRestartTime is the least time after a crash until the worker is back. Only
	// then a lost run is known to have ended, and its task may start again.
	minRestartTime = 2 * time.Second
	// lostRunRetention is how long the runs on a worker that the platform has removed
	// are kept if it does not respond. Their leases have expired, and no delayed start
	// is on its way any more.
	lostRunRetention = 30 * time.Second
)

// crashReport is a report to the owners that is sent several times.
type crashReport struct {
	CrashReport
	sendsLeft int
	nextAt    time.Time
}

// handleCrash handles a worker whose address refuses connections.
func (s *Scheduler) handleCrash(w *worker) {
	if w.crashed {
		return
	}
	w.crashed, w.lostRuns = true, nil
	lost := w.lostInCrash(true)
	s.emit(Decision{Event: eventer.WorkerCrashed, Worker: w.id, Tasks: len(lost), Age: s.sinceLastSeen(w)})
	for i := range lost {
		s.recordLostRun(w, &lost[i])
	}
}

// recordRestart counts the runs from before a worker's restart as lost, unless the new
// incarnation lists them: they may have started there before the restart was noticed.
func (s *Scheduler) recordRestart(w *worker, e *PollResult) {
	for i := range w.runsBeforeRestart {
		if r := &w.runsBeforeRestart[i]; !e.lists(r.Task, r.Run) {
			s.recordLostRun(w, r)
		}
	}
	w.runsBeforeRestart = nil
}

// lists reports whether a poll result has a run, active or ended.
func (e *PollResult) lists(task namer.TaskName, run namer.RunID) bool {
	return slices.ContainsFunc(e.Active, func(a ActiveRun) bool { return a.Task == task && a.Run == run }) ||
		slices.ContainsFunc(e.Ended, func(r EndedRun) bool { return r.Task == task && r.Run == run })
}

// recordLostRun counts a crash of a worker for the task of a run. A draining worker may
// have left instead.
func (s *Scheduler) recordLostRun(w *worker, r *CrashReport) {
	if w.draining {
		return
	}
	w.lostRuns = append(w.lostRuns, r.RunRef)
	if s.recordCrash(r) {
		s.reportCrash(*r)
	}
}

// withdrawLostRuns takes back the crash of a worker that responds again in the same
// incarnation.
func (s *Scheduler) withdrawLostRuns(w *worker) {
	for _, r := range w.lostRuns {
		s.withdrawCrash(r)
		s.reportCrash(CrashReport{RunRef: r, Withdrawn: true})
	}
	w.lostRuns = nil
}

func (s *Scheduler) withdrawCrash(ref RunRef) {
	s.crashes.Remove(crashcounter.Run{Task: ref.Task, ID: ref.Run})
	if r := s.runs[runKey{ref.Task, ref.Run}]; r != nil {
		r.lost = false
	}
}

// lostInCrash returns the runs that count as lost in a crash of a worker, as far as this
// instance knows. A start without a result yet may turn out not to have been sent.
func (w *worker) lostInCrash(refused bool) []CrashReport {
	var out []CrashReport
	for _, r := range w.ownRuns {
		if r.confirmed && r.stopAckedAt.IsZero() || !r.confirmed && r.doubt.counts(refused) {
			out = append(out, CrashReport{RunRef: RunRef{w.id, r.taskID, r.number}, Evidence: r.doubt.evidence(r.confirmed)})
		}
	}
	for i := range w.foreignRuns {
		f := &w.foreignRuns[i]
		exists := f.listed || !f.startedAt.IsZero()
		if exists || f.doubt.counts(refused) {
			out = append(out, CrashReport{RunRef: RunRef{w.id, f.Task, f.Run}, Evidence: f.doubt.evidence(exists)})
		}
	}
	return out
}

// startDoubt says what is known of a start without a response.
type startDoubt int

const (
	// noDoubt means that the start was answered, or that the worker has outlived it.
	noDoubt startDoubt = iota
	// startTimedOut means that the worker has not answered in time.
	startTimedOut
	// startCutOff means that the connection broke before the timeout.
	startCutOff
	// startCutOffAtOnce means that it broke within crashOnStartTime.
	startCutOffAtOnce
)

// evidence returns that of the crash of the worker for the run.
func (d startDoubt) evidence(exists bool) crashcounter.Evidence {
	switch {
	case exists:
		return crashcounter.Seen
	case d == startCutOffAtOnce:
		return crashcounter.Likely
	default:
		return crashcounter.Possible
	}
}

// doubtAfter returns the doubt about a start without a response.
func doubtAfter(latency, timeout time.Duration) startDoubt {
	switch {
	case latency >= timeout:
		return startTimedOut
	case latency > crashOnStartTime:
		return startCutOff
	default:
		return startCutOffAtOnce
	}
}

// counts reports whether the start counts as lost in a crash, which is seen by a refused
// connection or else by a later life of the worker.
func (d startDoubt) counts(refused bool) bool {
	return d > startTimedOut || d == startTimedOut && !refused
}

// recordCrash counts a lost run, and fails the job if it was the last one that its task
// may lose. It reports whether the run was not counted before.
func (s *Scheduler) recordCrash(r *CrashReport) bool {
	if !s.crashes.AddWith(s.now, crashcounter.Run{Task: r.Task, ID: r.Run}, r.Evidence) {
		return false
	}
	s.emit(Decision{
		Event: eventer.RunLost, Job: r.Task.Job, Task: taskLabel(r.Task), Run: r.Run, Worker: r.Worker,
		Crashes: s.crashes.Count(r.Task),
	})
	if own := s.runs[runKey{r.Task, r.Run}]; own != nil {
		own.lost = true
	}
	if s.isGivenUp(r.Task) {
		s.giveUpTask(r.Task)
	}
	return true
}

// isGivenUp reports whether too many workers have crashed under a task.
func (s *Scheduler) isGivenUp(t namer.TaskName) bool {
	return s.crashes.Count(t) >= maxCrashesInDoubt ||
		s.crashes.CountWith(t, crashcounter.Seen) >= maxCrashes || s.crashes.CountWith(t, crashcounter.Likely) >= maxCrashes
}

// giveUpTask fails the job of a task, or tells the peers whose requests for the task
// wait here.
func (s *Scheduler) giveUpTask(t namer.TaskName) {
	if j := s.jobsByName[t.Job]; j != nil {
		s.failCrashing(j, t)
	}
	s.pendingRequests = slices.DeleteFunc(s.pendingRequests, func(r pendingRequest) bool {
		if r.Task != t {
			return false
		}
		s.sendGivenUp(r.peer, runKey{r.Task, r.Run})
		return true
	})
}

func (s *Scheduler) sendGivenUp(p *peer, key runKey) {
	out := s.outboxOf(p)
	out.ReserveResponses = append(out.ReserveResponses, ReserveResponse{Task: key.task, Run: key.run, GivenUp: true})
}

// failIfGivenUp fails a job with a task that is given up. It reports whether it did so.
func (s *Scheduler) failIfGivenUp(j *job) bool {
	for _, t := range j.tasks {
		if s.isGivenUp(t.id) {
			s.failCrashing(j, t.id)
			return true
		}
	}
	return false
}

func (s *Scheduler) failCrashing(j *job, t namer.TaskName) {
	s.failJob(j, "workers crashed under task "+taskLabel(t))
}

// isIsolated reports whether a task must not share its worker, since a worker has
// crashed under it. It protects the other tasks there, and tells which task the next
// crash is due to.
func (s *Scheduler) isIsolated(t namer.TaskName) bool { return s.crashes.Count(t) > 0 }

// reportCrash sends a report to the owners of workers and to the instance of the run. It
// replaces an earlier one on the same run.
func (s *Scheduler) reportCrash(report CrashReport) {
	if p := s.peersByTag[report.Run.Tag()]; p != nil && p.name != "" && !p.isOwner {
		out := s.outboxOf(p)
		out.Crashes = append(out.Crashes, report)
	}
	s.crashReports = slices.DeleteFunc(s.crashReports, func(r crashReport) bool { return r.RunRef == report.RunRef })
	s.crashReports = append(s.crashReports, crashReport{CrashReport: report, sendsLeft: crashReportSends, nextAt: s.now})
}

// sendCrashReports sends the reports to the owners that are due.
func (s *Scheduler) sendCrashReports() {
	for i := range s.crashReports {
		report := &s.crashReports[i]
		if s.now.Before(report.nextAt) {
			continue
		}
		report.sendsLeft--
		report.nextAt = s.now.Add(crashReportInterval)
		for _, p := range s.owners {
			out := s.outboxOf(p)
			out.Crashes = append(out.Crashes, report.CrashReport)
		}
	}
	s.crashReports = slices.DeleteFunc(s.crashReports, func(r crashReport) bool { return r.sendsLeft <= 0 })
}

// sendAllCrashes tells a new owner of all crashes that are known here.
func (s *Scheduler) sendAllCrashes(p *peer) {
	for _, r := range s.crashes.Runs() {
		out := s.outboxOf(p)
		out.Crashes = append(out.Crashes, CrashReport{RunRef: RunRef{Task: r.Task, Run: r.ID}, Evidence: s.crashes.EvidenceOf(r)})
	}
}

// handleCrashReport records what a peer reports on a lost run.
func (s *Scheduler) handleCrashReport(report *CrashReport) {
	if report.Withdrawn {
		s.withdrawCrash(report.RunRef)
		return
	}
	s.recordCrash(report)
}

// forgetLostRuns removes the unwanted runs on workers that were removed long ago and do
// not respond. Nobody will report their ends.
func (s *Scheduler) forgetLostRuns() {
	for _, w := range slices.Clone(s.sortedWorkers) {
		if !w.removed || s.now.Sub(w.removedAt) <= lostRunRetention || s.now.Sub(w.lastSeen) <= lostRunRetention {
			continue
		}
		for _, r := range slices.Clone(w.ownRuns) {
			if r.task == nil {
				s.removeRun(r)
			}
		}
	}
}
