// Package gossiper exchanges heartbeats and messages between the instances as
// CBOR-encoded UDP datagrams. It needs no reliable transport, whose connections
// could stall: each heartbeat replaces the one before, and all parts of a message
// may be lost or duplicated. The registrar decides who receives heartbeats.
package gossiper

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/heatherslip/heatherslip/internal/core/dater"
	"github.com/heatherslip/heatherslip/internal/core/registrar"
	"github.com/heatherslip/heatherslip/internal/core/scheduler"
	"github.com/heatherslip/heatherslip/internal/edge/clocker"
)

const (
	// maxDatagramBytes bounds the datagrams of messages. It is below the usual MTU,
	// so that they are not fragmented.
	maxDatagramBytes = 1400
	// maxUnsplitBytes bounds the datagrams that can't be split. A job's payload of at
	// most 4 KB is not split, so the network may have to fragment them.
	maxUnsplitBytes = 8 << 10
	// readBufferSize is the maximum size of a UDP datagram.
	readBufferSize  = 64 << 10
	protocolVersion = 1
)

// packet is the content of one datagram: a heartbeat or a message.
type packet struct {
	ProtocolVersion int                    `cbor:"1,keyasint"`
	Sender          string                 `cbor:"2,keyasint"`
	Heartbeat       *registrar.Heartbeat   `cbor:"3,keyasint,omitempty"`
	Message         *scheduler.PeerMessage `cbor:"4,keyasint,omitempty"`
	// SentAt is the sender's clock when the datagram was sent.
	SentAt dater.Reading `cbor:"5,keyasint,omitempty"`
}

// Receiver handles what arrives from peers. Its methods are called from a single
// goroutine.
type Receiver interface {
	HandleHeartbeat(registrar.Heartbeat)
	HandleMessage(scheduler.MessageReceived)
	// HandleInvalidDatagram handles a datagram that no peer of this version sends.
	HandleInvalidDatagram(from netip.Addr, err error)
}

// Gossiper sends and receives datagrams. Create one with New.
type Gossiper struct {
	conn     *net.UDPConn
	port     uint16
	ownAddr  netip.Addr
	name     string
	receiver Receiver
	wg       sync.WaitGroup
}

// New opens the socket on ownAddr and starts to receive. The name identifies this
// incarnation of the instance. Peers must use the same port.
func New(name string, ownAddr netip.Addr, port int, receiver Receiver) (*Gossiper, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ownAddr, uint16(port))))
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	g := &Gossiper{conn: conn, port: uint16(port), ownAddr: ownAddr, name: name, receiver: receiver}
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		g.runReceiver()
	}()
	return g, nil
}

// Close stops the gossiper and waits for its goroutine.
func (g *Gossiper) Close() {
	// The receiver ends by the error of its read.
	_ = g.conn.Close()
	g.wg.Wait()
}

// SendHeartbeat sends a heartbeat to peers.
func (g *Gossiper) SendHeartbeat(to []netip.Addr, h registrar.Heartbeat) {
	b := encodePacket(g.newPacket(&h, nil))
	for _, addr := range to {
		g.writeDatagram(b, addr)
	}
}

// SendMessage sends a message to a peer, split into as many datagrams as needed. It
// drops a part that is too large and can't be split. It returns the number of bytes sent.
func (g *Gossiper) SendMessage(to netip.Addr, m scheduler.PeerMessage) int {
	b := encodePacket(g.newPacket(nil, &m))
	if len(b) <= maxDatagramBytes {
		g.writeDatagram(b, to)
		return len(b)
	}
	if first, second, ok := m.Split(); ok {
		return g.SendMessage(to, first) + g.SendMessage(to, second)
	}
	if len(b) > maxUnsplitBytes {
		return 0
	}
	g.writeDatagram(b, to)
	return len(b)
}

// newPacket returns a packet that is sent now.
func (g *Gossiper) newPacket(h *registrar.Heartbeat, m *scheduler.PeerMessage) *packet {
	return &packet{
		ProtocolVersion: protocolVersion, Sender: g.name, Heartbeat: h, Message: m, SentAt: dater.ReadingAt(clocker.ApproxBootTime()),
	}
}

// encodePacket encodes a packet. All types in a packet can be encoded, so an error
// is a bug.
func encodePacket(p *packet) []byte {
	b, err := cbor.Marshal(p)
	if err != nil {
		panic(fmt.Sprintf("encode packet: %v", err))
	}
	return b
}

func (g *Gossiper) writeDatagram(b []byte, to netip.Addr) {
	// An error is treated like the loss of the datagram.
	_, _ = g.conn.WriteToUDPAddrPort(b, netip.AddrPortFrom(to, g.port))
}

func (g *Gossiper) runReceiver() {
	buf := make([]byte, readBufferSize)
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		addr := from.Addr().Unmap()
		p, err := decodePacket(buf[:n])
		if err != nil {
			g.receiver.HandleInvalidDatagram(addr, err)
			continue
		}
		g.handlePacket(p, addr)
	}
}

// decodePacket decodes a packet and checks its protocol version and sender.
func decodePacket(b []byte) (*packet, error) {
	var p packet
	if err := cbor.Unmarshal(b, &p); err != nil {
		return nil, fmt.Errorf("decode packet: %w", err)
	}
	if p.ProtocolVersion != protocolVersion || p.Sender == "" {
		return nil, fmt.Errorf("unsupported protocol version %d or invalid sender %q", p.ProtocolVersion, p.Sender)
	}
	return &p, nil
}

func (g *Gossiper) handlePacket(p *packet, from netip.Addr) {
	if p.Sender == g.name || from == g.ownAddr {
		return
	}
	if p.Message != nil {
		g.receiver.HandleMessage(scheduler.MessageReceived{From: p.Sender, SourceAddr: from, SentAt: p.SentAt, Message: *p.Message})
	}
	if p.Heartbeat != nil {
		p.Heartbeat.Name, p.Heartbeat.SourceAddr, p.Heartbeat.SentAt = p.Sender, from, p.SentAt
		g.receiver.HandleHeartbeat(*p.Heartbeat)
	}
}
