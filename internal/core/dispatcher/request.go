package dispatcher

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/heatherslip/heatherslip/internal/core/queuer"
	"github.com/heatherslip/heatherslip/internal/core/router"
	"github.com/heatherslip/heatherslip/internal/core/tracker"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

const (
	// maxSendsPerStep bounds the requests sent in one step.
	maxSendsPerStep = 1024
	// retryBudgetPerSend is what the first send of each request adds to the
	// retry budget.
	retryBudgetPerSend = 0.1
	// maxRetryBudget bounds the retry budget that can accumulate.
	maxRetryBudget = 20
	// maxNoResponseSends bounds how often a request is sent if its answers are
	// lost, and maxRefusedSends how often if minions refuse it.
	maxNoResponseSends = 3
	maxRefusedSends    = 16
)

// requestTable queues requests, sends them to minions, and retries those that
// have not run or that may run again.
type requestTable struct {
	router *router.Router
	queue  *queuer.Queue
	// pending holds the requests that are queued or sent.
	pending map[namer.ID]*pendingRequest
	// inFlight holds the sends that are not answered.
	inFlight   map[SendID]*inFlightSend
	lastSendID SendID
	services   []namer.Service
	// retryBudget is the number of retries that are allowed now.
	retryBudget float64
}

// pendingRequest is a request without a final answer.
type pendingRequest struct {
	work *coder.Work
	// hasRecord is set for an unrepeatable request, which has a record in the
	// table of submissions. For a repeatable one, call is the client's call.
	hasRecord bool
	call      namer.CallID
	// sendCount counts the sends, and noResponseCount those whose answer was
	// lost.
	sendCount       int
	noResponseCount int
	// inFlight is set while a send is not answered.
	inFlight bool
	// mayHaveRun is set once an answer was lost.
	mayHaveRun bool
	// lastMinion is the minion of the last send.
	lastMinion namer.Minion
}

// inFlightSend is a send that is not answered.
type inFlightSend struct {
	id     namer.ID
	minion namer.Minion
	sentAt time.Time
}

func newRequestTable(self namer.Incarnation, rng *rand.Rand) requestTable {
	return requestTable{
		router:      router.New(self, rng),
		queue:       queuer.New(),
		pending:     make(map[namer.ID]*pendingRequest),
		inFlight:    make(map[SendID]*inFlightSend),
		retryBudget: maxRetryBudget,
	}
}

func (t *requestTable) hasPending() bool { return len(t.pending) > 0 || len(t.inFlight) > 0 }

// idleSlots returns the free slots that this instance offers to peers, by
// service. It offers none while requests wait in its own queue.
func (t *requestTable) idleSlots() []coder.IdleSlots {
	if t.queue.Len() > 0 {
		return nil
	}
	var out []coder.IdleSlots
	for _, s := range t.services {
		if idle := t.router.IdleSlots(s); idle > 0 {
			out = append(out, coder.IdleSlots{Service: s, Slots: idle})
		}
	}
	return out
}

// acceptRepeatableRequest queues a repeatable request of a client. Any instance
// serves such a request without replication, since it may run more than once.
func (n *Node) acceptRepeatableRequest(e CallReceived) {
	work := e.Work
	refusal := n.evacuationRefusal()
	if refusal == nil {
		refusal = n.checkRequestAdmission(&work)
	}
	if refusal != nil {
		n.logDecision(eventer.SubmissionRefused, work.Submission.ID(), 0, string(work.Kind), string(refusal.Code)+" ran=no")
		n.emitAction(Reply{Call: e.Call, Answer: *refusal})
		return
	}
	n.clientCalls.pending[e.Call] = &clientCall{id: e.Call, op: e.Op, work: work, waitForResult: true, receivedAt: n.now, target: n.self.Incarnation}
	id := namer.ID(fmt.Sprintf("call-%d", e.Call))
	n.requests.pending[id] = &pendingRequest{work: &work, call: e.Call}
	c := queuer.Class{Team: work.Submission.Team, Kind: work.Kind}
	n.requests.queue.Push(c, queuer.Item{ID: id, Cost: n.queueCost(n.requests.queue, c, &work.Tasks[0])})
}

func (n *Node) checkRequestAdmission(w *coder.Work) *coder.Answer {
	slots := n.requests.router.OwnSlots(w.Service)
	if slots == 0 {
		return &coder.Answer{
			Status: coder.StatusRefused, Code: coder.CodeNoMinion, Ran: coder.RanNo,
			Detail: "no minion serves " + string(w.Service) + " here", RetryMillis: shortRetryMillis,
		}
	}
	return n.checkWait(n.requests.queue, w, float64(slots))
}

// sendRequests sends waiting requests to minions in the order of fair queueing.
func (n *Node) sendRequests() {
	if n.requests.queue.Len() == 0 || n.isEvacuated() {
		return
	}
	n.updateBorrowLimits()
	n.requests.queue.Dispatch(maxSendsPerStep, n.routeRequest)
}

// updateBorrowLimits limits the slots that this instance may borrow of each service.
// The limit is half of its equal share of the slots that the other members of
// the domain report as idle.
func (n *Node) updateBorrowLimits() {
	others := n.otherMembers()
	for _, s := range n.requests.services {
		idle := 0
		for _, inc := range others {
			idle += n.membership.ensurePeer(inc, n.now).idleSlotsOf(s)
		}
		n.requests.router.SetBorrowLimit(s, idle/(2*max(1, len(others))))
	}
}

func (p *peer) idleSlotsOf(s namer.Service) int {
	for _, idle := range p.idleSlots {
		if idle.Service == s {
			return idle.Slots
		}
	}
	return 0
}

// routeRequest sends a request to a minion. It returns false if no slot is free
// for it now.
func (n *Node) routeRequest(c queuer.Class, item queuer.Item) bool {
	req := n.requests.pending[item.ID]
	if req == nil {
		return true
	}
	if _, waiting := n.clientCalls.pending[req.call]; !req.hasRecord && !waiting {
		delete(n.requests.pending, item.ID)
		return true
	}
	if req.hasRecord && !n.canSendRequest(item.ID) {
		return false
	}
	minion := n.requests.router.PickMinion(n.now, req.work.Service, req.lastMinion)
	if minion == nil {
		return false
	}
	if req.sendCount == 0 {
		n.requests.retryBudget = min(maxRetryBudget, n.requests.retryBudget+retryBudgetPerSend)
	}
	req.sendCount++
	req.inFlight = true
	req.lastMinion = minion.Name
	if req.hasRecord {
		n.submissions.Get(item.ID).Tasks[0].State = tracker.TaskStarting
	}
	n.requests.lastSendID++
	n.requests.inFlight[n.requests.lastSendID] = &inFlightSend{id: item.ID, minion: minion.Name, sentAt: n.now}
	n.logDecision(eventer.RequestRouted, item.ID, 0, string(minion.Name), string(c.Kind))
	n.emitAction(SendRequest{SendID: n.requests.lastSendID, Minion: minion.Name, ID: item.ID, Work: req.work})
	return true
}

// expireRequests ends the repeatable requests that are past their deadline.
func (n *Node) expireRequests() {
	var expired []namer.ID
	for id, req := range n.requests.pending {
		if !req.hasRecord && n.now.After(req.work.Deadline) {
			expired = append(expired, id)
		}
	}
	sort.Slice(expired, func(i, j int) bool { return expired[i] < expired[j] })
	for _, id := range expired {
		req := n.requests.pending[id]
		answer := coder.Answer{
			Status: coder.StatusRefused, Code: coder.CodeDeadline, Ran: coder.RanNo,
			Detail: "the deadline passed while the request waited", RetryMillis: shortRetryMillis,
		}
		if req.inFlight || req.mayHaveRun {
			answer.Status, answer.Ran, answer.Detail = coder.StatusUnknown, coder.RanUnknown, "the deadline passed while the request ran"
		}
		n.finishRequest(id, req, answer)
	}
}

// canSendRequest reports whether the submission of an unrepeatable request is
// committed and has no final answer yet.
func (n *Node) canSendRequest(id namer.ID) bool {
	r := n.submissions.Get(id)
	return r != nil && r.Committed && r.FinalAnswer == nil
}

func (n *Node) handleSendAnswered(e SendAnswered) {
	s, found := n.requests.inFlight[e.SendID]
	if !found {
		return
	}
	delete(n.requests.inFlight, e.SendID)
	if e.Draining {
		n.logDecision(eventer.MinionDraining, s.id, 0, string(s.minion), "closes its connections")
	}
	if e.Draining || e.Status == SendRefused {
		n.requests.router.RecordRefusal(n.now, s.minion, e.Draining)
	}
	n.requests.router.ReleaseSlot(s.minion)
	if e.Status != SendRefused && n.requests.router.RecordAnswer(n.now, s.minion, e.Status == SendOK) {
		n.logDecision(eventer.MinionQuarantined, s.id, 0, string(s.minion), "fails what it is sent")
	}
	req := n.requests.pending[s.id]
	if req == nil {
		return
	}
	req.inFlight = false
	n.handleSendStatus(e, s, req)
}

func (n *Node) handleSendStatus(e SendAnswered, s *inFlightSend, req *pendingRequest) {
	switch e.Status {
	case SendOK, SendError:
		n.recordRequestDuration(req, n.now.Sub(s.sentAt))
		n.handleRequestRan(s.id, req, e)
	case SendRefused:
		n.logDecision(eventer.RequestRefused, s.id, 0, string(s.minion), "full or leaving")
		n.handleRequestRefused(s.id, req)
	case SendNoResponse:
		n.logDecision(eventer.RequestNoResponse, s.id, 0, string(s.minion), "")
		n.handleRequestNoResponse(s.id, req)
	}
}

func (n *Node) recordRequestDuration(req *pendingRequest, duration time.Duration) {
	n.requests.queue.RecordRunTime(queuer.Class{Team: req.work.Submission.Team, Kind: req.work.Kind}, duration)
}

func (n *Node) handleRequestRan(id namer.ID, req *pendingRequest, e SendAnswered) {
	ok := e.Status == SendOK
	if req.hasRecord {
		n.finishRecordedRequest(id, ok, e.Output)
		return
	}
	a := coder.Answer{Status: coder.StatusDone, Ran: coder.RanYes}
	if !ok {
		a.Status, a.Code = coder.StatusFailed, coder.CodeTaskFailed
	}
	a.Tasks = []coder.TaskOutcome{{Ran: coder.RanYes, OK: ok, Output: e.Output}}
	n.finishRequest(id, req, a)
}

// finishRecordedRequest records the result of an unrepeatable request.
func (n *Node) finishRecordedRequest(id namer.ID, ok bool, output string) {
	r := n.submissions.Get(id)
	if r == nil || r.FinalAnswer != nil {
		return
	}
	t := &r.Tasks[0]
	t.State, t.OK, t.Output = tracker.TaskEnded, ok, output
	r.OpenTasks--
	if ok {
		n.finishSubmission(r, coder.Answer{Status: coder.StatusDone})
		return
	}
	n.finishSubmission(r, coder.Answer{Status: coder.StatusFailed, Code: coder.CodeTaskFailed, Detail: output})
}

// handleRequestRefused queues a request again that has not run, or gives it up
// after maxRefusedSends.
func (n *Node) handleRequestRefused(id namer.ID, req *pendingRequest) {
	if req.hasRecord {
		if r := n.submissions.Get(id); r != nil && r.FinalAnswer == nil {
			r.Tasks[0].State = tracker.TaskQueued
		}
	}
	if req.sendCount < maxRefusedSends {
		n.requeueRequest(id, req)
		return
	}
	a := coder.Answer{
		Status: coder.StatusRefused, Code: coder.CodeOverload, Ran: coder.RanNo,
		Detail: "several minions were full", RetryMillis: shortRetryMillis,
	}
	if req.mayHaveRun {
		a.Status, a.Ran = coder.StatusUnknown, coder.RanUnknown
	}
	n.finishRequest(id, req, a)
}

// handleRequestNoResponse queues a repeatable request again while the retry
// budget lasts. An unrepeatable one is never sent again.
func (n *Node) handleRequestNoResponse(id namer.ID, req *pendingRequest) {
	req.mayHaveRun = true
	req.noResponseCount++
	if !req.hasRecord && req.noResponseCount < maxNoResponseSends && n.requests.retryBudget >= 1 {
		n.requests.retryBudget--
		n.requeueRequest(id, req)
		return
	}
	n.finishRequest(id, req, coder.Answer{
		Status: coder.StatusFailed, Code: coder.CodeAnswerLost, Ran: coder.RanUnknown,
		Detail: "the minion's answer was lost",
	})
}

func (n *Node) requeueRequest(id namer.ID, req *pendingRequest) {
	c := queuer.Class{Team: req.work.Submission.Team, Kind: req.work.Kind}
	n.requests.queue.PushFront(c, queuer.Item{ID: id, Cost: n.queueCost(n.requests.queue, c, &req.work.Tasks[0])})
}

// finishRequest sets the final answer of a request.
func (n *Node) finishRequest(id namer.ID, req *pendingRequest, a coder.Answer) {
	delete(n.requests.pending, id)
	if !req.hasRecord {
		n.replyToClient(req.call, a)
		return
	}
	if r := n.submissions.Get(id); r != nil {
		n.finishSubmission(r, a)
	}
}

// removeRequest removes the pending request of a finished submission.
func (n *Node) removeRequest(r *tracker.Record) {
	if r.IsRequest() {
		delete(n.requests.pending, r.ID)
	}
}

// updateMinions applies the platform's list of minions.
func (n *Node) updateMinions(minions []MinionInfo) {
	present := make(map[namer.Minion]bool)
	services := make(map[namer.Service]bool)
	for _, info := range minions {
		if info.Domain != n.self.Domain {
			continue
		}
		present[info.Name] = true
		services[info.Service] = true
		n.requests.router.UpsertMinion(router.Minion{
			Name: info.Name, Service: info.Service, Domain: info.Domain, Slots: info.Slots, Draining: info.Draining,
		})
	}
	n.requests.router.RetainMinions(func(m namer.Minion) bool { return present[m] })
	n.requests.services = n.requests.services[:0]
	for s := range services {
		n.requests.services = append(n.requests.services, s)
	}
	sort.Slice(n.requests.services, func(i, j int) bool { return n.requests.services[i] < n.requests.services[j] })
}
