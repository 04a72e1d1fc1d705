// Package runner runs one entry instance: it feeds the dispatcher's core with
// what happens on sockets and timers, and does what the core wants done.
package runner

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/heatherslip/heatherslip/internal/config/policer"
	"github.com/heatherslip/heatherslip/internal/core/dispatcher"
	"github.com/heatherslip/heatherslip/internal/edge/caller"
	"github.com/heatherslip/heatherslip/internal/edge/linker"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

const (
	tickEvery = 25 * time.Millisecond
	listEvery = time.Second
	// eventQueue bounds the events that wait for the core.
	eventQueue = 1 << 14
	// maxBatch bounds the events of one step.
	maxBatch = 2048
	// logRetry is the pause after a read of the log that failed.
	logRetry = 100 * time.Millisecond
)

// Options are what a Runner is made with.
type Options struct {
	// Name is the instance's own; an incarnation adds a nonce to it.
	Name   string
	Domain namer.Domain
	Region namer.Region
	// Peer is the IP number and port on which peers reach this instance.
	Peer string
	// Platform is where the log and the list are served.
	Platform string
	// Seeds are addresses of peers to try besides those that are listed.
	Seeds   []string
	PeerKey string
	TLS     *tls.Config
	Mode    dispatcher.Mode
	Log     zerolog.Logger
}

// Runner is a running entry instance. Build one with New.
type Runner struct {
	opts    Options
	caller  *caller.Caller
	linker  *linker.Linker
	events  chan dispatcher.Event
	asks    chan func(*dispatcher.Node)
	records chan coder.Record
	metrics metrics.Registry
	meters  meters
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	// policy is the one in force, never nil.
	policy atomic.Pointer[policer.Policy]
	// life ends with the present incarnation, and its leases with it.
	life    context.Context
	endLife context.CancelFunc
	// loop is closed once the core has stopped.
	loop chan struct{}

	mu sync.Mutex
	// offset is the last record of the log that the core has taken.
	offset namer.Offset
	self   coder.Member
	// workers and minions hold addresses as last listed.
	workers  map[namer.Worker]string
	minions  map[namer.Minion]string
	listed   []string
	nextCall namer.Call
	waiting  map[namer.Call]chan coder.Answer
	left     chan struct{}
	leftOnce sync.Once
}

// New starts an instance.
func New(opts Options) (*Runner, error) {
	inc, err := newIncarnation(opts.Name)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Runner{
		opts:    opts,
		caller:  caller.New(opts.Platform),
		events:  make(chan dispatcher.Event, eventQueue),
		asks:    make(chan func(*dispatcher.Node)),
		records: make(chan coder.Record, eventQueue),
		metrics: metrics.NewRegistry(),
		ctx:     ctx,
		cancel:  cancel,
		loop:    make(chan struct{}),
		self:    coder.Member{Incarnation: inc, Domain: opts.Domain, Region: opts.Region, Peer: opts.Peer},
		workers: make(map[namer.Worker]string),
		minions: make(map[namer.Minion]string),
		waiting: make(map[namer.Call]chan coder.Answer),
		left:    make(chan struct{}),
	}
	r.policy.Store(&policer.Policy{})
	r.life, r.endLife = context.WithCancel(ctx)
	r.meters = newMeters(r.metrics)
	r.linker = linker.New(linker.Options{Self: r.self, Key: opts.PeerKey, TLS: opts.TLS, Handler: r})
	node := dispatcher.New(dispatcher.Settings{
		Self: r.self, Mode: opts.Mode, Rename: r.rename, Seed: uint64(time.Now().UnixNano()),
	}, time.Now())
	r.start(func() { r.runCore(node) })
	r.start(r.runReader)
	r.start(r.runAppender)
	r.start(r.runLister)
	return r, nil
}

func (r *Runner) start(f func()) {
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		f()
	}()
}

// nonceBytes is the length of an incarnation's nonce.
const nonceBytes = 6

func newIncarnation(name string) (namer.Incarnation, error) {
	b := make([]byte, nonceBytes)
	if _, err := rand.Read(b); err != nil {
		return "", fmt.Errorf("draw a nonce: %w", err)
	}
	return namer.Incarnation(name + "." + hex.EncodeToString(b)), nil
}

func (r *Runner) rename() namer.Incarnation {
	inc, err := newIncarnation(r.opts.Name)
	if err != nil {
		return namer.Incarnation(fmt.Sprintf("%s.%d", r.opts.Name, time.Now().UnixNano()))
	}
	return inc
}

// Close stops the instance at once and waits until nothing runs any more.
// Drain first, so that nothing is cut off.
func (r *Runner) Close() {
	r.cancel()
	r.linker.Close()
	r.wg.Wait()
	r.caller.Close()
}

// Drain takes no new work, and returns when all work in flight is finished
// and handed over, or the context ends.
func (r *Runner) Drain(ctx context.Context) error {
	r.push(dispatcher.Drain{})
	select {
	case <-r.left:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("drain: %w", ctx.Err())
	case <-r.ctx.Done():
		return fmt.Errorf("drain: %w", r.ctx.Err())
	}
}

// Links serves the links that peers dial.
func (r *Runner) Links() http.Handler { return r.linker }

// Policy returns the policy in force. It must not be changed.
func (r *Runner) Policy() *policer.Policy { return r.policy.Load() }

// Metrics returns the instance's metrics.
func (r *Runner) Metrics() metrics.Registry { return r.metrics }

// push gives an event to the core, and drops it where the instance stops.
func (r *Runner) push(e dispatcher.Event) {
	select {
	case r.events <- e:
	case <-r.ctx.Done():
	}
}

// Inspect runs f in the core's goroutine, where it may read the node.
func (r *Runner) Inspect(f func(*dispatcher.Node)) {
	done := make(chan struct{})
	ask := func(n *dispatcher.Node) {
		f(n)
		close(done)
	}
	select {
	case r.asks <- ask:
		<-done
	case <-r.loop:
	}
}

// Ask gives a call to the core and waits for its answer. Where the caller
// hangs up first the work goes on.
func (r *Runner) Ask(ctx context.Context, op coder.Op, work coder.Work, wait bool) (coder.Answer, error) {
	r.mu.Lock()
	r.nextCall++
	id := r.nextCall
	answer := make(chan coder.Answer, 1)
	r.waiting[id] = answer
	r.mu.Unlock()
	defer r.forget(id)
	r.push(dispatcher.Asked{Call: id, Op: op, Work: work, Wait: wait})
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		r.push(dispatcher.HungUp{Call: id})
		return coder.Answer{}, fmt.Errorf("wait for answer: %w", ctx.Err())
	case <-r.ctx.Done():
		return coder.Answer{}, fmt.Errorf("wait for answer: %w", r.ctx.Err())
	}
}

func (r *Runner) forget(id namer.Call) {
	r.mu.Lock()
	delete(r.waiting, id)
	r.mu.Unlock()
}

// Append hands a record to the log's writer.
func (r *Runner) Append(rec coder.Record) {
	select {
	case r.records <- rec:
	case <-r.ctx.Done():
	}
}

// LinkUp implements linker.Handler.
func (r *Runner) LinkUp(m coder.Member) { r.push(dispatcher.LinkUp{Member: m}) }

// LinkDown implements linker.Handler.
func (r *Runner) LinkDown(inc namer.Incarnation) { r.push(dispatcher.LinkDown{Incarnation: inc}) }

// Receive implements linker.Handler.
func (r *Runner) Receive(from namer.Incarnation, m *coder.Message) {
	r.meters.peerIn.Inc(1)
	r.push(dispatcher.Received{From: from, Msg: m})
}

// LinkRefused implements linker.Handler.
func (r *Runner) LinkRefused(where string, err error) {
	r.meters.linkRefused.Inc(1)
	r.logRefusal(where, err)
}

// runCore steps the core whenever something has happened, and at each tick.
func (r *Runner) runCore(node *dispatcher.Node) {
	defer close(r.loop)
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	batch := make([]dispatcher.Event, 0, maxBatch)
	for {
		batch = batch[:0]
		select {
		case <-r.ctx.Done():
			return
		case f := <-r.asks:
			f(node)
			continue
		case e := <-r.events:
			batch = append(batch, e)
		case <-tick.C:
		}
		batch = r.more(batch)
		began := time.Now()
		actions := node.Step(began, batch)
		r.meters.step.Update(time.Since(began))
		r.note(node)
		for _, a := range actions {
			r.perform(a)
		}
	}
}

func (r *Runner) more(batch []dispatcher.Event) []dispatcher.Event {
	for len(batch) < maxBatch {
		select {
		case e := <-r.events:
			batch = append(batch, e)
		default:
			return batch
		}
	}
	return batch
}

// note publishes what other goroutines need of the core's state.
func (r *Runner) note(node *dispatcher.Node) {
	r.policy.Store(node.Policy())
	offset := node.State().Offset
	r.mu.Lock()
	moved := offset != r.offset
	r.offset = offset
	r.mu.Unlock()
	if moved {
		r.setPeers(node.State().Members(""))
	}
}

func (r *Runner) setPeers(members []coder.Member) {
	r.mu.Lock()
	addrs := append([]string(nil), r.opts.Seeds...)
	addrs = append(addrs, r.listed...)
	r.mu.Unlock()
	for _, m := range members {
		addrs = append(addrs, m.Peer)
	}
	r.linker.SetPeers(addrs)
}

// runLister follows the platform's list.
func (r *Runner) runLister() {
	for r.ctx.Err() == nil {
		list, err := r.caller.List(r.ctx)
		if err == nil {
			r.takeList(list)
		}
		r.sleep(listEvery)
	}
}

func (r *Runner) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.ctx.Done():
	}
}
