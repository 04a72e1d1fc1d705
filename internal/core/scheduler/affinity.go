package scheduler

import (
	"slices"
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// A task with data in a rack takes SpreadFactor times as long elsewhere. It is placed by
// its finish time: in the rack as long as a worker there is free, else elsewhere at once.
// Since the workers of a rack have several owners, a task first asks these, and gets
// capacity elsewhere once they have answered. docs/design/affinity.md has the rationale.

// rackPatience is the longest time for which a task gets capacity only in its data's
// rack: until the answers of the rack's owners, or that of a second one if the first
// message is lost.
const rackPatience = 2 * reserveTimeout

const (
	// maxSpreadFactor bounds the SpreadFactor in the settings.
	maxSpreadFactor = 100
	// maxNearDataTime bounds a prediction by a peer; longer ones make no difference.
	maxNearDataTime = time.Hour
)

// rackKey identifies the workers of a service that have a label.
type rackKey struct {
	service namer.Service
	label   string
}

// runTimeAt returns the predicted run time of a task on a worker, from that near its data.
func (s *Scheduler) runTimeAt(w *worker, step *StepSpec, nearData time.Duration) time.Duration {
	if s.isNearData(w, step) {
		return nearData
	}
	return time.Duration(s.spreadFactor() * float64(min(nearData, maxNearDataTime)))
}

// isNearData reports whether a worker is as good as any for the data of a step.
func (s *Scheduler) isNearData(w *worker, step *StepSpec) bool {
	return step.DataRack == "" || w.hasLabel(step.DataRack)
}

// spreadFactor returns the SpreadFactor in the settings within its bounds.
func (s *Scheduler) spreadFactor() float64 {
	if s.SpreadFactor > 1 {
		return min(s.SpreadFactor, maxSpreadFactor)
	}
	return 1
}

// nearDataTime converts the run time of a run to that near its data.
func (s *Scheduler) nearDataTime(r *run, t *task, runTime time.Duration) time.Duration {
	if s.isNearData(r.worker, t.step) {
		return runTime
	}
	return time.Duration(float64(runTime) / s.spreadFactor())
}

// rackOwner is a peer that owns workers with a label.
type rackOwner struct {
	peer *peer
	// fullUntil is until when the peer counts as having no free worker there.
	fullUntil time.Time
}

// rackOwnersOf returns the peers that own workers of a service in a rack. The caller may
// change the entries.
func (s *Scheduler) rackOwnersOf(service namer.Service, rack string) []rackOwner {
	if s.rackOwners == nil {
		s.rackOwners = make(map[rackKey][]rackOwner)
		for _, w := range s.sortedWorkers {
			s.indexRacks(w)
		}
	}
	return s.rackOwners[rackKey{service, rack}]
}

func (s *Scheduler) indexRacks(w *worker) {
	if !w.listed || w.owner == nil {
		return
	}
	for _, label := range w.labels {
		key := rackKey{w.service, label}
		if !slices.ContainsFunc(s.rackOwners[key], func(o rackOwner) bool { return o.peer == w.owner }) {
			s.rackOwners[key] = append(s.rackOwners[key], rackOwner{peer: w.owner})
		}
	}
}

// mayHaveRoom reports whether an owner may have a free worker of a service in a rack.
func (s *Scheduler) mayHaveRoom(o *rackOwner, service namer.Service) bool {
	return !s.now.Before(o.fullUntil) && s.isAdvertising(o.peer, service)
}

// patienceFor returns how long a task of a step gets capacity only in its data's rack:
// not longer than the time that is lost elsewhere.
func (s *Scheduler) patienceFor(step *StepSpec, nearData time.Duration) time.Duration {
	if step.DataRack == "" {
		return 0
	}
	return min(rackPatience, time.Duration((s.spreadFactor()-1)*float64(min(max(0, nearData), maxNearDataTime))))
}

// keepsToRack reports whether a waiting task gets capacity only in its data's rack. It
// does while the peers that own workers there, and may have room, have not answered.
func (s *Scheduler) keepsToRack(t *task) bool {
	if t.step.DataRack == "" {
		return false
	}
	if t.rackUntil.IsZero() {
		t.rackUntil = s.now
		if slices.ContainsFunc(s.rackOwnersOf(t.job.Service, t.step.DataRack), func(o rackOwner) bool { return s.mayHaveRoom(&o, t.job.Service) }) {
			t.rackUntil = s.now.Add(s.patienceFor(t.step, s.kindState(t.job.Kind).predictRunTime(t.step)))
		}
	}
	return s.isBefore(t.rackUntil)
}

// isBefore reports whether a time has not come yet, and has tasks placed then.
func (s *Scheduler) isBefore(t time.Time) bool {
	if !s.now.Before(t) {
		return false
	}
	if s.rackRetryAt.IsZero() || t.Before(s.rackRetryAt) {
		s.rackRetryAt = t
	}
	return true
}

// recordRackFull records that an owner has no free worker in the rack of a task's data.
// It isn't asked for one again soon. Once all that were asked say so, the task gets
// capacity anywhere.
func (s *Scheduler) recordRackFull(p *peer, t *task) {
	if !s.now.Before(t.rackUntil) {
		return
	}
	owners := s.rackOwnersOf(t.job.Service, t.step.DataRack)
	if i := slices.IndexFunc(owners, func(o rackOwner) bool { return o.peer == p }); i >= 0 {
		owners[i].fullUntil = s.now.Add(rackPatience)
	}
	if t.rackRefusals++; t.rackRefusals >= len(t.requestedOwners) {
		t.rackUntil = s.now
	}
}

// selectRackOwners returns the owners to ask for a worker in the rack of a task's data,
// which are asked once.
func (s *Scheduler) selectRackOwners(t *task) []*peer {
	t.awaitingAdvertiser = false
	if len(t.requestedOwners) > 0 {
		return nil
	}
	var candidates []*peer
	owners := s.rackOwnersOf(t.job.Service, t.step.DataRack)
	for i := range owners {
		if s.mayHaveRoom(&owners[i], t.job.Service) {
			candidates = append(candidates, owners[i].peer)
		}
	}
	return pickOwners(candidates, min(maxRequestedOwners, len(candidates)), t.hash())
}
