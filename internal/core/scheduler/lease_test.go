package scheduler

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// leaseTracer records which calls extend the leases of a site's runs, so that a run that
// outlives its instance can be explained.
type leaseTracer struct {
	w *simWorld
	// names has the instance of each run tag, and aliveAt its last step.
	names   map[namer.RunTag]string
	aliveAt map[namer.RunTag]time.Duration
	// active has the runs of each task, and calls those that set the lease of a worker.
	active map[namer.TaskName][]tracedRun
	calls  map[namer.Worker][]leaseCall
	// overlaps are the traces of the tasks with two runs at the same time.
	overlaps []string
	// longest is the longest time from the last step of an instance to the end of a run
	// of it.
	longest time.Duration
	// decisive counts the overlaps by the last call that extended the lease of the older
	// run beyond the time at which it was due to end.
	decisive map[string]int
}

type tracedRun struct {
	worker    *simWorker
	run       namer.RunID
	startedAt time.Duration
	// orderedBy is the instance that has sent the start.
	orderedBy string
}

// leaseCall is a call that asked for a lease until a time, in virtual time.
type leaseCall struct {
	at, until time.Duration
	by, call  string
}

func traceLeases(w *simWorld) *leaseTracer {
	t := &leaseTracer{
		w: w, names: make(map[namer.RunTag]string), aliveAt: make(map[namer.RunTag]time.Duration),
		active: make(map[namer.TaskName][]tracedRun), calls: make(map[namer.Worker][]leaseCall),
		decisive: make(map[string]int),
	}
	w.onStep = func(i *simInstance) { t.names[i.core.RunTag], t.aliveAt[i.core.RunTag] = i.core.Name, w.now }
	w.onCall, w.onStart, w.onEnd = t.recordCall, t.recordStart, t.recordEnd
	return t
}

func (t *leaseTracer) recordCall(by *simInstance, s *simWorker, a Action) {
	c := leaseCall{at: t.w.now, by: by.core.Name}
	until := namer.WorkerClockMillis(0)
	switch a := a.(type) {
	case Start:
		c.call, until = "start", a.LeaseUntil
	case Poll:
		c.call, until = "poll", a.LeaseUntil
		if !by.core.workers[s.id].owned {
			c.call = "poll without ownership"
		}
	}
	c.until = t.w.now + time.Duration(float64(until-s.clock())/s.clockRate)*time.Millisecond
	t.calls[s.id] = append(t.calls[s.id], c)
}

func (t *leaseTracer) recordStart(s *simWorker, r *simRun) {
	calls := t.calls[s.id]
	t.active[r.key.task] = append(t.active[r.key.task], tracedRun{s, r.key.run, t.w.now, calls[len(calls)-1].by})
	var runs []tracedRun
	for _, a := range t.active[r.key.task] {
		if !a.worker.down && a.worker.runs[runKey{r.key.task, a.run}] != nil {
			runs = append(runs, a)
		}
	}
	if len(runs) > 1 {
		t.overlaps = append(t.overlaps, t.describe(r.key.task, runs))
		t.decisive[t.decisiveCall(runs[0])]++
	}
}

func (t *leaseTracer) recordEnd(s *simWorker, r *simRun, cause EndCause) {
	t.longest = max(t.longest, t.w.now-t.aliveAt[r.key.run.Tag()])
	var rest []tracedRun
	for _, a := range t.active[r.key.task] {
		if a.run != r.key.run {
			rest = append(rest, a)
		}
	}
	if len(rest) > 0 {
		t.overlaps = append(t.overlaps, fmt.Sprintf("%v: run %d of %s ends on %s: %v", t.w.now, r.key.run, r.key.task.Job, s.id, endReasons[cause]))
	}
	t.active[r.key.task] = rest
}

// dueToEnd is the longest time from the last sign of life of an instance to the end of its
// runs, by the design.
const dueToEnd = peerTimeout + time.Duration(maxClockDrift*float64(defaultLease))

// decisiveCall returns the last call that kept up a run for longer than was due.
func (t *leaseTracer) decisiveCall(r tracedRun) string {
	due := t.aliveAt[r.run.Tag()] + dueToEnd
	call := "none"
	for _, c := range t.calls[r.worker.id] {
		if c.until > due {
			call = c.call
		}
	}
	return call
}

// describe says by which calls the runs of a task are kept up.
func (t *leaseTracer) describe(task namer.TaskName, runs []tracedRun) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%v: task %s %s has %d runs\n", t.w.now, task.Job, taskLabel(task), len(runs))
	for _, r := range runs {
		alive := t.aliveAt[r.run.Tag()]
		fmt.Fprintf(&b, "  run %d on %s from %v, sent by %s, of %s, which was last alive at %v; due to end at %v\n",
			r.run, r.worker.id, r.startedAt, r.orderedBy, t.names[r.run.Tag()], alive, alive+dueToEnd)
		for _, c := range t.calls[r.worker.id] {
			if c.at > alive+200*time.Millisecond {
				fmt.Fprintf(&b, "    %v (+%v): %s of %s, lease until %v (+%v)\n", c.at, c.at-alive, c.call, c.by, c.until, c.until-alive)
			}
		}
	}
	return b.String()
}

// lastingJob outlives its client's wait and a resubmission after that, brokenJob a
// resubmission after a broken connection.
var (
	lastingJob = jobKind{kind: "lasting", tasks: 1, runTime: 3200 * time.Millisecond, maxAttempts: 2}
	brokenJob  = jobKind{kind: "broken", tasks: 1, runTime: 2400 * time.Millisecond, maxAttempts: 2, callerTimeout: 6 * time.Second}
)

// soleOwnerSite has an owner in each domain, so that no worker changes its owner while
// that one lives.
var soleOwnerSite = siteSize{domains: 4, instancesPerDomain: 1, workersPerDomain: 12}

// leaseScenario is a way in which an instance is lost while its runs go on.
type leaseScenario struct {
	site siteSize
	// lost is the index of the instance that is lost, and which gets half of the jobs.
	lost int
	// prepare schedules its loss at a time, and the events around it.
	prepare func(w *simWorld, r *rand.Rand, lost *simInstance, at time.Duration)
	// lasting, broken and medium are the rates of the jobs per second.
	lasting, broken, short float64
	seeds                  uint64
	// regressions are the seeds with which a task has had two runs.
	regressions []uint64
}

// leaseLossAt is when the instance of a leaseScenario is lost.
const leaseLossAt = 4 * time.Second

// run simulates the scenario with a seed and returns what was traced.
func (c leaseScenario) run(seed uint64) *leaseTracer {
	w := newSimWorld(seed, c.site)
	tracer := traceLeases(w)
	r := rand.New(rand.NewPCG(seed, 99))
	if seed%2 == 1 {
		for _, s := range w.workers {
			s.clockRate = 0.98
		}
	}
	weights := w.evenWeights()
	weights[c.lost] = len(weights)
	end := leaseLossAt + 1500*time.Millisecond
	if c.broken > 0 {
		w.addTraffic(brokenJob, c.broken, leaseLossAt-2*time.Second, end, weights)
	}
	if c.short > 0 {
		w.addTraffic(shortJob, c.short, leaseLossAt-2*time.Second, end, weights)
	}
	if c.lasting > 0 {
		w.addUnderestimated(lastingJob, c.lasting, leaseLossAt-1600*time.Millisecond, leaseLossAt-time.Second, weights)
	}
	w.unordered = true
	c.prepare(w, r, w.instances[c.lost], leaseLossAt)
	w.run(leaseLossAt + 8*time.Second)
	return tracer
}

// addUnderestimated is addTraffic with jobs whose estimate is a third of their run time.
func (w *simWorld) addUnderestimated(k jobKind, perSecond float64, from, until time.Duration, weights []int) {
	var next func()
	next = func() {
		if w.now >= until {
			return
		}
		j := w.submit(k, w.instances[w.drawInstance(weights)])
		j.spec.Steps[0].EstimatedRunTime = j.runTime / 3
		w.after(time.Duration(w.loadRand.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	w.at(from, next)
}

// drawInstance returns the index of an instance by the weights.
func (w *simWorld) drawInstance(weights []int) int {
	total := 0
	for _, n := range weights {
		total += n
	}
	n, i := w.loadRand.IntN(total), 0
	for n >= weights[i] {
		n -= weights[i]
		i++
	}
	return i
}

var allLeaseSeeds = flag.Bool("leases.all", false, "simulate every seed of the lease scenarios instead of every eighth and those that were broken once")

// leaseSeedStep is the spacing of the seeds that run by default: one in leaseSeedStep.
const leaseSeedStep = 8

// runsSeed reports whether a seed is to be simulated.
func (c leaseScenario) runsSeed(seed uint64) bool {
	return *allLeaseSeeds || seed%leaseSeedStep == 0 || slices.Contains(c.regressions, seed)
}

// check simulates the scenario with its seeds.
func (c leaseScenario) check(t *testing.T) {
	t.Helper()
	var failed []uint64
	var first []string
	var longest time.Duration
	decisive := make(map[string]int)
	for seed := range c.seeds {
		if !c.runsSeed(seed) {
			continue
		}
		tracer := c.run(seed)
		longest = max(longest, tracer.longest)
		for call, n := range tracer.decisive {
			decisive[call] += n
		}
		if len(tracer.overlaps) > 0 {
			if failed = append(failed, seed); first == nil {
				first = tracer.overlaps
			}
		}
	}
	t.Logf("a run ended at most %v after the last step of its instance; decisive calls of overlaps: %v", longest, decisive)
	must.Less(t, simResubmitDelay, longest)
	must.SliceEmpty(t, failed, must.Sprintf("seeds %v of %d; the first: %s", failed, c.seeds, strings.Join(first[:min(len(first), 2)], "\n")))
}

// between returns a random time from a to b.
func between(r *rand.Rand, a, b time.Duration) time.Duration {
	return a + time.Duration(r.Int64N(int64(b-a)+1))
}

// freeze lets an instance stand still for a time.
func (i *simInstance) freeze(from, length time.Duration) {
	i.w.at(from, func() { i.suspended = true })
	i.w.at(from+length, func() { i.suspended = false })
}

// freezeOthers lets all instances but one stand still, each from a random time in a span
// and for a random time.
func (w *simWorld) freezeOthers(r *rand.Rand, lost *simInstance, from, to, shortest, longest time.Duration) {
	for _, i := range w.instances {
		if i != lost {
			i.freeze(between(r, from, to), between(r, shortest, longest))
		}
	}
}

// freezeOwners does the same for the owners of an unevenSite.
func (w *simWorld) freezeOwners(r *rand.Rand, from, to, shortest, longest time.Duration) {
	for _, i := range w.instances {
		if i.cpuLimit == simStrongLimit {
			i.freeze(between(r, from, to), between(r, shortest, longest))
		}
	}
}

// TestQueuedHeartbeatsAreNotSignsOfLife guards against owners that take what an instance
// sent before its loss for a sign of life when they handle it, after standing still.
func TestQueuedHeartbeatsAreNotSignsOfLife(t *testing.T) {
	const longest = 300 * time.Millisecond
	killed := func(w *simWorld, r *rand.Rand, lost *simInstance, at time.Duration) {
		w.at(at, lost.kill)
		w.freezeOthers(r, lost, at-120*time.Millisecond, at, 200*time.Millisecond, longest)
	}
	frozen := func(w *simWorld, r *rand.Rand, lost *simInstance, at time.Duration) {
		lost.freeze(at, 3650*time.Millisecond)
		w.freezeOthers(r, lost, at-120*time.Millisecond, at, 200*time.Millisecond, longest)
	}
	checkAll(t, map[string]leaseScenario{
		"an owner is killed while others stand still":        {smallSite, 0, killed, 0, 16, 0, 60, []uint64{41}},
		"an instance is killed while its owners stand still": {unevenSite, 3, killed, 0, 16, 0, 60, nil},
		"an instance freezes while its owners stand still":   {unevenSite, 3, frozen, 50, 0, 0, 60, nil},
	})
}

// TestWakingOwnerKeepsUpNoFrozenInstance guards against an owner that freezes before an
// instance does and wakes after it, and takes what it then receives for news.
func TestWakingOwnerKeepsUpNoFrozenInstance(t *testing.T) {
	woken := func(w *simWorld, r *rand.Rand, lost *simInstance, at time.Duration) {
		lost.freeze(at, 3650*time.Millisecond)
		from := at - between(r, 600*time.Millisecond, 1200*time.Millisecond)
		w.instances[1].freeze(from, at-from+between(r, 300*time.Millisecond, 850*time.Millisecond))
	}
	checkAll(t, map[string]leaseScenario{
		"all own workers":         {smallSite, 0, woken, 50, 0, 0, 40, nil},
		"the frozen one has none": {unevenSite, 3, woken, 50, 0, 0, 40, []uint64{0, 1, 2, 3}},
	})
}

func checkAll(t *testing.T, cases map[string]leaseScenario) {
	t.Helper()
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.check(t)
		})
	}
}

// TestStartDoesNotExtendLeaseOfOrphanedRuns guards against starts that extend the lease of
// a worker's runs by what the owner knew at its last poll.
func TestStartDoesNotExtendLeaseOfOrphanedRuns(t *testing.T) {
	steady := func(w *simWorld, _ *rand.Rand, lost *simInstance, at time.Duration) { w.at(at, lost.kill) }
	// The pause delays the stop of the runs, which would hide the longer lease.
	paused := func(w *simWorld, r *rand.Rand, lost *simInstance, at time.Duration) {
		w.at(at, lost.kill)
		w.freezeOthers(r, lost, at+2*time.Millisecond, at+10*time.Millisecond, 300*time.Millisecond, 340*time.Millisecond)
	}
	standing := func(w *simWorld, r *rand.Rand, lost *simInstance, at time.Duration) {
		paused(w, r, lost, at)
		w.freezeOthers(r, lost, at+360*time.Millisecond, at+395*time.Millisecond, 60*time.Millisecond, 150*time.Millisecond)
	}
	checkAll(t, map[string]leaseScenario{
		"no other fault":     {smallSite, 0, steady, 0, 16, 50, 30, nil},
		"owners were paused": {soleOwnerSite, 0, paused, 0, 30, 70, 60, nil},
		"owners stand still": {soleOwnerSite, 0, standing, 0, 30, 70, 60, []uint64{5, 6, 17, 25, 28, 35, 44, 52}},
	})
}

// TestRunsEndThoughOwnerIsSilent guards against instances that poll the workers of a silent
// owner and extend the leases there without knowing the runs.
func TestRunsEndThoughOwnerIsSilent(t *testing.T) {
	silent := func(w *simWorld, r *rand.Rand, lost *simInstance, at time.Duration) {
		w.freezeOwners(r, at-1500*time.Millisecond, at-1400*time.Millisecond, 300*time.Millisecond, 400*time.Millisecond)
		w.at(at, lost.kill)
		w.freezeOwners(r, at+200*time.Millisecond, at+600*time.Millisecond, 300*time.Millisecond, 700*time.Millisecond)
	}
	started := func(w *simWorld, r *rand.Rand, lost *simInstance, at time.Duration) {
		for _, i := range w.instances {
			w.at(at-3*time.Second, i.kill)
			w.at(at-between(r, 2150*time.Millisecond, 2500*time.Millisecond), i.start)
		}
		w.at(at, lost.kill)
		w.freezeOthers(r, lost, at+200*time.Millisecond, at+600*time.Millisecond, 250*time.Millisecond, 900*time.Millisecond)
	}
	// The pause delays the stop of the runs, which would hide the longer lease.
	paused := func(w *simWorld, r *rand.Rand, lost *simInstance, at time.Duration) {
		w.at(at, lost.kill)
		w.freezeOwners(r, at+2*time.Millisecond, at+10*time.Millisecond, 300*time.Millisecond, 400*time.Millisecond)
	}
	lossy := func(w *simWorld, r *rand.Rand, lost *simInstance, at time.Duration) {
		w.at(at, lost.kill)
		w.freezeOthers(r, lost, at+2*time.Millisecond, at+10*time.Millisecond, 300*time.Millisecond, 340*time.Millisecond)
		w.at(at+360*time.Millisecond, func() { w.lostResponseShare = 0.4 })
		w.at(at+700*time.Millisecond, func() { w.lostResponseShare = 0 })
	}
	checkAll(t, map[string]leaseScenario{
		"owners are silent":           {unevenSite, 3, silent, 0, 30, 0, 60, []uint64{5, 16, 28, 29, 36, 48, 50, 52, 58, 59}},
		"the site has just started":   {smallSite, 0, started, 0, 30, 0, 60, nil},
		"runs are overdue":            {unevenSite, 3, paused, 40, 20, 0, 60, nil},
		"answers of workers are lost": {soleOwnerSite, 0, lossy, 0, 30, 70, 60, []uint64{13, 48}},
	})
}

// TestListedRunIsNoLaterSignOfLife guards against owners that take the time at which they
// see a run for the time at which its instance was alive.
func TestListedRunIsNoLaterSignOfLife(t *testing.T) {
	cutOff := func(w *simWorld, _ *rand.Rand, lost *simInstance, at time.Duration) {
		w.at(at-time.Second, func() { lost.isolated = true })
		w.at(at, lost.kill)
	}
	restarted := func(w *simWorld, r *rand.Rand, lost *simInstance, at time.Duration) {
		for _, i := range w.instances {
			w.at(at-between(r, 700*time.Millisecond, 1100*time.Millisecond), i.kill)
			w.at(at-between(r, 300*time.Millisecond, 650*time.Millisecond), i.start)
		}
		w.at(at, lost.kill)
	}
	checkAll(t, map[string]leaseScenario{
		"an instance without peers is killed":         {smallSite, 0, cutOff, 0, 30, 0, 60, []uint64{26, 53}},
		"an instance is killed while the site starts": {smallSite, 0, restarted, 0, 30, 0, 60, nil},
	})
}

// TestRunsEndAfterLossOfAllInstances guards against new owners that keep up the runs of
// instances from before the loss, or take them for ended.
func TestRunsEndAfterLossOfAllInstances(t *testing.T) {
	restart := func(still bool) func(*simWorld, *rand.Rand, *simInstance, time.Duration) {
		return func(w *simWorld, r *rand.Rand, _ *simInstance, at time.Duration) {
			restartAt := between(r, 200*time.Millisecond, 1800*time.Millisecond)
			for n, i := range w.instances {
				killAt := at + time.Duration(n%2)*300*time.Millisecond
				w.at(killAt, i.kill)
				startAt := max(killAt+10*time.Millisecond, at+restartAt+between(r, 0, 350*time.Millisecond))
				w.at(startAt, i.start)
				for from := startAt; still && from < startAt+2*time.Second; from += between(r, 60*time.Millisecond, 300*time.Millisecond) {
					i.freeze(from, between(r, 20*time.Millisecond, 150*time.Millisecond))
				}
			}
		}
	}
	checkAll(t, map[string]leaseScenario{
		"two groups": {smallSite, 0, restart(false), 0, 30, 20, 60, nil},
		"two groups that stand still as they start": {smallSite, 0, restart(true), 0, 30, 20, 60, nil},
		"two groups, instances without workers":     {unevenSite, 3, restart(true), 0, 30, 20, 40, nil},
	})
}

// TestWakingInstanceDoesNotKeepUpAbandonedRuns guards against an instance whose first
// heartbeat after standing still has its runs kept up before it knows which clients have
// gone, and that stands still again then.
func TestWakingInstanceDoesNotKeepUpAbandonedRuns(t *testing.T) {
	wakes := func(_ *simWorld, r *rand.Rand, lost *simInstance, at time.Duration) {
		lost.cancelLag = 30 * time.Millisecond
		length := between(r, 700*time.Millisecond, 980*time.Millisecond)
		lost.freeze(at, length)
		lost.freeze(at+length+between(r, 5*time.Millisecond, 20*time.Millisecond), 2*time.Second)
	}
	checkAll(t, map[string]leaseScenario{
		"owner":                    {smallSite, 0, wakes, 50, 0, 0, 60, nil},
		"instance without workers": {unevenSite, 3, wakes, 50, 0, 0, 60, nil},
	})
}

// TestRunsEndThoughInstancesStandStill guards against runs that outlive their instance on a
// site that is short of processor time, for any of the causes above or another.
func TestRunsEndThoughInstancesStandStill(t *testing.T) {
	struggling := func(w *simWorld, r *rand.Rand, lost *simInstance, at time.Duration) {
		for _, i := range w.instances {
			for from := time.Second; from < at+2*time.Second; {
				length := between(r, 60*time.Millisecond, 150*time.Millisecond)
				if r.IntN(8) == 0 {
					length = between(r, 250*time.Millisecond, 900*time.Millisecond)
				}
				i.freeze(from, length)
				from += length + between(r, 20*time.Millisecond, 500*time.Millisecond)
			}
		}
		w.at(at, lost.kill)
		w.at(at+between(r, 200*time.Millisecond, 1800*time.Millisecond), lost.start)
	}
	checkAll(t, map[string]leaseScenario{
		"all own workers":          {smallSite, 0, struggling, 10, 16, 20, 60, []uint64{27, 43, 57}},
		"the lost one owns none":   {unevenSite, 3, struggling, 10, 16, 0, 60, []uint64{25, 36, 37, 43, 44}},
		"one owner in each domain": {soleOwnerSite, 0, struggling, 10, 16, 20, 60, nil},
	})
}

// leaseEnds returns the ends of the leases that the actions ask for, on the worker's clock.
func leaseEnds(actions []Action) []namer.WorkerClockMillis {
	var out []namer.WorkerClockMillis
	for _, a := range actions {
		switch a := a.(type) {
		case Start:
			out = append(out, a.LeaseUntil)
		case Poll:
			if a.LeaseUntil > 0 {
				out = append(out, a.LeaseUntil)
			}
		}
	}
	return out
}

// heardLast returns an owner whose worker has a run of a peer that was heard last at the
// returned time, when the worker's clock read 1.
func heardLast(t *testing.T) (*Scheduler, time.Time) {
	t.Helper()
	const run = namer.RunID(1<<20 | 2)
	s, now := newOwner()
	s.Step(now, 1, []Event{reserveRequest(0, run, 6000)})
	s.Step(now, 1, []Event{startOrder(0, run)})
	s.Step(now, 1, []Event{StartResult{Worker: "w", Task: namer.TaskName{Job: "a"}, Run: run, Status: StartAccepted, Clock: 1}})
	return s, now
}

// latestLeaseEnd is the latest end that a lease may have, on a worker's clock that read 1
// when an instance with runs there was heard last.
const latestLeaseEnd = 1 + namer.WorkerClockMillis((peerTimeout+defaultLease)/time.Millisecond)

// TestStartsExtendNoOrphanedLease guards against start orders and own starts that extend
// the lease of a silent instance's runs, between two polls.
func TestStartsExtendNoOrphanedLease(t *testing.T) {
	task := namer.TaskName{Job: "b"}
	cases := map[string]struct {
		before, at Event
	}{
		"order of a peer": {
			MessageReceived{From: "e1", SourceAddr: peerAddr(1), Message: PeerMessage{ReserveRequests: []ReserveRequest{{
				Task: task, Run: 5<<20 | 3, Service: "s", Size: Resources{Cores: 4000}, Kind: "short", PredictedRunTime: 50 * time.Millisecond, Timeout: time.Second,
			}}}},
			MessageReceived{From: "e1", SourceAddr: peerAddr(1), Message: PeerMessage{
				StartOrders: []RunRef{{"w", task, 5<<20 | 3}}, Payloads: []JobPayload{{"b", "payload"}},
			}},
		},
		"start of its own": {
			ownerHeartbeat(1, "d0"),
			JobSubmitted{Call: 1, Job: JobSpec{
				Name: "b", Kind: "short", Service: "s", MaxAttempts: 2, ObjectiveFactor: 1.6, ObjectiveBase: time.Second, CallerTimeout: time.Minute,
				Steps: []StepSpec{{Count: 1, Size: Resources{Cores: 4000}, EstimatedRunTime: 50 * time.Millisecond}},
			}},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, heardAt := heardLast(t)
			for _, d := range []time.Duration{100, 200, 300, 390} {
				now := heardAt.Add(d * time.Millisecond)
				events := []Event{ownerHeartbeat(1, "d0"), PollResult{
					Worker: "w", SentAt: now.Add(-time.Millisecond), BootTime: 1, Clock: 1 + namer.WorkerClockMillis(d),
					Active: []ActiveRun{{Task: namer.TaskName{Job: "a"}, Run: 1<<20 | 2, Cores: 6000}},
				}}
				if d == 390 {
					events = append(events, c.before)
				}
				for _, end := range leaseEnds(s.Step(now, 1, events)) {
					must.LessEq(t, latestLeaseEnd, end)
				}
			}
			for _, end := range leaseEnds(s.Step(heardAt.Add(480*time.Millisecond), 1, []Event{c.at})) {
				must.LessEq(t, latestLeaseEnd, end)
			}
		})
	}
}

// TestListedRunExtendsNoLease guards against a run that was ordered before its
// instance was lost, and counts as a sign of life when a long poll lists it.
func TestListedRunExtendsNoLease(t *testing.T) {
	s, listedAt := newOwner()
	at := func(d time.Duration) time.Time { return listedAt.Add(d * time.Millisecond) }
	started := []ActiveRun{{Task: namer.TaskName{Job: "a"}, Run: 1<<20 | 2, Cores: 6000}}
	clock := namer.WorkerClockMillis(1)
	sentAt := listedAt
	for _, d := range []time.Duration{300, 400, 500, 600, 690} {
		clock = 1 + namer.WorkerClockMillis(d)
		poll := PollResult{Worker: "w", SentAt: sentAt, BootTime: 1, Clock: clock, Active: started}
		sentAt = at(d)
		for _, end := range leaseEnds(s.Step(at(d), 1, []Event{ownerHeartbeat(1, "d0"), poll})) {
			must.LessEq(t, latestLeaseEnd, end, must.Sprintf("%d ms after the worker had no run", d))
		}
	}
}

// TestPollForSilentOwnerKeepsUpNoUnknownRuns guards against an instance that polls the
// worker of an owner that it does not hear, and extends the lease there by a list and a
// clock reading from long ago: the worker may have runs of a dead instance since.
func TestPollForSilentOwnerKeepsUpNoUnknownRuns(t *testing.T) {
	s := New(Settings{Name: "this", Addr: testAddr, Domain: "d0", CPULimit: simEvenLimit, RunTag: 1, MaxLease: time.Second}, simEpoch, 1)
	owner := ownerHeartbeat(0, "d1")
	owner.FreeCores = map[namer.Service][]namer.MilliCores{"s": {16000}}
	list := WorkerListUpdated{Workers: []WorkerInfo{{
		ID: "w", Service: "s", Domain: "d1", Capacity: Resources{Cores: 16000, Memory: 1 << 20}, BootTime: 1,
	}}}
	now := simEpoch
	step := func(d time.Duration, events ...Event) []Action {
		now = now.Add(d)
		return s.Step(now, 1, events)
	}
	step(0, owner, list)
	step(startTime, owner)
	// An immediate poll after an order without a report has listed the runs once.
	step(0, PollResult{Worker: "w", SentAt: now, OutOfBand: true, BootTime: 1, Clock: 1})
	actions := step(10*time.Millisecond, owner, JobSubmitted{Call: 1, Job: JobSpec{
		Name: "b", Kind: "long", Service: "s", MaxAttempts: 2, ObjectiveFactor: 1.6, ObjectiveBase: time.Minute, CallerTimeout: time.Minute,
		Steps: []StepSpec{{Count: 1, Size: Resources{Cores: 4000}, EstimatedRunTime: time.Minute}},
	}})
	var request ReserveRequest
	for _, a := range actions {
		if m, isMessage := a.(SendMessage); isMessage && len(m.Message.ReserveRequests) > 0 {
			request = m.Message.ReserveRequests[0]
		}
	}
	must.NotEq(t, 0, request.Run)
	from := func(m PeerMessage) Event { return MessageReceived{From: "e0", SourceAddr: peerAddr(0), Message: m} }
	step(time.Millisecond, from(PeerMessage{ReserveResponses: []ReserveResponse{{Task: request.Task, Run: request.Run, Worker: "w", ExpectedRunTime: time.Minute}}}))
	step(time.Millisecond, from(PeerMessage{StartReports: []StartReport{{RunRef{"w", request.Task, request.Run}, StartAccepted}}}))
	polled := false
	for range 4 {
		actions := step(80 * time.Millisecond)
		for _, a := range actions {
			_, isPoll := a.(Poll)
			polled = polled || isPoll
		}
		must.SliceEmpty(t, leaseEnds(actions), must.Sprint("a lease before the worker has listed its runs again"))
	}
	must.True(t, polled)
}
