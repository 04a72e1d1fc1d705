//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// step is a step of a job.
type step struct {
	Count        int
	Cpu          int
	MemMb        int
	EstimateMs   int
	DependsOn    []int `json:",omitempty"`
	AntiAffinity int   `json:",omitempty"`
}

// job is a job that needn't be stored, with the work of each step.
type job struct {
	id         string
	works      []work
	steps      []step
	deadlineMs int
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// reply is what became of a call.
type reply struct {
	sentAt, endedAt time.Time
	// status is that of a complete response; zero if the connection ended without one.
	status int
	body   string
	err    error
}

// submit sends a job to an instance on a new connection and waits for the answer until the
// client's deadline.
func (d *deployment) submit(n *node, j *job) reply {
	body, err := json.Marshal(map[string]any{"Spec": specOf(j.works), "BestEffort": true, "Steps": j.steps})
	if err != nil {
		panic(err)
	}
	return d.call(n, http.MethodPost, j.id, string(body), j.deadlineMs)
}

// call sends a call on a new connection.
func (d *deployment) call(n *node, method, id, body string, deadlineMs int) reply {
	r := reply{sentAt: time.Now()}
	d.rec.addf("client sends %s %s%s to %s, Deadline-Ms %d %s", method, routePrefix, id, n.name, deadlineMs, body)
	r.status, r.body, r.err = d.exchange(n, method, id, body, deadlineMs)
	r.endedAt = time.Now()
	var timeout net.Error
	switch {
	case r.err == nil:
		d.rec.addf("client gets %d %s for %s %s", r.status, strings.TrimSpace(r.body), method, id)
	case errors.As(r.err, &timeout) && timeout.Timeout():
		d.rec.addf("client gives up %s %s at its deadline", method, id)
	default:
		d.rec.addf("client's connection for %s %s ends without a complete answer: %v", method, id, r.err)
	}
	return r
}

func (d *deployment) exchange(n *node, method, id, body string, deadlineMs int) (int, string, error) {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", n.ip, d.port+1), time.Second)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(time.Duration(deadlineMs) * time.Millisecond)); err != nil {
		return 0, "", err
	}
	request := fmt.Sprintf("%s %s%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, routePrefix, id, routeHost, deadlineMs, len(body), body)
	if _, err := io.WriteString(conn, request); err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", err
	}
	return resp.StatusCode, string(answer), nil
}

// oneStep returns a job with one step, whose tasks take as long as estimated.
func oneStep(count, cpu, ms, deadlineMs int) *job {
	return &job{
		id: newID(), works: []work{{ms, cpu}}, steps: []step{{Count: count, Cpu: cpu, MemMb: 64, EstimateMs: ms}}, deadlineMs: deadlineMs,
	}
}

// submitAsync is submit in the background.
func (d *deployment) submitAsync(n *node, j *job) <-chan reply {
	out := make(chan reply, 1)
	go func() { out <- d.submit(n, j) }()
	return out
}

// runsOf returns the runs of a job on all minions.
func (d *deployment) runsOf(id string) []minionRun {
	var out []minionRun
	for _, m := range d.minions {
		for _, r := range m.allRuns() {
			if strings.HasPrefix(r.task, id+".") {
				out = append(out, r)
			}
		}
	}
	return out
}
