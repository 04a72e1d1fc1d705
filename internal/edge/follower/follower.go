// Package follower keeps an instance's copy of the data in the platform's store, the
// configuration, the evacuations and the worker list, up to date. All instances read
// the operator's topic, which has the first two. Those that own workers read the worker list too; the others, and
// those that can't reach the store, fetch newer copies from peers.
package follower

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rs/zerolog"

	"github.com/heatherslip/heatherslip/internal/edge/clocker"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/platform"
)

const (
	// configPollWait is the long-poll wait for a record of the operator. A dead
	// connection is detected after this wait plus the store's timeout, which must
	// add up to less than the 2 s in which a configuration has to take effect.
	configPollWait = time.Second
	// workerListInterval is the interval between reads of the worker list. A removed
	// worker must get no more starts after 2 s.
	workerListInterval = 500 * time.Millisecond
	// roleCheckInterval is how often an instance that doesn't read the worker list
	// checks whether it has to.
	roleCheckInterval = 50 * time.Millisecond
	// initialRetryDelay and maxRetryDelay bound the backoff while the store is down.
	initialRetryDelay = 100 * time.Millisecond
	maxRetryDelay     = time.Second
)

// Receiver is told what is new. Its methods are called one at a time, from several
// goroutines.
type Receiver interface {
	// ApplyConfig applies a newer record of the configuration.
	ApplyConfig(platform.Record)
	// ApplyEvacuations applies the evacuations in force, all of them, as of a read that
	// began at readAt.
	ApplyEvacuations(requests []platform.Record, readAt time.Time)
	// ApplyWorkers applies changes of the worker list.
	ApplyWorkers([]WorkerChange)
}

// Follower follows the topics of the store. Create one with New.
type Follower struct {
	store      *platform.StoreClient
	log        zerolog.Logger
	peerClient *http.Client
	receiver   Receiver
	// readsList reports whether this instance reads the worker list from the store.
	readsList func() bool
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup

	// applying is held while something new is stored and passed to the receiver, so
	// that it gets everything in the order of the offsets.
	applying sync.Mutex

	mu           sync.Mutex
	configRecord platform.Record
	evacuations  *evacuationList
	list         *workerList
	readFailed   map[platform.Topic]bool
	// foreignKeys are the unknown keys of the operator's topic that were logged.
	foreignKeys map[string]bool
	// refreshing is set during a read for Refresh.
	refreshing bool
	// fetchingCopy is set while a copy is being fetched from a peer.
	fetchingCopy bool
	// nextListFetch is the earliest time of the next fetch for the worker list alone.
	nextListFetch time.Time
	now           func() time.Time
}

// New starts to follow the store. It reads the worker list as long as readsList
// returns true.
func New(store *platform.StoreClient, log zerolog.Logger, receiver Receiver, readsList func() bool) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{
		store: store, log: log, receiver: receiver, readsList: readsList, ctx: ctx, cancel: cancel,
		peerClient: &http.Client{Timeout: copyFetchTimeout},
		now:        time.Now,
		list:       newWorkerList(), readFailed: make(map[platform.Topic]bool),
		evacuations: newEvacuationList(), foreignKeys: make(map[string]bool),
	}
	f.wg.Add(2)
	go func() {
		defer f.wg.Done()
		f.followOperator()
	}()
	go func() {
		defer f.wg.Done()
		f.followWorkers()
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

// topicReader reads a topic: the newest record of each key first, and then what was
// appended since.
type topicReader struct {
	f     *Follower
	topic platform.Topic
	// pollWait is how long a read waits for a new record.
	pollWait time.Duration
	retry    *backoff.ExponentialBackOff
	synced   bool
	next     uint64
}

func (f *Follower) newTopicReader(t platform.Topic, pollWait time.Duration) *topicReader {
	retry := &backoff.ExponentialBackOff{
		InitialInterval: initialRetryDelay, RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier: 2, MaxInterval: maxRetryDelay,
	}
	retry.Reset()
	return &topicReader{f: f, topic: t, pollWait: pollWait, retry: retry}
}

// read returns new records, the offset up to which the topic was read, and whether the
// records are those of all keys. If it fails, it returns after a pause and ok is false.
func (r *topicReader) read() (records []platform.Record, next uint64, isFull, ok bool) {
	isFull = !r.synced
	var err error
	if isFull {
		records, next, err = r.f.store.ReadNewest(r.f.ctx, r.topic)
	} else {
		records, next, err = r.f.store.ReadRecords(r.f.ctx, r.topic, r.next, r.pollWait)
	}
	r.f.recordReadResult(r.topic, err)
	if err != nil {
		r.synced = r.synced && !errors.Is(err, platform.ErrOffsetOutOfRange)
		r.f.sleep(r.retry.NextBackOff())
		return nil, 0, false, false
	}
	r.retry.Reset()
	r.synced, r.next = true, next
	return records, next, isFull, true
}

// followOperator reads the configuration and the evacuations until the follower is
// closed.
func (f *Follower) followOperator() {
	reader := f.newTopicReader(platform.OperatorTopic, configPollWait)
	for f.ctx.Err() == nil {
		readAt := clocker.BootTime()
		if records, next, isFull, ok := reader.read(); ok {
			f.applyOperatorRecords(records, next, isFull, false, readAt)
		}
	}
}

// followWorkers reads the worker list until the follower is closed. After a time
// without reading it begins with the full list.
func (f *Follower) followWorkers() {
	reader := f.newTopicReader(platform.WorkersTopic, 0)
	for f.ctx.Err() == nil {
		if !f.readsList() {
			reader.synced = false
			f.sleep(roleCheckInterval)
			continue
		}
		if records, next, isFull, ok := reader.read(); ok {
			source := fromLog
			if isFull {
				source = fromFullList
			}
			f.applyWorkers(records, next, source)
			f.sleep(workerListInterval)
		}
	}
}

// applyConfig stores the newest of the records of the configuration and passes it on
// if it is newer than the stored one.
func (f *Follower) applyConfig(records []platform.Record) {
	f.applying.Lock()
	defer f.applying.Unlock()
	for _, r := range records {
		if r.Key != platform.ConfigKey || len(r.Value) == 0 {
			continue
		}
		f.mu.Lock()
		isNewer := f.configRecord.Value == nil || r.Offset > f.configRecord.Offset
		if isNewer {
			f.configRecord = r
		}
		f.mu.Unlock()
		if isNewer {
			f.receiver.ApplyConfig(r)
		}
	}
}

// applyWorkers applies records of the worker list and passes changes on.
func (f *Follower) applyWorkers(records []platform.Record, nextOffset uint64, source recordSource) {
	f.applying.Lock()
	defer f.applying.Unlock()
	f.mu.Lock()
	changes := f.list.apply(records, nextOffset, source)
	f.mu.Unlock()
	if len(changes) > 0 {
		f.receiver.ApplyWorkers(changes)
	}
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
