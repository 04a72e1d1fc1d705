// Package fleetstarter runs a whole fleet in one process, on the loopback interface: an
// emulated platform and several instances. It is for tests, load tests and
// demonstrations.
package fleetstarter

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/heatherslip/heatherslip/internal/cli/client"
	"github.com/heatherslip/heatherslip/internal/config/generator"
	"github.com/heatherslip/heatherslip/internal/config/settingsloader"
	"github.com/heatherslip/heatherslip/internal/edge/server"
	"github.com/heatherslip/heatherslip/internal/standin/emulator"
	"github.com/heatherslip/heatherslip/internal/wire/describer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Fleet is a running fleet. Instances may be killed while other instances serve calls.
type Fleet struct {
	opts     Options
	Platform *emulator.Platform
	// Clients contains a client for each instance, killed ones included.
	Clients          []*client.Client
	startedInstances int

	mu sync.Mutex
	// daemons contains nil for each killed instance.
	daemons []*server.Daemon
}

// Options configures a fleet.
type Options struct {
	Site      emulator.Site
	Instances int
	// Questionnaire is published as the first revision.
	Questionnaire string
	Token         string
	Team          namer.Team
	// Mode is what acknowledges submissions: the successor ("heir") or the log ("log").
	Mode string
	Log  zerolog.Logger
}

var errNotReady = errors.New("the fleet was not synced in time")

// New starts a fleet, publishes its first revision and waits until all instances are
// synced.
func New(ctx context.Context, opts Options) (*Fleet, error) {
	platform, err := emulator.New("127.0.0.1:0", opts.Site)
	if err != nil {
		return nil, err
	}
	f := &Fleet{opts: opts, Platform: platform}
	for range opts.Instances {
		if err := f.StartInstance(); err != nil {
			f.Close()
			return nil, err
		}
	}
	if err := f.publishAndAwaitSync(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// StartInstance starts one more instance. Failure domains are assigned round-robin.
func (f *Fleet) StartInstance() error {
	domains := f.opts.Site.Domains
	domain := domains[f.startedInstances%len(domains)]
	name := fmt.Sprintf("%s-e%d", domain, f.startedInstances/len(domains))
	f.startedInstances++
	daemon, err := server.NewDaemon(&settingsloader.Settings{
		Name: name, Domain: namer.Domain(domain), ListenAddress: "127.0.0.1:0", PeerListenAddress: "127.0.0.1:0",
		PlatformAddress: f.Platform.Addr(), PeerKey: "assembled", Mode: f.opts.Mode,
	}, f.opts.Log)
	if err != nil {
		return err
	}
	f.Platform.RegisterInstance(describer.ListInstance{Name: name, PeerAddress: daemon.PeerAddress})
	f.daemons = append(f.daemons, daemon)
	f.Clients = append(f.Clients, client.New(daemon.APIAddress, f.opts.Token, f.opts.Team))
	return nil
}

// KillInstance stops an instance without a graceful shutdown, like a crash.
func (f *Fleet) KillInstance(i int) {
	f.mu.Lock()
	daemon := f.daemons[i]
	f.daemons[i] = nil
	f.mu.Unlock()
	if daemon != nil {
		daemon.Kill()
	}
}

// Daemon returns an instance, or nil if it was killed.
func (f *Fleet) Daemon(i int) *server.Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.daemons[i]
}

// IsAlive reports whether an instance is running, that is, was not killed.
func (f *Fleet) IsAlive(i int) bool { return f.Daemon(i) != nil }

// PeerMessagesSent returns the number of messages that the live instances have sent to
// their peers.
func (f *Fleet) PeerMessagesSent() int {
	total := 0
	for i := range f.Clients {
		if daemon := f.Daemon(i); daemon != nil {
			total += daemon.PeerMessagesSent()
		}
	}
	return total
}

// Close kills all instances, closes the clients and stops the platform.
func (f *Fleet) Close() {
	for i := range f.Clients {
		f.KillInstance(i)
	}
	for _, c := range f.Clients {
		c.Close()
	}
	f.Platform.Close()
}

// publishAndAwaitSync publishes the first revision and waits until all instances are
// synced.
func (f *Fleet) publishAndAwaitSync(ctx context.Context) error {
	answers, err := generator.ParseAnswers(f.opts.Questionnaire)
	if err != nil {
		return err
	}
	configText := generator.FormatConfig(generator.GenerateConfig(answers))
	published, err := f.Clients[0].Publish(ctx, server.PublishBody{Text: configText, Author: "assembler"})
	if err != nil {
		return err
	}
	if published.Verdict != server.PublishAccepted {
		return fmt.Errorf("publish first revision: verdict %s, findings %v", published.Verdict, published.Findings)
	}
	return f.AwaitSynced(ctx, f.opts.Instances)
}

// syncPollInterval is the pause between checks whether the fleet is synced.
const syncPollInterval = 20 * time.Millisecond

// AwaitSynced waits until each live instance lists the given number of members, all of
// them synced, and has a lease on all its workers.
func (f *Fleet) AwaitSynced(ctx context.Context, members int) error {
	for ctx.Err() == nil {
		if f.isSynced(ctx, members) {
			return nil
		}
		time.Sleep(syncPollInterval)
	}
	return errNotReady
}

// isSynced reports whether the condition of AwaitSynced holds.
func (f *Fleet) isSynced(ctx context.Context, members int) bool {
	for i, c := range f.Clients {
		if !f.IsAlive(i) {
			continue
		}
		statuses, err := c.Instances(ctx)
		if err != nil || len(statuses) != members {
			return false
		}
		for _, status := range statuses {
			if !status.Synced {
				return false
			}
		}
		workers, err := c.Workers(ctx)
		if err != nil || !allWorkersLeased(workers) {
			return false
		}
	}
	return true
}

// allWorkersLeased reports whether there are workers and all of them are leased.
func allWorkersLeased(workers []server.WorkerStatus) bool {
	for _, w := range workers {
		if !w.HasLease {
			return false
		}
	}
	return len(workers) > 0
}
