// Package client calls an entry instance's HTTP interface.
package client

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/dghubble/sling"

	"github.com/heatherslip/heatherslip/internal/edge/server"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Client calls one instance. Build one with New.
type Client struct {
	base  *sling.Sling
	http  *http.Client
	token string
	team  namer.Team
}

// New returns a client for the instance at an IP number and port. The token,
// or where the team has none its name, says who calls.
func New(addr, token string, team namer.Team) *Client {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	h := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	s := sling.New().Client(h).Base("http://" + addr)
	if token != "" {
		s = s.Set("Authorization", "Bearer "+token)
	}
	return &Client{base: s, http: h, token: token, team: team}
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// do makes a call; the answer is decoded into out whatever its status is.
func (c *Client) do(ctx context.Context, s *sling.Sling, out any) (int, error) {
	req, err := s.Request()
	if err != nil {
		return 0, fmt.Errorf("build call: %w", err)
	}
	resp, err := s.Do(req.WithContext(ctx), out, out)
	if err != nil {
		return 0, fmt.Errorf("call instance: %w", err)
	}
	return resp.StatusCode, nil
}

func (c *Client) answer(ctx context.Context, s *sling.Sling) (coder.Answer, error) {
	var a coder.Answer
	_, err := c.do(ctx, s, &a)
	return a, err
}

// Submit submits a job.
func (c *Client) Submit(ctx context.Context, body server.JobBody) (coder.Answer, error) {
	body.Team = c.teamFor(body.Team)
	return c.answer(ctx, c.base.New().Post("/v1/jobs").BodyJSON(body))
}

func (c *Client) teamFor(named namer.Team) namer.Team {
	if named != "" || c.token != "" {
		return named
	}
	return c.team
}

// Request sends a request to a service.
func (c *Client) Request(ctx context.Context, service namer.Service, key namer.Key, body server.RequestBody) (coder.Answer, error) {
	body.Team = c.teamFor(body.Team)
	s := c.base.New().Post("/v1/services/" + url.PathEscape(string(service)) + "/requests").BodyJSON(body)
	if key != "" {
		s = s.Set("Idempotency-Key", string(key))
	}
	return c.answer(ctx, s)
}

// Fetch returns the answer of a submission, or with wait waits for it.
func (c *Client) Fetch(ctx context.Context, key namer.Key, wait bool) (coder.Answer, error) {
	return c.answer(ctx, c.base.New().Get(c.keyed(key, wait)))
}

// Cancel cancels a submission.
func (c *Client) Cancel(ctx context.Context, key namer.Key) (coder.Answer, error) {
	return c.answer(ctx, c.base.New().Delete(c.keyed(key, false)))
}

func (c *Client) keyed(key namer.Key, wait bool) string {
	q := url.Values{}
	if team := c.teamFor(""); team != "" {
		q.Set("team", string(team))
	}
	if wait {
		q.Set("wait", strconv.Itoa(1))
	}
	u := url.URL{Path: "/v1/jobs/" + string(key), RawQuery: q.Encode()}
	return u.String()
}

// CancelMany cancels many submissions at once.
func (c *Client) CancelMany(ctx context.Context, keys []namer.Key) (server.CancelAnswer, error) {
	var out server.CancelAnswer
	body := server.CancelBody{Team: c.teamFor(""), Keys: keys}
	_, err := c.do(ctx, c.base.New().Post("/v1/cancel").BodyJSON(body), &out)
	return out, err
}

// operator makes a call for which an operator is needed.
func (c *Client) operator(ctx context.Context, s *sling.Sling, out any) error {
	var refused coder.Answer
	req, err := s.Request()
	if err != nil {
		return fmt.Errorf("build call: %w", err)
	}
	resp, err := s.Do(req.WithContext(ctx), out, &refused)
	if err != nil {
		return fmt.Errorf("call instance: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("refused with status %d: %s %s", resp.StatusCode, refused.Code, refused.Detail)
	}
	return nil
}

type teamQuery struct {
	Team namer.Team `url:"team,omitempty"`
}

func (c *Client) get(ctx context.Context, path string, out any) error {
	return c.operator(ctx, c.base.New().Get(path).QueryStruct(teamQuery{Team: c.teamFor("")}), out)
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (server.ConfigBody, error) {
	var out server.ConfigBody
	err := c.get(ctx, "/v1/config", &out)
	return out, err
}

// History lists the accepted revisions.
func (c *Client) History(ctx context.Context) (server.HistoryBody, error) {
	var out server.HistoryBody
	err := c.get(ctx, "/v1/config/history", &out)
	return out, err
}

// Publish publishes a configuration; its verdict tells whether it is in force.
func (c *Client) Publish(ctx context.Context, body server.PublishBody) (server.PublishAnswer, error) {
	var out server.PublishAnswer
	s := c.base.New().Post("/v1/config").QueryStruct(teamQuery{Team: c.teamFor("")}).BodyJSON(body)
	_, err := c.do(ctx, s, &out)
	return out, err
}

// Instances lists the members that the instance sees.
func (c *Client) Instances(ctx context.Context) ([]server.InstanceLine, error) {
	var out server.LinesBody
	err := c.get(ctx, "/v1/instances", &out)
	return out.Instances, err
}

// Workers lists the workers that the instance sees.
func (c *Client) Workers(ctx context.Context) ([]server.WorkerLine, error) {
	var out server.LinesBody
	err := c.get(ctx, "/v1/workers", &out)
	return out.Workers, err
}

// Minions lists the minions that the instance sees.
func (c *Client) Minions(ctx context.Context) ([]server.MinionLine, error) {
	var out server.LinesBody
	err := c.get(ctx, "/v1/minions", &out)
	return out.Minions, err
}

// Home returns the failure domain of the instance.
func (c *Client) Home(ctx context.Context) (namer.Domain, error) {
	var out server.HomeBody
	err := c.operator(ctx, c.base.New().Get("/v1/home"), &out)
	return out.Domain, err
}

// Drain has the instance finish its work and leave.
func (c *Client) Drain(ctx context.Context) error {
	var out struct{}
	return c.operator(ctx, c.base.New().Post("/v1/drain").QueryStruct(teamQuery{Team: c.teamFor("")}), &out)
}

// Ready reports whether the instance serves callers.
func (c *Client) Ready(ctx context.Context) bool {
	var out struct{}
	return c.operator(ctx, c.base.New().Get("/readyz"), &out) == nil
}
