package dispatcher

import (
	"time"

	"github.com/heatherslip/heatherslip/internal/core/placer"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Event is an input of the core: one of the types below.
type Event interface{ event() }

// CallReceived reports a call from a client of this instance.
type CallReceived struct {
	Call namer.CallID
	Op   coder.Op
	Work coder.Work
	// WaitForResult is set if the caller waits for a terminal answer.
	WaitForResult bool
}

// CallAbandoned reports that the client of a call has disconnected. Its submission
// is not cancelled.
type CallAbandoned struct{ Call namer.CallID }

// MessageReceived reports a message from a peer.
type MessageReceived struct {
	From    namer.Incarnation
	Message *coder.Message
}

// LinkUp reports that the link to a peer is established.
type LinkUp struct{ Member coder.Member }

// LinkDown reports that the link to a peer is broken. Messages sent before may
// be lost.
type LinkDown struct{ Incarnation namer.Incarnation }

// LogRead holds the result of one read of the platform's log.
type LogRead struct {
	// StartedAt is when the read was started.
	StartedAt time.Time
	Entries   []coder.LogEntry
}

// LogFailed reports that a read of the log failed or timed out.
type LogFailed struct{}

// ListUpdated holds the platform's list of workers and minions, which may be out
// of date.
type ListUpdated struct {
	Workers []WorkerInfo
	Minions []MinionInfo
}

// WorkerInfo is a worker in the platform's list.
type WorkerInfo struct {
	Name     namer.Worker
	Domain   namer.Domain
	Rack     string
	Capacity placer.Resources
	Draining bool
}

// MinionInfo is a minion in the platform's list.
type MinionInfo struct {
	Name     namer.Minion
	Service  namer.Service
	Domain   namer.Domain
	Slots    int
	Draining bool
}

// LeaseAnswered holds a worker's answer to AcquireLease. Lease is empty if the
// worker has not granted one.
type LeaseAnswered struct {
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

// StartStatus is the result of starting one task.
type StartStatus int

// The results of starting a task.
const (
	// StartAccepted means that the task is running.
	StartAccepted StartStatus = iota
	// StartNoCapacity means that the worker lacked capacity. The task has not run.
	StartNoCapacity
	// StartLeaseExpired means that the lease had ended. The task has not run.
	StartLeaseExpired
)

// StartResult is the result for one task of a StartTasks action.
type StartResult struct {
	Task   namer.Task
	Status StartStatus
}

// StartAnswered holds a worker's answer to a StartTasks action.
type StartAnswered struct {
	Worker  namer.Worker
	Lease   namer.Lease
	Results []StartResult
	Free    placer.Resources
}

// StartNoResponse reports that a StartTasks action got no answer, so that the
// tasks may or may not have started.
type StartNoResponse struct {
	Worker namer.Worker
	Lease  namer.Lease
	Tasks  []namer.Task
}

// TaskResult describes how a task ended.
type TaskResult struct {
	Task    namer.Task
	OK      bool
	Output  string
	RunTime time.Duration
}

// TasksEnded reports tasks that have ended on a worker under a lease.
type TasksEnded struct {
	Worker  namer.Worker
	Lease   namer.Lease
	Results []TaskResult
	Free    placer.Resources
}

// FencedTask is the state of one task as reported by a worker in answer to a
// fence.
type FencedTask struct {
	Task namer.Task
	// Started is false if the worker has never started the task.
	Started bool
	// Running is set while the task runs.
	Running bool
	// Killed is set if the worker stopped the task because its lease had
	// expired.
	Killed bool
	OK     bool
	Output string
}

// FenceAnswered reports that a worker has ended the fenced leases, so that it
// rejects all further starts under them. Tasks holds the state of the fence's
// tasks.
type FenceAnswered struct {
	FenceID FenceID
	Tasks   []FencedTask
	// LeaseUnknown is set if the worker does not know the fenced lease, as after a
	// restart. It then can't tell that it has not started a task.
	LeaseUnknown bool
}

// FenceFailed reports that a worker did not answer a fence.
type FenceFailed struct{ FenceID FenceID }

// SendStatus is the result of sending a request to a minion.
type SendStatus int

// The results of sending a request.
const (
	// SendOK and SendError mean that the request has run.
	SendOK SendStatus = iota
	SendError
	// SendRefused means that the request has not run.
	SendRefused
	// SendNoResponse means that the request may or may not have run.
	SendNoResponse
)

// SendAnswered reports the end of a SendRequest action.
type SendAnswered struct {
	SendID SendID
	Status SendStatus
	Output string
	// Draining is set if the minion is closing its connections.
	Draining bool
}

// Drain asks the instance to accept no new work, and to leave its domain once its
// work is finished.
type Drain struct{}

func (CallReceived) event()    {}
func (CallAbandoned) event()   {}
func (MessageReceived) event() {}
func (LinkUp) event()          {}
func (LinkDown) event()        {}
func (LogRead) event()         {}
func (LogFailed) event()       {}
func (ListUpdated) event()     {}
func (LeaseAnswered) event()   {}
func (LeaseEnded) event()      {}
func (StartAnswered) event()   {}
func (StartNoResponse) event() {}
func (TasksEnded) event()      {}
func (FenceAnswered) event()   {}
func (FenceFailed) event()     {}
func (SendAnswered) event()    {}
func (Drain) event()           {}
