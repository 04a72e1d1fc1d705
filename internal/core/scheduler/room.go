package scheduler

import (
	"time"

	"github.com/heatherslip/heatherslip/internal/core/admitter"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// serviceBacklog is the work that waits for the owned workers of a service.
type serviceBacklog struct {
	admitter.Backlog
	// cores is the capacity of the usable workers.
	cores namer.MilliCores
}

const (
	// maxExpectedWait bounds the waits that peers predict.
	maxExpectedWait = time.Minute
	// maxRequestTime bounds the run times and timeouts in requests of peers.
	maxRequestTime = time.Minute
)

// updateBacklogs counts what waits for the owned workers, once in a step.
func (s *Scheduler) updateBacklogs() {
	if s.backlogAt.Equal(s.now) {
		return
	}
	s.backlogAt = s.now
	for _, b := range s.backlogs {
		b.Reset()
		b.cores = 0
	}
	for _, w := range s.ownedWorkers {
		if s.isUsable(w) {
			s.backlogOf(w.service).cores += w.capacity.Cores
		}
	}
	for _, j := range s.openJobs {
		urgency, _ := s.urgencyOf(j)
		kind := s.kindState(j.Kind)
		for _, t := range j.tasks {
			if t.state == taskWaiting && j.isReady(t) {
				s.addBacklog(j.Service, j.flow, urgency, taskCoreSeconds(t.step.Size, kind.predictRunTime(t.step)))
			}
		}
	}
	for i := range s.pendingRequests {
		if r := &s.pendingRequests[i]; !r.reserved {
			s.addBacklog(r.Service, r.flow, r.Urgency, taskCoreSeconds(r.Size, r.step.EstimatedRunTime))
		}
	}
}

func (s *Scheduler) backlogOf(service namer.Service) *serviceBacklog {
	b := s.backlogs[service]
	if b == nil {
		b = &serviceBacklog{}
		s.backlogs[service] = b
	}
	return b
}

// addBacklog adds the work of a waiting task. The task waits at several owners, of which
// one will run it.
func (s *Scheduler) addBacklog(service namer.Service, flow *admitter.Flow, urgency urgencyClass, work float64) {
	work /= float64(min(maxRequestedOwners, len(s.owners)+1))
	switch urgency {
	case urgencyStarted:
		s.backlogOf(service).AddAhead(work)
	case urgencyNew:
		s.backlogOf(service).Add(flow, work)
	}
}

// expectedWait predicts how long new work of a flow waits for the owned workers. The result
// is maxExpectedWait if there are none.
func (s *Scheduler) expectedWait(service namer.Service, flow *admitter.Flow) time.Duration {
	s.updateBacklogs()
	b := s.backlogOf(service)
	return min(b.Wait(flow, float64(b.cores)/namer.MilliCoresPerCore), maxExpectedWait)
}

// predictedWait returns how long it takes until all waiting tasks of an unstarted job
// probably have capacity. The second result is false before enough owners have said so.
func (s *Scheduler) predictedWait(j *job) (time.Duration, bool) {
	latest := s.now
	for _, t := range j.tasks {
		if !j.isReady(t) {
			continue
		}
		if t.queuedOwners < min(maxRequestedOwners, len(s.owners)) || t.roomAt.IsZero() && len(s.ownedWorkers) == 0 {
			return 0, false
		}
		if t.roomAt.After(latest) {
			latest = t.roomAt
		}
	}
	wait := latest.Sub(s.now)
	if len(s.ownedWorkers) > 0 {
		own := s.expectedWait(j.Service, j.flow)
		if len(s.owners) == 0 {
			return own, true
		}
		wait = min(wait, own)
	}
	return wait, true
}

// recordExpectedRoom records when an owner that has no free capacity expects some, and
// decides again whether the job waits.
func (s *Scheduler) recordExpectedRoom(t *task, wait time.Duration) {
	t.queuedOwners++
	roomAt := s.now.Add(min(max(wait, 0), maxExpectedWait))
	if t.roomAt.IsZero() || roomAt.Before(t.roomAt) {
		t.roomAt = roomAt
	}
	s.reconsiderJob(t.job)
}

// recordWait records whether a job that was left to wait has got room.
func (s *Scheduler) recordWait(j *job, gotRoom bool) {
	if j.waitReported {
		s.kindState(j.Kind).patience.Observe(s.now, gotRoom)
	}
}

// reconsiderJob refuses an unstarted job that will probably find no room in time, and logs
// the wait of any other one.
func (s *Scheduler) reconsiderJob(j *job) {
	if j.placed || j.mayHaveStarted() || j.closed {
		return
	}
	wait, known := s.predictedWait(j)
	if !known {
		return
	}
	j.predictedWait = wait
	left := j.startBy.Sub(s.now)
	if !s.kindState(j.Kind).patience.ShouldWait(s.now, wait, left) {
		s.refuseJob(j, Refused, "no room predicted in time")
		return
	}
	if !j.waitReported {
		j.waitReported = true
		s.emitJobDecision(eventer.JobWaiting, j, Decision{
			Reason: "owners have no free capacity", WaitingTasks: j.waitingTasks(), RequestedOwners: j.requestedOwnerCount(),
			PredictedWait: wait, LongestWait: left, Kind: j.Kind, Priority: j.Priority, SizeClass: j.sizeClass,
		})
	}
}
