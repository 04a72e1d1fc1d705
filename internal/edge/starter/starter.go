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
	// readHeaderTimeout and idleTimeout bound what clients may hold open.
	readHeaderTimeout = 3 * time.Second
	idleTimeout       = 15 * time.Second
	// maintenanceInterval is the pace of looks at the settings file, and of the report
	// of dropped lines.
	maintenanceInterval = time.Second
	// deregisterDelay is how long a leaving instance takes new calls: the balancer
	// asks each second and needs two misses.
	deregisterDelay = 2500 * time.Millisecond
	// stopConfirmTimeout is how long a leaving instance waits for proof that runs
	// which nobody wants have stopped; after that its peers see to them.
	stopConfirmTimeout = 400 * time.Millisecond
	// shutdownMargin is kept before the end by force.
	shutdownMargin = 700 * time.Millisecond
	// idleCheckInterval is the pace of looks at whether all work has ended.
	idleCheckInterval = 20 * time.Millisecond
	// peerSilenceTimeout is how long a peer is silent before that is logged.
	peerSilenceTimeout = time.Second
)

// Instance is an entry instance on the platform.
type Instance struct {
	settings     *platform.Settings
	options      Options
	log          zerolog.Logger
	logRecorder  *recorder.Recorder
	driver       *driver.Driver
	gateway      *gateway.Gateway
	follower     *follower.Follower
	gossiper     *gossiper.Gossiper
	name         string
	runTag       atomic.Uint32
	draining     atomic.Bool
	clientServer *http.Server
	servers      []*http.Server
	done         chan struct{}
	wg           sync.WaitGroup

	mu           sync.Mutex
	peerLastSeen map[string]time.Time
	// invalidEntries are the keys of entries that can't be read and have been told.
	invalidEntries map[string]bool
}

// Options are what an instance is told beside the platform's settings.
type Options struct {
	// Path is that of the settings file, which is read again when it changes.
	Path string
	// MetricsPort serves the meters; zero leaves them to the peers' port.
	MetricsPort int
}

// New opens the listeners and starts the instance.
func New(s *platform.Settings, o Options, logRecorder *recorder.Recorder, log zerolog.Logger) (*Instance, error) {
	n := &Instance{
		settings: s, options: o, log: log, logRecorder: logRecorder, done: make(chan struct{}),
		name:         fmt.Sprintf("%s/%08x", s.Name, rand.Uint32()),
		peerLastSeen: make(map[string]time.Time), invalidEntries: make(map[string]bool),
	}
	n.runTag.Store(newRunTag())
	n.driver = driver.New(scheduler.Settings{
		Name: n.name, Domain: s.Domain, Tag: namer.RunTag(n.runTag.Load()), Power: s.Power,
		MaxLease: s.MaxLease, ResubmitAfter: s.ResubmitAfter,
	}, log)
	n.gateway = gateway.New(n.driver, log)
	n.follower = follower.New(platform.NewStore(s.Store), log, n.applyRecords)
	if err := n.startListeners(); err != nil {
		n.Close()
		return nil, err
	}
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		n.runMaintenance()
	}()
	log.Warn().Int("event", int(eventer.Started)).Str("instance", n.name).Str("domain", string(s.Domain)).
		Str("front", s.Front).Msg(eventer.Started.Name())
	return n, nil
}

func newRunTag() uint32 { return rand.Uint32N(uint32(namer.MaxRunTag)) + 1 }

func (n *Instance) startListeners() error {
	s := n.settings
	var err error
	n.gossiper, err = gossiper.New(n.name, s.IP, s.PeerPort, s.Seeds, n.ownHeartbeat, n)
	if err != nil {
		return err
	}
	n.driver.SetPeerSender(n.gossiper)
	clientListener, err := net.Listen("tcp", s.Front)
	if err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	n.clientServer = n.serveListener(clientListener, n.gateway)
	probeMux := http.NewServeMux()
	probeMux.HandleFunc(platform.ReadyPath, n.serveReadiness)
	if err := n.listenAndServe(s.Ready, probeMux); err != nil {
		return fmt.Errorf("listen for probes: %w", err)
	}
	peerMux := http.NewServeMux()
	peerMux.Handle(follower.CopyPath, n.follower)
	peerMux.Handle("/metrics", n.driver.Metrics())
	if err := n.listenAndServe(net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort)), peerMux); err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	if n.options.MetricsPort == 0 {
		return nil
	}
	metricsMux := http.NewServeMux()
	metricsMux.Handle("/metrics", n.driver.Metrics())
	if err := n.listenAndServe(net.JoinHostPort(s.IP, strconv.Itoa(n.options.MetricsPort)), metricsMux); err != nil {
		return fmt.Errorf("listen for scrapers: %w", err)
	}
	return nil
}

func (n *Instance) listenAndServe(address string, h http.Handler) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	n.serveListener(ln, h)
	return nil
}

func (n *Instance) serveListener(ln net.Listener, h http.Handler) *http.Server {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, ErrorLog: nil}
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

// serveReadiness answers the balancer: an instance takes calls while it has a
// configuration and reaches workers.
func (n *Instance) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	_, configured := n.gateway.ConfigVersion()
	if !configured || n.draining.Load() || !n.driver.Status().HasReachableWorker {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// applyRecords takes in what the store says.
func (n *Instance) applyRecords(t platform.Topic, records []platform.Record) {
	if t == platform.Operator {
		for _, r := range records {
			n.applyConfig(r)
		}
		return
	}
	entries := make([]platform.Worker, 0, len(records))
	for _, r := range records {
		w, err := platform.DecodeWorker(r.Key, r.Value)
		if err != nil {
			n.logInvalidEntry(r, err)
			w = platform.Worker{ListedWorker: scheduler.ListedWorker{ID: namer.Worker(r.Key), Gone: true}}
		}
		entries = append(entries, w)
	}
	n.driver.UpdateWorkers(entries)
}

func (n *Instance) applyConfig(r platform.Record) {
	c, err := platform.DecodeConfig(r.Value)
	if err != nil {
		n.log.Warn().Int("event", int(eventer.ConfigBad)).Uint64("offset", r.Offset).Err(err).Msg(eventer.ConfigBad.Name())
		return
	}
	applied := n.gateway.ApplyConfig(c)
	n.driver.Metrics().Gauge("config_version", int64(c.Version))
	n.log.Warn().Int("event", int(eventer.ConfigApplied)).Uint64("version", uint64(c.Version)).Bool("applied", applied).
		Int("routes", len(c.Routes)).Msg(eventer.ConfigApplied.Name())
}

// logInvalidEntry logs an entry that can't be read, once for each key.
func (n *Instance) logInvalidEntry(r platform.Record, err error) {
	n.mu.Lock()
	logged := n.invalidEntries[r.Key]
	n.invalidEntries[r.Key] = true
	n.mu.Unlock()
	if !logged {
		n.log.Warn().Int("event", int(eventer.ListBad)).Err(err).Msg(eventer.ListBad.Name())
	}
}

// ownHeartbeat is what this instance tells its peers.
func (n *Instance) ownHeartbeat() gossiper.Heartbeat {
	config, list := n.follower.NextOffsets()
	st := n.driver.Status()
	return gossiper.Heartbeat{
		Domain: n.settings.Domain, RunTag: namer.RunTag(n.runTag.Load()),
		FreeSlots: st.FreeSlots, NextConfigOffset: config, NextWorkerOffset: list, Draining: n.draining.Load(),
		CPULimit: n.settings.Power,
	}
}

// HandleMessage takes in a peer's letter.
func (n *Instance) HandleMessage(from string, l scheduler.Letter) {
	n.driver.PushEvent(scheduler.Told{From: from, Letter: l})
}

// HandleHeartbeat takes in what a peer says of itself.
func (n *Instance) HandleHeartbeat(h gossiper.Heartbeat) {
	if h.RunTag == namer.RunTag(n.runTag.Load()) && h.Name < n.name {
		n.runTag.Store(newRunTag())
		n.driver.SetRunTag(namer.RunTag(n.runTag.Load()))
	}
	n.mu.Lock()
	_, known := n.peerLastSeen[h.Name]
	n.peerLastSeen[h.Name] = time.Now()
	n.mu.Unlock()
	if !known {
		n.log.Warn().Int("event", int(eventer.PeerHeard)).Str("peer", h.Name).Msg(eventer.PeerHeard.Name())
	}
	n.driver.QueueHeartbeat(scheduler.PeerHeard{Name: h.Name, Domain: h.Domain, Tag: h.RunTag, Slots: h.FreeSlots, Leaving: h.Draining, Power: h.CPULimit})
	n.follower.FetchFromPeer(netip.AddrPortFrom(h.SourceAddr, uint16(n.settings.PeerPort)).String(), h.NextConfigOffset, h.NextWorkerOffset)
}

// runMaintenance looks after what is slow: silent peers, changed settings, and lines
// that were dropped.
func (n *Instance) runMaintenance() {
	t := time.NewTicker(maintenanceInterval)
	defer t.Stop()
	var modTime time.Time
	if info, err := os.Stat(n.options.Path); err == nil {
		modTime = info.ModTime()
	}
	for {
		select {
		case <-n.done:
			return
		case <-t.C:
		}
		n.removeSilentPeers()
		if dropped := n.logRecorder.TakeUnreported(); dropped > 0 {
			n.log.Warn().Int("event", int(eventer.LinesDropped)).Int("lines", dropped).Msg(eventer.LinesDropped.Name())
		}
		if info, err := os.Stat(n.options.Path); err == nil && !info.ModTime().Equal(modTime) {
			modTime = info.ModTime()
			n.Reload()
		}
	}
}

func (n *Instance) removeSilentPeers() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, seen := range n.peerLastSeen {
		if time.Since(seen) > peerSilenceTimeout {
			delete(n.peerLastSeen, name)
			n.log.Warn().Int("event", int(eventer.PeerSilent)).Str("peer", name).Msg(eventer.PeerSilent.Name())
		}
	}
}

// Reload reads the settings again. Seeds take effect at once; addresses do at
// the next start.
func (n *Instance) Reload() {
	s, err := platform.LoadSettings(n.options.Path)
	if err != nil {
		n.log.Warn().Int("event", int(eventer.SettingsBad)).Err(err).Msg(eventer.SettingsBad.Name())
		return
	}
	n.gossiper.AddSeeds(s.Seeds)
	n.log.Warn().Int("event", int(eventer.Reloaded)).Int("seeds", len(s.Seeds)).Msg(eventer.Reloaded.Name())
}

// Drain has clients and workers go elsewhere, and waits until all calls are
// answered or the time that the platform grants is nearly over.
func (n *Instance) Drain() {
	n.log.Warn().Int("event", int(eventer.Draining)).Msg(eventer.Draining.Name())
	start := time.Now()
	end := start.Add(max(n.settings.Grace/2, n.settings.Grace-shutdownMargin))
	n.draining.Store(true)
	n.gateway.StartDraining(end)
	n.driver.StartDraining()
	time.Sleep(min(deregisterDelay, time.Until(end)/2))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := n.clientServer.Shutdown(ctx); err != nil {
		n.log.Warn().Err(err).Msg("calls were cut off at the end of the grace time")
	}
	for clientsDone := time.Now(); time.Since(clientsDone) < stopConfirmTimeout && !n.driver.Status().Idle; {
		time.Sleep(idleCheckInterval)
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
	if n.gossiper != nil {
		n.gossiper.Close()
	}
	n.follower.Close()
	n.driver.Close()
	n.wg.Wait()
	n.log.Warn().Int("event", int(eventer.Stopped)).Msg(eventer.Stopped.Name())
}
