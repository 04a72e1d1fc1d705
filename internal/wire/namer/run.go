package namer

// JobName is the name that a client chose for its job.
type JobName string

// RunningTask names a task as workers know it. Two jobs with one name have
// tasks of the same names.
type RunningTask struct {
	Job JobName
	// Occurrence numbers the times that a timed job runs, from 0.
	Occurrence int
	Step       int
	Index      int
}

// Run numbers the starts of a task. Its low bits hold the RunTag of the
// instance that started it, the others rise with time.
type Run int64

// RunTag tells instances apart by the runs that they have started.
type RunTag uint32

const (
	tagBits = 18
	// MaxRunTag is the largest tag.
	MaxRunTag RunTag = 1<<tagBits - 1
)

// NewRun makes a run number from a count that rises with time, and the tag of
// the instance that starts the run.
func NewRun(count int64, tag RunTag) Run { return Run(count<<tagBits | int64(tag)) }

// Tag returns the tag of the instance that started the run.
func (r Run) Tag() RunTag { return RunTag(r) & MaxRunTag }

// Count returns the part of the run's number that rises with time.
func (r Run) Count() int64 { return int64(r) >> tagBits }

// UnixMillis is a point in time, in milliseconds since 1970.
type UnixMillis int64

// WorkerMillis is a point in time on the steady clock of one incarnation of a
// worker, in milliseconds.
type WorkerMillis int64
