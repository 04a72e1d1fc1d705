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
	// helloEvery is the pace of hellos among a few instances, and helloPer what
	// each instance adds, up to maxHello: three in a row are lost before an
	// instance counts as silent, and 33 instances send 250 hellos a second each.
	helloEvery = 50 * time.Millisecond
	helloPer   = 4 * time.Millisecond
	maxHello   = 130 * time.Millisecond
	// forgetAfter is how long a silent peer is still written to, so that it is
	// found again after a cut.
	forgetAfter = time.Minute
	// maxPacket bounds a datagram; it stays below what networks carry whole.
	maxPacket = 1400
	// maxNamed bounds how many peers one datagram names.
	maxNamed = 24
	// namedEvery is how often a hello names peers while nobody new is met, and
	// spreadRounds how many hellos in a row do after that.
	namedEvery   = 10
	spreadRounds = 4
	// maxRead is the largest datagram that there is.
	maxRead  = 64 << 10
	protocol = 1
)

// Hello is what an instance says of itself.
type Hello struct {
	// Name names one incarnation.
	Name   string       `cbor:"-"`
	Domain namer.Domain `cbor:"1,keyasint"`
	Tag    namer.RunTag `cbor:"2,keyasint"`
	// Slots is the number of usual tasks that it has places for, by service.
	Slots map[namer.Service]int `cbor:"3,keyasint,omitempty"`
	// Config is the version in force, List how far the list of workers is known.
	Config uint64 `cbor:"6,keyasint"`
	List   uint64 `cbor:"7,keyasint"`
	// Leaving is set where the instance ends as soon as its jobs have.
	Leaving bool `cbor:"9,keyasint,omitempty"`
	// Power is the share of a processor that the instance may use.
	Power namer.MilliCores `cbor:"10,keyasint,omitempty"`
	// Peers are addresses of instances that may live.
	Peers []netip.Addr `cbor:"8,keyasint,omitempty"`
	// From is the address that the hello came from.
	From netip.Addr `cbor:"-"`
}

// packet is one datagram.
type packet struct {
	Protocol int               `cbor:"1,keyasint"`
	From     string            `cbor:"2,keyasint"`
	Hello    *Hello            `cbor:"3,keyasint,omitempty"`
	Letter   *scheduler.Letter `cbor:"4,keyasint,omitempty"`
}

// Receiver is told of what arrives.
type Receiver interface {
	Heard(Hello)
	Told(from string, l scheduler.Letter)
}

// packetConn is what is needed of a socket.
type packetConn interface {
	ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	Close() error
}

// Gossiper sends and takes datagrams. Build one with New.
type Gossiper struct {
	conn packetConn
	port uint16
	own  netip.Addr
	name string
	// say returns what this instance says now.
	say  func() Hello
	to   Receiver
	done chan struct{}
	wg   sync.WaitGroup

	mu    sync.Mutex
	peers map[netip.Addr]time.Time
	// names are the addresses of peers that were heard.
	names map[string]netip.Addr
	// quietRounds counts the hellos to all peers since somebody new was met.
	quietRounds int
}

// New opens the socket and starts. The name is that of this incarnation.
func New(name, own string, port int, seeds []string, say func() Hello, to Receiver) (*Gossiper, error) {
	ip, err := netip.ParseAddr(own)
	if err != nil {
		return nil, fmt.Errorf("address of this instance: %w", err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, uint16(port))))
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	g := newGossiper(name, ip, uint16(port), conn, say, to)
	g.Seed(seeds)
	g.wg.Add(2)
	go func() {
		defer g.wg.Done()
		g.runSender()
	}()
	go func() {
		defer g.wg.Done()
		g.runReceiver()
	}()
	return g, nil
}

func newGossiper(name string, own netip.Addr, port uint16, conn packetConn, say func() Hello, to Receiver) *Gossiper {
	return &Gossiper{
		conn: conn, port: port, own: own, name: name, say: say, to: to,
		done: make(chan struct{}), peers: make(map[netip.Addr]time.Time), names: make(map[string]netip.Addr),
	}
}

// Close stops and waits.
func (g *Gossiper) Close() {
	close(g.done)
	_ = g.conn.Close()
	g.wg.Wait()
}

// Seed adds instances that may live.
func (g *Gossiper) Seed(seeds []string) {
	for _, s := range seeds {
		if ip, err := netip.ParseAddr(s); err == nil {
			g.meet(ip, false)
		}
	}
}

// meet notes a peer, and whether it was heard itself. It reports whether the
// address is new.
func (g *Gossiper) meet(ip netip.Addr, heard bool) bool {
	if ip == g.own || !ip.Is4() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	_, known := g.peers[ip]
	if heard || !known {
		g.peers[ip] = time.Now()
	}
	if !known {
		g.quietRounds = 0
	}
	return !known
}

// hearName notes the address of a peer's name. It reports whether the name is
// new, which it is also where an instance has started again.
func (g *Gossiper) hearName(name string, ip netip.Addr) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, known := g.names[name]
	g.names[name] = ip
	return !known
}

// Peers lists the addresses that are written to.
func (g *Gossiper) Peers() []netip.Addr {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]netip.Addr, 0, len(g.peers))
	for ip, seen := range g.peers {
		if time.Since(seen) > forgetAfter {
			delete(g.peers, ip)
			g.forgetNames(ip)
			continue
		}
		out = append(out, ip)
	}
	return out
}

func (g *Gossiper) forgetNames(ip netip.Addr) {
	for name, at := range g.names {
		if at == ip {
			delete(g.names, name)
		}
	}
}

func (g *Gossiper) runSender() {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-g.done:
			return
		case <-t.C:
			n := g.send()
			t.Reset(min(max(helloEvery, time.Duration(n)*helloPer), maxHello))
		}
	}
}

// send says hello to all peers, and returns how many there are.
func (g *Gossiper) send() int {
	peers := g.Peers()
	g.mu.Lock()
	named := g.quietRounds < spreadRounds || g.quietRounds%namedEvery == 0
	g.quietRounds++
	g.mu.Unlock()
	g.hello(peers, named)
	return len(peers)
}

// greet says hello to peers that were not known before at once, so that all
// instances of a site that starts know each other within a few round trips.
func (g *Gossiper) greet(newcomers []netip.Addr) {
	if len(newcomers) > 0 {
		g.hello(newcomers, true)
	}
}

// hello says hello to some peers, and names others that may live.
func (g *Gossiper) hello(to []netip.Addr, named bool) {
	h := g.say()
	if named {
		peers := g.Peers()
		h.Peers = peers[:min(len(peers), maxNamed)]
	}
	b := encode(&packet{Protocol: protocol, From: g.name, Hello: &h})
	for _, ip := range to {
		g.write(b, ip)
	}
}

// Send sends a letter to a peer that was heard, in as many datagrams as it
// takes.
func (g *Gossiper) Send(to string, l scheduler.Letter) {
	g.mu.Lock()
	ip, known := g.names[to]
	g.mu.Unlock()
	if !known {
		return
	}
	b := encode(&packet{Protocol: protocol, From: g.name, Letter: &l})
	if len(b) <= maxPacket {
		g.write(b, ip)
		return
	}
	if first, second, ok := l.Split(); ok {
		g.Send(to, first)
		g.Send(to, second)
	}
}

// encode encodes a packet, which holds nothing that has no encoding.
func encode(p *packet) []byte {
	b, err := cbor.Marshal(p)
	if err != nil {
		panic(fmt.Sprintf("encode a packet: %v", err))
	}
	return b
}

func (g *Gossiper) write(b []byte, to netip.Addr) {
	// A datagram that can't be sent is one that is lost.
	_, _ = g.conn.WriteToUDPAddrPort(b, netip.AddrPortFrom(to, g.port))
}

func (g *Gossiper) runReceiver() {
	buf := make([]byte, maxRead)
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		p, err := decode(buf[:n])
		if err != nil {
			// Whoever sends what isn't a packet is no peer.
			continue
		}
		g.take(p, from.Addr().Unmap())
	}
}

func decode(b []byte) (*packet, error) {
	var p packet
	if err := cbor.Unmarshal(b, &p); err != nil {
		return nil, fmt.Errorf("decode a packet: %w", err)
	}
	if p.Protocol != protocol || p.From == "" {
		return nil, fmt.Errorf("packet of protocol %d from %q", p.Protocol, p.From)
	}
	return &p, nil
}

func (g *Gossiper) take(p *packet, from netip.Addr) {
	if p.Letter != nil {
		g.to.Told(p.From, *p.Letter)
	}
	if p.Hello == nil {
		return
	}
	p.Hello.Name, p.Hello.From = p.From, from
	var newcomers []netip.Addr
	if newAddress, newName := g.meet(from, true), g.hearName(p.From, from); newAddress || newName {
		newcomers = append(newcomers, from)
	}
	for _, ip := range p.Hello.Peers {
		if g.meet(ip, false) {
			newcomers = append(newcomers, ip)
		}
	}
	g.to.Heard(*p.Hello)
	g.greet(newcomers)
}
