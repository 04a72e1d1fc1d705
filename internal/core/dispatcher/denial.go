package dispatcher

import (
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// denial is an answer that says "not run", which may not be told yet: this
// instance may have been evicted without knowing, and its successor may have
// run the submission since. The heir's word, or a fresh read of the log, shows
// that it has not.
type denial struct {
	call      *ownerCall
	answer    coder.Answer
	createdAt time.Time
}

// deny tells a caller that its submission has not run, once that is sure.
func (n *Node) deny(call *ownerCall, answer coder.Answer) {
	d := &denial{call: call, answer: answer, createdAt: n.now}
	_, successor := n.state.Owner(call.work.Submission)
	switch {
	case n.mode == ModeHeir && successor != "" && !n.isSilent(successor):
		n.replication.pendingDenials = append(n.replication.pendingDenials, d)
	case n.logAvailable():
		n.log.pendingDenials = append(n.log.pendingDenials, d)
	default:
		answer.Status, answer.Ran = coder.Unknown, coder.RanUnknown
		n.refuseWithAnswer(call, answer)
	}
}

// addDenialUpdates puts the waiting denials into the messages to their heirs.
func (n *Node) addDenialUpdates(b *outgoingBatches) {
	pending := n.replication.pendingDenials
	n.replication.pendingDenials = nil
	for _, d := range pending {
		_, successor := n.state.Owner(d.call.work.Submission)
		if successor == "" {
			n.handleOwnerCall(d.call)
			continue
		}
		id := d.call.work.Submission.ID()
		b.batchFor(successor).add(coder.Update{ID: id, Deny: true}, sentUpdate{id: id, denial: d})
	}
}

// sendConfirmedDenial tells a denial that is sure by now, unless the submission was taken
// in meanwhile.
func (n *Node) sendConfirmedDenial(d *denial) {
	id := d.call.work.Submission.ID()
	owner, _ := n.state.Owner(d.call.work.Submission)
	if !n.canOwnKeys() || owner != n.self.Incarnation || n.isKnown(id) {
		n.retryDenial(d)
		return
	}
	n.refuseWithAnswer(d.call, d.answer)
}

func (n *Node) isKnown(id namer.ID) bool {
	_, inDirectory := n.submissions.DirectoryEntry(id)
	_, claimed := n.state.Claimed(id)
	return inDirectory || claimed || n.submissions.Get(id) != nil
}

// retryDenial decides an ask anew, or gives it up after a while.
func (n *Node) retryDenial(d *denial) {
	if n.now.Sub(d.call.receivedAt) > deferLimit {
		n.refuse(d.call, coder.CodeOwner, coder.RanUnknown, "it could not be confirmed that the work has not run")
		return
	}
	n.handleOwnerCall(d.call)
}

// readLogForDenials has the log read for the denials that wait for it, one read at a
// time.
func (n *Node) readLogForDenials() {
	if len(n.log.pendingDenials) == 0 || n.log.denialReadInFlight {
		return
	}
	n.log.denialReadInFlight = true
	n.emit(ReadLog{})
}

// resolveDenials tells the denials that a read of the log, begun after them, has
// made sure.
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
