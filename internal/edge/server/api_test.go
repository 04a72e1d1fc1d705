package server_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/heatherslip/heatherslip/internal/bench/assembler"
	"github.com/heatherslip/heatherslip/internal/config/generator"
	"github.com/heatherslip/heatherslip/internal/edge/server"
	"github.com/heatherslip/heatherslip/internal/standin/emulator"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// call is one HTTP call with what it must be answered.
type call struct {
	method, path, body string
	token, key         string
	status             int
	code               coder.Code
	ran                coder.Ran
}

const job = `{"key":"k1","kind":"word","wait":true,"tasks":[{"cores":100,"memory":1,"payload":"run=10ms"}]}`

func TestCalls(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	f, err := assembler.New(ctx, assembler.Options{
		Site: emulator.AkademiaSite(), Instances: 3, Questionnaire: generator.SampleAkademia,
		Token: generator.SampleAkademiaToken, Log: zerolog.Nop(),
	})
	must.NoError(t, err)
	defer f.Close()
	addr := "http://" + f.Daemon(0).API
	must.Eq(t, http.StatusOK, do(t, addr, call{method: "POST", path: "/v1/jobs", body: job, token: generator.SampleAkademiaToken}).status)
	starts := f.Platform.Stats().Starts

	good := generator.SampleAkademiaToken
	cases := map[string]call{
		"no token":       {"POST", "/v1/jobs", job, "", "", 401, coder.CodeUnauthorized, coder.RanNo},
		"wrong token":    {"POST", "/v1/jobs", job, "wrong", "", 401, coder.CodeUnauthorized, coder.RanNo},
		"not JSON":       {"POST", "/v1/jobs", "{", good, "", 400, coder.CodeBadRequest, coder.RanNo},
		"two values":     {"POST", "/v1/jobs", job + job, good, "", 400, coder.CodeBadRequest, coder.RanNo},
		"unknown field":  {"POST", "/v1/jobs", `{"colour":1}`, good, "", 400, coder.CodeBadRequest, coder.RanNo},
		"no key":         {"POST", "/v1/jobs", `{"kind":"word","tasks":[{"cores":1}]}`, good, "", 400, coder.CodeBadRequest, coder.RanNo},
		"bad key":        {"POST", "/v1/jobs", `{"key":"a b","kind":"word","tasks":[{"cores":1}]}`, good, "", 400, coder.CodeBadRequest, coder.RanNo},
		"unknown home":   {"POST", "/v1/jobs", `{"key":"mars/k","kind":"word","tasks":[{"cores":1}]}`, good, "", 400, coder.CodeBadRequest, coder.RanNo},
		"no tasks":       {"POST", "/v1/jobs", `{"key":"k","kind":"word","tasks":[]}`, good, "", 400, coder.CodeBadRequest, coder.RanNo},
		"too many tasks": {"POST", "/v1/jobs", `{"key":"k","kind":"word","tasks":[` + strings.Repeat(`{"cores":1},`, 730) + `{"cores":1}]}`, good, "", 400, coder.CodeBadRequest, coder.RanNo},
		"no cores":       {"POST", "/v1/jobs", `{"key":"k","kind":"word","tasks":[{"cores":0}]}`, good, "", 400, coder.CodeBadRequest, coder.RanNo},
		"unknown kind":   {"POST", "/v1/jobs", `{"key":"k","kind":"song","tasks":[{"cores":1}]}`, good, "", 400, coder.CodeBadRequest, coder.RanNo},
		"bad deadline":   {"POST", "/v1/jobs", `{"key":"k","kind":"word","deadline_ms":-1,"tasks":[{"cores":1}]}`, good, "", 400, coder.CodeBadRequest, coder.RanNo},
		"too large":      {"POST", "/v1/jobs", `{"key":"` + strings.Repeat("x", server.MaxBodyBytes) + `"}`, good, "", 413, coder.CodeTooLarge, coder.RanNo},
		"never fits":     {"POST", "/v1/jobs", `{"key":"big","kind":"word","tasks":[{"cores":900000}]}`, good, "", 422, coder.CodeNeverFits, coder.RanNo},
		"other content":  {"POST", "/v1/jobs", strings.Replace(job, "run=10ms", "run=11ms", 1), good, "", 409, coder.CodeConflict, coder.RanNo},
		"no idempotency": {"POST", "/v1/services/materialy-zajec/requests", `{"kind":"marking","payload":""}`, good, "", 400, coder.CodeBadRequest, coder.RanNo},
		"no such service": {
			"POST", "/v1/services/none/requests", `{"kind":"word","payload":"","repeatable":true}`, good, "", 503, coder.CodeNoMinion, coder.RanNo,
		},
		"grave work is never repeatable": {
			"POST", "/v1/services/materialy-zajec/requests", `{"kind":"marking","payload":"","repeatable":true}`, good, "", 400, coder.CodeBadRequest, coder.RanNo,
		},
		"unknown job": {"GET", "/v1/jobs/never", "", good, "", 404, coder.CodeNotFound, coder.RanUnknown},
		"unknown job whose key shows its age": {
			"GET", "/v1/jobs/" + fresh(t), "", good, "", 404, coder.CodeNotFound, coder.RanNo,
		},
		"expired key": {
			"POST", "/v1/jobs", strings.Replace(job, "k1", "01890a5d-ac96-774b-bcce-b302099a8057", 1), good, "", 410, coder.CodeExpired, coder.RanUnknown,
		},
		"too many to cancel":  {"POST", "/v1/cancel", `{"keys":[` + strings.Repeat(`"k",`, server.MaxCancelKeys) + `"k"]}`, good, "", 400, coder.CodeBadRequest, coder.RanNo},
		"publish by a caller": {"POST", "/v1/config", `{}`, "", "", 401, coder.CodeUnauthorized, coder.RanNo},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := do(t, addr, c)
			must.Eq(t, c.status, got.status, must.Sprintf("%+v", got.answer))
			must.Eq(t, c.code, got.answer.Code)
			must.Eq(t, c.ran, got.answer.Ran)
		})
	}
	must.Eq(t, starts, f.Platform.Stats().Starts, must.Sprint("nothing was run"))
}

func fresh(t *testing.T) string {
	t.Helper()
	key, err := namer.NewKey("")
	must.NoError(t, err)
	return string(key)
}

type answered struct {
	status int
	answer coder.Answer
}

func do(t *testing.T, addr string, c call) answered {
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
	got := answered{status: resp.StatusCode}
	must.NoError(t, json.NewDecoder(resp.Body).Decode(&got.answer))
	return got
}
