package dispatcher

import (
	"fmt"
	"time"

	"github.com/heatherslip/heatherslip/internal/core/queuer"
	"github.com/heatherslip/heatherslip/internal/core/tracker"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// ownerCall is a call at an instance that owns, or may own, its submission.
type ownerCall struct {
	op            coder.Op
	work          *coder.Work
	waitForResult bool
	waiter        tracker.Waiter
	receivedAt    time.Time
}

// sendAnswer answers a call, directly or through the instance that forwarded
// it.
func (n *Node) sendAnswer(w tracker.Waiter, a coder.Answer) {
	if w.Peer == "" {
		n.replyToClient(w.Call, a)
		return
	}
	n.sendMessage(w.Peer, &coder.Message{ForwardResponse: &coder.ForwardResponse{Call: w.Call, Answer: a}})
}

// sendRedirect redirects a call to another instance, or to the current owner if
// the target is empty.
func (n *Node) sendRedirect(w tracker.Waiter, target namer.Incarnation) {
	if w.Peer == "" {
		n.clientCalls.rerouteTo(w.Call, target)
		return
	}
	n.sendMessage(w.Peer, &coder.Message{ForwardResponse: &coder.ForwardResponse{Call: w.Call, Redirect: target}})
}

func (n *Node) handleForwardRequest(from namer.Incarnation, request *coder.ForwardRequest) {
	n.membership.ensurePeer(from, n.now).lastMessageAt = n.now
	work := request.Work
	n.handleOwnerCall(&ownerCall{
		op: request.Op, work: &work, waitForResult: request.WaitForResult, receivedAt: n.now,
		waiter: tracker.Waiter{Peer: from, Call: request.Call},
	})
}

// handleOwnerCall answers a call, attaches it to a record, redirects it, or
// defers it until this instance may own keys.
func (n *Node) handleOwnerCall(call *ownerCall) {
	id := call.work.Submission.ID()
	if r := n.submissions.Get(id); r != nil {
		n.serveRecord(call, r)
		return
	}
	if !n.canOwnKeys() {
		n.clientCalls.deferCall(call)
		return
	}
	if entry, found := n.submissions.DirectoryEntry(id); found {
		n.serveDirectoryEntry(call, entry)
		return
	}
	if claimant, claimed := n.state.ClaimHolder(id); claimed {
		n.serveClaimed(call, claimant)
		return
	}
	owner, successor := n.state.OwnerAndSuccessor(call.work.Submission)
	if owner != n.self.Incarnation {
		n.sendRedirect(call.waiter, owner)
		return
	}
	n.serveNew(call, successor)
}

// serveRecord serves a call for a submission that this instance runs or backs
// up.
func (n *Node) serveRecord(call *ownerCall, r *tracker.Record) {
	if r.Primary != n.self.Incarnation && !r.Closed() {
		n.sendRedirect(call.waiter, r.Primary)
		return
	}
	if call.op == coder.OpSubmit {
		digest, err := call.work.Digest()
		if err != nil || digest != r.Digest {
			n.refuseCall(call, coder.CodeConflict, coder.RanNo, "the key was used for other work")
			return
		}
		n.logDecision(eventer.SubmissionAttached, r.ID, 0, "", "")
	}
	if call.op == coder.OpCancel && r.FinalAnswer == nil {
		n.finishSubmission(r, coder.Answer{Status: coder.StatusCancelled, Code: coder.CodeCancelled, Detail: "cancelled by a caller"})
	}
	switch {
	case r.Closed():
		n.sendAnswer(call.waiter, *r.FinalAnswer)
	case call.waitForResult:
		r.AddWaiter(call.waiter)
	default:
		n.sendAnswer(call.waiter, coder.Answer{Status: coder.StatusRunning, Ran: r.Ran()})
	}
}

// serveDirectoryEntry serves a call for a submission that another member runs.
func (n *Node) serveDirectoryEntry(call *ownerCall, entry coder.DirectoryEntry) {
	for _, inc := range []namer.Incarnation{entry.Primary, entry.Backup} {
		if _, present := n.state.Member(inc); present && inc != n.self.Incarnation {
			n.logDecision(eventer.CallRedirected, entry.ID, 0, string(inc), "runs there")
			n.sendRedirect(call.waiter, inc)
			return
		}
	}
	n.refuseCall(call, coder.CodeHistoryLost, coder.RanUnknown, "the instances that ran it are gone")
}

// serveClaimed serves a call for a submission that an instance has claimed in
// the log.
func (n *Node) serveClaimed(call *ownerCall, claimant namer.Incarnation) {
	if _, present := n.state.Member(claimant); present && claimant != n.self.Incarnation {
		n.sendRedirect(call.waiter, claimant)
		return
	}
	n.refuseCall(call, coder.CodeHistoryLost, coder.RanUnknown, "the instance that claimed it is gone")
}

// serveNew serves a call for a submission that no member of the domain has a
// record of.
func (n *Node) serveNew(call *ownerCall, successor namer.Incarnation) {
	if code, detail := n.checkKeyAge(call.work); code != "" {
		n.refuseCall(call, code, coder.RanUnknown, detail)
		return
	}
	if call.op != coder.OpSubmit {
		n.answerNotFound(call)
		return
	}
	if refusal := n.checkAdmission(call.work); refusal != nil {
		n.denyCall(call, *refusal)
		return
	}
	n.acceptSubmission(call, successor)
}

// checkKeyAge returns a code and a detail if an earlier submission under the
// same key may have been forgotten, and empty strings otherwise.
func (n *Node) checkKeyAge(w *coder.Work) (coder.Code, string) {
	issued, dated := w.Submission.Key.IssuedAt()
	if dated && n.now.Sub(issued) > n.policy.KeyRetention-n.policy.MaxClockSkew {
		return coder.CodeExpired, fmt.Sprintf("the key is older than %v", n.policy.KeyRetention)
	}
	if dated && issued.Sub(n.now) > n.policy.MaxClockSkew {
		return coder.CodeExpired, "the key was issued in the future; check the caller's clock"
	}
	lostUntil, lost := n.state.HistoryLostUntil(n.self.Domain)
	if !lost {
		return "", ""
	}
	margin := n.policy.MaxClockSkew + suspectTimeout
	if dated && issued.After(lostUntil.Add(margin)) {
		return "", ""
	}
	if n.now.After(lostUntil.Add(n.policy.KeyRetention + margin)) {
		return "", ""
	}
	return coder.CodeHistoryLost, "instances were lost together and may have run it; use a new key that shows its age"
}

// answerNotFound answers a fetch or cancel of an unknown submission. It has
// certainly not run if its key carries an issue time that is too recent for the
// submission to have been forgotten.
func (n *Node) answerNotFound(call *ownerCall) {
	answer := coder.Answer{
		Status: coder.StatusUnknown, Code: coder.CodeNotFound, Ran: coder.RanUnknown, Detail: "no such submission is known",
	}
	if _, dated := call.work.Submission.Key.IssuedAt(); !dated {
		n.refuseCallWith(call, answer)
		return
	}
	answer.Status, answer.Ran = coder.StatusRefused, coder.RanNo
	n.denyCall(call, answer)
}

func (n *Node) refuseCall(call *ownerCall, code coder.Code, ran coder.Ran, detail string) {
	n.refuseCallWith(call, coder.Answer{Status: statusForRan(ran), Code: code, Ran: ran, Detail: detail, RetryMillis: n.retryMillis(code)})
}

func statusForRan(ran coder.Ran) coder.Status {
	if ran == coder.RanNo {
		return coder.StatusRefused
	}
	return coder.StatusUnknown
}

// Delays in milliseconds after which a refused client may try again.
const (
	shortRetryMillis = 250
	longRetryMillis  = 2000
)

// retryMillis returns the delay in milliseconds after which to try again, or
// zero if trying again cannot help.
func (n *Node) retryMillis(code coder.Code) int {
	switch code {
	case coder.CodeDraining, coder.CodeNotReady, coder.CodeNoMinion, coder.CodeNoSuccessor:
		return shortRetryMillis
	case coder.CodeOwnerUnreachable, coder.CodeHomeUnreachable:
		return longRetryMillis
	default:
		return 0
	}
}

func (n *Node) refuseCallWith(call *ownerCall, answer coder.Answer) {
	n.logDecision(eventer.SubmissionRefused, call.work.Submission.ID(), 0, string(call.work.Kind), string(answer.Code)+" ran="+string(answer.Ran))
	n.sendAnswer(call.waiter, answer)
}

// acceptSubmission makes this instance the submission's primary. Tasks start
// once the successor has acknowledged it or the log contains the claim.
func (n *Node) acceptSubmission(call *ownerCall, successor namer.Incarnation) {
	if n.mode == ModeLog {
		successor = ""
	}
	replicable := successor != "" && !n.isSilent(successor)
	if !replicable && !n.logAvailable() {
		n.refuseCall(call, coder.CodeNoSuccessor, coder.RanUnknown, "neither the heir nor the log can confirm the submission")
		return
	}
	r := n.newRecord(call.work, n.self.Incarnation, successor)
	n.submissions.AddRecord(r)
	n.addWaiterOrAnswer(call, r)
	n.logDecision(eventer.SubmissionAccepted, r.ID, 0, string(successor), string(r.Work.Kind))
	if !replicable {
		r.ClaimPending = true
		n.enqueueClaim(r.Work.Submission)
	}
	n.markForReplication(r)
	if r.Backup != "" && !r.IsRequest() {
		n.enqueueTasks(r)
	}
}

func (n *Node) addWaiterOrAnswer(call *ownerCall, r *tracker.Record) {
	if call.waitForResult {
		r.AddWaiter(call.waiter)
		return
	}
	n.sendAnswer(call.waiter, coder.Answer{Status: coder.StatusRunning, Ran: coder.RanNo})
}

func (n *Node) newRecord(w *coder.Work, primary, backup namer.Incarnation) *tracker.Record {
	digest, _ := w.Digest()
	return &tracker.Record{
		ID:        w.Submission.ID(),
		Work:      w,
		Digest:    digest,
		Primary:   primary,
		Backup:    backup,
		Tasks:     make([]tracker.Task, len(w.Tasks)),
		OpenTasks: len(w.Tasks),
		ExpiresAt: w.Deadline.Add(n.policy.KeyRetention),
	}
}

// abandonRecord removes a record that was neither replicated nor claimed, and
// redirects its callers.
func (n *Node) abandonRecord(r *tracker.Record, target namer.Incarnation) {
	waiters := r.Waiters
	r.Waiters = nil
	n.submissions.RemoveRecord(r.ID)
	for _, w := range waiters {
		n.sendRedirect(w, target)
	}
}

// enqueueTasks puts the queued tasks of a submission into the task queue or the
// request queue.
func (n *Node) enqueueTasks(r *tracker.Record) {
	r.TasksQueued = true
	c := queuer.Class{Team: r.Work.Submission.Team, Kind: r.Work.Kind}
	queue := n.taskQueue
	if r.IsRequest() {
		queue = n.requests.queue
		n.requests.pending[r.ID] = &pendingRequest{work: r.Work, hasRecord: true}
	}
	for i := range r.Tasks {
		if r.Tasks[i].State == tracker.TaskQueued {
			queue.Push(c, queuer.Item{ID: r.ID, TaskIndex: i, Cost: n.queueCost(queue, c, &r.Work.Tasks[i])})
		}
	}
}

func (n *Node) queueCost(q *queuer.Queue, c queuer.Class, t *coder.TaskSpec) time.Duration {
	return q.ExpectedRunTime(c, time.Duration(t.RunTimeMillis)*time.Millisecond)
}

// finishSubmission sets the final answer of a submission, which never changes
// again. It is sent to the callers once the backup has acknowledged it.
func (n *Node) finishSubmission(r *tracker.Record, a coder.Answer) {
	if r.FinalAnswer != nil {
		return
	}
	a.Ran = r.Ran()
	a.Tasks = r.TaskOutcomes()
	r.FinalAnswer = &a
	r.ExpiresAt = n.now.Add(n.policy.KeyRetention)
	n.stopRemainingTasks(r)
	n.removeRequest(r)
	n.logDecision(eventer.SubmissionFinished, r.ID, 0, string(a.Status), string(a.Code))
	n.markForReplication(r)
}

// confirmFinalAnswer closes a record and sends its final answer to the callers.
func (n *Node) confirmFinalAnswer(r *tracker.Record) {
	n.submissions.CloseRecord(r)
	waiters := r.Waiters
	r.Waiters = nil
	for _, w := range waiters {
		n.sendAnswer(w, *r.FinalAnswer)
	}
}

// expireSubmissions ends the submissions and requests that are past their
// deadline.
func (n *Node) expireSubmissions() {
	var expired []*tracker.Record
	n.submissions.EachOpenRecord(func(r *tracker.Record) {
		if r.Primary == n.self.Incarnation && n.now.After(r.Work.Deadline) {
			expired = append(expired, r)
		}
	})
	tracker.SortByID(expired)
	for _, r := range expired {
		n.expireSubmission(r)
	}
	n.expireRequests()
}

// expireSubmission fails a submission that is past its deadline. If this answer
// cannot be confirmed in time, the callers are answered that the outcome is
// unknown, and the record is kept.
func (n *Node) expireSubmission(r *tracker.Record) {
	if r.FinalAnswer == nil {
		n.finishSubmission(r, coder.Answer{Status: coder.StatusFailed, Code: coder.CodeDeadline, Detail: "the deadline has passed"})
	}
	if r.Closed() || n.now.Sub(r.Work.Deadline) < resendTimeout {
		return
	}
	waiters := r.Waiters
	r.Waiters = nil
	for _, w := range waiters {
		n.sendAnswer(w, coder.Answer{
			Status: coder.StatusUnknown, Code: coder.CodeOwnerUnreachable, Ran: coder.RanUnknown,
			Detail: "the end of the work could not be confirmed; ask again", RetryMillis: longRetryMillis,
		})
	}
}

// startDrain starts to drain this instance. Its first effect is that requestLeave
// appends a Retire record, by which this instance stops owning new submissions.
func (n *Node) startDrain() {
	if !n.draining {
		n.logDecision(eventer.InstanceDraining, "", 0, "", "")
	}
	n.draining = true
}

// requestLeave appends a Retire record and then, once all submissions that this
// instance runs are finished and held by other members, a Leave record.
func (n *Node) requestLeave() {
	if !n.draining || !n.logAvailable() || n.now.Sub(n.membership.appendSentAt) < appendRetryInterval {
		return
	}
	if !n.state.Retired(n.self.Incarnation) {
		n.membership.appendSentAt = n.now
		n.emitAction(AppendRecord{coder.Record{Retire: &coder.Retire{Incarnation: n.self.Incarnation}}})
		return
	}
	if n.hasUnfinishedWork() || !n.handoverComplete() {
		return
	}
	n.membership.appendSentAt = n.now
	n.emitAction(AppendRecord{coder.Record{Leave: &coder.Leave{Incarnation: n.self.Incarnation, At: n.now}}})
}

// hasUnfinishedWork reports whether this instance runs a submission that is not
// closed, or has an unanswered call of its own clients.
func (n *Node) hasUnfinishedWork() bool {
	unfinished := len(n.clientCalls.pending) > 0 || n.requests.hasPending()
	n.submissions.EachOpenRecord(func(r *tracker.Record) {
		unfinished = unfinished || r.Primary == n.self.Incarnation
	})
	return unfinished
}

// handoverComplete reports whether the other members hold everything that this
// instance holds. The last member of a domain has no member to hand over to.
func (n *Node) handoverComplete() bool {
	return n.state.AllSynced(n.self.Domain) || len(n.otherMembers()) == 0
}

func (n *Node) completeDrain() {
	if !n.drainCompleted {
		n.logDecision(eventer.InstanceDrained, "", 0, "", "")
		n.emitAction(DrainCompleted{})
	}
	n.drainCompleted = true
}
