package discoverer

import (
	"fmt"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/heatherslip/heatherslip/internal/core/registrar"
	"github.com/heatherslip/heatherslip/platform"
	"github.com/heatherslip/heatherslip/platform/emulator"
)

const instancesTopic = string(platform.InstancesTopic)

// foundInstances collects what a discoverer finds.
type foundInstances struct {
	mu    sync.Mutex
	addrs []string
}

func (f *foundInstances) add(instances []registrar.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addrs = nil
	for _, i := range instances {
		f.addrs = append(f.addrs, i.Addr.String())
	}
	slices.Sort(f.addrs)
}

func (f *foundInstances) waitFor(t *testing.T, addrs ...string) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return slices.Equal(f.addrs, addrs)
	}), wait.Timeout(time.Minute), wait.Gap(5*time.Millisecond)))
}

// startDiscoverer starts the discoverer of an instance that searches all the time.
func startDiscoverer(t *testing.T, store *emulator.Store, n int) *foundInstances {
	t.Helper()
	srv := httptest.NewServer(store)
	t.Cleanup(srv.Close)
	found := &foundInstances{}
	client := platform.NewStoreClient(strings.TrimPrefix(srv.URL, "http://"))
	self := registrar.Instance{Addr: netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), Domain: "d", CPULimit: 400}
	d := New(client, zerolog.Nop(), fmt.Sprintf("e%d", n), self, func() bool { return true }, found.add)
	t.Cleanup(d.Close)
	return found
}

// TestInstancesFindEachOther checks that instances find each other without seeds, also
// if the store is down when they start, and that records that no instance has written
// are skipped.
func TestInstancesFindEachOther(t *testing.T) {
	store := &emulator.Store{}
	store.Put(instancesTopic, "garbage", []byte("{"))
	store.Put(instancesTopic, "empty", []byte{0xa0})
	store.SetUnavailable(true)
	first, second := startDiscoverer(t, store, 1), startDiscoverer(t, store, 2)
	store.SetUnavailable(false)
	first.waitFor(t, "10.0.0.1", "10.0.0.2")
	second.waitFor(t, "10.0.0.1", "10.0.0.2")
}

// TestOutdatedRecordsAreDeleted checks that the records of instances that have not run
// for long do not accumulate.
func TestOutdatedRecordsAreDeleted(t *testing.T) {
	store := &emulator.Store{}
	startDiscoverer(t, store, 1).waitFor(t, "10.0.0.1")
	for range maxRecordAge + 2 {
		store.Put(instancesTopic, "busy", []byte("x"))
	}
	startDiscoverer(t, store, 2).waitFor(t, "10.0.0.2")
}
