package router

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

var now = time.Unix(100, 0)

func newRouter(self namer.Incarnation, peers []namer.Incarnation, minions, slots int) *Router {
	r := New(self, rand.New(rand.NewPCG(1, 1)))
	r.SetPeers(self, peers)
	for i := range minions {
		r.Update(Minion{Name: namer.Minion(fmt.Sprint(i)), Service: "s", Slots: slots})
	}
	return r
}

// For any number of instances, their slot shares of a minion must sum to its
// slots. A larger sum would overload the minion, a smaller one waste slots.
func TestSlotSharesSumToSlots(t *testing.T) {
	for _, n := range []int{1, 2, 3, 5, 8, 11} {
		t.Run(fmt.Sprintf("%d instances", n), func(t *testing.T) {
			var peers []namer.Incarnation
			for i := range n {
				peers = append(peers, namer.Incarnation(fmt.Sprintf("i%d", i)))
			}
			sums := make(map[namer.Minion]int)
			for _, self := range peers {
				for _, m := range newRouter(self, peers, 10, 8).All() {
					sums[m.Name] += m.Share
				}
			}
			for _, sum := range sums {
				must.Eq(t, 8, sum)
			}
		})
	}
}

func TestPickMinionStaysWithinSlotShare(t *testing.T) {
	r := newRouter("a", []namer.Incarnation{"a", "b"}, 4, 8)
	for range 16 {
		must.NotNil(t, r.Pick(now, "s", ""))
	}
	must.Nil(t, r.Pick(now, "s", ""))
	must.Nil(t, r.Pick(now, "other", ""))
}

func TestBorrowingBacksOffAfterRefusal(t *testing.T) {
	r := newRouter("a", []namer.Incarnation{"a", "b"}, 1, 8)
	for range 4 {
		r.Pick(now, "s", "")
	}
	r.Lend("s", 2)
	must.Nil(t, r.Pick(now, "s", "0"), must.Sprint("a request that was refused once must not borrow"))
	m := r.Pick(now, "s", "")
	must.NotNil(t, m)
	r.Refused(now, m.Name, false)
	r.Done(m.Name)
	must.Nil(t, r.Pick(now.Add(initialBorrowBackoff-1), "s", ""))
	must.NotNil(t, r.Pick(now.Add(initialBorrowBackoff), "s", ""))
}

func TestPickMinionSkipsUnusableMinions(t *testing.T) {
	cases := map[string]func(*Router){
		"a minion that is leaving": func(r *Router) { r.Update(Minion{Name: "0", Service: "s", Slots: 8, Leaving: true}) },
		"a minion that refuses because it is leaving": func(r *Router) {
			r.Refused(now, "0", true)
		},
		"a minion that refuses because it is full": func(r *Router) { r.Refused(now, "0", false) },
		"a minion that fails every request": func(r *Router) {
			for range failureThreshold {
				r.Judge(now, "0", false)
			}
		},
	}
	for name, disable := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRouter("a", []namer.Incarnation{"a"}, 2, 8)
			disable(r)
			for range 8 {
				must.Eq(t, namer.Minion("1"), r.Pick(now, "s", "").Name)
			}
			must.Nil(t, r.Pick(now, "s", ""))
		})
	}
}

// A minion that refused a request because it is leaving must not get requests
// again when an older list still shows it as present.
func TestLeavingOutlivesStaleMinionList(t *testing.T) {
	r := newRouter("a", []namer.Incarnation{"a"}, 1, 8)
	r.Refused(now, "0", true)
	r.Update(Minion{Name: "0", Service: "s", Slots: 8})
	must.Nil(t, r.Pick(now.Add(time.Hour), "s", ""), must.Sprint("a stale list must not make the minion usable again"))
}
