package admitter

import "time"

const (
	// A job that waited in vain multiplies the limit by vainFactor, one that got room by
	// roomFactor. The limit rests where about half of the jobs are held in vain: below that,
	// refusing at once costs more jobs that would have had room than it spares others.
	vainFactor = 0.9
	roomFactor = 1.1
	// minLimit and maxLimit bound the limit, which is maxLimit while nothing is known.
	minLimit = 0.1
	maxLimit = 3.0
	// patienceTime is how long the limit outlasts the last wait. A flood lasts for seconds.
	patienceTime = 5 * time.Second
)

// Patience decides which jobs of a kind wait for room, given what predictions have been
// worth lately. The backlog of an owner tells neither how free capacity is split among
// workers, nor what arrives while a job waits, nor what becomes free at other owners. The
// zero value is ready to use.
type Patience struct {
	// limit is the largest predicted wait with which a job waits, over the time that it has
	// left.
	limit      float64
	observedAt time.Time
}

func (p *Patience) limitAt(now time.Time) float64 {
	if p.limit == 0 || now.Sub(p.observedAt) > patienceTime {
		return maxLimit
	}
	return p.limit
}

// Observe records the end of a wait.
func (p *Patience) Observe(now time.Time, gotRoom bool) {
	factor := vainFactor
	if gotRoom {
		factor = roomFactor
	}
	p.limit = min(max(factor*p.limitAt(now), minLimit), maxLimit)
	p.observedAt = now
}

// ShouldWait reports whether a job that may wait for the time left probably gets room by
// then. If not, it is better refused at once: its caller can do something else.
func (p *Patience) ShouldWait(now time.Time, predicted, left time.Duration) bool {
	return predicted <= time.Duration(p.limitAt(now)*float64(max(0, left)))
}
