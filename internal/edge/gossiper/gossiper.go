// Package gossiper carries hellos and letters between the instances as
// datagrams of CBOR. Datagrams are enough, and no connection can stall them: a
// hello replaces the last, and all that a letter says may be lost or come twice.
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
	// minHeartbeatInterval is the pace of hellos among a few instances, and helloPer what
	// each instance adds, up to maxHello: three in a row are lost before an
	// instance counts as silent, and 33 instances send 250 hellos a second each.
	minHeartbeatInterval     = 50 * time.Millisecond
	heartbeatIntervalPerPeer = 4 * time.Millisecond
	maxHeartbeatInterval     = 130 * time.Millisecond
	// peerExpiry is how long a silent peer is still written to, so that it is
	// found again after a cut.
	peerExpiry = time.Minute
	// maxDatagramBytes bounds a datagram; it stays below what networks carry whole.
	maxDatagramBytes = 1400
	// maxListedPeers bounds how many peers one datagram names.
	maxListedPeers = 24
	// peerListPeriod is how often a hello names peers while nobody new is met, and
	// spreadRounds how many hellos in a row do after that.
	peerListPeriod        = 10
	initialPeerListRounds = 4
	// readBufferSize is the largest datagram that there is.
	readBufferSize  = 64 << 10
	protocolVersion = 1
)

// Heartbeat is what an instance says of itself.
type Heartbeat struct {
	// Name names one incarnation.
	Name   string       `cbor:"-"`
	Domain namer.Domain `cbor:"1,keyasint"`
	RunTag namer.RunTag `cbor:"2,keyasint"`
	// FreeSlots is the number of usual tasks that it has places for, by service.
	FreeSlots map[namer.Service]int `cbor:"3,keyasint,omitempty"`
	// NextConfigOffset is the version in force, List how far the list of workers is known.
	NextConfigOffset uint64 `cbor:"6,keyasint"`
	NextWorkerOffset uint64 `cbor:"7,keyasint"`
	// Draining is set where the instance ends as soon as its jobs have.
	Draining bool `cbor:"9,keyasint,omitempty"`
	// CPULimit is the share of a processor that the instance may use.
	CPULimit namer.MilliCores `cbor:"10,keyasint,omitempty"`
	// Peers are addresses of instances that may live.
	Peers []netip.Addr `cbor:"8,keyasint,omitempty"`
	// SourceAddr is the address that the hello came from.
	SourceAddr netip.Addr `cbor:"-"`
}

// packet is one datagram.
type packet struct {
	Protocol  int               `cbor:"1,keyasint"`
	Sender    string            `cbor:"2,keyasint"`
	Heartbeat *Heartbeat        `cbor:"3,keyasint,omitempty"`
	Message   *scheduler.Letter `cbor:"4,keyasint,omitempty"`
}

// Receiver is told of what arrives.
type Receiver interface {
	HandleHeartbeat(Heartbeat)
	HandleMessage(from string, l scheduler.Letter)
}

// packetConn is what is needed of a socket.
type packetConn interface {
	ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	Close() error
}

// Gossiper sends and takes datagrams. Build one with New.
type Gossiper struct {
	conn    packetConn
	port    uint16
	ownAddr netip.Addr
	name    string
	// ownHeartbeat returns what this instance says now.
	ownHeartbeat func() Heartbeat
	receiver     Receiver
	done         chan struct{}
	wg           sync.WaitGroup

	mu       sync.Mutex
	lastSeen map[netip.Addr]time.Time
	// addrByName are the addresses of peers that were heard.
	addrByName map[string]netip.Addr
	// roundsSinceNewPeer counts the hellos to all peers since somebody new was met.
	roundsSinceNewPeer int
}

// New opens the socket and starts. The name is that of this incarnation.
func New(name, ownAddr string, port int, seeds []string, ownHeartbeat func() Heartbeat, receiver Receiver) (*Gossiper, error) {
	ip, err := netip.ParseAddr(ownAddr)
	if err != nil {
		return nil, fmt.Errorf("address of this instance: %w", err)
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

// Close stops and waits.
func (g *Gossiper) Close() {
	close(g.done)
	_ = g.conn.Close()
	g.wg.Wait()
}

// AddSeeds adds instances that may live.
func (g *Gossiper) AddSeeds(seeds []string) {
	for _, s := range seeds {
		if ip, err := netip.ParseAddr(s); err == nil {
			g.addPeer(ip, false)
		}
	}
}

// addPeer notes a peer, and whether it was heard itself. It reports whether the
// address is new.
func (g *Gossiper) addPeer(ip netip.Addr, direct bool) bool {
	if ip == g.ownAddr || !ip.Is4() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	_, known := g.lastSeen[ip]
	if direct || !known {
		g.lastSeen[ip] = time.Now()
	}
	if !known {
		g.roundsSinceNewPeer = 0
	}
	return !known
}

// setPeerName notes the address of a peer's name. It reports whether the name is
// new, which it is also where an instance has started again.
func (g *Gossiper) setPeerName(name string, ip netip.Addr) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, known := g.addrByName[name]
	g.addrByName[name] = ip
	return !known
}

// PeerAddrs lists the addresses that are written to.
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
			n := g.sendRound()
			t.Reset(min(max(minHeartbeatInterval, time.Duration(n)*heartbeatIntervalPerPeer), maxHeartbeatInterval))
		}
	}
}

// sendRound says hello to all peers, and returns how many there are.
func (g *Gossiper) sendRound() int {
	peers := g.PeerAddrs()
	g.mu.Lock()
	listPeers := g.roundsSinceNewPeer < initialPeerListRounds || g.roundsSinceNewPeer%peerListPeriod == 0
	g.roundsSinceNewPeer++
	g.mu.Unlock()
	g.sendHeartbeat(peers, listPeers)
	return len(peers)
}

// greetNewPeers says hello to peers that were not known before at once, so that all
// instances of a site that starts know each other within a few round trips.
func (g *Gossiper) greetNewPeers(newPeers []netip.Addr) {
	if len(newPeers) > 0 {
		g.sendHeartbeat(newPeers, true)
	}
}

// sendHeartbeat says hello to some peers, and names others that may live.
func (g *Gossiper) sendHeartbeat(to []netip.Addr, listPeers bool) {
	h := g.ownHeartbeat()
	if listPeers {
		peers := g.PeerAddrs()
		h.Peers = peers[:min(len(peers), maxListedPeers)]
	}
	b := encodePacket(&packet{Protocol: protocolVersion, Sender: g.name, Heartbeat: &h})
	for _, ip := range to {
		g.writeDatagram(b, ip)
	}
}

// SendMessage sends a letter to a peer that was heard, in as many datagrams as it
// takes.
func (g *Gossiper) SendMessage(to string, l scheduler.Letter) {
	g.mu.Lock()
	ip, known := g.addrByName[to]
	g.mu.Unlock()
	if !known {
		return
	}
	b := encodePacket(&packet{Protocol: protocolVersion, Sender: g.name, Message: &l})
	if len(b) <= maxDatagramBytes {
		g.writeDatagram(b, ip)
		return
	}
	if first, second, ok := l.Split(); ok {
		g.SendMessage(to, first)
		g.SendMessage(to, second)
	}
}

// encodePacket encodes a packet, which holds nothing that has no encoding.
func encodePacket(p *packet) []byte {
	b, err := cbor.Marshal(p)
	if err != nil {
		panic(fmt.Sprintf("encode a packet: %v", err))
	}
	return b
}

func (g *Gossiper) writeDatagram(b []byte, to netip.Addr) {
	// A datagram that can't be sent is one that is lost.
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
			// Whoever sends what isn't a packet is no peer.
			continue
		}
		g.handlePacket(p, from.Addr().Unmap())
	}
}

func decodePacket(b []byte) (*packet, error) {
	var p packet
	if err := cbor.Unmarshal(b, &p); err != nil {
		return nil, fmt.Errorf("decode a packet: %w", err)
	}
	if p.Protocol != protocolVersion || p.Sender == "" {
		return nil, fmt.Errorf("packet of protocol %d from %q", p.Protocol, p.Sender)
	}
	return &p, nil
}

func (g *Gossiper) handlePacket(p *packet, from netip.Addr) {
	if p.Message != nil {
		g.receiver.HandleMessage(p.Sender, *p.Message)
	}
	if p.Heartbeat == nil {
		return
	}
	p.Heartbeat.Name, p.Heartbeat.SourceAddr = p.Sender, from
	var newPeers []netip.Addr
	if newAddr, newName := g.addPeer(from, true), g.setPeerName(p.Sender, from); newAddr || newName {
		newPeers = append(newPeers, from)
	}
	for _, ip := range p.Heartbeat.Peers {
		if g.addPeer(ip, false) {
			newPeers = append(newPeers, ip)
		}
	}
	g.receiver.HandleHeartbeat(*p.Heartbeat)
	g.greetNewPeers(newPeers)
}
