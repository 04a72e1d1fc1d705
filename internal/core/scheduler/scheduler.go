// Package scheduler is the deterministic core for jobs that are answered when
// they have ended and are kept nowhere. Events go in and actions come out;
// time and names are injected.
//
// All instances give orders to all workers. What they agree on is kept by the
// workers: each run carries the tag of the instance that started it, and an
// instance prolongs a worker's lease only while it hears the instances that
// have runs there. docs/design/platform.md gives the reasons.
package scheduler

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Settings are what an instance is told at its start.
type Settings struct {
	Name   string
	Domain namer.Domain
	// Tag marks the runs of this instance. No other instance that lives has it.
	Tag namer.RunTag
	// Power is the share of a processor that the instance may use; zero is not
	// told.
	Power namer.MilliCores
	// MaxLease is the longest lease that workers grant.
	MaxLease time.Duration
	// ResubmitAfter is how long a caller that lost its connection waits before
	// it sends its job again.
	ResubmitAfter time.Duration
}

// Scheduler is one instance's view of its jobs and of all workers. It is not
// safe for concurrent use.
type Scheduler struct {
	Settings
	now     time.Time
	started time.Time
	out     []Action

	// jobs and byName hold the jobs that callers wait for, open lists them in
	// the order of their arrival.
	jobs   map[namer.Call]*job
	byName map[namer.JobName]*job
	open   []*job
	kinds  map[namer.Kind]*kind
	peers  map[string]*peer
	byTag  map[namer.RunTag]*peer
	runs   map[runKey]*run
	// ghosts counts, by job, the runs that no job of this instance wants and
	// that may be there still.
	ghosts map[namer.JobName]int

	// alive lists the peers that live by name, as of the last deal of homes.
	alive []*peer
	// asking are the tasks for which homes have been asked for a place, by the
	// run that is to start there.
	asking map[namer.Run]*task
	// pending are the peers' asks that have found no room here yet.
	pending []pendingAsk

	workers map[namer.Worker]*worker
	sorted  []*worker
	// homes are the workers that this instance is the home of, visited others
	// where it has runs.
	homes, visited []*worker
	// relisted is set where homes have to be dealt again.
	relisted bool
	// leaving is set once the instance ends as soon as its jobs have.
	leaving bool
	// key is the hash of the name.
	key uint64
	// changed is set where a task may find room that found none before.
	changed bool
	// runCount makes run numbers rise.
	runCount int64
	lastScan time.Time
	lastRank time.Time
	// answerTime is the smoothed time that workers take to answer a start.
	answerTime time.Duration
	// lease is the lease that each start and poll asks for.
	lease time.Duration
	// virtual is the virtual time of the fair queue over kinds.
	virtual float64
}

type runKey struct {
	task namer.RunningTask
	run  namer.Run
}

const (
	// scanEvery is the pace of systems that look at whole tables.
	scanEvery = 5 * time.Millisecond
	// rankEvery is the pace at which the homes of workers are dealt again.
	rankEvery = 50 * time.Millisecond
	// peerSilence is how long an instance may be silent before its runs count
	// as abandoned: with the longest lease it stays below the time after which
	// callers send a lost job again (1.3 s on the platform).
	peerSilence = 400 * time.Millisecond
	// peerForget is how long a silent peer is remembered.
	peerForget = 30 * time.Second
	// answerMargin is kept before a deadline for the answer's way back.
	answerMargin = 20 * time.Millisecond
)

// New returns an instance that knows nothing yet. The run numbers begin after
// wall, the time of day in milliseconds.
func New(s Settings, now time.Time, wall namer.UnixMillis) *Scheduler {
	return &Scheduler{
		Settings: s,
		key:      xxhash.Sum64String(s.Name),
		now:      now,
		started:  now,
		jobs:     make(map[namer.Call]*job),
		byName:   make(map[namer.JobName]*job),
		kinds:    make(map[namer.Kind]*kind),
		peers:    make(map[string]*peer),
		byTag:    make(map[namer.RunTag]*peer),
		runs:     make(map[runKey]*run),
		asking:   make(map[namer.Run]*task),
		ghosts:   make(map[namer.JobName]int),
		workers:  make(map[namer.Worker]*worker),
		runCount: runCountAt(wall),
		lease:    leaseFor(s),
	}
}

const (
	// longestLease lets two polls be lost before a lease is over.
	longestLease = 800 * time.Millisecond
	// shortestLease lets one be lost.
	shortestLease = 500 * time.Millisecond
	// leaseMargin is for ways and timers.
	leaseMargin = 50 * time.Millisecond
	// clockDrift is the rate of the slowest clock of a worker, against true time.
	clockDrift = 1.02
)

// leaseFor returns a lease that is over, with the silence that comes before
// it, when a client sends a lost job again.
func leaseFor(s Settings) time.Duration {
	lease := longestLease
	if s.ResubmitAfter > 0 {
		spare := float64(s.ResubmitAfter-peerSilence-leaseMargin) / clockDrift
		lease = min(lease, max(time.Duration(spare), shortestLease))
	}
	if s.MaxLease > 0 {
		lease = min(lease, s.MaxLease)
	}
	return lease
}

// runEpoch is 1 January 2020 in Unix milliseconds; run numbers count
// hundredths of a second from it, so that they fit into 53 bits with their tag.
const (
	runEpoch      = 1577836800000
	millisPerStep = 10
)

func runCountAt(wall namer.UnixMillis) int64 {
	return max(1, (int64(wall)-runEpoch)/millisPerStep)
}

// Step takes what has happened and returns what is to be done. Time never
// goes back; wall is the time of day and may.
func (s *Scheduler) Step(now time.Time, wall namer.UnixMillis, events []Event) []Action {
	s.now = now
	s.runCount = max(s.runCount, runCountAt(wall))
	for _, e := range events {
		s.take(e)
	}
	s.runDeadlines()
	s.runPlacement()
	s.runStops()
	s.runPolls()
	s.sendLetters()
	out := s.out
	s.out = nil
	return out
}

func (s *Scheduler) take(e Event) {
	switch e := e.(type) {
	case JobArrived:
		s.arrived(e)
	case CallerLeft:
		s.callerLeft(e)
	case WorkersListed:
		s.listed(e)
	case StartAnswered:
		s.startAnswered(e)
	case StopAnswered:
		s.stopAnswered(e)
	case Polled:
		s.polled(e)
	case PeerHeard:
		s.peerHeard(e)
	case Told:
		s.told(e)
	}
}

func (s *Scheduler) do(a Action) { s.out = append(s.out, a) }

// Waiting returns the number of tasks that wait for room.
func (s *Scheduler) Waiting() int {
	n := 0
	for _, j := range s.open {
		n += j.waitingTasks()
	}
	return n
}

// Open returns the number of jobs whose callers wait.
func (s *Scheduler) Open() int { return len(s.open) }

// Idle reports whether no caller waits and no run of this instance is left.
func (s *Scheduler) Idle() bool { return len(s.jobs) == 0 && len(s.runs) == 0 }

// PendingByKind counts the jobs that have nothing started.
func (s *Scheduler) PendingByKind() map[namer.Kind]int {
	out := make(map[namer.Kind]int)
	for _, j := range s.open {
		if !j.begun() {
			out[j.Kind]++
		}
	}
	return out
}

// Retag gives this instance another tag, for runs started from now on.
func (s *Scheduler) Retag(tag namer.RunTag) { s.Tag = tag }

// Usable returns the number of workers that this instance is the home of and
// that may get a start.
func (s *Scheduler) Usable() int {
	n := 0
	for _, w := range s.homes {
		if s.usable(w) {
			n++
		}
	}
	return n
}

// Reaches reports whether any worker can be reached, by this instance or
// through a peer.
func (s *Scheduler) Reaches() bool {
	return s.Usable() > 0 || slices.ContainsFunc(s.alive, func(p *peer) bool { return len(p.slots) > 0 })
}

func (s *Scheduler) insert(w *worker) {
	at := sort.Search(len(s.sorted), func(i int) bool { return s.sorted[i].id >= w.id })
	s.sorted = append(s.sorted, nil)
	copy(s.sorted[at+1:], s.sorted[at:])
	s.sorted[at] = w
}

func (s *Scheduler) decide(e eventer.Event, j *job, d Decision) {
	d.Event, d.Job = e, j.Name
	d.Response, d.Objective = s.now.Sub(j.arrived), j.objective.Sub(j.arrived)
	s.do(d)
}
