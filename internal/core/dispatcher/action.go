package dispatcher

import (
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Action is an output of the core: one of the types below.
type Action interface{ action() }

// Reply answers a call of this instance's own client. Each call is answered
// once.
type Reply struct {
	Call   namer.Call
	Answer coder.Answer
}

// SendPeer sends a message to a peer over its link.
type SendPeer struct {
	To  namer.Incarnation
	Msg *coder.Message
}

// Append appends a record to the platform's log. The result of the append is
// not reported; the core learns of it only by reading the log.
type Append struct{ Record coder.Record }

// ReadLog starts a read of the log.
type ReadLog struct{}

// OpenLease asks a worker for a lease.
type OpenLease struct{ Worker namer.Worker }

// StartTask is one task of a StartTasks action.
type StartTask struct {
	Task namer.Task
	Spec coder.TaskSpec
}

// Start asks a worker to start tasks under a lease. It must be sent at most
// once.
type Start struct {
	Worker namer.Worker
	Lease  namer.Lease
	Tasks  []StartTask
}

// FenceID numbers the fences of one instance.
type FenceID uint64

// Fence asks a worker to end a lease, or all leases of a holder, and to report
// the state of some tasks. Lease, Holder or both may be empty.
type Fence struct {
	Fence  FenceID
	Worker namer.Worker
	Holder namer.Incarnation
	Lease  namer.Lease
	Tasks  []namer.Task
}

// Adopt asks a worker to move running tasks to another lease.
type Adopt struct {
	Worker namer.Worker
	Lease  namer.Lease
	Tasks  []namer.Task
}

// StopTasks asks a worker to stop tasks whose results are no longer needed.
type StopTasks struct {
	Worker namer.Worker
	Tasks  []namer.Task
}

// SendID numbers the requests that one instance has sent to minions.
type SendID uint64

// SendRequest sends a request to a minion. It must be sent at most once.
type SendRequest struct {
	Send   SendID
	Minion namer.Minion
	ID     namer.ID
	Work   *coder.Work
}

// Rename reports that the instance continues under a new incarnation.
type Rename struct{ Member coder.Member }

// Revised reports that another configuration is in force.
type Revised struct{ Config coder.SnapConfig }

// Left reports that the instance has been drained and has left its domain's
// view.
type Left struct{}

// Decision is an entry for the decision log. Index is the index of a task or,
// for some events, a count or a revision.
type Decision struct {
	Event eventer.Event
	ID    namer.ID
	Index int
	// Where is what the decision concerns: a worker, minion, peer, domain,
	// lease, kind or status.
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
