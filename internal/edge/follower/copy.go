package follower

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/heatherslip/heatherslip/internal/edge/clocker"
	"github.com/heatherslip/heatherslip/platform"
)

const (
	// copyFetchTimeout bounds the fetch of a peer's copy.
	copyFetchTimeout = 500 * time.Millisecond
	// maxCopyBytes bounds a peer's copy. It holds a large configuration and 3,000
	// workers.
	maxCopyBytes = 8 << 20
	// CopyPath is the URL path at which ServeHTTP has to be registered for peers.
	CopyPath = "/copy"
	// fromQueryKey is the query parameter for the offset up to which the peer has the
	// worker list, and configQueryKey that for the offset after its configuration.
	fromQueryKey   = "from"
	configQueryKey = "config"
)

// copyDecoder decodes copies. It lets keys pass that are not UTF-8, which a peer of an
// earlier version sends, so that they don't spoil the copy.
var copyDecoder = newCopyDecoder()

func newCopyDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		// The options are constant.
		panic(err)
	}
	return mode
}

// StoreCopy is the response to a peer that fetches a copy: the configuration and the
// records of the worker list that the peer doesn't have, and all evacuations.
type StoreCopy struct {
	// Config has no value if the peer has the configuration.
	Config  platform.Record   `cbor:"1,keyasint"`
	Workers []platform.Record `cbor:"2,keyasint"`
	// NextWorkerOffset is the offset up to which the worker list is complete.
	NextWorkerOffset uint64 `cbor:"3,keyasint"`
	// IsFullList is set if Workers has all workers, not only what has changed.
	IsFullList bool `cbor:"4,keyasint,omitempty"`
	// Evacuations has the evacuations in force. They are complete up to
	// NextOperatorOffset, which is zero if the sender doesn't know them.
	Evacuations        []platform.Record `cbor:"5,keyasint,omitempty"`
	NextOperatorOffset uint64            `cbor:"6,keyasint,omitempty"`
}

// Offsets returns what heartbeats report: the offset after the last change of the
// configuration or of the evacuations, zero if there is none, and the offset after the
// last change of the worker list.
func (f *Follower) Offsets() (operator, workers uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.configOffset(), f.evacuations.changeOffset), f.list.changeOffset
}

// operatorOffset returns the offset up to which both the configuration and the
// evacuations are known. The caller holds the lock.
func (f *Follower) operatorOffset() uint64 {
	if f.configRecord.Value == nil || !f.evacuations.known {
		return 0
	}
	return f.evacuations.nextOffset
}

// configOffset returns the offset after the configuration's record, zero if there is
// none. The caller holds the lock.
func (f *Follower) configOffset() uint64 {
	if f.configRecord.Value == nil {
		return 0
	}
	return f.configRecord.Offset + 1
}

// ServeHTTP sends a StoreCopy to a peer.
func (f *Follower) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fromOffset, err := strconv.ParseUint(r.URL.Query().Get(fromQueryKey), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// A peer without a configuration, or of an earlier version, gets it.
	configOffset, err := strconv.ParseUint(r.URL.Query().Get(configQueryKey), 10, 64)
	if err != nil {
		configOffset = 0
	}
	f.mu.Lock()
	c := StoreCopy{NextWorkerOffset: f.list.nextOffset}
	if f.configOffset() > configOffset {
		c.Config = f.configRecord
	}
	if f.evacuations.known {
		c.Evacuations, c.NextOperatorOffset = f.evacuations.list(), f.evacuations.nextOffset
	}
	c.Workers, c.IsFullList = f.list.copyFrom(fromOffset)
	f.mu.Unlock()
	b, err := cbor.Marshal(c)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	// A write error means that the peer has disconnected.
	_, _ = w.Write(b)
}

// FetchFromPeer starts to fetch a peer's copy if the peer has a newer configuration or
// newer evacuations, or if it has a newer worker list and this instance doesn't read the
// list itself or can't. operator and workers are the peer's Offsets. A newer list alone
// is fetched at most once per workerListInterval.
func (f *Follower) FetchFromPeer(address string, operator, workers uint64) {
	readsList := f.readsList()
	f.mu.Lock()
	isOperatorNewer := operator > f.operatorOffset()
	isIncomplete := f.configRecord.Value == nil || f.list.nextOffset == 0
	isListNewer := workers > f.list.nextOffset && (isIncomplete || !readsList || f.readFailed[platform.WorkersTopic])
	fromOffset, configOffset := f.list.nextOffset, f.configOffset()
	skip := f.fetchingCopy || !isOperatorNewer && (!isListNewer || !isIncomplete && f.now().Before(f.nextListFetch))
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
		if err := f.fetchCopy(address, fromOffset, configOffset); err != nil {
			f.log.Debug().Str("peer", address).Err(err).Msg("fetch of the store copy from a peer failed")
		}
		f.mu.Lock()
		f.fetchingCopy = false
		f.mu.Unlock()
	}()
}

// fetchCopy fetches a peer's copy, with the changes of the worker list from an offset
// on and a configuration that is newer than another offset, and applies what is newer.
func (f *Follower) fetchCopy(address string, fromOffset, configOffset uint64) error {
	readAt := clocker.BootTime()
	url := fmt.Sprintf("http://%s%s?%s=%d&%s=%d", address, CopyPath, fromQueryKey, fromOffset, configQueryKey, configOffset)
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
	if err := copyDecoder.Unmarshal(body, &c); err != nil {
		return fmt.Errorf("decode copy: %w", err)
	}
	if c.NextOperatorOffset > 0 {
		f.applyEvacuations(c.Evacuations, c.NextOperatorOffset, true, false, readAt)
	}
	f.applyConfig([]platform.Record{c.Config})
	if c.NextWorkerOffset > 0 {
		source := fromChanges
		if c.IsFullList {
			source = fromFullList
		}
		f.applyWorkers(c.Workers, c.NextWorkerOffset, source)
	}
	return nil
}
