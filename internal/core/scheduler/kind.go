package scheduler

import (
	"math"
	"time"

	"github.com/heatherslip/heatherslip/internal/core/admitter"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// kindState holds the learned run times and sizes of a kind.
type kindState struct {
	name namer.Kind
	// runTimeRatio is the smoothed ratio of actual to estimated run time.
	runTimeRatio float64
	// typicalCores is the smoothed number of milli-cores per task.
	typicalCores float64
	// runTimeError is the smoothed relative difference between actual and predicted
	// run times.
	runTimeError float64
	// sizes classifies the jobs of the kind by their work.
	sizes admitter.Sizes
	// patience decides which of the kind's jobs wait for room.
	patience admitter.Patience
}

const (
	// smoothingWeight is the weight of the newest value in a smoothed one.
	smoothingWeight = 0.05
	// maxRunTimeRatio limits the influence of a single run.
	maxRunTimeRatio = 4.0
	// defaultRunTime is the prediction for a task without an estimate.
	defaultRunTime = 200 * time.Millisecond
	// initialRunTimeError is assumed before any run of a kind has ended.
	initialRunTimeError = 0.25
)

// kindState returns the state of a kind, which it creates if needed.
func (s *Scheduler) kindState(name namer.Kind) *kindState {
	k := s.kinds[name]
	if k == nil {
		k = &kindState{name: name, runTimeRatio: 1, runTimeError: initialRunTimeError}
		s.kinds[name] = k
	}
	return k
}

func (k *kindState) observeRunTime(estimated, actual time.Duration) {
	if estimated <= 0 {
		return
	}
	ratio := min(float64(actual)/float64(estimated), maxRunTimeRatio)
	relativeError := math.Abs(ratio-k.runTimeRatio) / max(k.runTimeRatio, ratio)
	k.runTimeError += smoothingWeight * (relativeError - k.runTimeError)
	k.runTimeRatio += smoothingWeight * (ratio - k.runTimeRatio)
}

// predictRunTime returns the expected run time of a task.
func (k *kindState) predictRunTime(step *StepSpec) time.Duration {
	if step.EstimatedRunTime <= 0 {
		return defaultRunTime
	}
	return time.Duration(k.runTimeRatio * float64(step.EstimatedRunTime))
}
