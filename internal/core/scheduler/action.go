package scheduler

import (
	"net/netip"
	"time"

	"github.com/heatherslip/heatherslip/internal/core/admitter"
	"github.com/heatherslip/heatherslip/internal/core/registrar"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Action is an operation that the caller of Step must perform: one of the
// types below.
type Action interface{ action() }

// Outcome is the final outcome of a job.
type Outcome int

// Outcomes of a job.
const (
	// Completed means that every task of the job has succeeded.
	Completed Outcome = iota
	// Failed means that a task of the job has failed MaxAttempts times.
	Failed
	// Aborted means that the job can't end in time. Some of its tasks may have
	// run; remaining runs are stopped. The job may be resubmitted.
	Aborted
	// Refused means that no task of the job has run or will run.
	Refused
	// Unavailable means the same as Refused, because this instance can't
	// execute jobs at all.
	Unavailable
)

// JobResult is the result for a waiting caller. Each call gets exactly one.
type JobResult struct {
	Call    namer.CallID
	Outcome Outcome
	// RetryAfter is when to resubmit the job; zero if there is no need to.
	RetryAfter time.Duration
	Reason     string
}

// Start sends a start request for a run to a worker. It is not repeated.
type Start struct {
	Worker  namer.Worker
	Task    namer.TaskName
	Run     namer.RunID
	Payload string
	// LeaseUntil is the requested end of the lease that covers all runs on the worker.
	LeaseUntil namer.WorkerClockMillis
	// Fence is the claim under which the worker may start the run; zero if it needs none.
	Fence namer.Fence
	// Timeout is how long to wait for the response.
	Timeout time.Duration
}

// Stop asks a worker to stop a run and to reject later starts of it.
type Stop struct {
	Worker namer.Worker
	Task   namer.TaskName
	Run    namer.RunID
	Fence  namer.Fence
}

// Poll asks a worker for its active and ended runs.
type Poll struct {
	Worker namer.Worker
	// LeaseUntil renews the worker's lease; zero leaves it unchanged.
	LeaseUntil namer.WorkerClockMillis
	// AckSequence is the highest sequence number of ended runs that the worker
	// may discard.
	AckSequence int64
	// Wait is how long the worker holds the response if no run has ended.
	Wait time.Duration
	// OutOfBand marks a poll that is sent in addition to the pending long poll.
	OutOfBand bool
	Fence     namer.Fence
}

// SendMessage sends a message to a peer.
type SendMessage struct {
	To      netip.Addr
	Message PeerMessage
	// LeavesDomain is set if the peer is in another failure domain.
	LeavesDomain bool
}

// SendHeartbeats sends a heartbeat to peers.
type SendHeartbeats struct{ registrar.Transmission }

// Decision is an entry of the decision log.
type Decision struct {
	Event  eventer.Event
	Job    namer.JobName
	Task   string
	Run    namer.RunID
	Worker namer.Worker
	Reason string
	// Age is logged as age_ms: the age of the worker state that was used, the
	// duration of an ended run, the latency of a failed start, or how long a
	// breaker stays open, depending on Event.
	Age time.Duration
	// FreeCores is the worker's estimated free capacity after placing the task or
	// reserving capacity for it.
	FreeCores namer.MilliCores
	// Cores is the size of the task.
	Cores namer.MilliCores
	// Tasks is the number of tasks of an accepted job, or of running tasks in a domain.
	Tasks int
	// ForeignRuns is the number of runs of other instances on the worker.
	ForeignRuns int
	// PredictedRunTime is the expected run time.
	PredictedRunTime time.Duration
	// Factor is that of the worker on predicted run times, and Slack the time between the
	// expected end and the objective, negative if it will be late.
	Factor float64
	Slack  time.Duration
	// Runs is the number of runs that a worker's speed was learned from.
	Runs int
	// AwayFromData is set if the worker isn't in the rack of the task's data.
	AwayFromData bool
	// TimeLeft is how long a draining worker stays at least; zero if unknown.
	TimeLeft time.Duration
	// Peer is the instance concerned, in events about peers.
	Peer string
	// Domain is the failure domain concerned, and Workers the number of listed workers
	// there, in events about evacuations.
	Domain  namer.Domain
	Workers int
	// WaitingTasks is the number of tasks that wait for capacity; in WorkerOwned and
	// Ownership events it is the number of owners.
	WaitingTasks int
	// Owners is the number of other owners, UsableWorkers that of owned workers
	// that can accept a start, and RequestedOwners the largest number of owners
	// that were sent a reserve request for one task. All are set in JobRefused
	// events.
	Owners, UsableWorkers, RequestedOwners int
	// Crashes is the number of workers that have crashed under a task, in RunLost
	// events.
	Crashes int
	// PredictedWait is the predicted time until the job's first start, and LongestWait how
	// long it may wait for that.
	PredictedWait, LongestWait time.Duration
	// RetryAfter is when the caller was told to return.
	RetryAfter time.Duration
	// Kind, Priority and SizeClass determine the job's share. They are set in the events
	// that admit, delay or refuse a job.
	Kind      namer.Kind
	Priority  int
	SizeClass admitter.SizeClass
	// ResponseTime is the time since the job arrived.
	ResponseTime time.Duration
	// Objective is the response time objective of the job.
	Objective time.Duration
}

func (JobResult) action()      {}
func (Start) action()          {}
func (Stop) action()           {}
func (Poll) action()           {}
func (SendMessage) action()    {}
func (SendHeartbeats) action() {}
func (Decision) action()       {}
