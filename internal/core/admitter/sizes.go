package admitter

// SizeClass is the class of a job by its work among the jobs of its kind.
type SizeClass uint8

// Classes of sizes. Callers look at the largest tenth and the fifth below it by themselves.
const (
	SizeCommon SizeClass = iota
	SizeUpperFifth
	SizeLargestTenth
)

const (
	// upperFifthShare and largestTenthShare of a kind's jobs are smaller than those of the
	// class.
	upperFifthShare   = 0.7
	largestTenthShare = 0.9
	// quantileStep is the relative step of a learned bound. It settles within some
	// hundred jobs and follows a change as fast.
	quantileStep = 0.05
)

// Sizes learns which jobs of a kind are large. The zero value is ready to use.
type Sizes struct {
	upperFifth, largestTenth float64
}

// Classify returns the class of a job by its work, in core-seconds, and learns from it.
func (s *Sizes) Classify(work float64) SizeClass {
	if work <= 0 {
		return SizeCommon
	}
	if s.largestTenth == 0 {
		s.upperFifth, s.largestTenth = work, work
	}
	class := SizeCommon
	switch {
	case work > s.largestTenth:
		class = SizeLargestTenth
	case work > s.upperFifth:
		class = SizeUpperFifth
	}
	follow(&s.upperFifth, work, upperFifthShare)
	follow(&s.largestTenth, work, largestTenthShare)
	return class
}

// follow moves a bound towards the value below which the given share of the jobs lies.
func follow(bound *float64, work, share float64) {
	if work > *bound {
		*bound *= 1 + quantileStep*share
		return
	}
	*bound *= 1 - quantileStep*(1-share)
}
