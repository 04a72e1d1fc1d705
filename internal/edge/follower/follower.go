// Package follower keeps an instance's copy of what the platform's store says:
// the configuration and the list of workers. While the store is out of reach
// it takes newer copies from peers.
package follower

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/platform"
)

const (
	// configWait is how long a read waits for a new configuration. A connection
	// that has gone silent is noticed after it and the store's timeout, which
	// together stay below the 2 s that a configuration may take.
	configWait = time.Second
	// listEvery is the pace of reads of the list; a worker that leaves must
	// get no start 2 s later.
	listEvery = 500 * time.Millisecond
	// firstRetry and maxRetry bound the pauses while the store is down.
	firstRetry = 100 * time.Millisecond
	maxRetry   = time.Second
	// peerTimeout bounds the fetch of a peer's copy.
	peerTimeout = 500 * time.Millisecond
	// maxCopy bounds a peer's copy: a large configuration and 3,000 workers.
	maxCopy = 8 << 20
	// CopyPath is where peers fetch the copy.
	CopyPath = "/copy"
)

// Copy is what an instance knows from the store, for its peers: the
// configuration, and of the list what is newer than a peer knows.
type Copy struct {
	Config  platform.Record   `cbor:"1,keyasint"`
	Workers []platform.Record `cbor:"2,keyasint"`
	// End is how far the list has been read.
	End uint64 `cbor:"3,keyasint"`
}

// Follower follows the store. Build one with New.
type Follower struct {
	store *platform.Store
	log   zerolog.Logger
	peers *http.Client
	// apply is told of new records, oldest first.
	apply  func(platform.Topic, []platform.Record)
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	config  platform.Record
	workers map[string]platform.Record
	end     uint64
	down    map[platform.Topic]bool
	// fetching is set while a peer's copy is fetched.
	fetching bool
	// listDue is when newer entries of the list may be fetched next.
	listDue time.Time
	now     func() time.Time
}

// New starts to follow the store.
func New(store *platform.Store, log zerolog.Logger, apply func(platform.Topic, []platform.Record)) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{
		store: store, log: log, apply: apply, ctx: ctx, cancel: cancel,
		peers:   &http.Client{Timeout: peerTimeout},
		now:     time.Now,
		workers: make(map[string]platform.Record), down: make(map[platform.Topic]bool),
	}
	f.wg.Add(2)
	go func() {
		defer f.wg.Done()
		f.follow(platform.Operator, configWait, 0)
	}()
	go func() {
		defer f.wg.Done()
		f.follow(platform.Workers, 0, listEvery)
	}()
	return f
}

// Close stops and waits.
func (f *Follower) Close() {
	f.cancel()
	f.wg.Wait()
	f.store.Close()
	f.peers.CloseIdleConnections()
}

// follow reads a topic's newest records and then those that come.
func (f *Follower) follow(t platform.Topic, wait, pause time.Duration) {
	retry := &backoff.ExponentialBackOff{
		InitialInterval: firstRetry, RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier: 2, MaxInterval: maxRetry,
	}
	retry.Reset()
	known := false
	var next uint64
	for f.ctx.Err() == nil {
		var records []platform.Record
		var err error
		if known {
			records, next, err = f.store.Read(f.ctx, t, next, wait)
		} else {
			records, next, err = f.store.Newest(f.ctx, t)
			if err == nil && t == platform.Workers {
				records = f.withRemoved(records, next)
			}
		}
		f.noteStore(t, err)
		if err != nil {
			known = known && !errors.Is(err, platform.ErrForgotten)
			f.sleep(retry.NextBackOff())
			continue
		}
		retry.Reset()
		known = true
		f.take(t, records, next)
		f.sleep(pause)
	}
}

// withRemoved adds a record without a value for each worker that the list no
// longer has.
func (f *Follower) withRemoved(records []platform.Record, end uint64) []platform.Record {
	listed := make(map[string]bool, len(records))
	for _, r := range records {
		listed[r.Key] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, r := range f.workers {
		if !listed[key] && r.Offset < end {
			records = append(records, platform.Record{Key: key, Offset: end})
		}
	}
	return records
}

// take keeps the records that are newer than what is known, and passes them on.
func (f *Follower) take(t platform.Topic, records []platform.Record, end uint64) {
	f.mu.Lock()
	var news []platform.Record
	for _, r := range records {
		if f.keep(t, r) {
			news = append(news, r)
		}
	}
	if t == platform.Workers {
		f.end = max(f.end, end)
	}
	f.mu.Unlock()
	if len(news) > 0 {
		f.apply(t, news)
	}
}

func (f *Follower) keep(t platform.Topic, r platform.Record) bool {
	if t == platform.Operator {
		if r.Key != platform.ConfigKey || len(r.Value) == 0 {
			return false
		}
		if f.config.Value != nil && r.Offset <= f.config.Offset {
			return false
		}
		f.config = r
		return true
	}
	old, known := f.workers[r.Key]
	if known && r.Offset <= old.Offset || !known && r.Offset < f.end {
		// What is unknown though it lies before the end has been removed.
		return false
	}
	if len(r.Value) == 0 {
		delete(f.workers, r.Key)
		return known
	}
	f.workers[r.Key] = r
	return true
}

func (f *Follower) noteStore(t platform.Topic, err error) {
	if errors.Is(err, platform.ErrForgotten) || f.ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	was := f.down[t]
	f.down[t] = err != nil
	f.mu.Unlock()
	switch {
	case err != nil && !was:
		f.log.Warn().Int("event", int(eventer.StoreDown)).Str("topic", string(t)).Err(err).Msg(eventer.StoreDown.Name())
	case err == nil && was:
		f.log.Warn().Int("event", int(eventer.StoreUp)).Str("topic", string(t)).Msg(eventer.StoreUp.Name())
	}
}

// Down reports whether the store did not answer the last call.
func (f *Follower) Down() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down[platform.Operator] || f.down[platform.Workers]
}

// Known returns the offset of the configuration plus one, zero where there is
// none, and how far the list has been read.
func (f *Follower) Known() (config, list uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.config.Value != nil {
		config = f.config.Offset + 1
	}
	return config, f.end
}

// fromParameter is the query parameter with how far the peer knows the list.
const fromParameter = "from"

// ServeHTTP gives the copy to a peer.
func (f *Follower) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get(fromParameter), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	c := Copy{Config: f.config, End: f.end}
	for _, r := range f.workers {
		if r.Offset >= from {
			c.Workers = append(c.Workers, r)
		}
	}
	f.mu.Unlock()
	b, err := cbor.Marshal(c)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	// A peer that has gone needs no copy.
	_, _ = w.Write(b)
}

// Fetch takes a peer's copy where it knows more than this instance, and the
// store is out of reach or has not answered yet. The list grows with each
// heartbeat of a worker, so that it is fetched at the pace at which it would be
// read.
func (f *Follower) Fetch(address string, config, list uint64) {
	ownConfig, ownList := f.Known()
	missing := ownConfig == 0 || ownList == 0
	if config <= ownConfig && (list <= ownList || !f.Down() && !missing) {
		return
	}
	f.mu.Lock()
	wait := f.fetching || config <= ownConfig && !missing && f.now().Before(f.listDue)
	if !wait {
		f.fetching = true
		f.listDue = f.now().Add(listEvery)
	}
	f.mu.Unlock()
	if wait || f.ctx.Err() != nil {
		return
	}
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		if err := f.fetch(address, ownList); err != nil {
			f.log.Debug().Str("peer", address).Err(err).Msg("fetch of a peer's copy failed")
		}
		f.mu.Lock()
		f.fetching = false
		f.mu.Unlock()
	}()
}

func (f *Follower) fetch(address string, from uint64) error {
	url := fmt.Sprintf("http://%s%s?%s=%d", address, CopyPath, fromParameter, from)
	req, err := http.NewRequestWithContext(f.ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("fetch copy: %w", err)
	}
	resp, err := f.peers.Do(req)
	if err != nil {
		return fmt.Errorf("fetch copy: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("fetch copy: status %d", resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxCopy))
	if err != nil {
		return fmt.Errorf("fetch copy: %w", err)
	}
	var c Copy
	if err := cbor.Unmarshal(body, &c); err != nil {
		return fmt.Errorf("decode copy: %w", err)
	}
	f.take(platform.Operator, []platform.Record{c.Config}, 0)
	f.take(platform.Workers, c.Workers, c.End)
	return nil
}

func (f *Follower) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-f.ctx.Done():
	}
}
