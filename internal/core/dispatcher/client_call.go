package dispatcher

import (
	"sort"
	"time"

	"github.com/heatherslip/heatherslip/internal/core/tracker"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// hopBackoff is the delay before a call is forwarded again, times the number of
// times it was forwarded before.
const hopBackoff = 10 * time.Millisecond

// maxHops bounds how often a call is forwarded before it is given up.
const maxHops = 20

// A forwarded call that gets no answer is sent to the same instance again after
// initialForwardInterval. The interval doubles each time, up to
// maxForwardInterval.
const (
	initialForwardInterval = 2 * time.Second
	maxForwardInterval     = 16 * time.Second
)

// deferLimit is how long a call is deferred while this instance may not own keys, or
// a denial cannot be confirmed.
const deferLimit = 5 * time.Second

// clientCallTable holds the calls of this instance's own clients, and the calls
// that this instance cannot decide yet as an owner.
type clientCallTable struct {
	pending  map[namer.CallID]*clientCall
	deferred []*ownerCall
	// routingDue is set if some call may have to be routed.
	routingDue bool
}

// clientCall is one call of a client.
type clientCall struct {
	id            namer.CallID
	op            coder.Op
	work          coder.Work
	waitForResult bool
	receivedAt    time.Time
	// target is the instance that the call was sent to; empty if none.
	target namer.Incarnation
	// redirectTarget is the instance named by the last redirect.
	redirectTarget namer.Incarnation
	// hops counts the times the call was forwarded, and nextRouteAt is when it
	// may be forwarded again.
	hops        int
	nextRouteAt time.Time
	// forwardedAt is when the call was last sent to target, and forwardInterval
	// how long to wait before it is sent there again.
	forwardedAt     time.Time
	forwardInterval time.Duration
}

func newClientCallTable() clientCallTable {
	return clientCallTable{pending: make(map[namer.CallID]*clientCall)}
}

func (t *clientCallTable) removeCall(id namer.CallID) { delete(t.pending, id) }

func (t *clientCallTable) deferCall(call *ownerCall) { t.deferred = append(t.deferred, call) }

// rerouteTo marks a call to be routed again, to the given instance or, if that is
// empty, to the owner.
func (t *clientCallTable) rerouteTo(id namer.CallID, target namer.Incarnation) {
	c, found := t.pending[id]
	if !found {
		return
	}
	c.target = ""
	c.redirectTarget = target
	t.routingDue = true
}

// rerouteFrom marks the calls that were sent to a peer to be routed again.
func (t *clientCallTable) rerouteFrom(inc namer.Incarnation) {
	for _, c := range t.pending {
		if c.target == inc {
			c.target = ""
			c.redirectTarget = ""
			t.routingDue = true
		}
	}
}

// rerouteAll marks all calls of clients to be routed again, and drops the deferred
// calls.
func (t *clientCallTable) rerouteAll() {
	for _, c := range t.pending {
		c.target = ""
		c.redirectTarget = ""
	}
	t.routingDue = true
	t.deferred = nil
}

// handleClientCall starts to route a client's call, or serves it here if it is
// a repeatable request.
func (n *Node) handleClientCall(e CallReceived) {
	if !n.state.HasConfig() {
		n.emitAction(Reply{Call: e.Call, Answer: coder.Answer{
			Status: coder.StatusUnknown, Code: coder.CodeNotReady, Ran: coder.RanUnknown,
			Detail: "no configuration is in force yet", RetryMillis: shortRetryMillis,
		}})
		return
	}
	if e.Op == coder.OpSubmit && e.Work.Service != "" && e.Work.Repeatable {
		n.acceptRepeatableRequest(e)
		return
	}
	c := &clientCall{id: e.Call, op: e.Op, work: e.Work, waitForResult: e.WaitForResult, receivedAt: n.now}
	n.clientCalls.pending[e.Call] = c
	n.routeCall(c)
}

// routePendingCalls routes the calls that have no target, or gives them up.
func (n *Node) routePendingCalls() {
	if !n.clientCalls.routingDue {
		return
	}
	n.clientCalls.routingDue = false
	var waiting []*clientCall
	for _, c := range n.clientCalls.pending {
		if c.target == "" {
			waiting = append(waiting, c)
		}
	}
	sort.Slice(waiting, func(i, j int) bool { return waiting[i].id < waiting[j].id })
	for _, c := range waiting {
		n.routeCall(c)
	}
}

// routeCall sends a call to the instance that owns its submission.
func (n *Node) routeCall(c *clientCall) {
	if n.now.Before(c.nextRouteAt) {
		n.clientCalls.routingDue = true
		return
	}
	target := n.chooseTarget(c)
	if target == n.self.Incarnation {
		c.noteForwarded(n.now, target)
		n.handleOwnerCall(n.ownerCallFor(c))
		return
	}
	if c.hops > maxHops {
		n.giveUpCall(c, target)
		return
	}
	if target != "" && n.isLinked(target) {
		c.noteForwarded(n.now, target)
		n.forwardCall(c)
		return
	}
	n.giveUpIfUnreachable(c, target)
}

func (n *Node) forwardCall(c *clientCall) {
	n.sendMessage(c.target, &coder.Message{ForwardRequest: &coder.ForwardRequest{Call: c.id, Op: c.op, Work: c.work, WaitForResult: c.waitForResult}})
}

// resendOrExpireCalls sends unanswered calls again, since the answer may be
// lost on a link that is broken in one direction, and gives up calls that are
// too late. Sending a call twice is harmless: it attaches to the same record.
func (n *Node) resendOrExpireCalls() {
	var unanswered, expired []*clientCall
	for _, c := range n.clientCalls.pending {
		if n.now.After(c.giveUpTime()) {
			expired = append(expired, c)
			continue
		}
		if c.target != "" && c.target != n.self.Incarnation && n.now.Sub(c.forwardedAt) >= c.forwardInterval {
			unanswered = append(unanswered, c)
		}
	}
	sort.Slice(unanswered, func(i, j int) bool { return unanswered[i].id < unanswered[j].id })
	for _, c := range unanswered {
		c.forwardedAt = n.now
		c.forwardInterval = min(2*c.forwardInterval, maxForwardInterval)
		n.forwardCall(c)
	}
	sort.Slice(expired, func(i, j int) bool { return expired[i].id < expired[j].id })
	for _, c := range expired {
		n.giveUpCall(c, c.target)
	}
}

// giveUpTime returns when the client is answered that the outcome is unknown if
// the owner does not answer. That is soon after the deadline, by which the
// owner should have answered, or some time after the call for a call that came
// later.
func (c *clientCall) giveUpTime() time.Time {
	limit := c.work.Deadline.Add(2 * resendTimeout)
	if lateCallLimit := c.receivedAt.Add(deferLimit + time.Second); lateCallLimit.After(limit) {
		return lateCallLimit
	}
	return limit
}

func (c *clientCall) noteForwarded(now time.Time, target namer.Incarnation) {
	c.target = target
	c.redirectTarget = ""
	c.hops++
	c.forwardedAt = now
	c.forwardInterval = initialForwardInterval
	c.nextRouteAt = now.Add(time.Duration(c.hops-1) * hopBackoff)
}

// chooseTarget returns the instance to send the call to: the target of the last
// redirect if that is a member, and the owner otherwise.
func (n *Node) chooseTarget(c *clientCall) namer.Incarnation {
	if c.redirectTarget != "" {
		if _, present := n.state.Member(c.redirectTarget); present {
			return c.redirectTarget
		}
	}
	owner, _ := n.state.OwnerAndSuccessor(c.work.Submission)
	if owner == "" && n.submissions.Get(c.work.Submission.ID()) != nil {
		// All members of the domain have retired. They still answer for the
		// submissions that they run.
		return n.self.Incarnation
	}
	return owner
}

func (n *Node) ownerCallFor(c *clientCall) *ownerCall {
	work := c.work
	return &ownerCall{op: c.op, work: &work, waitForResult: c.waitForResult, receivedAt: n.now, waiter: tracker.Waiter{Call: c.id}}
}

// giveUpIfUnreachable gives up a call whose target cannot be reached once
// waiting cannot help: while the log is down, no owner can be replaced.
func (n *Node) giveUpIfUnreachable(c *clientCall, target namer.Incarnation) {
	pastDeadline := n.now.After(c.work.Deadline)
	timedOut := n.now.Sub(c.receivedAt) > forwardTimeout
	logDown := !n.logAvailable() && n.now.Sub(n.membership.createdAt) > initialJoinDelay && n.now.Sub(c.receivedAt) > heartbeatInterval
	if !pastDeadline && !timedOut && !logDown {
		n.clientCalls.routingDue = true
		return
	}
	n.giveUpCall(c, target)
}

// giveUpCall answers that the owner cannot be reached.
func (n *Node) giveUpCall(c *clientCall, target namer.Incarnation) {
	code, detail := coder.CodeOwnerUnreachable, "the instance that owns the key cannot be reached"
	if target == "" {
		code, detail = coder.CodeHomeUnreachable, "the key's home failure domain has no instance that can be reached"
	}
	n.replyToClient(c.id, coder.Answer{
		Status: coder.StatusUnknown, Code: code, Ran: coder.RanUnknown,
		Detail: detail, RetryMillis: longRetryMillis,
	})
}

// handleForwardResponse processes the owner's answer to a forwarded call.
func (n *Node) handleForwardResponse(from namer.Incarnation, response *coder.ForwardResponse) {
	n.membership.ensurePeer(from, n.now).lastMessageAt = n.now
	c, found := n.clientCalls.pending[response.Call]
	if !found || c.target != from {
		return
	}
	if response.Answer.Status == "" {
		n.clientCalls.rerouteTo(c.id, response.Redirect)
		return
	}
	n.replyToClient(c.id, response.Answer)
}

// replyToClient answers a call of this instance's own client. It does nothing
// if the call was answered or abandoned before.
func (n *Node) replyToClient(id namer.CallID, a coder.Answer) {
	if _, found := n.clientCalls.pending[id]; !found {
		return
	}
	delete(n.clientCalls.pending, id)
	n.emitAction(Reply{Call: id, Answer: a})
}

// retryDeferredCalls decides the deferred calls or gives them up.
func (n *Node) retryDeferredCalls() {
	if len(n.clientCalls.deferred) == 0 {
		return
	}
	deferred := n.clientCalls.deferred
	n.clientCalls.deferred = nil
	for _, call := range deferred {
		switch {
		case n.canOwnKeys():
			n.handleOwnerCall(call)
		case !n.isMember():
			n.sendRedirect(call.waiter, "")
		case n.now.Sub(call.receivedAt) > deferLimit || n.now.After(call.work.Deadline):
			n.refuseCall(call, coder.CodeOwnerUnreachable, coder.RanUnknown, "the owner does not know yet what was run before")
		default:
			n.clientCalls.deferCall(call)
		}
	}
}
