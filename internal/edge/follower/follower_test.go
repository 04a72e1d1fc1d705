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

// await waits until a key has a value; only a hang fails it.
func (w *watched) await(t *testing.T, key, value string) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.values[key] == value
	}), wait.Timeout(time.Minute), wait.Gap(5*time.Millisecond)))
}

func TestFollow(t *testing.T) {
	store := &emulator.Store{}
	store.Put("keyed.op", "config", []byte("1"))
	store.Put("keyed.servers", "i-1", []byte("a"))
	w := follow(t, store)
	w.await(t, "config", "1")
	w.await(t, "i-1", "a")
	store.Put("keyed.op", "config", []byte("2"))
	store.Put("keyed.servers", "i-1", []byte("b"))
	w.await(t, "config", "2")
	w.await(t, "i-1", "b")

	// The store forgets what has not been read yet: the newest are read again,
	// and what is no longer listed is passed on as gone.
	store.SetDown(true)
	store.Put("keyed.servers", "i-1", nil)
	store.Put("keyed.servers", "i-2", []byte("c"))
	store.Forget("keyed.servers")
	store.SetDown(false)
	w.await(t, "i-2", "c")
	w.await(t, "i-1", "")
}

func TestPeersCopy(t *testing.T) {
	store := &emulator.Store{}
	store.Put("keyed.op", "config", []byte("1"))
	store.Put("keyed.servers", "i-1", []byte("a"))
	first := follow(t, store)
	first.await(t, "config", "1")
	first.await(t, "i-1", "a")
	peer := httptest.NewServer(first)
	defer peer.Close()

	away := &emulator.Store{}
	away.SetDown(true)
	second := follow(t, away)
	config, list := first.Known()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		second.Fetch(strings.TrimPrefix(peer.URL, "http://"), config, list)
		got, _ := second.Known()
		return got == config
	}), wait.Timeout(time.Minute), wait.Gap(10*time.Millisecond)))
	second.await(t, "config", "1")
	second.await(t, "i-1", "a")

	// An older copy changes nothing.
	second.take(platform.Operator, []platform.Record{{Key: platform.ConfigKey, Value: []byte("0"), Offset: 0}}, 0)
	second.await(t, "config", "1")
}

// TestFetchPace checks that a list that grows all the time is fetched from peers
// at the pace of reads, and that only what is new is sent.
func TestFetchPace(t *testing.T) {
	store := &emulator.Store{}
	store.Put("keyed.op", "config", []byte("1"))
	store.Put("keyed.servers", "i-1", []byte("a"))
	first := follow(t, store)
	first.await(t, "config", "1")
	first.await(t, "i-1", "a")
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

	away := &emulator.Store{}
	away.SetDown(true)
	second := follow(t, away)
	now := time.Now()
	second.Follower.mu.Lock()
	second.now = func() time.Time { return now }
	second.Follower.mu.Unlock()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(second.Down), wait.Timeout(time.Minute), wait.Gap(time.Millisecond)))
	fetch := func(entry string) {
		store.Put("keyed.servers", "i-2", []byte(entry))
		first.await(t, "i-2", entry)
		config, list := first.Known()
		second.Fetch(strings.TrimPrefix(peer.URL, "http://"), config, list)
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
			second.Follower.mu.Lock()
			defer second.Follower.mu.Unlock()
			return !second.fetching
		}), wait.Timeout(time.Minute), wait.Gap(time.Millisecond)))
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
	store.Put("keyed.op", "config", []byte("2"))
	first.await(t, "config", "2")
	fetch("f")
	second.await(t, "config", "2")
	must.Eq(t, []int{2, 1, 1}, sizes)
}
