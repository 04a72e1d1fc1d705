// Package sequencer provides the event queue of a discrete-event simulation in virtual
// time.
package sequencer

import (
	"container/heap"
	"time"
)

// EventQueue orders events by time, and events of the same time by the order in which
// they were added. Its zero value is an empty queue.
type EventQueue struct {
	events eventHeap
	// lastNumber is the number of the event added last.
	lastNumber int
}

// event is a function to call at a virtual time.
type event struct {
	at time.Time
	// number breaks ties between events of the same time.
	number int
	run    func()
}

// ScheduleAt schedules run at a virtual time.
func (q *EventQueue) ScheduleAt(at time.Time, run func()) {
	q.lastNumber++
	heap.Push(&q.events, event{at, q.lastNumber, run})
}

// PopDue removes the earliest event and returns its time and function. It returns
// false if the queue is empty or the earliest event is after limit.
func (q *EventQueue) PopDue(limit time.Time) (at time.Time, run func(), found bool) {
	if len(q.events) == 0 || q.events[0].at.After(limit) {
		return time.Time{}, nil, false
	}
	next := heap.Pop(&q.events).(event)
	return next.at, next.run, true
}

// eventHeap implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].number < h[j].number
	}
	return h[i].at.Before(h[j].at)
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(item any) { *h = append(*h, item.(event)) }

func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
