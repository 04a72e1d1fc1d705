package recorder

import (
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
)

// stalled is a writer whose reader does not read until it is told to.
type stalled struct {
	gate chan struct{}
	mu   sync.Mutex
	text strings.Builder
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// TestStalledReader checks that a reader that reads nothing holds up nobody,
// and that routine lines are dropped before state changes.
func TestStalledReader(t *testing.T) {
	out := &stalled{gate: make(chan struct{})}
	r := New(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 5000 {
		_, err := r.WriteLevel(zerolog.DebugLevel, line)
		must.NoError(t, err)
	}
	_, err := r.WriteLevel(zerolog.WarnLevel, []byte("state\n"))
	must.NoError(t, err)
	d := r.Dropped()
	must.Positive(t, d.Routine)
	must.Eq(t, 0, d.State)
	must.Eq(t, d.Routine, r.Untold())
	must.Eq(t, 0, r.Untold())
	close(out.gate)
	r.Close()
	must.StrContains(t, out.text.String(), "state\n")
}

func TestWholeLinesInOrder(t *testing.T) {
	var out strings.Builder
	r := New(&out)
	log := zerolog.New(r)
	for n := range 100 {
		log.Warn().Int("n", n).Send()
	}
	r.Close()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	must.Len(t, 100, lines)
	must.Eq(t, `{"level":"warn","n":99}`, lines[99])
}

// pieces keeps what each write was given.
type pieces struct{ all []string }

func (p *pieces) Write(b []byte) (int, error) {
	p.all = append(p.all, string(b))
	return len(b), nil
}

// TestWholeLinesInEachWrite checks that no write tears a line, and that each but
// that of an overlong line is one that pipes take at once.
func TestWholeLinesInEachWrite(t *testing.T) {
	out := &pieces{}
	r := New(out)
	long := strings.Repeat("y", 2*atomicWrite) + "\n"
	for range 50 {
		_, err := r.Write([]byte(strings.Repeat("x", 299) + "\n"))
		must.NoError(t, err)
	}
	_, err := r.Write([]byte(long))
	must.NoError(t, err)
	r.Close()
	must.Eq(t, 50*300+len(long), len(strings.Join(out.all, "")))
	for _, piece := range out.all {
		must.StrHasSuffix(t, "\n", piece)
		must.True(t, len(piece) <= atomicWrite || piece == long)
	}
}

// BenchmarkLine is the cost of a line that is kept, BenchmarkDropped that of one
// that is not.
func BenchmarkLine(b *testing.B) {
	r := New(&strings.Builder{})
	defer r.Close()
	log := zerolog.New(r)
	for b.Loop() {
		log.Warn().Str("job", "5c0e7a21d94b36f8").Int("waiting", 3).Msg("job refused")
	}
}

func BenchmarkDropped(b *testing.B) {
	r := New(&stalled{gate: make(chan struct{})})
	log := zerolog.New(r)
	for b.Loop() {
		log.Debug().Str("job", "5c0e7a21d94b36f8").Int("waiting", 3).Msg("task placed")
	}
}
