// Package server serves callers and operators over HTTP and JSON. docs/API.md
// describes each call and each error.
package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/heatherslip/heatherslip/internal/config/policer"
	"github.com/heatherslip/heatherslip/internal/core/dispatcher"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Bounds of what a call may bring.
const (
	MaxBodyBytes    = 4 << 20
	MaxPayloadBytes = 64 << 10
	MaxCancelKeys   = 1000
	maxHeaderBytes  = 16 << 10
	headerTimeout   = 5 * time.Second
	idleTimeout     = 2 * time.Minute
	// answerGrace is how much longer than its deadline a call waits for the
	// answer that the core gives at the deadline.
	answerGrace = 5 * time.Second
)

// Instance is what the server serves; a runner.Runner in the daemon.
type Instance interface {
	Call(ctx context.Context, op coder.Op, work coder.Work, wait bool) (coder.Answer, error)
	Inspect(f func(*dispatcher.Node))
	Policy() *policer.Policy
	AppendRecord(r coder.Record)
	Drain(ctx context.Context) error
	Metrics() metrics.Registry
	LinkHandler() http.Handler
}

// Server serves one instance. Build one with New.
type Server struct {
	instance Instance
	mux      *http.ServeMux
	draining atomic.Bool
}

// New returns a server for an instance.
func New(instance Instance) *Server {
	s := &Server{instance: instance, mux: http.NewServeMux()}
	s.mux.HandleFunc("POST /v1/jobs", s.submitJob)
	s.mux.HandleFunc("GET /v1/jobs/{key...}", s.fetchJob)
	s.mux.HandleFunc("DELETE /v1/jobs/{key...}", s.cancelJob)
	s.mux.HandleFunc("POST /v1/cancel", s.cancelJobs)
	s.mux.HandleFunc("POST /v1/services/{service}/requests", s.submitRequest)
	s.mux.HandleFunc("GET /v1/home", s.showHomeDomain)
	s.mux.HandleFunc("GET /v1/config", s.showConfig)
	s.mux.HandleFunc("POST /v1/config", s.publishConfig)
	s.mux.HandleFunc("GET /v1/config/history", s.listRevisions)
	s.mux.HandleFunc("GET /v1/instances", s.listInstances)
	s.mux.HandleFunc("GET /v1/workers", s.listWorkers)
	s.mux.HandleFunc("GET /v1/minions", s.listMinions)
	s.mux.HandleFunc("POST /v1/drain", s.drainInstance)
	s.mux.HandleFunc("GET /metrics", s.writeMetrics)
	s.mux.HandleFunc("GET /healthz", s.checkLiveness)
	s.mux.HandleFunc("GET /readyz", s.checkReadiness)
	return s
}

// maxStreams bounds the calls at once on one HTTP/2 connection.
const maxStreams = 8192

// HTTPServer returns the HTTP server for callers, with its limits set. It speaks
// HTTP/2 without TLS too, so that a caller with thousands of calls waiting
// needs few connections.
func (s *Server) HTTPServer() *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           s.mux,
		Protocols:         protocols,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// JobBody is the body of a job.
type JobBody struct {
	Key  namer.Key  `json:"key"`
	Team namer.Team `json:"team,omitempty"`
	Kind namer.Kind `json:"kind"`
	// DeadlineMillis counts from the call; zero takes that of the kind.
	DeadlineMillis int `json:"deadline_ms,omitempty"`
	// Wait holds the call until the answer is there.
	Wait  bool             `json:"wait,omitempty"`
	Tasks []coder.TaskSpec `json:"tasks"`
}

// RequestBody is the body of a request to a service.
type RequestBody struct {
	Team           namer.Team `json:"team,omitempty"`
	Kind           namer.Kind `json:"kind"`
	DeadlineMillis int        `json:"deadline_ms,omitempty"`
	Repeatable     bool       `json:"repeatable,omitempty"`
	Millis         int        `json:"millis,omitempty"`
	Payload        string     `json:"payload"`
}

// CancelBody names submissions to cancel.
type CancelBody struct {
	Team namer.Team  `json:"team,omitempty"`
	Keys []namer.Key `json:"keys"`
}

// CancelAnswer holds an answer for each key of a CancelBody.
type CancelAnswer struct {
	Answers []KeyedAnswer `json:"answers"`
}

// KeyedAnswer is the answer on one key.
type KeyedAnswer struct {
	Key    namer.Key    `json:"key"`
	Answer coder.Answer `json:"answer"`
}

// apiError is a refusal that the server itself makes. Nothing was run.
type apiError struct {
	code   coder.Code
	detail string
}

func (f *apiError) Error() string { return string(f.code) + ": " + f.detail }

func badRequest(format string, args ...any) error {
	return &apiError{code: coder.CodeBadRequest, detail: fmt.Sprintf(format, args...)}
}

func (s *Server) submitJob(rw http.ResponseWriter, r *http.Request) {
	var body JobBody
	if err := decodeBody(rw, r, &body); err != nil {
		writeError(rw, err)
		return
	}
	work, err := s.jobWork(r, &body)
	if err != nil {
		writeError(rw, err)
		return
	}
	s.callInstance(rw, r, coder.OpSubmit, work, body.Wait)
}

// jobWork checks a job and turns it into work.
func (s *Server) jobWork(r *http.Request, body *JobBody) (*coder.Work, error) {
	policy := s.instance.Policy()
	team, err := authenticate(r, policy, body.Team)
	if err != nil {
		return nil, err
	}
	if err := body.Key.Check(); err != nil {
		return nil, badRequest("key: %v", err)
	}
	if err := checkKeyDomain(policy, body.Key); err != nil {
		return nil, err
	}
	if len(body.Tasks) == 0 || len(body.Tasks) > policy.Tasks {
		return nil, badRequest("tasks: %d given, from 1 to %d allowed", len(body.Tasks), policy.Tasks)
	}
	for i := range body.Tasks {
		if err := checkTask(&body.Tasks[i]); err != nil {
			return nil, badRequest("task %d: %v", i, err)
		}
	}
	deadline, err := deadlineFor(policy, body.Kind, body.DeadlineMillis)
	if err != nil {
		return nil, err
	}
	return &coder.Work{
		Submission: namer.Submission{Team: team.Name, Key: body.Key},
		Kind:       body.Kind, Deadline: deadline, Tasks: body.Tasks,
	}, nil
}

// checkKeyDomain refuses a key that names a domain which is not declared: nobody
// would ever own it.
func checkKeyDomain(p *policer.Policy, k namer.Key) error {
	home := k.Home()
	if home == "" {
		return nil
	}
	for _, d := range p.Domains {
		if d == home {
			return nil
		}
	}
	return badRequest("key: %q is no failure domain of this fleet", home)
}

var (
	errTaskCores        = errors.New("cores must be from 1 to 1000000 thousandths")
	errTaskMemory       = errors.New("memory must be from 0 to 16777216 megabytes")
	errTaskAccelerators = errors.New("accelerators must be from 0 to 64")
	errTaskMillis       = errors.New("millis must be from 0 to 600000")
	errTaskPayload      = fmt.Errorf("payload is larger than %d bytes", MaxPayloadBytes)
)

func checkTask(t *coder.TaskSpec) error {
	switch {
	case t.Cores < 1 || t.Cores > 1_000_000:
		return errTaskCores
	case t.Memory < 0 || t.Memory > 1<<24:
		return errTaskMemory
	case t.Accelerators < 0 || t.Accelerators > 64:
		return errTaskAccelerators
	case t.Millis < 0 || t.Millis > 600_000:
		return errTaskMillis
	case len(t.Payload) > MaxPayloadBytes:
		return errTaskPayload
	}
	return nil
}

func deadlineFor(p *policer.Policy, name namer.Kind, millis int) (time.Time, error) {
	kind, found := p.KindOf(name)
	if !found {
		return time.Time{}, badRequest("kind: %q is not declared in the configuration", name)
	}
	if millis < 0 || millis > int(policer.MaxDeadline/time.Millisecond) {
		return time.Time{}, badRequest("deadline_ms: not from 0 to %d", policer.MaxDeadline/time.Millisecond)
	}
	timeout := kind.Deadline
	if millis > 0 {
		timeout = time.Duration(millis) * time.Millisecond
	}
	return time.Now().Add(timeout), nil
}

func (s *Server) submitRequest(rw http.ResponseWriter, r *http.Request) {
	var body RequestBody
	if err := decodeBody(rw, r, &body); err != nil {
		writeError(rw, err)
		return
	}
	work, err := s.requestWork(r, &body)
	if err != nil {
		writeError(rw, err)
		return
	}
	s.callInstance(rw, r, coder.OpSubmit, work, true)
}

// requestWork checks a request and turns it into work.
func (s *Server) requestWork(r *http.Request, body *RequestBody) (*coder.Work, error) {
	policy := s.instance.Policy()
	team, err := authenticate(r, policy, body.Team)
	if err != nil {
		return nil, err
	}
	key := namer.Key(r.Header.Get("Idempotency-Key"))
	kind, _ := policy.KindOf(body.Kind)
	repeatable := body.Repeatable && !kind.Unrepeatable
	if !repeatable || key != "" {
		if err := key.Check(); err != nil {
			return nil, badRequest("Idempotency-Key: %v", err)
		}
	}
	if err := checkKeyDomain(policy, key); err != nil {
		return nil, err
	}
	spec := coder.TaskSpec{Cores: 1, Millis: body.Millis, Payload: body.Payload}
	if err := checkTask(&spec); err != nil {
		return nil, badRequest("%v", err)
	}
	deadline, err := deadlineFor(policy, body.Kind, body.DeadlineMillis)
	if err != nil {
		return nil, err
	}
	return &coder.Work{
		Submission: namer.Submission{Team: team.Name, Key: key},
		Kind:       body.Kind, Service: namer.Service(r.PathValue("service")),
		Deadline: deadline, Tasks: []coder.TaskSpec{spec}, Repeatable: repeatable,
	}, nil
}

func (s *Server) fetchJob(rw http.ResponseWriter, r *http.Request) {
	work, err := s.referenceWork(r, namer.Key(r.PathValue("key")), namer.Team(r.URL.Query().Get("team")))
	if err != nil {
		writeError(rw, err)
		return
	}
	s.callInstance(rw, r, coder.OpFetch, work, r.URL.Query().Get("wait") == "1")
}

func (s *Server) cancelJob(rw http.ResponseWriter, r *http.Request) {
	work, err := s.referenceWork(r, namer.Key(r.PathValue("key")), namer.Team(r.URL.Query().Get("team")))
	if err != nil {
		writeError(rw, err)
		return
	}
	s.callInstance(rw, r, coder.OpCancel, work, true)
}

// fetchTimeout bounds how long a fetch or a cancellation may take.
const fetchTimeout = 30 * time.Second

// referenceWork names a submission without its content. An operator may name the
// team whose submission it is.
func (s *Server) referenceWork(r *http.Request, key namer.Key, requestedTeam namer.Team) (*coder.Work, error) {
	team, err := authenticate(r, s.instance.Policy(), requestedTeam)
	if err != nil {
		return nil, err
	}
	if err := key.Check(); err != nil {
		return nil, badRequest("key: %v", err)
	}
	owner := team.Name
	if requestedTeam != "" && requestedTeam != team.Name {
		if !team.Operator {
			return nil, &apiError{coder.CodeForbidden, "only an operator may name another team"}
		}
		owner = requestedTeam
	}
	return &coder.Work{
		Submission: namer.Submission{Team: owner, Key: key}, Deadline: time.Now().Add(fetchTimeout),
	}, nil
}

func (s *Server) cancelJobs(rw http.ResponseWriter, r *http.Request) {
	var body CancelBody
	if err := decodeBody(rw, r, &body); err != nil {
		writeError(rw, err)
		return
	}
	if len(body.Keys) > MaxCancelKeys {
		writeError(rw, badRequest("keys: %d given, up to %d allowed", len(body.Keys), MaxCancelKeys))
		return
	}
	works := make([]*coder.Work, len(body.Keys))
	for i, key := range body.Keys {
		work, err := s.referenceWork(r, key, body.Team)
		if err != nil {
			writeError(rw, err)
			return
		}
		works[i] = work
	}
	writeJSON(rw, http.StatusOK, s.cancelAll(r.Context(), works))
}

// cancelAll cancels all submissions at once and waits for each answer.
func (s *Server) cancelAll(ctx context.Context, works []*coder.Work) CancelAnswer {
	answers := make(chan KeyedAnswer, len(works))
	for _, w := range works {
		go func() {
			a, err := s.instance.Call(ctx, coder.OpCancel, *w, true)
			if err != nil {
				a = coder.Answer{Status: coder.Unknown, Code: coder.CodeOwner, Ran: coder.RanUnknown, Detail: err.Error()}
			}
			answers <- KeyedAnswer{Key: w.Submission.Key, Answer: a}
		}()
	}
	out := CancelAnswer{Answers: make([]KeyedAnswer, 0, len(works))}
	for range works {
		out.Answers = append(out.Answers, <-answers)
	}
	return out
}

// callInstance gives the work to the instance and writes its answer.
func (s *Server) callInstance(rw http.ResponseWriter, r *http.Request, op coder.Op, work *coder.Work, wait bool) {
	ctx, cancel := context.WithDeadline(r.Context(), work.Deadline.Add(answerGrace))
	defer cancel()
	answer, err := s.instance.Call(ctx, op, *work, wait)
	if err != nil {
		answer = coder.Answer{
			Status: coder.Unknown, Code: coder.CodeOwner, Ran: coder.RanUnknown,
			Detail: "no answer in time; ask again with the same key", RetryMillis: 1000,
		}
	}
	writeAnswer(rw, answer)
}

// authenticate finds the team of a call. Before any configuration is in force
// there is no team, and so no call.
func authenticate(r *http.Request, p *policer.Policy, named namer.Team) (policer.Team, error) {
	if len(p.Teams) == 0 {
		return policer.Team{}, &apiError{coder.CodeNotReady, "no configuration is in force yet"}
	}
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	team, err := p.Authenticate(token, named)
	if err != nil {
		return policer.Team{}, &apiError{coder.CodeUnauthorized, err.Error()}
	}
	return team, nil
}

func decodeBody(rw http.ResponseWriter, r *http.Request, v any) error {
	d := json.NewDecoder(http.MaxBytesReader(rw, r.Body, MaxBodyBytes))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &apiError{coder.CodeTooLarge, fmt.Sprintf("the body is larger than %d bytes", MaxBodyBytes)}
	}
	if err != nil {
		return badRequest("body: %v", err)
	}
	if d.More() {
		return badRequest("body: more than one JSON value")
	}
	return nil
}
