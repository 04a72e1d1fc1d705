// Package assembler puts a whole fleet together on the loopback interface: a
// platform of stand-ins and several entry instances in one process.
package assembler

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/heatherslip/heatherslip/internal/cli/client"
	"github.com/heatherslip/heatherslip/internal/config/checker"
	"github.com/heatherslip/heatherslip/internal/config/generator"
	"github.com/heatherslip/heatherslip/internal/edge/server"
	"github.com/heatherslip/heatherslip/internal/standin/emulator"
	"github.com/heatherslip/heatherslip/internal/wire/describer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Options say what a fleet consists of.
type Options struct {
	Site      emulator.Site
	Instances int
	// Questionnaire is published as the first revision.
	Questionnaire string
	Token         string
	Team          namer.Team
	// Mode is "heir" or "log".
	Mode string
	Log  zerolog.Logger
}

// Fleet is a running fleet. Instances may be killed while others are called.
type Fleet struct {
	opts     Options
	Platform *emulator.Platform
	Clients  []*client.Client
	next     int

	mu sync.Mutex
	// daemons are nil where an instance was killed.
	daemons []*server.Daemon
}

var errNotReady = errors.New("the fleet was not ready in time")

// New starts a fleet, publishes its configuration and waits until all
// instances have settled.
func New(ctx context.Context, opts Options) (*Fleet, error) {
	platform, err := emulator.New("127.0.0.1:0", opts.Site)
	if err != nil {
		return nil, err
	}
	f := &Fleet{opts: opts, Platform: platform}
	for range opts.Instances {
		if err := f.Add(); err != nil {
			f.Close()
			return nil, err
		}
	}
	if err := f.begin(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Add starts one more instance, in the failure domain whose turn it is.
func (f *Fleet) Add() error {
	domains := f.opts.Site.Domains
	domain := domains[f.next%len(domains)]
	name := fmt.Sprintf("%s-e%d", domain, f.next/len(domains))
	f.next++
	d, err := server.NewDaemon(&checker.Settings{
		Name: name, Domain: namer.Domain(domain), Listen: "127.0.0.1:0", Peer: "127.0.0.1:0",
		Platform: f.Platform.Addr(), PeerKey: "assembled", Mode: f.opts.Mode,
	}, f.opts.Log)
	if err != nil {
		return err
	}
	f.Platform.Register(describer.ListInstance{Name: name, Peer: d.Peer})
	f.daemons = append(f.daemons, d)
	f.Clients = append(f.Clients, client.New(d.API, f.opts.Token, f.opts.Team))
	return nil
}

// Kill stops an instance as a crash would.
func (f *Fleet) Kill(i int) {
	f.mu.Lock()
	d := f.daemons[i]
	f.daemons[i] = nil
	f.mu.Unlock()
	if d != nil {
		d.Kill()
	}
}

// Daemon returns an instance, or nil where it was killed.
func (f *Fleet) Daemon(i int) *server.Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.daemons[i]
}

// Living reports whether an instance was not killed.
func (f *Fleet) Living(i int) bool { return f.Daemon(i) != nil }

// PeerMessages counts the messages that the living instances have sent to one
// another.
func (f *Fleet) PeerMessages() int {
	total := 0
	for i := range f.Clients {
		if d := f.Daemon(i); d != nil {
			total += d.PeerMessages()
		}
	}
	return total
}

// Close stops everything and waits for it.
func (f *Fleet) Close() {
	for i := range f.Clients {
		f.Kill(i)
	}
	for _, c := range f.Clients {
		c.Close()
	}
	f.Platform.Close()
}

func (f *Fleet) begin(ctx context.Context) error {
	answers, err := generator.Read(f.opts.Questionnaire)
	if err != nil {
		return err
	}
	text := generator.Text(generator.Generate(answers))
	published, err := f.Clients[0].Publish(ctx, server.PublishBody{Text: text, By: "assembler"})
	if err != nil {
		return err
	}
	if published.Verdict != server.Accepted {
		return fmt.Errorf("first revision is %s: %v", published.Verdict, published.Findings)
	}
	return f.AwaitSettled(ctx, f.opts.Instances)
}

// settleLook is the pause between two looks at whether a fleet has settled.
const settleLook = 20 * time.Millisecond

// AwaitSettled waits until each living instance sees n members, all settled.
func (f *Fleet) AwaitSettled(ctx context.Context, n int) error {
	for ctx.Err() == nil {
		if f.settled(ctx, n) {
			return nil
		}
		time.Sleep(settleLook)
	}
	return errNotReady
}

func (f *Fleet) settled(ctx context.Context, n int) bool {
	for i, c := range f.Clients {
		if !f.Living(i) {
			continue
		}
		lines, err := c.Instances(ctx)
		if err != nil || len(lines) != n {
			return false
		}
		for _, l := range lines {
			if !l.Settled {
				return false
			}
		}
		workers, err := c.Workers(ctx)
		if err != nil || !allLeased(workers) {
			return false
		}
	}
	return true
}

func allLeased(workers []server.WorkerLine) bool {
	for _, w := range workers {
		if !w.Lease {
			return false
		}
	}
	return len(workers) > 0
}
