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
	operator = string(platform.Operator)
	workers  = string(platform.Workers)
)

// watched is a follower and the newest value of each key that it has passed on.
type watched struct {
	*Follower
	mu     sync.Mutex
	values map[string]string
}

func follow(t *testing.T, store *emulator.Store) *watched {
	t.Helper()
	srv := httptest.NewServer(store)
	t.Cleanup(srv.Close)
	w := &watched{values: make(map[string]string)}
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

// followed returns a store with a configuration and a worker, and a follower
// that knows both.
func followed(t *testing.T) (*emulator.Store, *watched) {
	t.Helper()
	store := &emulator.Store{}
	store.Put(operator, platform.ConfigKey, []byte("1"))
	store.Put(workers, "i-1", []byte("a"))
	w := follow(t, store)
	w.await(t, platform.ConfigKey, "1")
	w.await(t, "i-1", "a")
	return store, w
}

// cutOff returns a follower whose store is down.
func cutOff(t *testing.T) *watched {
	t.Helper()
	away := &emulator.Store{}
	away.SetDown(true)
	return follow(t, away)
}

// await waits until a key has a value.
func (w *watched) await(t *testing.T, key, value string) {
	t.Helper()
	until(t, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.values[key] == value
	})
}

// until waits for a condition; only a hang fails it.
func until(t *testing.T, done func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(done), wait.Timeout(time.Minute), wait.Gap(5*time.Millisecond)))
}

func TestFollow(t *testing.T) {
	store, w := followed(t)
	store.Put(operator, platform.ConfigKey, []byte("2"))
	store.Put(workers, "i-1", []byte("b"))
	w.await(t, platform.ConfigKey, "2")
	w.await(t, "i-1", "b")

	// The store forgets what has not been read yet: the newest are read again,
	// and what is no longer listed is passed on as gone.
	store.SetDown(true)
	store.Put(workers, "i-1", nil)
	store.Put(workers, "i-2", []byte("c"))
	store.Forget(workers)
	store.SetDown(false)
	w.await(t, "i-2", "c")
	w.await(t, "i-1", "")
}

func TestPeersCopy(t *testing.T) {
	_, first := followed(t)
	peer := httptest.NewServer(first)
	defer peer.Close()

	second := cutOff(t)
	config, list := first.Known()
	until(t, func() bool {
		second.Fetch(strings.TrimPrefix(peer.URL, "http://"), config, list)
		got, _ := second.Known()
		return got == config
	})
	second.await(t, platform.ConfigKey, "1")
	second.await(t, "i-1", "a")

	// An older copy changes nothing.
	second.take(platform.Operator, []platform.Record{{Key: platform.ConfigKey, Value: []byte("0"), Offset: 0}}, 0)
	second.await(t, platform.ConfigKey, "1")
}

// TestFetchPace checks that a list that grows all the time is fetched from peers
// at the pace of reads, and that only what is new is sent.
func TestFetchPace(t *testing.T) {
	store, first := followed(t)
	var mu sync.Mutex
	var sizes []int
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := httptest.NewRecorder()
		first.ServeHTTP(answer, r)
		var c Copy
		must.NoError(t, cbor.Unmarshal(answer.Body.Bytes(), &c))
		mu.Lock()
		sizes = append(sizes, len(c.Workers))
		mu.Unlock()
		_, err := w.Write(answer.Body.Bytes())
		must.NoError(t, err)
	}))
	defer peer.Close()

	second := cutOff(t)
	now := time.Now()
	second.Follower.mu.Lock()
	second.now = func() time.Time { return now }
	second.Follower.mu.Unlock()
	until(t, second.Down)
	fetch := func(entry string) {
		store.Put(workers, "i-2", []byte(entry))
		first.await(t, "i-2", entry)
		config, list := first.Known()
		second.Fetch(strings.TrimPrefix(peer.URL, "http://"), config, list)
		until(t, func() bool {
			second.Follower.mu.Lock()
			defer second.Follower.mu.Unlock()
			return !second.fetching
		})
	}
	fetch("b")
	second.await(t, "i-1", "a")
	fetch("c")
	fetch("d")
	must.Eq(t, []int{2}, sizes)
	now = now.Add(listEvery)
	fetch("e")
	second.await(t, "i-2", "e")
	must.Eq(t, []int{2, 1}, sizes)

	// A newer configuration does not wait.
	store.Put(operator, platform.ConfigKey, []byte("2"))
	first.await(t, platform.ConfigKey, "2")
	fetch("f")
	second.await(t, platform.ConfigKey, "2")
	must.Eq(t, []int{2, 1, 1}, sizes)
}
