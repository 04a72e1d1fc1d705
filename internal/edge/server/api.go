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
	MaxBodyBytes   = 4 << 20
	MaxPayload     = 64 << 10
	MaxCancels     = 1000
	maxHeaderBytes = 16 << 10
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	// waitGrace is how much longer than its deadline a call waits for the
	// answer that the core gives at the deadline.
	waitGrace = 5 * time.Second
)

// Instance is what the server serves; a runner.Runner in the daemon.
type Instance interface {
	Ask(ctx context.Context, op coder.Op, work coder.Work, wait bool) (coder.Answer, error)
	Inspect(f func(*dispatcher.Node))
	Policy() *policer.Policy
	Append(r coder.Record)
	Drain(ctx context.Context) error
	Metrics() metrics.Registry
	Links() http.Handler
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
	s.mux.HandleFunc("GET /v1/jobs/{key...}", s.fetch)
	s.mux.HandleFunc("DELETE /v1/jobs/{key...}", s.cancel)
	s.mux.HandleFunc("POST /v1/cancel", s.cancelMany)
	s.mux.HandleFunc("POST /v1/services/{service}/requests", s.submitRequest)
	s.mux.HandleFunc("GET /v1/home", s.home)
	s.mux.HandleFunc("GET /v1/config", s.config)
	s.mux.HandleFunc("POST /v1/config", s.publish)
	s.mux.HandleFunc("GET /v1/config/history", s.history)
	s.mux.HandleFunc("GET /v1/instances", s.instances)
	s.mux.HandleFunc("GET /v1/workers", s.workers)
	s.mux.HandleFunc("GET /v1/minions", s.minions)
	s.mux.HandleFunc("POST /v1/drain", s.drain)
	s.mux.HandleFunc("GET /metrics", s.metrics)
	s.mux.HandleFunc("GET /healthz", s.health)
	s.mux.HandleFunc("GET /readyz", s.ready)
	return s
}

// maxStreams bounds the calls at once on one HTTP/2 connection.
const maxStreams = 8192

// Server returns the HTTP server for callers, with its limits set. It speaks
// HTTP/2 without TLS too, so that a caller with thousands of calls waiting
// needs few connections.
func (s *Server) Server() *http.Server {
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

// failure is a refusal that the server itself makes. Nothing was run.
type failure struct {
	code   coder.Code
	detail string
}

func (f *failure) Error() string { return string(f.code) + ": " + f.detail }

func bad(format string, args ...any) error {
	return &failure{code: coder.CodeBadRequest, detail: fmt.Sprintf(format, args...)}
}

func (s *Server) submitJob(rw http.ResponseWriter, r *http.Request) {
	var body JobBody
	if err := decode(rw, r, &body); err != nil {
		writeFailure(rw, err)
		return
	}
	work, err := s.job(r, &body)
	if err != nil {
		writeFailure(rw, err)
		return
	}
	s.ask(rw, r, coder.OpSubmit, work, body.Wait)
}

// job checks a job and turns it into work.
func (s *Server) job(r *http.Request, body *JobBody) (*coder.Work, error) {
	policy := s.instance.Policy()
	team, err := authenticate(r, policy, body.Team)
	if err != nil {
		return nil, err
	}
	if err := body.Key.Check(); err != nil {
		return nil, bad("key: %v", err)
	}
	if err := checkHome(policy, body.Key); err != nil {
		return nil, err
	}
	if len(body.Tasks) == 0 || len(body.Tasks) > policy.Tasks {
		return nil, bad("tasks: %d given, from 1 to %d allowed", len(body.Tasks), policy.Tasks)
	}
	for i := range body.Tasks {
		if err := checkTask(&body.Tasks[i]); err != nil {
			return nil, bad("task %d: %v", i, err)
		}
	}
	deadline, err := deadlineOf(policy, body.Kind, body.DeadlineMillis)
	if err != nil {
		return nil, err
	}
	return &coder.Work{
		Submission: namer.Submission{Team: team.Name, Key: body.Key},
		Kind:       body.Kind, Deadline: deadline, Tasks: body.Tasks,
	}, nil
}

// checkHome refuses a key that names a domain which is not declared: nobody
// would ever own it.
func checkHome(p *policer.Policy, k namer.Key) error {
	home := k.Home()
	if home == "" {
		return nil
	}
	for _, d := range p.Domains {
		if d == home {
			return nil
		}
	}
	return bad("key: %q is no failure domain of this fleet", home)
}

var (
	errTaskCores   = errors.New("cores must be from 1 to 1000000 thousandths")
	errTaskMemory  = errors.New("memory must be from 0 to 16777216 megabytes")
	errTaskAccel   = errors.New("accelerators must be from 0 to 64")
	errTaskMillis  = errors.New("millis must be from 0 to 600000")
	errTaskPayload = fmt.Errorf("payload is larger than %d bytes", MaxPayload)
)

func checkTask(t *coder.TaskSpec) error {
	switch {
	case t.Cores < 1 || t.Cores > 1_000_000:
		return errTaskCores
	case t.Memory < 0 || t.Memory > 1<<24:
		return errTaskMemory
	case t.Accelerators < 0 || t.Accelerators > 64:
		return errTaskAccel
	case t.Millis < 0 || t.Millis > 600_000:
		return errTaskMillis
	case len(t.Payload) > MaxPayload:
		return errTaskPayload
	}
	return nil
}

func deadlineOf(p *policer.Policy, name namer.Kind, millis int) (time.Time, error) {
	kind, found := p.KindOf(name)
	if !found {
		return time.Time{}, bad("kind: %q is not declared in the configuration", name)
	}
	if millis < 0 || millis > int(policer.MaxDeadline/time.Millisecond) {
		return time.Time{}, bad("deadline_ms: not from 0 to %d", policer.MaxDeadline/time.Millisecond)
	}
	after := kind.Deadline
	if millis > 0 {
		after = time.Duration(millis) * time.Millisecond
	}
	return time.Now().Add(after), nil
}

func (s *Server) submitRequest(rw http.ResponseWriter, r *http.Request) {
	var body RequestBody
	if err := decode(rw, r, &body); err != nil {
		writeFailure(rw, err)
		return
	}
	work, err := s.request(r, &body)
	if err != nil {
		writeFailure(rw, err)
		return
	}
	s.ask(rw, r, coder.OpSubmit, work, true)
}

// request checks a request and turns it into work.
func (s *Server) request(r *http.Request, body *RequestBody) (*coder.Work, error) {
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
			return nil, bad("Idempotency-Key: %v", err)
		}
	}
	if err := checkHome(policy, key); err != nil {
		return nil, err
	}
	spec := coder.TaskSpec{Cores: 1, Millis: body.Millis, Payload: body.Payload}
	if err := checkTask(&spec); err != nil {
		return nil, bad("%v", err)
	}
	deadline, err := deadlineOf(policy, body.Kind, body.DeadlineMillis)
	if err != nil {
		return nil, err
	}
	return &coder.Work{
		Submission: namer.Submission{Team: team.Name, Key: key},
		Kind:       body.Kind, Service: namer.Service(r.PathValue("service")),
		Deadline: deadline, Tasks: []coder.TaskSpec{spec}, Repeatable: repeatable,
	}, nil
}

func (s *Server) fetch(rw http.ResponseWriter, r *http.Request) {
	work, err := s.reference(r, namer.Key(r.PathValue("key")), namer.Team(r.URL.Query().Get("team")))
	if err != nil {
		writeFailure(rw, err)
		return
	}
	s.ask(rw, r, coder.OpFetch, work, r.URL.Query().Get("wait") == "1")
}

func (s *Server) cancel(rw http.ResponseWriter, r *http.Request) {
	work, err := s.reference(r, namer.Key(r.PathValue("key")), namer.Team(r.URL.Query().Get("team")))
	if err != nil {
		writeFailure(rw, err)
		return
	}
	s.ask(rw, r, coder.OpCancel, work, true)
}

// fetchTime bounds how long a fetch or a cancellation may take.
const fetchTime = 30 * time.Second

// reference names a submission without its content. An operator may name the
// team whose submission it is.
func (s *Server) reference(r *http.Request, key namer.Key, named namer.Team) (*coder.Work, error) {
	team, err := authenticate(r, s.instance.Policy(), named)
	if err != nil {
		return nil, err
	}
	if err := key.Check(); err != nil {
		return nil, bad("key: %v", err)
	}
	owner := team.Name
	if named != "" && named != team.Name {
		if !team.Operator {
			return nil, &failure{coder.CodeForbidden, "only an operator may name another team"}
		}
		owner = named
	}
	return &coder.Work{
		Submission: namer.Submission{Team: owner, Key: key}, Deadline: time.Now().Add(fetchTime),
	}, nil
}

func (s *Server) cancelMany(rw http.ResponseWriter, r *http.Request) {
	var body CancelBody
	if err := decode(rw, r, &body); err != nil {
		writeFailure(rw, err)
		return
	}
	if len(body.Keys) > MaxCancels {
		writeFailure(rw, bad("keys: %d given, up to %d allowed", len(body.Keys), MaxCancels))
		return
	}
	works := make([]*coder.Work, len(body.Keys))
	for i, key := range body.Keys {
		work, err := s.reference(r, key, body.Team)
		if err != nil {
			writeFailure(rw, err)
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
			a, err := s.instance.Ask(ctx, coder.OpCancel, *w, true)
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

// ask gives the work to the instance and writes its answer.
func (s *Server) ask(rw http.ResponseWriter, r *http.Request, op coder.Op, work *coder.Work, wait bool) {
	ctx, cancel := context.WithDeadline(r.Context(), work.Deadline.Add(waitGrace))
	defer cancel()
	answer, err := s.instance.Ask(ctx, op, *work, wait)
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
		return policer.Team{}, &failure{coder.CodeNotReady, "no configuration is in force yet"}
	}
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	team, err := p.Authenticate(token, named)
	if err != nil {
		return policer.Team{}, &failure{coder.CodeUnauthorized, err.Error()}
	}
	return team, nil
}

func decode(rw http.ResponseWriter, r *http.Request, v any) error {
	d := json.NewDecoder(http.MaxBytesReader(rw, r.Body, MaxBodyBytes))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &failure{coder.CodeTooLarge, fmt.Sprintf("the body is larger than %d bytes", MaxBodyBytes)}
	}
	if err != nil {
		return bad("body: %v", err)
	}
	if d.More() {
		return bad("body: more than one JSON value")
	}
	return nil
}
