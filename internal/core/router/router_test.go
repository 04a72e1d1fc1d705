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
		r.UpsertMinion(Minion{Name: namer.Minion(fmt.Sprint(i)), Service: "s", Slots: slots})
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
				for _, m := range newRouter(self, peers, 10, 8).Minions() {
					sums[m.Name] += m.SlotShare
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
		must.NotNil(t, r.PickMinion(now, "s", ""))
	}
	must.Nil(t, r.PickMinion(now, "s", ""))
	must.Nil(t, r.PickMinion(now, "other", ""))
}

func TestBorrowingBacksOffAfterRefusal(t *testing.T) {
	r := newRouter("a", []namer.Incarnation{"a", "b"}, 1, 8)
	for range 4 {
		r.PickMinion(now, "s", "")
	}
	r.SetBorrowLimit("s", 2)
	must.Nil(t, r.PickMinion(now, "s", "0"), must.Sprint("a request that was refused once must not borrow"))
	m := r.PickMinion(now, "s", "")
	must.NotNil(t, m)
	r.RecordRefusal(now, m.Name, false)
	r.ReleaseSlot(m.Name)
	must.Nil(t, r.PickMinion(now.Add(initialBorrowBackoff-1), "s", ""))
	must.NotNil(t, r.PickMinion(now.Add(initialBorrowBackoff), "s", ""))
}

func TestPickMinionSkipsUnusableMinions(t *testing.T) {
	cases := map[string]func(*Router){
		"a minion that is draining": func(r *Router) { r.UpsertMinion(Minion{Name: "0", Service: "s", Slots: 8, Draining: true}) },
		"a minion that refuses because it is draining": func(r *Router) {
			r.RecordRefusal(now, "0", true)
		},
		"a minion that refuses because it is full": func(r *Router) { r.RecordRefusal(now, "0", false) },
		"a minion that fails every request": func(r *Router) {
			for range failureThreshold {
				r.RecordAnswer(now, "0", false)
			}
		},
	}
	for name, disable := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRouter("a", []namer.Incarnation{"a"}, 2, 8)
			disable(r)
			for range 8 {
				must.Eq(t, namer.Minion("1"), r.PickMinion(now, "s", "").Name)
			}
			must.Nil(t, r.PickMinion(now, "s", ""))
		})
	}
}

// A minion that refused a request because it is draining must not get requests
// again when an older list does not show it as draining yet.
func TestDrainingOutlivesStaleMinionList(t *testing.T) {
	r := newRouter("a", []namer.Incarnation{"a"}, 1, 8)
	r.RecordRefusal(now, "0", true)
	r.UpsertMinion(Minion{Name: "0", Service: "s", Slots: 8})
	must.Nil(t, r.PickMinion(now.Add(time.Hour), "s", ""), must.Sprint("a stale list must not make the minion usable again"))
}
