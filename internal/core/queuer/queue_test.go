package queuer

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

func item(i int) Item { return Item{ID: namer.ID(fmt.Sprint(i)), Cost: time.Second} }

func take(q *Queue, n int) map[Class]int {
	got := make(map[Class]int)
	q.Drain(n, func(c Class, _ Item) bool {
		got[c]++
		return true
	})
	return got
}

func TestSharesFollowWeights(t *testing.T) {
	heavy, light := Class{Kind: "heavy"}, Class{Kind: "light"}
	q := New()
	q.SetWeight(heavy, 3)
	q.SetWeight(light, 1)
	for i := range 1000 {
		q.Push(heavy, item(i))
		q.Push(light, item(i))
	}
	got := take(q, 400)
	must.Eq(t, map[Class]int{heavy: 300, light: 100}, got)
}

// What comes to an empty class goes next, however deep the other is.
func TestFloodDoesNotDelayOthers(t *testing.T) {
	flood, other := Class{Kind: "flood"}, Class{Kind: "other"}
	q := New()
	q.SetWeight(flood, 8)
	for i := range 10000 {
		q.Push(flood, item(i))
	}
	take(q, 5000)
	q.Push(other, item(1))
	must.Eq(t, 1, take(q, 2)[other])
}

func TestBlockedClassIsPassedOver(t *testing.T) {
	large, small := Class{Kind: "large"}, Class{Kind: "small"}
	q := New()
	q.Push(large, item(1))
	q.Push(small, item(2))
	got := 0
	q.Drain(10, func(c Class, _ Item) bool {
		if c == large {
			return false
		}
		got++
		return true
	})
	must.Eq(t, 1, got)
	must.Eq(t, 1, q.Len())
}

func TestWaitIsBacklogOverShare(t *testing.T) {
	a, b := Class{Kind: "a"}, Class{Kind: "b"}
	q := New()
	q.SetWeight(a, 1)
	q.SetWeight(b, 3)
	for i := range 40 {
		q.Push(a, item(i))
	}
	must.Eq(t, 10*time.Second, q.Wait(a, 4))
	q.Push(b, item(1))
	must.Eq(t, 40*time.Second, q.Wait(a, 4))
	must.Eq(t, time.Duration(0), q.Wait(Class{Kind: "c"}, 4))
}
