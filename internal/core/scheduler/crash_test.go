package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heatherslip/heatherslip/internal/core/crashcounter"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// decisionsOf returns the decisions with the given event.
func decisionsOf(actions []Action, e eventer.Event) []Decision {
	var out []Decision
	for _, a := range actions {
		if d, isDecision := a.(Decision); isDecision && d.Event == e {
			out = append(out, d)
		}
	}
	return out
}

// TestCrashIsLogged checks that a worker whose address refuses connections is logged
// once, with the runs that were there.
func TestCrashIsLogged(t *testing.T) {
	s, now := newOwner()
	actions := s.Step(now, 0, []Event{reserveRequest(0, 100, 6000)})
	worker := reservedWorkers(actions)[0]
	s.Step(now, 0, []Event{startOrder(0, 100)})
	s.Step(now, 0, []Event{StartResult{Worker: worker, Task: namer.TaskName{Job: "a"}, Run: 100, Status: StartAccepted, Clock: 1}})
	refused := PollResult{Worker: worker, NoResponse: true, Refused: true, SentAt: now}

	actions = s.Step(now.Add(10*time.Millisecond), 0, []Event{refused})
	must.Len(t, 1, decisionsOf(actions, eventer.WorkerCrashed))
	lost := decisionsOf(actions, eventer.RunLost)
	must.Len(t, 1, lost)
	must.Eq(t, worker, lost[0].Worker)

	actions = s.Step(now.Add(50*time.Millisecond), 0, []Event{refused})
	must.SliceEmpty(t, decisionsOf(actions, eventer.WorkerCrashed))
}

// crashScenario is a way in which a job with a task that crashes its workers is
// handled again and again.
type crashScenario struct {
	kind jobKind
	// onCrash runs at the first maxCoincidences crashes of a job, with the instance
	// that has the job.
	onCrash func(w *simWorld, instance *simInstance)
	// failed is set if clients are told in the end that the job failed.
	failed bool
}

// maxStartsAfterThirdCrash is how often a task may be started once three workers have
// crashed under it.
const maxStartsAfterThirdCrash = 2

// maxCoincidences is how many crashes of a worker coincide with the loss of the
// instance that may have counted them.
const maxCoincidences = 3

// unevenSite has instances that own no workers, and count no crashes.
var unevenSite = siteSize{domains: 3, instancesPerDomain: 5, workersPerDomain: 24, strongPerDomain: 2}

// TestCrashingTaskStartsAreBounded guards against a task that crashes worker after
// worker, because nothing counts the crashes or the count is lost with an instance.
func TestCrashingTaskStartsAreBounded(t *testing.T) {
	patient := func(k jobKind) jobKind {
		k.callerTimeout = 15 * time.Second
		return k
	}
	restart := func(w *simWorld, i *simInstance) {
		if i.up {
			i.kill()
			w.after(500*time.Millisecond, i.start)
		}
	}
	cases := map[string]crashScenario{
		"clients submit the job again":       {patient(mediumJob), nil, true},
		"the job starts it again":            {patient(slowJob), nil, true},
		"the instance with the job restarts": {patient(mediumJob), restart, false},
		"another instance restarts": {patient(mediumJob), func(w *simWorld, i *simInstance) {
			restart(w, w.instances[(slices.Index(w.instances, i)+1)%len(w.instances)])
		}, false},
		"the instance with the job drains": {patient(mediumJob), func(w *simWorld, i *simInstance) {
			i.drain()
			w.after(7*time.Second, func() {
				if !i.up {
					i.start()
				}
			})
		}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				runCrashScenario(t, seed, smallSite, c)
			}
			runCrashScenario(t, 0, unevenSite, c)
		})
	}
}

func runCrashScenario(t *testing.T, seed uint64, site siteSize, c crashScenario) {
	t.Helper()
	w := newSimWorld(seed, site)
	w.addMixedTraffic(0.5, 600*time.Millisecond, 20*time.Second, w.evenWeights())
	var crashing []*simJob
	for n := range 4 {
		w.at(time.Duration(1+n)*time.Second, func() {
			instance := w.instances[n]
			j := w.submit(c.kind, instance)
			j.crashingTask, j.maxSubmissions, j.resubmitsRefused = n%c.kind.tasks, 12, true
			crashing = append(crashing, j)
		})
	}
	if c.onCrash != nil {
		w.onCrash = func(j *simJob) {
			if len(j.crashes) <= maxCoincidences {
				c.onCrash(w, j.instance)
			}
		}
	}
	w.run(45 * time.Second)
	for _, j := range crashing {
		must.LessEq(t, 3+maxStartsAfterThirdCrash, len(j.crashes), must.Sprintf("seed %d: crashes at %v", seed, j.crashes))
		if c.failed {
			must.Eq(t, Failed, j.outcome, must.Sprintf("seed %d: crashes at %v", seed, j.crashes))
		}
	}
	for _, j := range w.jobs {
		must.False(t, j.outcome == Failed && j.crashingTask < 0, must.Sprintf("seed %d: job %s failed without a fault of its own", seed, j.spec.Name))
	}
	must.SliceEmpty(t, w.violations)
}

// crashReports returns a message of a peer that reports lost runs of task 0 of job "a".
func crashReports(runs ...namer.RunID) MessageReceived {
	var m PeerMessage
	for _, run := range runs {
		m.Crashes = append(m.Crashes, CrashReport{RunRef: RunRef{"other", namer.TaskName{Job: "a"}, run}})
	}
	return MessageReceived{From: "e0", SourceAddr: peerAddr(0), Message: m}
}

// reservationOutcomes returns, by task index, whether the actions reserve a worker for
// it, and givenUp whether they say that it is given up.
func reservationOutcomes(actions []Action) (reserved, givenUp map[int]bool) {
	reserved, givenUp = make(map[int]bool), make(map[int]bool)
	for _, a := range actions {
		m, isMessage := a.(SendMessage)
		if !isMessage {
			continue
		}
		for _, r := range m.Message.ReserveResponses {
			reserved[r.Task.Index] = r.Worker != ""
			givenUp[r.Task.Index] = r.GivenUp
		}
	}
	return reserved, givenUp
}

// TestReservationsAfterCrashes checks which tasks an owner grants its worker to, after
// crashes under task 0 of a job.
func TestReservationsAfterCrashes(t *testing.T) {
	const size = 6000
	cases := map[string]struct {
		events            []Event
		reserved, givenUp map[int]bool
	}{
		"no crash": {
			[]Event{reserveRequest(0, 100, size), reserveRequest(1, 101, size)},
			map[int]bool{0: true, 1: true},
			map[int]bool{0: false, 1: false},
		},
		"the task shares no worker after a crash": {
			[]Event{crashReports(90), reserveRequest(0, 100, size), reserveRequest(1, 101, size)},
			map[int]bool{0: true, 1: false},
			map[int]bool{0: false, 1: false},
		},
		"a repeated report counts once": {
			[]Event{crashReports(90, 90), crashReports(90), reserveRequest(0, 100, size)},
			map[int]bool{0: true},
			map[int]bool{0: false},
		},
		"the task is given up after two crashes": {
			[]Event{crashReports(90, 91), reserveRequest(0, 100, size), reserveRequest(1, 101, size)},
			map[int]bool{0: false, 1: true},
			map[int]bool{0: true, 1: false},
		},
		"the task is given up while its request waits": {
			[]Event{reserveRequest(0, 100, 20000), crashReports(90, 91)},
			map[int]bool{0: false},
			map[int]bool{0: true},
		},
		"a withdrawn report does not count": {
			[]Event{crashReports(90, 91), MessageReceived{From: "e0", SourceAddr: peerAddr(0), Message: PeerMessage{Crashes: []CrashReport{
				{RunRef: RunRef{"other", namer.TaskName{Job: "a"}, 90}, Withdrawn: true},
				{RunRef: RunRef{"other", namer.TaskName{Job: "a"}, 91}, Withdrawn: true},
			}}}, reserveRequest(0, 100, size), reserveRequest(1, 101, size)},
			map[int]bool{0: true, 1: true},
			map[int]bool{0: false, 1: false},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, now := newOwner()
			reserved, givenUp := reservationOutcomes(s.Step(now, 1, c.events))
			must.Eq(t, c.reserved, reserved)
			must.Eq(t, c.givenUp, givenUp)
		})
	}
}

// TestCountedCrashes checks when an owner counts a crash for a task with a run on its
// worker.
func TestCountedCrashes(t *testing.T) {
	refused := PollResult{Worker: "w", NoResponse: true, Refused: true}
	silent := PollResult{Worker: "w", NoResponse: true}
	startResult := func(status StartStatus) Event {
		return StartResult{Worker: "w", Task: namer.TaskName{Job: "a"}, Run: 100, Status: status, Clock: 1}
	}
	accepted := startResult(StartAccepted)
	listed := []ActiveRun{{Task: namer.TaskName{Job: "a"}, Run: 100}}
	restarted := WorkerListUpdated{Workers: []WorkerInfo{{
		ID: "w", Service: "s", Domain: "d0", Capacity: Resources{Cores: 16000, Memory: 1 << 20}, BootTime: 2,
	}}}
	draining := WorkerListUpdated{Workers: []WorkerInfo{{
		ID: "w", Service: "s", Domain: "d0", Draining: true, Capacity: Resources{Cores: 16000, Memory: 1 << 20}, BootTime: 1,
	}}}
	cases := map[string]struct {
		events []Event
		want   int
	}{
		"the worker is silent":              {[]Event{accepted, silent, silent}, 0},
		"the worker refuses connections":    {[]Event{accepted, refused, refused}, 1},
		"the worker responds again":         {[]Event{accepted, refused, PollResult{Worker: "w", BootTime: 1, Clock: 2, Active: listed}}, 0},
		"the worker has restarted":          {[]Event{accepted, PollResult{Worker: "w", BootTime: 2, Clock: 1}}, 1},
		"it refuses, then it has restarted": {[]Event{accepted, refused, PollResult{Worker: "w", BootTime: 2, Clock: 1}}, 1},
		"the list shows the restart first":  {[]Event{accepted, restarted, PollResult{Worker: "w", BootTime: 2, Clock: 1}}, 1},
		"the run is on the new incarnation": {[]Event{accepted, PollResult{Worker: "w", BootTime: 2, Clock: 1, Active: listed}}, 0},
		"the run is on the new incarnation, the list shows it first": {[]Event{
			accepted, restarted, PollResult{Worker: "w", BootTime: 2, Clock: 1, Active: listed},
		}, 0},
		"the run has ended on the new incarnation": {[]Event{
			accepted, PollResult{Worker: "w", BootTime: 2, Clock: 1, Ended: []EndedRun{{Sequence: 1, Task: listed[0].Task, Run: 100}}},
		}, 0},
		"the worker has left":         {[]Event{accepted, draining, refused}, 0},
		"the start got no response":   {[]Event{startResult(StartNoResponse), refused}, 1},
		"the start gets no response":  {[]Event{refused, startResult(StartNoResponse)}, 1},
		"the start reached no worker": {[]Event{startResult(StartNotSent), refused}, 0},
		"the start reaches no worker": {[]Event{refused, startResult(StartNotSent)}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, now := newOwner()
			s.Step(now, 1, []Event{reserveRequest(0, 100, 6000)})
			s.Step(now, 1, []Event{startOrder(0, 100)})
			for _, e := range c.events {
				now = now.Add(30 * time.Millisecond)
				s.Step(now, 1, []Event{e})
			}
			must.Eq(t, c.want, s.crashes.Count(listed[0].Task))
		})
	}
}

// TestNewOwnerLearnsCrashes checks that an instance that becomes an owner is told of the
// crashes before.
func TestNewOwnerLearnsCrashes(t *testing.T) {
	s, now := newOwner()
	s.Step(now, 1, []Event{crashReports(90, 91)})
	heartbeat := ownerHeartbeat(1, "d0")
	s.Step(now.Add(10*time.Millisecond), 1, []Event{heartbeat})
	var told []CrashReport
	for n := range 20 {
		for _, a := range s.Step(now.Add(time.Duration(20+10*n)*time.Millisecond), 1, nil) {
			if m, isMessage := a.(SendMessage); isMessage && m.To == peerAddr(1) {
				told = append(told, m.Message.Crashes...)
			}
		}
	}
	must.GreaterEq(t, 2, len(told))
}

// startOwnJob submits a job of one task to an owner, whose worker accepts its start.
func startOwnJob(t *testing.T, s *Scheduler, now time.Time, objective, callerTimeout time.Duration) {
	t.Helper()
	starts := startsOf(s.Step(now, 1, []Event{JobSubmitted{Call: 1, Job: JobSpec{
		Name: "b", Kind: "short", Service: "s", MaxAttempts: 2, ObjectiveFactor: 1, ObjectiveBase: objective,
		CallerTimeout: callerTimeout, Steps: []StepSpec{{Count: 1, Size: Resources{Cores: 8000}, EstimatedRunTime: 60 * time.Millisecond}},
	}}}))
	must.Len(t, 1, starts)
	s.Step(now, 1, []Event{StartResult{Worker: "w", Task: starts[0].Task, Run: starts[0].Run, Status: StartAccepted, Clock: 1}})
}

// TestLostRunEndsJob guards against a caller who waits for the answer of a crashed
// worker until its job can no longer end in time.
func TestLostRunEndsJob(t *testing.T) {
	cases := map[string]struct {
		objective time.Duration
		want      []Outcome
	}{
		"the task can't start again in time": {500 * time.Millisecond, []Outcome{Aborted}},
		"the task may start again in time":   {5 * time.Second, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, now := newOwner()
			startOwnJob(t, s, now, c.objective, time.Minute)
			actions := s.Step(now.Add(20*time.Millisecond), 1, []Event{PollResult{Worker: "w", NoResponse: true, Refused: true}})
			var got []Outcome
			for _, a := range append(actions, s.Step(now.Add(20*time.Millisecond+deadlineCheckInterval), 1, nil)...) {
				if r, isResult := a.(JobResult); isResult {
					got = append(got, r.Outcome)
				}
			}
			must.Eq(t, c.want, got)
		})
	}
}

// TestRunsOfLostWorkersAreForgotten guards against runs that stay in the tables after
// their worker is lost for good, since nobody reports their end: the instance is never
// idle, and a job that is submitted again gets no worker.
func TestRunsOfLostWorkersAreForgotten(t *testing.T) {
	removed := WorkerListUpdated{Workers: []WorkerInfo{{ID: "w", Removed: true}}}
	cases := map[string]struct {
		list *WorkerListUpdated
		idle bool
	}{
		"the worker is silent":             {nil, false},
		"the worker is silent and removed": {&removed, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, now := newOwner()
			startOwnJob(t, s, now, time.Second, time.Second)
			if c.list != nil {
				s.Step(now, 1, []Event{*c.list})
			}
			for end := now.Add(lostRunRetention + 2*peerCheckInterval); now.Before(end); now = now.Add(100 * time.Millisecond) {
				s.Step(now, 1, []Event{ownerHeartbeat(0, "d0"), PollResult{Worker: "w", NoResponse: true}})
			}
			must.Eq(t, c.idle, s.Idle())
		})
	}
}

// TestGivenUpStartsAreNoCrashes guards against a job that is answered as failed because
// workers crash some time after starts there got no answer and were given up.
func TestGivenUpStartsAreNoCrashes(t *testing.T) {
	const wait = 900 * time.Millisecond
	list := PollResult{Worker: "w", Clock: 1}
	stopped := StopResult{Worker: "w", Acknowledged: true}
	cases := map[string]struct {
		latency time.Duration
		// after follows the missing answer of each start.
		after []Event
	}{
		"it timed out and is given up":                     {time.Second, nil},
		"it timed out, the worker goes on":                 {time.Second, []Event{list}},
		"it timed out and is stopped":                      {time.Second, []Event{list, stopped}},
		"it timed out, is stopped and replaced":            {time.Second, []Event{list, stopped, list}},
		"its connection broke, the worker goes on":         {0, []Event{list}},
		"its connection broke, it is stopped":              {0, []Event{list, stopped}},
		"its connection broke, it is stopped and replaced": {0, []Event{list, stopped, list}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, now := newOwner()
			boot := namer.UnixMillis(1)
			actions := s.Step(now, 1, []Event{JobSubmitted{Call: 1, Job: JobSpec{
				Name: "b", Kind: "short", Service: "s", MaxAttempts: 2, ObjectiveFactor: 1, ObjectiveBase: 20 * time.Second, CallerTimeout: time.Minute,
				Steps: []StepSpec{{Count: 1, Size: Resources{Cores: 8000}, EstimatedRunTime: 60 * time.Millisecond}},
			}}})
			rounds := 0
			step := func(e Event) {
				now = now.Add(10 * time.Millisecond)
				actions = append(actions, s.Step(now, 1, []Event{ownerHeartbeat(0, "d0"), e})...)
			}
			for range maxCrashes {
				starts := startsOf(actions)
				if len(starts) == 0 {
					break
				}
				start := starts[len(starts)-1]
				actions = nil
				rounds++
				step(StartResult{Worker: "w", Task: start.Task, Run: start.Run, Status: StartNoResponse, Latency: c.latency})
				for _, e := range c.after {
					step(answerTo(e, start, now, boot))
				}
				now = now.Add(wait)
				step(PollResult{Worker: "w", NoResponse: true, Refused: true, SentAt: now})
				must.False(t, s.isIsolated(start.Task))
				boot++
				now = now.Add(minRestartTime)
				for range 3 {
					step(PollResult{Worker: "w", SentAt: now, BootTime: boot, Clock: 1})
					step(StopResult{Worker: "w", Task: start.Task, Run: start.Run, Acknowledged: true})
				}
				step(WorkerListUpdated{Workers: []WorkerInfo{noticeEntry(false, 0, boot)}})
				for range 30 {
					step(PollResult{Worker: "w", SentAt: now, BootTime: boot, Clock: 1})
				}
				for _, a := range actions {
					r, isResult := a.(JobResult)
					must.False(t, isResult && r.Outcome == Failed)
				}
			}
			must.Eq(t, maxCrashes, rounds)
		})
	}
}

// answerTo fills in the fields of a worker's answer that a test case leaves open.
func answerTo(e Event, start Start, sentAt time.Time, boot namer.UnixMillis) Event {
	switch e := e.(type) {
	case PollResult:
		e.SentAt, e.BootTime = sentAt, boot
		return e
	case StopResult:
		e.Task, e.Run = start.Task, start.Run
		return e
	}
	return e
}

// TestUnlistedForeignRunsAreNoCrashes guards against a job that is answered as failed for
// starts of other instances that got no answer and that no list of the worker ever had.
func TestUnlistedForeignRunsAreNoCrashes(t *testing.T) {
	const run = namer.RunID(1<<20 | 2)
	task := namer.TaskName{Job: "a"}
	listed := []ActiveRun{{Task: task, Run: run}}
	cases := map[string]struct {
		latency   time.Duration
		lists     [][]ActiveRun
		restarted bool
		want      int
	}{
		"it timed out":                              {time.Second, nil, false, 0},
		"it timed out, the worker goes on":          {time.Second, [][]ActiveRun{nil}, false, 0},
		"its connection broke, the worker goes on":  {0, [][]ActiveRun{nil}, false, 0},
		"its connection broke":                      {0, nil, false, 1},
		"it timed out, then it is listed":           {time.Second, [][]ActiveRun{nil, listed}, false, 1},
		"the worker goes on, then it has restarted": {0, [][]ActiveRun{nil}, true, 0},
		"it timed out, the worker has restarted":    {time.Second, nil, true, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, now := newOwner()
			s.learnUnguarded("s", true)
			fence := claimOf(s.Step(now, 1, nil))
			list := func(active []ActiveRun) Event {
				return PollResult{Worker: "w", SentAt: now, BootTime: 1, Clock: 1, Fence: fence, Active: active}
			}
			s.Step(now, 1, []Event{list(nil)})
			s.Step(now, 1, []Event{reserveRequest(0, run, 6000)})
			must.Len(t, 1, startsOf(s.Step(now, 1, []Event{startOrder(0, run)})))
			s.Step(now, 1, []Event{StartResult{Worker: "w", Task: task, Run: run, Status: StartNoResponse, Fence: fence, Latency: c.latency}})
			for _, active := range c.lists {
				now = now.Add(10 * time.Millisecond)
				s.Step(now, 1, []Event{list(active)})
			}
			now = now.Add(50 * time.Millisecond)
			if c.restarted {
				fence = claimOf(s.Step(now, 1, []Event{WorkerListUpdated{Workers: []WorkerInfo{{
					ID: "w", Service: "s", Domain: "d0", Capacity: Resources{Cores: 16000, Memory: 1 << 20}, BootTime: 2,
				}}}}))
				s.Step(now.Add(time.Millisecond), 1, []Event{PollResult{Worker: "w", SentAt: now, BootTime: 2, Clock: 1, Fence: fence}})
			} else {
				s.Step(now, 1, []Event{PollResult{Worker: "w", NoResponse: true, Refused: true, SentAt: now}})
			}
			must.Eq(t, c.want, s.crashes.Count(task))
		})
	}
}

// TestLateOrdersFailNoJob guards against jobs that are answered as failed although no two
// workers have crashed under a task, when workers crash and restart while starts get no
// answer and are carried out late.
func TestLateOrdersFailNoJob(t *testing.T) {
	for _, unguarded := range []bool{false, true} {
		t.Run(fmt.Sprintf("unguarded %t", unguarded), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				w := newUnguardedWorld(9000+seed, unguarded)
				crashes := w.crashUnderLateOrders(2*time.Second, 5500*time.Millisecond)
				w.run(14 * time.Second)
				for _, j := range w.jobs {
					most := 0
					for n := range j.taskCores {
						most = max(most, crashes[namer.TaskName{Job: j.spec.Name, Index: n}])
					}
					must.False(t, j.outcome == Failed && most < maxCrashes, must.Sprintf("seed %d: job %s has failed, with %d crashes under a task", seed, j.spec.Name, most))
				}
			}
		})
	}
}

// crashUnderLateOrders makes half of the requests late for a while, and some of the workers
// crash each 450 ms, whose machines stay up. It returns how many crashes each task had a run
// in, or the end of one that only the worker knew.
func (w *simWorld) crashUnderLateOrders(from, until time.Duration) map[namer.TaskName]int {
	crashes := make(map[namer.TaskName]int)
	w.at(from, func() { w.delayedShare = 0.5 })
	w.at(until, func() { w.delayedShare = 0 })
	for at := from + 600*time.Millisecond; at < until; at += 450 * time.Millisecond {
		w.at(at, func() {
			for _, n := range w.faultRand.Perm(len(w.workers))[:len(w.workers)/6] {
				s := w.workers[n]
				if s.down {
					continue
				}
				for key := range s.runs {
					crashes[key.task]++
				}
				for _, e := range s.ended {
					crashes[e.Task]++
				}
				s.crash()
				s.refusing = true
				w.after(600*time.Millisecond, s.reboot)
			}
		})
	}
	return crashes
}

// TestEvidenceOfCrashes guards against a job that is answered as failed because workers
// crash for other reasons while they hold back starts of it, and against a task that is
// started again and again because its starts never get an answer.
func TestEvidenceOfCrashes(t *testing.T) {
	const seen, likely, possible = crashcounter.Seen, crashcounter.Likely, crashcounter.Possible
	cases := map[string]struct {
		crashes []crashcounter.Evidence
		givenUp bool
	}{
		"one run that was seen":                  {[]crashcounter.Evidence{seen}, false},
		"two runs that were seen":                {[]crashcounter.Evidence{seen, seen}, true},
		"a run and a start cut off at once":      {[]crashcounter.Evidence{seen, likely}, false},
		"a run and a start without an answer":    {[]crashcounter.Evidence{seen, possible}, false},
		"two starts cut off at once":             {[]crashcounter.Evidence{likely, likely}, true},
		"two starts without an answer":           {[]crashcounter.Evidence{possible, possible}, false},
		"three starts without an answer":         {[]crashcounter.Evidence{possible, possible, possible}, true},
		"a run and two starts without an answer": {[]crashcounter.Evidence{seen, possible, possible}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, now := newOwner()
			task := namer.TaskName{Job: "a"}
			for n, e := range c.crashes {
				s.Step(now, 1, []Event{MessageReceived{From: "e0", SourceAddr: peerAddr(0), Message: PeerMessage{
					Crashes: []CrashReport{{RunRef: RunRef{"other", task, namer.RunID(90 + n)}, Evidence: e}},
				}}})
			}
			must.Eq(t, c.givenUp, s.isGivenUp(task))
			must.True(t, s.isIsolated(task))
		})
	}
}

// TestEvidenceOfStarts checks what a crash says of a start that got no answer.
func TestEvidenceOfStarts(t *testing.T) {
	const timeout = minStartTimeout
	cases := map[string]struct {
		latency           time.Duration
		refused, restarts bool
		evidence          crashcounter.Evidence
	}{
		"its connection broke at once": {time.Millisecond, true, true, crashcounter.Likely},
		"its connection broke late":    {timeout - 1, true, true, crashcounter.Possible},
		"it timed out":                 {timeout, false, true, crashcounter.Possible},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := doubtAfter(c.latency, timeout)
			must.Eq(t, c.refused, d.counts(true))
			must.Eq(t, c.restarts, d.counts(false))
			must.Eq(t, c.evidence, d.evidence(false))
			must.Eq(t, crashcounter.Seen, d.evidence(true))
		})
	}
}
