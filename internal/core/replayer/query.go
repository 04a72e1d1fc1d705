package replayer

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// HasConfig reports whether a configuration has been published.
func (s *State) HasConfig() bool { return s.config.Revision > 0 }

// Config returns the current configuration.
func (s *State) Config() coder.SnapConfig { return s.config }

// Revisions returns the accepted revisions, oldest first, at most MaxRevisions.
func (s *State) Revisions() []coder.SnapRevision { return s.revisions }

// InitialDomains returns the domains of the first accepted revision, sorted.
// Keys that name no domain are distributed over them.
func (s *State) InitialDomains() []namer.Domain { return s.initialDomains }

// ViewOffset returns the offset at which the domain's current view began.
func (s *State) ViewOffset(d namer.Domain) namer.Offset { return s.viewOffsets[d] }

// HistoryLostUntil returns the time up to which the domain's history is
// incomplete, and whether any history was lost.
func (s *State) HistoryLostUntil(d namer.Domain) (time.Time, bool) {
	t, lost := s.historyLostUntil[d]
	return t, lost
}

// Member returns the member with this incarnation, and whether there is one.
func (s *State) Member(inc namer.Incarnation) (coder.Member, bool) {
	m, present := s.members[inc]
	if !present {
		return coder.Member{}, false
	}
	return m.Member, true
}

// Synced reports whether the member has synced in its domain's current view.
func (s *State) Synced(inc namer.Incarnation) bool {
	m, present := s.members[inc]
	return present && m.syncedView >= s.viewOffsets[m.Domain]
}

// EverSynced reports whether the member has synced in any view since it joined.
// Until then it accepts no submissions.
func (s *State) EverSynced(inc namer.Incarnation) bool {
	m, present := s.members[inc]
	return present && m.syncedView > 0
}

// Retired reports whether the member has stopped owning new submissions.
func (s *State) Retired(inc namer.Incarnation) bool {
	m, present := s.members[inc]
	return present && m.retired
}

// AllSynced reports whether every member of the domain has synced in its
// current view.
func (s *State) AllSynced(d namer.Domain) bool {
	for _, m := range s.members {
		if m.Domain == d && m.syncedView < s.viewOffsets[d] {
			return false
		}
	}
	return true
}

// Members returns the members of a domain sorted by incarnation, or all members
// if d is empty.
func (s *State) Members(d namer.Domain) []coder.Member {
	var out []coder.Member
	for _, m := range s.members {
		if d == "" || m.Domain == d {
			out = append(out, m.Member)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Incarnation < out[j].Incarnation })
	return out
}

// ClaimHolder returns the incarnation that holds the claim on a submission, and
// whether there is one.
func (s *State) ClaimHolder(id namer.ID) (namer.Incarnation, bool) {
	c, claimed := s.claims[id]
	return c.holder, claimed
}

// HomeDomain returns the failure domain whose members own the submission: the one
// that its key names, else the initial domain that the rendezvous hash ranks
// first.
func (s *State) HomeDomain(sub namer.Submission) namer.Domain {
	if home := sub.Key.HomeDomain(); home != "" {
		return home
	}
	return s.rendezvousHome(string(sub.ID()))
}

func (s *State) rendezvousHome(id string) namer.Domain {
	var best namer.Domain
	var bestWeight uint64
	for _, d := range s.initialDomains {
		if w := rendezvousWeight(string(d), id); best == "" || w > bestWeight {
			best, bestWeight = d, w
		}
	}
	return best
}

// OwnerAndSuccessor returns the owner and the successor of a submission: the
// members of its home domain that the rendezvous hash ranks first and second.
// Each is empty if there is none.
func (s *State) OwnerAndSuccessor(sub namer.Submission) (owner, successor namer.Incarnation) {
	return s.OwnerAndSuccessorIn(s.HomeDomain(sub), sub.ID())
}

// OwnerAndSuccessorIn is like OwnerAndSuccessor for a submission whose home
// domain is given.
func (s *State) OwnerAndSuccessorIn(home namer.Domain, id namer.ID) (owner, successor namer.Incarnation) {
	var ownerWeight, successorWeight uint64
	for inc, m := range s.members {
		if m.Domain != home || m.retired {
			continue
		}
		w := rendezvousWeight(string(inc), string(id))
		switch {
		case owner == "" || w > ownerWeight || (w == ownerWeight && inc < owner):
			successor, successorWeight = owner, ownerWeight
			owner, ownerWeight = inc, w
		case successor == "" || w > successorWeight || (w == successorWeight && inc < successor):
			successor, successorWeight = inc, w
		}
	}
	return owner, successor
}

func rendezvousWeight(candidate, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(candidate)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key)
	return d.Sum64()
}
