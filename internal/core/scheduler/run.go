package scheduler

import (
	"strconv"
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

const (
	// stopAgain is the pause between two stops of a run that is still there.
	stopAgain = 20 * time.Millisecond
	// supersededStep is how far run numbers jump ahead of one that a worker
	// has seen: the largest difference between the clocks of two instances.
	supersededStep = 500
)

func taskLabel(n namer.RunningTask) string {
	return strconv.Itoa(n.Step) + "." + strconv.Itoa(n.Index)
}

// startAnswered takes in a worker's word on a start.
func (s *Scheduler) startAnswered(e StartAnswered) {
	r := s.runs[runKey{e.Task, e.Run}]
	if r == nil {
		return
	}
	w := r.worker
	s.learnAnswer(e.Took)
	if e.Verdict != StartLost {
		w.setClock(s.now, e.Clock)
	}
	s.tellHome(r, e.Verdict == StartTaken || e.Verdict == StartLost)
	if e.Verdict == StartTaken {
		s.confirm(r)
		return
	}
	if r.task != nil {
		s.decide(eventer.TaskNotStarted, r.task.job, Decision{
			Task: taskLabel(r.name), Run: r.number, Worker: w.id, Reason: verdictText[e.Verdict], Age: e.Took,
			Free: w.room().Cores, Foreign: len(w.foreign),
		})
	}
	switch e.Verdict {
	case StartNoRoom:
		w.fullUntil = s.now.Add(fullPause)
		s.look(w)
	case StartSuperseded:
		s.runCount += supersededStep
	case StartUnhealthy:
		w.asideUntil = s.now.Add(unhealthyPause)
	case StartElsewhere:
		w.looked = false
	case StartRefused:
		s.failedOn(w)
	case StartLost:
		s.startLost(r)
		return
	}
	s.over(r)
}

var verdictText = map[StartVerdict]string{
	StartNoRoom:     "no room",
	StartSuperseded: "run number is not higher than one that has ended there",
	StartExpired:    "lease was over on arrival",
	StartUnhealthy:  "worker is unhealthy",
	StartElsewhere:  "worker has another incarnation",
	StartRefused:    "refused",
	StartLost:       "no answer",
}

// startLost has a worker asked about a start without an answer: if the run is
// there the task goes on, else only a stop that is answered proves that it
// will not come.
func (s *Scheduler) startLost(r *run) {
	r.worker.suspect = true
	r.lost = true
	r.lostAt = s.now
	s.look(r.worker)
	if r.task != nil {
		r.task.job.touched = true
	}
}

// confirm notes that a run is there.
func (s *Scheduler) confirm(r *run) {
	if r.confirmed {
		return
	}
	r.confirmed = true
	r.begun = s.now
	if r.task == nil {
		return
	}
	r.task.job.touched = true
	if r.task.state == taskStarting {
		r.task.state = taskRunning
	}
	r.lost = false
}

// runStops sends the stops that are due.
func (s *Scheduler) runStops() {
	s.eachNear(func(w *worker) {
		for _, r := range w.own {
			if !r.stopping || r.stopSent || s.now.Before(r.stopAt) {
				continue
			}
			r.stopSent = true
			s.do(Stop{Worker: w.id, Task: r.name, Run: r.number})
		}
	})
}

// stopAnswered takes in a worker's word on a stop.
func (s *Scheduler) stopAnswered(e StopAnswered) {
	r := s.runs[runKey{e.Task, e.Run}]
	if r == nil {
		s.foreignStopped(e)
		return
	}
	r.stopSent = false
	r.stopAt = s.now.Add(stopAgain)
	switch {
	case e.Elsewhere:
		s.over(r)
	case e.Proven:
		r.provenAt = s.now
		r.stopAt = s.now.Add(s.lease)
		if !r.confirmed {
			s.look(r.worker)
		}
	default:
		r.worker.suspect = true
		s.relayStop(r)
	}
}

// look polls a worker at once, beside the poll that waits there.
func (s *Scheduler) look(w *worker) {
	s.do(Poll{Worker: w.id, Acknowledge: w.acknowledged, Extra: true})
}

// foreignStopped notes the answer to a stop of an abandoned run: it is listed
// as ended soon.
func (s *Scheduler) foreignStopped(e StopAnswered) {
	w := s.workers[e.Worker]
	if w == nil {
		return
	}
	if e.Elsewhere {
		w.looked = false
	}
	w.nextPoll = s.now
}

// runStragglers moves tasks off workers that are slow or stand still, where
// another run can still end in time.
func (s *Scheduler) runStragglers() {
	for _, j := range s.open {
		for _, t := range j.tasks {
			if t.state == taskRunning && s.straggles(t) {
				s.move(t)
			}
		}
	}
}

const (
	// slowFactor times what the other tasks of its step take is what makes a
	// run slow; declared run times alone are off by as much for whole jobs.
	slowFactor = 2.5
	// minProgress is the progress in percent below which a run that should be
	// half through stands still.
	minProgress = 4
	// minLook is the shortest run time from which progress tells anything.
	minLook = 40 * time.Millisecond
	// moveMargin is what a stop and another start take.
	moveMargin = 5 * time.Millisecond
)

// straggles reports whether a run stands still, or is much slower than the
// others of its step, while another one, begun now, would end in time.
func (s *Scheduler) straggles(t *task) bool {
	r := t.run
	elapsed := s.now.Sub(r.begun)
	if r.stopping || elapsed < minLook || elapsed < r.predicted/2 {
		return false
	}
	usual := s.kind(t.job.Kind).predict(t.step)
	if !r.standsStill() {
		others, known := t.job.othersTake(t)
		own, told := r.projected()
		if !known || !told || float64(own) < slowFactor*float64(others) {
			return false
		}
		usual = others
	}
	return s.now.Add(usual + moveMargin).Before(t.job.objective)
}

// standsStill reports whether a run has made no progress in a time in which it
// should be half through.
func (r *run) standsStill() bool {
	seen := r.percentAt.Sub(r.begun)
	return !r.percentAt.IsZero() && seen >= minLook && seen >= r.predicted/2 && r.percent < minProgress
}

// projected returns the run time that a run's progress points to, and whether
// there is any.
func (r *run) projected() (time.Duration, bool) {
	seen := r.percentAt.Sub(r.begun)
	if r.percentAt.IsZero() || seen < minLook || r.percent < minProgress {
		return 0, false
	}
	return seen * 100 / time.Duration(r.percent), true
}

// othersTake returns the shortest run time of the other tasks of a step, ended
// or projected, on other workers.
func (j *job) othersTake(t *task) (time.Duration, bool) {
	best, known := t.step.shortest, t.step.shortest > 0
	for _, o := range j.tasks {
		if o == t || o.step != t.step || o.run == nil || o.run.worker == t.run.worker {
			continue
		}
		if took, told := o.run.projected(); told && (!known || took < best) {
			best, known = took, true
		}
	}
	return best, known
}

func (s *Scheduler) move(t *task) {
	r := t.run
	s.decide(eventer.TaskMoved, t.job, Decision{
		Task: taskLabel(r.name), Run: r.number, Worker: r.worker.id, Reason: "run is slow",
		Age: s.now.Sub(r.percentAt), Predicted: r.predicted,
	})
	s.setAside(r.worker, "runs are slow")
	r.stopping = true
}
