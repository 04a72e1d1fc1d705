package dispatcher

import (
	"fmt"
	"sort"
	"time"

	"github.com/heatherslip/heatherslip/internal/core/keeper"
	"github.com/heatherslip/heatherslip/internal/core/placer"
	"github.com/heatherslip/heatherslip/internal/core/queuer"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// maxPlacementsPerStep bounds how many tasks one step places.
const maxPlacementsPerStep = 2048

// checkAdmission returns the refusal of work that cannot be done, or not in time. It
// is called before the work is taken in, so that "not run" is true.
func (n *Node) checkAdmission(w *coder.Work) *coder.Answer {
	if w.Service != "" {
		return n.checkRequestAdmission(w)
	}
	need := placer.Size{}
	for i := range w.Tasks {
		need = placer.SizeOf(&w.Tasks[i])
		if !n.placer.EverFits(need) {
			return &coder.Answer{
				Status: coder.Refused, Code: coder.CodeNeverFits, Ran: coder.RanNo,
				Detail: fmt.Sprintf("task %d is larger than every worker", i),
			}
		}
	}
	if refusal := n.checkQuota(w); refusal != nil {
		return refusal
	}
	return n.checkWait(n.taskQueue, w, n.placer.Slots(need))
}

// checkQuota refuses work beyond the instance's part of its team's quota. The
// parts add up to the quota over all members, so that it holds without asking
// anybody, also while cut off.
func (n *Node) checkQuota(w *coder.Work) *coder.Answer {
	team, found := n.policy.TeamOf(w.Submission.Team)
	if !found || team.Quota == 0 {
		return nil
	}
	share := max(1, team.Quota/max(1, len(n.state.Members(""))))
	open := 0
	n.submissions.EachOpen(func(r *keeper.Record) {
		if r.Primary == n.self.Incarnation && r.FinalAnswer == nil && r.Work.Submission.Team == team.Name {
			open += r.OpenTasks
		}
	})
	if open == 0 || open+len(w.Tasks) <= share {
		return nil
	}
	return &coder.Answer{
		Status: coder.Refused, Code: coder.CodeQuota, Ran: coder.RanNo,
		Detail: "the team's quota is used up", RetryMillis: longRetryMillis,
	}
}

// checkWait refuses work whose expected wait is longer than its kind allows or
// its deadline leaves, and says when to come back.
func (n *Node) checkWait(q *queuer.Queue, w *coder.Work, slots float64) *coder.Answer {
	c := queuer.Class{Team: w.Submission.Team, Kind: w.Kind}
	wait := q.Wait(c, slots)
	limit := w.Deadline.Sub(n.now) - n.queueCost(q, c, &w.Tasks[0])
	if k, found := n.policy.KindOf(w.Kind); found {
		limit = min(limit, k.Wait)
	}
	if wait <= limit {
		return nil
	}
	return &coder.Answer{
		Status: coder.Refused, Code: coder.CodeOverload, Ran: coder.RanNo,
		Detail:      "more work of this kind waits than can be done in time",
		RetryMillis: max(shortRetryMillis, int((wait-max(limit, 0))/time.Millisecond)),
	}
}

// placeTasks gives waiting tasks to workers in fair order.
func (n *Node) placeTasks() {
	if n.taskQueue.Len() == 0 {
		return
	}
	n.taskQueue.Drain(maxPlacementsPerStep, n.placeTask)
}

// placeTask returns false where there is no room for the task now.
func (n *Node) placeTask(_ queuer.Class, item queuer.Item) bool {
	r := n.submissions.Get(item.ID)
	if r == nil || r.FinalAnswer != nil || r.Primary != n.self.Incarnation {
		return true
	}
	t := r.Task(item.Index)
	if t.State != keeper.TaskQueued {
		return true
	}
	w := n.placer.Place(n.now, n.taskSize(r, item.Index), r.TasksByRack)
	if w == nil {
		return false
	}
	if r.TasksByRack == nil {
		r.TasksByRack = make(map[string]int)
	}
	r.TasksByRack[w.Rack]++
	t.State = keeper.TaskPlaced
	t.Attempt++
	t.Worker = w.Name
	t.Lease = w.Lease
	n.logDecision(eventer.Placed, r.ID, item.Index, string(w.Name), "room and fair share")
	n.markForReplication(r)
	return true
}

// markStartAccounted notes that what the worker reports from now on counts the task, or
// that it never will. It is called when a task stops to be Placed or Starting.
func (n *Node) markStartAccounted(r *keeper.Record, index int, t *keeper.Task) {
	if t.State == keeper.TaskPlaced || t.State == keeper.TaskStarting {
		n.placer.Answered(t.Worker, n.taskSize(r, index))
	}
}

// revertPlacement puts a task back that has provably not started.
func (n *Node) revertPlacement(r *keeper.Record, index int, t *keeper.Task, reason string) {
	n.markStartAccounted(r, index, t)
	n.placer.Release(t.Worker, n.taskSize(r, index))
	n.logDecision(eventer.PlacementVoid, r.ID, index, string(t.Worker), reason)
	t.State = keeper.TaskQueued
	t.PlacementInFlight = false
	if r.FinalAnswer != nil {
		return
	}
	c := queuer.Class{Team: r.Work.Submission.Team, Kind: r.Work.Kind}
	n.taskQueue.PushFront(c, queuer.Item{ID: r.ID, Index: index, Cost: n.queueCost(n.taskQueue, c, &r.Work.Tasks[index])})
}

// queueStart collects the starts of one step by worker and lease.
func (n *Node) queueStart(r *keeper.Record, index int, t *keeper.Task) {
	start := StartTask{Task: namer.Task{ID: r.ID, Index: index}, Spec: r.Work.Tasks[index]}
	for i := range n.pendingStarts {
		if s := &n.pendingStarts[i]; s.Worker == t.Worker && s.Lease == t.Lease {
			s.Tasks = append(s.Tasks, start)
			return
		}
	}
	n.pendingStarts = append(n.pendingStarts, Start{Worker: t.Worker, Lease: t.Lease, Tasks: []StartTask{start}})
}

func (n *Node) emitStarts() {
	for _, s := range n.pendingStarts {
		n.emit(s)
	}
	n.pendingStarts = nil
}

func (n *Node) handleStartAnswered(e StartAnswered) {
	for _, result := range e.Results {
		r, t := n.findTask(result.Task)
		if t != nil && t.Worker == e.Worker && t.Lease == e.Lease && t.State == keeper.TaskStarting {
			n.handleStartOutcome(r, result, t)
		}
	}
	n.placer.Report(n.now, e.Worker, e.Free)
}

func (n *Node) handleStartOutcome(r *keeper.Record, result StartResult, t *keeper.Task) {
	switch result.Verdict {
	case StartTaken:
		n.markStartAccounted(r, result.Task.Index, t)
		t.State = keeper.TaskRunning
		n.placer.Taken(t.Worker)
	case StartFull:
		n.logDecision(eventer.StartRefused, r.ID, result.Task.Index, string(t.Worker), "full")
		n.revertPlacement(r, result.Task.Index, t, "full")
		n.placer.Full(t.Worker)
	case StartVoid:
		n.logDecision(eventer.StartRefused, r.ID, result.Task.Index, string(t.Worker), "lease is over")
		n.revertPlacement(r, result.Task.Index, t, "lease is over")
	}
}

// handleStartUnanswered asks the worker, under a fence, what became of starts whose
// answer did not come. The lease is given up with it.
func (n *Node) handleStartUnanswered(e StartLost) {
	n.handleLeaseEnded(LeaseEnded{Worker: e.Worker, Lease: e.Lease})
}

// handleLeaseEnded puts all that was started under a lease in doubt.
func (n *Node) handleLeaseEnded(e LeaseEnded) {
	w := n.placer.Get(e.Worker)
	if w != nil && w.Lease == e.Lease {
		w.Lease = ""
		w.Asking = false
		n.logDecision(eventer.LeaseEnded, "", 0, string(e.Worker), string(e.Lease))
	}
	var tasks []namer.Task
	n.submissions.EachOpen(func(r *keeper.Record) {
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
	n.logDecision(eventer.StartDoubtful, "", len(tasks), string(e.Worker), string(e.Lease))
	n.fences.add(&pendingFence{worker: e.Worker, lease: e.Lease, tasks: tasks, createdAt: n.now})
}

func (n *Node) markTasksUncertain(r *keeper.Record, e LeaseEnded) []namer.Task {
	var tasks []namer.Task
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if t.Worker != e.Worker || t.Lease != e.Lease {
			continue
		}
		if t.State == keeper.TaskStarting || t.State == keeper.TaskRunning {
			n.markStartAccounted(r, i, t)
			t.State = keeper.TaskUncertain
			tasks = append(tasks, namer.Task{ID: r.ID, Index: i})
		}
	}
	return tasks
}

func (n *Node) handleTasksEnded(e TasksEnded) {
	for _, result := range e.Ends {
		r, t := n.findTask(result.Task)
		if t == nil || t.Worker != e.Worker || r.FinalAnswer != nil || r.Primary != n.self.Incarnation {
			continue
		}
		if t.State == keeper.TaskStarting || t.State == keeper.TaskRunning || t.State == keeper.TaskUncertain {
			n.finishTask(r, t, result)
		}
	}
	n.placer.Report(n.now, e.Worker, e.Free)
}

// finishTask takes in the end of a task, and finishes the job with its last one
// or its first that failed.
func (n *Node) finishTask(r *keeper.Record, t *keeper.Task, result TaskEnd) {
	n.markStartAccounted(r, result.Task.Index, t)
	t.State = keeper.TaskEnded
	t.OK = result.OK
	t.Output = result.Output
	r.OpenTasks--
	n.placer.Release(t.Worker, n.taskSize(r, result.Task.Index))
	n.recordTaskResult(r, t, result)
	switch {
	case !result.OK:
		n.finishSubmission(r, coder.Answer{
			Status: coder.Failed, Code: coder.CodeTask,
			Detail: fmt.Sprintf("task %d failed: %s", result.Task.Index, result.Output),
		})
	case r.OpenTasks == 0:
		n.finishSubmission(r, coder.Answer{Status: coder.Done})
	}
}

// recordTaskResult counts the end of a task towards its worker's standing, and learns
// its run time.
func (n *Node) recordTaskResult(r *keeper.Record, t *keeper.Task, result TaskEnd) {
	if r.FinalAnswer != nil {
		return
	}
	if !result.OK {
		if n.placer.Ended(n.now, t.Worker, false) {
			n.logDecision(eventer.WorkerAside, r.ID, result.Task.Index, string(t.Worker), "fails what it starts")
		}
		return
	}
	if result.Took == 0 {
		return
	}
	c := queuer.Class{Team: r.Work.Submission.Team, Kind: r.Work.Kind}
	ratio := float64(result.Took) / float64(n.taskQueue.Cost(c, result.Took))
	if n.placer.EndedWell(n.now, t.Worker, ratio) {
		n.logDecision(eventer.WorkerAside, r.ID, result.Task.Index, string(t.Worker), "is much slower than the others")
	}
	n.taskQueue.Learn(c, result.Took)
}

// stopRemainingTasks stops the tasks of a finished submission that still run, since
// nobody waits for them, and gives up their room: workers tell what they have
// free. The answer has been written by now; the states are not read again.
func (n *Node) stopRemainingTasks(r *keeper.Record) {
	if r.IsRequest() {
		return
	}
	byWorker := make(map[namer.Worker][]namer.Task)
	for i := range r.Tasks {
		t := &r.Tasks[i]
		switch t.State {
		case keeper.TaskStarting, keeper.TaskRunning, keeper.TaskUncertain:
			byWorker[t.Worker] = append(byWorker[t.Worker], namer.Task{ID: r.ID, Index: i})
		case keeper.TaskPlaced:
		case keeper.TaskQueued, keeper.TaskEnded, keeper.TaskLost:
			continue
		}
		n.markStartAccounted(r, i, t)
		n.placer.Release(t.Worker, n.taskSize(r, i))
		t.State = keeper.TaskLost
	}
	for _, w := range sortedWorkers(byWorker) {
		n.emit(StopTasks{Worker: w, Tasks: byWorker[w]})
	}
}

// handleList takes in the platform's list.
func (n *Node) handleList(e Listed) {
	n.lastList = e
	present := make(map[namer.Worker]bool)
	for _, l := range e.Workers {
		if l.Domain != n.self.Domain {
			continue
		}
		present[l.Name] = true
		n.placer.Update(placer.Worker{Name: l.Name, Domain: l.Domain, Rack: l.Rack, Total: l.Total, Leaving: l.Leaving})
	}
	for _, w := range append([]*placer.Worker(nil), n.placer.All()...) {
		if !present[w.Name] {
			n.removeWorker(w)
		}
	}
	n.updateMinions(e.Minions)
}

// removeWorker forgets a worker that the platform no longer lists. What it may
// have started is put in doubt first, and then lost.
func (n *Node) removeWorker(w *placer.Worker) {
	n.handleLeaseEnded(LeaseEnded{Worker: w.Name, Lease: w.Lease})
	n.placer.Remove(w.Name)
	for _, fence := range n.fences.sortedByID() {
		if fence.worker == w.Name {
			n.abandonFence(fence)
		}
	}
}

func (n *Node) handleLeaseAnswered(e LeaseOpened) {
	w := n.placer.Get(e.Worker)
	if w == nil {
		return
	}
	w.Asking = false
	if e.Lease == "" {
		return
	}
	w.Lease = e.Lease
	n.placer.Report(n.now, e.Worker, e.Free)
	n.logDecision(eventer.LeaseGained, "", 0, string(e.Worker), string(e.Lease))
}

// acquireLeases asks for a lease of each worker of the domain that this instance
// has none of.
func (n *Node) acquireLeases() {
	if !n.isMember() || n.state.Retired(n.self.Incarnation) && n.submissions.AllClosed() {
		return
	}
	for _, w := range n.placer.All() {
		if w.Lease != "" || w.Asking || w.Leaving {
			continue
		}
		w.Asking = true
		n.emit(OpenLease{Worker: w.Name})
	}
}
