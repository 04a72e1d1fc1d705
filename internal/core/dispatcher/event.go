package dispatcher

import (
	"time"

	"github.com/heatherslip/heatherslip/internal/core/placer"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Event is an input of the core: one of the types below.
type Event interface{ event() }

// Asked reports a call from a client of this instance.
type Asked struct {
	Call namer.Call
	Op   coder.Op
	Work coder.Work
	// Wait is set if the caller waits for a terminal answer.
	Wait bool
}

// HungUp reports that the client of a call has disconnected. The submission
// itself is not cancelled.
type HungUp struct{ Call namer.Call }

// Received reports a message from a peer.
type Received struct {
	From namer.Incarnation
	Msg  *coder.Message
}

// LinkUp reports that the link to a peer is established.
type LinkUp struct{ Member coder.Member }

// LinkDown reports that the link to a peer is broken. Messages sent before may
// be lost.
type LinkDown struct{ Incarnation namer.Incarnation }

// LogRead holds the result of one read of the platform's log.
type LogRead struct {
	// Asked is when the read was started.
	Asked   time.Time
	Entries []coder.Entry
}

// LogFailed reports that a read of the log failed or timed out.
type LogFailed struct{}

// Listed holds the platform's list of workers and minions, which may be out of
// date.
type Listed struct {
	Workers []ListedWorker
	Minions []ListedMinion
}

// ListedWorker is a worker in the platform's list.
type ListedWorker struct {
	Name    namer.Worker
	Domain  namer.Domain
	Rack    string
	Total   placer.Resources
	Leaving bool
}

// ListedMinion is a minion in the platform's list.
type ListedMinion struct {
	Name    namer.Minion
	Service namer.Service
	Domain  namer.Domain
	Slots   int
	Leaving bool
}

// LeaseOpened holds a worker's answer to AcquireLease. Lease is empty if the
// worker has not granted one.
type LeaseOpened struct {
	Worker namer.Worker
	Lease  namer.Lease
	Free   placer.Resources
}

// LeaseEnded reports that a worker no longer accepts a lease, or that it has
// not answered for the duration of a lease.
type LeaseEnded struct {
	Worker namer.Worker
	Lease  namer.Lease
}

// StartVerdict is the result of starting one task.
type StartVerdict int

// The results of starting a task.
const (
	// StartTaken means that the task is running.
	StartTaken StartVerdict = iota
	// StartFull means that the worker lacked capacity. The task has not run.
	StartFull
	// StartVoid means that the lease had ended. The task has not run.
	StartVoid
)

// StartResult is the result for one task of a StartTasks action.
type StartResult struct {
	Task    namer.Task
	Verdict StartVerdict
}

// StartAnswered holds a worker's answer to a StartTasks action.
type StartAnswered struct {
	Worker  namer.Worker
	Lease   namer.Lease
	Results []StartResult
	Free    placer.Resources
}

// StartLost reports that a StartTasks action got no answer, so that the tasks
// may or may not have started.
type StartLost struct {
	Worker namer.Worker
	Lease  namer.Lease
	Tasks  []namer.Task
}

// TaskEnd describes how a task ended.
type TaskEnd struct {
	Task   namer.Task
	OK     bool
	Output string
	Took   time.Duration
}

// TasksEnded reports tasks that have ended on a worker under a lease.
type TasksEnded struct {
	Worker namer.Worker
	Lease  namer.Lease
	Ends   []TaskEnd
	Free   placer.Resources
}

// SeenTask is the state of one task as reported by a worker in answer to a
// fence.
type SeenTask struct {
	Task namer.Task
	// Seen is false if the worker has never started the task.
	Seen bool
	// Running is set while the task runs.
	Running bool
	// Dropped is set if the worker stopped the task because its lease had
	// expired.
	Dropped bool
	OK      bool
	Output  string
}

// Fenced reports that a worker has ended the fenced leases, so that it rejects
// all further starts under them. Tasks holds the state of the fence's tasks.
type Fenced struct {
	Fence FenceID
	Tasks []SeenTask
}

// FenceFailed reports that a worker did not answer a fence.
type FenceFailed struct{ Fence FenceID }

// SendVerdict is the result of sending a request to a minion.
type SendVerdict int

// The results of sending a request.
const (
	// SendOK and SendError mean that the request has run.
	SendOK SendVerdict = iota
	SendError
	// SendRefused means that the request has not run.
	SendRefused
	// SendLost means that the request may or may not have run.
	SendLost
)

// SendAnswered reports the end of a SendRequest action.
type SendAnswered struct {
	Send    SendID
	Verdict SendVerdict
	Output  string
	// Leaving is set if the minion is closing its connections.
	Leaving bool
}

// Drain asks the instance to take no new work and to leave its domain.
type Drain struct{}

func (Asked) event()         {}
func (HungUp) event()        {}
func (Received) event()      {}
func (LinkUp) event()        {}
func (LinkDown) event()      {}
func (LogRead) event()       {}
func (LogFailed) event()     {}
func (Listed) event()        {}
func (LeaseOpened) event()   {}
func (LeaseEnded) event()    {}
func (StartAnswered) event() {}
func (StartLost) event()     {}
func (TasksEnded) event()    {}
func (Fenced) event()        {}
func (FenceFailed) event()   {}
func (SendAnswered) event()  {}
func (Drain) event()         {}
