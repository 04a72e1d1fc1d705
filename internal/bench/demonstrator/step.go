package demonstrator

import (
	"fmt"
	"sync"
	"time"

	"github.com/heatherslip/heatherslip/internal/edge/server"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

const (
	jobTasks   = 100
	taskMillis = 120
	jobWait    = 20 * time.Second
)

func (s *show) jobBody(tasks, millis int) (server.JobBody, error) {
	key, err := namer.NewKey("")
	if err != nil {
		return server.JobBody{}, fmt.Errorf("make a key: %w", err)
	}
	body := server.JobBody{Key: key, Kind: s.user.quick, DeadlineMillis: int(jobWait / time.Millisecond), Wait: true}
	for range tasks {
		body.Tasks = append(body.Tasks, coder.TaskSpec{
			Cores: 500, Memory: 128, Millis: millis, Payload: fmt.Sprintf("run=%dms", millis),
		})
	}
	return body, nil
}

// job submits a job at one instance and, at the same time, at another.
func (s *show) job() error {
	body, err := s.jobBody(jobTasks, taskMillis)
	if err != nil {
		return err
	}
	before := s.fleet.Platform.Stats()
	answers := make([]coder.Answer, 2)
	errs := make([]error, 2)
	began := time.Now()
	var wg sync.WaitGroup
	for i := range answers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			answers[i], errs[i] = s.fleet.Clients[i+1].Submit(s.ctx, body)
		}()
	}
	wg.Wait()
	took := time.Since(began)
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	after := s.fleet.Platform.Stats()
	whole := answers[0].Status == coder.Done && answers[1].Status == coder.Done && len(answers[0].Tasks) == jobTasks && len(answers[1].Tasks) == jobTasks
	s.add(Line{
		Asked: fmt.Sprintf("job of %d tasks, submitted at two instances at once", jobTasks),
		Got:   fmt.Sprintf("%s, %s", answers[0].Status, answers[1].Status), Ratio: ratio(took, taskMillis),
		Wasted:  fmt.Sprint(after.Workers.Refused - before.Workers.Refused),
		Promise: "each task starts once; both callers get the whole answer",
		Held:    whole && after.Starts-before.Starts == jobTasks && after.Doubles == 0,
	})
	return nil
}

func ratio(took time.Duration, idealMillis int) string {
	return fmt.Sprintf("%.3f", float64(took)/float64(time.Duration(idealMillis)*time.Millisecond))
}

// requests sends repeatable requests through all instances.
func (s *show) requests() error {
	const each = 20
	const millis = 80
	before := s.fleet.Platform.Stats()
	type result struct {
		answer coder.Answer
		err    error
		took   time.Duration
	}
	results := make(chan result, each*len(s.fleet.Clients))
	for _, c := range s.fleet.Clients {
		for range each {
			go func() {
				began := time.Now()
				a, err := c.Request(s.ctx, namer.Service(s.user.site.Service), "", server.RequestBody{
					Kind: s.user.quick, Payload: fmt.Sprintf("run=%dms", millis), Millis: millis, Repeatable: true,
				})
				results <- result{a, err, time.Since(began)}
			}()
		}
	}
	done, total := 0, each*len(s.fleet.Clients)
	var sum time.Duration
	for range total {
		r := <-results
		if r.err != nil {
			return r.err
		}
		if r.answer.Status == coder.Done {
			done++
		}
		sum += r.took
	}
	after := s.fleet.Platform.Stats()
	s.add(Line{
		Asked:   fmt.Sprintf("%d repeatable requests at %d instances", total, len(s.fleet.Clients)),
		Got:     fmt.Sprintf("%d done", done),
		Ratio:   ratio(sum/time.Duration(total), millis),
		Wasted:  fmt.Sprint(after.Minions.Refused - before.Minions.Refused),
		Promise: "each caller gets its own answer; no minion gets more than its slots",
		Held:    done == total && after.Minions.MostBusy <= s.user.site.Slots,
	})
	return nil
}

// grave sends one unrepeatable request through every instance at once.
func (s *show) grave() error {
	key, err := namer.NewKey("")
	if err != nil {
		return fmt.Errorf("make a key: %w", err)
	}
	before := s.fleet.Platform.Stats()
	answers := make([]coder.Answer, len(s.fleet.Clients))
	errs := make([]error, len(s.fleet.Clients))
	const millis = 150
	began := time.Now()
	var wg sync.WaitGroup
	for i, c := range s.fleet.Clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			answers[i], errs[i] = c.Request(s.ctx, namer.Service(s.user.site.Service), key, server.RequestBody{
				Kind: s.user.grave, Payload: fmt.Sprintf("run=%dms out=confirmed", millis), Millis: millis,
			})
		}()
	}
	wg.Wait()
	took := time.Since(began)
	same := true
	for i := range answers {
		if errs[i] != nil {
			return errs[i]
		}
		same = same && answers[i].Status == coder.Done && answers[i].Tasks[0].Output == "confirmed"
	}
	after := s.fleet.Platform.Stats()
	s.add(Line{
		Asked: fmt.Sprintf("one %s, sent through %d instances at once", s.user.grave, len(answers)),
		Got:   string(answers[0].Status), Ratio: ratio(took, millis),
		Wasted:  fmt.Sprint(after.Minions.Refused - before.Minions.Refused),
		Promise: "an unrepeatable request runs once, and all callers hear its result",
		Held:    same && after.Minions.Runs-before.Minions.Runs == 1,
	})
	return nil
}

// kill ends an instance while jobs run, and asks for their answers elsewhere.
func (s *show) kill() error {
	const jobs, tasks, millis = 12, 40, 600
	bodies := make([]server.JobBody, jobs)
	for i := range bodies {
		body, err := s.jobBody(tasks, millis)
		if err != nil {
			return err
		}
		body.Wait = false
		bodies[i] = body
		if _, err := s.fleet.Clients[1].Submit(s.ctx, body); err != nil {
			return err
		}
	}
	before := s.fleet.Platform.Stats()
	began := time.Now()
	s.say("killing an instance while %d jobs run", jobs)
	s.fleet.Kill(0)
	whole, told := 0, 0
	for _, body := range bodies {
		a, err := s.fleet.Clients[2].Fetch(s.ctx, body.Key, true)
		if err != nil {
			return err
		}
		if a.Status == coder.Done && len(a.Tasks) == tasks {
			whole++
		}
		if a.Status.Terminal() {
			told++
		}
	}
	after := s.fleet.Platform.Stats()
	s.add(Line{
		Asked: fmt.Sprintf("%d jobs of %d tasks, an instance killed meanwhile", jobs, tasks),
		Got:   fmt.Sprintf("%d whole of %d", whole, told), Ratio: ratio(time.Since(began), millis),
		Wasted:  fmt.Sprint(after.Workers.Refused - before.Workers.Refused),
		Promise: "jobs survive their runner; no task starts twice",
		Held:    whole == jobs && after.Doubles == 0,
	})
	return nil
}

// revise publishes a second revision, and a third on the same base.
func (s *show) revise() error {
	text, err := s.fleet.Clients[1].Config(s.ctx)
	if err != nil {
		return err
	}
	began := time.Now()
	won, err := s.fleet.Clients[1].Publish(s.ctx, server.PublishBody{Base: text.Revision, Text: text.Text, By: "first operator"})
	if err != nil {
		return err
	}
	lost, err := s.fleet.Clients[2].Publish(s.ctx, server.PublishBody{Base: text.Revision, Text: text.Text, By: "second operator"})
	if err != nil {
		return err
	}
	everywhere := s.inForce(won.Revision)
	s.add(Line{
		Asked: "two revisions on the same base",
		Got:   fmt.Sprintf("%s, %s; in force everywhere after %d ms", won.Verdict, lost.Verdict, time.Since(began).Milliseconds()),
		Ratio: "-", Wasted: "-",
		Promise: "one winner, in force everywhere in seconds",
		Held:    won.Verdict == server.Accepted && lost.Verdict == server.Outdated && everywhere,
	})
	return nil
}

// inForceTime is how soon a revision has to be in force everywhere.
const inForceTime = 5 * time.Second

func (s *show) inForce(rev namer.Revision) bool {
	for began := time.Now(); time.Since(began) < inForceTime; {
		all := true
		for i, c := range s.fleet.Clients {
			if !s.fleet.Living(i) {
				continue
			}
			now, err := c.Config(s.ctx)
			all = all && err == nil && now.Revision >= rev
		}
		if all {
			return true
		}
	}
	return false
}

// drain shuts an instance down with a job in flight.
func (s *show) drain() error {
	const tasks, millis = 30, 400
	body, err := s.jobBody(tasks, millis)
	if err != nil {
		return err
	}
	answer := make(chan coder.Answer, 1)
	failed := make(chan error, 1)
	began := time.Now()
	go func() {
		a, err := s.fleet.Clients[1].Submit(s.ctx, body)
		if err != nil {
			failed <- err
			return
		}
		answer <- a
	}()
	time.Sleep(time.Duration(millis/4) * time.Millisecond)
	if err := s.fleet.Daemon(1).Drain(s.ctx); err != nil {
		return err
	}
	var got coder.Answer
	select {
	case got = <-answer:
	case err := <-failed:
		return err
	}
	s.add(Line{
		Asked: fmt.Sprintf("job of %d tasks through an instance that is drained", tasks),
		Got:   string(got.Status), Ratio: ratio(time.Since(began), millis), Wasted: "-",
		Promise: "a graceful shutdown cuts nothing off",
		Held:    got.Status == coder.Done && len(got.Tasks) == tasks,
	})
	return nil
}
