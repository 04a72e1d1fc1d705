package scheduler

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heatherslip/heatherslip/internal/core/estimator"
	"github.com/heatherslip/heatherslip/internal/core/registrar"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

var (
	slowSpeed = estimator.Report{LogFactor: math.Log(2), Variance: 0.01, Observations: 40}
	fastSpeed = estimator.Report{LogFactor: -math.Log(2), Variance: 0.01, Observations: 40}
)

// adoptSpeed makes a scheduler believe a speed of a worker.
func adoptSpeed(s *Scheduler, w *worker, r estimator.Report) { s.speeds.Adopt(s.now, &w.speed, r) }

// TestPrefersWorker answers for workers of unequal speed: what has slack takes the slow
// ones, and equal workers are chosen by their free capacity alone.
func TestPrefersWorker(t *testing.T) {
	const slow, normal, fast, tight = "slow", "normal", "fast", "tight"
	cases := map[string]struct {
		// timeLeft is zero if the job has no objective.
		timeLeft time.Duration
		workers  map[namer.Worker]estimator.Report
		want     namer.Worker
	}{
		"no objective":                   {0, map[namer.Worker]estimator.Report{slow: slowSpeed, normal: {}, fast: fastSpeed}, slow},
		"slack for the slow one":         {300 * time.Millisecond, map[namer.Worker]estimator.Report{slow: slowSpeed, normal: {}, fast: fastSpeed}, slow},
		"slack for the normal one":       {140 * time.Millisecond, map[namer.Worker]estimator.Report{slow: slowSpeed, normal: {}, fast: fastSpeed}, normal},
		"late on all, the fast is best":  {10 * time.Millisecond, map[namer.Worker]estimator.Report{slow: slowSpeed, normal: {}, fast: fastSpeed}, fast},
		"late on all equal ones":         {10 * time.Millisecond, map[namer.Worker]estimator.Report{tight: {}, normal: {}}, tight},
		"equal ones":                     {140 * time.Millisecond, map[namer.Worker]estimator.Report{tight: {}, normal: {}}, tight},
		"the slow one is better than no": {10 * time.Millisecond, map[namer.Worker]estimator.Report{slow: slowSpeed}, slow},
	}
	// The slower a worker, the less of it is free.
	cores := map[namer.Worker]namer.MilliCores{tight: 8000, slow: 9000, normal: 16000, fast: 24000}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, now := newOwner()
			s.now, s.ownedWorkers = now, nil
			for id, speed := range c.workers {
				w := &worker{
					id: id, service: "s", listed: true, runsListed: true, lastSeen: now, owned: true,
					capacity: Resources{Cores: cores[id], Memory: 1},
				}
				adoptSpeed(s, w, speed)
				s.ownedWorkers = append(s.ownedWorkers, w)
			}
			request := &placementRequest{service: "s", step: &StepSpec{Size: Resources{Cores: 8000}}, predicted: 100 * time.Millisecond}
			if c.timeLeft > 0 {
				request.finishBy = now.Add(c.timeLeft)
			}
			best, _ := s.chooseWorker(request)
			must.Eq(t, c.want, best.id)
			must.Eq(t, 0, testing.AllocsPerRun(10, func() { s.chooseWorker(request) }))
		})
	}
}

// TestTaskIsHeld answers for a worker that is too slow for a task while the fast ones are
// busy: the peer is told to ask others, and gets the slow one if nothing else turns up.
func TestTaskIsHeld(t *testing.T) {
	const timeLeft = 200 * time.Millisecond
	cases := map[string]struct {
		speeds []estimator.Report
		// granted is what the peer gets at once, and late shortly before the job has to start.
		granted, late []namer.Worker
	}{
		"a fast one is busy":   {[]estimator.Report{slowSpeed, fastSpeed}, nil, []namer.Worker{"w"}},
		"equal ones":           {[]estimator.Report{{}, {}}, []namer.Worker{"w"}, nil},
		"all are slow":         {[]estimator.Report{slowSpeed, slowSpeed}, []namer.Worker{"w"}, nil},
		"the free one is fast": {[]estimator.Report{fastSpeed, fastSpeed}, []namer.Worker{"w"}, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, now := newOwner()
			busy := s.newWorker("busy")
			busy.service, busy.domain, busy.listed, busy.capacity, busy.entryBootTime = "s", "d0", true, Resources{Cores: 8000, Memory: 1 << 20}, 1
			s.Step(now.Add(deadlineCheckInterval), 1, nil)
			now = now.Add(deadlineCheckInterval)
			s.Step(now, 1, []Event{PollResult{Worker: "busy", SentAt: now, BootTime: 1, Clock: 1}})
			busy.fullUntil = now.Add(time.Hour)
			adoptSpeed(s, s.workers["w"], c.speeds[0])
			adoptSpeed(s, busy, c.speeds[1])
			request := reserveRequest(0, 100, 6000)
			request.Message.ReserveRequests[0].PredictedRunTime = 150 * time.Millisecond
			request.Message.ReserveRequests[0].TimeLeft, request.Message.ReserveRequests[0].Timeout = timeLeft, timeLeft/5
			must.Eq(t, c.granted, reservedWorkers(s.Step(now, 1, []Event{request})))
			must.Eq(t, c.late, reservedWorkers(s.Step(now.Add(timeLeft/5-10*time.Millisecond), 1, nil)))
		})
	}
}

// runForeign lets a peer run a task of its own job on worker w and returns a time when
// the next one can start. gap is a pause of the instance while the task runs, and late how
// late a poll is sent that lists the end.
func runForeign(s *Scheduler, now time.Time, n int, runTime, gap, late time.Duration) time.Time {
	run := namer.RunID(int64(n+1)<<20 | 2)
	task := namer.TaskName{Job: namer.JobName(string(rune('a' + n)))}
	request, order := reserveRequest(0, run, 9000), startOrder(0, run)
	request.Message.ReserveRequests[0].Task, order.Message.StartOrders[0].Task, order.Message.Payloads[0].Job = task, task, task.Job
	heartbeat := ownerHeartbeat(0, "d0")
	heartbeat.Draining = true
	s.Step(now, 1, []Event{heartbeat, request})
	s.Step(now, 1, []Event{order})
	s.Step(now, 1, []Event{StartResult{Worker: "w", Task: task, Run: run, Status: StartAccepted, Clock: 2}})
	sentAt, paused := now, gap > 0
	for until := now.Add(runTime); now.Before(until); {
		now = now.Add(10 * time.Millisecond)
		if gap > 0 {
			now, gap = now.Add(gap), 0
		}
		s.Step(now, 1, nil)
	}
	if late > 0 {
		now = now.Add(late)
		sentAt = now
	}
	s.Step(now, 1, []Event{PollResult{Worker: "w", SentAt: sentAt, BootTime: 1, Clock: 3, Ended: []EndedRun{{Sequence: int64(n + 1), Task: task, Run: run}}}})
	if paused {
		// After a pause the worker gets no start before it has listed its runs again.
		s.Step(now, 1, []Event{PollResult{Worker: "w", SentAt: now, BootTime: 1, Clock: 3}})
	}
	return now.Add(resumeDelay)
}

// TestSpeedOfForeignRuns checks that an owner learns from the runs of peers, and not from
// those during which it was paused or whose end was listed late.
func TestSpeedOfForeignRuns(t *testing.T) {
	cases := map[string]struct {
		runTime, pause, late time.Duration
		want                 estimator.Class
	}{
		"as predicted":           {50 * time.Millisecond, 0, 0, estimator.Normal},
		"slow":                   {150 * time.Millisecond, 0, 0, estimator.Slow},
		"paused while they run":  {50 * time.Millisecond, registrar.PauseThreshold, 0, estimator.Normal},
		"half the predicted one": {20 * time.Millisecond, 0, 0, estimator.Fast},
		"listed late":            {50 * time.Millisecond, 0, 200 * time.Millisecond, estimator.Normal},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, now := newOwner()
			for n := range 20 {
				now = runForeign(s, now, n, c.runTime, c.pause, c.late)
			}
			must.Eq(t, c.want, s.workers["w"].speed.Class())
			if c.pause+c.late > 0 {
				must.Eq(t, 0, s.workers["w"].speed.Observations())
				must.Eq(t, 20, s.WorkerSpeeds().Rejected)
			}
		})
	}
}

// TestSpeedIsHandedOver checks what an owner tells the next one, again in case that the
// message is lost.
func TestSpeedIsHandedOver(t *testing.T) {
	s, now := newOwner()
	adoptSpeed(s, s.workers["w"], slowSpeed)
	heartbeat := ownerHeartbeat(0, "d0")
	heartbeat.CPULimit = 1 << 40
	var reports []SpeedReport
	for until := now.Add(10 * time.Second); now.Before(until); now = now.Add(50 * time.Millisecond) {
		for _, a := range s.Step(now, 1, []Event{heartbeat}) {
			if m, isMessage := a.(SendMessage); isMessage {
				reports = append(reports, m.Message.Speeds...)
			}
		}
	}
	must.False(t, s.workers["w"].owned)
	must.Len(t, speedReportCount, reports)
	must.Eq(t, namer.UnixMillis(1), reports[0].BootTime)
	must.Eq(t, slowSpeed.LogFactor, reports[0].Speed.LogFactor)
}

// TestSpeedReports checks what a new owner believes, whatever becomes of the old one and
// its messages.
func TestSpeedReports(t *testing.T) {
	report := func(bootTime namer.UnixMillis, r estimator.Report) Event {
		return MessageReceived{From: "e0", SourceAddr: peerAddr(0), Message: PeerMessage{Speeds: []SpeedReport{{"w", bootTime, r}}}}
	}
	cases := map[string]struct {
		events []Event
		want   float64
	}{
		"the old owner died before it reported": {nil, 1},
		"reported":                              {[]Event{report(1, slowSpeed)}, 2},
		"reported again":                        {[]Event{report(1, slowSpeed), report(1, slowSpeed)}, 2},
		"an earlier incarnation's":              {[]Event{WorkerListUpdated{[]WorkerInfo{{ID: "w", BootTime: 2}}}, report(1, slowSpeed)}, 1},
		"the worker restarts":                   {[]Event{report(1, slowSpeed), WorkerListUpdated{[]WorkerInfo{{ID: "w", BootTime: 2}}}}, 1},
		"impossible":                            {[]Event{report(1, estimator.Report{LogFactor: 1e9, Variance: 0.01, Observations: 40})}, estimator.MaxFactor},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, now := newOwner()
			s.Step(now, 1, c.events)
			must.InDelta(t, c.want, s.workers["w"].speed.Factor(now), 0.01)
		})
	}
}

// TestSlowWorkerIsSound checks that a run on a slow worker neither extends the objective
// of its job nor counts as a straggler, unless the worker turns slower than it was.
func TestSlowWorkerIsSound(t *testing.T) {
	cases := map[string]struct {
		// projected is the run time on the slow worker by progress; predicted are 100 ms,
		// and a sibling took 60 ms on a fast one.
		projected time.Duration
		straggler bool
	}{
		"as slow as ever":  {240 * time.Millisecond, false},
		"turned slower":    {1000 * time.Millisecond, true},
		"faster than ever": {100 * time.Millisecond, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, now := newOwner()
			s.now = now
			w := s.workers["w"]
			adoptSpeed(s, w, slowSpeed)
			j := &job{
				JobSpec:   JobSpec{Kind: "short", ObjectiveFactor: 1.6, Steps: []StepSpec{{Count: 2, EstimatedRunTime: 100 * time.Millisecond}}},
				arrivedAt: now, objectiveAt: now.Add(600 * time.Millisecond),
			}
			j.tasks = []*task{{job: j, step: &j.Steps[0], id: namer.TaskName{Job: "a"}}}
			r := s.addRun(j.tasks[0], w, 1, Resources{}, s.forecastOn(w, 100*time.Millisecond))
			s.confirmRun(r)
			s.observeOwnRun(&run{worker: &worker{}, forecast: forecast{base: 100 * time.Millisecond, expected: 50 * time.Millisecond}}, j.tasks[0], 60*time.Millisecond)
			s.now = now.Add(120 * time.Millisecond)
			r.progressPercent, r.progressAt = int(120*time.Millisecond*100/c.projected), s.now
			must.Eq(t, c.straggler, s.isStraggler(j.tasks[0]))

			s.observeOwnRun(r, j.tasks[0], 200*time.Millisecond)
			must.Eq(t, now.Add(600*time.Millisecond), j.objectiveAt)
		})
	}
}
