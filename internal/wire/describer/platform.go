// Package describer describes the interfaces of the platform and the services
// as they are spoken over HTTP and JSON: the log, the list, workers and minions.
// docs/PLATFORM.md says what is assumed of each.
package describer

import "time"

// LogEntry is one record of the log.
type LogEntry struct {
	Offset uint64    `json:"offset"`
	Data   []byte    `json:"data"`
	At     time.Time `json:"at"`
}

// TaskKey identifies a task on a worker.
type TaskKey struct {
	ID    string `json:"id"`
	Index int    `json:"index"`
}

// Room is what a worker or a task has of each resource.
type Room struct {
	Cores        int `json:"cores"`
	Memory       int `json:"memory"`
	Accelerators int `json:"accelerators"`
}

// StartOne is a task to start.
type StartOne struct {
	TaskKey
	Room
	Payload string `json:"payload,omitempty"`
}

// Verdict is what a worker says of a start.
type Verdict string

// End is how a task ended.
type End struct {
	TaskKey
	OK         bool   `json:"ok"`
	Output     string `json:"output,omitempty"`
	TookMillis int    `json:"took_ms"`
}

// Seen is what a worker knows of a task.
type Seen struct {
	TaskKey
	Seen    bool   `json:"seen"`
	Running bool   `json:"running"`
	Dropped bool   `json:"dropped"`
	OK      bool   `json:"ok"`
	Output  string `json:"output,omitempty"`
}

// List is what the platform tells about its instances.
type List struct {
	Instances []ListInstance `json:"instances"`
	Workers   []ListWorker   `json:"workers"`
	Minions   []ListMinion   `json:"minions"`
}

// ListInstance is an entry instance.
type ListInstance struct {
	Name    string `json:"name"`
	Peer    string `json:"peer"`
	Leaving bool   `json:"leaving"`
}

// ListWorker is a worker.
type ListWorker struct {
	Name    string `json:"name"`
	Addr    string `json:"addr"`
	Domain  string `json:"domain"`
	Rack    string `json:"rack"`
	Total   Room   `json:"total"`
	Leaving bool   `json:"leaving"`
}

// ListMinion is a minion.
type ListMinion struct {
	Name        string `json:"name"`
	Addr        string `json:"addr"`
	Service     string `json:"service"`
	Domain      string `json:"domain"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Leaving     bool   `json:"leaving"`
}

// AppendBody is the body of an append, and ReadBody that of a read.
type AppendBody struct {
	Records [][]byte `json:"records"`
}

// AppendAnswer tells the offset of the first record of a batch.
type AppendAnswer struct {
	First uint64 `json:"first"`
}

// ReadBody is what a read of the log returns.
type ReadBody struct {
	Entries []LogEntry `json:"entries"`
}

// LeaseBody asks for a lease, and LeaseAnswer grants it.
type LeaseBody struct {
	Holder string `json:"holder"`
}

// LeaseAnswer is a lease with what the worker has free.
type LeaseAnswer struct {
	Lease     string `json:"lease"`
	TTLMillis int    `json:"ttl_ms"`
	Free      Room   `json:"free"`
}

// StartBody starts tasks, and StartAnswer tells which were taken.
type StartBody struct {
	Lease string     `json:"lease"`
	Tasks []StartOne `json:"tasks"`
}

// StartAnswer holds a verdict for each task of a StartBody.
type StartAnswer struct {
	Verdicts []Verdict `json:"verdicts"`
	Free     Room      `json:"free"`
}

// EndsBody asks how the tasks of a lease ended, from a count on, and renews
// the lease.
type EndsBody struct {
	Lease      string `json:"lease"`
	After      int    `json:"after"`
	WaitMillis int    `json:"wait_ms"`
}

// EndsAnswer answers an EndsBody. Over is set where the lease is over.
type EndsAnswer struct {
	Over bool  `json:"over,omitempty"`
	Ends []End `json:"ends"`
	Free Room  `json:"free"`
}

// FenceBody ends a lease, or all of a holder's, and asks about tasks.
type FenceBody struct {
	Holder string    `json:"holder,omitempty"`
	Lease  string    `json:"lease,omitempty"`
	Tasks  []TaskKey `json:"tasks"`
}

// FenceAnswer tells what the worker knows of the tasks.
type FenceAnswer struct {
	Tasks []Seen `json:"tasks"`
}

// TasksBody names tasks to adopt under a lease, or to stop.
type TasksBody struct {
	Lease string    `json:"lease,omitempty"`
	Tasks []TaskKey `json:"tasks"`
}

// RequestBody is a request to a minion. Unrepeatable requests carry an id.
type RequestBody struct {
	ID      string `json:"id,omitempty"`
	Payload string `json:"payload"`
}

// RequestAnswer is a minion's answer. Refused says that nothing was run.
type RequestAnswer struct {
	Refused bool   `json:"refused,omitempty"`
	OK      bool   `json:"ok"`
	Output  string `json:"output,omitempty"`
}

// Fits reports whether there is enough of each resource in another.
func (r Room) Fits(in Room) bool {
	return r.Cores <= in.Cores && r.Memory <= in.Memory && r.Accelerators <= in.Accelerators
}

// Minus returns what is left without another.
func (r Room) Minus(o Room) Room {
	return Room{r.Cores - o.Cores, r.Memory - o.Memory, r.Accelerators - o.Accelerators}
}

// Plus returns the sum with another.
func (r Room) Plus(o Room) Room {
	return Room{r.Cores + o.Cores, r.Memory + o.Memory, r.Accelerators + o.Accelerators}
}

// The verdicts.
const (
	VerdictTaken Verdict = "taken"
	VerdictFull  Verdict = "full"
	VerdictVoid  Verdict = "void"
)
