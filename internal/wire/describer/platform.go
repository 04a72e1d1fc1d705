// Package describer defines the JSON bodies of the HTTP interfaces of the
// platform and its services: the log, the list of instances, workers and
// minions, the workers, and the minions. docs/PLATFORM.md states the assumptions
// about each.
//
// The names of the request types are part of the interface: encoding/json prints
// them in its decoding errors, which servers send to callers.
package describer

import "time"

// LogEntry is one record of the log with its offset and the time of its append.
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

// Room is an amount of each resource: milli-cores, memory in units of 2^20 bytes,
// and whole accelerators. It is the capacity or the free capacity of a worker, or
// what a task needs.
type Room struct {
	Cores        int `json:"cores"`
	Memory       int `json:"memory"`
	Accelerators int `json:"accelerators"`
}

// FitsIn reports whether r is at most free in each resource.
func (r Room) FitsIn(free Room) bool {
	return r.Cores <= free.Cores && r.Memory <= free.Memory && r.Accelerators <= free.Accelerators
}

// Sub returns the difference r - o in each resource.
func (r Room) Sub(o Room) Room {
	return Room{r.Cores - o.Cores, r.Memory - o.Memory, r.Accelerators - o.Accelerators}
}

// Add returns the sum r + o in each resource.
func (r Room) Add(o Room) Room {
	return Room{r.Cores + o.Cores, r.Memory + o.Memory, r.Accelerators + o.Accelerators}
}

// StartOne is a task to start, with the resources that it needs.
type StartOne struct {
	TaskKey
	Room
	Payload string `json:"payload,omitempty"`
}

// StartStatus is a worker's response to the start of one task.
type StartStatus string

// Responses to a start.
const (
	StartAccepted StartStatus = "taken"
	// StartNoCapacity means that the free capacity is too small for the task.
	StartNoCapacity StartStatus = "full"
	// StartLeaseExpired means that the lease has ended or is unknown.
	StartLeaseExpired StartStatus = "void"
)

// TaskResult is the result of a task that has ended.
type TaskResult struct {
	TaskKey
	OK            bool   `json:"ok"`
	Output        string `json:"output,omitempty"`
	RunTimeMillis int    `json:"took_ms"`
}

// TaskState is the state of a task on a worker. Started is set if the worker has
// started the task, Killed if the worker has ended it early.
type TaskState struct {
	TaskKey
	Started bool   `json:"seen"`
	Running bool   `json:"running"`
	Killed  bool   `json:"dropped"`
	OK      bool   `json:"ok"`
	Output  string `json:"output,omitempty"`
}

// List is the platform's list of entry instances, workers and minions.
type List struct {
	Instances []ListInstance `json:"instances"`
	Workers   []ListWorker   `json:"workers"`
	Minions   []ListMinion   `json:"minions"`
}

// ListInstance is an entry instance in a List.
type ListInstance struct {
	Name        string `json:"name"`
	PeerAddress string `json:"peer"`
	Draining    bool   `json:"leaving"`
}

// ListWorker is a worker in a List.
type ListWorker struct {
	Name     string `json:"name"`
	Addr     string `json:"addr"`
	Domain   string `json:"domain"`
	Rack     string `json:"rack"`
	Capacity Room   `json:"total"`
	Draining bool   `json:"leaving"`
}

// ListMinion is a minion in a List.
type ListMinion struct {
	Name        string `json:"name"`
	Addr        string `json:"addr"`
	Service     string `json:"service"`
	Domain      string `json:"domain"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Draining    bool   `json:"leaving"`
}

// AppendBody is the request body of an append to the log.
type AppendBody struct {
	Records [][]byte `json:"records"`
}

// AppendAnswer is the response to an append: the offset of the first record that
// was appended.
type AppendAnswer struct {
	FirstOffset uint64 `json:"first"`
}

// ReadBody is the response to a read of the log.
type ReadBody struct {
	Entries []LogEntry `json:"entries"`
}

// LeaseBody is the request body for a lease.
type LeaseBody struct {
	Holder string `json:"holder"`
}

// LeaseAnswer is a granted lease, its time to live in milliseconds, and the
// worker's free capacity.
type LeaseAnswer struct {
	Lease     string `json:"lease"`
	TTLMillis int    `json:"ttl_ms"`
	Free      Room   `json:"free"`
}

// StartBody is the request body that starts tasks under a lease.
type StartBody struct {
	Lease string     `json:"lease"`
	Tasks []StartOne `json:"tasks"`
}

// StartAnswer is the response to a StartBody, with one status for each task in
// the order of the request.
type StartAnswer struct {
	Statuses []StartStatus `json:"verdicts"`
	Free     Room          `json:"free"`
}

// EndsBody is the body of a long poll for the results of a lease's tasks. It also
// renews the lease. ReceivedCount is the number of results that the caller has
// received so far, WaitMillis the time to wait for further ones.
type EndsBody struct {
	Lease         string `json:"lease"`
	ReceivedCount int    `json:"after"`
	WaitMillis    int    `json:"wait_ms"`
}

// EndsAnswer is the response to an EndsBody. LeaseEnded is set if the lease has
// ended.
type EndsAnswer struct {
	LeaseEnded bool         `json:"over,omitempty"`
	Results    []TaskResult `json:"ends"`
	Free       Room         `json:"free"`
}

// FenceBody is the request body that ends a lease, or all leases of a holder, and
// asks for the state of tasks.
type FenceBody struct {
	Holder string    `json:"holder,omitempty"`
	Lease  string    `json:"lease,omitempty"`
	Tasks  []TaskKey `json:"tasks"`
}

// FenceAnswer is the response to a FenceBody, with the state of each task.
type FenceAnswer struct {
	Tasks []TaskState `json:"tasks"`
	// Unknown is set if the worker does not know the lease, as after a restart. It then
	// does not know either which tasks it has started under it.
	Unknown bool `json:"unknown,omitempty"`
}

// TasksBody is the request body that lists tasks to adopt under a lease, or to
// stop.
type TasksBody struct {
	Lease string    `json:"lease,omitempty"`
	Tasks []TaskKey `json:"tasks"`
}

// RequestBody is a request to a minion. ID is set for unrepeatable requests only.
type RequestBody struct {
	ID      string `json:"id,omitempty"`
	Payload string `json:"payload"`
}

// RequestAnswer is a minion's response. If Refused is set, nothing was run.
type RequestAnswer struct {
	Refused bool   `json:"refused,omitempty"`
	OK      bool   `json:"ok"`
	Output  string `json:"output,omitempty"`
}
