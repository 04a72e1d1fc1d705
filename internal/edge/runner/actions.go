package runner

import (
	"context"
	"time"

	"github.com/heatherslip/heatherslip/internal/core/dispatcher"
	"github.com/heatherslip/heatherslip/internal/core/placer"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/describer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// performAction carries out an action of the core. Network calls run in their
// own goroutines, so that they do not block the core.
func (r *Runner) performAction(a dispatcher.Action) {
	switch a := a.(type) {
	case dispatcher.Reply:
		r.deliverReply(a)
	case dispatcher.SendMessage:
		r.metrics.messagesSent.Inc(1)
		r.messenger.Send(a.To, a.Message)
	case dispatcher.AppendRecord:
		r.AppendRecord(a.Record)
	case dispatcher.ReadLog:
		r.startGoroutine(r.readLogOnce)
	case dispatcher.AcquireLease:
		r.startGoroutine(func() { r.acquireLease(a.Worker) })
	case dispatcher.StartTasks:
		r.startGoroutine(func() { r.startTasks(a) })
	case dispatcher.FenceLeases:
		r.startGoroutine(func() { r.fenceLeases(a) })
	case dispatcher.AdoptTasks:
		r.startGoroutine(func() { r.adoptTasks(a) })
	case dispatcher.StopTasks:
		r.startGoroutine(func() { r.stopTasks(a) })
	case dispatcher.SendRequest:
		r.startGoroutine(func() { r.sendRequest(a) })
	case dispatcher.SwitchIncarnation:
		r.switchIncarnation(a.Member)
	case dispatcher.ConfigChanged:
		r.metrics.configRevision.Update(int64(a.Config.Revision))
	case dispatcher.DrainCompleted:
		r.drainedOnce.Do(func() { close(r.drained) })
	case dispatcher.Decision:
		r.logDecision(a)
	}
}

func (r *Runner) deliverReply(a dispatcher.Reply) {
	r.mu.Lock()
	answers := r.pendingCalls[a.Call]
	delete(r.pendingCalls, a.Call)
	r.mu.Unlock()
	r.metrics.countAnswer(a.Answer)
	if answers != nil {
		answers <- a.Answer
	}
}

func (r *Runner) switchIncarnation(self coder.Member) {
	r.mu.Lock()
	r.self = self
	r.cancelIncarnation()
	r.incarnationCtx, r.cancelIncarnation = context.WithCancel(r.ctx)
	r.mu.Unlock()
	r.messenger.SwitchIncarnation(self)
}

// currentIncarnation returns the current incarnation and the context that is
// canceled when it ends.
func (r *Runner) currentIncarnation() (context.Context, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.incarnationCtx, string(r.self.Incarnation)
}

func (r *Runner) workerAddr(w namer.Worker) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.workerAddrs[w]
}

func (r *Runner) minionAddr(m namer.Minion) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.minionAddrs[m]
}

// acquireLease asks a worker for a lease, and then polls for the results of its
// tasks until the lease ends.
func (r *Runner) acquireLease(w namer.Worker) {
	addr := r.workerAddr(w)
	leaseCtx, holder := r.currentIncarnation()
	granted, err := r.requester.AcquireLease(leaseCtx, addr, holder)
	if err != nil {
		r.sleep(retryDelay)
		r.pushEvent(dispatcher.LeaseAnswered{Worker: w})
		return
	}
	lease := namer.Lease(granted.Lease)
	r.pushEvent(dispatcher.LeaseAnswered{Worker: w, Lease: lease, Free: placerResources(granted.Free)})
	r.pollTaskEnds(leaseCtx, w, addr, lease, time.Duration(granted.TTLMillis)*time.Millisecond)
}

func (r *Runner) pollTaskEnds(leaseCtx context.Context, w namer.Worker, addr string, lease namer.Lease, ttl time.Duration) {
	received := 0
	renewedAt := time.Now()
	for leaseCtx.Err() == nil {
		answer, err := r.requester.PollTaskEnds(leaseCtx, addr, string(lease), received)
		switch {
		case err == nil && answer.LeaseEnded, err != nil && time.Since(renewedAt) > ttl:
			r.pushEvent(dispatcher.LeaseEnded{Worker: w, Lease: lease})
			return
		case err != nil:
			r.sleep(retryDelay)
			continue
		}
		renewedAt = time.Now()
		received += len(answer.Results)
		r.pushEvent(dispatcher.TasksEnded{Worker: w, Lease: lease, Results: taskResults(answer.Results), Free: placerResources(answer.Free)})
	}
}

func taskResults(in []describer.TaskResult) []dispatcher.TaskResult {
	out := make([]dispatcher.TaskResult, len(in))
	for i, result := range in {
		out[i] = dispatcher.TaskResult{
			Task: taskFromKey(result.TaskKey), OK: result.OK, Output: result.Output,
			RunTime: time.Duration(result.RunTimeMillis) * time.Millisecond,
		}
	}
	return out
}

func taskFromKey(k describer.TaskKey) namer.Task {
	return namer.Task{ID: namer.ID(k.ID), Index: k.Index}
}

func keyFromTask(t namer.Task) describer.TaskKey {
	return describer.TaskKey{ID: string(t.ID), Index: t.Index}
}

func keysFromTasks(tasks []namer.Task) []describer.TaskKey {
	out := make([]describer.TaskKey, len(tasks))
	for i, t := range tasks {
		out[i] = keyFromTask(t)
	}
	return out
}

func placerResources(room describer.Room) placer.Resources {
	return placer.Resources{
		Cores:        namer.MilliCores(room.Cores),
		Memory:       namer.Megabytes(room.Memory),
		Accelerators: namer.Accelerators(room.Accelerators),
	}
}

func wireResources(t *coder.TaskSpec) describer.Room {
	return describer.Room{Cores: int(t.Cores), Memory: int(t.Memory), Accelerators: int(t.Accelerators)}
}

func (r *Runner) startTasks(a dispatcher.StartTasks) {
	body := describer.StartBody{Lease: string(a.Lease), Tasks: make([]describer.StartOne, len(a.Tasks))}
	for i := range a.Tasks {
		t := &a.Tasks[i]
		body.Tasks[i] = describer.StartOne{TaskKey: keyFromTask(t.Task), Room: wireResources(&t.Spec), Payload: t.Spec.Payload}
	}
	r.metrics.tasksSent.Inc(int64(len(a.Tasks)))
	answer, err := r.requester.StartTasks(r.ctx, r.workerAddr(a.Worker), body)
	if err != nil || len(answer.Statuses) != len(a.Tasks) {
		noResponse := dispatcher.StartNoResponse{Worker: a.Worker, Lease: a.Lease}
		for i := range a.Tasks {
			noResponse.Tasks = append(noResponse.Tasks, a.Tasks[i].Task)
		}
		r.pushEvent(noResponse)
		return
	}
	result := dispatcher.StartAnswered{Worker: a.Worker, Lease: a.Lease, Free: placerResources(answer.Free)}
	for i, v := range answer.Statuses {
		result.Results = append(result.Results, dispatcher.StartResult{Task: a.Tasks[i].Task, Status: startStatus(v)})
	}
	r.pushEvent(result)
}

func startStatus(status describer.StartStatus) dispatcher.StartStatus {
	switch status {
	case describer.StartAccepted:
		return dispatcher.StartAccepted
	case describer.StartNoCapacity:
		return dispatcher.StartNoCapacity
	default:
		return dispatcher.StartLeaseExpired
	}
}

func (r *Runner) fenceLeases(a dispatcher.FenceLeases) {
	answer, err := r.requester.FenceLeases(r.ctx, r.workerAddr(a.Worker), describer.FenceBody{
		Holder: string(a.Holder), Lease: string(a.Lease), Tasks: keysFromTasks(a.Tasks),
	})
	if err != nil || len(answer.Tasks) != len(a.Tasks) {
		r.pushEvent(dispatcher.FenceFailed{FenceID: a.FenceID})
		return
	}
	e := dispatcher.FenceAnswered{FenceID: a.FenceID, LeaseUnknown: answer.Unknown}
	for _, s := range answer.Tasks {
		e.Tasks = append(e.Tasks, dispatcher.FencedTask{
			Task: taskFromKey(s.TaskKey), Started: s.Started, Running: s.Running, Killed: s.Killed, OK: s.OK, Output: s.Output,
		})
	}
	r.pushEvent(e)
}

// adoptTasks transfers running tasks to a lease. If that fails, the lease is
// reported as ended, so that the core queries the state of the tasks again.
func (r *Runner) adoptTasks(a dispatcher.AdoptTasks) {
	err := r.requester.AdoptTasks(r.ctx, r.workerAddr(a.Worker), describer.TasksBody{Lease: string(a.Lease), Tasks: keysFromTasks(a.Tasks)})
	if err != nil {
		r.pushEvent(dispatcher.LeaseEnded{Worker: a.Worker, Lease: a.Lease})
	}
}

func (r *Runner) stopTasks(a dispatcher.StopTasks) {
	// The error is ignored: a failed stop only wastes the remaining run time of
	// the tasks.
	_ = r.requester.StopTasks(r.ctx, r.workerAddr(a.Worker), describer.TasksBody{Tasks: keysFromTasks(a.Tasks)})
}

// requestGrace is how long to wait for a minion's answer after the deadline of
// the request.
const requestGrace = time.Second

func (r *Runner) sendRequest(a dispatcher.SendRequest) {
	ctx, cancel := context.WithDeadline(r.ctx, a.Work.Deadline.Add(requestGrace))
	defer cancel()
	body := describer.RequestBody{Payload: a.Work.Tasks[0].Payload}
	if !a.Work.Repeatable {
		body.ID = string(a.ID)
	}
	r.metrics.requestsSent.Inc(1)
	result := r.requester.SendRequest(ctx, r.minionAddr(a.Minion), body)
	e := dispatcher.SendAnswered{SendID: a.SendID, Output: result.Output, Draining: result.Draining}
	switch {
	case result.NoResponse:
		e.Status = dispatcher.SendNoResponse
	case result.Refused:
		e.Status = dispatcher.SendRefused
		r.metrics.requestsRefused.Inc(1)
	case !result.OK:
		e.Status = dispatcher.SendError
	}
	r.pushEvent(e)
}

// applyList stores the addresses in the platform's list and passes the list to
// the core.
func (r *Runner) applyList(list *describer.List) {
	e := dispatcher.ListUpdated{}
	r.mu.Lock()
	r.listedPeers = r.listedPeers[:0]
	for _, i := range list.Instances {
		r.listedPeers = append(r.listedPeers, i.PeerAddress)
	}
	for _, w := range list.Workers {
		r.workerAddrs[namer.Worker(w.Name)] = w.Addr
		e.Workers = append(e.Workers, dispatcher.WorkerInfo{
			Name: namer.Worker(w.Name), Domain: namer.Domain(w.Domain), Rack: w.Rack, Capacity: placerResources(w.Capacity), Draining: w.Draining,
		})
	}
	for _, m := range list.Minions {
		r.minionAddrs[namer.Minion(m.Name)] = m.Addr
		e.Minions = append(e.Minions, dispatcher.MinionInfo{
			Name: namer.Minion(m.Name), Service: namer.Service(m.Service), Domain: namer.Domain(m.Domain), Slots: m.Slots, Draining: m.Draining,
		})
	}
	r.mu.Unlock()
	r.pushEvent(e)
	r.Inspect(func(n *dispatcher.Node) { r.updatePeers(n.State().Members("")) })
}
