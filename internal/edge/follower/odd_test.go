package follower

import (
	"net/http"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
	"github.com/heatherslip/heatherslip/platform"
)

// oddValues are entries of another writer.
func oddValues() map[string][]byte {
	good := string(workerValue("10.0.0.9:80", 1))
	return map[string][]byte{
		"deeply nested":           []byte(strings.Replace(good, `"Sequence":1`, `"X":`+strings.Repeat("[", 10001)+strings.Repeat("]", 10001), 1)),
		"as nested as a record":   []byte(strings.Repeat("[", 131000) + strings.Repeat("]", 131000)),
		"a number too large":      []byte(strings.Replace(good, "1000", "1e400", 1)),
		"a capacity that wraps":   []byte(strings.Replace(good, "1000", "-9223372036854775808", 1)),
		"a start after all time":  []byte(strings.Replace(good, `"Sequence":1`, `"born":9223372036854775807`, 1)),
		"a port out of range":     []byte(strings.Replace(good, ":80", ":65536", 1)),
		"a port of 0":             []byte(strings.Replace(good, ":80", ":0", 1)),
		"bytes that are not JSON": {0xff, 0, '{'},
	}
}

// TestOddEntryIsPassed guards against a list that is no longer followed after an odd entry:
// as a change, in the list that is read first, and in the copy of a peer.
func TestOddEntryIsPassed(t *testing.T) {
	a, b, c := "10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"
	for name, odd := range oddValues() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store, changed := newSyncedFollower(t)
			store.Put(workersTopic, "i-2", workerValue(b, 1))
			store.Put(workersTopic, "i-2", odd)
			store.Put(workersTopic, "i-3", workerValue(c, 1))
			want := map[namer.Worker]string{"i-1": a, "i-3": c}
			changed.waitForWorkers(t, want)
			started := newRecordingFollower(t, store, true)
			started.waitForWorkers(t, want)
			copied := newDisconnectedFollower(t)
			waitUntil(t, copied.StoreDown)
			address := newPeerServer(t, changed)
			copied.fetchFrom(t, changed, address)
			copied.waitForWorkers(t, want)

			store.Put(workersTopic, "i-2", workerValue(b, 3))
			want["i-2"] = b
			changed.waitForWorkers(t, want)
			started.waitForWorkers(t, want)
			must.False(t, changed.StoreDown())
		})
	}
}

// TestOddKeySparesCopy guards against copies that no peer can decode.
func TestOddKeySparesCopy(t *testing.T) {
	for name, c := range map[string]struct{ topic, key string }{
		"worker":     {workersTopic, "i-\xff"},
		"evacuation": {operatorTopic, platform.EvacuationKey("\xff")},
	} {
		t.Run(name, func(t *testing.T) {
			store, synced := newSyncedFollower(t)
			store.Put(c.topic, c.key, workerValue("10.0.0.2:80", 1))
			store.Put(workersTopic, "i-3", workerValue("10.0.0.3:80", 1))
			want := map[namer.Worker]string{"i-1": "10.0.0.1:80", "i-3": "10.0.0.3:80"}
			address := newPeerServer(t, synced)
			copied := newDisconnectedFollower(t)
			waitUntil(t, copied.StoreDown)
			waitUntil(t, func() bool {
				synced.mu.Lock()
				defer synced.mu.Unlock()
				return synced.addresses["i-3"] != ""
			})
			must.NoError(t, copied.fetchCopy(address, 0, 0))
			copied.waitForWorkers(t, want)
		})
	}
}

// TestOddCopySparesOthers checks a copy of a peer that passes odd records on.
func TestOddCopySparesOthers(t *testing.T) {
	f := newDisconnectedFollower(t)
	records := []platform.Record{{Key: "i-1", Value: workerValue("10.0.0.1:80", 1), Offset: 1}, {Key: "i-\xff", Value: workerValue("10.0.0.9:80", 1), Offset: 2}}
	for name, odd := range oddValues() {
		records = append(records, platform.Record{Key: "odd " + name, Value: odd, Offset: uint64(len(records) + 1)})
	}
	b, err := cbor.Marshal(StoreCopy{Workers: records, NextWorkerOffset: 100, IsFullList: true})
	must.NoError(t, err)
	address := newPeerServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(b) }))
	must.NoError(t, f.fetchCopy(address, 0, 0))
	f.waitForWorkers(t, map[namer.Worker]string{"i-1": "10.0.0.1:80"})
}
