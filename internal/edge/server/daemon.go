package server

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/heatherslip/heatherslip/internal/config/settingsloader"
	"github.com/heatherslip/heatherslip/internal/core/dispatcher"
	"github.com/heatherslip/heatherslip/internal/edge/limiter"
	"github.com/heatherslip/heatherslip/internal/edge/messenger"
	"github.com/heatherslip/heatherslip/internal/edge/runner"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
)

// Daemon is an instance with two listeners: one for clients and operators, and
// one for peers.
type Daemon struct {
	runner      *runner.Runner
	server      *Server
	log         zerolog.Logger
	name        string
	httpServers []*http.Server
	wg          sync.WaitGroup
	// APIAddress and PeerAddress are the addresses on which the daemon listens for
	// clients and for peers.
	APIAddress, PeerAddress string
}

// NewDaemon opens the listeners and starts the instance. It returns an error if
// a listener cannot be opened or the instance cannot start.
func NewDaemon(settings *settingsloader.Settings, log zerolog.Logger) (*Daemon, error) {
	apiListener, err := limiter.Listen(settings.ListenAddress)
	if err != nil {
		return nil, fmt.Errorf("listen for clients: %w", err)
	}
	peerListener, err := net.Listen("tcp", settings.PeerListenAddress)
	if err != nil {
		_ = apiListener.Close()
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	d := &Daemon{log: log, name: settings.Name, APIAddress: apiListener.Addr().String(), PeerAddress: peerListener.Addr().String()}
	advertise := settings.AdvertisedPeerAddress
	if advertise == "" {
		advertise = d.PeerAddress
	}
	d.runner, err = runner.New(runner.Options{
		Name: settings.Name, Domain: settings.Domain, Region: settings.Region, PeerAddress: advertise,
		PlatformAddress: settings.PlatformAddress, SeedAddresses: settings.SeedAddresses, PeerKey: settings.PeerKey, TLS: settings.TLS,
		Mode: parseMode(settings.Mode), Log: log,
	})
	if err != nil {
		_ = apiListener.Close()
		_ = peerListener.Close()
		return nil, err
	}
	d.server = New(d.runner)
	d.serveAPI(apiListener)
	mux := http.NewServeMux()
	mux.Handle(messenger.Path, d.runner.LinkHandler())
	d.serveHTTP(&http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}, wrapTLS(peerListener, settings.TLS))
	d.newLogEvent(eventer.InstanceStarted).Str("listen", d.APIAddress).Str("peer", d.PeerAddress).Msg(eventer.InstanceStarted.Name())
	return d, nil
}

// serveAPI serves clients and operators on a limited number of connections.
func (d *Daemon) serveAPI(ln net.Listener) {
	displaced := metrics.GetOrRegisterCounter("connections.displaced", d.runner.Metrics())
	limited := limiter.NewListener(ln, connectionLimit(), func() { displaced.Inc(1) })
	apiServer := d.server.HTTPServer()
	limited.Track(apiServer)
	d.serveHTTP(apiServer, limited)
}

// connectionLimit returns how many connections of clients may be open at once: half of the
// descriptors that the process may have, and maxConnections at most.
func connectionLimit() int {
	var descriptors syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptors); err != nil {
		return maxConnections
	}
	return int(min(descriptors.Cur/2, maxConnections))
}

func parseMode(mode string) dispatcher.Mode {
	if mode == "log" {
		return dispatcher.ModeLog
	}
	return dispatcher.ModeReplicate
}

func wrapTLS(ln net.Listener, config *tls.Config) net.Listener {
	if config == nil {
		return ln
	}
	return tls.NewListener(ln, config)
}

func (d *Daemon) serveHTTP(server *http.Server, ln net.Listener) {
	d.httpServers = append(d.httpServers, server)
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		_ = server.Serve(ln)
	}()
}

func (d *Daemon) newLogEvent(e eventer.Event) *zerolog.Event {
	return d.log.Info().Int("event", int(e)).Str("instance", d.name)
}

// Drain makes the readiness check fail, finishes the work in flight and leaves
// the view. It returns an error if ctx ends first.
func (d *Daemon) Drain(ctx context.Context) error {
	d.server.SetDraining()
	return d.runner.Drain(ctx)
}

// PeerMessagesSent returns the number of messages sent to peers.
func (d *Daemon) PeerMessagesSent() int { return d.runner.PeerMessagesSent() }

// maxConnections bounds the connections of clients that are open at once.
const maxConnections = 8192

// shutdownTimeout is how long Close waits for calls in progress.
const shutdownTimeout = 5 * time.Second

// Close stops the instance and closes its listeners and connections.
func (d *Daemon) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := d.httpServers[0].Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = d.httpServers[0].Close()
	}
	d.runner.Close()
	for _, s := range d.httpServers {
		_ = s.Close()
	}
	d.wg.Wait()
	d.newLogEvent(eventer.InstanceStopped).Msg(eventer.InstanceStopped.Name())
	return err
}

// Kill simulates a crash: it stops the instance immediately, without finishing
// work in flight or notifying peers.
func (d *Daemon) Kill() {
	for _, s := range d.httpServers {
		_ = s.Close()
	}
	d.runner.Close()
	d.wg.Wait()
}
