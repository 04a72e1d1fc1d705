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
	Call   namer.CallID
	Answer coder.Answer
}

// SendMessage sends a message to a peer over its link.
type SendMessage struct {
	To      namer.Incarnation
	Message *coder.Message
}

// AppendRecord appends a record to the platform's log. The result of the append
// is not reported: the core sees whether it took effect when it reads the log.
type AppendRecord struct{ Record coder.Record }

// ReadLog starts a read of the log.
type ReadLog struct{}

// AcquireLease asks a worker for a lease.
type AcquireLease struct{ Worker namer.Worker }

// StartTask is one task of a StartTasks action.
type StartTask struct {
	Task namer.Task
	Spec coder.TaskSpec
}

// StartTasks asks a worker to start tasks under a lease. It must be sent at most
// once.
type StartTasks struct {
	Worker namer.Worker
	Lease  namer.Lease
	Tasks  []StartTask
}

// FenceID numbers the fences of one instance.
type FenceID uint64

// FenceLeases asks a worker to end a lease, or all leases of a holder, and to
// report the state of some tasks. Lease, Holder or both may be empty.
type FenceLeases struct {
	FenceID FenceID
	Worker  namer.Worker
	Holder  namer.Incarnation
	Lease   namer.Lease
	Tasks   []namer.Task
}

// AdoptTasks asks a worker to move running tasks to another lease.
type AdoptTasks struct {
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
	SendID SendID
	Minion namer.Minion
	ID     namer.ID
	Work   *coder.Work
}

// SwitchIncarnation reports that the instance continues under a new incarnation.
type SwitchIncarnation struct{ Member coder.Member }

// ConfigChanged reports that another configuration is in force.
type ConfigChanged struct{ Config coder.SnapConfig }

// DrainCompleted reports that the instance has been drained and has left its
// domain's view.
type DrainCompleted struct{}

// Decision is an entry for the decision log. Index is the index of a task or,
// for some events, a count or a revision.
type Decision struct {
	Event eventer.Event
	ID    namer.ID
	Index int
	// Subject is what the decision concerns: a worker, minion, peer, domain,
	// lease, kind or status.
	Subject string
	Reason  string
}

func (Reply) action()             {}
func (SendMessage) action()       {}
func (AppendRecord) action()      {}
func (ReadLog) action()           {}
func (AcquireLease) action()      {}
func (StartTasks) action()        {}
func (FenceLeases) action()       {}
func (AdoptTasks) action()        {}
func (StopTasks) action()         {}
func (SendRequest) action()       {}
func (SwitchIncarnation) action() {}
func (ConfigChanged) action()     {}
func (DrainCompleted) action()    {}
func (Decision) action()          {}
