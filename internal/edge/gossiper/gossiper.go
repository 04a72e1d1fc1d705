// Package gossiper tells the other instances, a few times in each tenth of a
// second, that this one lives and how much waits at it. Datagrams are enough:
// each one replaces the last, and a lost one is made good by the next.
package gossiper

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

const (
	// helloEvery is the pace of datagrams: nine in a row are lost before an
	// instance counts as silent.
	helloEvery = 50 * time.Millisecond
	// forgetAfter is how long a silent peer is still written to, so that it is
	// found again after a cut.
	forgetAfter = time.Minute
	// maxHello bounds a datagram; it stays below a network's packet.
	maxHello = 1400
	// maxNamed bounds how many peers one datagram names.
	maxNamed = 24
	protocol = 1
)

// Hello is what an instance says of itself.
type Hello struct {
	Protocol int `cbor:"1,keyasint"`
	// Name names one incarnation.
	Name   string       `cbor:"2,keyasint"`
	Domain namer.Domain `cbor:"3,keyasint"`
	Tag    namer.RunTag `cbor:"4,keyasint"`
	// Waiting is the number of tasks that wait for room.
	Waiting int `cbor:"5,keyasint"`
	// Config is the version in force, List how far the list of workers is known.
	Config uint64 `cbor:"6,keyasint"`
	List   uint64 `cbor:"7,keyasint"`
	// Peers are addresses of instances that may live.
	Peers []netip.Addr `cbor:"8,keyasint,omitempty"`
	// From is the address that the hello came from.
	From netip.Addr `cbor:"-"`
}

// Gossiper sends and takes hellos. Build one with New.
type Gossiper struct {
	conn *net.UDPConn
	port uint16
	own  netip.Addr
	// say returns what this instance says now; heard is told of each hello.
	say   func() Hello
	heard func(Hello)
	done  chan struct{}
	wg    sync.WaitGroup

	mu    sync.Mutex
	peers map[netip.Addr]time.Time
	turn  int
}

// New opens the socket and starts.
func New(own string, port int, seeds []string, say func() Hello, heard func(Hello)) (*Gossiper, error) {
	ip, err := netip.ParseAddr(own)
	if err != nil {
		return nil, fmt.Errorf("address of this instance: %w", err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, uint16(port))))
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	g := &Gossiper{
		conn: conn, port: uint16(port), own: ip, say: say, heard: heard,
		done: make(chan struct{}), peers: make(map[netip.Addr]time.Time),
	}
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

// meet notes a peer, and whether it was heard itself.
func (g *Gossiper) meet(ip netip.Addr, heard bool) {
	if ip == g.own || !ip.Is4() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, known := g.peers[ip]; heard || !known {
		g.peers[ip] = time.Now()
	}
}

// Peers lists the addresses that are written to.
func (g *Gossiper) Peers() []netip.Addr {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]netip.Addr, 0, len(g.peers))
	for ip, seen := range g.peers {
		if time.Since(seen) > forgetAfter {
			delete(g.peers, ip)
			continue
		}
		out = append(out, ip)
	}
	return out
}

func (g *Gossiper) runSender() {
	t := time.NewTicker(helloEvery)
	defer t.Stop()
	for {
		select {
		case <-g.done:
			return
		case <-t.C:
			g.send()
		}
	}
}

func (g *Gossiper) send() {
	peers := g.Peers()
	h := g.say()
	h.Protocol = protocol
	if g.turn++; g.turn%10 == 0 {
		h.Peers = peers[:min(len(peers), maxNamed)]
	}
	b, err := cbor.Marshal(h)
	if err != nil {
		return
	}
	for _, ip := range peers {
		// A datagram that can't be sent is one that is lost.
		_, _ = g.conn.WriteToUDPAddrPort(b, netip.AddrPortFrom(ip, g.port))
	}
}

func (g *Gossiper) runReceiver() {
	buf := make([]byte, maxHello)
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		var h Hello
		if cbor.Unmarshal(buf[:n], &h) != nil || h.Protocol != protocol || h.Name == "" {
			continue
		}
		h.From = from.Addr().Unmap()
		g.meet(h.From, true)
		for _, ip := range h.Peers {
			g.meet(ip, false)
		}
		g.heard(h)
	}
}
