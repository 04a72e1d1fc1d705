// Package follower keeps an instance's copy of the data in the platform's store,
// the configuration and the worker list, up to date. While the store can't be
// reached it fetches newer copies from peers.
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
	// configPollWait is the long-poll wait for a new configuration. A dead
	// connection is detected after this wait plus the store's timeout, which must
	// add up to less than the 2 s in which a configuration has to take effect.
	configPollWait = time.Second
	// workerListInterval is the interval between reads of the worker list. A removed
	// worker must get no more starts after 2 s.
	workerListInterval = 500 * time.Millisecond
	// initialRetryDelay and maxRetryDelay bound the backoff while the store is down.
	initialRetryDelay = 100 * time.Millisecond
	maxRetryDelay     = time.Second
	// copyFetchTimeout bounds the fetch of a peer's copy.
	copyFetchTimeout = 500 * time.Millisecond
	// maxCopyBytes bounds a peer's copy. It holds a large configuration and 3,000
	// workers.
	maxCopyBytes = 8 << 20
	// CopyPath is the URL path at which ServeHTTP has to be registered for peers.
	CopyPath = "/copy"
)

// StoreCopy is the response to a peer that fetches a copy: the configuration, and
// the records of the worker list that the peer doesn't have.
type StoreCopy struct {
	Config  platform.Record   `cbor:"1,keyasint"`
	Workers []platform.Record `cbor:"2,keyasint"`
	// NextWorkerOffset is the offset up to which the worker list has been read.
	NextWorkerOffset uint64 `cbor:"3,keyasint"`
}

// Follower follows the topics of the store. Create one with New.
type Follower struct {
	store      *platform.StoreClient
	log        zerolog.Logger
	peerClient *http.Client
	// onNewRecords is called with new records, oldest first.
	onNewRecords func(platform.Topic, []platform.Record)
	ctx          context.Context
	cancel       context.CancelFunc
	wg           sync.WaitGroup

	mu               sync.Mutex
	configRecord     platform.Record
	workerRecords    map[string]platform.Record
	nextWorkerOffset uint64
	readFailed       map[platform.Topic]bool
	// fetchingCopy is set while a copy is being fetched from a peer.
	fetchingCopy bool
	// nextListFetch is the earliest time of the next fetch for the worker list alone.
	nextListFetch time.Time
	now           func() time.Time
}

// New starts to follow the store. It calls onNewRecords from several goroutines;
// a worker record without a value says that the worker was removed.
func New(store *platform.StoreClient, log zerolog.Logger, onNewRecords func(platform.Topic, []platform.Record)) *Follower {
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
		f.followTopic(platform.OperatorTopic, configPollWait, 0)
	}()
	go func() {
		defer f.wg.Done()
		f.followTopic(platform.WorkersTopic, 0, workerListInterval)
	}()
	return f
}

// Close stops the follower and waits for its goroutines.
func (f *Follower) Close() {
	f.cancel()
	f.wg.Wait()
	f.store.Close()
	f.peerClient.CloseIdleConnections()
}

// followTopic reads the newest record of each key of a topic and then the records
// appended to it, until the follower is closed.
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
			records, next, err = f.store.ReadRecords(f.ctx, t, next, pollWait)
		} else {
			records, next, err = f.store.ReadNewest(f.ctx, t)
			if err == nil && t == platform.WorkersTopic {
				records = f.appendRemovals(records, next)
			}
		}
		f.recordReadResult(t, err)
		if err != nil {
			synced = synced && !errors.Is(err, platform.ErrOffsetOutOfRange)
			f.sleep(retry.NextBackOff())
			continue
		}
		retry.Reset()
		synced = true
		f.applyNewer(t, records, next)
		f.sleep(readInterval)
	}
}

// appendRemovals adds a record without a value for each worker that is missing
// from a full read of the worker list.
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

// applyNewer stores the records that are newer than the stored ones and passes
// them to onNewRecords.
func (f *Follower) applyNewer(t platform.Topic, records []platform.Record, nextOffset uint64) {
	f.mu.Lock()
	var newer []platform.Record
	for _, r := range records {
		if f.storeIfNewer(t, r) {
			newer = append(newer, r)
		}
	}
	if t == platform.WorkersTopic {
		f.nextWorkerOffset = max(f.nextWorkerOffset, nextOffset)
	}
	f.mu.Unlock()
	if len(newer) > 0 {
		f.onNewRecords(t, newer)
	}
}

// storeIfNewer stores a record if it is newer than the stored one for its key. It
// reports whether the record has to be passed on. The caller holds the lock.
func (f *Follower) storeIfNewer(t platform.Topic, r platform.Record) bool {
	if t == platform.OperatorTopic {
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
		// An unknown key with an offset that was already read has been removed since.
		return false
	}
	if len(r.Value) == 0 {
		delete(f.workerRecords, r.Key)
		return known
	}
	f.workerRecords[r.Key] = r
	return true
}

// recordReadResult updates whether the store can be reached and logs changes. An
// offset that is out of range is no failure of the store.
func (f *Follower) recordReadResult(t platform.Topic, err error) {
	if errors.Is(err, platform.ErrOffsetOutOfRange) || f.ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	failedBefore := f.readFailed[t]
	f.readFailed[t] = err != nil
	f.mu.Unlock()
	switch {
	case err != nil && !failedBefore:
		f.log.Warn().Int("event", int(eventer.StoreUnavailable)).Str("topic", string(t)).Err(err).Msg(eventer.StoreUnavailable.Name())
	case err == nil && failedBefore:
		f.log.Warn().Int("event", int(eventer.StoreAvailable)).Str("topic", string(t)).Msg(eventer.StoreAvailable.Name())
	}
}

// StoreDown reports whether the last read of either topic failed.
func (f *Follower) StoreDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readFailed[platform.OperatorTopic] || f.readFailed[platform.WorkersTopic]
}

// NextOffsets returns the offset after the configuration's record, zero if there
// is none, and the offset up to which the worker list has been read.
func (f *Follower) NextOffsets() (config, workers uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.configRecord.Value != nil {
		config = f.configRecord.Offset + 1
	}
	return config, f.nextWorkerOffset
}

// fromQueryKey is the query parameter for the offset up to which the peer has the
// worker list.
const fromQueryKey = "from"

// ServeHTTP sends a StoreCopy to a peer.
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
	// A write error means that the peer has disconnected.
	_, _ = w.Write(b)
}

// FetchFromPeer starts to fetch a peer's copy if the peer has a newer
// configuration, or if it has a newer worker list and either the store is down or
// this instance has no configuration or no list yet. nextConfig and nextWorker are
// the peer's NextOffsets. Each heartbeat of a worker adds a record to the list, so
// a newer list alone is fetched at most once per workerListInterval.
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
			f.log.Debug().Str("peer", address).Err(err).Msg("fetch of the store copy from a peer failed")
		}
		f.mu.Lock()
		f.fetchingCopy = false
		f.mu.Unlock()
	}()
}

// fetchCopy fetches a peer's copy, with the worker records from an offset on, and
// applies what is newer.
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
	f.applyNewer(platform.OperatorTopic, []platform.Record{c.Config}, 0)
	f.applyNewer(platform.WorkersTopic, c.Workers, c.NextWorkerOffset)
	return nil
}

// sleep waits for d or until the follower is closed.
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
