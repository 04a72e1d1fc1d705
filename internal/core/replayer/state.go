// Package replayer derives the state that all entry instances must agree on from
// the platform's log: the members of each failure domain, the claims on
// submissions, the losses of history and the current configuration. It is a
// deterministic state machine: every reader of the same prefix of the log
// derives the same state.
package replayer

import (
	"sort"
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// MaxRevisions bounds how many revisions a State keeps.
const MaxRevisions = 64

// claimRetention is how long a claim is kept, by the timestamps in the log. It
// exceeds the longest retention of submissions that a configuration may set.
const claimRetention = 2 * time.Hour

// State is the result of applying the log up to AppliedOffset. Create it with New
// or Restore.
type State struct {
	// AppliedOffset is the offset of the last applied record. Records at or before
	// it are ignored.
	AppliedOffset namer.Offset
	// newestTime is the latest timestamp of any record.
	newestTime time.Time

	// members holds the current members. An incarnation that was removed never
	// joins again.
	members map[namer.Incarnation]*member
	// viewOffsets holds, per domain, the offset of the last record that changed
	// its members or retired one. The offset identifies the current view.
	viewOffsets map[namer.Domain]namer.Offset
	// historyLostUntil holds, per domain, the time up to which its members may have
	// lost submissions.
	historyLostUntil map[namer.Domain]time.Time
	// claims holds the claims by submission ID.
	claims map[namer.ID]claim
	// claimsPrunedAt is the value of newestTime when old claims were last pruned.
	claimsPrunedAt time.Time

	// initialDomains are the domains of the first accepted revision, sorted.
	// They never change.
	initialDomains []namer.Domain
	config         coder.SnapConfig
	revisions      []coder.SnapRevision
	// evacuations holds, per domain, the last accepted request.
	evacuations map[namer.Domain]coder.Evacuation
}

// member is a member of a failure domain.
type member struct {
	coder.Member
	// joinOffset is the offset of the record by which the member joined.
	joinOffset namer.Offset
	// syncedView is the newest view in which another member held everything
	// that this member holds; zero until there is one.
	syncedView namer.Offset
	// retired members own no new submissions.
	retired bool
}

// claim assigns a submission to one incarnation.
type claim struct {
	holder    namer.Incarnation
	claimedAt time.Time
}

// Change describes what a record changed. It is zero if nothing changed.
type Change struct {
	// ChangedDomain is the domain whose members changed, if any.
	ChangedDomain namer.Domain
	// JoinedMember is the member that joined, if any.
	JoinedMember namer.Incarnation
	// RemovedMember is the member that was evicted or left, if any.
	RemovedMember namer.Incarnation
	// HistoryLost is set if the domain's history became incomplete.
	HistoryLost bool
	// ConfigChanged is set if the configuration changed.
	ConfigChanged bool
	// RevisionConflict is set if a revision was rejected because its base is
	// not the current revision: another one was accepted first.
	RevisionConflict bool
	// EvacuatedDomain is the domain whose evacuation has begun, or has ended if
	// EvacuationEnded is set.
	EvacuatedDomain namer.Domain
	EvacuationEnded bool
}

// New returns the state of an empty log.
func New() *State {
	return &State{
		members:          make(map[namer.Incarnation]*member),
		viewOffsets:      make(map[namer.Domain]namer.Offset),
		historyLostUntil: make(map[namer.Domain]time.Time),
		claims:           make(map[namer.ID]claim),
		evacuations:      make(map[namer.Domain]coder.Evacuation),
	}
}

// ApplyEntry applies the next record. Invalid records and snapshots change only
// AppliedOffset.
func (s *State) ApplyEntry(e coder.LogEntry) Change {
	if e.Offset <= s.AppliedOffset {
		return Change{}
	}
	s.AppliedOffset = e.Offset
	r := &e.Record
	switch {
	case r.Join != nil:
		return s.applyJoin(e.Offset, r.Join)
	case r.Evict != nil:
		return s.applyEvict(e.Offset, r.Evict)
	case r.Leave != nil:
		return s.applyLeave(e.Offset, r.Leave)
	case r.Retire != nil:
		return s.applyRetire(e.Offset, r.Retire)
	case r.MarkSynced != nil:
		s.applyMarkSynced(r.MarkSynced)
	case r.Claim != nil:
		s.applyClaim(r.Claim)
	case r.Revise != nil:
		return s.applyRevise(e.Offset, r.Revise)
	case r.Evacuate != nil:
		return s.applyEvacuate(e.Offset, r.Evacuate)
	}
	return Change{}
}

func (s *State) applyJoin(offset namer.Offset, j *coder.Join) Change {
	inc := j.Member.Incarnation
	if _, present := s.members[inc]; present {
		return Change{}
	}
	s.advanceTime(j.At)
	s.members[inc] = &member{Member: j.Member, joinOffset: offset}
	s.viewOffsets[j.Member.Domain] = offset
	return Change{ChangedDomain: j.Member.Domain, JoinedMember: inc}
}

// applyEvict ignores an eviction unless it comes from another member of the same
// domain.
func (s *State) applyEvict(offset namer.Offset, e *coder.Evict) Change {
	evicted, present := s.members[e.Incarnation]
	evictor, evictorPresent := s.members[e.RequestedBy]
	if !present || !evictorPresent || evictor.Domain != evicted.Domain || e.RequestedBy == e.Incarnation {
		return Change{}
	}
	return s.removeMember(offset, evicted, e.At)
}

func (s *State) applyLeave(offset namer.Offset, l *coder.Leave) Change {
	leaving, present := s.members[l.Incarnation]
	if !present {
		return Change{}
	}
	return s.removeMember(offset, leaving, l.At)
}

func (s *State) applyRetire(offset namer.Offset, r *coder.Retire) Change {
	m, present := s.members[r.Incarnation]
	if !present || m.retired {
		return Change{}
	}
	m.retired = true
	s.viewOffsets[m.Domain] = offset
	return Change{ChangedDomain: m.Domain}
}

// removeMember removes a member from its domain. The domain loses history unless
// all other members have synced in the current view: only then is each submission
// of the removed member held by one of them. Nothing is lost with a member that
// never synced, since it has not accepted any submission.
func (s *State) removeMember(offset namer.Offset, removed *member, at time.Time) Change {
	s.advanceTime(at)
	d := removed.Domain
	change := Change{ChangedDomain: d, RemovedMember: removed.Incarnation, HistoryLost: removed.syncedView > 0 && !s.othersSynced(removed)}
	delete(s.members, removed.Incarnation)
	s.viewOffsets[d] = offset
	if change.HistoryLost {
		s.markHistoryLost(d)
	}
	return change
}

// markHistoryLost marks a domain's history as incomplete up to newestTime. The
// timestamp of a single record would not do, since the clock of its writer may
// be behind.
func (s *State) markHistoryLost(d namer.Domain) {
	if s.newestTime.After(s.historyLostUntil[d]) {
		s.historyLostUntil[d] = s.newestTime
	}
}

// othersSynced reports whether the removed member's domain has other members and
// all of them have synced in its current view.
func (s *State) othersSynced(removed *member) bool {
	others := 0
	for _, m := range s.members {
		if m.Domain != removed.Domain || m.Incarnation == removed.Incarnation {
			continue
		}
		if m.syncedView < s.viewOffsets[removed.Domain] {
			return false
		}
		others++
	}
	return others > 0
}

func (s *State) applyMarkSynced(r *coder.MarkSynced) {
	m, present := s.members[r.Incarnation]
	if present && r.View > m.syncedView {
		m.syncedView = r.View
	}
}

func (s *State) applyClaim(c *coder.Claim) {
	if _, present := s.members[c.Incarnation]; !present {
		return
	}
	s.advanceTime(c.At)
	for _, k := range c.Submissions {
		s.claimSubmission(k.Submission, c)
	}
	s.pruneClaims()
}

// claimSubmission records a claim, which is valid only for the owner of the
// submission and only if there is no earlier claim.
func (s *State) claimSubmission(sub namer.Submission, c *coder.Claim) {
	id := sub.ID()
	if _, claimed := s.claims[id]; claimed {
		return
	}
	if owner, _ := s.OwnerAndSuccessor(sub); owner != c.Incarnation {
		return
	}
	s.claims[id] = claim{holder: c.Incarnation, claimedAt: c.At}
}

// pruneClaims deletes claims older than claimRetention. It uses only timestamps
// of the log, so that every reader deletes the same claims.
func (s *State) pruneClaims() {
	if s.newestTime.Sub(s.claimsPrunedAt) < claimRetention/16 {
		return
	}
	s.claimsPrunedAt = s.newestTime
	for id, c := range s.claims {
		if s.newestTime.Sub(c.claimedAt) > claimRetention {
			delete(s.claims, id)
		}
	}
}

// applyRevise accepts a revision only if it is based on the current one. A record
// with the nonce of the current revision is ignored: it is the same publication
// again.
func (s *State) applyRevise(offset namer.Offset, r *coder.Revise) Change {
	if r.BaseRevision != s.config.Revision {
		return Change{RevisionConflict: true}
	}
	if r.Nonce == s.config.Nonce {
		return Change{}
	}
	s.advanceTime(r.At)
	if len(s.initialDomains) == 0 {
		s.initialDomains = sortedDomains(r.InitialDomains)
	}
	s.config = coder.SnapConfig{Revision: r.BaseRevision + 1, Nonce: r.Nonce, Text: r.ConfigText}
	s.revisions = append(s.revisions, coder.SnapRevision{
		Revision: s.config.Revision, Nonce: r.Nonce, Author: r.Author, PublishedAt: r.At, Offset: offset,
	})
	if len(s.revisions) > MaxRevisions {
		s.revisions = s.revisions[len(s.revisions)-MaxRevisions:]
	}
	return Change{ConfigChanged: true}
}

// advanceTime moves newestTime forward to t; it never moves back.
func (s *State) advanceTime(t time.Time) {
	if t.After(s.newestTime) {
		s.newestTime = t
	}
}

func sortedDomains(domains []namer.Domain) []namer.Domain {
	out := append([]namer.Domain(nil), domains...)
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}
