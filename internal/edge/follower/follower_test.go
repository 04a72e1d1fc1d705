package follower

import (
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

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
