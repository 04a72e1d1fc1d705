package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/heatherslip/heatherslip/internal/core/matcher"
	"github.com/heatherslip/heatherslip/internal/core/scheduler"
	"github.com/heatherslip/heatherslip/internal/edge/limiter"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
	"github.com/heatherslip/heatherslip/platform/emulator"
)

// fakeScheduler returns the same result for each job and keeps the last job.
type fakeScheduler struct {
	result  scheduler.JobResult
	lastJob *scheduler.JobSpec
}

func (f *fakeScheduler) Submit(_ context.Context, j scheduler.JobSpec) (scheduler.JobResult, error) {
	f.lastJob = &j
	return f.result, nil
}

func (f *fakeScheduler) PendingJobs(namer.Kind) int { return 3 }

func testConfig(v matcher.ConfigVersion, extra ...matcher.Route) matcher.Config {
	routes := []matcher.Route{
		{Kind: "r", Host: "h.example", PathPrefix: "/p/", Service: "s", MaxAttempts: 2, CallerTimeout: time.Second},
		{Kind: "adv", Host: "h.example", PathPrefix: "/adv/", Service: "s", TicketRequired: true},
	}
	return matcher.Config{Version: v, Routes: append(routes, extra...), Limits: matcher.Limits{MaxBodyBytes: 200}}
}

const jobID = "5c0e7a21d94b36f8"

var jobBody = emulator.JobBody(2, time.Second)

func serveCall(g *Gateway, method, host, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Host = host
	g.ServeHTTP(w, r)
	return w
}

// TestServeHTTP checks the status and Retry-After of each kind of request, and
// that refused requests don't reach the scheduler.
func TestServeHTTP(t *testing.T) {
	cases := map[string]struct {
		method, path, body string
		result             scheduler.JobResult
		status             int
		retryAfter         string
		submitted          bool
	}{
		"completed":     {"POST", "/p/" + jobID, jobBody, scheduler.JobResult{Outcome: scheduler.Completed}, 200, "", true},
		"failed":        {"POST", "/p/" + jobID, jobBody, scheduler.JobResult{Outcome: scheduler.Failed}, 200, "", true},
		"refused":       {"POST", "/p/" + jobID, jobBody, scheduler.JobResult{Outcome: scheduler.Refused, RetryAfter: 1200 * time.Millisecond}, 429, "2", true},
		"unavailable":   {"POST", "/p/" + jobID, jobBody, scheduler.JobResult{Outcome: scheduler.Unavailable, RetryAfter: time.Second}, 503, "1", true},
		"aborted":       {"POST", "/p/" + jobID, jobBody, scheduler.JobResult{Outcome: scheduler.Aborted, RetryAfter: time.Second}, 504, "1", true},
		"no such queue": {"POST", "/q/" + jobID, jobBody, scheduler.JobResult{}, 404, "", false},
		"id too short":  {"POST", "/p/5c0e", jobBody, scheduler.JobResult{}, 400, "", false},
		"not JSON":      {"POST", "/p/" + jobID, "{", scheduler.JobResult{}, 400, "", false},
		"body too large": {
			"POST", "/p/" + jobID, jobBody + strings.Repeat(" ", 300), scheduler.JobResult{}, 413, "", false,
		},
		"durable job": {"POST", "/p/" + jobID, emulator.DurableJobBody, scheduler.JobResult{}, 503, "1", false},
		"gang job": {
			"POST", "/p/" + jobID, emulator.GangJobBody, scheduler.JobResult{}, 503, "1", false,
		},
		"queue that needs advice": {"POST", "/adv/" + jobID, jobBody, scheduler.JobResult{}, 503, "1", false},
		"get state of a job":      {"GET", "/p/" + jobID, "", scheduler.JobResult{}, 410, "", false},
		"cancel a job":            {"DELETE", "/p/" + jobID, "", scheduler.JobResult{}, 410, "", false},
		"other method":            {"PATCH", "/p/" + jobID, "", scheduler.JobResult{}, 405, "", false},
		"pending jobs":            {"GET", "/p/", "", scheduler.JobResult{}, 200, "", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			sched := &fakeScheduler{result: c.result}
			g := New(sched, limiter.NewBodies(1<<20, time.Minute), zerolog.Nop())
			must.True(t, g.ApplyConfig(testConfig(1)))
			w := serveCall(g, c.method, "h.example", c.path, c.body)
			must.Eq(t, c.status, w.Code)
			must.Eq(t, c.retryAfter, w.Header().Get("Retry-After"))
			must.Eq(t, c.submitted, sched.lastJob != nil)
			if c.submitted {
				must.Eq(t, time.Second, sched.lastJob.CallerTimeout)
				must.Eq(t, namer.JobName(jobID), sched.lastJob.Name)
			}
		})
	}
}

// TestCallBeforeConfiguration checks that a call which arrives just after the start waits
// for the first configuration, and that the scheduler is told how long.
func TestCallBeforeConfiguration(t *testing.T) {
	cases := map[string]struct {
		uptime time.Duration
		status int
	}{"just started": {0, http.StatusOK}, "long ago": {time.Hour, http.StatusServiceUnavailable}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			sched := &fakeScheduler{result: scheduler.JobResult{Outcome: scheduler.Completed}}
			g := New(sched, limiter.NewBodies(1<<20, time.Minute), zerolog.Nop())
			g.startedAt = time.Now().Add(-c.uptime)
			time.AfterFunc(20*time.Millisecond, func() { g.ApplyConfig(testConfig(1)) })
			must.Eq(t, c.status, serveCall(g, "POST", "h.example", "/p/"+jobID, jobBody).Code)
			if c.status == http.StatusOK {
				must.Between(t, time.Millisecond, sched.lastJob.Waited, 400*time.Millisecond)
			}
		})
	}
}

// TestConfigurationNeverReverts checks that a configuration of a lower or equal
// version, such as an old copy from a peer, doesn't replace the current one.
func TestConfigurationNeverReverts(t *testing.T) {
	g := New(&fakeScheduler{}, limiter.NewBodies(1<<20, time.Minute), zerolog.Nop())
	must.Eq(t, http.StatusServiceUnavailable, serveCall(g, "GET", "h.example", "/p/", "").Code)
	must.True(t, g.ApplyConfig(testConfig(5, matcher.Route{Kind: "new", Host: "h.example", PathPrefix: "/new/"})))
	must.False(t, g.ApplyConfig(testConfig(4)))
	must.False(t, g.ApplyConfig(testConfig(5)))
	must.Eq(t, http.StatusOK, serveCall(g, "GET", "h.example", "/new/", "").Code)
	must.True(t, g.ApplyConfig(testConfig(9)))
	must.Eq(t, http.StatusNotFound, serveCall(g, "GET", "h.example", "/new/", "").Code)
}

// TestDrainingClosesConnections checks that a draining gateway still serves jobs,
// but closes connections and passes the time left to the scheduler.
func TestDrainingClosesConnections(t *testing.T) {
	sched := &fakeScheduler{result: scheduler.JobResult{Outcome: scheduler.Completed}}
	g := New(sched, limiter.NewBodies(1<<20, time.Minute), zerolog.Nop())
	g.ApplyConfig(testConfig(1))
	must.Eq(t, "", serveCall(g, "POST", "h.example", "/p/"+jobID, jobBody).Header().Get("Connection"))
	must.Eq(t, 0, sched.lastJob.ShutdownIn)
	g.StartDraining(time.Now().Add(time.Hour))
	w := serveCall(g, "POST", "h.example", "/p/"+jobID, jobBody)
	must.Eq(t, http.StatusOK, w.Code)
	must.Eq(t, "close", w.Header().Get("Connection"))
	must.Between(t, time.Minute, sched.lastJob.ShutdownIn, time.Hour)
}
