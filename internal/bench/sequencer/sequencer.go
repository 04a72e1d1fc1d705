// Package sequencer keeps what is to happen in a simulation, in virtual time.
package sequencer

import (
	"container/heap"
	"time"
)

// Sequencer hands out steps by their time, and those of one time in the order
// in which they were added. Its zero value is ready for use.
type Sequencer struct {
	steps steps
	// added numbers the steps.
	added int
}

type step struct {
	at     time.Time
	number int
	do     func()
}

// Add has a step done at a time.
func (s *Sequencer) Add(at time.Time, do func()) {
	s.added++
	heap.Push(&s.steps, step{at, s.added, do})
}

// Next takes the first step out, unless it comes after until. It returns the
// step's time.
func (s *Sequencer) Next(until time.Time) (at time.Time, do func(), found bool) {
	if len(s.steps) == 0 || s.steps[0].at.After(until) {
		return time.Time{}, nil, false
	}
	next := heap.Pop(&s.steps).(step)
	return next.at, next.do, true
}

type steps []step

func (s steps) Len() int { return len(s) }

func (s steps) Less(i, j int) bool {
	if s[i].at.Equal(s[j].at) {
		return s[i].number < s[j].number
	}
	return s[i].at.Before(s[j].at)
}

func (s steps) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

func (s *steps) Push(x any) { *s = append(*s, x.(step)) }

func (s *steps) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}
