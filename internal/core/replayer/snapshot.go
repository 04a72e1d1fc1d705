package replayer

import (
	"sort"
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Snapshot returns the whole state as a record for the log. It is appended before
// the log deletes the records that the state is derived from.
func (s *State) Snapshot() *coder.Snapshot {
	snap := &coder.Snapshot{
		LastOffset:     s.AppliedOffset,
		Config:         s.config,
		Revisions:      s.revisions,
		InitialDomains: s.initialDomains,
		NewestTime:     s.newestTime,
		ClaimsPrunedAt: s.claimsPrunedAt,
	}
	for _, m := range s.members {
		snap.Members = append(snap.Members, coder.SnapMember{Member: m.Member, JoinOffset: m.joinOffset, SyncedView: m.syncedView, Retired: m.retired})
	}
	for d, t := range s.historyLostUntil {
		snap.HistoryLosses = append(snap.HistoryLosses, coder.SnapHistoryLoss{Domain: d, LostUntil: t})
	}
	for id, c := range s.claims {
		snap.Claims = append(snap.Claims, coder.SnapClaim{ID: id, Holder: c.holder, ClaimedAt: c.claimedAt})
	}
	for d, v := range s.viewOffsets {
		snap.Views = append(snap.Views, coder.SnapView{Domain: d, View: v})
	}
	snap.Evacuations = s.Evacuations()
	sortSnapshot(snap)
	return snap
}

func sortSnapshot(snap *coder.Snapshot) {
	sort.Slice(snap.Members, func(i, j int) bool {
		return snap.Members[i].Member.Incarnation < snap.Members[j].Member.Incarnation
	})
	sort.Slice(snap.HistoryLosses, func(i, j int) bool { return snap.HistoryLosses[i].Domain < snap.HistoryLosses[j].Domain })
	sort.Slice(snap.Claims, func(i, j int) bool { return snap.Claims[i].ID < snap.Claims[j].ID })
	sort.Slice(snap.Views, func(i, j int) bool { return snap.Views[i].Domain < snap.Views[j].Domain })
}

// Restore returns the state that a snapshot describes.
func Restore(snap *coder.Snapshot) *State {
	s := New()
	s.AppliedOffset = snap.LastOffset
	s.newestTime = snap.NewestTime
	s.claimsPrunedAt = snap.ClaimsPrunedAt
	s.config = snap.Config
	s.revisions = snap.Revisions
	s.initialDomains = snap.InitialDomains
	for _, m := range snap.Members {
		s.members[m.Member.Incarnation] = &member{Member: m.Member, joinOffset: m.JoinOffset, syncedView: m.SyncedView, retired: m.Retired}
	}
	for _, l := range snap.HistoryLosses {
		s.historyLostUntil[l.Domain] = l.LostUntil
	}
	for _, c := range snap.Claims {
		s.claims[c.ID] = claim{holder: c.Holder, claimedAt: c.ClaimedAt}
	}
	for _, v := range snap.Views {
		s.viewOffsets[v.Domain] = v.View
	}
	for _, e := range snap.Evacuations {
		s.evacuations[e.Domain] = e
	}
	return s
}

// ApplyEntries applies consecutive entries read from the log or from a peer.
// Entries already applied are skipped. It returns the resulting state and the
// changes; the state is s itself unless it was restored from a snapshot.
//
// If entries are missing between s.AppliedOffset and the first entry, because
// the log has deleted them, ApplyEntries continues from a snapshot among the
// entries that covers the gap. Without such a snapshot, the history of all known
// domains is marked as lost up to now.
func (s *State) ApplyEntries(entries []coder.LogEntry, now time.Time) (*State, []Change) {
	state := s
	for len(entries) > 0 && entries[0].Offset <= state.AppliedOffset {
		entries = entries[1:]
	}
	if len(entries) == 0 {
		return state, nil
	}
	if entries[0].Offset > state.AppliedOffset+1 {
		state = stateAfterGap(s, entries, now)
	}
	var changes []Change
	for _, e := range entries {
		if c := state.ApplyEntry(e); c != (Change{}) {
			changes = append(changes, c)
		}
	}
	return state, changes
}

// stateAfterGap returns the state to apply entries to if entries between
// s.AppliedOffset and the first of them are missing.
func stateAfterGap(s *State, entries []coder.LogEntry, now time.Time) *State {
	for _, e := range entries {
		snap := e.Record.Snapshot
		if snap != nil && snap.LastOffset+1 >= entries[0].Offset && snap.LastOffset > s.AppliedOffset {
			return Restore(snap)
		}
	}
	state := s
	state.AppliedOffset = entries[0].Offset - 1
	state.advanceTime(now)
	for _, d := range state.knownDomains() {
		state.markHistoryLost(d)
	}
	return state
}

// knownDomains returns the initial domains and those that have or had members. It
// may contain duplicates.
func (s *State) knownDomains() []namer.Domain {
	domains := append([]namer.Domain(nil), s.initialDomains...)
	for d := range s.viewOffsets {
		domains = append(domains, d)
	}
	return domains
}
