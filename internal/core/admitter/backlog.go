package admitter

import "time"

// Backlog is the work that waits for the workers of one service at one owner, by kind. The
// zero value is ready to use.
type Backlog struct {
	// ahead is the work that gets capacity before any other.
	ahead float64
	kinds []kindBacklog
}

type kindBacklog struct {
	kind *kindShare
	work float64
}

// Reset removes all work.
func (b *Backlog) Reset() { b.ahead, b.kinds = 0, b.kinds[:0] }

// AddAhead adds work of started jobs, in core-seconds.
func (b *Backlog) AddAhead(work float64) { b.ahead += work }

// Add adds waiting work of a flow, in core-seconds.
func (b *Backlog) Add(f *Flow, work float64) {
	for i := range b.kinds {
		if b.kinds[i].kind == f.kind {
			b.kinds[i].work += work
			return
		}
	}
	b.kinds = append(b.kinds, kindBacklog{f.kind, work})
}

// maxPredictedWait bounds predictions. No caller waits for that long.
const maxPredictedWait = time.Minute

// Wait predicts when the work of a flow's kind that waits now has got capacity, on workers
// with the given number of cores. Until then, each other kind gets its share by weight, but
// no more than it has waiting.
func (b *Backlog) Wait(f *Flow, cores float64) time.Duration {
	own := 0.0
	for _, k := range b.kinds {
		if k.kind == f.kind {
			own = k.work / k.kind.weight
		}
	}
	if cores <= 0 {
		return maxPredictedWait
	}
	served := b.ahead
	for _, k := range b.kinds {
		served += min(k.work, own*k.kind.weight)
	}
	return time.Duration(min(served/cores, maxPredictedWait.Seconds()) * float64(time.Second))
}
