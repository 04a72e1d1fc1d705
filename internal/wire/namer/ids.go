// Package namer holds the named types of ids and units that all parts share,
// and the rules by which a key shows its home and its age.
package namer

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
)

// Incarnation names one life of an entry instance: the instance's name and a
// nonce drawn at its start. An incarnation is never used again.
type Incarnation string

// Domain names a failure domain.
type Domain string

// Region names a region, a group of failure domains.
type Region string

// Team names a team whose work is limited together.
type Team string

// Kind names a kind of work, such as "quote".
type Kind string

// Service names a service that minions serve.
type Service string

// Worker names a worker of the platform.
type Worker string

// Minion names a minion of a service.
type Minion string

// Lease names a lease that a worker has granted.
type Lease string

// Offset is a place in the platform's log. The first record has offset 1.
type Offset uint64

// Revision numbers the accepted revisions of the configuration from 1.
type Revision uint64

// Call numbers the calls that one instance has received.
type Call uint64

// MilliCores counts thousandths of a processor core.
type MilliCores int

// MilliPerCore is the number of milli-cores in a core.
const MilliPerCore = 1000

// Megabytes counts memory in units of 2^20 bytes.
type Megabytes int

// Accelerators counts whole accelerators.
type Accelerators int

// Submission identifies what a client asked for: its team and the key that
// the client chose. Two calls with the same Submission ask for the same work.
type Submission struct {
	Team Team `cbor:"1,keyasint"`
	Key  Key  `cbor:"2,keyasint"`
}

// ID is a digest of a Submission, 128 bits of SHA-256 in hexadecimal.
type ID string

// ID returns the digest that identifies the submission on workers and in the
// log. The team's length goes first, so that no two pairs run together.
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
