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

type inbox struct {
	mu     sync.Mutex
	hellos map[string]namer.RunTag
	asks   map[namer.Run]bool
}

func newInbox() *inbox {
	return &inbox{hellos: make(map[string]namer.RunTag), asks: make(map[namer.Run]bool)}
}

func (i *inbox) Heard(h Hello) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.hellos[h.Name] = h.Tag
}

func (i *inbox) Told(_ string, l scheduler.Letter) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, a := range l.Asks {
		i.asks[a.Run] = true
	}
}

func (i *inbox) knows(n int) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.hellos) == n
}

// TestMeet checks that instances that know one seed find each other, and that
// a letter too large for one datagram arrives whole.
func TestMeet(t *testing.T) {
	probe, err := net.ListenPacket("udp4", "127.0.0.11:0")
	must.NoError(t, err)
	port := probe.LocalAddr().(*net.UDPAddr).Port
	must.NoError(t, probe.Close())
	var boxes []*inbox
	var all []*Gossiper
	for n := range 3 {
		box := newInbox()
		g, err := New(fmt.Sprintf("e%d", n), fmt.Sprintf("127.0.0.%d", 11+n), port, []string{"127.0.0.11", "not an address"},
			func() Hello { return Hello{Tag: namer.RunTag(n)} }, box)
		must.NoError(t, err)
		t.Cleanup(g.Close)
		boxes, all = append(boxes, box), append(all, g)
	}
	for _, box := range boxes {
		await(t, func() bool { return box.knows(2) })
	}
	must.Eq(t, 2, boxes[1].hellos["e2"])

	const asks = 100
	var l scheduler.Letter
	for n := range asks {
		l.Asks = append(l.Asks, scheduler.Ask{Run: namer.Run(n), Service: namer.Service(strings.Repeat("s", 40))})
	}
	await(t, func() bool {
		// Datagrams may be lost, so that the letter is sent until it is there.
		all[1].Send("e2", l)
		all[1].Send("nobody", l)
		time.Sleep(5 * time.Millisecond)
		boxes[2].mu.Lock()
		defer boxes[2].mu.Unlock()
		return len(boxes[2].asks) == asks
	})
}

func await(t *testing.T, done func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(done), wait.Timeout(time.Minute), wait.Gap(5*time.Millisecond)))
}
