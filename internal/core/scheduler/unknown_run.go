package scheduler

import (
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// A run that a worker lists under the run tag of an instance, and that this instance doesn't
// know, was given up: its start was carried out late, beside the run that has replaced it. The
// owner of the worker would extend its lease, as the instance is alive. So the instance tells
// the owner, which stops the run.

// ownRun returns a run of this instance, nil if it doesn't know the run on that worker.
func (s *Scheduler) ownRun(ref RunRef) *run {
	if r := s.runs[runKey{ref.Task, ref.Run}]; r != nil && r.worker.id == ref.Worker {
		return r
	}
	return nil
}

// disownRun tells the owner of a worker that this instance doesn't know a run there that has
// its run tag. The owner stops it.
func (s *Scheduler) disownRun(owner *peer, ref RunRef) {
	out := s.outboxOf(owner)
	out.UnknownRuns = append(out.UnknownRuns, ref)
}

// handleUnknownRun stops a run on an owned worker that its instance doesn't know.
func (s *Scheduler) handleUnknownRun(p *peer, ref RunRef) {
	w := s.workers[ref.Worker]
	if w == nil || !w.owned || s.peersByTag[ref.Run.Tag()] != p {
		return
	}
	if i := w.foreignIndex(runKey{ref.Task, ref.Run}); i >= 0 && w.foreignRuns[i].listed && !w.foreignRuns[i].unknown {
		f := &w.foreignRuns[i]
		f.unknown = true
		s.logUnknownRun(w.id, f)
		s.stopForeignRun(w, f)
	}
}

// findUnknownRuns marks the listed runs of an owned worker that have the run tag of this
// instance.
func (s *Scheduler) findUnknownRuns(w *worker) {
	for i := range w.foreignRuns {
		if f := &w.foreignRuns[i]; f.listed && !f.unknown && f.Run.Tag() == s.RunTag {
			f.unknown = true
			s.logUnknownRun(w.id, f)
		}
	}
}

func (s *Scheduler) logUnknownRun(id namer.Worker, f *foreignRun) {
	s.emit(Decision{Event: eventer.RunUnknown, Job: f.Task.Job, Task: taskLabel(f.Task), Run: f.Run, Worker: id})
}
