package coder

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Ran says whether the work that a call asked for was run.
type Ran string

// The three truths about a piece of work.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// TaskSpec declares one task of a job.
type TaskSpec struct {
	Cores        namer.MilliCores   `cbor:"1,keyasint" json:"cores"`
	Memory       namer.Megabytes    `cbor:"2,keyasint" json:"memory"`
	Accelerators namer.Accelerators `cbor:"3,keyasint,omitempty" json:"accelerators,omitempty"`
	// Millis is the declared run time in milliseconds. It may be wrong.
	Millis  int    `cbor:"4,keyasint,omitempty" json:"millis,omitempty"`
	Payload string `cbor:"5,keyasint,omitempty" json:"payload,omitempty"`
}

// Work is a job (Service is empty) or a request (Service names the service
// and Tasks holds one entry).
type Work struct {
	Submission namer.Submission `cbor:"1,keyasint"`
	Kind       namer.Kind       `cbor:"2,keyasint"`
	Service    namer.Service    `cbor:"3,keyasint,omitempty"`
	// Deadline is the time after which the caller has no use for an answer.
	Deadline time.Time  `cbor:"4,keyasint"`
	Tasks    []TaskSpec `cbor:"5,keyasint"`
	// Repeatable is set for a request that may run more than once.
	Repeatable bool `cbor:"6,keyasint,omitempty"`
}

// Digest is a fingerprint of what is asked for, without the deadline: the
// same work asked for again, a little later, has the same digest.
func (w *Work) Digest() (string, error) {
	undated := *w
	undated.Deadline = time.Time{}
	b, err := encMode.Marshal(undated)
	if err != nil {
		return "", fmt.Errorf("digest work: %w", err)
	}
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:16]), nil
}

// Status is the state of a submission as a caller sees it.
type Status string

// The states of a submission. Done, Failed and Cancelled are terminal.
const (
	Running   Status = "running"
	Done      Status = "done"
	Failed    Status = "failed"
	Cancelled Status = "cancelled"
	Refused   Status = "refused"
	Unknown   Status = "unknown"
)

// Terminal reports whether a submission in this state never changes again.
func (s Status) Terminal() bool {
	return s == Done || s == Failed || s == Cancelled
}

// TaskOutcome says what became of one task.
type TaskOutcome struct {
	Index  int    `cbor:"1,keyasint" json:"index"`
	Ran    Ran    `cbor:"2,keyasint" json:"ran"`
	OK     bool   `cbor:"3,keyasint,omitempty" json:"ok"`
	Output string `cbor:"4,keyasint,omitempty" json:"output,omitempty"`
}

// Answer is what a caller is told.
type Answer struct {
	Status Status `cbor:"1,keyasint" json:"status"`
	// Code is stable; docs/API.md lists them all.
	Code   Code   `cbor:"2,keyasint,omitempty" json:"code,omitempty"`
	Ran    Ran    `cbor:"3,keyasint" json:"ran"`
	Detail string `cbor:"4,keyasint,omitempty" json:"detail,omitempty"`
	// RetryMillis tells when to come back, in milliseconds from now.
	RetryMillis int           `cbor:"5,keyasint,omitempty" json:"retry_ms,omitempty"`
	Tasks       []TaskOutcome `cbor:"6,keyasint,omitempty" json:"tasks,omitempty"`
}

// Code names the reason of an answer that is not Done.
type Code string

// The codes of answers.
const (
	CodeBadRequest   Code = "bad-request"
	CodeTooLarge     Code = "too-large"
	CodeUnauthorized Code = "unauthorized"
	CodeForbidden    Code = "forbidden"
	CodeConflict     Code = "conflict"
	CodeExpired      Code = "expired"
	CodeNotFound     Code = "not-found"
	CodeNeverFits    Code = "never-fits"
	CodeOverload     Code = "overload"
	CodeQuota        Code = "quota"
	CodeDeadline     Code = "deadline"
	CodeLost         Code = "history-lost"
	CodeOwner        Code = "owner-unreachable"
	CodeHome         Code = "home-unreachable"
	CodeNoHeir       Code = "no-heir"
	CodeTask         Code = "task-failed"
	CodeTaskUnknown  Code = "task-unknown"
	CodeCancelled    Code = "cancelled"
	CodeNoMinion     Code = "no-minion"
	CodeAnswerLost   Code = "answer-lost"
	CodeDraining     Code = "draining"
	CodeNotReady     Code = "not-ready"
)
