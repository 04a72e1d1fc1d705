package dispatcher

import (
	"sort"
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// membership is the state of this instance's own membership and of its peers.
type membership struct {
	createdAt time.Time
	// viewStale is set after a pause of the process, until the log has been
	// read or a member of the domain whose view is not stale has confirmed the
	// log offset. This instance may have been evicted during the pause.
	viewStale      bool
	viewStaleSince time.Time
	// heartbeatNonce is echoed in the heartbeats of peers. It changes with each
	// pause, so that a heartbeat sent before does not confirm the log offset.
	heartbeatNonce uint64

	// everMember is set once this incarnation has been in the view.
	everMember bool
	// appendSentAt is when this instance last appended a Join, Retire or Leave
	// record.
	appendSentAt time.Time
	joinDelay    time.Duration

	peers map[namer.Incarnation]*peer
	// departedMembers holds the incarnations that are no longer members. An
	// incarnation never becomes a member again.
	departedMembers map[namer.Incarnation]bool

	// fencedMembers is true for the departed incarnations whose leases this instance
	// has fenced, and for those that departed while it was not a member, whose leases
	// the members fence.
	fencedMembers map[namer.Incarnation]bool

	// view is the view of the own domain that this instance acts under.
	view namer.Offset
	// joinedWithView is the member whose join began the view; empty if the view
	// began otherwise.
	joinedWithView namer.Incarnation
	// receivedViews holds, for each peer, the last view for which its whole
	// directory has been received.
	receivedViews map[namer.Incarnation]namer.Offset
	// completeView is the last view for which this instance has received the
	// directories of all other members.
	completeView     namer.Offset
	directorySentAt  time.Time
	markSyncedSentAt time.Time
	lastHeartbeatAt  time.Time
	// heartbeatRounds counts the rounds of heartbeats.
	heartbeatRounds int
}

// peer is the state of one peer.
type peer struct {
	member coder.Member
	linked bool
	// lastMessageAt is when the last message from the peer was received. It is also
	// set when the link comes up and after a pause.
	lastMessageAt time.Time
	// logOffset and completeView are as reported in the peer's last heartbeat.
	logOffset    namer.Offset
	completeView namer.Offset
	// heartbeatNonce is the nonce of the peer's last heartbeat, to be echoed.
	heartbeatNonce uint64
	// reportedSilentSince is when the peer began to report this instance as
	// silent; zero if it does not.
	reportedSilentSince time.Time
	evictSentAt         time.Time
	idleSlots           []coder.IdleSlots
}

func newMembership(now time.Time) membership {
	return membership{
		createdAt:       now,
		joinDelay:       initialJoinDelay,
		peers:           make(map[namer.Incarnation]*peer),
		departedMembers: make(map[namer.Incarnation]bool),
		fencedMembers:   make(map[namer.Incarnation]bool),
		receivedViews:   make(map[namer.Incarnation]namer.Offset),
	}
}

func (m *membership) ensurePeer(inc namer.Incarnation, now time.Time) *peer {
	p, found := m.peers[inc]
	if !found {
		p = &peer{lastMessageAt: now}
		m.peers[inc] = p
	}
	return p
}

// detectPause detects that the process was paused. Other members may then have
// evicted this instance, and the silence of a peer during the pause is no sign
// of a failure of the peer.
func (n *Node) detectPause(now time.Time) {
	if now.Sub(n.now) < pauseThreshold {
		return
	}
	n.membership.viewStale = true
	n.membership.viewStaleSince = now
	n.membership.heartbeatNonce++
	for _, p := range n.membership.peers {
		p.lastMessageAt = now
	}
	n.logDecision(eventer.ProcessPaused, "", 0, "", now.Sub(n.now).String())
}

func (n *Node) isMember() bool {
	_, present := n.state.Member(n.self.Incarnation)
	return present
}

func (n *Node) isLinked(inc namer.Incarnation) bool {
	p, found := n.membership.peers[inc]
	return found && p.linked
}

// isSilent reports whether a peer is not linked, or has sent nothing for
// suspectTimeout.
func (n *Node) isSilent(inc namer.Incarnation) bool {
	p, found := n.membership.peers[inc]
	return !found || !p.linked || n.now.Sub(p.lastMessageAt) > suspectTimeout
}

func (n *Node) handleLinkUp(m coder.Member) {
	p := n.membership.ensurePeer(m.Incarnation, n.now)
	p.member = m
	p.linked = true
	p.lastMessageAt = n.now
	n.membership.directorySentAt = time.Time{}
	n.membership.lastHeartbeatAt = time.Time{}
	n.replication.requeueAllTo(m.Incarnation, n)
	n.clientCalls.routingDue = true
	n.logDecision(eventer.LinkUp, "", 0, string(m.Incarnation), "")
}

func (n *Node) handleLinkDown(inc namer.Incarnation) {
	p := n.membership.ensurePeer(inc, n.now)
	p.linked = false
	n.clientCalls.rerouteFrom(inc)
	n.logDecision(eventer.LinkDown, "", 0, string(inc), "")
}

func (n *Node) handleHeartbeat(from namer.Incarnation, heartbeat *coder.Heartbeat) {
	p := n.membership.ensurePeer(from, n.now)
	p.lastMessageAt = n.now
	p.logOffset = heartbeat.LogOffset
	p.completeView = heartbeat.CompleteView
	p.heartbeatNonce = heartbeat.Nonce
	p.idleSlots = heartbeat.IdleSlots
	p.updateSilentReport(n.now, heartbeat.SilentMembers, n.self.Incarnation)
	m, _ := n.state.Member(from)
	viewConfirmed := heartbeat.Echo == n.membership.heartbeatNonce && !heartbeat.ViewStale && heartbeat.LogOffset == n.state.AppliedOffset
	if n.membership.viewStale && viewConfirmed && m.Domain == n.self.Domain {
		n.membership.viewStale = false
	}
	if heartbeat.LogOffset < n.state.AppliedOffset {
		n.sendCatchUp(from, heartbeat.LogOffset)
	}
}

// sendCatchUp sends a peer the log records that it has not read, or a
// snapshot of the state if they are no longer in logTail.
func (n *Node) sendCatchUp(to namer.Incarnation, offset namer.Offset) {
	entries := entriesAfter(n.logTail, offset)
	if len(entries) == 0 || entries[0].Offset > offset+1 {
		entries = []coder.LogEntry{{
			Offset: n.state.AppliedOffset,
			Record: coder.Record{Version: coder.Version, Snapshot: n.state.Snapshot()},
		}}
	}
	n.sendMessage(to, &coder.Message{CatchUp: &coder.CatchUp{Entries: entries}})
}

// maintainMembership sends heartbeats and directories, and appends the log
// records by which this instance joins, evicts others, marks itself as synced,
// and leaves.
func (n *Node) maintainMembership() {
	n.sendHeartbeats()
	if !n.isMember() {
		n.requestJoin()
		return
	}
	n.evictSuspects()
	n.sendDirectories()
	n.updateCompleteView()
	n.appendMarkSynced()
	n.requestLeave()
}

func (n *Node) sendHeartbeats() {
	if n.now.Sub(n.membership.lastHeartbeatAt) < heartbeatInterval {
		return
	}
	n.membership.lastHeartbeatAt = n.now
	n.membership.heartbeatRounds++
	silent := n.silentMembers(silenceReportTimeout)
	for _, inc := range n.sortedPeers() {
		p := n.membership.peers[inc]
		if !p.linked || !p.evictSentAt.IsZero() {
			continue
		}
		if p.member.Domain != n.self.Domain && n.membership.heartbeatRounds%remoteHeartbeatRounds != 0 {
			continue
		}
		n.sendMessage(inc, &coder.Message{Heartbeat: &coder.Heartbeat{
			LogOffset:     n.state.AppliedOffset,
			Revision:      n.state.Config().Revision,
			ViewStale:     n.membership.viewStale,
			CompleteView:  n.membership.completeView,
			Nonce:         n.membership.heartbeatNonce,
			Echo:          p.heartbeatNonce,
			SilentMembers: silent,
			IdleSlots:     n.requests.idleSlots(),
		}})
	}
}

func (n *Node) sortedPeers() []namer.Incarnation {
	peers := make([]namer.Incarnation, 0, len(n.membership.peers))
	for inc := range n.membership.peers {
		peers = append(peers, inc)
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i] < peers[j] })
	return peers
}

// requestJoin appends a Join record. It does so at once if all members of the
// domain are linked, and otherwise after joinDelay: a member that is
// unreachable can be evicted only by another member.
func (n *Node) requestJoin() {
	if n.membership.everMember || n.draining || !n.logAvailable() {
		return
	}
	if !n.allLinked() && n.now.Sub(n.membership.createdAt) < n.membership.joinDelay {
		return
	}
	if n.now.Sub(n.membership.appendSentAt) < appendRetryInterval {
		return
	}
	n.membership.appendSentAt = n.now
	n.emitAction(AppendRecord{coder.Record{Join: &coder.Join{Member: n.self, At: n.now}}})
}

func (n *Node) allLinked() bool {
	for _, m := range n.state.Members(n.self.Domain) {
		if !n.isLinked(m.Incarnation) {
			return false
		}
	}
	return true
}

// otherMembers returns the other members of this instance's domain.
func (n *Node) otherMembers() []namer.Incarnation {
	var out []namer.Incarnation
	for _, m := range n.state.Members(n.self.Domain) {
		if m.Incarnation != n.self.Incarnation {
			out = append(out, m.Incarnation)
		}
	}
	return out
}

// evictionReason returns why a member should be evicted, or "". If all of
// several other members are silent, the fault is probably at this instance. The
// others then get time to evict it first, which loses less than evicting all of
// them.
func (n *Node) evictionReason(p *peer, isolated bool) string {
	silence := n.now.Sub(p.lastMessageAt)
	switch {
	case isolated && silence <= isolationTimeout:
		return ""
	case silence > suspectTimeout:
		return "silent"
	case !p.reportedSilentSince.IsZero() && n.now.Sub(p.reportedSilentSince) > silenceReportTimeout:
		return "does not hear this instance"
	}
	return ""
}

// silentMembers returns the other members of the domain that have been silent
// for longer than timeout.
func (n *Node) silentMembers(timeout time.Duration) []namer.Incarnation {
	var out []namer.Incarnation
	for _, inc := range n.otherMembers() {
		if n.now.Sub(n.membership.ensurePeer(inc, n.now).lastMessageAt) > timeout {
			out = append(out, inc)
		}
	}
	return out
}

func (p *peer) updateSilentReport(now time.Time, silent []namer.Incarnation, self namer.Incarnation) {
	for _, inc := range silent {
		if inc != self {
			continue
		}
		if p.reportedSilentSince.IsZero() {
			p.reportedSilentSince = now
		}
		return
	}
	p.reportedSilentSince = time.Time{}
}

func (n *Node) evictSuspects() {
	if n.membership.viewStale || !n.logAvailable() {
		return
	}
	others := n.otherMembers()
	isolated := len(others) > 1 && len(n.silentMembers(silenceReportTimeout)) == len(others)
	for _, inc := range others {
		p := n.membership.ensurePeer(inc, n.now)
		reason := n.evictionReason(p, isolated)
		if reason == "" || n.now.Sub(p.evictSentAt) < appendRetryInterval {
			continue
		}
		p.evictSentAt = n.now
		n.logDecision(eventer.MemberSuspected, "", 0, string(inc), reason)
		n.emitAction(AppendRecord{coder.Record{Evict: &coder.Evict{Incarnation: inc, RequestedBy: n.self.Incarnation, At: n.now}}})
	}
}
