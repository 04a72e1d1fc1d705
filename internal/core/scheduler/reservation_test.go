package scheduler

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heatherslip/heatherslip/internal/core/hasher"
	"github.com/heatherslip/heatherslip/internal/core/registrar"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// startTime is when an instance that has heard a peer owns its workers.
const startTime = 200 * time.Millisecond

func peerAddr(n int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 1, byte(n + 1)}) }

// ownerHeartbeat returns a heartbeat of a peer that owns workers and has no free
// capacity.
func ownerHeartbeat(n int, domain namer.Domain) HeartbeatReceived {
	return HeartbeatReceived{registrar.Heartbeat{
		Name: fmt.Sprintf("e%d", n), SourceAddr: peerAddr(n), Domain: domain, RunTag: namer.RunTag(n + 2), CPULimit: simEvenLimit,
		Owner: true, Interval: 50 * time.Millisecond, FreeCores: map[namer.Service][]namer.MilliCores{"s": {}},
	}}
}

// newCrowdedInstance returns an instance of a large site with waiting jobs, whose
// peers advertise no free slots.
func newCrowdedInstance(peers, jobs int) *Scheduler {
	s := New(Settings{Name: "this", Addr: testAddr, Domain: "d0", CPULimit: simEvenLimit, RunTag: 1, MaxLease: time.Second}, simEpoch, 1)
	var events []Event
	for n := range peers {
		events = append(events, ownerHeartbeat(n, namer.Domain(fmt.Sprintf("d%d", n%3))))
	}
	s.Step(simEpoch, 1, events)
	s.Step(simEpoch.Add(startTime), 1, events)
	events = nil
	for n := range jobs {
		events = append(events, JobSubmitted{Call: namer.CallID(n + 1), Job: JobSpec{
			Name: namer.JobName(fmt.Sprintf("%016x", n)), Kind: "short", Service: "s", MaxAttempts: 2, ObjectiveFactor: 1.6,
			ObjectiveBase: time.Minute, CallerTimeout: time.Minute,
			Steps: []StepSpec{{Count: 8, Size: Resources{Cores: 8000}, EstimatedRunTime: time.Minute}},
		}})
	}
	s.Step(simEpoch.Add(startTime+time.Millisecond), 1, events)
	return s
}

// TestSelectOwnersAllRequested guards against comparing all peers again in each
// placement round for a task that already has maxRequestedOwners requests. On a
// large site with many waiting tasks, that took most of the processor time.
func TestSelectOwnersAllRequested(t *testing.T) {
	s := newCrowdedInstance(33, 1)
	must.Len(t, 1, s.openJobs)
	for _, task := range s.openJobs[0].tasks {
		must.Len(t, maxRequestedOwners, task.requestedOwners)
		must.Eq(t, 0, testing.AllocsPerRun(10, func() { must.SliceEmpty(t, s.selectOwners(task)) }))
	}
}

func TestPickOwners(t *testing.T) {
	const tasks = 3000
	cases := map[string]struct{ peers, count int }{
		"none":         {0, 0},
		"all of three": {3, 3},
		"three of 33":  {33, 3},
		"one of two":   {2, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			picked := make(map[string]int)
			for n := range tasks {
				var peers, reversed []*peer
				for i := range c.peers {
					p := &peer{name: fmt.Sprintf("e%d", i)}
					p.nameHash = hasher.String(p.name)
					peers = append(peers, p)
					reversed = append([]*peer{p}, reversed...)
				}
				hash := (&task{id: namer.TaskName{Job: namer.JobName(fmt.Sprintf("%016x", n))}}).hash()
				got, gotReversed := pickOwners(peers, c.count, hash), pickOwners(reversed, c.count, hash)
				must.Len(t, c.count, got)
				for i, p := range got {
					must.Eq(t, p.name, gotReversed[i].name)
					picked[p.name]++
				}
			}
			for name, n := range picked {
				must.Between(t, 0.8*float64(tasks*c.count)/float64(c.peers), float64(n), 1.2*float64(tasks*c.count)/float64(c.peers), must.Sprint(name))
			}
		})
	}
}

// BenchmarkPlaceTasks measures a placement round with waiting jobs of eight tasks
// and no free slots at any peer.
func BenchmarkPlaceTasks(b *testing.B) {
	for _, peers := range []int{7, 33, 90} {
		for _, jobs := range []int{1, 20} {
			b.Run(fmt.Sprintf("%d peers/%d jobs", peers, jobs), func(b *testing.B) {
				s := newCrowdedInstance(peers, jobs)
				for b.Loop() {
					s.placementDue = true
					s.placeTasks()
				}
			})
		}
	}
}

// newOwner returns an instance that owns a worker of 16 cores and has one live peer,
// and the time at which it has listed the worker's runs.
func newOwner() (*Scheduler, time.Time) {
	s := New(Settings{Name: "this", Addr: testAddr, Domain: "d0", CPULimit: simEvenLimit, RunTag: 1, MaxLease: time.Second, DrainTime: simDrainTime}, simEpoch, 1)
	heartbeat := ownerHeartbeat(0, "d0")
	heartbeat.Draining = true
	list := WorkerListUpdated{Workers: []WorkerInfo{{
		ID: "w", Service: "s", Domain: "d0", Capacity: Resources{Cores: 16000, Memory: 1 << 20}, BootTime: 1,
	}}}
	s.Step(simEpoch, 1, []Event{heartbeat, list})
	now := simEpoch.Add(startTime)
	s.Step(now, 1, []Event{heartbeat})
	s.Step(now, 1, []Event{PollResult{Worker: "w", SentAt: now, BootTime: 1, Clock: 1}})
	return s, now
}

// reservedWorkers returns the workers that were reserved by the actions.
func reservedWorkers(actions []Action) []namer.Worker {
	var out []namer.Worker
	for _, a := range actions {
		m, isMessage := a.(SendMessage)
		if !isMessage {
			continue
		}
		for _, r := range m.Message.ReserveResponses {
			if r.Worker != "" {
				out = append(out, r.Worker)
			}
		}
	}
	return out
}

func reserveRequest(task int, run namer.RunID, cores namer.MilliCores) MessageReceived {
	return MessageReceived{From: "e0", SourceAddr: peerAddr(0), Message: PeerMessage{ReserveRequests: []ReserveRequest{{
		Task: namer.TaskName{Job: "a", Index: task}, Run: run, Service: "s", Size: Resources{Cores: cores}, Kind: "short",
		PredictedRunTime: 50 * time.Millisecond, Timeout: time.Second,
	}}}}
}

// startOrder orders the start of a task on worker w.
func startOrder(task int, run namer.RunID) MessageReceived {
	var m PeerMessage
	m.addStartOrder(RunRef{"w", namer.TaskName{Job: "a", Index: task}, run}, "payload")
	return MessageReceived{From: "e0", SourceAddr: peerAddr(0), Message: m}
}

// startsOf returns the start requests among the actions.
func startsOf(actions []Action) []Start {
	var out []Start
	for _, a := range actions {
		if start, isStart := a.(Start); isStart {
			out = append(out, start)
		}
	}
	return out
}

// TestCapacityOfStartedRuns checks what an owner grants after the start of a peer's
// task has had a result.
func TestCapacityOfStartedRuns(t *testing.T) {
	const run, nextRun = namer.RunID(1<<20 | 2), namer.RunID(2<<20 | 2)
	listed := ActiveRun{Task: namer.TaskName{Job: "a"}, Run: run, Cores: 9000}
	cases := map[string]struct {
		status StartStatus
		// poll is the poll result that arrives 2 ms after the result of the start. It
		// was sent before that result arrived, unless it has a later time.
		poll    *PollResult
		granted bool
	}{
		"run was started, no poll since":       {StartAccepted, nil, false},
		"poll was sent before, run not listed": {StartAccepted, &PollResult{}, false},
		"poll was sent before, run listed":     {StartAccepted, &PollResult{Active: []ActiveRun{listed}}, false},
		"poll was sent before, run has ended":  {StartAccepted, &PollResult{Ended: []EndedRun{{Sequence: 1, Task: listed.Task, Run: run}}}, true},
		"poll was sent after, run not listed":  {StartAccepted, &PollResult{SentAt: simEpoch.Add(time.Hour)}, true},
		"worker had no capacity":               {StartNoCapacity, nil, false},
		"worker refused the run":               {StartRefused, nil, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, now := newOwner()
			must.Eq(t, []namer.Worker{"w"}, reservedWorkers(s.Step(now, 1, []Event{reserveRequest(0, run, 9000)})))
			pollSentAt := now.Add(time.Millisecond)
			now = now.Add(2 * time.Millisecond)
			starts := startsOf(s.Step(now, 1, []Event{startOrder(0, run)}))
			must.Len(t, 1, starts)
			must.Eq(t, "payload", starts[0].Payload)
			must.SliceEmpty(t, startsOf(s.Step(now, 1, []Event{startOrder(0, run)})), must.Sprint("a repeated order"))
			s.Step(now, 1, []Event{StartResult{Worker: "w", Task: starts[0].Task, Run: run, Status: c.status, Clock: 2}})
			now = now.Add(2 * time.Millisecond)
			if c.poll != nil {
				c.poll.Worker, c.poll.BootTime, c.poll.Clock = "w", 1, 1
				if c.poll.SentAt.IsZero() {
					c.poll.SentAt = pollSentAt
				}
				s.Step(now, 1, []Event{*c.poll})
			}
			must.Eq(t, c.granted, len(reservedWorkers(s.Step(now, 1, []Event{reserveRequest(1, nextRun, 9000)}))) == 1)
		})
	}
}

// TestProgressOfStartsInDoubt guards against the report that a run is active although
// its worker has not listed it: the run's instance would take it for confirmed, and for
// ended once a list lacks it, while its start is still on its way.
func TestProgressOfStartsInDoubt(t *testing.T) {
	const run = namer.RunID(1<<20 | 2)
	task := namer.TaskName{Job: "a"}
	cases := map[string]struct {
		active   []ActiveRun
		reported bool
	}{
		"the worker lists the run":         {[]ActiveRun{{Task: task, Run: run, Percent: 10}}, true},
		"the worker does not list the run": {nil, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, now := newOwner()
			s.Step(now, 1, []Event{reserveRequest(0, run, 9000)})
			s.Step(now, 1, []Event{startOrder(0, run)})
			pollSentAt := now.Add(time.Millisecond)
			now = now.Add(40 * time.Millisecond)
			s.Step(now, 1, []Event{StartResult{Worker: "w", Task: task, Run: run, Status: StartNoResponse}})
			reported := false
			poll := PollResult{Worker: "w", SentAt: pollSentAt, BootTime: 1, Clock: 1, Active: c.active}
			actions := s.Step(now.Add(time.Millisecond), 1, []Event{poll})
			for _, a := range append(actions, s.Step(now.Add(2*progressInterval), 1, nil)...) {
				if m, isMessage := a.(SendMessage); isMessage && len(m.Message.Progress) > 0 {
					reported = true
				}
			}
			must.Eq(t, c.reported, reported)
		})
	}
}

// TestNoStartExtendsLeaseOfSilentInstance guards against starts that extend the lease of the
// runs of an instance that has fallen silent since the last poll: the lease covers all
// runs of a worker.
func TestNoStartExtendsLeaseOfSilentInstance(t *testing.T) {
	const ordered, silentTag = namer.RunID(1<<20 | 2), 3
	running := ActiveRun{Task: namer.TaskName{Job: "b"}, Run: namer.NewRunID(7, silentTag), Cores: 1000}
	ownJob := JobSubmitted{Call: 1, Job: JobSpec{
		Name: "c", Kind: "short", Service: "s", MaxAttempts: 2, ObjectiveFactor: 1.6, ObjectiveBase: time.Second, CallerTimeout: time.Second,
		Steps: []StepSpec{{Count: 1, Size: Resources{Cores: 1000}, EstimatedRunTime: 50 * time.Millisecond}},
	}}
	cases := map[string]struct {
		event   Event
		after   time.Duration
		started bool
	}{
		"own task, instance is live":          {ownJob, peerTimeout - 5*time.Millisecond, true},
		"own task, instance is silent":        {ownJob, peerTimeout + 5*time.Millisecond, false},
		"order of a peer, instance is live":   {startOrder(0, ordered), peerTimeout - 5*time.Millisecond, true},
		"order of a peer, instance is silent": {startOrder(0, ordered), peerTimeout + 5*time.Millisecond, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, now := newOwner()
			s.Step(now, 1, []Event{ownerHeartbeat(silentTag-2, "d0"), PollResult{Worker: "w", SentAt: now, BootTime: 1, Clock: 1, Active: []ActiveRun{running}}})
			s.Step(now.Add(200*time.Millisecond), 1, []Event{ownerHeartbeat(0, "d0")})
			reservedAt := now.Add(peerTimeout - 10*time.Millisecond)
			must.Eq(t, []namer.Worker{"w"}, reservedWorkers(s.Step(reservedAt, 1, []Event{reserveRequest(0, ordered, 9000)})))
			must.Eq(t, c.started, len(startsOf(s.Step(now.Add(c.after), 1, []Event{c.event}))) == 1)
		})
	}
}

// TestNoStartOnListFromBeforePause guards against an owner that wakes and starts tasks by a
// list that lay in its socket: the worker may have got runs from another owner since, whose
// lease the start would extend.
func TestNoStartOnListFromBeforePause(t *testing.T) {
	job := JobSubmitted{Call: 1, Job: JobSpec{
		Name: "c", Kind: "short", Service: "s", MaxAttempts: 2, ObjectiveFactor: 1.6, ObjectiveBase: time.Second, CallerTimeout: time.Second,
		Steps: []StepSpec{{Count: 1, Size: Resources{Cores: 1000}, EstimatedRunTime: 50 * time.Millisecond}},
	}}
	const pause = 2 * time.Second
	cases := map[string]struct {
		// requestedAt is when the list was requested, from the beginning of the pause.
		requestedAt time.Duration
		started     bool
	}{
		"requested before the pause": {0, false},
		"requested after the pause":  {pause, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, frozenAt := newOwner()
			heartbeat := ownerHeartbeat(0, "d0")
			heartbeat.Draining = true
			now := frozenAt.Add(pause)
			s.Step(now, 1, []Event{heartbeat})
			now = now.Add(resumeDelay)
			poll := PollResult{Worker: "w", SentAt: frozenAt.Add(c.requestedAt), BootTime: 1, Clock: 2000}
			must.Eq(t, c.started, len(startsOf(s.Step(now, 1, []Event{heartbeat, poll, job}))) == 1)
		})
	}
}

// TestLateOrderIsDeclined guards against an order that has waited for its owner: the
// instance may have ended since, and the start would get a whole lease from now.
func TestLateOrderIsDeclined(t *testing.T) {
	const run = namer.RunID(1<<20 | 2)
	for name, c := range map[string]struct {
		after   time.Duration
		started bool
	}{
		"in time":                     {reservationTime - 10*time.Millisecond, true},
		"the reservation has expired": {reservationTime + 10*time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			s, now := newOwner()
			must.Eq(t, []namer.Worker{"w"}, reservedWorkers(s.Step(now, 1, []Event{reserveRequest(0, run, 9000)})))
			actions := s.Step(now.Add(c.after), 1, []Event{startOrder(0, run)})
			must.Eq(t, c.started, len(startsOf(actions)) == 1)
			declined := false
			for _, a := range actions {
				m, isMessage := a.(SendMessage)
				declined = declined || isMessage && len(m.Message.StartReports) == 1 && m.Message.StartReports[0].Status == StartDeclined
			}
			must.Eq(t, !c.started, declined)
		})
	}
}
