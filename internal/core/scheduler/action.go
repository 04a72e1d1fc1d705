package scheduler

import (
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Action is something that the core wants done: one of the types below.
type Action interface{ action() }

// Outcome is the final answer to a caller.
type Outcome int

// The outcomes.
const (
	// Completed says that each task of the job has ended well.
	Completed Outcome = iota
	// Failed says that a task of the job has failed in each of its attempts.
	Failed
	// GivenUp says that the job can't end in time: some of it has run, what
	// still runs is stopped, and it may be handed in again.
	GivenUp
	// Refused says that nothing of the job has run or will.
	Refused
	// Unavailable says the same, because this instance cannot serve at all.
	Unavailable
)

// Answer ends a caller's wait. Each call is answered once.
type Answer struct {
	Call    namer.Call
	Outcome Outcome
	// RetryAfter is when the caller should come back; zero where it need not.
	RetryAfter time.Duration
	Reason     string
}

// Start sends a run to a worker, once.
type Start struct {
	Worker  namer.Worker
	Task    namer.RunningTask
	Run     namer.Run
	Payload string
	// Until is when the lease of all that runs on the worker may end.
	Until namer.WorkerMillis
	// Timeout is how long the answer is waited for.
	Timeout time.Duration
}

// Stop asks a worker to end a run, and to take no start of it any more.
type Stop struct {
	Worker namer.Worker
	Task   namer.RunningTask
	Run    namer.Run
}

// Poll asks a worker what runs there and what has ended.
type Poll struct {
	Worker namer.Worker
	// Until prolongs the lease of all that runs there; zero leaves it.
	Until namer.WorkerMillis
	// Acknowledge is the number of the last end that the worker may forget.
	Acknowledge int64
	// Wait is how long the worker holds its answer back for an end.
	Wait time.Duration
	// Extra marks a poll beside the one that waits.
	Extra bool
}

// Tell sends a letter to a peer.
type Tell struct {
	To     string
	Letter Letter
}

// Decision is a line for the log of decisions.
type Decision struct {
	Event  eventer.Event
	Job    namer.JobName
	Task   string
	Run    namer.Run
	Worker namer.Worker
	Reason string
	// Age is how old the word of the worker was that decided.
	Age time.Duration
	// Free is the room that the worker was taken to have, without the task.
	Free namer.MilliCores
	// Foreign is the number of other instances' runs that it listed.
	Foreign int
	// Predicted is the run time that the decision reckoned with.
	Predicted time.Duration
	// Waiting is the number of tasks that waited for room.
	Waiting int
	// Peers is the number of instances heard, Usable that of workers that this
	// instance is the home of and may start on, Asked that of other homes asked
	// for a place; told where a job is refused.
	Peers, Usable, Asked int
	// Response is the time since the job arrived.
	Response time.Duration
	// Objective is the response time that the job asks for.
	Objective time.Duration
}

func (Answer) action()   {}
func (Start) action()    {}
func (Stop) action()     {}
func (Poll) action()     {}
func (Tell) action()     {}
func (Decision) action() {}
