package dispatcher

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heatherslip/heatherslip/internal/bench/sequencer"
	"github.com/heatherslip/heatherslip/internal/config/generator"
	"github.com/heatherslip/heatherslip/internal/config/policer"
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
	simDomain  = namer.Domain("radom")
	simHop     = 500 * time.Microsecond
	simAppend  = 5 * time.Millisecond
	simTick    = 20 * time.Millisecond
	simPoll    = 20 * time.Millisecond
	simTimeout = 2 * time.Second
	// simDeadline is the deadline of all work, and simPatience how long after
	// it a late question may wait.
	simDeadline = 12 * time.Second
	simPatience = 7 * time.Second
)

// sim runs several nodes, a log, workers and minions in virtual time.
type sim struct {
	t     *testing.T
	rng   *rand.Rand
	now   time.Time
	queue sequencer.Sequencer

	log     *emulator.Log
	nodes   []*simNode
	workers []*emulator.Worker
	mode    Mode

	// cut holds the one-way links that lose everything.
	cut map[[2]int]bool
	// loss and double are the chances that a peer message is lost or doubled.
	loss, double float64
	// loseSend and refuseSend make minions lose answers or refuse.
	loseSend, refuseSend bool
	deadMinions          bool
	// loseAppends drops appends, and loseStart the answers of starts.
	loseAppends, loseStart bool
	// noFence is the node whose fences do not reach the workers, plus one.
	noFence int
	// delayStart holds starts back on their way.
	delayStart time.Duration

	starts map[namer.Task]int
	runs   map[namer.ID]int
	calls  []*simCall
	// sent counts peer messages, and appends the appends.
	sent, appends int
	// hook is called at each step of a submission's life.
	hook func(step string, node int)
}

type simNode struct {
	index  int
	node   *Node
	inc    namer.Incarnation
	names  int
	dead   bool
	frozen bool
	// paused is set once the node has ever been frozen.
	paused bool
	noLog  bool
	left   bool
	inbox  []Event
}

// simCall is one call of a client, with its answers.
type simCall struct {
	at      int
	op      coder.Op
	work    coder.Work
	asked   time.Time
	answers []coder.Answer
	when    []time.Time
	// startsThen is how often the submission's tasks had started at the answer.
	startsThen int
	gone       bool
}

func newSim(t *testing.T, nodes int, seed uint64, mode Mode) *sim {
	t.Helper()
	s := &sim{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), mode: mode,
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		log: emulator.NewLog(), cut: make(map[[2]int]bool),
		starts: make(map[namer.Task]int), runs: make(map[namer.ID]int),
	}
	for i := range 4 {
		s.workers = append(s.workers, emulator.NewWorker(fmt.Sprintf("w%d", i), string(simDomain), "r", describer.Room{Cores: 8000, Memory: 8000}))
	}
	s.publish()
	for range nodes {
		s.addNode()
	}
	s.after(0, s.pump)
	s.run(8 * time.Second)
	for _, n := range s.nodes {
		must.True(t, n.node.canOwnKeys(), must.Sprint("node is not complete after the start"))
	}
	return s
}

func (s *sim) publish() {
	answers, err := generator.Read(simQuestionnaire)
	must.NoError(s.t, err)
	text := generator.Text(generator.Generate(answers))
	_, err = policer.Parse(text)
	must.NoError(s.t, err)
	s.append(coder.Record{Revise: &coder.Revise{Nonce: "first", Text: text, Domains: []namer.Domain{simDomain}, At: s.now}})
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
	s.boot(n)
	return n
}

// boot starts a node, or starts it again as a new process.
func (s *sim) boot(n *simNode) {
	name := func() namer.Incarnation {
		n.names++
		n.inc = namer.Incarnation(fmt.Sprintf("n%d.%d", n.index, n.names))
		return n.inc
	}
	n.dead, n.frozen, n.left, n.inbox = false, false, false, nil
	n.node = New(Settings{
		Self: coder.Member{Incarnation: name(), Domain: simDomain, Peer: fmt.Sprint(n.index)},
		Mode: s.mode, Rename: name, Seed: uint64(n.names*100 + n.index),
	}, s.now)
	core := n.node
	s.after(simTick, func() { s.tick(n, core) })
	s.after(2*simTick, func() { s.list(n, core) })
	s.after(0, func() { s.readLog(n, core) })
	s.linkAll(n)
}

func (s *sim) linkAll(n *simNode) {
	for _, o := range s.nodes {
		if o != n && o.node != nil && !o.dead {
			s.link(n, o)
			s.link(o, n)
		}
	}
}

// link has from learn that it can send to to, under to's present name.
func (s *sim) link(from, to *simNode) {
	member := coder.Member{Incarnation: to.inc, Domain: simDomain, Peer: fmt.Sprint(to.index)}
	s.after(simHop, func() { s.deliver(from, LinkUp{Member: member}) })
}

func (s *sim) after(d time.Duration, f func()) {
	s.queue.Add(s.now.Add(d), f)
}

func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for at, do, found := s.queue.Next(end); found; at, do, found = s.queue.Next(end) {
		s.now = at
		do()
	}
	s.now = end
}

// pump advances the workers.
func (s *sim) pump() {
	for _, w := range s.workers {
		w.Advance(s.now)
	}
	s.after(simTick, s.pump)
}

func (s *sim) tick(n *simNode, core *Node) {
	if n.node != core || n.dead {
		return
	}
	if !n.frozen {
		s.step(n, nil)
	}
	s.after(simTick, func() { s.tick(n, core) })
}

func (s *sim) list(n *simNode, core *Node) {
	if n.node != core || n.dead {
		return
	}
	e := Listed{}
	for _, w := range s.workers {
		e.Workers = append(e.Workers, ListedWorker{
			Name: namer.Worker(w.Name), Domain: simDomain, Rack: w.Rack,
			Total: placer.Size{Cores: namer.MilliCores(w.Total.Cores), Memory: namer.Megabytes(w.Total.Memory)},
		})
	}
	for i := range 2 {
		e.Minions = append(e.Minions, ListedMinion{Name: namer.Minion(fmt.Sprintf("m%d", i)), Service: "desk", Domain: simDomain, Slots: 4})
	}
	s.deliver(n, e)
	s.after(250*time.Millisecond, func() { s.list(n, core) })
}

func (s *sim) deliver(n *simNode, e Event) {
	switch {
	case n.dead:
	case n.frozen:
		n.inbox = append(n.inbox, e)
	default:
		s.step(n, []Event{e})
	}
}

func (s *sim) step(n *simNode, events []Event) {
	core := n.node
	for _, a := range core.Step(s.now, events) {
		if n.dead || n.frozen || n.node != core {
			// A kill or a freeze in the midst of a step loses what is not yet
			// sent, or holds it back.
			if n.frozen {
				s.hold(n, core, a)
			}
			continue
		}
		s.perform(n, core, a)
	}
}

// hold performs an action when the frozen process goes on.
func (s *sim) hold(n *simNode, core *Node, a Action) {
	s.after(simTick, func() {
		switch {
		case n.dead || n.node != core:
		case n.frozen:
			s.hold(n, core, a)
		default:
			s.perform(n, core, a)
		}
	})
}

func (s *sim) readLog(n *simNode, core *Node) {
	if n.node != core || n.dead {
		return
	}
	s.after(100*time.Millisecond, func() { s.readLog(n, core) })
	if n.frozen {
		return
	}
	if s.log.Faults.Down || n.noLog {
		s.deliver(n, LogFailed{})
		return
	}
	s.readNow(n, core)
}

func (s *sim) readNow(n *simNode, core *Node) {
	asked := s.now
	entries, err := s.log.Read(s.now, uint64(core.state.Offset)+1)
	if err != nil {
		return
	}
	e := LogRead{Asked: asked}
	for _, raw := range entries {
		rec, err := coder.DecodeRecord(raw.Data)
		must.NoError(s.t, err)
		e.Entries = append(e.Entries, coder.Entry{Offset: namer.Offset(raw.Offset), Record: *rec})
	}
	s.after(simHop, func() {
		if n.node == core {
			s.deliver(n, e)
		}
	})
}

func (s *sim) append(rec coder.Record) {
	b, err := coder.EncodeRecord(&rec)
	must.NoError(s.t, err)
	s.appends++
	if _, err := s.log.Append(s.now, [][]byte{b}); err != nil {
		return
	}
	for _, n := range s.nodes {
		if !n.dead && !n.noLog && !n.frozen {
			s.readNow(n, n.node)
		}
	}
}

func (s *sim) note(step string, n *simNode) {
	if s.hook != nil {
		s.hook(step, n.index)
	}
}

func (s *sim) perform(n *simNode, core *Node, a Action) {
	switch a := a.(type) {
	case Reply:
		s.note("reply", n)
		s.reply(n, a)
	case SendPeer:
		s.sendPeer(n, a)
	case Append:
		s.note("append", n)
		rec := a.Record
		s.after(simAppend, func() {
			if !n.noLog && !s.loseAppends {
				s.append(rec)
			}
		})
	case ReadLog:
		if !s.log.Faults.Down && !n.noLog {
			s.readNow(n, core)
		}
	case OpenLease:
		s.after(2*simHop, func() { s.openLease(n, core, a) })
	case Start:
		s.note("start", n)
		s.after(simHop+s.delayStart, func() { s.startTasks(n, core, a) })
	case Fence:
		s.after(simHop, func() { s.fence(n, core, a) })
	case Adopt:
		s.after(simHop, func() { s.adopt(n, core, a) })
	case StopTasks:
		s.after(simHop, func() {
			if w := s.worker(a.Worker); !w.Faults.Dead {
				w.Stop(s.now, keys(a.Tasks))
			}
		})
	case SendRequest:
		s.note("send", n)
		s.after(simHop, func() { s.request(n, core, a) })
	case Rename:
		s.linkAll(n)
	case Left:
		n.left = true
	case Revised, Decision:
	}
}

func (s *sim) reply(n *simNode, a Reply) {
	c := s.calls[a.Call]
	if n.index != c.at || c.gone {
		return
	}
	c.answers = append(c.answers, a.Answer)
	c.when = append(c.when, s.now)
	c.startsThen = s.startsOf(c.work.Submission.ID())
}

func (s *sim) startsOf(id namer.ID) int {
	total := s.runs[id]
	for task, count := range s.starts {
		if task.ID == id {
			total += count
		}
	}
	return total
}

// stepOf names the step that a message belongs to, or "" for upkeep.
func stepOf(m *coder.Message) string {
	switch {
	case m.Forward != nil:
		return "forward"
	case m.Outcome != nil:
		return "outcome"
	case m.Ack != nil:
		return "ack"
	case m.Replicate != nil:
		for _, u := range m.Replicate.Updates {
			if u.Final != nil {
				return "final"
			}
		}
		return "replicate"
	}
	return ""
}

func (s *sim) sendPeer(n *simNode, a SendPeer) {
	step := stepOf(a.Msg)
	if step != "" {
		s.note(step, n)
	}
	s.sent++
	b, err := coder.EncodeMessage(a.Msg)
	must.NoError(s.t, err)
	from := n.inc
	copies := 1
	if s.rng.Float64() < s.double {
		copies = 2
	}
	for range copies {
		if s.rng.Float64() < s.loss {
			continue
		}
		hop := simHop + time.Duration(s.rng.Int64N(int64(simHop)))
		s.after(hop, func() { s.arrive(n.index, from, a.To, b, step) })
	}
}

func (s *sim) arrive(index int, from, inc namer.Incarnation, b []byte, step string) {
	for _, to := range s.nodes {
		if to.inc != inc || to.dead || s.cut[[2]int{index, to.index}] {
			continue
		}
		m, err := coder.DecodeMessage(b)
		must.NoError(s.t, err)
		if step != "" {
			s.note(step+" arrives", to)
		}
		s.deliver(to, Received{From: from, Msg: m})
	}
}

func (s *sim) worker(name namer.Worker) *emulator.Worker {
	for _, w := range s.workers {
		if w.Name == string(name) {
			return w
		}
	}
	s.t.Fatalf("no worker %s", name)
	return nil
}

func free(w *emulator.Worker) placer.Size {
	f := w.Free()
	return placer.Size{Cores: namer.MilliCores(f.Cores), Memory: namer.Megabytes(f.Memory)}
}

func (s *sim) openLease(n *simNode, core *Node, a OpenLease) {
	w := s.worker(a.Worker)
	if w.Faults.Dead {
		s.deliver(n, LeaseOpened{Worker: a.Worker})
		return
	}
	lease := w.Open(s.now, string(core.self.Incarnation))
	s.deliver(n, LeaseOpened{Worker: a.Worker, Lease: namer.Lease(lease), Free: free(w)})
	s.poll(n, core, w, lease, 0, s.now)
}

// poll follows the ends of a lease's tasks, as the daemon does.
func (s *sim) poll(n *simNode, core *Node, w *emulator.Worker, lease string, after int, renewed time.Time) {
	holder := core.self.Incarnation
	s.after(simPoll, func() {
		switch {
		case n.dead || n.node != core || holder != core.self.Incarnation:
			return
		case n.frozen:
			s.poll(n, core, w, lease, after, renewed)
			return
		case w.Faults.Dead && s.now.Sub(renewed) > emulator.LeaseTTL:
			s.deliver(n, LeaseEnded{Worker: namer.Worker(w.Name), Lease: namer.Lease(lease)})
			return
		case w.Faults.Dead:
			s.poll(n, core, w, lease, after, renewed)
			return
		}
		ends, lasts := w.Ends(s.now, lease, after)
		if !lasts {
			s.deliver(n, LeaseEnded{Worker: namer.Worker(w.Name), Lease: namer.Lease(lease)})
			return
		}
		if len(ends) > 0 {
			s.note("end", n)
			e := TasksEnded{Worker: namer.Worker(w.Name), Lease: namer.Lease(lease), Free: free(w)}
			for _, end := range ends {
				e.Ends = append(e.Ends, TaskEnd{Task: task(end.TaskKey), OK: end.OK, Output: end.Output, Took: time.Duration(end.TookMillis) * time.Millisecond})
			}
			s.deliver(n, e)
		}
		s.poll(n, core, w, lease, after+len(ends), s.now)
	})
}

func task(k describer.TaskKey) namer.Task {
	return namer.Task{ID: namer.ID(k.ID), Index: k.Index}
}

func keys(tasks []namer.Task) []describer.TaskKey {
	out := make([]describer.TaskKey, len(tasks))
	for i, t := range tasks {
		out[i] = describer.TaskKey{ID: string(t.ID), Index: t.Index}
	}
	return out
}

func (s *sim) startTasks(n *simNode, core *Node, a Start) {
	w := s.worker(a.Worker)
	lost := StartLost{Worker: a.Worker, Lease: a.Lease}
	body := make([]describer.StartOne, len(a.Tasks))
	for i, st := range a.Tasks {
		lost.Tasks = append(lost.Tasks, st.Task)
		body[i] = describer.StartOne{
			TaskKey: describer.TaskKey{ID: string(st.Task.ID), Index: st.Task.Index},
			Room:    describer.Room{Cores: int(st.Spec.Cores), Memory: int(st.Spec.Memory)}, Payload: st.Spec.Payload,
		}
	}
	if w.Faults.Dead {
		s.after(simTimeout, func() { s.deliverTo(n, core, lost) })
		return
	}
	s.note("start arrives", n)
	e := StartAnswered{Worker: a.Worker, Lease: a.Lease}
	for i, v := range w.Start(s.now, string(a.Lease), body) {
		verdict := StartVoid
		switch v {
		case describer.VerdictTaken:
			verdict = StartTaken
			s.starts[a.Tasks[i].Task]++
		case describer.VerdictFull:
			verdict = StartFull
		case describer.VerdictVoid:
		}
		e.Results = append(e.Results, StartResult{Task: a.Tasks[i].Task, Verdict: verdict})
	}
	e.Free = free(w)
	if s.loseStart {
		s.after(simTimeout, func() { s.deliverTo(n, core, lost) })
		return
	}
	s.after(simHop, func() {
		s.note("start answered", n)
		s.deliverTo(n, core, e)
	})
}

func (s *sim) deliverTo(n *simNode, core *Node, e Event) {
	if n.node == core {
		s.deliver(n, e)
	}
}

func (s *sim) fence(n *simNode, core *Node, a Fence) {
	w := s.worker(a.Worker)
	if w.Faults.Dead || s.noFence == n.index+1 {
		s.after(100*simHop, func() { s.deliverTo(n, core, FenceFailed{Fence: a.Fence}) })
		return
	}
	e := Fenced{Fence: a.Fence}
	for _, seen := range w.Fence(s.now, string(a.Holder), string(a.Lease), keys(a.Tasks)) {
		e.Tasks = append(e.Tasks, SeenTask{
			Task: task(seen.TaskKey), Seen: seen.Seen, Running: seen.Running, Dropped: seen.Dropped, OK: seen.OK, Output: seen.Output,
		})
	}
	s.after(simHop, func() { s.deliverTo(n, core, e) })
}

func (s *sim) adopt(n *simNode, core *Node, a Adopt) {
	w := s.worker(a.Worker)
	if w.Faults.Dead || !w.Adopt(s.now, string(a.Lease), keys(a.Tasks)) {
		s.deliverTo(n, core, LeaseEnded{Worker: a.Worker, Lease: a.Lease})
	}
}

func (s *sim) request(n *simNode, core *Node, a SendRequest) {
	e := SendAnswered{Send: a.Send, Output: "ok"}
	if s.refuseSend {
		e.Verdict = SendRefused
		s.after(simHop, func() { s.deliverTo(n, core, e) })
		return
	}
	s.note("send arrives", n)
	if !s.deadMinions && !a.Work.Repeatable {
		s.runs[a.ID]++
	}
	if s.loseSend || s.deadMinions {
		e.Verdict = SendLost
	}
	s.after(50*time.Millisecond, func() {
		s.note("send answered", n)
		s.deliverTo(n, core, e)
	})
}

// The faults.

func (s *sim) kill(i int) {
	n := s.nodes[i]
	if n.dead {
		return
	}
	n.dead = true
	for _, c := range s.calls {
		c.gone = c.gone || (c.at == i && len(c.answers) == 0)
	}
	for _, o := range s.nodes {
		if o != n {
			inc := n.inc
			s.after(simHop, func() { s.deliver(o, LinkDown{Incarnation: inc}) })
		}
	}
}

func (s *sim) restart(i int) {
	s.kill(i)
	s.boot(s.nodes[i])
}

func (s *sim) freeze(i int, d time.Duration) {
	n := s.nodes[i]
	if n.dead || n.frozen {
		return
	}
	n.frozen, n.paused = true, true
	core := n.node
	s.after(d, func() {
		if n.node != core || n.dead {
			return
		}
		n.frozen = false
		inbox := n.inbox
		n.inbox = nil
		s.step(n, inbox)
	})
}

// The clients.

func (s *sim) work(key namer.Key, tasks int, request bool) coder.Work {
	w := coder.Work{
		Submission: namer.Submission{Team: "team", Key: key}, Kind: "word",
		Deadline: s.now.Add(simDeadline),
	}
	if request {
		w.Service = "desk"
	}
	for range tasks {
		w.Tasks = append(w.Tasks, coder.TaskSpec{Cores: 1000, Memory: 100, Millis: 50, Payload: "run=50ms"})
	}
	return w
}

func (s *sim) ask(at int, op coder.Op, w coder.Work) *simCall {
	c := &simCall{at: at, op: op, work: w, asked: s.now}
	c.gone = s.nodes[at].dead
	id := namer.Call(len(s.calls))
	s.calls = append(s.calls, c)
	s.note("ask", s.nodes[at])
	s.deliver(s.nodes[at], Asked{Call: id, Op: op, Work: w, Wait: true})
	return c
}

// ownerOf returns the index of the node that owns a submission, and of its heir.
func (s *sim) ownerOf(sub namer.Submission) (owner, heir int) {
	owner, heir = -1, -1
	for _, n := range s.nodes {
		if n.dead || n.frozen {
			continue
		}
		o, h := n.node.state.Owner(sub)
		for i, m := range s.nodes {
			if m.inc == o {
				owner = i
			}
			if m.inc == h {
				heir = i
			}
		}
		return owner, heir
	}
	return owner, heir
}

// check looks whether all promises hold over everything that was asked.
func (s *sim) check() {
	s.t.Helper()
	for task, count := range s.starts {
		must.LessEq(s.t, 1, count, must.Sprintf("task %v was started %d times", task, count))
	}
	for id, count := range s.runs {
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
	if c.gone {
		return
	}
	must.Len(s.t, 1, c.answers, must.Sprintf("call at node %d for %s has no answer, or several", c.at, c.work.Submission.Key))
	a := c.answers[0]
	limit := c.work.Deadline.Add(time.Second)
	if late := c.asked.Add(simPatience); late.After(limit) {
		limit = late
	}
	must.False(s.t, c.when[0].After(limit) && !s.nodes[c.at].paused, must.Sprintf("answer came %v after the deadline: %+v", c.when[0].Sub(c.work.Deadline), a))
	if a.Ran == coder.RanNo && a.Code != coder.CodeConflict && c.op == coder.OpSubmit {
		must.Eq(s.t, 0, c.startsThen, must.Sprintf("%s was told that it had not run: %+v", c.work.Submission.Key, a))
	}
	if !a.Status.Terminal() {
		return
	}
	if first, told := finals[id]; told {
		must.Eq(s.t, first, a, must.Sprint("two callers heard different terminal answers"))
	}
	finals[id] = a
	s.checkFinal(id, a, c)
}

func (s *sim) checkFinal(id namer.ID, a coder.Answer, c *simCall) {
	s.t.Helper()
	if c.op == coder.OpSubmit {
		must.Len(s.t, len(c.work.Tasks), a.Tasks, must.Sprint("a terminal answer lists every task"))
	}
	for _, o := range a.Tasks {
		ran := s.starts[namer.Task{ID: id, Index: o.Index}] + s.runs[id]
		if o.Ran == coder.RanNo {
			must.Eq(s.t, 0, ran, must.Sprintf("task %d was said not to have run", o.Index))
		}
		if o.Ran == coder.RanYes {
			must.Eq(s.t, 1, ran, must.Sprintf("task %d was said to have run", o.Index))
		}
		if a.Status == coder.Done {
			must.True(s.t, o.OK, must.Sprint("a done job has every task done"))
		}
	}
}
