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
	jobTaskCount  = 100
	taskRunMillis = 120
	jobDeadline   = 20 * time.Second
)

// newJobBody returns a job with a new idempotency key and equal tasks.
func (d *demonstration) newJobBody(taskCount, runMillis int) (server.JobBody, error) {
	key, err := namer.NewKey("")
	if err != nil {
		return server.JobBody{}, fmt.Errorf("make a key: %w", err)
	}
	body := server.JobBody{Key: key, Kind: d.user.repeatableKind, DeadlineMillis: int(jobDeadline / time.Millisecond), WaitForResult: true}
	for range taskCount {
		body.Tasks = append(body.Tasks, coder.TaskSpec{
			Cores: 500, Memory: 128, RunTimeMillis: runMillis, Payload: fmt.Sprintf("run=%dms", runMillis),
		})
	}
	return body, nil
}

// submitJobTwice submits the same job to two instances concurrently.
func (d *demonstration) submitJobTwice() error {
	body, err := d.newJobBody(jobTaskCount, taskRunMillis)
	if err != nil {
		return err
	}
	statsBefore := d.fleet.Platform.Stats()
	answers := make([]coder.Answer, 2)
	errs := make([]error, 2)
	startedAt := time.Now()
	var wg sync.WaitGroup
	for i := range answers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			answers[i], errs[i] = d.fleet.Clients[i+1].Submit(d.ctx, body)
		}()
	}
	wg.Wait()
	elapsed := time.Since(startedAt)
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	statsAfter := d.fleet.Platform.Stats()
	complete := answers[0].Status == coder.StatusDone && answers[1].Status == coder.StatusDone && len(answers[0].Tasks) == jobTaskCount && len(answers[1].Tasks) == jobTaskCount
	d.addResult(PromiseResult{
		Workload: fmt.Sprintf("job of %d tasks, submitted to two instances at once", jobTaskCount),
		Outcome:  fmt.Sprintf("%s, %s", answers[0].Status, answers[1].Status), TimeRatio: formatRatio(elapsed, taskRunMillis),
		WastedMessages: fmt.Sprint(statsAfter.Workers.RefusedStarts - statsBefore.Workers.RefusedStarts),
		Promise:        "each task starts once; both callers get the complete answer",
		Held:           complete && statsAfter.Starts-statsBefore.Starts == jobTaskCount && statsAfter.DuplicateStarts == 0,
	})
	return nil
}

// formatRatio formats an elapsed time divided by the ideal time.
func formatRatio(elapsed time.Duration, idealMillis int) string {
	return fmt.Sprintf("%.3f", float64(elapsed)/float64(time.Duration(idealMillis)*time.Millisecond))
}

// sendRepeatableRequests sends repeatable requests through all instances concurrently.
func (d *demonstration) sendRepeatableRequests() error {
	const requestsPerInstance = 20
	const runMillis = 80
	statsBefore := d.fleet.Platform.Stats()
	type callResult struct {
		answer  coder.Answer
		err     error
		elapsed time.Duration
	}
	results := make(chan callResult, requestsPerInstance*len(d.fleet.Clients))
	for _, c := range d.fleet.Clients {
		for range requestsPerInstance {
			go func() {
				startedAt := time.Now()
				answer, err := c.Request(d.ctx, namer.Service(d.user.site.Service), "", server.RequestBody{
					Kind: d.user.repeatableKind, Payload: fmt.Sprintf("run=%dms", runMillis), RunTimeMillis: runMillis, Repeatable: true,
				})
				results <- callResult{answer, err, time.Since(startedAt)}
			}()
		}
	}
	done, total := 0, requestsPerInstance*len(d.fleet.Clients)
	var elapsedSum time.Duration
	for range total {
		result := <-results
		if result.err != nil {
			return result.err
		}
		if result.answer.Status == coder.StatusDone {
			done++
		}
		elapsedSum += result.elapsed
	}
	statsAfter := d.fleet.Platform.Stats()
	d.addResult(PromiseResult{
		Workload:       fmt.Sprintf("%d repeatable requests at %d instances", total, len(d.fleet.Clients)),
		Outcome:        fmt.Sprintf("%d done", done),
		TimeRatio:      formatRatio(elapsedSum/time.Duration(total), runMillis),
		WastedMessages: fmt.Sprint(statsAfter.Minions.RefusedRequests - statsBefore.Minions.RefusedRequests),
		Promise:        "each caller gets its own answer; no minion gets more than its slots",
		Held:           done == total && statsAfter.Minions.MaxInFlight <= d.user.site.MinionSlots,
	})
	return nil
}

// sendUnrepeatableRequest sends one unrepeatable request through all instances
// concurrently.
func (d *demonstration) sendUnrepeatableRequest() error {
	key, err := namer.NewKey("")
	if err != nil {
		return fmt.Errorf("make a key: %w", err)
	}
	statsBefore := d.fleet.Platform.Stats()
	answers := make([]coder.Answer, len(d.fleet.Clients))
	errs := make([]error, len(d.fleet.Clients))
	const runMillis = 150
	startedAt := time.Now()
	var wg sync.WaitGroup
	for i, c := range d.fleet.Clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			answers[i], errs[i] = c.Request(d.ctx, namer.Service(d.user.site.Service), key, server.RequestBody{
				Kind: d.user.unrepeatableKind, Payload: fmt.Sprintf("run=%dms out=confirmed", runMillis), RunTimeMillis: runMillis,
			})
		}()
	}
	wg.Wait()
	elapsed := time.Since(startedAt)
	allConfirmed := true
	for i := range answers {
		if errs[i] != nil {
			return errs[i]
		}
		allConfirmed = allConfirmed && answers[i].Status == coder.StatusDone && answers[i].Tasks[0].Output == "confirmed"
	}
	statsAfter := d.fleet.Platform.Stats()
	d.addResult(PromiseResult{
		Workload: fmt.Sprintf("one %s, sent through %d instances at once", d.user.unrepeatableKind, len(answers)),
		Outcome:  string(answers[0].Status), TimeRatio: formatRatio(elapsed, runMillis),
		WastedMessages: fmt.Sprint(statsAfter.Minions.RefusedRequests - statsBefore.Minions.RefusedRequests),
		Promise:        "an unrepeatable request runs once; all callers get its result",
		Held:           allConfirmed && statsAfter.Minions.Runs-statsBefore.Minions.Runs == 1,
	})
	return nil
}

// killInstance kills an instance while jobs run and fetches their answers from another.
func (d *demonstration) killInstance() error {
	const jobCount, taskCount, runMillis = 12, 40, 600
	bodies := make([]server.JobBody, jobCount)
	for i := range bodies {
		body, err := d.newJobBody(taskCount, runMillis)
		if err != nil {
			return err
		}
		body.WaitForResult = false
		bodies[i] = body
		if _, err := d.fleet.Clients[1].Submit(d.ctx, body); err != nil {
			return err
		}
	}
	statsBefore := d.fleet.Platform.Stats()
	startedAt := time.Now()
	d.printProgress("killing an instance while %d jobs run", jobCount)
	d.fleet.KillInstance(0)
	completeJobs, answeredJobs := 0, 0
	for _, body := range bodies {
		answer, err := d.fleet.Clients[2].Fetch(d.ctx, body.Key, true)
		if err != nil {
			return err
		}
		if answer.Status == coder.StatusDone && len(answer.Tasks) == taskCount {
			completeJobs++
		}
		if answer.Status.IsTerminal() {
			answeredJobs++
		}
	}
	statsAfter := d.fleet.Platform.Stats()
	d.addResult(PromiseResult{
		Workload: fmt.Sprintf("%d jobs of %d tasks, one instance killed meanwhile", jobCount, taskCount),
		Outcome:  fmt.Sprintf("%d complete of %d", completeJobs, answeredJobs), TimeRatio: formatRatio(time.Since(startedAt), runMillis),
		WastedMessages: fmt.Sprint(statsAfter.Workers.RefusedStarts - statsBefore.Workers.RefusedStarts),
		Promise:        "jobs survive the loss of their primary; no task starts twice",
		Held:           completeJobs == jobCount && statsAfter.DuplicateStarts == 0,
	})
	return nil
}

// publishConflictingRevisions publishes two revisions with the same base revision.
func (d *demonstration) publishConflictingRevisions() error {
	current, err := d.fleet.Clients[1].Config(d.ctx)
	if err != nil {
		return err
	}
	startedAt := time.Now()
	first, err := d.fleet.Clients[1].Publish(d.ctx, server.PublishBody{BaseRevision: current.Revision, Text: current.Text, Author: "first operator"})
	if err != nil {
		return err
	}
	second, err := d.fleet.Clients[2].Publish(d.ctx, server.PublishBody{BaseRevision: current.Revision, Text: current.Text, Author: "second operator"})
	if err != nil {
		return err
	}
	appliedEverywhere := d.awaitRevision(first.Revision)
	d.addResult(PromiseResult{
		Workload:  "two revisions with the same base revision",
		Outcome:   fmt.Sprintf("%s, %s; applied by all instances after %d ms", first.Verdict, second.Verdict, time.Since(startedAt).Milliseconds()),
		TimeRatio: "-", WastedMessages: "-",
		Promise: "one revision wins; all instances apply it within seconds",
		Held:    first.Verdict == server.PublishAccepted && second.Verdict == server.PublishOutdated && appliedEverywhere,
	})
	return nil
}

// revisionTimeout is how soon all instances have to apply a revision.
const revisionTimeout = 5 * time.Second

// awaitRevision waits until all live instances apply the revision or a newer one. It
// returns false after revisionTimeout.
func (d *demonstration) awaitRevision(revision namer.Revision) bool {
	for startedAt := time.Now(); time.Since(startedAt) < revisionTimeout; {
		appliedEverywhere := true
		for i, c := range d.fleet.Clients {
			if !d.fleet.IsAlive(i) {
				continue
			}
			current, err := c.Config(d.ctx)
			appliedEverywhere = appliedEverywhere && err == nil && current.Revision >= revision
		}
		if appliedEverywhere {
			return true
		}
	}
	return false
}

// drainInstance drains an instance while a job that was submitted to it runs.
func (d *demonstration) drainInstance() error {
	const taskCount, runMillis = 30, 400
	body, err := d.newJobBody(taskCount, runMillis)
	if err != nil {
		return err
	}
	answers := make(chan coder.Answer, 1)
	errs := make(chan error, 1)
	startedAt := time.Now()
	go func() {
		answer, err := d.fleet.Clients[1].Submit(d.ctx, body)
		if err != nil {
			errs <- err
			return
		}
		answers <- answer
	}()
	time.Sleep(time.Duration(runMillis/4) * time.Millisecond)
	if err := d.fleet.Daemon(1).Drain(d.ctx); err != nil {
		return err
	}
	var answer coder.Answer
	select {
	case answer = <-answers:
	case err := <-errs:
		return err
	}
	d.addResult(PromiseResult{
		Workload: fmt.Sprintf("job of %d tasks submitted to an instance that is then drained", taskCount),
		Outcome:  string(answer.Status), TimeRatio: formatRatio(time.Since(startedAt), runMillis), WastedMessages: "-",
		Promise: "a graceful shutdown interrupts no work",
		Held:    answer.Status == coder.StatusDone && len(answer.Tasks) == taskCount,
	})
	return nil
}
