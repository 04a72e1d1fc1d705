package scheduler

import (
	"slices"
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/eventer"
)

const (
	// pollWait is how long a worker holds its answer back for an end. A lease
	// is prolonged with each poll.
	pollWait = 300 * time.Millisecond
	// busyPollWait is the same where this instance has runs there, whose
	// progress shows slow workers.
	busyPollWait = 100 * time.Millisecond
	// pollPause is the pause after an answer that brought nothing new and
	// came at once.
	pollPause = 4 * time.Millisecond
	// lostPause doubles with each poll that is lost, up to maxLostPause.
	lostPause    = 25 * time.Millisecond
	maxLostPause = 400 * time.Millisecond
	// maxLooks bounds the first polls of workers that are under way: each opens
	// a connection, of which a fifth of a core opens some in a millisecond.
	maxLooks = 48
	// foreignEndAge is how long another instance's end is left for it to see;
	// it polls at least every pollWait.
	foreignEndAge = 800 * time.Millisecond
)

// runPolls sends the polls that are due.
func (s *Scheduler) runPolls() {
	looks := 0
	s.eachNear(func(w *worker) {
		if w.polling && !w.looked {
			looks++
		}
	})
	s.eachNear(func(w *worker) {
		if w.polling || s.now.Before(w.nextPoll) || !w.looked && looks >= maxLooks {
			return
		}
		if !s.pollsWorker(w) {
			if len(w.foreign) > 0 {
				s.setForeign(w, nil)
			}
			return
		}
		if !w.looked {
			looks++
		}
		w.dropPlaces(s.now)
		s.poll(w)
	})
}

func (s *Scheduler) poll(w *worker) {
	w.polling = true
	p := Poll{Worker: w.id, Acknowledge: w.acknowledged, Wait: pollWait}
	s.countOrphans(w)
	switch {
	case !w.looked, s.silent(w):
		p.Wait = 0
	case w.wanted():
		p.Wait = busyPollWait
	}
	if w.looked && w.wanted() && w.orphans == 0 {
		p.Until = s.leaseUntil(w)
	}
	s.do(p)
}

// wanted reports whether a worker has runs that are to go on: this instance's,
// and those of living peers.
func (w *worker) wanted() bool {
	if len(w.foreign) > 0 {
		return true
	}
	for _, r := range w.own {
		if r.task != nil {
			return true
		}
	}
	return false
}

// polled takes in what a worker has listed.
func (s *Scheduler) polled(e Polled) {
	w := s.workers[e.Worker]
	if w == nil {
		return
	}
	if !e.Extra {
		w.polling = false
	}
	if e.Lost || e.Elsewhere {
		s.pollLost(w, e)
		return
	}
	if e.Born > w.born {
		s.reborn(w, e.Born)
	}
	if e.Born < w.born && e.Born != 0 {
		w.nextPoll = s.now.Add(pollPause)
		return
	}
	fresh := s.now.Sub(w.heard) < pollWait+busyPollWait
	if s.silent(w) || !w.looked {
		s.changed = true
		s.do(Decision{Event: eventer.WorkerHeard, Worker: w.id, Age: s.silence(w)})
	}
	w.heard, w.suspect, w.lost, w.looked = s.now, false, 0, true
	w.setClock(s.now, e.Clock)
	news := s.takeEnded(w, e.Ended)
	s.takeActive(w, e, fresh)
	if e.Extra {
		return
	}
	w.nextPoll = s.now
	if !news && s.now.Sub(e.Sent) < pollPause {
		w.nextPoll = s.now.Add(pollPause)
	}
}

func (s *Scheduler) pollLost(w *worker, e Polled) {
	if e.Elsewhere {
		w.looked = false
	}
	if !w.suspect {
		s.do(Decision{Event: eventer.WorkerSilent, Worker: w.id, Age: s.silence(w)})
	}
	w.suspect = true
	s.stopLost(w, e)
	if e.Extra {
		return
	}
	w.nextPoll = s.now.Add(min(lostPause<<min(w.lost, 4), maxLostPause))
	w.lost++
}

// stopLost stops the runs whose start was lost and that a poll sent after it
// has not shown.
func (s *Scheduler) stopLost(w *worker, e Polled) {
	for _, r := range w.own {
		if r.lost && !e.Sent.Before(r.lostAt) {
			r.stopping = true
		}
	}
}

// takeEnded takes in the ends that a worker lists, and acknowledges those that
// nobody waits for any more. It reports whether one was new.
func (s *Scheduler) takeEnded(w *worker, ended []EndedRun) bool {
	news := false
	slices.SortFunc(ended, func(a, b EndedRun) int { return int(a.Number - b.Number) })
	blocked := false
	for _, e := range ended {
		if e.Number <= w.acknowledged {
			continue
		}
		known := s.takeEnd(w, e)
		if known || w.seenEnds[e.Number] || s.endIsOld(w, e) {
			news = news || known
			if !blocked {
				w.acknowledged = e.Number
				delete(w.foreignEnds, e.Number)
			}
			continue
		}
		blocked = true
	}
	for n := range w.foreignEnds {
		if n <= w.acknowledged {
			delete(w.foreignEnds, n)
			delete(w.seenEnds, n)
		}
	}
	return news
}

// endIsOld reports whether the instance that an end belongs to has had the
// time to see it, or is gone.
func (s *Scheduler) endIsOld(w *worker, e EndedRun) bool {
	if e.Run.Tag() == s.Tag || !s.heardTag(e.Run.Tag()) {
		return true
	}
	first, found := w.foreignEnds[e.Number]
	if !found {
		w.foreignEnds[e.Number] = s.now
		s.foreignEnded(w, e)
		s.notifyEnd(w, e)
		return false
	}
	if s.now.Sub(first) > foreignEndAge {
		return true
	}
	s.notifyEnd(w, e)
	return false
}

// foreignEnded frees the room of another instance's run.
func (s *Scheduler) foreignEnded(w *worker, e EndedRun) {
	w.places = slices.DeleteFunc(w.places, func(p place) bool { return p.key == runKey{e.Task, e.Run} })
	i := w.foreignIndex(runKey{e.Task, e.Run})
	if i < 0 {
		return
	}
	s.setForeign(w, slices.Delete(slices.Clone(w.foreign), i, i+1))
	w.fullUntil = time.Time{}
	s.changed = true
}

// takeEnd takes in one end. It reports whether the run was this instance's.
func (s *Scheduler) takeEnd(w *worker, e EndedRun) bool {
	r := s.runs[runKey{e.Task, e.Run}]
	if r == nil || r.worker != w {
		return false
	}
	t := r.task
	took := s.now.Sub(r.begun)
	confirmed := r.confirmed
	s.over(r)
	w.fullUntil = time.Time{}
	if e.Cause == EndDone {
		w.succeeded()
	}
	if t == nil {
		return true
	}
	s.decide(eventer.TaskEnded, t.job, Decision{
		Task: taskLabel(e.Task), Run: e.Run, Worker: w.id, Reason: endText[e.Cause], Age: took, Predicted: r.predicted,
	})
	switch e.Cause {
	case EndDone:
		if confirmed {
			s.kind(t.job.Kind).learn(t.step.Estimate, took)
			t.job.learn(t.step, took)
		}
		s.taskDone(t)
	case EndFailed:
		s.failedOn(w)
		s.taskFailed(t)
	default:
		t.job.touched = true
		if !r.stopping {
			s.takenOver(t.job)
		}
	}
	return true
}

var endText = map[EndCause]string{
	EndDone: "done", EndFailed: "failed", EndStopped: "stopped", EndLapsed: "lease lapsed", EndOther: "ended with its gang",
}

// takenOver counts a run that another instance has stopped, or whose lease has
// lapsed. Once is bad luck; an instance that goes on stopping them has the job.
func (s *Scheduler) takenOver(j *job) {
	j.takenOver++
	if j.takenOver > len(j.tasks) {
		s.abort(j, "another instance stops its runs")
	}
}

func (s *Scheduler) taskDone(t *task) {
	t.state = taskDone
	t.job.touched = true
	t.job.left--
	if t.job.left == 0 {
		s.complete(t.job)
	}
}

func (s *Scheduler) taskFailed(t *task) {
	t.failures++
	t.job.touched = true
	if t.failures >= t.job.MaxAttempts {
		s.fail(t.job, "a task failed in each of its attempts")
	}
}

// takeActive takes in the runs that a worker lists as present. What it does
// not list, though it was asked after the start was answered, has ended unseen.
func (s *Scheduler) takeActive(w *worker, e Polled, fresh bool) {
	var foreign []foreignRun
	for _, r := range w.own {
		r.present = false
	}
	for _, a := range e.Active {
		if r := s.runs[runKey{a.Task, a.Run}]; r != nil && r.worker == w {
			s.confirm(r)
			r.present, r.percent, r.percentAt = true, a.Percent, s.now
			continue
		}
		foreign = append(foreign, s.foreignRow(w, a))
		if fresh && w.foreignIndex(runKey{a.Task, a.Run}) < 0 {
			s.seenTag(a.Run.Tag())
		}
	}
	if len(foreign) < len(w.foreign) {
		w.fullUntil = time.Time{}
		s.changed = true
	}
	s.setForeign(w, foreign)
	for _, r := range slices.Clone(w.own) {
		switch {
		case r.present:
		case !r.provenAt.IsZero() && !e.Sent.Before(r.provenAt):
			s.over(r)
		case r.confirmed && e.Sent.After(r.begun):
			s.vanished(w, r)
		}
	}
	s.stopLost(w, e)
	if w.home == nil {
		s.stopForeign(w)
		s.notifyActive(w)
	}
}

// foreignRow makes the row of another instance's run, which takes its place
// where it was given one.
func (s *Scheduler) foreignRow(w *worker, a ActiveRun) foreignRun {
	key := runKey{a.Task, a.Run}
	if i := w.placeIndex(key); i >= 0 {
		size := w.places[i].size
		w.places = slices.Delete(w.places, i, i+1)
		return foreignRun{a, size}
	}
	if i := w.foreignIndex(key); i >= 0 {
		return foreignRun{a, w.foreign[i].size}
	}
	return foreignRun{ActiveRun: a}
}

// vanished ends a run whose end another instance has acknowledged.
func (s *Scheduler) vanished(w *worker, r *run) {
	if t := r.task; t != nil {
		s.decide(eventer.TaskVanished, t.job, Decision{Task: taskLabel(r.name), Run: r.number, Worker: w.id})
	}
	s.over(r)
}

// stopForeign stops the runs of instances that are silent, and those of jobs
// that have been sent again to this one.
func (s *Scheduler) stopForeign(w *worker) {
	if s.now.Sub(s.started) < peerSilence {
		return
	}
	for _, a := range w.foreign {
		if s.heardTag(a.Run.Tag()) && s.byName[a.Task.Job] == nil {
			continue
		}
		s.do(Decision{Event: eventer.RunAbandoned, Job: a.Task.Job, Task: taskLabel(a.Task), Run: a.Run, Worker: w.id})
		s.do(Stop{Worker: w.id, Task: a.Task, Run: a.Run})
	}
}
