package scheduler

import (
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Letter is what an instance tells a peer at the end of a step. Each part may
// be lost or come twice.
type Letter struct {
	Asks    []Ask       `cbor:"1,keyasint,omitempty"`
	Grants  []Grant     `cbor:"2,keyasint,omitempty"`
	Results []Result    `cbor:"3,keyasint,omitempty"`
	Ends    []EndNotice `cbor:"4,keyasint,omitempty"`
	Seen    []EndSeen   `cbor:"5,keyasint,omitempty"`
	Active  []RunNotice `cbor:"6,keyasint,omitempty"`
	Stops   []RunName   `cbor:"7,keyasint,omitempty"`
}

// RunName names a run and its worker.
type RunName struct {
	Worker namer.Worker      `cbor:"1,keyasint"`
	Task   namer.RunningTask `cbor:"2,keyasint"`
	Run    namer.Run         `cbor:"3,keyasint"`
}

// Ask asks a home for a place for a task.
type Ask struct {
	Task     namer.RunningTask `cbor:"1,keyasint"`
	Run      namer.Run         `cbor:"2,keyasint"`
	Service  namer.Service     `cbor:"3,keyasint"`
	Size     Size              `cbor:"4,keyasint"`
	Requires string            `cbor:"5,keyasint,omitempty"`
	Kind     namer.Kind        `cbor:"6,keyasint"`
	Class    wantClass         `cbor:"7,keyasint"`
	// Predicted is the expected run time, Patience how long the ask is good.
	Predicted time.Duration `cbor:"8,keyasint"`
	Patience  time.Duration `cbor:"9,keyasint"`
}

// Grant gives a place for an Ask. Worker is empty where the ask has to wait.
type Grant struct {
	Task   namer.RunningTask `cbor:"1,keyasint"`
	Run    namer.Run         `cbor:"2,keyasint"`
	Worker namer.Worker      `cbor:"3,keyasint,omitempty"`
	// Clock is the worker's clock when the home answered.
	Clock namer.WorkerMillis `cbor:"4,keyasint,omitempty"`
}

// Result tells a home what became of a place that it gave, or that an ask is
// withdrawn.
type Result struct {
	RunName
	Taken bool `cbor:"4,keyasint"`
}

// EndNotice tells an instance that one of its runs has ended.
type EndNotice struct {
	RunName
	Number int64            `cbor:"4,keyasint"`
	Born   namer.UnixMillis `cbor:"5,keyasint"`
	Cause  EndCause         `cbor:"6,keyasint"`
}

// EndSeen tells a home that an end needs no more notice.
type EndSeen struct {
	Worker namer.Worker     `cbor:"1,keyasint"`
	Born   namer.UnixMillis `cbor:"2,keyasint"`
	Number int64            `cbor:"3,keyasint"`
}

// RunNotice tells an instance that one of its runs is there, and how far.
type RunNotice struct {
	RunName
	Percent int `cbor:"4,keyasint"`
}

func (l *Letter) empty() bool {
	return len(l.Asks)+len(l.Grants)+len(l.Results)+len(l.Ends)+len(l.Seen)+len(l.Active)+len(l.Stops) == 0
}

// Split halves a letter. It reports whether there is anything to halve.
func (l *Letter) Split() (first, second Letter, ok bool) {
	n := max(len(l.Asks), len(l.Grants), len(l.Results), len(l.Ends), len(l.Seen), len(l.Active), len(l.Stops))
	if n == 0 {
		return first, second, false
	}
	if n == 1 {
		// One of each is below any bound, but two kinds may not be.
		first = Letter{Asks: l.Asks, Grants: l.Grants, Results: l.Results}
		second = Letter{Ends: l.Ends, Seen: l.Seen, Active: l.Active, Stops: l.Stops}
		return first, second, !first.empty() && !second.empty()
	}
	h := n / 2
	first.Asks, second.Asks = l.Asks[:min(h, len(l.Asks))], l.Asks[min(h, len(l.Asks)):]
	first.Grants, second.Grants = l.Grants[:min(h, len(l.Grants))], l.Grants[min(h, len(l.Grants)):]
	first.Results, second.Results = l.Results[:min(h, len(l.Results))], l.Results[min(h, len(l.Results)):]
	first.Ends, second.Ends = l.Ends[:min(h, len(l.Ends))], l.Ends[min(h, len(l.Ends)):]
	first.Seen, second.Seen = l.Seen[:min(h, len(l.Seen))], l.Seen[min(h, len(l.Seen)):]
	first.Active, second.Active = l.Active[:min(h, len(l.Active))], l.Active[min(h, len(l.Active)):]
	first.Stops, second.Stops = l.Stops[:min(h, len(l.Stops))], l.Stops[min(h, len(l.Stops)):]
	return first, second, true
}
