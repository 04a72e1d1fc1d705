package scheduler

import (
	"slices"
	"time"

	"github.com/heatherslip/heatherslip/internal/core/holder"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
)

// followStart records the phases of this instance's start that have ended.
func (s *Scheduler) followStart() {
	if s.holder.HasReached(holder.Capacity) {
		return
	}
	if len(s.sortedWorkers) > 0 {
		s.reach(holder.WorkerList)
	}
	if s.isOwner || len(s.owners) > 0 {
		s.reach(holder.Owners)
	}
	if s.UsableWorkers() > 0 || slices.ContainsFunc(s.owners, s.isAdvertisingAny) {
		s.reach(holder.Capacity)
	}
}

// isAdvertisingAny reports whether a peer has recently advertised workers.
func (s *Scheduler) isAdvertisingAny(p *peer) bool {
	return len(p.freeCores) > 0 && s.now.Sub(p.advertisedAt) <= p.advertisedFor
}

// reach records the end of a phase of this instance's start.
func (s *Scheduler) reach(p holder.Phase) {
	if duration, first := s.holder.Reach(p, s.now); first {
		s.emit(Decision{Event: eventer.StartPhaseEnded, Reason: p.String(), Age: duration, Owners: len(s.owners)})
	}
}

// refuseWhileStarting decides what becomes of a job that arrives while this instance
// starts. It reports whether it has refused the job; otherwise the job waits for longer
// than it would later on, and yields to others once it is late (urgencyOf).
func (s *Scheduler) refuseWhileStarting(j *job) bool {
	s.deductWait(j)
	if !s.holder.IsStarting(s.now) {
		return false
	}
	d := s.holder.Decide(holder.Call{
		RunTime: j.criticalPath(s.kindState(j.Kind).runTimeRatio), ObjectiveAt: j.objectiveAt, UselessAt: earlier(j.usefulUntil, j.deadline),
	}, s.now)
	if d.Hold {
		j.startBy, j.held = d.StartBy, true
	}
	if !d.Refuse {
		return false
	}
	const reason = "this instance has only just started"
	s.emitJobDecision(eventer.JobRefused, j, Decision{Reason: reason, Owners: len(s.owners), UsableWorkers: s.UsableWorkers()})
	s.sendResult(j, JobResult{Outcome: Unavailable, RetryAfter: max(time.Millisecond, d.RetryAfter), Reason: reason})
	s.closeJob(j)
	return true
}

// deductWait takes the time that a call has waited for the configuration from the time
// of its job.
func (s *Scheduler) deductWait(j *job) {
	if j.Waited <= 0 {
		return
	}
	for _, t := range []*time.Time{&j.arrivedAt, &j.objectiveAt, &j.usefulUntil, &j.deadline, &j.startBy} {
		*t = t.Add(-j.Waited)
	}
}
