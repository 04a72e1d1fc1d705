package server

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/heatherslip/heatherslip/internal/core/dispatcher"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// EvacuateBody requests the evacuation of a failure domain, or takes it back if End is
// set.
type EvacuateBody struct {
	Domain namer.Domain `json:"domain"`
	End    bool         `json:"end,omitempty"`
	Author string       `json:"by"`
}

// EvacuationsBody lists the last request for each domain that had one.
type EvacuationsBody struct {
	Evacuations []coder.Evacuation `json:"evacuations"`
}

// EvacuateAnswer is the answer to an EvacuateBody. Its verdict is accepted, outdated if
// somebody else has requested the opposite meanwhile, or unsettled.
type EvacuateAnswer struct {
	Verdict PublishVerdict `json:"verdict"`
	Detail  string         `json:"detail,omitempty"`
}

func (s *Server) listEvacuations(rw http.ResponseWriter, r *http.Request) {
	if !s.requireOperator(rw, r) {
		return
	}
	body := EvacuationsBody{Evacuations: []coder.Evacuation{}}
	s.instance.Inspect(func(n *dispatcher.Node) { body.Evacuations = append(body.Evacuations, n.State().Evacuations()...) })
	writeJSON(rw, http.StatusOK, body)
}

func (s *Server) evacuateDomain(rw http.ResponseWriter, r *http.Request) {
	if !s.requireOperator(rw, r) {
		return
	}
	var body EvacuateBody
	if err := s.decodeBody(rw, r, &body); err != nil {
		writeError(rw, err)
		return
	}
	var known []namer.Domain
	var base namer.Offset
	s.instance.Inspect(func(n *dispatcher.Node) {
		known, base = n.State().KnownDomains(), n.State().Evacuation(body.Domain).Offset
	})
	if !slices.Contains(known, body.Domain) {
		writeError(rw, &apiError{coder.CodeNoDomain, fmt.Sprintf("there is no failure domain %q; known are %v", body.Domain, known)})
		return
	}
	verdict := s.appendEvacuation(&coder.Evacuate{Domain: body.Domain, End: body.End, BaseOffset: base, Author: body.Author, At: time.Now()}, r)
	answer := EvacuateAnswer{Verdict: verdict}
	switch verdict {
	case PublishOutdated:
		answer.Detail = "the opposite was requested at the same time; see the list and request again"
	case PublishUnconfirmed:
		answer.Detail = "the log did not respond; the request may still come into force"
	}
	writeJSON(rw, publishHTTPStatus(verdict), answer)
}

// appendEvacuation appends a request to the log and waits until the log shows whether it
// or an equal one was accepted. The append is repeated because it may have been lost; a
// second copy has no effect, since its base is not the last request any more.
func (s *Server) appendEvacuation(e *coder.Evacuate, r *http.Request) PublishVerdict {
	var appendedAt time.Time
	for startedAt := time.Now(); time.Since(startedAt) < publishTimeout && r.Context().Err() == nil; {
		if verdict := s.evacuationVerdict(e); verdict != PublishUnconfirmed {
			return verdict
		}
		if time.Since(appendedAt) > appendRetryInterval {
			appendedAt = time.Now()
			s.instance.AppendRecord(coder.Record{Evacuate: e})
		}
		time.Sleep(verdictPollInterval)
	}
	return PublishUnconfirmed
}

// evacuationVerdict returns the result for a request as far as the log shows it.
func (s *Server) evacuationVerdict(e *coder.Evacuate) PublishVerdict {
	var last coder.Evacuation
	s.instance.Inspect(func(n *dispatcher.Node) { last = n.State().Evacuation(e.Domain) })
	switch {
	case last.Offset == e.BaseOffset:
		return PublishUnconfirmed
	case last.Ended == e.End:
		return PublishAccepted
	default:
		return PublishOutdated
	}
}
