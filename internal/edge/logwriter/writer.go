// Package logwriter writes log lines without ever blocking the caller. Lines are
// queued in a bounded buffer. When they arrive faster than they can be written,
// or exceed the rate limit, debug lines are dropped first; drops are counted.
package logwriter

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// bufferBytes holds some thousand lines, so that no line is lost at the usual
	// rate if the reader of the log stalls for a second.
	bufferBytes = 512 << 10
	// maxAtomicWrite is the largest write, in bytes, that is atomic on a pipe
	// (PIPE_BUF).
	maxAtomicWrite = 4096
	// writeInterval is the pause between two batched writes. One write per line
	// would make up a third of the system calls of a busy instance.
	writeInterval = 20 * time.Millisecond
	// maxDebugLinesPerSecond and maxInfoLinesPerSecond limit the rate of lines.
	// They are twice the rate of decisions of a busy instance at the sites' loads.
	maxDebugLinesPerSecond = 600
	maxInfoLinesPerSecond  = 600
	// debugBufferShare and infoBufferShare are the shares of the buffer that debug
	// and info lines may fill. Lines from level warn on may fill all of it.
	debugBufferShare = 0.5
	infoBufferShare  = 0.8
)

// DropCounts counts the dropped lines by level. Trace lines count as Debug; Warn
// includes all levels from warn on and lines without a level.
type DropCounts struct{ Debug, Info, Warn int }

func (d DropCounts) total() int { return d.Debug + d.Info + d.Warn }

// Writer is a zerolog.LevelWriter that writes lines asynchronously. Debug lines
// are routine events, info lines are results reported to callers, and lines from
// warn on are state changes, which are dropped last. Create one with New.
type Writer struct {
	out  io.Writer
	wake chan struct{}
	// closeRequested is closed by Close.
	closeRequested chan struct{}
	wg             sync.WaitGroup

	mu            sync.Mutex
	pending       []byte
	closed        bool
	windowStart   time.Time
	debugInWindow int
	infoInWindow  int
	dropCounts    DropCounts
	// reported is the number of drops that TakeUnreportedDrops has returned so far.
	reported int
}

// New returns a Writer that writes to out. Close must be called to flush it.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), closeRequested: make(chan struct{})}
	w.wg.Add(1)
	go func() {
		defer w.wg.Done()
		w.runWriter()
	}()
	return w
}

// Write queues a line without a level, with the priority of a warn line.
func (w *Writer) Write(line []byte) (int, error) {
	return w.WriteLevel(zerolog.NoLevel, line)
}

// WriteLevel queues a line or drops it. It never returns an error.
func (w *Writer) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	w.mu.Lock()
	if !w.closed && w.admitLine(level, len(line)) {
		w.pending = append(w.pending, line...)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// admitLine reports whether a line is within the rate limit and the buffer share
// of its level. It counts the line in the current window or as dropped.
func (w *Writer) admitLine(level zerolog.Level, size int) bool {
	now := time.Now()
	if now.Sub(w.windowStart) >= time.Second {
		w.windowStart, w.debugInWindow, w.infoInWindow = now, 0, 0
	}
	freeBytes := bufferBytes - len(w.pending) - size
	switch level {
	case zerolog.TraceLevel, zerolog.DebugLevel:
		w.debugInWindow++
		if w.debugInWindow > maxDebugLinesPerSecond || freeBytes < bufferBytes*(1-debugBufferShare) {
			w.dropCounts.Debug++
			return false
		}
	case zerolog.InfoLevel:
		w.infoInWindow++
		if w.infoInWindow > maxInfoLinesPerSecond || float64(freeBytes) < bufferBytes*(1-infoBufferShare) {
			w.dropCounts.Info++
			return false
		}
	default:
		if freeBytes < 0 {
			w.dropCounts.Warn++
			return false
		}
	}
	return true
}

// DropCounts returns the number of lines dropped since the start.
func (w *Writer) DropCounts() DropCounts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropCounts
}

// TakeUnreportedDrops returns the number of lines dropped since its last call.
func (w *Writer) TakeUnreportedDrops() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.dropCounts.total() - w.reported
	w.reported += n
	return n
}

func (w *Writer) runWriter() {
	var spare []byte
	for range w.wake {
		w.mu.Lock()
		batch := w.pending
		w.pending = spare[:0]
		closed := w.closed
		w.mu.Unlock()
		w.writeLines(batch)
		spare = batch
		if closed {
			return
		}
		w.waitForLines()
	}
}

// writeLines writes a batch in chunks of whole lines. Chunks are small enough for
// atomic writes to a pipe, so that lines of several processes that share the pipe
// are not interleaved; a longer line is written by itself.
func (w *Writer) writeLines(batch []byte) {
	for len(batch) > 0 {
		n := len(batch)
		if n > maxAtomicWrite {
			n = bytes.LastIndexByte(batch[:maxAtomicWrite], '\n') + 1
		}
		if n == 0 {
			n = bytes.IndexByte(batch, '\n') + 1
		}
		if n == 0 {
			n = len(batch)
		}
		// A failure to write the log can't be reported anywhere.
		_, _ = w.out.Write(batch[:n])
		batch = batch[n:]
	}
}

// waitForLines pauses so that lines accumulate. It returns early on Close.
func (w *Writer) waitForLines() {
	t := time.NewTimer(writeInterval)
	defer t.Stop()
	select {
	case <-t.C:
	case <-w.closeRequested:
	}
}

// closeTimeout bounds how long Close waits if the reader of the log has stalled.
const closeTimeout = 200 * time.Millisecond

// Close writes the queued lines and stops the writer. Lines that can't be written
// within closeTimeout are lost.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	close(w.closeRequested)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	done := make(chan struct{})
	go func() {
		w.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(closeTimeout):
	}
}
