package scheduler

import (
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Event is an input to Step: one of the types below.
type Event interface{ event() }

// JobArrived submits a job for a caller of this instance.
type JobArrived struct {
	Call namer.Call
	Job  JobSpec
}

// CallerLeft reports that a caller no longer waits. Its job is stopped, unless
// other callers wait for it.
type CallerLeft struct{ Call namer.Call }

// WorkersListed carries changed entries of the platform's worker list, newest
// last.
type WorkersListed struct{ Workers []ListedWorker }

// ListedWorker is an entry of the platform's worker list.
type ListedWorker struct {
	ID namer.Worker
	// Gone is set if the worker was removed from the list; all other fields but
	// ID are empty then.
	Gone     bool
	Service  namer.Service
	Domain   namer.Domain
	Draining bool
	Capacity Size
	Labels   []string
	// Born is the start time of the worker's current incarnation; zero if
	// unknown.
	Born namer.UnixMillis
}

// StartVerdict is a worker's response to a start request.
type StartVerdict int

// Responses to a start request.
const (
	// StartTaken means that the worker has the run.
	StartTaken StartVerdict = iota
	// StartNoRoom means that the worker has too little free capacity.
	StartNoRoom
	// StartSuperseded means that the worker has ended this run or a later run
	// of the same task.
	StartSuperseded
	// StartExpired means that the requested lease had expired on arrival.
	StartExpired
	// StartUnhealthy means that the worker currently accepts no runs.
	StartUnhealthy
	// StartElsewhere means that another incarnation of the worker responded.
	StartElsewhere
	// StartRefused means that the worker rejected the run for another reason.
	StartRefused
	// StartLost means that there was no usable response: the run may exist, or
	// start later.
	StartLost
)

// StartAnswered is the result of a Start.
type StartAnswered struct {
	Worker  namer.Worker
	Task    namer.RunningTask
	Run     namer.Run
	Verdict StartVerdict
	// Clock is the worker's clock; zero if unknown.
	Clock namer.WorkerMillis
	// Took is the time until the response arrived.
	Took time.Duration
}

// StopAnswered is the result of a Stop.
type StopAnswered struct {
	Worker namer.Worker
	Task   namer.RunningTask
	Run    namer.Run
	// Proven is set if the worker acknowledged the stop. The run then ends soon
	// if it is active, and never starts otherwise.
	Proven bool
	// Elsewhere is set if another incarnation responded. The incarnation that
	// had the run no longer exists, so neither does the run.
	Elsewhere bool
}

// ActiveRun is an active run as listed by its worker.
type ActiveRun struct {
	Task namer.RunningTask
	Run  namer.Run
	// Percent is the progress of the run, from 0 to 100.
	Percent int
	// Cores is the approximate processor use over the last half second.
	Cores namer.MilliCores
}

// EndCause is the reason why a run ended.
type EndCause int

// Causes of the end of a run.
const (
	EndDone EndCause = iota
	EndFailed
	EndStopped
	EndLapsed
	// EndOther stands for causes that concern other members of a gang.
	EndOther
)

// EndedRun is an ended run as listed by its worker.
type EndedRun struct {
	// Number is a sequence number that counts the ended runs of one incarnation
	// from 1.
	Number int64
	Task   namer.RunningTask
	Run    namer.Run
	Cause  EndCause
}

// Polled is the result of a Poll.
type Polled struct {
	Worker namer.Worker
	// Sent is when the poll was sent.
	Sent time.Time
	// Extra is copied from the Poll.
	Extra bool
	// Lost is set if there was no usable response; the fields below are empty
	// then.
	Lost bool
	// Elsewhere is set if another incarnation of the worker responded.
	Elsewhere bool
	Born      namer.UnixMillis
	Clock     namer.WorkerMillis
	Active    []ActiveRun
	Ended     []EndedRun
}

// PeerHeard is a heartbeat of a peer.
type PeerHeard struct {
	Name   string
	Domain namer.Domain
	Tag    namer.RunTag
	// Slots is the number of typical tasks that fit on the peer's workers, by
	// service.
	Slots map[namer.Service]int
	// Leaving is set if the peer shuts down after its jobs have ended.
	Leaving bool
	// Power is the processor share that the peer may use; zero if unknown.
	Power namer.MilliCores
}

// Told is a message from a peer.
type Told struct {
	From   string
	Letter Letter
}

func (JobArrived) event()    {}
func (CallerLeft) event()    {}
func (WorkersListed) event() {}
func (StartAnswered) event() {}
func (StopAnswered) event()  {}
func (Polled) event()        {}
func (PeerHeard) event()     {}
func (Told) event()          {}
