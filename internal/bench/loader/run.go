package loader

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/heatherslip/heatherslip/internal/bench/assembler"
	"github.com/heatherslip/heatherslip/internal/cli/client"
	"github.com/heatherslip/heatherslip/internal/config/generator"
	"github.com/heatherslip/heatherslip/internal/edge/server"
	"github.com/heatherslip/heatherslip/internal/standin/emulator"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// arrival is one call, at a time that does not depend on earlier answers.
type arrival struct {
	at   time.Duration
	load int
	// runs are the run times of the tasks.
	runs []time.Duration
	seq  int
}

// schedule draws all arrivals before the run, from the scenario's seed.
func schedule(s *Scenario) []arrival {
	var all []arrival
	for i := range s.Loads {
		l := &s.Loads[i]
		rng := rand.New(rand.NewPCG(s.Seed, uint64(i)+1))
		until := l.Until
		if until == 0 {
			until = s.Length
		}
		at := l.From
		for {
			at += time.Duration(rng.ExpFloat64() / l.Rate * float64(time.Second))
			if at >= until {
				break
			}
			a := arrival{at: at, load: i}
			for range l.Tasks {
				a.runs = append(a.runs, l.Low+time.Duration(rng.Int64N(int64(l.High-l.Low)+1)))
			}
			all = append(all, a)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].at < all[j].at })
	for i := range all {
		all[i].seq = i
	}
	return all
}

// run is one run of a scenario.
type run struct {
	scenario *Scenario
	fleet    *assembler.Fleet
	service  namer.Service
	began    time.Time
	wg       sync.WaitGroup
	mu       sync.Mutex
	results  []result
}

// result is what one call came to.
type result struct {
	load   int
	at     time.Duration
	took   time.Duration
	ideal  time.Duration
	answer coder.Answer
	err    error
}

// readyTime bounds how long a fleet may take to settle.
const readyTime = 30 * time.Second

// Run runs a scenario on a fleet of its own and returns what was seen.
func Run(ctx context.Context, s *Scenario) (*Report, error) {
	opts := assembler.Options{
		Site: emulator.AkademiaSite(), Instances: s.Instances, Questionnaire: generator.SampleAkademia,
		Token: generator.SampleAkademiaToken, Mode: s.Mode, Log: s.Log,
	}
	if s.User == "association" {
		opts.Site, opts.Questionnaire, opts.Token = emulator.AssociationSite(), generator.SampleAssociation, generator.SampleAssociationToken
	}
	ready, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	fleet, err := assembler.New(ready, opts)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	r := &run{scenario: s, fleet: fleet, service: namer.Service(opts.Site.Service)}
	arrivals := schedule(s)
	before := fleet.Platform.Stats()
	peersBefore := fleet.PeerMessages()
	r.began = time.Now()
	r.strike(ctx)
	r.fire(ctx, arrivals)
	r.wg.Wait()
	after := fleet.Platform.Stats()
	return r.report(before, after, fleet.PeerMessages()-peersBefore), nil
}

// fire makes each call when its time has come, whatever became of the others.
func (r *run) fire(ctx context.Context, arrivals []arrival) {
	clients := r.fleet.Clients
	for i := range arrivals {
		a := &arrivals[i]
		if wait := a.at - time.Since(r.began); wait > 0 {
			time.Sleep(wait)
		}
		if ctx.Err() != nil {
			return
		}
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			r.call(ctx, r.pick(clients, a.seq), a)
		}()
	}
}

// pick stands in for the balancer: in turn, over the instances that live.
func (r *run) pick(clients []*client.Client, seq int) *client.Client {
	for i := range clients {
		at := (seq + i) % len(clients)
		if r.fleet.Living(at) {
			return clients[at]
		}
	}
	return clients[0]
}

func (r *run) call(ctx context.Context, c *client.Client, a *arrival) {
	l := &r.scenario.Loads[a.load]
	res := result{load: a.load, at: a.at}
	for _, d := range a.runs {
		res.ideal = max(res.ideal, d)
	}
	if l.Type == "job" {
		res.answer, res.err = r.job(ctx, c, l, a)
	} else {
		res.answer, res.err = r.request(ctx, c, l, a)
	}
	res.took = time.Since(r.began) - a.at
	r.mu.Lock()
	r.results = append(r.results, res)
	r.mu.Unlock()
}

func payload(l *Load, d time.Duration) string {
	if l.Fail {
		return fmt.Sprintf("run=%s fail", d)
	}
	return "run=" + d.String()
}

func declared(l *Load, d time.Duration) int {
	if l.Declared > 0 {
		d = l.Declared
	}
	return int(d / time.Millisecond)
}

func (r *run) request(ctx context.Context, c *client.Client, l *Load, a *arrival) (coder.Answer, error) {
	var key namer.Key
	if l.Type == "once" {
		k, err := namer.NewKey("")
		if err != nil {
			return coder.Answer{}, err
		}
		key = k
	}
	return c.Request(ctx, r.service, key, server.RequestBody{
		Kind: l.Kind, Repeatable: l.Type == "request", Millis: declared(l, a.runs[0]),
		Payload: payload(l, a.runs[0]), DeadlineMillis: int(l.Deadline / time.Millisecond),
	})
}

func (r *run) job(ctx context.Context, c *client.Client, l *Load, a *arrival) (coder.Answer, error) {
	var home namer.Domain
	if l.Home {
		domain, err := c.Home(ctx)
		if err != nil {
			return coder.Answer{}, err
		}
		home = domain
	}
	key, err := namer.NewKey(home)
	if err != nil {
		return coder.Answer{}, err
	}
	body := server.JobBody{Key: key, Kind: l.Kind, Wait: true, DeadlineMillis: int(l.Deadline / time.Millisecond)}
	for _, d := range a.runs {
		body.Tasks = append(body.Tasks, coder.TaskSpec{
			Cores: namer.MilliCores(l.Cores), Memory: 128, Millis: declared(l, d), Payload: payload(l, d),
		})
	}
	if l.Cancel > 0 && float64(a.seq%100) < l.Cancel*100 {
		timer := time.AfterFunc(a.runs[0]/2, func() { _, _ = c.Cancel(ctx, key) })
		defer timer.Stop()
	}
	return c.Submit(ctx, body)
}

// strike has the faults happen beside the load.
func (r *run) strike(ctx context.Context) {
	for _, f := range r.scenario.Faults {
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			if !r.sleepUntil(ctx, f.At) {
				return
			}
			r.set(f, true)
			if f.Until > 0 && r.sleepUntil(ctx, f.Until) {
				r.set(f, false)
			}
		}()
	}
}

func (r *run) sleepUntil(ctx context.Context, at time.Duration) bool {
	select {
	case <-time.After(at - time.Since(r.began)):
		return true
	case <-ctx.Done():
		return false
	}
}

const (
	logDelayMillis = 5
	slowFactor     = 10
)

func (r *run) set(f Fault, on bool) {
	switch f.What {
	case "log-down":
		r.fleet.Platform.SetFaults(emulator.FaultBody{Name: "log", Log: &emulator.LogFaults{Down: on, DelayMillis: logDelayMillis}})
	case "kill":
		if on {
			r.fleet.Kill(f.Count)
		}
	default:
		for _, name := range r.fleet.Platform.WorkerNames()[:f.Count] {
			w := emulator.WorkerFaults{
				FailAll:    on && f.What == "black-hole",
				LoseStarts: on && f.What == "lose-starts",
			}
			if on && f.What == "straggler" {
				w.SlowFactor = slowFactor
			}
			r.fleet.Platform.SetFaults(emulator.FaultBody{Name: name, Worker: &w})
		}
	}
}
