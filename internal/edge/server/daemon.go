package server

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/heatherslip/heatherslip/internal/config/checker"
	"github.com/heatherslip/heatherslip/internal/core/dispatcher"
	"github.com/heatherslip/heatherslip/internal/edge/linker"
	"github.com/heatherslip/heatherslip/internal/edge/runner"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
)

// Daemon is an instance with its two listeners: one for callers and operators,
// and one for peers.
type Daemon struct {
	runner      *runner.Runner
	server      *Server
	log         zerolog.Logger
	name        string
	httpServers []*http.Server
	wg          sync.WaitGroup
	// API and Peer are the addresses that the daemon listens on.
	API, Peer string
}

// NewDaemon opens the listeners and starts the instance.
func NewDaemon(s *checker.Settings, log zerolog.Logger) (*Daemon, error) {
	api, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	peers, err := net.Listen("tcp", s.Peer)
	if err != nil {
		_ = api.Close()
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	d := &Daemon{log: log, name: s.Name, API: api.Addr().String(), Peer: peers.Addr().String()}
	advertise := s.Advertise
	if advertise == "" {
		advertise = d.Peer
	}
	d.runner, err = runner.New(runner.Options{
		Name: s.Name, Domain: s.Domain, Region: s.Region, PeerAddress: advertise,
		PlatformAddress: s.Platform, SeedAddresses: s.Seeds, PeerKey: s.PeerKey, TLS: s.TLS,
		Mode: parseMode(s.Mode), Log: log,
	})
	if err != nil {
		_ = api.Close()
		_ = peers.Close()
		return nil, err
	}
	d.server = New(d.runner)
	d.serveHTTP(d.server.HTTPServer(), api)
	mux := http.NewServeMux()
	mux.Handle(linker.Path, d.runner.LinkHandler())
	d.serveHTTP(&http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}, wrapTLS(peers, s.TLS))
	d.newLogEvent(eventer.Started).Str("listen", d.API).Str("peer", d.Peer).Msg(eventer.Started.Name())
	return d, nil
}

func parseMode(name string) dispatcher.Mode {
	if name == "log" {
		return dispatcher.ModeLog
	}
	return dispatcher.ModeHeir
}

func wrapTLS(ln net.Listener, config *tls.Config) net.Listener {
	if config == nil {
		return ln
	}
	return tls.NewListener(ln, config)
}

func (d *Daemon) serveHTTP(s *http.Server, ln net.Listener) {
	d.httpServers = append(d.httpServers, s)
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		_ = s.Serve(ln)
	}()
}

func (d *Daemon) newLogEvent(e eventer.Event) *zerolog.Event {
	return d.log.Info().Int("event", int(e)).Str("instance", d.name)
}

// Drain has the balancer send no new callers, finishes what is in flight and
// leaves the view.
func (d *Daemon) Drain(ctx context.Context) error {
	d.server.SetDraining()
	return d.runner.Drain(ctx)
}

// PeerMessages counts the messages that the instance has sent to peers.
func (d *Daemon) PeerMessages() int { return d.runner.PeerMessagesSent() }

// shutdownTimeout bounds how long answers that are being written are waited for.
const shutdownTimeout = 5 * time.Second

// Close stops the instance and waits until all it had open is closed.
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
	d.newLogEvent(eventer.Stopped).Msg(eventer.Stopped.Name())
	return err
}

// Kill stops the instance at once, as a crash would: nothing is finished and
// nobody is told.
func (d *Daemon) Kill() {
	for _, s := range d.httpServers {
		_ = s.Close()
	}
	d.runner.Close()
	d.wg.Wait()
}
