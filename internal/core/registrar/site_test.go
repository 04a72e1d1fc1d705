package registrar

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/heatherslip/heatherslip/internal/bench/sequencer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// siteSize is the size of a simulated site. The strong instances of a domain come
// first.
type siteSize struct {
	domains, strongPerDomain, weakPerDomain, workersPerDomain int
}

const (
	strongLimit namer.MilliCores = 800
	weakLimit   namer.MilliCores = 192

	simStepInterval = 10 * time.Millisecond
	simDelay        = 1400 * time.Microsecond
	// simStartSpread is the time within which all instances of a site start.
	simStartSpread = 300 * time.Millisecond
	simSeeds       = 3
)

// simEpoch is the start of virtual time.
var simEpoch = time.Unix(1_800_000_000, 0)

// simSite simulates the instances of a site and their network in virtual time.
type simSite struct {
	now       time.Duration
	queue     sequencer.EventQueue
	rand      *rand.Rand
	size      siteSize
	instances []*simInstance
	byAddr    map[netip.Addr]*simInstance
	// cutDomain is a domain that is partitioned from the others.
	cutDomain namer.Domain
	// lossShare is the share of the heartbeats that are lost.
	lossShare float64
}

// simInstance is one instance of a site.
type simInstance struct {
	site        *simSite
	addr        netip.Addr
	domain      namer.Domain
	cpuLimit    namer.MilliCores
	incarnation int
	up          bool
	// isolated is set while it can't exchange heartbeats with any other.
	isolated bool
	draining bool
	partners []string
	onNotice func(Notice)
	reg      *Registrar
	// sent and received count heartbeats, sentAbroad those to other domains.
	sent, received, sentAbroad int
}

func newSimSite(seed uint64, size siteSize) *simSite {
	s := &simSite{rand: rand.New(rand.NewPCG(seed, seed)), size: size, byAddr: make(map[netip.Addr]*simInstance)}
	for d := range size.domains {
		for n := range size.strongPerDomain + size.weakPerDomain {
			i := &simInstance{
				site: s, addr: netip.AddrFrom4([4]byte{10, byte(d), byte(n / 250), byte(1 + n%250)}),
				domain: namer.Domain(fmt.Sprintf("d%d", d)), cpuLimit: weakLimit,
			}
			if n < size.strongPerDomain {
				i.cpuLimit = strongLimit
			}
			s.instances = append(s.instances, i)
			s.byAddr[i.addr] = i
		}
	}
	return s
}

// startAll starts all instances within simStartSpread.
func (s *simSite) startAll() {
	for _, i := range s.instances {
		s.after(time.Duration(s.rand.Int64N(int64(simStartSpread))), i.start)
	}
}

func (s *simSite) after(d time.Duration, f func()) { s.queue.ScheduleAt(simEpoch.Add(s.now+d), f) }

func (s *simSite) run(until time.Duration) {
	end := simEpoch.Add(until)
	for at, f, found := s.queue.PopDue(end); found; at, f, found = s.queue.PopDue(end) {
		s.now = at.Sub(simEpoch)
		f()
	}
	s.now = until
}

func (i *simInstance) name() string {
	return fmt.Sprintf("%s-%s/%d", i.domain, i.addr, i.incarnation)
}

func (i *simInstance) start() {
	i.incarnation++
	i.up, i.draining = true, false
	var seeds []netip.Addr
	perDomain := i.site.size.strongPerDomain + i.site.size.weakPerDomain
	for n := range simSeeds {
		seeds = append(seeds, i.site.instances[(n%i.site.size.domains)*perDomain+n/i.site.size.domains].addr)
	}
	i.reg = New(Settings{Name: i.name(), Addr: i.addr, Domain: i.domain, CPULimit: i.cpuLimit}, seeds, simEpoch.Add(i.site.now))
	incarnation := i.incarnation
	var step func()
	step = func() {
		if !i.up || i.incarnation != incarnation {
			return
		}
		i.step()
		i.site.after(simStepInterval, step)
	}
	step()
}

func (i *simInstance) stop() { i.up = false }

func (i *simInstance) step() {
	state := State{RunTag: 1, Draining: i.draining, DomainWorkers: i.site.size.workersPerDomain, Partners: i.partners}
	i.reg.UpdateState(simEpoch.Add(i.site.now), state)
	for _, t := range i.reg.Step(simEpoch.Add(i.site.now)) {
		for _, to := range t.To {
			i.send(to, t.Heartbeat)
		}
	}
	for _, n := range i.reg.TakeNotices() {
		if i.onNotice != nil {
			i.onNotice(n)
		}
	}
}

func (i *simInstance) send(to netip.Addr, h Heartbeat) {
	target := i.site.byAddr[to]
	i.sent++
	if target.domain != i.domain {
		i.sentAbroad++
	}
	h.Name, h.SourceAddr = i.name(), i.addr
	lost := i.site.rand.Float64() < i.site.lossShare
	i.site.after(simDelay, func() {
		cut := i.domain != target.domain && (i.domain == i.site.cutDomain || target.domain == i.site.cutDomain)
		if lost || cut || !target.up || target.isolated || i.isolated {
			return
		}
		target.received++
		target.reg.HandleHeartbeat(simEpoch.Add(i.site.now), simEpoch.Add(i.site.now), &h)
	})
}

// inDomain returns the instances of a domain.
func (s *simSite) inDomain(d namer.Domain) []*simInstance {
	var out []*simInstance
	for _, i := range s.instances {
		if i.domain == d {
			out = append(out, i)
		}
	}
	return out
}

// owners returns the addresses of the instances of a domain that are up and own
// workers.
func (s *simSite) owners(d namer.Domain) []netip.Addr {
	var out []netip.Addr
	for _, i := range s.inDomain(d) {
		if i.up && i.reg.isOwner {
			out = append(out, i.addr)
		}
	}
	return out
}

// knowsOwners reports whether an instance knows exactly the owners of a domain, but
// for itself. An instance that owns no workers need know only one of another domain.
func (i *simInstance) knowsOwners(d namer.Domain) bool {
	known := 0
	for _, o := range i.reg.owners {
		if o.Domain != d {
			continue
		}
		m := i.reg.byName[o.Name]
		owner := i.site.byAddr[m.addr]
		if !owner.up || !owner.reg.isOwner || owner.name() != o.Name {
			return false
		}
		known++
	}
	want := 0
	for _, o := range i.site.inDomain(d) {
		if o.up && !o.isolated && o != i && o.reg.isOwner {
			want++
		}
	}
	if !i.reg.isOwner && i.domain != d {
		return known > 0 || want == 0
	}
	return known == want
}

// disagreement names an instance and a domain whose owners it does not know; empty
// if there is none.
func (s *simSite) disagreement() string {
	for _, i := range s.instances {
		if !i.up || i.isolated {
			continue
		}
		for d := range s.size.domains {
			domain := namer.Domain(fmt.Sprintf("d%d", d))
			if !i.knowsOwners(domain) {
				return fmt.Sprintf("%s knows %v, of which %s has %v", i.name(), i.reg.owners, domain, s.owners(domain))
			}
		}
	}
	return ""
}
