// Package detector notices kinds of tasks that slow each other down on one worker. It
// learns from run times that are longer than predicted beside a certain other kind.
package detector

import (
	"math"
	"slices"
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Pair is a kind of tasks and a kind that may run beside it.
type Pair struct {
	Kind     namer.Kind `cbor:"1,keyasint"`
	Neighbor namer.Kind `cbor:"2,keyasint"`
}

// Finding says that tasks of a pair's kind take longer beside its neighbor.
type Finding struct {
	Pair
	// Slowdown is the factor on the run time for one task of the neighbor that is
	// there during the whole run; more than 1.
	Slowdown float64 `cbor:"3,keyasint"`
}

// Exposure says how long a neighbor was beside a run.
type Exposure struct {
	Neighbor namer.Kind
	// Share is the neighbor's time as a share of the run time. With several tasks of
	// the kind it is the sum of their shares.
	Share float64
}

// Observation is a run that has ended.
type Observation struct {
	Kind namer.Kind
	// Ratio is the run time divided by the time that was predicted for this kind and
	// worker.
	Ratio float64
	// Weight is 1 for a run whose prediction is independent of all others. Tasks of one
	// job share the error of their estimate, so theirs add up to 1.
	Weight float64
	// Exposures has each kind that was beside the run.
	Exposures []Exposure
}

const (
	// shortWindow and longWindow are the weights of the observations of a kind after
	// which an older one counts 1/e of a new one. The short window follows changes; the
	// long one has enough runs of kinds that rarely meet.
	shortWindow = 240.0
	longWindow  = 1920.0
	// foundScore is the slope, in standard errors, at which a pair is found. Chance
	// alone exceeds it in 3 of a million independent windows. Below lostScore a pair
	// that was found is forgotten.
	foundScore = 4.5
	lostScore  = 3.0
	// contradictionScore is how many standard errors of the short window a slowdown
	// may be above its slope. Beyond it the pair has stopped disturbing, and the older
	// evidence is discarded.
	contradictionScore = 2.5
	// A pair is found from minSlowdown on, which is what an objective of 1.6 times the
	// run time can't ignore beside other delays, and forgotten below lostSlowdown.
	minSlowdown  = 1.15
	lostSlowdown = 1.08
	// decisiveError is the standard error of the slope up to which a window is certain
	// enough to find a slowdown of 1.6.
	decisiveError = 0.47 / foundScore
	// retention is how long a finding is kept after the last run with that neighbor:
	// tasks that are kept apart give no evidence, and may have stopped disturbing.
	retention = 30 * time.Second
	// maxPairs bounds the table. The pair that was exposed longest ago is forgotten
	// first.
	maxPairs = 1024
	// minWeight is the weight of a window below which nothing is concluded from it.
	minWeight = 20.0
	// maxShare and maxLogRatio bound the influence of one observation.
	maxShare    = 2.0
	maxLogRatio = 2.0
	// maxSlowdown bounds what a peer may report.
	maxSlowdown = 8.0
)

// Table holds what is known of pairs of kinds. It is not safe for concurrent use.
// Create one with New.
type Table struct {
	kinds map[namer.Kind]*kindSums
	pairs map[Pair]*pairSums
	// found counts the pairs whose slowdown is more than 1.
	found   int
	changes []Finding
}

var windows = [...]float64{shortWindow, longWindow}

// kindSums has the sums over all runs of a kind.
type kindSums struct {
	// clock is the total weight ever observed; older weights decay with it.
	clock   float64
	windows [len(windows)]runSums
}

// runSums has weighted sums of y, the logarithm of the ratio.
type runSums struct{ w, y, yy float64 }

// pairSums has the sums over the runs with a neighbor.
type pairSums struct {
	// clock is the clock of the kind at the last update.
	clock     float64
	windows   [len(windows)]exposureSums
	exposedAt time.Time
	// slowdown is 1 unless the pair was found.
	slowdown float64
	// reported is set if the slowdown is a peer's.
	reported bool
}

// exposureSums has weighted sums of x, the neighbor's share, and y. Runs without the
// neighbor have x = 0 and add nothing.
type exposureSums struct{ x, xx, xy float64 }

// New returns an empty table.
func New() *Table {
	return &Table{kinds: make(map[namer.Kind]*kindSums), pairs: make(map[Pair]*pairSums)}
}

// Observe adds a run that has ended. Runs without a usable ratio or weight are ignored.
func (t *Table) Observe(now time.Time, o Observation) {
	if !(o.Ratio > 0) || math.IsInf(o.Ratio, 0) || !(o.Weight > 0) || o.Weight > 1 {
		return
	}
	y := min(max(math.Log(o.Ratio), -maxLogRatio), maxLogRatio)
	k := t.kinds[o.Kind]
	if k == nil {
		k = &kindSums{}
		t.kinds[o.Kind] = k
	}
	k.add(y, o.Weight)
	for _, e := range o.Exposures {
		if !(e.Share > 0) {
			continue
		}
		pair := Pair{o.Kind, e.Neighbor}
		p := t.pairSums(pair, k.clock-o.Weight)
		p.add(k.clock, min(e.Share, maxShare), y, o.Weight)
		p.exposedAt = now
		t.update(pair, p, k)
	}
}

func (k *kindSums) add(y, weight float64) {
	k.clock += weight
	for i := range k.windows {
		s, decay := &k.windows[i], math.Exp(-weight/windows[i])
		s.w = s.w*decay + weight
		s.y = s.y*decay + weight*y
		s.yy = s.yy*decay + weight*y*y
	}
}

// add adds a run with share x of the neighbor, after which the kind's clock is clock.
func (p *pairSums) add(clock, x, y, weight float64) {
	p.decayTo(clock)
	for i := range p.windows {
		s := &p.windows[i]
		s.x += weight * x
		s.xx += weight * x * x
		s.xy += weight * x * y
	}
}

func (p *pairSums) decayTo(clock float64) {
	for i := range p.windows {
		s, decay := &p.windows[i], math.Exp((p.clock-clock)/windows[i])
		s.x, s.xx, s.xy = s.x*decay, s.xx*decay, s.xy*decay
	}
	p.clock = clock
}

// pairSums returns the sums of a pair, which it creates if needed.
func (t *Table) pairSums(pair Pair, clock float64) *pairSums {
	p := t.pairs[pair]
	if p == nil {
		if len(t.pairs) >= maxPairs {
			t.removeOldest()
		}
		p = &pairSums{clock: clock, slowdown: 1}
		t.pairs[pair] = p
	}
	return p
}

// update decides whether a pair is found, or forgotten, after a new observation. The
// shortest window in which a pair is found says by how much its tasks are slowed down.
func (t *Table) update(pair Pair, p *pairSums, k *kindSums) {
	if recent, stdErr := k.windows[0].fit(&p.windows[0]); p.slowdown > 1 && math.Log(p.slowdown)-recent > contradictionScore*stdErr {
		p.windows = [len(windows)]exposureSums{}
		t.setSlowdown(pair, p, 1)
		return
	}
	isLost := p.slowdown > 1
	for i := range p.windows {
		slope, stdErr := k.windows[i].fit(&p.windows[i])
		slowdown := min(math.Exp(slope), maxSlowdown)
		if slope >= foundScore*stdErr && slowdown >= minSlowdown {
			t.setSlowdown(pair, p, slowdown)
			return
		}
		isUnclear := stdErr > decisiveError
		isLost = isLost && (isUnclear || slope < lostScore*stdErr || slowdown < lostSlowdown)
	}
	if isLost && k.isDecisive(p) {
		t.setSlowdown(pair, p, 1)
	}
}

// isDecisive reports whether the longest window is certain enough to find a slowdown of
// 1.6 if there is one.
func (k *kindSums) isDecisive(p *pairSums) bool {
	last := len(windows) - 1
	_, stdErr := k.windows[last].fit(&p.windows[last])
	return stdErr <= decisiveError
}

func (r *runSums) fit(e *exposureSums) (slope, stdErr float64) {
	sxx := e.xx - e.x*e.x/r.w
	sxy := e.xy - e.x*r.y/r.w
	syy := r.yy - r.y*r.y/r.w
	if sxx <= 0 || r.w <= minWeight {
		return 0, math.Inf(1)
	}
	slope = sxy / sxx
	variance := max(syy-slope*sxy, 0) / (r.w - 2)
	return slope, math.Sqrt(variance / sxx)
}

func (t *Table) setSlowdown(pair Pair, p *pairSums, slowdown float64) {
	wasFound, isFound := p.slowdown > 1, slowdown > 1
	p.slowdown, p.reported = slowdown, false
	if wasFound == isFound {
		return
	}
	if isFound {
		t.found++
	} else {
		t.found--
	}
	t.changes = append(t.changes, Finding{pair, slowdown})
}

// Slowdown returns the factor on the run time of a kind for each task of a neighbor
// beside it; 1 if the two are not known to disturb each other.
func (t *Table) Slowdown(kind, neighbor namer.Kind) float64 {
	if t.found == 0 {
		return 1
	}
	if p := t.pairs[Pair{kind, neighbor}]; p != nil {
		return p.slowdown
	}
	return 1
}

// Found returns the number of pairs that are known to disturb each other.
func (t *Table) Found() int { return t.found }

// Findings returns the pairs that this table has found itself, sorted.
func (t *Table) Findings() []Finding {
	var out []Finding
	for pair, p := range t.pairs {
		if p.slowdown > 1 && !p.reported {
			out = append(out, Finding{pair, p.slowdown})
		}
	}
	slices.SortFunc(out, func(a, b Finding) int {
		if a.Kind != b.Kind {
			return compareKinds(a.Kind, b.Kind)
		}
		return compareKinds(a.Neighbor, b.Neighbor)
	})
	return out
}

func compareKinds(a, b namer.Kind) int {
	if a < b {
		return -1
	}
	return 1
}

// Report adds the findings of a peer. They hold until this table has own evidence, at
// most for retention. Impossible ones are ignored; it returns how many there were.
func (t *Table) Report(now time.Time, findings []Finding) (rejected int) {
	for _, f := range findings {
		if !(f.Slowdown > 1) || f.Slowdown > maxSlowdown {
			rejected++
			continue
		}
		k := t.kinds[f.Kind]
		if k == nil {
			k = &kindSums{}
			t.kinds[f.Kind] = k
		}
		p := t.pairSums(f.Pair, k.clock)
		p.decayTo(k.clock)
		if k.isDecisive(p) {
			continue
		}
		p.exposedAt = now
		t.setSlowdown(f.Pair, p, f.Slowdown)
		p.reported = true
	}
	return rejected
}

// Expire forgets the pairs that were not exposed for long.
func (t *Table) Expire(now time.Time) {
	for pair, p := range t.pairs {
		if now.Sub(p.exposedAt) > retention {
			t.remove(pair, p)
		}
	}
}

// TakeChanges returns the pairs that were found, and those that were forgotten, with
// slowdown 1, since the last call.
func (t *Table) TakeChanges() []Finding {
	out := t.changes
	t.changes = nil
	return out
}

func (t *Table) removeOldest() {
	var oldest Pair
	var oldestSums *pairSums
	for pair, p := range t.pairs {
		if oldestSums == nil || p.exposedAt.Before(oldestSums.exposedAt) {
			oldest, oldestSums = pair, p
		}
	}
	t.remove(oldest, oldestSums)
}

func (t *Table) remove(pair Pair, p *pairSums) {
	t.setSlowdown(pair, p, 1)
	delete(t.pairs, pair)
}
