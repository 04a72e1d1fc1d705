package dispatcher

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heatherslip/heatherslip/internal/bench/sequencer"
	"github.com/heatherslip/heatherslip/internal/config/generator"
	"github.com/heatherslip/heatherslip/internal/config/policyparser"
	"github.com/heatherslip/heatherslip/internal/core/placer"
	"github.com/heatherslip/heatherslip/internal/standin/emulator"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/describer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

const (
	simDomain       = namer.Domain("radom")
	simLinkDelay    = 500 * time.Microsecond
	simAppendDelay  = 5 * time.Millisecond
	simTickInterval = 20 * time.Millisecond
	simPollInterval = 20 * time.Millisecond
	simStartTimeout = 2 * time.Second
	// simDeadline is the deadline of all work relative to its creation, and
	// simLateCallTimeout how long a call after that may wait for its answer.
	simDeadline        = 12 * time.Second
	simLateCallTimeout = 7 * time.Second
)

// sim runs several nodes, a log, workers and minions in virtual time.
type sim struct {
	t     *testing.T
	rng   *rand.Rand
	now   time.Time
	queue sequencer.EventQueue

	log     *emulator.Log
	nodes   []*simNode
	workers []*emulator.Worker
	mode    Mode

	// brokenLinks holds the one-way links, as pairs of node indexes, on which
	// all messages are lost.
	brokenLinks map[[2]int]bool
	// lossRate and duplicateRate are the probabilities that a peer message is
	// lost or duplicated.
	lossRate, duplicateRate float64
	// loseRequestAnswers and refuseRequests make minions lose answers or refuse
	// requests.
	loseRequestAnswers, refuseRequests bool
	// deadMinions makes minions neither run requests nor answer them.
	deadMinions bool
	// loseAppends drops appends to the log, and loseStartAnswers the workers'
	// answers to starts.
	loseAppends, loseStartAnswers bool
	// crashingTask crashes each worker that starts it; it is nil if there is none.
	crashingTask *namer.Task
	// fencesBlockedFrom is one plus the index of the node whose fences do not
	// reach the workers; zero for none.
	fencesBlockedFrom int
	// startDelay delays starts on their way to the workers.
	startDelay time.Duration

	startCounts      map[namer.Task]int
	requestRunCounts map[namer.ID]int
	calls            []*simCall
	// messageCount counts peer messages, and appendCount appends to the log.
	messageCount, appendCount int
	// onStep is called at each step in the processing of a submission.
	onStep func(step string, node int)
}

// simNode is one instance, which keeps its index when its process restarts.
type simNode struct {
	index            int
	core             *Node
	incarnation      namer.Incarnation
	incarnationCount int
	killed           bool
	paused           bool
	// everPaused is set once the node has been paused.
	everPaused     bool
	logUnreachable bool
	drained        bool
	// heldEvents are the events that arrived during a pause.
	heldEvents []Event
}

// simCall is one call of a client, with its answers.
type simCall struct {
	entryIndex int
	op         coder.Op
	work       coder.Work
	calledAt   time.Time
	answers    []coder.Answer
	answeredAt []time.Time
	// startsAtAnswer is how often the submission's tasks had started when the
	// answer came.
	startsAtAnswer int
	abandoned      bool
}

func newSim(t *testing.T, nodes int, seed uint64, mode Mode) *sim {
	t.Helper()
	s := &sim{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), mode: mode,
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		log: emulator.NewLog(), brokenLinks: make(map[[2]int]bool),
		startCounts: make(map[namer.Task]int), requestRunCounts: make(map[namer.ID]int),
	}
	for i := range 4 {
		s.workers = append(s.workers, emulator.NewWorker(fmt.Sprintf("w%d", i), string(simDomain), "r", describer.Room{Cores: 8000, Memory: 8000}))
	}
	s.publishConfig()
	for range nodes {
		s.addNode()
	}
	s.schedule(0, s.advanceWorkers)
	s.advanceTime(8 * time.Second)
	for _, n := range s.nodes {
		must.True(t, n.core.canOwnKeys(), must.Sprint("the node cannot own keys after the start"))
	}
	return s
}

func (s *sim) publishConfig() {
	answers, err := generator.ParseAnswers(simQuestionnaire)
	must.NoError(s.t, err)
	text := generator.FormatConfig(generator.GenerateConfig(answers))
	_, err = policyparser.Parse(text)
	must.NoError(s.t, err)
	s.appendRecord(coder.Record{Revise: &coder.Revise{Nonce: "first", ConfigText: text, InitialDomains: []namer.Domain{simDomain}, At: s.now}})
}

const simQuestionnaire = `[trade]
name = sim
domains = radom
services = desk
largest = 730
resubmit = 60s
clocks = 1s
[caller team]
digest = 0000000000000000000000000000000000000000000000000000000000000000
operator = yes
at_once = 0
[work word]
patience = 20s
late = none
lost = none
doubled = none
`

func (s *sim) addNode() *simNode {
	i := len(s.nodes)
	n := &simNode{index: i}
	s.nodes = append(s.nodes, n)
	s.startNode(n)
	return n
}

// startNode starts a node, or restarts it as a new process with a new
// incarnation.
func (s *sim) startNode(n *simNode) {
	newIncarnation := func() namer.Incarnation {
		n.incarnationCount++
		n.incarnation = namer.Incarnation(fmt.Sprintf("n%d.%d", n.index, n.incarnationCount))
		return n.incarnation
	}
	n.killed, n.paused, n.drained, n.heldEvents = false, false, false, nil
	n.core = New(Settings{
		Self: coder.Member{Incarnation: newIncarnation(), Domain: simDomain, PeerAddress: fmt.Sprint(n.index)},
		Mode: s.mode, NewIncarnation: newIncarnation, Seed: uint64(n.incarnationCount*100 + n.index),
	}, s.now)
	core := n.core
	s.schedule(simTickInterval, func() { s.tickNode(n, core) })
	s.schedule(2*simTickInterval, func() { s.deliverList(n, core) })
	s.schedule(0, func() { s.pollLog(n, core) })
	s.linkToAll(n)
}

func (s *sim) linkToAll(n *simNode) {
	for _, other := range s.nodes {
		if other != n && other.core != nil && !other.killed {
			s.linkNodes(n, other)
			s.linkNodes(other, n)
		}
	}
}

// linkNodes reports to one node that it can send to the current incarnation of
// another.
func (s *sim) linkNodes(from, to *simNode) {
	member := coder.Member{Incarnation: to.incarnation, Domain: simDomain, PeerAddress: fmt.Sprint(to.index)}
	s.schedule(simLinkDelay, func() { s.deliverEvent(from, LinkUp{Member: member}) })
}

func (s *sim) schedule(delay time.Duration, f func()) {
	s.queue.ScheduleAt(s.now.Add(delay), f)
}

func (s *sim) advanceTime(duration time.Duration) {
	end := s.now.Add(duration)
	for at, run, found := s.queue.PopDue(end); found; at, run, found = s.queue.PopDue(end) {
		s.now = at
		run()
	}
	s.now = end
}

// advanceWorkers advances the workers to the current time.
func (s *sim) advanceWorkers() {
	for _, w := range s.workers {
		w.AdvanceTo(s.now)
	}
	s.schedule(simTickInterval, s.advanceWorkers)
}

func (s *sim) tickNode(n *simNode, core *Node) {
	if n.core != core || n.killed {
		return
	}
	if !n.paused {
		s.stepNode(n, nil)
	}
	s.schedule(simTickInterval, func() { s.tickNode(n, core) })
}

func (s *sim) deliverList(n *simNode, core *Node) {
	if n.core != core || n.killed {
		return
	}
	e := ListUpdated{}
	for _, w := range s.workers {
		e.Workers = append(e.Workers, WorkerInfo{
			Name: namer.Worker(w.Name), Domain: simDomain, Rack: w.Rack,
			Capacity: placer.Resources{Cores: namer.MilliCores(w.Capacity.Cores), Memory: namer.Megabytes(w.Capacity.Memory)},
		})
	}
	for i := range 2 {
		e.Minions = append(e.Minions, MinionInfo{Name: namer.Minion(fmt.Sprintf("m%d", i)), Service: "desk", Domain: simDomain, Slots: 4})
	}
	s.deliverEvent(n, e)
	s.schedule(250*time.Millisecond, func() { s.deliverList(n, core) })
}

func (s *sim) deliverEvent(n *simNode, e Event) {
	switch {
	case n.killed:
	case n.paused:
		n.heldEvents = append(n.heldEvents, e)
	default:
		s.stepNode(n, []Event{e})
	}
}

func (s *sim) stepNode(n *simNode, events []Event) {
	core := n.core
	for _, a := range core.Step(s.now, events) {
		// A kill or a pause in the middle of a step loses the actions that are
		// not yet performed, or delays them.
		if n.killed || n.paused || n.core != core {
			if n.paused {
				s.performAfterPause(n, core, a)
			}
			continue
		}
		s.performAction(n, core, a)
	}
}

// performAfterPause performs an action once the paused process continues.
func (s *sim) performAfterPause(n *simNode, core *Node, a Action) {
	s.schedule(simTickInterval, func() {
		switch {
		case n.killed || n.core != core:
		case n.paused:
			s.performAfterPause(n, core, a)
		default:
			s.performAction(n, core, a)
		}
	})
}

func (s *sim) pollLog(n *simNode, core *Node) {
	if n.core != core || n.killed {
		return
	}
	s.schedule(100*time.Millisecond, func() { s.pollLog(n, core) })
	if n.paused {
		return
	}
	if s.log.Faults.Unavailable || n.logUnreachable {
		s.deliverEvent(n, LogFailed{})
		return
	}
	s.readLogNow(n, core)
}

func (s *sim) readLogNow(n *simNode, core *Node) {
	startedAt := s.now
	entries, err := s.log.Read(s.now, uint64(core.state.AppliedOffset)+1)
	if err != nil {
		return
	}
	e := LogRead{StartedAt: startedAt}
	for _, raw := range entries {
		rec, err := coder.DecodeRecord(raw.Data)
		must.NoError(s.t, err)
		e.Entries = append(e.Entries, coder.LogEntry{Offset: namer.Offset(raw.Offset), Record: *rec})
	}
	s.schedule(simLinkDelay, func() {
		if n.core == core {
			s.deliverEvent(n, e)
		}
	})
}

func (s *sim) appendRecord(rec coder.Record) {
	b, err := coder.EncodeRecord(&rec)
	must.NoError(s.t, err)
	s.appendCount++
	if _, err := s.log.Append(s.now, [][]byte{b}); err != nil {
		return
	}
	for _, n := range s.nodes {
		if !n.killed && !n.logUnreachable && !n.paused {
			s.readLogNow(n, n.core)
		}
	}
}

func (s *sim) reportStep(step string, n *simNode) {
	if s.onStep != nil {
		s.onStep(step, n.index)
	}
}

func (s *sim) performAction(n *simNode, core *Node, a Action) {
	switch a := a.(type) {
	case Reply:
		s.reportStep("reply", n)
		s.recordAnswer(n, a)
	case SendMessage:
		s.sendMessage(n, a)
	case AppendRecord:
		s.reportStep("append", n)
		rec := a.Record
		s.schedule(simAppendDelay, func() {
			if !n.logUnreachable && !s.loseAppends {
				s.appendRecord(rec)
			}
		})
	case ReadLog:
		if !s.log.Faults.Unavailable && !n.logUnreachable {
			s.readLogNow(n, core)
		}
	case AcquireLease:
		s.schedule(2*simLinkDelay, func() { s.answerLease(n, core, a) })
	case StartTasks:
		s.reportStep("start", n)
		s.schedule(simLinkDelay+s.startDelay, func() { s.answerStart(n, core, a) })
	case FenceLeases:
		s.schedule(simLinkDelay, func() { s.answerFence(n, core, a) })
	case AdoptTasks:
		s.schedule(simLinkDelay, func() { s.answerAdopt(n, core, a) })
	case StopTasks:
		s.schedule(simLinkDelay, func() {
			if w := s.findWorker(a.Worker); !w.Faults.Unreachable {
				w.StopTasks(s.now, keysOf(a.Tasks))
			}
		})
	case SendRequest:
		s.reportStep("send", n)
		s.schedule(simLinkDelay, func() { s.answerRequest(n, core, a) })
	case SwitchIncarnation:
		s.linkToAll(n)
	case DrainCompleted:
		n.drained = true
	case ConfigChanged, Decision:
	}
}

func (s *sim) recordAnswer(n *simNode, a Reply) {
	c := s.calls[a.Call]
	if n.index != c.entryIndex || c.abandoned {
		return
	}
	c.answers = append(c.answers, a.Answer)
	c.answeredAt = append(c.answeredAt, s.now)
	c.startsAtAnswer = s.startCountOf(c.work.Submission.ID())
}

// startCountOf returns how often the tasks of a submission have started.
func (s *sim) startCountOf(id namer.ID) int {
	total := s.requestRunCounts[id]
	for task, count := range s.startCounts {
		if task.ID == id {
			total += count
		}
	}
	return total
}

// messageStep returns the step that a message belongs to, or "" for messages
// that belong to no submission.
func messageStep(m *coder.Message) string {
	switch {
	case m.ForwardRequest != nil:
		return "forward"
	case m.ForwardResponse != nil:
		return "forward response"
	case m.Ack != nil:
		return "ack"
	case m.Replicate != nil:
		for _, u := range m.Replicate.Updates {
			if u.FinalAnswer != nil {
				return "final answer"
			}
		}
		return "replicate"
	}
	return ""
}

func (s *sim) sendMessage(n *simNode, a SendMessage) {
	step := messageStep(a.Message)
	if step != "" {
		s.reportStep(step, n)
	}
	s.messageCount++
	b, err := coder.EncodeMessage(a.Message)
	must.NoError(s.t, err)
	from := n.incarnation
	copies := 1
	if s.rng.Float64() < s.duplicateRate {
		copies = 2
	}
	for range copies {
		if s.rng.Float64() < s.lossRate {
			continue
		}
		delay := simLinkDelay + time.Duration(s.rng.Int64N(int64(simLinkDelay)))
		s.schedule(delay, func() { s.deliverMessage(n.index, from, a.To, b, step) })
	}
}

func (s *sim) deliverMessage(fromIndex int, from, to namer.Incarnation, b []byte, step string) {
	for _, receiver := range s.nodes {
		if receiver.incarnation != to || receiver.killed || s.brokenLinks[[2]int{fromIndex, receiver.index}] {
			continue
		}
		m, err := coder.DecodeMessage(b)
		must.NoError(s.t, err)
		if step != "" {
			s.reportStep(step+" arrives", receiver)
		}
		s.deliverEvent(receiver, MessageReceived{From: from, Message: m})
	}
}

func (s *sim) findWorker(name namer.Worker) *emulator.Worker {
	for _, w := range s.workers {
		if w.Name == string(name) {
			return w
		}
	}
	s.t.Fatalf("no worker %s", name)
	return nil
}

func freeResources(w *emulator.Worker) placer.Resources {
	free := w.FreeCapacity()
	return placer.Resources{Cores: namer.MilliCores(free.Cores), Memory: namer.Megabytes(free.Memory)}
}

func (s *sim) answerLease(n *simNode, core *Node, a AcquireLease) {
	w := s.findWorker(a.Worker)
	if w.Faults.Unreachable {
		s.deliverEvent(n, LeaseAnswered{Worker: a.Worker})
		return
	}
	lease := w.GrantLease(s.now, string(core.self.Incarnation))
	s.deliverEvent(n, LeaseAnswered{Worker: a.Worker, Lease: namer.Lease(lease), Free: freeResources(w)})
	s.pollLease(n, core, w, lease, 0, s.now)
}

// pollLease reports the tasks that end under a lease, as the daemon's long poll
// does.
func (s *sim) pollLease(n *simNode, core *Node, w *emulator.Worker, lease string, after int, renewed time.Time) {
	holder := core.self.Incarnation
	s.schedule(simPollInterval, func() {
		switch {
		case n.killed || n.core != core || holder != core.self.Incarnation:
			return
		case n.paused:
			s.pollLease(n, core, w, lease, after, renewed)
			return
		case w.Faults.Unreachable && s.now.Sub(renewed) > emulator.LeaseTTL:
			s.deliverEvent(n, LeaseEnded{Worker: namer.Worker(w.Name), Lease: namer.Lease(lease)})
			return
		case w.Faults.Unreachable:
			s.pollLease(n, core, w, lease, after, renewed)
			return
		}
		ends, valid := w.CollectResults(s.now, lease, after)
		if !valid {
			s.deliverEvent(n, LeaseEnded{Worker: namer.Worker(w.Name), Lease: namer.Lease(lease)})
			return
		}
		if len(ends) > 0 {
			s.reportStep("task end", n)
			e := TasksEnded{Worker: namer.Worker(w.Name), Lease: namer.Lease(lease), Free: freeResources(w)}
			for _, end := range ends {
				e.Results = append(e.Results, TaskResult{Task: taskOf(end.TaskKey), OK: end.OK, Output: end.Output, RunTime: time.Duration(end.RunTimeMillis) * time.Millisecond})
			}
			s.deliverEvent(n, e)
		}
		s.pollLease(n, core, w, lease, after+len(ends), s.now)
	})
}

func taskOf(k describer.TaskKey) namer.Task {
	return namer.Task{ID: namer.ID(k.ID), Index: k.Index}
}

func keysOf(tasks []namer.Task) []describer.TaskKey {
	out := make([]describer.TaskKey, len(tasks))
	for i, t := range tasks {
		out[i] = describer.TaskKey{ID: string(t.ID), Index: t.Index}
	}
	return out
}

func (s *sim) answerStart(n *simNode, core *Node, a StartTasks) {
	w := s.findWorker(a.Worker)
	noResponse := StartNoResponse{Worker: a.Worker, Lease: a.Lease}
	body := make([]describer.StartOne, len(a.Tasks))
	for i, start := range a.Tasks {
		noResponse.Tasks = append(noResponse.Tasks, start.Task)
		body[i] = describer.StartOne{
			TaskKey: describer.TaskKey{ID: string(start.Task.ID), Index: start.Task.Index},
			Room:    describer.Room{Cores: int(start.Spec.Cores), Memory: int(start.Spec.Memory)}, Payload: start.Spec.Payload,
		}
	}
	if w.Faults.Unreachable {
		s.schedule(simStartTimeout, func() { s.deliverToCore(n, core, noResponse) })
		return
	}
	s.reportStep("start arrives", n)
	if s.crashingTask != nil && slices.Contains(noResponse.Tasks, *s.crashingTask) {
		s.startCounts[*s.crashingTask]++
		w.Restart()
		s.schedule(simLinkDelay, func() { s.deliverToCore(n, core, noResponse) })
		return
	}
	e := StartAnswered{Worker: a.Worker, Lease: a.Lease}
	for i, result := range w.StartTasks(s.now, string(a.Lease), body) {
		status := StartLeaseExpired
		switch result {
		case describer.StartAccepted:
			status = StartAccepted
			s.startCounts[a.Tasks[i].Task]++
		case describer.StartNoCapacity:
			status = StartNoCapacity
		case describer.StartLeaseExpired:
		}
		e.Results = append(e.Results, StartResult{Task: a.Tasks[i].Task, Status: status})
	}
	e.Free = freeResources(w)
	if s.loseStartAnswers {
		s.schedule(simStartTimeout, func() { s.deliverToCore(n, core, noResponse) })
		return
	}
	s.schedule(simLinkDelay, func() {
		s.reportStep("start answered", n)
		s.deliverToCore(n, core, e)
	})
}

// deliverToCore delivers an event unless the node's process has been restarted.
func (s *sim) deliverToCore(n *simNode, core *Node, e Event) {
	if n.core == core {
		s.deliverEvent(n, e)
	}
}

func (s *sim) answerFence(n *simNode, core *Node, a FenceLeases) {
	w := s.findWorker(a.Worker)
	if w.Faults.Unreachable || s.fencesBlockedFrom == n.index+1 {
		s.schedule(100*simLinkDelay, func() { s.deliverToCore(n, core, FenceFailed{FenceID: a.FenceID}) })
		return
	}
	e := FenceAnswered{FenceID: a.FenceID, LeaseUnknown: a.Lease != "" && !w.KnowsLease(string(a.Lease))}
	for _, state := range w.FenceLeases(s.now, string(a.Holder), string(a.Lease), keysOf(a.Tasks)) {
		e.Tasks = append(e.Tasks, FencedTask{
			Task: taskOf(state.TaskKey), Started: state.Started, Running: state.Running, Killed: state.Killed, OK: state.OK, Output: state.Output,
		})
	}
	s.schedule(simLinkDelay, func() { s.deliverToCore(n, core, e) })
}

func (s *sim) answerAdopt(n *simNode, core *Node, a AdoptTasks) {
	w := s.findWorker(a.Worker)
	if w.Faults.Unreachable || !w.AdoptTasks(s.now, string(a.Lease), keysOf(a.Tasks)) {
		s.deliverToCore(n, core, LeaseEnded{Worker: a.Worker, Lease: a.Lease})
	}
}

func (s *sim) answerRequest(n *simNode, core *Node, a SendRequest) {
	e := SendAnswered{SendID: a.SendID, Output: "ok"}
	if s.refuseRequests {
		e.Status = SendRefused
		s.schedule(simLinkDelay, func() { s.deliverToCore(n, core, e) })
		return
	}
	s.reportStep("send arrives", n)
	if !s.deadMinions && !a.Work.Repeatable {
		s.requestRunCounts[a.ID]++
	}
	if s.loseRequestAnswers || s.deadMinions {
		e.Status = SendNoResponse
	}
	s.schedule(50*time.Millisecond, func() {
		s.reportStep("send answered", n)
		s.deliverToCore(n, core, e)
	})
}

// Fault injection.

func (s *sim) killNode(i int) {
	n := s.nodes[i]
	if n.killed {
		return
	}
	n.killed = true
	for _, c := range s.calls {
		c.abandoned = c.abandoned || (c.entryIndex == i && len(c.answers) == 0)
	}
	for _, other := range s.nodes {
		if other != n {
			inc := n.incarnation
			s.schedule(simLinkDelay, func() { s.deliverEvent(other, LinkDown{Incarnation: inc}) })
		}
	}
}

func (s *sim) restartNode(i int) {
	s.killNode(i)
	s.startNode(s.nodes[i])
}

func (s *sim) pauseNode(i int, duration time.Duration) {
	n := s.nodes[i]
	if n.killed || n.paused {
		return
	}
	n.paused, n.everPaused = true, true
	core := n.core
	s.schedule(duration, func() {
		if n.core != core || n.killed {
			return
		}
		n.paused = false
		heldEvents := n.heldEvents
		n.heldEvents = nil
		s.stepNode(n, heldEvents)
	})
}

// Client calls and invariants.

func (s *sim) newWork(key namer.Key, tasks int, request bool) coder.Work {
	w := coder.Work{
		Submission: namer.Submission{Team: "team", Key: key}, Kind: "word",
		Deadline: s.now.Add(simDeadline),
	}
	if request {
		w.Service = "desk"
	}
	for range tasks {
		w.Tasks = append(w.Tasks, coder.TaskSpec{Cores: 1000, Memory: 100, RunTimeMillis: 50, Payload: "run=50ms"})
	}
	return w
}

func (s *sim) makeCall(entryIndex int, op coder.Op, w coder.Work) *simCall {
	c := &simCall{entryIndex: entryIndex, op: op, work: w, calledAt: s.now}
	c.abandoned = s.nodes[entryIndex].killed
	id := namer.CallID(len(s.calls))
	s.calls = append(s.calls, c)
	s.reportStep("call", s.nodes[entryIndex])
	s.deliverEvent(s.nodes[entryIndex], CallReceived{Call: id, Op: op, Work: w, WaitForResult: true})
	return c
}

// ownerAndSuccessorOf returns the indexes of the nodes that are the owner and
// the successor of a submission, or -1.
func (s *sim) ownerAndSuccessorOf(sub namer.Submission) (owner, successor int) {
	owner, successor = -1, -1
	for _, n := range s.nodes {
		if n.killed || n.paused {
			continue
		}
		ownerInc, successorInc := n.core.state.OwnerAndSuccessor(sub)
		for i, m := range s.nodes {
			if m.incarnation == ownerInc {
				owner = i
			}
			if m.incarnation == successorInc {
				successor = i
			}
		}
		return owner, successor
	}
	return owner, successor
}

// checkInvariants checks that no task or request was run twice, and checks the
// answers to all calls.
func (s *sim) checkInvariants() {
	s.t.Helper()
	for task, count := range s.startCounts {
		must.LessEq(s.t, 1, count, must.Sprintf("task %v was started %d times", task, count))
	}
	for id, count := range s.requestRunCounts {
		must.LessEq(s.t, 1, count, must.Sprintf("request %s ran %d times", id, count))
	}
	finals := make(map[namer.ID]coder.Answer)
	for _, c := range s.calls {
		s.checkCall(c, finals)
	}
}

func (s *sim) checkCall(c *simCall, finals map[namer.ID]coder.Answer) {
	s.t.Helper()
	id := c.work.Submission.ID()
	if c.abandoned {
		return
	}
	must.Len(s.t, 1, c.answers, must.Sprintf("call at node %d for %s must have exactly one answer", c.entryIndex, c.work.Submission.Key))
	a := c.answers[0]
	limit := c.work.Deadline.Add(time.Second)
	if lateCallLimit := c.calledAt.Add(simLateCallTimeout); lateCallLimit.After(limit) {
		limit = lateCallLimit
	}
	must.False(s.t, c.answeredAt[0].After(limit) && !s.nodes[c.entryIndex].everPaused, must.Sprintf("answer came %v after the deadline: %+v", c.answeredAt[0].Sub(c.work.Deadline), a))
	if a.Ran == coder.RanNo && a.Code != coder.CodeConflict && c.op == coder.OpSubmit {
		must.Eq(s.t, 0, c.startsAtAnswer, must.Sprintf("%s had run, but the answer says that it had not: %+v", c.work.Submission.Key, a))
	}
	if !a.Status.IsTerminal() {
		return
	}
	if first, found := finals[id]; found {
		must.Eq(s.t, first, a, must.Sprint("two callers got different terminal answers"))
	}
	finals[id] = a
	s.checkFinalAnswer(id, a, c)
}

func (s *sim) checkFinalAnswer(id namer.ID, a coder.Answer, c *simCall) {
	s.t.Helper()
	if c.op == coder.OpSubmit {
		must.Len(s.t, len(c.work.Tasks), a.Tasks, must.Sprint("a terminal answer must list every task"))
	}
	for _, o := range a.Tasks {
		runCount := s.startCounts[namer.Task{ID: id, Index: o.Index}] + s.requestRunCounts[id]
		if o.Ran == coder.RanNo {
			must.Eq(s.t, 0, runCount, must.Sprintf("task %d is reported as not run", o.Index))
		}
		if o.Ran == coder.RanYes {
			must.Eq(s.t, 1, runCount, must.Sprintf("task %d is reported as run", o.Index))
		}
		if a.Status == coder.StatusDone {
			must.True(s.t, o.OK, must.Sprint("every task of a done job must be done"))
		}
	}
}
