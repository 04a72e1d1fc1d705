package dispatcher

import (
	"time"

	"github.com/heatherslip/heatherslip/internal/config/policyparser"
	"github.com/heatherslip/heatherslip/internal/core/queuer"
	"github.com/heatherslip/heatherslip/internal/core/replayer"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// snapshotInterval is the number of records after a snapshot from which the
// next one is due.
const snapshotInterval = 256

// maxSnapshotAge is the age from which a snapshot is written again even if
// nothing has changed, since the log's retention would delete it.
const maxSnapshotAge = 10 * time.Minute

// logState is the state of this instance's reads and appends of the platform's
// log.
type logState struct {
	// lastReadAt is when the log last answered a read; zero before the first.
	lastReadAt  time.Time
	unavailable bool
	// pendingClaims are the submissions to be claimed, in order.
	pendingClaims []namer.Submission
	// claimSentAt is when the last claim was appended; zero if it has been read
	// back.
	claimSentAt time.Time
	// pendingDenials wait for a read of the log that starts after them.
	pendingDenials []*denial
	// denialReadInFlight is set while a read for pendingDenials is in flight.
	denialReadInFlight bool
	// lastSnapshotOffset is the offset of the last snapshot read. lastSnapshotAt is
	// when it was read, or when this instance last appended one.
	lastSnapshotOffset namer.Offset
	lastSnapshotAt     time.Time
	// appendedSnapshotOffset is the offset of the state in the last snapshot that
	// this instance appended.
	appendedSnapshotOffset namer.Offset
}

// logAvailable reports whether the log has answered a read within logTimeout.
func (n *Node) logAvailable() bool {
	return !n.log.unavailable && !n.log.lastReadAt.IsZero() && n.now.Sub(n.log.lastReadAt) < logTimeout
}

func (n *Node) handleLogFailed() {
	n.log.denialReadInFlight = false
	if !n.log.unavailable {
		n.logDecision(eventer.LogUnavailable, "", 0, "", "")
	}
	n.log.unavailable = true
}

func (n *Node) handleLogRead(e LogRead) {
	if n.log.unavailable {
		n.logDecision(eventer.LogAvailable, "", 0, "", "")
	}
	n.log.unavailable = false
	n.log.denialReadInFlight = false
	n.log.lastReadAt = n.now
	n.applyEntries(e.Entries)
	if n.membership.viewStale && !e.StartedAt.Before(n.membership.viewStaleSince) {
		n.membership.viewStale = false
	}
	n.resolveDenials(e.StartedAt)
	n.appendSnapshotIfDue()
}

// applyEntries applies log entries that were read from the log or received from
// a peer.
func (n *Node) applyEntries(entries []coder.LogEntry) {
	offset := n.state.AppliedOffset
	entries = entriesAfter(entries, offset)
	if len(entries) == 0 {
		return
	}
	state, changes := n.state.ApplyEntries(entries, n.now)
	replaced := state != n.state
	n.state = state
	n.appendLogTail(entries)
	for _, e := range entries {
		if e.Record.Snapshot != nil {
			n.log.lastSnapshotOffset = e.Offset
			n.log.lastSnapshotAt = n.now
		}
	}
	if replaced {
		n.handleStateReplaced()
	}
	for _, c := range changes {
		n.handleChange(c)
	}
	n.resolveClaims()
}

func entriesAfter(entries []coder.LogEntry, offset namer.Offset) []coder.LogEntry {
	for len(entries) > 0 && entries[0].Offset <= offset {
		entries = entries[1:]
	}
	return entries
}

func (n *Node) appendLogTail(entries []coder.LogEntry) {
	n.logTail = append(n.logTail, entries...)
	if len(n.logTail) > 2*logTailLength {
		n.logTail = append([]coder.LogEntry(nil), n.logTail[len(n.logTail)-logTailLength:]...)
	}
}

// handleStateReplaced adapts to a state that came from a snapshot. The
// individual changes since the previous state are unknown, so it looks for departed
// members in any case.
func (n *Node) handleStateReplaced() {
	n.applyConfig()
	n.handleViewChanged(replayer.Change{ChangedDomain: n.self.Domain, HistoryLost: true})
}

func (n *Node) handleChange(c replayer.Change) {
	if c.ConfigChanged {
		n.applyConfig()
	}
	if c.RevisionConflict {
		n.logDecision(eventer.RevisionConflict, "", 0, "", "base is not in force")
	}
	if c.EvacuatedDomain != "" {
		n.logEvacuation(c)
	}
	if c.RemovedMember != "" {
		n.membership.departedMembers[c.RemovedMember] = true
		n.membership.fencedMembers[c.RemovedMember] = !n.isMember()
		n.clientCalls.rerouteFrom(c.RemovedMember)
		n.logDecision(eventer.MemberRemoved, "", 0, string(c.RemovedMember), "")
	}
	if c.HistoryLost {
		n.logDecision(eventer.HistoryLost, "", 0, string(c.ChangedDomain), "")
	}
	if c.ChangedDomain != "" {
		n.logDecision(eventer.ViewChanged, "", 0, string(c.ChangedDomain), "")
	}
	if c.ChangedDomain == n.self.Domain {
		n.handleViewChanged(c)
	}
}

// applyConfig puts the newest revision in force. If its text cannot be parsed,
// the previous policy stays in force, on every instance alike.
func (n *Node) applyConfig() {
	config := n.state.Config()
	if config.Revision == 0 {
		return
	}
	policy, err := policyparser.Parse(config.Text)
	if err != nil {
		n.logDecision(eventer.RevisionUnreadable, "", 0, "", err.Error())
		return
	}
	n.policy = policy
	n.applyQueueWeights()
	n.logDecision(eventer.RevisionApplied, "", int(config.Revision), "", "")
	n.emitAction(ConfigChanged{Config: config})
}

func (n *Node) applyQueueWeights() {
	for _, k := range n.policy.Kinds {
		for _, t := range n.policy.Teams {
			c := queuer.Class{Team: t.Name, Kind: k.Name}
			n.taskQueue.SetWeight(c, k.Weight)
			n.requests.queue.SetWeight(c, k.Weight)
		}
	}
}

// enqueueClaim schedules a claim by which the log makes this instance the
// submission's primary.
func (n *Node) enqueueClaim(sub namer.Submission) {
	n.log.pendingClaims = append(n.log.pendingClaims, sub)
}

// appendClaims appends all pending claims in one record. Only one append is in
// flight at a time, so that a slow log gets fewer and larger records.
func (n *Node) appendClaims() {
	if len(n.log.pendingClaims) == 0 || !n.logAvailable() {
		return
	}
	if n.now.Sub(n.log.claimSentAt) < appendRetryInterval {
		return
	}
	n.log.claimSentAt = n.now
	submissions := make([]coder.ClaimedSubmission, len(n.log.pendingClaims))
	for i, sub := range n.log.pendingClaims {
		submissions[i] = coder.ClaimedSubmission{Submission: sub}
	}
	n.emitAction(AppendRecord{coder.Record{Claim: &coder.Claim{Incarnation: n.self.Incarnation, Submissions: submissions, At: n.now}}})
}

// resolveClaims removes the pending claims that the log has decided.
func (n *Node) resolveClaims() {
	pending := n.log.pendingClaims[:0]
	resolved := false
	for _, sub := range n.log.pendingClaims {
		if n.resolveClaim(sub) {
			resolved = true
			continue
		}
		pending = append(pending, sub)
	}
	n.log.pendingClaims = pending
	if resolved {
		n.log.claimSentAt = time.Time{}
	}
}

// resolveClaim applies the log's decision on a claim. It returns true if the
// claim is no longer pending.
func (n *Node) resolveClaim(sub namer.Submission) bool {
	id := sub.ID()
	r := n.submissions.Get(id)
	if r == nil || !r.ClaimPending {
		return true
	}
	claimant, claimed := n.state.ClaimHolder(id)
	if !claimed {
		if owner, _ := n.state.OwnerAndSuccessor(sub); owner == n.self.Incarnation {
			return false
		}
		claimant = ""
	}
	r.ClaimPending = false
	if claimant == n.self.Incarnation {
		n.logDecision(eventer.SubmissionClaimed, id, 0, "", "")
		n.commitRecord(r)
		return true
	}
	if r.SentToBackup || r.Committed {
		return true
	}
	n.abandonRecord(r, claimant)
	return true
}

// snapshotExpired reports whether this instance must replace an old snapshot.
// The first of all members does so after maxSnapshotAge, and the others after
// twice that if it has not.
func (n *Node) snapshotExpired() bool {
	age := n.now.Sub(n.log.lastSnapshotAt)
	isFirst := n.state.Members("")[0].Incarnation == n.self.Incarnation
	return isFirst && age > maxSnapshotAge || age > 2*maxSnapshotAge
}

// appendSnapshotIfDue appends a snapshot of the state if many records or much
// time have passed since the last one. Several instances may do so at once: an
// extra snapshot is harmless.
func (n *Node) appendSnapshotIfDue() {
	recordsSince := n.state.AppliedOffset - max(n.log.lastSnapshotOffset, n.log.appendedSnapshotOffset)
	if !n.isMember() || recordsSince < snapshotInterval && !n.snapshotExpired() {
		return
	}
	n.log.appendedSnapshotOffset = n.state.AppliedOffset
	n.log.lastSnapshotAt = n.now
	n.emitAction(AppendRecord{coder.Record{Snapshot: n.state.Snapshot()}})
}
