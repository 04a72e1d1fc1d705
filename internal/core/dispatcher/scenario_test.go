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

// keyIssuedAt returns a key that carries a given issue time.
func keyIssuedAt(t *testing.T, at time.Time) namer.Key {
	t.Helper()
	id, err := uuid.NewV7()
	must.NoError(t, err)
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	return namer.Key(id.String())
}

// An owner that was evicted but has not read this in the log must not answer "not
// run" for work that its successor has run. The model found this case.
func TestEvictedOwnerDoesNotDeny(t *testing.T) {
	s := newSim(t, 2, 1, ModeReplicate)
	w := s.newWork(keyIssuedAt(t, s.now), 3, false)
	owner, successor := s.ownerAndSuccessorOf(w.Submission)
	s.nodes[owner].logUnreachable = true
	s.brokenLinks[[2]int{owner, successor}] = true
	s.advanceTime(4 * time.Second)
	must.False(t, s.nodes[successor].core.hasMember(s.nodes[owner].incarnation), must.Sprint("the owner must be evicted"))
	completed := s.makeCall(successor, coder.OpSubmit, w)
	s.advanceTime(time.Second)
	must.Eq(t, coder.StatusDone, completed.answers[0].Status)
	w.Tasks = nil
	late := s.makeCall(owner, coder.OpFetch, w)
	s.advanceTime(10 * time.Second)
	must.Eq(t, coder.RanUnknown, late.answers[0].Ran, must.Sprintf("%+v", late.answers[0]))
}

// A start that the first primary sent must be fenced by its own lease even if
// the primary that took over dies before it could fence, and the third primary
// joined only later. The model found this case.
func TestSecondTakeoverFencesFirstPrimary(t *testing.T) {
	s := newSim(t, 2, 1, ModeReplicate)
	w := s.newWork("a job", 3, false)
	first, second := s.ownerAndSuccessorOf(w.Submission)
	s.fencesBlockedFrom = second + 1
	s.nodes[first].logUnreachable = true
	s.startDelay = 6 * time.Second
	s.makeCall(first, coder.OpSubmit, w)
	s.advanceTime(20 * time.Millisecond)
	s.brokenLinks[[2]int{first, second}] = true
	s.brokenLinks[[2]int{second, first}] = true
	s.advanceTime(2 * time.Second)
	must.False(t, s.nodes[second].core.hasMember(s.nodes[first].incarnation), must.Sprint("the first primary must be evicted"))
	third := s.addNode().index
	s.brokenLinks[[2]int{first, third}] = true
	s.brokenLinks[[2]int{third, first}] = true
	s.advanceTime(time.Second)
	must.True(t, s.nodes[third].core.canOwnKeys())
	s.startDelay = 0
	s.killNode(second)
	resubmitted := s.makeCall(third, coder.OpSubmit, w)
	s.advanceTime(20 * time.Second)
	s.checkInvariants()
	must.Eq(t, coder.StatusDone, resubmitted.answers[0].Status)
}

func (n *Node) hasMember(inc namer.Incarnation) bool {
	_, present := n.state.Member(inc)
	return present
}

// Concurrent and repeated submissions of the same job at different instances
// must run each task once, in both modes.
func TestJobRunsEachTaskOnce(t *testing.T) {
	for name, mode := range map[string]Mode{"replicate": ModeReplicate, "log": ModeLog} {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, 3, 1, mode)
			w := s.newWork("a job", 40, false)
			first := s.makeCall(0, coder.OpSubmit, w)
			second := s.makeCall(1, coder.OpSubmit, w)
			s.advanceTime(3 * time.Second)
			third := s.makeCall(2, coder.OpSubmit, w)
			s.advanceTime(time.Second)
			s.checkInvariants()
			for _, c := range []*simCall{first, second, third} {
				must.Eq(t, coder.StatusDone, c.answers[0].Status)
			}
			must.MapLen(t, 40, s.startCounts)
		})
	}
}

// Two instances share the workers and do not see each other's tasks. An
// instance that found all workers full must notice when they are free again.
func TestFullWorkersAreRetried(t *testing.T) {
	s := newSim(t, 2, 1, ModeReplicate)
	var first, second coder.Work
	for i := 0; len(first.Tasks) == 0 || len(second.Tasks) == 0; i++ {
		w := s.newWork(namer.Key(fmt.Sprintf("key %d", i)), 32, false)
		for j := range w.Tasks {
			w.Tasks[j].Payload = "run=500ms"
		}
		if owner, _ := s.ownerAndSuccessorOf(w.Submission); owner == 0 {
			first = w
		} else {
			second = w
		}
	}
	s.makeCall(0, coder.OpSubmit, first)
	s.advanceTime(100 * time.Millisecond)
	c := s.makeCall(1, coder.OpSubmit, second)
	s.advanceTime(5 * time.Second)
	must.Len(t, 1, c.answers, must.Sprint("the job must be done long before its deadline"))
	must.Eq(t, coder.StatusDone, c.answers[0].Status)
	s.checkInvariants()
}

// A member that receives nothing must not evict the others, which still receive
// messages from each other and from it: the domain's history would be lost.
func TestIsolatedMemberIsEvicted(t *testing.T) {
	s := newSim(t, 3, 1, ModeReplicate)
	evicted := s.nodes[2].incarnation
	s.brokenLinks[[2]int{0, 2}] = true
	s.brokenLinks[[2]int{1, 2}] = true
	s.advanceTime(6 * time.Second)
	state := s.nodes[0].core.state
	_, lost := state.HistoryLostUntil(simDomain)
	must.False(t, lost)
	_, present := state.Member(evicted)
	must.False(t, present)
}

// A member whose two peers have died evicts them, after a longer timeout.
func TestSurvivorEvictsDeadMembers(t *testing.T) {
	s := newSim(t, 3, 1, ModeReplicate)
	s.killNode(0)
	s.killNode(1)
	s.advanceTime(10 * time.Second)
	must.Len(t, 1, s.nodes[2].core.state.Members(simDomain))
	c := s.makeCall(2, coder.OpSubmit, s.newWork(keyIssuedAt(t, s.now), 2, false))
	s.advanceTime(2 * time.Second)
	must.Eq(t, coder.StatusDone, c.answers[0].Status)
}

// A submission that was claimed in the log while the link to the successor was
// down must be replicated completely once the link is up.
func TestClaimedSubmissionReachesSuccessor(t *testing.T) {
	s := newSim(t, 2, 1, ModeReplicate)
	w := s.newWork("a job", 3, false)
	owner, successor := s.ownerAndSuccessorOf(w.Submission)
	s.brokenLinks[[2]int{owner, successor}] = true
	s.deliverEvent(s.nodes[owner], LinkDown{Incarnation: s.nodes[successor].incarnation})
	c := s.makeCall(owner, coder.OpSubmit, w)
	s.advanceTime(200 * time.Millisecond)
	s.brokenLinks[[2]int{owner, successor}] = false
	s.linkNodes(s.nodes[owner], s.nodes[successor])
	s.advanceTime(2 * time.Second)
	must.Len(t, 1, c.answers, must.Sprint("the job must be done long before its deadline"))
	must.Eq(t, coder.StatusDone, c.answers[0].Status)
}

// An instance that rejoins under a new incarnation must keep the platform's
// list of workers and minions, and must not refuse work for lack of it.
func TestRejoinKeepsWorkerList(t *testing.T) {
	s := newSim(t, 2, 1, ModeReplicate)
	s.pauseNode(0, 3*time.Second)
	s.advanceTime(3 * time.Second)
	oldIncarnation := s.nodes[0].incarnation
	for s.nodes[0].incarnation == oldIncarnation {
		s.advanceTime(time.Millisecond)
	}
	must.SliceNotEmpty(t, s.nodes[0].core.Workers())
	must.SliceNotEmpty(t, s.nodes[0].core.Minions())
}

// The state in force must outlive the log's retention: a new snapshot must be
// appended in time even if nothing else happens.
func TestSnapshotPreservesStatePastRetention(t *testing.T) {
	s := newSim(t, 2, 1, ModeReplicate)
	for _, n := range s.nodes {
		n.core.log.lastSnapshotAt = s.now.Add(-2 * maxSnapshotAge)
	}
	s.advanceTime(time.Second)
	s.log.Faults.RetentionMillis = 500
	s.advanceTime(time.Second)
	for _, n := range s.nodes {
		n.core.log.lastSnapshotAt = s.now.Add(-2 * maxSnapshotAge)
	}
	s.advanceTime(300 * time.Millisecond)
	s.log.Faults.RetentionMillis = 0
	s.killNode(0)
	s.killNode(1)
	n := s.addNode()
	s.advanceTime(5 * time.Second)
	must.Eq(t, namer.Revision(1), n.core.state.Config().Revision)
	must.Eq(t, simDomain, n.core.state.InitialDomains()[0])
}

// TestRestartedWorkerHasForgotten guards against a task that is started again because a
// worker that has crashed under it says, after its restart, that it has not seen it. Such
// a task would crash worker after worker.
func TestRestartedWorkerHasForgotten(t *testing.T) {
	s := newSim(t, 2, 1, ModeReplicate)
	w := s.newWork("a job", 3, false)
	owner, _ := s.ownerAndSuccessorOf(w.Submission)
	s.crashingTask = &namer.Task{ID: w.Submission.ID(), Index: 1}
	call := s.makeCall(owner, coder.OpSubmit, w)
	s.advanceTime(20 * time.Second)
	must.Eq(t, 1, s.startCounts[*s.crashingTask])
	must.Eq(t, coder.StatusFailed, call.answers[0].Status)
	must.Eq(t, coder.CodeTaskUnknown, call.answers[0].Code)
	s.checkInvariants()
}
