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
	born time.Time
	// stale is set after a pause until the log has been read, or a peer that
	// is not stale has shown that the view is still the same.
	stale      bool
	staleSince time.Time
	nonce      uint64

	// wasMember is set once this incarnation has been in the view.
	wasMember bool
	joinAsked time.Time
	joinWait  time.Duration

	peers map[namer.Incarnation]*peer
	// gone holds incarnations that were members and never will be again.
	gone map[namer.Incarnation]bool

	// fenced holds those of gone whose leases have been fenced.
	fenced map[namer.Incarnation]bool

	// view is the own domain's view that the instance acts under.
	view namer.Offset
	// joined is who came in with the view, if anybody.
	joined namer.Incarnation
	// done holds, per peer, the view for which it has sent all it knows.
	done map[namer.Incarnation]namer.Offset
	// complete is the view for which this instance knows all it must.
	complete    namer.Offset
	syncSent    time.Time
	settleAsked time.Time
	lastBeat    time.Time
	// beats counts the rounds of beats; members of other domains get one of
	// remoteBeats.
	beats int
}

// peer is a row of the table of peers.
type peer struct {
	member coder.Member
	linked bool
	// heard is when the last message came.
	heard    time.Time
	offset   namer.Offset
	complete namer.Offset
	// nonce is to be echoed.
	nonce uint64
	// unheardSince is when the peer began to say that it does not hear this
	// instance; zero where it does.
	unheardSince time.Time
	evictAsked   time.Time
	idle         []coder.IdleSlots
}

func newMembership(now time.Time) membership {
	return membership{
		born:     now,
		joinWait: joinWait,
		peers:    make(map[namer.Incarnation]*peer),
		gone:     make(map[namer.Incarnation]bool),
		fenced:   make(map[namer.Incarnation]bool),
		done:     make(map[namer.Incarnation]namer.Offset),
	}
}

func (c *membership) peer(inc namer.Incarnation, now time.Time) *peer {
	p, found := c.peers[inc]
	if !found {
		p = &peer{heard: now}
		c.peers[inc] = p
	}
	return p
}

// notePause sees whether the process stood still. If so, others may have
// evicted it meanwhile, and its own suspicions are worth nothing.
func (n *Node) notePause(now time.Time) {
	if now.Sub(n.now) < pauseLimit {
		return
	}
	n.membership.stale = true
	n.membership.staleSince = now
	n.membership.nonce++
	for _, p := range n.membership.peers {
		p.heard = now
	}
	n.decide(eventer.Paused, "", 0, "", now.Sub(n.now).String())
}

func (n *Node) isMember() bool {
	_, present := n.state.Member(n.self.Incarnation)
	return present
}

func (n *Node) linked(inc namer.Incarnation) bool {
	p, found := n.membership.peers[inc]
	return found && p.linked
}

// silent reports whether a peer has not been heard for too long.
func (n *Node) silent(inc namer.Incarnation) bool {
	p, found := n.membership.peers[inc]
	return !found || !p.linked || n.now.Sub(p.heard) > suspectAfter
}

func (n *Node) linkUp(m coder.Member) {
	p := n.membership.peer(m.Incarnation, n.now)
	p.member = m
	p.linked = true
	p.heard = n.now
	n.membership.syncSent = time.Time{}
	n.membership.lastBeat = time.Time{}
	n.replica.resend(m.Incarnation, n)
	n.entry.due = true
	n.decide(eventer.LinkUp, "", 0, string(m.Incarnation), "")
}

func (n *Node) linkDown(inc namer.Incarnation) {
	p := n.membership.peer(inc, n.now)
	p.linked = false
	n.entry.unlink(inc)
	n.decide(eventer.LinkDown, "", 0, string(inc), "")
}

func (n *Node) beat(from namer.Incarnation, b *coder.Beat) {
	p := n.membership.peer(from, n.now)
	p.heard = n.now
	p.offset = b.Offset
	p.complete = b.Complete
	p.nonce = b.Nonce
	p.idle = b.Idle
	p.noteUnheard(n.now, b.Unheard, n.self.Incarnation)
	m, _ := n.state.Member(from)
	vouched := b.Echo == n.membership.nonce && !b.Stale && b.Offset == n.state.Offset
	if n.membership.stale && vouched && m.Domain == n.self.Domain {
		n.membership.stale = false
	}
	if b.Offset < n.state.Offset {
		n.passOn(from, b.Offset)
	}
}

// passOn sends a peer the records of the log that it lacks, or the whole
// state where they are no longer at hand.
func (n *Node) passOn(to namer.Incarnation, offset namer.Offset) {
	entries := after(n.tail, offset)
	if len(entries) == 0 || entries[0].Offset > offset+1 {
		entries = []coder.Entry{{
			Offset: n.state.Offset,
			Record: coder.Record{Version: coder.Version, Snapshot: n.state.Snapshot()},
		}}
	}
	n.send(to, &coder.Message{Records: &coder.Records{Entries: entries}})
}

// runMembership beats, joins, suspects, tells others what they must know, and
// settles.
func (n *Node) runMembership() {
	n.runBeat()
	if !n.isMember() {
		n.runJoin()
		return
	}
	n.runSuspicion()
	n.runSync()
	n.runComplete()
	n.runSettle()
	n.runLeave()
}

func (n *Node) runBeat() {
	if n.now.Sub(n.membership.lastBeat) < beatEvery {
		return
	}
	n.membership.lastBeat = n.now
	n.membership.beats++
	unheard := n.unheard(unheardAfter)
	for _, inc := range n.peerNames() {
		p := n.membership.peers[inc]
		if !p.linked || !p.evictAsked.IsZero() {
			continue
		}
		if p.member.Domain != n.self.Domain && n.membership.beats%remoteBeats != 0 {
			continue
		}
		n.send(inc, &coder.Message{Beat: &coder.Beat{
			Offset:   n.state.Offset,
			Revision: n.state.Config().Revision,
			Stale:    n.membership.stale,
			Complete: n.membership.complete,
			Nonce:    n.membership.nonce,
			Echo:     p.nonce,
			Unheard:  unheard,
			Idle:     n.requests.idle(),
		}})
	}
}

func (n *Node) peerNames() []namer.Incarnation {
	names := make([]namer.Incarnation, 0, len(n.membership.peers))
	for inc := range n.membership.peers {
		names = append(names, inc)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// runJoin asks to become a member: at once where all members of the domain
// are linked, and after a wait where some are not, since only a member may
// evict them.
func (n *Node) runJoin() {
	if n.membership.wasMember || n.draining || !n.logUp() {
		return
	}
	if !n.allLinked() && n.now.Sub(n.membership.born) < n.membership.joinWait {
		return
	}
	if n.now.Sub(n.membership.joinAsked) < appendAgain {
		return
	}
	n.membership.joinAsked = n.now
	n.do(Append{coder.Record{Join: &coder.Join{Member: n.self, At: n.now}}})
}

func (n *Node) allLinked() bool {
	for _, m := range n.state.Members(n.self.Domain) {
		if !n.linked(m.Incarnation) {
			return false
		}
	}
	return true
}

// others lists the other members of the own domain.
func (n *Node) others() []namer.Incarnation {
	var out []namer.Incarnation
	for _, m := range n.state.Members(n.self.Domain) {
		if m.Incarnation != n.self.Incarnation {
			out = append(out, m.Incarnation)
		}
	}
	return out
}

// suspicion says why a member should go, or "". Where none of several others
// is heard, the fault is rather here: they get time to evict this instance,
// which loses less, before it evicts them.
func (n *Node) suspicion(p *peer, alone bool) string {
	silent := n.now.Sub(p.heard)
	switch {
	case alone && silent <= aloneAfter:
		return ""
	case silent > suspectAfter:
		return "silent"
	case !p.unheardSince.IsZero() && n.now.Sub(p.unheardSince) > unheardAfter:
		return "does not hear this instance"
	}
	return ""
}

// unheard lists the other members that have been silent for longer than d.
func (n *Node) unheard(d time.Duration) []namer.Incarnation {
	var out []namer.Incarnation
	for _, inc := range n.others() {
		if n.now.Sub(n.membership.peer(inc, n.now).heard) > d {
			out = append(out, inc)
		}
	}
	return out
}

func (p *peer) noteUnheard(now time.Time, unheard []namer.Incarnation, self namer.Incarnation) {
	for _, inc := range unheard {
		if inc != self {
			continue
		}
		if p.unheardSince.IsZero() {
			p.unheardSince = now
		}
		return
	}
	p.unheardSince = time.Time{}
}

func (n *Node) runSuspicion() {
	if n.membership.stale || !n.logUp() {
		return
	}
	others := n.others()
	alone := len(others) > 1 && len(n.unheard(unheardAfter)) == len(others)
	for _, inc := range others {
		p := n.membership.peer(inc, n.now)
		why := n.suspicion(p, alone)
		if why == "" || n.now.Sub(p.evictAsked) < appendAgain {
			continue
		}
		p.evictAsked = n.now
		n.decide(eventer.Suspected, "", 0, string(inc), why)
		n.do(Append{coder.Record{Evict: &coder.Evict{Incarnation: inc, By: n.self.Incarnation, At: n.now}}})
	}
}
