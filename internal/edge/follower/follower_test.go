package follower

import (
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
	"github.com/heatherslip/heatherslip/platform"
	"github.com/heatherslip/heatherslip/platform/emulator"
)

// The topics as strings, for the emulated store.
const (
	operatorTopic = string(platform.OperatorTopic)
	workersTopic  = string(platform.WorkersTopic)
)

// workerValue returns an entry of the worker list with an address. The sequence
// changes with each heartbeat of a worker.
func workerValue(address string, sequence int) []byte {
	return fmt.Appendf(nil, `{"Service":"s","Address":%q,"Zone":"z","State":"ready","Capacity":{"Cpu":1000},"Sequence":%d}`, address, sequence)
}

// recordingFollower is a follower together with what it has passed on: the last
// configuration, and the addresses of the listed workers.
type recordingFollower struct {
	*Follower
	// readsList is what the follower is told about reading the worker list.
	readsList atomic.Bool

	mu     sync.Mutex
	config string
	// evacuated has the keys of the last evacuations, nil before the first.
	evacuated []string
	addresses map[namer.Worker]string
	// changes counts the changes of the worker list.
	changes int
}

func (f *recordingFollower) ApplyConfig(r platform.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.config = string(r.Value)
}

func (f *recordingFollower) ApplyEvacuations(requests []platform.Record, _ time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuated = []string{}
	for _, r := range requests {
		f.evacuated = append(f.evacuated, r.Key)
	}
}

func (f *recordingFollower) ApplyWorkers(changes []WorkerChange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range changes {
		f.changes++
		delete(f.addresses, c.Entry.ID)
		if !c.Entry.Removed {
			f.addresses[c.Entry.ID] = c.Entry.Address
		}
	}
}

func newRecordingFollower(t *testing.T, store *emulator.Store, readsList bool) *recordingFollower {
	t.Helper()
	srv := httptest.NewServer(store)
	t.Cleanup(srv.Close)
	f := &recordingFollower{addresses: make(map[namer.Worker]string)}
	f.readsList.Store(readsList)
	f.Follower = New(platform.NewStoreClient(strings.TrimPrefix(srv.URL, "http://")), zerolog.Nop(), f, f.readsList.Load)
	t.Cleanup(f.Close)
	return f
}

// newSyncedFollower returns a store with a configuration and a worker, and a
// follower that has read both.
func newSyncedFollower(t *testing.T) (*emulator.Store, *recordingFollower) {
	t.Helper()
	store := &emulator.Store{}
	store.Put(operatorTopic, platform.ConfigKey, []byte("1"))
	store.Put(workersTopic, "i-1", workerValue("10.0.0.1:80", 1))
	f := newRecordingFollower(t, store, true)
	f.waitForConfig(t, "1")
	f.waitForWorkers(t, map[namer.Worker]string{"i-1": "10.0.0.1:80"})
	return store, f
}

// newDisconnectedFollower returns a follower whose store is down.
func newDisconnectedFollower(t *testing.T) *recordingFollower {
	t.Helper()
	store := &emulator.Store{}
	store.SetUnavailable(true)
	return newRecordingFollower(t, store, true)
}

// newPeerServer serves the copies of a follower and returns its address.
func newPeerServer(t *testing.T, h http.Handler) string {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

func (f *recordingFollower) waitForConfig(t *testing.T, value string) {
	t.Helper()
	waitUntil(t, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.config == value
	})
}

func (f *recordingFollower) waitForWorkers(t *testing.T, addresses map[namer.Worker]string) {
	t.Helper()
	waitUntil(t, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return maps.Equal(f.addresses, addresses)
	})
}

// fetchFrom fetches what a peer has that is newer, and waits until that is done.
func (f *recordingFollower) fetchFrom(t *testing.T, peer *recordingFollower, address string) {
	t.Helper()
	config, workers := peer.Offsets()
	f.FetchFromPeer(address, config, workers)
	waitUntil(t, func() bool {
		f.Follower.mu.Lock()
		defer f.Follower.mu.Unlock()
		return !f.fetchingCopy
	})
}

// waitUntil waits for a condition. The timeout is long, so that only a hang fails.
func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(time.Minute), wait.Gap(5*time.Millisecond)))
}

// TestReadOfLongTail guards against a read of all that an outage has left, which does not
// fit into the timeout and is started over, so that the worker list stays outdated and
// starts go to draining workers.
func TestReadOfLongTail(t *testing.T) {
	store, f := newSyncedFollower(t)
	store.SetUnavailable(true)
	store.SetBandwidth(1 << 20)
	for n := range 12000 {
		store.Put(workersTopic, "i-1", workerValue("10.0.0.1:80", n))
	}
	store.Put(workersTopic, "i-1", workerValue("10.0.0.2:80", 1))
	store.SetUnavailable(false)
	f.waitForWorkers(t, map[namer.Worker]string{"i-1": "10.0.0.2:80"})
}

// TestFollowTopics checks that changes in the store are passed on, also after the
// store has discarded records that were not read yet.
func TestFollowTopics(t *testing.T) {
	store, f := newSyncedFollower(t)
	store.Put(operatorTopic, platform.ConfigKey, []byte("2"))
	store.Put(workersTopic, "i-1", workerValue("10.0.0.2:80", 2))
	f.waitForConfig(t, "2")
	f.waitForWorkers(t, map[namer.Worker]string{"i-1": "10.0.0.2:80"})

	// The store discards records that were not read yet. The follower has to read
	// the newest records again and pass on missing workers as removed.
	store.SetUnavailable(true)
	store.Put(workersTopic, "i-1", nil)
	store.Put(workersTopic, "i-2", workerValue("10.0.0.3:80", 1))
	store.Compact(workersTopic)
	store.SetUnavailable(false)
	f.waitForWorkers(t, map[namer.Worker]string{"i-2": "10.0.0.3:80"})
}

// TestHeartbeatsOfWorkersChangeNothing checks that records that say nothing new of a
// worker are not passed on, and don't make peers fetch the list.
func TestHeartbeatsOfWorkersChangeNothing(t *testing.T) {
	store, f := newSyncedFollower(t)
	_, before := f.Offsets()
	for n := range 20 {
		store.Put(workersTopic, "i-1", workerValue("10.0.0.1:80", n+2))
	}
	store.Put(workersTopic, "i-2", workerValue("10.0.0.2:80", 1))
	f.waitForWorkers(t, map[namer.Worker]string{"i-1": "10.0.0.1:80", "i-2": "10.0.0.2:80"})
	must.Eq(t, 2, f.changes)
	_, after := f.Offsets()
	must.Eq(t, before+21, after)
	for n := range 20 {
		store.Put(workersTopic, "i-2", workerValue("10.0.0.2:80", n+2))
	}
	waitUntil(t, func() bool {
		f.Follower.mu.Lock()
		defer f.Follower.mu.Unlock()
		return f.list.nextOffset == after+20
	})
	_, last := f.Offsets()
	must.Eq(t, after, last)
}

// TestFetchFromPeer checks that a follower whose store is down gets the store's
// data from a peer, and that older records don't replace newer ones.
func TestFetchFromPeer(t *testing.T) {
	_, synced := newSyncedFollower(t)
	disconnected := newDisconnectedFollower(t)
	disconnected.fetchFrom(t, synced, newPeerServer(t, synced))
	disconnected.waitForConfig(t, "1")
	disconnected.waitForWorkers(t, map[namer.Worker]string{"i-1": "10.0.0.1:80"})

	disconnected.applyConfig([]platform.Record{{Key: platform.ConfigKey, Value: []byte("0"), Offset: 0}})
	disconnected.applyWorkers([]platform.Record{{Key: "i-0", Value: workerValue("10.0.0.26:80", 1), Offset: 0}}, 1, fromFullList)
	disconnected.waitForConfig(t, "1")
	disconnected.waitForWorkers(t, map[namer.Worker]string{"i-1": "10.0.0.1:80"})
}

// TestListIsReadByOwnersOnly checks that an instance that has no need to does not read
// the worker list from the store, gets changes from a peer, and reads the list once it
// has to. Its store is down, so that a read fails.
func TestListIsReadByOwnersOnly(t *testing.T) {
	store, owner := newSyncedFollower(t)
	address := newPeerServer(t, owner)
	unavailable := &emulator.Store{}
	unavailable.SetUnavailable(true)
	member := newRecordingFollower(t, unavailable, false)
	member.fetchFrom(t, owner, address)
	member.waitForWorkers(t, map[namer.Worker]string{"i-1": "10.0.0.1:80"})
	store.Put(workersTopic, "i-1", nil)
	store.Put(workersTopic, "i-2", workerValue("10.0.0.2:80", 1))
	owner.waitForWorkers(t, map[namer.Worker]string{"i-2": "10.0.0.2:80"})
	member.Follower.mu.Lock()
	member.nextListFetch = time.Time{}
	member.Follower.mu.Unlock()
	member.fetchFrom(t, owner, address)
	member.waitForWorkers(t, map[namer.Worker]string{"i-2": "10.0.0.2:80"})
	member.Follower.mu.Lock()
	must.False(t, member.readFailed[platform.WorkersTopic])
	member.Follower.mu.Unlock()

	member.readsList.Store(true)
	waitUntil(t, func() bool {
		member.Follower.mu.Lock()
		defer member.Follower.mu.Unlock()
		return member.readFailed[platform.WorkersTopic]
	})
}

// TestRemovedWorkerStaysRemoved guards against a worker that has left being in use again
// at an instance that got its list from a peer that was behind.
func TestRemovedWorkerStaysRemoved(t *testing.T) {
	cases := map[string]func(l *workerList){
		"the newer peer saw the removal": func(*workerList) {},
		"the newer peer has forgotten which workers were removed": func(l *workerList) {
			l.removals, l.firstOffset = make(map[string]uint64), l.nextOffset
		},
	}
	for name, forget := range cases {
		t.Run(name, func(t *testing.T) {
			store, behind := newSyncedFollower(t)
			newer := newRecordingFollower(t, store, true)
			newer.waitForWorkers(t, map[namer.Worker]string{"i-1": "10.0.0.1:80"})
			behind.readsList.Store(false)
			restarted := newDisconnectedFollower(t)
			restarted.fetchFrom(t, behind, newPeerServer(t, behind))
			restarted.waitForWorkers(t, map[namer.Worker]string{"i-1": "10.0.0.1:80"})

			store.Put(workersTopic, "i-2", workerValue("10.0.0.2:80", 1))
			store.Put(workersTopic, "i-1", nil)
			newer.waitForWorkers(t, map[namer.Worker]string{"i-2": "10.0.0.2:80"})
			newer.Follower.mu.Lock()
			forget(newer.list)
			newer.Follower.mu.Unlock()
			restarted.Follower.mu.Lock()
			restarted.nextListFetch = time.Time{}
			restarted.Follower.mu.Unlock()
			waitUntil(t, restarted.StoreDown)
			address := newPeerServer(t, newer)
			restarted.fetchFrom(t, newer, address)
			restarted.waitForWorkers(t, map[namer.Worker]string{"i-2": "10.0.0.2:80"})

			// The peer that is behind does not bring the worker back.
			restarted.fetchFrom(t, behind, newPeerServer(t, behind))
			restarted.waitForWorkers(t, map[namer.Worker]string{"i-2": "10.0.0.2:80"})
		})
	}
}

// TestWorkerListFetchInterval checks that a worker list that changes all the time is
// fetched from peers only once per workerListInterval, and that only changes are sent.
func TestWorkerListFetchInterval(t *testing.T) {
	store, synced := newSyncedFollower(t)
	var mu sync.Mutex
	var recordCounts []int
	address := newPeerServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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

	disconnected := newDisconnectedFollower(t)
	now := time.Now()
	disconnected.Follower.mu.Lock()
	disconnected.now = func() time.Time { return now }
	disconnected.Follower.mu.Unlock()
	waitUntil(t, disconnected.StoreDown)
	putAndFetch := func(workerAddress string) {
		store.Put(workersTopic, "i-2", workerValue(workerAddress, 1))
		synced.waitForWorkers(t, map[namer.Worker]string{"i-1": "10.0.0.1:80", "i-2": workerAddress})
		disconnected.fetchFrom(t, synced, address)
	}
	putAndFetch("10.0.0.2:80")
	disconnected.waitForWorkers(t, map[namer.Worker]string{"i-1": "10.0.0.1:80", "i-2": "10.0.0.2:80"})
	putAndFetch("10.0.0.3:80")
	putAndFetch("10.0.0.4:80")
	must.Eq(t, []int{2}, recordCounts)
	now = now.Add(workerListInterval)
	putAndFetch("10.0.0.5:80")
	disconnected.waitForWorkers(t, map[namer.Worker]string{"i-1": "10.0.0.1:80", "i-2": "10.0.0.5:80"})
	must.Eq(t, []int{2, 1}, recordCounts)

	// A newer configuration is fetched at once.
	store.Put(operatorTopic, platform.ConfigKey, []byte("2"))
	synced.waitForConfig(t, "2")
	putAndFetch("10.0.0.6:80")
	disconnected.waitForConfig(t, "2")
	must.Eq(t, []int{2, 1, 1}, recordCounts)
}

// TestListNotices checks what passes on of a worker that drains: the first entry that
// says so, since when it may have been known, and a changed time of departure, but not
// each heartbeat.
func TestListNotices(t *testing.T) {
	entry := func(offset uint64, state, clock string) platform.Record {
		return platform.Record{Key: "i-1", Offset: offset, Value: []byte(`{"Service":"s","Address":"10.0.0.1:80","Zone":"z","State":"` + state + `","Capacity":{},"born":1,"ClockMs":` + clock + `}`)}
	}
	type batch struct {
		records []platform.Record
		source  recordSource
	}
	ready := batch{[]platform.Record{entry(0, "ready", "1000"), entry(1, "ready", "2000")}, fromLog}
	cases := map[string]struct {
		batches   []batch
		changes   int
		announced namer.WorkerClockMillis
	}{
		"read from the log":       {[]batch{ready, {[]platform.Record{entry(2, "draining", `3000,"RemainingMs":4000`)}, fromLog}}, 2, 3000},
		"read from the full list": {[]batch{ready, {[]platform.Record{entry(9, "draining", `9000,"RemainingMs":4000`)}, fromFullList}}, 2, 2000},
		"read from a peer":        {[]batch{ready, {[]platform.Record{entry(9, "draining", `9000,"RemainingMs":4000`)}, fromChanges}}, 2, 2000},
		"heartbeats while draining": {[]batch{ready, {[]platform.Record{
			entry(2, "draining", `3000,"RemainingMs":4000`), entry(3, "draining", `4500,"RemainingMs":2500`),
		}, fromLog}}, 2, 3000},
		"longer time": {[]batch{ready, {[]platform.Record{
			entry(2, "draining", `3000,"RemainingMs":4000`), entry(3, "draining", `4500,"RemainingMs":4000`),
		}, fromLog}}, 3, 3000},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			list := newWorkerList()
			var changes []WorkerChange
			for _, b := range c.batches {
				changes = append(changes, list.apply(b.records, b.records[len(b.records)-1].Offset+1, b.source)...)
			}
			must.Len(t, c.changes, changes)
			must.Eq(t, c.announced, changes[len(changes)-1].Entry.Notice.AnnouncedAt)
		})
	}
}
