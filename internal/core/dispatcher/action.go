package dispatcher

import (
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Action is something that the core wants done: one of the types below.
type Action interface{ action() }

// Reply answers a call of this instance. Each call is answered once.
type Reply struct {
	Call   namer.Call
	Answer coder.Answer
}

// SendPeer sends a message over the link to a peer.
type SendPeer struct {
	To  namer.Incarnation
	Msg *coder.Message
}

// Append adds a record to the platform's log. Whether it took effect shows
// when the log is read, never by the answer.
type Append struct{ Record coder.Record }

// ReadLog asks for a read of the log that begins now.
type ReadLog struct{}

// OpenLease asks a worker for a lease.
type OpenLease struct{ Worker namer.Worker }

// StartTask is one task of a Start.
type StartTask struct {
	Task namer.Task
	Spec coder.TaskSpec
}

// Start sends tasks to a worker under a lease. It is sent once, ever.
type Start struct {
	Worker namer.Worker
	Lease  namer.Lease
	Tasks  []StartTask
}

// FenceID numbers the fences of one instance.
type FenceID uint64

// Fence asks a worker to end a lease, or all leases of a holder, and tell
// what it knows of the tasks.
type Fence struct {
	Fence  FenceID
	Worker namer.Worker
	Holder namer.Incarnation
	Lease  namer.Lease
	Tasks  []namer.Task
}

// Adopt asks a worker to go on with running tasks under another lease.
type Adopt struct {
	Worker namer.Worker
	Lease  namer.Lease
	Tasks  []namer.Task
}

// StopTasks asks a worker to stop tasks whose outcome nobody waits for.
type StopTasks struct {
	Worker namer.Worker
	Tasks  []namer.Task
}

// SendID numbers the requests that one instance has sent to minions.
type SendID uint64

// SendRequest sends a request to a minion, once.
type SendRequest struct {
	Send   SendID
	Minion namer.Minion
	ID     namer.ID
	Work   *coder.Work
}

// Rename says that the instance goes on under a new incarnation.
type Rename struct{ Member coder.Member }

// Revised says that another configuration is in force.
type Revised struct{ Config coder.SnapConfig }

// Left says that the instance has left its view after a drain.
type Left struct{}

// Decision is a line for the log of decisions.
type Decision struct {
	Event  eventer.Event
	ID     namer.ID
	Index  int
	Where  string
	Reason string
}

func (Reply) action()       {}
func (SendPeer) action()    {}
func (Append) action()      {}
func (ReadLog) action()     {}
func (OpenLease) action()   {}
func (Start) action()       {}
func (Fence) action()       {}
func (Adopt) action()       {}
func (StopTasks) action()   {}
func (SendRequest) action() {}
func (Rename) action()      {}
func (Revised) action()     {}
func (Left) action()        {}
func (Decision) action()    {}
