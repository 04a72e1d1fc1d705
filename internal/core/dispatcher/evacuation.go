package dispatcher

import (
	"github.com/heatherslip/heatherslip/internal/core/replayer"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
)

// isEvacuated reports whether nothing may be started in this instance's domain, which
// has all of its workers and minions.
func (n *Node) isEvacuated() bool { return n.state.IsEvacuated(n.self.Domain) }

// evacuationRefusal returns the refusal of new work if this instance's domain is
// evacuated, otherwise nil.
func (n *Node) evacuationRefusal() *coder.Answer {
	if !n.isEvacuated() {
		return nil
	}
	return &coder.Answer{
		Status: coder.StatusRefused, Code: coder.CodeEvacuated, Ran: coder.RanNo,
		Detail: "the failure domain " + string(n.self.Domain) + " is evacuated", RetryMillis: longRetryMillis,
	}
}

// logEvacuation logs the beginning or the end of an evacuation.
func (n *Node) logEvacuation(c replayer.Change) {
	event := eventer.EvacuationBegun
	if c.EvacuationEnded {
		event = eventer.EvacuationEnded
	}
	n.logDecision(event, "", 0, string(c.EvacuatedDomain), "")
}
