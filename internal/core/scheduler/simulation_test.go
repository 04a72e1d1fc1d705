package scheduler

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/heatherslip/heatherslip/internal/bench/sequencer"
	"github.com/heatherslip/heatherslip/internal/core/dater"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// simWorld simulates a site in virtual time: workers that enforce their capacity
// and leases, instances that each run a Scheduler, and clients that resubmit a
// job if they get no result. It records violations of the invariants.
type simWorld struct {
	now   time.Duration
	queue sequencer.EventQueue
	// faultRand draws the faults of messages and loadRand the submitted jobs,
	// so that the jobs don't depend on how they are scheduled.
	faultRand, loadRand *rand.Rand
	workers             []*simWorker
	workersByID         map[namer.Worker]*simWorker
	instances           []*simInstance
	jobsByName          map[namer.JobName]*simJob
	jobs                []*simJob
	// localDelay is the one-way delay within a domain, crossDomainDelay between
	// domains.
	localDelay, crossDomainDelay time.Duration
	// delayedShare of the requests to workers are executed late and get no
	// response; lostResponseShare are executed and their response is lost.
	delayedShare, lostResponseShare float64
	// holdStart returns how long a start is held back, zero if it isn't; nil if none is.
	holdStart func(*simWorker) time.Duration
	// crashingShare of the jobs have a task that crashes its workers.
	crashingShare float64
	// evacuatedAt is when the last instance learned of the evacuation of a domain.
	evacuatedAt map[namer.Domain]time.Duration
	// unordered is set if an instance that has stood still handles what has arrived
	// meanwhile in a step each. Events of one source stay in order.
	unordered bool
	// partitionedDomain is a domain that can't exchange messages with the others.
	partitionedDomain namer.Domain
	violations        []string
	// startsUnderNotice counts the starts on draining workers that all instances know
	// as such, and lostUnderNotice those of them whose runs the departure, or a move before
	// it, ended.
	startsUnderNotice, lostUnderNotice int
	// nearStarts and awayStarts count the starts of tasks with data, in its rack and
	// elsewhere.
	nearStarts, awayStarts int
	// noCapacityStarts counts the starts rejected for lack of capacity.
	noCapacityStarts int
	starts           int
	// heartbeats and messages count what the instances send to each other.
	heartbeats int
	messages   int
	onMessage  func(SendMessage)
	// slowdownBeside returns the factor on the run time of a kind beside a neighbor; nil
	// if no kinds disturb each other.
	slowdownBeside func(kind, neighbor namer.Kind) float64
	// onCrash is called when a task has crashed a worker.
	onCrash func(*simJob)
	// onStep is called at each step of an instance, onCall when a worker carries out an
	// instance's start or poll, and onStart and onEnd when a run starts and ends.
	onStep  func(*simInstance)
	onCall  func(by *simInstance, s *simWorker, a Action)
	onStart func(*simWorker, *simRun)
	onEnd   func(*simWorker, *simRun, EndCause)
}

// Time constants of the simulated platform.
const (
	simMaxLease      = time.Second
	simResubmitDelay = 1300 * time.Millisecond
	simStopTime      = 20 * time.Millisecond
	simStepInterval  = 10 * time.Millisecond
	// simShutdownTimeout is the time from a shutdown request to a forced end,
	// simTrafficShiftTime the time until clients use other instances.
	simShutdownTimeout  = 6 * time.Second
	simTrafficShiftTime = 2500 * time.Millisecond
	// simStartTransit is the longest time that a start is on its way to a worker.
	simStartTransit = 2 * time.Millisecond
	// simDrainTime is how long a draining worker may get starts, and simListDelay the
	// longest time until an instance reads a change of the worker list.
	simDrainTime = 3 * time.Second
	simListDelay = 500 * time.Millisecond
	// simRackSize is the number of workers in a rack. Outside the rack of its data, a
	// task takes simSpreadFactor times as long.
	simRackSize     = 6
	simSpreadFactor = 1.5
	// simRestartTime is how long a worker takes to be back after a crash.
	simRestartTime = 3300 * time.Millisecond
)

// simEpoch is the start of virtual time. It is late enough that all times are
// positive.
var simEpoch = time.Unix(1_800_000_000, 0)

type siteSize struct {
	domains, instancesPerDomain, workersPerDomain int
	// strongPerDomain is how many of the instances are strong, if they differ.
	strongPerDomain int
}

// The CPU limits of the instances of the users' larger sites, and of the smaller.
const (
	simStrongLimit namer.MilliCores = 800
	simWeakLimit   namer.MilliCores = 192
	simEvenLimit   namer.MilliCores = 400
)

func newSimWorld(seed uint64, size siteSize) *simWorld {
	w := &simWorld{
		faultRand: rand.New(rand.NewPCG(seed, seed+1)), loadRand: rand.New(rand.NewPCG(seed, seed+2)), jobsByName: make(map[namer.JobName]*simJob), workersByID: make(map[namer.Worker]*simWorker),
		localDelay: 100 * time.Microsecond, crossDomainDelay: 900 * time.Microsecond,
	}
	for d := range size.domains {
		domain := namer.Domain(fmt.Sprintf("d%d", d))
		for i := range size.workersPerDomain {
			cores := 16000
			if i%3 == 2 {
				cores = 24000
			}
			s := newSimWorker(w, namer.Worker(fmt.Sprintf("w%d-%02d", d, i)), domain, cores)
			s.rack = fmt.Sprintf("r%d-%d", d, i/simRackSize)
			w.workers = append(w.workers, s)
			w.workersByID[s.id] = s
		}
	}
	for d := range size.domains {
		for i := range size.instancesPerDomain {
			cpuLimit := simEvenLimit
			switch {
			case i < size.strongPerDomain:
				cpuLimit = simStrongLimit
			case size.strongPerDomain > 0:
				cpuLimit = simWeakLimit
			}
			w.addInstance(fmt.Sprintf("e%d-%d", d, i), namer.Domain(fmt.Sprintf("d%d", d)), cpuLimit)
		}
	}
	return w
}

func (w *simWorld) after(d time.Duration, f func()) {
	w.queue.ScheduleAt(simEpoch.Add(w.now+d), f)
}

// at runs f at the given virtual time.
func (w *simWorld) at(t time.Duration, f func()) { w.after(t-w.now, f) }

func (w *simWorld) run(until time.Duration) {
	end := simEpoch.Add(until)
	for at, f, found := w.queue.PopDue(end); found; at, f, found = w.queue.PopDue(end) {
		w.now = at.Sub(simEpoch)
		f()
	}
	w.now = until
}

func (w *simWorld) recordViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

func (w *simWorld) delayBetween(a, b namer.Domain) time.Duration {
	if a == b {
		return w.localDelay
	}
	return w.crossDomainDelay
}

func (w *simWorld) isPartitioned(a, b namer.Domain) bool {
	return a != b && w.partitionedDomain != "" && (a == w.partitionedDomain || b == w.partitionedDomain)
}

// simWorker simulates a worker of the platform.
type simWorker struct {
	w      *simWorld
	id     namer.Worker
	domain namer.Domain
	cores  namer.MilliCores
	// rack is its label.
	rack string
	// bootTime is the start of the incarnation in Unix time, bootedAt in
	// virtual time.
	bootTime namer.UnixMillis
	bootedAt time.Duration
	// clockRate is the speed of its clock; 1 is accurate.
	clockRate float64
	// An unguarded worker starts what doesn't fit.
	unguarded bool
	// fence is the highest that it has seen; it does nothing for a lower one.
	fence namer.Fence
	// A worker that is down neither responds nor runs anything, or refuses connections
	// if its machine is up; an unreachable one doesn't respond but keeps running.
	down, refusing, unreachable bool
	// drainsSince is when the worker announced its departure; zero before.
	drainsSince time.Duration
	// slowdown multiplies run times, failsRuns makes all runs fail, and
	// stallsRuns prevents progress and completion.
	slowdown      float64
	failsRuns     bool
	stallsRuns    bool
	leaseEnd      namer.WorkerClockMillis
	runs          map[runKey]*simRun
	ended         []EndedRun
	ackedSequence int64
	lastSequence  int64
	// highestEnded has the highest run of each task that was stopped or ended.
	highestEnded map[namer.TaskName]namer.RunID
	pendingPolls []func()
	incarnation  int
}

type simRun struct {
	key       runKey
	cores     namer.MilliCores
	startedAt time.Duration
	runTime   time.Duration
	stopping  bool
}

func newSimWorker(w *simWorld, id namer.Worker, domain namer.Domain, cores int) *simWorker {
	s := &simWorker{w: w, id: id, domain: domain, cores: namer.MilliCores(cores), slowdown: 1, clockRate: 1}
	s.boot()
	return s
}

// boot starts a new incarnation.
func (s *simWorker) boot() {
	s.incarnation++
	s.bootedAt = s.w.now
	s.bootTime = namer.UnixMillis(simEpoch.Add(s.w.now).UnixMilli())
	s.runs = make(map[runKey]*simRun)
	s.highestEnded = make(map[namer.TaskName]namer.RunID)
	s.ended, s.ackedSequence, s.lastSequence, s.leaseEnd, s.fence = nil, 0, 0, 0, 0
}

// rejects reports whether the worker does nothing for a call with a fence.
func (s *simWorker) rejects(fence namer.Fence) bool {
	if fence < s.fence {
		return true
	}
	s.fence = fence
	return false
}

func (s *simWorker) crash() {
	s.down = true
	s.runs = make(map[runKey]*simRun)
	s.incarnation++
}

// crashUnder crashes the worker when it starts a task. Its machine stays up, and it
// is back after simRestartTime.
func (s *simWorker) crashUnder(t namer.TaskName) {
	j := s.w.jobsByName[t.Job]
	j.crashes = append(j.crashes, s.w.now)
	s.crash()
	s.refusing = true
	s.w.after(simRestartTime, s.reboot)
	if s.w.onCrash != nil {
		s.w.onCrash(j)
	}
}

// leave announces the worker's departure after a time, and takes it away then.
func (s *simWorker) leave(notice time.Duration) {
	s.drainsSince = s.w.now
	s.publish(WorkerInfo{
		ID: s.id, Service: "s", Domain: s.domain, Capacity: Resources{Cores: s.cores, Memory: 1 << 20}, BootTime: s.bootTime,
		Draining: true, WrittenAt: s.clock(), Notice: Notice{LeavesAt: NewNotice(s.clock(), notice).LeavesAt, AnnouncedAt: s.clock()},
	})
	s.w.after(notice, func() {
		for _, r := range s.runs {
			s.recordLost(r)
		}
		s.crash()
		s.publish(WorkerInfo{ID: s.id, Removed: true})
	})
}

// recordLost counts a run that didn't end by itself, if it has started under notice.
func (s *simWorker) recordLost(r *simRun) {
	if s.drainsSince > 0 && r.startedAt > s.drainsSince+simListDelay {
		s.w.lostUnderNotice++
	}
}

// entry returns the worker's entry of the list while it isn't draining.
func (s *simWorker) entry() WorkerInfo {
	return WorkerInfo{
		ID: s.id, Service: "s", Domain: s.domain, Capacity: Resources{Cores: s.cores, Memory: 1 << 20}, BootTime: s.bootTime,
		Labels: []string{s.rack},
	}
}

// publish puts an entry into the worker list.
func (s *simWorker) publish(info WorkerInfo) {
	for _, i := range s.w.instances {
		incarnation := i.incarnation
		s.w.after(time.Duration(s.w.faultRand.Int64N(int64(simListDelay))), func() {
			i.deliver(incarnation, WorkerListUpdated{Workers: []WorkerInfo{info}})
		})
	}
}

func (s *simWorker) reboot() {
	s.down, s.refusing = false, false
	s.boot()
	s.publish(s.entry())
}

func (s *simWorker) clock() namer.WorkerClockMillis {
	return namer.WorkerClockMillis(float64((s.w.now-s.bootedAt).Milliseconds())*s.clockRate) + 1000
}

// renewLease extends the lease and ends all runs once it expires.
func (s *simWorker) renewLease(until namer.WorkerClockMillis) {
	until = min(until, s.clock()+namer.WorkerClockMillis(simMaxLease.Milliseconds()))
	if until <= s.leaseEnd {
		return
	}
	s.leaseEnd = until
	incarnation := s.incarnation
	wait := time.Duration(float64(until-s.clock())/s.clockRate)*time.Millisecond + time.Millisecond
	s.w.after(wait, func() {
		if s.incarnation != incarnation || s.clock() < s.leaseEnd {
			return
		}
		for _, r := range s.sortedRuns() {
			s.endRun(r, EndLeaseExpired)
		}
	})
}

func (s *simWorker) sortedRuns() []*simRun {
	var out []*simRun
	for _, r := range s.runs {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *simRun) int {
		if c := cmp.Compare(a.key.task.Job, b.key.task.Job); c != 0 {
			return c
		}
		return cmp.Compare(a.key.task.Index, b.key.task.Index)
	})
	return out
}

func (s *simWorker) endRun(r *simRun, cause EndCause) {
	if s.runs[r.key] != r {
		return
	}
	delete(s.runs, r.key)
	s.raiseHighestEnded(r.key)
	s.lastSequence++
	s.ended = append(s.ended, EndedRun{Sequence: s.lastSequence, Task: r.key.task, Run: r.key.run, Cause: cause})
	s.w.recordEnd(r, cause)
	if s.w.onEnd != nil {
		s.w.onEnd(s, r, cause)
	}
	if cause != EndSucceeded {
		s.recordLost(r)
	}
	polls := s.pendingPolls
	s.pendingPolls = nil
	for _, respond := range polls {
		respond()
	}
}

func (s *simWorker) raiseHighestEnded(key runKey) {
	s.highestEnded[key.task] = max(s.highestEnded[key.task], key.run)
}

// slowdownOf returns the factor on the run time of a task beside what runs there.
func (s *simWorker) slowdownOf(key runKey) float64 {
	factor := 1.0
	if s.w.slowdownBeside == nil {
		return factor
	}
	for other := range s.runs {
		factor *= s.w.slowdownBeside(s.w.jobsByName[key.task.Job].spec.Kind, s.w.jobsByName[other.task.Job].spec.Kind)
	}
	return factor
}

func (s *simWorker) start(key runKey, until namer.WorkerClockMillis, cores namer.MilliCores, runTime time.Duration) StartStatus {
	if _, active := s.runs[key]; active {
		s.renewLease(until)
		return StartAccepted
	}
	if key.run <= s.highestEnded[key.task] {
		s.renewLease(until)
		return StartSuperseded
	}
	if until <= s.clock() {
		return StartLeaseExpired
	}
	s.renewLease(until)
	used := namer.MilliCores(0)
	for _, r := range s.runs {
		used += r.cores
	}
	if used+cores > s.cores {
		s.w.noCapacityStarts++
		if !s.unguarded {
			return StartNoCapacity
		}
		s.w.recordViolation("start of %s %s overloads %s", key.task.Job, taskLabel(key.task), s.id)
	}
	r := &simRun{key: key, cores: cores, startedAt: s.w.now, runTime: time.Duration(float64(runTime) * s.slowdown * s.slowdownOf(key))}
	s.runs[key] = r
	s.w.starts++
	if s.w.onStart != nil {
		s.w.onStart(s, r)
	}
	s.w.checkStart(s, r)
	if s.w.crashesWorkers(key.task) {
		s.crashUnder(key.task)
		return StartNoResponse
	}
	incarnation := s.incarnation
	if s.failsRuns {
		s.w.after(5*time.Millisecond, func() { s.endRunIfAlive(incarnation, r, EndFailed) })
	} else if !s.stallsRuns {
		s.w.after(r.runTime, func() { s.endRunIfAlive(incarnation, r, EndSucceeded) })
	}
	return StartAccepted
}

func (s *simWorker) endRunIfAlive(incarnation int, r *simRun, cause EndCause) {
	if s.incarnation == incarnation && !s.down {
		s.endRun(r, cause)
	}
}

func (s *simWorker) stop(key runKey) {
	r := s.runs[key]
	if r == nil {
		s.raiseHighestEnded(key)
		return
	}
	if r.stopping {
		return
	}
	r.stopping = true
	incarnation := s.incarnation
	s.w.after(simStopTime, func() { s.endRunIfAlive(incarnation, r, EndStopped) })
}

func (s *simWorker) listRuns() ([]ActiveRun, []EndedRun) {
	var active []ActiveRun
	for _, r := range s.sortedRuns() {
		percent := 0
		if !s.stallsRuns && r.runTime > 0 {
			percent = int(100 * (s.w.now - r.startedAt) / r.runTime)
		}
		active = append(active, ActiveRun{Task: r.key.task, Run: r.key.run, Percent: percent, Cores: r.cores})
	}
	return active, slices.Clone(s.ended)
}

func (s *simWorker) acknowledge(n int64) {
	s.ended = slices.DeleteFunc(s.ended, func(e EndedRun) bool { return e.Sequence <= n })
}

// simInstance simulates an instance.
type simInstance struct {
	w           *simWorld
	name        string
	addr        netip.Addr
	domain      namer.Domain
	cpuLimit    namer.MilliCores
	core        *Scheduler
	incarnation int
	up          bool
	suspended   bool
	// An isolated instance can't exchange messages with its peers, but reaches
	// workers and clients.
	isolated bool
	// shutdownAt is when a draining instance is forced to end, zero before; with
	// rejectsJobs set, clients submit to other instances.
	shutdownAt    time.Duration
	rejectsJobs   bool
	pendingEvents []Event
	// cancelLag is the longest time after a pause until the instance notices which clients
	// have gone meanwhile.
	cancelLag time.Duration
	steppedAt time.Duration
	lastCall  namer.CallID
	// callbacks receive the results of calls.
	callbacks map[namer.CallID]func(JobResult)
}

func (w *simWorld) addInstance(name string, domain namer.Domain, cpuLimit namer.MilliCores) *simInstance {
	n := len(w.instances)
	i := &simInstance{w: w, name: name, addr: netip.AddrFrom4([4]byte{10, 0, byte(n / 250), byte(1 + n%250)}), domain: domain, cpuLimit: cpuLimit}
	w.instances = append(w.instances, i)
	i.start()
	return i
}

func (i *simInstance) start() {
	i.incarnation++
	i.up, i.suspended, i.rejectsJobs, i.shutdownAt = true, false, false, 0
	i.callbacks = make(map[namer.CallID]func(JobResult))
	i.pendingEvents = nil
	w := i.w
	i.core = New(Settings{
		Name: fmt.Sprintf("%s/%d", i.name, i.incarnation), Addr: i.addr, Seeds: w.seeds(), Domain: i.domain, CPULimit: i.cpuLimit, RunTag: namer.RunTag(w.faultRand.Uint32N(uint32(namer.MaxRunTag))),
		MaxLease: simMaxLease, ResubmitAfter: simResubmitDelay, DrainTime: simDrainTime, SpreadFactor: simSpreadFactor,
	}, simEpoch.Add(w.now), namer.UnixMillis(simEpoch.Add(w.now).UnixMilli()))
	var list WorkerListUpdated
	for _, s := range w.workers {
		list.Workers = append(list.Workers, s.entry())
	}
	incarnation := i.incarnation
	w.after(0, func() { i.deliver(incarnation, list) })
	i.stepLoop(incarnation)
}

func (i *simInstance) stepLoop(incarnation int) {
	if i.incarnation != incarnation {
		return
	}
	if i.up && !i.suspended {
		i.step()
	}
	i.w.after(simStepInterval, func() { i.stepLoop(incarnation) })
}

// drain shuts the instance down gracefully: it accepts jobs for a while, and ends
// once all have results.
func (i *simInstance) drain() {
	if !i.up || i.shutdownAt > 0 {
		return
	}
	i.shutdownAt = i.w.now + simShutdownTimeout
	i.deliver(i.incarnation, DrainStarted{})
	incarnation := i.incarnation
	var checkDrained func()
	checkDrained = func() {
		if i.incarnation != incarnation {
			return
		}
		i.rejectsJobs = true
		if len(i.callbacks) == 0 || i.w.now >= i.shutdownAt {
			if len(i.callbacks) > 0 {
				i.w.recordViolation("instance %s ended with %d open calls", i.name, len(i.callbacks))
			}
			i.kill()
			return
		}
		i.w.after(simStepInterval, checkDrained)
	}
	i.w.after(simTrafficShiftTime, checkDrained)
}

// kill ends the instance at once and breaks its clients' connections.
func (i *simInstance) kill() {
	i.up = false
	i.incarnation++
	callbacks := i.callbacks
	i.callbacks = nil
	calls := make([]namer.CallID, 0, len(callbacks))
	for c := range callbacks {
		calls = append(calls, c)
	}
	slices.Sort(calls)
	for _, c := range calls {
		callbacks[c](JobResult{Outcome: connectionLost})
	}
}

// connectionLost stands for a connection that broke before the result.
const connectionLost Outcome = -1

func (i *simInstance) deliver(incarnation int, e Event) {
	if i.incarnation != incarnation || !i.up {
		return
	}
	if _, isCancel := e.(CallCanceled); isCancel && i.suspended && i.cancelLag > 0 {
		i.w.after(i.cancelLag, func() { i.deliver(incarnation, e) })
		return
	}
	i.pendingEvents = append(i.pendingEvents, e)
	if _, isHeartbeat := e.(HeartbeatReceived); !isHeartbeat && !i.suspended {
		i.step()
	}
}

// step handles the events that have arrived.
func (i *simInstance) step() {
	events := i.pendingEvents
	i.pendingEvents = nil
	if i.w.unordered && i.w.now-i.steppedAt > 2*simStepInterval {
		for _, e := range i.w.reordered(events) {
			i.stepWith([]Event{e})
		}
		return
	}
	i.stepWith(events)
}

// eventSource says what an event comes from.
type eventSource int

const (
	fromWorker eventSource = iota
	fromPeer
	fromClient
)

func sourceOf(e Event) eventSource {
	switch e.(type) {
	case HeartbeatReceived, MessageReceived:
		return fromPeer
	case JobSubmitted, CallCanceled:
		return fromClient
	default:
		return fromWorker
	}
}

// reordered returns events in a random order that keeps those of each source in theirs.
func (w *simWorld) reordered(events []Event) []Event {
	bySource := make(map[eventSource][]Event)
	var sources []eventSource
	for _, e := range events {
		from := sourceOf(e)
		bySource[from] = append(bySource[from], e)
		sources = append(sources, from)
	}
	w.faultRand.Shuffle(len(sources), func(a, b int) { sources[a], sources[b] = sources[b], sources[a] })
	var out []Event
	for _, from := range sources {
		out = append(out, bySource[from][0])
		bySource[from] = bySource[from][1:]
	}
	return out
}

func (i *simInstance) stepWith(events []Event) {
	i.steppedAt = i.w.now
	now := simEpoch.Add(i.w.now)
	if i.w.onStep != nil {
		i.w.onStep(i)
	}
	for _, a := range i.core.Step(now, namer.UnixMillis(now.UnixMilli()), events) {
		i.perform(a)
	}
}

func (i *simInstance) perform(a Action) {
	switch a := a.(type) {
	case JobResult:
		callback := i.callbacks[a.Call]
		delete(i.callbacks, a.Call)
		if callback != nil {
			i.w.after(i.w.crossDomainDelay, func() { callback(a) })
		}
	case Start:
		i.performStart(a)
	case Stop:
		i.performStop(a)
	case Poll:
		i.performPoll(a)
	case SendMessage:
		i.performSendMessage(a)
	case SendHeartbeats:
		for _, addr := range a.To {
			h := a.Heartbeat
			h.Name, h.SourceAddr, h.SentAt = i.core.Name, i.addr, dater.ReadingAt(simEpoch.Add(i.w.now))
			i.w.heartbeats++
			i.send(addr, HeartbeatReceived{h})
		}
	}
}

// performSendMessage delivers a message to a peer; one in a thousand is lost.
func (i *simInstance) performSendMessage(a SendMessage) {
	i.w.messages++
	if i.w.onMessage != nil {
		i.w.onMessage(a)
	}
	if i.w.faultRand.IntN(1000) > 0 {
		i.send(a.To, MessageReceived{From: i.core.Name, SourceAddr: i.addr, SentAt: dater.ReadingAt(simEpoch.Add(i.w.now)), Message: a.Message})
	}
}

// send delivers a datagram to the instance at an address.
func (i *simInstance) send(to netip.Addr, e Event) {
	for _, o := range i.w.instances {
		if o.addr != to {
			continue
		}
		if !o.up || i.isolated || o.isolated || i.w.isPartitioned(i.domain, o.domain) {
			return
		}
		incarnation := o.incarnation
		i.w.after(i.w.delayBetween(i.domain, o.domain), func() { o.deliver(incarnation, e) })
		return
	}
}

// simSeeds is the number of instances that the others know at their start.
const simSeeds = 3

func (w *simWorld) seeds() []netip.Addr {
	var out []netip.Addr
	for n := range min(simSeeds, len(w.instances)) {
		out = append(out, w.instances[n].addr)
	}
	return out
}

func (w *simWorld) worker(id namer.Worker) *simWorker { return w.workersByID[id] }

// callWorker delivers a request to a worker and its response to the instance. If
// there is none within the timeout, the instance gets the event noResponse, and the
// event refused if the worker refuses the connection. A request that is held back gets no
// response.
func (i *simInstance) callWorker(id namer.Worker, timeout, held time.Duration, noResponse, refused Event, handle func(s *simWorker, respond func(Event))) {
	s := i.w.worker(id)
	incarnation := i.incarnation
	done := false
	i.w.after(timeout, func() {
		if !done {
			done = true
			i.deliver(incarnation, noResponse)
		}
	})
	delay := i.w.delayBetween(i.domain, s.domain)
	isHeld := held > 0
	delayed := i.w.faultRand.Float64() < i.w.delayedShare || isHeld
	dropResponse := i.w.faultRand.Float64() < i.w.lostResponseShare
	switch {
	case isHeld:
		delay += held
	case delayed:
		delay += 2*time.Second + time.Duration(i.w.faultRand.Int64N(int64(6*time.Second)))
	}
	i.w.after(delay, func() {
		if s.down && !s.refusing || s.unreachable || i.w.isPartitioned(i.domain, s.domain) {
			return
		}
		respond := func(e Event) {
			i.w.after(i.w.delayBetween(i.domain, s.domain), func() {
				if !done && !delayed && !dropResponse && !s.unreachable && !i.w.isPartitioned(i.domain, s.domain) {
					done = true
					i.deliver(incarnation, e)
				}
			})
		}
		if s.down {
			respond(refused)
			return
		}
		handle(s, respond)
	})
}

func (i *simInstance) performStart(a Start) {
	e := StartResult{Worker: a.Worker, Task: a.Task, Run: a.Run, Fence: a.Fence, Status: StartNoResponse, Latency: a.Timeout}
	sentAt := i.w.now
	refused := e
	refused.Status = StartNotSent
	held := time.Duration(0)
	if i.w.holdStart != nil {
		held = i.w.holdStart(i.w.worker(a.Worker))
	}
	i.callWorker(a.Worker, a.Timeout, held, e, refused, func(s *simWorker, respond func(Event)) {
		j := i.w.jobsByName[a.Task.Job]
		runTime := j.taskRunTimes[a.Task.Index]
		if rack := j.spec.Steps[0].DataRack; rack != "" && rack != s.rack {
			runTime = time.Duration(simSpreadFactor * float64(runTime))
		}
		if e.Status = StartFenced; !s.rejects(a.Fence) {
			i.w.observeCall(i, s, a)
			e.Status = s.start(runKey{a.Task, a.Run}, a.LeaseUntil, j.taskCores[a.Task.Index], runTime)
		}
		e.Clock = s.clock()
		e.Latency = i.w.now - sentAt
		respond(e)
	})
}

func (w *simWorld) observeCall(by *simInstance, s *simWorker, a Action) {
	if w.onCall != nil {
		w.onCall(by, s, a)
	}
}

func (i *simInstance) performStop(a Stop) {
	e := StopResult{Worker: a.Worker, Task: a.Task, Run: a.Run, Fence: a.Fence}
	i.callWorker(a.Worker, 80*time.Millisecond, 0, e, e, func(s *simWorker, respond func(Event)) {
		if e.Fenced = s.rejects(a.Fence); !e.Fenced {
			s.stop(runKey{a.Task, a.Run})
			e.Acknowledged = true
		}
		respond(e)
	})
}

func (i *simInstance) performPoll(a Poll) {
	e := PollResult{Worker: a.Worker, OutOfBand: a.OutOfBand, NoResponse: true, Fence: a.Fence, SentAt: simEpoch.Add(i.w.now)}
	refused := e
	refused.Refused = true
	i.callWorker(a.Worker, a.Wait+60*time.Millisecond, 0, e, refused, func(s *simWorker, respond func(Event)) {
		if e.Fenced = s.rejects(a.Fence); e.Fenced {
			respond(e)
			return
		}
		s.acknowledge(a.AckSequence)
		if a.LeaseUntil > 0 {
			i.w.observeCall(i, s, a)
			s.renewLease(a.LeaseUntil)
		}
		done := false
		sendResponse := func() {
			if done || s.down {
				return
			}
			done = true
			e.NoResponse = false
			e.BootTime, e.Clock = s.bootTime, s.clock()
			e.Active, e.Ended = s.listRuns()
			respond(e)
		}
		if a.Wait == 0 || len(s.ended) > 0 {
			sendResponse()
			return
		}
		s.pendingPolls = append(s.pendingPolls, sendResponse)
		i.w.after(a.Wait, sendResponse)
	})
}

// simJob is a submitted job and its state.
type simJob struct {
	spec      JobSpec
	taskCores []namer.MilliCores
	// taskRunTimes has the run time of each task; runTime is the longest.
	taskRunTimes []time.Duration
	runTime      time.Duration
	submittedAt  time.Duration
	// value is what a result within the objective is worth.
	value float64
	// running counts the active runs by task.
	running   map[int]int
	doneTasks map[int]bool
	hasRun    bool
	// refusals counts the refusals received, submissions the submissions sent; there
	// are at most maxSubmissions.
	refusals, submissions, maxSubmissions int
	// instance got the last submission.
	instance *simInstance
	// resubmitsRefused is set if the client submits the job again after a refusal too.
	resubmitsRefused bool
	// crashingTask is the index of the task that crashes each worker that starts it,
	// -1 if there is none. crashes has the times of these crashes.
	crashingTask int
	crashes      []time.Duration
	// outcome and answeredAt describe the last result that the client received.
	outcome    Outcome
	answeredAt time.Duration
}

// metObjective reports whether the job completed within its objective.
func (j *simJob) metObjective() bool {
	objective := time.Duration(j.spec.ObjectiveFactor*float64(j.runTime)) + j.spec.ObjectiveBase
	return j.answeredAt > 0 && j.outcome == Completed && j.answeredAt-j.submittedAt <= objective
}

type jobKind struct {
	kind        namer.Kind
	tasks       int
	runTime     time.Duration
	maxAttempts int
	// callerTimeout is how long clients wait; zero means the default.
	callerTimeout time.Duration
	// variation spreads the sizes of the jobs; nil means nearly equal sizes.
	variation *jobVariation
	// dataRack is the rack of the jobs' data; empty if there is none.
	dataRack string
}

// jobVariation describes how jobs of a kind differ, as on the users' sites. The
// spreads are the standard deviations of logarithms.
type jobVariation struct {
	widthSpread, runTimeSpread, coresSpread, estimateSpread float64
	meanCores, maxCores                                     float64
	// unevenness is the largest relative deviation of a task's run time from that
	// of its job.
	unevenness float64
}

// siteVariation is that of the users' sites.
var siteVariation = &jobVariation{
	widthSpread: 0.4, runTimeSpread: 0.4, coresSpread: 0.2, estimateSpread: 0.4, meanCores: 6800, maxCores: 10000, unevenness: 0.15,
}

// largeSiteVariation is that of the users' larger sites, whose tasks are wider.
var largeSiteVariation = &jobVariation{
	widthSpread: 0.4, runTimeSpread: 0.4, coresSpread: 0.2, estimateSpread: 0.4, meanCores: 8000, maxCores: 12000, unevenness: 0.15,
}

// logNormal draws a value with the given mean and spread, at most four times the
// mean.
func (w *simWorld) logNormal(mean, spread float64) float64 {
	return min(mean*math.Exp(spread*w.loadRand.NormFloat64()-spread*spread/2), 4*mean)
}

// varied returns a job of the kind with drawn sizes.
func (w *simWorld) varied(k jobKind) *simJob {
	v := k.variation
	width := max(1, int(math.Round(w.logNormal(float64(k.tasks), v.widthSpread))))
	runTime := w.logNormal(float64(k.runTime), v.runTimeSpread)
	cores := min(w.logNormal(v.meanCores, v.coresSpread), v.maxCores)
	j := &simJob{}
	for range width {
		taskRunTime := time.Duration(runTime * (1 + v.unevenness*(2*w.loadRand.Float64()-1)))
		j.taskRunTimes = append(j.taskRunTimes, taskRunTime)
		j.taskCores = append(j.taskCores, namer.MilliCores(cores))
		j.runTime = max(j.runTime, taskRunTime)
	}
	estimate := time.Duration(runTime * math.Exp(v.estimateSpread*w.loadRand.NormFloat64()))
	j.spec.Steps = []StepSpec{{Count: width, Size: Resources{Cores: namer.MilliCores(cores), Memory: 64}, EstimatedRunTime: estimate}}
	work := float64(width) * runTime * cores / (float64(k.tasks) * float64(k.runTime) * v.meanCores)
	j.value = kindValue[k.kind] * min(4, 0.3+0.7*work)
	return j
}

// uniform returns a job of the kind whose sizes differ little.
func (w *simWorld) uniform(k jobKind) *simJob {
	cores := namer.MilliCores(5500 + w.loadRand.IntN(2600))
	runTime := time.Duration(float64(k.runTime) * (0.7 + 0.6*w.loadRand.Float64()))
	j := &simJob{runTime: runTime, value: kindValue[k.kind]}
	j.spec.Steps = []StepSpec{{
		Count: k.tasks, Size: Resources{Cores: cores, Memory: 64},
		EstimatedRunTime: time.Duration(float64(runTime) * (0.8 + 0.4*w.loadRand.Float64())),
	}}
	for range k.tasks {
		j.taskCores = append(j.taskCores, namer.MilliCores(float64(cores)*(0.98+0.04*w.loadRand.Float64())))
		j.taskRunTimes = append(j.taskRunTimes, runTime)
	}
	return j
}

// defaultCallerTimeout is how long clients of the standard sites wait.
const defaultCallerTimeout = 1500 * time.Millisecond

// submit submits a job to an instance. The client resubmits it, possibly to
// another instance, if it gets no result.
func (w *simWorld) submit(k jobKind, instance *simInstance) *simJob {
	j := w.uniform(k)
	if k.variation != nil {
		j = w.varied(k)
	}
	callerTimeout := k.callerTimeout
	if callerTimeout == 0 {
		callerTimeout = defaultCallerTimeout
	}
	name := namer.JobName(fmt.Sprintf("%016x", len(w.jobs)+1))
	j.spec.Name, j.spec.Kind, j.spec.Service, j.spec.MaxAttempts = name, k.kind, "s", k.maxAttempts
	j.spec.Steps[0].DataRack = k.dataRack
	j.spec.ObjectiveFactor, j.spec.ObjectiveBase, j.spec.CallerTimeout = 1.6, 60*time.Millisecond, callerTimeout
	j.submittedAt, j.outcome = w.now, connectionLost
	j.running, j.doneTasks = make(map[int]int), make(map[int]bool)
	j.maxSubmissions, j.crashingTask = defaultMaxSubmissions, -1
	if w.crashingShare > 0 && w.faultRand.Float64() < w.crashingShare {
		j.crashingTask = 0
	}
	j.spec.Unguarded = w.workers[0].unguarded
	w.jobsByName[name] = j
	w.jobs = append(w.jobs, j)
	w.sendJob(j, instance)
	return j
}

// defaultMaxSubmissions limits how often a client submits a job.
const defaultMaxSubmissions = 3

func (w *simWorld) sendJob(j *simJob, instance *simInstance) {
	j.submissions++
	for instance.rejectsJobs && slices.ContainsFunc(w.instances, func(i *simInstance) bool { return !i.rejectsJobs }) {
		instance = w.instances[w.faultRand.IntN(len(w.instances))]
	}
	if !instance.up {
		w.resubmit(j)
		return
	}
	j.instance = instance
	instance.lastCall++
	call := instance.lastCall
	incarnation := instance.incarnation
	finished := false
	instance.callbacks[call] = func(a JobResult) {
		if finished {
			return
		}
		finished = true
		w.handleResult(j, a)
	}
	w.after(w.crossDomainDelay, func() {
		spec := j.spec
		if instance.shutdownAt > 0 {
			spec.ShutdownIn = max(1, instance.shutdownAt-w.now)
		}
		instance.deliver(incarnation, JobSubmitted{Call: call, Job: spec})
	})
	w.after(j.spec.CallerTimeout, func() {
		if finished {
			return
		}
		finished = true
		instance.deliver(incarnation, CallCanceled{Call: call})
		w.resubmit(j)
	})
}

func (w *simWorld) handleResult(j *simJob, result JobResult) {
	switch result.Outcome {
	case connectionLost, Aborted:
		w.resubmit(j)
	case Refused, Unavailable:
		j.refusals++
		j.outcome, j.answeredAt = result.Outcome, w.now
		if j.hasRun && j.refusals == j.submissions {
			w.recordViolation("job %s was refused although it has run", j.spec.Name)
		}
		if j.resubmitsRefused {
			w.resubmit(j)
		}
	case Completed:
		j.outcome, j.answeredAt = result.Outcome, w.now
		if len(j.doneTasks) != len(j.taskCores) {
			w.recordViolation("job %s was reported as completed with %d of %d tasks done", j.spec.Name, len(j.doneTasks), len(j.taskCores))
		}
	case Failed:
		j.outcome, j.answeredAt = result.Outcome, w.now
	}
}

func (w *simWorld) resubmit(j *simJob) {
	if j.submissions >= j.maxSubmissions {
		return
	}
	w.after(simResubmitDelay, func() { w.sendJob(j, w.instances[w.faultRand.IntN(len(w.instances))]) })
}

func (w *simWorld) checkStart(s *simWorker, r *simRun) {
	j := w.jobsByName[r.key.task.Job]
	j.hasRun = true
	if at, evacuated := w.evacuatedAt[s.domain]; evacuated && w.now > at+simStartTransit {
		w.recordViolation("task %s %s starts on %s, %v after its evacuation", r.key.task.Job, taskLabel(r.key.task), s.id, w.now-at)
	}
	switch j.spec.Steps[0].DataRack {
	case "":
	case s.rack:
		w.nearStarts++
	default:
		w.awayStarts++
	}
	if s.drainsSince > 0 && w.now > s.drainsSince+simListDelay {
		w.startsUnderNotice++
	}
	if s.drainsSince > 0 && w.now > s.drainsSince+simDrainTime {
		w.recordViolation("task %s %s starts on %s %v after it announced its departure", r.key.task.Job, taskLabel(r.key.task), s.id, w.now-s.drainsSince)
	}
	if n := w.activeRuns(r.key.task); n > 1 {
		w.recordViolation("task %s %s has %d runs at the same time", r.key.task.Job, taskLabel(r.key.task), n)
	}
	if j.outcome == Refused && j.refusals == j.submissions {
		w.recordViolation("job %s was refused, but one of its tasks starts on %s", j.spec.Name, s.id)
	}
}

// crashesWorkers reports whether a task crashes each worker that starts it.
func (w *simWorld) crashesWorkers(t namer.TaskName) bool {
	return w.jobsByName[t.Job].crashingTask == t.Index
}

// activeRuns counts the runs of a task on workers that are up.
func (w *simWorld) activeRuns(t namer.TaskName) int {
	n := 0
	for _, s := range w.workers {
		if s.down {
			continue
		}
		for key := range s.runs {
			if key.task == t {
				n++
			}
		}
	}
	return n
}

func (w *simWorld) recordEnd(r *simRun, cause EndCause) {
	if cause == EndSucceeded {
		w.jobsByName[r.key.task.Job].doneTasks[r.key.task.Index] = true
	}
}

// The job kinds of the two standard sites, and slowJob.
var (
	shortJob = jobKind{kind: "short", tasks: 8, runTime: 60 * time.Millisecond, maxAttempts: 2}
	longJob  = jobKind{kind: "long", tasks: 4, runTime: 900 * time.Millisecond, maxAttempts: 2}
	// slowJob runs longer than the delay after which clients resubmit.
	slowJob   = jobKind{kind: "slow", tasks: 2, runTime: 2500 * time.Millisecond, maxAttempts: 2, callerTimeout: 6 * time.Second}
	mediumJob = jobKind{kind: "middle", tasks: 2, runTime: 200 * time.Millisecond, maxAttempts: 2}
)

// addTraffic submits jobs of a kind at a rate per second during a time span. The
// weights give the distribution over the instances.
func (w *simWorld) addTraffic(k jobKind, perSecond float64, from, until time.Duration, weights []int) {
	total := 0
	for _, n := range weights {
		total += n
	}
	var submitNext func()
	submitNext = func() {
		if w.now >= until {
			return
		}
		n := w.loadRand.IntN(total)
		for i, weight := range weights {
			if n -= weight; n < 0 {
				w.submit(k, w.instances[i])
				break
			}
		}
		w.after(time.Duration(w.loadRand.ExpFloat64()/perSecond*float64(time.Second)), submitNext)
	}
	w.at(from, submitNext)
}

// addMixedTraffic submits the standard mix of jobs at a factor of its normal rate.
func (w *simWorld) addMixedTraffic(factor float64, from, until time.Duration, weights []int) {
	w.addTraffic(shortJob, 34*factor, from, until, weights)
	w.addTraffic(longJob, 6.2*factor, from, until, weights)
	w.addTraffic(mediumJob, 100*factor, from, until, weights)
}

// addVariedTraffic submits the standard mix of jobs with varied sizes, at a factor of
// the smallest site's rate. The clients wait for as long as a result has any value.
func (w *simWorld) addVariedTraffic(v *jobVariation, factor float64, from, until time.Duration, weights []int) {
	for _, k := range []struct {
		kind      jobKind
		perSecond float64
	}{{shortJob, 34.4}, {longJob, 6.25}, {mediumJob, 100}} {
		k.kind.variation, k.kind.callerTimeout = v, 15*time.Second
		w.addTraffic(k.kind, k.perSecond*factor, from, until, weights)
	}
}

// evenWeights gives all instances the same weight.
func (w *simWorld) evenWeights() []int {
	out := make([]int, len(w.instances))
	for i := range out {
		out[i] = 1
	}
	return out
}

// inTimeShare returns the share of a kind's jobs that met their objective; an
// empty kind means all jobs.
func (w *simWorld) inTimeShare(k namer.Kind) float64 {
	total, inTime := 0, 0
	for _, j := range w.jobs {
		if k != "" && j.spec.Kind != k {
			continue
		}
		total++
		if j.metObjective() {
			inTime++
		}
	}
	if total == 0 {
		return 1
	}
	return float64(inTime) / float64(total)
}
