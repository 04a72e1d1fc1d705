package dispatcher

import (
	"fmt"
	"sort"
	"time"

	"github.com/heatherslip/heatherslip/internal/core/placer"
	"github.com/heatherslip/heatherslip/internal/core/queuer"
	"github.com/heatherslip/heatherslip/internal/core/tracker"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// maxPlacementsPerStep bounds the tasks placed in one step.
const maxPlacementsPerStep = 2048

// checkAdmission returns a refusal if work exceeds every worker, its team's
// quota, or the time available. It is called before the work is accepted, so
// that the answer "not run" is correct.
func (n *Node) checkAdmission(w *coder.Work) *coder.Answer {
	if refusal := n.evacuationRefusal(); refusal != nil {
		return refusal
	}
	if w.Service != "" {
		return n.checkRequestAdmission(w)
	}
	resources := placer.Resources{}
	for i := range w.Tasks {
		resources = placer.TaskResources(&w.Tasks[i])
		if !n.placer.FitsEmptyWorker(resources) {
			return &coder.Answer{
				Status: coder.StatusRefused, Code: coder.CodeNeverFits, Ran: coder.RanNo,
				Detail: fmt.Sprintf("task %d is larger than every worker", i),
			}
		}
	}
	if refusal := n.checkQuota(w); refusal != nil {
		return refusal
	}
	return n.checkWait(n.taskQueue, w, n.placer.EstimateSlots(resources))
}

// checkQuota refuses work that exceeds this instance's share of its team's
// quota. The quota is divided equally among all members, so that it holds
// without coordination, even while instances cannot reach each other.
func (n *Node) checkQuota(w *coder.Work) *coder.Answer {
	team, found := n.policy.FindTeam(w.Submission.Team)
	if !found || team.TaskQuota == 0 {
		return nil
	}
	share := max(1, team.TaskQuota/max(1, len(n.state.Members(""))))
	openTasks := 0
	n.submissions.EachOpenRecord(func(r *tracker.Record) {
		if r.Primary == n.self.Incarnation && r.FinalAnswer == nil && r.Work.Submission.Team == team.Name {
			openTasks += r.OpenTasks
		}
	})
	if openTasks == 0 || openTasks+len(w.Tasks) <= share {
		return nil
	}
	return &coder.Answer{
		Status: coder.StatusRefused, Code: coder.CodeQuota, Ran: coder.RanNo,
		Detail: "the team's quota is used up", RetryMillis: longRetryMillis,
	}
}

// checkWait refuses work whose expected queueing time exceeds the limit of its
// kind or the time left before its deadline. The refusal says when to try
// again.
func (n *Node) checkWait(q *queuer.Queue, w *coder.Work, slots float64) *coder.Answer {
	c := queuer.Class{Team: w.Submission.Team, Kind: w.Kind}
	wait := q.EstimateWait(c, slots)
	limit := w.Deadline.Sub(n.now) - n.queueCost(q, c, &w.Tasks[0])
	if k, found := n.policy.FindKind(w.Kind); found {
		limit = min(limit, k.MaxQueueWait)
	}
	if wait <= limit {
		return nil
	}
	return &coder.Answer{
		Status: coder.StatusRefused, Code: coder.CodeOverload, Ran: coder.RanNo,
		Detail:      "more work of this kind waits than can be done in time",
		RetryMillis: max(shortRetryMillis, int((wait-max(limit, 0))/time.Millisecond)),
	}
}

// placeTasks assigns waiting tasks to workers in the order of fair queueing.
func (n *Node) placeTasks() {
	if n.taskQueue.Len() == 0 || n.isEvacuated() {
		return
	}
	n.taskQueue.Dispatch(maxPlacementsPerStep, n.placeTask)
}

// placeTask places a task on a worker, unless the task no longer needs one. It
// returns false if no worker has capacity for it now.
func (n *Node) placeTask(_ queuer.Class, item queuer.Item) bool {
	r := n.submissions.Get(item.ID)
	if r == nil || r.FinalAnswer != nil || r.Primary != n.self.Incarnation {
		return true
	}
	t := r.Task(item.TaskIndex)
	if t.State != tracker.TaskQueued {
		return true
	}
	w := n.placer.PlaceTask(n.now, n.taskResources(r, item.TaskIndex), r.TasksByRack)
	if w == nil {
		return false
	}
	if r.TasksByRack == nil {
		r.TasksByRack = make(map[string]int)
	}
	r.TasksByRack[w.Rack]++
	t.State = tracker.TaskPlaced
	t.Attempt++
	t.Worker = w.Name
	t.Lease = w.Lease
	n.logDecision(eventer.PlacementMade, r.ID, item.TaskIndex, string(w.Name), "room and fair share")
	n.markForReplication(r)
	return true
}

// markStartAccounted tells the placer that the free capacity the worker reports
// from now on includes the task, or that the task will never occupy the worker.
// It must be called when a task leaves the states TaskPlaced and TaskStarting.
func (n *Node) markStartAccounted(r *tracker.Record, index int, t *tracker.Task) {
	if t.State == tracker.TaskPlaced || t.State == tracker.TaskStarting {
		n.placer.RecordStartAnswer(t.Worker, n.taskResources(r, index))
	}
}

// revertPlacement queues a task again that is proven not to have started.
func (n *Node) revertPlacement(r *tracker.Record, index int, t *tracker.Task, reason string) {
	n.markStartAccounted(r, index, t)
	n.placer.ReleaseTask(t.Worker, n.taskResources(r, index))
	n.logDecision(eventer.PlacementCanceled, r.ID, index, string(t.Worker), reason)
	t.State = tracker.TaskQueued
	t.PlacementInFlight = false
	if r.FinalAnswer != nil {
		return
	}
	c := queuer.Class{Team: r.Work.Submission.Team, Kind: r.Work.Kind}
	n.taskQueue.PushFront(c, queuer.Item{ID: r.ID, TaskIndex: index, Cost: n.queueCost(n.taskQueue, c, &r.Work.Tasks[index])})
}

// queueStart adds a start to the action for its worker and lease.
func (n *Node) queueStart(r *tracker.Record, index int, t *tracker.Task) {
	start := StartTask{Task: namer.Task{ID: r.ID, Index: index}, Spec: r.Work.Tasks[index]}
	for i := range n.pendingStarts {
		if s := &n.pendingStarts[i]; s.Worker == t.Worker && s.Lease == t.Lease {
			s.Tasks = append(s.Tasks, start)
			return
		}
	}
	n.pendingStarts = append(n.pendingStarts, StartTasks{Worker: t.Worker, Lease: t.Lease, Tasks: []StartTask{start}})
}

func (n *Node) emitStarts() {
	for _, s := range n.pendingStarts {
		n.emitAction(s)
	}
	n.pendingStarts = nil
}

func (n *Node) handleStartAnswered(e StartAnswered) {
	for _, result := range e.Results {
		r, t := n.findTask(result.Task)
		if t != nil && t.Worker == e.Worker && t.Lease == e.Lease && t.State == tracker.TaskStarting {
			n.handleStartStatus(r, result, t)
		}
	}
	n.placer.UpdateFree(n.now, e.Worker, e.Free)
}

func (n *Node) handleStartStatus(r *tracker.Record, result StartResult, t *tracker.Task) {
	switch result.Status {
	case StartAccepted:
		n.markStartAccounted(r, result.Task.Index, t)
		t.State = tracker.TaskRunning
		n.placer.RecordStartAccepted(t.Worker)
	case StartNoCapacity:
		n.logDecision(eventer.StartRefused, r.ID, result.Task.Index, string(t.Worker), "full")
		n.revertPlacement(r, result.Task.Index, t, "full")
		n.placer.RecordStartRefused(t.Worker)
	case StartLeaseExpired:
		n.logDecision(eventer.StartRefused, r.ID, result.Task.Index, string(t.Worker), "lease is over")
		n.revertPlacement(r, result.Task.Index, t, "lease is over")
	}
}

// handleStartNoResponse gives up the lease of starts that got no answer. A
// fence then asks the worker which of them have happened.
func (n *Node) handleStartNoResponse(e StartNoResponse) {
	n.handleLeaseEnded(LeaseEnded{Worker: e.Worker, Lease: e.Lease})
}

// handleLeaseEnded marks all tasks that were started under a lease as
// uncertain, and fences the lease.
func (n *Node) handleLeaseEnded(e LeaseEnded) {
	w := n.placer.Worker(e.Worker)
	if w != nil && w.Lease == e.Lease {
		w.Lease = ""
		w.LeasePending = false
		n.logDecision(eventer.LeaseEnded, "", 0, string(e.Worker), string(e.Lease))
	}
	var tasks []namer.Task
	n.submissions.EachOpenRecord(func(r *tracker.Record) {
		if r.Primary != n.self.Incarnation || r.FinalAnswer != nil {
			return
		}
		tasks = append(tasks, n.markTasksUncertain(r, e)...)
	})
	if len(tasks) == 0 {
		return
	}
	sort.Slice(tasks, func(i, j int) bool {
		if tasks[i].ID != tasks[j].ID {
			return tasks[i].ID < tasks[j].ID
		}
		return tasks[i].Index < tasks[j].Index
	})
	n.logDecision(eventer.StartUncertain, "", len(tasks), string(e.Worker), string(e.Lease))
	n.fences.addFence(&pendingFence{worker: e.Worker, lease: e.Lease, tasks: tasks, createdAt: n.now})
}

func (n *Node) markTasksUncertain(r *tracker.Record, e LeaseEnded) []namer.Task {
	var tasks []namer.Task
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if t.Worker != e.Worker || t.Lease != e.Lease {
			continue
		}
		if t.State == tracker.TaskStarting || t.State == tracker.TaskRunning {
			n.markStartAccounted(r, i, t)
			t.State = tracker.TaskUncertain
			tasks = append(tasks, namer.Task{ID: r.ID, Index: i})
		}
	}
	return tasks
}

func (n *Node) handleTasksEnded(e TasksEnded) {
	for _, result := range e.Results {
		r, t := n.findTask(result.Task)
		if t == nil || t.Worker != e.Worker || r.FinalAnswer != nil || r.Primary != n.self.Incarnation {
			continue
		}
		if t.State == tracker.TaskStarting || t.State == tracker.TaskRunning || t.State == tracker.TaskUncertain {
			n.finishTask(r, t, result)
		}
	}
	n.placer.UpdateFree(n.now, e.Worker, e.Free)
}

// finishTask records the end of a task. The job finishes with its last task, or
// with the first that fails.
func (n *Node) finishTask(r *tracker.Record, t *tracker.Task, result TaskResult) {
	n.markStartAccounted(r, result.Task.Index, t)
	t.State = tracker.TaskEnded
	t.OK = result.OK
	t.Output = result.Output
	r.OpenTasks--
	n.placer.ReleaseTask(t.Worker, n.taskResources(r, result.Task.Index))
	n.recordTaskResult(r, t, result)
	switch {
	case !result.OK:
		n.finishSubmission(r, coder.Answer{
			Status: coder.StatusFailed, Code: coder.CodeTaskFailed,
			Detail: fmt.Sprintf("task %d failed: %s", result.Task.Index, result.Output),
		})
	case r.OpenTasks == 0:
		n.finishSubmission(r, coder.Answer{Status: coder.StatusDone})
	}
}

// recordTaskResult updates the worker's health and the estimated run time of
// the task's class.
func (n *Node) recordTaskResult(r *tracker.Record, t *tracker.Task, result TaskResult) {
	if r.FinalAnswer != nil {
		return
	}
	if !result.OK {
		if n.placer.RecordTaskEnd(n.now, t.Worker, false) {
			n.logDecision(eventer.WorkerQuarantined, r.ID, result.Task.Index, string(t.Worker), "fails what it starts")
		}
		return
	}
	if result.RunTime == 0 {
		return
	}
	c := queuer.Class{Team: r.Work.Submission.Team, Kind: r.Work.Kind}
	ratio := float64(result.RunTime) / float64(n.taskQueue.ExpectedRunTime(c, result.RunTime))
	if n.placer.RecordTaskSuccess(n.now, t.Worker, ratio) {
		n.logDecision(eventer.WorkerQuarantined, r.ID, result.Task.Index, string(t.Worker), "is much slower than the others")
	}
	n.taskQueue.RecordRunTime(c, result.RunTime)
}

// stopRemainingTasks stops the tasks of a finished submission that still run,
// since their results are no longer needed, and releases their capacity at
// once: workers report what is really free. The task states are not read after
// this, since the final answer is already set.
func (n *Node) stopRemainingTasks(r *tracker.Record) {
	if r.IsRequest() {
		return
	}
	byWorker := make(map[namer.Worker][]namer.Task)
	for i := range r.Tasks {
		t := &r.Tasks[i]
		switch t.State {
		case tracker.TaskStarting, tracker.TaskRunning, tracker.TaskUncertain:
			byWorker[t.Worker] = append(byWorker[t.Worker], namer.Task{ID: r.ID, Index: i})
		case tracker.TaskPlaced:
		case tracker.TaskQueued, tracker.TaskEnded, tracker.TaskLost:
			continue
		}
		n.markStartAccounted(r, i, t)
		n.placer.ReleaseTask(t.Worker, n.taskResources(r, i))
		t.State = tracker.TaskLost
	}
	for _, w := range sortedWorkers(byWorker) {
		n.emitAction(StopTasks{Worker: w, Tasks: byWorker[w]})
	}
}

// handleList applies the platform's list of workers and minions.
func (n *Node) handleList(e ListUpdated) {
	n.lastList = e
	present := make(map[namer.Worker]bool)
	for _, info := range e.Workers {
		if info.Domain != n.self.Domain {
			continue
		}
		present[info.Name] = true
		n.placer.UpsertWorker(placer.Worker{Name: info.Name, Domain: info.Domain, Rack: info.Rack, Capacity: info.Capacity, Draining: info.Draining})
	}
	for _, w := range append([]*placer.Worker(nil), n.placer.Workers()...) {
		if !present[w.Name] {
			n.removeWorker(w)
		}
	}
	n.updateMinions(e.Minions)
}

// removeWorker removes a worker that the platform no longer lists. Tasks that
// it may have started become uncertain first, and then lost.
func (n *Node) removeWorker(w *placer.Worker) {
	n.handleLeaseEnded(LeaseEnded{Worker: w.Name, Lease: w.Lease})
	n.placer.RemoveWorker(w.Name)
	for _, fence := range n.fences.sortedByID() {
		if fence.worker == w.Name {
			n.abandonFence(fence)
		}
	}
}

func (n *Node) handleLeaseAnswered(e LeaseAnswered) {
	w := n.placer.Worker(e.Worker)
	if w == nil {
		return
	}
	w.LeasePending = false
	if e.Lease == "" {
		return
	}
	w.Lease = e.Lease
	n.placer.UpdateFree(n.now, e.Worker, e.Free)
	n.logDecision(eventer.LeaseAcquired, "", 0, string(e.Worker), string(e.Lease))
}

// acquireLeases asks for a lease on each worker of the domain on which this
// instance has none.
func (n *Node) acquireLeases() {
	if !n.isMember() || n.state.Retired(n.self.Incarnation) && n.submissions.AllClosed() {
		return
	}
	for _, w := range n.placer.Workers() {
		if w.Lease != "" || w.LeasePending || w.Draining {
			continue
		}
		w.LeasePending = true
		n.emitAction(AcquireLease{Worker: w.Name})
	}
}
