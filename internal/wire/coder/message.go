package coder

import (
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Message is a message from one entry instance to another. Exactly one field is
// set.
type Message struct {
	Hello           *Hello           `cbor:"1,keyasint,omitempty"`
	Heartbeat       *Heartbeat       `cbor:"2,keyasint,omitempty"`
	ForwardRequest  *ForwardRequest  `cbor:"3,keyasint,omitempty"`
	ForwardResponse *ForwardResponse `cbor:"4,keyasint,omitempty"`
	Replicate       *Replicate       `cbor:"5,keyasint,omitempty"`
	Ack             *Ack             `cbor:"6,keyasint,omitempty"`
	Sync            *Sync            `cbor:"7,keyasint,omitempty"`
	CatchUp         *CatchUp         `cbor:"8,keyasint,omitempty"`
}

// Hello is the first message on a link. It identifies the sender.
type Hello struct {
	Version int    `cbor:"1,keyasint"`
	Member  Member `cbor:"2,keyasint"`
}

// Heartbeat is sent periodically and contains the sender's position in the log.
type Heartbeat struct {
	LogOffset namer.Offset   `cbor:"1,keyasint"`
	Revision  namer.Revision `cbor:"2,keyasint"`
	// ViewStale is set if the sender's process was paused and neither a read of the
	// log nor a peer has confirmed its view since.
	ViewStale bool `cbor:"3,keyasint,omitempty"`
	// CompleteView is the latest view for which the sender has all that it needs to
	// own keys, such as the directory entries of the other members of its domain.
	CompleteView namer.Offset `cbor:"5,keyasint"`
	// Nonce is returned by the receiver as Echo in its next heartbeat. The
	// sender changes it after a pause, so that a matching Echo proves that the
	// heartbeat was sent later.
	Nonce uint64 `cbor:"6,keyasint"`
	Echo  uint64 `cbor:"7,keyasint"`
	// SilentMembers lists the other members of the sender's domain from which it has
	// received no message for some time.
	SilentMembers []namer.Incarnation `cbor:"8,keyasint,omitempty"`
	// IdleSlots lists the minion slots that the sender does not use, by service.
	IdleSlots []IdleSlots `cbor:"4,keyasint,omitempty"`
}

// IdleSlots is the number of a service's slots that other instances may borrow.
type IdleSlots struct {
	Service namer.Service `cbor:"1,keyasint"`
	Slots   int           `cbor:"2,keyasint"`
}

// Op is the operation that a call requests on a submission.
type Op int

// Operations on a submission.
const (
	OpSubmit Op = iota + 1
	OpFetch
	OpCancel
)

// ForwardRequest passes a call to the instance that owns its submission.
type ForwardRequest struct {
	Call namer.CallID `cbor:"1,keyasint"`
	Op   Op           `cbor:"2,keyasint"`
	Work Work         `cbor:"3,keyasint"`
	// WaitForResult is set if the caller waits for a terminal answer.
	WaitForResult bool `cbor:"4,keyasint,omitempty"`
}

// ForwardResponse is the response to a forwarded call. If Redirect is set, there is
// no answer and the call must be forwarded to that instance.
type ForwardResponse struct {
	Call     namer.CallID      `cbor:"1,keyasint"`
	Answer   Answer            `cbor:"2,keyasint"`
	Redirect namer.Incarnation `cbor:"3,keyasint,omitempty"`
}

// Placement permits one start of a task, on one worker and under one lease.
type Placement struct {
	Index   int          `cbor:"1,keyasint"`
	Attempt int          `cbor:"2,keyasint"`
	Worker  namer.Worker `cbor:"3,keyasint"`
	Lease   namer.Lease  `cbor:"4,keyasint"`
}

// Update replicates changes of one submission from its primary to its backup.
type Update struct {
	// Work is set until the backup has acknowledged the submission.
	Work *Work    `cbor:"1,keyasint,omitempty"`
	ID   namer.ID `cbor:"2,keyasint"`
	// Placements lists placements. A later attempt at a task replaces an earlier
	// one; the primary has verified that the earlier one was never started.
	Placements  []Placement `cbor:"3,keyasint,omitempty"`
	FinalAnswer *Answer     `cbor:"4,keyasint,omitempty"`
	// Digest is the digest of the work as submitted. It is set together with
	// Work, which no longer contains the tasks once the submission has finished.
	Digest string `cbor:"6,keyasint,omitempty"`
	// Deny is set without other changes. It asks the backup to confirm that it
	// has no record of the submission either, so that the caller can be answered
	// that the work has not run.
	Deny bool `cbor:"5,keyasint,omitempty"`
}

// Replicate carries updates to a backup. View is the view of the domain in which
// the sender acts. The receiver applies all updates or none.
type Replicate struct {
	Seq     uint64       `cbor:"1,keyasint"`
	View    namer.Offset `cbor:"2,keyasint"`
	Updates []Update     `cbor:"3,keyasint"`
}

// Ack acknowledges a Replicate. If OK is false, no update was applied: the
// receiver acts in another view, or an update contradicts its own records.
type Ack struct {
	Seq  uint64       `cbor:"1,keyasint"`
	OK   bool         `cbor:"2,keyasint"`
	View namer.Offset `cbor:"3,keyasint"`
}

// DirectoryEntry is an entry of the directory of submissions: it says which
// instances hold a submission.
type DirectoryEntry struct {
	ID        namer.ID          `cbor:"1,keyasint"`
	Digest    string            `cbor:"2,keyasint"`
	Primary   namer.Incarnation `cbor:"3,keyasint"`
	Backup    namer.Incarnation `cbor:"4,keyasint,omitempty"`
	ExpiresAt time.Time         `cbor:"5,keyasint"`
}

// Sync carries the directory entries that a member needs before it may own keys
// in a new view.
type Sync struct {
	View      namer.Offset     `cbor:"1,keyasint"`
	Directory []DirectoryEntry `cbor:"2,keyasint,omitempty"`
	// LastChunk is set in the sender's last Sync for this view.
	LastChunk bool `cbor:"3,keyasint,omitempty"`
}

// CatchUp carries log entries to a peer that has not read as far as the sender.
type CatchUp struct {
	Entries []LogEntry `cbor:"1,keyasint"`
}
