package coder

import (
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Message is what one entry instance sends another. One pointer is set.
type Message struct {
	Hello     *Hello     `cbor:"1,keyasint,omitempty"`
	Beat      *Beat      `cbor:"2,keyasint,omitempty"`
	Forward   *Forward   `cbor:"3,keyasint,omitempty"`
	Outcome   *Outcome   `cbor:"4,keyasint,omitempty"`
	Replicate *Replicate `cbor:"5,keyasint,omitempty"`
	Ack       *Ack       `cbor:"6,keyasint,omitempty"`
	Sync      *Sync      `cbor:"7,keyasint,omitempty"`
	Records   *Records   `cbor:"8,keyasint,omitempty"`
}

// Hello opens a link.
type Hello struct {
	Version int    `cbor:"1,keyasint"`
	Member  Member `cbor:"2,keyasint"`
}

// Beat is a heartbeat. It carries what the sender has read of the log.
type Beat struct {
	Offset   namer.Offset   `cbor:"1,keyasint"`
	Revision namer.Revision `cbor:"2,keyasint"`
	// Stale is set where the sender was paused and has not read the log since.
	Stale bool `cbor:"3,keyasint,omitempty"`
	// Complete is the view for which the sender knows all it must.
	Complete namer.Offset `cbor:"5,keyasint"`
	// Nonce is to be returned as Echo, which shows that a beat is fresh.
	Nonce uint64 `cbor:"6,keyasint"`
	Echo  uint64 `cbor:"7,keyasint"`
	// Unheard lists the members that the sender has not heard for a while.
	Unheard []namer.Incarnation `cbor:"8,keyasint,omitempty"`
	// Idle lists the slots of services that the sender leaves unused.
	Idle []IdleSlots `cbor:"4,keyasint,omitempty"`
}

// IdleSlots counts a service's slots that an instance could lend.
type IdleSlots struct {
	Service namer.Service `cbor:"1,keyasint"`
	Slots   int           `cbor:"2,keyasint"`
}

// Op is what a call asks of a submission.
type Op int

// The operations on a submission.
const (
	OpSubmit Op = iota + 1
	OpFetch
	OpCancel
)

// Forward hands a call to the instance that owns its submission.
type Forward struct {
	Call namer.Call `cbor:"1,keyasint"`
	Op   Op         `cbor:"2,keyasint"`
	Work Work       `cbor:"3,keyasint"`
	// Wait is set where the caller waits for a terminal answer.
	Wait bool `cbor:"4,keyasint,omitempty"`
}

// Outcome answers a Forward. Redirect, where set, names the instance to ask.
type Outcome struct {
	Call     namer.Call        `cbor:"1,keyasint"`
	Answer   Answer            `cbor:"2,keyasint"`
	Redirect namer.Incarnation `cbor:"3,keyasint,omitempty"`
}

// Placement says that a task may start once, on one worker, under one lease.
type Placement struct {
	Index   int          `cbor:"1,keyasint"`
	Attempt int          `cbor:"2,keyasint"`
	Worker  namer.Worker `cbor:"3,keyasint"`
	Lease   namer.Lease  `cbor:"4,keyasint"`
}

// Update carries changes of one submission from its runner to its backup.
type Update struct {
	// Work is set until the backup has acknowledged the submission.
	Work *Work    `cbor:"1,keyasint,omitempty"`
	ID   namer.ID `cbor:"2,keyasint"`
	// Placed lists placements; a later attempt replaces an earlier one, which
	// the runner has proved unused.
	Placed []Placement `cbor:"3,keyasint,omitempty"`
	Final  *Answer     `cbor:"4,keyasint,omitempty"`
	// Digest is set where Work is no longer whole.
	Digest string `cbor:"6,keyasint,omitempty"`
	// Deny is set alone, and asks whether the backup too knows nothing of the
	// submission, so that its caller may be told that it has not run.
	Deny bool `cbor:"5,keyasint,omitempty"`
}

// Replicate carries updates; View is the view of the domain under which the
// sender acts.
type Replicate struct {
	Seq     uint64       `cbor:"1,keyasint"`
	View    namer.Offset `cbor:"2,keyasint"`
	Updates []Update     `cbor:"3,keyasint"`
}

// Ack answers a Replicate. OK is false where the receiver acts under another
// view, and nothing has been taken.
type Ack struct {
	Seq  uint64       `cbor:"1,keyasint"`
	OK   bool         `cbor:"2,keyasint"`
	View namer.Offset `cbor:"3,keyasint"`
}

// Known is a line of the directory of submissions.
type Known struct {
	ID     namer.ID          `cbor:"1,keyasint"`
	Digest string            `cbor:"2,keyasint"`
	Runner namer.Incarnation `cbor:"3,keyasint"`
	Backup namer.Incarnation `cbor:"4,keyasint,omitempty"`
	Until  time.Time         `cbor:"5,keyasint"`
}

// Sync tells a member what it must know to own keys in a new view.
type Sync struct {
	View  namer.Offset `cbor:"1,keyasint"`
	Known []Known      `cbor:"2,keyasint,omitempty"`
	// Done marks the last message for this view.
	Done bool `cbor:"3,keyasint,omitempty"`
}

// Records passes on what the sender has read of the log to a peer that is
// behind.
type Records struct {
	Entries []Entry `cbor:"1,keyasint"`
}
