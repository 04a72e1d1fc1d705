// Package starter puts an entry instance together that runs on the platform:
// its listeners, the scheduler, the copy of the store and the peers.
package starter

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/heatherslip/heatherslip/internal/core/scheduler"
	"github.com/heatherslip/heatherslip/internal/edge/driver"
	"github.com/heatherslip/heatherslip/internal/edge/follower"
	"github.com/heatherslip/heatherslip/internal/edge/gateway"
	"github.com/heatherslip/heatherslip/internal/edge/gossiper"
	"github.com/heatherslip/heatherslip/internal/edge/recorder"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
	"github.com/heatherslip/heatherslip/platform"
)

const (
	// headerTimeout and idleTimeout bound what clients may hold open.
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
	// lookEvery is the pace of looks at the settings file, and of the report
	// of dropped lines.
	lookEvery = time.Second
	// leaveAfter is how long a leaving instance takes new calls: the balancer
	// asks each second and needs two misses.
	leaveAfter = 2500 * time.Millisecond
	// stopPatience is how long a leaving instance waits for proof that runs
	// which nobody wants have stopped; after that its peers see to them.
	stopPatience = 400 * time.Millisecond
	// endMargin is kept before the end by force.
	endMargin = 700 * time.Millisecond
	// idlePoll is the pace of looks at whether all work has ended.
	idlePoll = 20 * time.Millisecond
	// peerQuiet is how long a peer is silent before that is logged.
	peerQuiet = time.Second
)

// Instance is an entry instance on the platform.
type Instance struct {
	settings *platform.Settings
	opts     Options
	log      zerolog.Logger
	lines    *recorder.Recorder
	driver   *driver.Driver
	gateway  *gateway.Gateway
	follower *follower.Follower
	gossip   *gossiper.Gossiper
	name     string
	tag      atomic.Uint32
	leaving  atomic.Bool
	front    *http.Server
	servers  []*http.Server
	done     chan struct{}
	wg       sync.WaitGroup

	mu    sync.Mutex
	peers map[string]time.Time
	// bad are the keys of entries that can't be read and have been told.
	bad map[string]bool
}

// Options are what an instance is told beside the platform's settings.
type Options struct {
	// Path is that of the settings file, which is read again when it changes.
	Path string
	// MetricsPort serves the meters; zero leaves them to the peers' port.
	MetricsPort int
}

// New opens the listeners and starts the instance.
func New(s *platform.Settings, o Options, lines *recorder.Recorder, log zerolog.Logger) (*Instance, error) {
	n := &Instance{
		settings: s, opts: o, log: log, lines: lines, done: make(chan struct{}),
		name:  fmt.Sprintf("%s/%08x", s.Name, rand.Uint32()),
		peers: make(map[string]time.Time), bad: make(map[string]bool),
	}
	n.tag.Store(newTag())
	n.driver = driver.New(scheduler.Settings{
		Name: n.name, Domain: s.Domain, Tag: namer.RunTag(n.tag.Load()), Power: s.Power,
		MaxLease: s.MaxLease, ResubmitAfter: s.ResubmitAfter,
	}, log)
	n.gateway = gateway.New(n.driver, log)
	n.follower = follower.New(platform.NewStore(s.Store), log, n.apply)
	if err := n.listen(); err != nil {
		n.Close()
		return nil, err
	}
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		n.runLooks()
	}()
	log.Warn().Int("event", int(eventer.Started)).Str("instance", n.name).Str("domain", string(s.Domain)).
		Str("front", s.Front).Msg(eventer.Started.Name())
	return n, nil
}

func newTag() uint32 { return rand.Uint32N(uint32(namer.MaxRunTag)) + 1 }

func (n *Instance) listen() error {
	s := n.settings
	var err error
	n.gossip, err = gossiper.New(n.name, s.IP, s.PeerPort, s.Seeds, n.hello, n)
	if err != nil {
		return err
	}
	n.driver.Post(n.gossip)
	front, err := net.Listen("tcp", s.Front)
	if err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	n.front = n.serve(front, n.gateway)
	ready := http.NewServeMux()
	ready.HandleFunc(platform.ReadyPath, n.ready)
	if err := n.serveAt(s.Ready, ready); err != nil {
		return fmt.Errorf("listen for probes: %w", err)
	}
	inner := http.NewServeMux()
	inner.Handle(follower.CopyPath, n.follower)
	inner.Handle("/metrics", n.driver.Meters())
	if err := n.serveAt(net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort)), inner); err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	if n.opts.MetricsPort == 0 {
		return nil
	}
	meters := http.NewServeMux()
	meters.Handle("/metrics", n.driver.Meters())
	if err := n.serveAt(net.JoinHostPort(s.IP, strconv.Itoa(n.opts.MetricsPort)), meters); err != nil {
		return fmt.Errorf("listen for scrapers: %w", err)
	}
	return nil
}

func (n *Instance) serveAt(address string, h http.Handler) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	n.serve(ln, h)
	return nil
}

func (n *Instance) serve(ln net.Listener, h http.Handler) *http.Server {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: nil}
	n.servers = append(n.servers, srv)
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			n.log.Error().Err(err).Str("address", ln.Addr().String()).Msg("listener failed")
		}
	}()
	return srv
}

// ready answers the balancer: an instance takes calls while it has a
// configuration and reaches workers.
func (n *Instance) ready(w http.ResponseWriter, _ *http.Request) {
	_, configured := n.gateway.Version()
	if !configured || n.leaving.Load() || !n.driver.Status().Reaches {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// apply takes in what the store says.
func (n *Instance) apply(t platform.Topic, records []platform.Record) {
	if t == platform.Operator {
		for _, r := range records {
			n.applyConfig(r)
		}
		return
	}
	listed := make([]platform.Worker, 0, len(records))
	for _, r := range records {
		w, err := platform.DecodeWorker(r.Key, r.Value)
		if err != nil {
			n.rejectEntry(r, err)
			w = platform.Worker{ListedWorker: scheduler.ListedWorker{ID: namer.Worker(r.Key), Gone: true}}
		}
		listed = append(listed, w)
	}
	n.driver.Workers(listed)
}

func (n *Instance) applyConfig(r platform.Record) {
	c, err := platform.DecodeConfig(r.Value)
	if err != nil {
		n.log.Warn().Int("event", int(eventer.ConfigBad)).Uint64("offset", r.Offset).Err(err).Msg(eventer.ConfigBad.Name())
		return
	}
	applied := n.gateway.Apply(c)
	n.driver.Meters().Gauge("config_version", int64(c.Version))
	n.log.Warn().Int("event", int(eventer.ConfigApplied)).Uint64("version", uint64(c.Version)).Bool("applied", applied).
		Int("routes", len(c.Routes)).Msg(eventer.ConfigApplied.Name())
}

// rejectEntry logs an entry that can't be read, once for each key.
func (n *Instance) rejectEntry(r platform.Record, err error) {
	n.mu.Lock()
	told := n.bad[r.Key]
	n.bad[r.Key] = true
	n.mu.Unlock()
	if !told {
		n.log.Warn().Int("event", int(eventer.ListBad)).Err(err).Msg(eventer.ListBad.Name())
	}
}

// hello is what this instance tells its peers.
func (n *Instance) hello() gossiper.Hello {
	config, list := n.follower.Known()
	st := n.driver.Status()
	return gossiper.Hello{
		Domain: n.settings.Domain, Tag: namer.RunTag(n.tag.Load()),
		Slots: st.Slots, Config: config, List: list, Leaving: n.leaving.Load(),
		Power: n.settings.Power,
	}
}

// Told takes in a peer's letter.
func (n *Instance) Told(from string, l scheduler.Letter) {
	n.driver.Push(scheduler.Told{From: from, Letter: l})
}

// Heard takes in what a peer says of itself.
func (n *Instance) Heard(h gossiper.Hello) {
	if h.Tag == namer.RunTag(n.tag.Load()) && h.Name < n.name {
		n.tag.Store(newTag())
		n.driver.Retag(namer.RunTag(n.tag.Load()))
	}
	n.mu.Lock()
	_, known := n.peers[h.Name]
	n.peers[h.Name] = time.Now()
	n.mu.Unlock()
	if !known {
		n.log.Warn().Int("event", int(eventer.PeerHeard)).Str("peer", h.Name).Msg(eventer.PeerHeard.Name())
	}
	n.driver.Hear(scheduler.PeerHeard{Name: h.Name, Domain: h.Domain, Tag: h.Tag, Slots: h.Slots, Leaving: h.Leaving, Power: h.Power})
	n.follower.Fetch(netip.AddrPortFrom(h.From, uint16(n.settings.PeerPort)).String(), h.Config, h.List)
}

// runLooks looks after what is slow: silent peers, changed settings, and lines
// that were dropped.
func (n *Instance) runLooks() {
	t := time.NewTicker(lookEvery)
	defer t.Stop()
	var changed time.Time
	if info, err := os.Stat(n.opts.Path); err == nil {
		changed = info.ModTime()
	}
	for {
		select {
		case <-n.done:
			return
		case <-t.C:
		}
		n.forgetPeers()
		if dropped := n.lines.Untold(); dropped > 0 {
			n.log.Warn().Int("event", int(eventer.LinesDropped)).Int("lines", dropped).Msg(eventer.LinesDropped.Name())
		}
		if info, err := os.Stat(n.opts.Path); err == nil && !info.ModTime().Equal(changed) {
			changed = info.ModTime()
			n.Reload()
		}
	}
}

func (n *Instance) forgetPeers() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, seen := range n.peers {
		if time.Since(seen) > peerQuiet {
			delete(n.peers, name)
			n.log.Warn().Int("event", int(eventer.PeerSilent)).Str("peer", name).Msg(eventer.PeerSilent.Name())
		}
	}
}

// Reload reads the settings again. Seeds take effect at once; addresses do at
// the next start.
func (n *Instance) Reload() {
	s, err := platform.LoadSettings(n.opts.Path)
	if err != nil {
		n.log.Warn().Int("event", int(eventer.SettingsBad)).Err(err).Msg(eventer.SettingsBad.Name())
		return
	}
	n.gossip.Seed(s.Seeds)
	n.log.Warn().Int("event", int(eventer.Reloaded)).Int("seeds", len(s.Seeds)).Msg(eventer.Reloaded.Name())
}

// Drain has clients and workers go elsewhere, and waits until all calls are
// answered or the time that the platform grants is nearly over.
func (n *Instance) Drain() {
	n.log.Warn().Int("event", int(eventer.Draining)).Msg(eventer.Draining.Name())
	began := time.Now()
	end := began.Add(max(n.settings.Grace/2, n.settings.Grace-endMargin))
	n.leaving.Store(true)
	n.gateway.Leave(end)
	n.driver.Leave()
	time.Sleep(min(leaveAfter, time.Until(end)/2))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := n.front.Shutdown(ctx); err != nil {
		n.log.Warn().Err(err).Msg("calls were cut off at the end of the grace time")
	}
	for answered := time.Now(); time.Since(answered) < stopPatience && !n.driver.Status().Idle; {
		time.Sleep(idlePoll)
	}
	n.log.Warn().Int("event", int(eventer.Drained)).Msg(eventer.Drained.Name())
}

// Close ends the instance and waits.
func (n *Instance) Close() {
	close(n.done)
	for _, s := range n.servers {
		// The listeners of an instance that ends have nothing to report.
		_ = s.Close()
	}
	if n.gossip != nil {
		n.gossip.Close()
	}
	n.follower.Close()
	n.driver.Close()
	n.wg.Wait()
	n.log.Warn().Int("event", int(eventer.Stopped)).Msg(eventer.Stopped.Name())
}
