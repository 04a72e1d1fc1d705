// Package placer chooses the worker for each task from the free resources that
// workers report. It quarantines workers whose tasks keep failing and workers
// that run tasks too slowly.
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
	// falsePositiveRate is the highest accepted probability that a healthy
	// worker reaches failureThreshold by chance.
	falsePositiveRate = 0.005
	// minConsecutiveFailures is the lower bound of failureThreshold.
	minConsecutiveFailures = 2
	// minFailureRate is the failure rate assumed even if fewer tasks fail.
	minFailureRate = 0.01
	// maxFailureRate bounds failureThreshold, which would otherwise grow without
	// limit as the failure rate approaches 1.
	maxFailureRate = 0.9
	// A task is slow if it runs stragglerRatio times as long as its kind is
	// expected to. maxConsecutiveSlow slow tasks in a row quarantine the worker.
	stragglerRatio     = 3.0
	maxConsecutiveSlow = 2
	// maxQuarantineDoublings keeps the shift of initialQuarantine from
	// overflowing.
	maxQuarantineDoublings = 6
	// failureRateWeight is the weight of the newest task in the moving average
	// of the failure rate.
	failureRateWeight = 0.02
	// initialQuarantine doubles with each further quarantine up to
	// maxQuarantine. Retrying a worker is expensive: it is probed with one task,
	// and if that task fails, so does its job.
	initialQuarantine = 5 * time.Second
	maxQuarantine     = 5 * time.Minute
	// initialReportTTL doubles, up to maxReportTTL, with each start that the
	// worker refuses for lack of capacity.
	initialReportTTL = 100 * time.Millisecond
	maxReportTTL     = time.Second
	// maxCandidates is how many workers with enough free resources a placement
	// compares.
	maxCandidates = 4
)

// Placer holds the workers of this instance's failure domain and places tasks
// on them.
type Placer struct {
	workers map[namer.Worker]*Worker
	// workersByName is sorted by name.
	workersByName []*Worker
	// failureRate is the moving average of the fraction of tasks that fail,
	// over all workers.
	failureRate float64
	rng         *rand.Rand
}

// New returns a placer without workers.
func New(rng *rand.Rand) *Placer {
	return &Placer{workers: make(map[namer.Worker]*Worker), rng: rng}
}

// Resources holds the resources that a task needs or a worker has.
type Resources struct {
	Cores        namer.MilliCores
	Memory       namer.Megabytes
	Accelerators namer.Accelerators
}

// TaskResources returns the resources that a task declares.
func TaskResources(t *coder.TaskSpec) Resources {
	return Resources{Cores: t.Cores, Memory: t.Memory, Accelerators: t.Accelerators}
}

func (r Resources) fitsIn(available Resources) bool {
	return r.Cores <= available.Cores && r.Memory <= available.Memory && r.Accelerators <= available.Accelerators
}

func (r Resources) sub(o Resources) Resources {
	return Resources{r.Cores - o.Cores, r.Memory - o.Memory, r.Accelerators - o.Accelerators}
}

func (r Resources) add(o Resources) Resources {
	return Resources{r.Cores + o.Cores, r.Memory + o.Memory, r.Accelerators + o.Accelerators}
}

// Worker holds the state of one worker.
type Worker struct {
	Name     namer.Worker
	Domain   namer.Domain
	Rack     string
	Capacity Resources
	// Free is what the worker last reported, less what was placed since.
	Free Resources
	// unansweredStarts sums the resources of the tasks placed here whose start
	// the worker has not answered yet.
	unansweredStarts Resources
	// ownUsage sums the resources of this instance's tasks on the worker.
	ownUsage Resources
	// reportedAt is the time of the worker's last report. Free is valid for
	// reportTTL after it, since the ends of other instances' tasks are not
	// visible here.
	reportedAt time.Time
	reportTTL  time.Duration
	// Lease is empty while this instance holds none on the worker.
	Lease namer.Lease
	// LeasePending is set while a lease is being acquired or released.
	LeasePending bool
	// Draining is set once the platform lists the worker as draining.
	Draining bool
	// RunningTasks counts the tasks placed here that have not ended.
	RunningTasks int

	consecutiveSlow     int
	consecutiveFailures int
	// quarantines counts the quarantines since the last task that succeeded at
	// normal speed. While it is above zero, tasks run one at a time and the next
	// failure starts another quarantine.
	quarantines      int
	quarantinedUntil time.Time
	// probeRunning is set while the one task allowed after a quarantine runs.
	probeRunning bool
}

// Worker returns the worker with this name, or nil.
func (p *Placer) Worker(name namer.Worker) *Worker { return p.workers[name] }

// Workers returns the workers sorted by name.
func (p *Placer) Workers() []*Worker { return p.workersByName }

// UpsertWorker adds a worker, or updates it from its newest entry in the
// platform's worker list.
func (p *Placer) UpsertWorker(listed Worker) *Worker {
	if existing, found := p.workers[listed.Name]; found {
		existing.Draining = listed.Draining
		existing.Capacity = listed.Capacity
		existing.Rack = listed.Rack
		return existing
	}
	w := &Worker{
		Name: listed.Name, Domain: listed.Domain, Rack: listed.Rack, Capacity: listed.Capacity, Free: listed.Capacity,
		Draining: listed.Draining, reportTTL: initialReportTTL,
	}
	p.workers[listed.Name] = w
	p.workersByName = append(p.workersByName, w)
	sort.Slice(p.workersByName, func(i, j int) bool { return p.workersByName[i].Name < p.workersByName[j].Name })
	return w
}

// RemoveWorker deletes a worker.
func (p *Placer) RemoveWorker(name namer.Worker) {
	delete(p.workers, name)
	for i, w := range p.workersByName {
		if w.Name == name {
			p.workersByName = append(p.workersByName[:i], p.workersByName[i+1:]...)
			return
		}
	}
}

// FitsEmptyWorker reports whether the task would fit on some worker that is not
// draining if that worker were empty. It returns true while there are no workers.
func (p *Placer) FitsEmptyWorker(need Resources) bool {
	for _, w := range p.workersByName {
		if !w.Draining && need.fitsIn(w.Capacity) {
			return true
		}
	}
	return len(p.workersByName) == 0
}

// EstimateSlots estimates, by cores alone, how many tasks of a size can run at
// once on the workers that are leased and not draining.
func (p *Placer) EstimateSlots(need Resources) float64 {
	if need.Cores <= 0 {
		need.Cores = 1
	}
	total := 0.0
	for _, w := range p.workersByName {
		if w.Draining || w.Lease == "" {
			continue
		}
		total += float64(w.Capacity.Cores / need.Cores)
	}
	return total
}

// PlaceTask chooses a worker for a task and reserves the task's resources
// there. It returns nil if no worker has enough free resources. It compares a
// few random workers that fit the task, and prefers racks with fewer tasks of
// the same job, then the worker with the largest free fraction of its cores.
func (p *Placer) PlaceTask(now time.Time, need Resources, tasksPerRack map[string]int) *Worker {
	var best *Worker
	compared := 0
	n := len(p.workersByName)
	if n == 0 {
		return nil
	}
	first := p.rng.IntN(n)
	for i := 0; i < n && compared < maxCandidates; i++ {
		w := p.workersByName[(first+i*stride(n))%n]
		if !w.acceptsTasks(now) || !need.fitsIn(w.availableAt(now)) {
			continue
		}
		compared++
		if best == nil || isBetter(w, best, tasksPerRack) {
			best = w
		}
	}
	if best == nil {
		return nil
	}
	best.Free = best.availableAt(now).sub(need)
	best.ownUsage = best.ownUsage.add(need)
	best.unansweredStarts = best.unansweredStarts.add(need)
	best.RunningTasks++
	best.probeRunning = best.quarantines > 0
	return best
}

// stride returns a step that visits all n indexes, modulo n, in a scattered
// order.
func stride(n int) int {
	for _, s := range []int{7, 11, 13} {
		if n%s != 0 {
			return s
		}
	}
	return 1
}

// isBetter reports whether a is a better choice than b.
func isBetter(a, b *Worker, tasksPerRack map[string]int) bool {
	if tasksPerRack[a.Rack] != tasksPerRack[b.Rack] {
		return tasksPerRack[a.Rack] < tasksPerRack[b.Rack]
	}
	return a.coreUtilization() < b.coreUtilization()
}

func (w *Worker) coreUtilization() float64 {
	if w.Capacity.Cores == 0 {
		return 1
	}
	return 1 - float64(w.Free.Cores)/float64(w.Capacity.Cores)
}

// availableAt returns the free resources of the worker: those reported or, once
// the report is older than reportTTL, all that this instance's own tasks do not
// use.
func (w *Worker) availableAt(now time.Time) Resources {
	if now.Sub(w.reportedAt) <= w.reportTTL {
		return w.Free
	}
	return w.Capacity.sub(w.ownUsage)
}

func (w *Worker) acceptsTasks(now time.Time) bool {
	if w.Lease == "" || w.Draining || now.Before(w.quarantinedUntil) {
		return false
	}
	return !w.probeRunning
}

// ReleaseTask returns the resources of a task that has ended or never started.
func (p *Placer) ReleaseTask(name namer.Worker, need Resources) {
	w := p.workers[name]
	if w == nil {
		return
	}
	w.Free = w.Free.add(need)
	w.ownUsage = w.ownUsage.sub(need)
	if !w.Free.fitsIn(w.Capacity) {
		w.Free = w.Capacity
	}
	if w.RunningTasks > 0 {
		w.RunningTasks--
	}
}

// RecordStartAnswer records that the worker has answered a start. Its reports
// include the task from now on.
func (p *Placer) RecordStartAnswer(name namer.Worker, need Resources) {
	if w := p.workers[name]; w != nil {
		w.unansweredStarts = w.unansweredStarts.sub(need)
	}
}

// RecordStartRefused records that a worker refused a start for lack of
// capacity. Its reports are then valid for twice as long.
func (p *Placer) RecordStartRefused(name namer.Worker) {
	if w := p.workers[name]; w != nil {
		w.reportTTL = min(2*w.reportTTL, maxReportTTL)
	}
}

// RecordStartAccepted records that a worker accepted a start, and resets how
// long its reports are valid.
func (p *Placer) RecordStartAccepted(name namer.Worker) {
	if w := p.workers[name]; w != nil {
		w.reportTTL = initialReportTTL
	}
}

// UpdateFree records the free resources that a worker reports, less those of
// the starts that it has not answered and so may not have counted.
func (p *Placer) UpdateFree(now time.Time, name namer.Worker, free Resources) {
	if w := p.workers[name]; w != nil {
		w.Free = free.sub(w.unansweredStarts)
		w.reportedAt = now
	}
}

// RecordTaskEnd records the end of a task and returns true if the worker is
// quarantined for it. A faulty job fails on every worker, so the number of
// consecutive failures required grows with the failure rate over all workers.
func (p *Placer) RecordTaskEnd(now time.Time, name namer.Worker, ok bool) bool {
	p.updateFailureRate(ok)
	w := p.workers[name]
	if w == nil {
		return false
	}
	w.probeRunning = false
	if ok {
		w.consecutiveFailures = 0
		w.quarantines = 0
		return false
	}
	w.consecutiveFailures++
	if w.consecutiveFailures < p.failureThreshold() && w.quarantines == 0 {
		return false
	}
	w.quarantine(now)
	return true
}

func (w *Worker) quarantine(now time.Time) {
	duration := initialQuarantine << min(w.quarantines, maxQuarantineDoublings)
	w.quarantines++
	w.quarantinedUntil = now.Add(min(duration, maxQuarantine))
}

// RecordTaskSuccess records a task that succeeded; ratio is its run time over
// the expected run time of its kind. It returns true if the worker is
// quarantined as a straggler: it gets no new tasks, but those it runs are not
// restarted elsewhere.
func (p *Placer) RecordTaskSuccess(now time.Time, name namer.Worker, ratio float64) bool {
	w := p.workers[name]
	if w == nil {
		return false
	}
	if ratio < stragglerRatio {
		w.consecutiveSlow = 0
		return p.RecordTaskEnd(now, name, true)
	}
	p.updateFailureRate(true)
	w.probeRunning = false
	w.consecutiveSlow++
	if w.consecutiveSlow < maxConsecutiveSlow {
		return false
	}
	w.quarantine(now)
	return true
}

func (p *Placer) updateFailureRate(ok bool) {
	failed := 1.0
	if ok {
		failed = 0
	}
	p.failureRate += failureRateWeight * (failed - p.failureRate)
}

// failureThreshold returns the number of consecutive failures that quarantine a
// worker: the smallest n with failureRate^n <= falsePositiveRate, that is, the
// probability that n average tasks fail in a row is at most falsePositiveRate.
func (p *Placer) failureThreshold() int {
	failureRate := min(max(p.failureRate, minFailureRate), maxFailureRate)
	return max(minConsecutiveFailures, int(math.Ceil(math.Log(falsePositiveRate)/math.Log(failureRate))))
}

// Quarantined reports whether the worker is quarantined.
func (w *Worker) Quarantined(now time.Time) bool { return now.Before(w.quarantinedUntil) }
