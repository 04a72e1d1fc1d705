package dispatcher

import (
	"time"

	"github.com/heatherslip/heatherslip/internal/config/policer"
	"github.com/heatherslip/heatherslip/internal/core/queuer"
	"github.com/heatherslip/heatherslip/internal/core/viewer"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// snapshotEvery is how many records may follow a snapshot before the next.
const snapshotEvery = 256

// snapshotAge is how old a snapshot may get: it has to be written again before
// the log forgets it, whether anything has changed or not.
const snapshotAge = 10 * time.Minute

// logState is what the instance knows about the platform's log itself.
type logState struct {
	// read is when the log last answered a read; zero before the first.
	read time.Time
	down bool
	// claims are waiting to be appended, in order.
	claims []namer.Submission
	// claimSent is when the last claim was appended that is not yet read back.
	claimSent time.Time
	// denials wait for a read of the log that is begun after them.
	denials []*denial
	// reading is set while a read for denials is on its way.
	reading bool
	// snapshot is the last one read, and snapshotRead when.
	snapshot     namer.Offset
	snapshotRead time.Time
	// snapAsked is the state's offset when this instance last wrote one.
	snapAsked namer.Offset
}

// logUp reports whether the log has answered lately.
func (n *Node) logUp() bool {
	return !n.log.down && !n.log.read.IsZero() && n.now.Sub(n.log.read) < logSilence
}

func (n *Node) logFailed() {
	n.log.reading = false
	if !n.log.down {
		n.decide(eventer.LogDown, "", 0, "", "")
	}
	n.log.down = true
}

func (n *Node) logRead(e LogRead) {
	if n.log.down {
		n.decide(eventer.LogUp, "", 0, "", "")
	}
	n.log.down = false
	n.log.reading = false
	n.log.read = n.now
	n.learnRecords(e.Entries)
	if n.membership.stale && !e.Asked.Before(n.membership.staleSince) {
		n.membership.stale = false
	}
	n.readDenials(e.Asked)
	n.maybeSnapshot()
}

// learnRecords applies entries read from the log, or passed on by a peer.
func (n *Node) learnRecords(entries []coder.Entry) {
	before := n.state.Offset
	entries = after(entries, before)
	if len(entries) == 0 {
		return
	}
	state, changes := n.state.ApplyAll(entries, n.now)
	replaced := state != n.state
	n.state = state
	n.remember(entries)
	for _, e := range entries {
		if e.Record.Snapshot != nil {
			n.log.snapshot = e.Offset
			n.log.snapshotRead = n.now
		}
	}
	if replaced {
		n.stateReplaced()
	}
	for _, c := range changes {
		n.changed(c)
	}
	n.settleClaims()
}

func after(entries []coder.Entry, offset namer.Offset) []coder.Entry {
	for len(entries) > 0 && entries[0].Offset <= offset {
		entries = entries[1:]
	}
	return entries
}

func (n *Node) remember(entries []coder.Entry) {
	n.tail = append(n.tail, entries...)
	if len(n.tail) > 2*tailLength {
		n.tail = append([]coder.Entry(nil), n.tail[len(n.tail)-tailLength:]...)
	}
}

// stateReplaced takes over a state that came from a snapshot: what lies
// between is not known change by change.
func (n *Node) stateReplaced() {
	n.takeConfig()
	n.viewMoved(viewer.Change{Domain: n.self.Domain, Lost: true})
}

func (n *Node) changed(c viewer.Change) {
	if c.Revised {
		n.takeConfig()
	}
	if c.Outdated {
		n.decide(eventer.RevisionLost, "", 0, "", "base is not in force")
	}
	if c.Gone != "" {
		n.membership.gone[c.Gone] = true
		n.membership.fenced[c.Gone] = !n.isMember()
		n.entry.unlink(c.Gone)
		n.decide(eventer.Evicted, "", 0, string(c.Gone), "")
	}
	if c.Lost {
		n.decide(eventer.HistoryLost, "", 0, string(c.Domain), "")
	}
	if c.Domain != "" {
		n.decide(eventer.ViewChanged, "", 0, string(c.Domain), "")
	}
	if c.Domain == n.self.Domain {
		n.viewMoved(c)
	}
}

// takeConfig puts the newest revision in force. One that cannot be parsed
// leaves the policy before it, on every instance alike.
func (n *Node) takeConfig() {
	config := n.state.Config()
	if config.Revision == 0 {
		return
	}
	policy, err := policer.Parse(config.Text)
	if err != nil {
		n.decide(eventer.RevisionBad, "", 0, "", err.Error())
		return
	}
	n.policy = policy
	n.applyWeights()
	n.decide(eventer.RevisionTaken, "", int(config.Revision), "", "")
	n.do(Revised{Config: config})
}

func (n *Node) applyWeights() {
	for _, k := range n.policy.Kinds {
		for _, t := range n.policy.Teams {
			c := queuer.Class{Team: t.Name, Kind: k.Name}
			n.tasks.SetWeight(c, k.Weight)
			n.requests.queue.SetWeight(c, k.Weight)
		}
	}
}

// claim asks the log to make this instance the submission's runner.
func (n *Node) claim(sub namer.Submission) {
	n.log.claims = append(n.log.claims, sub)
}

// runClaims appends the waiting claims in one record. One append is on its
// way at a time, so that a slow log gets fewer and larger ones.
func (n *Node) runClaims() {
	if len(n.log.claims) == 0 || !n.logUp() {
		return
	}
	if n.now.Sub(n.log.claimSent) < appendAgain {
		return
	}
	n.log.claimSent = n.now
	keys := make([]coder.ClaimKey, len(n.log.claims))
	for i, sub := range n.log.claims {
		keys[i] = coder.ClaimKey{Submission: sub}
	}
	n.do(Append{coder.Record{Claim: &coder.Claim{Incarnation: n.self.Incarnation, Keys: keys, At: n.now}}})
}

// settleClaims looks which of the waiting claims the log now answers.
func (n *Node) settleClaims() {
	waiting := n.log.claims[:0]
	settled := false
	for _, sub := range n.log.claims {
		if n.settleClaim(sub) {
			settled = true
			continue
		}
		waiting = append(waiting, sub)
	}
	n.log.claims = waiting
	if settled {
		n.log.claimSent = time.Time{}
	}
}

// settleClaim returns true where nothing is left to wait for.
func (n *Node) settleClaim(sub namer.Submission) bool {
	id := sub.ID()
	r := n.table.Get(id)
	if r == nil || !r.Claiming {
		return true
	}
	by, taken := n.state.Claimed(id)
	if !taken {
		if owner, _ := n.state.Owner(sub); owner == n.self.Incarnation {
			return false
		}
		by = ""
	}
	r.Claiming = false
	if by == n.self.Incarnation {
		n.decide(eventer.Claimed, id, 0, "", "")
		n.hold(r)
		return true
	}
	if r.Offered || r.Held {
		return true
	}
	n.giveAway(r, by)
	return true
}

// snapshotOld reports whether the last snapshot is old. The first member of
// all writes the next; the others do where it has not for as long again.
func (n *Node) snapshotOld() bool {
	age := n.now.Sub(n.log.snapshotRead)
	first := n.state.Members("")[0].Incarnation == n.self.Incarnation
	return first && age > snapshotAge || age > 2*snapshotAge
}

// maybeSnapshot repeats the state in the log before its records are too far
// back. Any instance may do so; a second snapshot does no harm.
func (n *Node) maybeSnapshot() {
	behind := n.state.Offset - max(n.log.snapshot, n.log.snapAsked)
	if !n.isMember() || behind < snapshotEvery && !n.snapshotOld() {
		return
	}
	n.log.snapAsked = n.state.Offset
	n.log.snapshotRead = n.now
	n.do(Append{coder.Record{Snapshot: n.state.Snapshot()}})
}
