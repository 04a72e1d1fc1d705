// Package discoverer lets the instances of a site find each other in the platform's
// store, so that they do not depend on the seeds in the settings, which may be down.
package discoverer

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/heatherslip/heatherslip/internal/core/registrar"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
	"github.com/heatherslip/heatherslip/platform"
)

const (
	// initialRetryDelay and maxRetryDelay bound the backoff while the store is down.
	initialRetryDelay = 100 * time.Millisecond
	maxRetryDelay     = 2 * time.Second
	// publishInterval is the interval at which an instance writes its record. A record
	// is outdated after maxRecordAge further ones: more than the instances of the
	// largest site write in that time. A read deletes up to maxDeletions of them.
	publishInterval = 10 * time.Minute
	maxRecordAge    = 8192
	maxDeletions    = 8
	// searchInterval is the interval of reads while this instance knows no others.
	searchInterval = 2 * time.Second
	// searchCheckInterval is how often it is checked whether it does.
	searchCheckInterval = 250 * time.Millisecond
)

// entry is the record of an instance in the store. Its key is the name of the
// instance, which stays the same over restarts.
type entry struct {
	Addr   netip.Addr       `cbor:"addr"`
	Domain namer.Domain     `cbor:"domain"`
	Limit  namer.MilliCores `cbor:"limit"`
}

// Discoverer publishes the address of this instance and reads those of the others.
// Create one with New.
type Discoverer struct {
	store *platform.StoreClient
	log   zerolog.Logger
	name  string
	self  entry
	// isSearching reports whether this instance knows no others.
	isSearching func() bool
	onFound     func([]registrar.Instance)
	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup
}

// New starts to publish this instance under its name, and to read the others: once at
// first, and then as long as isSearching returns true. It passes them to onFound.
func New(store *platform.StoreClient, log zerolog.Logger, name string, self registrar.Instance, isSearching func() bool, onFound func([]registrar.Instance)) *Discoverer {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Discoverer{
		store: store, log: log, name: name, self: entry{self.Addr, self.Domain, self.CPULimit}, isSearching: isSearching, onFound: onFound,
		ctx: ctx, cancel: cancel,
	}
	d.wg.Add(2)
	go func() {
		defer d.wg.Done()
		d.publish()
	}()
	go func() {
		defer d.wg.Done()
		d.search()
	}()
	return d
}

// Close stops the discoverer and waits for its goroutines. It doesn't close the store.
func (d *Discoverer) Close() {
	d.cancel()
	d.wg.Wait()
}

// publish writes the record of this instance again and again, so that it stays among
// the newest.
func (d *Discoverer) publish() {
	value, err := cbor.Marshal(d.self)
	if err != nil {
		d.log.Error().Err(err).Msg("encode the record of this instance")
		return
	}
	retry := newBackoff()
	for d.ctx.Err() == nil {
		err := d.store.PutRecord(d.ctx, platform.InstancesTopic, d.name, value)
		if err == nil {
			retry.Reset()
			d.sleep(publishInterval)
			continue
		}
		d.log.Debug().Err(err).Msg("publish this instance")
		d.sleep(retry.NextBackOff())
	}
}

// search reads the records of the others.
func (d *Discoverer) search() {
	retry := newBackoff()
	for d.ctx.Err() == nil {
		instances, err := d.read()
		if err != nil {
			d.log.Debug().Err(err).Msg("read the instances")
			d.sleep(retry.NextBackOff())
			continue
		}
		retry.Reset()
		d.onFound(instances)
		d.sleep(searchInterval)
		for d.ctx.Err() == nil && !d.isSearching() {
			d.sleep(searchCheckInterval)
		}
	}
}

// read returns the published instances, and deletes some outdated records. One that
// can't be decoded is skipped.
func (d *Discoverer) read() ([]registrar.Instance, error) {
	records, end, err := d.store.ReadNewest(d.ctx, platform.InstancesTopic)
	if err != nil {
		return nil, fmt.Errorf("read instances: %w", err)
	}
	var out []registrar.Instance
	outdated := 0
	for _, r := range records {
		if r.Offset+maxRecordAge < end && outdated < maxDeletions {
			outdated++
			if err := d.store.PutRecord(d.ctx, platform.InstancesTopic, r.Key, nil); err != nil {
				return nil, fmt.Errorf("delete record of instance %s: %w", r.Key, err)
			}
			continue
		}
		var e entry
		if err := cbor.Unmarshal(r.Value, &e); err != nil || !e.Addr.Is4() || e.Domain == "" {
			d.log.Debug().Str("name", r.Key).Err(err).Msg("record of an instance is invalid")
			continue
		}
		out = append(out, registrar.Instance{Addr: e.Addr, Domain: e.Domain, CPULimit: e.Limit})
	}
	return out, nil
}

func newBackoff() *backoff.ExponentialBackOff {
	b := &backoff.ExponentialBackOff{
		InitialInterval: initialRetryDelay, RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier: 2, MaxInterval: maxRetryDelay,
	}
	b.Reset()
	return b
}

// sleep waits for d or until the discoverer is closed.
func (d *Discoverer) sleep(duration time.Duration) {
	t := time.NewTimer(duration)
	defer t.Stop()
	select {
	case <-t.C:
	case <-d.ctx.Done():
	}
}
