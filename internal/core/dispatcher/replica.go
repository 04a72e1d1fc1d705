package dispatcher

import (
	"sort"
	"time"

	"github.com/heatherslip/heatherslip/internal/core/keeper"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// maxUpdates bounds the updates of one message.
const maxUpdates = 256

// replica carries changes from runners to backups. Nothing that a backup must
// know is acted on before it has acknowledged it.
type replica struct {
	seq   uint64
	dirty []namer.ID
	// denials wait to be sent to their heirs.
	denials []*denial
	// flights are the messages that no acknowledgement has come for.
	flights map[uint64]*flight
	// unprotected holds the submissions that were without a backup when the
	// view changed, and are again with their next acknowledgement.
	unprotected map[namer.ID]bool
}

// flight is one Replicate on its way.
type flight struct {
	to     namer.Incarnation
	sentAt time.Time
	parts  []part
}

// part is what a flight says about one submission.
type part struct {
	id     namer.ID
	work   bool
	final  bool
	placed []coder.Placement
	// deny is set alone.
	deny *denial
}

func newReplica() replica {
	return replica{
		flights:     make(map[uint64]*flight),
		unprotected: make(map[namer.ID]bool),
	}
}

// markDirty puts a record on the list of what its backup must hear about.
func (n *Node) markDirty(r *keeper.Record) {
	if r.Dirty || r.Runner != n.self.Incarnation {
		return
	}
	r.Dirty = true
	n.replica.dirty = append(n.replica.dirty, r.ID)
}

// runReplica sends each backup the changes of all records on the list, in as
// few messages as possible.
func (n *Node) runReplica() {
	n.replica.expire(n)
	if len(n.replica.dirty)+len(n.replica.denials) == 0 {
		return
	}
	dirty := n.replica.dirty
	n.replica.dirty = nil
	b := &batches{byPeer: make(map[namer.Incarnation]*batch)}
	for _, id := range dirty {
		r := n.table.Get(id)
		if r == nil {
			continue
		}
		r.Dirty = false
		if r.Runner != n.self.Incarnation {
			continue
		}
		if r.Backup == "" {
			n.confirmAlone(r)
			continue
		}
		n.addUpdate(b.to(r.Backup), r)
	}
	n.addDenials(b)
	for _, to := range b.order {
		n.sendBatch(to, b.byPeer[to])
	}
}

// batches are the updates of one step by their backups.
type batches struct {
	byPeer map[namer.Incarnation]*batch
	order  []namer.Incarnation
}

func (b *batches) to(inc namer.Incarnation) *batch {
	found, ok := b.byPeer[inc]
	if !ok {
		found = &batch{}
		b.byPeer[inc] = found
		b.order = append(b.order, inc)
	}
	return found
}

type batch struct {
	updates []coder.Update
	parts   []part
}

func (b *batch) add(u coder.Update, p part) {
	b.updates = append(b.updates, u)
	b.parts = append(b.parts, p)
}

// addUpdate collects what the backup does not know, and is not being told, of
// a record.
func (n *Node) addUpdate(b *batch, r *keeper.Record) {
	u := coder.Update{ID: r.ID}
	p := part{id: r.ID}
	if !r.Copied {
		u.Work = r.Work
		u.Digest = r.Digest
		p.work = true
	}
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if t.State == keeper.Queued || t.Shown {
			continue
		}
		if t.State != keeper.Placed && !p.work {
			continue
		}
		t.Shown = t.State == keeper.Placed
		u.Placed = append(u.Placed, coder.Placement{Index: i, Attempt: t.Attempt, Worker: t.Worker, Lease: t.Lease})
	}
	p.placed = u.Placed
	if r.Final != nil && (p.work || !r.Confirmed) {
		u.Final = r.Final
		p.final = true
	}
	if !p.work && !p.final && len(p.placed) == 0 {
		return
	}
	r.Offered = true
	b.add(u, p)
}

// sendBatch sends a batch, in messages of at most maxUpdates.
func (n *Node) sendBatch(to namer.Incarnation, b *batch) {
	for len(b.updates) > 0 {
		size := min(maxUpdates, len(b.updates))
		n.replica.seq++
		n.replica.flights[n.replica.seq] = &flight{to: to, sentAt: n.now, parts: b.parts[:size]}
		n.send(to, &coder.Message{Replicate: &coder.Replicate{
			Seq: n.replica.seq, View: n.membership.view, Updates: b.updates[:size],
		}})
		b.updates, b.parts = b.updates[size:], b.parts[size:]
	}
}

// confirmAlone acts for a runner that is its domain's only member: nobody
// else can start or answer what it holds, so there is nobody to ask.
func (n *Node) confirmAlone(r *keeper.Record) {
	if !r.Held {
		return
	}
	for i := range r.Tasks {
		if t := &r.Tasks[i]; t.State == keeper.Placed {
			n.clearStart(r, i, t)
		}
	}
	if r.Final != nil && !r.Confirmed {
		n.confirm(r)
	}
}

// replicate takes updates from a runner, all of them or none.
func (n *Node) replicate(from namer.Incarnation, m *coder.Replicate) {
	n.membership.peer(from, n.now).heard = n.now
	_, present := n.state.Member(from)
	ok := present && n.mayOwn() && m.View == n.membership.view
	for i := 0; ok && i < len(m.Updates); i++ {
		ok = n.acceptable(from, &m.Updates[i])
	}
	if ok {
		for i := range m.Updates {
			n.takeUpdate(from, &m.Updates[i])
		}
	} else {
		n.decide(eventer.Nacked, "", 0, string(from), "another view")
	}
	n.send(from, &coder.Message{Ack: &coder.Ack{Seq: m.Seq, OK: ok, View: n.membership.view}})
}

// acceptable reports whether an update contradicts nothing that this instance
// holds.
func (n *Node) acceptable(from namer.Incarnation, u *coder.Update) bool {
	r := n.table.Get(u.ID)
	if u.Deny {
		return !n.knows(u.ID)
	}
	if r == nil {
		return u.Work != nil && u.Work.Submission.ID() == u.ID
	}
	return r.Runner == from
}

func (n *Node) takeUpdate(from namer.Incarnation, u *coder.Update) {
	if u.Deny {
		return
	}
	r := n.table.Get(u.ID)
	if r == nil {
		r = n.newRecord(u.Work, from, n.self.Incarnation)
		r.Held = true
		r.Digest = u.Digest
		if r.IsRequest() && len(r.Tasks) > 0 {
			// From here on the runner may send it, and nobody else ever will.
			r.Tasks[0].State = keeper.Starting
		}
		n.table.Add(r)
	}
	r.Backup = n.self.Incarnation
	for _, p := range u.Placed {
		t := r.Task(p.Index)
		if t == nil || p.Attempt < t.Attempt {
			continue
		}
		t.State = keeper.Starting
		t.Attempt = p.Attempt
		t.Worker = p.Worker
		t.Lease = p.Lease
	}
	if u.Final != nil && r.Final == nil {
		r.Final = u.Final
		r.Until = n.now.Add(n.policy.Remember)
		n.table.Settle(r)
	}
}

// acked acts on what a backup has acknowledged, or asks it again later.
func (n *Node) acked(from namer.Incarnation, a *coder.Ack) {
	n.membership.peer(from, n.now).heard = n.now
	f, found := n.replica.flights[a.Seq]
	if !found || f.to != from {
		return
	}
	if !a.OK {
		// The flight expires and its parts are sent again.
		n.decide(eventer.Nacked, "", 0, string(from), "this instance's update")
		return
	}
	delete(n.replica.flights, a.Seq)
	for i := range f.parts {
		n.partAcked(from, &f.parts[i])
	}
}

func (n *Node) partAcked(from namer.Incarnation, p *part) {
	if p.deny != nil {
		n.denied(p.deny)
		return
	}
	r := n.table.Get(p.id)
	if r == nil || r.Runner != n.self.Incarnation || r.Backup != from {
		return
	}
	if p.work {
		r.Copied = true
		delete(n.replica.unprotected, r.ID)
		n.hold(r)
	}
	for _, place := range p.placed {
		t := r.Task(place.Index)
		if t != nil && t.State == keeper.Placed && t.Attempt == place.Attempt {
			n.clearStart(r, place.Index, t)
		}
	}
	if p.final && !r.Confirmed {
		n.confirm(r)
	}
}

// hold notes that nobody but this instance will start the submission.
func (n *Node) hold(r *keeper.Record) {
	if r.Held {
		return
	}
	r.Held = true
	n.markDirty(r)
	if !r.Queued {
		n.enqueue(r)
	}
}

// clearStart lets a placed task go to its worker.
func (n *Node) clearStart(r *keeper.Record, index int, t *keeper.Task) {
	t.Shown = false
	if !r.Held || r.Final != nil {
		return
	}
	w := n.placer.Get(t.Worker)
	if w == nil || w.Lease != t.Lease || n.now.After(r.Work.Deadline) {
		n.voidPlacement(r, index, t, "lease is over")
		return
	}
	t.State = keeper.Starting
	n.queueStart(r, index, t)
}

// expire sends again what was not acknowledged in time.
func (c *replica) expire(n *Node) {
	for seq, f := range c.flights {
		if n.now.Sub(f.sentAt) >= resendAfter {
			c.requeue(n, seq, f)
		}
	}
}

func (c *replica) requeue(n *Node, seq uint64, f *flight) {
	delete(c.flights, seq)
	for _, p := range f.parts {
		if p.deny != nil {
			n.reconsider(p.deny)
			continue
		}
		r := n.table.Get(p.id)
		if r == nil {
			continue
		}
		for _, place := range p.placed {
			if t := r.Task(place.Index); t != nil {
				t.Shown = false
			}
		}
		n.markDirty(r)
	}
	sort.Slice(c.dirty, func(i, j int) bool { return c.dirty[i] < c.dirty[j] })
}

// resend sends again all that a peer has not acknowledged.
func (c *replica) resend(to namer.Incarnation, n *Node) {
	for seq, f := range c.flights {
		if f.to == to {
			c.requeue(n, seq, f)
		}
	}
}

// viewMoved gives each submission a backup that is a member, and tells all
// that must be told under the new view.
func (c *replica) viewMoved(n *Node) {
	for seq, f := range c.flights {
		c.requeue(n, seq, f)
	}
	n.table.Each(func(r *keeper.Record) {
		if r.Runner != n.self.Incarnation {
			return
		}
		if _, present := n.state.Member(r.Backup); present && r.Backup != "" {
			return
		}
		r.Backup = n.chooseBackup(r.ID)
		r.Offered, r.Copied = false, false
		if r.Backup != "" {
			c.unprotected[r.ID] = true
		}
		n.markDirty(r)
	})
	sort.Slice(c.dirty, func(i, j int) bool { return c.dirty[i] < c.dirty[j] })
}

// protected reports whether each submission that lost its backup has one again.
func (c *replica) protected(n *Node) bool {
	for id := range c.unprotected {
		if n.table.Get(id) == nil {
			delete(c.unprotected, id)
		}
	}
	return len(c.unprotected) == 0
}

// chooseBackup returns the owner or heir of a submission that is not this
// instance, or "" where there is no other member.
func (n *Node) chooseBackup(id namer.ID) namer.Incarnation {
	if n.mode == ModeLog {
		return ""
	}
	owner, heir := n.state.OwnerIn(n.self.Domain, id)
	if owner != n.self.Incarnation {
		return owner
	}
	return heir
}
