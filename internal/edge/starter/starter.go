// Package starter assembles and runs an entry instance on the platform: its
// listeners, the scheduler, the copy of the store and the exchange with peers.
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

	"github.com/heatherslip/heatherslip/internal/core/registrar"
	"github.com/heatherslip/heatherslip/internal/core/scheduler"
	"github.com/heatherslip/heatherslip/internal/edge/driver"
	"github.com/heatherslip/heatherslip/internal/edge/follower"
	"github.com/heatherslip/heatherslip/internal/edge/gateway"
	"github.com/heatherslip/heatherslip/internal/edge/gossiper"
	"github.com/heatherslip/heatherslip/internal/edge/limiter"
	"github.com/heatherslip/heatherslip/internal/edge/logwriter"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
	"github.com/heatherslip/heatherslip/platform"
)

const (
	// readHeaderTimeout bounds the time for reading a request's header, and
	// idleTimeout how long an idle connection stays open.
	readHeaderTimeout = 3 * time.Second
	idleTimeout       = 15 * time.Second
	// maintenanceInterval is the interval at which the settings file is checked for
	// changes and dropped log lines are reported.
	maintenanceInterval = time.Second
	// deregisterDelay is how long a draining instance accepts new requests. The load
	// balancer probes each second and removes an instance after two failed probes.
	deregisterDelay = 2500 * time.Millisecond
	// stopConfirmTimeout is how long a draining instance waits for confirmation that
	// runs which are no longer needed have stopped. After that it leaves them to its
	// peers.
	stopConfirmTimeout = 400 * time.Millisecond
	// shutdownMargin is the time kept free before the platform kills the process.
	shutdownMargin = 700 * time.Millisecond
	// idleCheckInterval is the interval of checks whether all runs have ended.
	idleCheckInterval = 20 * time.Millisecond
)

// Instance is an entry instance on the platform.
type Instance struct {
	settings  *platform.Settings
	options   Options
	log       zerolog.Logger
	logWriter *logwriter.Writer
	driver    *driver.Driver
	bodies    *limiter.Bodies
	gateway   *gateway.Gateway
	follower  *follower.Follower
	gossiper  *gossiper.Gossiper
	// name is the instance's name with a random suffix chosen at each start.
	name         string
	runTag       atomic.Uint32
	draining     atomic.Bool
	clientServer *http.Server
	servers      []*http.Server
	done         chan struct{}
	wg           sync.WaitGroup

	mu sync.Mutex
	// invalidEntries holds the workers whose entries have been logged as invalid.
	invalidEntries map[namer.Worker]bool
}

// Options holds the settings of an instance that don't come from the platform.
type Options struct {
	// SettingsPath is the path of the settings file, which is reloaded when it changes.
	SettingsPath string
	// MetricsPort is an additional port that serves the metrics. If it is zero, they
	// are served only on the port for peers.
	MetricsPort int
	// IgnoresInterference is set if tasks that slow each other down on one worker are not
	// kept apart.
	IgnoresInterference bool
}

// New opens the listeners and starts the instance. It doesn't close logWriter.
func New(s *platform.Settings, o Options, logWriter *logwriter.Writer, log zerolog.Logger) (*Instance, error) {
	n := &Instance{
		settings: s, options: o, log: log, logWriter: logWriter, done: make(chan struct{}),
		name:           fmt.Sprintf("%s/%08x", s.Name, rand.Uint32()),
		invalidEntries: make(map[namer.Worker]bool),
	}
	n.runTag.Store(newRunTag())
	n.driver = driver.New(scheduler.Settings{
		Name: n.name, Addr: s.IP, Seeds: s.Seeds, Domain: s.Domain, RunTag: namer.RunTag(n.runTag.Load()), CPULimit: s.CPULimit,
		MaxLease: s.MaxLease, ResubmitAfter: s.ResubmitAfter, AwaitsEvacuations: true, DrainTime: s.DrainTime, SpreadFactor: s.SpreadFactor,
		IgnoresInterference: o.IgnoresInterference,
	}, log)
	n.bodies = limiter.NewBodies(bodyMemory(s), bodyTimeout)
	n.gateway = gateway.New(n.driver, n.bodies, log)
	n.follower = follower.New(platform.NewStoreClient(s.StoreAddress), log, n, func() bool { return n.driver.Status().NeedsWorkerList })
	n.driver.SetRefresher(n.follower.Refresh)
	if err := n.startListeners(); err != nil {
		n.Close()
		return nil, err
	}
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		n.runMaintenance()
	}()
	log.Warn().Int("event", int(eventer.InstanceStarted)).Str("instance", n.name).Str("domain", string(s.Domain)).
		Str("front", s.FrontAddress).Uint32("tag", n.runTag.Load()).Msg(eventer.InstanceStarted.Name())
	return n, nil
}

func newRunTag() uint32 { return rand.Uint32N(uint32(namer.MaxRunTag)) + 1 }

// startListeners starts the gossiper and the HTTP servers for clients, readiness
// probes, peers and metrics.
func (n *Instance) startListeners() error {
	s := n.settings
	var err error
	n.gossiper, err = gossiper.New(n.name, s.IP, s.PeerPort, n)
	if err != nil {
		return err
	}
	n.driver.SetPeerSender(n)
	if err := n.listenForClients(); err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	probeMux := http.NewServeMux()
	probeMux.HandleFunc(platform.ReadyPath, n.serveReadiness)
	if err := n.listenAndServe(s.ReadyAddress, probeMux); err != nil {
		return fmt.Errorf("listen for readiness probes: %w", err)
	}
	peerMux := http.NewServeMux()
	peerMux.Handle(follower.CopyPath, n.follower)
	peerMux.Handle("/metrics", n.driver.Metrics())
	if err := n.listenAndServe(net.JoinHostPort(s.IP.String(), strconv.Itoa(s.PeerPort)), peerMux); err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	if n.options.MetricsPort == 0 {
		return nil
	}
	metricsMux := http.NewServeMux()
	metricsMux.Handle("/metrics", n.driver.Metrics())
	if err := n.listenAndServe(net.JoinHostPort(s.IP.String(), strconv.Itoa(n.options.MetricsPort)), metricsMux); err != nil {
		return fmt.Errorf("listen for metrics requests: %w", err)
	}
	return nil
}

func (n *Instance) listenForClients() error {
	ln, err := limiter.Listen(n.settings.FrontAddress)
	if err != nil {
		return err
	}
	limited := limiter.NewListener(ln, connectionLimit(n.settings), func() { n.driver.Metrics().Count("connections_displaced", 1) })
	n.clientServer = newServer(limiter.Handler(n.gateway, n.bodies))
	limited.Track(n.clientServer)
	n.serveListener(limited, n.clientServer)
	return nil
}

func (n *Instance) listenAndServe(address string, h http.Handler) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	n.serveListener(ln, newServer(h))
	return nil
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// serveListener lets a server serve a listener until Close closes it.
func (n *Instance) serveListener(ln net.Listener, srv *http.Server) {
	n.servers = append(n.servers, srv)
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			n.log.Error().Err(err).Str("address", ln.Addr().String()).Msg("listener failed")
		}
	}()
}

// serveReadiness answers the probes of the load balancer. An instance is ready if
// it has a configuration, isn't draining and can reach a worker.
func (n *Instance) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	_, configured := n.gateway.ConfigVersion()
	if !configured || n.draining.Load() || !n.driver.Status().HasReachableWorker {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ApplyConfig applies a newer record of the configuration.
func (n *Instance) ApplyConfig(r platform.Record) {
	c, err := platform.DecodeConfig(r.Value)
	if err != nil {
		n.log.Warn().Int("event", int(eventer.ConfigRejected)).Uint64("offset", r.Offset).Err(err).Msg(eventer.ConfigRejected.Name())
		return
	}
	applied := n.gateway.ApplyConfig(c)
	n.driver.Metrics().Gauge("config_version", int64(c.Version))
	n.log.Warn().Int("event", int(eventer.ConfigApplied)).Uint64("version", uint64(c.Version)).Bool("applied", applied).
		Int("routes", len(c.Routes)).Msg(eventer.ConfigApplied.Name())
}

// ApplyEvacuations applies the evacuations in force.
func (n *Instance) ApplyEvacuations(requests []platform.Record, readAt time.Time) {
	var domains []namer.Domain
	for _, r := range requests {
		domain, err := platform.DecodeEvacuation(r)
		if err != nil {
			n.log.Warn().Int("event", int(eventer.EvacuationUnreadable)).Str("domain", string(domain)).Err(err).
				Msg(eventer.EvacuationUnreadable.Name())
		}
		if domain != "" {
			domains = append(domains, domain)
		}
	}
	n.driver.UpdateEvacuations(domains, readAt)
}

// ApplyWorkers applies changes of the worker list.
func (n *Instance) ApplyWorkers(changes []follower.WorkerChange) {
	entries := make([]platform.WorkerEntry, len(changes))
	for i, c := range changes {
		entries[i] = c.Entry
		if c.Err != nil {
			n.logInvalidEntry(c)
		}
	}
	n.driver.UpdateWorkers(entries)
}

// logInvalidEntry logs a worker list entry that can't be decoded, once per worker.
func (n *Instance) logInvalidEntry(c follower.WorkerChange) {
	n.mu.Lock()
	logged := n.invalidEntries[c.Entry.ID]
	n.invalidEntries[c.Entry.ID] = true
	n.mu.Unlock()
	if !logged {
		n.log.Warn().Int("event", int(eventer.ListEntryRejected)).Err(c.Err).Msg(eventer.ListEntryRejected.Name())
	}
}

// SendHeartbeat sends a heartbeat to peers, with the offsets up to which this
// instance has the store's data.
func (n *Instance) SendHeartbeat(to []netip.Addr, h registrar.Heartbeat) {
	h.ConfigOffset, h.WorkerListOffset = n.follower.Offsets()
	n.gossiper.SendHeartbeat(to, h)
}

// SendMessage sends a message to a peer and returns the number of bytes sent.
func (n *Instance) SendMessage(to netip.Addr, m scheduler.PeerMessage) int {
	return n.gossiper.SendMessage(to, m)
}

// HandleMessage passes a peer's message to the scheduler.
func (n *Instance) HandleMessage(m scheduler.MessageReceived) { n.driver.PushEvent(m) }

// HandleInvalidDatagram counts a datagram that no peer of this version sends.
func (n *Instance) HandleInvalidDatagram(from netip.Addr, err error) {
	n.driver.Metrics().Count("datagrams_invalid", 1)
	n.log.Debug().Str("from", from.String()).Err(err).Msg("invalid datagram")
}

// HandleHeartbeat handles a peer's heartbeat. If the peer has the same run tag, the
// instance whose name is higher takes a new one. The follower may fetch the peer's
// copy of the store's data if it is newer.
func (n *Instance) HandleHeartbeat(h registrar.Heartbeat) {
	if h.RunTag == namer.RunTag(n.runTag.Load()) && h.Name < n.name {
		n.runTag.Store(newRunTag())
		n.driver.SetRunTag(namer.RunTag(n.runTag.Load()))
		n.log.Warn().Int("event", int(eventer.RunTagChanged)).Uint32("tag", n.runTag.Load()).Str("peer", h.Name).Msg(eventer.RunTagChanged.Name())
	}
	n.driver.QueueHeartbeat(h)
	n.follower.FetchFromPeer(netip.AddrPortFrom(h.SourceAddr, uint16(n.settings.PeerPort)).String(), h.ConfigOffset, h.WorkerListOffset)
}

// runMaintenance reports dropped log lines and reloads
// changed settings at regular intervals.
func (n *Instance) runMaintenance() {
	t := time.NewTicker(maintenanceInterval)
	defer t.Stop()
	var modTime time.Time
	if info, err := os.Stat(n.options.SettingsPath); err == nil {
		modTime = info.ModTime()
	}
	for {
		select {
		case <-n.done:
			return
		case <-t.C:
		}
		if dropped := n.logWriter.TakeUnreportedDrops(); dropped > 0 {
			n.log.Warn().Int("event", int(eventer.LogLinesDropped)).Int("lines", dropped).Msg(eventer.LogLinesDropped.Name())
		}
		if info, err := os.Stat(n.options.SettingsPath); err == nil && !info.ModTime().Equal(modTime) {
			modTime = info.ModTime()
			n.ReloadSettings()
		}
	}
}

// ReloadSettings reads the settings again. New seeds take effect at once, changed
// addresses only after a restart. Invalid settings are logged and ignored.
func (n *Instance) ReloadSettings() {
	s, err := platform.LoadSettings(n.options.SettingsPath)
	if err != nil {
		n.log.Warn().Int("event", int(eventer.SettingsRejected)).Err(err).Msg(eventer.SettingsRejected.Name())
		return
	}
	n.driver.PushEvent(scheduler.SeedsAdded{Seeds: s.Seeds})
	n.log.Warn().Int("event", int(eventer.SettingsReloaded)).Int("seeds", len(s.Seeds)).Msg(eventer.SettingsReloaded.Name())
}

// Drain hands clients and workers over to other instances, and waits until all
// requests are answered or the platform's grace period is nearly over.
func (n *Instance) Drain() {
	n.log.Warn().Int("event", int(eventer.InstanceDraining)).Msg(eventer.InstanceDraining.Name())
	start := time.Now()
	deadline := start.Add(max(n.settings.GracePeriod/2, n.settings.GracePeriod-shutdownMargin))
	n.draining.Store(true)
	n.gateway.StartDraining(deadline)
	n.driver.StartDraining()
	time.Sleep(min(deregisterDelay, time.Until(deadline)/2))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := n.clientServer.Shutdown(ctx); err != nil {
		n.log.Warn().Err(err).Msg("requests were cut off at the end of the grace period")
	}
	for clientsDone := time.Now(); time.Since(clientsDone) < stopConfirmTimeout && !n.driver.Status().Idle; {
		time.Sleep(idleCheckInterval)
	}
	n.log.Warn().Int("event", int(eventer.InstanceDrained)).Msg(eventer.InstanceDrained.Name())
}

// Close stops the instance and waits for its goroutines.
func (n *Instance) Close() {
	close(n.done)
	for _, s := range n.servers {
		// An error while closing a listener has no consequence at shutdown.
		_ = s.Close()
	}
	if n.gossiper != nil {
		n.gossiper.Close()
	}
	n.follower.Close()
	n.driver.Close()
	n.wg.Wait()
	n.log.Warn().Int("event", int(eventer.InstanceStopped)).Msg(eventer.InstanceStopped.Name())
}
