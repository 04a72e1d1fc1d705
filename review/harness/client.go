//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// retransmit is RetransmitMs.
const retransmit = 1300 * time.Millisecond

// step is a step of a job.
type step struct {
	Count        int    `json:"Count"`
	Cpu          int    `json:"Cpu"`
	MemMb        int    `json:"MemMb"`
	EstimateMs   int    `json:"EstimateMs"`
	DependsOn    []int  `json:"DependsOn,omitempty"`
	Requires     string `json:"Requires,omitempty"`
	AntiAffinity int    `json:"AntiAffinity,omitempty"`
}

// job is a job that need not be kept. Its tasks run for the time in its Spec.
type job struct {
	id    string
	spec  workload
	steps []step
}

func newJob(ms int, steps ...step) job {
	return job{id: fmt.Sprintf("%016x", rand.Uint64()), spec: workload{Cpu: steps[0].Cpu, MemMb: steps[0].MemMb, Ms: ms}, steps: steps}
}

// answer is the end of one attempt. status is 0 if there was no answer.
type answer struct {
	status int
	state  string
}

func (a answer) String() string {
	if a.status == 0 {
		return "no answer"
	}
	return strings.TrimSpace(strconv.Itoa(a.status) + " " + a.state)
}

// client is a client of the system, with connections of its own.
type client struct {
	record   *record
	deadline time.Duration
	http     *http.Client
}

func newClient(rec *record, deadline time.Duration) *client {
	return &client{record: rec, deadline: deadline, http: &http.Client{Timeout: deadline, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// call sends a request to a machine and returns its answer.
func (c *client) call(n *node, method, path string, body []byte) answer {
	req, err := http.NewRequest(method, "http://"+n.front+path, bytes.NewReader(body))
	if err != nil {
		return answer{}
	}
	req.Host = siteHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", strconv.FormatInt(c.deadline.Milliseconds(), 10))
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{}
	}
	defer resp.Body.Close()
	var state struct{ State string }
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}
	}
	_ = json.Unmarshal(text, &state)
	return answer{resp.StatusCode, state.State}
}

// submit hands a job in at a machine.
func (c *client) submit(n *node, prefix string, j job) answer {
	spec, err := json.Marshal(j.spec)
	if err != nil {
		panic(err)
	}
	body, err := json.Marshal(map[string]any{"Spec": string(spec), "BestEffort": true, "Steps": j.steps})
	if err != nil {
		panic(err)
	}
	c.record.note("client sends job %s to %s", j.id, n.name)
	a := c.call(n, http.MethodPost, prefix+j.id, body)
	c.record.note("client gets for job %s from %s: %v", j.id, n.name, a)
	return a
}

// submitUntilAnswered hands a job in, and again at another machine RetransmitMs after an
// attempt that got no answer, a 502 or a 504.
func (c *client) submitUntilAnswered(first, other *node, prefix string, j job) answer {
	a := c.submit(first, prefix, j)
	if a.status == 0 || a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout {
		time.Sleep(retransmit)
		a = c.submit(other, prefix, j)
	}
	return a
}
