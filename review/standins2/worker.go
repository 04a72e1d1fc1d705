//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	holdMax  = time.Second           // HoldMaxMs of the settings
	stopTime = 20 * time.Millisecond // a stop takes at most StopMs, 50 ms
	// lateAnswer is how late a late answer is.
	lateAnswer = 50 * time.Millisecond
)

// kind is what a minion says of itself: its labels and its capacity.
type kind struct {
	labels   []string
	cpu, mem int
}

// minion is a stand-in of a minion of the platform over all its lives. Its id and its
// address stay the same; each life has a clock, a boot time and a kind of its own.
type minion struct {
	site    *site
	id      string
	service string
	zone    string
	address string
	// guards is the AdmissionCheck of its service.
	guards bool

	mu       sync.Mutex
	life     *life
	listener net.Listener
	conns    map[net.Conn]bool
	// cutOff is set while the minion is cut off from all machines.
	cutOff bool
	// drainingUntil is when the minion leaves; zero if it isn't draining.
	drainingUntil time.Time
	beats         int
}

// life is one life of a minion.
type life struct {
	m          *minion
	kind       kind
	born       time.Time
	fence      int64
	leaseUntil int64
	runs       map[string]*run
	highest    map[string]int64 // the highest run of each task that was stopped or has ended
	ended      [][]any
	endCount   int64
	changed    chan struct{}
	dead       bool
	// heldBack counts the lists that are composed and not sent yet.
	heldBack int
}

// run is a run of a task, as the minion has seen it.
type run struct {
	Job, Task  string
	Step       int
	Run        int64
	Spec       string
	Worker     string
	StartedAt  time.Time
	EndedAt    time.Time
	How        string
	cpu, mem   int
	timer      *time.Timer
	workFor    time.Duration
	stopAsked  bool
	labelsThen []string
	capacity   kind
	// usedCPU is what the runs on the minion took together when this one had started.
	usedCPU int
	drain   bool
	ahead   int64
}

func (l *life) clock() int64 { return time.Since(l.born).Milliseconds() + 1000 }

// startLife makes the minion live, listen and register.
func (m *minion) startLife(k kind) error {
	ln, err := net.Listen("tcp", m.address)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.life = &life{m: m, kind: k, born: time.Now(), runs: map[string]*run{}, highest: map[string]int64{}, changed: make(chan struct{})}
	m.listener, m.conns = ln, map[net.Conn]bool{}
	m.address = ln.Addr().String()
	m.mu.Unlock()
	srv := &http.Server{Handler: m, ConnState: m.follow}
	go func() { _ = srv.Serve(ln) }()
	m.beat()
	m.site.log.note("minion %s lives, labels %v", m.id, k.labels)
	return nil
}

func (m *minion) follow(c net.Conn, s http.ConnState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch s {
	case http.StateNew:
		m.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(m.conns, c)
	}
}

// crash ends the life: its port refuses connections, its runs are gone.
func (m *minion) crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.life == nil || m.life.dead {
		return
	}
	l := m.life
	l.dead = true
	_ = m.listener.Close()
	for c := range m.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	for _, r := range l.runs {
		r.timer.Stop()
		m.site.log.end(r, "crash", time.Now())
	}
	l.runs = map[string]*run{}
	m.site.log.note("minion %s crashes", m.id)
}

// drain makes the minion say that it leaves, after a time.
func (m *minion) drain(left time.Duration) {
	m.mu.Lock()
	m.drainingUntil = time.Now().Add(left)
	m.mu.Unlock()
	m.beat()
	m.site.log.note("minion %s is draining", m.id)
}

// leave ends the minion, which is draining, for good.
func (m *minion) leave() {
	m.crash()
	m.site.forget(m.id)
}

// cut cuts the minion off from all machines, or ends that. It runs on.
func (m *minion) cut(off bool) {
	m.mu.Lock()
	m.cutOff = off
	m.mu.Unlock()
	m.site.log.note("minion %s is cut off: %v", m.id, off)
}

// beat writes the minion's entry into the platform's store.
func (m *minion) beat() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.life == nil || m.life.dead || m.cutOff {
		return
	}
	m.beats++
	l := m.life
	e := map[string]any{
		"Service": m.service, "Address": m.address, "Zone": m.zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0,
		"Capacity": map[string]int{"Cpu": l.kind.cpu, "MemMb": l.kind.mem, "Gpu": 0}, "Labels": l.kind.labels, "ClockMs": l.clock(),
		"Sequence": m.beats, "born": l.born.UnixMilli(),
	}
	if !m.drainingUntil.IsZero() {
		e["State"] = "draining"
		e["RemainingMs"] = max(0, time.Until(m.drainingUntil).Milliseconds())
	}
	b, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	m.site.lastBeat(m.id, time.Now())
	m.site.store.Put("keyed.servers", m.id, b)
}

type call struct {
	Task      string
	Run       int64
	Spec      string
	UntilMs   int64
	Fence     int64
	AckCursor int64
	WaitMs    int64
}

func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var c call
	if r.URL.Path != "/health" {
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	for m.isCutOff() {
		// What is sent to a minion that is cut off gets no answer.
		select {
		case <-r.Context().Done():
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
	m.mu.Lock()
	l := m.life
	m.mu.Unlock()
	if r.URL.Path == "/health" {
		return
	}
	if x := r.Header.Get("Expect-Instance"); x != "" && x != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	m.mu.Lock()
	if l.dead {
		m.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if c.Fence < l.fence {
		clock := l.clock()
		m.mu.Unlock()
		reply(w, http.StatusConflict, map[string]any{"ClockMs": clock, "Reason": "fence"})
		return
	}
	l.fence = c.Fence
	m.mu.Unlock()
	switch r.URL.Path {
	case "/heatherslip/run-start":
		l.start(w, c)
	case "/heatherslip/run-stop":
		l.stop(w, c)
	case "/heatherslip/hold":
		l.hold(w, r, c)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (m *minion) isCutOff() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cutOff
}

func (l *life) extend(until int64) {
	until = min(until, l.clock()+holdMax.Milliseconds())
	if until <= l.leaseUntil {
		return
	}
	l.leaseUntil = until
	time.AfterFunc(time.Duration(until-l.clock())*time.Millisecond, func() {
		l.m.mu.Lock()
		defer l.m.mu.Unlock()
		if l.dead || l.clock() < l.leaseUntil {
			return
		}
		for _, r := range l.runs {
			l.finish(r, "lapsed")
		}
	})
}

func (l *life) start(w http.ResponseWriter, c call) {
	m := l.m
	job, step, ok := m.site.taskOf(c.Task)
	work, cpu, mem := time.Second, 0, 0
	if ok {
		work, cpu, mem = job.work(step), job.steps[step].cpu, job.steps[step].mem
	}
	m.mu.Lock()
	status, reason := func() (int, string) {
		key := fmt.Sprint(c.Task, "/", c.Run)
		if l.runs[key] != nil {
			l.extend(c.UntilMs)
			return 200, ""
		}
		if c.UntilMs <= l.clock() {
			return 409, "late"
		}
		l.extend(c.UntilMs)
		if c.Run <= l.highest[c.Task] {
			return 409, "old"
		}
		used, usedMem := 0, 0
		for _, r := range l.runs {
			used, usedMem = used+r.cpu, usedMem+r.mem
		}
		if m.guards && (used+cpu > l.kind.cpu || usedMem+mem > l.kind.mem) {
			return 409, "room"
		}
		r := &run{
			Task: c.Task, Step: step, Run: c.Run, Spec: c.Spec, Worker: m.id, StartedAt: time.Now(), cpu: cpu, mem: mem,
			workFor: work, labelsThen: l.kind.labels, capacity: l.kind, usedCPU: used + cpu, drain: !m.drainingUntil.IsZero(),
		}
		if job != nil {
			r.Job = job.id
		}
		l.runs[key] = r
		r.timer = time.AfterFunc(work, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if l.runs[key] == r {
				l.finish(r, "done")
			}
		})
		m.site.log.start(r)
		return 200, ""
	}()
	clock, isLate := l.clock(), status == 200 && l.heldBack > 0
	m.mu.Unlock()
	if isLate {
		time.Sleep(lateAnswer)
	}
	if status != 200 {
		reply(w, status, map[string]any{"ClockMs": clock, "Reason": reason})
		return
	}
	reply(w, 200, map[string]any{"ClockMs": clock})
}

// finish ends a run. The caller holds the lock.
func (l *life) finish(r *run, how string) {
	key := fmt.Sprint(r.Task, "/", r.Run)
	if l.runs[key] != r || l.dead {
		return
	}
	r.timer.Stop()
	delete(l.runs, key)
	l.highest[r.Task] = max(l.highest[r.Task], r.Run)
	l.m.site.log.end(r, how, time.Now())
	l.endCount++
	l.ended = append(l.ended, []any{l.endCount, r.Task, r.Run, how, ""})
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *life) stop(w http.ResponseWriter, c call) {
	l.m.mu.Lock()
	l.highest[c.Task] = max(l.highest[c.Task], c.Run)
	r := l.runs[fmt.Sprint(c.Task, "/", c.Run)]
	clock := l.clock()
	if r != nil && !r.stopAsked {
		r.stopAsked = true
		time.AfterFunc(stopTime, func() {
			l.m.mu.Lock()
			defer l.m.mu.Unlock()
			l.finish(r, "stopped")
		})
	}
	l.m.mu.Unlock()
	reply(w, 200, map[string]any{"ClockMs": clock})
}

func (l *life) hold(w http.ResponseWriter, r *http.Request, c call) {
	m := l.m
	m.mu.Lock()
	for len(l.ended) > 0 && l.ended[0][0].(int64) <= c.AckCursor {
		l.ended = l.ended[1:]
	}
	if c.UntilMs > 0 {
		l.extend(c.UntilMs)
	}
	changed, pending := l.changed, len(l.ended)
	m.mu.Unlock()
	if pending == 0 && c.WaitMs > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(c.WaitMs) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	if m.isCutOff() {
		<-r.Context().Done()
		return
	}
	m.mu.Lock()
	if l.dead {
		m.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	active := make([][]any, 0, len(l.runs))
	for _, r := range l.runs {
		active = append(active, []any{r.Task, r.Run, "", int(100 * time.Since(r.StartedAt) / max(r.workFor, 1)), r.cpu})
	}
	ended := append([][]any{}, l.ended[:min(500, len(l.ended))]...)
	a := map[string]any{"ClockMs": l.clock(), "born": l.born.UnixMilli(), "Active": active, "Ended": ended}
	isLate := c.WaitMs > 0 && m.site.isLate()
	if isLate {
		l.heldBack++
	}
	m.mu.Unlock()
	if isLate {
		time.Sleep(lateAnswer)
		m.mu.Lock()
		l.heldBack--
		m.mu.Unlock()
	}
	reply(w, 200, a)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
