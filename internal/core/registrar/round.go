package registrar

import (
	"net/netip"
	"slices"
	"time"

	"github.com/heatherslip/heatherslip/internal/core/hasher"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// sendRound returns the heartbeats of one round and schedules the next one.
func (r *Registrar) sendRound() []Transmission {
	r.round++
	frequent := r.frequentTargets()
	interval := min(max(minHeartbeatInterval, time.Duration(len(frequent))*heartbeatIntervalPerTarget), maxHeartbeatInterval)
	r.nextRound = r.now.Add(interval)
	var local, partners, contacts []*member
	for _, m := range frequent {
		switch {
		case m.domain == r.Domain:
			local = append(local, m)
		case r.isPartner(m):
			partners = append(partners, m)
		default:
			contacts = append(contacts, m)
		}
	}
	out := r.appendTransmission(nil, r.farewells, r.heartbeat(0))
	r.farewells = nil
	if r.round%relayPeriod == 0 || r.announcing {
		out = r.appendTransmission(out, contacts, r.heartbeat(relayPeriod*interval))
	}
	h := r.heartbeat(interval)
	out = r.appendTransmission(out, partners, h)
	switch {
	case !r.isOwner:
	case r.now.Sub(r.listedAt) >= rareInterval:
		r.listedAt = r.now
		h.Members = r.listMembers(r.Domain)
	case r.round%relayPeriod == 0 || r.announcing:
		h.Owners = r.relayedOwners()
	}
	out = r.appendTransmission(out, local, h)
	out = append(out, r.rareHeartbeats()...)
	r.announcing = false
	return append(out, r.probes()...)
}

// heartbeat returns this instance's state, without lists.
func (r *Registrar) heartbeat(interval time.Duration) Heartbeat {
	return Heartbeat{
		Domain: r.Domain, RunTag: r.state.RunTag, FreeCores: r.state.FreeCores, Load: r.state.Load, Draining: r.state.Draining, CPULimit: r.CPULimit, Owner: r.isOwner,
		Interval: interval, Joining: r.IsJoining(),
	}
}

// IsJoining reports whether this instance neither owns workers nor knows an owner of its
// domain.
func (r *Registrar) IsJoining() bool {
	return !r.isOwner && !slices.ContainsFunc(r.owners, func(o Owner) bool { return o.Domain == r.Domain })
}

func (r *Registrar) appendTransmission(out []Transmission, targets []*member, h Heartbeat) []Transmission {
	if len(targets) == 0 {
		return out
	}
	t := Transmission{Heartbeat: h}
	for _, m := range targets {
		m.sentAt, m.sentInterval = r.now, h.Interval
		t.To = append(t.To, m.addr)
	}
	return append(out, t)
}

// frequentTargets returns the members that receive each round of heartbeats: the
// partners, and for an owner the other owners of its domain, their deputies and its
// contacts in other domains.
func (r *Registrar) frequentTargets() []*member {
	contacts := make(map[*member]bool)
	silentDomains := make(map[namer.Domain]bool)
	deputiesLeft := 0
	if r.isOwner {
		r.addContacts(contacts)
		deputiesLeft = deputies
	}
	for _, m := range r.sorted {
		if r.isPartner(m) && m.owner && !m.heardAt.IsZero() && r.now.Sub(m.heardAt) > partnerSilence {
			silentDomains[m.domain] = true
		}
	}
	for _, m := range r.ranked(r.Domain) {
		if !m.owner && deputiesLeft > 0 && r.isCandidate(m) {
			deputiesLeft--
			contacts[m] = true
		}
	}
	var out []*member
	for _, m := range r.sorted {
		isOwnerOfDomain := m.owner && r.isLive(m) && (r.isOwner && m.domain == r.Domain || silentDomains[m.domain])
		if r.isPartner(m) || contacts[m] || isOwnerOfDomain {
			out = append(out, m)
		}
	}
	return out
}

// isPartner reports whether the member works with this instance.
func (r *Registrar) isPartner(m *member) bool {
	return !m.partneredAt.IsZero() && r.now.Sub(m.partneredAt) < partnerLinger
}

// addContacts selects the owners of each other domain that receive this owner's
// state, by rendezvous hashing; where no owner is known, any members.
func (r *Registrar) addContacts(contacts map[*member]bool) {
	type choice struct {
		owners, others []*member
	}
	byDomain := make(map[namer.Domain]*choice)
	for _, m := range r.sorted {
		if m.domain == r.Domain || m.domain == "" {
			continue
		}
		c := byDomain[m.domain]
		if c == nil {
			c = &choice{}
			byDomain[m.domain] = c
		}
		if m.owner && r.isLive(m) {
			c.owners = append(c.owners, m)
		} else {
			c.others = append(c.others, m)
		}
	}
	for _, c := range byDomain {
		candidates := c.owners
		if len(candidates) == 0 {
			candidates = c.others
		}
		slices.SortFunc(candidates, func(a, b *member) int {
			if r.contactRank(a) < r.contactRank(b) {
				return -1
			}
			return 1
		})
		for _, m := range candidates[:min(contactsPerDomain, len(candidates))] {
			contacts[m] = true
		}
	}
}

// contactRank orders the candidates for a contact, differently at each owner. Those
// that may be down change with the time.
func (r *Registrar) contactRank(m *member) uint64 {
	salt := r.self.addrHash
	if !m.owner || !r.isLive(m) {
		salt += uint64(r.round / contactRounds)
	}
	return hasher.Mix(salt, m.addrHash)
}

// recentTargets returns the members that expect heartbeats of this instance.
func (r *Registrar) recentTargets() []*member {
	var out []*member
	for _, m := range r.sorted {
		if m.sentInterval > 0 && r.now.Sub(m.sentAt) <= m.sentInterval {
			out = append(out, m)
		}
	}
	return out
}

// rareHeartbeats returns those between owners and the other instances of the domain.
// Owners list members in them.
func (r *Registrar) rareHeartbeats() []Transmission {
	var targets []*member
	for _, m := range r.sorted {
		if m.domain != r.Domain || m.sentAt.Equal(r.now) || r.now.Sub(m.aliveAt) > memberExpiry/2 {
			continue
		}
		// A member that received frequent heartbeats until now is told that they get rare.
		if !r.announcing && m.sentInterval >= rareInterval && r.now.Sub(m.sentAt) < rareInterval {
			continue
		}
		if r.isOwner || m.owner && r.isLive(m) || r.isListedOwner(m) {
			targets = append(targets, m)
		}
	}
	h := r.heartbeat(rareInterval)
	if !r.isOwner || len(targets) == 0 {
		return r.appendTransmission(nil, targets, h)
	}
	h.Owners = r.relayedOwners()
	out := r.appendTransmission(nil, targets, h)
	h.Owners, h.Members = nil, r.listMembers(r.Domain)
	return r.appendTransmission(out, targets, h)
}

// probes returns heartbeats to addresses that are not known to be alive. A joining or
// isolated instance sends them in each round to find the others; another instance
// sends one a second, so that two groups of instances that were cut off from each
// other find each other again.
func (r *Registrar) probes() []Transmission {
	isSearching := r.IsJoining() || len(r.owners) == 0
	if !isSearching && r.now.Sub(r.probedAt) < rareInterval {
		return nil
	}
	r.probedAt = r.now
	h := r.heartbeat(0)
	if r.isOwner {
		h.Members = r.listMembers(r.Domain)
	}
	var addrs []netip.Addr
	for _, addr := range r.seeds {
		if m := r.members[addr]; m == nil || !r.isLive(m) {
			addrs = append(addrs, addr)
		}
	}
	limit := 1
	if isSearching {
		limit = len(r.seeds) + maxJoinTargets
	} else if len(addrs) > 0 {
		addrs = addrs[r.round%len(addrs):][:1]
	}
	for n := range r.sorted {
		m := r.sorted[(r.round*maxJoinTargets+n)%len(r.sorted)]
		if len(addrs) >= limit {
			break
		}
		if !r.isLive(m) && !slices.Contains(addrs, m.addr) {
			addrs = append(addrs, m.addr)
		}
	}
	if len(addrs) == 0 {
		return nil
	}
	return []Transmission{{To: addrs, Heartbeat: h}}
}

// sendReplies returns heartbeats with lists for the members that have just been heard
// for the first time or that are joining.
func (r *Registrar) sendReplies() []Transmission {
	var out []Transmission
	for _, m := range r.replies {
		h := r.heartbeat(0)
		// Two joining instances must not answer each other's answers.
		h.Joining = false
		h.Members = r.listMembers(m.domain)
		out = r.appendTransmission(out, []*member{m}, h)
	}
	r.replies = r.replies[:0]
	return out
}

// greetPartners returns heartbeats for new partners that did not receive one recently,
// so that their first messages come from an instance that they know.
func (r *Registrar) greetPartners() []Transmission {
	targets := slices.DeleteFunc(r.newPartners, func(m *member) bool { return r.now.Sub(m.sentAt) < maxHeartbeatInterval })
	r.newPartners = nil
	return r.appendTransmission(nil, targets, r.heartbeat(maxHeartbeatInterval))
}

// relayedOwners summarizes the owners of other domains that this instance hears
// directly, as many as fit into a heartbeat.
func (r *Registrar) relayedOwners() []OwnerSummary {
	var out []OwnerSummary
	for n := range r.sorted {
		m := r.sorted[(r.round*maxRelayedOwners+n)%len(r.sorted)]
		if len(out) >= maxRelayedOwners {
			break
		}
		if !m.owner || m.draining || m.domain == r.Domain || !r.isHeard(m) || r.now.Sub(m.heardAt) >= SilenceTimeout {
			continue
		}
		out = append(out, OwnerSummary{
			Name: m.name, Addr: m.addr, Domain: m.domain, RunTag: m.runTag, CPULimit: m.cpuLimit, FreeCores: m.freeCores, Load: m.load,
			Age: r.now.Sub(m.heardAt),
		})
	}
	return out
}

// listMembers lists members of a domain: first those that own its workers or are next
// to do so, then others in turn, and members of other domains as far as there is
// space.
func (r *Registrar) listMembers(domain namer.Domain) []MemberSummary {
	var out []MemberSummary
	listed := make(map[*member]bool)
	add := func(m *member) {
		if len(out) < maxListedMembers && !listed[m] && m.domain != "" {
			listed[m] = true
			out = append(out, MemberSummary{
				Addr: m.addr, Domain: m.domain, CPULimit: m.cpuLimit, Draining: m.draining, Owner: m.owner && r.isLive(m),
				Age: max(0, r.now.Sub(m.aliveAt)),
			})
		}
	}
	for _, m := range r.ranked(domain) {
		if m.owner && r.isLive(m) {
			add(m)
		}
	}
	for n, m := range r.ranked(domain) {
		if n < maxListedMembers/2 {
			add(m)
		}
	}
	for n := range r.sorted {
		if m := r.sorted[(r.listCursor+n)%len(r.sorted)]; m.domain == domain {
			add(m)
		}
	}
	for n := range r.sorted {
		add(r.sorted[(r.listCursor+n)%len(r.sorted)])
	}
	r.listCursor += maxListedMembers / 2
	return out
}

// ranked returns the members of a domain that are not known to be dead, those that
// own workers first before others come first.
func (r *Registrar) ranked(domain namer.Domain) []*member {
	var out []*member
	for _, m := range r.sorted {
		if m.domain == domain && (r.isCandidate(m) || m.owner && r.isLive(m)) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *member) int {
		if a.outranks(b) {
			return -1
		}
		return 1
	})
	return out
}
