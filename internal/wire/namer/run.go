package namer

// RunID identifies one start of a task. Its low bits hold the RunTag of the
// instance that started it; the other bits are a counter that increases with
// time.
type RunID int64

// RunTag identifies the instance that started a run.
type RunTag uint32

const (
	runTagBits = 18
	// MaxRunTag is the largest RunTag.
	MaxRunTag RunTag = 1<<runTagBits - 1
)

// NewRunID returns the id of a run from a counter that increases with time and the
// tag of the instance that starts the run.
func NewRunID(count int64, tag RunTag) RunID { return RunID(count<<runTagBits | int64(tag)) }

// Tag returns the tag of the instance that started the run.
func (r RunID) Tag() RunTag { return RunTag(r) & MaxRunTag }

// StartCount returns the counter in the run's id, which increases with time.
func (r RunID) StartCount() int64 { return int64(r) >> runTagBits }

// JobName is the name that the client chose for its job.
type JobName string

// TaskName identifies a task on workers. Two jobs of the same name have tasks
// of the same names. The names of its fields are map keys in the messages
// between instances.
type TaskName struct {
	Job JobName
	// Occurrence counts the executions of a periodic job, from 0.
	Occurrence int
	Step       int
	Index      int
}

// UnixMillis is a point in time in milliseconds since the Unix epoch.
type UnixMillis int64

// WorkerClockMillis is a reading of the monotonic clock of one incarnation of a
// worker, in milliseconds.
type WorkerClockMillis int64

// Fence orders the claims of instances on a worker: the worker ignores calls with a lower
// one than it has seen. It is unique like a RunID. Zero stands for no claim.
type Fence int64

// NewFence returns the fence of a claim from a counter that increases with time and the
// tag of the instance that claims.
func NewFence(count int64, tag RunTag) Fence { return Fence(NewRunID(count, tag)) }

// Count returns the counter in the fence, which increases with time.
func (f Fence) Count() int64 { return RunID(f).StartCount() }
