package follower

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/heatherslip/heatherslip/platform"
	"github.com/heatherslip/heatherslip/platform/emulator"
)

// The topics as strings, for the emulated store.
const (
	operatorTopic = string(platform.OperatorTopic)
	workersTopic  = string(platform.WorkersTopic)
)

// recordingFollower is a follower together with the last value of each key that it
// has passed on.
type recordingFollower struct {
	*Follower
	mu     sync.Mutex
	values map[string]string
}

func newRecordingFollower(t *testing.T, store *emulator.Store) *recordingFollower {
	t.Helper()
	srv := httptest.NewServer(store)
	t.Cleanup(srv.Close)
	f := &recordingFollower{values: make(map[string]string)}
	f.Follower = New(platform.NewStoreClient(strings.TrimPrefix(srv.URL, "http://")), zerolog.Nop(), func(_ platform.Topic, records []platform.Record) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, r := range records {
			f.values[r.Key] = string(r.Value)
		}
	})
	t.Cleanup(f.Close)
	return f
}

// newSyncedFollower returns a store with a configuration and a worker, and a
// follower that has read both.
func newSyncedFollower(t *testing.T) (*emulator.Store, *recordingFollower) {
	t.Helper()
	store := &emulator.Store{}
	store.Put(operatorTopic, platform.ConfigKey, []byte("1"))
	store.Put(workersTopic, "i-1", []byte("a"))
	f := newRecordingFollower(t, store)
	f.waitForValue(t, platform.ConfigKey, "1")
	f.waitForValue(t, "i-1", "a")
	return store, f
}

// newDisconnectedFollower returns a follower whose store is down.
func newDisconnectedFollower(t *testing.T) *recordingFollower {
	t.Helper()
	store := &emulator.Store{}
	store.SetUnavailable(true)
	return newRecordingFollower(t, store)
}

// waitForValue waits until a key has a value.
func (f *recordingFollower) waitForValue(t *testing.T, key, value string) {
	t.Helper()
	waitUntil(t, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.values[key] == value
	})
}

// waitUntil waits for a condition. The timeout is long, so that only a hang fails.
func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(time.Minute), wait.Gap(5*time.Millisecond)))
}

// TestFollowTopics checks that changes in the store are passed on, also after the
// store has discarded records that were not read yet.
func TestFollowTopics(t *testing.T) {
	store, f := newSyncedFollower(t)
	store.Put(operatorTopic, platform.ConfigKey, []byte("2"))
	store.Put(workersTopic, "i-1", []byte("b"))
	f.waitForValue(t, platform.ConfigKey, "2")
	f.waitForValue(t, "i-1", "b")

	// The store discards records that were not read yet. The follower has to read
	// the newest records again and pass on missing workers as removed.
	store.SetUnavailable(true)
	store.Put(workersTopic, "i-1", nil)
	store.Put(workersTopic, "i-2", []byte("c"))
	store.Compact(workersTopic)
	store.SetUnavailable(false)
	f.waitForValue(t, "i-2", "c")
	f.waitForValue(t, "i-1", "")
}

// TestFetchFromPeer checks that a follower whose store is down gets the store's
// data from a peer, and that older records don't replace newer ones.
func TestFetchFromPeer(t *testing.T) {
	_, synced := newSyncedFollower(t)
	peerServer := httptest.NewServer(synced)
	defer peerServer.Close()

	disconnected := newDisconnectedFollower(t)
	config, workers := synced.NextOffsets()
	waitUntil(t, func() bool {
		disconnected.FetchFromPeer(strings.TrimPrefix(peerServer.URL, "http://"), config, workers)
		gotConfig, _ := disconnected.NextOffsets()
		return gotConfig == config
	})
	disconnected.waitForValue(t, platform.ConfigKey, "1")
	disconnected.waitForValue(t, "i-1", "a")

	// An older record changes nothing.
	disconnected.applyNewer(platform.OperatorTopic, []platform.Record{{Key: platform.ConfigKey, Value: []byte("0"), Offset: 0}}, 0)
	disconnected.waitForValue(t, platform.ConfigKey, "1")
}

// TestWorkerListFetchInterval checks that a worker list that grows all the time is
// fetched from peers only once per workerListInterval, and that only new records
// are sent.
func TestWorkerListFetchInterval(t *testing.T) {
	store, synced := newSyncedFollower(t)
	var mu sync.Mutex
	var recordCounts []int
	peerServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		synced.ServeHTTP(recorder, r)
		var c StoreCopy
		must.NoError(t, cbor.Unmarshal(recorder.Body.Bytes(), &c))
		mu.Lock()
		recordCounts = append(recordCounts, len(c.Workers))
		mu.Unlock()
		_, err := w.Write(recorder.Body.Bytes())
		must.NoError(t, err)
	}))
	defer peerServer.Close()

	disconnected := newDisconnectedFollower(t)
	now := time.Now()
	disconnected.Follower.mu.Lock()
	disconnected.now = func() time.Time { return now }
	disconnected.Follower.mu.Unlock()
	waitUntil(t, disconnected.StoreDown)
	putAndFetch := func(value string) {
		store.Put(workersTopic, "i-2", []byte(value))
		synced.waitForValue(t, "i-2", value)
		config, workers := synced.NextOffsets()
		disconnected.FetchFromPeer(strings.TrimPrefix(peerServer.URL, "http://"), config, workers)
		waitUntil(t, func() bool {
			disconnected.Follower.mu.Lock()
			defer disconnected.Follower.mu.Unlock()
			return !disconnected.fetchingCopy
		})
	}
	putAndFetch("b")
	disconnected.waitForValue(t, "i-1", "a")
	putAndFetch("c")
	putAndFetch("d")
	must.Eq(t, []int{2}, recordCounts)
	now = now.Add(workerListInterval)
	putAndFetch("e")
	disconnected.waitForValue(t, "i-2", "e")
	must.Eq(t, []int{2, 1}, recordCounts)

	// A newer configuration is fetched at once.
	store.Put(operatorTopic, platform.ConfigKey, []byte("2"))
	synced.waitForValue(t, platform.ConfigKey, "2")
	putAndFetch("f")
	disconnected.waitForValue(t, platform.ConfigKey, "2")
	must.Eq(t, []int{2, 1, 1}, recordCounts)
}
