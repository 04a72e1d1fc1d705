// Package crashcounter counts, for each task, the runs that were lost in a crash of
// their worker.
package crashcounter

import (
	"slices"
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

const (
	// retention is how long a crash is kept. Clients submit a job again within
	// seconds.
	retention = 2 * time.Minute
	// maxRuns bounds the table. The oldest crashes are dropped first.
	maxRuns = 4096
)

// Run is a run that was lost in a crash.
type Run struct {
	Task namer.TaskName
	ID   namer.RunID
}

// Table holds the runs that were lost. It is not safe for concurrent use.
type Table struct {
	// runs has each run once, the oldest first, and recordedAt the time of each.
	runs       []Run
	recordedAt []time.Time
	counts     map[namer.TaskName]int
	// evidence has that of each run.
	evidence map[Run]Evidence
}

// Evidence says how certain it is that a run was lost. A lower value is more certain.
type Evidence int

const (
	// Seen means that the run existed.
	Seen Evidence = iota
	// Likely means that the worker crashed at once when the run was started.
	Likely
	// Possible means that the worker crashed before it answered the start.
	Possible
)

// New returns an empty table.
func New() *Table {
	return &Table{counts: make(map[namer.TaskName]int), evidence: make(map[Run]Evidence)}
}

// Add records that a run was lost. It reports whether that is new.
func (t *Table) Add(now time.Time, r Run) bool {
	return t.AddWith(now, r, Seen)
}

// AddWith records that a run was lost, as far as the evidence says. It reports whether that
// is new, or more certain than before.
func (t *Table) AddWith(now time.Time, r Run, e Evidence) bool {
	t.Expire(now)
	if t.counts[r.Task] > 0 && slices.Contains(t.runs, r) {
		if e >= t.evidence[r] {
			return false
		}
		t.evidence[r] = e
		return true
	}
	if len(t.runs) >= maxRuns {
		t.removeAt(0)
	}
	t.runs = append(t.runs, r)
	t.recordedAt = append(t.recordedAt, now)
	t.counts[r.Task]++
	t.evidence[r] = e
	return true
}

// Remove withdraws a run, which was not lost. It reports whether it was recorded.
func (t *Table) Remove(r Run) bool {
	i := slices.Index(t.runs, r)
	if i < 0 {
		return false
	}
	t.removeAt(i)
	return true
}

// Count returns how many runs of a task were lost, on any evidence.
func (t *Table) Count(task namer.TaskName) int { return t.counts[task] }

// CountWith returns how many runs of a task were lost on this evidence.
func (t *Table) CountWith(task namer.TaskName, e Evidence) int {
	if t.counts[task] == 0 {
		return 0
	}
	n := 0
	for _, r := range t.runs {
		if r.Task == task && t.evidence[r] == e {
			n++
		}
	}
	return n
}

// EvidenceOf returns the evidence of a run that was lost.
func (t *Table) EvidenceOf(r Run) Evidence { return t.evidence[r] }

// Runs returns the runs that were lost, the oldest first.
func (t *Table) Runs() []Run { return slices.Clone(t.runs) }

// Expire removes the crashes that are too old.
func (t *Table) Expire(now time.Time) {
	for len(t.runs) > 0 && now.Sub(t.recordedAt[0]) > retention {
		t.removeAt(0)
	}
}

func (t *Table) removeAt(i int) {
	task := t.runs[i].Task
	delete(t.evidence, t.runs[i])
	t.counts[task]--
	if t.counts[task] == 0 {
		delete(t.counts, task)
	}
	t.runs = slices.Delete(t.runs, i, i+1)
	t.recordedAt = slices.Delete(t.recordedAt, i, i+1)
}
