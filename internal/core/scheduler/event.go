package scheduler

import (
	"net/netip"
	"time"

	"github.com/heatherslip/heatherslip/internal/core/dater"
	"github.com/heatherslip/heatherslip/internal/core/registrar"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Event is an input to Step: one of the types below.
type Event interface{ event() }

// JobSubmitted submits a job for a caller of this instance.
type JobSubmitted struct {
	Call namer.CallID
	Job  JobSpec
}

// CallCanceled reports that a caller no longer waits. Its job is stopped, unless
// other callers wait for it.
type CallCanceled struct{ Call namer.CallID }

// WorkerListUpdated carries the changed entries of the platform's worker list,
// newest last.
type WorkerListUpdated struct{ Workers []WorkerInfo }

// WorkerInfo is an entry of the platform's worker list.
type WorkerInfo struct {
	ID namer.Worker
	// Removed is set if the worker was removed from the list; all other fields
	// but ID are empty then.
	Removed  bool
	Service  namer.Service
	Domain   namer.Domain
	Draining bool
	Capacity Resources
	Labels   []string
	// BootTime is the start time of the worker's current incarnation; zero if
	// unknown.
	BootTime namer.UnixMillis
	// WrittenAt is the worker's clock when it wrote the entry; zero if unknown.
	WrittenAt namer.WorkerClockMillis
	// Notice says how long a draining worker stays.
	Notice Notice
}

// StartStatus is a worker's response to a start request.
type StartStatus int

// Responses to a start request.
const (
	// StartAccepted means that the worker has the run.
	StartAccepted StartStatus = iota
	// StartNoCapacity means that the worker has too little free capacity.
	StartNoCapacity
	// StartSuperseded means that the worker has ended this run or a later run
	// of the same task.
	StartSuperseded
	// StartLeaseExpired means that the requested lease had expired on arrival.
	StartLeaseExpired
	// StartUnhealthy means that the worker currently accepts no runs.
	StartUnhealthy
	// StartWrongIncarnation means that another incarnation of the worker
	// responded.
	StartWrongIncarnation
	// StartRefused means that the worker rejected the run for another reason.
	StartRefused
	// StartNoResponse means that there was no usable response: the run may exist,
	// or start later.
	StartNoResponse
	// StartNotSent means that there was no connection to the worker, so the run does
	// not exist.
	StartNotSent
	// StartWithheld means that the owner of the worker has not sent the start, because
	// the worker's domain is evacuated or may be.
	StartWithheld
	// StartFenced means that another instance has claimed the worker, so the run does
	// not exist and never will.
	StartFenced
	// StartDeclined means that the owner of the worker has not sent the start, because the
	// order came too late, or the start would extend the lease of runs of a silent instance.
	StartDeclined
)

// StartResult is the result of a Start.
type StartResult struct {
	Worker namer.Worker
	Task   namer.TaskName
	Run    namer.RunID
	Status StartStatus
	// Clock is the worker's clock; zero if unknown.
	Clock namer.WorkerClockMillis
	// Fence is copied from the Start.
	Fence namer.Fence
	// Latency is the time until the response arrived.
	Latency time.Duration
}

// StopResult is the result of a Stop.
type StopResult struct {
	Worker namer.Worker
	Task   namer.TaskName
	Run    namer.RunID
	// Acknowledged is set if the worker acknowledged the stop. The run then ends
	// soon if it is active, and never starts otherwise.
	Acknowledged bool
	// Fenced is set if the worker rejected the stop because of its Fence.
	Fenced bool
	Fence  namer.Fence
	// WrongIncarnation is set if another incarnation responded. The incarnation
	// that had the run no longer exists, so neither does the run.
	WrongIncarnation bool
}

// ActiveRun is an active run as listed by its worker.
type ActiveRun struct {
	Task namer.TaskName
	Run  namer.RunID
	// Percent is the progress of the run, from 0 to 100.
	Percent int
	// Cores is the approximate processor use over the last half second.
	Cores namer.MilliCores
}

// EndCause is the reason why a run ended.
type EndCause int

// Causes of the end of a run.
const (
	EndSucceeded EndCause = iota
	EndFailed
	EndStopped
	EndLeaseExpired
	// EndOther stands for causes that concern other members of a gang.
	EndOther
)

// EndedRun is an ended run as listed by its worker.
type EndedRun struct {
	// Sequence numbers the ended runs of one incarnation from 1.
	Sequence int64
	Task     namer.TaskName
	Run      namer.RunID
	Cause    EndCause
}

// PollResult is the result of a Poll.
type PollResult struct {
	Worker namer.Worker
	// SentAt is when the poll was sent.
	SentAt time.Time
	// OutOfBand is copied from the Poll.
	OutOfBand bool
	// Fence is copied from the Poll. Fenced is set, together with NoResponse, if the
	// worker rejected the poll because of it.
	Fence  namer.Fence
	Fenced bool
	// NoResponse is set if there was no usable response. Of the fields below, only
	// WrongIncarnation and Refused are valid then.
	NoResponse bool
	// WrongIncarnation is set, together with NoResponse, if another incarnation of
	// the worker responded.
	WrongIncarnation bool
	// Refused is set, together with NoResponse, if the worker's address refused the
	// connection.
	Refused  bool
	BootTime namer.UnixMillis
	Clock    namer.WorkerClockMillis
	Active   []ActiveRun
	Ended    []EndedRun
}

// HeartbeatReceived is a heartbeat of a peer.
type HeartbeatReceived struct{ registrar.Heartbeat }

// MessageReceived is a message from a peer.
type MessageReceived struct {
	From string
	// SourceAddr is the address that the message came from.
	SourceAddr netip.Addr
	// SentAt is the sender's clock when the message was sent.
	SentAt  dater.Reading
	Message PeerMessage
}

// SeedsAdded carries further addresses of instances, which may be down.
type SeedsAdded struct{ Seeds []netip.Addr }

// DrainStarted says that the instance shuts down once its jobs have ended. Its
// workers get other owners.
type DrainStarted struct{}

func (JobSubmitted) event()      {}
func (CallCanceled) event()      {}
func (WorkerListUpdated) event() {}
func (StartResult) event()       {}
func (StopResult) event()        {}
func (PollResult) event()        {}
func (HeartbeatReceived) event() {}
func (SeedsAdded) event()        {}
func (DrainStarted) event()      {}
func (MessageReceived) event()   {}
