// Package gossiper exchanges heartbeats and messages between the instances as
// CBOR-encoded UDP datagrams. It needs no reliable transport, whose connections
// could stall: each heartbeat replaces the one before, and all parts of a message
// may be lost or duplicated.
package gossiper

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/heatherslip/heatherslip/internal/core/scheduler"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

const (
	// Heartbeats are sent at an interval of heartbeatIntervalPerPeer per peer, within
	// the two bounds. With these values, three heartbeats in a row have to be lost
	// before an instance counts as silent, and at 33 instances each of them sends 250
	// heartbeats a second.
	minHeartbeatInterval     = 50 * time.Millisecond
	heartbeatIntervalPerPeer = 4 * time.Millisecond
	maxHeartbeatInterval     = 130 * time.Millisecond
	// peerExpiry is how long heartbeats are still sent to a silent peer, so that
	// instances find each other again after a network partition.
	peerExpiry = time.Minute
	// maxDatagramBytes bounds the datagrams of messages. It is below the usual MTU,
	// so that they are not fragmented.
	maxDatagramBytes = 1400
	// maxListedPeers bounds the number of peers listed in one heartbeat.
	maxListedPeers = 24
	// After a new peer was found, initialPeerListRounds rounds of heartbeats list the
	// known peers; after that, one round in peerListPeriod does.
	peerListPeriod        = 10
	initialPeerListRounds = 4
	// readBufferSize is the maximum size of a UDP datagram.
	readBufferSize  = 64 << 10
	protocolVersion = 1
)

// Heartbeat is the state that an instance reports to its peers.
type Heartbeat struct {
	// Name identifies one incarnation of the instance. It is set on receipt.
	Name   string       `cbor:"-"`
	Domain namer.Domain `cbor:"1,keyasint"`
	RunTag namer.RunTag `cbor:"2,keyasint"`
	// FreeSlots is the number of typical tasks that it has capacity for, by service.
	FreeSlots map[namer.Service]int `cbor:"3,keyasint,omitempty"`
	// NextConfigOffset is the offset after the record of the configuration, zero if
	// there is none. NextWorkerOffset is the offset up to which the worker list has
	// been read.
	NextConfigOffset uint64 `cbor:"6,keyasint"`
	NextWorkerOffset uint64 `cbor:"7,keyasint"`
	// Draining is set if the instance shuts down once its jobs have ended.
	Draining bool `cbor:"9,keyasint,omitempty"`
	// CPULimit is the processor share that the instance may use.
	CPULimit namer.MilliCores `cbor:"10,keyasint,omitempty"`
	// Peers lists addresses of other instances, which may be down.
	Peers []netip.Addr `cbor:"8,keyasint,omitempty"`
	// SourceAddr is the address that the heartbeat came from. It is set on receipt.
	SourceAddr netip.Addr `cbor:"-"`
}

// packet is the content of one datagram: a heartbeat or a message.
type packet struct {
	ProtocolVersion int                    `cbor:"1,keyasint"`
	Sender          string                 `cbor:"2,keyasint"`
	Heartbeat       *Heartbeat             `cbor:"3,keyasint,omitempty"`
	Message         *scheduler.PeerMessage `cbor:"4,keyasint,omitempty"`
}

// Receiver handles what arrives from peers. Its methods are called from a single
// goroutine.
type Receiver interface {
	HandleHeartbeat(Heartbeat)
	HandleMessage(from string, m scheduler.PeerMessage)
}

// packetConn is the part of net.UDPConn that the gossiper uses.
type packetConn interface {
	ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	Close() error
}

// Gossiper sends and receives datagrams. Create one with New.
type Gossiper struct {
	conn    packetConn
	port    uint16
	ownAddr netip.Addr
	name    string
	// ownHeartbeat returns the current state of this instance.
	ownHeartbeat func() Heartbeat
	receiver     Receiver
	done         chan struct{}
	wg           sync.WaitGroup

	mu sync.Mutex
	// lastSeen is when the last heartbeat came from each address, or when the
	// address was added.
	lastSeen map[netip.Addr]time.Time
	// addrByName holds the addresses of peers that have sent a heartbeat.
	addrByName map[string]netip.Addr
	// roundsSinceNewPeer counts the rounds of heartbeats since the last new address.
	roundsSinceNewPeer int
}

// New opens the socket on ownAddr and starts to send and receive. The name
// identifies this incarnation of the instance. Peers must use the same port.
func New(name, ownAddr string, port int, seeds []string, ownHeartbeat func() Heartbeat, receiver Receiver) (*Gossiper, error) {
	ip, err := netip.ParseAddr(ownAddr)
	if err != nil {
		return nil, fmt.Errorf("parse address of this instance: %w", err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, uint16(port))))
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	g := newGossiper(name, ip, uint16(port), conn, ownHeartbeat, receiver)
	g.AddSeeds(seeds)
	g.wg.Add(2)
	go func() {
		defer g.wg.Done()
		g.runHeartbeats()
	}()
	go func() {
		defer g.wg.Done()
		g.runReceiver()
	}()
	return g, nil
}

func newGossiper(name string, ownAddr netip.Addr, port uint16, conn packetConn, ownHeartbeat func() Heartbeat, receiver Receiver) *Gossiper {
	return &Gossiper{
		conn: conn, port: port, ownAddr: ownAddr, name: name, ownHeartbeat: ownHeartbeat, receiver: receiver,
		done: make(chan struct{}), lastSeen: make(map[netip.Addr]time.Time), addrByName: make(map[string]netip.Addr),
	}
}

// Close stops the gossiper and waits for its goroutines.
func (g *Gossiper) Close() {
	close(g.done)
	_ = g.conn.Close()
	g.wg.Wait()
}

// AddSeeds adds addresses of instances, which may be down. Invalid addresses are
// ignored.
func (g *Gossiper) AddSeeds(seeds []string) {
	for _, s := range seeds {
		if ip, err := netip.ParseAddr(s); err == nil {
			g.addPeer(ip, false)
		}
	}
}

// addPeer adds a peer's address or, if a heartbeat was received from it, updates
// when it was last seen. It reports whether the address is new.
func (g *Gossiper) addPeer(ip netip.Addr, heartbeatReceived bool) bool {
	if ip == g.ownAddr || !ip.Is4() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	_, known := g.lastSeen[ip]
	if heartbeatReceived || !known {
		g.lastSeen[ip] = time.Now()
	}
	if !known {
		g.roundsSinceNewPeer = 0
	}
	return !known
}

// setPeerAddr records the address of a named peer. It reports whether the name is
// new; an instance that restarts has a new name.
func (g *Gossiper) setPeerAddr(name string, ip netip.Addr) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, known := g.addrByName[name]
	g.addrByName[name] = ip
	return !known
}

// PeerAddrs returns the addresses of all peers, in no particular order, and
// removes those that have expired.
func (g *Gossiper) PeerAddrs() []netip.Addr {
	g.mu.Lock()
	defer g.mu.Unlock()
	addrs := make([]netip.Addr, 0, len(g.lastSeen))
	for ip, seen := range g.lastSeen {
		if time.Since(seen) > peerExpiry {
			delete(g.lastSeen, ip)
			g.removeNames(ip)
			continue
		}
		addrs = append(addrs, ip)
	}
	return addrs
}

// removeNames removes all names of an address. The caller holds the lock.
func (g *Gossiper) removeNames(ip netip.Addr) {
	for name, addr := range g.addrByName {
		if addr == ip {
			delete(g.addrByName, name)
		}
	}
}

func (g *Gossiper) runHeartbeats() {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-g.done:
			return
		case <-t.C:
			n := g.sendHeartbeatRound()
			t.Reset(min(max(minHeartbeatInterval, time.Duration(n)*heartbeatIntervalPerPeer), maxHeartbeatInterval))
		}
	}
}

// sendHeartbeatRound sends a heartbeat to all peers and returns their number.
func (g *Gossiper) sendHeartbeatRound() int {
	peers := g.PeerAddrs()
	g.mu.Lock()
	listPeers := g.roundsSinceNewPeer < initialPeerListRounds || g.roundsSinceNewPeer%peerListPeriod == 0
	g.roundsSinceNewPeer++
	g.mu.Unlock()
	g.sendHeartbeat(peers, listPeers)
	return len(peers)
}

// announceToNewPeers sends a heartbeat to new peers without waiting for the next
// round, so that the instances of a starting site find each other in a few round
// trips.
func (g *Gossiper) announceToNewPeers(newPeers []netip.Addr) {
	if len(newPeers) > 0 {
		g.sendHeartbeat(newPeers, true)
	}
}

// sendHeartbeat sends a heartbeat to the addresses; listPeers makes it list peers.
func (g *Gossiper) sendHeartbeat(addrs []netip.Addr, listPeers bool) {
	h := g.ownHeartbeat()
	if listPeers {
		peers := g.PeerAddrs()
		h.Peers = peers[:min(len(peers), maxListedPeers)]
	}
	b := encodePacket(&packet{ProtocolVersion: protocolVersion, Sender: g.name, Heartbeat: &h})
	for _, ip := range addrs {
		g.writeDatagram(b, ip)
	}
}

// SendMessage sends a message to a peer, split into as many datagrams as needed.
// It drops the message if no heartbeat has come from the peer, or if a part that
// can't be split is too large.
func (g *Gossiper) SendMessage(to string, m scheduler.PeerMessage) {
	g.mu.Lock()
	ip, known := g.addrByName[to]
	g.mu.Unlock()
	if !known {
		return
	}
	b := encodePacket(&packet{ProtocolVersion: protocolVersion, Sender: g.name, Message: &m})
	if len(b) <= maxDatagramBytes {
		g.writeDatagram(b, ip)
		return
	}
	if first, second, ok := m.Split(); ok {
		g.SendMessage(to, first)
		g.SendMessage(to, second)
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
		p, err := decodePacket(buf[:n])
		if err != nil {
			// The datagram doesn't come from a peer.
			continue
		}
		g.handlePacket(p, from.Addr().Unmap())
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

// handlePacket passes a packet to the receiver, adds the sender and the peers that
// it lists, and sends a heartbeat to those that are new.
func (g *Gossiper) handlePacket(p *packet, from netip.Addr) {
	if p.Message != nil {
		g.receiver.HandleMessage(p.Sender, *p.Message)
	}
	if p.Heartbeat == nil {
		return
	}
	p.Heartbeat.Name, p.Heartbeat.SourceAddr = p.Sender, from
	var newPeers []netip.Addr
	if addrIsNew, nameIsNew := g.addPeer(from, true), g.setPeerAddr(p.Sender, from); addrIsNew || nameIsNew {
		newPeers = append(newPeers, from)
	}
	for _, ip := range p.Heartbeat.Peers {
		if g.addPeer(ip, false) {
			newPeers = append(newPeers, ip)
		}
	}
	g.receiver.HandleHeartbeat(*p.Heartbeat)
	g.announceToNewPeers(newPeers)
}
