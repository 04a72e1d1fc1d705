package coder

import (
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Record is one record of the platform's log. Exactly one field besides Version
// is set.
type Record struct {
	Version    int         `cbor:"1,keyasint"`
	Join       *Join       `cbor:"2,keyasint,omitempty"`
	Evict      *Evict      `cbor:"3,keyasint,omitempty"`
	Leave      *Leave      `cbor:"4,keyasint,omitempty"`
	MarkSynced *MarkSynced `cbor:"5,keyasint,omitempty"`
	Claim      *Claim      `cbor:"6,keyasint,omitempty"`
	Revise     *Revise     `cbor:"7,keyasint,omitempty"`
	Snapshot   *Snapshot   `cbor:"8,keyasint,omitempty"`
	Retire     *Retire     `cbor:"9,keyasint,omitempty"`
	Evacuate   *Evacuate   `cbor:"10,keyasint,omitempty"`
}

// Member is an entry instance that is a member of its domain's view.
type Member struct {
	Incarnation namer.Incarnation `cbor:"1,keyasint" json:"incarnation"`
	Domain      namer.Domain      `cbor:"2,keyasint" json:"domain"`
	Region      namer.Region      `cbor:"3,keyasint,omitempty" json:"region,omitempty"`
	// PeerAddress is the address for links from other instances: an IP address and a
	// port.
	PeerAddress string `cbor:"4,keyasint" json:"peer"`
}

// Join adds an incarnation to its domain's view.
type Join struct {
	Member Member    `cbor:"1,keyasint"`
	At     time.Time `cbor:"2,keyasint"`
}

// Evict removes an incarnation that does not respond from its domain's view. The
// record has no effect unless RequestedBy is another member of the same domain at
// that point of the log.
type Evict struct {
	Incarnation namer.Incarnation `cbor:"1,keyasint"`
	RequestedBy namer.Incarnation `cbor:"2,keyasint"`
	At          time.Time         `cbor:"3,keyasint"`
}

// Leave removes the sender from its domain's view after a drain.
type Leave struct {
	Incarnation namer.Incarnation `cbor:"1,keyasint"`
	At          time.Time         `cbor:"2,keyasint"`
}

// Retire ends the sender's ownership of new submissions. The sender remains a
// member and continues to run its submissions until it leaves.
type Retire struct {
	Incarnation namer.Incarnation `cbor:"1,keyasint"`
}

// MarkSynced marks the sender as synced in the view that began at View: another
// member of the view holds everything that the sender holds.
type MarkSynced struct {
	Incarnation namer.Incarnation `cbor:"1,keyasint"`
	View        namer.Offset      `cbor:"2,keyasint"`
}

// Claim assigns submissions to the sender. A submission that was claimed earlier
// keeps its holder.
type Claim struct {
	Incarnation namer.Incarnation   `cbor:"1,keyasint"`
	Submissions []ClaimedSubmission `cbor:"2,keyasint"`
	At          time.Time           `cbor:"3,keyasint"`
}

// ClaimedSubmission is one submission in a Claim.
type ClaimedSubmission struct {
	Submission namer.Submission `cbor:"1,keyasint"`
}

// Revise publishes a configuration. It is accepted if BaseRevision is the revision in
// force at that point of the log.
type Revise struct {
	BaseRevision namer.Revision `cbor:"1,keyasint"`
	// Nonce distinguishes two publications of the same text.
	Nonce      string    `cbor:"2,keyasint"`
	Author     string    `cbor:"3,keyasint"`
	At         time.Time `cbor:"4,keyasint"`
	ConfigText string    `cbor:"5,keyasint"`
	// InitialDomains are the initial domains, which the owners of bare keys are chosen
	// from. Only those of the first accepted revision are used.
	InitialDomains []namer.Domain `cbor:"6,keyasint,omitempty"`
}

// Evacuate requests that nothing more be started in a failure domain, or takes that back
// if End is set. It is accepted if BaseOffset is the offset of the last accepted request
// for the domain at that point of the log, zero if there is none.
type Evacuate struct {
	Domain     namer.Domain `cbor:"1,keyasint"`
	End        bool         `cbor:"2,keyasint,omitempty"`
	BaseOffset namer.Offset `cbor:"3,keyasint"`
	Author     string       `cbor:"4,keyasint"`
	At         time.Time    `cbor:"5,keyasint"`
}

// Evacuation is the last accepted request for a domain.
type Evacuation struct {
	Domain namer.Domain `cbor:"1,keyasint" json:"domain"`
	// Ended is set if the evacuation was taken back.
	Ended  bool         `cbor:"2,keyasint,omitempty" json:"ended,omitempty"`
	Offset namer.Offset `cbor:"3,keyasint" json:"offset"`
	Author string       `cbor:"4,keyasint" json:"by"`
	At     time.Time    `cbor:"5,keyasint" json:"at"`
}

// Snapshot contains the state that results from the log up to and including
// LastOffset, so that the state survives when the log drops its old records.
type Snapshot struct {
	LastOffset     namer.Offset      `cbor:"1,keyasint"`
	Members        []SnapMember      `cbor:"2,keyasint"`
	HistoryLosses  []SnapHistoryLoss `cbor:"3,keyasint"`
	Claims         []SnapClaim       `cbor:"4,keyasint"`
	Views          []SnapView        `cbor:"5,keyasint"`
	Config         SnapConfig        `cbor:"6,keyasint"`
	Revisions      []SnapRevision    `cbor:"7,keyasint"`
	InitialDomains []namer.Domain    `cbor:"8,keyasint"`
	NewestTime     time.Time         `cbor:"9,keyasint"`
	ClaimsPrunedAt time.Time         `cbor:"10,keyasint"`
	Evacuations    []Evacuation      `cbor:"11,keyasint,omitempty"`
}

// SnapMember is a member in a Snapshot, with the offsets of its Join record and
// of the last view in which it was synced.
type SnapMember struct {
	Member     Member       `cbor:"1,keyasint"`
	JoinOffset namer.Offset `cbor:"2,keyasint"`
	SyncedView namer.Offset `cbor:"3,keyasint"`
	Retired    bool         `cbor:"4,keyasint,omitempty"`
}

// SnapHistoryLoss is the time up to which submissions to a domain may be unknown to its
// members.
type SnapHistoryLoss struct {
	Domain    namer.Domain `cbor:"1,keyasint"`
	LostUntil time.Time    `cbor:"2,keyasint"`
}

// SnapClaim is a claim in a Snapshot that has not expired.
type SnapClaim struct {
	ID        namer.ID          `cbor:"1,keyasint"`
	Holder    namer.Incarnation `cbor:"2,keyasint"`
	ClaimedAt time.Time         `cbor:"3,keyasint"`
}

// SnapView is the offset at which a domain's view began.
type SnapView struct {
	Domain namer.Domain `cbor:"1,keyasint"`
	View   namer.Offset `cbor:"2,keyasint"`
}

// SnapConfig is the configuration in force in a Snapshot.
type SnapConfig struct {
	Revision namer.Revision `cbor:"1,keyasint"`
	Nonce    string         `cbor:"2,keyasint"`
	Text     string         `cbor:"3,keyasint"`
}

// SnapRevision is an accepted revision of the configuration, without its text.
type SnapRevision struct {
	Revision    namer.Revision `cbor:"1,keyasint" json:"revision"`
	Nonce       string         `cbor:"2,keyasint" json:"nonce"`
	Author      string         `cbor:"3,keyasint" json:"by"`
	PublishedAt time.Time      `cbor:"4,keyasint" json:"at"`
	Offset      namer.Offset   `cbor:"5,keyasint" json:"offset"`
}

// LogEntry is a record with its offset in the log.
type LogEntry struct {
	Offset namer.Offset `cbor:"1,keyasint"`
	Record Record       `cbor:"2,keyasint"`
}
