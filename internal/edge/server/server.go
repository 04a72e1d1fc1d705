// Package server is the HTTP/JSON API of an instance for clients and operators.
// docs/API.md describes each call and each error.
package server

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/heatherslip/heatherslip/internal/config/policyparser"
	"github.com/heatherslip/heatherslip/internal/core/dispatcher"
	"github.com/heatherslip/heatherslip/internal/edge/limiter"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Limits of calls: the bytes of a body, the time in which it has to be there, the bytes of
// all large bodies that are being read, the bytes of a task's payload, and the keys that one
// call may cancel.
const (
	MaxBodyBytes    = 4 << 20
	BodyTimeout     = 30 * time.Second
	MaxBodyMemory   = 64 << 20
	MaxPayloadBytes = 64 << 10
	MaxCancelKeys   = 1000
	maxHeaderBytes  = 16 << 10
	headerTimeout   = 5 * time.Second
	idleTimeout     = 2 * time.Minute
	// answerGrace is how long a call waits after its deadline for the answer,
	// since the core may answer only when the deadline expires.
	answerGrace = 5 * time.Second
)

// Server serves the API of one instance. Use New to create one.
type Server struct {
	instance Instance
	bodies   *limiter.Bodies
	mux      *http.ServeMux
	draining atomic.Bool
}

// Instance is the instance that a Server serves. runner.Runner implements it.
type Instance interface {
	Call(ctx context.Context, op coder.Op, work coder.Work, waitForResult bool) (coder.Answer, error)
	Inspect(f func(*dispatcher.Node))
	Policy() *policyparser.Policy
	AppendRecord(r coder.Record)
	Drain(ctx context.Context) error
	Metrics() metrics.Registry
	LinkHandler() http.Handler
}

// New returns a Server for an instance.
func New(instance Instance) *Server {
	s := &Server{instance: instance, bodies: limiter.NewBodies(MaxBodyMemory, BodyTimeout), mux: http.NewServeMux()}
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
	s.mux.HandleFunc("GET /v1/evacuations", s.listEvacuations)
	s.mux.HandleFunc("POST /v1/evacuations", s.evacuateDomain)
	s.mux.HandleFunc("POST /v1/drain", s.drainInstance)
	s.mux.HandleFunc("GET /metrics", s.writeMetrics)
	s.mux.HandleFunc("GET /healthz", s.serveLiveness)
	s.mux.HandleFunc("GET /readyz", s.serveReadiness)
	return s
}

// maxConcurrentStreams is the maximum number of concurrent calls on one HTTP/2
// connection.
const maxConcurrentStreams = 8192

// HTTPServer returns an HTTP server for the API with its limits set. It also
// accepts HTTP/2 without TLS, so that a client with thousands of waiting calls
// needs few connections.
func (s *Server) HTTPServer() *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           limiter.Handler(s.mux, s.bodies),
		Protocols:         protocols,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxConcurrentStreams},
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// JobBody is the request body of a job submission.
type JobBody struct {
	Key  namer.Key  `json:"key"`
	Team namer.Team `json:"team,omitempty"`
	Kind namer.Kind `json:"kind"`
	// DeadlineMillis is the deadline, in milliseconds from the call. Zero means
	// the default of the kind.
	DeadlineMillis int `json:"deadline_ms,omitempty"`
	// WaitForResult is set if the call waits for the final answer.
	WaitForResult bool             `json:"wait,omitempty"`
	Tasks         []coder.TaskSpec `json:"tasks"`
}

// RequestBody is the request body of a request to a service. DeadlineMillis is as
// in JobBody.
type RequestBody struct {
	Team           namer.Team `json:"team,omitempty"`
	Kind           namer.Kind `json:"kind"`
	DeadlineMillis int        `json:"deadline_ms,omitempty"`
	Repeatable     bool       `json:"repeatable,omitempty"`
	RunTimeMillis  int        `json:"millis,omitempty"`
	Payload        string     `json:"payload"`
}

// CancelBody lists the keys of submissions to cancel.
type CancelBody struct {
	Team namer.Team  `json:"team,omitempty"`
	Keys []namer.Key `json:"keys"`
}

// CancelAnswer holds an answer for each key of a CancelBody.
type CancelAnswer struct {
	Answers []KeyedAnswer `json:"answers"`
}

// KeyedAnswer is the answer for one key.
type KeyedAnswer struct {
	Key    namer.Key    `json:"key"`
	Answer coder.Answer `json:"answer"`
}

// apiError is an error response of the server itself. It means that nothing has
// run.
type apiError struct {
	code   coder.Code
	detail string
}

func (e *apiError) Error() string { return string(e.code) + ": " + e.detail }

func badRequest(format string, args ...any) error {
	return &apiError{code: coder.CodeBadRequest, detail: fmt.Sprintf(format, args...)}
}

func (s *Server) submitJob(rw http.ResponseWriter, r *http.Request) {
	var body JobBody
	if err := s.decodeBody(rw, r, &body); err != nil {
		writeError(rw, err)
		return
	}
	work, err := s.jobWork(r, &body)
	if err != nil {
		writeError(rw, err)
		return
	}
	s.callInstance(rw, r, coder.OpSubmit, work, body.WaitForResult)
}

// jobWork validates a job and converts it to work for the core.
func (s *Server) jobWork(r *http.Request, body *JobBody) (*coder.Work, error) {
	policy := s.instance.Policy()
	team, err := authenticate(r, policy, body.Team)
	if err != nil {
		return nil, err
	}
	if err := body.Key.Validate(); err != nil {
		return nil, badRequest("key: %v", err)
	}
	if err := checkKeyDomain(policy, body.Key); err != nil {
		return nil, err
	}
	if len(body.Tasks) == 0 || len(body.Tasks) > policy.MaxTasksPerJob {
		return nil, badRequest("tasks: %d given, from 1 to %d allowed", len(body.Tasks), policy.MaxTasksPerJob)
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

// checkKeyDomain returns an error if the key names a failure domain that is not
// in the configuration, because no instance would ever own such a key.
func checkKeyDomain(policy *policyparser.Policy, key namer.Key) error {
	homeDomain := key.HomeDomain()
	if homeDomain == "" {
		return nil
	}
	for _, d := range policy.Domains {
		if d == homeDomain {
			return nil
		}
	}
	return badRequest("key: %q is no failure domain of this fleet", homeDomain)
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
	case t.RunTimeMillis < 0 || t.RunTimeMillis > 600_000:
		return errTaskMillis
	case len(t.Payload) > MaxPayloadBytes:
		return errTaskPayload
	}
	return nil
}

func deadlineFor(policy *policyparser.Policy, kindName namer.Kind, millis int) (time.Time, error) {
	kind, found := policy.FindKind(kindName)
	if !found {
		return time.Time{}, badRequest("kind: %q is not declared in the configuration", kindName)
	}
	if millis < 0 || millis > int(policyparser.MaxDeadline/time.Millisecond) {
		return time.Time{}, badRequest("deadline_ms: not from 0 to %d", policyparser.MaxDeadline/time.Millisecond)
	}
	timeout := kind.DefaultDeadline
	if millis > 0 {
		timeout = time.Duration(millis) * time.Millisecond
	}
	return time.Now().Add(timeout), nil
}

func (s *Server) submitRequest(rw http.ResponseWriter, r *http.Request) {
	var body RequestBody
	if err := s.decodeBody(rw, r, &body); err != nil {
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

// requestWork validates a request and converts it to work for the core.
func (s *Server) requestWork(r *http.Request, body *RequestBody) (*coder.Work, error) {
	policy := s.instance.Policy()
	team, err := authenticate(r, policy, body.Team)
	if err != nil {
		return nil, err
	}
	key := namer.Key(r.Header.Get("Idempotency-Key"))
	kind, _ := policy.FindKind(body.Kind)
	repeatable := body.Repeatable && !kind.Unrepeatable
	if !repeatable || key != "" {
		if err := key.Validate(); err != nil {
			return nil, badRequest("Idempotency-Key: %v", err)
		}
	}
	if err := checkKeyDomain(policy, key); err != nil {
		return nil, err
	}
	spec := coder.TaskSpec{Cores: 1, RunTimeMillis: body.RunTimeMillis, Payload: body.Payload}
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

// callTimeout is the deadline of a fetch or a cancellation.
const callTimeout = 30 * time.Second

// referenceWork returns work that identifies a submission by its key, without its
// content. Only an operator may name a team other than its own.
func (s *Server) referenceWork(r *http.Request, key namer.Key, requestedTeam namer.Team) (*coder.Work, error) {
	team, err := authenticate(r, s.instance.Policy(), requestedTeam)
	if err != nil {
		return nil, err
	}
	if err := key.Validate(); err != nil {
		return nil, badRequest("key: %v", err)
	}
	teamName := team.Name
	if requestedTeam != "" && requestedTeam != team.Name {
		if !team.IsOperator {
			return nil, &apiError{coder.CodeForbidden, "only an operator may name another team"}
		}
		teamName = requestedTeam
	}
	return &coder.Work{
		Submission: namer.Submission{Team: teamName, Key: key}, Deadline: time.Now().Add(callTimeout),
	}, nil
}

func (s *Server) cancelJobs(rw http.ResponseWriter, r *http.Request) {
	var body CancelBody
	if err := s.decodeBody(rw, r, &body); err != nil {
		writeError(rw, err)
		return
	}
	if len(body.Keys) > MaxCancelKeys {
		writeError(rw, badRequest("keys: %d given, up to %d allowed", len(body.Keys), MaxCancelKeys))
		return
	}
	cancellations := make([]*coder.Work, len(body.Keys))
	for i, key := range body.Keys {
		work, err := s.referenceWork(r, key, body.Team)
		if err != nil {
			writeError(rw, err)
			return
		}
		cancellations[i] = work
	}
	writeJSON(rw, http.StatusOK, s.cancelAll(r.Context(), cancellations))
}

// cancelAll cancels submissions concurrently and waits for all answers. The
// answers are in the order of their arrival.
func (s *Server) cancelAll(ctx context.Context, cancellations []*coder.Work) CancelAnswer {
	answers := make(chan KeyedAnswer, len(cancellations))
	for _, w := range cancellations {
		go func() {
			a, err := s.instance.Call(ctx, coder.OpCancel, *w, true)
			if err != nil {
				a = coder.Answer{Status: coder.StatusUnknown, Code: coder.CodeOwnerUnreachable, Ran: coder.RanUnknown, Detail: err.Error()}
			}
			answers <- KeyedAnswer{Key: w.Submission.Key, Answer: a}
		}()
	}
	out := CancelAnswer{Answers: make([]KeyedAnswer, 0, len(cancellations))}
	for range cancellations {
		out.Answers = append(out.Answers, <-answers)
	}
	return out
}

// callInstance passes the work to the instance and writes the answer.
func (s *Server) callInstance(rw http.ResponseWriter, r *http.Request, op coder.Op, work *coder.Work, waitForResult bool) {
	ctx, cancel := context.WithDeadline(r.Context(), work.Deadline.Add(answerGrace))
	defer cancel()
	answer, err := s.instance.Call(ctx, op, *work, waitForResult)
	if err != nil {
		answer = coder.Answer{
			Status: coder.StatusUnknown, Code: coder.CodeOwnerUnreachable, Ran: coder.RanUnknown,
			Detail: "no answer in time; ask again with the same key", RetryMillis: 1000,
		}
	}
	writeAnswer(rw, answer)
}

// authenticate returns the team of a call. Without a configuration there are no
// teams, so every call is refused until the first one is in force.
func authenticate(r *http.Request, policy *policyparser.Policy, requestedTeam namer.Team) (policyparser.Team, error) {
	if len(policy.Teams) == 0 {
		return policyparser.Team{}, &apiError{coder.CodeNotReady, "no configuration is in force yet"}
	}
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	team, err := policy.Authenticate(token, requestedTeam)
	if err != nil {
		return policyparser.Team{}, &apiError{coder.CodeUnauthorized, err.Error()}
	}
	return team, nil
}

func (s *Server) decodeBody(rw http.ResponseWriter, r *http.Request, v any) error {
	body, release, err := s.bodies.Read(rw, r, MaxBodyBytes)
	defer release()
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &apiError{coder.CodeTooLarge, fmt.Sprintf("the body is larger than %d bytes", MaxBodyBytes)}
	case errors.Is(err, limiter.ErrDisplaced):
		return &apiError{coder.CodeOverload, err.Error()}
	case err != nil:
		return badRequest("body: %v", err)
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return badRequest("body: %v", err)
	}
	if d.More() {
		return badRequest("body: more than one JSON value")
	}
	return nil
}
