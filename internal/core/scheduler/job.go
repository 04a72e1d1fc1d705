package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Size is what a task needs or a worker has of each resource.
type Size struct {
	Cores        namer.MilliCores
	Memory       namer.Megabytes
	Accelerators namer.Accelerators
}

func (s Size) fits(in Size) bool {
	return s.Cores <= in.Cores && s.Memory <= in.Memory && s.Accelerators <= in.Accelerators
}

func (s Size) plus(o Size) Size {
	return Size{s.Cores + o.Cores, s.Memory + o.Memory, s.Accelerators + o.Accelerators}
}

func (s Size) minus(o Size) Size {
	return Size{s.Cores - o.Cores, s.Memory - o.Memory, s.Accelerators - o.Accelerators}
}

// JobSpec is a job as its caller asked for it, with the terms of its route.
type JobSpec struct {
	Name    namer.JobName
	Kind    namer.Kind
	Service namer.Service
	// Priority is 0 for the most urgent kind.
	Priority int
	// MaxAttempts is how many runs of a task may fail.
	MaxAttempts int
	// Stretch times the longest chain of work, and Target on top, is the
	// response time that the job asks for.
	Stretch float64
	Target  time.Duration
	// Patience is how long the caller waits.
	Patience time.Duration
	// Left is how long this instance goes on; zero while it does not end.
	Left    time.Duration
	Payload string
	Steps   []StepSpec
}

// StepSpec is a group of like tasks.
type StepSpec struct {
	Count int
	Size  Size
	// Estimate is the declared run time of a task.
	Estimate time.Duration
	// After lists the earlier steps whose tasks must all have ended well.
	After []int
	// Requires is a label that the worker must have; empty for any.
	Requires string
	// MaxPerWorker is how many of the step's tasks one worker may run; zero
	// is any number.
	MaxPerWorker int

	// shortest and longest are the run times of tasks that have ended; zero
	// until one has.
	shortest, longest time.Duration
}

type taskState int

const (
	// taskWaiting has no run.
	taskWaiting taskState = iota
	// taskStarting has sent a start that is not answered yet.
	taskStarting
	// taskRunning has a run that the worker has confirmed.
	taskRunning
	// taskDone has ended well.
	taskDone
)

// task is a row of the table of tasks.
type task struct {
	job  *job
	name namer.RunningTask
	step *StepSpec
	// state is taskStarting or taskRunning exactly where run is not nil.
	state taskState
	// asked are the homes that have been asked for a place; the run is to start
	// under askedRun there.
	asked    []*peer
	askedRun namer.Run
	askedAt  time.Time
	// askedAs is the class that they were told.
	askedAs wantClass
	// askedOne is set while one home that says it has room may answer.
	askedOne bool
	run      *run
	failures int
}

// run is one start of a task. It outlives the task's interest in it until the
// worker has shown that it is over.
type run struct {
	name   namer.RunningTask
	number namer.Run
	worker *worker
	size   Size
	// task is nil once the run is no longer wanted.
	task *task
	// begun is when the answer to the start came.
	begun time.Time
	// confirmed is set once the worker has said that the run is there.
	confirmed bool
	// lost is set where the start had no answer, and the worker has not shown
	// the run since.
	lost   bool
	lostAt time.Time
	// stopping is set once a stop was decided; stopSent while one is under way.
	stopping bool
	stopSent bool
	stopAt   time.Time
	// provenAt is when the worker answered a stop; zero until then. From then
	// on the run does not start any more, and ends soon if it is there.
	provenAt time.Time
	// present is set where the worker's last list shows the run.
	present bool
	percent int
	// percentAt is when the worker told percent.
	percentAt time.Time
	// predicted is the run time expected when it was placed.
	predicted time.Duration
}

// job is a row of the table of jobs.
type job struct {
	JobSpec
	// calls are the callers that wait; there is always one.
	calls   []namer.Call
	arrived time.Time
	// objective, late and deadline are the points in time until which the
	// answer is in time, worth something, and waited for.
	objective time.Time
	late      time.Time
	deadline  time.Time
	// giveUp is when a job without a start is refused.
	giveUp time.Time
	tasks  []*task
	// left counts the tasks that have not ended well.
	left int
	// touched is set once a start of any of its tasks has been sent that may
	// have taken effect.
	touched bool
	// charged is set once the first of its tasks has found room.
	charged bool
	// takenOver counts the runs that another instance has stopped.
	takenOver int
	over      bool
}

// begun reports whether a start may have taken effect.
func (j *job) begun() bool {
	return j.touched || slices.ContainsFunc(j.tasks, func(t *task) bool { return t.state == taskStarting })
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

// homesAsked is the largest number of other homes asked for one of the tasks.
func (j *job) homesAsked() int {
	asked := 0
	for _, t := range j.tasks {
		asked = max(asked, len(t.asked))
	}
	return asked
}

// ready reports whether the steps that a task comes after have ended.
func (j *job) ready(t *task) bool {
	for _, before := range t.step.After {
		for _, o := range j.tasks {
			if o.name.Step == before && o.state != taskDone {
				return false
			}
		}
	}
	return true
}

// learn takes in the run time of a task that has ended: what the whole step
// takes is told better by it than by the declaration.
func (j *job) learn(st *StepSpec, took time.Duration) {
	if st.shortest == 0 || took < st.shortest {
		st.shortest = took
	}
	st.longest = max(st.longest, took)
	if len(j.Steps) > 1 {
		return
	}
	target := time.Duration(j.Stretch*float64(st.longest)) + j.Target
	if at := j.arrived.Add(target); at.After(j.objective) {
		j.objective = at
		j.late = j.arrived.Add(time.Duration(lateFactor * float64(target)))
	}
}

// chain returns the longest chain of work by the estimates, each scaled.
func (j *job) chain(ratio float64) time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(j.Steps))
	for i := range j.Steps {
		begin := time.Duration(0)
		for _, before := range j.Steps[i].After {
			begin = max(begin, ends[before])
		}
		ends[i] = begin + time.Duration(math.Round(ratio*float64(j.Steps[i].Estimate)))
		longest = max(longest, ends[i])
	}
	return longest
}
