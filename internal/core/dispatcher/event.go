package dispatcher

import (
	"time"

	"github.com/heatherslip/heatherslip/internal/core/placer"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Event is something that happened outside the core: one of the types below.
type Event interface{ event() }

// Asked is a call from a client of this instance.
type Asked struct {
	Call namer.Call
	Op   coder.Op
	Work coder.Work
	// Wait is set where the caller waits for a terminal answer.
	Wait bool
}

// HungUp says that a caller no longer waits. What it asked for goes on.
type HungUp struct{ Call namer.Call }

// Received is a message from a peer.
type Received struct {
	From namer.Incarnation
	Msg  *coder.Message
}

// LinkUp says that messages to a peer have a way.
type LinkUp struct{ Member coder.Member }

// LinkDown says that messages to a peer have none, and some may be lost.
type LinkDown struct{ Incarnation namer.Incarnation }

// LogRead is what one read of the platform's log returned.
type LogRead struct {
	// Asked is when the read was begun.
	Asked   time.Time
	Entries []coder.Entry
}

// LogFailed says that the log did not answer, or refused an append.
type LogFailed struct{}

// Listed is the platform's list of workers and minions, which may lag.
type Listed struct {
	Workers []ListedWorker
	Minions []ListedMinion
}

// ListedWorker is a line of the platform's list.
type ListedWorker struct {
	Name    namer.Worker
	Domain  namer.Domain
	Rack    string
	Total   placer.Size
	Leaving bool
}

// ListedMinion is a line of the platform's list.
type ListedMinion struct {
	Name    namer.Minion
	Service namer.Service
	Domain  namer.Domain
	Slots   int
	Leaving bool
}

// LeaseOpened says that a worker has granted a lease; Lease is empty where it
// has not.
type LeaseOpened struct {
	Worker namer.Worker
	Lease  namer.Lease
	Free   placer.Size
}

// LeaseEnded says that a worker no longer honours a lease, or has not
// answered for as long as a lease lasts.
type LeaseEnded struct {
	Worker namer.Worker
	Lease  namer.Lease
}

// StartVerdict is a worker's word on a start.
type StartVerdict int

// The verdicts on a start.
const (
	// StartTaken says that the task runs.
	StartTaken StartVerdict = iota
	// StartFull says that there was no room; the task has not run.
	StartFull
	// StartVoid says that the lease was over; the task has not run.
	StartVoid
)

// StartResult is the verdict on one task.
type StartResult struct {
	Task    namer.Task
	Verdict StartVerdict
}

// StartAnswered is a worker's answer to a Start.
type StartAnswered struct {
	Worker  namer.Worker
	Lease   namer.Lease
	Results []StartResult
	Free    placer.Size
}

// StartLost says that a Start may or may not have reached its worker.
type StartLost struct {
	Worker namer.Worker
	Lease  namer.Lease
	Tasks  []namer.Task
}

// TaskEnd says how a task ended.
type TaskEnd struct {
	Task   namer.Task
	OK     bool
	Output string
	Took   time.Duration
}

// TasksEnded is a worker's word on tasks under a lease.
type TasksEnded struct {
	Worker namer.Worker
	Lease  namer.Lease
	Ends   []TaskEnd
	Free   placer.Size
}

// SeenTask is a worker's word on a task that a Fence asked about.
type SeenTask struct {
	Task namer.Task
	// Seen is false where the worker has never started the task.
	Seen bool
	// Running is set while the task runs.
	Running bool
	// Dropped is set where the worker ended the task because its lease lapsed.
	Dropped bool
	OK      bool
	Output  string
}

// Fenced says that a worker has ended the lease, or all of the holder's, so
// that no start under it is taken from now on, and what it knows of the tasks.
type Fenced struct {
	Fence FenceID
	Tasks []SeenTask
}

// FenceFailed says that a worker did not answer a Fence.
type FenceFailed struct{ Fence FenceID }

// SendVerdict is what became of a request that was sent to a minion.
type SendVerdict int

// The verdicts on a request.
const (
	// SendOK and SendError say that the request has run.
	SendOK SendVerdict = iota
	SendError
	// SendRefused says that it has not run.
	SendRefused
	// SendLost says that nobody can tell.
	SendLost
)

// SendAnswered is the end of a SendRequest.
type SendAnswered struct {
	Send    SendID
	Verdict SendVerdict
	Output  string
	// Leaving is set where the minion closes its connections.
	Leaving bool
}

// Drain asks the instance to take no new work and leave.
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
