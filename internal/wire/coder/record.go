package coder

import (
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Record is one record of the platform's log. Exactly one field besides Version
// is set.
type Record struct {
	Version  int       `cbor:"1,keyasint"`
	Join     *Join     `cbor:"2,keyasint,omitempty"`
	Evict    *Evict    `cbor:"3,keyasint,omitempty"`
	Leave    *Leave    `cbor:"4,keyasint,omitempty"`
	Settle   *Settle   `cbor:"5,keyasint,omitempty"`
	Claim    *Claim    `cbor:"6,keyasint,omitempty"`
	Revise   *Revise   `cbor:"7,keyasint,omitempty"`
	Snapshot *Snapshot `cbor:"8,keyasint,omitempty"`
	Retire   *Retire   `cbor:"9,keyasint,omitempty"`
}

// Member is an entry instance that is a member of its domain's view.
type Member struct {
	Incarnation namer.Incarnation `cbor:"1,keyasint" json:"incarnation"`
	Domain      namer.Domain      `cbor:"2,keyasint" json:"domain"`
	Region      namer.Region      `cbor:"3,keyasint,omitempty" json:"region,omitempty"`
	// Peer is the address for links from other instances: an IP address and a
	// port.
	Peer string `cbor:"4,keyasint" json:"peer"`
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
	By          namer.Incarnation `cbor:"2,keyasint"`
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

// Settle marks the sender as synced in the view that began at View: another
// member of the view holds everything that the sender holds.
type Settle struct {
	Incarnation namer.Incarnation `cbor:"1,keyasint"`
	View        namer.Offset      `cbor:"2,keyasint"`
}

// Claim assigns submissions to the sender. A submission that was claimed earlier
// keeps its holder.
type Claim struct {
	Incarnation namer.Incarnation `cbor:"1,keyasint"`
	Keys        []ClaimKey        `cbor:"2,keyasint"`
	At          time.Time         `cbor:"3,keyasint"`
}

// ClaimKey is one submission in a Claim.
type ClaimKey struct {
	Submission namer.Submission `cbor:"1,keyasint"`
}

// Revise publishes a configuration. It is accepted if BaseRevision is the revision in
// force at that point of the log.
type Revise struct {
	Base namer.Revision `cbor:"1,keyasint"`
	// Nonce distinguishes two publications of the same text.
	Nonce string    `cbor:"2,keyasint"`
	By    string    `cbor:"3,keyasint"`
	At    time.Time `cbor:"4,keyasint"`
	Text  string    `cbor:"5,keyasint"`
	// Domains are the initial domains, which the owners of bare keys are chosen
	// from. Only those of the first accepted revision are used.
	Domains []namer.Domain `cbor:"6,keyasint,omitempty"`
}

// Snapshot contains the state that results from the log up to and including
// LastOffset, so that the state survives when the log drops its old records.
type Snapshot struct {
	Upto    namer.Offset   `cbor:"1,keyasint"`
	Members []SnapMember   `cbor:"2,keyasint"`
	Losses  []SnapLoss     `cbor:"3,keyasint"`
	Claims  []SnapClaim    `cbor:"4,keyasint"`
	Views   []SnapView     `cbor:"5,keyasint"`
	Config  SnapConfig     `cbor:"6,keyasint"`
	History []SnapRevision `cbor:"7,keyasint"`
	Domains []namer.Domain `cbor:"8,keyasint"`
	Newest  time.Time      `cbor:"9,keyasint"`
	Tidied  time.Time      `cbor:"10,keyasint"`
}

// SnapMember is a member in a Snapshot, with the offsets of its Join record and
// of the last view in which it was synced.
type SnapMember struct {
	Member  Member       `cbor:"1,keyasint"`
	Joined  namer.Offset `cbor:"2,keyasint"`
	Settled namer.Offset `cbor:"3,keyasint"`
	Retired bool         `cbor:"4,keyasint,omitempty"`
}

// SnapLoss is the time up to which submissions to a domain may be unknown to its
// members.
type SnapLoss struct {
	Domain namer.Domain `cbor:"1,keyasint"`
	At     time.Time    `cbor:"2,keyasint"`
}

// SnapClaim is a claim in a Snapshot that has not expired.
type SnapClaim struct {
	ID namer.ID          `cbor:"1,keyasint"`
	By namer.Incarnation `cbor:"2,keyasint"`
	At time.Time         `cbor:"3,keyasint"`
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
	Revision namer.Revision `cbor:"1,keyasint" json:"revision"`
	Nonce    string         `cbor:"2,keyasint" json:"nonce"`
	By       string         `cbor:"3,keyasint" json:"by"`
	At       time.Time      `cbor:"4,keyasint" json:"at"`
	Offset   namer.Offset   `cbor:"5,keyasint" json:"offset"`
}

// Entry is a record with its offset in the log.
type Entry struct {
	Offset namer.Offset `cbor:"1,keyasint"`
	Record Record       `cbor:"2,keyasint"`
}
