package scheduler

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/heatherslip/heatherslip/internal/bench/sequencer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// world is a simulated site in virtual time: workers that guard their room and
// their leases, instances that run a Scheduler each, and clients that send a
// job again when they hear nothing. It checks what must hold at all times.
type world struct {
	now  time.Duration
	todo sequencer.Sequencer
	// rng draws what happens to messages, load what clients send, so that two
	// ways of serving get the same jobs.
	rng, load *rand.Rand
	workers   []*simWorker
	byID      map[namer.Worker]*simWorker
	instances []*simInstance
	jobs      map[namer.JobName]*simJob
	order     []*simJob
	// delay is the one-way delay within a domain, crossDelay between domains.
	delay, crossDelay time.Duration
	// lateShare of the orders to workers get no answer and are carried out
	// late, lostShare are carried out and their answer is lost.
	lateShare, lostShare float64
	// cutDomain is a domain that the others can't reach.
	cutDomain namer.Domain
	broken    []string
	// rejected counts starts turned away for want of room.
	rejected int
	starts   int
	tap      func(Tell)
}

// Times of the simulated platform.
const (
	simMaxLease = time.Second
	simResend   = 1300 * time.Millisecond
	simStop     = 20 * time.Millisecond
	simTick     = 10 * time.Millisecond
	simGossip   = 50 * time.Millisecond
	// simGrace is the time between the order to stop and the end by force,
	// simShut that after which clients have gone elsewhere.
	simGrace = 6 * time.Second
	simShut  = 2500 * time.Millisecond
)

// simStart keeps virtual times positive.
var simStart = time.Unix(1_800_000_000, 0)

type siteSize struct {
	domains, perDomain, workersPerDomain int
}

func newWorld(seed uint64, size siteSize) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, seed+1)), load: rand.New(rand.NewPCG(seed, seed+2)), jobs: make(map[namer.JobName]*simJob), byID: make(map[namer.Worker]*simWorker),
		delay: 100 * time.Microsecond, crossDelay: 900 * time.Microsecond,
	}
	for d := range size.domains {
		domain := namer.Domain(fmt.Sprintf("d%d", d))
		for i := range size.workersPerDomain {
			cores := 16000
			if i%3 == 2 {
				cores = 24000
			}
			s := newSimWorker(w, namer.Worker(fmt.Sprintf("w%d-%02d", d, i)), domain, cores)
			w.workers = append(w.workers, s)
			w.byID[s.id] = s
		}
	}
	for d := range size.domains {
		for i := range size.perDomain {
			w.addInstance(fmt.Sprintf("e%d-%d", d, i), namer.Domain(fmt.Sprintf("d%d", d)))
		}
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.todo.Add(simStart.Add(w.now+d), do)
}

// at does something at a point in time of the day.
func (w *world) at(t time.Duration, do func()) { w.after(t-w.now, do) }

func (w *world) run(until time.Duration) {
	end := simStart.Add(until)
	for at, do, found := w.todo.Next(end); found; at, do, found = w.todo.Next(end) {
		w.now = at.Sub(simStart)
		do()
	}
	w.now = until
}

func (w *world) fault(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

func (w *world) between(a, b namer.Domain) time.Duration {
	if a == b {
		return w.delay
	}
	return w.crossDelay
}

func (w *world) severed(a, b namer.Domain) bool {
	return a != b && w.cutDomain != "" && (a == w.cutDomain || b == w.cutDomain)
}

// simWorker is a worker of the platform.
type simWorker struct {
	w      *world
	id     namer.Worker
	domain namer.Domain
	cores  namer.MilliCores
	born   namer.UnixMillis
	bootAt time.Duration
	// drift is the rate of its clock; 1 is true.
	drift float64
	// down answers nothing and runs nothing; cut answers nothing and runs on.
	down, cut bool
	// slow multiplies run times; failing fails all; hung makes no progress.
	slow    float64
	failing bool
	hung    bool
	lease   namer.WorkerMillis
	runs    map[runKey]*simRun
	ended   []EndedRun
	acked   int64
	count   int64
	// barred holds the highest run of a task that was stopped or ended.
	barred  map[namer.RunningTask]namer.Run
	waiters []func()
	life    int
}

type simRun struct {
	key      runKey
	cores    namer.MilliCores
	began    time.Duration
	work     time.Duration
	stopping bool
}

func newSimWorker(w *world, id namer.Worker, domain namer.Domain, cores int) *simWorker {
	s := &simWorker{w: w, id: id, domain: domain, cores: namer.MilliCores(cores), slow: 1, drift: 1}
	s.boot()
	return s
}

// boot begins a new incarnation.
func (s *simWorker) boot() {
	s.life++
	s.bootAt = s.w.now
	s.born = namer.UnixMillis(simStart.Add(s.w.now).UnixMilli())
	s.runs = make(map[runKey]*simRun)
	s.barred = make(map[namer.RunningTask]namer.Run)
	s.ended, s.acked, s.count, s.lease = nil, 0, 0, 0
}

func (s *simWorker) crash() {
	s.down = true
	s.runs = make(map[runKey]*simRun)
	s.life++
}

func (s *simWorker) reboot() {
	s.down = false
	s.boot()
}

func (s *simWorker) clock() namer.WorkerMillis {
	return namer.WorkerMillis(float64((s.w.now-s.bootAt).Milliseconds())*s.drift) + 1000
}

// prolong moves the end of the lease and kills all that runs once it is over.
func (s *simWorker) prolong(until namer.WorkerMillis) {
	until = min(until, s.clock()+namer.WorkerMillis(simMaxLease.Milliseconds()))
	if until <= s.lease {
		return
	}
	s.lease = until
	life := s.life
	wait := time.Duration(float64(until-s.clock())/s.drift)*time.Millisecond + time.Millisecond
	s.w.after(wait, func() {
		if s.life != life || s.clock() < s.lease {
			return
		}
		for _, r := range s.sortedRuns() {
			s.end(r, EndLapsed)
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

func (s *simWorker) end(r *simRun, cause EndCause) {
	if s.runs[r.key] != r {
		return
	}
	delete(s.runs, r.key)
	s.bar(r.key)
	s.count++
	s.ended = append(s.ended, EndedRun{Number: s.count, Task: r.key.task, Run: r.key.run, Cause: cause})
	s.w.jobEnded(r, cause)
	waiters := s.waiters
	s.waiters = nil
	for _, wake := range waiters {
		wake()
	}
}

func (s *simWorker) bar(key runKey) {
	s.barred[key.task] = max(s.barred[key.task], key.run)
}

func (s *simWorker) start(key runKey, until namer.WorkerMillis, cores namer.MilliCores, work time.Duration) StartVerdict {
	if _, there := s.runs[key]; there {
		s.prolong(until)
		return StartTaken
	}
	if key.run <= s.barred[key.task] {
		s.prolong(until)
		return StartSuperseded
	}
	if until <= s.clock() {
		return StartExpired
	}
	s.prolong(until)
	used := namer.MilliCores(0)
	for _, r := range s.runs {
		used += r.cores
	}
	if used+cores > s.cores {
		s.w.rejected++
		return StartNoRoom
	}
	r := &simRun{key: key, cores: cores, began: s.w.now, work: time.Duration(float64(work) * s.slow)}
	s.runs[key] = r
	s.w.starts++
	s.w.jobStarted(s, r)
	life := s.life
	if s.failing {
		s.w.after(5*time.Millisecond, func() { s.endIf(life, r, EndFailed) })
	} else if !s.hung {
		s.w.after(r.work, func() { s.endIf(life, r, EndDone) })
	}
	return StartTaken
}

func (s *simWorker) endIf(life int, r *simRun, cause EndCause) {
	if s.life == life && !s.down {
		s.end(r, cause)
	}
}

func (s *simWorker) stop(key runKey) {
	r := s.runs[key]
	if r == nil {
		s.bar(key)
		return
	}
	if r.stopping {
		return
	}
	r.stopping = true
	life := s.life
	s.w.after(simStop, func() { s.endIf(life, r, EndStopped) })
}

func (s *simWorker) list() ([]ActiveRun, []EndedRun) {
	var active []ActiveRun
	for _, r := range s.sortedRuns() {
		percent := 0
		if !s.hung && r.work > 0 {
			percent = int(100 * (s.w.now - r.began) / r.work)
		}
		active = append(active, ActiveRun{Task: r.key.task, Run: r.key.run, Percent: percent, Cores: r.cores})
	}
	return active, slices.Clone(s.ended)
}

func (s *simWorker) acknowledge(n int64) {
	s.ended = slices.DeleteFunc(s.ended, func(e EndedRun) bool { return e.Number <= n })
}

// simInstance is an instance with its core.
type simInstance struct {
	w      *world
	name   string
	domain namer.Domain
	core   *Scheduler
	life   int
	up     bool
	frozen bool
	// mute instances are cut off from their peers, and from nothing else.
	mute bool
	// end is when a leaving instance ends by force, zero while it stays; one
	// that is shut takes no more jobs.
	end   time.Duration
	shut  bool
	inbox []Event
	calls namer.Call
	// clients waits for answers by call.
	clients map[namer.Call]func(Answer)
}

func (w *world) addInstance(name string, domain namer.Domain) *simInstance {
	i := &simInstance{w: w, name: name, domain: domain}
	w.instances = append(w.instances, i)
	i.start()
	return i
}

func (i *simInstance) start() {
	i.life++
	i.up, i.frozen, i.shut, i.end = true, false, false, 0
	i.clients = make(map[namer.Call]func(Answer))
	i.inbox = nil
	w := i.w
	i.core = New(Settings{
		Name: fmt.Sprintf("%s/%d", i.name, i.life), Domain: i.domain, Tag: namer.RunTag(w.rng.Uint32N(uint32(namer.MaxRunTag))),
		MaxLease: simMaxLease, ResubmitAfter: simResend,
	}, simStart.Add(w.now), namer.UnixMillis(simStart.Add(w.now).UnixMilli()))
	var l WorkersListed
	for _, s := range w.workers {
		l.Workers = append(l.Workers, ListedWorker{
			ID: s.id, Service: "s", Domain: s.domain, Capacity: Size{Cores: s.cores, Memory: 1 << 20}, Born: s.born,
		})
	}
	life := i.life
	w.after(0, func() { i.push(life, l) })
	i.loop(life)
	i.gossip(life)
}

func (i *simInstance) loop(life int) {
	if i.life != life {
		return
	}
	if i.up && !i.frozen {
		i.step()
	}
	i.w.after(simTick, func() { i.loop(life) })
}

func (i *simInstance) gossip(life int) {
	if i.life != life {
		return
	}
	if i.up && !i.frozen && !i.mute {
		e := PeerHeard{Name: i.core.Name, Domain: i.domain, Tag: i.core.Tag, Slots: i.core.Slots(), Leaving: i.end > 0}
		for _, o := range i.w.instances {
			if o != i && o.up && !o.mute && !i.w.severed(i.domain, o.domain) {
				life := o.life
				i.w.after(i.w.between(i.domain, o.domain), func() { o.push(life, e) })
			}
		}
	}
	i.w.after(simGossip, func() { i.gossip(life) })
}

// leave ends the instance as its operator asks: it takes jobs for a while, and
// goes once all are answered.
func (i *simInstance) leave() {
	if !i.up || i.end > 0 {
		return
	}
	i.end = i.w.now + simGrace
	i.core.Leave()
	life := i.life
	var look func()
	look = func() {
		if i.life != life {
			return
		}
		i.shut = true
		if len(i.clients) == 0 || i.w.now >= i.end {
			if len(i.clients) > 0 {
				i.w.fault("instance %s ended with %d calls open", i.name, len(i.clients))
			}
			i.kill()
			return
		}
		i.w.after(simTick, look)
	}
	i.w.after(simShut, look)
}

// kill ends the instance at once; its clients' connections break.
func (i *simInstance) kill() {
	i.up = false
	i.life++
	clients := i.clients
	i.clients = nil
	calls := make([]namer.Call, 0, len(clients))
	for c := range clients {
		calls = append(calls, c)
	}
	slices.Sort(calls)
	for _, c := range calls {
		clients[c](Answer{Outcome: brokenConnection})
	}
}

// brokenConnection stands for a connection that ended without an answer.
const brokenConnection Outcome = -1

func (i *simInstance) push(life int, e Event) {
	if i.life != life || !i.up {
		return
	}
	i.inbox = append(i.inbox, e)
	if !i.frozen {
		i.step()
	}
}

func (i *simInstance) step() {
	events := i.inbox
	i.inbox = nil
	now := simStart.Add(i.w.now)
	for _, a := range i.core.Step(now, namer.UnixMillis(now.UnixMilli()), events) {
		i.perform(a)
	}
}

func (i *simInstance) perform(a Action) {
	switch a := a.(type) {
	case Answer:
		reply := i.clients[a.Call]
		delete(i.clients, a.Call)
		if reply != nil {
			i.w.after(i.w.crossDelay, func() { reply(a) })
		}
	case Start:
		i.performStart(a)
	case Stop:
		i.performStop(a)
	case Poll:
		i.performPoll(a)
	case Tell:
		i.performTell(a)
	}
}

// performTell carries a letter to a peer; one in a thousand is lost.
func (i *simInstance) performTell(a Tell) {
	if i.w.tap != nil {
		i.w.tap(a)
	}
	for _, o := range i.w.instances {
		if !o.up || o.core.Name != a.To {
			continue
		}
		if i.mute || o.mute || i.w.severed(i.domain, o.domain) || i.w.rng.IntN(1000) == 0 {
			return
		}
		life := o.life
		e := Told{From: i.core.Name, Letter: a.Letter}
		i.w.after(i.w.between(i.domain, o.domain), func() { o.push(life, e) })
		return
	}
}

func (w *world) worker(id namer.Worker) *simWorker { return w.byID[id] }

// order carries an order to a worker and its answer back; lost is given to the
// instance where no answer comes within the timeout.
func (i *simInstance) order(id namer.Worker, timeout time.Duration, lost Event, do func(s *simWorker, answer func(Event))) {
	s := i.w.worker(id)
	life := i.life
	answered := false
	i.w.after(timeout, func() {
		if !answered {
			answered = true
			i.push(life, lost)
		}
	})
	way := i.w.between(i.domain, s.domain)
	late := i.w.rng.Float64() < i.w.lateShare
	drop := i.w.rng.Float64() < i.w.lostShare
	if late {
		way += 2*time.Second + time.Duration(i.w.rng.Int64N(int64(6*time.Second)))
	}
	i.w.after(way, func() {
		if s.down || s.cut || i.w.severed(i.domain, s.domain) {
			return
		}
		do(s, func(e Event) {
			i.w.after(i.w.between(i.domain, s.domain), func() {
				if !answered && !late && !drop && !s.cut && !i.w.severed(i.domain, s.domain) {
					answered = true
					i.push(life, e)
				}
			})
		})
	})
}

func (i *simInstance) performStart(a Start) {
	e := StartAnswered{Worker: a.Worker, Task: a.Task, Run: a.Run, Verdict: StartLost, Took: a.Timeout}
	sent := i.w.now
	i.order(a.Worker, a.Timeout, e, func(s *simWorker, answer func(Event)) {
		j := i.w.jobs[a.Task.Job]
		e.Verdict = s.start(runKey{a.Task, a.Run}, a.Until, j.sizes[a.Task.Index], j.work)
		e.Clock = s.clock()
		e.Took = i.w.now - sent
		answer(e)
	})
}

func (i *simInstance) performStop(a Stop) {
	e := StopAnswered{Worker: a.Worker, Task: a.Task, Run: a.Run}
	i.order(a.Worker, 80*time.Millisecond, e, func(s *simWorker, answer func(Event)) {
		s.stop(runKey{a.Task, a.Run})
		e.Proven = true
		answer(e)
	})
}

func (i *simInstance) performPoll(a Poll) {
	e := Polled{Worker: a.Worker, Extra: a.Extra, Lost: true, Sent: simStart.Add(i.w.now)}
	i.order(a.Worker, a.Wait+60*time.Millisecond, e, func(s *simWorker, answer func(Event)) {
		s.acknowledge(a.Acknowledge)
		if a.Until > 0 {
			s.prolong(a.Until)
		}
		done := false
		reply := func() {
			if done || s.down {
				return
			}
			done = true
			e.Lost = false
			e.Born, e.Clock = s.born, s.clock()
			e.Active, e.Ended = s.list()
			answer(e)
		}
		if a.Wait == 0 || len(s.ended) > 0 {
			reply()
			return
		}
		s.waiters = append(s.waiters, reply)
		i.w.after(a.Wait, reply)
	})
}

// simJob is a job and what has become of it.
type simJob struct {
	spec  JobSpec
	sizes []namer.MilliCores
	work  time.Duration
	sent  time.Duration
	// running counts the runs that are there, by task.
	running map[int]int
	done    map[int]bool
	started bool
	// refusals and tries count what the client heard and sent.
	refusals, tries int
	// outcome and answered are the last word to the client.
	outcome  Outcome
	answered time.Duration
}

// inTime reports whether the client had its answer within the objective.
func (j *simJob) inTime() bool {
	target := time.Duration(j.spec.Stretch*float64(j.work)) + j.spec.Target
	return j.answered > 0 && j.outcome == Completed && j.answered-j.sent <= target
}

type kindOfJob struct {
	kind     namer.Kind
	tasks    int
	work     time.Duration
	attempts int
	// patience is how long clients wait; zero is the sites' usual time.
	patience time.Duration
}

// usualPatience is how long clients wait for the kinds of the sites.
const usualPatience = 1500 * time.Millisecond

// submit sends a job to an instance, and again to another where no answer
// comes.
func (w *world) submit(k kindOfJob, at *simInstance) *simJob {
	name := namer.JobName(fmt.Sprintf("%016x", len(w.order)+1))
	cores := namer.MilliCores(5500 + w.load.IntN(2600))
	work := time.Duration(float64(k.work) * (0.7 + 0.6*w.load.Float64()))
	patience := k.patience
	if patience == 0 {
		patience = usualPatience
	}
	j := &simJob{
		spec: JobSpec{
			Name: name, Kind: k.kind, Service: "s", MaxAttempts: k.attempts, Stretch: 1.6, Target: 60 * time.Millisecond,
			Patience: patience,
			Steps: []StepSpec{{
				Count: k.tasks, Size: Size{Cores: cores, Memory: 64},
				Estimate: time.Duration(float64(work) * (0.8 + 0.4*w.load.Float64())),
			}},
		},
		work: work, sent: w.now, running: make(map[int]int), done: make(map[int]bool), outcome: brokenConnection,
	}
	for range k.tasks {
		j.sizes = append(j.sizes, namer.MilliCores(float64(cores)*(0.98+0.04*w.load.Float64())))
	}
	w.jobs[name] = j
	w.order = append(w.order, j)
	w.try(j, at)
	return j
}

// maxTries bounds how often a client sends a job.
const maxTries = 3

func (w *world) try(j *simJob, at *simInstance) {
	j.tries++
	for at.shut && slices.ContainsFunc(w.instances, func(i *simInstance) bool { return !i.shut }) {
		at = w.instances[w.rng.IntN(len(w.instances))]
	}
	if !at.up {
		w.retry(j)
		return
	}
	at.calls++
	call := at.calls
	life := at.life
	heard := false
	at.clients[call] = func(a Answer) {
		if heard {
			return
		}
		heard = true
		w.answered(j, a)
	}
	w.after(w.crossDelay, func() {
		spec := j.spec
		if at.end > 0 {
			spec.Left = max(1, at.end-w.now)
		}
		at.push(life, JobArrived{Call: call, Job: spec})
	})
	w.after(j.spec.Patience, func() {
		if heard {
			return
		}
		heard = true
		at.push(life, CallerLeft{Call: call})
		w.retry(j)
	})
}

func (w *world) answered(j *simJob, a Answer) {
	switch a.Outcome {
	case brokenConnection, GivenUp:
		w.retry(j)
	case Refused, Unavailable:
		j.refusals++
		j.outcome, j.answered = a.Outcome, w.now
		if j.started && j.refusals == j.tries {
			w.fault("job %s was refused as not run, and has run", j.spec.Name)
		}
	case Completed:
		j.outcome, j.answered = a.Outcome, w.now
		if len(j.done) != len(j.sizes) {
			w.fault("job %s was answered as completed with %d of %d tasks done", j.spec.Name, len(j.done), len(j.sizes))
		}
	case Failed:
		j.outcome, j.answered = a.Outcome, w.now
	}
}

func (w *world) retry(j *simJob) {
	if j.tries >= maxTries {
		return
	}
	w.after(simResend, func() { w.try(j, w.instances[w.rng.IntN(len(w.instances))]) })
}

func (w *world) jobStarted(s *simWorker, r *simRun) {
	j := w.jobs[r.key.task.Job]
	j.started = true
	if n := w.runsUp(r.key.task); n > 1 {
		w.fault("task %s %s has %d runs at the same time", r.key.task.Job, taskLabel(r.key.task), n)
	}
	if j.outcome == Refused && j.refusals == j.tries {
		w.fault("job %s was refused as not run, and a task starts on %s", j.spec.Name, s.id)
	}
}

// runsUp counts the runs of a task on workers that are up.
func (w *world) runsUp(t namer.RunningTask) int {
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

func (w *world) jobEnded(r *simRun, cause EndCause) {
	if cause == EndDone {
		w.jobs[r.key.task.Job].done[r.key.task.Index] = true
	}
}

// The kinds of the two sites.
var (
	shortJob = kindOfJob{kind: "short", tasks: 8, work: 60 * time.Millisecond, attempts: 2}
	longJob  = kindOfJob{kind: "long", tasks: 4, work: 900 * time.Millisecond, attempts: 2}
	// slowJob outlasts the time after which its client sends it again.
	slowJob   = kindOfJob{kind: "slow", tasks: 2, work: 2500 * time.Millisecond, attempts: 2, patience: 6 * time.Second}
	middleJob = kindOfJob{kind: "middle", tasks: 2, work: 200 * time.Millisecond, attempts: 2}
)

// traffic sends jobs of a kind at a rate a second, for a while, to the
// instances by weights.
func (w *world) traffic(k kindOfJob, perSecond float64, from, until time.Duration, weights []int) {
	total := 0
	for _, n := range weights {
		total += n
	}
	var next func()
	next = func() {
		if w.now >= until {
			return
		}
		n := w.load.IntN(total)
		for i, weight := range weights {
			if n -= weight; n < 0 {
				w.submit(k, w.instances[i])
				break
			}
		}
		w.after(time.Duration(w.load.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	w.at(from, next)
}

// usual sends the usual mix of a site at a factor of its usual rate.
func (w *world) usual(factor float64, from, until time.Duration, weights []int) {
	w.traffic(shortJob, 34*factor, from, until, weights)
	w.traffic(longJob, 6.2*factor, from, until, weights)
	w.traffic(middleJob, 100*factor, from, until, weights)
}

// even weighs all instances alike.
func (w *world) even() []int {
	out := make([]int, len(w.instances))
	for i := range out {
		out[i] = 1
	}
	return out
}

// served returns the share of a kind's jobs that were answered in time; an
// empty kind stands for all.
func (w *world) served(k namer.Kind) float64 {
	all, good := 0, 0
	for _, j := range w.order {
		if k != "" && j.spec.Kind != k {
			continue
		}
		all++
		if j.inTime() {
			good++
		}
	}
	if all == 0 {
		return 1
	}
	return float64(good) / float64(all)
}
