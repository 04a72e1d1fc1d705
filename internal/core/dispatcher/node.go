// Package dispatcher implements the deterministic core of an instance. It
// consumes events and produces actions. Time, randomness and the names of new
// incarnations are injected, so that the daemon, the fault matrix and the
// property tests run the same code.
//
// The state is held in tables (submissions, workers, minions, members), and
// each Step processes them in a fixed order.
package dispatcher

import (
	"math/rand/v2"
	"time"

	"github.com/heatherslip/heatherslip/internal/config/policyparser"
	"github.com/heatherslip/heatherslip/internal/core/placer"
	"github.com/heatherslip/heatherslip/internal/core/queuer"
	"github.com/heatherslip/heatherslip/internal/core/replayer"
	"github.com/heatherslip/heatherslip/internal/core/router"
	"github.com/heatherslip/heatherslip/internal/core/tracker"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Timeouts, intervals and limits of the protocol.
const (
	heartbeatInterval = 250 * time.Millisecond
	// remoteHeartbeatRounds is the number of rounds in which members of other
	// domains get one heartbeat. It carries the log offset, and nothing in their
	// domain depends on its arriving early.
	remoteHeartbeatRounds = 8
	// suspectTimeout is how long a member may be silent before it is evicted.
	suspectTimeout = 1500 * time.Millisecond
	// silenceReportTimeout is how long a member may be silent before heartbeats
	// report it as silent, and how long a member may report this instance as
	// silent before it is evicted.
	silenceReportTimeout = 750 * time.Millisecond
	// isolationTimeout replaces suspectTimeout if all of several other members
	// are silent.
	isolationTimeout = 3 * suspectTimeout
	// pauseThreshold is the time between two steps from which the process
	// counts as having been paused.
	pauseThreshold = time.Second
	// resendTimeout is how long to wait for an answer from a peer or a worker
	// before sending again.
	resendTimeout       = 300 * time.Millisecond
	appendRetryInterval = time.Second
	// logTimeout is how long the log may not answer reads before it counts as
	// down.
	logTimeout = 2 * time.Second
	// forwardTimeout is how long a call waits for a reachable owner before its
	// client is answered that the outcome is unknown.
	forwardTimeout = 4 * time.Second
	// fenceTimeout is how long a worker may leave a fence unanswered before its
	// tasks count as lost.
	fenceTimeout = 10 * time.Second
	// initialJoinDelay is how long a new instance waits for links to its
	// domain's members before it joins without them.
	initialJoinDelay = 2 * time.Second
	// maxJoinDelay bounds the join delay, which doubles with each eviction.
	maxJoinDelay   = time.Minute
	scanInterval   = 50 * time.Millisecond
	expireInterval = time.Second
	// logTailLength is how many of the newest log records are kept for peers that
	// lag. There are up to twice as many between two truncations.
	logTailLength = 1024
)

// Mode selects how a submission is committed to its primary.
type Mode int

// The modes; docs/design/ownership.md compares them.
const (
	// ModeReplicate commits a submission once the key's successor has acknowledged
	// it, and falls back to claims in the log.
	ModeReplicate Mode = iota
	// ModeLog claims every submission in the log. It is the baseline for
	// comparison.
	ModeLog
)

// Settings configures a Node.
type Settings struct {
	Self coder.Member
	Mode Mode
	// NewIncarnation returns a name for the next incarnation.
	NewIncarnation func() namer.Incarnation
	// Seed seeds the random choices, so that a run can be repeated.
	Seed uint64
}

// Node is the core of one instance. It is not safe for concurrent use.
type Node struct {
	self           coder.Member
	mode           Mode
	newIncarnation func() namer.Incarnation
	rng            *rand.Rand
	now            time.Time
	actions        []Action

	// state is derived from the log. It changes only by applying log entries,
	// and is replaced when a snapshot is applied.
	state  *replayer.State
	policy *policyparser.Policy
	// logTail holds the newest records for peers that lag.
	logTail    []coder.LogEntry
	log        logState
	membership membership
	// clientCalls holds the unanswered calls of this instance's clients.
	clientCalls clientCallTable

	submissions *tracker.Table
	replication replication
	fences      fenceTable
	taskQueue   *queuer.Queue
	placer      *placer.Placer
	// pendingStarts collects the starts of one step.
	pendingStarts []StartTasks
	requests      requestTable

	// lastList is the platform's last list of workers and minions. It is kept
	// when the incarnation changes.
	lastList ListUpdated

	draining       bool
	drainCompleted bool
	lastScanAt     time.Time
	lastExpireAt   time.Time
}

// New returns a Node with empty state.
func New(s Settings, now time.Time) *Node {
	n := &Node{
		self:           s.Self,
		mode:           s.Mode,
		newIncarnation: s.NewIncarnation,
		rng:            rand.New(rand.NewPCG(s.Seed, s.Seed^0x9e3779b97f4a7c15)),
		now:            now,
		state:          replayer.New(),
		policy:         &policyparser.Policy{},
		clientCalls:    newClientCallTable(),
	}
	n.resetIncarnation()
	n.membership.createdAt = now
	return n
}

// resetIncarnation discards all state that belongs to one incarnation.
func (n *Node) resetIncarnation() {
	n.submissions = tracker.New()
	n.replication = newReplication()
	n.fences = newFenceTable()
	n.taskQueue = queuer.New()
	n.placer = placer.New(n.rng)
	n.pendingStarts = nil
	n.requests = newRequestTable(n.self.Incarnation, n.rng)
	joinDelay := n.membership.joinDelay
	n.membership = newMembership(n.now)
	n.membership.joinDelay = joinDelay
	n.applyQueueWeights()
}

// Step processes events and returns the resulting actions. The time must not go
// backwards from one call to the next.
func (n *Node) Step(now time.Time, events []Event) []Action {
	n.detectPause(now)
	n.now = now
	for _, e := range events {
		n.handleEvent(e)
	}
	n.maintainMembership()
	n.sendFences()
	n.scanTables()
	n.routePendingCalls()
	n.retryDeferredCalls()
	n.placeTasks()
	n.sendRequests()
	n.appendClaims()
	n.readLogForDenials()
	n.replicatePending()
	n.emitStarts()
	actions := n.actions
	n.actions = nil
	return actions
}

func (n *Node) handleEvent(e Event) {
	switch e := e.(type) {
	case CallReceived:
		n.handleClientCall(e)
	case CallAbandoned:
		n.clientCalls.removeCall(e.Call)
	case MessageReceived:
		n.handleMessage(e.From, e.Message)
	case LinkUp:
		n.handleLinkUp(e.Member)
	case LinkDown:
		n.handleLinkDown(e.Incarnation)
	case LogRead:
		n.handleLogRead(e)
	case LogFailed:
		n.handleLogFailed()
	case ListUpdated:
		n.handleList(e)
	case LeaseAnswered:
		n.handleLeaseAnswered(e)
	case LeaseEnded:
		n.handleLeaseEnded(e)
	case StartAnswered:
		n.handleStartAnswered(e)
	case StartNoResponse:
		n.handleStartNoResponse(e)
	case TasksEnded:
		n.handleTasksEnded(e)
	case FenceAnswered:
		n.handleFenceAnswered(e)
	case FenceFailed:
		n.fences.markFailed(e.FenceID)
	case SendAnswered:
		n.handleSendAnswered(e)
	case Drain:
		n.startDrain()
	}
}

func (n *Node) handleMessage(from namer.Incarnation, m *coder.Message) {
	if _, present := n.state.Member(from); !present && n.membership.departedMembers[from] {
		n.logDecision(eventer.MessageRejected, "", 0, string(from), "incarnation is gone")
		return
	}
	switch {
	case m.Heartbeat != nil:
		n.handleHeartbeat(from, m.Heartbeat)
	case m.ForwardRequest != nil:
		n.handleForwardRequest(from, m.ForwardRequest)
	case m.ForwardResponse != nil:
		n.handleForwardResponse(from, m.ForwardResponse)
	case m.Replicate != nil:
		n.handleReplicate(from, m.Replicate)
	case m.Ack != nil:
		n.handleAck(from, m.Ack)
	case m.Sync != nil:
		n.handleSync(from, m.Sync)
	case m.CatchUp != nil:
		n.applyEntries(m.CatchUp.Entries)
	}
}

func (n *Node) emitAction(a Action) { n.actions = append(n.actions, a) }

func (n *Node) sendMessage(to namer.Incarnation, m *coder.Message) {
	n.emitAction(SendMessage{To: to, Message: m})
}

func (n *Node) logDecision(event eventer.Event, id namer.ID, index int, subject, reason string) {
	n.emitAction(Decision{Event: event, ID: id, Index: index, Subject: subject, Reason: reason})
}

// scanTables runs the checks that walk whole tables. It does so once per
// scanInterval, not in every step.
func (n *Node) scanTables() {
	if n.now.Sub(n.lastScanAt) < scanInterval {
		return
	}
	n.lastScanAt = n.now
	n.expireSubmissions()
	n.resendOrExpireCalls()
	n.acquireLeases()
	if n.now.Sub(n.lastExpireAt) >= expireInterval {
		n.lastExpireAt = n.now
		n.submissions.RemoveExpired(n.now)
	}
}

// Member returns this instance as its peers see it.
func (n *Node) Member() coder.Member { return n.self }

// State returns the state derived from the log. It must not be modified.
func (n *Node) State() *replayer.State { return n.state }

// Policy returns the policy in force. It must not be modified.
func (n *Node) Policy() *policyparser.Policy { return n.policy }

// Workers returns the workers that this instance uses. They must not be
// modified.
func (n *Node) Workers() []*placer.Worker { return n.placer.Workers() }

// Minions returns the minions that this instance uses. They must not be
// modified.
func (n *Node) Minions() []*router.Minion { return n.requests.router.Minions() }
