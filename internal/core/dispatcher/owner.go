package dispatcher

import (
	"fmt"
	"time"

	"github.com/heatherslip/heatherslip/internal/core/keeper"
	"github.com/heatherslip/heatherslip/internal/core/queuer"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// ask is a call at the instance that owns, or may own, its submission.
type ask struct {
	op     coder.Op
	work   *coder.Work
	wait   bool
	waiter keeper.Waiter
	since  time.Time
}

// answer sends an ask its answer.
func (n *Node) answer(w keeper.Waiter, a coder.Answer) {
	if w.Peer == "" {
		n.reply(w.Call, a)
		return
	}
	n.send(w.Peer, &coder.Message{Outcome: &coder.Outcome{Call: w.Call, Answer: a}})
}

// redirect sends an ask on to another instance.
func (n *Node) redirect(w keeper.Waiter, to namer.Incarnation) {
	if w.Peer == "" {
		n.entry.retarget(w.Call, to)
		return
	}
	n.send(w.Peer, &coder.Message{Outcome: &coder.Outcome{Call: w.Call, Redirect: to}})
}

func (n *Node) forwarded(from namer.Incarnation, f *coder.Forward) {
	n.membership.peer(from, n.now).heard = n.now
	work := f.Work
	n.consider(&ask{
		op: f.Op, work: &work, wait: f.Wait, since: n.now,
		waiter: keeper.Waiter{Peer: from, Call: f.Call},
	})
}

// consider answers an ask, attaches it to a record, sends it on, or parks it.
func (n *Node) consider(a *ask) {
	id := a.work.Submission.ID()
	if r := n.table.Get(id); r != nil {
		n.onRecord(a, r)
		return
	}
	if !n.mayOwn() {
		n.entry.park(a)
		return
	}
	if k, found := n.table.Known(id); found {
		n.onKnown(a, k)
		return
	}
	if by, taken := n.state.Claimed(id); taken {
		n.onClaimed(a, by)
		return
	}
	owner, heir := n.state.Owner(a.work.Submission)
	if owner != n.self.Incarnation {
		n.redirect(a.waiter, owner)
		return
	}
	n.onNew(a, heir)
}

// onRecord serves a submission that this instance runs or backs up.
func (n *Node) onRecord(a *ask, r *keeper.Record) {
	if r.Runner != n.self.Incarnation && !r.Settled() {
		n.redirect(a.waiter, r.Runner)
		return
	}
	if a.op == coder.OpSubmit {
		digest, err := a.work.Digest()
		if err != nil || digest != r.Digest {
			n.refuse(a, coder.CodeConflict, coder.RanNo, "the key was used for other work")
			return
		}
		n.decide(eventer.Attached, r.ID, 0, "", "")
	}
	if a.op == coder.OpCancel && r.Final == nil {
		n.finish(r, coder.Answer{Status: coder.Cancelled, Code: coder.CodeCancelled, Detail: "cancelled by a caller"})
	}
	switch {
	case r.Settled():
		n.answer(a.waiter, *r.Final)
	case a.wait:
		r.AddWaiter(a.waiter)
	default:
		n.answer(a.waiter, coder.Answer{Status: coder.Running, Ran: r.Ran()})
	}
}

// onKnown serves a submission that another member runs.
func (n *Node) onKnown(a *ask, k coder.Known) {
	for _, inc := range []namer.Incarnation{k.Runner, k.Backup} {
		if _, present := n.state.Member(inc); present && inc != n.self.Incarnation {
			n.decide(eventer.Redirected, k.ID, 0, string(inc), "runs there")
			n.redirect(a.waiter, inc)
			return
		}
	}
	n.refuse(a, coder.CodeLost, coder.RanUnknown, "the instances that ran it are gone")
}

// onClaimed serves a submission that the log gives to an instance.
func (n *Node) onClaimed(a *ask, by namer.Incarnation) {
	if _, present := n.state.Member(by); present && by != n.self.Incarnation {
		n.redirect(a.waiter, by)
		return
	}
	n.refuse(a, coder.CodeLost, coder.RanUnknown, "the instance that claimed it is gone")
}

// onNew serves a submission that nobody in the domain knows of.
func (n *Node) onNew(a *ask, heir namer.Incarnation) {
	if code, detail := n.tooOld(a.work); code != "" {
		n.refuse(a, code, coder.RanUnknown, detail)
		return
	}
	if a.op != coder.OpSubmit {
		n.notFound(a)
		return
	}
	if refusal := n.admit(a.work); refusal != nil {
		n.deny(a, *refusal)
		return
	}
	n.propose(a, heir)
}

// tooOld returns a code where an earlier life of the key may be forgotten.
func (n *Node) tooOld(w *coder.Work) (coder.Code, string) {
	issued, shown := w.Submission.Key.Issued()
	if shown && n.now.Sub(issued) > n.policy.Remember-n.policy.Skew {
		return coder.CodeExpired, fmt.Sprintf("the key is older than %v", n.policy.Remember)
	}
	if shown && issued.Sub(n.now) > n.policy.Skew {
		return coder.CodeExpired, "the key was issued in the future; check the caller's clock"
	}
	lost, happened := n.state.LostUntil(n.self.Domain)
	if !happened {
		return "", ""
	}
	margin := n.policy.Skew + suspectAfter
	if shown && issued.After(lost.Add(margin)) {
		return "", ""
	}
	if n.now.After(lost.Add(n.policy.Remember + margin)) {
		return "", ""
	}
	return coder.CodeLost, "instances were lost together and may have run it; use a new key that shows its age"
}

// notFound answers a question about a submission that is not known. It has
// not run if its key shows an age at which it cannot have been forgotten.
func (n *Node) notFound(a *ask) {
	answer := coder.Answer{
		Status: coder.Unknown, Code: coder.CodeNotFound, Ran: coder.RanUnknown, Detail: "no such submission is known",
	}
	if _, shown := a.work.Submission.Key.Issued(); !shown {
		n.refuseWith(a, answer)
		return
	}
	answer.Status, answer.Ran = coder.Refused, coder.RanNo
	n.deny(a, answer)
}

func (n *Node) refuse(a *ask, code coder.Code, ran coder.Ran, detail string) {
	n.refuseWith(a, coder.Answer{Status: statusOf(ran), Code: code, Ran: ran, Detail: detail, RetryMillis: n.comeBack(code)})
}

func statusOf(ran coder.Ran) coder.Status {
	if ran == coder.RanNo {
		return coder.Refused
	}
	return coder.Unknown
}

// Times after which a refused caller may come back.
const (
	soonMillis  = 250
	laterMillis = 2000
)

// comeBack returns when to ask again; zero where asking again is no use.
func (n *Node) comeBack(code coder.Code) int {
	switch code {
	case coder.CodeDraining, coder.CodeNotReady, coder.CodeNoMinion, coder.CodeNoHeir:
		return soonMillis
	case coder.CodeOwner, coder.CodeHome:
		return laterMillis
	default:
		return 0
	}
}

func (n *Node) refuseWith(a *ask, answer coder.Answer) {
	n.decide(eventer.RefusedWork, a.work.Submission.ID(), 0, string(a.work.Kind), string(answer.Code)+" ran="+string(answer.Ran))
	n.answer(a.waiter, answer)
}

// propose makes this instance the runner, once the heir or the log agrees.
func (n *Node) propose(a *ask, heir namer.Incarnation) {
	if n.mode == ModeLog {
		heir = ""
	}
	mayHeir := heir != "" && !n.silent(heir)
	if !mayHeir && !n.logUp() {
		n.refuse(a, coder.CodeNoHeir, coder.RanUnknown, "neither the heir nor the log can confirm the submission")
		return
	}
	r := n.newRecord(a.work, n.self.Incarnation, heir)
	n.table.Add(r)
	n.keepWaiter(a, r)
	n.decide(eventer.Accepted, r.ID, 0, string(heir), string(r.Work.Kind))
	if !mayHeir {
		r.Claiming = true
		n.claim(r.Work.Submission)
	}
	n.markDirty(r)
	if r.Backup != "" && !r.IsRequest() {
		n.enqueue(r)
	}
}

func (n *Node) keepWaiter(a *ask, r *keeper.Record) {
	if a.wait {
		r.AddWaiter(a.waiter)
		return
	}
	n.answer(a.waiter, coder.Answer{Status: coder.Running, Ran: coder.RanNo})
}

func (n *Node) newRecord(w *coder.Work, runner, backup namer.Incarnation) *keeper.Record {
	digest, _ := w.Digest()
	return &keeper.Record{
		ID:     w.Submission.ID(),
		Work:   w,
		Digest: digest,
		Runner: runner,
		Backup: backup,
		Tasks:  make([]keeper.Task, len(w.Tasks)),
		Open:   len(w.Tasks),
		Until:  w.Deadline.Add(n.policy.Remember),
	}
}

// giveAway drops a record that was never anybody's and sends its callers on.
func (n *Node) giveAway(r *keeper.Record, to namer.Incarnation) {
	waiters := r.Waiters
	r.Waiters = nil
	n.table.Drop(r.ID)
	for _, w := range waiters {
		n.redirect(w, to)
	}
}

// enqueue puts what is left of a submission into its queue.
func (n *Node) enqueue(r *keeper.Record) {
	r.Queued = true
	c := queuer.Class{Team: r.Work.Submission.Team, Kind: r.Work.Kind}
	queue := n.tasks
	if r.IsRequest() {
		queue = n.requests.queue
		n.requests.open[r.ID] = &request{work: r.Work, record: true}
	}
	for i := range r.Tasks {
		if r.Tasks[i].State == keeper.Queued {
			queue.Push(c, queuer.Item{ID: r.ID, Index: i, Cost: n.cost(queue, c, &r.Work.Tasks[i])})
		}
	}
}

func (n *Node) cost(q *queuer.Queue, c queuer.Class, t *coder.TaskSpec) time.Duration {
	return q.Cost(c, time.Duration(t.Millis)*time.Millisecond)
}

// finish gives a submission its terminal answer. It never changes again; the
// callers hear it once the backup knows it.
func (n *Node) finish(r *keeper.Record, a coder.Answer) {
	if r.Final != nil {
		return
	}
	a.Ran = r.Ran()
	a.Tasks = r.Outcomes()
	r.Final = &a
	r.Until = n.now.Add(n.policy.Remember)
	n.stopRest(r)
	n.dropRequest(r)
	n.decide(eventer.Finished, r.ID, 0, string(a.Status), string(a.Code))
	n.markDirty(r)
}

// confirm tells the callers the terminal answer.
func (n *Node) confirm(r *keeper.Record) {
	n.table.Settle(r)
	waiters := r.Waiters
	r.Waiters = nil
	for _, w := range waiters {
		n.answer(w, *r.Final)
	}
}

// scanDeadlines ends what is past its deadline.
func (n *Node) scanDeadlines() {
	var late []*keeper.Record
	n.table.EachLive(func(r *keeper.Record) {
		if r.Runner == n.self.Incarnation && n.now.After(r.Work.Deadline) {
			late = append(late, r)
		}
	})
	keeper.Sort(late)
	for _, r := range late {
		n.deadline(r)
	}
	n.scanRequests()
}

// deadline ends a submission that is late. Where the end cannot be confirmed
// its callers hear that the outcome is unknown; the record stays.
func (n *Node) deadline(r *keeper.Record) {
	if r.Final == nil {
		n.finish(r, coder.Answer{Status: coder.Failed, Code: coder.CodeDeadline, Detail: "the deadline has passed"})
	}
	if r.Settled() || n.now.Sub(r.Work.Deadline) < resendAfter {
		return
	}
	waiters := r.Waiters
	r.Waiters = nil
	for _, w := range waiters {
		n.answer(w, coder.Answer{
			Status: coder.Unknown, Code: coder.CodeOwner, Ran: coder.RanUnknown,
			Detail: "the end of the work could not be confirmed; ask again", RetryMillis: laterMillis,
		})
	}
}

// drain asks to own no new submissions from now on.
func (n *Node) drain() {
	if !n.draining {
		n.decide(eventer.Draining, "", 0, "", "")
	}
	n.draining = true
}

// runLeave retires, and leaves the view once all that this instance runs is
// finished and held by another member.
func (n *Node) runLeave() {
	if !n.draining || !n.logUp() || n.now.Sub(n.membership.joinAsked) < appendAgain {
		return
	}
	if !n.state.Retired(n.self.Incarnation) {
		n.membership.joinAsked = n.now
		n.do(Append{coder.Record{Retire: &coder.Retire{Incarnation: n.self.Incarnation}}})
		return
	}
	if n.busy() || !n.handedOver() {
		return
	}
	n.membership.joinAsked = n.now
	n.do(Append{coder.Record{Leave: &coder.Leave{Incarnation: n.self.Incarnation, At: n.now}}})
}

// busy reports whether something that this instance runs, or a call of its
// own clients, is not finished.
func (n *Node) busy() bool {
	busy := len(n.entry.calls) > 0 || n.requests.busy()
	n.table.EachLive(func(r *keeper.Record) {
		busy = busy || r.Runner == n.self.Incarnation
	})
	return busy
}

// handedOver reports whether the others know all that this instance knows.
// The last member of a domain has nobody to tell.
func (n *Node) handedOver() bool {
	return n.state.AllSettled(n.self.Domain) || len(n.others()) == 0
}

func (n *Node) leftView() {
	if !n.left {
		n.decide(eventer.Drained, "", 0, "", "")
		n.do(Left{})
	}
	n.left = true
}
