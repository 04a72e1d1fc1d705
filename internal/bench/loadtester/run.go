package loadtester

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/heatherslip/heatherslip/internal/bench/fleetstarter"
	"github.com/heatherslip/heatherslip/internal/cli/client"
	"github.com/heatherslip/heatherslip/internal/config/generator"
	"github.com/heatherslip/heatherslip/internal/edge/server"
	"github.com/heatherslip/heatherslip/internal/standin/emulator"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// scenarioRun is a run of a scenario in progress.
type scenarioRun struct {
	scenario  *Scenario
	fleet     *fleetstarter.Fleet
	service   namer.Service
	startedAt time.Time
	wg        sync.WaitGroup
	mu        sync.Mutex
	results   []callResult
}

// arrival is one call of an open-loop load: its time doesn't depend on earlier answers.
type arrival struct {
	offset    time.Duration
	loadIndex int
	// runTimes contains the run time of each task.
	runTimes []time.Duration
	// sequence is the position in the order of time.
	sequence int
}

// drawArrivals draws all arrivals of a scenario from its seed and sorts them by time.
func drawArrivals(scenario *Scenario) []arrival {
	var arrivals []arrival
	for i := range scenario.Loads {
		load := &scenario.Loads[i]
		rng := rand.New(rand.NewPCG(scenario.Seed, uint64(i)+1))
		end := load.EndAt
		if end == 0 {
			end = scenario.Duration
		}
		offset := load.StartAt
		for {
			offset += time.Duration(rng.ExpFloat64() / load.CallsPerSecond * float64(time.Second))
			if offset >= end {
				break
			}
			a := arrival{offset: offset, loadIndex: i}
			for range load.TasksPerCall {
				a.runTimes = append(a.runTimes, load.MinRunTime+time.Duration(rng.Int64N(int64(load.MaxRunTime-load.MinRunTime)+1)))
			}
			arrivals = append(arrivals, a)
		}
	}
	sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].offset < arrivals[j].offset })
	for i := range arrivals {
		arrivals[i].sequence = i
	}
	return arrivals
}

// callResult is the result of one call.
type callResult struct {
	loadIndex    int
	offset       time.Duration
	responseTime time.Duration
	// idealTime is the run time of the longest task.
	idealTime time.Duration
	answer    coder.Answer
	err       error
}

// readyTimeout is how long a fleet may take until all its instances are synced.
const readyTimeout = 30 * time.Second

// Run starts a fleet, runs a scenario on it and returns the report.
func Run(ctx context.Context, scenario *Scenario) (*Report, error) {
	opts := fleetstarter.Options{
		Site: emulator.AkademiaSite(), Instances: scenario.Instances, Questionnaire: generator.SampleAkademia,
		Token: generator.SampleAkademiaToken, Mode: scenario.Mode, Log: scenario.Log,
	}
	if scenario.User == "association" {
		opts.Site, opts.Questionnaire, opts.Token = emulator.AssociationSite(), generator.SampleAssociation, generator.SampleAssociationToken
	}
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	fleet, err := fleetstarter.New(readyCtx, opts)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	r := &scenarioRun{scenario: scenario, fleet: fleet, service: namer.Service(opts.Site.Service)}
	arrivals := drawArrivals(scenario)
	statsBefore := fleet.Platform.Stats()
	peerMessagesBefore := fleet.PeerMessagesSent()
	r.startedAt = time.Now()
	r.startFaults(ctx)
	r.sendCalls(ctx, arrivals)
	r.wg.Wait()
	statsAfter := fleet.Platform.Stats()
	return r.buildReport(statsBefore, statsAfter, fleet.PeerMessagesSent()-peerMessagesBefore), nil
}

// sendCalls sends each call at its time, without waiting for the answers to others.
func (r *scenarioRun) sendCalls(ctx context.Context, arrivals []arrival) {
	clients := r.fleet.Clients
	for i := range arrivals {
		a := &arrivals[i]
		if wait := a.offset - time.Since(r.startedAt); wait > 0 {
			time.Sleep(wait)
		}
		if ctx.Err() != nil {
			return
		}
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			r.sendCall(ctx, r.pickClient(clients, a.sequence), a)
		}()
	}
}

// pickClient acts as a round-robin load balancer over the instances that are alive.
func (r *scenarioRun) pickClient(clients []*client.Client, sequence int) *client.Client {
	for i := range clients {
		index := (sequence + i) % len(clients)
		if r.fleet.IsAlive(index) {
			return clients[index]
		}
	}
	return clients[0]
}

func (r *scenarioRun) sendCall(ctx context.Context, c *client.Client, a *arrival) {
	load := &r.scenario.Loads[a.loadIndex]
	result := callResult{loadIndex: a.loadIndex, offset: a.offset}
	for _, runTime := range a.runTimes {
		result.idealTime = max(result.idealTime, runTime)
	}
	if load.Type == "job" {
		result.answer, result.err = r.submitJob(ctx, c, load, a)
	} else {
		result.answer, result.err = r.sendRequest(ctx, c, load, a)
	}
	result.responseTime = time.Since(r.startedAt) - a.offset
	r.mu.Lock()
	r.results = append(r.results, result)
	r.mu.Unlock()
}

// taskPayload returns the payload that makes a worker or minion run for a time.
func taskPayload(load *Load, runTime time.Duration) string {
	if load.FailTasks {
		return fmt.Sprintf("run=%s fail", runTime)
	}
	return "run=" + runTime.String()
}

// declaredMillis returns the run time that a call declares, in milliseconds.
func declaredMillis(load *Load, runTime time.Duration) int {
	if load.DeclaredRunTime > 0 {
		runTime = load.DeclaredRunTime
	}
	return int(runTime / time.Millisecond)
}

func (r *scenarioRun) sendRequest(ctx context.Context, c *client.Client, load *Load, a *arrival) (coder.Answer, error) {
	var key namer.Key
	if load.Type == "once" {
		newKey, err := namer.NewKey("")
		if err != nil {
			return coder.Answer{}, err
		}
		key = newKey
	}
	return c.Request(ctx, r.service, key, server.RequestBody{
		Kind: load.Kind, Repeatable: load.Type == "request", RunTimeMillis: declaredMillis(load, a.runTimes[0]),
		Payload: taskPayload(load, a.runTimes[0]), DeadlineMillis: int(load.Deadline / time.Millisecond),
	})
}

func (r *scenarioRun) submitJob(ctx context.Context, c *client.Client, load *Load, a *arrival) (coder.Answer, error) {
	var homeDomain namer.Domain
	if load.UseHomeDomain {
		domain, err := c.HomeDomain(ctx)
		if err != nil {
			return coder.Answer{}, err
		}
		homeDomain = domain
	}
	key, err := namer.NewKey(homeDomain)
	if err != nil {
		return coder.Answer{}, err
	}
	body := server.JobBody{Key: key, Kind: load.Kind, WaitForResult: true, DeadlineMillis: int(load.Deadline / time.Millisecond)}
	for _, runTime := range a.runTimes {
		body.Tasks = append(body.Tasks, coder.TaskSpec{
			Cores: namer.MilliCores(load.MilliCores), Memory: 128, RunTimeMillis: declaredMillis(load, runTime), Payload: taskPayload(load, runTime),
		})
	}
	if load.CancelFraction > 0 && float64(a.sequence%100) < load.CancelFraction*100 {
		timer := time.AfterFunc(a.runTimes[0]/2, func() { _, _ = c.Cancel(ctx, key) })
		defer timer.Stop()
	}
	return c.Submit(ctx, body)
}

// startFaults starts a goroutine for each fault, which sets and clears it at its times.
func (r *scenarioRun) startFaults(ctx context.Context) {
	for _, fault := range r.scenario.Faults {
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			if !r.sleepUntil(ctx, fault.StartAt) {
				return
			}
			r.setFault(fault, true)
			if fault.EndAt > 0 && r.sleepUntil(ctx, fault.EndAt) {
				r.setFault(fault, false)
			}
		}()
	}
}

// sleepUntil sleeps until an offset from the start of the run. It returns false if ctx ends
// before.
func (r *scenarioRun) sleepUntil(ctx context.Context, offset time.Duration) bool {
	select {
	case <-time.After(offset - time.Since(r.startedAt)):
		return true
	case <-ctx.Done():
		return false
	}
}

const (
	logDelayMillis      = 5
	stragglerSlowFactor = 10
)

// setFault sets or clears a fault. Killed instances stay down.
func (r *scenarioRun) setFault(fault Fault, active bool) {
	switch fault.Kind {
	case "log-down":
		r.fleet.Platform.SetFaults(emulator.FaultBody{Name: "log", Log: &emulator.LogFaults{Unavailable: active, DelayMillis: logDelayMillis}})
	case "kill":
		if active {
			r.fleet.KillInstance(fault.Target)
		}
	default:
		for _, name := range r.fleet.Platform.WorkerNames()[:fault.Target] {
			faults := emulator.WorkerFaults{
				FailAll:          active && fault.Kind == "black-hole",
				DropStartAnswers: active && fault.Kind == "lose-starts",
			}
			if active && fault.Kind == "straggler" {
				faults.SlowFactor = stragglerSlowFactor
			}
			r.fleet.Platform.SetFaults(emulator.FaultBody{Name: name, Worker: &faults})
		}
	}
}
