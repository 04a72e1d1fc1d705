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

type recordingReceiver struct {
	mu           sync.Mutex
	runTags      map[string]namer.RunTag
	reservedRuns map[namer.Run]bool
}

func newRecordingReceiver() *recordingReceiver {
	return &recordingReceiver{runTags: make(map[string]namer.RunTag), reservedRuns: make(map[namer.Run]bool)}
}

func (r *recordingReceiver) HandleHeartbeat(h Heartbeat) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runTags[h.Name] = h.RunTag
}

func (r *recordingReceiver) HandleMessage(_ string, l scheduler.Letter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range l.Asks {
		r.reservedRuns[a.Run] = true
	}
}

func (r *recordingReceiver) heartbeatsFrom(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runTags) == n
}

// TestDiscovery checks that instances that know one seed find each other, and that
// a letter too large for one datagram arrives whole.
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
		waitUntil(t, func() bool { return receiver.heartbeatsFrom(2) })
	}
	must.Eq(t, 2, receivers[1].runTags["e2"])

	const asks = 100
	var l scheduler.Letter
	for n := range asks {
		l.Asks = append(l.Asks, scheduler.Ask{Run: namer.Run(n), Service: namer.Service(strings.Repeat("s", 40))})
	}
	waitUntil(t, func() bool {
		// Datagrams may be lost, so that the letter is sent until it is there.
		gossipers[1].SendMessage("e2", l)
		gossipers[1].SendMessage("nobody", l)
		time.Sleep(5 * time.Millisecond)
		receivers[2].mu.Lock()
		defer receivers[2].mu.Unlock()
		return len(receivers[2].reservedRuns) == asks
	})
}

func waitUntil(t *testing.T, done func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(done), wait.Timeout(time.Minute), wait.Gap(5*time.Millisecond)))
}
