package admitter

import (
	"cmp"
	"math"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Shares divides capacity by start-time fair queueing (Goyal, Vin and Cheng 1996), first
// among kinds in proportion to their weight, and within a kind equally among flows. It is
// not safe for concurrent use. Build one with NewShares.
type Shares struct {
	// virtualTime is the start tag of the last work that got capacity in its turn.
	virtualTime float64
	kinds       map[namer.Kind]*kindShare
}

// Flow is the work of a kind from the callers of one failure domain. Sizes share it in order
// of arrival, so that large jobs wait as long as others.
type Flow struct {
	kind   *kindShare
	domain namer.Domain
	// start is the start tag of the flow's next work, in core-seconds of the kind.
	start float64
}

type kindShare struct {
	name namer.Kind
	// weight is positive; start is the start tag of the kind's next work, in core-seconds
	// over weight.
	weight, start float64
	// virtualTime is that of the kind's flows.
	virtualTime float64
	flows       []*Flow
}

const (
	// maxFlows bounds the flows of a kind. Domains beyond it share a flow.
	maxFlows = 64
	// maxPriority is the lowest priority that is told apart.
	maxPriority = 8
	// priorityWeight is the weight of a priority over that of the next lower one. Work
	// that needs less than its share is served whatever the weights are; among kinds that
	// need more, the urgent one gets more and none is left without.
	priorityWeight = 1.25
)

// NewShares returns shares without any kind.
func NewShares() *Shares { return &Shares{kinds: make(map[namer.Kind]*kindShare)} }

// weightOf returns the weight of a kind of the given priority; 0 is the most urgent.
func weightOf(priority int) float64 {
	return math.Pow(priorityWeight, -float64(min(max(priority, 0), maxPriority)))
}

// Flow returns the flow of a kind's work from a domain, which it creates if needed.
func (s *Shares) Flow(kind namer.Kind, priority int, domain namer.Domain) *Flow {
	k := s.kinds[kind]
	if k == nil {
		k = &kindShare{name: kind, start: s.virtualTime}
		s.kinds[kind] = k
	}
	k.weight = weightOf(priority)
	for _, f := range k.flows {
		if f.domain == domain {
			return f
		}
	}
	if len(k.flows) >= maxFlows {
		return k.flows[0]
	}
	f := &Flow{kind: k, domain: domain, start: k.virtualTime}
	k.flows = append(k.flows, f)
	return f
}

// Precedes reports whether work of f gets capacity before work of other.
func (s *Shares) Precedes(f, other *Flow) bool {
	if f.kind != other.kind {
		a, b := max(f.kind.start, s.virtualTime), max(other.kind.start, s.virtualTime)
		return cmp.Or(cmp.Compare(a, b), cmp.Compare(f.kind.start, other.kind.start), cmp.Compare(f.kind.name, other.kind.name)) < 0
	}
	a, b := max(f.start, f.kind.virtualTime), max(other.start, f.kind.virtualTime)
	return cmp.Or(cmp.Compare(a, b), cmp.Compare(f.domain, other.domain)) < 0
}

// IsSameKind reports whether both flows are of one kind.
func (f *Flow) IsSameKind(other *Flow) bool { return f.kind == other.kind }

// Charge records that work of a flow got capacity, in core-seconds. Work that got it out of
// turn doesn't advance the virtual time: the flows that wait keep what they are owed.
func (s *Shares) Charge(f *Flow, work float64, inTurn bool) {
	k := f.kind
	k.start, f.start = max(k.start, s.virtualTime), max(f.start, k.virtualTime)
	if inTurn {
		s.virtualTime, k.virtualTime = k.start, f.start
	}
	k.start += work / k.weight
	f.start += work
}
