package dispatcher

import (
	"sort"
	"time"

	"github.com/heatherslip/heatherslip/internal/core/tracker"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// maxUpdatesPerMessage bounds the updates in one Replicate message.
const maxUpdatesPerMessage = 256

// replication sends changes of submissions from their primary to their backups.
// An effect that depends on a change is held back until the backup has
// acknowledged the change.
type replication struct {
	lastSeq uint64
	// pendingRecords lists the submissions with changes to replicate.
	pendingRecords []namer.ID
	// pendingDenials wait to be sent to the successors of their keys.
	pendingDenials []*denial
	// inFlight holds the messages that are not acknowledged, by sequence
	// number.
	inFlight map[uint64]*inFlightMessage
	// withoutBackup holds the submissions whose backup departed, until the new
	// backup has acknowledged them.
	withoutBackup map[namer.ID]bool
}

// inFlightMessage is a Replicate message that waits for its acknowledgement.
type inFlightMessage struct {
	to      namer.Incarnation
	sentAt  time.Time
	updates []sentUpdate
}

// sentUpdate describes what a Replicate message contains for one submission.
type sentUpdate struct {
	id             namer.ID
	hasWork        bool
	hasFinalAnswer bool
	placements     []coder.Placement
	// denial is set if the update asks the successor to confirm a denial; the
	// other fields are then unset.
	denial *denial
}

func newReplication() replication {
	return replication{
		inFlight:      make(map[uint64]*inFlightMessage),
		withoutBackup: make(map[namer.ID]bool),
	}
}

// markForReplication puts a record on the list of pending records if this
// instance is its primary.
func (n *Node) markForReplication(r *tracker.Record) {
	if r.NeedsReplication || r.Primary != n.self.Incarnation {
		return
	}
	r.NeedsReplication = true
	n.replication.pendingRecords = append(n.replication.pendingRecords, r.ID)
}

// replicatePending sends the changes of all pending records to their backups,
// in as few messages as possible.
func (n *Node) replicatePending() {
	n.replication.requeueExpired(n)
	if len(n.replication.pendingRecords)+len(n.replication.pendingDenials) == 0 {
		return
	}
	pending := n.replication.pendingRecords
	n.replication.pendingRecords = nil
	b := &outgoingBatches{byPeer: make(map[namer.Incarnation]*batch)}
	for _, id := range pending {
		r := n.submissions.Get(id)
		if r == nil {
			continue
		}
		r.NeedsReplication = false
		if r.Primary != n.self.Incarnation {
			continue
		}
		if r.Backup == "" {
			n.confirmWithoutBackup(r)
			continue
		}
		n.addUpdate(b.batchFor(r.Backup), r)
	}
	n.addDenialUpdates(b)
	for _, to := range b.peers {
		n.sendBatch(to, b.byPeer[to])
	}
}

// outgoingBatches collects the updates of one step by receiver.
type outgoingBatches struct {
	byPeer map[namer.Incarnation]*batch
	// peers lists the receivers in the order of their first update.
	peers []namer.Incarnation
}

func (b *outgoingBatches) batchFor(inc namer.Incarnation) *batch {
	outgoing, ok := b.byPeer[inc]
	if !ok {
		outgoing = &batch{}
		b.byPeer[inc] = outgoing
		b.peers = append(b.peers, inc)
	}
	return outgoing
}

// batch holds the updates for one receiver, and a description of each that is kept
// until the acknowledgement.
type batch struct {
	updates []coder.Update
	sent    []sentUpdate
}

func (b *batch) addUpdate(u coder.Update, sent sentUpdate) {
	b.updates = append(b.updates, u)
	b.sent = append(b.sent, sent)
}

// addUpdate adds the changes of a record that its backup has not acknowledged
// and that are not in flight.
func (n *Node) addUpdate(b *batch, r *tracker.Record) {
	u := coder.Update{ID: r.ID}
	sent := sentUpdate{id: r.ID}
	if !r.BackupAcked {
		u.Work = r.Work
		u.Digest = r.Digest
		sent.hasWork = true
	}
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if t.State == tracker.TaskQueued || t.PlacementInFlight {
			continue
		}
		if t.State != tracker.TaskPlaced && !sent.hasWork {
			continue
		}
		t.PlacementInFlight = t.State == tracker.TaskPlaced
		u.Placements = append(u.Placements, coder.Placement{Index: i, Attempt: t.Attempt, Worker: t.Worker, Lease: t.Lease})
	}
	sent.placements = u.Placements
	if r.FinalAnswer != nil && (sent.hasWork || !r.FinalConfirmed) {
		u.FinalAnswer = r.FinalAnswer
		sent.hasFinalAnswer = true
	}
	if !sent.hasWork && !sent.hasFinalAnswer && len(sent.placements) == 0 {
		return
	}
	r.SentToBackup = true
	b.addUpdate(u, sent)
}

// sendBatch sends a batch in messages of at most maxUpdatesPerMessage updates.
func (n *Node) sendBatch(to namer.Incarnation, b *batch) {
	for len(b.updates) > 0 {
		count := min(maxUpdatesPerMessage, len(b.updates))
		n.replication.lastSeq++
		n.replication.inFlight[n.replication.lastSeq] = &inFlightMessage{to: to, sentAt: n.now, updates: b.sent[:count]}
		n.sendMessage(to, &coder.Message{Replicate: &coder.Replicate{
			Seq: n.replication.lastSeq, View: n.membership.view, Updates: b.updates[:count],
		}})
		b.updates, b.sent = b.updates[count:], b.sent[count:]
	}
}

// confirmWithoutBackup releases starts and the final answer of a record without
// a backup. The primary is then the only member of its domain, or all submissions
// are claimed in the log, so that no other instance can start or answer this one.
func (n *Node) confirmWithoutBackup(r *tracker.Record) {
	if !r.Committed {
		return
	}
	for i := range r.Tasks {
		if t := &r.Tasks[i]; t.State == tracker.TaskPlaced {
			n.releaseStart(r, i, t)
		}
	}
	if r.FinalAnswer != nil && !r.FinalConfirmed {
		n.confirmFinalAnswer(r)
	}
}

// handleReplicate applies either all updates of a message from a primary or
// none.
func (n *Node) handleReplicate(from namer.Incarnation, m *coder.Replicate) {
	n.membership.ensurePeer(from, n.now).lastMessageAt = n.now
	_, present := n.state.Member(from)
	ok := present && n.canOwnKeys() && m.View == n.membership.view
	for i := 0; ok && i < len(m.Updates); i++ {
		ok = n.canApplyUpdate(from, &m.Updates[i])
	}
	if ok {
		for i := range m.Updates {
			n.applyUpdate(from, &m.Updates[i])
		}
	} else {
		n.logDecision(eventer.UpdateRefused, "", 0, string(from), "another view")
	}
	n.sendMessage(from, &coder.Message{Ack: &coder.Ack{Seq: m.Seq, OK: ok, View: n.membership.view}})
}

// canApplyUpdate reports whether an update is consistent with this instance's
// records.
func (n *Node) canApplyUpdate(from namer.Incarnation, u *coder.Update) bool {
	r := n.submissions.Get(u.ID)
	if u.Deny {
		return !n.isKnown(u.ID)
	}
	if r == nil {
		return u.Work != nil && u.Work.Submission.ID() == u.ID
	}
	return r.Primary == from
}

func (n *Node) applyUpdate(from namer.Incarnation, u *coder.Update) {
	if u.Deny {
		return
	}
	r := n.submissions.Get(u.ID)
	if r == nil {
		r = n.newRecord(u.Work, from, n.self.Incarnation)
		r.Committed = true
		r.Digest = u.Digest
		if r.IsRequest() && len(r.Tasks) > 0 {
			// The primary may send the request from now on. No other instance
			// will ever send it.
			r.Tasks[0].State = tracker.TaskStarting
		}
		n.submissions.AddRecord(r)
	}
	r.Backup = n.self.Incarnation
	for _, placement := range u.Placements {
		t := r.Task(placement.Index)
		if t == nil || placement.Attempt < t.Attempt {
			continue
		}
		t.State = tracker.TaskStarting
		t.Attempt = placement.Attempt
		t.Worker = placement.Worker
		t.Lease = placement.Lease
	}
	if u.FinalAnswer != nil && r.FinalAnswer == nil {
		r.FinalAnswer = u.FinalAnswer
		r.ExpiresAt = n.now.Add(n.policy.KeyRetention)
		n.submissions.CloseRecord(r)
	}
}

// handleAck processes a backup's acknowledgement. After a negative one the
// updates are sent again later.
func (n *Node) handleAck(from namer.Incarnation, ack *coder.Ack) {
	n.membership.ensurePeer(from, n.now).lastMessageAt = n.now
	msg, found := n.replication.inFlight[ack.Seq]
	if !found || msg.to != from {
		return
	}
	if !ack.OK {
		// The message expires, and its updates are sent again.
		n.logDecision(eventer.UpdateRefused, "", 0, string(from), "this instance's update")
		return
	}
	delete(n.replication.inFlight, ack.Seq)
	for i := range msg.updates {
		n.handleUpdateAcked(from, &msg.updates[i])
	}
}

func (n *Node) handleUpdateAcked(from namer.Incarnation, update *sentUpdate) {
	if update.denial != nil {
		n.sendConfirmedDenial(update.denial)
		return
	}
	r := n.submissions.Get(update.id)
	if r == nil || r.Primary != n.self.Incarnation || r.Backup != from {
		return
	}
	if update.hasWork {
		r.BackupAcked = true
		delete(n.replication.withoutBackup, r.ID)
		n.commitRecord(r)
	}
	for _, placement := range update.placements {
		t := r.Task(placement.Index)
		if t != nil && t.State == tracker.TaskPlaced && t.Attempt == placement.Attempt {
			n.releaseStart(r, placement.Index, t)
		}
	}
	if update.hasFinalAnswer && !r.FinalConfirmed {
		n.confirmFinalAnswer(r)
	}
}

// commitRecord marks a submission as committed: no other instance will start
// its tasks.
func (n *Node) commitRecord(r *tracker.Record) {
	if r.Committed {
		return
	}
	r.Committed = true
	n.markForReplication(r)
	if !r.TasksQueued {
		n.enqueueTasks(r)
	}
}

// releaseStart sends the start of a placed task to its worker, unless the lease
// or the deadline has passed.
func (n *Node) releaseStart(r *tracker.Record, index int, t *tracker.Task) {
	t.PlacementInFlight = false
	if !r.Committed || r.FinalAnswer != nil {
		return
	}
	w := n.placer.Worker(t.Worker)
	if w == nil || w.Lease != t.Lease || n.now.After(r.Work.Deadline) {
		n.revertPlacement(r, index, t, "lease is over")
		return
	}
	if n.isEvacuated() {
		n.revertPlacement(r, index, t, "domain is evacuated")
		return
	}
	t.State = tracker.TaskStarting
	n.queueStart(r, index, t)
}

// requeueExpired queues the updates again that were not acknowledged within
// resendTimeout.
func (c *replication) requeueExpired(n *Node) {
	for seq, msg := range c.inFlight {
		if n.now.Sub(msg.sentAt) >= resendTimeout {
			c.requeueMessage(n, seq, msg)
		}
	}
}

// requeueMessage drops an in-flight message and puts its updates back on the
// list of pending records.
func (c *replication) requeueMessage(n *Node, seq uint64, msg *inFlightMessage) {
	delete(c.inFlight, seq)
	for _, update := range msg.updates {
		if update.denial != nil {
			n.retryDenial(update.denial)
			continue
		}
		r := n.submissions.Get(update.id)
		if r == nil {
			continue
		}
		for _, placement := range update.placements {
			if t := r.Task(placement.Index); t != nil {
				t.PlacementInFlight = false
			}
		}
		n.markForReplication(r)
	}
	sort.Slice(c.pendingRecords, func(i, j int) bool { return c.pendingRecords[i] < c.pendingRecords[j] })
}

// requeueAllTo queues all updates again that a peer has not acknowledged.
func (c *replication) requeueAllTo(to namer.Incarnation, n *Node) {
	for seq, msg := range c.inFlight {
		if msg.to == to {
			c.requeueMessage(n, seq, msg)
		}
	}
}

// reassignBackups gives each submission whose backup departed a new one, and
// queues all unacknowledged updates again under the new view.
func (c *replication) reassignBackups(n *Node) {
	for seq, msg := range c.inFlight {
		c.requeueMessage(n, seq, msg)
	}
	n.submissions.EachRecord(func(r *tracker.Record) {
		if r.Primary != n.self.Incarnation {
			return
		}
		if _, present := n.state.Member(r.Backup); present && r.Backup != "" {
			return
		}
		r.Backup = n.chooseBackup(r.ID)
		r.SentToBackup, r.BackupAcked = false, false
		if r.Backup != "" {
			c.withoutBackup[r.ID] = true
		}
		n.markForReplication(r)
	})
	sort.Slice(c.pendingRecords, func(i, j int) bool { return c.pendingRecords[i] < c.pendingRecords[j] })
}

// allBackedUp reports whether each submission that lost its backup has a new
// one that has acknowledged it. It first removes the submissions that this
// instance no longer holds from withoutBackup.
func (c *replication) allBackedUp(n *Node) bool {
	for id := range c.withoutBackup {
		if n.submissions.Get(id) == nil {
			delete(c.withoutBackup, id)
		}
	}
	return len(c.withoutBackup) == 0
}

// chooseBackup returns the owner of a submission or, if that is this instance,
// its successor. It returns "" if there is no other member, or if submissions
// are not replicated.
func (n *Node) chooseBackup(id namer.ID) namer.Incarnation {
	if n.mode == ModeLog {
		return ""
	}
	owner, successor := n.state.OwnerAndSuccessorIn(n.self.Domain, id)
	if owner != n.self.Incarnation {
		return owner
	}
	return successor
}
