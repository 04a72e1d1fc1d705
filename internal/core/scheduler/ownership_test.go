package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// TestHomes counts the workers that an instance of a site of two domains takes.
func TestHomes(t *testing.T) {
	const perDomain = 12
	here, there := namer.Domain("here"), namer.Domain("there")
	cases := map[string]struct {
		after time.Duration
		leave bool
		peers []PeerHeard
		// least and most bound the number of workers taken.
		least, most int
	}{
		"it has just started":           {after: 50 * time.Millisecond},
		"it hears nobody yet":           {after: 300 * time.Millisecond},
		"it hears a peer":               {after: 300 * time.Millisecond, peers: []PeerHeard{{Domain: there}}, least: perDomain, most: perDomain},
		"it is alone":                   {after: time.Second, least: 2 * perDomain, most: 2 * perDomain},
		"a peer in the other domain":    {after: time.Second, peers: []PeerHeard{{Domain: there}}, least: perDomain, most: perDomain},
		"a peer in its domain":          {after: time.Second, peers: []PeerHeard{{Domain: here}}, least: 1, most: 2*perDomain - 1},
		"a peer that leaves":            {after: time.Second, peers: []PeerHeard{{Domain: here, Leaving: true}}, least: 2 * perDomain, most: 2 * perDomain},
		"it leaves, a peer stays":       {after: time.Second, leave: true, peers: []PeerHeard{{Domain: here}}},
		"it leaves, one stays there":    {after: time.Second, leave: true, peers: []PeerHeard{{Domain: there}}},
		"it leaves alone":               {after: time.Second, leave: true, least: 2 * perDomain, most: 2 * perDomain},
		"all leave, one in each":        {after: time.Second, leave: true, peers: []PeerHeard{{Domain: there, Leaving: true}}, least: perDomain, most: perDomain},
		"it leaves with one, one stays": {after: time.Second, leave: true, peers: []PeerHeard{{Domain: here, Leaving: true}, {Domain: there}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := New(Settings{Name: "this", Domain: here, Tag: 1, MaxLease: time.Second}, simStart, 1)
			var l WorkersListed
			for n := range perDomain {
				for _, d := range []namer.Domain{here, there} {
					l.Workers = append(l.Workers, ListedWorker{
						ID: namer.Worker(fmt.Sprintf("%s-%d", d, n)), Service: "s", Domain: d, Capacity: Size{Cores: 16000}, Born: 1,
					})
				}
			}
			if c.leave {
				s.Leave()
			}
			s.Step(simStart, 1, []Event{l})
			for passed := time.Duration(0); passed <= c.after; passed += 50 * time.Millisecond {
				var hellos []Event
				for n, p := range c.peers {
					p.Name, p.Tag = fmt.Sprintf("peer %d", n), namer.RunTag(n+2)
					hellos = append(hellos, p)
				}
				s.Step(simStart.Add(passed), 1, hellos)
			}
			must.GreaterEq(t, c.least, len(s.ownedWorkers))
			must.LessEq(t, c.most, len(s.ownedWorkers))
		})
	}
}

// TestPower checks that workers are dealt in proportion to the power of their
// homes, and as by the hash alone where all have the same.
func TestPower(t *testing.T) {
	const workers = 4000
	cases := map[string]struct {
		powers []namer.MilliCores
		// share is that of the first instance, within a tenth.
		share float64
	}{
		"all alike":        {[]namer.MilliCores{200, 200, 200, 200}, 0.25},
		"nobody tells":     {[]namer.MilliCores{0, 0, 0, 0}, 0.25},
		"one is strong":    {[]namer.MilliCores{800, 200, 200, 200}, 0.571},
		"one is weak":      {[]namer.MilliCores{192, 800, 800}, 0.107},
		"one doesn't tell": {[]namer.MilliCores{0, 1000, 1000}, 0.333},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			first := 0
			for n := range workers {
				key := xxhash.Sum64String(fmt.Sprintf("worker %d", n))
				best, bestRight := -1, 0.0
				for i, p := range c.powers {
					if r := rendezvousScore(xxhash.Sum64String(fmt.Sprintf("instance %d", i)), key, p); best < 0 || r > bestRight {
						best, bestRight = i, r
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

// TestFirstLooks checks that an instance that takes all workers of a large site
// polls them a few at a time, and all of them soon.
func TestFirstLooks(t *testing.T) {
	w := newWorld(5, siteSize{domains: 1, perDomain: 1, workersPerDomain: 350})
	for w.now < 2*time.Second {
		w.run(w.now + time.Millisecond)
		looks := 0
		for _, o := range w.instances[0].core.ownedWorkers {
			if o.pollInFlight && !o.runsListed {
				looks++
			}
		}
		must.LessEq(t, maxInitialPolls, looks)
	}
	must.Eq(t, 350, w.instances[0].core.Usable())
}

// TestEndingInstance checks that an instance that ends takes only what can be
// expected to end before it does.
func TestEndingInstance(t *testing.T) {
	cases := map[string]struct {
		left    time.Duration
		refused bool
	}{
		"it stays":             {0, false},
		"it ends much later":   {5 * time.Second, false},
		"it ends in the midst": {300 * time.Millisecond, true},
		"it is over":           {1, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(3, site)
			w.run(time.Second)
			j := w.submit(longJob, w.instances[0])
			j.spec.Left = c.left
			w.run(time.Second + 50*time.Millisecond)
			must.Eq(t, c.refused, j.answered > 0 && j.outcome == Unavailable)
			must.Eq(t, !c.refused, j.started)
		})
	}
}
