package scheduler

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heatherslip/heatherslip/internal/core/hasher"
	"github.com/heatherslip/heatherslip/internal/core/registrar"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// testAddr is the address of the instance under test.
var testAddr = netip.AddrFrom4([4]byte{10, 0, 0, 1})

// TestAssignOwners checks how many workers of a site of two domains an instance
// owns, depending on its uptime, its peers and which instances are draining.
func TestAssignOwners(t *testing.T) {
	const workersPerDomain = 12
	localDomain, remoteDomain := namer.Domain("here"), namer.Domain("there")
	cases := map[string]struct {
		uptime time.Duration
		drain  bool
		peers  []registrar.Heartbeat
		// minWorkers and maxWorkers bound the number of owned workers.
		minWorkers, maxWorkers int
	}{
		"just started": {uptime: 50 * time.Millisecond},
		"no peer seen, before the isolated startup delay": {uptime: 300 * time.Millisecond},
		"peer seen before the isolated startup delay":     {uptime: 300 * time.Millisecond, peers: []registrar.Heartbeat{{Domain: remoteDomain, Owner: true}}, minWorkers: workersPerDomain, maxWorkers: workersPerDomain},
		"no peers":                                 {uptime: time.Second, minWorkers: 2 * workersPerDomain, maxWorkers: 2 * workersPerDomain},
		"peer in the other domain":                 {uptime: time.Second, peers: []registrar.Heartbeat{{Domain: remoteDomain, Owner: true}}, minWorkers: workersPerDomain, maxWorkers: workersPerDomain},
		"peer in the same domain":                  {uptime: time.Second, peers: []registrar.Heartbeat{{Domain: localDomain, Owner: true}}, minWorkers: 1, maxWorkers: 2*workersPerDomain - 1},
		"draining peer in the same domain":         {uptime: time.Second, peers: []registrar.Heartbeat{{Domain: localDomain, Owner: true, Draining: true}}, minWorkers: 2 * workersPerDomain, maxWorkers: 2 * workersPerDomain},
		"draining, peer in the same domain":        {uptime: time.Second, drain: true, peers: []registrar.Heartbeat{{Domain: localDomain, Owner: true}}},
		"draining, peer in the other domain":       {uptime: time.Second, drain: true, peers: []registrar.Heartbeat{{Domain: remoteDomain, Owner: true}}},
		"draining, no peers":                       {uptime: time.Second, drain: true, minWorkers: 2 * workersPerDomain, maxWorkers: 2 * workersPerDomain},
		"all draining, one per domain":             {uptime: time.Second, drain: true, peers: []registrar.Heartbeat{{Domain: remoteDomain, Owner: true, Draining: true}}, minWorkers: workersPerDomain, maxWorkers: workersPerDomain},
		"draining with a peer, another peer stays": {uptime: time.Second, drain: true, peers: []registrar.Heartbeat{{Domain: localDomain, Owner: true, Draining: true}, {Domain: remoteDomain, Owner: true}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := New(Settings{Name: "this", Addr: testAddr, Domain: localDomain, CPULimit: simEvenLimit, RunTag: 1, MaxLease: time.Second}, simEpoch, 1)
			var list WorkerListUpdated
			for n := range workersPerDomain {
				for _, d := range []namer.Domain{localDomain, remoteDomain} {
					list.Workers = append(list.Workers, WorkerInfo{
						ID: namer.Worker(fmt.Sprintf("%s-%d", d, n)), Service: "s", Domain: d, Capacity: Resources{Cores: 16000}, BootTime: 1,
					})
				}
			}
			if c.drain {
				s.Step(simEpoch, 1, []Event{DrainStarted{}})
			}
			s.Step(simEpoch, 1, []Event{list})
			for elapsed := time.Duration(0); elapsed <= c.uptime; elapsed += 50 * time.Millisecond {
				var heartbeats []Event
				for n, p := range c.peers {
					p.Name, p.RunTag, p.CPULimit = fmt.Sprintf("peer %d", n), namer.RunTag(n+2), simEvenLimit
					p.SourceAddr, p.Interval = netip.AddrFrom4([4]byte{10, 0, 1, byte(n + 1)}), 50*time.Millisecond
					heartbeats = append(heartbeats, HeartbeatReceived{p})
				}
				s.Step(simEpoch.Add(elapsed), 1, heartbeats)
			}
			must.GreaterEq(t, c.minWorkers, len(s.ownedWorkers))
			must.LessEq(t, c.maxWorkers, len(s.ownedWorkers))
		})
	}
}

// TestRendezvousScoreWeights checks that the number of workers that an instance
// owns is proportional to its CPU limit, and even if all limits are equal.
func TestRendezvousScoreWeights(t *testing.T) {
	const workers = 4000
	cases := map[string]struct {
		cpuLimits []namer.MilliCores
		// share is the first instance's share, with a tolerance of a tenth.
		share float64
	}{
		"equal limits":           {[]namer.MilliCores{200, 200, 200, 200}, 0.25},
		"no limits reported":     {[]namer.MilliCores{0, 0, 0, 0}, 0.25},
		"one higher limit":       {[]namer.MilliCores{800, 200, 200, 200}, 0.571},
		"one lower limit":        {[]namer.MilliCores{192, 800, 800}, 0.107},
		"one limit not reported": {[]namer.MilliCores{0, 1000, 1000}, 0.333},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			first := 0
			for n := range workers {
				workerHash := hasher.String(fmt.Sprintf("worker %d", n))
				best, bestScore := -1, 0.0
				for i, limit := range c.cpuLimits {
					if score := rendezvousScore(hasher.String(fmt.Sprintf("instance %d", i)), workerHash, limit); best < 0 || score > bestScore {
						best, bestScore = i, score
					}
				}
				if best == 0 {
					first++
				}
			}
			must.Between(t, 0.9*c.share, float64(first)/workers, 1.1*c.share)
		})
	}
}

// TestInitialPollLimit checks that an instance that becomes the owner of a large
// site's workers has at most maxInitialPolls first polls in flight, and still
// reaches all workers within two seconds.
func TestInitialPollLimit(t *testing.T) {
	w := newSimWorld(5, siteSize{domains: 1, instancesPerDomain: 1, workersPerDomain: 350})
	for w.now < 2*time.Second {
		w.run(w.now + time.Millisecond)
		initialPolls := 0
		for _, o := range w.instances[0].core.ownedWorkers {
			if o.pollInFlight && !o.runsListed {
				initialPolls++
			}
		}
		must.LessEq(t, maxInitialPolls, initialPolls)
	}
	must.Eq(t, 350, w.instances[0].core.UsableWorkers())
}

// TestSubmitBeforeShutdown checks that an instance that shuts down admits only jobs
// that are expected to end before it does.
func TestSubmitBeforeShutdown(t *testing.T) {
	cases := map[string]struct {
		shutdownIn time.Duration
		refused    bool
	}{
		"no shutdown":                 {0, false},
		"shutdown long after the job": {5 * time.Second, false},
		"shutdown during the job":     {300 * time.Millisecond, true},
		"shutdown at once":            {1, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newSimWorld(3, smallSite)
			w.run(time.Second)
			j := w.submit(longJob, w.instances[0])
			j.spec.ShutdownIn = c.shutdownIn
			w.run(time.Second + 50*time.Millisecond)
			must.Eq(t, c.refused, j.answeredAt > 0 && j.outcome == Unavailable)
			must.Eq(t, !c.refused, j.hasRun)
		})
	}
}
