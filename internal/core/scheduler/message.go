package scheduler

import (
	"slices"
	"time"

	"github.com/heatherslip/heatherslip/internal/core/crashcounter"
	"github.com/heatherslip/heatherslip/internal/core/detector"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// PeerMessage is the batch of messages that an instance sends to a peer at the
// end of a step. It may be lost, duplicated or delivered in parts.
type PeerMessage struct {
	ReserveRequests  []ReserveRequest  `cbor:"1,keyasint,omitempty"`
	ReserveResponses []ReserveResponse `cbor:"2,keyasint,omitempty"`
	Cancellations    []Cancellation    `cbor:"3,keyasint,omitempty"`
	RunEnds          []RunEnd          `cbor:"4,keyasint,omitempty"`
	RunEndAcks       []RunEndAck       `cbor:"5,keyasint,omitempty"`
	Progress         []RunProgress     `cbor:"6,keyasint,omitempty"`
	Stops            []RunRef          `cbor:"7,keyasint,omitempty"`
	StartOrders      []RunRef          `cbor:"8,keyasint,omitempty"`
	StartReports     []StartReport     `cbor:"9,keyasint,omitempty"`
	// Payloads has the payload of each job with a start order.
	Payloads []JobPayload  `cbor:"10,keyasint,omitempty"`
	Crashes  []CrashReport `cbor:"11,keyasint,omitempty"`
	Speeds   []SpeedReport `cbor:"14,keyasint,omitempty"`
	// Interference has the kinds that slow each other down, as an owner has found.
	Interference []detector.Finding `cbor:"17,keyasint,omitempty"`
	// SizeRequests names the runs on unguarded workers whose size the owner asks for.
	SizeRequests  []RunRef       `cbor:"24,keyasint,omitempty"`
	RunSizes      []RunSize      `cbor:"25,keyasint,omitempty"`
	FenceRequests []namer.Worker `cbor:"26,keyasint,omitempty"`
	Fences        []WorkerFence  `cbor:"27,keyasint,omitempty"`
	LateStarts    []LateStart    `cbor:"28,keyasint,omitempty"`
	// UnknownRuns names the runs of the sender, on workers of the receiver, that it doesn't
	// know.
	UnknownRuns []RunRef `cbor:"29,keyasint,omitempty"`
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
	// TimeLeft is the time until the task has to end; zero if its job has no objective.
	TimeLeft time.Duration `cbor:"10,keyasint,omitempty"`
	// Tasks is the number of tasks of the step.
	Tasks int `cbor:"18,keyasint,omitempty"`
	// DataRack is the label of the workers near the data; empty if all are.
	DataRack string `cbor:"20,keyasint,omitempty"`
	// RackWait is how long the task gets capacity only there.
	RackWait time.Duration `cbor:"21,keyasint,omitempty"`
	// Priority is that of the job's route.
	Priority int `cbor:"11,keyasint,omitempty"`
	// Unguarded is set if the workers of the service do not check their capacity.
	Unguarded bool `cbor:"30,keyasint,omitempty"`
}

// ReserveResponse answers a reserve request. Worker is empty if the request is
// queued because no capacity is free or the task is held, or if the task is given up.
type ReserveResponse struct {
	Task   namer.TaskName `cbor:"1,keyasint"`
	Run    namer.RunID    `cbor:"2,keyasint"`
	Worker namer.Worker   `cbor:"3,keyasint,omitempty"`
	// GivenUp is set if too many workers have crashed under the task.
	GivenUp bool `cbor:"4,keyasint,omitempty"`
	// ExpectedRunTime is the run time to expect on the worker, and LatestRunTime what it
	// probably doesn't exceed.
	ExpectedRunTime time.Duration `cbor:"5,keyasint,omitempty"`
	LatestRunTime   time.Duration `cbor:"8,keyasint,omitempty"`
	// Held is set if a request is queued because the task would be late on the free
	// workers.
	Held bool `cbor:"9,keyasint,omitempty"`
	// Draining is set if the owner knows that the worker is draining.
	Draining bool `cbor:"10,keyasint,omitempty"`
	// ExpectedWait is the predicted time until a queued request gets capacity; zero if
	// unknown.
	ExpectedWait time.Duration `cbor:"6,keyasint,omitempty"`
	// Fence is that of the worker, if it is unguarded.
	Fence namer.Fence `cbor:"30,keyasint,omitempty"`
}

// Cancellation withdraws a reserve request and releases what is reserved for it.
type Cancellation struct {
	Task namer.TaskName `cbor:"1,keyasint"`
	Run  namer.RunID    `cbor:"2,keyasint"`
}

// JobPayload is what the tasks of a job are started with.
type JobPayload struct {
	Job     namer.JobName `cbor:"1,keyasint"`
	Payload string        `cbor:"2,keyasint"`
}

// StartReport reports the result of a start order.
type StartReport struct {
	RunRef
	Status StartStatus `cbor:"4,keyasint"`
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
	// Age is the time since the worker reported the progress.
	Age time.Duration `cbor:"5,keyasint,omitempty"`
	// TimeLeft is how long the worker stayed at least as of that report, if it is
	// draining; zero if unknown.
	TimeLeft time.Duration `cbor:"6,keyasint,omitempty"`

	// reportedAt is when the worker reported the progress.
	reportedAt time.Time
}

// CrashReport says that a run was lost in a crash of its worker, or that it turned out
// not to be lost. Worker may be empty.
type CrashReport struct {
	RunRef
	Withdrawn bool `cbor:"4,keyasint,omitempty"`
	// Evidence says how certain it is that the run existed.
	Evidence crashcounter.Evidence `cbor:"5,keyasint,omitempty"`
}

func (m *PeerMessage) isEmpty() bool {
	return len(m.ReserveRequests)+len(m.ReserveResponses)+len(m.Cancellations)+len(m.RunEnds)+len(m.RunEndAcks)+len(m.Progress)+
		len(m.Stops)+len(m.StartOrders)+len(m.StartReports)+len(m.Crashes)+len(m.Speeds)+len(m.Interference)+
		len(m.SizeRequests)+len(m.RunSizes)+len(m.FenceRequests)+len(m.Fences)+len(m.LateStarts)+len(m.UnknownRuns) == 0
}

// addStartOrder adds a start order and the payload of its job.
func (m *PeerMessage) addStartOrder(r RunRef, payload string) {
	m.StartOrders = append(m.StartOrders, r)
	if !slices.ContainsFunc(m.Payloads, func(p JobPayload) bool { return p.Job == r.Task.Job }) {
		m.Payloads = append(m.Payloads, JobPayload{r.Task.Job, payload})
	}
}

// payload returns the payload of a job, and whether the message has it.
func (m *PeerMessage) payload(job namer.JobName) (string, bool) {
	i := slices.IndexFunc(m.Payloads, func(p JobPayload) bool { return p.Job == job })
	if i < 0 {
		return "", false
	}
	return m.Payloads[i].Payload, true
}

// Split splits a message into two. It reports whether both have content.
func (m *PeerMessage) Split() (first, second PeerMessage, ok bool) {
	if orders := m.StartOrders; len(orders) > 0 {
		if first = (PeerMessage{StartOrders: orders, Payloads: m.Payloads}); !m.isOnlyOrders() {
			second = *m
			second.StartOrders, second.Payloads = nil, nil
			return first, second, true
		}
		first.StartOrders, second.StartOrders = orders[:len(orders)/2], orders[len(orders)/2:]
		first.Payloads, second.Payloads = m.payloadsFor(first.StartOrders), m.payloadsFor(second.StartOrders)
		return first, second, len(orders) > 1
	}
	n := max(len(m.ReserveRequests), len(m.ReserveResponses), len(m.Cancellations), len(m.RunEnds), len(m.RunEndAcks), len(m.Progress),
		len(m.Stops), len(m.StartReports), len(m.Crashes), len(m.Speeds), len(m.Interference),
		len(m.SizeRequests), len(m.RunSizes), len(m.FenceRequests), len(m.Fences), len(m.LateStarts), len(m.UnknownRuns))
	if n == 0 {
		return first, second, false
	}
	if n == 1 {
		// A single entry fits into a datagram, but entries of several fields may
		// not.
		first = PeerMessage{ReserveRequests: m.ReserveRequests, ReserveResponses: m.ReserveResponses, Cancellations: m.Cancellations}
		second = PeerMessage{
			RunEnds: m.RunEnds, RunEndAcks: m.RunEndAcks, Progress: m.Progress, Stops: m.Stops, StartReports: m.StartReports, Crashes: m.Crashes,
			Speeds: m.Speeds, Interference: m.Interference,
			SizeRequests: m.SizeRequests, RunSizes: m.RunSizes, FenceRequests: m.FenceRequests, Fences: m.Fences, LateStarts: m.LateStarts, UnknownRuns: m.UnknownRuns,
		}
		return first, second, !first.isEmpty() && !second.isEmpty()
	}
	half := n / 2
	first.ReserveRequests, second.ReserveRequests = m.ReserveRequests[:min(half, len(m.ReserveRequests))], m.ReserveRequests[min(half, len(m.ReserveRequests)):]
	first.ReserveResponses, second.ReserveResponses = m.ReserveResponses[:min(half, len(m.ReserveResponses))], m.ReserveResponses[min(half, len(m.ReserveResponses)):]
	first.Cancellations, second.Cancellations = m.Cancellations[:min(half, len(m.Cancellations))], m.Cancellations[min(half, len(m.Cancellations)):]
	first.RunEnds, second.RunEnds = m.RunEnds[:min(half, len(m.RunEnds))], m.RunEnds[min(half, len(m.RunEnds)):]
	first.RunEndAcks, second.RunEndAcks = m.RunEndAcks[:min(half, len(m.RunEndAcks))], m.RunEndAcks[min(half, len(m.RunEndAcks)):]
	first.Progress, second.Progress = m.Progress[:min(half, len(m.Progress))], m.Progress[min(half, len(m.Progress)):]
	first.Stops, second.Stops = m.Stops[:min(half, len(m.Stops))], m.Stops[min(half, len(m.Stops)):]
	first.StartReports, second.StartReports = m.StartReports[:min(half, len(m.StartReports))], m.StartReports[min(half, len(m.StartReports)):]
	first.Crashes, second.Crashes = m.Crashes[:min(half, len(m.Crashes))], m.Crashes[min(half, len(m.Crashes)):]
	first.Interference, second.Interference = m.Interference[:min(half, len(m.Interference))], m.Interference[min(half, len(m.Interference)):]
	first.Speeds, second.Speeds = m.Speeds[:min(half, len(m.Speeds))], m.Speeds[min(half, len(m.Speeds)):]
	first.SizeRequests, second.SizeRequests = m.SizeRequests[:min(half, len(m.SizeRequests))], m.SizeRequests[min(half, len(m.SizeRequests)):]
	first.RunSizes, second.RunSizes = m.RunSizes[:min(half, len(m.RunSizes))], m.RunSizes[min(half, len(m.RunSizes)):]
	first.FenceRequests, second.FenceRequests = m.FenceRequests[:min(half, len(m.FenceRequests))], m.FenceRequests[min(half, len(m.FenceRequests)):]
	first.Fences, second.Fences = m.Fences[:min(half, len(m.Fences))], m.Fences[min(half, len(m.Fences)):]
	first.LateStarts, second.LateStarts = m.LateStarts[:min(half, len(m.LateStarts))], m.LateStarts[min(half, len(m.LateStarts)):]
	first.UnknownRuns, second.UnknownRuns = m.UnknownRuns[:min(half, len(m.UnknownRuns))], m.UnknownRuns[min(half, len(m.UnknownRuns)):]
	return first, second, true
}

// isOnlyOrders reports whether a message has nothing but start orders.
func (m *PeerMessage) isOnlyOrders() bool {
	rest := *m
	rest.StartOrders, rest.Payloads = nil, nil
	return rest.isEmpty()
}

// payloadsFor returns the payloads of the jobs with the given orders.
func (m *PeerMessage) payloadsFor(orders []RunRef) []JobPayload {
	var out []JobPayload
	for _, p := range m.Payloads {
		if slices.ContainsFunc(orders, func(r RunRef) bool { return r.Task.Job == p.Job }) {
			out = append(out, p)
		}
	}
	return out
}
