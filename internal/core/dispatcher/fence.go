package dispatcher

import (
	"sort"
	"time"

	"github.com/heatherslip/heatherslip/internal/core/placer"
	"github.com/heatherslip/heatherslip/internal/core/tracker"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// fenceTable holds the fences that workers have not answered yet. A fence first
// ends a lease on the worker and then reports which tasks have started under
// it, so that the report cannot become outdated.
type fenceTable struct {
	lastID  FenceID
	pending map[FenceID]*pendingFence
}

// pendingFence is one fence until its answer.
type pendingFence struct {
	id     FenceID
	worker namer.Worker
	// holder is set for a fence of a departed instance, whose leases all end,
	// and lease for a fence of a single lease. With neither, the worker is only
	// asked for the state of the tasks.
	holder namer.Incarnation
	lease  namer.Lease
	tasks  []namer.Task
	// blocksOwnership is set if this instance may not own any key before the
	// answer.
	blocksOwnership bool
	createdAt       time.Time
	sentAt          time.Time
	inFlight        bool
}

func newFenceTable() fenceTable { return fenceTable{pending: make(map[FenceID]*pendingFence)} }

func (f *fenceTable) addFence(fence *pendingFence) {
	f.lastID++
	fence.id = f.lastID
	f.pending[fence.id] = fence
}

// blocksOwnership reports whether some pending fence forbids this instance to
// own keys.
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

// sendFences sends fences, resends those that failed, and abandons those that
// were not answered within fenceTimeout.
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
		n.emitAction(FenceLeases{FenceID: fence.id, Worker: fence.worker, Holder: fence.holder, Lease: fence.lease, Tasks: fence.tasks})
	}
}

// abandonFence marks the tasks of an unanswered fence as lost, since their
// state cannot be determined.
func (n *Node) abandonFence(fence *pendingFence) {
	delete(n.fences.pending, fence.id)
	for _, task := range fence.tasks {
		r, t := n.findTask(task)
		if t != nil && t.State == tracker.TaskUncertain && t.Worker == fence.worker {
			n.markTaskLost(r, task.Index, t, "worker does not answer")
		}
	}
}

func (n *Node) findTask(task namer.Task) (*tracker.Record, *tracker.Task) {
	r := n.submissions.Get(task.ID)
	if r == nil {
		return nil, nil
	}
	return r, r.Task(task.Index)
}

// markTaskLost records that it cannot be determined whether a task has run, and
// fails its job.
func (n *Node) markTaskLost(r *tracker.Record, index int, t *tracker.Task, reason string) {
	n.markStartAccounted(r, index, t)
	t.State = tracker.TaskLost
	r.OpenTasks--
	n.placer.ReleaseTask(t.Worker, n.taskResources(r, index))
	n.logDecision(eventer.TaskUnknown, r.ID, index, string(t.Worker), reason)
	n.finishSubmission(r, coder.Answer{Status: coder.StatusFailed, Code: coder.CodeTaskUnknown, Detail: "a task's worker was lost"})
}

func (n *Node) taskResources(r *tracker.Record, index int) placer.Resources {
	return placer.TaskResources(&r.Work.Tasks[index])
}

// handleFenceAnswered applies a worker's report on the tasks under a fenced
// lease.
func (n *Node) handleFenceAnswered(e FenceAnswered) {
	fence, found := n.fences.pending[e.FenceID]
	if !found {
		return
	}
	delete(n.fences.pending, e.FenceID)
	n.logDecision(eventer.LeaseFenced, "", len(e.Tasks), string(fence.worker), string(fence.holder)+string(fence.lease))
	var running []namer.Task
	for _, report := range e.Tasks {
		r, t := n.findTask(report.Task)
		if t == nil || t.State != tracker.TaskUncertain || t.Worker != fence.worker {
			continue
		}
		if !report.Started && (e.LeaseUnknown || fence.lease == "") {
			n.markTaskLost(r, report.Task.Index, t, "worker has forgotten the lease")
			continue
		}
		if n.resolveUncertainTask(r, t, report) {
			running = append(running, report.Task)
		}
	}
	n.adoptTasks(fence.worker, running)
}

// resolveUncertainTask updates an uncertain task from the worker's report. It
// returns true if the task is running.
func (n *Node) resolveUncertainTask(r *tracker.Record, t *tracker.Task, report FencedTask) bool {
	index := report.Task.Index
	switch {
	case !report.Started:
		n.revertPlacement(r, index, t, "worker has not seen the task")
	case report.Running:
		t.State = tracker.TaskRunning
		return true
	case report.Killed:
		n.finishTask(r, t, TaskResult{Task: report.Task, Output: "ended by its worker with the lease"})
	default:
		n.finishTask(r, t, TaskResult{Task: report.Task, OK: report.OK, Output: report.Output})
	}
	return false
}

// adoptTasks moves running tasks to this instance's own lease on the worker.
// Without such a lease the tasks stay uncertain and are fenced again later.
func (n *Node) adoptTasks(worker namer.Worker, tasks []namer.Task) {
	if len(tasks) == 0 {
		return
	}
	w := n.placer.Worker(worker)
	for _, task := range tasks {
		_, t := n.findTask(task)
		if w == nil || w.Lease == "" {
			t.State = tracker.TaskUncertain
			continue
		}
		t.Lease = w.Lease
		n.logDecision(eventer.TaskAdopted, task.ID, task.Index, string(worker), "")
	}
	if w == nil || w.Lease == "" {
		n.fences.addFence(&pendingFence{worker: worker, tasks: tasks, createdAt: n.now, sentAt: n.now})
		return
	}
	n.emitAction(AdoptTasks{Worker: worker, Lease: w.Lease, Tasks: tasks})
}

// takeOverDeparted takes over the submissions of departed members and fences
// their leases. If history was lost, this instance may not own any key until
// the workers have answered or fenceTimeout has passed: a departed member may
// have sent starts that no remaining member has a record of.
func (n *Node) takeOverDeparted() {
	lostUntil, lost := n.state.HistoryLostUntil(n.self.Domain)
	blocksOwnership := lost && n.now.Sub(lostUntil) < fenceTimeout
	for _, inc := range n.unfencedDeparted() {
		n.takeOverFrom(inc, blocksOwnership)
	}
}

// unfencedDeparted returns the departed incarnations whose leases have not been
// fenced, sorted.
func (n *Node) unfencedDeparted() []namer.Incarnation {
	departed := make(map[namer.Incarnation]bool)
	for inc := range n.membership.departedMembers {
		if !n.membership.fencedMembers[inc] {
			departed[inc] = true
		}
	}
	n.submissions.EachRecord(func(r *tracker.Record) {
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

// takeOverFrom makes this instance the primary of the submissions that it
// backed up for a departed member, and fences the member's leases.
func (n *Node) takeOverFrom(departed namer.Incarnation, blocksOwnership bool) {
	n.membership.fencedMembers[departed] = true
	uncertain := make(map[leaseKey][]namer.Task)
	var inherited []*tracker.Record
	n.submissions.EachRecord(func(r *tracker.Record) {
		if r.Primary == departed && r.Backup == n.self.Incarnation {
			inherited = append(inherited, r)
		}
	})
	tracker.SortByID(inherited)
	for _, r := range inherited {
		n.takeOverRecord(r, uncertain)
	}
	for _, w := range n.placer.Workers() {
		n.fences.addFence(&pendingFence{worker: w.Name, holder: departed, blocksOwnership: blocksOwnership, createdAt: n.now})
	}
	for _, key := range sortedLeaseKeys(uncertain) {
		n.fences.addFence(&pendingFence{worker: key.worker, holder: departed, lease: key.lease, tasks: uncertain[key], createdAt: n.now})
	}
}

// leaseKey identifies a lease on a worker. The lease of each uncertain task is
// fenced whichever instance holds it: the departed primary may itself have
// taken the task over, and may not have fenced the primary before it.
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

// takeOverRecord makes this instance the primary of a record that it backed up.
// Tasks that may have been started are added to uncertain; a request fails,
// since it must not be sent again.
func (n *Node) takeOverRecord(r *tracker.Record, uncertain map[leaseKey][]namer.Task) {
	n.logDecision(eventer.SubmissionTakenOver, r.ID, 0, string(r.Primary), "")
	r.Primary = n.self.Incarnation
	r.Backup = ""
	r.SentToBackup, r.BackupAcked = false, false
	if r.FinalAnswer != nil {
		return
	}
	if r.IsRequest() {
		n.finishSubmission(r, coder.Answer{Status: coder.StatusFailed, Code: coder.CodeAnswerLost, Detail: "the instance that sent the request was lost"})
		return
	}
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if t.State == tracker.TaskStarting {
			t.State = tracker.TaskUncertain
			key := leaseKey{t.Worker, t.Lease}
			uncertain[key] = append(uncertain[key], namer.Task{ID: r.ID, Index: i})
		}
	}
	n.enqueueTasks(r)
}
