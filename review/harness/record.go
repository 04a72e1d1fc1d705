//go:build review

package main

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

// record is what clients, minions and the operator have seen, in the order of time.
type record struct {
	begun time.Time

	mu    sync.Mutex
	lines []string
	runs  []*runSeen
}

// runSeen is a run as its minion saw it.
type runSeen struct {
	task, minion, kind string
	run                int64
	startedAt, endedAt time.Duration
	how                string
}

func newRecord() *record { return &record{begun: time.Now()} }

func (r *record) now() time.Duration { return time.Since(r.begun) }

// note adds a line.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(format, args...)
}

func (r *record) add(format string, args ...any) {
	r.lines = append(r.lines, fmt.Sprintf("%9.3f s  ", r.now().Seconds())+fmt.Sprintf(format, args...))
}

func (r *record) start(m *minion, task string, run int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, &runSeen{task: task, minion: m.id, kind: m.kind, run: run, startedAt: r.now()})
	r.add("minion %s starts task %s run %d", m.id, task, run)
}

func (r *record) end(minion, task string, run int64, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, seen := range r.runs {
		if seen.minion == minion && seen.task == task && seen.run == run && seen.endedAt == 0 {
			seen.endedAt, seen.how = r.now(), how
		}
	}
	r.add("minion %s ends task %s run %d: %s", minion, task, run, how)
}

// runsSeen returns a copy of the runs in the order of their starts. Those that have not
// ended are shown to end now.
func (r *record) runsSeen() []runSeen {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]runSeen, 0, len(r.runs))
	for _, seen := range r.runs {
		copied := *seen
		if copied.endedAt == 0 {
			copied.endedAt, copied.how = r.now(), "still active"
		}
		out = append(out, copied)
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].startedAt < out[j].startedAt })
	return out
}

// write writes the record to a file.
func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}

func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.3f s", d.Seconds()) }
