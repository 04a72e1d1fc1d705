package dispatcher

import (
	"sort"
	"time"

	"github.com/heatherslip/heatherslip/internal/core/keeper"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// maxUpdatesPerMessage bounds the updates of one message.
const maxUpdatesPerMessage = 256

// replication carries changes from runners to backups. Nothing that a backup must
// know is acted on before it has acknowledged it.
type replication struct {
	lastSeq        uint64
	pendingRecords []namer.ID
	// pendingDenials wait to be sent to their heirs.
	pendingDenials []*denial
	// inFlight are the messages that no acknowledgement has come for.
	inFlight map[uint64]*inFlightMessage
	// withoutBackup holds the submissions that were without a backup when the
	// view changed, and are again with their next acknowledgement.
	withoutBackup map[namer.ID]bool
}

// inFlightMessage is one Replicate on its way.
type inFlightMessage struct {
	to      namer.Incarnation
	sentAt  time.Time
	updates []sentUpdate
}

// sentUpdate is what a flight says about one submission.
type sentUpdate struct {
	id         namer.ID
	hasWork    bool
	hasFinal   bool
	placements []coder.Placement
	// denial is set alone.
	denial *denial
}

func newReplication() replication {
	return replication{
		inFlight:      make(map[uint64]*inFlightMessage),
		withoutBackup: make(map[namer.ID]bool),
	}
}

// markForReplication puts a record on the list of what its backup must hear about.
func (n *Node) markForReplication(r *keeper.Record) {
	if r.NeedsReplication || r.Primary != n.self.Incarnation {
		return
	}
	r.NeedsReplication = true
	n.replication.pendingRecords = append(n.replication.pendingRecords, r.ID)
}

// replicatePending sends each backup the changes of all records on the list, in as
// few messages as possible.
func (n *Node) replicatePending() {
	n.replication.resendExpired(n)
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

// outgoingBatches are the updates of one step by their backups.
type outgoingBatches struct {
	byPeer map[namer.Incarnation]*batch
	peers  []namer.Incarnation
}

func (b *outgoingBatches) batchFor(inc namer.Incarnation) *batch {
	found, ok := b.byPeer[inc]
	if !ok {
		found = &batch{}
		b.byPeer[inc] = found
		b.peers = append(b.peers, inc)
	}
	return found
}

type batch struct {
	updates []coder.Update
	sent    []sentUpdate
}

func (b *batch) add(u coder.Update, sent sentUpdate) {
	b.updates = append(b.updates, u)
	b.sent = append(b.sent, sent)
}

// addUpdate collects what the backup does not know, and is not being told, of
// a record.
func (n *Node) addUpdate(b *batch, r *keeper.Record) {
	u := coder.Update{ID: r.ID}
	sent := sentUpdate{id: r.ID}
	if !r.BackupAcked {
		u.Work = r.Work
		u.Digest = r.Digest
		sent.hasWork = true
	}
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if t.State == keeper.TaskQueued || t.PlacementInFlight {
			continue
		}
		if t.State != keeper.TaskPlaced && !sent.hasWork {
			continue
		}
		t.PlacementInFlight = t.State == keeper.TaskPlaced
		u.Placed = append(u.Placed, coder.Placement{Index: i, Attempt: t.Attempt, Worker: t.Worker, Lease: t.Lease})
	}
	sent.placements = u.Placed
	if r.FinalAnswer != nil && (sent.hasWork || !r.FinalConfirmed) {
		u.Final = r.FinalAnswer
		sent.hasFinal = true
	}
	if !sent.hasWork && !sent.hasFinal && len(sent.placements) == 0 {
		return
	}
	r.SentToBackup = true
	b.add(u, sent)
}

// sendBatch sends a batch, in messages of at most maxUpdates.
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

// confirmWithoutBackup acts for a runner that is its domain's only member: nobody
// else can start or answer what it holds, so there is nobody to ask.
func (n *Node) confirmWithoutBackup(r *keeper.Record) {
	if !r.Committed {
		return
	}
	for i := range r.Tasks {
		if t := &r.Tasks[i]; t.State == keeper.TaskPlaced {
			n.releaseStart(r, i, t)
		}
	}
	if r.FinalAnswer != nil && !r.FinalConfirmed {
		n.confirmFinalAnswer(r)
	}
}

// handleReplicate takes updates from a runner, all of them or none.
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
		n.logDecision(eventer.Nacked, "", 0, string(from), "another view")
	}
	n.sendMessage(from, &coder.Message{Ack: &coder.Ack{Seq: m.Seq, OK: ok, View: n.membership.view}})
}

// canApplyUpdate reports whether an update contradicts nothing that this instance
// holds.
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
			// From here on the runner may send it, and nobody else ever will.
			r.Tasks[0].State = keeper.TaskStarting
		}
		n.submissions.Add(r)
	}
	r.Backup = n.self.Incarnation
	for _, p := range u.Placed {
		t := r.Task(p.Index)
		if t == nil || p.Attempt < t.Attempt {
			continue
		}
		t.State = keeper.TaskStarting
		t.Attempt = p.Attempt
		t.Worker = p.Worker
		t.Lease = p.Lease
	}
	if u.Final != nil && r.FinalAnswer == nil {
		r.FinalAnswer = u.Final
		r.RetainUntil = n.now.Add(n.policy.Remember)
		n.submissions.Close(r)
	}
}

// handleAck acts on what a backup has acknowledged, or asks it again later.
func (n *Node) handleAck(from namer.Incarnation, a *coder.Ack) {
	n.membership.ensurePeer(from, n.now).lastMessageAt = n.now
	f, found := n.replication.inFlight[a.Seq]
	if !found || f.to != from {
		return
	}
	if !a.OK {
		// The flight expires and its parts are sent again.
		n.logDecision(eventer.Nacked, "", 0, string(from), "this instance's update")
		return
	}
	delete(n.replication.inFlight, a.Seq)
	for i := range f.updates {
		n.handleUpdateAcked(from, &f.updates[i])
	}
}

func (n *Node) handleUpdateAcked(from namer.Incarnation, p *sentUpdate) {
	if p.denial != nil {
		n.sendConfirmedDenial(p.denial)
		return
	}
	r := n.submissions.Get(p.id)
	if r == nil || r.Primary != n.self.Incarnation || r.Backup != from {
		return
	}
	if p.hasWork {
		r.BackupAcked = true
		delete(n.replication.withoutBackup, r.ID)
		n.commitRecord(r)
	}
	for _, placement := range p.placements {
		t := r.Task(placement.Index)
		if t != nil && t.State == keeper.TaskPlaced && t.Attempt == placement.Attempt {
			n.releaseStart(r, placement.Index, t)
		}
	}
	if p.hasFinal && !r.FinalConfirmed {
		n.confirmFinalAnswer(r)
	}
}

// commitRecord notes that nobody but this instance will start the submission.
func (n *Node) commitRecord(r *keeper.Record) {
	if r.Committed {
		return
	}
	r.Committed = true
	n.markForReplication(r)
	if !r.TasksQueued {
		n.enqueueTasks(r)
	}
}

// releaseStart lets a placed task go to its worker.
func (n *Node) releaseStart(r *keeper.Record, index int, t *keeper.Task) {
	t.PlacementInFlight = false
	if !r.Committed || r.FinalAnswer != nil {
		return
	}
	w := n.placer.Get(t.Worker)
	if w == nil || w.Lease != t.Lease || n.now.After(r.Work.Deadline) {
		n.revertPlacement(r, index, t, "lease is over")
		return
	}
	t.State = keeper.TaskStarting
	n.queueStart(r, index, t)
}

// resendExpired sends again what was not acknowledged in time.
func (c *replication) resendExpired(n *Node) {
	for seq, f := range c.inFlight {
		if n.now.Sub(f.sentAt) >= resendTimeout {
			c.requeueMessage(n, seq, f)
		}
	}
}

func (c *replication) requeueMessage(n *Node, seq uint64, f *inFlightMessage) {
	delete(c.inFlight, seq)
	for _, p := range f.updates {
		if p.denial != nil {
			n.retryDenial(p.denial)
			continue
		}
		r := n.submissions.Get(p.id)
		if r == nil {
			continue
		}
		for _, placement := range p.placements {
			if t := r.Task(placement.Index); t != nil {
				t.PlacementInFlight = false
			}
		}
		n.markForReplication(r)
	}
	sort.Slice(c.pendingRecords, func(i, j int) bool { return c.pendingRecords[i] < c.pendingRecords[j] })
}

// resendAllTo sends again all that a peer has not acknowledged.
func (c *replication) resendAllTo(to namer.Incarnation, n *Node) {
	for seq, f := range c.inFlight {
		if f.to == to {
			c.requeueMessage(n, seq, f)
		}
	}
}

// reassignBackups gives each submission a backup that is a member, and tells all
// that must be told under the new view.
func (c *replication) reassignBackups(n *Node) {
	for seq, f := range c.inFlight {
		c.requeueMessage(n, seq, f)
	}
	n.submissions.Each(func(r *keeper.Record) {
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

// allBackedUp reports whether each submission that lost its backup has one again.
func (c *replication) allBackedUp(n *Node) bool {
	for id := range c.withoutBackup {
		if n.submissions.Get(id) == nil {
			delete(c.withoutBackup, id)
		}
	}
	return len(c.withoutBackup) == 0
}

// chooseBackup returns the owner or heir of a submission that is not this
// instance, or "" where there is no other member.
func (n *Node) chooseBackup(id namer.ID) namer.Incarnation {
	if n.mode == ModeLog {
		return ""
	}
	owner, successor := n.state.OwnerIn(n.self.Domain, id)
	if owner != n.self.Incarnation {
		return owner
	}
	return successor
}
