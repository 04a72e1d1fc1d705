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
	// eventBuffer holds what arrives during one step.
	eventBuffer = 4096
	// busyTick and idleTick are the paces of steps without events.
	busyTick = 10 * time.Millisecond
	idleTick = 50 * time.Millisecond
	// noteEvery is the pace of summaries: peers hear of one each 50 ms.
	noteEvery = 25 * time.Millisecond
	// jumpLimit is the difference between two steps that is logged as a pause.
	jumpLimit = 500 * time.Millisecond
)

// ErrClosed says that the instance is ending.
var ErrClosed = errors.New("the instance is ending")

// Status is a summary of the core, for probes, peers and metrics.
type Status struct {
	Open    int
	Waiting int
	Idle    bool
	// Usable counts the workers that this instance is the home of and that
	// answer; Reaches is set where any worker can be reached.
	Usable  int
	Reaches bool
	// Slots are the places that peers may ask for, by service.
	Slots map[namer.Service]int
}

// post carries letters to peers.
type post interface {
	Send(to string, l scheduler.Letter)
}

// Driver runs a scheduler. Build one with New.
type Driver struct {
	core   *scheduler.Scheduler
	log    zerolog.Logger
	meters *Meters
	events chan scheduler.Event
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	waiting map[namer.Call]chan scheduler.Answer
	clients map[namer.Worker]*workerClient
	next    namer.Call
	status  Status
	pending map[namer.Kind]int
	retag   *namer.RunTag
	leave   bool
	post    post
	hellos  []scheduler.PeerHeard
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
		core: scheduler.New(s, clocker.Boot(), clocker.Wall()), log: log, meters: NewMeters(),
		events: make(chan scheduler.Event, eventBuffer), ctx: ctx, cancel: cancel,
		waiting: make(map[namer.Call]chan scheduler.Answer), clients: make(map[namer.Worker]*workerClient),
	}
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		d.run()
	}()
	return d
}

// Close stops and waits for the calls under way.
func (d *Driver) Close() {
	d.cancel()
	d.wg.Wait()
	for _, c := range d.clients {
		c.Close()
	}
}

// Post gives the driver a way to its peers.
func (d *Driver) Post(p post) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.post = p
}

func (d *Driver) tell(a scheduler.Tell) {
	d.mu.Lock()
	p := d.post
	d.mu.Unlock()
	if p != nil {
		p.Send(a.To, a.Letter)
	}
}

// Meters returns the counters of what the core decides.
func (d *Driver) Meters() *Meters { return d.meters }

// Hear takes in a peer's hello with the next step; it wakes nobody.
func (d *Driver) Hear(h scheduler.PeerHeard) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hellos = append(d.hellos, h)
}

func (d *Driver) takeHellos(batch []scheduler.Event) []scheduler.Event {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range d.hellos {
		batch = append(batch, h)
	}
	d.hellos = d.hellos[:0]
	return batch
}

// Push hands an event to the core.
func (d *Driver) Push(e scheduler.Event) {
	select {
	case d.events <- e:
	case <-d.ctx.Done():
	}
}

// Submit hands a job in and waits for its end, or until the caller leaves.
func (d *Driver) Submit(ctx context.Context, j scheduler.JobSpec) (scheduler.Answer, error) {
	answer := make(chan scheduler.Answer, 1)
	d.mu.Lock()
	d.next++
	call := d.next
	d.waiting[call] = answer
	d.mu.Unlock()
	d.Push(scheduler.JobArrived{Call: call, Job: j})
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
	case <-d.ctx.Done():
		return scheduler.Answer{}, ErrClosed
	}
	d.mu.Lock()
	delete(d.waiting, call)
	d.mu.Unlock()
	d.Push(scheduler.CallerLeft{Call: call})
	return scheduler.Answer{}, ctx.Err()
}

// Workers takes in entries of the platform's list.
func (d *Driver) Workers(listed []platform.Worker) {
	var e scheduler.WorkersListed
	d.mu.Lock()
	for _, w := range listed {
		e.Workers = append(e.Workers, w.ListedWorker)
		old := d.clients[w.ID]
		if w.Gone || old != nil && old.address == w.Address {
			continue
		}
		if old != nil {
			old.Close()
		}
		d.clients[w.ID] = &workerClient{platform.NewWorkerClient(w.ID, w.Address), w.Address}
	}
	d.mu.Unlock()
	d.Push(e)
}

// Status returns the newest summary.
func (d *Driver) Status() Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.status
}

// Pending returns the number of jobs of a kind that have nothing started.
func (d *Driver) Pending(k namer.Kind) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pending[k]
}

// Retag gives the instance another tag.
func (d *Driver) Retag(tag namer.RunTag) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retag = &tag
}

// Leave has the instance's workers go to other homes, while its jobs end.
func (d *Driver) Leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leave = true
}

func (d *Driver) run() {
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	last := clocker.Boot()
	lastStatus := last
	batch := make([]scheduler.Event, 0, eventBuffer)
	for {
		batch = batch[:0]
		select {
		case <-d.ctx.Done():
			return
		case e := <-d.events:
			batch = append(batch, e)
		case <-timer.C:
			timer.Reset(d.tick())
		}
		batch = d.takeHellos(d.drain(batch))
		now := clocker.Boot()
		if now.Sub(last) > jumpLimit {
			d.log.Warn().Int("event", int(eventer.ClockJumped)).Dur("pause", now.Sub(last)).Msg(eventer.ClockJumped.Name())
		}
		last = now
		d.applyOrders()
		for _, a := range d.core.Step(now, clocker.Wall(), batch) {
			d.perform(a)
		}
		if now.Sub(lastStatus) >= noteEvery {
			lastStatus = now
			d.note()
		}
	}
}

func (d *Driver) tick() time.Duration {
	if d.core.Idle() {
		return idleTick
	}
	return busyTick
}

func (d *Driver) drain(batch []scheduler.Event) []scheduler.Event {
	for len(batch) < eventBuffer {
		select {
		case e := <-d.events:
			batch = append(batch, e)
		default:
			return batch
		}
	}
	return batch
}

// applyOrders hands what others have asked for to the core.
func (d *Driver) applyOrders() {
	d.mu.Lock()
	tag, leave := d.retag, d.leave
	d.retag, d.leave = nil, false
	d.mu.Unlock()
	if tag != nil {
		d.core.Retag(*tag)
	}
	if leave {
		d.core.Leave()
	}
}

// note publishes a summary of the core.
func (d *Driver) note() {
	st := Status{
		Open: d.core.Open(), Waiting: d.core.Waiting(), Idle: d.core.Idle(), Usable: d.core.Usable(),
		Reaches: d.core.Reaches(), Slots: d.core.Slots(),
	}
	pending := d.core.PendingByKind()
	d.mu.Lock()
	d.status, d.pending = st, pending
	d.mu.Unlock()
	d.meters.note(st)
}

// perform does what the core has decided. Calls go on beside it.
func (d *Driver) perform(a scheduler.Action) {
	switch a := a.(type) {
	case scheduler.Answer:
		d.answer(a)
	case scheduler.Start:
		d.call(a.Worker, func(c *workerClient) { d.start(c, a) }, scheduler.StartAnswered{
			Worker: a.Worker, Task: a.Task, Run: a.Run, Verdict: scheduler.StartLost,
		})
	case scheduler.Stop:
		d.call(a.Worker, func(c *workerClient) { d.Push(c.Stop(d.ctx, a)) }, scheduler.StopAnswered{
			Worker: a.Worker, Task: a.Task, Run: a.Run,
		})
	case scheduler.Poll:
		d.call(a.Worker, func(c *workerClient) { d.poll(c, a) }, scheduler.Polled{Worker: a.Worker, Extra: a.Extra, Lost: true})
	case scheduler.Tell:
		d.tell(a)
	case scheduler.Decision:
		d.meters.decided(a)
		d.logDecision(a)
	}
}

// call runs a call of a worker beside the core; a worker without an address
// gives the event for a call that is lost.
func (d *Driver) call(w namer.Worker, do func(*workerClient), lost scheduler.Event) {
	d.mu.Lock()
	c := d.clients[w]
	d.mu.Unlock()
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		if c == nil {
			d.Push(lost)
			return
		}
		do(c)
	}()
}

func (d *Driver) answer(a scheduler.Answer) {
	d.mu.Lock()
	to := d.waiting[a.Call]
	delete(d.waiting, a.Call)
	d.mu.Unlock()
	if to != nil {
		to <- a
	}
}

func (d *Driver) start(c *workerClient, a scheduler.Start) {
	sent := clocker.Recent()
	e := scheduler.StartAnswered{Worker: a.Worker, Task: a.Task, Run: a.Run}
	e.Verdict, e.Clock = c.Start(d.ctx, a)
	e.Took = clocker.Recent().Sub(sent)
	d.meters.started(e)
	d.Push(e)
}

func (d *Driver) poll(c *workerClient, a scheduler.Poll) {
	sent := clocker.Recent()
	e, err := c.Poll(d.ctx, a)
	e.Sent = sent
	d.meters.polled(clocker.Recent().Sub(sent)-a.Wait, err)
	if err != nil && d.ctx.Err() == nil {
		d.log.Debug().Str("worker", string(a.Worker)).Err(err).Msg("poll failed")
	}
	d.Push(e)
}
