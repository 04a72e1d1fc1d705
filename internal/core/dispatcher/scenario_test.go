package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"

	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// keyAt makes a key that shows that it was issued at a time.
func keyAt(t *testing.T, at time.Time) namer.Key {
	t.Helper()
	id, err := uuid.NewV7()
	must.NoError(t, err)
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	return namer.Key(id.String())
}

// An owner that was evicted, and has not heard of it, must not deny what its
// successor has run. Found by the model.
func TestEvictedOwnerDoesNotDeny(t *testing.T) {
	s := newSim(t, 2, 1, ModeHeir)
	w := s.work(keyAt(t, s.now), 3, false)
	owner, heir := s.ownerOf(w.Submission)
	s.nodes[owner].noLog = true
	s.cut[[2]int{owner, heir}] = true
	s.run(4 * time.Second)
	must.False(t, s.nodes[heir].node.linkedMember(s.nodes[owner].inc), must.Sprint("the owner is evicted"))
	ran := s.ask(heir, coder.OpSubmit, w)
	s.run(time.Second)
	must.Eq(t, coder.Done, ran.answers[0].Status)
	w.Tasks = nil
	late := s.ask(owner, coder.OpFetch, w)
	s.run(10 * time.Second)
	must.Eq(t, coder.RanUnknown, late.answers[0].Ran, must.Sprintf("%+v", late.answers[0]))
}

// A start that the first runner sent is fenced by its own lease, also where
// the runner that took over died before it could, and the third joined later.
// Found by the model.
func TestThirdRunnerFencesTheFirst(t *testing.T) {
	s := newSim(t, 2, 1, ModeHeir)
	w := s.work("a job", 3, false)
	first, second := s.ownerOf(w.Submission)
	s.noFence = second + 1
	s.nodes[first].noLog = true
	s.delayStart = 6 * time.Second
	s.ask(first, coder.OpSubmit, w)
	s.run(20 * time.Millisecond)
	s.cut[[2]int{first, second}] = true
	s.cut[[2]int{second, first}] = true
	s.run(2 * time.Second)
	must.False(t, s.nodes[second].node.linkedMember(s.nodes[first].inc), must.Sprint("the first is evicted"))
	third := s.addNode().index
	s.cut[[2]int{first, third}] = true
	s.cut[[2]int{third, first}] = true
	s.run(time.Second)
	must.True(t, s.nodes[third].node.canOwnKeys())
	s.delayStart = 0
	s.kill(second)
	again := s.ask(third, coder.OpSubmit, w)
	s.run(20 * time.Second)
	s.check()
	must.Eq(t, coder.Done, again.answers[0].Status)
}

func (n *Node) linkedMember(inc namer.Incarnation) bool {
	_, present := n.state.Member(inc)
	return present
}

func TestJobRunsOnceAndWhole(t *testing.T) {
	for name, mode := range map[string]Mode{"heir": ModeHeir, "log": ModeLog} {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, 3, 1, mode)
			w := s.work("a job", 40, false)
			first := s.ask(0, coder.OpSubmit, w)
			second := s.ask(1, coder.OpSubmit, w)
			s.run(3 * time.Second)
			third := s.ask(2, coder.OpSubmit, w)
			s.run(time.Second)
			s.check()
			for _, c := range []*simCall{first, second, third} {
				must.Eq(t, coder.Done, c.answers[0].Status)
			}
			must.MapLen(t, 40, s.starts)
		})
	}
}

// Two instances share the workers and do not see each other's tasks. One that
// found all workers full must find out that they are free again.
func TestFullWorkersAreTriedAgain(t *testing.T) {
	s := newSim(t, 2, 1, ModeHeir)
	var first, second coder.Work
	for i := 0; len(first.Tasks) == 0 || len(second.Tasks) == 0; i++ {
		w := s.work(namer.Key(fmt.Sprintf("key %d", i)), 32, false)
		for j := range w.Tasks {
			w.Tasks[j].Payload = "run=500ms"
		}
		if owner, _ := s.ownerOf(w.Submission); owner == 0 {
			first = w
		} else {
			second = w
		}
	}
	s.ask(0, coder.OpSubmit, first)
	s.run(100 * time.Millisecond)
	c := s.ask(1, coder.OpSubmit, second)
	s.run(5 * time.Second)
	must.Len(t, 1, c.answers, must.Sprint("the job must be done long before its deadline"))
	must.Eq(t, coder.Done, c.answers[0].Status)
	s.check()
}

// A member that hears nobody must not evict the others, which hear each other
// and it: history would be lost.
func TestMemberThatHearsNobodyIsEvicted(t *testing.T) {
	s := newSim(t, 3, 1, ModeHeir)
	was := s.nodes[2].inc
	s.cut[[2]int{0, 2}] = true
	s.cut[[2]int{1, 2}] = true
	s.run(6 * time.Second)
	state := s.nodes[0].node.state
	_, lost := state.LostUntil(simDomain)
	must.False(t, lost)
	_, present := state.Member(was)
	must.False(t, present)
}

// A member whose two others really died evicts them, a little later.
func TestLastMemberGoesOnAlone(t *testing.T) {
	s := newSim(t, 3, 1, ModeHeir)
	s.kill(0)
	s.kill(1)
	s.run(10 * time.Second)
	must.Len(t, 1, s.nodes[2].node.state.Members(simDomain))
	c := s.ask(2, coder.OpSubmit, s.work(keyAt(t, s.now), 2, false))
	s.run(2 * time.Second)
	must.Eq(t, coder.Done, c.answers[0].Status)
}

// A submission that was claimed while the link to the heir was down must reach
// the heir whole once the link is up.
func TestClaimedSubmissionReachesTheHeir(t *testing.T) {
	s := newSim(t, 2, 1, ModeHeir)
	w := s.work("a job", 3, false)
	owner, heir := s.ownerOf(w.Submission)
	s.cut[[2]int{owner, heir}] = true
	s.deliver(s.nodes[owner], LinkDown{Incarnation: s.nodes[heir].inc})
	c := s.ask(owner, coder.OpSubmit, w)
	s.run(200 * time.Millisecond)
	s.cut[[2]int{owner, heir}] = false
	s.link(s.nodes[owner], s.nodes[heir])
	s.run(2 * time.Second)
	must.Len(t, 1, c.answers, must.Sprint("the job must be done long before its deadline"))
	must.Eq(t, coder.Done, c.answers[0].Status)
}

// An instance that starts over under a new incarnation still knows what the
// platform has listed, and does not refuse work for want of it.
func TestRejoiningKeepsTheList(t *testing.T) {
	s := newSim(t, 2, 1, ModeHeir)
	s.freeze(0, 3*time.Second)
	s.run(3 * time.Second)
	was := s.nodes[0].inc
	for s.nodes[0].inc == was {
		s.run(time.Millisecond)
	}
	must.SliceNotEmpty(t, s.nodes[0].node.Workers())
	must.SliceNotEmpty(t, s.nodes[0].node.Minions())
}

// What is in force outlives the log's retention: it is written again in time,
// also where nothing else happens.
func TestStateOutlivesRetention(t *testing.T) {
	s := newSim(t, 2, 1, ModeHeir)
	for _, n := range s.nodes {
		n.node.log.lastSnapshotAt = s.now.Add(-2 * maxSnapshotAge)
	}
	s.run(time.Second)
	s.log.Faults.KeepMillis = 500
	s.run(time.Second)
	for _, n := range s.nodes {
		n.node.log.lastSnapshotAt = s.now.Add(-2 * maxSnapshotAge)
	}
	s.run(300 * time.Millisecond)
	s.log.Faults.KeepMillis = 0
	s.kill(0)
	s.kill(1)
	n := s.addNode()
	s.run(5 * time.Second)
	must.Eq(t, namer.Revision(1), n.node.state.Config().Revision)
	must.Eq(t, simDomain, n.node.state.Domains()[0])
}
