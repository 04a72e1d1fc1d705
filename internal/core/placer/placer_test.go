package placer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

func newPlacer(workers ...namer.Worker) *Placer {
	p := New(rand.New(rand.NewPCG(1, 1)))
	for _, w := range workers {
		p.Update(Worker{Name: w, Total: Size{Cores: 4000, Memory: 100}})
		p.Get(w).Lease = "lease"
	}
	return p
}

var one = Size{Cores: 1000, Memory: 10}

func TestPlaceTakesTheRoom(t *testing.T) {
	now := time.Unix(100, 0)
	p := newPlacer("a", "b")
	for range 8 {
		must.NotNil(t, p.Place(now, one, nil))
	}
	must.Nil(t, p.Place(now, one, nil))
	p.Release("a", one)
	must.Eq(t, namer.Worker("a"), p.Place(now, one, nil).Name)
}

func TestPlaceAvoids(t *testing.T) {
	now := time.Unix(100, 0)
	cases := map[string]func(*Worker){
		"a worker without a lease":   func(w *Worker) { w.Lease = "" },
		"a worker that is leaving":   func(w *Worker) { w.Leaving = true },
		"a worker that is set aside": func(w *Worker) { w.asideUntil = now.Add(time.Second) },
		"a worker that said it is full": func(w *Worker) {
			w.Free, w.reported = Size{}, now
		},
	}
	for name, spoil := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPlacer("bad", "good")
			spoil(p.Get("bad"))
			for range 4 {
				must.Eq(t, namer.Worker("good"), p.Place(now, one, nil).Name)
			}
			must.Nil(t, p.Place(now, one, nil))
		})
	}
}

func TestSpreadsAJobOverRacks(t *testing.T) {
	now := time.Unix(100, 0)
	p := newPlacer("a", "b")
	p.Get("a").Rack, p.Get("b").Rack = "r1", "r2"
	must.Eq(t, namer.Worker("b"), p.Place(now, one, map[string]int{"r1": 3}).Name)
}

// A worker that fails everything is told from jobs that fail everywhere.
func TestQuarantineTellsBadWorkersFromBadJobs(t *testing.T) {
	now := time.Unix(100, 0)
	p := newPlacer("bad", "good")
	for range 200 {
		p.Ended(now, "good", true)
	}
	must.False(t, p.Ended(now, "bad", false))
	must.True(t, p.Ended(now, "bad", false), must.Sprint("two in a row where nothing fails"))

	p = newPlacer("a", "b")
	rng := rand.New(rand.NewPCG(2, 2))
	aside := 0
	for range 2000 {
		for _, w := range []namer.Worker{"a", "b"} {
			if p.Ended(now, w, rng.Float64() > 0.3) {
				aside++
			}
		}
	}
	must.Less(t, 100, aside, must.Sprint("a third of all jobs is bad, not the workers"))
}

func TestQuarantineGrowsAndEnds(t *testing.T) {
	now := time.Unix(100, 0)
	p := newPlacer("bad")
	p.Ended(now, "bad", false)
	must.True(t, p.Ended(now, "bad", false))
	must.Nil(t, p.Place(now.Add(firstQuarantine-1), one, nil))
	back := now.Add(firstQuarantine)
	must.NotNil(t, p.Place(back, one, nil))
	must.Nil(t, p.Place(back, one, nil), must.Sprint("one task tries it"))
	must.True(t, p.Ended(back, "bad", false))
	must.Nil(t, p.Place(back.Add(2*firstQuarantine-1), one, nil))
	must.NotNil(t, p.Place(back.Add(2*firstQuarantine), one, nil))
	p.Ended(back.Add(2*firstQuarantine), "bad", true)
	must.NotNil(t, p.Place(back.Add(2*firstQuarantine), one, nil))
	must.NotNil(t, p.Place(back.Add(2*firstQuarantine), one, nil))
}

func TestStragglersAreSetAside(t *testing.T) {
	now := time.Unix(100, 0)
	p := newPlacer("slow", "fast")
	must.False(t, p.EndedWell(now, "slow", 10))
	must.False(t, p.EndedWell(now, "slow", 1), must.Sprint("one slow task is no straggler"))
	must.False(t, p.EndedWell(now, "slow", 10))
	must.True(t, p.EndedWell(now, "slow", 10))
	for range 4 {
		must.Eq(t, namer.Worker("fast"), p.Place(now, one, nil).Name)
	}
	must.Nil(t, p.Place(now, one, nil))
}
