package replayer

import (
	"slices"
	"sort"

	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// applyEvacuate accepts a request for a known domain if it is based on the last accepted
// one: a copy that arrives late must not replace what was requested since.
func (s *State) applyEvacuate(offset namer.Offset, e *coder.Evacuate) Change {
	last := s.evacuations[e.Domain]
	if e.BaseOffset != last.Offset || !slices.Contains(s.knownDomains(), e.Domain) {
		return Change{}
	}
	s.advanceTime(e.At)
	wasEvacuated := s.IsEvacuated(e.Domain)
	s.evacuations[e.Domain] = coder.Evacuation{Domain: e.Domain, Ended: e.End, Offset: offset, Author: e.Author, At: e.At}
	if wasEvacuated == !e.End {
		return Change{}
	}
	return Change{EvacuatedDomain: e.Domain, EvacuationEnded: e.End}
}

// IsEvacuated reports whether nothing may be started in a domain.
func (s *State) IsEvacuated(d namer.Domain) bool {
	e, found := s.evacuations[d]
	return found && !e.Ended
}

// Evacuation returns the last accepted request for a domain; it is zero if there is none.
func (s *State) Evacuation(d namer.Domain) coder.Evacuation { return s.evacuations[d] }

// Evacuations returns the last accepted request for each domain that had one, sorted by
// domain.
func (s *State) Evacuations() []coder.Evacuation {
	var out []coder.Evacuation
	for _, e := range s.evacuations {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Domain < out[j].Domain })
	return out
}

// KnownDomains returns the initial domains and those that have or had members, sorted.
func (s *State) KnownDomains() []namer.Domain { return slices.Compact(sortedDomains(s.knownDomains())) }
