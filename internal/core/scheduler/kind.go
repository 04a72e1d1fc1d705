package scheduler

import (
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// kindState holds the learned run times and the fair-queueing state of a kind.
//
// Capacity is shared between kinds by start-time fair queueing: each kind has a
// virtual start time that advances by the work of each task that gets capacity
// on a worker of this instance.
type kindState struct {
	name namer.Kind
	// runTimeRatio is the smoothed ratio of actual to estimated run time.
	runTimeRatio float64
	// typicalCores is the smoothed number of milli-cores per task.
	typicalCores float64
	// virtualStart is the virtual start time of the next task, in core-seconds.
	virtualStart float64
}

const (
	// smoothingWeight is the weight of the newest value in a smoothed one.
	smoothingWeight = 0.05
	// maxRunTimeRatio limits the influence of a single run.
	maxRunTimeRatio = 4.0
	// defaultRunTime is the prediction for a task without an estimate.
	defaultRunTime = 200 * time.Millisecond
)

// kindState returns the state of a kind, which it creates if needed.
func (s *Scheduler) kindState(name namer.Kind) *kindState {
	k := s.kinds[name]
	if k == nil {
		k = &kindState{name: name, runTimeRatio: 1, virtualStart: s.virtualTime}
		s.kinds[name] = k
	}
	return k
}

func (k *kindState) observeRunTime(estimated, actual time.Duration) {
	if estimated <= 0 {
		return
	}
	ratio := min(float64(actual)/float64(estimated), maxRunTimeRatio)
	k.runTimeRatio += smoothingWeight * (ratio - k.runTimeRatio)
}

// predictRunTime returns the expected run time of a task.
func (k *kindState) predictRunTime(step *StepSpec) time.Duration {
	if step.EstimatedRunTime <= 0 {
		return defaultRunTime
	}
	return time.Duration(k.runTimeRatio * float64(step.EstimatedRunTime))
}

// chargeKind advances the virtual time for a task that gets capacity.
func (s *Scheduler) chargeKind(request *placementRequest) {
	kind := request.kind
	if kind.virtualStart < s.virtualTime {
		kind.virtualStart = s.virtualTime
	}
	s.virtualTime = kind.virtualStart
	kind.virtualStart += request.work
}
