package scheduler

import "github.com/heatherslip/heatherslip/internal/wire/eventer"

// handleCrash handles a worker whose address refuses connections.
func (s *Scheduler) handleCrash(w *worker) {
	if w.crashed {
		return
	}
	w.crashed = true
	lost := w.runRefs()
	s.emit(Decision{Event: eventer.WorkerCrashed, Worker: w.id, Tasks: len(lost), Age: s.sinceLastSeen(w)})
	for _, r := range lost {
		s.emit(Decision{Event: eventer.RunLost, Job: r.Task.Job, Task: taskLabel(r.Task), Run: r.Run, Worker: w.id})
	}
}

// runRefs returns the runs that may exist on a worker, as far as this instance knows.
func (w *worker) runRefs() []RunRef {
	var out []RunRef
	for _, r := range w.ownRuns {
		out = append(out, RunRef{w.id, r.taskID, r.number})
	}
	for i := range w.foreignRuns {
		out = append(out, RunRef{w.id, w.foreignRuns[i].Task, w.foreignRuns[i].Run})
	}
	for i := range w.reservations {
		if p := &w.reservations[i]; p.starting {
			out = append(out, RunRef{w.id, p.key.task, p.key.run})
		}
	}
	return out
}
