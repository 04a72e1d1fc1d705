package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// largeSite is the size of the larger site: 4 domains of 2 instances and 12
// workers.
var largeSite = siteSize{domains: 4, perDomain: 2, workersPerDomain: 12}

// uneven is how clients spread over eight instances that a balancer picks by a
// hash of the client.
var uneven = []int{3, 1, 2, 2, 1, 3, 2, 1}

// worth of the kinds, as the sites weigh them: each kind is worth the same a
// second at the usual rates.
var worth = map[namer.Kind]float64{"short": 0.0291, "long": 0.16, "middle": 0.01}

// tally is what clients have got out of a day.
type tally struct {
	jobs, inTime, late, refused, other int
	owed, earned                       float64
	byKind                             map[namer.Kind]float64
	// heldLate counts the refusals after a quarter of the objective.
	heldLate int
}

func (w *world) tally() tally {
	t := tally{byKind: make(map[namer.Kind]float64)}
	for _, j := range w.order {
		t.jobs++
		t.owed += worth[j.spec.Kind]
		target := time.Duration(j.spec.Stretch*float64(j.work)) + j.spec.Target
		switch {
		case j.inTime():
			t.inTime++
			t.earned += worth[j.spec.Kind]
		case j.outcome == Completed && j.answered > 0 && j.answered-j.sent <= 3*target:
			t.late++
			t.earned += worth[j.spec.Kind] / 5
		case j.outcome == Refused || j.outcome == Unavailable:
			t.refused++
			if j.answered-j.sent > target/4+2*w.crossDelay {
				t.heldLate++
			}
		default:
			t.other++
		}
	}
	for k := range worth {
		t.byKind[k] = w.served(k)
	}
	return t
}

// TestLoad plays days of heavy load, each named for the pattern that it
// answers, and checks what part of the worth is earned.
func TestLoad(t *testing.T) {
	cases := map[string]struct {
		size siteSize
		play func(w *world)
		// least is the part of the worth that must be earned: the users' target
		// for the pattern.
		least float64
	}{
		"usual load from uneven clients": {largeSite, func(w *world) {
			w.usual(0.9, time.Second, 8*time.Second, uneven)
		}, 0.9},
		"burst of long jobs while a sixth of the workers is dark": {largeSite, func(w *world) {
			w.usual(0.87, time.Second, 10*time.Second, uneven)
			w.traffic(longJob, 6.2*0.87*1.4, 3*time.Second, 8800*time.Millisecond, uneven)
			for n := range 8 {
				s := w.workers[n*5]
				w.at(3500*time.Millisecond, s.crash)
				w.at(6900*time.Millisecond, s.reboot)
			}
		}, 0.6},
		"burst of short jobs of many tasks": {largeSite, func(w *world) {
			w.usual(0.87, time.Second, 8*time.Second, uneven)
			w.traffic(shortJob, 34*0.87*0.7, 3*time.Second, 7*time.Second, uneven)
		}, 0.6},
		"instances are replaced one after another": {largeSite, func(w *world) {
			w.usual(0.9, time.Second, 10*time.Second, uneven)
			for n, i := range w.instances {
				at := time.Duration(n)*time.Second + time.Second
				w.at(at, i.leave)
				w.at(at+4*time.Second, i.start)
			}
		}, 0.9},
		"twice what the workers can do": {largeSite, func(w *world) {
			w.usual(2, time.Second, 8*time.Second, uneven)
		}, 0.3},
		"all clients of a domain at one instance": {largeSite, func(w *world) {
			w.usual(0.9, time.Second, 8*time.Second, []int{4, 0, 1, 1, 1, 1, 1, 1})
		}, 0.6},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(11, c.size)
			c.play(w)
			w.run(14 * time.Second)
			got := w.tally()
			t.Logf("earned %.3f: %d jobs, %d in time, %d late, %d refused (%d held for long), %d other, by kind %v; %d starts, %d without room",
				got.earned/got.owed, got.jobs, got.inTime, got.late, got.refused, got.heldLate, got.other, got.byKind, w.starts, w.rejected)
			must.SliceEmpty(t, w.broken)
			must.Greater(t, c.least, got.earned/got.owed)
		})
	}
}
