// Package holder decides what becomes of calls that arrive while an instance starts: its
// configuration, the worker list, the owners of workers and their first lists of runs are
// on their way. A call waits as long as its job can still be in time, or at least of some
// use to its caller; one that certainly can't be served is refused at once.
// docs/design/startup.md has the rationale.
package holder

import "time"

// Phase is what an instance needs before it can start tasks, in this order.
type Phase int

// The phases of a start. A phase ends with what it is named after.
const (
	// Configuration ends with the first configuration.
	Configuration Phase = iota
	// WorkerList ends with the first list of workers.
	WorkerList
	// Owners ends when an instance that owns workers is known, this one or a peer.
	Owners
	// Capacity ends when a worker has listed its runs, or a peer has advertised one.
	Capacity
	// FirstStart ends with the first start of a task that a worker has confirmed.
	FirstStart
	phaseCount
)

// names of the phases, as they are logged.
var names = [phaseCount]string{"configuration", "worker list", "owners", "capacity", "first start"}

// String returns the name of the phase as it is logged.
func (p Phase) String() string {
	if p < 0 || p >= phaseCount {
		return "unknown"
	}
	return names[p]
}

// targets are the times from the start of the process to the end of each phase when the
// whole site starts at once. Instances wait 0.1 s for others before they take workers.
var targets = [phaseCount]time.Duration{
	Configuration: 50 * time.Millisecond,
	WorkerList:    150 * time.Millisecond,
	Owners:        180 * time.Millisecond,
	Capacity:      200 * time.Millisecond,
	FirstStart:    300 * time.Millisecond,
}

const (
	// maxStartTime is the time after which an instance that reaches nothing is cut off
	// or misconfigured, and not starting: no call waits longer, and none waits then. It
	// is the time for which callers of the shortest jobs find a late result of use.
	maxStartTime = time.Second
	// settleTime is how long after the first capacity the rest is expected: the lists of
	// the other workers, and two heartbeats of each owner.
	settleTime = 300 * time.Millisecond
	// configTimeout is the time since the start for which calls wait for the
	// configuration: the longest time without hearing others before workers are taken,
	// since nothing is started before that without them.
	configTimeout = 400 * time.Millisecond
	// overdueStep is the time that a phase is expected to take still when its target
	// has passed.
	overdueStep = 50 * time.Millisecond
	// runTimeMargin is the share of its predicted run time by which a job may be slower
	// than predicted and still be in time, and startMargin is the time to start it.
	runTimeMargin = 0.1
	startMargin   = 10 * time.Millisecond
	// minRunTimeShare is the least share of its predicted run time that a job takes:
	// callers' estimates are off by a spread of 0.4, and this is nearly twice that.
	minRunTimeShare = 0.5
	// callerShare is the part of its caller's time that a call may wait before anything
	// is known of its job.
	callerShare = 5
)

// Holder follows the start of an instance. It is not safe for concurrent use. Create one
// with New.
type Holder struct {
	startedAt time.Time
	// reachedAt has the end of each phase; zero before.
	reachedAt [phaseCount]time.Time
}

// New returns a holder for an instance that starts now.
func New(now time.Time) *Holder { return &Holder{startedAt: now} }

// Reach records that a phase has ended. It returns the time since the start of the
// instance, and whether the phase had not ended before.
func (h *Holder) Reach(p Phase, now time.Time) (time.Duration, bool) {
	if !h.reachedAt[p].IsZero() {
		return 0, false
	}
	h.reachedAt[p] = now
	return now.Sub(h.startedAt), true
}

// HasReached reports whether a phase has ended.
func (h *Holder) HasReached(p Phase) bool { return !h.reachedAt[p].IsZero() }

// IsStarting reports whether the instance has no or little capacity because it has only
// just started.
func (h *Holder) IsStarting(now time.Time) bool {
	if h.HasReached(Capacity) {
		return now.Sub(h.reachedAt[Capacity]) < settleTime
	}
	return now.Sub(h.startedAt) < maxStartTime
}

// ConfigWait returns how long a call may wait for the first configuration, without which
// its objective is not known: until configTimeout, and at most a fifth of what its caller waits, if that is known.
func ConfigWait(uptime, callerTimeout time.Duration) time.Duration {
	wait := max(0, configTimeout-uptime)
	if callerTimeout > 0 {
		wait = min(wait, callerTimeout/callerShare)
	}
	return wait
}

// ExpectedEnd returns when a phase is expected to have ended.
func (h *Holder) ExpectedEnd(p Phase, now time.Time) time.Time {
	if h.HasReached(p) {
		return h.reachedAt[p]
	}
	return later(h.startedAt.Add(targets[p]), now.Add(overdueStep))
}

// Call is a job that a caller waits for.
type Call struct {
	// RunTime is how long the job is predicted to run.
	RunTime time.Duration
	// ObjectiveAt is when its result is late, UselessAt when it is of no use to the
	// caller any more.
	ObjectiveAt, UselessAt time.Time
}

// Decision is what becomes of a call.
type Decision struct {
	// Hold is set if the call waits for capacity, until StartBy at the latest.
	Hold    bool
	StartBy time.Time
	// Refuse is set if the call certainly can't be served. RetryAfter is the expected time
	// to the end of the start then. With neither Hold nor Refuse set, the call is treated
	// like any other.
	Refuse     bool
	RetryAfter time.Duration
}

// Decide returns what becomes of a call that arrives while the instance is starting.
func (h *Holder) Decide(c Call, now time.Time) Decision {
	ready := h.ExpectedEnd(Capacity, now)
	needed := time.Duration((1+runTimeMargin)*float64(c.RunTime)) + startMargin
	objectiveAt := c.ObjectiveAt
	if c.UselessAt.Before(objectiveAt) {
		objectiveAt = c.UselessAt
	}
	for _, limit := range [...]time.Time{objectiveAt, c.UselessAt} {
		if startBy := limit.Add(-needed); !startBy.Before(ready) {
			return Decision{Hold: true, StartBy: startBy}
		}
	}
	shortest := time.Duration(minRunTimeShare * float64(c.RunTime))
	if c.UselessAt.Before(ready.Add(shortest)) {
		return Decision{Refuse: true, RetryAfter: ready.Sub(now)}
	}
	return Decision{}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
