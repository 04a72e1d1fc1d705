package dispatcher

import (
	"sort"
	"time"

	"github.com/heatherslip/heatherslip/internal/core/keeper"
	"github.com/heatherslip/heatherslip/internal/core/placer"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// fences are the questions to workers about starts that may have happened.
// A fence ends the lease first, so that the answer stays true.
type fences struct {
	next FenceID
	open map[FenceID]*fence
}

type fence struct {
	id     FenceID
	worker namer.Worker
	// holder is set for all leases of an instance that is gone, lease for one.
	holder namer.Incarnation
	lease  namer.Lease
	tasks  []namer.Task
	// blocks is set where no key may be owned before the answer.
	blocks  bool
	since   time.Time
	sentAt  time.Time
	waiting bool
}

func newFences() fences { return fences{open: make(map[FenceID]*fence)} }

func (f *fences) add(q *fence) {
	f.next++
	q.id = f.next
	f.open[q.id] = q
}

// blocking reports whether an answer is missing without which no key may be
// owned.
func (f *fences) blocking() bool {
	for _, q := range f.open {
		if q.blocks {
			return true
		}
	}
	return false
}

func (f *fences) failed(id FenceID) {
	if q, found := f.open[id]; found {
		q.waiting = false
	}
}

func (f *fences) sorted() []*fence {
	out := make([]*fence, 0, len(f.open))
	for _, q := range f.open {
		out = append(out, q)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}

// runFences asks, asks again, and gives up on workers that stay silent.
func (n *Node) runFences() {
	if len(n.fences.open) == 0 {
		return
	}
	for _, q := range n.fences.sorted() {
		if n.now.Sub(q.since) > workerDead {
			n.fenceUnanswered(q)
			continue
		}
		if q.waiting || n.now.Sub(q.sentAt) < resendAfter {
			continue
		}
		q.waiting = true
		q.sentAt = n.now
		n.do(Fence{Fence: q.id, Worker: q.worker, Holder: q.holder, Lease: q.lease, Tasks: q.tasks})
	}
}

// fenceUnanswered concludes that nobody can tell what the worker has run.
func (n *Node) fenceUnanswered(q *fence) {
	delete(n.fences.open, q.id)
	for _, id := range q.tasks {
		r, t := n.find(id)
		if t != nil && t.State == keeper.Doubtful && t.Worker == q.worker {
			n.lose(r, id.Index, t)
		}
	}
}

func (n *Node) find(id namer.Task) (*keeper.Record, *keeper.Task) {
	r := n.table.Get(id.ID)
	if r == nil {
		return nil, nil
	}
	return r, r.Task(id.Index)
}

// lose notes that nobody can tell whether a task has run, and fails its job.
func (n *Node) lose(r *keeper.Record, index int, t *keeper.Task) {
	n.counted(r, index, t)
	t.State = keeper.Lost
	r.Open--
	n.placer.Release(t.Worker, n.sizeOf(r, index))
	n.decide(eventer.TaskLost, r.ID, index, string(t.Worker), "worker does not answer")
	n.finish(r, coder.Answer{Status: coder.Failed, Code: coder.CodeTaskUnknown, Detail: "a task's worker was lost"})
}

func (n *Node) sizeOf(r *keeper.Record, index int) placer.Size {
	return placer.SizeOf(&r.Work.Tasks[index])
}

// fenced takes a worker's word on tasks under a lease that is over.
func (n *Node) fenced(e Fenced) {
	q, found := n.fences.open[e.Fence]
	if !found {
		return
	}
	delete(n.fences.open, e.Fence)
	n.decide(eventer.Fenced, "", len(e.Tasks), string(q.worker), string(q.holder)+string(q.lease))
	var adopt []namer.Task
	for _, seen := range e.Tasks {
		r, t := n.find(seen.Task)
		if t == nil || t.State != keeper.Doubtful || t.Worker != q.worker {
			continue
		}
		if n.resolve(r, t, seen) {
			adopt = append(adopt, seen.Task)
		}
	}
	n.adopt(q.worker, adopt)
}

// resolve settles one doubtful task; it returns true where the task runs.
func (n *Node) resolve(r *keeper.Record, t *keeper.Task, seen SeenTask) bool {
	index := seen.Task.Index
	switch {
	case !seen.Seen:
		n.voidPlacement(r, index, t, "worker has not seen the task")
	case seen.Running:
		t.State = keeper.Started
		return true
	case seen.Dropped:
		n.endTask(r, t, TaskEnd{Task: seen.Task, Output: "ended by its worker with the lease"})
	default:
		n.endTask(r, t, TaskEnd{Task: seen.Task, OK: seen.OK, Output: seen.Output})
	}
	return false
}

// adopt brings running tasks under this instance's lease, or keeps them in
// doubt until it has one.
func (n *Node) adopt(worker namer.Worker, tasks []namer.Task) {
	if len(tasks) == 0 {
		return
	}
	w := n.placer.Get(worker)
	for _, id := range tasks {
		_, t := n.find(id)
		if w == nil || w.Lease == "" {
			t.State = keeper.Doubtful
			continue
		}
		t.Lease = w.Lease
		n.decide(eventer.TaskAdopted, id.ID, id.Index, string(worker), "")
	}
	if w == nil || w.Lease == "" {
		n.fences.add(&fence{worker: worker, tasks: tasks, since: n.now, sentAt: n.now})
		return
	}
	n.do(Adopt{Worker: worker, Lease: w.Lease, Tasks: tasks})
}

// membersGone takes over what members that are gone were running, and fences
// their leases. Where history was lost, this blocks all ownership until the
// workers have answered, since a member that is gone may hold starts that
// nobody here knows of.
func (n *Node) membersGone() {
	lost, happened := n.state.LostUntil(n.self.Domain)
	blocks := happened && n.now.Sub(lost) < workerDead
	for _, inc := range n.goneHolders() {
		n.takeOver(inc, blocks)
	}
}

// goneHolders lists the incarnations that are gone and not yet fenced.
func (n *Node) goneHolders() []namer.Incarnation {
	seen := make(map[namer.Incarnation]bool)
	for inc := range n.membership.gone {
		if !n.membership.fenced[inc] {
			seen[inc] = true
		}
	}
	n.table.Each(func(r *keeper.Record) {
		if _, present := n.state.Member(r.Runner); !present {
			seen[r.Runner] = true
		}
	})
	out := make([]namer.Incarnation, 0, len(seen))
	for inc := range seen {
		out = append(out, inc)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// takeOver makes this instance the runner of what a member that is gone ran
// and this one backed up.
func (n *Node) takeOver(gone namer.Incarnation, blocks bool) {
	n.membership.fenced[gone] = true
	doubtful := make(map[grant][]namer.Task)
	var mine []*keeper.Record
	n.table.Each(func(r *keeper.Record) {
		if r.Runner == gone && r.Backup == n.self.Incarnation {
			mine = append(mine, r)
		}
	})
	keeper.Sort(mine)
	for _, r := range mine {
		n.inherit(r, doubtful)
	}
	for _, w := range n.placer.All() {
		n.fences.add(&fence{worker: w.Name, holder: gone, blocks: blocks, since: n.now})
	}
	for _, g := range sortedGrants(doubtful) {
		n.fences.add(&fence{worker: g.worker, holder: gone, lease: g.lease, tasks: doubtful[g], since: n.now})
	}
}

// grant is a lease on a worker. A task's own lease is fenced whoever holds it:
// the runner that is gone may have taken the task over itself, and not have
// fenced the runner before it.
type grant struct {
	worker namer.Worker
	lease  namer.Lease
}

func sortedGrants(m map[grant][]namer.Task) []grant {
	out := make([]grant, 0, len(m))
	for g := range m {
		out = append(out, g)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].worker != out[j].worker {
			return out[i].worker < out[j].worker
		}
		return out[i].lease < out[j].lease
	})
	return out
}

func sortedWorkers(m map[namer.Worker][]namer.Task) []namer.Worker {
	out := make([]namer.Worker, 0, len(m))
	for w := range m {
		out = append(out, w)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// inherit becomes the runner of a record that this instance backed up.
func (n *Node) inherit(r *keeper.Record, doubtful map[grant][]namer.Task) {
	n.decide(eventer.TakenOver, r.ID, 0, string(r.Runner), "")
	r.Runner = n.self.Incarnation
	r.Backup = ""
	r.Offered, r.Copied = false, false
	if r.Final != nil {
		return
	}
	if r.IsRequest() {
		n.finish(r, coder.Answer{Status: coder.Failed, Code: coder.CodeAnswerLost, Detail: "the instance that sent the request was lost"})
		return
	}
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if t.State == keeper.Starting {
			t.State = keeper.Doubtful
			g := grant{t.Worker, t.Lease}
			doubtful[g] = append(doubtful[g], namer.Task{ID: r.ID, Index: i})
		}
	}
	n.enqueue(r)
}
