// Package runner runs one entry instance. It passes network and timer events to
// the deterministic core in package dispatcher and carries out the actions that
// the core returns.
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

	"github.com/heatherslip/heatherslip/internal/config/policyparser"
	"github.com/heatherslip/heatherslip/internal/core/dispatcher"
	"github.com/heatherslip/heatherslip/internal/edge/messenger"
	"github.com/heatherslip/heatherslip/internal/edge/requester"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

const (
	tickInterval = 25 * time.Millisecond
	listInterval = time.Second
	// queueLength is the capacity of the event queue and of the append queue.
	queueLength = 1 << 14
	// maxStepEvents is the maximum number of events in one step of the core.
	maxStepEvents = 2048
	// retryDelay is the pause after a failed call to the log or to a worker.
	retryDelay = 100 * time.Millisecond
)

// Runner is a running entry instance. Use New to start one.
type Runner struct {
	opts        Options
	requester   *requester.Requester
	messenger   *messenger.Messenger
	events      chan dispatcher.Event
	inspections chan func(*dispatcher.Node)
	appendQueue chan coder.Record
	registry    metrics.Registry
	metrics     instanceMetrics
	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup
	// policy is the policy in force. It is never nil.
	policy atomic.Pointer[policyparser.Policy]
	// incarnationCtx is canceled when the current incarnation ends, which also
	// ends the polling of its leases.
	incarnationCtx    context.Context
	cancelIncarnation context.CancelFunc
	// coreStopped is closed when runCore returns.
	coreStopped chan struct{}

	mu sync.Mutex
	// appliedOffset is the offset of the last log record that the core applied.
	appliedOffset namer.Offset
	self          coder.Member
	// workerAddrs and minionAddrs hold the addresses from the platform's list.
	// Entries that are no longer listed are kept.
	workerAddrs  map[namer.Worker]string
	minionAddrs  map[namer.Minion]string
	listedPeers  []string
	lastCallID   namer.CallID
	pendingCalls map[namer.CallID]chan coder.Answer
	drained      chan struct{}
	drainedOnce  sync.Once
}

// Options configures a Runner.
type Options struct {
	// Name is the name of the instance. The name of each incarnation is this
	// name with a nonce appended.
	Name   string
	Domain namer.Domain
	Region namer.Region
	// PeerAddress is the IP address and port at which peers reach this instance.
	PeerAddress string
	// PlatformAddress is the IP address and port of the platform, which serves
	// the log and the list of instances, workers and minions.
	PlatformAddress string
	// SeedAddresses are the addresses of peers to dial in addition to those in
	// the platform's list.
	SeedAddresses []string
	// PeerKey is the secret shared by all instances; empty if none is set.
	PeerKey string
	TLS     *tls.Config
	Mode    dispatcher.Mode
	Log     zerolog.Logger
}

// New starts an instance. It returns an error if the name of the first
// incarnation cannot be generated.
func New(opts Options) (*Runner, error) {
	inc, err := newIncarnation(opts.Name)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Runner{
		opts:         opts,
		requester:    requester.New(opts.PlatformAddress),
		events:       make(chan dispatcher.Event, queueLength),
		inspections:  make(chan func(*dispatcher.Node)),
		appendQueue:  make(chan coder.Record, queueLength),
		registry:     metrics.NewRegistry(),
		ctx:          ctx,
		cancel:       cancel,
		coreStopped:  make(chan struct{}),
		self:         coder.Member{Incarnation: inc, Domain: opts.Domain, Region: opts.Region, PeerAddress: opts.PeerAddress},
		workerAddrs:  make(map[namer.Worker]string),
		minionAddrs:  make(map[namer.Minion]string),
		pendingCalls: make(map[namer.CallID]chan coder.Answer),
		drained:      make(chan struct{}),
	}
	r.policy.Store(&policyparser.Policy{})
	r.incarnationCtx, r.cancelIncarnation = context.WithCancel(ctx)
	r.metrics = newInstanceMetrics(r.registry)
	r.messenger = messenger.New(messenger.Options{Self: r.self, Key: opts.PeerKey, TLS: opts.TLS, Handler: r})
	node := dispatcher.New(dispatcher.Settings{
		Self: r.self, Mode: opts.Mode, NewIncarnation: r.nextIncarnation, Seed: uint64(time.Now().UnixNano()),
	}, time.Now())
	r.startGoroutine(func() { r.runCore(node) })
	r.startGoroutine(r.runLogReader)
	r.startGoroutine(r.runLogAppender)
	r.startGoroutine(r.runListPoller)
	return r, nil
}

func (r *Runner) startGoroutine(f func()) {
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		f()
	}()
}

// nonceBytes is the length of an incarnation's nonce, in bytes.
const nonceBytes = 6

func newIncarnation(name string) (namer.Incarnation, error) {
	b := make([]byte, nonceBytes)
	if _, err := rand.Read(b); err != nil {
		return "", fmt.Errorf("generate incarnation nonce: %w", err)
	}
	return namer.Incarnation(name + "." + hex.EncodeToString(b)), nil
}

func (r *Runner) nextIncarnation() namer.Incarnation {
	inc, err := newIncarnation(r.opts.Name)
	if err != nil {
		return namer.Incarnation(fmt.Sprintf("%s.%d", r.opts.Name, time.Now().UnixNano()))
	}
	return inc
}

// Close stops the instance immediately and waits for its goroutines. Call Drain
// first to finish the work in flight.
func (r *Runner) Close() {
	r.cancel()
	r.messenger.Close()
	r.wg.Wait()
	r.requester.Close()
}

// Drain stops accepting new work and waits until the work in flight is finished,
// other members hold the instance's submissions and the instance has left its
// view. It returns an error if ctx ends or the instance is closed first.
func (r *Runner) Drain(ctx context.Context) error {
	r.pushEvent(dispatcher.Drain{})
	select {
	case <-r.drained:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("drain: %w", ctx.Err())
	case <-r.ctx.Done():
		return fmt.Errorf("drain: %w", r.ctx.Err())
	}
}

// LinkHandler returns the handler for connections that peers open.
func (r *Runner) LinkHandler() http.Handler { return r.messenger }

// Policy returns the policy in force. The caller must not modify it.
func (r *Runner) Policy() *policyparser.Policy { return r.policy.Load() }

// Metrics returns the metrics registry of the instance.
func (r *Runner) Metrics() metrics.Registry { return r.registry }

// pushEvent queues an event for the core, or drops it if the instance stops.
func (r *Runner) pushEvent(e dispatcher.Event) {
	select {
	case r.events <- e:
	case <-r.ctx.Done():
	}
}

// Inspect runs f in the core's goroutine, where it may read the node, and waits
// for it to return. It does not run f if the core has stopped.
func (r *Runner) Inspect(f func(*dispatcher.Node)) {
	done := make(chan struct{})
	inspect := func(n *dispatcher.Node) {
		f(n)
		close(done)
	}
	select {
	case r.inspections <- inspect:
		<-done
	case <-r.coreStopped:
	}
}

// Call passes a client's call to the core and waits for the answer. If ctx ends
// first, Call returns an error and the work continues.
func (r *Runner) Call(ctx context.Context, op coder.Op, work coder.Work, waitForResult bool) (coder.Answer, error) {
	r.mu.Lock()
	r.lastCallID++
	id := r.lastCallID
	answers := make(chan coder.Answer, 1)
	r.pendingCalls[id] = answers
	r.mu.Unlock()
	defer r.removeCall(id)
	r.pushEvent(dispatcher.CallReceived{Call: id, Op: op, Work: work, WaitForResult: waitForResult})
	select {
	case a := <-answers:
		return a, nil
	case <-ctx.Done():
		r.pushEvent(dispatcher.CallAbandoned{Call: id})
		return coder.Answer{}, fmt.Errorf("wait for answer: %w", ctx.Err())
	case <-r.ctx.Done():
		return coder.Answer{}, fmt.Errorf("wait for answer: %w", r.ctx.Err())
	}
}

func (r *Runner) removeCall(id namer.CallID) {
	r.mu.Lock()
	delete(r.pendingCalls, id)
	r.mu.Unlock()
}

// AppendRecord queues a record for the platform's log, or drops it if the
// instance stops.
func (r *Runner) AppendRecord(rec coder.Record) {
	select {
	case r.appendQueue <- rec:
	case <-r.ctx.Done():
	}
}

// LinkUp implements messenger.Handler.
func (r *Runner) LinkUp(m coder.Member) { r.pushEvent(dispatcher.LinkUp{Member: m}) }

// LinkDown implements messenger.Handler.
func (r *Runner) LinkDown(inc namer.Incarnation) { r.pushEvent(dispatcher.LinkDown{Incarnation: inc}) }

// HandleMessage implements messenger.Handler.
func (r *Runner) HandleMessage(from namer.Incarnation, m *coder.Message) {
	r.metrics.messagesReceived.Inc(1)
	r.pushEvent(dispatcher.MessageReceived{From: from, Message: m})
}

// LinkRefused implements messenger.Handler.
func (r *Runner) LinkRefused(addr string, err error) {
	r.metrics.linksRefused.Inc(1)
	r.logLinkRefused(addr, err)
}

// runCore steps the core for each batch of events and at each tick, and performs
// the resulting actions.
func (r *Runner) runCore(node *dispatcher.Node) {
	defer close(r.coreStopped)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	batch := make([]dispatcher.Event, 0, maxStepEvents)
	for {
		batch = batch[:0]
		select {
		case <-r.ctx.Done():
			return
		case f := <-r.inspections:
			f(node)
			continue
		case e := <-r.events:
			batch = append(batch, e)
		case <-tick.C:
		}
		batch = r.fillBatch(batch)
		startedAt := time.Now()
		actions := node.Step(startedAt, batch)
		r.metrics.stepDuration.Update(time.Since(startedAt))
		r.publishState(node)
		for _, a := range actions {
			r.performAction(a)
		}
	}
}

func (r *Runner) fillBatch(batch []dispatcher.Event) []dispatcher.Event {
	for len(batch) < maxStepEvents {
		select {
		case e := <-r.events:
			batch = append(batch, e)
		default:
			return batch
		}
	}
	return batch
}

// publishState copies the parts of the core's state that other goroutines read,
// and updates the peer links if the log has advanced.
func (r *Runner) publishState(node *dispatcher.Node) {
	r.policy.Store(node.Policy())
	offset := node.State().AppliedOffset
	r.mu.Lock()
	changed := offset != r.appliedOffset
	r.appliedOffset = offset
	r.mu.Unlock()
	if changed {
		r.updatePeers(node.State().Members(""))
	}
}

func (r *Runner) updatePeers(members []coder.Member) {
	r.mu.Lock()
	addrs := append([]string(nil), r.opts.SeedAddresses...)
	addrs = append(addrs, r.listedPeers...)
	r.mu.Unlock()
	for _, m := range members {
		addrs = append(addrs, m.PeerAddress)
	}
	r.messenger.SetPeers(addrs)
}

// runListPoller polls the platform's list.
func (r *Runner) runListPoller() {
	for r.ctx.Err() == nil {
		list, err := r.requester.GetList(r.ctx)
		if err == nil {
			r.applyList(list)
		}
		r.sleep(listInterval)
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
