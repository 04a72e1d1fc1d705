package soaker

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/heatherslip/heatherslip/internal/bench/launcher"
	"github.com/heatherslip/heatherslip/platform/emulator"
)

// Outages is a test of real processes that are killed, frozen and slowed while clients
// send jobs again. It checks that no task runs twice at the same time. Create it with
// NewOutages.
type Outages struct {
	opts     OutageOptions
	site     *emulator.Site
	fleet    []*pausable
	basePort int
	begunAt  time.Time

	mu         sync.Mutex
	notes      []string
	violations []string
	jobs       map[string]*sentJob
	openCalls  map[*openCall]bool
	// longestLag is the longest time for which the rig itself was held up.
	longestLag time.Duration
	answers    map[string]int
}

// OutageOptions configures an outage test.
type OutageOptions struct {
	// Binary is the path of the program, Dir the directory for settings and logs.
	Binary, Dir string
	Seed        uint64
	// Duration is how long disruptions last.
	Duration time.Duration
	// JobsPerSecond is the mean number of new jobs.
	JobsPerSecond float64
	// Disruptions names the disruptions to choose from; empty for all.
	Disruptions []string
}

const (
	instancesPerDomain = 2
	outageWorkers      = 12
	outageSlots        = 3
	// clientDeadline is how long clients wait for a response.
	clientDeadline    = 1500 * time.Millisecond
	maxOutageAttempts = 3
	// The times of tasks are log-normal with this spread, up to maxTimeFactor times the mean.
	taskTimeSpread = 0.4
	maxTimeFactor  = 4
	// lagLimit is the longest time for which the rig may hold up an order.
	lagLimit = 50 * time.Millisecond
	// lateOrder is how old an order is if it counts as late, by the lease in it.
	lateOrder = 150 * time.Millisecond
	// grantedLease is the lease that an order has when it is sent.
	grantedLease = 800 * time.Millisecond
	// The processor of a throttled instance is taken away for throttleTime of each
	// throttlePeriod.
	throttlePeriod = 100 * time.Millisecond
	throttleTime   = 60 * time.Millisecond
)

var outageDomains = []string{"a", "b", "c", "d"}

// jobClass is a kind of job with its share of all jobs.
type jobClass struct {
	route    emulator.Route
	share    float64
	tasks    int
	taskTime time.Duration
	// minTime bounds the time of a task; zero for log-normal times.
	minTime, maxTime time.Duration
}

var jobClasses = []jobClass{
	{emulator.Route{Name: "short", MaxAttempts: 2, ObjectiveFactor: 1.6, ObjectiveBase: 60 * time.Millisecond, Timeout: 3 * time.Second}, 0.25, 8, 60 * time.Millisecond, 0, 0},
	{emulator.Route{Name: "long", Priority: 2, MaxAttempts: 3, ObjectiveFactor: 1.6, ObjectiveBase: 60 * time.Millisecond, Timeout: 3 * time.Second}, 0.1, 4, 900 * time.Millisecond, 0, 0},
	{emulator.Route{Name: "medium", Priority: 1, MaxAttempts: 2, ObjectiveFactor: 1.6, ObjectiveBase: 60 * time.Millisecond, Timeout: 3 * time.Second}, 0.55, 2, 200 * time.Millisecond, 0, 0},
	{emulator.Route{Name: "longest", Priority: 2, MaxAttempts: 3, ObjectiveFactor: 1.6, ObjectiveBase: 60 * time.Millisecond, Timeout: 3 * time.Second}, 0.1, 2, 1100 * time.Millisecond, 1300 * time.Millisecond, 3200 * time.Millisecond},
}

// pausable is an instance that several disruptions may pause at the same time.
type pausable struct {
	*process
	domain string

	mu     sync.Mutex
	pauses int
	down   bool
}

// pause stops the process until resume has been called as often.
func (p *pausable) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pauses++
	p.sendSignal(syscall.SIGSTOP)
}

func (p *pausable) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pauses--; p.pauses == 0 {
		p.sendSignal(syscall.SIGCONT)
	}
}

// kill kills the process and reports whether it was up.
func (p *pausable) kill() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return false
	}
	p.down = true
	p.sendSignal(syscall.SIGKILL)
	return true
}

// start starts the process after a kill.
func (p *pausable) start(binary string) error {
	p.waitForExit()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = false
	if err := p.startProcess(binary); err != nil {
		return err
	}
	if p.pauses > 0 {
		p.sendSignal(syscall.SIGSTOP)
	}
	return nil
}

// sentJob is what a client knows about a job.
type sentJob struct {
	tasks     int
	answers   []sentCall
	refusals  int
	attempts  int
	completed bool
}

// sentCall is a call that has ended, with status 0 if there was no response.
type sentCall struct {
	instance        string
	sentAt, endedAt time.Time
	status          int
}

func (c sentCall) String() string {
	return fmt.Sprintf("%s to %s: %d at %s", clockTime(c.sentAt), c.instance, c.status, clockTime(c.endedAt))
}

// callerGone returns how long before a time the caller had given up its last call to an
// instance that was sent by then.
func (j *sentJob) callerGone(instance string, at time.Time) time.Duration {
	gone := time.Duration(0)
	for _, c := range j.answers {
		if c.instance == instance && c.sentAt.Before(at) {
			gone = at.Sub(c.endedAt)
		}
	}
	return gone
}

// openCall is a call that waits for its response.
type openCall struct{ cancel context.CancelFunc }

// NewOutages starts a site and its instances.
func NewOutages(opts OutageOptions) (*Outages, error) {
	o := &Outages{
		opts: opts, jobs: make(map[string]*sentJob), openCalls: make(map[*openCall]bool), answers: make(map[string]int),
	}
	var err error
	if o.site, err = emulator.NewSite(outageDomains, outageWorkers, outageSlots); err != nil {
		return nil, err
	}
	routes := make([]emulator.Route, len(jobClasses))
	for i := range jobClasses {
		routes[i] = jobClasses[i].route
	}
	o.site.SetRoutes(routes)
	o.site.PublishConfig()
	if o.basePort, err = launcher.FreePort(instanceIP(0)); err != nil {
		o.Close()
		return nil, err
	}
	seedIPs := []string{instanceIP(0), instanceIP(1), instanceIP(2)}
	for n := range instancesPerDomain * len(outageDomains) {
		p := &pausable{domain: outageDomains[n%len(outageDomains)]}
		p.process = &process{name: fmt.Sprintf("%s%d", p.domain, n/len(outageDomains)), ip: instanceIP(n)}
		p.settingsPath = filepath.Join(opts.Dir, p.name+".yaml")
		settings := o.site.SettingsText(p.name, p.domain, p.ip, o.basePort, seedIPs)
		if err := os.WriteFile(p.settingsPath, []byte(settings), 0o600); err != nil {
			o.Close()
			return nil, fmt.Errorf("write settings: %w", err)
		}
		if err := p.startProcess(opts.Binary); err != nil {
			o.Close()
			return nil, err
		}
		o.fleet = append(o.fleet, p)
	}
	return o, nil
}

// Close kills the instances and stops the site.
func (o *Outages) Close() {
	for _, p := range o.fleet {
		p.sendSignal(syscall.SIGKILL)
		p.waitForExit()
	}
	o.site.Close()
}

// Run disrupts the instances under load and returns the violations that it found.
func (o *Outages) Run() []string {
	time.Sleep(settleTime)
	o.begunAt = time.Now()
	ctx, stop := context.WithCancel(context.Background())
	var wg, clients sync.WaitGroup
	wg.Add(2)
	go func() {
		defer wg.Done()
		o.watchLag(ctx)
	}()
	go func() {
		defer wg.Done()
		o.sendJobs(ctx, &clients)
	}()
	time.Sleep(settleTime)
	o.disrupt()
	time.Sleep(settleTime)
	stop()
	wg.Wait()
	clients.Wait()
	time.Sleep(settleTime)
	o.check()
	return o.violations
}

// watchLag measures how late the rig itself is woken.
func (o *Outages) watchLag(ctx context.Context) {
	const interval = 5 * time.Millisecond
	for ctx.Err() == nil {
		before := time.Now()
		time.Sleep(interval)
		lag := time.Since(before) - interval
		o.mu.Lock()
		o.longestLag = max(o.longestLag, lag)
		o.mu.Unlock()
		if lag > lagLimit {
			o.note("rig held up for %v", lag)
		}
	}
}

func (o *Outages) note(format string, args ...any) {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.notes = append(o.notes, fmt.Sprintf("%s %8.3f ", clockTime(now), now.Sub(o.begunAt).Seconds())+fmt.Sprintf(format, args...))
}

// clockTime formats a time as the instances' logs do.
func clockTime(t time.Time) string { return t.UTC().Format("15:04:05.000") }

// sendJobs sends jobs at random times until ctx ends.
func (o *Outages) sendJobs(ctx context.Context, clients *sync.WaitGroup) {
	rng := rand.New(rand.NewPCG(o.opts.Seed, 1))
	transport := &http.Transport{MaxIdleConnsPerHost: 16}
	defer transport.CloseIdleConnections()
	defer clients.Wait()
	for seq := 0; ctx.Err() == nil; seq++ {
		sleep(ctx, time.Duration(rng.ExpFloat64()/o.opts.JobsPerSecond*float64(time.Second)))
		class := drawClass(rng)
		job := class.draw(rng)
		job.ID = fmt.Sprintf("%016x", seq+1)
		jobRng := rand.New(rand.NewPCG(o.opts.Seed, uint64(seq)+2))
		clients.Add(1)
		go func() {
			defer clients.Done()
			o.runJob(jobRng, transport, &class.route, job)
		}()
	}
}

func drawClass(rng *rand.Rand) *jobClass {
	x := rng.Float64()
	for i := range jobClasses {
		if x -= jobClasses[i].share; x < 0 {
			return &jobClasses[i]
		}
	}
	return &jobClasses[0]
}

func (c *jobClass) draw(rng *rand.Rand) emulator.RouteJob {
	factor := min(math.Exp(taskTimeSpread*rng.NormFloat64()-taskTimeSpread*taskTimeSpread/2), maxTimeFactor)
	job := emulator.RouteJob{Tasks: c.tasks, TaskTime: time.Duration(factor * float64(c.taskTime)), Deadline: clientDeadline}
	job.Estimate = time.Duration(math.Exp(taskTimeSpread*rng.NormFloat64()) * float64(job.TaskTime))
	if c.minTime > 0 {
		job.TaskTime = c.minTime + time.Duration(rng.Float64()*float64(c.maxTime-c.minTime))
		job.Estimate = c.taskTime
	}
	return job
}

// runJob sends a job until it gets an answer.
func (o *Outages) runJob(rng *rand.Rand, transport *http.Transport, route *emulator.Route, job emulator.RouteJob) {
	sent := &sentJob{tasks: job.Tasks}
	o.mu.Lock()
	o.jobs[job.ID] = sent
	o.mu.Unlock()
	last := -1
	for range maxOutageAttempts {
		instance := rng.IntN(len(o.fleet))
		if instance == last {
			instance = (instance + 1) % len(o.fleet)
		}
		last = instance
		sentAt := time.Now()
		status, body := o.call(transport, route.NewRequest(fmt.Sprintf("%s:%d", o.fleet[instance].ip, o.basePort), job))
		o.mu.Lock()
		sent.attempts++
		sent.answers = append(sent.answers, sentCall{o.fleet[instance].name, sentAt, time.Now(), status})
		o.answers[fmt.Sprintf("%s %d", route.Name, status)]++
		switch status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			sent.refusals++
		case http.StatusOK:
			sent.completed = strings.Contains(body, `"completed"`)
		}
		o.mu.Unlock()
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			return
		}
		time.Sleep(resendDelay)
	}
}

// call sends a request. The status is 0 if there was no response.
func (o *Outages) call(transport *http.Transport, req *http.Request) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	open := &openCall{cancel}
	o.mu.Lock()
	o.openCalls[open] = true
	o.mu.Unlock()
	defer func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.openCalls, open)
	}()
	resp, err := transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(body)
}

// disruptions are those that can be chosen by name. Each runs until it is over.
var disruptions = []struct {
	name    string
	disrupt func(o *Outages, rng *rand.Rand)
}{
	{"outage", (*Outages).loseAll},
	{"chain", (*Outages).wakeAfterFreeze},
	{"kill", (*Outages).killOne},
	{"freeze", (*Outages).freezeSome},
	{"reset", (*Outages).resetConnections},
	{"throttle", (*Outages).throttle},
	{"slow", (*Outages).killBesideSlow},
	{"succession", (*Outages).killInSuccession},
}

// disrupt runs disruptions in two series, which overlap.
func (o *Outages) disrupt() {
	end := time.Now().Add(o.opts.Duration)
	var wg sync.WaitGroup
	for series := range 2 {
		rng := rand.New(rand.NewPCG(o.opts.Seed, uint64(series)|1<<63))
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(end) {
				d := disruptions[rng.IntN(len(disruptions))]
				if !o.isChosen(d.name) {
					continue
				}
				d.disrupt(o, rng)
				time.Sleep(between(rng, 0.3, 2))
			}
		}()
	}
	wg.Wait()
}

func (o *Outages) isChosen(name string) bool {
	for _, chosen := range o.opts.Disruptions {
		if chosen == name {
			return true
		}
	}
	return len(o.opts.Disruptions) == 0
}

// between returns a random time between two numbers of seconds.
func between(rng *rand.Rand, from, to float64) time.Duration {
	return time.Duration((from + (to-from)*rng.Float64()) * float64(time.Second))
}

// loseAll kills all instances right after a configuration and starts them in two groups.
func (o *Outages) loseAll(rng *rand.Rand) {
	version := o.site.PublishConfig()
	time.Sleep(between(rng, 0, 0.1))
	o.note("outage: version %d, all killed", version)
	var killed []*pausable
	for _, p := range o.fleet {
		if p.kill() {
			killed = append(killed, p)
		}
	}
	down := between(rng, 0.2, 1.8)
	time.Sleep(down)
	rng.Shuffle(len(killed), func(i, j int) { killed[i], killed[j] = killed[j], killed[i] })
	half := len(killed) / 2
	o.note("outage: first group starts after %v", down)
	o.startAll(killed[:half])
	time.Sleep(300 * time.Millisecond)
	o.note("outage: second group starts")
	o.startAll(killed[half:])
	time.Sleep(between(rng, 0.5, 4))
}

func (o *Outages) startAll(fleet []*pausable) {
	for _, p := range fleet {
		if err := p.start(o.opts.Binary); err != nil {
			o.reportViolation("start of %s: %v", p.name, err)
		}
	}
}

// killOne kills an instance and starts it again.
func (o *Outages) killOne(rng *rand.Rand) {
	p := o.draw(rng)
	if !p.kill() {
		return
	}
	o.note("kill %s", p.name)
	time.Sleep(between(rng, 0.2, 3))
	o.note("start %s", p.name)
	o.startAll([]*pausable{p})
}

func (o *Outages) draw(rng *rand.Rand) *pausable { return o.fleet[rng.IntN(len(o.fleet))] }

// freezeSome freezes one or two instances.
func (o *Outages) freezeSome(rng *rand.Rand) {
	p, second := o.draw(rng), o.draw(rng)
	o.note("freeze %s", p.name)
	p.pause()
	if rng.IntN(2) == 0 {
		time.Sleep(between(rng, 0.05, 1.5))
		o.note("freeze %s too", second.name)
		second.pause()
		time.Sleep(between(rng, 0.1, 2))
		o.note("wake %s", second.name)
		second.resume()
	} else {
		time.Sleep(between(rng, 0.1, 4))
	}
	o.note("wake %s", p.name)
	p.resume()
}

// wakeAfterFreeze freezes an instance and wakes it shortly after another one has frozen
// or was killed.
func (o *Outages) wakeAfterFreeze(rng *rand.Rand) {
	first, second := o.draw(rng), o.draw(rng)
	if rng.IntN(2) == 0 {
		second = o.neighbor(first)
	}
	if first == second {
		return
	}
	o.note("chain: freeze %s", first.name)
	first.pause()
	time.Sleep(between(rng, 0.5, 1.8))
	killed := rng.IntN(2) == 0 && second.kill()
	if !killed {
		second.pause()
	}
	o.note("chain: stop %s, killed %v", second.name, killed)
	time.Sleep(between(rng, 0.1, 1))
	o.note("chain: wake %s", first.name)
	first.resume()
	time.Sleep(between(rng, 1, 2))
	o.note("chain: %s is back", second.name)
	if killed {
		o.startAll([]*pausable{second})
		return
	}
	second.resume()
}

// resetConnections resets a share of the connections to workers and of those of clients.
func (o *Outages) resetConnections(rng *rand.Rand) {
	share := 0.2 + 0.5*rng.Float64()
	o.note("reset connections, share %.2f", share)
	o.site.ResetConnections(func() bool { return rng.Float64() < share })
	o.mu.Lock()
	defer o.mu.Unlock()
	for open := range o.openCalls {
		if rng.Float64() < share {
			open.cancel()
		}
	}
}

// throttle takes the processor away from some instances for a part of each period.
func (o *Outages) throttle(rng *rand.Rand) {
	chosen := o.drawSome(rng, 1+rng.IntN(len(o.fleet)))
	time.Sleep(between(rng, 0, 0.5))
	o.note("throttle %d instances", len(chosen))
	o.takeProcessor(rng, chosen, throttleTime, time.Now().Add(between(rng, 1, 4)))
	o.note("throttle ends")
}

// killBesideSlow makes some instances so slow that they handle messages late, and kills or
// freezes others meanwhile.
func (o *Outages) killBesideSlow(rng *rand.Rand) {
	chosen := o.drawSome(rng, 5)
	slow, lost := chosen[:3], chosen[3:]
	busy := time.Duration(80+rng.IntN(16)) * time.Millisecond
	o.note("slow: %s %s %s are stopped for %v of each %v", slow[0].name, slow[1].name, slow[2].name, busy, throttlePeriod)
	var wg sync.WaitGroup
	end := time.Now().Add(between(rng, 3, 5))
	slowRng := rand.New(rand.NewPCG(rng.Uint64(), 0))
	wg.Add(1)
	go func() {
		defer wg.Done()
		o.takeProcessor(slowRng, slow, busy, end)
	}()
	time.Sleep(between(rng, 0.3, 1.5))
	var killed []*pausable
	for _, p := range lost {
		if p.kill() {
			o.note("slow: kill %s", p.name)
			killed = append(killed, p)
		}
	}
	wg.Wait()
	o.note("slow: ends")
	o.startAll(killed)
}

// killInSuccession kills an instance, and another one while leases of the first one's runs
// last.
func (o *Outages) killInSuccession(rng *rand.Rand) {
	chosen := o.drawSome(rng, 2)
	if rng.IntN(3) > 0 {
		chosen[1] = o.neighbor(chosen[0])
	}
	var killed []*pausable
	for _, p := range chosen {
		if p.kill() {
			o.note("succession: kill %s", p.name)
			killed = append(killed, p)
		}
		time.Sleep(between(rng, 0.3, 0.9))
	}
	time.Sleep(between(rng, 0.5, 1.5))
	o.note("succession: start")
	o.startAll(killed)
	time.Sleep(between(rng, 0.5, 1.5))
}

// takeProcessor stops each of the instances for busy of each period until end.
func (o *Outages) takeProcessor(rng *rand.Rand, chosen []*pausable, busy time.Duration, end time.Time) {
	var wg sync.WaitGroup
	for _, p := range chosen {
		offset := between(rng, 0, throttlePeriod.Seconds())
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(offset)
			for time.Now().Before(end) {
				p.pause()
				time.Sleep(busy)
				p.resume()
				time.Sleep(throttlePeriod - busy)
			}
		}()
	}
	wg.Wait()
}

// drawSome returns count different instances.
func (o *Outages) drawSome(rng *rand.Rand, count int) []*pausable {
	chosen := append([]*pausable(nil), o.fleet...)
	rng.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	return chosen[:count]
}

// neighbor returns the other instance of an instance's domain.
func (o *Outages) neighbor(p *pausable) *pausable {
	for _, other := range o.fleet {
		if other != p && other.domain == p.domain {
			return other
		}
	}
	return p
}

func (o *Outages) reportViolation(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

// check checks what clients and workers have recorded.
func (o *Outages) check() {
	records := o.site.Runs.Records()
	logs := newOutageLogs(o.fleet, records)
	byTask := make(map[string][]*emulator.RunRecord)
	doneTasks, startedRuns := make(map[string]int), make(map[string]int)
	for i := range records {
		r := &records[i]
		id, _, _ := strings.Cut(r.Task, ".")
		startedRuns[id]++
		done := r.Cause == "done"
		for _, earlier := range byTask[r.Task] {
			done = done && earlier.Cause != "done"
			if earlier.EndedAt.IsZero() || earlier.EndedAt.After(r.StartedAt) {
				o.reportOverlap(logs, id, earlier, r)
			}
		}
		byTask[r.Task] = append(byTask[r.Task], r)
		if gone := o.jobs[id].callerGone(logs.placers[r.Run], r.StartedAt); gone > lateOrder {
			o.note("%s run %d of %s started %v after its caller had gone: %s", r.Task, r.Run, logs.placers[r.Run], gone, logs.describe(r))
		}
		if done {
			doneTasks[id]++
		}
		if age := grantedLease - r.LeaseLeft; age > lateOrder {
			o.note("order of %s run %d was %v old on arrival at %s", r.Task, r.Run, age, clockTime(r.StartedAt))
		}
	}
	for id, sent := range o.jobs {
		if sent.refusals == sent.attempts && startedRuns[id] > 0 {
			o.reportViolation("REFUSED: job %s has run: %v", id, sent.answers)
		}
		if sent.completed && doneTasks[id] < sent.tasks {
			o.reportViolation("MIXED: job %s is completed with %d of %d tasks done: %v", id, doneTasks[id], sent.tasks, sent.answers)
		}
	}
	if len(records) == 0 {
		o.reportViolation("nothing has run")
	}
}

func (o *Outages) reportOverlap(logs *outageLogs, id string, first, second *emulator.RunRecord) {
	text := fmt.Sprintf("TWICE: task %s\n  first  %s\n  second %s\n  client %s", first.Task, logs.describe(first), logs.describe(second), strings.Trim(fmt.Sprint(o.jobs[id].answers), "[]"))
	for _, e := range o.site.Runs.Extensions() {
		if e.Worker == first.Worker && e.At.After(first.StartedAt.Add(-time.Millisecond)) && (first.EndedAt.IsZero() || e.At.Before(first.EndedAt)) {
			text += fmt.Sprintf("\n  lease  %s by %s (%s) until %s", clockTime(e.At), logs.senderAt(e.Sender), filepath.Base(e.Path), clockTime(e.Until))
		}
	}
	o.reportViolation("%s\n%s", text, strings.Join(logs.linesOf(id), "\n"))
}

// Notes returns what was done, in order.
func (o *Outages) Notes() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]string(nil), o.notes...)
}

// Summary returns a line with the numbers of runs and answers.
func (o *Outages) Summary() string {
	causes := make(map[string]int)
	for _, r := range o.site.Runs.Records() {
		causes[r.Cause]++
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return fmt.Sprintf("seed %d: %d jobs, runs by end %v, answers %v, rig held up for at most %v", o.opts.Seed, len(o.jobs), causes, o.answers, o.longestLag)
}
