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
	// defaultMaxBodyBytes bounds a body until the configuration tells otherwise.
	defaultMaxBodyBytes = 256 << 10
	// defaultClientTimeout is how long a call is worked on where neither the client
	// nor the route tells.
	defaultClientTimeout = 10 * time.Second
	// unavailableRetryAfter is what callers hear while this instance can't serve.
	unavailableRetryAfter = time.Second
	// bodyReadTimeout bounds the reading of a body.
	bodyReadTimeout = 5 * time.Second
)

// jobScheduler is what runs the jobs.
type jobScheduler interface {
	Submit(context.Context, scheduler.JobSpec) (scheduler.Answer, error)
	PendingJobs(namer.Kind) int
}

// Gateway is the handler of clients' calls. Build one with New.
type Gateway struct {
	scheduler jobScheduler
	log       zerolog.Logger
	routes    atomic.Pointer[matcher.Table]
	// drainDeadline is when this instance ends; nil while it does not.
	drainDeadline atomic.Pointer[time.Time]
}

// New returns a gateway without a configuration.
func New(s jobScheduler, log zerolog.Logger) *Gateway { return &Gateway{scheduler: s, log: log} }

// ApplyConfig puts a configuration in force, unless a newer one is. It reports
// whether it did.
func (g *Gateway) ApplyConfig(c matcher.Config) bool {
	next := matcher.New(c)
	for {
		old := g.routes.Load()
		if old != nil && old.Version >= c.Version {
			return false
		}
		if g.routes.CompareAndSwap(old, next) {
			return true
		}
	}
}

// ConfigVersion returns the version in force, and whether there is one.
func (g *Gateway) ConfigVersion() (matcher.Version, bool) {
	t := g.routes.Load()
	if t == nil {
		return 0, false
	}
	return t.Version, true
}

// StartDraining has answers tell their clients to open connections elsewhere, and takes
// no job that can't be expected to end before the instance does.
func (g *Gateway) StartDraining(deadline time.Time) { g.drainDeadline.Store(&deadline) }

// timeToDrainDeadline is how long the instance goes on; zero while it does not end.
func (g *Gateway) timeToDrainDeadline() time.Duration {
	deadline := g.drainDeadline.Load()
	if deadline == nil {
		return 0
	}
	return max(1, time.Until(*deadline))
}

// ServeHTTP serves one call.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.drainDeadline.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	t := g.routes.Load()
	if t == nil {
		g.refuseCall(w, r, http.StatusServiceUnavailable, "no configuration yet", unavailableRetryAfter)
		return
	}
	route, jobPath := t.Match(r.Host, r.URL.Path)
	if route == nil {
		g.refuseCall(w, r, http.StatusNotFound, "no such queue", 0)
		return
	}
	if jobPath == "" && r.Method == http.MethodGet {
		writeJSON(w, http.StatusOK, platform.EncodePending(g.scheduler.PendingJobs(route.Name)))
		return
	}
	name, err := platform.DecodeJobName(jobPath)
	if err != nil {
		g.refuseCall(w, r, http.StatusBadRequest, err.Error(), 0)
		return
	}
	switch r.Method {
	case http.MethodPost:
		g.submit(w, r, t, route, name)
	case http.MethodGet, http.MethodDelete:
		// Jobs that are answered when they end are known to nobody afterwards.
		g.refuseCall(w, r, http.StatusGone, "no such job", 0)
	default:
		g.refuseCall(w, r, http.StatusMethodNotAllowed, "method is not allowed", 0)
	}
}

func (g *Gateway) submit(w http.ResponseWriter, r *http.Request, t *matcher.Table, route *matcher.Route, name namer.JobName) {
	limit := int64(t.Limits.BodyBytes)
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	// Without this a client that sends slowly would hold its job back for good.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyReadTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		g.refuseUnreadableBody(w, r, err)
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	req, err := platform.DecodeJob(body)
	if err != nil {
		g.refuseCall(w, r, http.StatusBadRequest, err.Error(), 0)
		return
	}
	if reason := unsupportedFeature(req, route); reason != "" {
		g.refuseCall(w, r, http.StatusServiceUnavailable, reason, unavailableRetryAfter)
		return
	}
	answer, err := g.scheduler.Submit(r.Context(), scheduler.JobSpec{
		Name: name, Kind: route.Name, Service: route.Service, Priority: route.Priority,
		MaxAttempts: route.MaxAttempts, Stretch: route.Stretch, Target: route.Target,
		Patience: clientTimeout(r, route), Left: g.timeToDrainDeadline(), Payload: req.Payload, Steps: req.Steps,
	})
	if err != nil {
		// The caller has gone, or the instance ends and the connection with it.
		panic(http.ErrAbortHandler)
	}
	g.writeAnswer(w, answer)
}

// unsupportedFeature says what of a job this product can't do; such a job is not
// accepted and never runs.
func unsupportedFeature(j *platform.JobRequest, route *matcher.Route) string {
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

func clientTimeout(r *http.Request, route *matcher.Route) time.Duration {
	timeout := platform.Patience(r.Header)
	if timeout == 0 {
		timeout = route.Timeout
	}
	if timeout == 0 {
		timeout = defaultClientTimeout
	}
	return timeout
}

func (g *Gateway) writeAnswer(w http.ResponseWriter, a scheduler.Answer) {
	switch a.Outcome {
	case scheduler.Completed, scheduler.Failed:
		writeJSON(w, http.StatusOK, platform.EncodeState(a.Outcome))
		return
	case scheduler.GivenUp:
		setRetryAfter(w, a.RetryAfter)
		writeJSON(w, http.StatusGatewayTimeout, platform.EncodeError(a.Reason))
	case scheduler.Refused:
		setRetryAfter(w, a.RetryAfter)
		writeJSON(w, http.StatusTooManyRequests, platform.EncodeError(a.Reason))
	case scheduler.Unavailable:
		setRetryAfter(w, a.RetryAfter)
		writeJSON(w, http.StatusServiceUnavailable, platform.EncodeError(a.Reason))
	}
}

func (g *Gateway) refuseUnreadableBody(w http.ResponseWriter, r *http.Request, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		g.refuseCall(w, r, http.StatusRequestEntityTooLarge, "body is too large", 0)
		return
	}
	if r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	g.refuseCall(w, r, http.StatusBadRequest, "body can't be read", 0)
}

func (g *Gateway) refuseCall(w http.ResponseWriter, r *http.Request, status int, reason string, retryAfter time.Duration) {
	g.log.Info().Int("event", int(eventer.CallRefused)).Str("method", r.Method).Str("host", r.Host).Str("path", r.URL.Path).
		Int("status", status).Str("reason", reason).Msg(eventer.CallRefused.Name())
	setRetryAfter(w, retryAfter)
	writeJSON(w, status, platform.EncodeError(reason))
}

// setRetryAfter tells a caller when to come back, in whole seconds.
func setRetryAfter(w http.ResponseWriter, d time.Duration) {
	if d > 0 {
		seconds := (d + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
}

func writeJSON(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// A caller that has gone can't be told.
	_, _ = w.Write(body)
}
