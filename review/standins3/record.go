//go:build review

package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// record writes what happens, with the time since the start in milliseconds.
type record struct {
	startedAt time.Time

	mu  sync.Mutex
	out io.Writer
}

func newRecord(out io.Writer) *record { return &record{startedAt: time.Now(), out: out} }

func (r *record) addf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%9.1f ms  %s\n", float64(time.Since(r.startedAt).Microseconds())/1000, fmt.Sprintf(format, args...))
	// A lost line is missed by the reader only.
	_, _ = io.WriteString(r.out, line)
	_, _ = io.WriteString(os.Stdout, line)
}
