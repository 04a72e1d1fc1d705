package scheduler

import (
	"slices"
	"time"

	"github.com/heatherslip/heatherslip/internal/core/admitter"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

const (
	// startWaitShare is the share of the time left to a task for which a faster worker may
	// be awaited.
	startWaitShare = 0.2
	// usefulFactor times the objective is how long a result has any value.
	usefulFactor = 3.0
	// discoveryTime is how long a newly started instance waits for its first
	// poll results before it reports that it can't reach any worker.
	discoveryTime = 500 * time.Millisecond
)

// handleJobSubmitted admits or refuses a new job.
func (s *Scheduler) handleJobSubmitted(e JobSubmitted) {
	if s.attachCall(e) {
		return
	}
	j := &job{JobSpec: e.Job, calls: []namer.CallID{e.Call}, arrivedAt: s.now}
	j.Steps = slices.Clone(j.Steps)
	s.learnUnguarded(j.Service, j.Unguarded)
	kind := s.kindState(j.Kind)
	runTime := j.criticalPath(kind.runTimeRatio)
	objective := time.Duration(j.ObjectiveFactor*float64(runTime)) + j.ObjectiveBase
	j.objectiveAt = s.now.Add(objective)
	j.usefulUntil = s.now.Add(time.Duration(usefulFactor * float64(objective)))
	j.deadline = s.now.Add(j.CallerTimeout - resultMargin)
	if j.ShutdownIn > 0 {
		j.deadline = earlier(j.deadline, s.now.Add(j.ShutdownIn-resultMargin))
	}
	longestWait := admitter.Demand{
		RunTime: runTime, RunTimeError: kind.runTimeError, EstimatedRunTime: j.criticalPath(1),
		ObjectiveFactor: j.ObjectiveFactor, ObjectiveBase: j.ObjectiveBase, Limit: j.deadline.Sub(s.now),
	}.LongestWait()
	j.startBy = s.now.Add(longestWait)
	work := 0.0
	for i := range j.Steps {
		step := &j.Steps[i]
		if kind.typicalCores == 0 {
			kind.typicalCores = float64(step.Size.Cores)
		}
		kind.typicalCores += smoothingWeight * (float64(step.Size.Cores) - kind.typicalCores)
		work += float64(step.Count) * taskCoreSeconds(step.Size, kind.predictRunTime(step))
		for n := range step.Count {
			j.tasks = append(j.tasks, &task{job: j, step: step, id: namer.TaskName{Job: j.Name, Step: i, Index: n}})
		}
	}
	j.sizeClass = kind.sizes.Classify(work)
	j.flow = s.shares.Flow(j.Kind, j.Priority, s.Domain)
	j.unfinishedTasks = len(j.tasks)
	s.jobsByCall[e.Call] = j
	s.jobsByName[j.Name] = j
	s.openJobs = append(s.openJobs, j)
	s.placementDue = true
	s.emitJobDecision(eventer.JobAccepted, j, Decision{
		PredictedRunTime: runTime, WaitingTasks: s.WaitingTasks(), Tasks: len(j.tasks), Cores: j.Steps[0].Size.Cores,
		LongestWait: longestWait, Kind: j.Kind, Priority: j.Priority, SizeClass: j.sizeClass,
	})
	if reason := s.infeasibleReason(j); reason != "" {
		s.refuseJob(j, Refused, reason)
		return
	}
	if s.failIfGivenUp(j) {
		return
	}
	if j.ShutdownIn > 0 && j.objectiveAt.After(j.deadline) {
		s.refuseJob(j, Unavailable, "this instance ends before the job could")
		return
	}
	if s.evacuations.services[j.Service] {
		s.refuseJob(j, Unavailable, s.unreachableReason(j.Service))
		return
	}
	if s.refuseWhileStarting(j) {
		return
	}
	if !j.held && !s.isServiceReachable(j.Service) && s.now.Sub(s.startedAt) > discoveryTime {
		s.refuseJob(j, Unavailable, s.unreachableReason(j.Service))
		return
	}
	if s.staleRuns[j.Name] > 0 {
		s.stopForeignRunsOf(j.Name)
	}
}

// stopForeignRunsOf stops the runs that other instances have started of a job
// that was resubmitted to this one.
func (s *Scheduler) stopForeignRunsOf(name namer.JobName) {
	for _, w := range s.sortedWorkers {
		if slices.ContainsFunc(w.foreignRuns, func(a foreignRun) bool { return a.Task.Job == name }) {
			s.stopForeignRuns(w)
		}
	}
}

// attachCall adds a caller to the open job of the same name, which its client has
// resubmitted. It reports whether there is such a job.
func (s *Scheduler) attachCall(e JobSubmitted) bool {
	j := s.jobsByName[e.Job.Name]
	if j == nil {
		return false
	}
	j.calls = append(j.calls, e.Call)
	s.jobsByCall[e.Call] = j
	s.emitJobDecision(eventer.JobAttached, j, Decision{})
	return true
}

// infeasibleReason returns why no known worker can run a job, or "".
func (s *Scheduler) infeasibleReason(j *job) string {
	if len(s.sortedWorkers) == 0 {
		return ""
	}
	for i := range j.Steps {
		if !s.fitsAnyWorker(j.Service, &j.Steps[i]) {
			return "no worker is large enough"
		}
	}
	return ""
}

func (s *Scheduler) fitsAnyWorker(service namer.Service, step *StepSpec) bool {
	serviceListed := false
	for _, w := range s.sortedWorkers {
		if w.service != service {
			continue
		}
		serviceListed = true
		if step.Size.fitsIn(w.capacity) && w.hasLabel(step.RequiredLabel) {
			return true
		}
	}
	return !serviceListed
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// handleCallCanceled removes a caller and closes its job if no other one waits.
func (s *Scheduler) handleCallCanceled(e CallCanceled) {
	j := s.jobsByCall[e.Call]
	if j == nil {
		return
	}
	delete(s.jobsByCall, e.Call)
	j.calls = slices.DeleteFunc(j.calls, func(c namer.CallID) bool { return c == e.Call })
	if len(j.calls) > 0 {
		return
	}
	s.emitJobDecision(eventer.JobCanceled, j, Decision{})
	s.closeJob(j)
}

// sendResult sends the result of a job to all of its callers.
func (s *Scheduler) sendResult(j *job, result JobResult) {
	for _, c := range j.calls {
		result.Call = c
		s.emit(result)
	}
}

// closeJob removes a job from the tables and stops its runs.
func (s *Scheduler) closeJob(j *job) {
	if j.closed {
		return
	}
	j.closed = true
	for _, c := range j.calls {
		delete(s.jobsByCall, c)
	}
	delete(s.jobsByName, j.Name)
	for _, t := range j.tasks {
		if t.run != nil {
			s.detachRun(t.run)
		}
		s.cancelReserveRequests(t)
	}
	s.openJobs = slices.DeleteFunc(s.openJobs, func(other *job) bool { return other == j })
	s.placementDue = true
}

// detachRun separates a run from its task and has it stopped.
func (s *Scheduler) detachRun(r *run) {
	r.stopRequested = true
	if r.task == nil {
		return
	}
	r.task.run = nil
	r.task.state = taskWaiting
	r.task = nil
	s.staleRuns[r.taskID.Job]++
}

func (s *Scheduler) completeJob(j *job) {
	s.emitJobDecision(eventer.JobCompleted, j, Decision{})
	s.sendResult(j, JobResult{Outcome: Completed})
	s.closeJob(j)
}

func (s *Scheduler) failJob(j *job, reason string) {
	s.emitJobDecision(eventer.JobFailed, j, Decision{Reason: reason})
	s.sendResult(j, JobResult{Outcome: Failed, Reason: reason})
	s.closeJob(j)
}

// abortJob ends a job that can't be completed in time and may have run in part.
func (s *Scheduler) abortJob(j *job, reason string) {
	s.emitJobDecision(eventer.JobAborted, j, Decision{Reason: reason, WaitingTasks: j.waitingTasks()})
	s.sendResult(j, JobResult{Outcome: Aborted, RetryAfter: s.returns.RetryAfter(s.now, 0), Reason: reason})
	s.closeJob(j)
}

// refuseJob ends a job of which no task has run or will run.
func (s *Scheduler) refuseJob(j *job, outcome Outcome, reason string) {
	retryAfter := s.returns.RetryAfter(s.now, j.predictedWait)
	s.emitJobDecision(eventer.JobRefused, j, Decision{
		RetryAfter: retryAfter, PredictedWait: j.predictedWait, Kind: j.Kind, Priority: j.Priority, SizeClass: j.sizeClass,
		Reason: reason, WaitingTasks: s.WaitingTasks(), PredictedRunTime: j.criticalPath(s.kindState(j.Kind).runTimeRatio),
		Owners: len(s.owners), UsableWorkers: s.UsableWorkers(), RequestedOwners: j.requestedOwnerCount(),
	})
	s.sendResult(j, JobResult{Outcome: outcome, RetryAfter: retryAfter, Reason: reason})
	s.closeJob(j)
}

// refuseOrAbort ends a job that can't be completed in time.
func (s *Scheduler) refuseOrAbort(j *job, reason string) {
	if j.mayHaveStarted() {
		s.abortJob(j, reason)
		return
	}
	s.refuseJob(j, Refused, reason)
}

// checkDeadlines ends the jobs that can't be completed in time and moves
// stragglers.
func (s *Scheduler) checkDeadlines() {
	if s.now.Sub(s.lastDeadlineCheck) < deadlineCheckInterval {
		return
	}
	s.lastDeadlineCheck = s.now
	s.assignOwners()
	if s.now.Sub(s.lastPeerCheck) >= peerCheckInterval {
		s.lastPeerCheck = s.now
		s.removeOldPeers()
		s.crashes.Expire(s.now)
		s.forgetLostRuns()
		s.forgetUntrackedWorkers()
		s.repeatSpeedReports()
		s.shareInterference()
	}
	for _, j := range slices.Clone(s.openJobs) {
		s.checkJobDeadline(j)
	}
	s.moveStragglers()
}

func (s *Scheduler) checkJobDeadline(j *job) {
	switch {
	case !s.now.Before(j.deadline):
		s.refuseOrAbort(j, "deadline reached")
	case !j.mayHaveStarted() && !s.now.Before(j.startBy):
		s.refuseUnstarted(j)
	case j.mayHaveStarted():
		s.checkOrderedStarts(j)
		if reason := s.unfinishableReason(j); reason != "" {
			s.abortJob(j, reason)
		}
	}
}

// refuseUnstarted refuses a job that has not started before startBy.
func (s *Scheduler) refuseUnstarted(j *job) {
	s.recordWait(j, false)
	if s.isServiceReachable(j.Service) {
		s.refuseJob(j, Refused, "no room in time")
		return
	}
	s.refuseJob(j, Unavailable, s.unreachableReason(j.Service))
}

// unfinishableReason returns why a started job can't end while its result has
// any value, or "" if it can. A task that waits, or whose worker is
// unresponsive, is assumed to need its whole predicted run time.
func (s *Scheduler) unfinishableReason(j *job) string {
	limit := earlier(j.usefulUntil, j.deadline)
	kind := s.kindState(j.Kind)
	for _, t := range j.tasks {
		if t.state == taskDone {
			continue
		}
		earliestEnd := s.now.Add(kind.predictRunTime(t.step))
		if t.run != nil && t.run.lost && earliestEnd.Add(minRestartTime).After(limit) {
			return "worker " + string(t.run.worker.id) + " crashed under task " + taskLabel(t.id)
		}
		if !earliestEnd.After(limit) {
			continue
		}
		switch {
		case t.run == nil:
			return "task " + taskLabel(t.id) + " found no room"
		case t.state == taskStarting:
			return "start of task " + taskLabel(t.id) + " on " + string(t.run.worker.id) + " is not confirmed"
		case s.isUnresponsive(t.run.worker):
			return "task " + taskLabel(t.id) + " runs on " + string(t.run.worker.id) + ", which is silent"
		}
	}
	return ""
}
