package coder

import (
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Member describes an entry instance that is part of its domain's view.
type Member struct {
	Incarnation namer.Incarnation `cbor:"1,keyasint" json:"incarnation"`
	Domain      namer.Domain      `cbor:"2,keyasint" json:"domain"`
	Region      namer.Region      `cbor:"3,keyasint,omitempty" json:"region,omitempty"`
	// Peer is the address, an IP number and a port, on which peers link.
	Peer string `cbor:"4,keyasint" json:"peer"`
}

// Record is one entry of the platform's log. One pointer is set.
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

// Retire ends the sender's ownership of new submissions. It stays a member,
// and runs what it has, until it leaves.
type Retire struct {
	Incarnation namer.Incarnation `cbor:"1,keyasint"`
}

// Join makes an incarnation a member of its domain's view.
type Join struct {
	Member Member    `cbor:"1,keyasint"`
	At     time.Time `cbor:"2,keyasint"`
}

// Evict ends the membership of an incarnation that does not answer. It is
// void where By is no member of the same domain at its place in the log.
type Evict struct {
	Incarnation namer.Incarnation `cbor:"1,keyasint"`
	By          namer.Incarnation `cbor:"2,keyasint"`
	At          time.Time         `cbor:"3,keyasint"`
}

// Leave ends the sender's own membership after a drain.
type Leave struct {
	Incarnation namer.Incarnation `cbor:"1,keyasint"`
	At          time.Time         `cbor:"2,keyasint"`
}

// Settle says that all which the sender holds is also held by another member
// of the view that began at View.
type Settle struct {
	Incarnation namer.Incarnation `cbor:"1,keyasint"`
	View        namer.Offset      `cbor:"2,keyasint"`
}

// Claim gives submissions to the sender, each unless an earlier claim did.
type Claim struct {
	Incarnation namer.Incarnation `cbor:"1,keyasint"`
	Keys        []ClaimKey        `cbor:"2,keyasint"`
	At          time.Time         `cbor:"3,keyasint"`
}

// ClaimKey is one submission of a Claim.
type ClaimKey struct {
	Submission namer.Submission `cbor:"1,keyasint"`
}

// Revise publishes a configuration. It is accepted where Base is the revision
// in force at its place in the log.
type Revise struct {
	Base namer.Revision `cbor:"1,keyasint"`
	// Nonce tells two publications of the same text apart.
	Nonce string    `cbor:"2,keyasint"`
	By    string    `cbor:"3,keyasint"`
	At    time.Time `cbor:"4,keyasint"`
	Text  string    `cbor:"5,keyasint"`
	// Domains are the founding domains, among which bare keys are shared out.
	// Only those of the first accepted revision count.
	Domains []namer.Domain `cbor:"6,keyasint,omitempty"`
}

// Snapshot repeats the state that follows from the log up to and including
// Upto, so that it outlives the log's retention.
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

// SnapMember is a member with its places in the log.
type SnapMember struct {
	Member  Member       `cbor:"1,keyasint"`
	Joined  namer.Offset `cbor:"2,keyasint"`
	Settled namer.Offset `cbor:"3,keyasint"`
	Retired bool         `cbor:"4,keyasint,omitempty"`
}

// SnapLoss is a time before which a domain's history is not complete.
type SnapLoss struct {
	Domain namer.Domain `cbor:"1,keyasint"`
	At     time.Time    `cbor:"2,keyasint"`
}

// SnapClaim is a claim that is still remembered.
type SnapClaim struct {
	ID namer.ID          `cbor:"1,keyasint"`
	By namer.Incarnation `cbor:"2,keyasint"`
	At time.Time         `cbor:"3,keyasint"`
}

// SnapView is the place at which a domain's view began.
type SnapView struct {
	Domain namer.Domain `cbor:"1,keyasint"`
	View   namer.Offset `cbor:"2,keyasint"`
}

// SnapConfig is the configuration in force.
type SnapConfig struct {
	Revision namer.Revision `cbor:"1,keyasint"`
	Nonce    string         `cbor:"2,keyasint"`
	Text     string         `cbor:"3,keyasint"`
}

// SnapRevision is a line of the history of revisions.
type SnapRevision struct {
	Revision namer.Revision `cbor:"1,keyasint" json:"revision"`
	Nonce    string         `cbor:"2,keyasint" json:"nonce"`
	By       string         `cbor:"3,keyasint" json:"by"`
	At       time.Time      `cbor:"4,keyasint" json:"at"`
	Offset   namer.Offset   `cbor:"5,keyasint" json:"offset"`
}

// Entry is a record with its place in the log.
type Entry struct {
	Offset namer.Offset `cbor:"1,keyasint"`
	Record Record       `cbor:"2,keyasint"`
}
