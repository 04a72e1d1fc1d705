// Package keeper holds the table of submissions that an instance runs, backs
// up, or knows to be run elsewhere.
package keeper

import (
	"sort"
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// TaskState is how far a task has come.
type TaskState int

// The states of a task, in the order in which a task goes through them.
const (
	// Queued tasks have been sent nowhere, or their placement was proved unused.
	Queued TaskState = iota
	// Placed tasks wait until the backup knows the placement.
	Placed
	// Starting tasks have been sent to their worker.
	Starting
	// Started tasks run, as their worker has said.
	Started
	// Doubtful tasks may or may not have started; their worker is being asked.
	Doubtful
	// Ended tasks have run, well or not.
	Ended
	// Lost tasks may have run, and nobody is left who can tell.
	Lost
)

// Task is one task of a job.
type Task struct {
	State   TaskState
	Attempt int
	// Worker and Lease are set from Placed on.
	Worker namer.Worker
	Lease  namer.Lease
	// Shown is set while a replication of the placement is on its way.
	Shown  bool
	OK     bool
	Output string
}

// Waiter is a call that waits for a terminal answer. Peer is empty for a call
// that this instance received itself.
type Waiter struct {
	Peer namer.Incarnation
	Call namer.Call
}

// Record is one submission at its runner or its backup.
type Record struct {
	ID     namer.ID
	Work   *coder.Work
	Digest string
	// Runner is the only instance that starts the submission's tasks.
	Runner namer.Incarnation
	// Backup is empty where the runner is alone and holds a claim instead.
	Backup namer.Incarnation
	// Held is set once the backup has acknowledged the submission, or the log
	// holds the runner's claim. Nothing starts before.
	Held bool
	// Claiming is set while the claim is on its way through the log.
	Claiming bool
	// Queued is set once the tasks have been queued.
	Queued bool
	// Offered is set once the backup may have taken the submission in, and
	// Copied once it has said so.
	Offered, Copied bool
	Tasks           []Task
	// Open counts the tasks that are neither Ended nor Lost.
	Open int
	// Final never changes once it is set. Callers hear it once Confirmed.
	Final     *coder.Answer
	Confirmed bool
	// Until is when the record is forgotten.
	Until   time.Time
	Waiters []Waiter
	// Racks counts the placements of the job by rack.
	Racks map[string]int
	// Dirty is set while the record is on the list for replication.
	Dirty bool
}

// AddWaiter notes that a call waits; one that asks again is noted once.
func (r *Record) AddWaiter(w Waiter) {
	for _, known := range r.Waiters {
		if known == w {
			return
		}
	}
	r.Waiters = append(r.Waiters, w)
}

// IsRequest reports whether the submission is a request to a service.
func (r *Record) IsRequest() bool { return r.Work.Service != "" }

// Settled reports whether nothing is left to do for the submission.
func (r *Record) Settled() bool { return r.Final != nil && r.Confirmed }

// Task returns the task at an index, or nil where there is none.
func (r *Record) Task(index int) *Task {
	if index < 0 || index >= len(r.Tasks) {
		return nil
	}
	return &r.Tasks[index]
}

// Outcomes lists what became of each task, as far as the runner knows.
func (r *Record) Outcomes() []coder.TaskOutcome {
	out := make([]coder.TaskOutcome, len(r.Tasks))
	for i := range r.Tasks {
		out[i] = r.Tasks[i].outcome(i)
	}
	return out
}

func (t *Task) outcome(index int) coder.TaskOutcome {
	o := coder.TaskOutcome{Index: index, Ran: coder.RanUnknown}
	switch t.State {
	case Queued, Placed:
		o.Ran = coder.RanNo
	case Started:
		o.Ran = coder.RanYes
	case Ended:
		o.Ran = coder.RanYes
		o.OK = t.OK
		o.Output = t.Output
	case Starting, Doubtful, Lost:
	}
	return o
}

// Ran sums up the truth over all tasks: no where none has run, yes where one
// has, and else unknown.
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

// Table holds the records by id, and the directory of submissions that other
// members run.
type Table struct {
	records map[namer.ID]*Record
	// live holds those of records that are not settled.
	live map[namer.ID]*Record
	// known never holds an id that records holds.
	known map[namer.ID]coder.Known
}

// New returns an empty table.
func New() *Table {
	return &Table{
		records: make(map[namer.ID]*Record),
		live:    make(map[namer.ID]*Record),
		known:   make(map[namer.ID]coder.Known),
	}
}

// Get returns the record of a submission, or nil.
func (t *Table) Get(id namer.ID) *Record { return t.records[id] }

// Add puts a record into the table and takes its id out of the directory.
func (t *Table) Add(r *Record) {
	t.records[r.ID] = r
	delete(t.known, r.ID)
	if !r.Settled() {
		t.live[r.ID] = r
	}
}

// Settle notes that nothing is left to do for a record, and drops what is not
// needed any more to tell its answer again.
func (t *Table) Settle(r *Record) {
	r.Confirmed = true
	delete(t.live, r.ID)
	r.Tasks = nil
	r.Racks = nil
	r.Work = &coder.Work{
		Submission: r.Work.Submission, Kind: r.Work.Kind,
		Service: r.Work.Service, Deadline: r.Work.Deadline,
	}
}

// EachLive calls f with each record that is not settled, in no order.
func (t *Table) EachLive(f func(*Record)) {
	for _, r := range t.live {
		f(r)
	}
}

// Learn notes that another member runs a submission.
func (t *Table) Learn(k coder.Known) {
	if _, own := t.records[k.ID]; own {
		return
	}
	t.known[k.ID] = k
}

// Known returns the directory's line on a submission.
func (t *Table) Known(id namer.ID) (coder.Known, bool) {
	k, found := t.known[id]
	return k, found
}

// Each calls f with each record, in no order.
func (t *Table) Each(f func(*Record)) {
	for _, r := range t.records {
		f(r)
	}
}

// EachKnown calls f with a directory line for each submission in the table,
// its own records included.
func (t *Table) EachKnown(f func(coder.Known)) {
	for _, r := range t.records {
		f(coder.Known{ID: r.ID, Digest: r.Digest, Runner: r.Runner, Backup: r.Backup, Until: r.Until})
	}
	for _, k := range t.known {
		f(k)
	}
}

// Len returns the number of records and of directory lines.
func (t *Table) Len() (records, known int) { return len(t.records), len(t.known) }

// Expire forgets what is past its time. A record is kept while it has work
// left.
func (t *Table) Expire(now time.Time) {
	for id, r := range t.records {
		if r.Settled() && now.After(r.Until) {
			delete(t.records, id)
		}
	}
	for id, k := range t.known {
		if now.After(k.Until) {
			delete(t.known, id)
		}
	}
}

// Drop takes a record out of the table at once.
func (t *Table) Drop(id namer.ID) {
	delete(t.records, id)
	delete(t.live, id)
}

// Sort puts records into the order of their ids, so that what is done to them
// in turn is the same in every run.
func Sort(records []*Record) {
	sort.Slice(records, func(i, j int) bool { return records[i].ID < records[j].ID })
}

// Idle reports whether every record is settled.
func (t *Table) Idle() bool { return len(t.live) == 0 }
