// Package driver runs the scheduler's core: it feeds it with events and does
// what it decides, each call beside the others.
package driver

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/heatherslip/heatherslip/internal/core/scheduler"
	"github.com/heatherslip/heatherslip/internal/edge/clocker"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
	"github.com/heatherslip/heatherslip/platform"
)

const (
	// eventBufferSize holds what arrives during one step.
	eventBufferSize = 4096
	// busyStepInterval and idleTick are the paces of steps without events.
	busyStepInterval = 10 * time.Millisecond
	idleStepInterval = 50 * time.Millisecond
	// statusInterval is the pace of summaries: peers hear of one each 50 ms.
	statusInterval = 25 * time.Millisecond
	// clockJumpThreshold is the difference between two steps that is logged as a pause.
	clockJumpThreshold = 500 * time.Millisecond
)

// ErrClosed says that the instance is ending.
var ErrClosed = errors.New("the instance is ending")

// Status is a summary of the core, for probes, peers and metrics.
type Status struct {
	OpenJobs     int
	WaitingTasks int
	Idle         bool
	// UsableWorkers counts the workers that this instance is the home of and that
	// answer; Reaches is set where any worker can be reached.
	UsableWorkers      int
	HasReachableWorker bool
	// FreeSlots are the places that peers may ask for, by service.
	FreeSlots map[namer.Service]int
}

// peerSender carries letters to peers.
type peerSender interface {
	SendMessage(to string, l scheduler.Letter)
}

// Driver runs a scheduler. Build one with New.
type Driver struct {
	core    *scheduler.Scheduler
	log     zerolog.Logger
	metrics *Metrics
	events  chan scheduler.Event
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu             sync.Mutex
	answerChans    map[namer.Call]chan scheduler.Answer
	workerClients  map[namer.Worker]*workerClient
	lastCall       namer.Call
	status         Status
	pendingJobs    map[namer.Kind]int
	newRunTag      *namer.RunTag
	drainRequested bool
	peerSender     peerSender
	heartbeats     []scheduler.PeerHeard
}

// workerClient is a client of a worker, and the address that it calls.
type workerClient struct {
	*platform.WorkerClient
	address string
}

// New starts a scheduler.
func New(s scheduler.Settings, log zerolog.Logger) *Driver {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Driver{
		core: scheduler.New(s, clocker.BootTime(), clocker.WallTime()), log: log, metrics: NewMetrics(),
		events: make(chan scheduler.Event, eventBufferSize), ctx: ctx, cancel: cancel,
		answerChans: make(map[namer.Call]chan scheduler.Answer), workerClients: make(map[namer.Worker]*workerClient),
	}
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		d.runLoop()
	}()
	return d
}

// Close stops and waits for the calls under way.
func (d *Driver) Close() {
	d.cancel()
	d.wg.Wait()
	for _, c := range d.workerClients {
		c.Close()
	}
}

// SetPeerSender gives the driver a way to its peers.
func (d *Driver) SetPeerSender(s peerSender) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peerSender = s
}

func (d *Driver) sendToPeer(t scheduler.Tell) {
	d.mu.Lock()
	sender := d.peerSender
	d.mu.Unlock()
	if sender != nil {
		sender.SendMessage(t.To, t.Letter)
	}
}

// Metrics returns the counters of what the core decides.
func (d *Driver) Metrics() *Metrics { return d.metrics }

// QueueHeartbeat takes in a peer's hello with the next step; it wakes nobody.
func (d *Driver) QueueHeartbeat(h scheduler.PeerHeard) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.heartbeats = append(d.heartbeats, h)
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

// PushEvent hands an event to the core.
func (d *Driver) PushEvent(e scheduler.Event) {
	select {
	case d.events <- e:
	case <-d.ctx.Done():
	}
}

// Submit hands a job in and waits for its end, or until the caller leaves.
func (d *Driver) Submit(ctx context.Context, j scheduler.JobSpec) (scheduler.Answer, error) {
	answerChan := make(chan scheduler.Answer, 1)
	d.mu.Lock()
	d.lastCall++
	call := d.lastCall
	d.answerChans[call] = answerChan
	d.mu.Unlock()
	d.PushEvent(scheduler.JobArrived{Call: call, Job: j})
	select {
	case a := <-answerChan:
		return a, nil
	case <-ctx.Done():
	case <-d.ctx.Done():
		return scheduler.Answer{}, ErrClosed
	}
	d.mu.Lock()
	delete(d.answerChans, call)
	d.mu.Unlock()
	d.PushEvent(scheduler.CallerLeft{Call: call})
	return scheduler.Answer{}, ctx.Err()
}

// UpdateWorkers takes in entries of the platform's list.
func (d *Driver) UpdateWorkers(entries []platform.Worker) {
	var e scheduler.WorkersListed
	d.mu.Lock()
	for _, w := range entries {
		e.Workers = append(e.Workers, w.ListedWorker)
		old := d.workerClients[w.ID]
		if w.Gone || old != nil && old.address == w.Address {
			continue
		}
		if old != nil {
			old.Close()
		}
		d.workerClients[w.ID] = &workerClient{platform.NewWorkerClient(w.ID, w.Address), w.Address}
	}
	d.mu.Unlock()
	d.PushEvent(e)
}

// Status returns the newest summary.
func (d *Driver) Status() Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.status
}

// PendingJobs returns the number of jobs of a kind that have nothing started.
func (d *Driver) PendingJobs(k namer.Kind) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pendingJobs[k]
}

// SetRunTag gives the instance another tag.
func (d *Driver) SetRunTag(tag namer.RunTag) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.newRunTag = &tag
}

// StartDraining has the instance's workers go to other homes, while its jobs end.
func (d *Driver) StartDraining() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.drainRequested = true
}

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
		d.applyRequestedChanges()
		for _, a := range d.core.Step(now, clocker.WallTime(), batch) {
			d.performAction(a)
		}
		if now.Sub(lastStatus) >= statusInterval {
			lastStatus = now
			d.publishStatus()
		}
	}
}

func (d *Driver) stepInterval() time.Duration {
	if d.core.Idle() {
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

// applyRequestedChanges hands what others have asked for to the core.
func (d *Driver) applyRequestedChanges() {
	d.mu.Lock()
	tag, drain := d.newRunTag, d.drainRequested
	d.newRunTag, d.drainRequested = nil, false
	d.mu.Unlock()
	if tag != nil {
		d.core.Retag(*tag)
	}
	if drain {
		d.core.Leave()
	}
}

// publishStatus publishes a summary of the core.
func (d *Driver) publishStatus() {
	st := Status{
		OpenJobs: d.core.Open(), WaitingTasks: d.core.Waiting(), Idle: d.core.Idle(), UsableWorkers: d.core.Usable(),
		HasReachableWorker: d.core.Reaches(), FreeSlots: d.core.Slots(),
	}
	pending := d.core.PendingByKind()
	d.mu.Lock()
	d.status, d.pendingJobs = st, pending
	d.mu.Unlock()
	d.metrics.recordStatus(st)
}

// performAction does what the core has decided. Calls go on beside it.
func (d *Driver) performAction(a scheduler.Action) {
	switch a := a.(type) {
	case scheduler.Answer:
		d.deliverAnswer(a)
	case scheduler.Start:
		d.callWorker(a.Worker, func(c *workerClient) { d.startRun(c, a) }, scheduler.StartAnswered{
			Worker: a.Worker, Task: a.Task, Run: a.Run, Verdict: scheduler.StartLost,
		})
	case scheduler.Stop:
		d.callWorker(a.Worker, func(c *workerClient) { d.PushEvent(c.Stop(d.ctx, a)) }, scheduler.StopAnswered{
			Worker: a.Worker, Task: a.Task, Run: a.Run,
		})
	case scheduler.Poll:
		d.callWorker(a.Worker, func(c *workerClient) { d.pollWorker(c, a) }, scheduler.Polled{Worker: a.Worker, Extra: a.Extra, Lost: true})
	case scheduler.Tell:
		d.sendToPeer(a)
	case scheduler.Decision:
		d.metrics.recordDecision(a)
		d.logDecision(a)
	}
}

// callWorker runs a call of a worker beside the core; a worker without an address
// gives the event for a call that is lost.
func (d *Driver) callWorker(w namer.Worker, call func(*workerClient), lostEvent scheduler.Event) {
	d.mu.Lock()
	c := d.workerClients[w]
	d.mu.Unlock()
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		if c == nil {
			d.PushEvent(lostEvent)
			return
		}
		call(c)
	}()
}

func (d *Driver) deliverAnswer(a scheduler.Answer) {
	d.mu.Lock()
	answerChan := d.answerChans[a.Call]
	delete(d.answerChans, a.Call)
	d.mu.Unlock()
	if answerChan != nil {
		answerChan <- a
	}
}

func (d *Driver) startRun(c *workerClient, a scheduler.Start) {
	sent := clocker.ApproxBootTime()
	e := scheduler.StartAnswered{Worker: a.Worker, Task: a.Task, Run: a.Run}
	e.Verdict, e.Clock = c.Start(d.ctx, a)
	e.Took = clocker.ApproxBootTime().Sub(sent)
	d.metrics.recordStart(e)
	d.PushEvent(e)
}

func (d *Driver) pollWorker(c *workerClient, a scheduler.Poll) {
	sent := clocker.ApproxBootTime()
	e, err := c.Poll(d.ctx, a)
	e.Sent = sent
	d.metrics.recordPoll(clocker.ApproxBootTime().Sub(sent)-a.Wait, err)
	if err != nil && d.ctx.Err() == nil {
		d.log.Debug().Str("worker", string(a.Worker)).Err(err).Msg("poll failed")
	}
	d.PushEvent(e)
}
