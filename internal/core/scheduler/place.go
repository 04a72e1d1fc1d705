package scheduler

import (
	"slices"
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

const (
	// minStartTimeout and maxStartTimeout bound how long the answer to a start
	// is waited for: a round trip takes 2 ms, a process that is short of
	// processor time is held for 100 ms, and with much longer no run that is
	// begun again ends in time.
	minStartTimeout = 30 * time.Millisecond
	maxStartTimeout = 200 * time.Millisecond
	// timeoutFactor times the usual time of an answer is what one may take.
	timeoutFactor = 6
	// answerShare is the weight of the newest answer in the usual time.
	answerShare = 0.05
)

// want is a task that asks for room at this home: one of this instance's own,
// or a peer's.
type want struct {
	service namer.Service
	step    *StepSpec
	kind    *kind
	// cost is the work of the task in core-seconds.
	cost  float64
	class wantClass
	// by is when the want is over, or the objective of a job that has begun.
	by   time.Time
	task *task
	ask  *pendingAsk
}

// wantClass orders wants before all else: what has begun is finished first, as
// long as it can be in time.
type wantClass int

const (
	wantBegun wantClass = iota
	wantNew
	wantLate
)

// runPlacement gives room to the wants: first to those of jobs that have begun,
// then to the kind that has had least, and last to what is late anyway. Tasks
// of this instance that are left ask other homes.
func (s *Scheduler) runPlacement() {
	if !s.changed {
		return
	}
	s.changed = false
	s.dropAsks()
	wants := s.wants(s.largestRoom())
	p := placement{s: s, full: make(map[namer.Service]namer.MilliCores)}
	rest := make(map[*kind][]*want)
	var late []*want
	for i := range wants {
		w := &wants[i]
		switch w.class {
		case wantBegun:
			p.give(w)
		case wantNew:
			rest[w.kind] = append(rest[w.kind], w)
		case wantLate:
			late = append(late, w)
		}
	}
	for w := s.nextWant(rest); w != nil; w = s.nextWant(rest) {
		if !p.give(w) {
			delete(rest, w.kind)
		}
	}
	for _, w := range late {
		p.give(w)
	}
	s.dropAsks()
	s.tellQueued()
	s.askHomes()
}

// largestRoom returns the most cores that one of this home's workers has free.
func (s *Scheduler) largestRoom() namer.MilliCores {
	largest := namer.MilliCores(-1)
	for _, w := range s.homes {
		if !s.now.Before(w.fullUntil) && s.usable(w) {
			largest = max(largest, w.room().Cores)
		}
	}
	return largest
}

// wants lists the wants that need no more than the cores given, by urgency.
func (s *Scheduler) wants(room namer.MilliCores) []want {
	var out []want
	for _, j := range s.open {
		if s.ghosts[j.Name] > 0 {
			continue
		}
		k := s.kind(j.Kind)
		class, by := s.urgency(j)
		for _, t := range j.tasks {
			if t.state == taskWaiting && t.step.Size.Cores <= room && j.ready(t) {
				out = append(out, want{
					service: j.Service, step: t.step, kind: k, cost: cost(t.step.Size, k.predict(t.step)),
					class: class, by: by, task: t,
				})
			}
		}
	}
	for i := range s.pending {
		a := &s.pending[i]
		if a.Size.Cores > room {
			continue
		}
		out = append(out, want{
			service: a.Service, step: &a.step, kind: s.kind(a.Kind), cost: cost(a.Size, a.step.Estimate),
			class: a.Class, by: a.until, ask: a,
		})
	}
	slices.SortStableFunc(out, func(a, b want) int { return a.by.Compare(b.by) })
	return out
}

func (s *Scheduler) urgency(j *job) (wantClass, time.Time) {
	switch {
	case !j.charged:
		return wantNew, j.giveUp
	case s.isLate(j):
		return wantLate, earlier(j.late, j.deadline)
	default:
		return wantBegun, j.objective
	}
}

func (s *Scheduler) isLate(j *job) bool {
	return s.now.Add(j.chain(s.kind(j.Kind).ratio)).After(j.objective)
}

func cost(size Size, took time.Duration) float64 {
	return float64(size.Cores) / namer.MilliPerCore * took.Seconds()
}

// nextWant takes the first want of the kind that has had least.
func (s *Scheduler) nextWant(rest map[*kind][]*want) *want {
	var best *kind
	for k := range rest {
		if best == nil || k.start < best.start || k.start == best.start && k.name < best.name {
			best = k
		}
	}
	if best == nil {
		return nil
	}
	w := rest[best][0]
	rest[best] = rest[best][1:]
	if len(rest[best]) == 0 {
		delete(rest, best)
	}
	return w
}

// placement is one round of the placement system.
type placement struct {
	s *Scheduler
	// full holds, by service, the smallest size that found no room.
	full map[namer.Service]namer.MilliCores
}

// give gives a want room on one of this home's workers, and reports whether it
// could.
func (p *placement) give(w *want) bool {
	smallest, full := p.full[w.service]
	if full && w.step.Size.Cores >= smallest {
		return false
	}
	to := p.s.choose(w)
	if to == nil {
		if w.step.Requires == "" && w.step.MaxPerWorker == 0 {
			p.full[w.service] = w.step.Size.Cores
		}
		return false
	}
	p.s.charge(w)
	if w.task != nil {
		w.task.job.charged = true
		p.s.start(w.task, to)
		return true
	}
	p.s.grant(w.ask, to)
	return true
}

// choose picks the worker for a want, or nil: of this instance's own workers
// with room the tightest fit.
func (s *Scheduler) choose(want *want) *worker {
	st := want.step
	var best *worker
	for _, w := range s.homes {
		if w.service != want.service || s.now.Before(w.fullUntil) || !st.Size.fits(w.room()) {
			continue
		}
		if !s.usable(w) || !w.has(st.Requires) || w.probing() {
			continue
		}
		if want.task != nil && st.MaxPerWorker > 0 && w.runsOf(want.task) >= st.MaxPerWorker {
			continue
		}
		if best == nil || w.room().Cores < best.room().Cores {
			best = w
		}
	}
	return best
}

// probing reports whether a worker that was set aside has its one trial.
func (w *worker) probing() bool { return w.relapses > 0 && len(w.own) > 0 }

func (w *worker) runsOf(t *task) int {
	n := 0
	for _, r := range w.own {
		if r.name.Job == t.name.Job && r.name.Step == t.name.Step {
			n++
		}
	}
	return n
}

// start sends a task to a worker.
func (s *Scheduler) start(t *task, w *worker) {
	s.runCount++
	s.startRun(t, w, namer.NewRun(s.runCount, s.Tag))
}

func (s *Scheduler) startRun(t *task, w *worker, number namer.Run) {
	s.withdraw(t)
	t.job.charged = true
	k := s.kind(t.job.Kind)
	r := &run{
		name: t.name, number: number, worker: w, size: t.step.Size,
		task: t, predicted: k.predict(t.step),
	}
	t.run, t.state = r, taskStarting
	s.runs[runKey{r.name, r.number}] = r
	w.own = append(w.own, r)
	s.visit(w)
	w.ownUsed = w.ownUsed.plus(r.size)
	s.do(Start{
		Worker: w.id, Task: r.name, Run: r.number, Payload: t.job.Payload,
		Until: s.leaseUntil(w), Timeout: s.startTimeout(),
	})
	s.decide(eventer.TaskPlaced, t.job, Decision{
		Task: taskLabel(t.name), Run: r.number, Worker: w.id, Age: s.now.Sub(w.heard), Predicted: r.predicted,
		Free: w.room().Cores, Foreign: len(w.foreign),
	})
}

// startTimeout is how long the answer to a start is waited for. Where answers
// are slow because this instance or its links are, giving them up early would
// only add to the load.
func (s *Scheduler) startTimeout() time.Duration {
	return min(max(timeoutFactor*s.answerTime, minStartTimeout), maxStartTimeout)
}

func (s *Scheduler) learnAnswer(took time.Duration) {
	s.answerTime += time.Duration(answerShare * float64(took-s.answerTime))
}

func (s *Scheduler) leaseUntil(w *worker) namer.WorkerMillis {
	return w.clockNow(s.now) + namer.WorkerMillis(s.lease.Milliseconds())
}
