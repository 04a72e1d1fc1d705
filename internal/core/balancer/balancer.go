// Package balancer decides which share of its work an instance sends to other failure
// domains, so that the busiest domain sends work over before a queue forms there. It is
// deterministic: the caller passes the time and the loads.
package balancer

import (
	"slices"
	"strings"
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

const (
	// calmUtilization is the utilization up to which a domain keeps its work: wide jobs
	// find room there, and work that is sent over only costs bytes.
	calmUtilization = 0.6
	// smoothingTime is the time in which the shares follow the demand. It evens out single
	// jobs, the longest of which run for a second on a small part of a domain.
	smoothingTime = 300 * time.Millisecond
	// maxStep bounds the time between two updates that is taken into account.
	maxStep = 250 * time.Millisecond
	// maxShare bounds the share of all other domains together, so that instances with an
	// outdated view don't empty their domain.
	maxShare = 0.5
)

// Load is the load of an owner of workers, or of all owners of a domain.
type Load struct {
	// Capacity is that of the usable workers: what they do in a second.
	Capacity namer.MilliCores `cbor:"1,keyasint"`
	// Demand has, by the domain of the instance that has the job, the cores in use and
	// those that the queued work asks for.
	Demand map[namer.Domain]namer.MilliCores `cbor:"2,keyasint,omitempty"`
}

const (
	// maxCores bounds a reported load. A site of 3,000 workers has some 10^5 cores.
	maxCores namer.MilliCores = 1e6 * namer.MilliCoresPerCore
	// maxDomains bounds the domains of a reported demand.
	maxDomains = 64
)

// IsValid reports whether a load that a peer has reported is possible.
func (l *Load) IsValid() bool {
	isIn := func(v namer.MilliCores) bool { return v >= 0 && v <= maxCores }
	if !isIn(l.Capacity) || len(l.Demand) > maxDomains {
		return false
	}
	for _, v := range l.Demand {
		if !isIn(v) {
			return false
		}
	}
	return true
}

// Add adds the load of another owner.
func (l *Load) Add(other *Load) {
	l.Capacity += other.Capacity
	for domain, v := range other.Demand {
		if l.Demand == nil {
			l.Demand = make(map[namer.Domain]namer.MilliCores)
		}
		l.Demand[domain] += v
	}
}

// Balancer holds the shares of one instance's work that go to other domains. Create one
// with New.
type Balancer struct {
	own       namer.Domain
	shares    []share
	updatedAt time.Time
}

// share is the share of the work that goes to a domain.
type share struct {
	domain namer.Domain
	value  float64
}

// New returns a balancer of an instance in a domain, which sends nothing over.
func New(own namer.Domain) *Balancer { return &Balancer{own: own} }

// Update adjusts the shares to the loads of the domains that can be reached. The demand
// of a domain counts wherever it runs. So what is sent over doesn't change what the next
// update is based on, and the shares can't oscillate, however old the reports are.
func (b *Balancer) Update(now time.Time, loads map[namer.Domain]Load) {
	step := min(max(0, now.Sub(b.updatedAt)), maxStep)
	b.updatedAt = now
	b.shares = slices.DeleteFunc(b.shares, func(s share) bool {
		_, reachable := loads[s.domain]
		return !reachable
	})
	for domain := range loads {
		if domain != b.own && !slices.ContainsFunc(b.shares, func(s share) bool { return s.domain == domain }) {
			b.shares = append(b.shares, share{domain: domain})
		}
	}
	slices.SortFunc(b.shares, func(x, y share) int { return strings.Compare(string(x.domain), string(y.domain)) })
	weight := step.Seconds() / smoothingTime.Seconds()
	targets := targetShares(b.own, loads)
	for i := range b.shares {
		s := &b.shares[i]
		s.value += weight * (targets[s.domain] - s.value)
		if s.value < negligibleShare && targets[s.domain] == 0 {
			s.value = 0
		}
	}
}

// negligibleShare is the share below which nothing is sent over any more.
const negligibleShare = 0.01

// targetShares returns the shares of a domain's demand with which all domains would have
// the same utilization, or calmUtilization if that is more.
func targetShares(own namer.Domain, loads map[namer.Domain]Load) map[namer.Domain]float64 {
	demand, capacity := demandByDomain(loads)
	if loads[own].Capacity <= 0 && demand[own] <= 0 || capacity <= 0 {
		return nil
	}
	total := 0.0
	for _, d := range demand {
		total += d
	}
	level := max(total/capacity, calmUtilization)
	room := make(map[namer.Domain]float64)
	totalRoom := 0.0
	for domain, l := range loads {
		if r := level*float64(l.Capacity) - demand[domain]; r > 0 && domain != own {
			room[domain] = r
			totalRoom += r
		}
	}
	excess := demand[own] - level*float64(loads[own].Capacity)
	if excess <= 0 || totalRoom <= 0 {
		return nil
	}
	sent := min(excess/demand[own], maxShare)
	for domain := range room {
		room[domain] *= sent / totalRoom
	}
	return room
}

// demandByDomain returns the demand of each domain, and the capacity of all. What jobs of
// other domains than these use counts as demand of the domain where it runs.
func demandByDomain(loads map[namer.Domain]Load) (demand map[namer.Domain]float64, capacity float64) {
	demand = make(map[namer.Domain]float64)
	for host, l := range loads {
		capacity += float64(l.Capacity)
		for origin, d := range l.Demand {
			if _, reachable := loads[origin]; !reachable {
				origin = host
			}
			demand[origin] += float64(d)
		}
	}
	return demand, capacity
}

// Total returns the share of the work that goes to other domains.
func (b *Balancer) Total() float64 {
	total := 0.0
	for _, s := range b.shares {
		total += s.value
	}
	return total
}

// Choose returns the domain where a task with a hash is to run.
func (b *Balancer) Choose(hash uint64) namer.Domain {
	const mantissaRange = 1 << 53
	position := float64(hash>>11) / mantissaRange
	for _, s := range b.shares {
		if position < s.value {
			return s.domain
		}
		position -= s.value
	}
	return b.own
}
