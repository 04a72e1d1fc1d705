package dispatcher

import (
	"sort"
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// membership is what the instance knows about its peers and its own membership.
type membership struct {
	createdAt time.Time
	// stale is set after a pause until the log has been read, or a peer that
	// is not stale has shown that the view is still the same.
	stale          bool
	staleSince     time.Time
	heartbeatNonce uint64

	// everMember is set once this incarnation has been in the view.
	everMember       bool
	membershipSentAt time.Time
	joinDelay        time.Duration

	peers map[namer.Incarnation]*peer
	// departed holds incarnations that were members and never will be again.
	departed map[namer.Incarnation]bool

	// fencedDeparted holds those of gone whose leases have been fenced.
	fencedDeparted map[namer.Incarnation]bool

	// view is the own domain's view that the instance acts under.
	view namer.Offset
	// joinedWithView is who came in with the view, if anybody.
	joinedWithView namer.Incarnation
	// syncedViews holds, per peer, the view for which it has sent all it knows.
	syncedViews map[namer.Incarnation]namer.Offset
	// completeView is the view for which this instance knows all it must.
	completeView    namer.Offset
	syncSentAt      time.Time
	settleSentAt    time.Time
	lastHeartbeatAt time.Time
	// heartbeatRounds counts the rounds of beats; members of other domains get one of
	// remoteBeats.
	heartbeatRounds int
}

// peer is a row of the table of peers.
type peer struct {
	member coder.Member
	linked bool
	// lastMessageAt is when the last message came.
	lastMessageAt time.Time
	logOffset     namer.Offset
	completeView  namer.Offset
	// heartbeatNonce is to be echoed.
	heartbeatNonce uint64
	// unheardReportedSince is when the peer began to say that it does not hear this
	// instance; zero where it does.
	unheardReportedSince time.Time
	evictSentAt          time.Time
	idleSlots            []coder.IdleSlots
}

func newMembership(now time.Time) membership {
	return membership{
		createdAt:      now,
		joinDelay:      initialJoinDelay,
		peers:          make(map[namer.Incarnation]*peer),
		departed:       make(map[namer.Incarnation]bool),
		fencedDeparted: make(map[namer.Incarnation]bool),
		syncedViews:    make(map[namer.Incarnation]namer.Offset),
	}
}

func (c *membership) ensurePeer(inc namer.Incarnation, now time.Time) *peer {
	p, found := c.peers[inc]
	if !found {
		p = &peer{lastMessageAt: now}
		c.peers[inc] = p
	}
	return p
}

// detectPause sees whether the process stood still. If so, others may have
// evicted it meanwhile, and its own suspicions are worth nothing.
func (n *Node) detectPause(now time.Time) {
	if now.Sub(n.now) < pauseThreshold {
		return
	}
	n.membership.stale = true
	n.membership.staleSince = now
	n.membership.heartbeatNonce++
	for _, p := range n.membership.peers {
		p.lastMessageAt = now
	}
	n.logDecision(eventer.Paused, "", 0, "", now.Sub(n.now).String())
}

func (n *Node) isMember() bool {
	_, present := n.state.Member(n.self.Incarnation)
	return present
}

func (n *Node) isLinked(inc namer.Incarnation) bool {
	p, found := n.membership.peers[inc]
	return found && p.linked
}

// isSilent reports whether a peer has not been heard for too long.
func (n *Node) isSilent(inc namer.Incarnation) bool {
	p, found := n.membership.peers[inc]
	return !found || !p.linked || n.now.Sub(p.lastMessageAt) > suspectTimeout
}

func (n *Node) handleLinkUp(m coder.Member) {
	p := n.membership.ensurePeer(m.Incarnation, n.now)
	p.member = m
	p.linked = true
	p.lastMessageAt = n.now
	n.membership.syncSentAt = time.Time{}
	n.membership.lastHeartbeatAt = time.Time{}
	n.replication.resendAllTo(m.Incarnation, n)
	n.clientCalls.routingDue = true
	n.logDecision(eventer.LinkUp, "", 0, string(m.Incarnation), "")
}

func (n *Node) handleLinkDown(inc namer.Incarnation) {
	p := n.membership.ensurePeer(inc, n.now)
	p.linked = false
	n.clientCalls.rerouteFrom(inc)
	n.logDecision(eventer.LinkDown, "", 0, string(inc), "")
}

func (n *Node) handleHeartbeat(from namer.Incarnation, b *coder.Beat) {
	p := n.membership.ensurePeer(from, n.now)
	p.lastMessageAt = n.now
	p.logOffset = b.Offset
	p.completeView = b.Complete
	p.heartbeatNonce = b.Nonce
	p.idleSlots = b.Idle
	p.updateUnheardReport(n.now, b.Unheard, n.self.Incarnation)
	m, _ := n.state.Member(from)
	viewConfirmed := b.Echo == n.membership.heartbeatNonce && !b.Stale && b.Offset == n.state.Offset
	if n.membership.stale && viewConfirmed && m.Domain == n.self.Domain {
		n.membership.stale = false
	}
	if b.Offset < n.state.Offset {
		n.sendMissingRecords(from, b.Offset)
	}
}

// sendMissingRecords sends a peer the records of the log that it lacks, or the whole
// state where they are no longer at hand.
func (n *Node) sendMissingRecords(to namer.Incarnation, offset namer.Offset) {
	entries := entriesAfter(n.logTail, offset)
	if len(entries) == 0 || entries[0].Offset > offset+1 {
		entries = []coder.Entry{{
			Offset: n.state.Offset,
			Record: coder.Record{Version: coder.Version, Snapshot: n.state.Snapshot()},
		}}
	}
	n.sendMessage(to, &coder.Message{Records: &coder.Records{Entries: entries}})
}

// updateMembership beats, joins, suspects, tells others what they must know, and
// settles.
func (n *Node) updateMembership() {
	n.sendHeartbeats()
	if !n.isMember() {
		n.requestJoin()
		return
	}
	n.evictSuspects()
	n.syncMembers()
	n.updateCompleteView()
	n.requestSettle()
	n.requestLeave()
}

func (n *Node) sendHeartbeats() {
	if n.now.Sub(n.membership.lastHeartbeatAt) < heartbeatInterval {
		return
	}
	n.membership.lastHeartbeatAt = n.now
	n.membership.heartbeatRounds++
	unheard := n.unheardMembers(unheardTimeout)
	for _, inc := range n.sortedPeers() {
		p := n.membership.peers[inc]
		if !p.linked || !p.evictSentAt.IsZero() {
			continue
		}
		if p.member.Domain != n.self.Domain && n.membership.heartbeatRounds%remoteHeartbeatRounds != 0 {
			continue
		}
		n.sendMessage(inc, &coder.Message{Beat: &coder.Beat{
			Offset:   n.state.Offset,
			Revision: n.state.Config().Revision,
			Stale:    n.membership.stale,
			Complete: n.membership.completeView,
			Nonce:    n.membership.heartbeatNonce,
			Echo:     p.heartbeatNonce,
			Unheard:  unheard,
			Idle:     n.requests.idleSlots(),
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

// requestJoin asks to become a member: at once where all members of the domain
// are linked, and after a wait where some are not, since only a member may
// evict them.
func (n *Node) requestJoin() {
	if n.membership.everMember || n.draining || !n.logAvailable() {
		return
	}
	if !n.allLinked() && n.now.Sub(n.membership.createdAt) < n.membership.joinDelay {
		return
	}
	if n.now.Sub(n.membership.membershipSentAt) < appendRetryInterval {
		return
	}
	n.membership.membershipSentAt = n.now
	n.emit(Append{coder.Record{Join: &coder.Join{Member: n.self, At: n.now}}})
}

func (n *Node) allLinked() bool {
	for _, m := range n.state.Members(n.self.Domain) {
		if !n.isLinked(m.Incarnation) {
			return false
		}
	}
	return true
}

// otherMembers lists the other members of the own domain.
func (n *Node) otherMembers() []namer.Incarnation {
	var out []namer.Incarnation
	for _, m := range n.state.Members(n.self.Domain) {
		if m.Incarnation != n.self.Incarnation {
			out = append(out, m.Incarnation)
		}
	}
	return out
}

// evictionReason says why a member should go, or "". Where none of several others
// is heard, the fault is rather here: they get time to evict this instance,
// which loses less, before it evicts them.
func (n *Node) evictionReason(p *peer, isolated bool) string {
	silence := n.now.Sub(p.lastMessageAt)
	switch {
	case isolated && silence <= isolationTimeout:
		return ""
	case silence > suspectTimeout:
		return "silent"
	case !p.unheardReportedSince.IsZero() && n.now.Sub(p.unheardReportedSince) > unheardTimeout:
		return "does not hear this instance"
	}
	return ""
}

// unheardMembers lists the other members that have been silent for longer than d.
func (n *Node) unheardMembers(timeout time.Duration) []namer.Incarnation {
	var out []namer.Incarnation
	for _, inc := range n.otherMembers() {
		if n.now.Sub(n.membership.ensurePeer(inc, n.now).lastMessageAt) > timeout {
			out = append(out, inc)
		}
	}
	return out
}

func (p *peer) updateUnheardReport(now time.Time, unheard []namer.Incarnation, self namer.Incarnation) {
	for _, inc := range unheard {
		if inc != self {
			continue
		}
		if p.unheardReportedSince.IsZero() {
			p.unheardReportedSince = now
		}
		return
	}
	p.unheardReportedSince = time.Time{}
}

func (n *Node) evictSuspects() {
	if n.membership.stale || !n.logAvailable() {
		return
	}
	others := n.otherMembers()
	isolated := len(others) > 1 && len(n.unheardMembers(unheardTimeout)) == len(others)
	for _, inc := range others {
		p := n.membership.ensurePeer(inc, n.now)
		reason := n.evictionReason(p, isolated)
		if reason == "" || n.now.Sub(p.evictSentAt) < appendRetryInterval {
			continue
		}
		p.evictSentAt = n.now
		n.logDecision(eventer.Suspected, "", 0, string(inc), reason)
		n.emit(Append{coder.Record{Evict: &coder.Evict{Incarnation: inc, By: n.self.Incarnation, At: n.now}}})
	}
}
