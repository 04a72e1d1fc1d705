package scheduler

import (
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Event is something that happened outside the core: one of the types below.
type Event interface{ event() }

// JobArrived is a job that a caller of this instance waits for.
type JobArrived struct {
	Call namer.Call
	Job  JobSpec
}

// CallerLeft says that a caller no longer waits. Its job is stopped.
type CallerLeft struct{ Call namer.Call }

// WorkersListed are the platform's words on workers, newest last.
type WorkersListed struct{ Workers []ListedWorker }

// ListedWorker is the platform's word on one worker.
type ListedWorker struct {
	ID namer.Worker
	// Gone is set where the platform no longer lists the worker; all other
	// fields but ID are empty then.
	Gone     bool
	Service  namer.Service
	Domain   namer.Domain
	Draining bool
	Capacity Size
	Labels   []string
	// Born is the start of the worker's present life; zero where not told.
	Born namer.UnixMillis
}

// StartVerdict is a worker's word on a start.
type StartVerdict int

// The verdicts on a start.
const (
	// StartTaken says that the run is there.
	StartTaken StartVerdict = iota
	// StartNoRoom says that the worker has no room for it.
	StartNoRoom
	// StartSuperseded says that the worker has ended the run, or a later one.
	StartSuperseded
	// StartExpired says that the lease it asked for was over on arrival.
	StartExpired
	// StartUnhealthy says that the worker takes nothing at present.
	StartUnhealthy
	// StartElsewhere says that another incarnation of the worker answered.
	StartElsewhere
	// StartRefused says that the worker refuses the run for another reason.
	StartRefused
	// StartLost says that there was no answer: the run may be there, or come.
	StartLost
)

// StartAnswered is the end of a Start.
type StartAnswered struct {
	Worker  namer.Worker
	Task    namer.RunningTask
	Run     namer.Run
	Verdict StartVerdict
	// Clock is the worker's clock; zero where it was not told.
	Clock namer.WorkerMillis
	// Took is how long the answer took.
	Took time.Duration
}

// StopAnswered is the end of a Stop. Proven is set where the worker answered,
// after which the run neither goes on nor starts.
type StopAnswered struct {
	Worker namer.Worker
	Task   namer.RunningTask
	Run    namer.Run
	Proven bool
	// Elsewhere is set where another incarnation answered; the one that had
	// the run is gone, and the run with it.
	Elsewhere bool
}

// ActiveRun is a run that a worker has listed as present.
type ActiveRun struct {
	Task namer.RunningTask
	Run  namer.Run
	// Percent is how much of its work is done.
	Percent int
	// Cores is a rough figure of what it used in the last half second.
	Cores namer.MilliCores
}

// EndCause says how a run ended.
type EndCause int

// The causes of an end.
const (
	EndDone EndCause = iota
	EndFailed
	EndStopped
	EndLapsed
	// EndOther stands for causes that concern other members of a gang.
	EndOther
)

// EndedRun is a run that a worker has listed as ended.
type EndedRun struct {
	// Number counts the ends of one incarnation from 1.
	Number int64
	Task   namer.RunningTask
	Run    namer.Run
	Cause  EndCause
}

// Polled is the end of a Poll.
type Polled struct {
	Worker namer.Worker
	// Sent is when the poll was sent.
	Sent time.Time
	// Extra repeats that of the Poll.
	Extra bool
	// Lost is set where there was no usable answer; the rest is empty then.
	Lost bool
	// Elsewhere is set where another incarnation answered.
	Elsewhere bool
	Born      namer.UnixMillis
	Clock     namer.WorkerMillis
	Active    []ActiveRun
	Ended     []EndedRun
}

// PeerHeard is a peer's word on itself.
type PeerHeard struct {
	Name   string
	Domain namer.Domain
	Tag    namer.RunTag
	// Slots is the number of usual tasks that it has places for, by service.
	Slots map[namer.Service]int
	// Leaving is set where it ends as soon as its jobs have.
	Leaving bool
	// Power is the share of a processor that it may use.
	Power namer.MilliCores
}

// Told is a peer's letter.
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
