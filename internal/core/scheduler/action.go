package scheduler

import (
	"time"

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
	// GivenUp means that the job can't end in time. Some of its tasks may have
	// run; remaining runs are stopped. The job may be resubmitted.
	GivenUp
	// Refused means that no task of the job has run or will run.
	Refused
	// Unavailable means the same as Refused, because this instance can't
	// execute jobs at all.
	Unavailable
)

// Answer is the result for a waiting caller. Each call gets exactly one.
type Answer struct {
	Call    namer.Call
	Outcome Outcome
	// RetryAfter is when to resubmit the job; zero if there is no need to.
	RetryAfter time.Duration
	Reason     string
}

// Start sends a start request for a run to a worker. It is not repeated.
type Start struct {
	Worker  namer.Worker
	Task    namer.RunningTask
	Run     namer.Run
	Payload string
	// Until is the requested end of the lease that covers all runs on the worker.
	Until namer.WorkerMillis
	// Timeout is how long to wait for the response.
	Timeout time.Duration
}

// Stop asks a worker to stop a run and to reject later starts of it.
type Stop struct {
	Worker namer.Worker
	Task   namer.RunningTask
	Run    namer.Run
}

// Poll asks a worker for its active and ended runs.
type Poll struct {
	Worker namer.Worker
	// Until renews the worker's lease; zero leaves it unchanged.
	Until namer.WorkerMillis
	// Acknowledge is the highest sequence number of ended runs that the worker
	// may discard.
	Acknowledge int64
	// Wait is how long the worker holds the response if no run has ended.
	Wait time.Duration
	// Extra marks a poll that is sent in addition to the pending long poll.
	Extra bool
}

// Tell sends a message to a peer.
type Tell struct {
	To     string
	Letter Letter
}

// Decision is an entry of the decision log.
type Decision struct {
	Event  eventer.Event
	Job    namer.JobName
	Task   string
	Run    namer.Run
	Worker namer.Worker
	Reason string
	// Age is logged as age_ms: the age of the worker state that was used, the
	// duration of an ended run, the latency of a failed start, or how long a
	// breaker stays open, depending on Event.
	Age time.Duration
	// Free is the worker's estimated free capacity after placing the task.
	Free namer.MilliCores
	// Foreign is the number of runs of other instances on the worker.
	Foreign int
	// Predicted is the expected run time.
	Predicted time.Duration
	// Waiting is the number of tasks that wait for capacity; in WorkerHome
	// events it is the number of live peers.
	Waiting int
	// Peers is the number of live peers. The other two are the number of owned
	// workers that can accept a start, and the largest number of owners that
	// were sent a reserve request for one task. All are set in JobRefused events.
	Peers, Usable, Asked int
	// Response is the time since the job arrived.
	Response time.Duration
	// Objective is the response time objective of the job.
	Objective time.Duration
}

func (Answer) action()   {}
func (Start) action()    {}
func (Stop) action()     {}
func (Poll) action()     {}
func (Tell) action()     {}
func (Decision) action() {}
