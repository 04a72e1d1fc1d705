// Package registrar keeps the roster of a site's instances. It decides which of them
// own the workers of a failure domain, and to which of them this instance sends
// heartbeats. It is deterministic: the caller passes the time and does all I/O.
//
// The owners of a domain are its strongest instances, as many as its workers need.
// Each instance decides for itself whether it is one of them, from the heartbeats of
// those that rank above it; two instances that decide differently for a while cost
// capacity and nothing else. Heartbeats are frequent between an owner and the
// instances that it works with, and rare otherwise, so that an instance's cost does
// not grow with the site. Owners send their state to few owners of each other domain,
// which relay it to the instances of theirs.
package registrar

import (
	"net/netip"
	"slices"
	"time"

	"github.com/heatherslip/heatherslip/internal/core/balancer"
	"github.com/heatherslip/heatherslip/internal/core/hasher"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

const (
	// Frequent heartbeats are sent at an interval of heartbeatIntervalPerTarget for
	// each receiver, within the two bounds.
	minHeartbeatInterval       = 100 * time.Millisecond
	heartbeatIntervalPerTarget = 4 * time.Millisecond
	maxHeartbeatInterval       = 130 * time.Millisecond
	// rareInterval is the interval of heartbeats between an owner and an instance of
	// its domain that it does not work with.
	rareInterval = time.Second
	// SilenceTimeout is how long an instance whose heartbeats are frequent may be
	// silent: three of them have to be lost in a row. silentIntervals is the same for
	// rare ones, as a multiple of their interval.
	SilenceTimeout  = 400 * time.Millisecond
	silentIntervals = 2.5
	// PauseThreshold is the time between two steps above which this instance was
	// paused. Others are not silent because it did not listen.
	PauseThreshold = 250 * time.Millisecond
	// relayTimeout is the age at which a relayed state is outdated. Relays come with
	// rare heartbeats too.
	relayTimeout = SilenceTimeout + 2*rareInterval
	// relayPeriod is how many rounds of heartbeats there are to one that goes to other
	// domains, and that relays the owners of other domains.
	relayPeriod = 2
	// partnerLinger is how long heartbeats stay frequent after the last common work.
	partnerLinger = time.Second
	// contactsPerDomain is the number of owners of each other domain that an owner
	// sends its state to. With two, the loss of one leaves no gap.
	contactsPerDomain = 2
	// deputies is the number of instances after the owners that receive frequent
	// heartbeats, so that they can replace an owner at once.
	deputies = 2
	// ownedWorkersPerCore is how many workers an owner takes for each core that it may
	// use, and minOwners the least number of owners in a domain.
	ownedWorkersPerCore = 50
	minOwners           = 2
	// claimGrace is how long those that rank after an instance wait for it to become an
	// owner. Its first heartbeat as an owner may take rareInterval to arrive.
	claimGrace = 2 * time.Second
	// candidateTimeout is the age at which a listed sign of life is outdated. Owners
	// list those that are next to become owners once in rareInterval, and hear from
	// them as often.
	candidateTimeout = 3500 * time.Millisecond
	// partnerSilence is the silence of an owner after which the instances that have
	// runs on its workers turn to all owners of its domain.
	partnerSilence = 250 * time.Millisecond
	// contactRounds is the number of rounds after which an owner tries other contacts
	// in a domain of which it knows no owner.
	contactRounds = 5
	// releaseDelay is how long an owner must have been superfluous before it gives up
	// its workers.
	releaseDelay = 2 * time.Second
	// startupDelay is how long a new instance discovers others before it becomes an
	// owner; isolatedStartupDelay replaces it while nobody is heard: when a whole site
	// starts, the seeds may come up last, after up to 0.3 s.
	startupDelay         = 100 * time.Millisecond
	isolatedStartupDelay = 400 * time.Millisecond
	// checkInterval is how often the roster is checked for silent owners, and
	// expiryInterval how often for members to be logged or removed.
	checkInterval  = 50 * time.Millisecond
	expiryInterval = 250 * time.Millisecond
	// memberExpiry is how long an instance without a sign of life stays in the roster.
	memberExpiry = time.Minute
	// maxListedMembers and maxRelayedOwners bound what one heartbeat lists, so that it
	// fits into a datagram.
	maxListedMembers = 24
	maxRelayedOwners = 12
	// maxJoinTargets bounds the members that a joining instance turns to in one round,
	// besides the seeds.
	maxJoinTargets = 6
)

// Settings describe this instance. They do not change.
type Settings struct {
	Name     string
	Addr     netip.Addr
	Domain   namer.Domain
	CPULimit namer.MilliCores
}

// State is what the caller of Step knows about this instance.
type State struct {
	RunTag    namer.RunTag
	Draining  bool
	FreeCores map[namer.Service][]namer.MilliCores
	// Load is that of the workers that this instance owns; nil if it owns none.
	Load *balancer.Load
	// DomainWorkers is the number of workers in this instance's domain.
	DomainWorkers int
	// Partners are the names of the instances that it works with: it has runs on
	// their workers, or they have runs on its own.
	Partners []string
}

// Owner is an instance that owns workers.
type Owner struct {
	Name     string
	Domain   namer.Domain
	CPULimit namer.MilliCores
}

// Notice is an entry of the decision log.
type Notice struct {
	Event eventer.Event
	// Peer is the instance concerned; empty for this one.
	Peer string
	// Silence is how long the peer was silent.
	Silence time.Duration
	// Owners is the number of live owners of this instance's domain.
	Owners int
}

// Registrar keeps the roster. It is not safe for concurrent use. Create one with New.
type Registrar struct {
	Settings
	now       time.Time
	startedAt time.Time
	steppedAt time.Time
	state     State
	seeds     []netip.Addr
	self      member
	// members is keyed by address; sorted lists the same in a fixed order.
	members map[netip.Addr]*member
	sorted  []*member
	byName  map[string]*member
	// isOwner is set while this instance owns workers.
	isOwner bool
	// superfluousSince is when enough instances that rank above this owner were
	// first found; zero if there are too few.
	superfluousSince time.Time
	// owners are the live owners but this one, in the order of their addresses.
	owners        []Owner
	ownersChanged bool
	notices       []Notice
	// replaced are incarnations that have ended, since another one runs at their
	// address.
	replaced []string
	// heard holds the names of the members whose silence is to be logged.
	heard map[string]bool
	// farewells are members that are to be told at once that this instance owns no
	// workers any more.
	farewells []*member
	// newPartners are members with which this instance has begun to work.
	newPartners []*member
	// replies are members that are to receive a list at once.
	replies   []*member
	nextRound time.Time
	lastCheck time.Time
	expiredAt time.Time
	// announcing is set when the next round has to spread a change of owners to all
	// instances of the domain.
	announcing bool
	round      int
	// listedAt is when members were last listed to the frequent targets, probedAt when
	// addresses were last probed.
	listedAt, probedAt time.Time
	// listCursor is the position in sorted from which members are listed next.
	listCursor int
}

// New returns a registrar that knows only the seeds, which may be down.
func New(s Settings, seeds []netip.Addr, now time.Time) *Registrar {
	r := &Registrar{
		Settings: s, now: now, startedAt: now, steppedAt: now, members: make(map[netip.Addr]*member), byName: make(map[string]*member),
		heard: make(map[string]bool),
	}
	r.self = member{addr: s.Addr, addrHash: hasher.Addr(s.Addr), name: s.Name, domain: s.Domain, cpuLimit: s.CPULimit}
	r.AddSeeds(seeds)
	return r
}

// AddSeeds adds addresses of instances, which may be down.
func (r *Registrar) AddSeeds(seeds []netip.Addr) {
	for _, addr := range seeds {
		if addr != r.Addr && !slices.Contains(r.seeds, addr) {
			r.seeds = append(r.seeds, addr)
		}
	}
}

// UpdateState updates the state that heartbeats report.
func (r *Registrar) UpdateState(now time.Time, state State) {
	r.now = now
	if state.Draining != r.state.Draining {
		r.lastCheck, r.nextRound = time.Time{}, now
	}
	if len(r.state.FreeCores) == 0 && len(state.FreeCores) > 0 {
		// The first capacity after a start; others have calls waiting for it.
		r.announcing, r.nextRound = true, now
	}
	r.state = state
	for _, name := range state.Partners {
		r.AddPartner(name)
	}
}

// Announce has the state of this instance sent at the next step, by an owner to all
// instances of its domain and its contacts in others.
func (r *Registrar) Announce() { r.announcing, r.nextRound = true, r.now }

// AddPartner records that this instance works with another one.
func (r *Registrar) AddPartner(name string) {
	m := r.byName[name]
	if m == nil {
		return
	}
	if !r.isPartner(m) {
		r.newPartners = append(r.newPartners, m)
	}
	m.partneredAt = r.now
}

// Step updates the roles and returns the heartbeats to send. now must not go
// backwards between calls.
func (r *Registrar) Step(now time.Time) []Transmission {
	if pause := now.Sub(r.steppedAt); pause >= PauseThreshold {
		r.excludePause(now, pause)
	}
	r.now, r.steppedAt = now, now
	if now.Sub(r.lastCheck) >= checkInterval {
		r.lastCheck = now
		if now.Sub(r.expiredAt) >= expiryInterval {
			r.expiredAt = now
			r.expireMembers()
		}
		if r.updateRole() {
			r.nextRound = now
		}
		r.updateOwners()
	}
	out := r.sendReplies()
	if now.Before(r.nextRound) {
		return append(out, r.greetPartners()...)
	}
	return append(out, r.sendRound()...)
}

// excludePause moves the times of the last signs of life by the length of a pause,
// during which this instance did not listen. What has been handled since then is news.
func (r *Registrar) excludePause(now time.Time, pause time.Duration) {
	for _, m := range r.sorted {
		for _, t := range []*time.Time{&m.heardAt, &m.relayedAt, &m.aliveAt} {
			if !t.IsZero() {
				*t = earlier(t.Add(pause), now)
			}
		}
	}
}

// IsOwner reports whether this instance owns workers.
func (r *Registrar) IsOwner() bool { return r.isOwner }

// TakeOwners returns the live owners but this instance. The second result is false if
// neither they nor IsOwner have changed since the last call.
func (r *Registrar) TakeOwners() ([]Owner, bool) {
	if !r.ownersChanged {
		return nil, false
	}
	r.ownersChanged = false
	return slices.Clone(r.owners), true
}

// TakeReplaced returns the names of the incarnations that have been found to have
// ended since the last call.
func (r *Registrar) TakeReplaced() []string {
	out := r.replaced
	r.replaced = nil
	return out
}

// TakeNotices returns the notices since the last call.
func (r *Registrar) TakeNotices() []Notice {
	out := r.notices
	r.notices = nil
	return out
}

// AddrOf returns the address of an instance by its name, and whether it is known.
func (r *Registrar) AddrOf(name string) (netip.Addr, bool) {
	m := r.byName[name]
	if m == nil {
		return netip.Addr{}, false
	}
	return m.addr, true
}

// HandleMessage records that a message of an instance has arrived, so that it can be
// answered even if no heartbeat came before.
func (r *Registrar) HandleMessage(name string, from netip.Addr) {
	if from == r.Addr || r.byName[name] != nil {
		return
	}
	if m := r.addMember(from); m.formerName != name {
		r.setName(m, name)
	}
}

// HandleHeartbeat records a heartbeat that was sent at sentAt. It reports whether it is
// news; one of an incarnation that was replaced is not.
func (r *Registrar) HandleHeartbeat(now, sentAt time.Time, h *Heartbeat) bool {
	r.now = now
	if h.SourceAddr == r.Addr || h.Name == r.Name {
		return false
	}
	m := r.addMember(h.SourceAddr)
	if m.formerName == h.Name {
		return false
	}
	isNew := m.name != h.Name || m.heardAt.IsZero()
	r.setName(m, h.Name)
	if r.isOwner && h.Owner && !m.owner && h.Domain != r.Domain {
		r.announcing, r.nextRound = true, now
	}
	m.domain, m.cpuLimit, m.runTag, m.draining, m.owner = h.Domain, h.CPULimit, h.RunTag, h.Draining, h.Owner
	m.freeCores, m.load, m.interval = h.FreeCores, h.Load, h.Interval
	m.heardAt, m.aliveAt = later(m.heardAt, sentAt), later(m.aliveAt, sentAt)
	if isNew || h.Joining {
		r.replies = append(r.replies, m)
	}
	if m.interval == 0 {
		delete(r.heard, m.name)
	}
	if !r.heard[m.name] && m.interval > 0 && (m.owner || r.isOwner && m.domain == r.Domain) {
		r.heard[m.name] = true
		r.notices = append(r.notices, Notice{Event: eventer.PeerReachable, Peer: m.name})
	}
	r.handleOwnerSummaries(sentAt, h.Owners)
	r.handleMemberSummaries(h.Members)
	return true
}

// handleOwnerSummaries records the state of owners of other domains, as of a heartbeat that
// was sent at heartbeatAt.
func (r *Registrar) handleOwnerSummaries(heartbeatAt time.Time, owners []OwnerSummary) {
	for i := range owners {
		o := &owners[i]
		if o.Addr == r.Addr || o.Domain == r.Domain || !o.Addr.Is4() || o.Age < 0 {
			continue
		}
		m := r.addMember(o.Addr)
		sentAt := heartbeatAt.Add(-o.Age)
		if m.formerName == o.Name || !sentAt.After(m.lastState()) {
			continue
		}
		r.setName(m, o.Name)
		m.domain, m.cpuLimit, m.runTag, m.freeCores, m.load = o.Domain, o.CPULimit, o.RunTag, o.FreeCores, o.Load
		m.owner, m.draining = true, false
		m.relayedAt = sentAt
		m.aliveAt = later(m.aliveAt, sentAt)
	}
}

// handleMemberSummaries adds the listed instances to the roster.
func (r *Registrar) handleMemberSummaries(members []MemberSummary) {
	for i := range members {
		s := &members[i]
		if s.Addr == r.Addr || !s.Addr.Is4() || s.Age < 0 || s.Age > memberExpiry {
			continue
		}
		m := r.addMember(s.Addr)
		if m.heardAt.IsZero() && m.relayedAt.IsZero() {
			m.domain, m.cpuLimit, m.draining, m.owner = s.Domain, s.CPULimit, s.Draining, s.Owner
		}
		m.aliveAt = later(m.aliveAt, r.now.Add(-s.Age))
	}
}

func (r *Registrar) addMember(addr netip.Addr) *member {
	m := r.members[addr]
	if m != nil {
		return m
	}
	m = &member{addr: addr, addrHash: hasher.Addr(addr), listedAt: r.now, aliveAt: r.now}
	r.members[addr] = m
	i, _ := slices.BinarySearchFunc(r.sorted, addr, func(m *member, addr netip.Addr) int { return m.addr.Compare(addr) })
	r.sorted = slices.Insert(r.sorted, i, m)
	return m
}

// setName records the incarnation that runs at a member's address.
func (r *Registrar) setName(m *member, name string) {
	if m.name == name {
		return
	}
	if m.name != "" {
		delete(r.byName, m.name)
		r.replaced = append(r.replaced, m.name)
		m.formerName = m.name
		m.heardAt, m.relayedAt, m.listedAt = time.Time{}, time.Time{}, r.now
	}
	if old := r.byName[name]; old != nil {
		// The instance has a new address.
		old.name = ""
	}
	m.name = name
	r.byName[name] = m
}

// isHeard reports whether a member's heartbeats arrive.
func (r *Registrar) isHeard(m *member) bool {
	return !m.heardAt.IsZero() && r.now.Sub(m.heardAt) < m.silenceLimit()
}

// isLive reports whether a member is alive as far as is known, from its own
// heartbeats or from relayed ones.
func (r *Registrar) isLive(m *member) bool {
	return r.isHeard(m) || !m.relayedAt.IsZero() && r.now.Sub(m.relayedAt) < relayTimeout
}

// expireMembers removes the members without a sign of life, and logs those that have
// become silent.
func (r *Registrar) expireMembers() {
	r.sorted = slices.DeleteFunc(r.sorted, func(m *member) bool {
		if m.name != "" && r.heard[m.name] && !m.heardAt.IsZero() && !r.isHeard(m) && r.now.Sub(m.heardAt) > rareInterval {
			delete(r.heard, m.name)
			r.notices = append(r.notices, Notice{Event: eventer.PeerUnreachable, Peer: m.name, Silence: r.now.Sub(m.heardAt)})
		}
		if r.now.Sub(m.aliveAt) <= memberExpiry {
			return false
		}
		delete(r.members, m.addr)
		if r.byName[m.name] == m {
			delete(r.byName, m.name)
		}
		return true
	})
}

// updateRole decides whether this instance owns workers. It reports whether that has
// changed.
func (r *Registrar) updateRole() bool {
	needed := r.isNeeded()
	if needed {
		r.superfluousSince = time.Time{}
	} else if r.superfluousSince.IsZero() {
		r.superfluousSince = r.now
	}
	switch {
	case needed && !r.isOwner && r.hasDiscoveredPeers():
		r.setOwner(true, eventer.OwnershipClaimed)
	case r.isOwner && !needed && (r.state.Draining || r.now.Sub(r.superfluousSince) >= releaseDelay):
		r.setOwner(false, eventer.OwnershipReleased)
	default:
		return false
	}
	return true
}

func (r *Registrar) setOwner(isOwner bool, e eventer.Event) {
	if !isOwner {
		r.farewells = r.recentTargets()
	}
	r.isOwner, r.ownersChanged, r.announcing = isOwner, true, true
	r.notices = append(r.notices, Notice{Event: e, Owners: r.domainOwners()})
}

// domainOwners returns the number of live owners of this instance's domain,
// including itself.
func (r *Registrar) domainOwners() int {
	n := 0
	if r.isOwner {
		n = 1
	}
	for _, m := range r.sorted {
		if m.owner && m.domain == r.Domain && r.isHeard(m) {
			n++
		}
	}
	return n
}

// hasDiscoveredPeers reports whether a new instance has had the time to hear of the
// others.
func (r *Registrar) hasDiscoveredPeers() bool {
	uptime := r.now.Sub(r.startedAt)
	return uptime >= isolatedStartupDelay || uptime >= startupDelay && len(r.byName) > 0
}

// isNeeded reports whether the instances of this domain that rank above this one are
// too few to own its workers. A draining instance is needed only if no other live
// instance stays.
func (r *Registrar) isNeeded() bool {
	if r.state.Draining && slices.ContainsFunc(r.sorted, func(m *member) bool { return !m.draining && r.isLive(m) }) {
		return false
	}
	count, cpuLimit := 0, namer.MilliCores(0)
	isEnough := func() bool {
		return count >= minOwners && int(cpuLimit)*ownedWorkersPerCore >= r.state.DomainWorkers*namer.MilliCoresPerCore
	}
	for _, m := range r.ranked(r.Domain) {
		if isEnough() || !m.outranks(&r.self) {
			m.expectedAt = time.Time{}
			continue
		}
		if m.owner && r.isHeard(m) || r.isExpected(m) {
			count++
			cpuLimit += m.cpuLimit
		}
	}
	return !isEnough()
}

// isExpected reports whether a member that ranks above this instance, and is needed as
// an owner, can be expected to become one soon.
func (r *Registrar) isExpected(m *member) bool {
	if m.owner || !r.isCandidate(m) {
		m.expectedAt = time.Time{}
		return false
	}
	if m.expectedAt.IsZero() {
		m.expectedAt = r.now
	}
	return r.now.Sub(m.expectedAt) < claimGrace
}

// isListedOwner reports whether a member of which no heartbeat has arrived is listed as
// a live owner.
func (r *Registrar) isListedOwner(m *member) bool {
	return m.owner && m.heardAt.IsZero() && r.now.Sub(m.aliveAt) < candidateTimeout
}

// isCandidate reports whether a member may become an owner: it is not draining, and
// it is alive by what is heard or listed. An owner that is silent is not.
func (r *Registrar) isCandidate(m *member) bool {
	return !m.draining && !m.owner && m.domain != "" && r.now.Sub(m.aliveAt) < candidateTimeout
}

// updateOwners updates the list of live owners. Draining owners count only if there
// are no others.
func (r *Registrar) updateOwners() {
	var owners, draining []Owner
	for _, m := range r.sorted {
		if !m.owner || m.name == "" || !r.isLive(m) {
			continue
		}
		o := Owner{Name: m.name, Domain: m.domain, CPULimit: m.cpuLimit}
		if m.draining {
			draining = append(draining, o)
		} else {
			owners = append(owners, o)
		}
	}
	if len(owners) == 0 && (!r.isOwner || r.state.Draining) {
		owners = draining
	}
	if !slices.Equal(owners, r.owners) {
		r.owners, r.ownersChanged = owners, true
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
