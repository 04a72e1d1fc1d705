// Package dispatcher is the deterministic core of an entry instance. Events
// go in and actions come out; time, randomness and new names are injected, so
// that the daemon, the fault matrix and the property tests run the same code.
//
// The entities are rows in tables (submissions, workers, minions, members)
// and each Step runs the systems over them in a fixed order.
package dispatcher

import (
	"math/rand/v2"
	"time"

	"github.com/heatherslip/heatherslip/internal/config/policer"
	"github.com/heatherslip/heatherslip/internal/core/keeper"
	"github.com/heatherslip/heatherslip/internal/core/placer"
	"github.com/heatherslip/heatherslip/internal/core/queuer"
	"github.com/heatherslip/heatherslip/internal/core/router"
	"github.com/heatherslip/heatherslip/internal/core/viewer"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Times that the protocol works with.
const (
	heartbeatInterval = 250 * time.Millisecond
	// remoteHeartbeatRounds is how many rounds of beats one goes to other domains; it tells
	// them what the log says, and nothing there waits for it.
	remoteHeartbeatRounds = 8
	// suspectTimeout is how long a member may be silent.
	suspectTimeout = 1500 * time.Millisecond
	// unheardTimeout is how long a member may be silent before it is told so, and
	// how long it may say the same.
	unheardTimeout = 750 * time.Millisecond
	// isolationTimeout is how long all of several other members may be silent.
	isolationTimeout = 3 * suspectTimeout
	// pauseThreshold is how long this process may stand still unnoticed.
	pauseThreshold = time.Second
	// resendTimeout is how long an answer of a peer or the log is waited for.
	resendTimeout       = 300 * time.Millisecond
	appendRetryInterval = time.Second
	// logTimeout is how long the log may not answer before it counts as down.
	logTimeout = 2 * time.Second
	// forwardTimeout is how long a call waits for an owner that does not answer
	// before its caller hears that the outcome is unknown.
	forwardTimeout = 4 * time.Second
	// fenceTimeout is how long a worker may not answer a fence before its tasks
	// count as lost.
	fenceTimeout = 10 * time.Second
	// initialJoinDelay is how long a new instance waits for links to its domain's
	// members before it joins all the same.
	initialJoinDelay = 2 * time.Second
	maxJoinDelay     = time.Minute
	scanInterval     = 50 * time.Millisecond
	expireInterval   = time.Second
	// logTailLength is how many records of the log are kept for peers.
	logTailLength = 1024
)

// Mode chooses how a submission is made its runner's.
type Mode int

// The modes; docs/design/ownership.md compares them.
const (
	// ModeHeir has the heir acknowledge, and falls back on the log.
	ModeHeir Mode = iota
	// ModeLog claims every submission in the log; it is the baseline.
	ModeLog
)

// Settings are what an instance is told at its start.
type Settings struct {
	Self coder.Member
	Mode Mode
	// Rename makes the name of the next incarnation.
	Rename func() namer.Incarnation
	// Seed makes choices repeatable.
	Seed uint64
}

// Node is one entry instance. It is not safe for concurrent use.
type Node struct {
	self           coder.Member
	mode           Mode
	newIncarnation func() namer.Incarnation
	rng            *rand.Rand
	now            time.Time
	actions        []Action

	// state follows from the log; it is replaced, never edited, from outside.
	state  *viewer.State
	policy *policer.Policy
	// logTail holds the newest records for peers that are behind.
	logTail    []coder.Entry
	log        logState
	membership membership
	// clientCalls holds the calls that this instance's clients wait for.
	clientCalls clientCallTable

	submissions   *keeper.Table
	replication   replication
	fences        fenceTable
	taskQueue     *queuer.Queue
	placer        *placer.Placer
	pendingStarts []Start
	requests      requestTable

	// lastList is what the platform listed last; it outlives an incarnation.
	lastList Listed

	draining       bool
	drainCompleted bool
	lastScanAt     time.Time
	lastExpireAt   time.Time
}

// New returns an instance that knows nothing yet.
func New(s Settings, now time.Time) *Node {
	n := &Node{
		self:           s.Self,
		mode:           s.Mode,
		newIncarnation: s.Rename,
		rng:            rand.New(rand.NewPCG(s.Seed, s.Seed^0x9e3779b97f4a7c15)),
		now:            now,
		state:          viewer.New(),
		policy:         &policer.Policy{},
		clientCalls:    newClientCallTable(),
	}
	n.reset()
	n.membership.createdAt = now
	return n
}

// reset forgets all that belongs to one incarnation.
func (n *Node) reset() {
	n.submissions = keeper.New()
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

// Step takes what has happened and returns what is to be done. Time never
// goes back.
func (n *Node) Step(now time.Time, events []Event) []Action {
	n.detectPause(now)
	n.now = now
	for _, e := range events {
		n.handleEvent(e)
	}
	n.updateMembership()
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
	case Asked:
		n.handleClientCall(e)
	case HungUp:
		n.clientCalls.abandon(e.Call)
	case Received:
		n.handleMessage(e.From, e.Msg)
	case LinkUp:
		n.handleLinkUp(e.Member)
	case LinkDown:
		n.handleLinkDown(e.Incarnation)
	case LogRead:
		n.handleLogRead(e)
	case LogFailed:
		n.handleLogFailed()
	case Listed:
		n.handleList(e)
	case LeaseOpened:
		n.handleLeaseAnswered(e)
	case LeaseEnded:
		n.handleLeaseEnded(e)
	case StartAnswered:
		n.handleStartAnswered(e)
	case StartLost:
		n.handleStartUnanswered(e)
	case TasksEnded:
		n.handleTasksEnded(e)
	case Fenced:
		n.handleFenceAnswered(e)
	case FenceFailed:
		n.fences.markFailed(e.Fence)
	case SendAnswered:
		n.handleSendAnswered(e)
	case Drain:
		n.startDrain()
	}
}

func (n *Node) handleMessage(from namer.Incarnation, m *coder.Message) {
	if _, present := n.state.Member(from); !present && n.membership.departed[from] {
		n.logDecision(eventer.MessageBad, "", 0, string(from), "incarnation is gone")
		return
	}
	switch {
	case m.Beat != nil:
		n.handleHeartbeat(from, m.Beat)
	case m.Forward != nil:
		n.handleForward(from, m.Forward)
	case m.Outcome != nil:
		n.handleOutcome(from, m.Outcome)
	case m.Replicate != nil:
		n.handleReplicate(from, m.Replicate)
	case m.Ack != nil:
		n.handleAck(from, m.Ack)
	case m.Sync != nil:
		n.handleSync(from, m.Sync)
	case m.Records != nil:
		n.applyEntries(m.Records.Entries)
	}
}

func (n *Node) emit(a Action) { n.actions = append(n.actions, a) }

func (n *Node) sendMessage(to namer.Incarnation, m *coder.Message) {
	n.emit(SendPeer{To: to, Msg: m})
}

func (n *Node) logDecision(event eventer.Event, id namer.ID, index int, subject, reason string) {
	n.emit(Decision{Event: event, ID: id, Index: index, Where: subject, Reason: reason})
}

// scanTables does what needs a look at whole tables, at a slower pace.
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

// Member returns this instance as its peers know it.
func (n *Node) Member() coder.Member { return n.self }

// State returns what follows from the log. It must not be changed.
func (n *Node) State() *viewer.State { return n.state }

// Policy returns the policy in force. It must not be changed.
func (n *Node) Policy() *policer.Policy { return n.policy }

// Workers lists the workers as this instance sees them. They must not be
// changed.
func (n *Node) Workers() []*placer.Worker { return n.placer.All() }

// Minions lists the minions as this instance sees them. They must not be
// changed.
func (n *Node) Minions() []*router.Minion { return n.requests.router.All() }
