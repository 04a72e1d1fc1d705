// Package estimator learns how fast a worker is from the run times that are seen there.
// A speed is a factor on predicted run times: 2 means that runs take twice as long.
package estimator

import (
	"math"
	"time"
)

const (
	// errorVariance is that of the logarithm of actual to predicted run time between
	// jobs: estimates are off by about 0.4. The tasks of a job share the error, and
	// differ by runVariance beyond the speed of their workers.
	errorVariance = 0.4 * 0.4
	runVariance   = 0.15 * 0.15
	// priorVariance is that of the logarithm of a factor of which nothing is known.
	priorVariance = 0.5 * 0.5
	// minVariance keeps the newest observations in effect.
	minVariance = 0.05 * 0.05
	// variancePerSecond is what a worker's speed may drift, and changedVariancePerSecond
	// what it may do after a change, which may end at any time.
	variancePerSecond        = 0.0003
	changedVariancePerSecond = 0.06
	// maxLogFactor bounds factors, and maxLogRatio the ratios that are used at all: an
	// estimate that is further off says nothing about the worker.
	maxLogFactor = 2.08 // MaxFactor
	maxLogRatio  = 3.0  // 20 times
	// maxSurprise bounds the influence of an observation, in standard deviations.
	maxSurprise = 3.0
	// A worker has changed its speed once surprises in one direction, each less
	// usualSurprise, add up to changeSurprise: two of the bounded ones, but about one in
	// 10,000 sequences by chance.
	usualSurprise  = 1.0
	changeSurprise = 3.9
	// A factor counts once it differs from 1 by minDifference, in its logarithm (a
	// quarter), and by minConfidence standard deviations. It no longer counts below half
	// of that.
	minDifference = 0.22
	minConfidence = 3.0
	// marginDeviations is how many standard deviations Margin covers: the last of several
	// tasks decides.
	marginDeviations = 2
	normalMargin     = 1 + marginDeviations*0.15
	// relaxTime is how long the speed after a change is believed without an observation.
	// A change that has lasted settleTime is believed for good.
	relaxTime  = 2 * time.Second
	settleTime = 10 * time.Second
)

// MaxFactor is the largest factor on predicted run times, and its inverse the smallest.
const MaxFactor = 8.0

// Class says how a worker compares to the others.
type Class int

// Classes of workers.
const (
	// Normal includes workers of which too little is known.
	Normal Class = iota
	Fast
	Slow
)

// String returns the name that is shown to operators.
func (c Class) String() string { return [...]string{"normal", "fast", "slow"}[c] }

// Speed is what is known of the speed of an incarnation of a worker. The zero value
// means nothing.
type Speed struct {
	// mean and variance are those of the logarithm of the factor, as of observedAt.
	mean, variance float64
	observedAt     time.Time
	observations   int
	// factor is that of the mean.
	factor float64
	class  Class
	// lastJob is the job of the newest observation.
	lastJob uint64
	// slower and faster add up surprises by direction.
	slower, faster surprises
	// base is the mean before the speed changed at changedAt, which is zero if it has not
	// changed or the change has settled.
	base      float64
	changedAt time.Time
}

// surprises are the recent observations in one direction.
type surprises struct {
	// total adds up their size in standard deviations beyond the usual, and sum the
	// observed values.
	total, sum float64
	count      int
}

// Factor returns the factor on predicted run times; 1 unless it differs by more than
// chance.
func (s *Speed) Factor(now time.Time) float64 {
	switch {
	case s.class == Normal:
		return 1
	case s.changedAt.IsZero():
		return s.factor
	}
	mean := s.relaxed(now)
	if math.Abs(mean) < minDifference {
		return 1
	}
	return math.Exp(mean)
}

// relaxed returns the mean as of now. After a change it returns to the base while there
// are no observations, so that the worker gets tasks that show whether it has recovered.
func (s *Speed) relaxed(now time.Time) float64 {
	if s.changedAt.IsZero() {
		return s.mean
	}
	share := max(0, 1-float64(now.Sub(s.observedAt))/float64(relaxTime))
	return s.base + share*(s.mean-s.base)
}

// Margin returns the factor on predicted run times that a run probably doesn't exceed, if
// the estimate of its job is right. It is the same for all workers whose factor is 1.
func (s *Speed) Margin(now time.Time) float64 {
	if s.class == Normal {
		return normalMargin
	}
	return s.Factor(now) * (1 + marginDeviations*math.Sqrt(s.variance+runVariance))
}

// Deviation returns the standard deviation of the factor's logarithm.
func (s *Speed) Deviation() float64 { return math.Sqrt(s.currentVariance()) }

// Estimate returns the most likely factor, which may differ from 1 by chance.
func (s *Speed) Estimate() float64 {
	if s.observations == 0 {
		return 1
	}
	return s.factor
}

// Class returns how the worker compares to others, and Observations from how many runs.
func (s *Speed) Class() Class { return s.class }

// Observations returns the number of runs that the speed was learned from.
func (s *Speed) Observations() int { return s.observations }

func (s *Speed) currentVariance() float64 {
	if s.observations == 0 {
		return priorVariance
	}
	return s.variance
}

// Observation is a run time that was seen on a worker.
type Observation struct {
	// Job is the hash of the job's name.
	Job uint64
	// Predicted is the run time that was predicted without regard to the worker.
	Predicted, Actual time.Duration
}

// centerWeight is the weight of an observation in the mean of the workers, and the share of
// that which is taken from an observed worker: with some observations a second, a mean
// that is off is corrected within ten seconds.
const centerWeight = 0.02

// jobSlots is how many jobs the estimator remembers; runs of a job end within a second
// of each other, and an owner sees some hundred of them in that time.
const jobSlots = 256

// Estimator learns the speeds of the workers of an instance. It is not safe for
// concurrent use.
type Estimator struct {
	// jobs has what is known of the error of a job's estimate, at its hash modulo jobSlots.
	jobs [jobSlots]jobError
	// center is the smoothed mean of the workers that are observed, apart from those that
	// have just changed their speed.
	center float64
	// bounded counts the observations whose influence was bounded, rejected those that
	// were not used, and changes how often a worker has changed its speed.
	bounded, rejected, changes int
}

// jobError is the logarithm of a job's run time to its prediction, apart from the speed
// of workers.
type jobError struct {
	job            uint64
	mean, variance float64
	// last is the worker that a task of the job was seen on last.
	last *Speed
}

// New returns an Estimator.
func New() *Estimator { return &Estimator{} }

// Bounded returns the number of observations whose influence was bounded.
func (e *Estimator) Bounded() int { return e.bounded }

// Rejected returns the number of observations that were not used.
func (e *Estimator) Rejected() int { return e.rejected }

// Changes returns how often a worker has changed its speed.
func (e *Estimator) Changes() int { return e.changes }

// Reject counts an observation whose times can't be relied on.
func (e *Estimator) Reject() { e.rejected++ }

// Finding is what an observation has shown.
type Finding struct {
	// ClassChanged is set if the worker's class has changed, and Unusual if the speed of the
	// worker may have changed, so that the run says little of its job or kind.
	ClassChanged, Unusual bool
}

// Observe learns from a run.
func (e *Estimator) Observe(now time.Time, s *Speed, o Observation) Finding {
	if o.Predicted <= 0 || o.Actual <= 0 {
		e.rejected++
		return Finding{}
	}
	ratio := math.Log(float64(o.Actual) / float64(o.Predicted))
	if math.Abs(ratio) > maxLogRatio {
		e.rejected++
		return Finding{Unusual: true}
	}
	s.age(now)
	job := e.jobError(o.Job)
	if s.observations > 0 && s.lastJob == o.Job {
		// A second task of a job on a worker says nothing new of either.
		return Finding{}
	}
	s.lastJob = o.Job
	mean, variance := s.mean, s.variance
	step, isUsual := e.update(now, s, ratio-job.mean, job.variance+runVariance)
	if isUsual {
		job.shiftLast(step / (variance + job.variance + runVariance))
		job.observe(ratio-mean, variance+runVariance)
		job.last = s
	}
	e.pullToCenter(s)
	return Finding{ClassChanged: s.classify(), Unusual: !isUsual}
}

// pullToCenter lets the mean of all workers return to 1 slowly. What they have in common is
// left to the predictions of the kinds, which learn it too; the two would drift against
// each other otherwise.
func (e *Estimator) pullToCenter(s *Speed) {
	if s.changedAt.IsZero() {
		e.center += centerWeight * (s.mean - e.center)
	}
	s.move(-centerWeight * e.center)
}

func (j *jobError) observe(value, variance float64) {
	gain := j.variance / (j.variance + variance)
	j.mean += gain * (value - j.mean)
	j.variance *= 1 - gain
}

// shiftLast moves the worker that a task of the job was seen on before by the opposite of
// what the next one is moved by: the shortest tasks are seen first, so that workers would
// seem slower and slower otherwise. surprise is the
// difference between the two over its variance.
func (j *jobError) shiftLast(surprise float64) {
	if j.last == nil || j.last.observations == 0 {
		return
	}
	j.last.move(-j.last.variance * surprise)
}

// jobError returns the entry of a job, in place of an earlier job's.
func (e *Estimator) jobError(job uint64) *jobError {
	entry := &e.jobs[job%jobSlots]
	if entry.job != job || entry.variance == 0 {
		*entry = jobError{job: job, variance: errorVariance}
	}
	return entry
}

// age applies the time since the last observation.
func (s *Speed) age(now time.Time) {
	if s.observations == 0 {
		s.variance = priorVariance
	} else {
		drift := variancePerSecond
		if !s.changedAt.IsZero() {
			drift = changedVariancePerSecond
		}
		elapsed := max(0, now.Sub(s.observedAt).Seconds())
		s.variance = min(s.variance+drift*elapsed, priorVariance)
	}
	s.observedAt = now
	if !s.changedAt.IsZero() && now.Sub(s.changedAt) > settleTime {
		s.changedAt = time.Time{}
	}
}

// update applies an observation of the logarithm of a worker's factor. It returns by how
// much that differs from the mean, and whether that is no surprise.
func (e *Estimator) update(now time.Time, s *Speed, value, variance float64) (float64, bool) {
	s.observations++
	deviation := math.Sqrt(s.variance + variance)
	surprise := (value - s.mean) / deviation
	isUsual := math.Abs(surprise) <= maxSurprise
	if !isUsual {
		e.bounded++
		surprise = math.Copysign(maxSurprise, surprise)
	}
	step := surprise * deviation
	s.slower.add(surprise, value)
	s.faster.add(-surprise, value)
	gain := s.variance / (s.variance + variance)
	s.move(gain * step)
	s.variance = max(s.variance*(1-gain), minVariance)
	for _, d := range []*surprises{&s.slower, &s.faster} {
		if d.total > changeSurprise {
			e.changes++
			s.change(now, d, variance)
		}
	}
	return step, isUsual
}

func (s *Speed) move(by float64) {
	s.mean = min(max(s.mean+by, -maxLogFactor), maxLogFactor)
	s.factor = math.Exp(s.mean)
}

func (u *surprises) add(surprise, value float64) {
	u.total += surprise - usualSurprise
	u.sum += value
	u.count++
	if u.total <= 0 {
		*u = surprises{}
	}
}

// change moves the speed to what the surprising observations say.
func (s *Speed) change(now time.Time, d *surprises, variance float64) {
	before := s.mean
	s.move(d.sum/float64(d.count) - s.mean)
	s.variance = min(variance/float64(d.count), priorVariance)
	switch {
	case s.changedAt.IsZero():
		s.base, s.changedAt = before, now
	case math.Abs(s.mean-s.base) < minDifference:
		s.changedAt = time.Time{}
	}
	s.slower, s.faster = surprises{}, surprises{}
}

// classify updates the class and reports whether it has changed.
func (s *Speed) classify() bool {
	before := s.class
	size, threshold := math.Abs(s.mean), max(minDifference, minConfidence*math.Sqrt(s.variance))
	switch {
	case size > threshold:
		s.class = Slow
		if s.mean < 0 {
			s.class = Fast
		}
	case size < threshold/2, (s.class == Slow) != (s.mean > 0):
		s.class = Normal
	}
	return s.class != before
}

// Report is what an instance tells another of the speed of a worker. It is bounded by
// the one that receives it.
type Report struct {
	// LogFactor and Variance are those of the factor's logarithm.
	LogFactor    float64 `cbor:"1,keyasint"`
	Variance     float64 `cbor:"2,keyasint"`
	Observations int     `cbor:"3,keyasint"`
}

// Report returns a speed as it is told to another instance.
func (s *Speed) Report(now time.Time) Report {
	return Report{LogFactor: s.relaxed(now), Variance: s.variance, Observations: s.observations}
}

// maxReportedObservations bounds what a report counts for, and minReportedVariance how
// sure it is: it may be late.
const (
	maxReportedObservations = 1000
	minReportedVariance     = 0.1 * 0.1
)

// Adopt replaces what is known of a speed by a report that is based on more runs. It
// reports whether it did.
func (e *Estimator) Adopt(now time.Time, s *Speed, r Report) bool {
	if r.Observations <= s.observations {
		return false
	}
	if math.IsNaN(r.LogFactor) || math.IsNaN(r.Variance) || r.Variance <= 0 {
		e.rejected++
		return false
	}
	if math.Abs(r.LogFactor) > maxLogFactor || r.Observations > maxReportedObservations {
		e.bounded++
	}
	mean := min(max(r.LogFactor, -maxLogFactor), maxLogFactor)
	*s = Speed{
		mean: mean, factor: math.Exp(mean), variance: min(max(r.Variance, minReportedVariance), priorVariance),
		observations: min(r.Observations, maxReportedObservations), observedAt: now,
	}
	s.classify()
	return true
}
