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

const (
	// maxCrashes is the number of crashed workers after which a task is given up.
	maxCrashes = 2
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
	lost := w.startedRuns()
	s.emit(Decision{Event: eventer.WorkerCrashed, Worker: w.id, Tasks: len(lost), Age: s.sinceLastSeen(w)})
	for _, r := range lost {
		s.recordLostRun(w, r)
	}
}

// recordRestart counts the runs from before a worker's restart as lost, unless the new
// incarnation lists them: they may have started there before the restart was noticed.
func (s *Scheduler) recordRestart(w *worker, e *PollResult) {
	for _, r := range w.runsBeforeRestart {
		if !e.lists(r.Task, r.Run) {
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
func (s *Scheduler) recordLostRun(w *worker, r RunRef) {
	if w.draining {
		return
	}
	w.lostRuns = append(w.lostRuns, r)
	if s.recordCrash(r) {
		s.reportCrash(CrashReport{RunRef: r})
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

// startedRuns returns the runs that may have started on a worker, as far as this
// instance knows. A start without a result yet may turn out not to have been sent.
func (w *worker) startedRuns() []RunRef {
	var out []RunRef
	for _, r := range w.ownRuns {
		if r.confirmed || r.inDoubt {
			out = append(out, RunRef{w.id, r.taskID, r.number})
		}
	}
	for i := range w.foreignRuns {
		out = append(out, RunRef{w.id, w.foreignRuns[i].Task, w.foreignRuns[i].Run})
	}
	return out
}

// recordCrash counts a lost run, and fails the job if it was the last one that its task
// may lose. It reports whether the run was not counted before.
func (s *Scheduler) recordCrash(r RunRef) bool {
	if !s.crashes.Add(s.now, crashcounter.Run{Task: r.Task, ID: r.Run}) {
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
func (s *Scheduler) isGivenUp(t namer.TaskName) bool { return s.crashes.Count(t) >= maxCrashes }

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
		out.Crashes = append(out.Crashes, CrashReport{RunRef: RunRef{Task: r.Task, Run: r.ID}})
	}
}

// handleCrashReport records what a peer reports on a lost run.
func (s *Scheduler) handleCrashReport(report *CrashReport) {
	if report.Withdrawn {
		s.withdrawCrash(report.RunRef)
		return
	}
	s.recordCrash(report.RunRef)
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
