package gossiper

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/heatherslip/heatherslip/internal/core/scheduler"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// recordingReceiver records the run tags of peers by name, and the runs of all
// reserve requests.
type recordingReceiver struct {
	mu           sync.Mutex
	runTags      map[string]namer.RunTag
	reservedRuns map[namer.RunID]bool
}

func newRecordingReceiver() *recordingReceiver {
	return &recordingReceiver{runTags: make(map[string]namer.RunTag), reservedRuns: make(map[namer.RunID]bool)}
}

func (r *recordingReceiver) HandleHeartbeat(h Heartbeat) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runTags[h.Name] = h.RunTag
}

func (r *recordingReceiver) HandleMessage(_ string, m scheduler.PeerMessage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range m.ReserveRequests {
		r.reservedRuns[a.Run] = true
	}
}

func (r *recordingReceiver) hasPeerCount(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runTags) == n
}

// TestDiscovery checks that instances with a single common seed find each other,
// and that all parts of a message too large for one datagram arrive.
func TestDiscovery(t *testing.T) {
	probe, err := net.ListenPacket("udp4", "127.0.0.11:0")
	must.NoError(t, err)
	port := probe.LocalAddr().(*net.UDPAddr).Port
	must.NoError(t, probe.Close())
	var receivers []*recordingReceiver
	var gossipers []*Gossiper
	for n := range 3 {
		receiver := newRecordingReceiver()
		g, err := New(fmt.Sprintf("e%d", n), fmt.Sprintf("127.0.0.%d", 11+n), port, []string{"127.0.0.11", "not an address"},
			func() Heartbeat { return Heartbeat{RunTag: namer.RunTag(n)} }, receiver)
		must.NoError(t, err)
		t.Cleanup(g.Close)
		receivers, gossipers = append(receivers, receiver), append(gossipers, g)
	}
	for _, receiver := range receivers {
		waitUntil(t, func() bool { return receiver.hasPeerCount(2) })
	}
	must.Eq(t, 2, receivers[1].runTags["e2"])

	const requests = 100
	var m scheduler.PeerMessage
	for n := range requests {
		m.ReserveRequests = append(m.ReserveRequests, scheduler.ReserveRequest{Run: namer.RunID(n), Service: namer.Service(strings.Repeat("s", 40))})
	}
	waitUntil(t, func() bool {
		// Datagrams may be lost, so the message is sent again until all parts arrived.
		gossipers[1].SendMessage("e2", m)
		gossipers[1].SendMessage("nobody", m)
		time.Sleep(5 * time.Millisecond)
		receivers[2].mu.Lock()
		defer receivers[2].mu.Unlock()
		return len(receivers[2].reservedRuns) == requests
	})
}

func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(time.Minute), wait.Gap(5*time.Millisecond)))
}
