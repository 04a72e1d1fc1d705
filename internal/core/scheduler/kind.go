package scheduler

import (
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// kind is what is learned of, and granted to, the jobs of one route.
//
// The order between kinds is start-time fair queueing: each has a virtual
// start time that advances by the work of each task that gets room at this home.
type kind struct {
	name namer.Kind
	// ratio is the smoothed run time over the declared one.
	ratio float64
	// cores is the smoothed declared size of tasks.
	cores float64
	// start is the virtual start time of the kind's next task, in core-seconds.
	start float64
}

const (
	// ratioShare is the weight of the newest run in the smoothed ratio.
	ratioShare = 0.05
	// maxRatio bounds what one run can teach.
	maxRatio = 4.0
	// defaultEstimate stands for a run time that a job doesn't declare.
	defaultEstimate = 200 * time.Millisecond
)

func (s *Scheduler) kind(name namer.Kind) *kind {
	k := s.kinds[name]
	if k == nil {
		k = &kind{name: name, ratio: 1, start: s.virtual}
		s.kinds[name] = k
	}
	return k
}

func (k *kind) learn(declared, took time.Duration) {
	if declared <= 0 {
		return
	}
	got := min(float64(took)/float64(declared), maxRatio)
	k.ratio += ratioShare * (got - k.ratio)
}

// predict returns the run time that a task is expected to have.
func (k *kind) predict(t *StepSpec) time.Duration {
	if t.Estimate <= 0 {
		return defaultEstimate
	}
	return time.Duration(k.ratio * float64(t.Estimate))
}

// charge charges a kind for a task that gets room.
func (s *Scheduler) charge(w *want) {
	k := w.kind
	if k.start < s.virtual {
		k.start = s.virtual
	}
	s.virtual = k.start
	k.start += w.cost
}
