package coder

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Work is either a job, with Service empty, or a request to a service, with
// exactly one entry in Tasks.
type Work struct {
	Submission namer.Submission `cbor:"1,keyasint"`
	Kind       namer.Kind       `cbor:"2,keyasint"`
	Service    namer.Service    `cbor:"3,keyasint,omitempty"`
	// Deadline is the time after which the answer is useless to the caller.
	Deadline time.Time  `cbor:"4,keyasint"`
	Tasks    []TaskSpec `cbor:"5,keyasint"`
	// Repeatable is set for a request that may run more than once.
	Repeatable bool `cbor:"6,keyasint,omitempty"`
}

// Digest returns a hash of the work without its deadline, so that a later
// submission of the same work has the same digest.
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

// TaskSpec describes one task of a job.
type TaskSpec struct {
	Cores        namer.MilliCores   `cbor:"1,keyasint" json:"cores"`
	Memory       namer.Megabytes    `cbor:"2,keyasint" json:"memory"`
	Accelerators namer.Accelerators `cbor:"3,keyasint,omitempty" json:"accelerators,omitempty"`
	// RunTimeMillis is the run time in milliseconds that the client declares. It may be
	// inaccurate.
	RunTimeMillis int    `cbor:"4,keyasint,omitempty" json:"millis,omitempty"`
	Payload       string `cbor:"5,keyasint,omitempty" json:"payload,omitempty"`
}

// Ran says whether a piece of work was run.
type Ran string

// Values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Status is the state of a submission as reported to callers.
type Status string

// States of a submission. Done, failed and cancelled are terminal.
const (
	StatusRunning   Status = "running"
	StatusDone      Status = "done"
	StatusFailed    Status = "failed"
	StatusCancelled Status = "cancelled"
	StatusRefused   Status = "refused"
	StatusUnknown   Status = "unknown"
)

// IsTerminal reports whether a submission in this state can no longer change.
func (s Status) IsTerminal() bool {
	return s == StatusDone || s == StatusFailed || s == StatusCancelled
}

// TaskOutcome is the result of one task.
type TaskOutcome struct {
	Index  int    `cbor:"1,keyasint" json:"index"`
	Ran    Ran    `cbor:"2,keyasint" json:"ran"`
	OK     bool   `cbor:"3,keyasint,omitempty" json:"ok"`
	Output string `cbor:"4,keyasint,omitempty" json:"output,omitempty"`
}

// Answer is the answer to a call.
type Answer struct {
	Status Status `cbor:"1,keyasint" json:"status"`
	// Code is part of the API; docs/API.md lists all codes.
	Code   Code   `cbor:"2,keyasint,omitempty" json:"code,omitempty"`
	Ran    Ran    `cbor:"3,keyasint" json:"ran"`
	Detail string `cbor:"4,keyasint,omitempty" json:"detail,omitempty"`
	// RetryMillis is how long the caller should wait before it tries again, in
	// milliseconds.
	RetryMillis int           `cbor:"5,keyasint,omitempty" json:"retry_ms,omitempty"`
	Tasks       []TaskOutcome `cbor:"6,keyasint,omitempty" json:"tasks,omitempty"`
}

// Code is the reason for an answer other than done.
type Code string

// Codes of answers.
const (
	CodeBadRequest       Code = "bad-request"
	CodeTooLarge         Code = "too-large"
	CodeUnauthorized     Code = "unauthorized"
	CodeForbidden        Code = "forbidden"
	CodeConflict         Code = "conflict"
	CodeExpired          Code = "expired"
	CodeNotFound         Code = "not-found"
	CodeNeverFits        Code = "never-fits"
	CodeOverload         Code = "overload"
	CodeQuota            Code = "quota"
	CodeDeadline         Code = "deadline"
	CodeHistoryLost      Code = "history-lost"
	CodeOwnerUnreachable Code = "owner-unreachable"
	CodeHomeUnreachable  Code = "home-unreachable"
	CodeNoSuccessor      Code = "no-heir"
	CodeTaskFailed       Code = "task-failed"
	CodeTaskUnknown      Code = "task-unknown"
	CodeCancelled        Code = "cancelled"
	CodeNoMinion         Code = "no-minion"
	CodeAnswerLost       Code = "answer-lost"
	CodeDraining         Code = "draining"
	CodeNotReady         Code = "not-ready"
	CodeEvacuated        Code = "evacuated"
	CodeNoDomain         Code = "no-domain"
)
