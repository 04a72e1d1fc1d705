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

// The topics, as a store names them.
const (
	operatorTopic = string(platform.Operator)
	workersTopic  = string(platform.Workers)
)

// recordingFollower is a follower and the newest value of each key that it has passed on.
type recordingFollower struct {
	*Follower
	mu     sync.Mutex
	values map[string]string
}

func newRecordingFollower(t *testing.T, store *emulator.Store) *recordingFollower {
	t.Helper()
	srv := httptest.NewServer(store)
	t.Cleanup(srv.Close)
	w := &recordingFollower{values: make(map[string]string)}
	w.Follower = New(platform.NewStore(strings.TrimPrefix(srv.URL, "http://")), zerolog.Nop(), func(_ platform.Topic, records []platform.Record) {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, r := range records {
			w.values[r.Key] = string(r.Value)
		}
	})
	t.Cleanup(w.Close)
	return w
}

// newSyncedFollower returns a store with a configuration and a worker, and a follower
// that knows both.
func newSyncedFollower(t *testing.T) (*emulator.Store, *recordingFollower) {
	t.Helper()
	store := &emulator.Store{}
	store.Put(operatorTopic, platform.ConfigKey, []byte("1"))
	store.Put(workersTopic, "i-1", []byte("a"))
	w := newRecordingFollower(t, store)
	w.waitForValue(t, platform.ConfigKey, "1")
	w.waitForValue(t, "i-1", "a")
	return store, w
}

// newDisconnectedFollower returns a follower whose store is down.
func newDisconnectedFollower(t *testing.T) *recordingFollower {
	t.Helper()
	store := &emulator.Store{}
	store.SetDown(true)
	return newRecordingFollower(t, store)
}

// waitForValue waits until a key has a value.
func (w *recordingFollower) waitForValue(t *testing.T, key, value string) {
	t.Helper()
	waitUntil(t, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.values[key] == value
	})
}

// waitUntil waits for a condition; only a hang fails it.
func waitUntil(t *testing.T, done func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(done), wait.Timeout(time.Minute), wait.Gap(5*time.Millisecond)))
}

func TestFollow(t *testing.T) {
	store, w := newSyncedFollower(t)
	store.Put(operatorTopic, platform.ConfigKey, []byte("2"))
	store.Put(workersTopic, "i-1", []byte("b"))
	w.waitForValue(t, platform.ConfigKey, "2")
	w.waitForValue(t, "i-1", "b")

	// The store forgets what has not been read yet: the newest are read again,
	// and what is no longer listed is passed on as gone.
	store.SetDown(true)
	store.Put(workersTopic, "i-1", nil)
	store.Put(workersTopic, "i-2", []byte("c"))
	store.Forget(workersTopic)
	store.SetDown(false)
	w.waitForValue(t, "i-2", "c")
	w.waitForValue(t, "i-1", "")
}

func TestFetchFromPeer(t *testing.T) {
	_, first := newSyncedFollower(t)
	peer := httptest.NewServer(first)
	defer peer.Close()

	second := newDisconnectedFollower(t)
	config, list := first.NextOffsets()
	waitUntil(t, func() bool {
		second.FetchFromPeer(strings.TrimPrefix(peer.URL, "http://"), config, list)
		gotConfig, _ := second.NextOffsets()
		return gotConfig == config
	})
	second.waitForValue(t, platform.ConfigKey, "1")
	second.waitForValue(t, "i-1", "a")

	// An older copy changes nothing.
	second.applyNewer(platform.Operator, []platform.Record{{Key: platform.ConfigKey, Value: []byte("0"), Offset: 0}}, 0)
	second.waitForValue(t, platform.ConfigKey, "1")
}

// TestWorkerListFetchInterval checks that a list that grows all the time is fetched from peers
// at the pace of reads, and that only what is new is sent.
func TestWorkerListFetchInterval(t *testing.T) {
	store, first := newSyncedFollower(t)
	var mu sync.Mutex
	var sizes []int
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		first.ServeHTTP(recorder, r)
		var c StoreCopy
		must.NoError(t, cbor.Unmarshal(recorder.Body.Bytes(), &c))
		mu.Lock()
		sizes = append(sizes, len(c.Workers))
		mu.Unlock()
		_, err := w.Write(recorder.Body.Bytes())
		must.NoError(t, err)
	}))
	defer peer.Close()

	second := newDisconnectedFollower(t)
	now := time.Now()
	second.Follower.mu.Lock()
	second.now = func() time.Time { return now }
	second.Follower.mu.Unlock()
	waitUntil(t, second.StoreDown)
	fetch := func(entry string) {
		store.Put(workersTopic, "i-2", []byte(entry))
		first.waitForValue(t, "i-2", entry)
		config, list := first.NextOffsets()
		second.FetchFromPeer(strings.TrimPrefix(peer.URL, "http://"), config, list)
		waitUntil(t, func() bool {
			second.Follower.mu.Lock()
			defer second.Follower.mu.Unlock()
			return !second.fetchingCopy
		})
	}
	fetch("b")
	second.waitForValue(t, "i-1", "a")
	fetch("c")
	fetch("d")
	must.Eq(t, []int{2}, sizes)
	now = now.Add(workerListInterval)
	fetch("e")
	second.waitForValue(t, "i-2", "e")
	must.Eq(t, []int{2, 1}, sizes)

	// A newer configuration does not wait.
	store.Put(operatorTopic, platform.ConfigKey, []byte("2"))
	first.waitForValue(t, platform.ConfigKey, "2")
	fetch("f")
	second.waitForValue(t, platform.ConfigKey, "2")
	must.Eq(t, []int{2, 1, 1}, sizes)
}
