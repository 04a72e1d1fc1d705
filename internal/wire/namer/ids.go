// Package namer defines the identifier and unit types that all packages share,
// and reads the home domain and the creation time from a submission's key.
package namer

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
)

// Incarnation identifies one run of an entry instance: the instance's name and
// a nonce drawn at its start. An incarnation is never reused.
type Incarnation string

// Domain is the name of a failure domain.
type Domain string

// Region is the name of a region, which is a group of failure domains.
type Region string

// Team is the name of a team, whose submissions share one quota.
type Team string

// Kind is the name of a kind of work, such as "quote".
type Kind string

// Service is the name of a service that minions serve.
type Service string

// Worker is the name of a worker of the platform.
type Worker string

// Minion is the name of a minion of a service.
type Minion string

// Lease is the id of a lease that a worker has granted.
type Lease string

// Offset is the position of a record in the platform's log. The first record
// has offset 1.
type Offset uint64

// Revision is the number of an accepted configuration, counted from 1.
type Revision uint64

// CallID identifies a call among those that one instance has received.
type CallID uint64

// MilliCores is an amount of CPU in thousandths of a core.
type MilliCores int

// MilliCoresPerCore is the number of milli-cores in a core.
const MilliCoresPerCore = 1000

// Megabytes is an amount of memory in units of 2^20 bytes.
type Megabytes int

// Accelerators is a number of whole accelerators.
type Accelerators int

// Submission identifies a piece of work by its team and the idempotency key
// that the client chose. Two calls with the same Submission are about the same
// work.
type Submission struct {
	Team Team `cbor:"1,keyasint"`
	Key  Key  `cbor:"2,keyasint"`
}

// ID is a digest of a Submission, 128 bits of SHA-256 in hexadecimal.
type ID string

// ID returns the digest that identifies the submission on workers and in the
// log. The hash input starts with the length of the team's name, so that
// different pairs of team and key never give the same input.
func (s Submission) ID() ID {
	const idBytes = 16
	h := sha256.New()
	h.Write([]byte(strconv.Itoa(len(s.Team))))
	h.Write([]byte{':'})
	h.Write([]byte(s.Team))
	h.Write([]byte(s.Key))
	return ID(hex.EncodeToString(h.Sum(nil)[:idBytes]))
}

// Task identifies one task of a submission.
type Task struct {
	ID    ID  `cbor:"1,keyasint" json:"id"`
	Index int `cbor:"2,keyasint" json:"index"`
}
