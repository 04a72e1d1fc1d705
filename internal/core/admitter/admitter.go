// Package admitter decides how long a job may wait for room, in which order waiting work
// gets it, and when a job is refused. It holds no job and sends no message: the scheduler
// tells it what waits and asks for decisions.
package admitter

import "time"

const (
	// startMargin is the part of an objective that is needed besides run and wait: the
	// reservation, the start and the report of the end, each a round trip of 2 ms between
	// domains, and the poll that lists the end.
	startMargin = 15 * time.Millisecond
	// waitShare is the share of the spare time that a job may wait for its first start. The
	// rest is for tasks that find room later than the first, and run longer.
	waitShare = 0.6
	// maxHeldShare is the share of the objective of a short run for which a job may be held
	// and then be refused. Callers count later refusals as late.
	maxHeldShare = 0.25
	// minWait is how long any job may wait: some round trips of a reservation. A job whose
	// estimate is too long for its deadline is not refused for that alone, since estimates
	// are wrong by any factor.
	minWait = 15 * time.Millisecond
	// maxRunTimeError bounds the learned error of estimates, so that some wait remains
	// where estimates say little.
	maxRunTimeError = 0.5
)

// Demand is what is known of a job's time limits.
type Demand struct {
	// RunTime is the predicted length of the longest chain of steps, and RunTimeError the
	// mean relative error of such predictions.
	RunTime      time.Duration
	RunTimeError float64
	// EstimatedRunTime is that length by the caller's estimates alone.
	EstimatedRunTime time.Duration
	// The result meets its objective within ObjectiveFactor times the actual length of the
	// longest chain plus ObjectiveBase. A job without an objective has neither.
	ObjectiveFactor float64
	ObjectiveBase   time.Duration
	// Limit is when the caller stops waiting or this instance ends.
	Limit time.Duration
}

// LongestWait returns how long the first start may be delayed while the result probably
// meets its objective and precedes the limit, within maxHeldShare. The objective grows with
// the actual run time, so the first is decided by a short run and the second by a long one.
func (d Demand) LongestWait() time.Duration {
	e := min(max(d.RunTimeError, 0), maxRunTimeError)
	if d.RunTime < 0 || d.ObjectiveFactor <= 0 && d.ObjectiveBase <= 0 {
		return 0
	}
	inTime := time.Duration(waitShare * ((d.ObjectiveFactor-1)*(1-e)*float64(d.RunTime) + float64(d.ObjectiveBase)))
	beforeLimit := d.Limit - time.Duration((1+e)*float64(d.RunTime))
	shortRun := (1 - e) * float64(max(0, min(d.EstimatedRunTime, d.RunTime)))
	held := time.Duration(maxHeldShare * (d.ObjectiveFactor*shortRun + float64(d.ObjectiveBase)))
	return min(max(min(min(inTime, beforeLimit)-startMargin, held), minWait), max(0, d.Limit))
}
