package emulator

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/describer"
)

// Times of the emulated worker.
const (
	// LeaseTTL is the time until an unrenewed lease expires, by the worker's clock.
	LeaseTTL = 3 * time.Second
	// orphanGracePeriod is how long a task keeps running after its lease has
	// ended, so that another holder can adopt it.
	orphanGracePeriod = 10 * time.Second
	// resultRetention is the minimum time that a worker keeps the result of a task.
	resultRetention = 10 * time.Minute
	defaultRunTime  = 50 * time.Millisecond
)

// Worker is a worker of the platform, which runs tasks under leases. Methods take
// the current time so that simulated time can drive it. Worker is not safe for
// concurrent use.
type Worker struct {
	Name     string
	Domain   string
	Rack     string
	Capacity describer.Room
	Faults   WorkerFaults
	Counts   WorkerCounts

	free          describer.Room
	leasesGranted int
	leases        map[string]*workerLease
	tasks         map[describer.TaskKey]*workerTask
	// running holds the tasks that have not ended.
	running map[describer.TaskKey]*workerTask
}

// WorkerFaults are the faults of a worker that can be injected.
type WorkerFaults struct {
	// Unreachable closes connections without an answer.
	Unreachable bool `json:"dead"`
	// FailAll makes each task fail after a millisecond.
	FailAll bool `json:"fail_all"`
	// SlowFactor multiplies run times; zero means 1.
	SlowFactor int `json:"slow_factor"`
	// DropStartAnswers starts tasks and closes the connection without an answer.
	DropStartAnswers bool `json:"lose_starts"`
	// Draining marks the worker as draining in the platform's list.
	Draining bool `json:"leaving"`
}

// WorkerCounts counts task starts and calls on a worker.
type WorkerCounts struct {
	Starts        int `json:"starts"`
	RefusedStarts int `json:"refused"`
	// The others are the numbers of calls, by kind.
	StartCalls int `json:"start_calls"`
	EndsCalls  int `json:"event_calls"`
	LeaseCalls int `json:"lease_calls"`
	FenceCalls int `json:"fence_calls"`
}

// workerLease is a lease that was granted on a worker.
type workerLease struct {
	holder    string
	expiresAt time.Time
	ended     bool // by expiry or fencing
	// endedTasks lists the lease's ended tasks in the order in which they ended.
	endedTasks []describer.TaskKey
}

// workerTask is a task that was started on a worker. Its result is determined when
// it starts.
type workerTask struct {
	key       describer.TaskKey
	lease     string
	resources describer.Room
	startedAt time.Time
	endsAt    time.Time
	ended     bool
	ok        bool
	killed    bool
	output    string
	// orphanedAt is when the lease ended; zero while it is active.
	orphanedAt time.Time
}

// NewWorker returns an idle worker.
func NewWorker(name, domain, rack string, capacity describer.Room) *Worker {
	return &Worker{
		Name: name, Domain: domain, Rack: rack, Capacity: capacity, free: capacity,
		leases:  make(map[string]*workerLease),
		tasks:   make(map[describer.TaskKey]*workerTask),
		running: make(map[describer.TaskKey]*workerTask),
	}
}

// Restart ends the worker and starts it again under the same name. It has forgotten its
// leases and tasks.
func (w *Worker) Restart() {
	w.free = w.Capacity
	w.leases = make(map[string]*workerLease)
	w.tasks = make(map[describer.TaskKey]*workerTask)
	w.running = make(map[describer.TaskKey]*workerTask)
}

// FreeCapacity returns the capacity that no running task uses.
func (w *Worker) FreeCapacity() describer.Room { return w.free }

// GrantLease grants a lease to holder and returns its id.
func (w *Worker) GrantLease(now time.Time, holder string) string {
	w.Counts.LeaseCalls++
	w.leasesGranted++
	id := fmt.Sprintf("%s-%s-%d", w.Name, strconv.FormatInt(now.UnixNano(), 36), w.leasesGranted)
	w.leases[id] = &workerLease{holder: holder, expiresAt: now.Add(LeaseTTL)}
	return id
}

// StartTasks starts tasks under an active lease as far as the free capacity allows.
// It does not check whether a task was started before.
func (w *Worker) StartTasks(now time.Time, lease string, tasks []describer.StartOne) []describer.StartStatus {
	w.Counts.StartCalls++
	w.AdvanceTo(now)
	statuses := make([]describer.StartStatus, len(tasks))
	for i := range tasks {
		statuses[i] = w.startTask(now, lease, &tasks[i])
		if statuses[i] == describer.StartAccepted {
			w.Counts.Starts++
		} else {
			w.Counts.RefusedStarts++
		}
	}
	return statuses
}

func (w *Worker) startTask(now time.Time, lease string, spec *describer.StartOne) describer.StartStatus {
	l, found := w.leases[lease]
	if !found || l.ended {
		return describer.StartLeaseExpired
	}
	if !spec.Room.FitsIn(w.free) {
		return describer.StartNoCapacity
	}
	runTime, ok, output := w.planTask(spec.Payload)
	w.free = w.free.Sub(spec.Room)
	t := &workerTask{key: spec.TaskKey, lease: lease, resources: spec.Room, startedAt: now, endsAt: now.Add(runTime), ok: ok, output: output}
	w.tasks[spec.TaskKey] = t
	w.running[spec.TaskKey] = t
	return describer.StartAccepted
}

// planTask returns the run time and the result of a task, as its payload, for
// example "run=80ms fail", and the worker's faults determine them.
func (w *Worker) planTask(payload string) (runTime time.Duration, ok bool, output string) {
	runTime, ok, output = ParsePayload(payload)
	if w.Faults.FailAll {
		return time.Millisecond, false, "worker fails everything"
	}
	if w.Faults.SlowFactor > 1 {
		runTime *= time.Duration(w.Faults.SlowFactor)
	}
	return runTime, ok, output
}

// ParsePayload returns the run time, success and output that a payload asks for.
func ParsePayload(payload string) (runTime time.Duration, ok bool, output string) {
	runTime, ok, output = defaultRunTime, true, "ok"
	for _, field := range strings.Fields(payload) {
		key, value, _ := strings.Cut(field, "=")
		switch key {
		case "run":
			if duration, err := time.ParseDuration(value); err == nil {
				runTime = duration
			}
		case "fail":
			ok, output = false, "failed as asked"
		case "out":
			output = value
		}
	}
	return runTime, ok, output
}

// AdvanceTo expires leases and ends tasks that are due by now.
func (w *Worker) AdvanceTo(now time.Time) {
	for id, l := range w.leases {
		if !l.ended && now.After(l.expiresAt) {
			w.endLease(id, l, l.expiresAt)
		}
	}
	for key, t := range w.running {
		w.advanceTask(now, key, t)
	}
	w.pruneResults(now)
}

// advanceTask ends a task that has run for its time, or that has been orphaned for
// longer than orphanGracePeriod.
func (w *Worker) advanceTask(now time.Time, key describer.TaskKey, t *workerTask) {
	if !t.orphanedAt.IsZero() {
		if killAt := t.orphanedAt.Add(orphanGracePeriod); killAt.Before(t.endsAt) && !now.Before(killAt) {
			t.killed, t.ok, t.output = true, false, "lease ended"
			w.endTask(key, t)
			return
		}
	}
	if !now.Before(t.endsAt) {
		w.endTask(key, t)
	}
}

// endTask frees the task's resources and adds it to the ended tasks of its lease.
func (w *Worker) endTask(key describer.TaskKey, t *workerTask) {
	t.ended = true
	delete(w.running, key)
	w.free = w.free.Add(t.resources)
	if l := w.leases[t.lease]; l != nil {
		l.endedTasks = append(l.endedTasks, key)
	}
}

// endLease ends a lease and marks its running tasks as orphaned.
func (w *Worker) endLease(id string, l *workerLease, endedAt time.Time) {
	l.ended = true
	for _, t := range w.running {
		if t.lease == id && t.orphanedAt.IsZero() {
			t.orphanedAt = endedAt
		}
	}
}

// pruneResults removes results older than resultRetention, but only once many
// tasks are stored.
func (w *Worker) pruneResults(now time.Time) {
	if len(w.tasks) < 1<<14 {
		return
	}
	for key, t := range w.tasks {
		if t.ended && now.Sub(t.endsAt) > resultRetention {
			delete(w.tasks, key)
		}
	}
}

// CollectResults renews the lease and returns the results of its ended tasks, starting
// with the one at index next. It returns false if the lease has ended.
func (w *Worker) CollectResults(now time.Time, lease string, next int) ([]describer.TaskResult, bool) {
	w.AdvanceTo(now)
	l, found := w.leases[lease]
	if !found || l.ended {
		return nil, false
	}
	l.expiresAt = now.Add(LeaseTTL)
	var results []describer.TaskResult
	for ; next < len(l.endedTasks); next++ {
		t := w.tasks[l.endedTasks[next]]
		if t == nil {
			results = append(results, describer.TaskResult{TaskKey: l.endedTasks[next]})
			continue
		}
		results = append(results, describer.TaskResult{TaskKey: t.key, OK: t.ok, Output: t.output, RunTimeMillis: int(t.endsAt.Sub(t.startedAt) / time.Millisecond)})
	}
	return results, true
}

// NextTaskEnd returns when the next running task ends, or false if none is running.
func (w *Worker) NextTaskEnd() (time.Time, bool) {
	var next time.Time
	for _, t := range w.running {
		if next.IsZero() || t.endsAt.Before(next) {
			next = t.endsAt
		}
	}
	return next, !next.IsZero()
}

// FenceLeases ends the given lease, and all leases of holder unless holder is empty.
// The worker accepts no further starts under these leases. FenceLeases returns the
// states of the given tasks.
func (w *Worker) FenceLeases(now time.Time, holder, lease string, tasks []describer.TaskKey) []describer.TaskState {
	w.Counts.FenceCalls++
	w.AdvanceTo(now)
	for id, l := range w.leases {
		if !l.ended && (id == lease || holder != "" && l.holder == holder) {
			w.endLease(id, l, now)
		}
	}
	states := make([]describer.TaskState, len(tasks))
	for i, key := range tasks {
		states[i] = w.taskState(key)
	}
	return states
}

// KnowsLease reports whether the worker has granted a lease since its start.
func (w *Worker) KnowsLease(lease string) bool { return w.leases[lease] != nil }

// taskState returns the state of a task, also of one that was never started here.
func (w *Worker) taskState(key describer.TaskKey) describer.TaskState {
	t, found := w.tasks[key]
	if !found {
		return describer.TaskState{TaskKey: key}
	}
	return describer.TaskState{TaskKey: key, Started: true, Running: !t.ended, Killed: t.killed, OK: t.ok, Output: t.output}
}

// AdoptTasks moves tasks to another lease and reports whether that lease is active.
// Results of tasks that have already ended are returned with those of the lease.
func (w *Worker) AdoptTasks(now time.Time, lease string, tasks []describer.TaskKey) bool {
	w.AdvanceTo(now)
	l, found := w.leases[lease]
	if !found || l.ended {
		return false
	}
	for _, key := range tasks {
		t, started := w.tasks[key]
		if !started {
			continue
		}
		t.lease = lease
		t.orphanedAt = time.Time{}
		if t.ended {
			l.endedTasks = append(l.endedTasks, key)
		}
	}
	return true
}

// StopTasks kills the given tasks if they are running.
func (w *Worker) StopTasks(now time.Time, tasks []describer.TaskKey) {
	w.AdvanceTo(now)
	for _, key := range tasks {
		if t, running := w.running[key]; running {
			t.killed, t.ok, t.output = true, false, "stopped"
			t.endsAt = now
			w.endTask(key, t)
		}
	}
}
