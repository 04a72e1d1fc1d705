// Package router chooses the minion for each request. The slots of each
// minion are split among the entry instances of its domain, so that instances
// which do not see one another's work never fill a minion together beyond its
// slots; idle shares are lent.
package router

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

const (
	// quarantineAfter is how many failures in a row set a minion aside.
	quarantineAfter = 4
	firstQuarantine = time.Second
	maxQuarantine   = time.Minute
	// refusedPause keeps new work off a minion that said it is full.
	refusedPause   = 20 * time.Millisecond
	firstLoanPause = 250 * time.Millisecond
	maxLoanPause   = 8 * time.Second
	// loanRecovery is how many good borrowed slots undo most of a pause.
	loanRecovery = 16
)

// Minion is a row of the table of minions.
type Minion struct {
	Name    namer.Minion
	Service namer.Service
	Domain  namer.Domain
	Slots   int
	// Leaving minions get no new request.
	Leaving bool
	// InFlight counts this instance's requests there; it never exceeds Share
	// plus what is borrowed.
	InFlight int
	// Share is this instance's part of Slots.
	Share int

	failures   int
	relapses   int
	pauseUntil time.Time
	asideUntil time.Time
}

// Router holds the minions that this instance may use.
type Router struct {
	self    namer.Incarnation
	minions map[namer.Minion]*Minion
	// sorted lists the minions by name.
	sorted []*Minion
	peers  []namer.Incarnation
	loans  map[namer.Service]*loan
	rng    *rand.Rand
}

// loan is what may be borrowed of the slots of others, for one service.
type loan struct {
	// limit is how many requests may be in flight beyond the shares, and out
	// how many are.
	limit, out int
	// pause grows with each borrowed slot that turned out to be taken, and
	// until ends it.
	pause time.Duration
	until time.Time
}

// New returns a router without minions.
func New(self namer.Incarnation, rng *rand.Rand) *Router {
	return &Router{
		self:    self,
		minions: make(map[namer.Minion]*Minion),
		loans:   make(map[namer.Service]*loan),
		rng:     rng,
	}
}

// SetPeers tells which instances, this one included, share the minions.
func (r *Router) SetPeers(self namer.Incarnation, peers []namer.Incarnation) {
	r.self = self
	r.peers = peers
	for _, m := range r.sorted {
		m.Share = r.share(m)
	}
}

// Update adds a minion or takes in the platform's newest word on it.
func (r *Router) Update(m Minion) {
	row, found := r.minions[m.Name]
	if !found {
		row = &Minion{Name: m.Name, Service: m.Service, Domain: m.Domain}
		r.minions[m.Name] = row
		r.sorted = append(r.sorted, row)
		sort.Slice(r.sorted, func(i, j int) bool { return r.sorted[i].Name < r.sorted[j].Name })
	}
	row.Slots = m.Slots
	row.Leaving = row.Leaving || m.Leaving
	row.Share = r.share(row)
}

// Retain forgets the minions for which keep returns false.
func (r *Router) Retain(keep func(namer.Minion) bool) {
	kept := r.sorted[:0]
	for _, m := range r.sorted {
		if keep(m.Name) {
			kept = append(kept, m)
			continue
		}
		delete(r.minions, m.Name)
	}
	r.sorted = kept
}

// Get returns a minion's row, or nil.
func (r *Router) Get(name namer.Minion) *Minion { return r.minions[name] }

// All lists the minions by name.
func (r *Router) All() []*Minion { return r.sorted }

// share deals the minion's slots out one by one over the instances, which
// stand in an order that differs from minion to minion.
func (r *Router) share(m *Minion) int {
	n := len(r.peers)
	if n == 0 {
		return 1
	}
	base := m.Slots / n
	if r.rank(m) < m.Slots%n {
		base++
	}
	return base
}

func (r *Router) rank(m *Minion) int {
	own := peerWeight(r.self, m.Name)
	rank := 0
	for _, p := range r.peers {
		if p != r.self && peerWeight(p, m.Name) > own {
			rank++
		}
	}
	return rank
}

func peerWeight(p namer.Incarnation, m namer.Minion) uint64 {
	return xxhash.Sum64String(string(p) + "\x00" + string(m))
}

// Slots returns how many requests of a service this instance's shares hold.
func (r *Router) Slots(s namer.Service) int {
	total := 0
	for _, m := range r.sorted {
		if m.Service == s && !m.Leaving {
			total += m.Share
		}
	}
	return total
}

// Idle returns how many slots of its shares this instance leaves unused.
func (r *Router) Idle(s namer.Service) int {
	idle := 0
	for _, m := range r.sorted {
		if m.Service == s && !m.Leaving && m.InFlight < m.Share {
			idle += m.Share - m.InFlight
		}
	}
	return idle
}

// Lend says how many slots of others this instance may borrow.
func (r *Router) Lend(s namer.Service, slots int) { r.loan(s).limit = slots }

func (r *Router) loan(s namer.Service) *loan {
	l, found := r.loans[s]
	if !found {
		l = &loan{}
		r.loans[s] = l
	}
	return l
}

// Pick returns the minion for a request and counts the request there, or nil.
// Own shares go first, the emptiest first; a borrowed slot comes after, for a
// request that was not refused before.
func (r *Router) Pick(now time.Time, s namer.Service, not namer.Minion) *Minion {
	best := r.emptiest(now, s, not, 0)
	l := r.loan(s)
	if best == nil && not == "" && l.out < l.limit && !now.Before(l.until) {
		best = r.emptiest(now, s, not, 1)
		if best != nil {
			l.out++
		}
	}
	if best != nil {
		best.InFlight++
	}
	return best
}

func (r *Router) emptiest(now time.Time, s namer.Service, not namer.Minion, beyond int) *Minion {
	n := len(r.sorted)
	if n == 0 {
		return nil
	}
	var best *Minion
	first := r.rng.IntN(n)
	for i := range r.sorted {
		m := r.sorted[(first+i)%n]
		if m.Service != s || m.Name == not || !m.usable(now) || m.InFlight >= min(m.Share+beyond, m.Slots) {
			continue
		}
		if best == nil || m.Share-m.InFlight > best.Share-best.InFlight {
			best = m
		}
	}
	return best
}

func (m *Minion) usable(now time.Time) bool {
	return !m.Leaving && !now.Before(m.pauseUntil) && !now.Before(m.asideUntil)
}

// Done counts a request's end.
func (r *Router) Done(name namer.Minion) {
	m := r.minions[name]
	if m == nil || m.InFlight == 0 {
		return
	}
	if l := r.loan(m.Service); m.InFlight > m.Share && l.out > 0 {
		l.out--
	}
	m.InFlight--
}

// Refused notes that a minion was full, or is leaving. It is called before
// Done, while the request still counts there. A borrowed slot that was taken
// after all ends borrowing for a while, twice as long each time.
func (r *Router) Refused(now time.Time, name namer.Minion, leaving bool) {
	m := r.minions[name]
	if m == nil {
		return
	}
	m.pauseUntil = now.Add(refusedPause)
	m.Leaving = m.Leaving || leaving
	if l := r.loan(m.Service); m.InFlight > m.Share {
		l.pause = min(max(2*l.pause, firstLoanPause), maxLoanPause)
		l.until = now.Add(l.pause)
	}
}

// Judge counts an answer towards the minion's standing, and returns true
// where this sets the minion aside.
func (r *Router) Judge(now time.Time, name namer.Minion, ok bool) bool {
	m := r.minions[name]
	if m == nil {
		return false
	}
	if ok {
		m.failures = 0
		m.relapses = 0
		r.repaid(m)
		return false
	}
	m.failures++
	if m.failures < quarantineAfter {
		return false
	}
	pause := firstQuarantine << min(m.relapses, 6)
	m.relapses++
	m.asideUntil = now.Add(min(pause, maxQuarantine))
	return true
}

// repaid shortens the pause after a borrowed slot that was free.
func (r *Router) repaid(m *Minion) {
	if l := r.loan(m.Service); m.InFlight >= m.Share && l.pause > 0 {
		l.pause -= l.pause / loanRecovery
	}
}
