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
	// PollWait is how long a poll may stay open with nothing to tell.
	PollWait = time.Second
	// endsWait is the same for the ends of tasks. It is half of a lease, which
	// each poll renews.
	endsWait = 1500 * time.Millisecond
	// connsPerHost bounds the connections to one worker or minion; a minion
	// takes 64 from all instances together.
	connsPerHost = 8
)

// ErrRefused says that the other side answered, and took nothing.
var ErrRefused = errors.New("refused")

// Caller makes the calls. Build one with New.
type Caller struct {
	platform string
	client   *http.Client
}

// New returns a Caller for the platform at an IP number and port.
func New(platform string) *Caller {
	return &Caller{
		platform: "http://" + platform,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: connsPerHost,
			IdleConnTimeout:     time.Minute,
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		}},
	}
}

// Close drops the connections that are idle.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// call sends body, where it is not nil, and decodes the answer into out.
func (c *Caller) call(ctx context.Context, s *sling.Sling, out any) (*http.Response, error) {
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

func (c *Caller) post(ctx context.Context, addr, path string, body, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.call(ctx, sling.New().Base("http://"+addr).Post(path).BodyJSON(body), out)
	return err
}

// Append adds records to the log. An error leaves open whether they were
// added.
func (c *Caller) Append(ctx context.Context, records [][]byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s := sling.New().Base(c.platform).Post("/v1/log").BodyJSON(describer.AppendBody{Records: records})
	_, err := c.call(ctx, s, &describer.AppendAnswer{})
	return err
}

// readQuery is the query of a read of the log.
type readQuery struct {
	From uint64 `url:"from"`
	Wait int    `url:"wait"`
}

// Read returns the records from an offset on, and waits up to wait for the
// first.
func (c *Caller) Read(ctx context.Context, from uint64, wait time.Duration) ([]describer.LogEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var out describer.ReadBody
	s := sling.New().Base(c.platform).Get("/v1/log").QueryStruct(readQuery{From: from, Wait: int(wait / time.Millisecond)})
	if _, err := c.call(ctx, s, &out); err != nil {
		return nil, err
	}
	return out.Entries, nil
}

// List returns the platform's list.
func (c *Caller) List(ctx context.Context) (*describer.List, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var out describer.List
	if _, err := c.call(ctx, sling.New().Base(c.platform).Get("/v1/list"), &out); err != nil {
		return nil, err
	}
	return &out, nil
}

// Lease asks a worker for a lease.
func (c *Caller) Lease(ctx context.Context, addr, holder string) (*describer.LeaseAnswer, error) {
	var out describer.LeaseAnswer
	if err := c.post(ctx, addr, "/v1/lease", describer.LeaseBody{Holder: holder}, &out); err != nil {
		return nil, err
	}
	return &out, nil
}

// Start sends tasks to a worker. An error leaves open whether they started.
func (c *Caller) Start(ctx context.Context, addr string, body describer.StartBody) (*describer.StartAnswer, error) {
	var out describer.StartAnswer
	if err := c.post(ctx, addr, "/v1/start", body, &out); err != nil {
		return nil, err
	}
	return &out, nil
}

// Ends polls for the ends of a lease's tasks, and so renews the lease.
func (c *Caller) Ends(ctx context.Context, addr, lease string, after int) (*describer.EndsAnswer, error) {
	var out describer.EndsAnswer
	body := describer.EndsBody{Lease: lease, After: after, WaitMillis: int(endsWait / time.Millisecond)}
	if err := c.post(ctx, addr, "/v1/ends", body, &out); err != nil {
		return nil, err
	}
	return &out, nil
}

// Fence ends leases and asks what a worker knows of tasks.
func (c *Caller) Fence(ctx context.Context, addr string, body describer.FenceBody) (*describer.FenceAnswer, error) {
	var out describer.FenceAnswer
	if err := c.post(ctx, addr, "/v1/fence", body, &out); err != nil {
		return nil, err
	}
	return &out, nil
}

// Adopt moves running tasks under a lease.
func (c *Caller) Adopt(ctx context.Context, addr string, body describer.TasksBody) error {
	return c.post(ctx, addr, "/v1/adopt", body, &describer.EndsAnswer{})
}

// Stop stops running tasks.
func (c *Caller) Stop(ctx context.Context, addr string, body describer.TasksBody) error {
	return c.post(ctx, addr, "/v1/stop", body, &struct{}{})
}

// Sent is what became of a request to a minion.
type Sent struct {
	describer.RequestAnswer
	// Lost is set where nobody can tell whether the request has run.
	Lost bool
	// Leaving is set where the minion closes its connections.
	Leaving bool
}

// Request sends a request to a minion, once, and waits until the deadline.
func (c *Caller) Request(ctx context.Context, addr string, body describer.RequestBody) Sent {
	var out, refused describer.RequestAnswer
	s := sling.New().Client(c.client).Base("http://" + addr).Post("/").BodyJSON(body)
	req, err := s.Request()
	if err != nil {
		return Sent{Lost: true}
	}
	// A request that may be sent only once must not be sent again by the
	// transport when a kept connection turns out to be closed.
	req.GetBody = nil
	resp, err := s.Do(req.WithContext(ctx), &out, &refused)
	if err != nil {
		return Sent{Lost: !neverSent(err), RequestAnswer: describer.RequestAnswer{Refused: neverSent(err)}}
	}
	leaving := resp.Close
	if resp.StatusCode == http.StatusServiceUnavailable && refused.Refused {
		return Sent{RequestAnswer: refused, Leaving: leaving}
	}
	if resp.StatusCode != http.StatusOK {
		return Sent{Lost: true, Leaving: leaving}
	}
	return Sent{RequestAnswer: out, Leaving: leaving}
}

// neverSent reports whether a call failed before any byte could be sent.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
