package follower

import (
	"slices"

	"github.com/heatherslip/heatherslip/internal/core/scheduler"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
	"github.com/heatherslip/heatherslip/platform"
)

// maxRemovals bounds the removed workers that a list remembers.
const maxRemovals = 4096

// workerList is an instance's copy of the platform's worker list. Each heartbeat of a
// worker adds a record to the topic, but most of them change nothing: only changes are
// passed on and copied to peers.
type workerList struct {
	workers map[string]*listedWorker
	// removals has the offset of the removal of each removed worker. Removals before
	// firstOffset are unknown.
	removals    map[string]uint64
	firstOffset uint64
	// nextOffset is the offset up to which the list is complete; zero if there is none.
	nextOffset uint64
	// changeOffset is the offset after the last change.
	changeOffset uint64
}

// listedWorker is a worker that is in the list.
type listedWorker struct {
	record platform.Record
	entry  platform.WorkerEntry
	// changedAt is the offset of the record that last changed the entry.
	changedAt uint64
}

// WorkerChange is a change of a worker's entry.
type WorkerChange struct {
	Entry platform.WorkerEntry
	// Err says why the entry can't be decoded; it then counts as removed.
	Err error
}

func newWorkerList() *workerList {
	return &workerList{workers: make(map[string]*listedWorker), removals: make(map[string]uint64)}
}

// recordSource says which records of a worker a batch has.
type recordSource int

const (
	// fromFullList means the newest record of each worker.
	fromFullList recordSource = iota
	// fromChanges means the newest record of each worker that has changed.
	fromChanges
	// fromLog means all that were appended since the last read.
	fromLog
)

// apply applies records that were read up to nextOffset, and returns the changes. A
// full list also removes the workers that it lacks.
func (l *workerList) apply(records []platform.Record, nextOffset uint64, source recordSource) []WorkerChange {
	isFull := source == fromFullList && nextOffset > l.nextOffset
	var changes []WorkerChange
	for _, r := range records {
		if change, changed := l.applyRecord(r, source); changed {
			changes = append(changes, change)
		}
	}
	if isFull {
		changes = append(changes, l.removeMissing(records, nextOffset)...)
	}
	if l.nextOffset == 0 {
		l.firstOffset = nextOffset
	}
	l.nextOffset = max(l.nextOffset, nextOffset)
	if l.changeOffset == 0 {
		l.changeOffset = nextOffset
	}
	return changes
}

// applyRecord applies a record if it is newer than what is known of its worker.
func (l *workerList) applyRecord(r platform.Record, source recordSource) (WorkerChange, bool) {
	known := l.workers[r.Key]
	if known != nil && r.Offset <= known.record.Offset || known == nil && r.Offset < l.nextOffset {
		// An unknown worker with an offset that was already read has been removed since.
		return WorkerChange{}, false
	}
	entry, err := platform.DecodeWorkerEntry(r.Key, r.Value)
	if err != nil || entry.Removed {
		return l.remove(r.Key, r.Offset, err), known != nil || err != nil
	}
	var previous *scheduler.WorkerInfo
	if known != nil {
		previous = &known.entry.WorkerInfo
	}
	entry.SetAnnounced(previous, source == fromLog)
	if known != nil && known.entry.Equal(&entry) {
		known.record, known.entry.WrittenAt = r, entry.WrittenAt
		return WorkerChange{}, false
	}
	delete(l.removals, r.Key)
	l.workers[r.Key] = &listedWorker{record: r, entry: entry, changedAt: r.Offset}
	l.changeOffset = max(l.changeOffset, r.Offset+1)
	return WorkerChange{Entry: entry}, true
}

// remove removes a worker. Its removal is remembered, so that peers learn of it.
func (l *workerList) remove(key string, offset uint64, err error) WorkerChange {
	if l.workers[key] != nil {
		delete(l.workers, key)
		if len(l.removals) >= maxRemovals {
			l.removals = make(map[string]uint64)
			l.firstOffset = offset + 1
		}
		l.removals[key] = offset
		l.changeOffset = max(l.changeOffset, offset+1)
	}
	return WorkerChange{Entry: platform.WorkerEntry{WorkerInfo: scheduler.WorkerInfo{ID: namer.Worker(key), Removed: true}}, Err: err}
}

// removeMissing removes the workers that are missing from a full list.
func (l *workerList) removeMissing(records []platform.Record, nextOffset uint64) []WorkerChange {
	listed := make(map[string]bool, len(records))
	for _, r := range records {
		listed[r.Key] = true
	}
	var changes []WorkerChange
	for key, w := range l.workers {
		if !listed[key] && w.record.Offset < nextOffset {
			changes = append(changes, l.remove(key, nextOffset-1, nil))
		}
	}
	slices.SortFunc(changes, func(a, b WorkerChange) int {
		if a.Entry.ID < b.Entry.ID {
			return -1
		}
		return 1
	})
	return changes
}

// copyFrom returns the records of the workers that have changed from an offset on,
// those of removed workers without a value. If removals since then are unknown, it
// returns the full list.
func (l *workerList) copyFrom(offset uint64) (records []platform.Record, isFull bool) {
	isFull = offset < l.firstOffset
	for _, w := range l.workers {
		if isFull || w.changedAt >= offset {
			records = append(records, w.record)
		}
	}
	if isFull {
		return records, true
	}
	for key, removedAt := range l.removals {
		if removedAt >= offset {
			records = append(records, platform.Record{Key: key, Offset: removedAt})
		}
	}
	return records, false
}
