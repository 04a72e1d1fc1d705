package scheduler

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

const (
	// leaseAhead is the lease that each start and poll asks for: two polls may
	// be lost before it is over, and it is below the longest that is granted.
	leaseAhead = 800 * time.Millisecond
	// startTimeout is how long the answer to a start is waited for at the
	// least; a round trip takes 2 ms, and a quota can hold a process for more.
	startTimeout = 30 * time.Millisecond
)

// runPlacement gives tasks to workers: first those of jobs that have begun,
// then the first job of the kind that has had least.
func (s *Scheduler) runPlacement() {
	if !s.changed {
		return
	}
	s.changed = false
	p := placement{s: s, full: make(map[namer.Service]namer.MilliCores)}
	for _, j := range s.begunJobs() {
		p.job(j)
	}
	heads := s.heads()
	for {
		j := heads.pop(s)
		if j == nil {
			return
		}
		p.job(j)
		if j.placing() {
			s.begin(j)
			continue
		}
		heads.block(j.Kind)
	}
}

// begunJobs lists the jobs that have begun and have tasks waiting, the most urgent
// first, those whose objective can't be met last.
func (s *Scheduler) begunJobs() []*job {
	var out []*job
	for _, j := range s.open {
		if j.charged && j.waitingTasks() > 0 {
			out = append(out, j)
		}
	}
	slices.SortStableFunc(out, func(a, b *job) int {
		if la, lb := s.isLate(a), s.isLate(b); la != lb {
			if lb {
				return -1
			}
			return 1
		}
		return a.objective.Compare(b.objective)
	})
	return out
}

func (s *Scheduler) isLate(j *job) bool {
	return s.now.Add(j.chain(s.kind(j.Kind).ratio)).After(j.objective)
}

// heads are the jobs that have not begun, by kind, the most urgent first.
type heads map[namer.Kind][]*job

func (s *Scheduler) heads() heads {
	h := make(heads)
	for _, j := range s.open {
		if !j.charged && j.waitingTasks() > 0 {
			h[j.Kind] = append(h[j.Kind], j)
		}
	}
	for _, jobs := range h {
		slices.SortStableFunc(jobs, func(a, b *job) int { return a.giveUp.Compare(b.giveUp) })
	}
	return h
}

// pop takes the first job of the kind that has had least.
func (h heads) pop(s *Scheduler) *job {
	var best *kind
	for name, jobs := range h {
		if len(jobs) == 0 {
			continue
		}
		k := s.kind(name)
		if best == nil || k.start < best.start || k.start == best.start && k.name < best.name {
			best = k
		}
	}
	if best == nil {
		return nil
	}
	j := h[best.name][0]
	h[best.name] = h[best.name][1:]
	return j
}

// block leaves out a kind whose first job has found no room.
func (h heads) block(k namer.Kind) { delete(h, k) }

// placement is one round of the placement system.
type placement struct {
	s *Scheduler
	// full holds, by service, the smallest size that found no room.
	full map[namer.Service]namer.MilliCores
}

// job places as many of a job's tasks as find room.
func (p *placement) job(j *job) {
	s := p.s
	if s.ghosts[j.Name] > 0 {
		return
	}
	for _, t := range j.tasks {
		if t.state != taskWaiting || !j.ready(t) {
			continue
		}
		smallest, full := p.full[j.Service]
		if full && t.step.Size.Cores >= smallest {
			return
		}
		w := s.choose(t)
		if w == nil && s.ask(t) {
			continue
		}
		if w == nil {
			if t.step.Requires == "" && t.step.MaxPerWorker == 0 {
				p.full[j.Service] = t.step.Size.Cores
			}
			return
		}
		s.start(t, w)
	}
}

// choose picks the worker for a task, or nil: of this instance's own workers
// with room the tightest fit.
func (s *Scheduler) choose(t *task) *worker {
	return s.chooseHome(t.job.Service, t.step, t)
}

func (s *Scheduler) chooseHome(service namer.Service, st *StepSpec, of *task) *worker {
	var best *worker
	for _, w := range s.sorted {
		if w.home != nil || w.service != service || s.now.Before(w.fullUntil) || !st.Size.fits(w.room()) {
			continue
		}
		if !s.usable(w) || !w.has(st.Requires) || w.probing() {
			continue
		}
		if of != nil && st.MaxPerWorker > 0 && w.runsOf(of) >= st.MaxPerWorker {
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

func right(instance string, w namer.Worker) uint64 {
	return xxhash.Sum64String(instance + "\x00" + string(w))
}

// start sends a task to a worker.
func (s *Scheduler) start(t *task, w *worker) {
	s.runCount++
	s.startRun(t, w, namer.NewRun(s.runCount, s.Tag))
}

func (s *Scheduler) startRun(t *task, w *worker, number namer.Run) {
	k := s.kind(t.job.Kind)
	r := &run{
		name: t.name, number: number, worker: w, size: t.step.Size,
		task: t, sent: s.now, predicted: k.predict(t.step),
	}
	t.run, t.state = r, taskStarting
	s.runs[runKey{r.name, r.number}] = r
	w.own = append(w.own, r)
	w.ownUsed = w.ownUsed.plus(r.size)
	s.do(Start{
		Worker: w.id, Task: r.name, Run: r.number, Payload: t.job.Payload,
		Until: s.leaseUntil(w), Timeout: startTimeout,
	})
	s.decide(eventer.TaskPlaced, t.job, Decision{
		Task: taskLabel(t.name), Run: r.number, Worker: w.id, Age: s.now.Sub(w.heard), Predicted: r.predicted,
		Free: w.room().Cores, Foreign: len(w.foreign),
	})
}

func (s *Scheduler) leaseUntil(w *worker) namer.WorkerMillis {
	return w.clockNow(s.now) + namer.WorkerMillis(min(leaseAhead, s.MaxLease).Milliseconds())
}
