// Package viewer derives from the platform's log what all entry instances
// must agree on: the members of each failure domain, the claims, the losses of
// history and the configuration in force. Equal prefixes of the log give
// equal states, whoever reads them.
package viewer

import (
	"sort"
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// MaxHistory bounds how many past revisions a State lists.
const MaxHistory = 64

// claimMemory is how long a claim is kept, measured by the times in the log.
// It exceeds the longest memory that a configuration may ask for.
const claimMemory = 2 * time.Hour

// State is what follows from the log up to Offset. The zero value is not
// ready for use; call New.
type State struct {
	// Offset is the last record applied. Records at or before it are ignored.
	Offset namer.Offset
	// newest is the latest time that any record carried.
	newest time.Time

	// members holds each present member; an incarnation never comes back.
	members map[namer.Incarnation]*member
	// views holds the offset of the last change of each domain's members.
	views map[namer.Domain]namer.Offset
	// losses holds, per domain, a time before which keys may be forgotten.
	losses map[namer.Domain]time.Time
	claims map[namer.ID]claim
	// tidied is the newest time at which old claims were dropped.
	tidied time.Time

	// domains are the founding domains, sorted; set once.
	domains []namer.Domain
	config  coder.SnapConfig
	history []coder.SnapRevision
}

type member struct {
	coder.Member
	joined  namer.Offset
	settled namer.Offset
	// retired members own no new submissions.
	retired bool
}

type claim struct {
	by namer.Incarnation
	at time.Time
}

// Change says what a record changed. The zero value means nothing did.
type Change struct {
	// Domain is set where the members of that domain changed.
	Domain namer.Domain
	Joined namer.Incarnation
	Gone   namer.Incarnation
	// Lost is set where the domain's history became incomplete.
	Lost bool
	// Revised is set where another configuration came into force.
	Revised bool
	// Outdated is set where a revision lost its race.
	Outdated bool
}

// New returns the state before the first record.
func New() *State {
	return &State{
		members: make(map[namer.Incarnation]*member),
		views:   make(map[namer.Domain]namer.Offset),
		losses:  make(map[namer.Domain]time.Time),
		claims:  make(map[namer.ID]claim),
	}
}

// Apply takes the next record. A record that is void changes only Offset.
func (s *State) Apply(e coder.Entry) Change {
	if e.Offset <= s.Offset {
		return Change{}
	}
	s.Offset = e.Offset
	r := &e.Record
	switch {
	case r.Join != nil:
		return s.join(e.Offset, r.Join)
	case r.Evict != nil:
		return s.evict(e.Offset, r.Evict)
	case r.Leave != nil:
		return s.leave(e.Offset, r.Leave)
	case r.Retire != nil:
		return s.retire(e.Offset, r.Retire)
	case r.Settle != nil:
		s.settle(r.Settle)
	case r.Claim != nil:
		s.claim(r.Claim)
	case r.Revise != nil:
		return s.revise(e.Offset, r.Revise)
	}
	return Change{}
}

func (s *State) join(at namer.Offset, j *coder.Join) Change {
	inc := j.Member.Incarnation
	if _, present := s.members[inc]; present {
		return Change{}
	}
	s.see(j.At)
	s.members[inc] = &member{Member: j.Member, joined: at}
	s.views[j.Member.Domain] = at
	return Change{Domain: j.Member.Domain, Joined: inc}
}

func (s *State) evict(at namer.Offset, e *coder.Evict) Change {
	gone, present := s.members[e.Incarnation]
	by, entitled := s.members[e.By]
	if !present || !entitled || by.Domain != gone.Domain || e.By == e.Incarnation {
		return Change{}
	}
	return s.remove(at, gone, e.At)
}

func (s *State) leave(at namer.Offset, l *coder.Leave) Change {
	gone, present := s.members[l.Incarnation]
	if !present {
		return Change{}
	}
	return s.remove(at, gone, l.At)
}

func (s *State) retire(at namer.Offset, r *coder.Retire) Change {
	m, present := s.members[r.Incarnation]
	if !present || m.retired {
		return Change{}
	}
	m.retired = true
	s.views[m.Domain] = at
	return Change{Domain: m.Domain}
}

// remove takes a member out of its domain. History is lost unless all others
// had settled in the present view, so that each of the gone member's
// submissions is known to one of them. A member that never settled has never
// taken anything in.
func (s *State) remove(at namer.Offset, gone *member, when time.Time) Change {
	s.see(when)
	d := gone.Domain
	change := Change{Domain: d, Gone: gone.Incarnation, Lost: gone.settled > 0 && !s.othersSettled(gone)}
	delete(s.members, gone.Incarnation)
	s.views[d] = at
	if change.Lost {
		s.lose(d)
	}
	return change
}

// lose marks a domain's history as incomplete up to the newest time in the
// log, which no member's record can undercut.
func (s *State) lose(d namer.Domain) {
	if s.newest.After(s.losses[d]) {
		s.losses[d] = s.newest
	}
}

func (s *State) othersSettled(gone *member) bool {
	others := 0
	for _, m := range s.members {
		if m.Domain != gone.Domain || m.Incarnation == gone.Incarnation {
			continue
		}
		if m.settled < s.views[gone.Domain] {
			return false
		}
		others++
	}
	return others > 0
}

func (s *State) settle(r *coder.Settle) {
	m, present := s.members[r.Incarnation]
	if present && r.View > m.settled {
		m.settled = r.View
	}
}

func (s *State) claim(c *coder.Claim) {
	if _, present := s.members[c.Incarnation]; !present {
		return
	}
	s.see(c.At)
	for _, k := range c.Keys {
		s.claimOne(k.Submission, c)
	}
	s.forgetClaims()
}

func (s *State) claimOne(sub namer.Submission, c *coder.Claim) {
	id := sub.ID()
	if _, taken := s.claims[id]; taken {
		return
	}
	if owner, _ := s.Owner(sub); owner != c.Incarnation {
		return
	}
	s.claims[id] = claim{by: c.Incarnation, at: c.At}
}

// forgetClaims drops old claims by the times in the log alone, so that every
// reader drops the same ones.
func (s *State) forgetClaims() {
	if s.newest.Sub(s.tidied) < claimMemory/16 {
		return
	}
	s.tidied = s.newest
	for id, c := range s.claims {
		if s.newest.Sub(c.at) > claimMemory {
			delete(s.claims, id)
		}
	}
}

func (s *State) revise(at namer.Offset, r *coder.Revise) Change {
	if r.Base != s.config.Revision {
		return Change{Outdated: true}
	}
	if r.Nonce == s.config.Nonce {
		return Change{}
	}
	s.see(r.At)
	if len(s.domains) == 0 {
		s.domains = sorted(r.Domains)
	}
	s.config = coder.SnapConfig{Revision: r.Base + 1, Nonce: r.Nonce, Text: r.Text}
	s.history = append(s.history, coder.SnapRevision{
		Revision: s.config.Revision, Nonce: r.Nonce, By: r.By, At: r.At, Offset: at,
	})
	if len(s.history) > MaxHistory {
		s.history = s.history[len(s.history)-MaxHistory:]
	}
	return Change{Revised: true}
}

func (s *State) see(t time.Time) {
	if t.After(s.newest) {
		s.newest = t
	}
}

func sorted(in []namer.Domain) []namer.Domain {
	out := append([]namer.Domain(nil), in...)
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}
