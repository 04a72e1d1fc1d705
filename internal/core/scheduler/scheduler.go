// Package scheduler is a deterministic state machine that schedules jobs whose
// callers wait for the result. Jobs are held in memory only. Step takes events
// and returns actions; the caller supplies the time and does all I/O.
//
// Every instance may start runs on every worker. The shared state is kept by
// the workers: each run carries the run tag of the instance that started it,
// and an instance renews a worker's lease only while it receives heartbeats
// from all instances that have runs there. docs/design/platform.md has the
// rationale.
package scheduler

import (
	"net/netip"
	"slices"
	"sort"
	"time"

	"github.com/heatherslip/heatherslip/internal/core/admitter"
	"github.com/heatherslip/heatherslip/internal/core/balancer"
	"github.com/heatherslip/heatherslip/internal/core/crashcounter"
	"github.com/heatherslip/heatherslip/internal/core/detector"
	"github.com/heatherslip/heatherslip/internal/core/estimator"
	"github.com/heatherslip/heatherslip/internal/core/hasher"
	"github.com/heatherslip/heatherslip/internal/core/holder"
	"github.com/heatherslip/heatherslip/internal/core/registrar"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Settings configure an instance. Only the run tag can change later.
type Settings struct {
	Name string
	// Addr is the address at which peers reach this instance, and Seeds are those of
	// other instances, which may be down.
	Addr   netip.Addr
	Seeds  []netip.Addr
	Domain namer.Domain
	// RunTag marks the runs of this instance. It is unique among live instances.
	RunTag namer.RunTag
	// CPULimit is the processor share that the instance may use; zero if unknown.
	CPULimit namer.MilliCores
	// MaxLease is the longest lease that workers grant; zero if unlimited.
	MaxLease time.Duration
	// ResubmitAfter is how long a client waits after a broken connection before
	// it resubmits its job; zero if unknown.
	ResubmitAfter time.Duration
	// AwaitsEvacuations is set if nothing may be started before the first
	// EvacuationsUpdated.
	AwaitsEvacuations bool
	// IgnoresInterference is set if tasks that slow each other down on one worker are
	// neither noticed nor kept apart.
	IgnoresInterference bool
	// DrainTime is how long after the announcement that a worker is draining a start
	// may reach it; zero if no start may.
	DrainTime time.Duration
	// SpreadFactor is how many times as long tasks take outside the rack of their data;
	// below 1 if it makes no difference.
	SpreadFactor float64
}

// Scheduler holds the jobs of one instance and its view of all workers and
// peers. It is not safe for concurrent use. Build one with New.
type Scheduler struct {
	Settings
	now       time.Time
	startedAt time.Time
	holder    *holder.Holder
	actions   []Action

	// jobsByCall and jobsByName hold the jobs with waiting callers; openJobs
	// lists the same jobs in order of arrival.
	jobsByCall map[namer.CallID]*job
	jobsByName map[namer.JobName]*job
	openJobs   []*job
	kinds      map[namer.Kind]*kindState
	peers      map[string]*peer
	peersByTag map[namer.RunTag]*peer
	runs       map[runKey]*run
	// staleRuns counts, by job, the runs that may still exist but belong to no
	// open job here. While the count is positive, no task of that job is placed.
	staleRuns map[namer.JobName]int
	// crashes counts the runs that were lost in a crash of their worker, and
	// crashReports has the reports on them that are to be sent again.
	crashes      *crashcounter.Table
	crashReports []crashReport
	// speeds learns the speeds of the owned workers.
	speeds *estimator.Estimator

	registrar *registrar.Registrar
	draining  bool
	// isOwner is set while this instance owns workers, and owners lists the peers
	// that do.
	isOwner bool
	owners  []*peer
	// requestedRuns maps the run numbers named in reserve requests to the tasks
	// that the requests are for.
	requestedRuns map[namer.RunID]*task
	// orderedStarts has the starts in flight that peers have ordered.
	orderedStarts map[runKey]*peer
	// pendingRequests are the reserve requests of peers that wait for capacity.
	pendingRequests []pendingRequest

	workers       map[namer.Worker]*worker
	sortedWorkers []*worker
	// ownedWorkers are the workers that this instance owns; remoteWorkers are
	// owned by peers and have runs of this instance.
	ownedWorkers, remoteWorkers []*worker
	// rackOwners has the peers that own workers with a label; nil if it is outdated.
	rackOwners map[rackKey][]rackOwner
	// rackRetryAt is when the next task gets capacity outside the rack of its data; zero
	// if none waits for that.
	rackRetryAt time.Time
	// balancer decides which tasks are sent to other domains. load is that of the owned
	// workers, nil if this instance owns none, both as of balancedAt.
	balancer   *balancer.Balancer
	load       *balancer.Load
	balancedAt time.Time
	// isBalancing is set from the time when a notable share was sent over until nothing is.
	isBalancing bool
	// addressees are the peers whose outbox has content.
	addressees []*peer
	// progressPeers are the peers with progress to send.
	progressPeers []*peer
	evacuations   evacuations
	// interference has the kinds that slow each other down. exposures is reused.
	interference         *detector.Table
	exposures            []detector.Exposure
	interferenceSharedAt time.Time
	// ownersOutdated is set when owners must be assigned again.
	ownersOutdated bool
	// nameHash is the hash of the instance's name.
	nameHash uint64
	// placementDue is set when a task that found no capacity may find some now.
	placementDue bool
	// holdsEnd is when the first task that is held has to be placed; zero if none is.
	holdsEnd time.Time
	// lastRunCount is the highest count used in a run number.
	lastRunCount      int64
	lastDeadlineCheck time.Time
	lastPeerCheck     time.Time
	// stateUpdatedAt is when the registrar was last given this instance's state.
	stateUpdatedAt time.Time
	steppedAt      time.Time
	// handledUntil is a time up to which all messages that had arrived were handled.
	handledUntil time.Time
	// resumedAt is when the last pause of this instance ended; zero if there was none.
	resumedAt time.Time
	// startLatency is the smoothed response time of start requests.
	startLatency time.Duration
	// leaseTime is the lease duration requested with each start and poll.
	leaseTime time.Duration
	// shares divides the capacity of the owned workers, backlogs has the work that waits
	// for it, by service, as of backlogAt.
	shares    *admitter.Shares
	backlogs  map[namer.Service]*serviceBacklog
	backlogAt time.Time
	// returns spreads the callers that are refused.
	returns admitter.Returns
	// unguarded has the services whose workers do not check their capacity.
	unguarded map[namer.Service]bool
}

type runKey struct {
	task namer.TaskName
	run  namer.RunID
}

const (
	// deadlineCheckInterval is how often all open jobs are checked.
	deadlineCheckInterval = 5 * time.Millisecond
	// peerCheckInterval is how often old peers are removed.
	peerCheckInterval = time.Second
	// peerTimeout is how long a peer may be silent before the leases of the workers
	// that have runs of it are no longer renewed. Together with the longest lease it
	// must be less than the time after which clients resubmit a lost job (1.3 s on
	// the platform).
	peerTimeout = registrar.SilenceTimeout
	// orphanTimeout is how long a peer may be silent before its runs are stopped. The
	// stop has to take effect before the lease expires, which would end the other
	// runs on the worker too.
	orphanTimeout = time.Second
	// unknownTagGrace is how long the runs of an instance that was never heard are
	// left alone: its heartbeats may be on their way to a new owner of the worker.
	unknownTagGrace = 400 * time.Millisecond
	// stateInterval is how often the state that heartbeats report is updated.
	stateInterval = 25 * time.Millisecond
	// joinTime is how long a new instance may take to find the owners of its domain.
	joinTime = 600 * time.Millisecond
	// resumeDelay is how long nothing is started after a pause of this instance, so
	// that it first learns which callers have gone.
	resumeDelay = 50 * time.Millisecond
	// peerRetention is how long a silent peer is kept in the tables.
	peerRetention = 30 * time.Second
	// resultMargin is reserved before a deadline for sending the result.
	resultMargin = 20 * time.Millisecond
)

// New returns a Scheduler without jobs, workers or peers. Run numbers start
// after the count that corresponds to wall, the Unix time in milliseconds.
func New(s Settings, now time.Time, wall namer.UnixMillis) *Scheduler {
	return &Scheduler{
		Settings:      s,
		registrar:     registrar.New(registrar.Settings{Name: s.Name, Addr: s.Addr, Domain: s.Domain, CPULimit: s.CPULimit}, s.Seeds, now),
		balancer:      balancer.New(s.Domain),
		nameHash:      hasher.String(s.Name),
		now:           now,
		startedAt:     now,
		holder:        holder.New(now),
		steppedAt:     now,
		jobsByCall:    make(map[namer.CallID]*job),
		jobsByName:    make(map[namer.JobName]*job),
		kinds:         make(map[namer.Kind]*kindState),
		shares:        admitter.NewShares(),
		backlogs:      make(map[namer.Service]*serviceBacklog),
		peers:         make(map[string]*peer),
		peersByTag:    make(map[namer.RunTag]*peer),
		runs:          make(map[runKey]*run),
		requestedRuns: make(map[namer.RunID]*task),
		orderedStarts: make(map[runKey]*peer),
		staleRuns:     make(map[namer.JobName]int),
		crashes:       crashcounter.New(),
		speeds:        estimator.New(),
		interference:  detector.New(),
		unguarded:     make(map[namer.Service]bool),
		workers:       make(map[namer.Worker]*worker),
		lastRunCount:  runCountAt(wall),
		leaseTime:     leaseTimeFor(s),
	}
}

const (
	// defaultLease tolerates two lost polls before the lease expires.
	defaultLease = 800 * time.Millisecond
	// minLease tolerates one lost poll.
	minLease = 500 * time.Millisecond
	// leaseMargin covers network latency and timer inaccuracy.
	leaseMargin = 50 * time.Millisecond
	// maxClockDrift bounds how slowly a worker's clock runs: a lease on the
	// worker's clock may last this many times longer in real time.
	maxClockDrift = 1.02
)

// leaseTimeFor returns a lease duration such that peerTimeout and the lease
// have both passed by the time a client resubmits a lost job.
func leaseTimeFor(s Settings) time.Duration {
	lease := defaultLease
	if s.ResubmitAfter > 0 {
		available := float64(s.ResubmitAfter-peerTimeout-leaseMargin) / maxClockDrift
		lease = min(lease, max(time.Duration(available), minLease))
	}
	if s.MaxLease > 0 {
		lease = min(lease, s.MaxLease)
	}
	return lease
}

// Run numbers count hundredths of a second since 1 January 2020, so that they
// fit into 53 bits together with the run tag. runCountEpoch is that date in
// Unix milliseconds.
const (
	runCountEpoch     = 1577836800000
	millisPerRunCount = 10
)

func runCountAt(wall namer.UnixMillis) int64 {
	return max(1, (int64(wall)-runCountEpoch)/millisPerRunCount)
}

// Step applies the events and returns the actions to perform. now must not go
// backwards between calls; wall is the Unix time, which may.
func (s *Scheduler) Step(now time.Time, wall namer.UnixMillis, events []Event) []Action {
	s.now = now
	s.lastRunCount = max(s.lastRunCount, runCountAt(wall))
	if s.resumedAt.IsZero() || s.steppedAt.Sub(s.resumedAt) >= resumeDelay {
		// What has arrived during a pause may take some steps to get here.
		s.handledUntil = s.steppedAt
	}
	if now.Sub(s.steppedAt) >= registrar.PauseThreshold {
		// What has expired meanwhile must not be acted on.
		s.resumedAt = now
		s.awaitRefresh(now.Sub(s.steppedAt))
		s.checkDeadlines()
	}
	s.steppedAt = now
	// Decisions on the other events depend on which peers are alive.
	for _, e := range events {
		if h, isHeartbeat := e.(HeartbeatReceived); isHeartbeat {
			s.handleHeartbeat(&h.Heartbeat)
		}
	}
	for _, e := range events {
		s.handleEvent(e)
	}
	s.exchangeHeartbeats()
	s.followStart()
	s.checkDeadlines()
	s.releaseHolds()
	s.placeTasks()
	s.sendStops()
	s.sendPolls()
	s.sendCrashReports()
	s.sendPeerMessages()
	out := s.actions
	s.actions = nil
	return out
}

func (s *Scheduler) handleEvent(e Event) {
	switch e := e.(type) {
	case JobSubmitted:
		s.handleJobSubmitted(e)
	case CallCanceled:
		s.handleCallCanceled(e)
	case WorkerListUpdated:
		s.handleWorkerListUpdated(e)
	case StartResult:
		s.handleStartResult(e)
	case StopResult:
		s.handleStopResult(e)
	case PollResult:
		s.handlePollResult(e)
	case SeedsAdded:
		s.registrar.AddSeeds(e.Seeds)
	case EvacuationsUpdated:
		s.handleEvacuationsUpdated(e)
	case DrainStarted:
		s.draining, s.stateUpdatedAt = true, time.Time{}
	case MessageReceived:
		s.handlePeerMessage(e)
	}
}

// isResuming reports whether this instance was paused until a moment ago, or does not
// know yet what has been evacuated meanwhile.
func (s *Scheduler) isResuming() bool {
	return !s.resumedAt.IsZero() && s.now.Sub(s.resumedAt) < resumeDelay || s.isAwaitingRefresh()
}

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, s.withFence(a)) }

// WaitingTasks returns the number of tasks that wait for capacity.
func (s *Scheduler) WaitingTasks() int {
	n := 0
	for _, j := range s.openJobs {
		n += j.waitingTasks()
	}
	return n
}

// OpenJobs returns the number of jobs with waiting callers.
func (s *Scheduler) OpenJobs() int { return len(s.openJobs) }

// Idle reports whether no caller waits and no run of this instance remains.
func (s *Scheduler) Idle() bool { return len(s.jobsByCall) == 0 && len(s.runs) == 0 }

// PendingJobsByKind returns, by kind, the number of jobs without a started task.
func (s *Scheduler) PendingJobsByKind() map[namer.Kind]int {
	out := make(map[namer.Kind]int)
	for _, j := range s.openJobs {
		if !j.mayHaveStarted() {
			out[j.Kind]++
		}
	}
	return out
}

// SetRunTag sets the run tag for runs that are started from now on.
func (s *Scheduler) SetRunTag(tag namer.RunTag) { s.RunTag = tag }

// NeedsWorkerList reports whether this instance has to read the worker list itself: it
// owns workers, or it knows no owner that could supply the list.
func (s *Scheduler) NeedsWorkerList() bool {
	return s.isOwner || s.registrar.IsJoining() && s.now.Sub(s.startedAt) > joinTime
}

// UsableWorkers returns the number of owned workers that can accept a start.
func (s *Scheduler) UsableWorkers() int {
	n := 0
	for _, w := range s.ownedWorkers {
		if s.isUsable(w) {
			n++
		}
	}
	return n
}

// HasReachableWorker reports whether any worker can be reached, either directly
// or through its owner.
func (s *Scheduler) HasReachableWorker() bool {
	return s.UsableWorkers() > 0 || slices.ContainsFunc(s.owners, s.isUsableOwner)
}

func (s *Scheduler) insertSorted(w *worker) {
	i := sort.Search(len(s.sortedWorkers), func(i int) bool { return s.sortedWorkers[i].id >= w.id })
	s.sortedWorkers = append(s.sortedWorkers, nil)
	copy(s.sortedWorkers[i+1:], s.sortedWorkers[i:])
	s.sortedWorkers[i] = w
}

func (s *Scheduler) emitJobDecision(e eventer.Event, j *job, d Decision) {
	d.Event, d.Job = e, j.Name
	d.ResponseTime, d.Objective = s.now.Sub(j.arrivedAt), j.objectiveAt.Sub(j.arrivedAt)
	s.emit(d)
}
