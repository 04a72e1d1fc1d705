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

// fenceTable are the questions to workers about starts that may have happened.
// A fence ends the lease first, so that the answer stays true.
type fenceTable struct {
	lastID  FenceID
	pending map[FenceID]*pendingFence
}

type pendingFence struct {
	id     FenceID
	worker namer.Worker
	// holder is set for all leases of an instance that is gone, lease for one.
	holder namer.Incarnation
	lease  namer.Lease
	tasks  []namer.Task
	// blocksOwnership is set where no key may be owned before the answer.
	blocksOwnership bool
	createdAt       time.Time
	sentAt          time.Time
	inFlight        bool
}

func newFenceTable() fenceTable { return fenceTable{pending: make(map[FenceID]*pendingFence)} }

func (f *fenceTable) add(fence *pendingFence) {
	f.lastID++
	fence.id = f.lastID
	f.pending[fence.id] = fence
}

// blocksOwnership reports whether an answer is missing without which no key may be
// owned.
func (f *fenceTable) blocksOwnership() bool {
	for _, fence := range f.pending {
		if fence.blocksOwnership {
			return true
		}
	}
	return false
}

func (f *fenceTable) markFailed(id FenceID) {
	if fence, found := f.pending[id]; found {
		fence.inFlight = false
	}
}

func (f *fenceTable) sortedByID() []*pendingFence {
	out := make([]*pendingFence, 0, len(f.pending))
	for _, fence := range f.pending {
		out = append(out, fence)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}

// sendFences asks, asks again, and gives up on workers that stay silent.
func (n *Node) sendFences() {
	if len(n.fences.pending) == 0 {
		return
	}
	for _, fence := range n.fences.sortedByID() {
		if n.now.Sub(fence.createdAt) > fenceTimeout {
			n.abandonFence(fence)
			continue
		}
		if fence.inFlight || n.now.Sub(fence.sentAt) < resendTimeout {
			continue
		}
		fence.inFlight = true
		fence.sentAt = n.now
		n.emit(Fence{Fence: fence.id, Worker: fence.worker, Holder: fence.holder, Lease: fence.lease, Tasks: fence.tasks})
	}
}

// abandonFence concludes that nobody can tell what the worker has run.
func (n *Node) abandonFence(fence *pendingFence) {
	delete(n.fences.pending, fence.id)
	for _, id := range fence.tasks {
		r, t := n.findTask(id)
		if t != nil && t.State == keeper.TaskUncertain && t.Worker == fence.worker {
			n.markTaskLost(r, id.Index, t)
		}
	}
}

func (n *Node) findTask(id namer.Task) (*keeper.Record, *keeper.Task) {
	r := n.submissions.Get(id.ID)
	if r == nil {
		return nil, nil
	}
	return r, r.Task(id.Index)
}

// markTaskLost notes that nobody can tell whether a task has run, and fails its job.
func (n *Node) markTaskLost(r *keeper.Record, index int, t *keeper.Task) {
	n.markStartAccounted(r, index, t)
	t.State = keeper.TaskLost
	r.OpenTasks--
	n.placer.Release(t.Worker, n.taskSize(r, index))
	n.logDecision(eventer.TaskLost, r.ID, index, string(t.Worker), "worker does not answer")
	n.finishSubmission(r, coder.Answer{Status: coder.Failed, Code: coder.CodeTaskUnknown, Detail: "a task's worker was lost"})
}

func (n *Node) taskSize(r *keeper.Record, index int) placer.Size {
	return placer.SizeOf(&r.Work.Tasks[index])
}

// handleFenceAnswered takes a worker's word on tasks under a lease that is over.
func (n *Node) handleFenceAnswered(e Fenced) {
	fence, found := n.fences.pending[e.Fence]
	if !found {
		return
	}
	delete(n.fences.pending, e.Fence)
	n.logDecision(eventer.Fenced, "", len(e.Tasks), string(fence.worker), string(fence.holder)+string(fence.lease))
	var adopt []namer.Task
	for _, fenced := range e.Tasks {
		r, t := n.findTask(fenced.Task)
		if t == nil || t.State != keeper.TaskUncertain || t.Worker != fence.worker {
			continue
		}
		if n.resolveUncertainTask(r, t, fenced) {
			adopt = append(adopt, fenced.Task)
		}
	}
	n.adoptTasks(fence.worker, adopt)
}

// resolveUncertainTask settles one doubtful task; it returns true where the task runs.
func (n *Node) resolveUncertainTask(r *keeper.Record, t *keeper.Task, fenced SeenTask) bool {
	index := fenced.Task.Index
	switch {
	case !fenced.Seen:
		n.revertPlacement(r, index, t, "worker has not seen the task")
	case fenced.Running:
		t.State = keeper.TaskRunning
		return true
	case fenced.Dropped:
		n.finishTask(r, t, TaskEnd{Task: fenced.Task, Output: "ended by its worker with the lease"})
	default:
		n.finishTask(r, t, TaskEnd{Task: fenced.Task, OK: fenced.OK, Output: fenced.Output})
	}
	return false
}

// adoptTasks brings running tasks under this instance's lease, or keeps them in
// doubt until it has one.
func (n *Node) adoptTasks(worker namer.Worker, tasks []namer.Task) {
	if len(tasks) == 0 {
		return
	}
	w := n.placer.Get(worker)
	for _, id := range tasks {
		_, t := n.findTask(id)
		if w == nil || w.Lease == "" {
			t.State = keeper.TaskUncertain
			continue
		}
		t.Lease = w.Lease
		n.logDecision(eventer.TaskAdopted, id.ID, id.Index, string(worker), "")
	}
	if w == nil || w.Lease == "" {
		n.fences.add(&pendingFence{worker: worker, tasks: tasks, createdAt: n.now, sentAt: n.now})
		return
	}
	n.emit(Adopt{Worker: worker, Lease: w.Lease, Tasks: tasks})
}

// takeOverDeparted takes over what members that are gone were running, and fences
// their leases. Where history was lost, this blocks all ownership until the
// workers have answered, since a member that is gone may hold starts that
// nobody here knows of.
func (n *Node) takeOverDeparted() {
	lostUntil, lost := n.state.LostUntil(n.self.Domain)
	blocksOwnership := lost && n.now.Sub(lostUntil) < fenceTimeout
	for _, inc := range n.unfencedDeparted() {
		n.takeOverFrom(inc, blocksOwnership)
	}
}

// unfencedDeparted lists the incarnations that are gone and not yet fenced.
func (n *Node) unfencedDeparted() []namer.Incarnation {
	departed := make(map[namer.Incarnation]bool)
	for inc := range n.membership.departed {
		if !n.membership.fencedDeparted[inc] {
			departed[inc] = true
		}
	}
	n.submissions.Each(func(r *keeper.Record) {
		if _, present := n.state.Member(r.Primary); !present {
			departed[r.Primary] = true
		}
	})
	out := make([]namer.Incarnation, 0, len(departed))
	for inc := range departed {
		out = append(out, inc)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// takeOverFrom makes this instance the runner of what a member that is gone ran
// and this one backed up.
func (n *Node) takeOverFrom(departed namer.Incarnation, blocksOwnership bool) {
	n.membership.fencedDeparted[departed] = true
	uncertain := make(map[leaseKey][]namer.Task)
	var inherited []*keeper.Record
	n.submissions.Each(func(r *keeper.Record) {
		if r.Primary == departed && r.Backup == n.self.Incarnation {
			inherited = append(inherited, r)
		}
	})
	keeper.SortByID(inherited)
	for _, r := range inherited {
		n.takeOverRecord(r, uncertain)
	}
	for _, w := range n.placer.All() {
		n.fences.add(&pendingFence{worker: w.Name, holder: departed, blocksOwnership: blocksOwnership, createdAt: n.now})
	}
	for _, key := range sortedLeaseKeys(uncertain) {
		n.fences.add(&pendingFence{worker: key.worker, holder: departed, lease: key.lease, tasks: uncertain[key], createdAt: n.now})
	}
}

// leaseKey is a lease on a worker. A task's own lease is fenced whoever holds it:
// the runner that is gone may have taken the task over itself, and not have
// fenced the runner before it.
type leaseKey struct {
	worker namer.Worker
	lease  namer.Lease
}

func sortedLeaseKeys(m map[leaseKey][]namer.Task) []leaseKey {
	out := make([]leaseKey, 0, len(m))
	for key := range m {
		out = append(out, key)
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

// takeOverRecord becomes the runner of a record that this instance backed up.
func (n *Node) takeOverRecord(r *keeper.Record, uncertain map[leaseKey][]namer.Task) {
	n.logDecision(eventer.TakenOver, r.ID, 0, string(r.Primary), "")
	r.Primary = n.self.Incarnation
	r.Backup = ""
	r.SentToBackup, r.BackupAcked = false, false
	if r.FinalAnswer != nil {
		return
	}
	if r.IsRequest() {
		n.finishSubmission(r, coder.Answer{Status: coder.Failed, Code: coder.CodeAnswerLost, Detail: "the instance that sent the request was lost"})
		return
	}
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if t.State == keeper.TaskStarting {
			t.State = keeper.TaskUncertain
			key := leaseKey{t.Worker, t.Lease}
			uncertain[key] = append(uncertain[key], namer.Task{ID: r.ID, Index: i})
		}
	}
	n.enqueueTasks(r)
}
