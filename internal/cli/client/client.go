// Package client is a client of the HTTP API of entry instances.
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

// Client calls the API of one instance. Create it with New.
//
// Its methods return an error if there is no readable response. Methods that
// return an Answer, CancelMany and Publish decode the response whatever its status;
// all others return an error if the status is not 200.
type Client struct {
	baseRequest *sling.Sling
	httpClient  *http.Client
	token       string
	team        namer.Team
}

// New returns a client of the instance at addr, an IP address and port. The token
// identifies the calling team; a team without a token is identified by its name.
func New(addr, token string, team namer.Team) *Client {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	httpClient := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	baseRequest := sling.New().Client(httpClient).Base("http://" + addr)
	if token != "" {
		baseRequest = baseRequest.Set("Authorization", "Bearer "+token)
	}
	return &Client{baseRequest: baseRequest, httpClient: httpClient, token: token, team: team}
}

// Close closes idle connections.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// call sends the request, decodes the body of the response into out whatever its
// status, and returns the status.
func (c *Client) call(ctx context.Context, request *sling.Sling, out any) (int, error) {
	req, err := request.Request()
	if err != nil {
		return 0, fmt.Errorf("build request: %w", err)
	}
	resp, err := request.Do(req.WithContext(ctx), out, out)
	if err != nil {
		return 0, fmt.Errorf("call instance: %w", err)
	}
	return resp.StatusCode, nil
}

// callForAnswer sends a request whose response is an answer.
func (c *Client) callForAnswer(ctx context.Context, request *sling.Sling) (coder.Answer, error) {
	var answer coder.Answer
	_, err := c.call(ctx, request, &answer)
	return answer, err
}

// Submit submits a job and returns its answer.
func (c *Client) Submit(ctx context.Context, body server.JobBody) (coder.Answer, error) {
	body.Team = c.teamOrDefault(body.Team)
	return c.callForAnswer(ctx, c.baseRequest.New().Post("/v1/jobs").BodyJSON(body))
}

// teamOrDefault returns the team to name in a call: the given one, otherwise the
// client's own if no token identifies it.
func (c *Client) teamOrDefault(team namer.Team) namer.Team {
	if team != "" || c.token != "" {
		return team
	}
	return c.team
}

// Request sends a request to a service and returns its answer. The idempotency key
// is empty for a repeatable request.
func (c *Client) Request(ctx context.Context, service namer.Service, key namer.Key, body server.RequestBody) (coder.Answer, error) {
	body.Team = c.teamOrDefault(body.Team)
	request := c.baseRequest.New().Post("/v1/services/" + url.PathEscape(string(service)) + "/requests").BodyJSON(body)
	if key != "" {
		request = request.Set("Idempotency-Key", string(key))
	}
	return c.callForAnswer(ctx, request)
}

// Fetch returns the current answer of a submission. If wait is set, it waits for
// the final one.
func (c *Client) Fetch(ctx context.Context, key namer.Key, wait bool) (coder.Answer, error) {
	return c.callForAnswer(ctx, c.baseRequest.New().Get(c.jobPath(key, wait)))
}

// Cancel cancels a submission and returns its answer.
func (c *Client) Cancel(ctx context.Context, key namer.Key) (coder.Answer, error) {
	return c.callForAnswer(ctx, c.baseRequest.New().Delete(c.jobPath(key, false)))
}

// jobPath returns the path and query of a submission.
func (c *Client) jobPath(key namer.Key, wait bool) string {
	query := url.Values{}
	if team := c.teamOrDefault(""); team != "" {
		query.Set("team", string(team))
	}
	if wait {
		query.Set("wait", strconv.Itoa(1))
	}
	jobURL := url.URL{Path: "/v1/jobs/" + string(key), RawQuery: query.Encode()}
	return jobURL.String()
}

// CancelMany cancels several submissions in one call.
func (c *Client) CancelMany(ctx context.Context, keys []namer.Key) (server.CancelAnswer, error) {
	var out server.CancelAnswer
	body := server.CancelBody{Team: c.teamOrDefault(""), Keys: keys}
	_, err := c.call(ctx, c.baseRequest.New().Post("/v1/cancel").BodyJSON(body), &out)
	return out, err
}

// callExpectOK sends the request and decodes the response into out. It returns an
// error if the status is not 200.
func (c *Client) callExpectOK(ctx context.Context, request *sling.Sling, out any) error {
	var errorAnswer coder.Answer
	req, err := request.Request()
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	resp, err := request.Do(req.WithContext(ctx), out, &errorAnswer)
	if err != nil {
		return fmt.Errorf("call instance: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("instance responded with status %d: %s %s", resp.StatusCode, errorAnswer.Code, errorAnswer.Detail)
	}
	return nil
}

type teamQuery struct {
	Team namer.Team `url:"team,omitempty"`
}

// getForTeam gets the path on behalf of the client's team.
func (c *Client) getForTeam(ctx context.Context, path string, out any) error {
	return c.callExpectOK(ctx, c.baseRequest.New().Get(path).QueryStruct(teamQuery{Team: c.teamOrDefault("")}), out)
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (server.ConfigBody, error) {
	var out server.ConfigBody
	err := c.getForTeam(ctx, "/v1/config", &out)
	return out, err
}

// History returns the accepted revisions.
func (c *Client) History(ctx context.Context) (server.HistoryBody, error) {
	var out server.HistoryBody
	err := c.getForTeam(ctx, "/v1/config/history", &out)
	return out, err
}

// Publish publishes a configuration. The verdict in the result says whether it is
// in force.
func (c *Client) Publish(ctx context.Context, body server.PublishBody) (server.PublishAnswer, error) {
	var out server.PublishAnswer
	request := c.baseRequest.New().Post("/v1/config").QueryStruct(teamQuery{Team: c.teamOrDefault("")}).BodyJSON(body)
	_, err := c.call(ctx, request, &out)
	return out, err
}

// Instances returns the entry instances that the called instance sees.
func (c *Client) Instances(ctx context.Context) ([]server.InstanceStatus, error) {
	var out server.FleetBody
	err := c.getForTeam(ctx, "/v1/instances", &out)
	return out.Instances, err
}

// Workers returns the workers that the called instance sees.
func (c *Client) Workers(ctx context.Context) ([]server.WorkerStatus, error) {
	var out server.FleetBody
	err := c.getForTeam(ctx, "/v1/workers", &out)
	return out.Workers, err
}

// Minions returns the minions that the called instance sees.
func (c *Client) Minions(ctx context.Context) ([]server.MinionStatus, error) {
	var out server.FleetBody
	err := c.getForTeam(ctx, "/v1/minions", &out)
	return out.Minions, err
}

// Evacuations returns the last request for the evacuation of each domain that had one.
func (c *Client) Evacuations(ctx context.Context) ([]coder.Evacuation, error) {
	var out server.EvacuationsBody
	err := c.getForTeam(ctx, "/v1/evacuations", &out)
	return out.Evacuations, err
}

// Evacuate requests the evacuation of a domain, or takes it back. The verdict in the
// result says whether the request is in force. A refusal has no verdict; its reason is
// in Detail.
func (c *Client) Evacuate(ctx context.Context, body server.EvacuateBody) (server.EvacuateAnswer, error) {
	var out server.EvacuateAnswer
	request := c.baseRequest.New().Post("/v1/evacuations").QueryStruct(teamQuery{Team: c.teamOrDefault("")}).BodyJSON(body)
	_, err := c.call(ctx, request, &out)
	return out, err
}

// HomeDomain returns the failure domain of the called instance, which new keys start
// with.
func (c *Client) HomeDomain(ctx context.Context) (namer.Domain, error) {
	var out server.HomeDomainBody
	err := c.callExpectOK(ctx, c.baseRequest.New().Get("/v1/home"), &out)
	return out.Domain, err
}

// Drain makes the called instance finish its work and leave its domain's view, and
// waits until it has left.
func (c *Client) Drain(ctx context.Context) error {
	var out struct{}
	return c.callExpectOK(ctx, c.baseRequest.New().Post("/v1/drain").QueryStruct(teamQuery{Team: c.teamOrDefault("")}), &out)
}

// Ready reports whether the called instance is ready to accept calls.
func (c *Client) Ready(ctx context.Context) bool {
	var out struct{}
	return c.callExpectOK(ctx, c.baseRequest.New().Get("/readyz"), &out) == nil
}
