package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/heatherslip/heatherslip/internal/core/admitter"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// JobSpec is a submitted job, with the settings of its route.
type JobSpec struct {
	Name    namer.JobName
	Kind    namer.Kind
	Service namer.Service
	// Priority is 0 for the most urgent kind.
	Priority int
	// MaxAttempts is the number of failed runs after which a task fails.
	MaxAttempts int
	// ObjectiveFactor is multiplied by the length of the critical path to get the
	// response time objective.
	ObjectiveFactor float64
	// ObjectiveBase is added to that product.
	ObjectiveBase time.Duration
	// CallerTimeout is how long the caller waits for the result.
	CallerTimeout time.Duration
	// ShutdownIn is the time until this instance shuts down; zero if it is not
	// shutting down.
	ShutdownIn time.Duration
	// Waited is how long the call has waited for the configuration.
	Waited time.Duration
	// Unguarded is set if the workers of the service do not check their capacity.
	Unguarded bool
	Payload   string
	Steps     []StepSpec
}

// StepSpec is a group of identical tasks.
type StepSpec struct {
	Count int
	Size  Resources
	// EstimatedRunTime is the estimated run time of a task; zero if unknown.
	EstimatedRunTime time.Duration
	// DependsOn lists the earlier steps whose tasks must all have succeeded.
	DependsOn []int
	// RequiredLabel is a label that the worker must have; empty if any will do.
	RequiredLabel string
	// DataRack is the label of the workers near the data; empty if all are.
	DataRack string
	// MaxPerWorker limits the tasks of the step on one worker; zero means no
	// limit.
	MaxPerWorker int

	// minRunTime and maxRunTime cover the tasks that have succeeded, apart from the
	// speed of their workers; zero before the first one.
	minRunTime, maxRunTime time.Duration
}

type taskState int

const (
	// taskWaiting means that the task has no run.
	taskWaiting taskState = iota
	// taskStarting means that a start was sent and not confirmed yet.
	taskStarting
	// taskRunning means that the worker has confirmed the run.
	taskRunning
	// taskDone means that the task has succeeded.
	taskDone
)

// task is a task of an open job.
type task struct {
	job  *job
	id   namer.TaskName
	step *StepSpec
	// state is taskStarting or taskRunning if and only if run is not nil.
	state taskState
	// requestedOwners are the peers that were asked for a reservation, and
	// requestedRun the run number to start under once one is granted.
	requestedOwners []*peer
	requestedRun    namer.RunID
	requestedAt     time.Time
	// requestedUrgency is the urgency sent with the last requests.
	requestedUrgency urgencyClass
	// awaitingAdvertiser is set while an owner that advertised free slots has
	// not responded.
	awaitingAdvertiser bool
	// rackUntil is until when the task gets capacity only in its data's rack; zero before
	// it waits for the first time. rackRefusals counts the owners that had none there.
	rackUntil    time.Time
	rackRefusals int
	// queuedOwners counts the requested owners that have no free capacity, and roomAt is
	// the earliest time at which one of them expects some.
	queuedOwners int
	roomAt       time.Time
	run          *run
	failures     int
}

// job is an open job.
type job struct {
	JobSpec
	// calls are the waiting callers; an open job has at least one.
	calls     []namer.CallID
	arrivedAt time.Time
	// The result meets the objective until objectiveAt and has some value until
	// usefulUntil; the caller waits until deadline.
	objectiveAt time.Time
	usefulUntil time.Time
	deadline    time.Time
	// startBy is when the job is refused if no task has started.
	startBy time.Time
	// flow is the share that the job belongs to, and sizeClass its class by its work.
	flow      *admitter.Flow
	sizeClass admitter.SizeClass
	// waitReported is set once the job's wait was logged.
	waitReported bool
	// predictedWait is the last prediction of the time until the first start; zero if
	// there was none.
	predictedWait time.Duration
	tasks         []*task
	// unfinishedTasks counts the tasks that have not succeeded.
	unfinishedTasks int
	// mayHaveRun is set once a run of one of the tasks was confirmed or ended, or
	// a start got no response.
	mayHaveRun bool
	// held is set if the job arrived while this instance was starting.
	held bool
	// placed is set once a task has been given capacity.
	placed bool
	// stoppedByPeers counts the runs that other instances have stopped.
	stoppedByPeers int
	closed         bool
}

// mayHaveStarted reports whether a start may have taken effect. Unlike mayHaveRun
// it counts starts that wait for their response, which may still reject them.
func (j *job) mayHaveStarted() bool {
	return j.mayHaveRun || slices.ContainsFunc(j.tasks, func(t *task) bool { return t.state == taskStarting })
}

func (j *job) waitingTasks() int {
	n := 0
	for _, t := range j.tasks {
		if t.state == taskWaiting {
			n++
		}
	}
	return n
}

// requestedOwnerCount returns the largest number of owners that were asked for
// a reservation for one of the tasks.
func (j *job) requestedOwnerCount() int {
	most := 0
	for _, t := range j.tasks {
		most = max(most, len(t.requestedOwners))
	}
	return most
}

// isReady reports whether the steps that a task depends on are done.
func (j *job) isReady(t *task) bool {
	for _, dependency := range t.step.DependsOn {
		for _, other := range j.tasks {
			if other.id.Step == dependency && other.state != taskDone {
				return false
			}
		}
	}
	return true
}

// observeRunTime records the run time of a task that has succeeded, apart from the
// speed of its worker, which must not extend the objective. In a job of
// one step it extends the objective if the task took longer than estimated,
// because the actual run time predicts the rest of the step better.
func (j *job) observeRunTime(step *StepSpec, actual time.Duration) {
	if step.minRunTime == 0 || actual < step.minRunTime {
		step.minRunTime = actual
	}
	step.maxRunTime = max(step.maxRunTime, actual)
	if len(j.Steps) > 1 {
		return
	}
	objective := time.Duration(j.ObjectiveFactor*float64(step.maxRunTime)) + j.ObjectiveBase
	if extended := j.arrivedAt.Add(objective); extended.After(j.objectiveAt) {
		j.objectiveAt = extended
		j.usefulUntil = j.arrivedAt.Add(time.Duration(usefulFactor * float64(objective)))
	}
}

// criticalPath returns the length of the longest chain of dependent steps, by
// their estimates times runTimeRatio.
func (j *job) criticalPath(runTimeRatio float64) time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(j.Steps))
	for i := range j.Steps {
		start := time.Duration(0)
		for _, dependency := range j.Steps[i].DependsOn {
			start = max(start, ends[dependency])
		}
		ends[i] = start + time.Duration(math.Round(runTimeRatio*float64(j.Steps[i].EstimatedRunTime)))
		longest = max(longest, ends[i])
	}
	return longest
}
