package viewer

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Ready reports whether a configuration is in force.
func (s *State) Ready() bool { return s.config.Revision > 0 }

// Config returns the configuration in force.
func (s *State) Config() coder.SnapConfig { return s.config }

// History lists the accepted revisions, oldest first.
func (s *State) History() []coder.SnapRevision { return s.history }

// Domains returns the founding domains.
func (s *State) Domains() []namer.Domain { return s.domains }

// View returns the offset at which the domain's present view began.
func (s *State) View(d namer.Domain) namer.Offset { return s.views[d] }

// LostUntil returns the time up to which the domain's history is incomplete,
// and false where nothing was lost.
func (s *State) LostUntil(d namer.Domain) (time.Time, bool) {
	t, lost := s.losses[d]
	return t, lost
}

// Member returns the member with this incarnation.
func (s *State) Member(inc namer.Incarnation) (coder.Member, bool) {
	m, present := s.members[inc]
	if !present {
		return coder.Member{}, false
	}
	return m.Member, true
}

// Settled reports whether the member has settled in its domain's present view.
func (s *State) Settled(inc namer.Incarnation) bool {
	m, present := s.members[inc]
	return present && m.settled >= s.views[m.Domain]
}

// EverSettled reports whether the member has settled in some view since it
// joined. Before that it takes nothing in.
func (s *State) EverSettled(inc namer.Incarnation) bool {
	m, present := s.members[inc]
	return present && m.settled > 0
}

// Retired reports whether the member owns no new submissions any more.
func (s *State) Retired(inc namer.Incarnation) bool {
	m, present := s.members[inc]
	return present && m.retired
}

// AllSettled reports whether every member of the domain has settled.
func (s *State) AllSettled(d namer.Domain) bool {
	for _, m := range s.members {
		if m.Domain == d && m.settled < s.views[d] {
			return false
		}
	}
	return true
}

// Members lists the members of a domain, or of all where d is empty, sorted.
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

// Claimed returns who holds the claim on a submission.
func (s *State) Claimed(id namer.ID) (namer.Incarnation, bool) {
	c, taken := s.claims[id]
	return c.by, taken
}

// Home returns the failure domain whose members own the submission: the one
// that its key names, or else the first founding domain by rendezvous hash.
func (s *State) Home(sub namer.Submission) namer.Domain {
	if home := sub.Key.Home(); home != "" {
		return home
	}
	return s.homeOf(string(sub.ID()))
}

func (s *State) homeOf(id string) namer.Domain {
	var best namer.Domain
	var top uint64
	for _, d := range s.domains {
		if w := weight(string(d), id); best == "" || w > top {
			best, top = d, w
		}
	}
	return best
}

// Owner returns the owner and the heir of a submission by rendezvous hash
// over the members of its home. Each is empty where there is none.
func (s *State) Owner(sub namer.Submission) (owner, heir namer.Incarnation) {
	return s.OwnerIn(s.Home(sub), sub.ID())
}

// OwnerIn is Owner for a submission whose home is known.
func (s *State) OwnerIn(home namer.Domain, id namer.ID) (owner, heir namer.Incarnation) {
	var first, second uint64
	for inc, m := range s.members {
		if m.Domain != home || m.retired {
			continue
		}
		w := weight(string(inc), string(id))
		switch {
		case owner == "" || w > first || (w == first && inc < owner):
			heir, second = owner, first
			owner, first = inc, w
		case heir == "" || w > second || (w == second && inc < heir):
			heir, second = inc, w
		}
	}
	return owner, heir
}

func weight(node, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(node)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key)
	return d.Sum64()
}
