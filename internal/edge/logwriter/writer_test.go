package logwriter

import (
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
)

// stalledWriter blocks each write until unblock is closed.
type stalledWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.unblock
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// TestStalledReader checks that logging doesn't block while the reader of the log
// is stalled, and that debug lines are dropped before warn lines.
func TestStalledReader(t *testing.T) {
	out := &stalledWriter{unblock: make(chan struct{})}
	w := New(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 5000 {
		_, err := w.WriteLevel(zerolog.DebugLevel, line)
		must.NoError(t, err)
	}
	_, err := w.WriteLevel(zerolog.WarnLevel, []byte("state\n"))
	must.NoError(t, err)
	dropped := w.DropCounts()
	must.Positive(t, dropped.Debug)
	must.Eq(t, 0, dropped.Warn)
	must.Eq(t, dropped.Debug, w.TakeUnreportedDrops())
	must.Eq(t, 0, w.TakeUnreportedDrops())
	close(out.unblock)
	w.Close()
	must.StrContains(t, out.text.String(), "state\n")
}

func TestWholeLinesInOrder(t *testing.T) {
	var out strings.Builder
	w := New(&out)
	log := zerolog.New(w)
	for n := range 100 {
		log.Warn().Int("n", n).Send()
	}
	w.Close()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	must.Len(t, 100, lines)
	must.Eq(t, `{"level":"warn","n":99}`, lines[99])
}

// writeLog keeps the argument of each write.
type writeLog struct{ writes []string }

func (l *writeLog) Write(b []byte) (int, error) {
	l.writes = append(l.writes, string(b))
	return len(b), nil
}

// TestWholeLinesInEachWrite checks that each write holds whole lines, and that it
// is small enough to be atomic on a pipe unless it holds a single longer line.
func TestWholeLinesInEachWrite(t *testing.T) {
	out := &writeLog{}
	w := New(out)
	long := strings.Repeat("y", 2*maxAtomicWrite) + "\n"
	for range 50 {
		_, err := w.Write([]byte(strings.Repeat("x", 299) + "\n"))
		must.NoError(t, err)
	}
	_, err := w.Write([]byte(long))
	must.NoError(t, err)
	w.Close()
	must.Eq(t, 50*300+len(long), len(strings.Join(out.writes, "")))
	for _, chunk := range out.writes {
		must.StrHasSuffix(t, "\n", chunk)
		must.True(t, len(chunk) <= maxAtomicWrite || chunk == long)
	}
}

// BenchmarkLine measures the cost of a warn line, BenchmarkDropped that of debug
// lines, most of which exceed the rate limit and are dropped.
func BenchmarkLine(b *testing.B) {
	w := New(&strings.Builder{})
	defer w.Close()
	log := zerolog.New(w)
	for b.Loop() {
		log.Warn().Str("job", "5c0e7a21d94b36f8").Int("waiting", 3).Msg("job refused")
	}
}

func BenchmarkDropped(b *testing.B) {
	w := New(&stalledWriter{unblock: make(chan struct{})})
	log := zerolog.New(w)
	for b.Loop() {
		log.Debug().Str("job", "5c0e7a21d94b36f8").Int("waiting", 3).Msg("task placed")
	}
}
