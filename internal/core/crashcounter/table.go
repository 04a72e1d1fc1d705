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
}

// New returns an empty table.
func New() *Table { return &Table{counts: make(map[namer.TaskName]int)} }

// Add records that a run was lost. It reports whether that is new.
func (t *Table) Add(now time.Time, r Run) bool {
	t.Expire(now)
	if t.counts[r.Task] > 0 && slices.Contains(t.runs, r) {
		return false
	}
	if len(t.runs) >= maxRuns {
		t.removeAt(0)
	}
	t.runs = append(t.runs, r)
	t.recordedAt = append(t.recordedAt, now)
	t.counts[r.Task]++
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

// Count returns how many runs of a task were lost.
func (t *Table) Count(task namer.TaskName) int { return t.counts[task] }

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
	t.counts[task]--
	if t.counts[task] == 0 {
		delete(t.counts, task)
	}
	t.runs = slices.Delete(t.runs, i, i+1)
	t.recordedAt = slices.Delete(t.recordedAt, i, i+1)
}
