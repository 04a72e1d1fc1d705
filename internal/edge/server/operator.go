package server

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/heatherslip/heatherslip/internal/config/policer"
	"github.com/heatherslip/heatherslip/internal/core/dispatcher"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// ConfigBody is the configuration in force.
type ConfigBody struct {
	Revision namer.Revision `json:"revision"`
	Text     string         `json:"text"`
}

// PublishBody publishes a configuration on top of the revision it is based on.
type PublishBody struct {
	Base namer.Revision `json:"base"`
	Text string         `json:"text"`
	By   string         `json:"by"`
}

// Verdict is what became of a published revision.
type Verdict string

// The verdicts on a revision.
const (
	// Accepted revisions are in force.
	Accepted Verdict = "accepted"
	// Outdated revisions lost the race on their base, and never come into force.
	Outdated Verdict = "outdated"
	// Rejected revisions have findings, and were not published.
	Rejected Verdict = "rejected"
	// Unsettled revisions may still come into force: the log has not answered.
	Unsettled Verdict = "unsettled"
)

// PublishAnswer answers a PublishBody.
type PublishAnswer struct {
	Verdict  Verdict        `json:"verdict"`
	Revision namer.Revision `json:"revision"`
	Findings []string       `json:"findings,omitempty"`
}

// HistoryBody lists the accepted revisions, oldest first.
type HistoryBody struct {
	Revisions []coder.SnapRevision `json:"revisions"`
}

// InstanceLine is a member of a view.
type InstanceLine struct {
	coder.Member
	Self     bool           `json:"self"`
	Settled  bool           `json:"settled"`
	Retired  bool           `json:"retired"`
	Offset   namer.Offset   `json:"offset"`
	Revision namer.Revision `json:"revision"`
}

// WorkerLine is a worker as this instance sees it.
type WorkerLine struct {
	Name    namer.Worker     `json:"name"`
	Rack    string           `json:"rack"`
	Lease   bool             `json:"lease"`
	Leaving bool             `json:"leaving"`
	Aside   bool             `json:"aside"`
	Running int              `json:"running"`
	Cores   namer.MilliCores `json:"free_cores"`
}

// MinionLine is a minion as this instance sees it.
type MinionLine struct {
	Name     namer.Minion  `json:"name"`
	Service  namer.Service `json:"service"`
	Leaving  bool          `json:"leaving"`
	InFlight int           `json:"in_flight"`
	Share    int           `json:"share"`
	Slots    int           `json:"slots"`
}

// LinesBody lists what an instance sees.
type LinesBody struct {
	Instances []InstanceLine `json:"instances,omitempty"`
	Workers   []WorkerLine   `json:"workers,omitempty"`
	Minions   []MinionLine   `json:"minions,omitempty"`
}

// HomeBody tells the failure domain of the instance, for callers that want
// their keys to be owned there.
type HomeBody struct {
	Domain namer.Domain `json:"domain"`
}

func (s *Server) showHomeDomain(rw http.ResponseWriter, _ *http.Request) {
	var body HomeBody
	s.instance.Inspect(func(n *dispatcher.Node) { body.Domain = n.Member().Domain })
	writeJSON(rw, http.StatusOK, body)
}

func (s *Server) showConfig(rw http.ResponseWriter, r *http.Request) {
	if !s.requireOperator(rw, r) {
		return
	}
	writeJSON(rw, http.StatusOK, s.currentConfig())
}

func (s *Server) currentConfig() ConfigBody {
	var body ConfigBody
	s.instance.Inspect(func(n *dispatcher.Node) {
		c := n.State().Config()
		body = ConfigBody{Revision: c.Revision, Text: c.Text}
	})
	return body
}

func (s *Server) listRevisions(rw http.ResponseWriter, r *http.Request) {
	if !s.requireOperator(rw, r) {
		return
	}
	var body HistoryBody
	s.instance.Inspect(func(n *dispatcher.Node) {
		body.Revisions = append(body.Revisions, n.State().History()...)
	})
	writeJSON(rw, http.StatusOK, body)
}

// requireOperator writes a refusal where the caller is no operator. Before the
// first revision anybody may be: there is nobody yet who could be asked.
func (s *Server) requireOperator(rw http.ResponseWriter, r *http.Request) bool {
	policy := s.instance.Policy()
	if len(policy.Teams) == 0 {
		return true
	}
	team, err := authenticate(r, policy, namer.Team(r.URL.Query().Get("team")))
	if err == nil && !team.Operator {
		err = &apiError{coder.CodeForbidden, "only an operator may do this"}
	}
	if err != nil {
		writeError(rw, err)
		return false
	}
	return true
}

func (s *Server) publishConfig(rw http.ResponseWriter, r *http.Request) {
	if !s.requireOperator(rw, r) {
		return
	}
	var body PublishBody
	if err := decodeBody(rw, r, &body); err != nil {
		writeError(rw, err)
		return
	}
	policy, err := policer.Parse(body.Text)
	if err != nil {
		writeJSON(rw, http.StatusUnprocessableEntity, rejectedAnswer(err))
		return
	}
	nonce := make([]byte, 8)
	if _, err := rand.Read(nonce); err != nil {
		writeError(rw, err)
		return
	}
	answer := s.publishRevision(&coder.Revise{
		Base: body.Base, Nonce: hex.EncodeToString(nonce), By: body.By,
		At: time.Now(), Text: body.Text, Domains: policy.Domains,
	}, r)
	writeJSON(rw, publishHTTPStatus(answer.Verdict), answer)
}

func rejectedAnswer(err error) PublishAnswer {
	answer := PublishAnswer{Verdict: Rejected}
	var findings policer.Findings
	if !errors.As(err, &findings) {
		answer.Findings = []string{err.Error()}
		return answer
	}
	for _, f := range findings {
		answer.Findings = append(answer.Findings, f.String())
	}
	return answer
}

func publishHTTPStatus(v Verdict) int {
	switch v {
	case Accepted:
		return http.StatusOK
	case Outdated:
		return http.StatusConflict
	default:
		return http.StatusServiceUnavailable
	}
}

const (
	// publishTimeout bounds how long a publication waits for the log.
	publishTimeout      = 4 * time.Second
	appendRetryInterval = time.Second
	verdictPollInterval = 5 * time.Millisecond
)

// publishRevision appends a revision and reads from the log whether it won. The append
// is repeated where its answer may be lost: a second copy is void, since its
// base is no longer in force.
func (s *Server) publishRevision(rev *coder.Revise, r *http.Request) PublishAnswer {
	var sent time.Time
	for began := time.Now(); time.Since(began) < publishTimeout && r.Context().Err() == nil; {
		verdict, revision := s.revisionVerdict(rev)
		if verdict != Unsettled {
			return PublishAnswer{Verdict: verdict, Revision: revision}
		}
		if time.Since(sent) > appendRetryInterval {
			sent = time.Now()
			s.instance.AppendRecord(coder.Record{Revise: rev})
		}
		time.Sleep(verdictPollInterval)
	}
	return PublishAnswer{Verdict: Unsettled}
}

// revisionVerdict sees what the log says of a revision.
func (s *Server) revisionVerdict(rev *coder.Revise) (Verdict, namer.Revision) {
	verdict, revision := Unsettled, namer.Revision(0)
	s.instance.Inspect(func(n *dispatcher.Node) {
		for _, h := range n.State().History() {
			if h.Nonce == rev.Nonce {
				verdict, revision = Accepted, h.Revision
				return
			}
		}
		if now := n.State().Config().Revision; now != rev.Base {
			verdict, revision = Outdated, now
		}
	})
	return verdict, revision
}

func (s *Server) listInstances(rw http.ResponseWriter, r *http.Request) {
	if !s.requireOperator(rw, r) {
		return
	}
	var body LinesBody
	s.instance.Inspect(func(n *dispatcher.Node) {
		state := n.State()
		for _, m := range state.Members("") {
			line := InstanceLine{
				Member: m, Self: m.Incarnation == n.Member().Incarnation,
				Settled: state.Settled(m.Incarnation), Retired: state.Retired(m.Incarnation),
			}
			if line.Self {
				line.Offset, line.Revision = state.Offset, state.Config().Revision
			}
			body.Instances = append(body.Instances, line)
		}
	})
	writeJSON(rw, http.StatusOK, body)
}

func (s *Server) listWorkers(rw http.ResponseWriter, r *http.Request) {
	if !s.requireOperator(rw, r) {
		return
	}
	var body LinesBody
	s.instance.Inspect(func(n *dispatcher.Node) {
		for _, w := range n.Workers() {
			body.Workers = append(body.Workers, WorkerLine{
				Name: w.Name, Rack: w.Rack, Lease: w.Lease != "", Leaving: w.Leaving,
				Aside: w.Aside(time.Now()), Running: w.Running, Cores: w.Free.Cores,
			})
		}
	})
	writeJSON(rw, http.StatusOK, body)
}

func (s *Server) listMinions(rw http.ResponseWriter, r *http.Request) {
	if !s.requireOperator(rw, r) {
		return
	}
	var body LinesBody
	s.instance.Inspect(func(n *dispatcher.Node) {
		for _, m := range n.Minions() {
			body.Minions = append(body.Minions, MinionLine{
				Name: m.Name, Service: m.Service, Leaving: m.Leaving, InFlight: m.InFlight, Share: m.Share, Slots: m.Slots,
			})
		}
	})
	writeJSON(rw, http.StatusOK, body)
}

func (s *Server) drainInstance(rw http.ResponseWriter, r *http.Request) {
	if !s.requireOperator(rw, r) {
		return
	}
	s.SetDraining()
	if err := s.instance.Drain(r.Context()); err != nil {
		writeError(rw, &apiError{coder.CodeDraining, err.Error()})
		return
	}
	writeJSON(rw, http.StatusOK, struct{}{})
}

// SetDraining has the readiness check fail, so that the balancer sends no new
// callers.
func (s *Server) SetDraining() { s.draining.Store(true) }

func (s *Server) writeMetrics(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(s.instance.Metrics(), rw)
}

func (s *Server) checkLiveness(rw http.ResponseWriter, _ *http.Request) {
	writeJSON(rw, http.StatusOK, struct{}{})
}

// checkReadiness tells the balancer whether to send callers here.
func (s *Server) checkReadiness(rw http.ResponseWriter, _ *http.Request) {
	ready := false
	s.instance.Inspect(func(n *dispatcher.Node) { ready = n.State().Ready() })
	if !ready || s.draining.Load() {
		writeJSON(rw, http.StatusServiceUnavailable, struct{}{})
		return
	}
	writeJSON(rw, http.StatusOK, struct{}{})
}
