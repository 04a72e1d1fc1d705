// Package placer chooses the worker for each task from what workers have
// answered, and sets aside workers that fail everything they start.
package placer

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

const (
	// falseAlarm is the chance that a worker like the others fails as often in
	// a row as sets it aside.
	falseAlarm = 0.005
	// minFailures in a row are needed at the least.
	minFailures = 2
	// minRate is the part of tasks that is taken to fail anyway.
	minRate = 0.01
	// maxRate keeps the number of failures that are needed within bounds.
	maxRate = 0.9
	// slowRatio times the run time of its kind makes a task slow, and so many
	// in a row set its worker aside.
	slowRatio = 3.0
	maxSlow   = 2
	// maxDoublings keeps a shift within bounds.
	maxDoublings = 6
	// rateShare is the weight of the newest task in the part that fails.
	rateShare = 0.02
	// firstQuarantine doubles with each relapse up to maxQuarantine. What comes
	// back is tried with one task, and a task that fails fails its job.
	firstQuarantine = 5 * time.Second
	maxQuarantine   = 5 * time.Minute
	// firstPatience doubles with each start refused for want of room.
	firstPatience = 100 * time.Millisecond
	maxPatience   = time.Second
	// candidates is how many random workers a placement compares.
	candidates = 4
)

// Size is what a task or a worker has of each resource.
type Size struct {
	Cores        namer.MilliCores
	Memory       namer.Megabytes
	Accelerators namer.Accelerators
}

// SizeOf returns the declared size of a task.
func SizeOf(t *coder.TaskSpec) Size {
	return Size{Cores: t.Cores, Memory: t.Memory, Accelerators: t.Accelerators}
}

func (s Size) fits(in Size) bool {
	return s.Cores <= in.Cores && s.Memory <= in.Memory && s.Accelerators <= in.Accelerators
}

func (s Size) minus(o Size) Size {
	return Size{s.Cores - o.Cores, s.Memory - o.Memory, s.Accelerators - o.Accelerators}
}

func (s Size) plus(o Size) Size {
	return Size{s.Cores + o.Cores, s.Memory + o.Memory, s.Accelerators + o.Accelerators}
}

// Worker is a row of the table of workers.
type Worker struct {
	Name   namer.Worker
	Domain namer.Domain
	Rack   string
	Total  Size
	// Free is what the worker last said, less what was placed since.
	Free Size
	// pending is the room of tasks placed whose start the worker has not
	// answered yet.
	pending Size
	// own is the room that this instance's tasks take.
	own Size
	// reported is when the worker last told what it has free, and patience how
	// long that is taken for true; tasks of other instances end unseen.
	reported time.Time
	patience time.Duration
	// Lease is empty while none is held.
	Lease namer.Lease
	// Asking is set while a lease is being asked for or given up.
	Asking bool
	// Leaving is set once the platform lists the worker as leaving.
	Leaving bool
	// Running counts the tasks placed and not yet ended.
	Running int

	slow       int
	failures   int
	relapses   int
	asideUntil time.Time
	probing    bool
}

// Placer holds the workers of the instance's own domain.
type Placer struct {
	workers map[namer.Worker]*Worker
	// sorted lists the workers by name.
	sorted []*Worker
	// rate is the part of tasks that fail, over all workers.
	rate float64
	rng  *rand.Rand
}

// New returns a placer without workers.
func New(rng *rand.Rand) *Placer {
	return &Placer{workers: make(map[namer.Worker]*Worker), rng: rng}
}

// Get returns a worker's row, or nil.
func (p *Placer) Get(name namer.Worker) *Worker { return p.workers[name] }

// All lists the workers by name.
func (p *Placer) All() []*Worker { return p.sorted }

// Update adds a worker, or takes in the platform's newest word on it.
func (p *Placer) Update(w Worker) *Worker {
	if old, found := p.workers[w.Name]; found {
		old.Leaving = w.Leaving
		old.Total = w.Total
		old.Rack = w.Rack
		return old
	}
	row := &Worker{
		Name: w.Name, Domain: w.Domain, Rack: w.Rack, Total: w.Total, Free: w.Total,
		Leaving: w.Leaving, patience: firstPatience,
	}
	p.workers[w.Name] = row
	p.sorted = append(p.sorted, row)
	sort.Slice(p.sorted, func(i, j int) bool { return p.sorted[i].Name < p.sorted[j].Name })
	return row
}

// Remove forgets a worker.
func (p *Placer) Remove(name namer.Worker) {
	delete(p.workers, name)
	for i, w := range p.sorted {
		if w.Name == name {
			p.sorted = append(p.sorted[:i], p.sorted[i+1:]...)
			return
		}
	}
}

// EverFits reports whether some worker that is not leaving could hold the
// task when empty. It is true while no worker is known.
func (p *Placer) EverFits(need Size) bool {
	for _, w := range p.sorted {
		if !w.Leaving && need.fits(w.Total) {
			return true
		}
	}
	return len(p.sorted) == 0
}

// Slots estimates how many tasks of a size the usable workers hold at once.
func (p *Placer) Slots(need Size) float64 {
	if need.Cores <= 0 {
		need.Cores = 1
	}
	total := 0.0
	for _, w := range p.sorted {
		if w.Leaving || w.Lease == "" {
			continue
		}
		total += float64(w.Total.Cores / need.Cores)
	}
	return total
}

// Place picks a worker for a task and takes the room for it, or returns nil.
// Of a few random workers with room it takes the one with the largest free
// part of its cores, and prefers racks that hold less of the same job.
func (p *Placer) Place(now time.Time, need Size, used map[string]int) *Worker {
	var best *Worker
	tried := 0
	n := len(p.sorted)
	if n == 0 {
		return nil
	}
	first := p.rng.IntN(n)
	for i := 0; i < n && tried < candidates; i++ {
		w := p.sorted[(first+i*stride(n))%n]
		if !w.usable(now) || !need.fits(w.room(now)) {
			continue
		}
		tried++
		if best == nil || better(w, best, used) {
			best = w
		}
	}
	if best == nil {
		return nil
	}
	best.Free = best.room(now).minus(need)
	best.own = best.own.plus(need)
	best.pending = best.pending.plus(need)
	best.Running++
	best.probing = best.relapses > 0
	return best
}

// stride returns a step that visits all of n places in a scattered order.
func stride(n int) int {
	for _, s := range []int{7, 11, 13} {
		if n%s != 0 {
			return s
		}
	}
	return 1
}

func better(a, b *Worker, used map[string]int) bool {
	if used[a.Rack] != used[b.Rack] {
		return used[a.Rack] < used[b.Rack]
	}
	return a.load() < b.load()
}

func (w *Worker) load() float64 {
	if w.Total.Cores == 0 {
		return 1
	}
	return 1 - float64(w.Free.Cores)/float64(w.Total.Cores)
}

// room returns what the worker has free: what it said, or once that is old,
// what is left beside this instance's own tasks.
func (w *Worker) room(now time.Time) Size {
	if now.Sub(w.reported) <= w.patience {
		return w.Free
	}
	return w.Total.minus(w.own)
}

func (w *Worker) usable(now time.Time) bool {
	if w.Lease == "" || w.Leaving || now.Before(w.asideUntil) {
		return false
	}
	return !w.probing
}

// Release gives back the room of a task that has ended or never started.
func (p *Placer) Release(name namer.Worker, need Size) {
	w := p.workers[name]
	if w == nil {
		return
	}
	w.Free = w.Free.plus(need)
	w.own = w.own.minus(need)
	if !w.Free.fits(w.Total) {
		w.Free = w.Total
	}
	if w.Running > 0 {
		w.Running--
	}
}

// Answered notes that the worker has answered a start, so that what it reports
// from now on counts the task.
func (p *Placer) Answered(name namer.Worker, need Size) {
	if w := p.workers[name]; w != nil {
		w.pending = w.pending.minus(need)
	}
}

// Full notes that a worker refused a task for want of room; what it said is
// taken for true for longer.
func (p *Placer) Full(name namer.Worker) {
	if w := p.workers[name]; w != nil {
		w.patience = min(2*w.patience, maxPatience)
	}
}

// Taken notes that a worker took a task.
func (p *Placer) Taken(name namer.Worker) {
	if w := p.workers[name]; w != nil {
		w.patience = firstPatience
	}
}

// Report takes in what a worker says it has free, less the room of starts that
// it cannot have counted.
func (p *Placer) Report(now time.Time, name namer.Worker, free Size) {
	if w := p.workers[name]; w != nil {
		w.Free = free.minus(w.pending)
		w.reported = now
	}
}

// Ended counts a task's end towards the worker's standing, and returns true
// where this sets the worker aside. Bad jobs fail on all workers alike: the
// more tasks fail anywhere, the more failures in a row it takes.
func (p *Placer) Ended(now time.Time, name namer.Worker, ok bool) bool {
	p.learnRate(ok)
	w := p.workers[name]
	if w == nil {
		return false
	}
	w.probing = false
	if ok {
		w.failures = 0
		w.relapses = 0
		return false
	}
	w.failures++
	if w.failures < p.tooMany() && w.relapses == 0 {
		return false
	}
	w.setAside(now)
	return true
}

func (w *Worker) setAside(now time.Time) {
	pause := firstQuarantine << min(w.relapses, maxDoublings)
	w.relapses++
	w.asideUntil = now.Add(min(pause, maxQuarantine))
}

// EndedWell counts a task that ended well and took so many times as long as
// its kind does. It returns true where this sets the worker aside as a
// straggler: its tasks are not started again elsewhere, it only gets no more.
func (p *Placer) EndedWell(now time.Time, name namer.Worker, ratio float64) bool {
	w := p.workers[name]
	if w == nil {
		return false
	}
	if ratio < slowRatio {
		w.slow = 0
		return p.Ended(now, name, true)
	}
	p.learnRate(true)
	w.probing = false
	w.slow++
	if w.slow < maxSlow {
		return false
	}
	w.setAside(now)
	return true
}

func (p *Placer) learnRate(ok bool) {
	failed := 1.0
	if ok {
		failed = 0
	}
	p.rate += rateShare * (failed - p.rate)
}

// tooMany returns how many failures in a row are less likely than falseAlarm
// for a worker that fails as often as all do: rate^n < falseAlarm.
func (p *Placer) tooMany() int {
	rate := min(max(p.rate, minRate), maxRate)
	return max(minFailures, int(math.Ceil(math.Log(falseAlarm)/math.Log(rate))))
}

// Aside reports whether a worker is set aside.
func (w *Worker) Aside(now time.Time) bool { return now.Before(w.asideUntil) }
