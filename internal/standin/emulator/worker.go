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
	// LeaseTTL is how long a lease lasts without renewal, judged by the worker.
	LeaseTTL = 3 * time.Second
	// orphanGrace is how long a task runs on after its lease has ended, for
	// another holder to adopt it.
	orphanGrace = 10 * time.Second
	// resultMemory is how long a worker tells how a task ended.
	resultMemory = 10 * time.Minute
	defaultRun   = 50 * time.Millisecond
)

// Worker is one worker of the platform. Methods take the time, so that tests
// run it without a clock. It is not safe for concurrent use.
type Worker struct {
	Name   string
	Domain string
	Rack   string
	Total  describer.Room
	Faults WorkerFaults
	// Counts are what has happened here.
	Counts WorkerCounts

	free   describer.Room
	next   int
	leases map[string]*workerLease
	tasks  map[describer.TaskKey]*workerTask
	// running lists the tasks that have not ended.
	running map[describer.TaskKey]*workerTask
}

// WorkerFaults are what a worker can be made to do.
type WorkerFaults struct {
	// Dead answers nothing.
	Dead bool `json:"dead"`
	// FailAll fails each task at once.
	FailAll bool `json:"fail_all"`
	// SlowFactor multiplies run times; zero means 1.
	SlowFactor int `json:"slow_factor"`
	// LoseStarts starts tasks and does not answer.
	LoseStarts bool `json:"lose_starts"`
	// Leaving is shown in the platform's list.
	Leaving bool `json:"leaving"`
}

// WorkerCounts counts what has happened on a worker.
type WorkerCounts struct {
	Starts  int `json:"starts"`
	Refused int `json:"refused"`
	// Calls counts the calls of each kind.
	StartCalls int `json:"start_calls"`
	EventCalls int `json:"event_calls"`
	LeaseCalls int `json:"lease_calls"`
	FenceCalls int `json:"fence_calls"`
}

type workerLease struct {
	holder string
	until  time.Time
	ended  bool
	// ends are the ends of the lease's tasks, in order.
	ends []describer.TaskKey
}

type workerTask struct {
	key     describer.TaskKey
	lease   string
	room    describer.Room
	began   time.Time
	ends    time.Time
	ended   bool
	ok      bool
	dropped bool
	output  string
	// orphaned is when the lease ended; zero while it lasts.
	orphaned time.Time
}

// NewWorker returns an idle worker.
func NewWorker(name, domain, rack string, total describer.Room) *Worker {
	return &Worker{
		Name: name, Domain: domain, Rack: rack, Total: total, free: total,
		leases:  make(map[string]*workerLease),
		tasks:   make(map[describer.TaskKey]*workerTask),
		running: make(map[describer.TaskKey]*workerTask),
	}
}

// Free returns the room that no running task takes.
func (w *Worker) Free() describer.Room { return w.free }

// Open grants a lease.
func (w *Worker) Open(now time.Time, holder string) string {
	w.Counts.LeaseCalls++
	w.next++
	id := fmt.Sprintf("%s-%s-%d", w.Name, strconv.FormatInt(now.UnixNano(), 36), w.next)
	w.leases[id] = &workerLease{holder: holder, until: now.Add(LeaseTTL)}
	return id
}

// Start starts what there is room for, under a lease that lasts. It does not
// look whether a task has started before.
func (w *Worker) Start(now time.Time, lease string, tasks []describer.StartOne) []describer.Verdict {
	w.Counts.StartCalls++
	w.Advance(now)
	out := make([]describer.Verdict, len(tasks))
	for i := range tasks {
		out[i] = w.startOne(now, lease, &tasks[i])
		if out[i] == describer.VerdictTaken {
			w.Counts.Starts++
		} else {
			w.Counts.Refused++
		}
	}
	return out
}

func (w *Worker) startOne(now time.Time, lease string, s *describer.StartOne) describer.Verdict {
	l, found := w.leases[lease]
	if !found || l.ended {
		return describer.VerdictVoid
	}
	if !s.Room.Fits(w.free) {
		return describer.VerdictFull
	}
	run, ok, output := w.plan(s.Payload)
	w.free = w.free.Minus(s.Room)
	t := &workerTask{key: s.TaskKey, lease: lease, room: s.Room, began: now, ends: now.Add(run), ok: ok, output: output}
	w.tasks[s.TaskKey] = t
	w.running[s.TaskKey] = t
	return describer.VerdictTaken
}

// plan reads how a task goes from its payload, for example "run=80ms fail".
func (w *Worker) plan(payload string) (run time.Duration, ok bool, output string) {
	run, ok, output = PlanOf(payload)
	if w.Faults.FailAll {
		return time.Millisecond, false, "worker fails everything"
	}
	if w.Faults.SlowFactor > 1 {
		run *= time.Duration(w.Faults.SlowFactor)
	}
	return run, ok, output
}

// PlanOf reads from a payload how long the work takes, whether it goes well,
// and what it puts out.
func PlanOf(payload string) (run time.Duration, ok bool, output string) {
	run, ok, output = defaultRun, true, "ok"
	for _, word := range strings.Fields(payload) {
		key, value, _ := strings.Cut(word, "=")
		switch key {
		case "run":
			if d, err := time.ParseDuration(value); err == nil {
				run = d
			}
		case "fail":
			ok, output = false, "failed as asked"
		case "out":
			output = value
		}
	}
	return run, ok, output
}

// Advance ends what has ended by now.
func (w *Worker) Advance(now time.Time) {
	for id, l := range w.leases {
		if !l.ended && now.After(l.until) {
			w.endLease(id, l, l.until)
		}
	}
	for key, t := range w.running {
		w.advanceTask(now, key, t)
	}
	w.forget(now)
}

func (w *Worker) advanceTask(now time.Time, key describer.TaskKey, t *workerTask) {
	if !t.orphaned.IsZero() {
		if limit := t.orphaned.Add(orphanGrace); limit.Before(t.ends) && !now.Before(limit) {
			t.dropped, t.ok, t.output = true, false, "lease ended"
			w.endTask(key, t)
			return
		}
	}
	if !now.Before(t.ends) {
		w.endTask(key, t)
	}
}

func (w *Worker) endTask(key describer.TaskKey, t *workerTask) {
	t.ended = true
	delete(w.running, key)
	w.free = w.free.Plus(t.room)
	if l := w.leases[t.lease]; l != nil {
		l.ends = append(l.ends, key)
	}
}

func (w *Worker) endLease(id string, l *workerLease, when time.Time) {
	l.ended = true
	for _, t := range w.running {
		if t.lease == id && t.orphaned.IsZero() {
			t.orphaned = when
		}
	}
}

// forget drops results that nobody has asked for in time.
func (w *Worker) forget(now time.Time) {
	if len(w.tasks) < 1<<14 {
		return
	}
	for key, t := range w.tasks {
		if t.ended && now.Sub(t.ends) > resultMemory {
			delete(w.tasks, key)
		}
	}
}

// Ends renews the lease and returns how its tasks ended, from a count on. The
// second result is false where the lease is over.
func (w *Worker) Ends(now time.Time, lease string, after int) ([]describer.End, bool) {
	w.Advance(now)
	l, found := w.leases[lease]
	if !found || l.ended {
		return nil, false
	}
	l.until = now.Add(LeaseTTL)
	var out []describer.End
	for ; after < len(l.ends); after++ {
		t := w.tasks[l.ends[after]]
		if t == nil {
			out = append(out, describer.End{TaskKey: l.ends[after]})
			continue
		}
		out = append(out, describer.End{TaskKey: t.key, OK: t.ok, Output: t.output, TookMillis: int(t.ends.Sub(t.began) / time.Millisecond)})
	}
	return out, true
}

// NextEnd returns when the next task ends, and false where none runs.
func (w *Worker) NextEnd() (time.Time, bool) {
	var next time.Time
	for _, t := range w.running {
		if next.IsZero() || t.ends.Before(next) {
			next = t.ends
		}
	}
	return next, !next.IsZero()
}

// Fence ends a lease, or all leases of a holder, and tells what is known of
// the tasks. No start under these leases is taken from then on.
func (w *Worker) Fence(now time.Time, holder, lease string, tasks []describer.TaskKey) []describer.Seen {
	w.Counts.FenceCalls++
	w.Advance(now)
	for id, l := range w.leases {
		if !l.ended && (id == lease || holder != "" && l.holder == holder) {
			w.endLease(id, l, now)
		}
	}
	out := make([]describer.Seen, len(tasks))
	for i, key := range tasks {
		out[i] = w.seen(key)
	}
	return out
}

func (w *Worker) seen(key describer.TaskKey) describer.Seen {
	t, found := w.tasks[key]
	if !found {
		return describer.Seen{TaskKey: key}
	}
	return describer.Seen{TaskKey: key, Seen: true, Running: !t.ended, Dropped: t.dropped, OK: t.ok, Output: t.output}
}

// Adopt moves tasks under a lease. Those that have ended meanwhile are told
// with the lease's ends.
func (w *Worker) Adopt(now time.Time, lease string, tasks []describer.TaskKey) bool {
	w.Advance(now)
	l, found := w.leases[lease]
	if !found || l.ended {
		return false
	}
	for _, key := range tasks {
		t, known := w.tasks[key]
		if !known {
			continue
		}
		t.lease = lease
		t.orphaned = time.Time{}
		if t.ended {
			l.ends = append(l.ends, key)
		}
	}
	return true
}

// Stop ends running tasks.
func (w *Worker) Stop(now time.Time, tasks []describer.TaskKey) {
	w.Advance(now)
	for _, key := range tasks {
		if t, running := w.running[key]; running {
			t.dropped, t.ok, t.output = true, false, "stopped"
			t.ends = now
			w.endTask(key, t)
		}
	}
}
