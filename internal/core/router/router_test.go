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

// Whatever the number of instances, their shares of a minion are its slots.
func TestSharesAddUpToSlots(t *testing.T) {
	for _, n := range []int{1, 2, 3, 5, 8, 11} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
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

func TestPickStaysWithinTheShare(t *testing.T) {
	r := newRouter("a", []namer.Incarnation{"a", "b"}, 4, 8)
	for range 16 {
		must.NotNil(t, r.Pick(now, "s", ""))
	}
	must.Nil(t, r.Pick(now, "s", ""))
	must.Nil(t, r.Pick(now, "other", ""))
}

func TestBorrowingPausesAfterARefusal(t *testing.T) {
	r := newRouter("a", []namer.Incarnation{"a", "b"}, 1, 8)
	for range 4 {
		r.Pick(now, "s", "")
	}
	r.Lend("s", 2)
	must.Nil(t, r.Pick(now, "s", "0"), must.Sprint("what was refused once does not borrow"))
	m := r.Pick(now, "s", "")
	must.NotNil(t, m)
	r.Refused(now, m.Name, false)
	r.Done(m.Name)
	must.Nil(t, r.Pick(now.Add(firstLoanPause-1), "s", ""))
	must.NotNil(t, r.Pick(now.Add(firstLoanPause), "s", ""))
}

func TestPickAvoids(t *testing.T) {
	cases := map[string]func(*Router){
		"a minion that is leaving": func(r *Router) { r.Update(Minion{Name: "0", Service: "s", Slots: 8, Leaving: true}) },
		"a minion that closes its connections": func(r *Router) {
			r.Refused(now, "0", true)
		},
		"a minion that was full": func(r *Router) { r.Refused(now, "0", false) },
		"a minion that fails everything": func(r *Router) {
			for range quarantineAfter {
				r.Judge(now, "0", false)
			}
		},
	}
	for name, spoil := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRouter("a", []namer.Incarnation{"a"}, 2, 8)
			spoil(r)
			for range 8 {
				must.Eq(t, namer.Minion("1"), r.Pick(now, "s", "").Name)
			}
			must.Nil(t, r.Pick(now, "s", ""))
		})
	}
}

func TestLeavingIsNotForgotten(t *testing.T) {
	r := newRouter("a", []namer.Incarnation{"a"}, 1, 8)
	r.Refused(now, "0", true)
	r.Update(Minion{Name: "0", Service: "s", Slots: 8})
	must.Nil(t, r.Pick(now.Add(time.Hour), "s", ""), must.Sprint("a list that lags does not bring it back"))
}
