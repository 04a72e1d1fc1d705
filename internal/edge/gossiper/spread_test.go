package gossiper

import (
	"fmt"
	"net"
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/heatherslip/heatherslip/internal/core/scheduler"
)

// exchange carries datagrams between gossipers of one process, in the order in
// which they were sent.
type exchange struct {
	all    map[netip.Addr]*Gossiper
	queued []datagram
}

type datagram struct {
	from, to netip.Addr
	body     []byte
}

// deliver delivers until nothing is under way.
func (x *exchange) deliver(t *testing.T) {
	for len(x.queued) > 0 {
		d := x.queued[0]
		x.queued = x.queued[1:]
		g := x.all[d.to]
		if g == nil {
			continue
		}
		p, err := decode(d.body)
		must.NoError(t, err)
		g.take(p, d.from)
	}
}

// port is one gossiper's end of an exchange.
type port struct {
	x   *exchange
	own netip.Addr
}

func (p *port) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	p.x.queued = append(p.x.queued, datagram{p.own, to.Addr(), b})
	return len(b), nil
}

func (*port) ReadFromUDPAddrPort([]byte) (int, netip.AddrPort, error) {
	return 0, netip.AddrPort{}, net.ErrClosed
}

func (*port) Close() error { return nil }

type nobody struct{}

func (nobody) Heard(Hello)                   {}
func (nobody) Told(string, scheduler.Letter) {}

// TestSpread starts a site whose instances know three seeds, and counts the
// rounds of hellos until all know all.
func TestSpread(t *testing.T) {
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
			x := &exchange{all: make(map[netip.Addr]*Gossiper)}
			start := func(from, until int) {
				for n := from; n < until; n++ {
					ip := address(n)
					g := newGossiper(fmt.Sprintf("e%d", n), ip, 7000, &port{x, ip}, func() Hello { return Hello{} }, nobody{})
					g.Seed([]string{address(0).String(), address(1).String(), address(2).String()})
					x.all[ip] = g
				}
			}
			round := func() {
				for n := range len(x.all) {
					x.all[address(n)].send()
				}
				x.deliver(t)
			}
			start(0, c.after)
			if c.after > 0 {
				round()
			}
			start(c.after, c.instances)
			for range rounds {
				round()
			}
			for ip, g := range x.all {
				must.Eq(t, c.instances-1, len(g.names), must.Sprintf("what %v has heard", ip))
			}
		})
	}
}

func address(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, 0, byte(n / 250), byte(1 + n%250)})
}
