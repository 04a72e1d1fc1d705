// Package router chooses the minion for each request. The slots of each minion
// are split among the entry instances of its failure domain. No instance sees
// the requests of the others, and the split keeps them from exceeding a minion's
// slots together. An instance may also borrow slots that others leave idle.
package router

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

const (
	// failureThreshold is how many consecutive failures quarantine a minion.
	failureThreshold = 4
	// initialQuarantine doubles with each further quarantine, up to
	// maxQuarantine.
	initialQuarantine = time.Second
	maxQuarantine     = time.Minute
	// refusalBackoff is how long a minion that refused a request gets no new
	// ones.
	refusalBackoff = 20 * time.Millisecond
	// initialBorrowBackoff doubles with each refusal of a borrowed slot, up to
	// maxBorrowBackoff.
	initialBorrowBackoff = 250 * time.Millisecond
	maxBorrowBackoff     = 8 * time.Second
	// borrowBackoffDecay: each successful use of a borrowed slot shortens the
	// backoff by 1/borrowBackoffDecay, so about that many undo most of it.
	borrowBackoffDecay = 16
)

// Router holds the minions that this instance may use and assigns requests to
// them.
type Router struct {
	self    namer.Incarnation
	minions map[namer.Minion]*Minion
	// minionsByName is sorted by name.
	minionsByName      []*Minion
	peers              []namer.Incarnation
	borrowingByService map[namer.Service]*borrowing
	rng                *rand.Rand
}

// Minion holds the state of one minion.
type Minion struct {
	Name    namer.Minion
	Service namer.Service
	Domain  namer.Domain
	// Slots is how many requests the minion serves at once.
	Slots int
	// Draining is set once the minion is draining. It then gets no new requests.
	Draining bool
	// InFlight counts this instance's requests on the minion. It exceeds
	// SlotShare only by borrowed slots.
	InFlight int
	// SlotShare is how many of Slots belong to this instance.
	SlotShare int

	consecutiveFailures int
	quarantines         int
	backoffUntil        time.Time
	quarantinedUntil    time.Time
}

// borrowing holds how many slots of other instances this instance uses for one
// service.
type borrowing struct {
	// maxBorrowed is how many requests may be in flight beyond the slot shares,
	// and borrowed is how many are.
	maxBorrowed, borrowed int
	// backoff grows with each borrowed slot that turns out to be in use. Nothing
	// is borrowed until backoffUntil.
	backoff      time.Duration
	backoffUntil time.Time
}

// New returns a router without minions.
func New(self namer.Incarnation, rng *rand.Rand) *Router {
	return &Router{
		self:               self,
		minions:            make(map[namer.Minion]*Minion),
		borrowingByService: make(map[namer.Service]*borrowing),
		rng:                rng,
	}
}

// SetPeers sets the instances that share the minions. peers includes self.
func (r *Router) SetPeers(self namer.Incarnation, peers []namer.Incarnation) {
	r.self = self
	r.peers = peers
	for _, m := range r.minionsByName {
		m.SlotShare = r.slotShare(m)
	}
}

// UpsertMinion adds a minion, or updates it from its newest entry in the
// platform's list. A minion that is draining stays so.
func (r *Router) UpsertMinion(listed Minion) {
	m, found := r.minions[listed.Name]
	if !found {
		m = &Minion{Name: listed.Name, Service: listed.Service, Domain: listed.Domain}
		r.minions[listed.Name] = m
		r.minionsByName = append(r.minionsByName, m)
		sort.Slice(r.minionsByName, func(i, j int) bool { return r.minionsByName[i].Name < r.minionsByName[j].Name })
	}
	m.Slots = listed.Slots
	m.Draining = m.Draining || listed.Draining
	m.SlotShare = r.slotShare(m)
}

// RetainMinions deletes the minions for which keep returns false.
func (r *Router) RetainMinions(keep func(namer.Minion) bool) {
	kept := r.minionsByName[:0]
	for _, m := range r.minionsByName {
		if keep(m.Name) {
			kept = append(kept, m)
			continue
		}
		delete(r.minions, m.Name)
	}
	r.minionsByName = kept
}

// Minion returns the minion with this name, or nil.
func (r *Router) Minion(name namer.Minion) *Minion { return r.minions[name] }

// Minions returns the minions sorted by name.
func (r *Router) Minions() []*Minion { return r.minionsByName }

// slotShare returns this instance's part of the minion's slots. They are divided
// evenly; the remainder goes to the instances that rank first for this minion by
// rendezvous hash.
func (r *Router) slotShare(m *Minion) int {
	n := len(r.peers)
	if n == 0 {
		return 1
	}
	share := m.Slots / n
	if r.peerRank(m) < m.Slots%n {
		share++
	}
	return share
}

// peerRank returns how many peers have a higher rendezvous weight for the minion
// than this instance.
func (r *Router) peerRank(m *Minion) int {
	ownWeight := rendezvousWeight(r.self, m.Name)
	rank := 0
	for _, p := range r.peers {
		if p != r.self && rendezvousWeight(p, m.Name) > ownWeight {
			rank++
		}
	}
	return rank
}

func rendezvousWeight(peer namer.Incarnation, m namer.Minion) uint64 {
	return xxhash.Sum64String(string(peer) + "\x00" + string(m))
}

// OwnSlots returns how many requests for a service fit in this instance's slot
// shares.
func (r *Router) OwnSlots(s namer.Service) int {
	total := 0
	for _, m := range r.minionsByName {
		if m.Service == s && !m.Draining {
			total += m.SlotShare
		}
	}
	return total
}

// IdleSlots returns how many slots of its own shares this instance does not
// use.
func (r *Router) IdleSlots(s namer.Service) int {
	idle := 0
	for _, m := range r.minionsByName {
		if m.Service == s && !m.Draining && m.InFlight < m.SlotShare {
			idle += m.SlotShare - m.InFlight
		}
	}
	return idle
}

// SetBorrowLimit sets how many slots of other instances this instance may
// borrow.
func (r *Router) SetBorrowLimit(s namer.Service, slots int) { r.borrowingFor(s).maxBorrowed = slots }

func (r *Router) borrowingFor(s namer.Service) *borrowing {
	b, found := r.borrowingByService[s]
	if !found {
		b = &borrowing{}
		r.borrowingByService[s] = b
	}
	return b
}

// PickMinion returns the minion for a request and reserves a slot on it, or
// returns nil if no slot is free. It takes the minion with the most free slots
// of this instance's share. Only if there is none, it borrows a slot, and only
// for a request that has not been sent before (excluded is empty).
func (r *Router) PickMinion(now time.Time, s namer.Service, excluded namer.Minion) *Minion {
	best := r.leastLoaded(now, s, excluded, 0)
	b := r.borrowingFor(s)
	if best == nil && excluded == "" && b.borrowed < b.maxBorrowed && !now.Before(b.backoffUntil) {
		best = r.leastLoaded(now, s, excluded, 1)
		if best != nil {
			b.borrowed++
		}
	}
	if best != nil {
		best.InFlight++
	}
	return best
}

// leastLoaded returns the minion with the most free slots within this instance's
// share plus extraSlots, or nil.
func (r *Router) leastLoaded(now time.Time, s namer.Service, excluded namer.Minion, extraSlots int) *Minion {
	n := len(r.minionsByName)
	if n == 0 {
		return nil
	}
	var best *Minion
	first := r.rng.IntN(n)
	for i := range r.minionsByName {
		m := r.minionsByName[(first+i)%n]
		if m.Service != s || m.Name == excluded || !m.acceptsRequests(now) || m.InFlight >= min(m.SlotShare+extraSlots, m.Slots) {
			continue
		}
		if best == nil || m.SlotShare-m.InFlight > best.SlotShare-best.InFlight {
			best = m
		}
	}
	return best
}

func (m *Minion) acceptsRequests(now time.Time) bool {
	return !m.Draining && !now.Before(m.backoffUntil) && !now.Before(m.quarantinedUntil)
}

// ReleaseSlot releases the slot of a request that has ended.
func (r *Router) ReleaseSlot(name namer.Minion) {
	m := r.minions[name]
	if m == nil || m.InFlight == 0 {
		return
	}
	if b := r.borrowingFor(m.Service); m.InFlight > m.SlotShare && b.borrowed > 0 {
		b.borrowed--
	}
	m.InFlight--
}

// RecordRefusal records that a minion refused a request because it was full or
// is draining. Call it before ReleaseSlot, while InFlight still includes the
// request. The refusal of a borrowed slot stops borrowing for a backoff that
// doubles each time.
func (r *Router) RecordRefusal(now time.Time, name namer.Minion, draining bool) {
	m := r.minions[name]
	if m == nil {
		return
	}
	m.backoffUntil = now.Add(refusalBackoff)
	m.Draining = m.Draining || draining
	if b := r.borrowingFor(m.Service); m.InFlight > m.SlotShare {
		b.backoff = min(max(2*b.backoff, initialBorrowBackoff), maxBorrowBackoff)
		b.backoffUntil = now.Add(b.backoff)
	}
}

// RecordAnswer records the outcome of a request and returns true if the minion
// is quarantined for it. Call it after ReleaseSlot.
func (r *Router) RecordAnswer(now time.Time, name namer.Minion, ok bool) bool {
	m := r.minions[name]
	if m == nil {
		return false
	}
	if ok {
		m.consecutiveFailures = 0
		m.quarantines = 0
		r.shortenBorrowBackoff(m)
		return false
	}
	m.consecutiveFailures++
	if m.consecutiveFailures < failureThreshold {
		return false
	}
	duration := initialQuarantine << min(m.quarantines, 6)
	m.quarantines++
	m.quarantinedUntil = now.Add(min(duration, maxQuarantine))
	return true
}

// shortenBorrowBackoff shortens the backoff after a successful request on a
// borrowed slot. ReleaseSlot has already been called for the request, so its slot
// was borrowed if InFlight is still at least SlotShare.
func (r *Router) shortenBorrowBackoff(m *Minion) {
	if b := r.borrowingFor(m.Service); m.InFlight >= m.SlotShare && b.backoff > 0 {
		b.backoff -= b.backoff / borrowBackoffDecay
	}
}
