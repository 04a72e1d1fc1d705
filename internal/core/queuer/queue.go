// Package queuer orders waiting work by weighted fair queueing over classes. A
// class is one team's work of one kind.
//
// It implements start-time fair queueing (Goyal, Vin and Cheng 1996). Each class
// has a start tag, a virtual time that advances by cost/weight for every item
// removed. The class with the smallest start tag is served next. A class that
// demands less than its share therefore waits for at most one slot, regardless
// of the demand of other classes.
package queuer

import (
	"sort"
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Queue is a weighted fair queue of waiting tasks. Create it with New.
type Queue struct {
	classes map[Class]*classQueue
	// classesByName is sorted by team and kind, so that ties between start tags
	// are always broken the same way.
	classesByName []*classQueue
	// virtualTime is the largest start tag of any item removed so far.
	virtualTime float64
	// itemCount is the number of waiting items in all classes.
	itemCount int
}

// Class identifies a flow: the work of one team and one kind.
type Class struct {
	Team namer.Team
	Kind namer.Kind
}

// Item is a waiting task.
type Item struct {
	// ID is the submission's ID, and TaskIndex the task's index in it.
	ID        namer.ID
	TaskIndex int
	// Cost is how long the task is expected to occupy a slot.
	Cost time.Duration
}

// classQueue holds the waiting items of one class.
type classQueue struct {
	Class
	weight float64
	// startTag is the virtual start time of the next item.
	startTag float64
	items    []Item
	// backlogCost is the total cost of items.
	backlogCost time.Duration
	// averageRunTime is an exponential moving average of the measured run
	// times; zero until there is one.
	averageRunTime time.Duration
}

const (
	defaultWeight = 1.0
	// runTimeWeight is the weight of the newest run time in averageRunTime.
	runTimeWeight = 0.1
	// defaultRunTime is used for work without a declared or measured run time.
	defaultRunTime = 200 * time.Millisecond
)

// New returns an empty queue.
func New() *Queue {
	return &Queue{classes: make(map[Class]*classQueue)}
}

// SetWeight sets the weight of a class. A weight of zero or less counts as 1.
func (q *Queue) SetWeight(c Class, weight float64) {
	if weight <= 0 {
		weight = defaultWeight
	}
	q.queueOf(c).weight = weight
}

// queueOf returns the queue of a class, which it creates if needed.
func (q *Queue) queueOf(c Class) *classQueue {
	cq, ok := q.classes[c]
	if ok {
		return cq
	}
	cq = &classQueue{Class: c, weight: defaultWeight}
	q.classes[c] = cq
	position := sort.Search(len(q.classesByName), func(i int) bool { return !classLess(q.classesByName[i].Class, c) })
	q.classesByName = append(q.classesByName, nil)
	copy(q.classesByName[position+1:], q.classesByName[position:])
	q.classesByName[position] = cq
	return cq
}

func classLess(a, b Class) bool {
	if a.Team != b.Team {
		return a.Team < b.Team
	}
	return a.Kind < b.Kind
}

// ExpectedRunTime returns the expected run time of a task of the class: the
// measured average, else the declared run time, else defaultRunTime.
func (q *Queue) ExpectedRunTime(c Class, declaredRunTime time.Duration) time.Duration {
	if cq, ok := q.classes[c]; ok && cq.averageRunTime > 0 {
		return cq.averageRunTime
	}
	if declaredRunTime > 0 {
		return declaredRunTime
	}
	return defaultRunTime
}

// RecordRunTime adds a measured run time to the average of the class.
func (q *Queue) RecordRunTime(c Class, runTime time.Duration) {
	cq := q.queueOf(c)
	if cq.averageRunTime == 0 {
		cq.averageRunTime = runTime
		return
	}
	cq.averageRunTime += time.Duration(runTimeWeight * float64(runTime-cq.averageRunTime))
}

// Push appends an item to the queue of its class.
func (q *Queue) Push(c Class, it Item) {
	q.insert(c, it, false)
}

// PushFront puts an item that was removed but has not run back at the front of
// its class.
func (q *Queue) PushFront(c Class, it Item) {
	q.insert(c, it, true)
}

// insert adds an item. The start tag of a class that was empty catches up with
// the virtual time, so that idle periods earn no credit.
func (q *Queue) insert(c Class, it Item, front bool) {
	cq := q.queueOf(c)
	if len(cq.items) == 0 && cq.startTag < q.virtualTime {
		cq.startTag = q.virtualTime
	}
	if front {
		cq.items = append([]Item{it}, cq.items...)
	} else {
		cq.items = append(cq.items, it)
	}
	cq.backlogCost += it.Cost
	q.itemCount++
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.itemCount }

// Dispatch calls start with the items in fair order and removes those for which
// start returns true. If start returns false, because there is no capacity for
// the item, the item stays and its class is skipped until the next call of
// Dispatch. Dispatch returns when every class is empty or skipped, or after
// maxItems calls of start.
func (q *Queue) Dispatch(maxItems int, start func(Class, Item) bool) {
	blocked := make(map[*classQueue]bool)
	for ; maxItems > 0; maxItems-- {
		cq := q.nextClass(blocked)
		if cq == nil {
			return
		}
		it := cq.items[0]
		if !start(cq.Class, it) {
			blocked[cq] = true
			continue
		}
		q.removeFirst(cq, it)
	}
}

// nextClass returns the class with the smallest start tag among those that have
// items and are not blocked, or nil.
func (q *Queue) nextClass(blocked map[*classQueue]bool) *classQueue {
	var best *classQueue
	for _, cq := range q.classesByName {
		if len(cq.items) == 0 || blocked[cq] {
			continue
		}
		if best == nil || cq.startTag < best.startTag {
			best = cq
		}
	}
	return best
}

// removeFirst removes it, the first item of cq, and advances the start tag of the
// class and the virtual time.
func (q *Queue) removeFirst(cq *classQueue, it Item) {
	if cq.startTag > q.virtualTime {
		q.virtualTime = cq.startTag
	}
	cq.startTag += it.Cost.Seconds() / cq.weight
	cq.items = cq.items[1:]
	cq.backlogCost -= it.Cost
	q.itemCount--
	if len(cq.items) == 0 {
		cq.items = nil
	}
}

// EstimateWait estimates how long new work of a class waits: the cost of its
// backlog divided by its weighted share of the slots among the classes with
// waiting items.
func (q *Queue) EstimateWait(c Class, slots float64) time.Duration {
	cq, ok := q.classes[c]
	if !ok || cq.backlogCost <= 0 {
		return 0
	}
	if slots <= 0 {
		return cq.backlogCost
	}
	totalWeight := 0.0
	for _, other := range q.classesByName {
		if len(other.items) > 0 {
			totalWeight += other.weight
		}
	}
	return time.Duration(float64(cq.backlogCost) * totalWeight / (slots * cq.weight))
}
