package admitter

import "time"

const (
	// returnSlot is the unit of times that refused callers are told: HTTP has whole
	// seconds.
	returnSlot = time.Second
	// returnSlots is how many slots ahead callers are spread over. Who comes later than
	// that is as good as gone for work of less than a second.
	returnSlots = 8
	// minReturnsPerSlot is how many callers are sent to one slot where few jobs start.
	minReturnsPerSlot = 4
	// returnShare is the share of the rate of starts that is planned for returning
	// callers. New callers need the rest.
	returnShare = 0.5
)

// Returns spreads the callers that are refused over the seconds in which room is predicted,
// in the order of their refusals. The zero value is ready to use.
type Returns struct {
	// first is the slot of planned[0], in whole slots since the first call.
	first   int64
	origin  time.Time
	planned [returnSlots]int
	// started counts the jobs that have started in the current slot, lastRate those in
	// the one before.
	started, lastRate int
}

// JobStarted counts a job that got room.
func (r *Returns) JobStarted(now time.Time) {
	r.advance(now)
	r.started++
}

// RetryAfter returns when a caller that is refused now should return, given the predicted
// wait for room: a whole number of seconds, at least one.
func (r *Returns) RetryAfter(now time.Time, predicted time.Duration) time.Duration {
	r.advance(now)
	perSlot := max(minReturnsPerSlot, int(returnShare*float64(r.lastRate)))
	earliest := int(min(max((predicted+returnSlot-1)/returnSlot, 1), returnSlots)) - 1
	for i := earliest; i < returnSlots; i++ {
		if r.planned[i] < perSlot {
			r.planned[i]++
			return time.Duration(i+1) * returnSlot
		}
	}
	return returnSlots * returnSlot
}

// advance drops the slots that have begun.
func (r *Returns) advance(now time.Time) {
	if r.origin.IsZero() {
		r.origin = now
	}
	slot := int64(now.Sub(r.origin) / returnSlot)
	passed := slot - r.first
	if passed <= 0 {
		return
	}
	r.first = slot
	r.lastRate, r.started = r.started, 0
	if passed > 1 {
		r.lastRate = 0
	}
	if passed >= returnSlots {
		r.planned = [returnSlots]int{}
		return
	}
	copy(r.planned[:], r.planned[passed:])
	clear(r.planned[returnSlots-passed:])
}
