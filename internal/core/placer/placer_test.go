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
		p.UpsertWorker(Worker{Name: w, Capacity: Resources{Cores: 4000, Memory: 100}})
		p.Worker(w).Lease = "lease"
	}
	return p
}

var smallTask = Resources{Cores: 1000, Memory: 10}

func TestPlaceTaskReservesResources(t *testing.T) {
	now := time.Unix(100, 0)
	p := newPlacer("a", "b")
	for range 8 {
		must.NotNil(t, p.PlaceTask(now, smallTask, nil))
	}
	must.Nil(t, p.PlaceTask(now, smallTask, nil))
	p.ReleaseTask("a", smallTask)
	must.Eq(t, namer.Worker("a"), p.PlaceTask(now, smallTask, nil).Name)
}

func TestPlaceTaskSkipsUnusableWorkers(t *testing.T) {
	now := time.Unix(100, 0)
	cases := map[string]func(*Worker){
		"a worker without a lease":     func(w *Worker) { w.Lease = "" },
		"a worker that is draining":    func(w *Worker) { w.Draining = true },
		"a worker that is quarantined": func(w *Worker) { w.quarantinedUntil = now.Add(time.Second) },
		"a worker that reported no free resources": func(w *Worker) {
			w.Free, w.reportedAt = Resources{}, now
		},
	}
	for name, disable := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPlacer("bad", "good")
			disable(p.Worker("bad"))
			for range 4 {
				must.Eq(t, namer.Worker("good"), p.PlaceTask(now, smallTask, nil).Name)
			}
			must.Nil(t, p.PlaceTask(now, smallTask, nil))
		})
	}
}

func TestPlaceTaskPrefersRacksWithFewerTasks(t *testing.T) {
	now := time.Unix(100, 0)
	p := newPlacer("a", "b")
	p.Worker("a").Rack, p.Worker("b").Rack = "r1", "r2"
	must.Eq(t, namer.Worker("b"), p.PlaceTask(now, smallTask, map[string]int{"r1": 3}).Name)
}

// A worker whose every task fails must be quarantined, but faulty jobs, which
// fail on all workers, must hardly ever quarantine one.
func TestQuarantineIgnoresFailuresCommonToAllWorkers(t *testing.T) {
	now := time.Unix(100, 0)
	p := newPlacer("bad", "good")
	for range 200 {
		p.RecordTaskEnd(now, "good", true)
	}
	must.False(t, p.RecordTaskEnd(now, "bad", false))
	must.True(t, p.RecordTaskEnd(now, "bad", false), must.Sprint("two failures in a row while no other task fails"))

	p = newPlacer("a", "b")
	rng := rand.New(rand.NewPCG(2, 2))
	quarantined := 0
	for range 2000 {
		for _, w := range []namer.Worker{"a", "b"} {
			if p.RecordTaskEnd(now, w, rng.Float64() > 0.3) {
				quarantined++
			}
		}
	}
	must.Less(t, 100, quarantined, must.Sprint("a third of all jobs fails on any worker"))
}

func TestQuarantineDoublesAndEnds(t *testing.T) {
	now := time.Unix(100, 0)
	p := newPlacer("bad")
	p.RecordTaskEnd(now, "bad", false)
	must.True(t, p.RecordTaskEnd(now, "bad", false))
	must.Nil(t, p.PlaceTask(now.Add(initialQuarantine-1), smallTask, nil))
	quarantineEnd := now.Add(initialQuarantine)
	must.NotNil(t, p.PlaceTask(quarantineEnd, smallTask, nil))
	must.Nil(t, p.PlaceTask(quarantineEnd, smallTask, nil), must.Sprint("a single task probes the worker"))
	must.True(t, p.RecordTaskEnd(quarantineEnd, "bad", false))
	must.Nil(t, p.PlaceTask(quarantineEnd.Add(2*initialQuarantine-1), smallTask, nil))
	must.NotNil(t, p.PlaceTask(quarantineEnd.Add(2*initialQuarantine), smallTask, nil))
	p.RecordTaskEnd(quarantineEnd.Add(2*initialQuarantine), "bad", true)
	must.NotNil(t, p.PlaceTask(quarantineEnd.Add(2*initialQuarantine), smallTask, nil))
	must.NotNil(t, p.PlaceTask(quarantineEnd.Add(2*initialQuarantine), smallTask, nil))
}

func TestStragglersAreQuarantined(t *testing.T) {
	now := time.Unix(100, 0)
	p := newPlacer("slow", "fast")
	must.False(t, p.RecordTaskSuccess(now, "slow", 10))
	must.False(t, p.RecordTaskSuccess(now, "slow", 1), must.Sprint("one slow task must not quarantine the worker"))
	must.False(t, p.RecordTaskSuccess(now, "slow", 10))
	must.True(t, p.RecordTaskSuccess(now, "slow", 10))
	for range 4 {
		must.Eq(t, namer.Worker("fast"), p.PlaceTask(now, smallTask, nil).Name)
	}
	must.Nil(t, p.PlaceTask(now, smallTask, nil))
}
