package dispatcher

import (
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// denial is an answer "not run" that must be confirmed before it is sent. This
// instance may have been evicted without having read this in the log, and its
// successor may have run the submission since. An acknowledgement by the
// successor, or a read of the log that starts after the denial was created, proves
// that this has not happened.
type denial struct {
	call      *ownerCall
	answer    coder.Answer
	createdAt time.Time
}

// denyCall answers a call with "not run" as soon as that is confirmed. If neither
// the successor nor the log can confirm it, the answer is "unknown".
func (n *Node) denyCall(call *ownerCall, answer coder.Answer) {
	d := &denial{call: call, answer: answer, createdAt: n.now}
	_, successor := n.state.OwnerAndSuccessor(call.work.Submission)
	switch {
	case n.mode == ModeReplicate && successor != "" && !n.isSilent(successor):
		n.replication.pendingDenials = append(n.replication.pendingDenials, d)
	case n.logAvailable():
		n.log.pendingDenials = append(n.log.pendingDenials, d)
	default:
		answer.Status, answer.Ran = coder.StatusUnknown, coder.RanUnknown
		n.refuseCallWith(call, answer)
	}
}

// addDenialUpdates adds the pending denials to the messages to the keys'
// successors.
func (n *Node) addDenialUpdates(b *outgoingBatches) {
	pending := n.replication.pendingDenials
	n.replication.pendingDenials = nil
	for _, d := range pending {
		_, successor := n.state.OwnerAndSuccessor(d.call.work.Submission)
		if successor == "" {
			n.handleOwnerCall(d.call)
			continue
		}
		id := d.call.work.Submission.ID()
		b.batchFor(successor).addUpdate(coder.Update{ID: id, Deny: true}, sentUpdate{id: id, denial: d})
	}
}

// sendConfirmedDenial sends a confirmed denial, unless this instance has lost
// the ownership of the key or accepted the submission in the meantime.
func (n *Node) sendConfirmedDenial(d *denial) {
	id := d.call.work.Submission.ID()
	owner, _ := n.state.OwnerAndSuccessor(d.call.work.Submission)
	if !n.canOwnKeys() || owner != n.self.Incarnation || n.isKnown(id) {
		n.retryDenial(d)
		return
	}
	n.refuseCallWith(d.call, d.answer)
}

// isKnown reports whether this instance has a record, a directory entry or a claim
// of a submission.
func (n *Node) isKnown(id namer.ID) bool {
	_, inDirectory := n.submissions.DirectoryEntry(id)
	_, claimed := n.state.ClaimHolder(id)
	return inDirectory || claimed || n.submissions.Get(id) != nil
}

// retryDenial decides the call of an unconfirmed denial again, or gives it up
// after deferLimit.
func (n *Node) retryDenial(d *denial) {
	if n.now.Sub(d.call.receivedAt) > deferLimit {
		n.refuseCall(d.call, coder.CodeOwnerUnreachable, coder.RanUnknown, "it could not be confirmed that the work has not run")
		return
	}
	n.handleOwnerCall(d.call)
}

// readLogForDenials starts a read of the log if denials wait for one. Only one
// such read is in flight at a time.
func (n *Node) readLogForDenials() {
	if len(n.log.pendingDenials) == 0 || n.log.denialReadInFlight {
		return
	}
	n.log.denialReadInFlight = true
	n.emitAction(ReadLog{})
}

// resolveDenials sends the denials that were made before the read of the log
// started, and retries those that have waited too long.
func (n *Node) resolveDenials(readStartedAt time.Time) {
	var waiting []*denial
	for _, d := range n.log.pendingDenials {
		switch {
		case !readStartedAt.Before(d.createdAt):
			n.sendConfirmedDenial(d)
		case n.now.Sub(d.createdAt) > deferLimit:
			n.retryDenial(d)
		default:
			waiting = append(waiting, d)
		}
	}
	n.log.pendingDenials = append(n.log.pendingDenials[:0], waiting...)
}
