// Package recorder writes log lines without ever blocking who logs. Lines wait
// in a buffer of bounded size; where more comes than can be written, or than
// the budget allows, routine lines are dropped first and counted.
package recorder

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// bufferBytes holds some thousand lines, so that a reader that stalls for a
	// second loses none at the usual rate.
	bufferBytes = 512 << 10
	// atomicWrite is what a pipe takes without tearing it, in bytes (PIPE_BUF).
	atomicWrite = 4096
	// writeEvery is the pace of writes; one write for each line would be a third
	// of the system calls of a busy instance.
	writeEvery = 20 * time.Millisecond
	// routineLines and otherLines are the budgets a second: twice what a busy
	// instance decides at the rates of the sites.
	routineLines = 600
	otherLines   = 600
	// routineShare and otherShare of the buffer are open to such lines; state
	// changes have all of it.
	routineShare = 0.5
	otherShare   = 0.8
)

// Dropped counts the lines that were dropped, by class.
type Dropped struct{ Routine, Other, State int }

func (d Dropped) total() int { return d.Routine + d.Other + d.State }

// Recorder is a zerolog.LevelWriter. Debug lines are routine, info lines are
// others, and from warn on they are state changes. Build one with New.
type Recorder struct {
	out  io.Writer
	wake chan struct{}
	// closing is closed by Close.
	closing chan struct{}
	wg      sync.WaitGroup

	mu      sync.Mutex
	pending []byte
	closed  bool
	second  time.Time
	routine int
	other   int
	dropped Dropped
	// told is how many drops have been reported.
	told int
}

// New returns a recorder that writes to out.
func New(out io.Writer) *Recorder {
	r := &Recorder{out: out, wake: make(chan struct{}, 1), closing: make(chan struct{})}
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		r.run()
	}()
	return r
}

// Write takes a line of unknown class as a state change.
func (r *Recorder) Write(line []byte) (int, error) {
	return r.WriteLevel(zerolog.NoLevel, line)
}

// WriteLevel takes a line or drops it.
func (r *Recorder) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	r.mu.Lock()
	if !r.closed && r.admit(level, len(line)) {
		r.pending = append(r.pending, line...)
	}
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// admit reports whether a line is within the bounds, and counts it.
func (r *Recorder) admit(level zerolog.Level, size int) bool {
	now := time.Now()
	if now.Sub(r.second) >= time.Second {
		r.second, r.routine, r.other = now, 0, 0
	}
	free := bufferBytes - len(r.pending) - size
	switch level {
	case zerolog.TraceLevel, zerolog.DebugLevel:
		r.routine++
		if r.routine > routineLines || free < bufferBytes*(1-routineShare) {
			r.dropped.Routine++
			return false
		}
	case zerolog.InfoLevel:
		r.other++
		if r.other > otherLines || float64(free) < bufferBytes*(1-otherShare) {
			r.dropped.Other++
			return false
		}
	default:
		if free < 0 {
			r.dropped.State++
			return false
		}
	}
	return true
}

// Dropped returns how many lines have been dropped since the start.
func (r *Recorder) Dropped() Dropped {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

// Untold returns how many lines were dropped since the last call.
func (r *Recorder) Untold() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.dropped.total() - r.told
	r.told += n
	return n
}

func (r *Recorder) run() {
	var spare []byte
	for range r.wake {
		r.mu.Lock()
		batch := r.pending
		r.pending = spare[:0]
		closed := r.closed
		r.mu.Unlock()
		r.write(batch)
		spare = batch
		if closed {
			return
		}
		r.pause()
	}
}

// write writes whole lines, in pieces that a pipe takes at once: lines of
// processes that share one are not torn then.
func (r *Recorder) write(batch []byte) {
	for len(batch) > 0 {
		n := len(batch)
		if n > atomicWrite {
			n = bytes.LastIndexByte(batch[:atomicWrite], '\n') + 1
		}
		if n == 0 {
			n = bytes.IndexByte(batch, '\n') + 1
		}
		if n == 0 {
			n = len(batch)
		}
		// There is nowhere to report that the log can't be written.
		_, _ = r.out.Write(batch[:n])
		batch = batch[n:]
	}
}

// pause lets lines gather, unless the recorder is closed.
func (r *Recorder) pause() {
	t := time.NewTimer(writeEvery)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.closing:
	}
}

// closeWait bounds how long Close waits for a reader that has stalled.
const closeWait = 200 * time.Millisecond

// Close writes what is pending, as far as the reader takes it.
func (r *Recorder) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	close(r.closing)
	select {
	case r.wake <- struct{}{}:
	default:
	}
	done := make(chan struct{})
	go func() {
		r.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(closeWait):
	}
}
