package gossiper

import (
	"fmt"
	"net"
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/heatherslip/heatherslip/internal/core/scheduler"
)

// simNetwork is an in-memory network that delivers datagrams in the order in which
// they were sent.
type simNetwork struct {
	gossipers map[netip.Addr]*Gossiper
	queued    []datagram
}

type datagram struct {
	from, to netip.Addr
	body     []byte
}

// deliverAll delivers the queued datagrams and those sent in response.
func (n *simNetwork) deliverAll(t *testing.T) {
	for len(n.queued) > 0 {
		d := n.queued[0]
		n.queued = n.queued[1:]
		g := n.gossipers[d.to]
		if g == nil {
			continue
		}
		p, err := decodePacket(d.body)
		must.NoError(t, err)
		g.handlePacket(p, d.from)
	}
}

// simConn is the packetConn of one gossiper on a simNetwork. It can't be read
// from, since deliverAll passes datagrams to the gossipers directly.
type simConn struct {
	network *simNetwork
	addr    netip.Addr
}

func (c *simConn) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	c.network.queued = append(c.network.queued, datagram{c.addr, to.Addr(), b})
	return len(b), nil
}

func (*simConn) ReadFromUDPAddrPort([]byte) (int, netip.AddrPort, error) {
	return 0, netip.AddrPort{}, net.ErrClosed
}

func (*simConn) Close() error { return nil }

type discardReceiver struct{}

func (discardReceiver) HandleHeartbeat(Heartbeat)                   {}
func (discardReceiver) HandleMessage(string, scheduler.PeerMessage) {}

// TestDiscoveryRounds checks that all instances of a site, which start with three
// seeds, have received heartbeats from each other after two rounds of heartbeats.
func TestDiscoveryRounds(t *testing.T) {
	cases := map[string]struct {
		instances int
		// startedFirst is the number of instances that are up for a round before the
		// others start.
		startedFirst int
	}{
		"a small site at once":            {instances: 8},
		"a large site at once":            {instances: 40},
		"a large site, seeds start first": {instances: 40, startedFirst: 3},
		"a large site, half starts first": {instances: 40, startedFirst: 20},
	}
	const rounds = 2
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			network := &simNetwork{gossipers: make(map[netip.Addr]*Gossiper)}
			startInstances := func(from, until int) {
				for n := from; n < until; n++ {
					ip := testAddr(n)
					g := newGossiper(fmt.Sprintf("e%d", n), ip, 7000, &simConn{network, ip}, func() Heartbeat { return Heartbeat{} }, discardReceiver{})
					g.AddSeeds([]string{testAddr(0).String(), testAddr(1).String(), testAddr(2).String()})
					network.gossipers[ip] = g
				}
			}
			runRound := func() {
				for n := range len(network.gossipers) {
					network.gossipers[testAddr(n)].sendHeartbeatRound()
				}
				network.deliverAll(t)
			}
			startInstances(0, c.startedFirst)
			if c.startedFirst > 0 {
				runRound()
			}
			startInstances(c.startedFirst, c.instances)
			for range rounds {
				runRound()
			}
			for ip, g := range network.gossipers {
				must.Eq(t, c.instances-1, len(g.addrByName), must.Sprintf("peers that %v has received heartbeats from", ip))
			}
		})
	}
}

func testAddr(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, 0, byte(n / 250), byte(1 + n%250)})
}
