package queuer

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

func item(i int) Item { return Item{ID: namer.ID(fmt.Sprint(i)), Cost: time.Second} }

// takeItems removes up to n items and counts them by class.
func takeItems(q *Queue, n int) map[Class]int {
	taken := make(map[Class]int)
	q.Dispatch(n, func(c Class, _ Item) bool {
		taken[c]++
		return true
	})
	return taken
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
	got := takeItems(q, 400)
	must.Eq(t, map[Class]int{heavy: 300, light: 100}, got)
}

// An item that arrives in an empty class must be served within two items,
// however long the queue of the other class is.
func TestFloodDoesNotDelayOtherClasses(t *testing.T) {
	flood, other := Class{Kind: "flood"}, Class{Kind: "other"}
	q := New()
	q.SetWeight(flood, 8)
	for i := range 10000 {
		q.Push(flood, item(i))
	}
	takeItems(q, 5000)
	q.Push(other, item(1))
	must.Eq(t, 1, takeItems(q, 2)[other])
}

func TestBlockedClassIsSkipped(t *testing.T) {
	large, small := Class{Kind: "large"}, Class{Kind: "small"}
	q := New()
	q.Push(large, item(1))
	q.Push(small, item(2))
	started := 0
	q.Dispatch(10, func(c Class, _ Item) bool {
		if c == large {
			return false
		}
		started++
		return true
	})
	must.Eq(t, 1, started)
	must.Eq(t, 1, q.Len())
}

func TestWaitIsBacklogDividedByShare(t *testing.T) {
	a, b := Class{Kind: "a"}, Class{Kind: "b"}
	q := New()
	q.SetWeight(a, 1)
	q.SetWeight(b, 3)
	for i := range 40 {
		q.Push(a, item(i))
	}
	must.Eq(t, 10*time.Second, q.EstimateWait(a, 4))
	q.Push(b, item(1))
	must.Eq(t, 40*time.Second, q.EstimateWait(a, 4))
	must.Eq(t, time.Duration(0), q.EstimateWait(Class{Kind: "c"}, 4))
}
