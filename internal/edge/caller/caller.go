// Package caller speaks with the platform and the services over HTTP: the log,
// the list, the workers and the minions.
package caller

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/dghubble/sling"

	"github.com/heatherslip/heatherslip/internal/wire/describer"
)

const (
	callTimeout = 2 * time.Second
	// LogPollWait is how long a poll may stay open with nothing to tell.
	LogPollWait = time.Second
	// endsPollWait is the same for the ends of tasks. It is half of a lease, which
	// each poll renews.
	endsPollWait = 1500 * time.Millisecond
	// connsPerHost bounds the connections to one worker or minion; a minion
	// takes 64 from all instances together.
	connsPerHost = 8
)

// ErrRefused says that the other side answered, and took nothing.
var ErrRefused = errors.New("refused")

// Caller makes the calls. Build one with New.
type Caller struct {
	platformURL string
	client      *http.Client
}

// New returns a Caller for the platform at an IP number and port.
func New(platform string) *Caller {
	return &Caller{
		platformURL: "http://" + platform,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: connsPerHost,
			IdleConnTimeout:     time.Minute,
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		}},
	}
}

// Close drops the connections that are idle.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// doRequest sends body, where it is not nil, and decodes the answer into out.
func (c *Caller) doRequest(ctx context.Context, s *sling.Sling, out any) (*http.Response, error) {
	req, err := s.Request()
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	resp, err := s.Client(c.client).Do(req.WithContext(ctx), out, nil)
	if err != nil {
		return resp, fmt.Errorf("call %s: %w", req.URL.Host, err)
	}
	if resp.StatusCode != http.StatusOK {
		return resp, fmt.Errorf("call %s: %w with status %d", req.URL.Host, ErrRefused, resp.StatusCode)
	}
	return resp, nil
}

func (c *Caller) postJSON(ctx context.Context, addr, path string, body, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.doRequest(ctx, sling.New().Base("http://"+addr).Post(path).BodyJSON(body), out)
	return err
}

// AppendRecords adds records to the log. An error leaves open whether they were
// added.
func (c *Caller) AppendRecords(ctx context.Context, records [][]byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s := sling.New().Base(c.platformURL).Post("/v1/log").BodyJSON(describer.AppendBody{Records: records})
	_, err := c.doRequest(ctx, s, &describer.AppendAnswer{})
	return err
}

// logQuery is the query of a read of the log.
type logQuery struct {
	From uint64 `url:"from"`
	Wait int    `url:"wait"`
}

// ReadLog returns the records from an offset on, and waits up to wait for the
// first.
func (c *Caller) ReadLog(ctx context.Context, from uint64, wait time.Duration) ([]describer.LogEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var out describer.ReadBody
	s := sling.New().Base(c.platformURL).Get("/v1/log").QueryStruct(logQuery{From: from, Wait: int(wait / time.Millisecond)})
	if _, err := c.doRequest(ctx, s, &out); err != nil {
		return nil, err
	}
	return out.Entries, nil
}

// GetList returns the platform's list.
func (c *Caller) GetList(ctx context.Context) (*describer.List, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var out describer.List
	if _, err := c.doRequest(ctx, sling.New().Base(c.platformURL).Get("/v1/list"), &out); err != nil {
		return nil, err
	}
	return &out, nil
}

// AcquireLease asks a worker for a lease.
func (c *Caller) AcquireLease(ctx context.Context, addr, holder string) (*describer.LeaseAnswer, error) {
	var out describer.LeaseAnswer
	if err := c.postJSON(ctx, addr, "/v1/lease", describer.LeaseBody{Holder: holder}, &out); err != nil {
		return nil, err
	}
	return &out, nil
}

// StartTasks sends tasks to a worker. An error leaves open whether they started.
func (c *Caller) StartTasks(ctx context.Context, addr string, body describer.StartBody) (*describer.StartAnswer, error) {
	var out describer.StartAnswer
	if err := c.postJSON(ctx, addr, "/v1/start", body, &out); err != nil {
		return nil, err
	}
	return &out, nil
}

// PollTaskEnds polls for the ends of a lease's tasks, and so renews the lease.
func (c *Caller) PollTaskEnds(ctx context.Context, addr, lease string, after int) (*describer.EndsAnswer, error) {
	var out describer.EndsAnswer
	body := describer.EndsBody{Lease: lease, After: after, WaitMillis: int(endsPollWait / time.Millisecond)}
	if err := c.postJSON(ctx, addr, "/v1/ends", body, &out); err != nil {
		return nil, err
	}
	return &out, nil
}

// FenceLeases ends leases and asks what a worker knows of tasks.
func (c *Caller) FenceLeases(ctx context.Context, addr string, body describer.FenceBody) (*describer.FenceAnswer, error) {
	var out describer.FenceAnswer
	if err := c.postJSON(ctx, addr, "/v1/fence", body, &out); err != nil {
		return nil, err
	}
	return &out, nil
}

// AdoptTasks moves running tasks under a lease.
func (c *Caller) AdoptTasks(ctx context.Context, addr string, body describer.TasksBody) error {
	return c.postJSON(ctx, addr, "/v1/adopt", body, &describer.EndsAnswer{})
}

// StopTasks stops running tasks.
func (c *Caller) StopTasks(ctx context.Context, addr string, body describer.TasksBody) error {
	return c.postJSON(ctx, addr, "/v1/stop", body, &struct{}{})
}

// RequestResult is what became of a request to a minion.
type RequestResult struct {
	describer.RequestAnswer
	// NoResponse is set where nobody can tell whether the request has run.
	NoResponse bool
	// Draining is set where the minion closes its connections.
	Draining bool
}

// SendRequest sends a request to a minion, once, and waits until the deadline.
func (c *Caller) SendRequest(ctx context.Context, addr string, body describer.RequestBody) RequestResult {
	var out, refused describer.RequestAnswer
	s := sling.New().Client(c.client).Base("http://" + addr).Post("/").BodyJSON(body)
	req, err := s.Request()
	if err != nil {
		return RequestResult{NoResponse: true}
	}
	// A request that may be sent only once must not be sent again by the
	// transport when a kept connection turns out to be closed.
	req.GetBody = nil
	resp, err := s.Do(req.WithContext(ctx), &out, &refused)
	if err != nil {
		return RequestResult{NoResponse: !failedToConnect(err), RequestAnswer: describer.RequestAnswer{Refused: failedToConnect(err)}}
	}
	leaving := resp.Close
	if resp.StatusCode == http.StatusServiceUnavailable && refused.Refused {
		return RequestResult{RequestAnswer: refused, Draining: leaving}
	}
	if resp.StatusCode != http.StatusOK {
		return RequestResult{NoResponse: true, Draining: leaving}
	}
	return RequestResult{RequestAnswer: out, Draining: leaving}
}

// failedToConnect reports whether a call failed before any byte could be sent.
func failedToConnect(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
