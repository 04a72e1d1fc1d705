// Package gateway serves the HTTP requests of the platform's clients.
package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/heatherslip/heatherslip/internal/core/holder"
	"github.com/heatherslip/heatherslip/internal/core/matcher"
	"github.com/heatherslip/heatherslip/internal/core/scheduler"
	"github.com/heatherslip/heatherslip/internal/edge/limiter"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
	"github.com/heatherslip/heatherslip/platform"
)

const (
	// defaultMaxBodyBytes bounds a request body if the configuration has no limit.
	defaultMaxBodyBytes = 256 << 10
	// defaultCallerTimeout is the timeout of a job if neither the client nor the
	// route sets one.
	defaultCallerTimeout = 10 * time.Second
	// unavailableRetryAfter is sent as Retry-After if the gateway has no
	// configuration yet or a job needs an unsupported feature.
	unavailableRetryAfter = time.Second
	// displacedRetryAfter is sent as Retry-After if a body was given up for others.
	displacedRetryAfter = time.Second
	// maxTextBytes bounds each text of a client that is logged or sent back.
	maxTextBytes = 200
)

// jobScheduler runs jobs and counts those of which no task has started.
type jobScheduler interface {
	Submit(context.Context, scheduler.JobSpec) (scheduler.JobResult, error)
	PendingJobs(namer.Kind) int
}

// bodyReader reads the bodies of requests. limiter.Bodies implements it.
type bodyReader interface {
	Read(w http.ResponseWriter, r *http.Request, limit int64) (body []byte, release func(), err error)
}

// Gateway is the http.Handler for clients. Create one with New.
type Gateway struct {
	sched      jobScheduler
	bodies     bodyReader
	log        zerolog.Logger
	routeTable atomic.Pointer[matcher.Table]
	// drainDeadline is when this instance shuts down; nil if it isn't draining.
	drainDeadline atomic.Pointer[time.Time]
	startedAt     time.Time
	// configured is closed with the first configuration.
	configured    chan struct{}
	setConfigured sync.Once
}

// New returns a gateway without a configuration. Just after the start its requests wait
// for ApplyConfig to be called; later it answers them with status 503 until then.
func New(sched jobScheduler, bodies bodyReader, log zerolog.Logger) *Gateway {
	return &Gateway{sched: sched, bodies: bodies, log: log, startedAt: time.Now(), configured: make(chan struct{})}
}

// ApplyConfig replaces the configuration if c has a higher version. It reports
// whether it did.
func (g *Gateway) ApplyConfig(c matcher.Config) bool {
	next := matcher.New(c)
	for {
		old := g.routeTable.Load()
		if old != nil && old.Version >= c.Version {
			return false
		}
		if g.routeTable.CompareAndSwap(old, next) {
			g.setConfigured.Do(g.recordConfigured)
			return true
		}
	}
}

// recordConfigured lets the requests that wait for the first configuration go on.
func (g *Gateway) recordConfigured() {
	close(g.configured)
	g.log.Warn().Int("event", int(eventer.StartPhaseEnded)).Str("reason", holder.Configuration.String()).
		Float64("age_ms", float64(time.Since(g.startedAt).Microseconds())/1000).Msg(eventer.StartPhaseEnded.Name())
}

// ConfigVersion returns the version of the current configuration, and whether
// there is one.
func (g *Gateway) ConfigVersion() (matcher.ConfigVersion, bool) {
	t := g.routeTable.Load()
	if t == nil {
		return 0, false
	}
	return t.Version, true
}

// StartDraining makes the gateway close client connections after each response,
// so that clients reconnect to other instances. The scheduler gets the time left
// until the deadline and refuses jobs that can't be expected to end in it.
func (g *Gateway) StartDraining(deadline time.Time) { g.drainDeadline.Store(&deadline) }

// timeToDrainDeadline returns the time until the instance shuts down, at least 1 ns;
// zero if it isn't draining.
func (g *Gateway) timeToDrainDeadline() time.Duration {
	deadline := g.drainDeadline.Load()
	if deadline == nil {
		return 0
	}
	return max(1, time.Until(*deadline))
}

// ServeHTTP serves the submission of a job and the number of pending jobs of a
// route.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.drainDeadline.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	t, waited := g.awaitConfig(r)
	if t == nil {
		g.refuseCall(w, r, http.StatusServiceUnavailable, "no configuration yet", unavailableRetryAfter)
		return
	}
	route, jobPath := t.FindRoute(r.Host, r.URL.Path)
	if route == nil {
		g.refuseCall(w, r, http.StatusNotFound, "no such queue", 0)
		return
	}
	if jobPath == "" && r.Method == http.MethodGet {
		writeJSON(w, http.StatusOK, platform.EncodePendingJobs(g.sched.PendingJobs(route.Kind)))
		return
	}
	name, err := platform.DecodeJobName(jobPath)
	if err != nil {
		g.refuseCall(w, r, http.StatusBadRequest, err.Error(), 0)
		return
	}
	switch r.Method {
	case http.MethodPost:
		g.submit(w, r, t, route, name, waited)
	case http.MethodGet, http.MethodDelete:
		// A job's result is sent in the response to its submission and not stored.
		g.refuseCall(w, r, http.StatusGone, "no such job", 0)
	default:
		g.refuseCall(w, r, http.StatusMethodNotAllowed, "method is not allowed", 0)
	}
}

// awaitConfig returns the configuration, nil if there is none, and how long the request
// has waited for it.
func (g *Gateway) awaitConfig(r *http.Request) (*matcher.Table, time.Duration) {
	if t := g.routeTable.Load(); t != nil {
		return t, 0
	}
	arrivedAt := time.Now()
	timer := time.NewTimer(holder.ConfigWait(arrivedAt.Sub(g.startedAt), platform.CallerTimeout(r.Header)))
	defer timer.Stop()
	select {
	case <-g.configured:
	case <-timer.C:
	case <-r.Context().Done():
	}
	return g.routeTable.Load(), time.Since(arrivedAt)
}

func (g *Gateway) submit(w http.ResponseWriter, r *http.Request, t *matcher.Table, route *matcher.Route, name namer.JobName, waited time.Duration) {
	req, err := g.readJob(w, r, t)
	if err != nil {
		g.refuseUnreadableJob(w, r, err)
		return
	}
	if reason := unsupportedFeature(req, route); reason != "" {
		g.refuseCall(w, r, http.StatusServiceUnavailable, reason, unavailableRetryAfter)
		return
	}
	result, err := g.sched.Submit(r.Context(), scheduler.JobSpec{
		Name: name, Kind: route.Kind, Service: route.Service, Priority: route.Priority,
		MaxAttempts: route.MaxAttempts, ObjectiveFactor: route.ObjectiveFactor, ObjectiveBase: route.ObjectiveBase,
		CallerTimeout: callerTimeout(r, route), ShutdownIn: g.timeToDrainDeadline(), Unguarded: route.Unguarded, Waited: waited, Payload: req.Payload, Steps: req.Steps,
	})
	if err != nil {
		// The client has disconnected, or the instance is closed and its connections
		// with it.
		panic(http.ErrAbortHandler)
	}
	g.writeResult(w, result)
}

// unsupportedFeature returns the reason why a job can't be run, or "" if it can.
// A job with an unsupported feature is refused and never runs.
func unsupportedFeature(j *platform.JobRequest, route *matcher.Route) string {
	switch {
	case j.Durable:
		return "jobs that outlive their call are not supported"
	case j.UnsupportedFeature != "":
		return j.UnsupportedFeature + " is not supported"
	case route.TicketRequired:
		return "queues that need advice are not supported"
	}
	return ""
}

// callerTimeout returns how long the client waits for the job: the request's
// timeout, that of the route, or the default.
func callerTimeout(r *http.Request, route *matcher.Route) time.Duration {
	timeout := platform.CallerTimeout(r.Header)
	if timeout == 0 {
		timeout = route.CallerTimeout
	}
	if timeout == 0 {
		timeout = defaultCallerTimeout
	}
	return timeout
}

func (g *Gateway) writeResult(w http.ResponseWriter, r scheduler.JobResult) {
	switch r.Outcome {
	case scheduler.Completed, scheduler.Failed:
		writeJSON(w, http.StatusOK, platform.EncodeJobState(r.Outcome))
		return
	case scheduler.Aborted:
		setRetryAfter(w, r.RetryAfter)
		writeJSON(w, http.StatusGatewayTimeout, platform.EncodeError(r.Reason))
	case scheduler.Refused:
		setRetryAfter(w, r.RetryAfter)
		writeJSON(w, http.StatusTooManyRequests, platform.EncodeError(r.Reason))
	case scheduler.Unavailable:
		setRetryAfter(w, r.RetryAfter)
		writeJSON(w, http.StatusServiceUnavailable, platform.EncodeError(r.Reason))
	}
}

// jobError is an error in the body of a job. It is sent to the client.
type jobError struct{ error }

// readJob reads and decodes the body of a job.
func (g *Gateway) readJob(w http.ResponseWriter, r *http.Request, t *matcher.Table) (*platform.JobRequest, error) {
	limit := int64(t.Limits.MaxBodyBytes)
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	body, release, err := g.bodies.Read(w, r, limit)
	defer release()
	if err != nil {
		return nil, err
	}
	req, err := platform.DecodeJob(body)
	if err != nil {
		return nil, jobError{err}
	}
	return req, nil
}

func (g *Gateway) refuseUnreadableJob(w http.ResponseWriter, r *http.Request, err error) {
	var tooLarge *http.MaxBytesError
	var invalid jobError
	switch {
	case errors.As(err, &invalid):
		g.refuseCall(w, r, http.StatusBadRequest, err.Error(), 0)
	case errors.As(err, &tooLarge):
		g.refuseCall(w, r, http.StatusRequestEntityTooLarge, "body is too large", 0)
	case errors.Is(err, limiter.ErrDisplaced):
		w.Header().Set("Connection", "close")
		g.refuseCall(w, r, http.StatusServiceUnavailable, err.Error(), displacedRetryAfter)
	case r.Context().Err() != nil:
		panic(http.ErrAbortHandler)
	default:
		g.refuseCall(w, r, http.StatusBadRequest, "body can't be read", 0)
	}
}

func (g *Gateway) refuseCall(w http.ResponseWriter, r *http.Request, status int, reason string, retryAfter time.Duration) {
	reason = truncate(reason)
	g.log.Info().Int("event", int(eventer.CallRefused)).Str("method", truncate(r.Method)).Str("host", truncate(r.Host)).Str("path", truncate(r.URL.Path)).
		Int("status", status).Str("reason", reason).Msg(eventer.CallRefused.Name())
	setRetryAfter(w, retryAfter)
	writeJSON(w, status, platform.EncodeError(reason))
}

// truncate returns the start of a text, without the part of a character.
func truncate(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxTextBytes], "")
}

// setRetryAfter sets the Retry-After header, rounded up to whole seconds. A zero
// duration sets none.
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
	// A write error means that the client has disconnected.
	_, _ = w.Write(body)
}
