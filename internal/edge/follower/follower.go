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
	// configPollWait is how long a read waits for a new configuration. A connection
	// that has gone silent is noticed after it and the store's timeout, which
	// together stay below the 2 s that a configuration may take.
	configPollWait = time.Second
	// workerListInterval is the pace of reads of the list; a worker that leaves must
	// get no start 2 s later.
	workerListInterval = 500 * time.Millisecond
	// initialRetryDelay and maxRetry bound the pauses while the store is down.
	initialRetryDelay = 100 * time.Millisecond
	maxRetryDelay     = time.Second
	// copyFetchTimeout bounds the fetch of a peer's copy.
	copyFetchTimeout = 500 * time.Millisecond
	// maxCopyBytes bounds a peer's copy: a large configuration and 3,000 workers.
	maxCopyBytes = 8 << 20
	// CopyPath is where peers fetch the copy.
	CopyPath = "/copy"
)

// StoreCopy is what an instance knows from the store, for its peers: the
// configuration, and of the list what is newer than a peer knows.
type StoreCopy struct {
	Config  platform.Record   `cbor:"1,keyasint"`
	Workers []platform.Record `cbor:"2,keyasint"`
	// NextWorkerOffset is how far the list has been read.
	NextWorkerOffset uint64 `cbor:"3,keyasint"`
}

// Follower follows the store. Build one with New.
type Follower struct {
	store      *platform.Store
	log        zerolog.Logger
	peerClient *http.Client
	// onNewRecords is told of new records, oldest first.
	onNewRecords func(platform.Topic, []platform.Record)
	ctx          context.Context
	cancel       context.CancelFunc
	wg           sync.WaitGroup

	mu               sync.Mutex
	configRecord     platform.Record
	workerRecords    map[string]platform.Record
	nextWorkerOffset uint64
	readFailed       map[platform.Topic]bool
	// fetchingCopy is set while a peer's copy is fetched.
	fetchingCopy bool
	// nextListFetch is when newer entries of the list may be fetched next.
	nextListFetch time.Time
	now           func() time.Time
}

// New starts to follow the store.
func New(store *platform.Store, log zerolog.Logger, onNewRecords func(platform.Topic, []platform.Record)) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{
		store: store, log: log, onNewRecords: onNewRecords, ctx: ctx, cancel: cancel,
		peerClient:    &http.Client{Timeout: copyFetchTimeout},
		now:           time.Now,
		workerRecords: make(map[string]platform.Record), readFailed: make(map[platform.Topic]bool),
	}
	f.wg.Add(2)
	go func() {
		defer f.wg.Done()
		f.followTopic(platform.Operator, configPollWait, 0)
	}()
	go func() {
		defer f.wg.Done()
		f.followTopic(platform.Workers, 0, workerListInterval)
	}()
	return f
}

// Close stops and waits.
func (f *Follower) Close() {
	f.cancel()
	f.wg.Wait()
	f.store.Close()
	f.peerClient.CloseIdleConnections()
}

// followTopic reads a topic's newest records and then those that come.
func (f *Follower) followTopic(t platform.Topic, pollWait, readInterval time.Duration) {
	retry := &backoff.ExponentialBackOff{
		InitialInterval: initialRetryDelay, RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier: 2, MaxInterval: maxRetryDelay,
	}
	retry.Reset()
	synced := false
	var next uint64
	for f.ctx.Err() == nil {
		var records []platform.Record
		var err error
		if synced {
			records, next, err = f.store.Read(f.ctx, t, next, pollWait)
		} else {
			records, next, err = f.store.Newest(f.ctx, t)
			if err == nil && t == platform.Workers {
				records = f.appendRemovals(records, next)
			}
		}
		f.recordReadResult(t, err)
		if err != nil {
			synced = synced && !errors.Is(err, platform.ErrForgotten)
			f.sleep(retry.NextBackOff())
			continue
		}
		retry.Reset()
		synced = true
		f.applyNewer(t, records, next)
		f.sleep(readInterval)
	}
}

// appendRemovals adds a record without a value for each worker that the list no
// longer has.
func (f *Follower) appendRemovals(records []platform.Record, nextOffset uint64) []platform.Record {
	listed := make(map[string]bool, len(records))
	for _, r := range records {
		listed[r.Key] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, r := range f.workerRecords {
		if !listed[key] && r.Offset < nextOffset {
			records = append(records, platform.Record{Key: key, Offset: nextOffset})
		}
	}
	return records
}

// applyNewer keeps the records that are newer than what is known, and passes them on.
func (f *Follower) applyNewer(t platform.Topic, records []platform.Record, nextOffset uint64) {
	f.mu.Lock()
	var newer []platform.Record
	for _, r := range records {
		if f.storeIfNewer(t, r) {
			newer = append(newer, r)
		}
	}
	if t == platform.Workers {
		f.nextWorkerOffset = max(f.nextWorkerOffset, nextOffset)
	}
	f.mu.Unlock()
	if len(newer) > 0 {
		f.onNewRecords(t, newer)
	}
}

func (f *Follower) storeIfNewer(t platform.Topic, r platform.Record) bool {
	if t == platform.Operator {
		if r.Key != platform.ConfigKey || len(r.Value) == 0 {
			return false
		}
		if f.configRecord.Value != nil && r.Offset <= f.configRecord.Offset {
			return false
		}
		f.configRecord = r
		return true
	}
	old, known := f.workerRecords[r.Key]
	if known && r.Offset <= old.Offset || !known && r.Offset < f.nextWorkerOffset {
		// What is unknown though it lies before the end has been removed.
		return false
	}
	if len(r.Value) == 0 {
		delete(f.workerRecords, r.Key)
		return known
	}
	f.workerRecords[r.Key] = r
	return true
}

func (f *Follower) recordReadResult(t platform.Topic, err error) {
	if errors.Is(err, platform.ErrForgotten) || f.ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	wasFailed := f.readFailed[t]
	f.readFailed[t] = err != nil
	f.mu.Unlock()
	switch {
	case err != nil && !wasFailed:
		f.log.Warn().Int("event", int(eventer.StoreDown)).Str("topic", string(t)).Err(err).Msg(eventer.StoreDown.Name())
	case err == nil && wasFailed:
		f.log.Warn().Int("event", int(eventer.StoreUp)).Str("topic", string(t)).Msg(eventer.StoreUp.Name())
	}
}

// StoreDown reports whether the store did not answer the last call.
func (f *Follower) StoreDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readFailed[platform.Operator] || f.readFailed[platform.Workers]
}

// NextOffsets returns the offset of the configuration plus one, zero where there is
// none, and how far the list has been read.
func (f *Follower) NextOffsets() (config, workers uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.configRecord.Value != nil {
		config = f.configRecord.Offset + 1
	}
	return config, f.nextWorkerOffset
}

// fromQueryKey is the query parameter with how far the peer knows the list.
const fromQueryKey = "from"

// ServeHTTP gives the copy to a peer.
func (f *Follower) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fromOffset, err := strconv.ParseUint(r.URL.Query().Get(fromQueryKey), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	c := StoreCopy{Config: f.configRecord, NextWorkerOffset: f.nextWorkerOffset}
	for _, r := range f.workerRecords {
		if r.Offset >= fromOffset {
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

// FetchFromPeer takes a peer's copy where it knows more than this instance, and the
// store is out of reach or has not answered yet. The list grows with each
// heartbeat of a worker, so that it is fetched at the pace at which it would be
// read.
func (f *Follower) FetchFromPeer(address string, nextConfig, nextWorker uint64) {
	ownNextConfig, ownNextWorker := f.NextOffsets()
	incomplete := ownNextConfig == 0 || ownNextWorker == 0
	if nextConfig <= ownNextConfig && (nextWorker <= ownNextWorker || !f.StoreDown() && !incomplete) {
		return
	}
	f.mu.Lock()
	skip := f.fetchingCopy || nextConfig <= ownNextConfig && !incomplete && f.now().Before(f.nextListFetch)
	if !skip {
		f.fetchingCopy = true
		f.nextListFetch = f.now().Add(workerListInterval)
	}
	f.mu.Unlock()
	if skip || f.ctx.Err() != nil {
		return
	}
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		if err := f.fetchCopy(address, ownNextWorker); err != nil {
			f.log.Debug().Str("peer", address).Err(err).Msg("fetch of a peer's copy failed")
		}
		f.mu.Lock()
		f.fetchingCopy = false
		f.mu.Unlock()
	}()
}

func (f *Follower) fetchCopy(address string, fromOffset uint64) error {
	url := fmt.Sprintf("http://%s%s?%s=%d", address, CopyPath, fromQueryKey, fromOffset)
	req, err := http.NewRequestWithContext(f.ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("fetch copy: %w", err)
	}
	resp, err := f.peerClient.Do(req)
	if err != nil {
		return fmt.Errorf("fetch copy: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("fetch copy: status %d", resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxCopyBytes))
	if err != nil {
		return fmt.Errorf("fetch copy: %w", err)
	}
	var c StoreCopy
	if err := cbor.Unmarshal(body, &c); err != nil {
		return fmt.Errorf("decode copy: %w", err)
	}
	f.applyNewer(platform.Operator, []platform.Record{c.Config}, 0)
	f.applyNewer(platform.Workers, c.Workers, c.NextWorkerOffset)
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
