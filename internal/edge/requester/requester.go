// Package requester is the HTTP client for the platform's log and list, for
// workers and for minions.
package requester

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
	// LogPollWait is how long a long poll of the log waits for new records.
	LogPollWait = time.Second
	// endsPollWait is how long a long poll of a worker waits for task results. It
	// is half the duration of a lease, since each poll renews the lease.
	endsPollWait = 1500 * time.Millisecond
	// idleConnsPerHost is the maximum number of idle connections kept to one
	// worker or minion. A minion accepts 64 connections from all instances
	// together.
	idleConnsPerHost = 8
)

// ErrRefused is returned for a response with a status other than 200, which
// means that the request was not accepted.
var ErrRefused = errors.New("refused")

// Requester is an HTTP client. Use New to create one.
type Requester struct {
	platformURL string
	client      *http.Client
}

// New returns a Requester for the platform at an IP address and port.
func New(platformAddr string) *Requester {
	return &Requester{
		platformURL: "http://" + platformAddr,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: idleConnsPerHost,
			IdleConnTimeout:     time.Minute,
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		}},
	}
}

// Close closes idle connections.
func (r *Requester) Close() { r.client.CloseIdleConnections() }

// doRequest sends a request and decodes the response body into out.
func (r *Requester) doRequest(ctx context.Context, s *sling.Sling, out any) (*http.Response, error) {
	req, err := s.Request()
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	resp, err := s.Client(r.client).Do(req.WithContext(ctx), out, nil)
	if err != nil {
		return resp, fmt.Errorf("call %s: %w", req.URL.Host, err)
	}
	if resp.StatusCode != http.StatusOK {
		return resp, fmt.Errorf("call %s: %w with status %d", req.URL.Host, ErrRefused, resp.StatusCode)
	}
	return resp, nil
}

func (r *Requester) postJSON(ctx context.Context, addr, path string, body, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := r.doRequest(ctx, sling.New().Base("http://"+addr).Post(path).BodyJSON(body), out)
	return err
}

// AppendRecords appends records to the log. After an error the records may or
// may not have been appended.
func (r *Requester) AppendRecords(ctx context.Context, records [][]byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s := sling.New().Base(r.platformURL).Post("/v1/log").BodyJSON(describer.AppendBody{Records: records})
	_, err := r.doRequest(ctx, s, &describer.AppendAnswer{})
	return err
}

// logQuery holds the query parameters of a log read. Wait is in milliseconds.
type logQuery struct {
	From uint64 `url:"from"`
	Wait int    `url:"wait"`
}

// ReadLog returns the log records from offset from on. If there are none, it
// waits up to wait for the first.
func (r *Requester) ReadLog(ctx context.Context, from uint64, wait time.Duration) ([]describer.LogEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var out describer.ReadBody
	s := sling.New().Base(r.platformURL).Get("/v1/log").QueryStruct(logQuery{From: from, Wait: int(wait / time.Millisecond)})
	if _, err := r.doRequest(ctx, s, &out); err != nil {
		return nil, err
	}
	return out.Entries, nil
}

// AcquireLease asks a worker for a lease.
func (r *Requester) AcquireLease(ctx context.Context, addr, holder string) (*describer.LeaseAnswer, error) {
	var out describer.LeaseAnswer
	if err := r.postJSON(ctx, addr, "/v1/lease", describer.LeaseBody{Holder: holder}, &out); err != nil {
		return nil, err
	}
	return &out, nil
}

// StartTasks sends tasks to a worker. After an error the tasks may or may not
// have started.
func (r *Requester) StartTasks(ctx context.Context, addr string, body describer.StartBody) (*describer.StartAnswer, error) {
	var out describer.StartAnswer
	if err := r.postJSON(ctx, addr, "/v1/start", body, &out); err != nil {
		return nil, err
	}
	return &out, nil
}

// PollTaskEnds long-polls for the results of a lease's tasks, skipping those
// already received, and renews the lease.
func (r *Requester) PollTaskEnds(ctx context.Context, addr, lease string, received int) (*describer.EndsAnswer, error) {
	var out describer.EndsAnswer
	body := describer.EndsBody{Lease: lease, ReceivedCount: received, WaitMillis: int(endsPollWait / time.Millisecond)}
	if err := r.postJSON(ctx, addr, "/v1/ends", body, &out); err != nil {
		return nil, err
	}
	return &out, nil
}

// FenceLeases ends one lease, or all leases of a holder, and returns the state
// of the given tasks on the worker.
func (r *Requester) FenceLeases(ctx context.Context, addr string, body describer.FenceBody) (*describer.FenceAnswer, error) {
	var out describer.FenceAnswer
	if err := r.postJSON(ctx, addr, "/v1/fence", body, &out); err != nil {
		return nil, err
	}
	return &out, nil
}

// AdoptTasks transfers running tasks to a lease.
func (r *Requester) AdoptTasks(ctx context.Context, addr string, body describer.TasksBody) error {
	return r.postJSON(ctx, addr, "/v1/adopt", body, &describer.EndsAnswer{})
}

// StopTasks stops running tasks.
func (r *Requester) StopTasks(ctx context.Context, addr string, body describer.TasksBody) error {
	return r.postJSON(ctx, addr, "/v1/stop", body, &struct{}{})
}

// RequestResult is the result of a request to a minion.
type RequestResult struct {
	describer.RequestAnswer
	// NoResponse is set if the request may or may not have run.
	NoResponse bool
	// Draining is set if the minion closes the connection after its answer.
	Draining bool
}

// SendRequest sends a request to a minion at most once, and waits for the answer
// until ctx ends.
func (r *Requester) SendRequest(ctx context.Context, addr string, body describer.RequestBody) RequestResult {
	var out, refused describer.RequestAnswer
	s := sling.New().Client(r.client).Base("http://" + addr).Post("/").BodyJSON(body)
	req, err := s.Request()
	if err != nil {
		return RequestResult{NoResponse: true}
	}
	// Without GetBody the transport cannot resend the request when a kept-alive
	// connection turns out to be closed. An unrepeatable request must not be sent
	// twice.
	req.GetBody = nil
	resp, err := s.Do(req.WithContext(ctx), &out, &refused)
	if err != nil {
		return RequestResult{NoResponse: !failedToConnect(err), RequestAnswer: describer.RequestAnswer{Refused: failedToConnect(err)}}
	}
	draining := resp.Close
	if resp.StatusCode == http.StatusServiceUnavailable && refused.Refused {
		return RequestResult{RequestAnswer: refused, Draining: draining}
	}
	if resp.StatusCode != http.StatusOK {
		return RequestResult{NoResponse: true, Draining: draining}
	}
	return RequestResult{RequestAnswer: out, Draining: draining}
}

// failedToConnect reports whether a call failed while dialing, before any byte
// was sent.
func failedToConnect(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
