package dispatcher

import (
	"sort"
	"time"

	"github.com/heatherslip/heatherslip/internal/core/viewer"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// circle is what the instance knows about its peers and its own membership.
type circle struct {
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
	// farBeats.
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
	// deafSince is when the peer began to say that it does not hear this
	// instance; zero where it does.
	deafSince  time.Time
	evictAsked time.Time
	idle       []coder.IdleSlots
}

func newCircle(now time.Time) circle {
	return circle{
		born:     now,
		joinWait: joinWait,
		peers:    make(map[namer.Incarnation]*peer),
		gone:     make(map[namer.Incarnation]bool),
		fenced:   make(map[namer.Incarnation]bool),
		done:     make(map[namer.Incarnation]namer.Offset),
	}
}

func (c *circle) peer(inc namer.Incarnation, now time.Time) *peer {
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
	n.circle.stale = true
	n.circle.staleSince = now
	n.circle.nonce++
	for _, p := range n.circle.peers {
		p.heard = now
	}
	n.decide(eventer.Paused, "", 0, "", now.Sub(n.now).String())
}

func (n *Node) isMember() bool {
	_, present := n.state.Member(n.self.Incarnation)
	return present
}

func (n *Node) linked(inc namer.Incarnation) bool {
	p, found := n.circle.peers[inc]
	return found && p.linked
}

// silent reports whether a peer has not been heard for too long.
func (n *Node) silent(inc namer.Incarnation) bool {
	p, found := n.circle.peers[inc]
	return !found || !p.linked || n.now.Sub(p.heard) > suspectAfter
}

func (n *Node) linkUp(m coder.Member) {
	p := n.circle.peer(m.Incarnation, n.now)
	p.member = m
	p.linked = true
	p.heard = n.now
	n.circle.syncSent = time.Time{}
	n.circle.lastBeat = time.Time{}
	n.replica.resend(m.Incarnation, n)
	n.entry.relink(m.Incarnation)
	n.decide(eventer.LinkUp, "", 0, string(m.Incarnation), "")
}

func (n *Node) linkDown(inc namer.Incarnation) {
	p := n.circle.peer(inc, n.now)
	p.linked = false
	n.entry.unlink(inc)
	n.decide(eventer.LinkDown, "", 0, string(inc), "")
}

func (n *Node) beat(from namer.Incarnation, b *coder.Beat) {
	p := n.circle.peer(from, n.now)
	p.heard = n.now
	p.offset = b.Offset
	p.complete = b.Complete
	p.nonce = b.Nonce
	p.idle = b.Idle
	p.noteDeaf(n.now, b.Deaf, n.self.Incarnation)
	m, _ := n.state.Member(from)
	vouched := b.Echo == n.circle.nonce && !b.Stale && b.Offset == n.state.Offset
	if n.circle.stale && vouched && m.Domain == n.self.Domain {
		n.circle.stale = false
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

// runCircle beats, joins, suspects, tells others what they must know, and
// settles.
func (n *Node) runCircle() {
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
	if n.now.Sub(n.circle.lastBeat) < beatEvery {
		return
	}
	n.circle.lastBeat = n.now
	n.circle.beats++
	deaf := n.unheard(deafAfter)
	for _, inc := range n.peerNames() {
		p := n.circle.peers[inc]
		if !p.linked || !p.evictAsked.IsZero() {
			continue
		}
		if p.member.Domain != n.self.Domain && n.circle.beats%farBeats != 0 {
			continue
		}
		n.send(inc, &coder.Message{Beat: &coder.Beat{
			Offset:   n.state.Offset,
			Revision: n.state.Config().Revision,
			Stale:    n.circle.stale,
			Complete: n.circle.complete,
			Nonce:    n.circle.nonce,
			Echo:     p.nonce,
			Deaf:     deaf,
			Idle:     n.desk.idle(),
		}})
	}
}

func (n *Node) peerNames() []namer.Incarnation {
	names := make([]namer.Incarnation, 0, len(n.circle.peers))
	for inc := range n.circle.peers {
		names = append(names, inc)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// runJoin asks to become a member: at once where all members of the domain
// are linked, and after a wait where some are not, since only a member may
// evict them.
func (n *Node) runJoin() {
	if n.circle.wasMember || n.draining || !n.logUp() {
		return
	}
	if !n.allLinked() && n.now.Sub(n.circle.born) < n.circle.joinWait {
		return
	}
	if n.now.Sub(n.circle.joinAsked) < appendAgain {
		return
	}
	n.circle.joinAsked = n.now
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
	case !p.deafSince.IsZero() && n.now.Sub(p.deafSince) > deafAfter:
		return "does not hear this instance"
	}
	return ""
}

// unheard lists the other members that have been silent for longer than d.
func (n *Node) unheard(d time.Duration) []namer.Incarnation {
	var out []namer.Incarnation
	for _, inc := range n.others() {
		if n.now.Sub(n.circle.peer(inc, n.now).heard) > d {
			out = append(out, inc)
		}
	}
	return out
}

func (p *peer) noteDeaf(now time.Time, deaf []namer.Incarnation, self namer.Incarnation) {
	for _, inc := range deaf {
		if inc != self {
			continue
		}
		if p.deafSince.IsZero() {
			p.deafSince = now
		}
		return
	}
	p.deafSince = time.Time{}
}

func (n *Node) runSuspicion() {
	if n.circle.stale || !n.logUp() {
		return
	}
	others := n.others()
	alone := len(others) > 1 && len(n.unheard(deafAfter)) == len(others)
	for _, inc := range others {
		p := n.circle.peer(inc, n.now)
		why := n.suspicion(p, alone)
		if why == "" || n.now.Sub(p.evictAsked) < appendAgain {
			continue
		}
		p.evictAsked = n.now
		n.decide(eventer.Suspected, "", 0, string(inc), why)
		n.do(Append{coder.Record{Evict: &coder.Evict{Incarnation: inc, By: n.self.Incarnation, At: n.now}}})
	}
}

// viewMoved acts on a change of the own domain's members.
func (n *Node) viewMoved(c viewer.Change) {
	if !n.isMember() {
		n.notMember()
		return
	}
	if !n.circle.wasMember {
		n.circle.wasMember = true
		n.decide(eventer.Joined, "", 0, string(n.self.Incarnation), "")
	}
	n.circle.view = n.state.View(n.self.Domain)
	n.circle.joined = c.Joined
	n.circle.syncSent = time.Time{}
	for _, inc := range n.others() {
		n.circle.peer(inc, n.now)
	}
	n.desk.router.SetPeers(n.self.Incarnation, incarnations(n.state.Members(n.self.Domain)))
	if c.Gone != "" || c.Lost {
		n.membersGone()
	}
	n.replica.viewMoved(n)
}

func incarnations(members []coder.Member) []namer.Incarnation {
	out := make([]namer.Incarnation, len(members))
	for i, m := range members {
		out[i] = m.Incarnation
	}
	return out
}

// notMember starts over where this instance was a member and is none now.
// Nothing that it held may be acted on: another member has taken it over.
func (n *Node) notMember() {
	if !n.circle.wasMember {
		return
	}
	if n.draining {
		n.leftView()
		return
	}
	n.decide(eventer.Rejoining, "", 0, string(n.self.Incarnation), "evicted")
	n.self.Incarnation = n.rename()
	n.circle.joinWait = min(2*n.circle.joinWait, maxJoinWait)
	peers := n.circle.peers
	gone, fenced := n.circle.gone, n.circle.fenced
	stale, since, nonce := n.circle.stale, n.circle.staleSince, n.circle.nonce
	n.reset()
	n.circle.gone, n.circle.fenced = gone, fenced
	n.circle.stale, n.circle.staleSince, n.circle.nonce = stale, since, nonce
	for inc, p := range peers {
		n.circle.peers[inc] = &peer{member: p.member, heard: n.now}
	}
	n.entry.unlinkAll()
	n.ledger.claims = nil
	n.ledger.denials = nil
	n.do(Rename{Member: n.self})
}

// runSync sends each other member of the domain what it must know to own
// keys in the present view, again and again until it says that it does.
func (n *Node) runSync() {
	if n.now.Sub(n.circle.syncSent) < resendAfter || n.fences.barring() {
		return
	}
	n.circle.syncSent = n.now
	for _, inc := range n.others() {
		if p := n.circle.peer(inc, n.now); p.linked && p.complete < n.circle.view {
			n.sendSync(inc)
		}
	}
}

// syncChunk is how many lines of the directory go into one message.
const syncChunk = 4096

func (n *Node) sendSync(to namer.Incarnation) {
	var known []coder.Known
	n.table.EachKnown(func(k coder.Known) {
		home := n.self.Domain
		owner, heir := n.state.OwnerIn(home, k.ID)
		if owner == to || heir == to {
			known = append(known, k)
		}
	})
	sort.Slice(known, func(i, j int) bool { return known[i].ID < known[j].ID })
	for len(known) > syncChunk {
		n.send(to, &coder.Message{Sync: &coder.Sync{View: n.circle.view, Known: known[:syncChunk]}})
		known = known[syncChunk:]
	}
	n.send(to, &coder.Message{Sync: &coder.Sync{View: n.circle.view, Known: known, Done: true}})
}

func (n *Node) sync(from namer.Incarnation, s *coder.Sync) {
	n.circle.peer(from, n.now).heard = n.now
	if m, present := n.state.Member(from); present && m.Domain != n.self.Domain {
		n.decide(eventer.MessageBad, "", 0, string(from), "sync from another domain")
		return
	}
	for _, k := range s.Known {
		n.learnKnown(k)
	}
	if s.Done && s.View > n.circle.done[from] {
		n.circle.done[from] = s.View
	}
}

// learnKnown takes in a line of the directory, unless it names a runner that
// is gone where a present one is known.
func (n *Node) learnKnown(k coder.Known) {
	old, found := n.table.Known(k.ID)
	if found {
		_, oldPresent := n.state.Member(old.Runner)
		_, newPresent := n.state.Member(k.Runner)
		if oldPresent && !newPresent {
			return
		}
	}
	n.table.Learn(k)
}

// runComplete sees whether all others have told what they know. A member that
// came with this view knows nothing that the others do not.
func (n *Node) runComplete() {
	if n.circle.complete == n.circle.view || n.fences.barring() {
		return
	}
	for _, inc := range n.others() {
		if inc == n.circle.joined {
			continue
		}
		if n.circle.done[inc] != n.circle.view {
			return
		}
	}
	n.circle.complete = n.circle.view
	n.circle.lastBeat = time.Time{}
	n.circle.joinWait = joinWait
	n.decide(eventer.Complete, "", 0, "", "")
}

// mayOwn reports whether this instance may take in submissions, as their owner
// or as their backup.
func (n *Node) mayOwn() bool {
	return n.knowsAll() && n.state.EverSettled(n.self.Incarnation)
}

// knowsAll reports whether this instance knows all that the members of its
// view know of the keys that it owns.
func (n *Node) knowsAll() bool {
	return n.isMember() && n.circle.complete == n.circle.view && !n.circle.stale
}

// runSettle tells the log that another member holds all that this one does.
func (n *Node) runSettle() {
	if !n.knowsAll() || n.state.Settled(n.self.Incarnation) || !n.logUp() {
		return
	}
	if n.now.Sub(n.circle.settleAsked) < appendAgain || !n.replica.protected(n) {
		return
	}
	for _, inc := range n.others() {
		if n.circle.peer(inc, n.now).complete < n.circle.view {
			return
		}
	}
	n.circle.settleAsked = n.now
	n.decide(eventer.SettledView, "", 0, "", "")
	n.do(Append{coder.Record{Settle: &coder.Settle{Incarnation: n.self.Incarnation, View: n.circle.view}}})
}
