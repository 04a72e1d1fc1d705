package dispatcher

import (
	"sort"
	"time"

	"github.com/heatherslip/heatherslip/internal/core/replayer"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// handleViewChanged adapts to a change of the members of this instance's
// domain.
func (n *Node) handleViewChanged(c replayer.Change) {
	if !n.isMember() {
		n.handleSelfRemoved()
		return
	}
	if !n.membership.everMember {
		n.membership.everMember = true
		n.logDecision(eventer.InstanceJoined, "", 0, string(n.self.Incarnation), "")
	}
	n.membership.view = n.state.ViewOffset(n.self.Domain)
	n.membership.joinedWithView = c.JoinedMember
	n.membership.directorySentAt = time.Time{}
	for _, inc := range n.otherMembers() {
		n.membership.ensurePeer(inc, n.now)
	}
	n.requests.router.SetPeers(n.self.Incarnation, incarnationsOf(n.state.Members(n.self.Domain)))
	if c.RemovedMember != "" || c.HistoryLost {
		n.takeOverDeparted()
	}
	n.replication.reassignBackups(n)
}

func incarnationsOf(members []coder.Member) []namer.Incarnation {
	out := make([]namer.Incarnation, len(members))
	for i, m := range members {
		out[i] = m.Incarnation
	}
	return out
}

// handleSelfRemoved handles the removal of this instance from its view. A draining
// instance has completed its drain. Any other was evicted and restarts under a new
// incarnation: it must not act on its submissions any more, since another member
// has taken them over.
func (n *Node) handleSelfRemoved() {
	if !n.membership.everMember {
		return
	}
	if n.draining {
		n.completeDrain()
		return
	}
	n.logDecision(eventer.InstanceRejoining, "", 0, string(n.self.Incarnation), "evicted")
	n.self.Incarnation = n.newIncarnation()
	n.membership.joinDelay = min(2*n.membership.joinDelay, maxJoinDelay)
	peers := n.membership.peers
	departed, fenced := n.membership.departedMembers, n.membership.fencedMembers
	viewStale, viewStaleSince, nonce := n.membership.viewStale, n.membership.viewStaleSince, n.membership.heartbeatNonce
	n.resetIncarnation()
	n.membership.departedMembers, n.membership.fencedMembers = departed, fenced
	n.membership.viewStale, n.membership.viewStaleSince, n.membership.heartbeatNonce = viewStale, viewStaleSince, nonce
	for inc, p := range peers {
		n.membership.peers[inc] = &peer{member: p.member, lastMessageAt: n.now}
	}
	n.handleList(n.lastList)
	n.clientCalls.rerouteAll()
	n.log.pendingClaims = nil
	n.log.pendingDenials = nil
	n.emitAction(SwitchIncarnation{Member: n.self})
}

// sendDirectories sends the directory to each other member of the domain that
// needs it to own keys in the current view, and repeats it until the member
// reports the view as complete.
func (n *Node) sendDirectories() {
	if n.now.Sub(n.membership.directorySentAt) < resendTimeout || n.fences.blocksOwnership() {
		return
	}
	n.membership.directorySentAt = n.now
	for _, inc := range n.otherMembers() {
		if p := n.membership.ensurePeer(inc, n.now); p.linked && p.completeView < n.membership.view {
			n.sendDirectory(inc)
		}
	}
}

// maxDirectoryEntries bounds the directory entries in one Sync message.
const maxDirectoryEntries = 4096

func (n *Node) sendDirectory(to namer.Incarnation) {
	var entries []coder.DirectoryEntry
	n.submissions.EachDirectoryEntry(func(entry coder.DirectoryEntry) {
		home := n.self.Domain
		owner, successor := n.state.OwnerAndSuccessorIn(home, entry.ID)
		if owner == to || successor == to {
			entries = append(entries, entry)
		}
	})
	sort.Slice(entries, func(i, j int) bool { return entries[i].ID < entries[j].ID })
	for len(entries) > maxDirectoryEntries {
		n.sendMessage(to, &coder.Message{Sync: &coder.Sync{View: n.membership.view, Directory: entries[:maxDirectoryEntries]}})
		entries = entries[maxDirectoryEntries:]
	}
	n.sendMessage(to, &coder.Message{Sync: &coder.Sync{View: n.membership.view, Directory: entries, LastChunk: true}})
}

func (n *Node) handleSync(from namer.Incarnation, s *coder.Sync) {
	n.membership.ensurePeer(from, n.now).lastMessageAt = n.now
	if m, present := n.state.Member(from); present && m.Domain != n.self.Domain {
		n.logDecision(eventer.MessageRejected, "", 0, string(from), "sync from another domain")
		return
	}
	for _, entry := range s.Directory {
		n.mergeDirectoryEntry(entry)
	}
	if s.LastChunk && s.View > n.membership.receivedViews[from] {
		n.membership.receivedViews[from] = s.View
	}
}

// mergeDirectoryEntry adds a directory entry, unless its primary has departed
// and the primary of the existing entry is a member.
func (n *Node) mergeDirectoryEntry(entry coder.DirectoryEntry) {
	existing, found := n.submissions.DirectoryEntry(entry.ID)
	if found {
		_, existingPresent := n.state.Member(existing.Primary)
		_, newPresent := n.state.Member(entry.Primary)
		if existingPresent && !newPresent {
			return
		}
	}
	n.submissions.AddDirectoryEntry(entry)
}

// updateCompleteView marks the current view as complete once all other members
// have sent their directories. The member whose join began the view holds
// nothing that the others do not, and is not waited for.
func (n *Node) updateCompleteView() {
	if n.membership.completeView == n.membership.view || n.fences.blocksOwnership() {
		return
	}
	for _, inc := range n.otherMembers() {
		if inc == n.membership.joinedWithView {
			continue
		}
		if n.membership.receivedViews[inc] != n.membership.view {
			return
		}
	}
	n.membership.completeView = n.membership.view
	n.membership.lastHeartbeatAt = time.Time{}
	n.membership.joinDelay = initialJoinDelay
	n.logDecision(eventer.ViewComplete, "", 0, "", "")
}

// canOwnKeys reports whether this instance may accept submissions, as owner or
// as backup.
func (n *Node) canOwnKeys() bool {
	return n.hasCompleteView() && n.state.EverSynced(n.self.Incarnation)
}

// hasCompleteView reports whether this instance has received, from all other members
// of its view, the directory entries of the keys that it owns or backs up, and the
// view is not stale after a pause.
func (n *Node) hasCompleteView() bool {
	return n.isMember() && n.membership.completeView == n.membership.view && !n.membership.viewStale
}

// appendMarkSynced appends a record that marks this instance as synced once other
// members hold everything that it holds.
func (n *Node) appendMarkSynced() {
	if !n.hasCompleteView() || n.state.Synced(n.self.Incarnation) || !n.logAvailable() {
		return
	}
	if n.now.Sub(n.membership.markSyncedSentAt) < appendRetryInterval || !n.replication.allBackedUp(n) {
		return
	}
	for _, inc := range n.otherMembers() {
		if n.membership.ensurePeer(inc, n.now).completeView < n.membership.view {
			return
		}
	}
	n.membership.markSyncedSentAt = n.now
	n.logDecision(eventer.ViewSynced, "", 0, "", "")
	n.emitAction(AppendRecord{coder.Record{MarkSynced: &coder.MarkSynced{Incarnation: n.self.Incarnation, View: n.membership.view}}})
}
