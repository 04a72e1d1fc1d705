package dispatcher

import (
	"sort"
	"time"

	"github.com/heatherslip/heatherslip/internal/core/viewer"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// handleViewChanged acts on a change of the own domain's members.
func (n *Node) handleViewChanged(c viewer.Change) {
	if !n.isMember() {
		n.rejoinUnderNewIncarnation()
		return
	}
	if !n.membership.everMember {
		n.membership.everMember = true
		n.logDecision(eventer.Joined, "", 0, string(n.self.Incarnation), "")
	}
	n.membership.view = n.state.View(n.self.Domain)
	n.membership.joinedWithView = c.Joined
	n.membership.syncSentAt = time.Time{}
	for _, inc := range n.otherMembers() {
		n.membership.ensurePeer(inc, n.now)
	}
	n.requests.router.SetPeers(n.self.Incarnation, incarnations(n.state.Members(n.self.Domain)))
	if c.Gone != "" || c.Lost {
		n.takeOverDeparted()
	}
	n.replication.reassignBackups(n)
}

func incarnations(members []coder.Member) []namer.Incarnation {
	out := make([]namer.Incarnation, len(members))
	for i, m := range members {
		out[i] = m.Incarnation
	}
	return out
}

// rejoinUnderNewIncarnation starts over where this instance was a member and is none now.
// Nothing that it held may be acted on: another member has taken it over.
func (n *Node) rejoinUnderNewIncarnation() {
	if !n.membership.everMember {
		return
	}
	if n.draining {
		n.completeDrain()
		return
	}
	n.logDecision(eventer.Rejoining, "", 0, string(n.self.Incarnation), "evicted")
	n.self.Incarnation = n.newIncarnation()
	n.membership.joinDelay = min(2*n.membership.joinDelay, maxJoinDelay)
	peers := n.membership.peers
	departed, fencedDeparted := n.membership.departed, n.membership.fencedDeparted
	stale, staleSince, nonce := n.membership.stale, n.membership.staleSince, n.membership.heartbeatNonce
	n.reset()
	n.membership.departed, n.membership.fencedDeparted = departed, fencedDeparted
	n.membership.stale, n.membership.staleSince, n.membership.heartbeatNonce = stale, staleSince, nonce
	for inc, p := range peers {
		n.membership.peers[inc] = &peer{member: p.member, lastMessageAt: n.now}
	}
	n.handleList(n.lastList)
	n.clientCalls.rerouteAll()
	n.log.pendingClaims = nil
	n.log.pendingDenials = nil
	n.emit(Rename{Member: n.self})
}

// syncMembers sends each other member of the domain what it must know to own
// keys in the present view, again and again until it says that it does.
func (n *Node) syncMembers() {
	if n.now.Sub(n.membership.syncSentAt) < resendTimeout || n.fences.blocksOwnership() {
		return
	}
	n.membership.syncSentAt = n.now
	for _, inc := range n.otherMembers() {
		if p := n.membership.ensurePeer(inc, n.now); p.linked && p.completeView < n.membership.view {
			n.sendSync(inc)
		}
	}
}

// maxSyncEntries is how many lines of the directory go into one message.
const maxSyncEntries = 4096

func (n *Node) sendSync(to namer.Incarnation) {
	var entries []coder.Known
	n.submissions.EachDirectoryEntry(func(entry coder.Known) {
		home := n.self.Domain
		owner, successor := n.state.OwnerIn(home, entry.ID)
		if owner == to || successor == to {
			entries = append(entries, entry)
		}
	})
	sort.Slice(entries, func(i, j int) bool { return entries[i].ID < entries[j].ID })
	for len(entries) > maxSyncEntries {
		n.sendMessage(to, &coder.Message{Sync: &coder.Sync{View: n.membership.view, Known: entries[:maxSyncEntries]}})
		entries = entries[maxSyncEntries:]
	}
	n.sendMessage(to, &coder.Message{Sync: &coder.Sync{View: n.membership.view, Known: entries, Done: true}})
}

func (n *Node) handleSync(from namer.Incarnation, s *coder.Sync) {
	n.membership.ensurePeer(from, n.now).lastMessageAt = n.now
	if m, present := n.state.Member(from); present && m.Domain != n.self.Domain {
		n.logDecision(eventer.MessageBad, "", 0, string(from), "sync from another domain")
		return
	}
	for _, entry := range s.Known {
		n.mergeDirectoryEntry(entry)
	}
	if s.Done && s.View > n.membership.syncedViews[from] {
		n.membership.syncedViews[from] = s.View
	}
}

// mergeDirectoryEntry takes in a line of the directory, unless it names a runner that
// is gone where a present one is known.
func (n *Node) mergeDirectoryEntry(entry coder.Known) {
	existing, found := n.submissions.DirectoryEntry(entry.ID)
	if found {
		_, existingPresent := n.state.Member(existing.Runner)
		_, newPresent := n.state.Member(entry.Runner)
		if existingPresent && !newPresent {
			return
		}
	}
	n.submissions.AddDirectoryEntry(entry)
}

// updateCompleteView sees whether all others have told what they know. A member that
// came with this view knows nothing that the others do not.
func (n *Node) updateCompleteView() {
	if n.membership.completeView == n.membership.view || n.fences.blocksOwnership() {
		return
	}
	for _, inc := range n.otherMembers() {
		if inc == n.membership.joinedWithView {
			continue
		}
		if n.membership.syncedViews[inc] != n.membership.view {
			return
		}
	}
	n.membership.completeView = n.membership.view
	n.membership.lastHeartbeatAt = time.Time{}
	n.membership.joinDelay = initialJoinDelay
	n.logDecision(eventer.Complete, "", 0, "", "")
}

// canOwnKeys reports whether this instance may take in submissions, as their owner
// or as their backup.
func (n *Node) canOwnKeys() bool {
	return n.hasCompleteView() && n.state.EverSettled(n.self.Incarnation)
}

// hasCompleteView reports whether this instance knows all that the members of its
// view know of the keys that it owns.
func (n *Node) hasCompleteView() bool {
	return n.isMember() && n.membership.completeView == n.membership.view && !n.membership.stale
}

// requestSettle tells the log that another member holds all that this one does.
func (n *Node) requestSettle() {
	if !n.hasCompleteView() || n.state.Settled(n.self.Incarnation) || !n.logAvailable() {
		return
	}
	if n.now.Sub(n.membership.settleSentAt) < appendRetryInterval || !n.replication.allBackedUp(n) {
		return
	}
	for _, inc := range n.otherMembers() {
		if n.membership.ensurePeer(inc, n.now).completeView < n.membership.view {
			return
		}
	}
	n.membership.settleSentAt = n.now
	n.logDecision(eventer.SettledView, "", 0, "", "")
	n.emit(Append{coder.Record{Settle: &coder.Settle{Incarnation: n.self.Incarnation, View: n.membership.view}}})
}
