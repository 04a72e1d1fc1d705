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

// placeBudget bounds how many tasks one step places.
const placeBudget = 2048

// admit returns the refusal of work that cannot be done, or not in time. It
// is called before the work is taken in, so that "not run" is true.
func (n *Node) admit(w *coder.Work) *coder.Answer {
	if w.Service != "" {
		return n.admitRequest(w)
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
	if refusal := n.overQuota(w); refusal != nil {
		return refusal
	}
	return n.tooLate(n.tasks, w, n.placer.Slots(need))
}

// overQuota refuses work beyond the instance's part of its team's quota. The
// parts add up to the quota over all members, so that it holds without asking
// anybody, also while cut off.
func (n *Node) overQuota(w *coder.Work) *coder.Answer {
	team, found := n.policy.TeamOf(w.Submission.Team)
	if !found || team.Quota == 0 {
		return nil
	}
	part := max(1, team.Quota/max(1, len(n.state.Members(""))))
	open := 0
	n.table.EachLive(func(r *keeper.Record) {
		if r.Runner == n.self.Incarnation && r.Final == nil && r.Work.Submission.Team == team.Name {
			open += r.Open
		}
	})
	if open == 0 || open+len(w.Tasks) <= part {
		return nil
	}
	return &coder.Answer{
		Status: coder.Refused, Code: coder.CodeQuota, Ran: coder.RanNo,
		Detail: "the team's quota is used up", RetryMillis: laterMillis,
	}
}

// tooLate refuses work whose expected wait is longer than its kind allows or
// its deadline leaves, and says when to come back.
func (n *Node) tooLate(q *queuer.Queue, w *coder.Work, slots float64) *coder.Answer {
	c := queuer.Class{Team: w.Submission.Team, Kind: w.Kind}
	wait := q.Wait(c, slots)
	limit := w.Deadline.Sub(n.now) - n.cost(q, c, &w.Tasks[0])
	if k, found := n.policy.KindOf(w.Kind); found {
		limit = min(limit, k.Wait)
	}
	if wait <= limit {
		return nil
	}
	return &coder.Answer{
		Status: coder.Refused, Code: coder.CodeOverload, Ran: coder.RanNo,
		Detail:      "more work of this kind waits than can be done in time",
		RetryMillis: max(soonMillis, int((wait-max(limit, 0))/time.Millisecond)),
	}
}

// runTasks gives waiting tasks to workers in fair order.
func (n *Node) runTasks() {
	if n.tasks.Len() == 0 {
		return
	}
	n.tasks.Drain(placeBudget, n.placeTask)
}

// placeTask returns false where there is no room for the task now.
func (n *Node) placeTask(_ queuer.Class, it queuer.Item) bool {
	r := n.table.Get(it.ID)
	if r == nil || r.Final != nil || r.Runner != n.self.Incarnation {
		return true
	}
	t := r.Task(it.Index)
	if t.State != keeper.Queued {
		return true
	}
	w := n.placer.Place(n.now, n.sizeOf(r, it.Index), r.Racks)
	if w == nil {
		return false
	}
	if r.Racks == nil {
		r.Racks = make(map[string]int)
	}
	r.Racks[w.Rack]++
	t.State = keeper.Placed
	t.Attempt++
	t.Worker = w.Name
	t.Lease = w.Lease
	n.decide(eventer.Placed, r.ID, it.Index, string(w.Name), "room and fair share")
	n.markDirty(r)
	return true
}

// counted notes that what the worker reports from now on counts the task, or
// that it never will. It is called when a task stops to be Placed or Starting.
func (n *Node) counted(r *keeper.Record, index int, t *keeper.Task) {
	if t.State == keeper.Placed || t.State == keeper.Starting {
		n.placer.Answered(t.Worker, n.sizeOf(r, index))
	}
}

// voidPlacement puts a task back that has provably not started.
func (n *Node) voidPlacement(r *keeper.Record, index int, t *keeper.Task, why string) {
	n.counted(r, index, t)
	n.placer.Release(t.Worker, n.sizeOf(r, index))
	n.decide(eventer.PlacementVoid, r.ID, index, string(t.Worker), why)
	t.State = keeper.Queued
	t.Shown = false
	if r.Final != nil {
		return
	}
	c := queuer.Class{Team: r.Work.Submission.Team, Kind: r.Work.Kind}
	n.tasks.PushFront(c, queuer.Item{ID: r.ID, Index: index, Cost: n.cost(n.tasks, c, &r.Work.Tasks[index])})
}

// queueStart collects the starts of one step by worker and lease.
func (n *Node) queueStart(r *keeper.Record, index int, t *keeper.Task) {
	st := StartTask{Task: namer.Task{ID: r.ID, Index: index}, Spec: r.Work.Tasks[index]}
	for i := range n.starts {
		if s := &n.starts[i]; s.Worker == t.Worker && s.Lease == t.Lease {
			s.Tasks = append(s.Tasks, st)
			return
		}
	}
	n.starts = append(n.starts, Start{Worker: t.Worker, Lease: t.Lease, Tasks: []StartTask{st}})
}

func (n *Node) runStarts() {
	for _, s := range n.starts {
		n.do(s)
	}
	n.starts = nil
}

func (n *Node) startAnswered(e StartAnswered) {
	for _, res := range e.Results {
		r, t := n.find(res.Task)
		if t != nil && t.Worker == e.Worker && t.Lease == e.Lease && t.State == keeper.Starting {
			n.startVerdict(r, res, t)
		}
	}
	n.placer.Report(n.now, e.Worker, e.Free)
}

func (n *Node) startVerdict(r *keeper.Record, res StartResult, t *keeper.Task) {
	switch res.Verdict {
	case StartTaken:
		n.counted(r, res.Task.Index, t)
		t.State = keeper.Started
		n.placer.Taken(t.Worker)
	case StartFull:
		n.decide(eventer.StartRefused, r.ID, res.Task.Index, string(t.Worker), "full")
		n.voidPlacement(r, res.Task.Index, t, "full")
		n.placer.Full(t.Worker)
	case StartVoid:
		n.decide(eventer.StartRefused, r.ID, res.Task.Index, string(t.Worker), "lease is over")
		n.voidPlacement(r, res.Task.Index, t, "lease is over")
	}
}

// startLost asks the worker, under a fence, what became of starts whose
// answer did not come. The lease is given up with it.
func (n *Node) startLost(e StartLost) {
	n.leaseEnded(LeaseEnded{Worker: e.Worker, Lease: e.Lease})
}

// leaseEnded puts all that was started under a lease in doubt.
func (n *Node) leaseEnded(e LeaseEnded) {
	w := n.placer.Get(e.Worker)
	if w != nil && w.Lease == e.Lease {
		w.Lease = ""
		w.Asking = false
		n.decide(eventer.LeaseEnded, "", 0, string(e.Worker), string(e.Lease))
	}
	var tasks []namer.Task
	n.table.EachLive(func(r *keeper.Record) {
		if r.Runner != n.self.Incarnation || r.Final != nil {
			return
		}
		tasks = append(tasks, n.doubt(r, e)...)
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
	n.decide(eventer.StartDoubtful, "", len(tasks), string(e.Worker), string(e.Lease))
	n.fences.add(&fence{worker: e.Worker, lease: e.Lease, tasks: tasks, since: n.now})
}

func (n *Node) doubt(r *keeper.Record, e LeaseEnded) []namer.Task {
	var tasks []namer.Task
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if t.Worker != e.Worker || t.Lease != e.Lease {
			continue
		}
		if t.State == keeper.Starting || t.State == keeper.Started {
			n.counted(r, i, t)
			t.State = keeper.Doubtful
			tasks = append(tasks, namer.Task{ID: r.ID, Index: i})
		}
	}
	return tasks
}

func (n *Node) tasksEnded(e TasksEnded) {
	for _, end := range e.Ends {
		r, t := n.find(end.Task)
		if t == nil || t.Worker != e.Worker || r.Final != nil || r.Runner != n.self.Incarnation {
			continue
		}
		if t.State == keeper.Starting || t.State == keeper.Started || t.State == keeper.Doubtful {
			n.endTask(r, t, end)
		}
	}
	n.placer.Report(n.now, e.Worker, e.Free)
}

// endTask takes in the end of a task, and finishes the job with its last one
// or its first that failed.
func (n *Node) endTask(r *keeper.Record, t *keeper.Task, end TaskEnd) {
	n.counted(r, end.Task.Index, t)
	t.State = keeper.Ended
	t.OK = end.OK
	t.Output = end.Output
	r.Open--
	n.placer.Release(t.Worker, n.sizeOf(r, end.Task.Index))
	n.judge(r, t, end)
	switch {
	case !end.OK:
		n.finish(r, coder.Answer{
			Status: coder.Failed, Code: coder.CodeTask,
			Detail: fmt.Sprintf("task %d failed: %s", end.Task.Index, end.Output),
		})
	case r.Open == 0:
		n.finish(r, coder.Answer{Status: coder.Done})
	}
}

// judge counts the end of a task towards its worker's standing, and learns
// its run time.
func (n *Node) judge(r *keeper.Record, t *keeper.Task, end TaskEnd) {
	if r.Final != nil {
		return
	}
	if !end.OK {
		if n.placer.Ended(n.now, t.Worker, false) {
			n.decide(eventer.WorkerAside, r.ID, end.Task.Index, string(t.Worker), "fails what it starts")
		}
		return
	}
	if end.Took == 0 {
		return
	}
	c := queuer.Class{Team: r.Work.Submission.Team, Kind: r.Work.Kind}
	ratio := float64(end.Took) / float64(n.tasks.Cost(c, end.Took))
	if n.placer.EndedWell(n.now, t.Worker, ratio) {
		n.decide(eventer.WorkerAside, r.ID, end.Task.Index, string(t.Worker), "is much slower than the others")
	}
	n.tasks.Learn(c, end.Took)
}

// stopRest stops the tasks of a finished submission that still run, since
// nobody waits for them, and gives up their room: workers tell what they have
// free. The answer has been written by now; the states are not read again.
func (n *Node) stopRest(r *keeper.Record) {
	if r.IsRequest() {
		return
	}
	byWorker := make(map[namer.Worker][]namer.Task)
	for i := range r.Tasks {
		t := &r.Tasks[i]
		switch t.State {
		case keeper.Starting, keeper.Started, keeper.Doubtful:
			byWorker[t.Worker] = append(byWorker[t.Worker], namer.Task{ID: r.ID, Index: i})
		case keeper.Placed:
		case keeper.Queued, keeper.Ended, keeper.Lost:
			continue
		}
		n.counted(r, i, t)
		n.placer.Release(t.Worker, n.sizeOf(r, i))
		t.State = keeper.Lost
	}
	for _, w := range sortedWorkers(byWorker) {
		n.do(StopTasks{Worker: w, Tasks: byWorker[w]})
	}
}

// listed takes in the platform's list.
func (n *Node) listed(e Listed) {
	n.list = e
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
			n.workerGone(w)
		}
	}
	n.listedMinions(e.Minions)
}

// workerGone forgets a worker that the platform no longer lists. What it may
// have started is put in doubt first, and then lost.
func (n *Node) workerGone(w *placer.Worker) {
	n.leaseEnded(LeaseEnded{Worker: w.Name, Lease: w.Lease})
	n.placer.Remove(w.Name)
	for _, q := range n.fences.sorted() {
		if q.worker == w.Name {
			n.fenceUnanswered(q)
		}
	}
}

func (n *Node) leaseOpened(e LeaseOpened) {
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
	n.decide(eventer.LeaseGained, "", 0, string(e.Worker), string(e.Lease))
}

// scanLeases asks for a lease of each worker of the domain that this instance
// has none of.
func (n *Node) scanLeases() {
	if !n.isMember() || n.state.Retired(n.self.Incarnation) && n.table.Idle() {
		return
	}
	for _, w := range n.placer.All() {
		if w.Lease != "" || w.Asking || w.Leaving {
			continue
		}
		w.Asking = true
		n.do(OpenLease{Worker: w.Name})
	}
}
