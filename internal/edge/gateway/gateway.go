// Package gateway takes the calls of the platform's clients.
package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/heatherslip/heatherslip/internal/core/matcher"
	"github.com/heatherslip/heatherslip/internal/core/scheduler"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
	"github.com/heatherslip/heatherslip/platform"
)

const (
	// defaultBody bounds a body until the configuration tells otherwise.
	defaultBody = 256 << 10
	// defaultPatience is how long a call is worked on where neither the client
	// nor the route tells.
	defaultPatience = 10 * time.Second
	// retryUnavailable is what callers hear while this instance can't serve.
	retryUnavailable = time.Second
	// readTimeout bounds the reading of a body.
	readTimeout = 5 * time.Second
)

// core is what runs the jobs.
type core interface {
	Submit(context.Context, scheduler.JobSpec) (scheduler.Answer, error)
	Pending(namer.Kind) int
}

// Gateway is the handler of clients' calls. Build one with New.
type Gateway struct {
	core  core
	log   zerolog.Logger
	table atomic.Pointer[matcher.Table]
	// leaving is when this instance ends; nil while it does not.
	leaving atomic.Pointer[time.Time]
}

// New returns a gateway without a configuration.
func New(c core, log zerolog.Logger) *Gateway { return &Gateway{core: c, log: log} }

// Apply puts a configuration in force, unless a newer one is. It reports
// whether it did.
func (g *Gateway) Apply(c matcher.Config) bool {
	next := matcher.New(c)
	for {
		old := g.table.Load()
		if old != nil && old.Version >= c.Version {
			return false
		}
		if g.table.CompareAndSwap(old, next) {
			return true
		}
	}
}

// Version returns the version in force, and whether there is one.
func (g *Gateway) Version() (matcher.Version, bool) {
	t := g.table.Load()
	if t == nil {
		return 0, false
	}
	return t.Version, true
}

// Leave has answers tell their clients to open connections elsewhere, and takes
// no job that can't be expected to end before the instance does.
func (g *Gateway) Leave(end time.Time) { g.leaving.Store(&end) }

// left is how long the instance goes on; zero while it does not end.
func (g *Gateway) left() time.Duration {
	end := g.leaving.Load()
	if end == nil {
		return 0
	}
	return max(1, time.Until(*end))
}

// ServeHTTP serves one call.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.leaving.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	t := g.table.Load()
	if t == nil {
		g.refuse(w, r, http.StatusServiceUnavailable, "no configuration yet", retryUnavailable)
		return
	}
	route, rest := t.Match(r.Host, r.URL.Path)
	if route == nil {
		g.refuse(w, r, http.StatusNotFound, "no such queue", 0)
		return
	}
	if rest == "" && r.Method == http.MethodGet {
		write(w, http.StatusOK, platform.EncodePending(g.core.Pending(route.Name)))
		return
	}
	name, err := platform.DecodeJobName(rest)
	if err != nil {
		g.refuse(w, r, http.StatusBadRequest, err.Error(), 0)
		return
	}
	switch r.Method {
	case http.MethodPost:
		g.submit(w, r, t, route, name)
	case http.MethodGet, http.MethodDelete:
		// Jobs that are answered when they end are known to nobody afterwards.
		g.refuse(w, r, http.StatusGone, "no such job", 0)
	default:
		g.refuse(w, r, http.StatusMethodNotAllowed, "method is not allowed", 0)
	}
}

func (g *Gateway) submit(w http.ResponseWriter, r *http.Request, t *matcher.Table, route *matcher.Route, name namer.JobName) {
	limit := int64(t.Limits.BodyBytes)
	if limit <= 0 {
		limit = defaultBody
	}
	// Without this a client that sends slowly would hold its job back for good.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(readTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		g.refuseBody(w, r, err)
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	req, err := platform.DecodeJob(body)
	if err != nil {
		g.refuse(w, r, http.StatusBadRequest, err.Error(), 0)
		return
	}
	if reason := unsupported(req, route); reason != "" {
		g.refuse(w, r, http.StatusServiceUnavailable, reason, retryUnavailable)
		return
	}
	answer, err := g.core.Submit(r.Context(), scheduler.JobSpec{
		Name: name, Kind: route.Name, Service: route.Service, Priority: route.Priority,
		MaxAttempts: route.MaxAttempts, Stretch: route.Stretch, Target: route.Target,
		Patience: patience(r, route), Left: g.left(), Payload: req.Payload, Steps: req.Steps,
	})
	if err != nil {
		// The caller has gone, or the instance ends and the connection with it.
		panic(http.ErrAbortHandler)
	}
	g.reply(w, answer)
}

// unsupported says what of a job this product can't do; such a job is not
// accepted and never runs.
func unsupported(j *platform.JobRequest, route *matcher.Route) string {
	switch {
	case j.Kept:
		return "jobs that outlive their call are not supported"
	case j.Unsupported != "":
		return j.Unsupported + " is not supported"
	case route.Advised:
		return "queues that need advice are not supported"
	}
	return ""
}

func patience(r *http.Request, route *matcher.Route) time.Duration {
	p := platform.Patience(r.Header)
	if p == 0 {
		p = route.Timeout
	}
	if p == 0 {
		p = defaultPatience
	}
	return p
}

func (g *Gateway) reply(w http.ResponseWriter, a scheduler.Answer) {
	switch a.Outcome {
	case scheduler.Completed, scheduler.Failed:
		write(w, http.StatusOK, platform.EncodeState(a.Outcome))
		return
	case scheduler.GivenUp:
		setRetry(w, a.RetryAfter)
		write(w, http.StatusGatewayTimeout, platform.EncodeError(a.Reason))
	case scheduler.Refused:
		setRetry(w, a.RetryAfter)
		write(w, http.StatusTooManyRequests, platform.EncodeError(a.Reason))
	case scheduler.Unavailable:
		setRetry(w, a.RetryAfter)
		write(w, http.StatusServiceUnavailable, platform.EncodeError(a.Reason))
	}
}

func (g *Gateway) refuseBody(w http.ResponseWriter, r *http.Request, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		g.refuse(w, r, http.StatusRequestEntityTooLarge, "body is too large", 0)
		return
	}
	if r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	g.refuse(w, r, http.StatusBadRequest, "body can't be read", 0)
}

func (g *Gateway) refuse(w http.ResponseWriter, r *http.Request, status int, reason string, retry time.Duration) {
	g.log.Info().Int("event", int(eventer.CallRefused)).Str("method", r.Method).Str("host", r.Host).Str("path", r.URL.Path).
		Int("status", status).Str("reason", reason).Msg(eventer.CallRefused.Name())
	setRetry(w, retry)
	write(w, status, platform.EncodeError(reason))
}

// setRetry tells a caller when to come back, in whole seconds.
func setRetry(w http.ResponseWriter, d time.Duration) {
	if d > 0 {
		seconds := (d + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
}

func write(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// A caller that has gone can't be told.
	_, _ = w.Write(body)
}
