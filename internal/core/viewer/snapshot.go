package viewer

import (
	"sort"
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Snapshot returns the whole state, as it is written to the log again before
// the log forgets the records that it follows from.
func (s *State) Snapshot() *coder.Snapshot {
	snap := &coder.Snapshot{
		Upto:    s.Offset,
		Config:  s.config,
		History: s.history,
		Domains: s.domains,
		Newest:  s.newest,
		Tidied:  s.tidied,
	}
	for _, m := range s.members {
		snap.Members = append(snap.Members, coder.SnapMember{Member: m.Member, Joined: m.joined, Settled: m.settled, Retired: m.retired})
	}
	for d, t := range s.losses {
		snap.Losses = append(snap.Losses, coder.SnapLoss{Domain: d, At: t})
	}
	for id, c := range s.claims {
		snap.Claims = append(snap.Claims, coder.SnapClaim{ID: id, By: c.by, At: c.at})
	}
	for d, v := range s.views {
		snap.Views = append(snap.Views, coder.SnapView{Domain: d, View: v})
	}
	sortSnapshot(snap)
	return snap
}

func sortSnapshot(p *coder.Snapshot) {
	sort.Slice(p.Members, func(i, j int) bool {
		return p.Members[i].Member.Incarnation < p.Members[j].Member.Incarnation
	})
	sort.Slice(p.Losses, func(i, j int) bool { return p.Losses[i].Domain < p.Losses[j].Domain })
	sort.Slice(p.Claims, func(i, j int) bool { return p.Claims[i].ID < p.Claims[j].ID })
	sort.Slice(p.Views, func(i, j int) bool { return p.Views[i].Domain < p.Views[j].Domain })
}

// Restore returns the state that a snapshot describes.
func Restore(p *coder.Snapshot) *State {
	s := New()
	s.Offset = p.Upto
	s.newest = p.Newest
	s.tidied = p.Tidied
	s.config = p.Config
	s.history = p.History
	s.domains = p.Domains
	for _, m := range p.Members {
		s.members[m.Member.Incarnation] = &member{Member: m.Member, joined: m.Joined, settled: m.Settled, retired: m.Retired}
	}
	for _, l := range p.Losses {
		s.losses[l.Domain] = l.At
	}
	for _, c := range p.Claims {
		s.claims[c.ID] = claim{by: c.By, at: c.At}
	}
	for _, v := range p.Views {
		s.views[v.Domain] = v.View
	}
	return s
}

// ApplyAll takes entries that a reader got from the log or a peer, which
// begin right after s.Offset or, where the log has forgotten some, hold a
// snapshot that reaches back to the first of them. It returns the state to go
// on with, which is s itself unless a snapshot was taken, and the changes.
// Where the log has forgotten records that no snapshot repeats, all history
// counts as lost at the time given.
func (s *State) ApplyAll(entries []coder.Entry, now time.Time) (*State, []Change) {
	cur := s
	for len(entries) > 0 && entries[0].Offset <= cur.Offset {
		entries = entries[1:]
	}
	if len(entries) == 0 {
		return cur, nil
	}
	if entries[0].Offset > cur.Offset+1 {
		cur = bridge(s, entries, now)
	}
	var changes []Change
	for _, e := range entries {
		if c := cur.Apply(e); c != (Change{}) {
			changes = append(changes, c)
		}
	}
	return cur, changes
}

// bridge finds the state to apply entries to when records before the first
// of them are gone.
func bridge(s *State, entries []coder.Entry, now time.Time) *State {
	for _, e := range entries {
		snap := e.Record.Snapshot
		if snap != nil && snap.Upto+1 >= entries[0].Offset && snap.Upto > s.Offset {
			return Restore(snap)
		}
	}
	next := s
	next.Offset = entries[0].Offset - 1
	next.see(now)
	for _, d := range next.knownDomains() {
		next.lose(d)
	}
	return next
}

func (s *State) knownDomains() []namer.Domain {
	seen := append([]namer.Domain(nil), s.domains...)
	for d := range s.views {
		seen = append(seen, d)
	}
	return seen
}
