package tracker

import (
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Record holds one submission at its primary or its backup.
type Record struct {
	ID     namer.ID
	Work   *coder.Work
	Digest string
	// Primary is the only instance that starts the submission's tasks.
	Primary namer.Incarnation
	// Backup is empty if the submission is not replicated. The primary then relies
	// on its claim in the log.
	Backup namer.Incarnation
	// Committed is set once the backup has acknowledged the submission, or the log
	// contains the primary's claim. No task starts before that.
	Committed bool
	// ClaimPending is set from the decision to claim the submission until the log
	// has decided the claim.
	ClaimPending bool
	// TasksQueued is set once the tasks have been put into the queue.
	TasksQueued bool
	// SentToBackup is set once the backup may hold the submission, and BackupAcked
	// once the backup has acknowledged it.
	SentToBackup, BackupAcked bool
	Tasks                     []Task
	// OpenTasks counts the tasks that are neither TaskEnded nor TaskLost.
	OpenTasks int
	// FinalAnswer never changes once it is set. It is sent to callers once
	// FinalConfirmed is set.
	FinalAnswer    *coder.Answer
	FinalConfirmed bool
	// ExpiresAt is when a closed record expires.
	ExpiresAt time.Time
	Waiters   []Waiter
	// TasksByRack counts the job's placements on each rack.
	TasksByRack map[string]int
	// NeedsReplication is set while the record is on the list for replication.
	NeedsReplication bool
}

// Waiter is a call that waits for a terminal answer. Peer is the instance that
// forwarded the call; it is empty for a call of this instance's own client.
type Waiter struct {
	Peer namer.Incarnation
	Call namer.CallID
}

// TaskState is the progress of a task.
type TaskState int

// The states of a task, in the usual order.
const (
	// TaskQueued means that the task has no placement: none was made yet, or the
	// last one is proven not to have started the task.
	TaskQueued TaskState = iota
	// TaskPlaced means that a worker is chosen, and that the start waits until
	// the backup has acknowledged the placement.
	TaskPlaced
	// TaskStarting means that the start was sent to the worker. At the backup it
	// means that it may have been sent.
	TaskStarting
	// TaskRunning means that the worker has confirmed the start.
	TaskRunning
	// TaskUncertain means that the task may or may not have started. The answer of
	// its worker to a fence decides which.
	TaskUncertain
	// TaskEnded means that the task has run, successfully or not.
	TaskEnded
	// TaskLost means that the task may have run, and that this can no longer be
	// determined.
	TaskLost
)

// Task is one task of a job.
type Task struct {
	State   TaskState
	Attempt int
	// Worker and Lease are set from TaskPlaced on.
	Worker namer.Worker
	Lease  namer.Lease
	// PlacementInFlight is set while the placement has been sent to the backup and
	// is not yet acknowledged.
	PlacementInFlight bool
	OK                bool
	Output            string
}

// AddWaiter adds a waiting call, unless it is already on the list.
func (r *Record) AddWaiter(w Waiter) {
	for _, existing := range r.Waiters {
		if existing == w {
			return
		}
	}
	r.Waiters = append(r.Waiters, w)
}

// IsRequest reports whether the submission is a request to a service.
func (r *Record) IsRequest() bool { return r.Work.Service != "" }

// Closed reports whether the submission has a confirmed final answer, so that
// no work is left for it.
func (r *Record) Closed() bool { return r.FinalAnswer != nil && r.FinalConfirmed }

// Task returns the task at an index, or nil if there is none.
func (r *Record) Task(index int) *Task {
	if index < 0 || index >= len(r.Tasks) {
		return nil
	}
	return &r.Tasks[index]
}

// TaskOutcomes returns the outcome of each task, as far as it is known here.
func (r *Record) TaskOutcomes() []coder.TaskOutcome {
	out := make([]coder.TaskOutcome, len(r.Tasks))
	for i := range r.Tasks {
		out[i] = r.Tasks[i].outcome(i)
	}
	return out
}

func (t *Task) outcome(index int) coder.TaskOutcome {
	o := coder.TaskOutcome{Index: index, Ran: coder.RanUnknown}
	switch t.State {
	case TaskQueued, TaskPlaced:
		o.Ran = coder.RanNo
	case TaskRunning:
		o.Ran = coder.RanYes
	case TaskEnded:
		o.Ran = coder.RanYes
		o.OK = t.OK
		o.Output = t.Output
	case TaskStarting, TaskUncertain, TaskLost:
	}
	return o
}

// Ran reports whether any task has run: yes if one has, no if none has, and
// unknown otherwise.
func (r *Record) Ran() coder.Ran {
	ran := coder.RanNo
	for i := range r.Tasks {
		switch r.Tasks[i].outcome(i).Ran {
		case coder.RanYes:
			return coder.RanYes
		case coder.RanUnknown:
			ran = coder.RanUnknown
		case coder.RanNo:
		}
	}
	return ran
}
