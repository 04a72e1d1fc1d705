package scheduler

import (
	"slices"
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

const (
	// waitShare is the part of its objective that a job may wait for its first
	// start. What is left must hold the work itself and its uncertainty.
	waitShare = 0.2
	// lateFactor times the objective is how long an answer is worth having.
	lateFactor = 3.0
	// firstLooks is how long an instance that has just started has to hear its
	// workers before it says that it reaches none.
	firstLooks = 500 * time.Millisecond
	// retryAfter is what refused callers are told; the platform's bursts last
	// for seconds, and HTTP counts whole ones.
	retryAfter = time.Second
)

// arrived takes a job in.
func (s *Scheduler) arrived(e JobArrived) {
	if s.attach(e) {
		return
	}
	j := &job{JobSpec: e.Job, calls: []namer.Call{e.Call}, arrived: s.now}
	j.Steps = slices.Clone(j.Steps)
	k := s.kind(j.Kind)
	target := time.Duration(j.Stretch*float64(j.chain(k.ratio))) + j.Target
	j.objective = s.now.Add(target)
	j.late = s.now.Add(time.Duration(lateFactor * float64(target)))
	j.deadline = s.now.Add(j.Patience - answerMargin)
	if j.Left > 0 {
		j.deadline = earlier(j.deadline, s.now.Add(j.Left-answerMargin))
	}
	j.giveUp = earlier(s.now.Add(time.Duration(waitShare*float64(target))), j.deadline)
	for i := range j.Steps {
		st := &j.Steps[i]
		if k.cores == 0 {
			k.cores = float64(st.Size.Cores)
		}
		k.cores += ratioShare * (float64(st.Size.Cores) - k.cores)
		for n := range st.Count {
			j.tasks = append(j.tasks, &task{job: j, step: st, name: namer.RunningTask{Job: j.Name, Step: i, Index: n}})
		}
	}
	j.left = len(j.tasks)
	s.jobs[e.Call] = j
	s.byName[j.Name] = j
	s.open = append(s.open, j)
	s.changed = true
	s.decide(eventer.JobTaken, j, Decision{Predicted: j.chain(k.ratio), Waiting: s.Waiting()})
	if reason := s.impossible(j); reason != "" {
		s.refuse(j, Refused, reason)
		return
	}
	if j.Left > 0 && j.objective.After(j.deadline) {
		s.refuse(j, Unavailable, "this instance ends before the job could")
		return
	}
	if !s.anyUsable(j.Service) && s.now.Sub(s.started) > firstLooks {
		s.refuse(j, Unavailable, "no worker can be reached")
		return
	}
	if s.ghosts[j.Name] > 0 {
		s.stopEarlier(j.Name)
	}
}

// stopEarlier stops the runs that another instance has started of a job that
// has been sent again to this one.
func (s *Scheduler) stopEarlier(name namer.JobName) {
	for _, w := range s.sorted {
		if slices.ContainsFunc(w.foreign, func(a foreignRun) bool { return a.Task.Job == name }) {
			s.stopForeign(w)
		}
	}
}

// attach lets a caller wait for a job of the same name that is still open: its
// client has sent the job again.
func (s *Scheduler) attach(e JobArrived) bool {
	j := s.byName[e.Job.Name]
	if j == nil {
		return false
	}
	j.calls = append(j.calls, e.Call)
	s.jobs[e.Call] = j
	s.decide(eventer.JobAttached, j, Decision{})
	return true
}

// impossible says why no worker that is known could ever run a job.
func (s *Scheduler) impossible(j *job) string {
	if len(s.sorted) == 0 {
		return ""
	}
	for i := range j.Steps {
		if !s.everFits(j.Service, &j.Steps[i]) {
			return "no worker is large enough"
		}
	}
	return ""
}

func (s *Scheduler) everFits(service namer.Service, st *StepSpec) bool {
	known := false
	for _, w := range s.sorted {
		if w.service != service {
			continue
		}
		known = true
		if st.Size.fits(w.capacity) && w.has(st.Requires) {
			return true
		}
	}
	return !known
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// callerLeft stops the job of a caller that no longer waits.
func (s *Scheduler) callerLeft(e CallerLeft) {
	j := s.jobs[e.Call]
	if j == nil {
		return
	}
	delete(s.jobs, e.Call)
	j.calls = slices.DeleteFunc(j.calls, func(c namer.Call) bool { return c == e.Call })
	if len(j.calls) > 0 {
		return
	}
	s.decide(eventer.JobAbandoned, j, Decision{})
	s.end(j)
}

// answer gives all callers of a job their answer.
func (s *Scheduler) answer(j *job, a Answer) {
	for _, c := range j.calls {
		a.Call = c
		s.do(a)
	}
}

// end takes a job out of the tables and stops what runs of it.
func (s *Scheduler) end(j *job) {
	if j.over {
		return
	}
	j.over = true
	for _, c := range j.calls {
		delete(s.jobs, c)
	}
	delete(s.byName, j.Name)
	for _, t := range j.tasks {
		if t.run != nil {
			s.disown(t.run)
		}
		s.withdraw(t)
	}
	s.open = slices.DeleteFunc(s.open, func(o *job) bool { return o == j })
	s.changed = true
}

// disown marks a run as no longer wanted; it is stopped until it is over.
func (s *Scheduler) disown(r *run) {
	r.stopping = true
	if r.task == nil {
		return
	}
	r.task.run = nil
	r.task.state = taskWaiting
	r.task = nil
	s.ghosts[r.name.Job]++
}

func (s *Scheduler) complete(j *job) {
	s.decide(eventer.JobCompleted, j, Decision{})
	s.answer(j, Answer{Outcome: Completed})
	s.end(j)
}

func (s *Scheduler) fail(j *job, reason string) {
	s.decide(eventer.JobFailed, j, Decision{Reason: reason})
	s.answer(j, Answer{Outcome: Failed, Reason: reason})
	s.end(j)
}

// abort ends a job that can't be served any more though some of it may have
// run.
func (s *Scheduler) abort(j *job, reason string) {
	s.decide(eventer.JobGivenUp, j, Decision{Reason: reason, Waiting: j.waitingTasks()})
	s.answer(j, Answer{Outcome: GivenUp, RetryAfter: retryAfter, Reason: reason})
	s.end(j)
}

// refuse tells a caller that nothing of its job has run or will.
func (s *Scheduler) refuse(j *job, o Outcome, reason string) {
	s.decide(eventer.JobRefused, j, Decision{
		Reason: reason, Waiting: s.Waiting(), Predicted: j.chain(s.kind(j.Kind).ratio),
		Peers: len(s.alive), Usable: s.Usable(), Asked: j.homesAsked(),
	})
	s.answer(j, Answer{Outcome: o, RetryAfter: retryAfter, Reason: reason})
	s.end(j)
}

// giveUp ends a job that can't be served any more.
func (s *Scheduler) giveUp(j *job, reason string) {
	if j.begun() {
		s.abort(j, reason)
		return
	}
	s.refuse(j, Refused, reason)
}

// runDeadlines ends the jobs that can't be served any more, and looks after
// runs that are slow.
func (s *Scheduler) runDeadlines() {
	if s.now.Sub(s.lastScan) < scanEvery {
		return
	}
	s.lastScan = s.now
	if s.now.Sub(s.lastRank) >= rankEvery {
		s.lastRank = s.now
		s.forgetPeers()
		s.dealHomes()
	}
	for _, j := range slices.Clone(s.open) {
		s.checkDeadline(j)
	}
	s.runStragglers()
}

func (s *Scheduler) checkDeadline(j *job) {
	switch {
	case !s.now.Before(j.deadline):
		s.giveUp(j, "deadline reached")
	case !j.begun() && !s.now.Before(j.giveUp):
		s.refuseLate(j)
	case j.begun():
		if reason := s.hopeless(j); reason != "" {
			s.abort(j, reason)
		}
	}
}

// refuseLate refuses a job whose time for a first start is over.
func (s *Scheduler) refuseLate(j *job) {
	if s.anyUsable(j.Service) {
		s.refuse(j, Refused, "no room in time")
		return
	}
	s.refuse(j, Unavailable, "no worker can be reached")
}

// hopeless says why a started job can't end while that is worth anything, or
// nothing where it can: a task that waits, or whose worker is silent, has its
// whole work before it.
func (s *Scheduler) hopeless(j *job) string {
	limit := earlier(j.late, j.deadline)
	k := s.kind(j.Kind)
	for _, t := range j.tasks {
		if t.state == taskDone || !s.now.Add(k.predict(t.step)).After(limit) {
			continue
		}
		switch {
		case t.run == nil:
			return "task " + taskLabel(t.name) + " found no room"
		case t.state == taskStarting:
			return "start of task " + taskLabel(t.name) + " on " + string(t.run.worker.id) + " is not confirmed"
		case s.silent(t.run.worker):
			return "task " + taskLabel(t.name) + " runs on " + string(t.run.worker.id) + ", which is silent"
		}
	}
	return ""
}
