package gossiper

import (
	"fmt"
	"net"
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/heatherslip/heatherslip/internal/core/scheduler"
)

// simNetwork carries datagrams between gossipers of one process, in the order in
// which they were sent.
type simNetwork struct {
	gossipers map[netip.Addr]*Gossiper
	queued    []datagram
}

type datagram struct {
	from, to netip.Addr
	body     []byte
}

// deliverAll delivers until nothing is under way.
func (x *simNetwork) deliverAll(t *testing.T) {
	for len(x.queued) > 0 {
		d := x.queued[0]
		x.queued = x.queued[1:]
		g := x.gossipers[d.to]
		if g == nil {
			continue
		}
		p, err := decodePacket(d.body)
		must.NoError(t, err)
		g.handlePacket(p, d.from)
	}
}

// simConn is one gossiper's end of an exchange.
type simConn struct {
	network *simNetwork
	addr    netip.Addr
}

func (p *simConn) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	p.network.queued = append(p.network.queued, datagram{p.addr, to.Addr(), b})
	return len(b), nil
}

func (*simConn) ReadFromUDPAddrPort([]byte) (int, netip.AddrPort, error) {
	return 0, netip.AddrPort{}, net.ErrClosed
}

func (*simConn) Close() error { return nil }

type discardReceiver struct{}

func (discardReceiver) HandleHeartbeat(Heartbeat)              {}
func (discardReceiver) HandleMessage(string, scheduler.Letter) {}

// TestDiscoveryRounds starts a site whose instances know three seeds, and counts the
// rounds of hellos until all know all.
func TestDiscoveryRounds(t *testing.T) {
	cases := map[string]struct {
		instances int
		// after is the number of instances that are up for a round before the
		// others start.
		after int
	}{
		"a small site at once":            {instances: 8},
		"a large site at once":            {instances: 40},
		"a large site, seeds start first": {instances: 40, after: 3},
		"a large site, half starts first": {instances: 40, after: 20},
	}
	const rounds = 2
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			network := &simNetwork{gossipers: make(map[netip.Addr]*Gossiper)}
			start := func(from, until int) {
				for n := from; n < until; n++ {
					ip := testAddr(n)
					g := newGossiper(fmt.Sprintf("e%d", n), ip, 7000, &simConn{network, ip}, func() Heartbeat { return Heartbeat{} }, discardReceiver{})
					g.AddSeeds([]string{testAddr(0).String(), testAddr(1).String(), testAddr(2).String()})
					network.gossipers[ip] = g
				}
			}
			round := func() {
				for n := range len(network.gossipers) {
					network.gossipers[testAddr(n)].sendRound()
				}
				network.deliverAll(t)
			}
			start(0, c.after)
			if c.after > 0 {
				round()
			}
			start(c.after, c.instances)
			for range rounds {
				round()
			}
			for ip, g := range network.gossipers {
				must.Eq(t, c.instances-1, len(g.addrByName), must.Sprintf("what %v has heard", ip))
			}
		})
	}
}

func testAddr(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, 0, byte(n / 250), byte(1 + n%250)})
}
