package server_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/heatherslip/heatherslip/internal/bench/fleetstarter"
	"github.com/heatherslip/heatherslip/internal/cli/client"
	"github.com/heatherslip/heatherslip/internal/config/generator"
	"github.com/heatherslip/heatherslip/internal/edge/server"
	"github.com/heatherslip/heatherslip/internal/standin/emulator"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// apiCall is an HTTP call with the expected status, code and ran value of its
// answer.
type apiCall struct {
	method, path, body string
	token, key         string
	status             int
	code               coder.Code
	ran                coder.Ran
}

const jobJSON = `{"key":"k1","kind":"word","wait":true,"tasks":[{"cores":100,"memory":1,"payload":"run=10ms"}]}`

// startFleet starts a fleet of the Akademia's, which ends with the test. The context is one
// for the test's calls.
func startFleet(t *testing.T, instances int) (context.Context, *fleetstarter.Fleet) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	t.Cleanup(cancel)
	fleet, err := fleetstarter.New(ctx, fleetstarter.Options{
		Site: emulator.AkademiaSite(), Instances: instances, Questionnaire: generator.SampleAkademia,
		Token: generator.SampleAkademiaToken, Log: zerolog.Nop(),
	})
	must.NoError(t, err)
	t.Cleanup(fleet.Close)
	return ctx, fleet
}

// TestCalls guards against calls that are answered with the wrong status, code or
// ran value, and against invalid calls that start a task.
func TestCalls(t *testing.T) {
	_, fleet := startFleet(t, 3)
	addr := "http://" + fleet.Daemon(0).APIAddress
	must.Eq(t, http.StatusOK, sendCall(t, addr, apiCall{method: "POST", path: "/v1/jobs", body: jobJSON, token: generator.SampleAkademiaToken}).status)
	starts := fleet.Platform.Stats().Starts

	validToken := generator.SampleAkademiaToken
	cases := map[string]apiCall{
		"no token":                {"POST", "/v1/jobs", jobJSON, "", "", 401, coder.CodeUnauthorized, coder.RanNo},
		"wrong token":             {"POST", "/v1/jobs", jobJSON, "wrong", "", 401, coder.CodeUnauthorized, coder.RanNo},
		"not JSON":                {"POST", "/v1/jobs", "{", validToken, "", 400, coder.CodeBadRequest, coder.RanNo},
		"two JSON values":         {"POST", "/v1/jobs", jobJSON + jobJSON, validToken, "", 400, coder.CodeBadRequest, coder.RanNo},
		"unknown field":           {"POST", "/v1/jobs", `{"colour":1}`, validToken, "", 400, coder.CodeBadRequest, coder.RanNo},
		"no key":                  {"POST", "/v1/jobs", `{"kind":"word","tasks":[{"cores":1}]}`, validToken, "", 400, coder.CodeBadRequest, coder.RanNo},
		"bad key":                 {"POST", "/v1/jobs", `{"key":"a b","kind":"word","tasks":[{"cores":1}]}`, validToken, "", 400, coder.CodeBadRequest, coder.RanNo},
		"unknown domain":          {"POST", "/v1/jobs", `{"key":"mars/k","kind":"word","tasks":[{"cores":1}]}`, validToken, "", 400, coder.CodeBadRequest, coder.RanNo},
		"no tasks":                {"POST", "/v1/jobs", `{"key":"k","kind":"word","tasks":[]}`, validToken, "", 400, coder.CodeBadRequest, coder.RanNo},
		"too many tasks":          {"POST", "/v1/jobs", `{"key":"k","kind":"word","tasks":[` + strings.Repeat(`{"cores":1},`, 730) + `{"cores":1}]}`, validToken, "", 400, coder.CodeBadRequest, coder.RanNo},
		"no cores":                {"POST", "/v1/jobs", `{"key":"k","kind":"word","tasks":[{"cores":0}]}`, validToken, "", 400, coder.CodeBadRequest, coder.RanNo},
		"unknown kind":            {"POST", "/v1/jobs", `{"key":"k","kind":"song","tasks":[{"cores":1}]}`, validToken, "", 400, coder.CodeBadRequest, coder.RanNo},
		"bad deadline":            {"POST", "/v1/jobs", `{"key":"k","kind":"word","deadline_ms":-1,"tasks":[{"cores":1}]}`, validToken, "", 400, coder.CodeBadRequest, coder.RanNo},
		"too large":               {"POST", "/v1/jobs", `{"key":"` + strings.Repeat("x", server.MaxBodyBytes) + `"}`, validToken, "", 413, coder.CodeTooLarge, coder.RanNo},
		"never fits":              {"POST", "/v1/jobs", `{"key":"big","kind":"word","tasks":[{"cores":900000}]}`, validToken, "", 422, coder.CodeNeverFits, coder.RanNo},
		"same key, other content": {"POST", "/v1/jobs", strings.Replace(jobJSON, "run=10ms", "run=11ms", 1), validToken, "", 409, coder.CodeConflict, coder.RanNo},
		"no idempotency key":      {"POST", "/v1/services/materialy-zajec/requests", `{"kind":"marking","payload":""}`, validToken, "", 400, coder.CodeBadRequest, coder.RanNo},
		"unknown service": {
			"POST", "/v1/services/none/requests", `{"kind":"word","payload":"","repeatable":true}`, validToken, "", 503, coder.CodeNoMinion, coder.RanNo,
		},
		"repeatable request of an unrepeatable kind": {
			"POST", "/v1/services/materialy-zajec/requests", `{"kind":"marking","payload":"","repeatable":true}`, validToken, "", 400, coder.CodeBadRequest, coder.RanNo,
		},
		"unknown job": {"GET", "/v1/jobs/never", "", validToken, "", 404, coder.CodeNotFound, coder.RanUnknown},
		"unknown job, key with a time": {
			"GET", "/v1/jobs/" + newKey(t), "", validToken, "", 404, coder.CodeNotFound, coder.RanNo,
		},
		"expired key": {
			"POST", "/v1/jobs", strings.Replace(jobJSON, "k1", "01890a5d-ac96-774b-bcce-b302099a8057", 1), validToken, "", 410, coder.CodeExpired, coder.RanUnknown,
		},
		"too many keys to cancel": {"POST", "/v1/cancel", `{"keys":[` + strings.Repeat(`"k",`, server.MaxCancelKeys) + `"k"]}`, validToken, "", 400, coder.CodeBadRequest, coder.RanNo},
		"publish without a token": {"POST", "/v1/config", `{}`, "", "", 401, coder.CodeUnauthorized, coder.RanNo},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := sendCall(t, addr, c)
			must.Eq(t, c.status, got.status, must.Sprintf("%+v", got.answer))
			must.Eq(t, c.code, got.answer.Code)
			must.Eq(t, c.ran, got.answer.Ran)
		})
	}
	must.Eq(t, starts, fleet.Platform.Stats().Starts, must.Sprint("nothing was run"))
}

// TestEvacuations requests the evacuation of a domain at one instance, twice, and takes
// it back at another. Work there is refused meanwhile, and no other domain is known.
func TestEvacuations(t *testing.T) {
	ctx, fleet := startFleet(t, 3)
	token := generator.SampleAkademiaToken
	operator := client.New(fleet.Daemon(0).APIAddress, token, "")
	defer operator.Close()
	other := client.New(fleet.Daemon(1).APIAddress, token, "")
	defer other.Close()
	domain, err := operator.HomeDomain(ctx)
	must.NoError(t, err)
	submit := func(key string) httpAnswer {
		body := strings.Replace(jobJSON, `"k1"`, `"`+string(domain)+"/"+key+`"`, 1)
		return sendCall(t, "http://"+fleet.Daemon(0).APIAddress, apiCall{method: "POST", path: "/v1/jobs", body: body, token: token})
	}

	unknown, err := operator.Evacuate(ctx, server.EvacuateBody{Domain: "mars"})
	must.NoError(t, err)
	must.StrContains(t, unknown.Detail, `there is no failure domain "mars"; known are [`)
	must.StrContains(t, unknown.Detail, string(domain))
	for range 2 {
		begun, err := operator.Evacuate(ctx, server.EvacuateBody{Domain: domain, Author: "a"})
		must.NoError(t, err)
		must.Eq(t, server.PublishAccepted, begun.Verdict)
	}
	must.Eq(t, http.StatusServiceUnavailable, submit("k1").status)
	must.Eq(t, coder.CodeEvacuated, submit("k2").answer.Code)
	listed, err := operator.Evacuations(ctx)
	must.NoError(t, err)
	must.Len(t, 1, listed)
	must.Eq(t, domain, listed[0].Domain)

	ended, err := other.Evacuate(ctx, server.EvacuateBody{Domain: domain, End: true})
	must.NoError(t, err)
	must.Eq(t, server.PublishAccepted, ended.Verdict)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return submit("k3").status == http.StatusOK }), wait.Timeout(10*time.Second), wait.Gap(20*time.Millisecond)))
}

// TestUnfinishedBodies guards against clients that take all memory with large bodies that
// don't end.
func TestUnfinishedBodies(t *testing.T) {
	_, fleet := startFleet(t, 1)
	// One of them more than the memory for bodies has room for.
	conns := make([]net.Conn, server.MaxBodyMemory/server.MaxBodyBytes+1)
	for i := range conns {
		var err error
		conns[i], err = net.Dial("tcp", fleet.Daemon(0).APIAddress)
		must.NoError(t, err)
		defer conns[i].Close()
		_, err = fmt.Fprintf(conns[i], "POST /v1/jobs HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", server.MaxBodyBytes)
		must.NoError(t, err)
		_, err = conns[i].Write(bytes.Repeat([]byte(" "), server.MaxBodyBytes-1))
		must.NoError(t, err)
	}
	refused := make(chan *http.Response, len(conns))
	for _, c := range conns {
		must.NoError(t, c.SetReadDeadline(time.Now().Add(server.BodyTimeout/2)))
		go func() {
			response, _ := http.ReadResponse(bufio.NewReader(c), nil)
			refused <- response
		}()
	}
	response := <-refused
	must.NotNil(t, response, must.Sprint("no body is given up for another one"))
	must.Eq(t, http.StatusTooManyRequests, response.StatusCode)
	must.Eq(t, "1", response.Header.Get("Retry-After"))
	answer := sendCall(t, "http://"+fleet.Daemon(0).APIAddress, apiCall{method: "POST", path: "/v1/jobs", body: jobJSON, token: generator.SampleAkademiaToken})
	must.Eq(t, http.StatusOK, answer.status)
}

func newKey(t *testing.T) string {
	t.Helper()
	key, err := namer.NewKey("")
	must.NoError(t, err)
	return string(key)
}

type httpAnswer struct {
	status int
	answer coder.Answer
}

func sendCall(t *testing.T, addr string, c apiCall) httpAnswer {
	t.Helper()
	req, err := http.NewRequest(c.method, addr+c.path, strings.NewReader(c.body))
	must.NoError(t, err)
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	if c.key != "" {
		req.Header.Set("Idempotency-Key", c.key)
	}
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	got := httpAnswer{status: resp.StatusCode}
	must.NoError(t, json.NewDecoder(resp.Body).Decode(&got.answer))
	return got
}
