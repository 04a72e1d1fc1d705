package dispatcher

import (
	"sort"
	"time"

	"github.com/heatherslip/heatherslip/internal/core/keeper"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// hopPause is how long a call waits after it has been sent on, times how
// often it has been.
const hopPause = 10 * time.Millisecond

// maxHops is how often a call is sent on before it is given up.
const maxHops = 20

// askAgain is how long an answer is waited for before the same instance is
// asked once more; it doubles up to maxAskAgain.
const (
	askAgain    = 2 * time.Second
	maxAskAgain = 16 * time.Second
)

// parkLimit is how long an ask waits for this instance to know whether it
// owns the submission.
const parkLimit = 5 * time.Second

// entry holds the calls of this instance's own clients, and the asks that
// cannot be decided yet.
type entry struct {
	calls  map[namer.Call]*call
	parked []*ask
	// due is set where some call may have to be routed.
	due bool
}

// call is one call of a client.
type call struct {
	id    namer.Call
	op    coder.Op
	work  coder.Work
	wait  bool
	since time.Time
	// target is who was asked; empty while nobody is.
	target namer.Incarnation
	// told is who a redirect named.
	told   namer.Incarnation
	hops   int
	notYet time.Time
	// askedAt is when the target was asked, and again how long to wait until
	// it is asked once more.
	askedAt time.Time
	again   time.Duration
}

func newEntry() entry {
	return entry{calls: make(map[namer.Call]*call)}
}

func (e *entry) hangUp(id namer.Call) { delete(e.calls, id) }

func (e *entry) park(a *ask) { e.parked = append(e.parked, a) }

// retarget has a call routed again, to the instance named or, where none is,
// to the owner.
func (e *entry) retarget(id namer.Call, to namer.Incarnation) {
	c, found := e.calls[id]
	if !found {
		return
	}
	c.target = ""
	c.told = to
	e.due = true
}

// unlink has the calls that were sent to a peer routed again.
func (e *entry) unlink(inc namer.Incarnation) {
	for _, c := range e.calls {
		if c.target == inc {
			c.target = ""
			c.told = ""
			e.due = true
		}
	}
}

func (e *entry) unlinkAll() {
	for _, c := range e.calls {
		c.target = ""
		c.told = ""
	}
	e.due = true
	e.parked = nil
}

// asked takes a call from a client.
func (n *Node) asked(e Asked) {
	if !n.state.Ready() {
		n.do(Reply{Call: e.Call, Answer: coder.Answer{
			Status: coder.Unknown, Code: coder.CodeNotReady, Ran: coder.RanUnknown,
			Detail: "no configuration is in force yet", RetryMillis: soonMillis,
		}})
		return
	}
	if e.Op == coder.OpSubmit && e.Work.Service != "" && e.Work.Repeatable {
		n.askRequest(e)
		return
	}
	c := &call{id: e.Call, op: e.Op, work: e.Work, wait: e.Wait, since: n.now}
	n.entry.calls[e.Call] = c
	n.route(c)
}

// runEntry routes the calls that wait for a way, and gives up on those that
// have waited too long.
func (n *Node) runEntry() {
	if !n.entry.due {
		return
	}
	n.entry.due = false
	var waiting []*call
	for _, c := range n.entry.calls {
		if c.target == "" {
			waiting = append(waiting, c)
		}
	}
	sort.Slice(waiting, func(i, j int) bool { return waiting[i].id < waiting[j].id })
	for _, c := range waiting {
		n.route(c)
	}
}

// route sends a call to the instance that owns its submission.
func (n *Node) route(c *call) {
	if n.now.Before(c.notYet) {
		n.entry.due = true
		return
	}
	to := n.targetOf(c)
	if to == n.self.Incarnation {
		c.hop(n.now, to)
		n.consider(n.askOf(c))
		return
	}
	if c.hops > maxHops {
		n.giveUp(c, to)
		return
	}
	if to != "" && n.linked(to) {
		c.hop(n.now, to)
		n.forward(c)
		return
	}
	n.maybeGiveUp(c, to)
}

func (n *Node) forward(c *call) {
	n.send(c.target, &coder.Message{Forward: &coder.Forward{Call: c.id, Op: c.op, Work: c.work, Wait: c.wait}})
}

// scanCalls asks again where an answer is late: it may have been lost on a
// link that broke one way only. Asking twice does no harm.
func (n *Node) scanCalls() {
	var late, over []*call
	for _, c := range n.entry.calls {
		if n.now.After(c.limit()) {
			over = append(over, c)
			continue
		}
		if c.target != "" && c.target != n.self.Incarnation && n.now.Sub(c.askedAt) >= c.again {
			late = append(late, c)
		}
	}
	sort.Slice(late, func(i, j int) bool { return late[i].id < late[j].id })
	for _, c := range late {
		c.askedAt = n.now
		c.again = min(2*c.again, maxAskAgain)
		n.forward(c)
	}
	sort.Slice(over, func(i, j int) bool { return over[i].id < over[j].id })
	for _, c := range over {
		n.giveUp(c, c.target)
	}
}

// limit is when a caller hears that the outcome is unknown, whatever the
// owner does: soon after the deadline, at which the owner should have
// answered, or after a while for a question that was asked later.
func (c *call) limit() time.Time {
	limit := c.work.Deadline.Add(2 * resendAfter)
	if patience := c.since.Add(parkLimit + time.Second); patience.After(limit) {
		return patience
	}
	return limit
}

func (c *call) hop(now time.Time, to namer.Incarnation) {
	c.target = to
	c.told = ""
	c.hops++
	c.askedAt = now
	c.again = askAgain
	c.notYet = now.Add(time.Duration(c.hops-1) * hopPause)
}

// targetOf returns whom to ask: whom a redirect named, if it is a member, or
// else the owner.
func (n *Node) targetOf(c *call) namer.Incarnation {
	if c.told != "" {
		if _, present := n.state.Member(c.told); present {
			return c.told
		}
	}
	owner, _ := n.state.Owner(c.work.Submission)
	if owner == "" && n.table.Get(c.work.Submission.ID()) != nil {
		// All members of the domain retire; they still answer for what they run.
		return n.self.Incarnation
	}
	return owner
}

func (n *Node) askOf(c *call) *ask {
	work := c.work
	return &ask{op: c.op, work: &work, wait: c.wait, since: n.now, waiter: keeper.Waiter{Call: c.id}}
}

// maybeGiveUp ends a call for which there is no way, as soon as it is known
// that waiting does not help: while the log is down no owner can be replaced.
func (n *Node) maybeGiveUp(c *call, to namer.Incarnation) {
	late := n.now.After(c.work.Deadline)
	waited := n.now.Sub(c.since) > forwardGrace
	hopeless := !n.logUp() && n.now.Sub(n.membership.born) > joinWait && n.now.Sub(c.since) > beatEvery
	if !late && !waited && !hopeless {
		n.entry.due = true
		return
	}
	n.giveUp(c, to)
}

// giveUp tells a caller that its owner cannot be asked.
func (n *Node) giveUp(c *call, to namer.Incarnation) {
	code, detail := coder.CodeOwner, "the instance that owns the key cannot be reached"
	if to == "" {
		code, detail = coder.CodeHome, "the key's home failure domain has no instance that can be reached"
	}
	n.reply(c.id, coder.Answer{
		Status: coder.Unknown, Code: code, Ran: coder.RanUnknown,
		Detail: detail, RetryMillis: laterMillis,
	})
}

// outcome takes what the owner said of a call.
func (n *Node) outcome(from namer.Incarnation, o *coder.Outcome) {
	n.membership.peer(from, n.now).heard = n.now
	c, found := n.entry.calls[o.Call]
	if !found || c.target != from {
		return
	}
	if o.Answer.Status == "" {
		n.entry.retarget(c.id, o.Redirect)
		return
	}
	n.reply(c.id, o.Answer)
}

// reply answers a call of this instance's own client, once.
func (n *Node) reply(id namer.Call, a coder.Answer) {
	if _, waiting := n.entry.calls[id]; !waiting {
		return
	}
	delete(n.entry.calls, id)
	n.do(Reply{Call: id, Answer: a})
}

// runParked decides the asks that had to wait, or gives up on them.
func (n *Node) runParked() {
	if len(n.entry.parked) == 0 {
		return
	}
	parked := n.entry.parked
	n.entry.parked = nil
	for _, a := range parked {
		switch {
		case n.mayOwn():
			n.consider(a)
		case !n.isMember():
			n.redirect(a.waiter, "")
		case n.now.Sub(a.since) > parkLimit || n.now.After(a.work.Deadline):
			n.refuse(a, coder.CodeOwner, coder.RanUnknown, "the owner does not know yet what was run before")
		default:
			n.entry.park(a)
		}
	}
}
