// Package driver runs the scheduler in an event loop. It passes events to the
// scheduler and performs the actions that it returns; calls to workers run
// concurrently.
package driver

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/heatherslip/heatherslip/internal/core/registrar"
	"github.com/heatherslip/heatherslip/internal/core/scheduler"
	"github.com/heatherslip/heatherslip/internal/edge/clocker"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
	"github.com/heatherslip/heatherslip/platform"
)

const (
	// eventBufferSize is the number of events that may be queued during one step,
	// and the largest number of queued events that one step handles.
	eventBufferSize = 4096
	// busyStepInterval and idleStepInterval are the intervals between steps while
	// no event arrives.
	busyStepInterval = 10 * time.Millisecond
	idleStepInterval = 50 * time.Millisecond
	// statusInterval is the interval between updates of Status.
	statusInterval = 25 * time.Millisecond
	// removedWorkerRetention is how long the address of a removed worker is kept. Its
	// runs are over once their leases have expired.
	removedWorkerRetention = 5 * time.Second
	// clockJumpThreshold is the time between two steps above which a pause is logged.
	clockJumpThreshold = 500 * time.Millisecond
)

// ErrClosed is returned by Submit after the driver was closed.
var ErrClosed = errors.New("driver is closed")

// Status is a summary of the scheduler's state, for readiness probes, heartbeats
// and metrics.
type Status struct {
	OpenJobs     int
	WaitingTasks int
	Idle         bool
	// UsableWorkers counts the workers that this instance owns and that may get a
	// start. HasReachableWorker reports whether any worker can be reached, by this
	// instance or through a peer.
	UsableWorkers      int
	HasReachableWorker bool
	// Speeds summarizes the speeds of the workers that this instance owns.
	Speeds scheduler.WorkerSpeeds
	// NeedsWorkerList reports whether this instance has to read the worker list.
	NeedsWorkerList bool
	// InterferingPairs is the number of pairs of kinds that slow each other down.
	InterferingPairs int
	// SentOverShare is the share of the instance's tasks that goes to other domains.
	SentOverShare float64
}

// PeerSender sends messages and heartbeats to peers.
type PeerSender interface {
	// SendMessage returns the number of bytes sent.
	SendMessage(to netip.Addr, m scheduler.PeerMessage) int
	SendHeartbeat(to []netip.Addr, h registrar.Heartbeat)
}

// Driver runs a scheduler. Create one with New.
type Driver struct {
	sched   *scheduler.Scheduler
	log     zerolog.Logger
	metrics *Metrics
	events  chan scheduler.Event
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu             sync.Mutex
	resultChans    map[namer.CallID]chan scheduler.JobResult
	workers        map[namer.Worker]*workerEntry
	removedWorkers []removedWorker
	lastCall       namer.CallID
	status         Status
	pendingJobs    map[namer.Kind]int
	newRunTag      *namer.RunTag
	peerSender     PeerSender
	refresh        func()
	heartbeats     []scheduler.HeartbeatReceived
}

// workerEntry is a listed worker: its address, and its client once it has been called.
type workerEntry struct {
	address string
	client  *platform.WorkerClient
}

// close closes the worker's connections.
func (e *workerEntry) close() {
	if e.client != nil {
		e.client.Close()
	}
}

// New creates a scheduler and starts its event loop.
func New(s scheduler.Settings, log zerolog.Logger) *Driver {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Driver{
		sched: scheduler.New(s, clocker.BootTime(), clocker.WallTime()), log: log, metrics: NewMetrics(),
		events: make(chan scheduler.Event, eventBufferSize), ctx: ctx, cancel: cancel,
		resultChans: make(map[namer.CallID]chan scheduler.JobResult), workers: make(map[namer.Worker]*workerEntry),
	}
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		d.runLoop()
	}()
	return d
}

// Close stops the event loop, cancels pending calls to workers and waits for them
// to return.
func (d *Driver) Close() {
	d.cancel()
	d.wg.Wait()
	for _, w := range d.workers {
		w.close()
	}
}

// SetPeerSender sets the sender of messages and heartbeats to peers. They are dropped
// until it is set.
func (d *Driver) SetPeerSender(s PeerSender) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peerSender = s
}

// SetRefresher sets the function that has the evacuations read again.
func (d *Driver) SetRefresher(refresh func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh = refresh
}

// refreshEvacuations has the evacuations read again.
func (d *Driver) refreshEvacuations() {
	d.mu.Lock()
	refresh := d.refresh
	d.mu.Unlock()
	if refresh != nil {
		refresh()
	}
}

// sendToPeers passes what is to be sent to the peer sender.
func (d *Driver) sendToPeers(send func(PeerSender)) {
	d.mu.Lock()
	sender := d.peerSender
	d.mu.Unlock()
	if sender != nil {
		send(sender)
	}
}

// Metrics returns the metrics of this instance.
func (d *Driver) Metrics() *Metrics { return d.metrics }

// QueueHeartbeat queues a peer's heartbeat for the next step. Unlike PushEvent it
// doesn't trigger a step.
func (d *Driver) QueueHeartbeat(h registrar.Heartbeat) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.heartbeats = append(d.heartbeats, scheduler.HeartbeatReceived{Heartbeat: h})
}

func (d *Driver) appendHeartbeats(batch []scheduler.Event) []scheduler.Event {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range d.heartbeats {
		batch = append(batch, h)
	}
	d.heartbeats = d.heartbeats[:0]
	return batch
}

// PushEvent queues an event and triggers a step. It blocks while the queue is full
// and drops the event if the driver is closed.
func (d *Driver) PushEvent(e scheduler.Event) {
	select {
	case d.events <- e:
	case <-d.ctx.Done():
	}
}

// Submit submits a job and waits for its result. If ctx ends first, the job is
// canceled and the context's error returned; after Close it returns ErrClosed.
func (d *Driver) Submit(ctx context.Context, j scheduler.JobSpec) (scheduler.JobResult, error) {
	resultChan := make(chan scheduler.JobResult, 1)
	d.mu.Lock()
	d.lastCall++
	call := d.lastCall
	d.resultChans[call] = resultChan
	d.mu.Unlock()
	d.PushEvent(scheduler.JobSubmitted{Call: call, Job: j})
	select {
	case r := <-resultChan:
		return r, nil
	case <-ctx.Done():
	case <-d.ctx.Done():
		return scheduler.JobResult{}, ErrClosed
	}
	d.mu.Lock()
	delete(d.resultChans, call)
	d.mu.Unlock()
	d.PushEvent(scheduler.CallCanceled{Call: call})
	return scheduler.JobResult{}, ctx.Err()
}

// UpdateWorkers passes changed entries of the platform's worker list to the
// scheduler. The address of a removed worker is kept while the scheduler may still
// have to stop runs there.
func (d *Driver) UpdateWorkers(entries []platform.WorkerEntry) {
	var e scheduler.WorkerListUpdated
	d.mu.Lock()
	for _, w := range entries {
		e.Workers = append(e.Workers, w.WorkerInfo)
		old := d.workers[w.ID]
		if w.Removed {
			if old != nil {
				d.removedWorkers = append(d.removedWorkers, removedWorker{w.ID, time.Now()})
			}
			continue
		}
		if old != nil && old.address == w.Address {
			continue
		}
		if old != nil {
			old.close()
		}
		d.workers[w.ID] = &workerEntry{address: w.Address}
	}
	d.mu.Unlock()
	d.PushEvent(e)
}

// UpdateEvacuations passes the evacuated domains, all of them, to the scheduler. The read
// that returned them was sent at readAt.
func (d *Driver) UpdateEvacuations(domains []namer.Domain, readAt time.Time) {
	d.PushEvent(scheduler.EvacuationsUpdated{Domains: domains, ReadAt: readAt})
	d.metrics.Gauge("domains_evacuated", int64(len(domains)))
}

// removedWorker is a worker that was removed from the list at a time.
type removedWorker struct {
	id        namer.Worker
	removedAt time.Time
}

// forgetRemovedWorkers discards the addresses and connections of workers that were
// removed removedWorkerRetention ago, have not been listed again and are not called any more.
func (d *Driver) forgetRemovedWorkers() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.removedWorkers) > 0 && time.Since(d.removedWorkers[0].removedAt) > removedWorkerRetention {
		id := d.removedWorkers[0].id
		d.removedWorkers = d.removedWorkers[1:]
		w := d.workers[id]
		switch {
		case w == nil, d.sched.IsListed(id):
		case d.sched.Tracks(id):
			d.removedWorkers = append(d.removedWorkers, removedWorker{id, time.Now()})
		default:
			w.close()
			delete(d.workers, id)
		}
	}
}

// clientOf returns the client of a worker, nil if its address is unknown.
func (d *Driver) clientOf(id namer.Worker) *platform.WorkerClient {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := d.workers[id]
	if w == nil {
		return nil
	}
	if w.client == nil {
		w.client = platform.NewWorkerClient(id, w.address)
	}
	return w.client
}

// Status returns the status as of the last update.
func (d *Driver) Status() Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.status
}

// PendingJobs returns the number of jobs of a kind of which no task has started,
// as of the last status update.
func (d *Driver) PendingJobs(k namer.Kind) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pendingJobs[k]
}

// SetRunTag changes the instance's run tag at the next step.
func (d *Driver) SetRunTag(tag namer.RunTag) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.newRunTag = &tag
}

// StartDraining hands the instance's workers over to other owners at the next
// step. Its open jobs go on.
func (d *Driver) StartDraining() { d.PushEvent(scheduler.DrainStarted{}) }

func (d *Driver) runLoop() {
	timer := time.NewTimer(idleStepInterval)
	defer timer.Stop()
	lastStep := clocker.BootTime()
	lastStatus := lastStep
	batch := make([]scheduler.Event, 0, eventBufferSize)
	for {
		batch = batch[:0]
		select {
		case <-d.ctx.Done():
			return
		case e := <-d.events:
			batch = append(batch, e)
		case <-timer.C:
			timer.Reset(d.stepInterval())
		}
		batch = d.appendHeartbeats(d.appendQueuedEvents(batch))
		now := clocker.BootTime()
		if now.Sub(lastStep) > clockJumpThreshold {
			d.log.Warn().Int("event", int(eventer.ClockJumped)).Dur("pause", now.Sub(lastStep)).Msg(eventer.ClockJumped.Name())
		}
		lastStep = now
		d.applyRunTag()
		for _, a := range d.sched.Step(now, clocker.WallTime(), batch) {
			d.performAction(a)
		}
		if now.Sub(lastStatus) >= statusInterval {
			lastStatus = now
			d.publishStatus()
		}
	}
}

func (d *Driver) stepInterval() time.Duration {
	if d.sched.Idle() && !d.sched.AwaitsRestart() {
		return idleStepInterval
	}
	return busyStepInterval
}

func (d *Driver) appendQueuedEvents(batch []scheduler.Event) []scheduler.Event {
	for len(batch) < eventBufferSize {
		select {
		case e := <-d.events:
			batch = append(batch, e)
		default:
			return batch
		}
	}
	return batch
}

// applyRunTag applies the change requested by SetRunTag. The scheduler may only be
// called by the event loop.
func (d *Driver) applyRunTag() {
	d.mu.Lock()
	runTag := d.newRunTag
	d.newRunTag = nil
	d.mu.Unlock()
	if runTag != nil {
		d.sched.SetRunTag(*runTag)
	}
}

// publishStatus updates what Status, PendingJobs and the gauges report.
func (d *Driver) publishStatus() {
	status := Status{
		OpenJobs: d.sched.OpenJobs(), WaitingTasks: d.sched.WaitingTasks(), Idle: d.sched.Idle(), UsableWorkers: d.sched.UsableWorkers(),
		HasReachableWorker: d.sched.HasReachableWorker(), NeedsWorkerList: d.sched.NeedsWorkerList(), Speeds: d.sched.WorkerSpeeds(),
		SentOverShare: d.sched.SentOverShare(), InterferingPairs: d.sched.InterferingPairs(),
	}
	pending := d.sched.PendingJobsByKind()
	d.mu.Lock()
	d.status, d.pendingJobs = status, pending
	d.mu.Unlock()
	d.metrics.recordStatus(status)
	d.forgetRemovedWorkers()
}

// performAction performs an action of the scheduler without waiting for calls to
// workers.
func (d *Driver) performAction(a scheduler.Action) {
	switch a := a.(type) {
	case scheduler.JobResult:
		d.deliverResult(a)
	case scheduler.Start:
		d.callWorker(a.Worker, func(c *platform.WorkerClient) { d.startRun(c, a) }, scheduler.StartResult{
			Worker: a.Worker, Task: a.Task, Run: a.Run, Status: scheduler.StartNotSent,
		})
	case scheduler.Stop:
		d.callWorker(a.Worker, func(c *platform.WorkerClient) { d.PushEvent(c.StopRun(d.ctx, a)) }, scheduler.StopResult{
			Worker: a.Worker, Task: a.Task, Run: a.Run,
		})
	case scheduler.Poll:
		d.callWorker(a.Worker, func(c *platform.WorkerClient) { d.pollWorker(c, a) }, scheduler.PollResult{Worker: a.Worker, OutOfBand: a.OutOfBand, NoResponse: true})
	case scheduler.SendMessage:
		d.sendToPeers(func(s PeerSender) { d.metrics.recordMessage(a, s.SendMessage(a.To, a.Message)) })
	case scheduler.SendHeartbeats:
		d.sendToPeers(func(s PeerSender) { s.SendHeartbeat(a.To, a.Heartbeat) })
	case scheduler.RefreshEvacuations:
		d.refreshEvacuations()
	case scheduler.Decision:
		d.metrics.recordDecision(a)
		d.logDecision(a)
	}
}

// callWorker runs a call to a worker in its own goroutine. If the worker has no
// known address, it pushes noResponse instead, the event for a call without a
// response.
func (d *Driver) callWorker(w namer.Worker, call func(*platform.WorkerClient), noResponse scheduler.Event) {
	c := d.clientOf(w)
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		if c == nil {
			d.PushEvent(noResponse)
			return
		}
		call(c)
	}()
}

func (d *Driver) deliverResult(r scheduler.JobResult) {
	d.mu.Lock()
	resultChan := d.resultChans[r.Call]
	delete(d.resultChans, r.Call)
	d.mu.Unlock()
	if resultChan != nil {
		resultChan <- r
	}
}

func (d *Driver) startRun(c *platform.WorkerClient, a scheduler.Start) {
	sentAt := clocker.ApproxBootTime()
	result := scheduler.StartResult{Worker: a.Worker, Task: a.Task, Run: a.Run, Fence: a.Fence}
	result.Status, result.Clock = c.StartRun(d.ctx, a)
	result.Latency = clocker.ApproxBootTime().Sub(sentAt)
	d.metrics.recordStart(result)
	d.PushEvent(result)
}

func (d *Driver) pollWorker(c *platform.WorkerClient, a scheduler.Poll) {
	sentAt := clocker.ApproxBootTime()
	result, err := c.PollRuns(d.ctx, a)
	result.SentAt = sentAt
	d.metrics.recordPoll(clocker.ApproxBootTime().Sub(sentAt)-a.Wait, err)
	if err != nil && d.ctx.Err() == nil {
		d.log.Debug().Str("worker", string(a.Worker)).Err(err).Msg("poll failed")
	}
	d.PushEvent(result)
}
