package dispatcher

import (
	"sort"
	"time"

	"github.com/heatherslip/heatherslip/internal/core/viewer"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// viewMoved acts on a change of the own domain's members.
func (n *Node) viewMoved(c viewer.Change) {
	if !n.isMember() {
		n.notMember()
		return
	}
	if !n.membership.wasMember {
		n.membership.wasMember = true
		n.decide(eventer.Joined, "", 0, string(n.self.Incarnation), "")
	}
	n.membership.view = n.state.View(n.self.Domain)
	n.membership.joined = c.Joined
	n.membership.syncSent = time.Time{}
	for _, inc := range n.others() {
		n.membership.peer(inc, n.now)
	}
	n.requests.router.SetPeers(n.self.Incarnation, incarnations(n.state.Members(n.self.Domain)))
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
	if !n.membership.wasMember {
		return
	}
	if n.draining {
		n.leftView()
		return
	}
	n.decide(eventer.Rejoining, "", 0, string(n.self.Incarnation), "evicted")
	n.self.Incarnation = n.rename()
	n.membership.joinWait = min(2*n.membership.joinWait, maxJoinWait)
	peers := n.membership.peers
	gone, fenced := n.membership.gone, n.membership.fenced
	stale, since, nonce := n.membership.stale, n.membership.staleSince, n.membership.nonce
	n.reset()
	n.membership.gone, n.membership.fenced = gone, fenced
	n.membership.stale, n.membership.staleSince, n.membership.nonce = stale, since, nonce
	for inc, p := range peers {
		n.membership.peers[inc] = &peer{member: p.member, heard: n.now}
	}
	n.listed(n.list)
	n.entry.unlinkAll()
	n.log.claims = nil
	n.log.denials = nil
	n.do(Rename{Member: n.self})
}

// runSync sends each other member of the domain what it must know to own
// keys in the present view, again and again until it says that it does.
func (n *Node) runSync() {
	if n.now.Sub(n.membership.syncSent) < resendAfter || n.fences.blocking() {
		return
	}
	n.membership.syncSent = n.now
	for _, inc := range n.others() {
		if p := n.membership.peer(inc, n.now); p.linked && p.complete < n.membership.view {
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
		n.send(to, &coder.Message{Sync: &coder.Sync{View: n.membership.view, Known: known[:syncChunk]}})
		known = known[syncChunk:]
	}
	n.send(to, &coder.Message{Sync: &coder.Sync{View: n.membership.view, Known: known, Done: true}})
}

func (n *Node) sync(from namer.Incarnation, s *coder.Sync) {
	n.membership.peer(from, n.now).heard = n.now
	if m, present := n.state.Member(from); present && m.Domain != n.self.Domain {
		n.decide(eventer.MessageBad, "", 0, string(from), "sync from another domain")
		return
	}
	for _, k := range s.Known {
		n.learnKnown(k)
	}
	if s.Done && s.View > n.membership.done[from] {
		n.membership.done[from] = s.View
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
	if n.membership.complete == n.membership.view || n.fences.blocking() {
		return
	}
	for _, inc := range n.others() {
		if inc == n.membership.joined {
			continue
		}
		if n.membership.done[inc] != n.membership.view {
			return
		}
	}
	n.membership.complete = n.membership.view
	n.membership.lastBeat = time.Time{}
	n.membership.joinWait = joinWait
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
	return n.isMember() && n.membership.complete == n.membership.view && !n.membership.stale
}

// runSettle tells the log that another member holds all that this one does.
func (n *Node) runSettle() {
	if !n.knowsAll() || n.state.Settled(n.self.Incarnation) || !n.logUp() {
		return
	}
	if n.now.Sub(n.membership.settleAsked) < appendAgain || !n.replica.protected(n) {
		return
	}
	for _, inc := range n.others() {
		if n.membership.peer(inc, n.now).complete < n.membership.view {
			return
		}
	}
	n.membership.settleAsked = n.now
	n.decide(eventer.SettledView, "", 0, "", "")
	n.do(Append{coder.Record{Settle: &coder.Settle{Incarnation: n.self.Incarnation, View: n.membership.view}}})
}
