// Package queuer orders waiting work by weighted fair shares over classes, a
// class being one team's work of one kind.
//
// The order is start-time fair queueing (Goyal, Vin and Cheng 1996): each
// class has a virtual start time that advances by cost over weight for every
// item taken, and the class with the smallest one goes next. A class that
// asks for less than its share therefore waits for one slot at the most,
// however much the others ask for.
package queuer

import (
	"sort"
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Class is what shares are given to.
type Class struct {
	Team namer.Team
	Kind namer.Kind
}

// Item is one piece of waiting work.
type Item struct {
	ID    namer.ID
	Index int
	// Cost is the expected slot time.
	Cost time.Duration
}

// Queue holds the waiting work. Build one with New.
type Queue struct {
	classes map[Class]*class
	// order lists the classes by name, so that ties fall the same way always.
	order []*class
	// now is the virtual time: the start tag of the last item taken.
	now float64
	// items counts all waiting items.
	items int
}

type class struct {
	Class
	weight float64
	// start is the virtual start time of the class's next item.
	start float64
	items []Item
	// backlog is the sum of the costs of items.
	backlog time.Duration
	// learned is the smoothed run time of the kind; zero until one is seen.
	learned time.Duration
}

const (
	defaultWeight = 1.0
	// learnShare is the weight of the newest run time in the average.
	learnShare = 0.1
	// defaultCost stands for a run time that is neither declared nor learned.
	defaultCost = 200 * time.Millisecond
)

// New returns an empty queue.
func New() *Queue {
	return &Queue{classes: make(map[Class]*class)}
}

// SetWeight gives a class its weight; one that is not above zero counts as 1.
func (q *Queue) SetWeight(c Class, weight float64) {
	if weight <= 0 {
		weight = defaultWeight
	}
	q.class(c).weight = weight
}

func (q *Queue) class(c Class) *class {
	found, ok := q.classes[c]
	if ok {
		return found
	}
	found = &class{Class: c, weight: defaultWeight}
	q.classes[c] = found
	at := sort.Search(len(q.order), func(i int) bool { return !less(q.order[i].Class, c) })
	q.order = append(q.order, nil)
	copy(q.order[at+1:], q.order[at:])
	q.order[at] = found
	return found
}

func less(a, b Class) bool {
	if a.Team != b.Team {
		return a.Team < b.Team
	}
	return a.Kind < b.Kind
}

// Cost returns the expected run time of work in a class: what has been
// learned, or else what is declared, or else a default.
func (q *Queue) Cost(c Class, declared time.Duration) time.Duration {
	if k, ok := q.classes[c]; ok && k.learned > 0 {
		return k.learned
	}
	if declared > 0 {
		return declared
	}
	return defaultCost
}

// Learn takes in a measured run time.
func (q *Queue) Learn(c Class, took time.Duration) {
	k := q.class(c)
	if k.learned == 0 {
		k.learned = took
		return
	}
	k.learned += time.Duration(learnShare * float64(took-k.learned))
}

// Push adds an item at the end of its class.
func (q *Queue) Push(c Class, it Item) {
	q.add(c, it, false)
}

// PushFront adds an item again that was taken and has not been run.
func (q *Queue) PushFront(c Class, it Item) {
	q.add(c, it, true)
}

func (q *Queue) add(c Class, it Item, front bool) {
	k := q.class(c)
	if len(k.items) == 0 && k.start < q.now {
		k.start = q.now
	}
	if front {
		k.items = append([]Item{it}, k.items...)
	} else {
		k.items = append(k.items, it)
	}
	k.backlog += it.Cost
	q.items++
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.items }

// Drain offers the items in fair order to take, which returns false where
// there is no room for an item. A class whose first item finds no room is
// passed over until the next call. Drain ends when no class is left, or when
// budget items have been offered.
func (q *Queue) Drain(budget int, take func(Class, Item) bool) {
	blocked := make(map[*class]bool)
	for ; budget > 0; budget-- {
		k := q.next(blocked)
		if k == nil {
			return
		}
		it := k.items[0]
		if !take(k.Class, it) {
			blocked[k] = true
			continue
		}
		q.took(k, it)
	}
}

func (q *Queue) next(blocked map[*class]bool) *class {
	var best *class
	for _, k := range q.order {
		if len(k.items) == 0 || blocked[k] {
			continue
		}
		if best == nil || k.start < best.start {
			best = k
		}
	}
	return best
}

func (q *Queue) took(k *class, it Item) {
	if k.start > q.now {
		q.now = k.start
	}
	k.start += it.Cost.Seconds() / k.weight
	k.items = k.items[1:]
	k.backlog -= it.Cost
	q.items--
	if len(k.items) == 0 {
		k.items = nil
	}
}

// Wait estimates how long new work of a class waits: its backlog over the
// part of the slots that its weight gives it among the waiting classes.
func (q *Queue) Wait(c Class, slots float64) time.Duration {
	k, ok := q.classes[c]
	if !ok || k.backlog <= 0 {
		return 0
	}
	if slots <= 0 {
		return k.backlog
	}
	total := 0.0
	for _, other := range q.order {
		if len(other.items) > 0 {
			total += other.weight
		}
	}
	return time.Duration(float64(k.backlog) * total / (slots * k.weight))
}
