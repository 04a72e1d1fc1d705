package dispatcher

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/heatherslip/heatherslip/internal/core/keeper"
	"github.com/heatherslip/heatherslip/internal/core/queuer"
	"github.com/heatherslip/heatherslip/internal/core/router"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

const (
	// routeBudget bounds how many requests one step sends.
	routeBudget = 1024
	// retryPart is how much each first send adds to the budget of retries.
	retryPart = 0.1
	// maxRetryBudget bounds the retries that may be saved up.
	maxRetryBudget = 20
	// maxLost bounds how often one request is sent whose answers are lost, and
	// maxRefused how often one that minions refuse.
	maxLost    = 3
	maxRefused = 16
)

// requests serves requests: it queues them, sends them to minions, and retries
// those that have not run or may run again.
type requests struct {
	router *router.Router
	queue  *queuer.Queue
	// open holds what is queued or sent.
	open map[namer.ID]*request
	// sends holds the requests whose answer has not come.
	sends    map[SendID]*send
	next     SendID
	services []namer.Service
	// budget is how many retries are allowed now.
	budget float64
}

// request is a request that has no terminal answer yet.
type request struct {
	work *coder.Work
	// record is set for an unrepeatable request, which the table holds; call
	// is who asked for a repeatable one.
	record bool
	call   namer.Call
	sends  int
	lost   int
	// flying is set while a minion has it.
	flying bool
	// doubt is set once an answer was lost, so that it may have run.
	doubt bool
	// last is the minion that was tried last.
	last namer.Minion
}

type send struct {
	id     namer.ID
	minion namer.Minion
	since  time.Time
}

func newRequests(self namer.Incarnation, rng *rand.Rand) requests {
	return requests{
		router: router.New(self, rng),
		queue:  queuer.New(),
		open:   make(map[namer.ID]*request),
		sends:  make(map[SendID]*send),
		budget: maxRetryBudget,
	}
}

func (d *requests) busy() bool { return len(d.open) > 0 || len(d.sends) > 0 }

// idle lists the slots that could be lent to peers.
func (d *requests) idle() []coder.IdleSlots {
	if d.queue.Len() > 0 {
		return nil
	}
	var out []coder.IdleSlots
	for _, s := range d.services {
		if idle := d.router.Idle(s); idle > 0 {
			out = append(out, coder.IdleSlots{Service: s, Slots: idle})
		}
	}
	return out
}

// askRequest takes a repeatable request from a client. Nothing has to be agreed
// for it: it may run again, so any instance serves it at once.
func (n *Node) askRequest(e Asked) {
	work := e.Work
	if refusal := n.admitRequest(&work); refusal != nil {
		n.decide(eventer.RefusedWork, work.Submission.ID(), 0, string(work.Kind), string(refusal.Code)+" ran=no")
		n.do(Reply{Call: e.Call, Answer: *refusal})
		return
	}
	n.entry.calls[e.Call] = &call{id: e.Call, op: e.Op, work: work, wait: true, since: n.now, target: n.self.Incarnation}
	id := namer.ID(fmt.Sprintf("call-%d", e.Call))
	n.requests.open[id] = &request{work: &work, call: e.Call}
	c := queuer.Class{Team: work.Submission.Team, Kind: work.Kind}
	n.requests.queue.Push(c, queuer.Item{ID: id, Cost: n.cost(n.requests.queue, c, &work.Tasks[0])})
}

func (n *Node) admitRequest(w *coder.Work) *coder.Answer {
	slots := n.requests.router.Slots(w.Service)
	if slots == 0 {
		return &coder.Answer{
			Status: coder.Refused, Code: coder.CodeNoMinion, Ran: coder.RanNo,
			Detail: "no minion serves " + string(w.Service) + " here", RetryMillis: soonMillis,
		}
	}
	return n.tooLate(n.requests.queue, w, float64(slots))
}

// runRequests sends waiting requests to minions in fair order.
func (n *Node) runRequests() {
	if n.requests.queue.Len() == 0 {
		return
	}
	n.lend()
	n.requests.queue.Drain(routeBudget, n.routeRequest)
}

// lend adds up the slots that peers of the domain leave unused, and takes an
// equal part of them.
func (n *Node) lend() {
	others := n.others()
	for _, s := range n.requests.services {
		idle := 0
		for _, inc := range others {
			idle += n.membership.peer(inc, n.now).idleSlots(s)
		}
		n.requests.router.Lend(s, idle/(2*max(1, len(others))))
	}
}

func (p *peer) idleSlots(s namer.Service) int {
	for _, i := range p.idle {
		if i.Service == s {
			return i.Slots
		}
	}
	return 0
}

// routeRequest returns false where there is no slot for the request now.
func (n *Node) routeRequest(c queuer.Class, it queuer.Item) bool {
	w := n.requests.open[it.ID]
	if w == nil {
		return true
	}
	if _, waiting := n.entry.calls[w.call]; !w.record && !waiting {
		delete(n.requests.open, it.ID)
		return true
	}
	if w.record && !n.mayRun(it.ID) {
		return false
	}
	m := n.requests.router.Pick(n.now, w.work.Service, w.last)
	if m == nil {
		return false
	}
	if w.sends == 0 {
		n.requests.budget = min(maxRetryBudget, n.requests.budget+retryPart)
	}
	w.sends++
	w.flying = true
	w.last = m.Name
	if w.record {
		n.table.Get(it.ID).Tasks[0].State = keeper.Starting
	}
	n.requests.next++
	n.requests.sends[n.requests.next] = &send{id: it.ID, minion: m.Name, since: n.now}
	n.decide(eventer.Routed, it.ID, 0, string(m.Name), string(c.Kind))
	n.do(SendRequest{Send: n.requests.next, Minion: m.Name, ID: it.ID, Work: w.work})
	return true
}

// scanRequests ends the repeatable requests that are past their deadline.
func (n *Node) scanRequests() {
	var late []namer.ID
	for id, w := range n.requests.open {
		if !w.record && n.now.After(w.work.Deadline) {
			late = append(late, id)
		}
	}
	sort.Slice(late, func(i, j int) bool { return late[i] < late[j] })
	for _, id := range late {
		w := n.requests.open[id]
		a := coder.Answer{
			Status: coder.Refused, Code: coder.CodeDeadline, Ran: coder.RanNo,
			Detail: "the deadline passed while the request waited", RetryMillis: soonMillis,
		}
		if w.flying || w.doubt {
			a.Status, a.Ran, a.Detail = coder.Unknown, coder.RanUnknown, "the deadline passed while the request ran"
		}
		n.endRequest(id, w, a)
	}
}

// mayRun reports whether nobody but this instance will send the request.
func (n *Node) mayRun(id namer.ID) bool {
	r := n.table.Get(id)
	return r != nil && r.Held && r.Final == nil
}

func (n *Node) sendAnswered(e SendAnswered) {
	s, found := n.requests.sends[e.Send]
	if !found {
		return
	}
	delete(n.requests.sends, e.Send)
	if e.Leaving {
		n.decide(eventer.MinionLeaving, s.id, 0, string(s.minion), "closes its connections")
	}
	if e.Leaving || e.Verdict == SendRefused {
		n.requests.router.Refused(n.now, s.minion, e.Leaving)
	}
	n.requests.router.Done(s.minion)
	if e.Verdict != SendRefused && n.requests.router.Judge(n.now, s.minion, e.Verdict == SendOK) {
		n.decide(eventer.MinionAside, s.id, 0, string(s.minion), "fails what it is sent")
	}
	w := n.requests.open[s.id]
	if w == nil {
		return
	}
	w.flying = false
	n.sendVerdict(e, s, w)
}

func (n *Node) sendVerdict(e SendAnswered, s *send, w *request) {
	switch e.Verdict {
	case SendOK, SendError:
		n.learnRequest(w, n.now.Sub(s.since))
		n.requestRan(s.id, w, e)
	case SendRefused:
		n.decide(eventer.RouteRefused, s.id, 0, string(s.minion), "full or leaving")
		n.requestRefused(s.id, w)
	case SendLost:
		n.decide(eventer.RouteLost, s.id, 0, string(s.minion), "")
		n.requestLost(s.id, w)
	}
}

func (n *Node) learnRequest(w *request, took time.Duration) {
	n.requests.queue.Learn(queuer.Class{Team: w.work.Submission.Team, Kind: w.work.Kind}, took)
}

func (n *Node) requestRan(id namer.ID, w *request, e SendAnswered) {
	ok := e.Verdict == SendOK
	if w.record {
		n.recordRan(id, ok, e.Output)
		return
	}
	a := coder.Answer{Status: coder.Done, Ran: coder.RanYes}
	if !ok {
		a.Status, a.Code = coder.Failed, coder.CodeTask
	}
	a.Tasks = []coder.TaskOutcome{{Ran: coder.RanYes, OK: ok, Output: e.Output}}
	n.endRequest(id, w, a)
}

// recordRan takes in the end of an unrepeatable request.
func (n *Node) recordRan(id namer.ID, ok bool, output string) {
	r := n.table.Get(id)
	if r == nil || r.Final != nil {
		return
	}
	t := &r.Tasks[0]
	t.State, t.OK, t.Output = keeper.Ended, ok, output
	r.Open--
	if ok {
		n.finish(r, coder.Answer{Status: coder.Done})
		return
	}
	n.finish(r, coder.Answer{Status: coder.Failed, Code: coder.CodeTask, Detail: output})
}

// requestRefused sends a request again that has not run, or gives it up.
func (n *Node) requestRefused(id namer.ID, w *request) {
	if w.record {
		if r := n.table.Get(id); r != nil && r.Final == nil {
			r.Tasks[0].State = keeper.Queued
		}
	}
	if w.sends < maxRefused {
		n.requeue(id, w)
		return
	}
	a := coder.Answer{
		Status: coder.Refused, Code: coder.CodeOverload, Ran: coder.RanNo,
		Detail: "several minions were full", RetryMillis: soonMillis,
	}
	if w.doubt {
		a.Status, a.Ran = coder.Unknown, coder.RanUnknown
	}
	n.endRequest(id, w, a)
}

// requestLost sends a repeatable request again while the budget of retries
// lasts. An unrepeatable one is never sent again.
func (n *Node) requestLost(id namer.ID, w *request) {
	w.doubt = true
	w.lost++
	if !w.record && w.lost < maxLost && n.requests.budget >= 1 {
		n.requests.budget--
		n.requeue(id, w)
		return
	}
	n.endRequest(id, w, coder.Answer{
		Status: coder.Failed, Code: coder.CodeAnswerLost, Ran: coder.RanUnknown,
		Detail: "the minion's answer was lost",
	})
}

func (n *Node) requeue(id namer.ID, w *request) {
	c := queuer.Class{Team: w.work.Submission.Team, Kind: w.work.Kind}
	n.requests.queue.PushFront(c, queuer.Item{ID: id, Cost: n.cost(n.requests.queue, c, &w.work.Tasks[0])})
}

// endRequest gives a request its final answer.
func (n *Node) endRequest(id namer.ID, w *request, a coder.Answer) {
	delete(n.requests.open, id)
	if !w.record {
		n.reply(w.call, a)
		return
	}
	if r := n.table.Get(id); r != nil {
		n.finish(r, a)
	}
}

// dropRequest takes a finished submission off the list.
func (n *Node) dropRequest(r *keeper.Record) {
	if r.IsRequest() {
		delete(n.requests.open, r.ID)
	}
}

// listedMinions takes in the platform's list of minions.
func (n *Node) listedMinions(minions []ListedMinion) {
	present := make(map[namer.Minion]bool)
	services := make(map[namer.Service]bool)
	for _, l := range minions {
		if l.Domain != n.self.Domain {
			continue
		}
		present[l.Name] = true
		services[l.Service] = true
		n.requests.router.Update(router.Minion{
			Name: l.Name, Service: l.Service, Domain: l.Domain, Slots: l.Slots, Leaving: l.Leaving,
		})
	}
	n.requests.router.Retain(func(m namer.Minion) bool { return present[m] })
	n.requests.services = n.requests.services[:0]
	for s := range services {
		n.requests.services = append(n.requests.services, s)
	}
	sort.Slice(n.requests.services, func(i, j int) bool { return n.requests.services[i] < n.requests.services[j] })
}
