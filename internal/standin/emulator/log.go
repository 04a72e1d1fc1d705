// Package emulator stands in for the platform and the services: the log, the
// list, the workers and the minions, with their faults. What it assumes of the
// platform is written down in docs/PLATFORM.md.
package emulator

import (
	"errors"
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/describer"
)

// Log is an append-only log with offsets from 1. Methods take the time, so
// that tests run it without a clock. It is not safe for concurrent use.
type Log struct {
	entries  []describer.LogEntry
	earliest uint64
	next     uint64
	// Faults are in force as set.
	Faults LogFaults
	// Appends counts the appends that were taken.
	Appends int
	// second and used bound the appends of the running second.
	second int64
	used   int
}

// LogFaults are what the log can be made to do.
type LogFaults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// DelayMillis is how long a synced append takes.
	DelayMillis int `json:"delay_ms"`
	// LoseAnswers takes appends and answers with an error.
	LoseAnswers bool `json:"lose_answers"`
	// Cap bounds the appends a second; zero means no bound.
	Cap int `json:"cap"`
	// KeepMillis is the retention; zero means for ever.
	KeepMillis int `json:"keep_ms"`
}

var (
	errLogDown  = errors.New("log is down")
	errLogCap   = errors.New("too many appends this second")
	errLogLost  = errors.New("answer lost")
	errLogEmpty = errors.New("append without records")
)

// NewLog returns an empty log.
func NewLog() *Log { return &Log{earliest: 1, next: 1} }

// Append adds a batch and returns the offset of its first record.
func (l *Log) Append(now time.Time, batch [][]byte) (uint64, error) {
	if l.Faults.Down {
		return 0, errLogDown
	}
	if len(batch) == 0 {
		return 0, errLogEmpty
	}
	if !l.allowed(now) {
		return 0, errLogCap
	}
	l.Appends++
	first := l.next
	for _, data := range batch {
		l.entries = append(l.entries, describer.LogEntry{Offset: l.next, Data: data, At: now})
		l.next++
	}
	if l.Faults.LoseAnswers {
		return 0, errLogLost
	}
	return first, nil
}

func (l *Log) allowed(now time.Time) bool {
	if l.Faults.Cap == 0 {
		return true
	}
	if s := now.Unix(); s != l.second {
		l.second, l.used = s, 0
	}
	l.used++
	return l.used <= l.Faults.Cap
}

// maxRead bounds the records of one read.
const maxRead = 1000

// Read returns records from an offset on, or from the earliest that is kept.
func (l *Log) Read(now time.Time, from uint64) ([]describer.LogEntry, error) {
	if l.Faults.Down {
		return nil, errLogDown
	}
	l.forget(now)
	if from < l.earliest {
		from = l.earliest
	}
	if from >= l.next {
		return nil, nil
	}
	out := l.entries[from-l.earliest:]
	if len(out) > maxRead {
		out = out[:maxRead]
	}
	return append([]describer.LogEntry(nil), out...), nil
}

func (l *Log) forget(now time.Time) {
	if l.Faults.KeepMillis == 0 {
		return
	}
	limit := now.Add(-time.Duration(l.Faults.KeepMillis) * time.Millisecond)
	for len(l.entries) > 0 && l.entries[0].At.Before(limit) {
		l.entries = l.entries[1:]
		l.earliest++
	}
}
