// Package emulator emulates the platform and the services, with fault injection:
// the log, the list of instances, workers and minions, and the workers and minions
// themselves. docs/PLATFORM.md lists what it assumes about the platform.
package emulator

import (
	"errors"
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/describer"
)

// Log is an in-memory append-only log whose offsets start at 1. Methods take the
// current time so that simulated time can drive it. Log is not safe for concurrent
// use.
type Log struct {
	entries        []describer.LogEntry
	earliestOffset uint64
	nextOffset     uint64
	Faults         LogFaults
	// Appends is the number of successful appends, including those whose answer
	// was dropped.
	Appends int
	// appendsInSecond counts the appends attempted in the Unix second rateSecond.
	rateSecond      int64
	appendsInSecond int
}

// LogFaults are the faults of the log that can be injected.
type LogFaults struct {
	// Unavailable makes every call fail.
	Unavailable bool `json:"down"`
	// DelayMillis is how long a durable append takes, in milliseconds.
	DelayMillis int `json:"delay_ms"`
	// DropAnswers performs appends but reports an error to the caller.
	DropAnswers bool `json:"lose_answers"`
	// MaxAppendsPerSecond limits the rate of appends; zero means no limit.
	MaxAppendsPerSecond int `json:"cap"`
	// RetentionMillis is how long records are kept, in milliseconds; zero means
	// forever.
	RetentionMillis int `json:"keep_ms"`
}

var (
	errLogUnavailable   = errors.New("log is down")
	errLogRateLimited   = errors.New("too many appends this second")
	errAppendAnswerLost = errors.New("answer lost")
	errEmptyAppend      = errors.New("append without records")
)

// NewLog returns an empty log.
func NewLog() *Log { return &Log{earliestOffset: 1, nextOffset: 1} }

// Append appends records and returns the offset of the first one. It returns an
// error if the log is unavailable, there are no records, or the rate limit is
// exceeded. With the fault DropAnswers it returns an error although it has appended
// the records.
func (l *Log) Append(now time.Time, records [][]byte) (uint64, error) {
	if l.Faults.Unavailable {
		return 0, errLogUnavailable
	}
	if len(records) == 0 {
		return 0, errEmptyAppend
	}
	if !l.admitAppend(now) {
		return 0, errLogRateLimited
	}
	l.Appends++
	firstOffset := l.nextOffset
	for _, data := range records {
		l.entries = append(l.entries, describer.LogEntry{Offset: l.nextOffset, Data: data, At: now})
		l.nextOffset++
	}
	if l.Faults.DropAnswers {
		return 0, errAppendAnswerLost
	}
	return firstOffset, nil
}

// admitAppend counts an append and reports whether the rate limit allows it.
func (l *Log) admitAppend(now time.Time) bool {
	if l.Faults.MaxAppendsPerSecond == 0 {
		return true
	}
	if second := now.Unix(); second != l.rateSecond {
		l.rateSecond, l.appendsInSecond = second, 0
	}
	l.appendsInSecond++
	return l.appendsInSecond <= l.Faults.MaxAppendsPerSecond
}

// maxReadEntries is the maximum number of records that one read returns.
const maxReadEntries = 1000

// Read returns records starting at the offset from, or at the earliest record that
// is still kept if that is later.
func (l *Log) Read(now time.Time, from uint64) ([]describer.LogEntry, error) {
	if l.Faults.Unavailable {
		return nil, errLogUnavailable
	}
	l.pruneExpired(now)
	if from < l.earliestOffset {
		from = l.earliestOffset
	}
	if from >= l.nextOffset {
		return nil, nil
	}
	page := l.entries[from-l.earliestOffset:]
	if len(page) > maxReadEntries {
		page = page[:maxReadEntries]
	}
	return append([]describer.LogEntry(nil), page...), nil
}

// pruneExpired removes the records that are older than the retention.
func (l *Log) pruneExpired(now time.Time) {
	if l.Faults.RetentionMillis == 0 {
		return
	}
	cutoff := now.Add(-time.Duration(l.Faults.RetentionMillis) * time.Millisecond)
	for len(l.entries) > 0 && l.entries[0].At.Before(cutoff) {
		l.entries = l.entries[1:]
		l.earliestOffset++
	}
}
