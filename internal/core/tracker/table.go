// Package tracker holds the submissions that an instance runs as primary or
// backs up, and a directory of the submissions that other members run.
package tracker

import (
	"sort"
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Table holds this instance's records by submission id, and a directory of the
// submissions that other members run.
type Table struct {
	records map[namer.ID]*Record
	// open holds the records that are not closed.
	open map[namer.ID]*Record
	// directory and records have no id in common.
	directory map[namer.ID]coder.DirectoryEntry
}

// New returns an empty table.
func New() *Table {
	return &Table{
		records:   make(map[namer.ID]*Record),
		open:      make(map[namer.ID]*Record),
		directory: make(map[namer.ID]coder.DirectoryEntry),
	}
}

// Get returns the record of a submission, or nil.
func (t *Table) Get(id namer.ID) *Record { return t.records[id] }

// AddRecord adds a record and removes its id from the directory.
func (t *Table) AddRecord(r *Record) {
	t.records[r.ID] = r
	delete(t.directory, r.ID)
	if !r.Closed() {
		t.open[r.ID] = r
	}
}

// CloseRecord marks a record's final answer as confirmed and frees the data that
// is not needed to repeat the answer.
func (t *Table) CloseRecord(r *Record) {
	r.FinalConfirmed = true
	delete(t.open, r.ID)
	r.Tasks = nil
	r.TasksByRack = nil
	r.Work = &coder.Work{
		Submission: r.Work.Submission, Kind: r.Work.Kind,
		Service: r.Work.Service, Deadline: r.Work.Deadline,
	}
}

// EachOpenRecord calls f with each record that is not closed, in no particular
// order.
func (t *Table) EachOpenRecord(f func(*Record)) {
	for _, r := range t.open {
		f(r)
	}
}

// AddDirectoryEntry adds a submission that another member runs. It does nothing
// if the table holds a record of the submission.
func (t *Table) AddDirectoryEntry(entry coder.DirectoryEntry) {
	if _, found := t.records[entry.ID]; found {
		return
	}
	t.directory[entry.ID] = entry
}

// DirectoryEntry returns the directory entry of a submission.
func (t *Table) DirectoryEntry(id namer.ID) (coder.DirectoryEntry, bool) {
	entry, found := t.directory[id]
	return entry, found
}

// EachRecord calls f with each record, in no particular order.
func (t *Table) EachRecord(f func(*Record)) {
	for _, r := range t.records {
		f(r)
	}
}

// EachDirectoryEntry calls f with a directory entry for each submission, this
// instance's own records included.
func (t *Table) EachDirectoryEntry(f func(coder.DirectoryEntry)) {
	for _, r := range t.records {
		f(coder.DirectoryEntry{ID: r.ID, Digest: r.Digest, Primary: r.Primary, Backup: r.Backup, ExpiresAt: r.ExpiresAt})
	}
	for _, entry := range t.directory {
		f(entry)
	}
}

// Len returns the number of records and of directory entries.
func (t *Table) Len() (records, directoryEntries int) { return len(t.records), len(t.directory) }

// RemoveExpired removes expired directory entries and expired records. A record
// that is not closed does not expire.
func (t *Table) RemoveExpired(now time.Time) {
	for id, r := range t.records {
		if r.Closed() && now.After(r.ExpiresAt) {
			delete(t.records, id)
		}
	}
	for id, entry := range t.directory {
		if now.After(entry.ExpiresAt) {
			delete(t.directory, id)
		}
	}
}

// RemoveRecord removes a record, whether it is closed or not.
func (t *Table) RemoveRecord(id namer.ID) {
	delete(t.records, id)
	delete(t.open, id)
}

// SortByID sorts records by id, so that they are processed in the same order in
// every run.
func SortByID(records []*Record) {
	sort.Slice(records, func(i, j int) bool { return records[i].ID < records[j].ID })
}

// AllClosed reports whether every record is closed.
func (t *Table) AllClosed() bool { return len(t.open) == 0 }
