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
	ask    *ask
	answer coder.Answer
	since  time.Time
}

// deny tells a caller that its submission has not run, once that is sure.
func (n *Node) deny(a *ask, answer coder.Answer) {
	d := &denial{ask: a, answer: answer, since: n.now}
	_, heir := n.state.Owner(a.work.Submission)
	switch {
	case n.mode == ModeHeir && heir != "" && !n.silent(heir):
		n.replica.denials = append(n.replica.denials, d)
	case n.logUp():
		n.log.denials = append(n.log.denials, d)
	default:
		answer.Status, answer.Ran = coder.Unknown, coder.RanUnknown
		n.refuseWith(a, answer)
	}
}

// addDenials puts the waiting denials into the messages to their heirs.
func (n *Node) addDenials(b *batches) {
	waiting := n.replica.denials
	n.replica.denials = nil
	for _, d := range waiting {
		_, heir := n.state.Owner(d.ask.work.Submission)
		if heir == "" {
			n.consider(d.ask)
			continue
		}
		id := d.ask.work.Submission.ID()
		b.to(heir).add(coder.Update{ID: id, Deny: true}, part{id: id, deny: d})
	}
}

// denied tells a denial that is sure by now, unless the submission was taken
// in meanwhile.
func (n *Node) denied(d *denial) {
	id := d.ask.work.Submission.ID()
	owner, _ := n.state.Owner(d.ask.work.Submission)
	if !n.mayOwn() || owner != n.self.Incarnation || n.knows(id) {
		n.reconsider(d)
		return
	}
	n.refuseWith(d.ask, d.answer)
}

func (n *Node) knows(id namer.ID) bool {
	_, known := n.table.Known(id)
	_, claimed := n.state.Claimed(id)
	return known || claimed || n.table.Get(id) != nil
}

// reconsider decides an ask anew, or gives it up after a while.
func (n *Node) reconsider(d *denial) {
	if n.now.Sub(d.ask.since) > parkLimit {
		n.refuse(d.ask, coder.CodeOwner, coder.RanUnknown, "it could not be confirmed that the work has not run")
		return
	}
	n.consider(d.ask)
}

// runDenials has the log read for the denials that wait for it, one read at a
// time.
func (n *Node) runDenials() {
	if len(n.log.denials) == 0 || n.log.reading {
		return
	}
	n.log.reading = true
	n.do(ReadLog{})
}

// readDenials tells the denials that a read of the log, begun after them, has
// made sure.
func (n *Node) readDenials(asked time.Time) {
	var waiting []*denial
	for _, d := range n.log.denials {
		switch {
		case !asked.Before(d.since):
			n.denied(d)
		case n.now.Sub(d.since) > parkLimit:
			n.reconsider(d)
		default:
			waiting = append(waiting, d)
		}
	}
	n.log.denials = append(n.log.denials[:0], waiting...)
}
