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
	"github.com/heatherslip/heatherslip/internal/wire/namer"
	"github.com/heatherslip/heatherslip/platform/emulator"
)

// fakeCore answers each job alike and keeps the last.
type fakeCore struct {
	answer scheduler.Answer
	got    *scheduler.JobSpec
}

func (f *fakeCore) Submit(_ context.Context, j scheduler.JobSpec) (scheduler.Answer, error) {
	f.got = &j
	return f.answer, nil
}

func (f *fakeCore) Pending(namer.Kind) int { return 3 }

func config(v matcher.Version, extra ...matcher.Route) matcher.Config {
	routes := []matcher.Route{
		{Name: "r", Host: "h.example", Prefix: "/p/", Service: "s", MaxAttempts: 2, Timeout: time.Second},
		{Name: "adv", Host: "h.example", Prefix: "/adv/", Service: "s", Advised: true},
	}
	return matcher.Config{Version: v, Routes: append(routes, extra...), Limits: matcher.Limits{BodyBytes: 200}}
}

const jobID = "5c0e7a21d94b36f8"

var jobBody = emulator.JobBody(2, time.Second)

func call(g *Gateway, method, host, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Host = host
	g.ServeHTTP(w, r)
	return w
}

func TestCalls(t *testing.T) {
	cases := map[string]struct {
		method, path, body string
		answer             scheduler.Answer
		status             int
		retry              string
		taken              bool
	}{
		"completed":     {"POST", "/p/" + jobID, jobBody, scheduler.Answer{Outcome: scheduler.Completed}, 200, "", true},
		"failed":        {"POST", "/p/" + jobID, jobBody, scheduler.Answer{Outcome: scheduler.Failed}, 200, "", true},
		"refused":       {"POST", "/p/" + jobID, jobBody, scheduler.Answer{Outcome: scheduler.Refused, RetryAfter: 1200 * time.Millisecond}, 429, "2", true},
		"unavailable":   {"POST", "/p/" + jobID, jobBody, scheduler.Answer{Outcome: scheduler.Unavailable, RetryAfter: time.Second}, 503, "1", true},
		"given up":      {"POST", "/p/" + jobID, jobBody, scheduler.Answer{Outcome: scheduler.GivenUp, RetryAfter: time.Second}, 504, "1", true},
		"no such queue": {"POST", "/q/" + jobID, jobBody, scheduler.Answer{}, 404, "", false},
		"id too short":  {"POST", "/p/5c0e", jobBody, scheduler.Answer{}, 400, "", false},
		"not JSON":      {"POST", "/p/" + jobID, "{", scheduler.Answer{}, 400, "", false},
		"body too large": {
			"POST", "/p/" + jobID, jobBody + strings.Repeat(" ", 300), scheduler.Answer{}, 413, "", false,
		},
		"job to be kept": {"POST", "/p/" + jobID, emulator.KeptJob, scheduler.Answer{}, 503, "1", false},
		"gang": {
			"POST", "/p/" + jobID, emulator.GangJob, scheduler.Answer{}, 503, "1", false,
		},
		"queue with advice": {"POST", "/adv/" + jobID, jobBody, scheduler.Answer{}, 503, "1", false},
		"state of a job":    {"GET", "/p/" + jobID, "", scheduler.Answer{}, 410, "", false},
		"cancel of a job":   {"DELETE", "/p/" + jobID, "", scheduler.Answer{}, 410, "", false},
		"other method":      {"PATCH", "/p/" + jobID, "", scheduler.Answer{}, 405, "", false},
		"pending":           {"GET", "/p/", "", scheduler.Answer{}, 200, "", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			core := &fakeCore{answer: c.answer}
			g := New(core, zerolog.Nop())
			must.True(t, g.Apply(config(1)))
			w := call(g, c.method, "h.example", c.path, c.body)
			must.Eq(t, c.status, w.Code)
			must.Eq(t, c.retry, w.Header().Get("Retry-After"))
			must.Eq(t, c.taken, core.got != nil)
			if c.taken {
				must.Eq(t, time.Second, core.got.Patience)
				must.Eq(t, namer.JobName(jobID), core.got.Name)
			}
		})
	}
}

func TestConfigurationNeverReverts(t *testing.T) {
	g := New(&fakeCore{}, zerolog.Nop())
	must.Eq(t, http.StatusServiceUnavailable, call(g, "GET", "h.example", "/p/", "").Code)
	must.True(t, g.Apply(config(5, matcher.Route{Name: "new", Host: "h.example", Prefix: "/new/"})))
	must.False(t, g.Apply(config(4)))
	must.False(t, g.Apply(config(5)))
	must.Eq(t, http.StatusOK, call(g, "GET", "h.example", "/new/", "").Code)
	must.True(t, g.Apply(config(9)))
	must.Eq(t, http.StatusNotFound, call(g, "GET", "h.example", "/new/", "").Code)
}

func TestLeavingClosesConnections(t *testing.T) {
	core := &fakeCore{answer: scheduler.Answer{Outcome: scheduler.Completed}}
	g := New(core, zerolog.Nop())
	g.Apply(config(1))
	must.Eq(t, "", call(g, "POST", "h.example", "/p/"+jobID, jobBody).Header().Get("Connection"))
	must.Eq(t, 0, core.got.Left)
	g.Leave(time.Now().Add(time.Hour))
	w := call(g, "POST", "h.example", "/p/"+jobID, jobBody)
	must.Eq(t, http.StatusOK, w.Code)
	must.Eq(t, "close", w.Header().Get("Connection"))
	must.Between(t, time.Minute, core.got.Left, time.Hour)
}
