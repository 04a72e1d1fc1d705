package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Each worker has a home: the living instance with the best right to it. The
// home alone polls it, prolongs its lease and knows its room; the others ask
// the home for a place before they start a task there. A place is advice, no
// lock: what keeps runs apart are their numbers, leases and proven stops.

// dealHomes gives each worker its home: of the living instances of its domain,
// or of all where there is none, the first by rendezvous hash, in proportion to
// their processor power. Nothing changes while the same instances live and the
// same workers are listed.
//
// An instance that has just started leaves the workers to others until it knows
// its peers: else, where a whole site starts, each would poll most workers.
func (s *Scheduler) dealHomes() {
	alive := s.sortedPeers()
	if up := s.now.Sub(s.started); up < settleTime || up < aloneTime && len(alive) == 0 {
		return
	}
	if slices.Equal(alive, s.alive) && !s.relisted {
		return
	}
	s.alive, s.relisted = alive, false
	s.homes = s.homes[:0]
	for _, w := range s.sorted {
		s.setHome(w, s.homeOf(w))
		if w.home == nil {
			s.homes = append(s.homes, w)
		}
	}
	s.changed = true
}

func (s *Scheduler) setHome(w *worker, home *peer) {
	if home == w.home && w.dealt {
		return
	}
	w.home, w.dealt = home, true
	w.places = nil
	if home != nil {
		s.setForeign(w, nil)
		s.visit(w)
		return
	}
	w.looked = false
	w.nextPoll = s.now
	s.do(Decision{Event: eventer.WorkerHome, Worker: w.id, Waiting: len(s.alive)})
}

// visit notes that this instance has runs on a worker that it is not the home
// of.
func (s *Scheduler) visit(w *worker) {
	if w.home != nil && len(w.own) > 0 && !slices.Contains(s.visited, w) {
		s.visited = append(s.visited, w)
	}
}

// eachNear calls a function for each worker that this instance has to look
// after: those that it is the home of, and those where it has runs.
func (s *Scheduler) eachNear(do func(*worker)) {
	for _, w := range s.homes {
		do(w)
	}
	s.visited = slices.DeleteFunc(s.visited, func(w *worker) bool { return w.home == nil || len(w.own) == 0 && !w.polling })
	for _, w := range s.visited {
		do(w)
	}
}

// homeOf returns the peer that is a worker's home, or nil for this instance.
// Instances that are leaving are nobody's home while others stay.
func (s *Scheduler) homeOf(w *worker) *peer {
	var best *peer
	bestClaim := claim{stays: !s.leaving, inDomain: s.Domain == w.domain, right: right(s.key, w.key, s.Power)}
	for _, p := range s.alive {
		c := claim{stays: !p.leaving, inDomain: p.domain == w.domain, right: right(p.key, w.key, p.power)}
		if c.beats(bestClaim) {
			best, bestClaim = p, c
		}
	}
	return best
}

// claim is what the right of an instance to a worker goes by, the most
// important first.
type claim struct {
	stays, inDomain bool
	right           float64
}

func (c claim) beats(o claim) bool {
	if c.stays != o.stays {
		return c.stays
	}
	if c.inDomain != o.inDomain {
		return c.inDomain
	}
	return c.right > o.right
}

// Leave has the workers of this instance go to other homes, while its jobs end.
func (s *Scheduler) Leave() {
	s.leaving = true
	s.relisted = true
}

// pollsWorker reports whether this instance polls a worker: where it is its
// home, and where it has runs that the home says nothing of.
func (s *Scheduler) pollsWorker(w *worker) bool {
	if w.home == nil {
		return w.listed || len(w.own) > 0
	}
	if len(w.own) == 0 {
		return false
	}
	if s.now.Sub(w.home.heard) > homeSilence {
		return true
	}
	return slices.ContainsFunc(w.own, func(r *run) bool { return r.stopping || r.lost || s.overdue(r) })
}

const (
	// settleTime is how long an instance that has started hears its peers
	// before it takes workers: hellos come each 50 to 130 ms, and those that it
	// is greeted with at once.
	settleTime = 100 * time.Millisecond
	// aloneTime is how long it waits where it hears nobody: where a whole site
	// starts, the instances that all others know may be the last, by 0.3 s.
	aloneTime = 400 * time.Millisecond
	// homeSilence is how long a home may be silent before an instance polls the
	// workers where it has runs itself.
	homeSilence = 250 * time.Millisecond
	// overdueFactor and overdueSlack say when a run should have ended: its home
	// has then been silent on it, or it is slow.
	overdueFactor = 1.5
	overdueSlack  = 60 * time.Millisecond
)

func (s *Scheduler) overdue(r *run) bool {
	return r.confirmed && s.now.Sub(r.begun) > time.Duration(overdueFactor*float64(r.predicted))+overdueSlack
}

// defaultPower stands for the power of an instance that doesn't tell it.
const defaultPower namer.MilliCores = namer.MilliPerCore

// right is the right of an instance to a worker: by the hashes of their names,
// in proportion to the instance's power (weighted rendezvous hashing).
func right(instance, worker uint64, power namer.MilliCores) float64 {
	if power <= 0 {
		power = defaultPower
	}
	const span = 1 << 53
	chance := (float64(mix(instance, worker)>>11) + 0.5) / span
	return -float64(power) / math.Log(chance)
}

// mix mixes two hashes with the finalizer of SplitMix64.
func mix(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
