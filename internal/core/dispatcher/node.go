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
	beatEvery = 250 * time.Millisecond
	// remoteBeats is how many rounds of beats one goes to other domains; it tells
	// them what the log says, and nothing there waits for it.
	remoteBeats = 8
	// suspectAfter is how long a member may be silent.
	suspectAfter = 1500 * time.Millisecond
	// unheardAfter is how long a member may be silent before it is told so, and
	// how long it may say the same.
	unheardAfter = 750 * time.Millisecond
	// aloneAfter is how long all of several other members may be silent.
	aloneAfter = 3 * suspectAfter
	// pauseLimit is how long this process may stand still unnoticed.
	pauseLimit = time.Second
	// resendAfter is how long an answer of a peer or the log is waited for.
	resendAfter = 300 * time.Millisecond
	appendAgain = time.Second
	// logSilence is how long the log may not answer before it counts as down.
	logSilence = 2 * time.Second
	// forwardGrace is how long a call waits for an owner that does not answer
	// before its caller hears that the outcome is unknown.
	forwardGrace = 4 * time.Second
	// workerDead is how long a worker may not answer a fence before its tasks
	// count as lost.
	workerDead = 10 * time.Second
	// joinWait is how long a new instance waits for links to its domain's
	// members before it joins all the same.
	joinWait    = 2 * time.Second
	maxJoinWait = time.Minute
	scanEvery   = 50 * time.Millisecond
	expireEvery = time.Second
	// tailLength is how many records of the log are kept for peers.
	tailLength = 1024
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
	self   coder.Member
	mode   Mode
	rename func() namer.Incarnation
	rng    *rand.Rand
	now    time.Time
	out    []Action

	// state follows from the log; it is replaced, never edited, from outside.
	state  *viewer.State
	policy *policer.Policy
	// tail holds the newest records for peers that are behind.
	tail       []coder.Entry
	log        logState
	membership membership
	// entry holds the calls that this instance's clients wait for.
	entry entry

	table    *keeper.Table
	replica  replica
	fences   fences
	tasks    *queuer.Queue
	placer   *placer.Placer
	starts   []Start
	requests requests

	// list is what the platform listed last; it outlives an incarnation.
	list Listed

	draining bool
	left     bool
	lastScan time.Time
	lastTidy time.Time
}

// New returns an instance that knows nothing yet.
func New(s Settings, now time.Time) *Node {
	n := &Node{
		self:   s.Self,
		mode:   s.Mode,
		rename: s.Rename,
		rng:    rand.New(rand.NewPCG(s.Seed, s.Seed^0x9e3779b97f4a7c15)),
		now:    now,
		state:  viewer.New(),
		policy: &policer.Policy{},
		entry:  newEntry(),
	}
	n.reset()
	n.membership.born = now
	return n
}

// reset forgets all that belongs to one incarnation.
func (n *Node) reset() {
	n.table = keeper.New()
	n.replica = newReplica()
	n.fences = newFences()
	n.tasks = queuer.New()
	n.placer = placer.New(n.rng)
	n.starts = nil
	n.requests = newRequests(n.self.Incarnation, n.rng)
	wait := n.membership.joinWait
	n.membership = newMembership(n.now)
	n.membership.joinWait = wait
	n.applyWeights()
}

// Step takes what has happened and returns what is to be done. Time never
// goes back.
func (n *Node) Step(now time.Time, events []Event) []Action {
	n.notePause(now)
	n.now = now
	for _, e := range events {
		n.take(e)
	}
	n.runMembership()
	n.runFences()
	n.runScan()
	n.runEntry()
	n.runParked()
	n.runTasks()
	n.runRequests()
	n.runClaims()
	n.runDenials()
	n.runReplica()
	n.runStarts()
	out := n.out
	n.out = nil
	return out
}

func (n *Node) take(e Event) {
	switch e := e.(type) {
	case Asked:
		n.asked(e)
	case HungUp:
		n.entry.hangUp(e.Call)
	case Received:
		n.received(e.From, e.Msg)
	case LinkUp:
		n.linkUp(e.Member)
	case LinkDown:
		n.linkDown(e.Incarnation)
	case LogRead:
		n.logRead(e)
	case LogFailed:
		n.logFailed()
	case Listed:
		n.listed(e)
	case LeaseOpened:
		n.leaseOpened(e)
	case LeaseEnded:
		n.leaseEnded(e)
	case StartAnswered:
		n.startAnswered(e)
	case StartLost:
		n.startLost(e)
	case TasksEnded:
		n.tasksEnded(e)
	case Fenced:
		n.fenced(e)
	case FenceFailed:
		n.fences.failed(e.Fence)
	case SendAnswered:
		n.sendAnswered(e)
	case Drain:
		n.drain()
	}
}

func (n *Node) received(from namer.Incarnation, m *coder.Message) {
	if _, present := n.state.Member(from); !present && n.membership.gone[from] {
		n.decide(eventer.MessageBad, "", 0, string(from), "incarnation is gone")
		return
	}
	switch {
	case m.Beat != nil:
		n.beat(from, m.Beat)
	case m.Forward != nil:
		n.forwarded(from, m.Forward)
	case m.Outcome != nil:
		n.outcome(from, m.Outcome)
	case m.Replicate != nil:
		n.replicate(from, m.Replicate)
	case m.Ack != nil:
		n.acked(from, m.Ack)
	case m.Sync != nil:
		n.sync(from, m.Sync)
	case m.Records != nil:
		n.learnRecords(m.Records.Entries)
	}
}

func (n *Node) do(a Action) { n.out = append(n.out, a) }

func (n *Node) send(to namer.Incarnation, m *coder.Message) {
	n.do(SendPeer{To: to, Msg: m})
}

func (n *Node) decide(e eventer.Event, id namer.ID, index int, where, reason string) {
	n.do(Decision{Event: e, ID: id, Index: index, Where: where, Reason: reason})
}

// runScan does what needs a look at whole tables, at a slower pace.
func (n *Node) runScan() {
	if n.now.Sub(n.lastScan) < scanEvery {
		return
	}
	n.lastScan = n.now
	n.scanDeadlines()
	n.scanCalls()
	n.scanLeases()
	if n.now.Sub(n.lastTidy) >= expireEvery {
		n.lastTidy = n.now
		n.table.Expire(n.now)
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
