package gossiper

import (
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/heatherslip/heatherslip/internal/core/dater"
	"github.com/heatherslip/heatherslip/internal/core/registrar"
	"github.com/heatherslip/heatherslip/internal/core/scheduler"
	"github.com/heatherslip/heatherslip/internal/edge/clocker"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// recordingReceiver records what arrives: heartbeats by the name of the sender, the
// runs of all reserve requests, and the number of invalid datagrams.
type recordingReceiver struct {
	mu           sync.Mutex
	heartbeats   map[string]registrar.Heartbeat
	reservedRuns map[namer.RunID]netip.Addr
	invalid      int
}

func newRecordingReceiver() *recordingReceiver {
	return &recordingReceiver{heartbeats: make(map[string]registrar.Heartbeat), reservedRuns: make(map[namer.RunID]netip.Addr)}
}

func (r *recordingReceiver) HandleHeartbeat(h registrar.Heartbeat) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heartbeats[h.Name] = h
}

func (r *recordingReceiver) HandleMessage(m scheduler.MessageReceived) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range m.Message.ReserveRequests {
		r.reservedRuns[a.Run] = m.SourceAddr
	}
}

func (r *recordingReceiver) HandleInvalidDatagram(netip.Addr, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.invalid++
}

// holds evaluates a condition on what was received.
func (r *recordingReceiver) holds(condition func() bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return condition()
}

// newPair returns the gossipers of two instances, the receiver of the second, and
// their port.
func newPair(t *testing.T) (sender, target *Gossiper, receiver *recordingReceiver, port int) {
	t.Helper()
	probe, err := net.ListenPacket("udp4", "127.0.0.11:0")
	must.NoError(t, err)
	port = probe.LocalAddr().(*net.UDPAddr).Port
	must.NoError(t, probe.Close())
	receiver = newRecordingReceiver()
	sender, err = New("e0", netip.MustParseAddr("127.0.0.11"), port, newRecordingReceiver())
	must.NoError(t, err)
	t.Cleanup(sender.Close)
	target, err = New("e1", netip.MustParseAddr("127.0.0.12"), port, receiver)
	must.NoError(t, err)
	t.Cleanup(target.Close)
	return sender, target, receiver, port
}

// TestSend checks that heartbeats arrive with their sender, and that all parts of a
// message too large for one datagram do.
func TestSend(t *testing.T) {
	sender, target, receiver, _ := newPair(t)
	h := registrar.Heartbeat{
		Domain: "d", RunTag: 7, Interval: time.Second, FreeCores: map[namer.Service][]namer.MilliCores{"s": {16000, 8000}},
		Owners:  []registrar.OwnerSummary{{Name: "o", Addr: netip.MustParseAddr("10.0.0.1"), Age: time.Millisecond}},
		Members: []registrar.MemberSummary{{Addr: netip.MustParseAddr("10.0.0.2"), Draining: true}},
	}
	const requests = 100
	var m scheduler.PeerMessage
	for n := range requests {
		m.ReserveRequests = append(m.ReserveRequests, scheduler.ReserveRequest{Run: namer.RunID(n), Service: namer.Service(strings.Repeat("s", 40))})
	}
	before := dater.ReadingAt(clocker.BootTime())
	waitUntil(t, func() bool {
		// Datagrams may be lost, so they are sent again until all have arrived.
		sender.SendHeartbeat([]netip.Addr{target.ownAddr}, h)
		sender.SendMessage(target.ownAddr, m)
		time.Sleep(5 * time.Millisecond)
		return receiver.holds(func() bool { return len(receiver.reservedRuns) == requests && len(receiver.heartbeats) == 1 })
	})
	sentAt := receiver.heartbeats["e0"].SentAt
	must.Between(t, before, sentAt, dater.ReadingAt(clocker.BootTime()))
	h.Name, h.SourceAddr, h.SentAt = "e0", sender.ownAddr, sentAt
	must.Eq(t, h, receiver.heartbeats["e0"])
	must.Eq(t, sender.ownAddr, receiver.reservedRuns[0])
}

// TestInvalidDatagrams checks that datagrams that no peer of this version sends are
// counted and change nothing.
func TestInvalidDatagrams(t *testing.T) {
	valid := encodePacket(&packet{ProtocolVersion: protocolVersion, Sender: "e9", Heartbeat: &registrar.Heartbeat{RunTag: 9}})
	otherVersion, err := cbor.Marshal(&packet{ProtocolVersion: protocolVersion + 1, Sender: "e9", Heartbeat: &registrar.Heartbeat{}})
	must.NoError(t, err)
	cases := map[string][]byte{
		"empty":            {},
		"not CBOR":         []byte("GET / HTTP/1.1\r\n\r\n"),
		"cut short":        valid[:len(valid)-3],
		"another version":  otherVersion,
		"no sender":        encodePacket(&packet{ProtocolVersion: protocolVersion, Heartbeat: &registrar.Heartbeat{}}),
		"a list":           {0x83, 1, 2, 3},
		"deeply nested":    []byte(strings.Repeat("\x81", 4000)),
		"length too large": {0xbb, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
	}
	for name, datagram := range cases {
		t.Run(name, func(t *testing.T) {
			_, target, receiver, port := newPair(t)
			conn, err := net.Dial("udp4", netip.AddrPortFrom(target.ownAddr, uint16(port)).String())
			must.NoError(t, err)
			defer conn.Close()
			waitUntil(t, func() bool {
				_, err := conn.Write(datagram)
				must.NoError(t, err)
				time.Sleep(5 * time.Millisecond)
				return receiver.holds(func() bool { return receiver.invalid > 0 })
			})
			must.MapEmpty(t, receiver.heartbeats)
		})
	}
}

func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(time.Minute), wait.Gap(5*time.Millisecond)))
}
