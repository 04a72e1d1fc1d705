package emulator

import "time"

// Minion is one back end of a service. It is not safe for concurrent use.
type Minion struct {
	Name        string
	Service     string
	Domain      string
	Slots       int
	Connections int
	Faults      MinionFaults
	Counts      MinionCounts

	busy int
	// runs counts the runs of each unrepeatable request.
	runs map[string]int
}

// MinionFaults are what a minion can be made to do.
type MinionFaults struct {
	// Dead answers nothing.
	Dead bool `json:"dead"`
	// FailAll fails each request at once.
	FailAll bool `json:"fail_all"`
	// Leaving refuses requests and closes connections.
	Leaving bool `json:"leaving"`
	// LoseAnswers runs requests and closes the connection.
	LoseAnswers bool `json:"lose_answers"`
}

// MinionCounts counts what has happened on a minion.
type MinionCounts struct {
	Runs    int `json:"runs"`
	Refused int `json:"refused"`
	// Doubles counts the unrepeatable requests that came again.
	Doubles int `json:"doubles"`
	// MostBusy is the largest number of requests at once.
	MostBusy int `json:"most_busy"`
}

// NewMinion returns an idle minion.
func NewMinion(name, service, domain string, slots, connections int) *Minion {
	return &Minion{Name: name, Service: service, Domain: domain, Slots: slots, Connections: connections, runs: make(map[string]int)}
}

// Begin takes a request if there is a slot. The id is empty for a request
// that may be repeated.
func (m *Minion) Begin(id string) bool {
	if m.Faults.Leaving || m.busy >= m.Slots {
		m.Counts.Refused++
		return false
	}
	m.busy++
	m.Counts.Runs++
	m.Counts.MostBusy = max(m.Counts.MostBusy, m.busy)
	if id != "" {
		m.runs[id]++
		if m.runs[id] > 1 {
			m.Counts.Doubles++
		}
	}
	return true
}

// End gives the slot of a request back.
func (m *Minion) End() { m.busy-- }

// Plan returns how a request goes.
func (m *Minion) Plan(payload string) (run time.Duration, ok bool, output string) {
	if m.Faults.FailAll {
		return time.Millisecond, false, "minion fails everything"
	}
	return PlanOf(payload)
}
