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

// perform does what the core wants done. What takes time goes on beside it.
func (r *Runner) perform(a dispatcher.Action) {
	switch a := a.(type) {
	case dispatcher.Reply:
		r.reply(a)
	case dispatcher.SendPeer:
		r.meters.peerOut.Inc(1)
		r.linker.Send(a.To, a.Msg)
	case dispatcher.Append:
		r.Append(a.Record)
	case dispatcher.ReadLog:
		r.start(r.readOnce)
	case dispatcher.OpenLease:
		r.start(func() { r.lease(a.Worker) })
	case dispatcher.Start:
		r.start(func() { r.startTasks(a) })
	case dispatcher.Fence:
		r.start(func() { r.fence(a) })
	case dispatcher.Adopt:
		r.start(func() { r.adopt(a) })
	case dispatcher.StopTasks:
		r.start(func() { r.stop(a) })
	case dispatcher.SendRequest:
		r.start(func() { r.request(a) })
	case dispatcher.Rename:
		r.renamed(a.Member)
	case dispatcher.Revised:
		r.meters.revision.Update(int64(a.Config.Revision))
	case dispatcher.Left:
		r.leftOnce.Do(func() { close(r.left) })
	case dispatcher.Decision:
		r.logDecision(a)
	}
}

func (r *Runner) reply(a dispatcher.Reply) {
	r.mu.Lock()
	answer := r.waiting[a.Call]
	delete(r.waiting, a.Call)
	r.mu.Unlock()
	r.meters.answered(a.Answer)
	if answer != nil {
		answer <- a.Answer
	}
}

func (r *Runner) renamed(self coder.Member) {
	r.mu.Lock()
	r.self = self
	r.endLife()
	r.life, r.endLife = context.WithCancel(r.ctx)
	r.mu.Unlock()
	r.linker.Rename(self)
}

// holder returns the present incarnation and the context that ends with it.
func (r *Runner) holder() (context.Context, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.life, string(r.self.Incarnation)
}

func (r *Runner) workerAddr(w namer.Worker) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.workers[w]
}

func (r *Runner) minionAddr(m namer.Minion) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.minions[m]
}

// lease asks for a lease and then follows the ends of its tasks until it is
// over.
func (r *Runner) lease(w namer.Worker) {
	addr := r.workerAddr(w)
	life, holder := r.holder()
	granted, err := r.caller.Lease(life, addr, holder)
	if err != nil {
		r.sleep(logRetry)
		r.push(dispatcher.LeaseOpened{Worker: w})
		return
	}
	lease := namer.Lease(granted.Lease)
	r.push(dispatcher.LeaseOpened{Worker: w, Lease: lease, Free: sizeOf(granted.Free)})
	r.follow(life, w, addr, lease, time.Duration(granted.TTLMillis)*time.Millisecond)
}

func (r *Runner) follow(life context.Context, w namer.Worker, addr string, lease namer.Lease, ttl time.Duration) {
	after := 0
	renewed := time.Now()
	for life.Err() == nil {
		answer, err := r.caller.Ends(life, addr, string(lease), after)
		switch {
		case err == nil && answer.Over, err != nil && time.Since(renewed) > ttl:
			r.push(dispatcher.LeaseEnded{Worker: w, Lease: lease})
			return
		case err != nil:
			r.sleep(logRetry)
			continue
		}
		renewed = time.Now()
		after += len(answer.Ends)
		r.push(dispatcher.TasksEnded{Worker: w, Lease: lease, Ends: endsOf(answer.Ends), Free: sizeOf(answer.Free)})
	}
}

func endsOf(in []describer.End) []dispatcher.TaskEnd {
	out := make([]dispatcher.TaskEnd, len(in))
	for i, e := range in {
		out[i] = dispatcher.TaskEnd{
			Task: taskOf(e.TaskKey), OK: e.OK, Output: e.Output,
			Took: time.Duration(e.TookMillis) * time.Millisecond,
		}
	}
	return out
}

func taskOf(k describer.TaskKey) namer.Task {
	return namer.Task{ID: namer.ID(k.ID), Index: k.Index}
}

func keyOf(t namer.Task) describer.TaskKey {
	return describer.TaskKey{ID: string(t.ID), Index: t.Index}
}

func keysOf(tasks []namer.Task) []describer.TaskKey {
	out := make([]describer.TaskKey, len(tasks))
	for i, t := range tasks {
		out[i] = keyOf(t)
	}
	return out
}

func sizeOf(f describer.Room) placer.Size {
	return placer.Size{
		Cores:        namer.MilliCores(f.Cores),
		Memory:       namer.Megabytes(f.Memory),
		Accelerators: namer.Accelerators(f.Accelerators),
	}
}

func roomOf(t *coder.TaskSpec) describer.Room {
	return describer.Room{Cores: int(t.Cores), Memory: int(t.Memory), Accelerators: int(t.Accelerators)}
}

func (r *Runner) startTasks(a dispatcher.Start) {
	body := describer.StartBody{Lease: string(a.Lease), Tasks: make([]describer.StartOne, len(a.Tasks))}
	for i := range a.Tasks {
		t := &a.Tasks[i]
		body.Tasks[i] = describer.StartOne{TaskKey: keyOf(t.Task), Room: roomOf(&t.Spec), Payload: t.Spec.Payload}
	}
	r.meters.starts.Inc(int64(len(a.Tasks)))
	answer, err := r.caller.Start(r.ctx, r.workerAddr(a.Worker), body)
	if err != nil || len(answer.Verdicts) != len(a.Tasks) {
		lost := dispatcher.StartLost{Worker: a.Worker, Lease: a.Lease}
		for i := range a.Tasks {
			lost.Tasks = append(lost.Tasks, a.Tasks[i].Task)
		}
		r.push(lost)
		return
	}
	e := dispatcher.StartAnswered{Worker: a.Worker, Lease: a.Lease, Free: sizeOf(answer.Free)}
	for i, v := range answer.Verdicts {
		e.Results = append(e.Results, dispatcher.StartResult{Task: a.Tasks[i].Task, Verdict: verdictOf(v)})
	}
	r.push(e)
}

func verdictOf(v describer.Verdict) dispatcher.StartVerdict {
	switch v {
	case describer.VerdictTaken:
		return dispatcher.StartTaken
	case describer.VerdictFull:
		return dispatcher.StartFull
	default:
		return dispatcher.StartVoid
	}
}

func (r *Runner) fence(a dispatcher.Fence) {
	answer, err := r.caller.Fence(r.ctx, r.workerAddr(a.Worker), describer.FenceBody{
		Holder: string(a.Holder), Lease: string(a.Lease), Tasks: keysOf(a.Tasks),
	})
	if err != nil || len(answer.Tasks) != len(a.Tasks) {
		r.push(dispatcher.FenceFailed{Fence: a.Fence})
		return
	}
	e := dispatcher.Fenced{Fence: a.Fence}
	for _, s := range answer.Tasks {
		e.Tasks = append(e.Tasks, dispatcher.SeenTask{
			Task: taskOf(s.TaskKey), Seen: s.Seen, Running: s.Running, Dropped: s.Dropped, OK: s.OK, Output: s.Output,
		})
	}
	r.push(e)
}

// adopt moves running tasks under a lease. Where that fails the lease is given
// up, so that the tasks are asked about again.
func (r *Runner) adopt(a dispatcher.Adopt) {
	err := r.caller.Adopt(r.ctx, r.workerAddr(a.Worker), describer.TasksBody{Lease: string(a.Lease), Tasks: keysOf(a.Tasks)})
	if err != nil {
		r.push(dispatcher.LeaseEnded{Worker: a.Worker, Lease: a.Lease})
	}
}

func (r *Runner) stop(a dispatcher.StopTasks) {
	// A stop that fails wastes the rest of the tasks' run time, nothing else.
	_ = r.caller.Stop(r.ctx, r.workerAddr(a.Worker), describer.TasksBody{Tasks: keysOf(a.Tasks)})
}

// requestGrace is how long after its deadline a request's answer is waited for.
const requestGrace = time.Second

func (r *Runner) request(a dispatcher.SendRequest) {
	ctx, cancel := context.WithDeadline(r.ctx, a.Work.Deadline.Add(requestGrace))
	defer cancel()
	body := describer.RequestBody{Payload: a.Work.Tasks[0].Payload}
	if !a.Work.Repeatable {
		body.ID = string(a.ID)
	}
	r.meters.sends.Inc(1)
	sent := r.caller.Request(ctx, r.minionAddr(a.Minion), body)
	e := dispatcher.SendAnswered{Send: a.Send, Output: sent.Output, Leaving: sent.Leaving}
	switch {
	case sent.Lost:
		e.Verdict = dispatcher.SendLost
	case sent.Refused:
		e.Verdict = dispatcher.SendRefused
		r.meters.wasted.Inc(1)
	case !sent.OK:
		e.Verdict = dispatcher.SendError
	}
	r.push(e)
}

// takeList takes the platform's list.
func (r *Runner) takeList(list *describer.List) {
	e := dispatcher.Listed{}
	r.mu.Lock()
	r.listed = r.listed[:0]
	for _, i := range list.Instances {
		r.listed = append(r.listed, i.Peer)
	}
	for _, w := range list.Workers {
		r.workers[namer.Worker(w.Name)] = w.Addr
		e.Workers = append(e.Workers, dispatcher.ListedWorker{
			Name: namer.Worker(w.Name), Domain: namer.Domain(w.Domain), Rack: w.Rack, Total: sizeOf(w.Total), Leaving: w.Leaving,
		})
	}
	for _, m := range list.Minions {
		r.minions[namer.Minion(m.Name)] = m.Addr
		e.Minions = append(e.Minions, dispatcher.ListedMinion{
			Name: namer.Minion(m.Name), Service: namer.Service(m.Service), Domain: namer.Domain(m.Domain), Slots: m.Slots, Leaving: m.Leaving,
		})
	}
	r.mu.Unlock()
	r.push(e)
	r.Inspect(func(n *dispatcher.Node) { r.setPeers(n.State().Members("")) })
}
