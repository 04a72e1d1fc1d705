package server

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/heatherslip/heatherslip/internal/config/policyparser"
	"github.com/heatherslip/heatherslip/internal/core/dispatcher"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// ConfigBody is the configuration in force.
type ConfigBody struct {
	Revision namer.Revision `json:"revision"`
	Text     string         `json:"text"`
}

// PublishBody is the request body for publishing a configuration on top of the
// revision that it is based on.
type PublishBody struct {
	BaseRevision namer.Revision `json:"base"`
	Text         string         `json:"text"`
	Author       string         `json:"by"`
}

// PublishVerdict is the result of publishing a revision.
type PublishVerdict string

// The results of publishing a revision.
const (
	// PublishAccepted means that the revision is in force.
	PublishAccepted PublishVerdict = "accepted"
	// PublishOutdated means that another revision replaced the base first. The
	// revision never comes into force.
	PublishOutdated PublishVerdict = "outdated"
	// PublishRejected means that the revision has findings and was not published.
	PublishRejected PublishVerdict = "rejected"
	// PublishUnconfirmed means that the log has not answered in time. The revision
	// may still come into force.
	PublishUnconfirmed PublishVerdict = "unsettled"
)

// PublishAnswer is the answer to a PublishBody.
type PublishAnswer struct {
	Verdict  PublishVerdict `json:"verdict"`
	Revision namer.Revision `json:"revision"`
	Findings []string       `json:"findings,omitempty"`
}

// HistoryBody lists the accepted revisions, oldest first.
type HistoryBody struct {
	Revisions []coder.SnapRevision `json:"revisions"`
}

// InstanceStatus describes a member of a view. Offset and Revision are set only
// for the instance that answers.
type InstanceStatus struct {
	coder.Member
	Self     bool           `json:"self"`
	Synced   bool           `json:"settled"`
	Retired  bool           `json:"retired"`
	Offset   namer.Offset   `json:"offset"`
	Revision namer.Revision `json:"revision"`
}

// WorkerStatus is the state of a worker as tracked by this instance.
type WorkerStatus struct {
	Name         namer.Worker     `json:"name"`
	Rack         string           `json:"rack"`
	HasLease     bool             `json:"lease"`
	Draining     bool             `json:"leaving"`
	Quarantined  bool             `json:"aside"`
	RunningTasks int              `json:"running"`
	FreeCores    namer.MilliCores `json:"free_cores"`
}

// MinionStatus is the state of a minion as tracked by this instance.
type MinionStatus struct {
	Name      namer.Minion  `json:"name"`
	Service   namer.Service `json:"service"`
	Draining  bool          `json:"leaving"`
	InFlight  int           `json:"in_flight"`
	SlotShare int           `json:"share"`
	Slots     int           `json:"slots"`
}

// FleetBody lists the instances, workers or minions that an instance tracks.
type FleetBody struct {
	Instances []InstanceStatus `json:"instances,omitempty"`
	Workers   []WorkerStatus   `json:"workers,omitempty"`
	Minions   []MinionStatus   `json:"minions,omitempty"`
}

// HomeDomainBody is the failure domain of the instance. Clients put it into keys
// that should be owned in that domain.
type HomeDomainBody struct {
	Domain namer.Domain `json:"domain"`
}

func (s *Server) showHomeDomain(rw http.ResponseWriter, _ *http.Request) {
	var body HomeDomainBody
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
		body.Revisions = append(body.Revisions, n.State().Revisions()...)
	})
	writeJSON(rw, http.StatusOK, body)
}

// requireOperator reports whether the call comes from an operator, and writes an
// error response if not. Before the first revision is in force every call passes,
// since no operator is configured yet.
func (s *Server) requireOperator(rw http.ResponseWriter, r *http.Request) bool {
	policy := s.instance.Policy()
	if len(policy.Teams) == 0 {
		return true
	}
	team, err := authenticate(r, policy, namer.Team(r.URL.Query().Get("team")))
	if err == nil && !team.IsOperator {
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
	if err := s.decodeBody(rw, r, &body); err != nil {
		writeError(rw, err)
		return
	}
	policy, err := policyparser.Parse(body.Text)
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
		BaseRevision: body.BaseRevision, Nonce: hex.EncodeToString(nonce), Author: body.Author,
		At: time.Now(), ConfigText: body.Text, InitialDomains: policy.Domains,
	}, r)
	writeJSON(rw, publishHTTPStatus(answer.Verdict), answer)
}

func rejectedAnswer(err error) PublishAnswer {
	answer := PublishAnswer{Verdict: PublishRejected}
	var findings policyparser.Findings
	if !errors.As(err, &findings) {
		answer.Findings = []string{err.Error()}
		return answer
	}
	for _, f := range findings {
		answer.Findings = append(answer.Findings, f.String())
	}
	return answer
}

func publishHTTPStatus(v PublishVerdict) int {
	switch v {
	case PublishAccepted:
		return http.StatusOK
	case PublishOutdated:
		return http.StatusConflict
	default:
		return http.StatusServiceUnavailable
	}
}

const (
	// publishTimeout is how long publishing waits for the revision to appear in
	// the log.
	publishTimeout      = 4 * time.Second
	appendRetryInterval = time.Second
	verdictPollInterval = 5 * time.Millisecond
)

// publishRevision appends a revision to the log and waits until the log shows
// whether it was accepted. The append is repeated because it may have been lost.
// A second copy in the log has no effect, since its base is no longer in force.
func (s *Server) publishRevision(rev *coder.Revise, r *http.Request) PublishAnswer {
	var appendedAt time.Time
	for startedAt := time.Now(); time.Since(startedAt) < publishTimeout && r.Context().Err() == nil; {
		verdict, revision := s.revisionVerdict(rev)
		if verdict != PublishUnconfirmed {
			return PublishAnswer{Verdict: verdict, Revision: revision}
		}
		if time.Since(appendedAt) > appendRetryInterval {
			appendedAt = time.Now()
			s.instance.AppendRecord(coder.Record{Revise: rev})
		}
		time.Sleep(verdictPollInterval)
	}
	return PublishAnswer{Verdict: PublishUnconfirmed}
}

// revisionVerdict returns the result for a revision as far as the log shows it.
func (s *Server) revisionVerdict(rev *coder.Revise) (PublishVerdict, namer.Revision) {
	verdict, revision := PublishUnconfirmed, namer.Revision(0)
	s.instance.Inspect(func(n *dispatcher.Node) {
		for _, h := range n.State().Revisions() {
			if h.Nonce == rev.Nonce {
				verdict, revision = PublishAccepted, h.Revision
				return
			}
		}
		if inForce := n.State().Config().Revision; inForce != rev.BaseRevision {
			verdict, revision = PublishOutdated, inForce
		}
	})
	return verdict, revision
}

func (s *Server) listInstances(rw http.ResponseWriter, r *http.Request) {
	if !s.requireOperator(rw, r) {
		return
	}
	var body FleetBody
	s.instance.Inspect(func(n *dispatcher.Node) {
		state := n.State()
		for _, m := range state.Members("") {
			status := InstanceStatus{
				Member: m, Self: m.Incarnation == n.Member().Incarnation,
				Synced: state.Synced(m.Incarnation), Retired: state.Retired(m.Incarnation),
			}
			if status.Self {
				status.Offset, status.Revision = state.AppliedOffset, state.Config().Revision
			}
			body.Instances = append(body.Instances, status)
		}
	})
	writeJSON(rw, http.StatusOK, body)
}

func (s *Server) listWorkers(rw http.ResponseWriter, r *http.Request) {
	if !s.requireOperator(rw, r) {
		return
	}
	var body FleetBody
	s.instance.Inspect(func(n *dispatcher.Node) {
		for _, w := range n.Workers() {
			body.Workers = append(body.Workers, WorkerStatus{
				Name: w.Name, Rack: w.Rack, HasLease: w.Lease != "", Draining: w.Draining,
				Quarantined: w.Quarantined(time.Now()), RunningTasks: w.RunningTasks, FreeCores: w.Free.Cores,
			})
		}
	})
	writeJSON(rw, http.StatusOK, body)
}

func (s *Server) listMinions(rw http.ResponseWriter, r *http.Request) {
	if !s.requireOperator(rw, r) {
		return
	}
	var body FleetBody
	s.instance.Inspect(func(n *dispatcher.Node) {
		for _, m := range n.Minions() {
			body.Minions = append(body.Minions, MinionStatus{
				Name: m.Name, Service: m.Service, Draining: m.Draining, InFlight: m.InFlight, SlotShare: m.SlotShare, Slots: m.Slots,
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

// SetDraining makes the readiness check fail, so that the load balancer routes no
// new clients here.
func (s *Server) SetDraining() { s.draining.Store(true) }

func (s *Server) writeMetrics(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(s.instance.Metrics(), rw)
}

func (s *Server) serveLiveness(rw http.ResponseWriter, _ *http.Request) {
	writeJSON(rw, http.StatusOK, struct{}{})
}

// serveReadiness answers the load balancer's readiness probes. The instance is
// ready if a configuration is in force and it is not draining.
func (s *Server) serveReadiness(rw http.ResponseWriter, _ *http.Request) {
	ready := false
	s.instance.Inspect(func(n *dispatcher.Node) { ready = n.State().HasConfig() })
	if !ready || s.draining.Load() {
		writeJSON(rw, http.StatusServiceUnavailable, struct{}{})
		return
	}
	writeJSON(rw, http.StatusOK, struct{}{})
}
