package scheduler

import (
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// PeerMessage is the batch of messages that an instance sends to a peer at the
// end of a step. It may be lost, duplicated or delivered in parts.
type PeerMessage struct {
	ReserveRequests    []ReserveRequest    `cbor:"1,keyasint,omitempty"`
	ReserveResponses   []ReserveResponse   `cbor:"2,keyasint,omitempty"`
	ReservationResults []ReservationResult `cbor:"3,keyasint,omitempty"`
	RunEnds            []RunEnd            `cbor:"4,keyasint,omitempty"`
	RunEndAcks         []RunEndAck         `cbor:"5,keyasint,omitempty"`
	Progress           []RunProgress       `cbor:"6,keyasint,omitempty"`
	Stops              []RunRef            `cbor:"7,keyasint,omitempty"`
}

// RunRef identifies a run and its worker.
type RunRef struct {
	Worker namer.Worker   `cbor:"1,keyasint"`
	Task   namer.TaskName `cbor:"2,keyasint"`
	Run    namer.RunID    `cbor:"3,keyasint"`
}

// ReserveRequest asks a peer to reserve capacity for a task on a worker that it
// owns.
type ReserveRequest struct {
	Task          namer.TaskName `cbor:"1,keyasint"`
	Run           namer.RunID    `cbor:"2,keyasint"`
	Service       namer.Service  `cbor:"3,keyasint"`
	Size          Resources      `cbor:"4,keyasint"`
	RequiredLabel string         `cbor:"5,keyasint,omitempty"`
	Kind          namer.Kind     `cbor:"6,keyasint"`
	Urgency       urgencyClass   `cbor:"7,keyasint"`
	// PredictedRunTime is the expected run time; Timeout is how long the
	// request is valid.
	PredictedRunTime time.Duration `cbor:"8,keyasint"`
	Timeout          time.Duration `cbor:"9,keyasint"`
}

// ReserveResponse answers a reserve request. Worker is empty if the request is
// queued because no capacity is free.
type ReserveResponse struct {
	Task   namer.TaskName `cbor:"1,keyasint"`
	Run    namer.RunID    `cbor:"2,keyasint"`
	Worker namer.Worker   `cbor:"3,keyasint,omitempty"`
	// Clock is the owner's estimate of the worker's clock.
	Clock namer.WorkerClockMillis `cbor:"4,keyasint,omitempty"`
}

// ReservationResult reports whether the run of a reservation was started. It
// also cancels a request, with an empty Worker.
type ReservationResult struct {
	RunRef
	Started bool `cbor:"4,keyasint"`
	// NoCapacity is set if the worker rejected the start for lack of capacity.
	NoCapacity bool `cbor:"5,keyasint,omitempty"`
}

// RunEnd notifies an instance that one of its runs has ended.
type RunEnd struct {
	RunRef
	Sequence int64            `cbor:"4,keyasint"`
	BootTime namer.UnixMillis `cbor:"5,keyasint"`
	Cause    EndCause         `cbor:"6,keyasint"`
}

// RunEndAck acknowledges a RunEnd, which need not be sent again.
type RunEndAck struct {
	Worker   namer.Worker     `cbor:"1,keyasint"`
	BootTime namer.UnixMillis `cbor:"2,keyasint"`
	Sequence int64            `cbor:"3,keyasint"`
}

// RunProgress notifies an instance that one of its runs is active, with its
// progress.
type RunProgress struct {
	RunRef
	Percent int `cbor:"4,keyasint"`
}

func (m *PeerMessage) isEmpty() bool {
	return len(m.ReserveRequests)+len(m.ReserveResponses)+len(m.ReservationResults)+len(m.RunEnds)+len(m.RunEndAcks)+len(m.Progress)+len(m.Stops) == 0
}

// Split splits a message into two halves. It reports whether both have content.
func (m *PeerMessage) Split() (first, second PeerMessage, ok bool) {
	n := max(len(m.ReserveRequests), len(m.ReserveResponses), len(m.ReservationResults), len(m.RunEnds), len(m.RunEndAcks), len(m.Progress), len(m.Stops))
	if n == 0 {
		return first, second, false
	}
	if n == 1 {
		// A single entry fits into a datagram, but entries of several fields may
		// not.
		first = PeerMessage{ReserveRequests: m.ReserveRequests, ReserveResponses: m.ReserveResponses, ReservationResults: m.ReservationResults}
		second = PeerMessage{RunEnds: m.RunEnds, RunEndAcks: m.RunEndAcks, Progress: m.Progress, Stops: m.Stops}
		return first, second, !first.isEmpty() && !second.isEmpty()
	}
	half := n / 2
	first.ReserveRequests, second.ReserveRequests = m.ReserveRequests[:min(half, len(m.ReserveRequests))], m.ReserveRequests[min(half, len(m.ReserveRequests)):]
	first.ReserveResponses, second.ReserveResponses = m.ReserveResponses[:min(half, len(m.ReserveResponses))], m.ReserveResponses[min(half, len(m.ReserveResponses)):]
	first.ReservationResults, second.ReservationResults = m.ReservationResults[:min(half, len(m.ReservationResults))], m.ReservationResults[min(half, len(m.ReservationResults)):]
	first.RunEnds, second.RunEnds = m.RunEnds[:min(half, len(m.RunEnds))], m.RunEnds[min(half, len(m.RunEnds)):]
	first.RunEndAcks, second.RunEndAcks = m.RunEndAcks[:min(half, len(m.RunEndAcks))], m.RunEndAcks[min(half, len(m.RunEndAcks)):]
	first.Progress, second.Progress = m.Progress[:min(half, len(m.Progress))], m.Progress[min(half, len(m.Progress)):]
	first.Stops, second.Stops = m.Stops[:min(half, len(m.Stops))], m.Stops[min(half, len(m.Stops)):]
	return first, second, true
}
