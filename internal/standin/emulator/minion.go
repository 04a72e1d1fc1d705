package emulator

import "time"

// Minion is a backend of a service that runs requests in a fixed number of slots.
// It is not safe for concurrent use.
type Minion struct {
	Name           string
	Service        string
	Domain         string
	Slots          int
	MaxConnections int
	Faults         MinionFaults
	Counts         MinionCounts

	inFlight int
	// unrepeatableRuns counts the runs of each unrepeatable request, by id.
	unrepeatableRuns map[string]int
}

// MinionFaults are the faults of a minion that can be injected.
type MinionFaults struct {
	// Unreachable closes connections without an answer.
	Unreachable bool `json:"dead"`
	// FailAll makes each request fail after a millisecond.
	FailAll bool `json:"fail_all"`
	// Draining refuses requests, closes their connections, and marks the minion as
	// draining in the platform's list.
	Draining bool `json:"leaving"`
	// DropAnswers runs requests and closes the connection without an answer.
	DropAnswers bool `json:"lose_answers"`
}

// MinionCounts counts the requests to a minion.
type MinionCounts struct {
	Runs            int `json:"runs"`
	RefusedRequests int `json:"refused"`
	// DuplicateRuns is the number of runs of unrepeatable requests beyond the first.
	DuplicateRuns int `json:"doubles"`
	// MaxInFlight is the maximum number of requests in flight at once.
	MaxInFlight int `json:"most_busy"`
}

// NewMinion returns an idle minion.
func NewMinion(name, service, domain string, slots, maxConnections int) *Minion {
	return &Minion{Name: name, Service: service, Domain: domain, Slots: slots, MaxConnections: maxConnections, unrepeatableRuns: make(map[string]int)}
}

// BeginRequest occupies a slot for a request and reports whether one was free. The
// id is empty for a repeatable request.
func (m *Minion) BeginRequest(id string) bool {
	if m.Faults.Draining || m.inFlight >= m.Slots {
		m.Counts.RefusedRequests++
		return false
	}
	m.inFlight++
	m.Counts.Runs++
	m.Counts.MaxInFlight = max(m.Counts.MaxInFlight, m.inFlight)
	if id != "" {
		m.unrepeatableRuns[id]++
		if m.unrepeatableRuns[id] > 1 {
			m.Counts.DuplicateRuns++
		}
	}
	return true
}

// EndRequest releases the slot of a request.
func (m *Minion) EndRequest() { m.inFlight-- }

// PlanRequest returns the run time and the result of a request, as its payload and
// the minion's faults determine them.
func (m *Minion) PlanRequest(payload string) (runTime time.Duration, ok bool, output string) {
	if m.Faults.FailAll {
		return time.Millisecond, false, "minion fails everything"
	}
	return ParsePayload(payload)
}
