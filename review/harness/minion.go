//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// maxHold is HoldMaxMs, the longest lease that a minion grants.
	maxHold = time.Second
	// stopTime is how long a stop takes; StopMs is 50.
	stopTime = 20 * time.Millisecond
	// firstClockMs is the clock of a new incarnation.
	firstClockMs = 1000
)

// size is an amount of resources as it stands in jobs and capacities.
type size struct{ Cpu, MemMb, Gpu int }

// workload is the Spec of a job: what each of its tasks takes and for how long it runs. It
// stands in for the program that a real minion would run.
type workload struct {
	Cpu, MemMb int
	Ms         int
}

// minion is one life of a machine that runs tasks. All methods are safe for concurrent use.
type minion struct {
	id, kind string
	capacity size
	record   *record
	born     time.Time
	address  string
	server   *http.Server

	mu       sync.Mutex
	hold     int64
	fence    int64
	active   map[string]*activeRun
	lastRun  map[string]int64
	ended    [][]any
	endCount int64
	changed  chan struct{}
	dead     bool
	// intercept is nil unless orders are intercepted.
	intercept func(*http.Request, *order) bool
}

type activeRun struct {
	task     string
	run      int64
	size     size
	started  time.Time
	duration time.Duration
	timer    *time.Timer
}

// newMinion starts a minion. An empty address means a free port of the loopback interface.
func newMinion(id, kind, address string, capacity size, rec *record) (*minion, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("minion %s: %w", id, err)
	}
	m := &minion{
		id: id, kind: kind, capacity: capacity, record: rec, born: time.Now(), address: listener.Addr().String(),
		active: make(map[string]*activeRun), lastRun: make(map[string]int64), changed: make(chan struct{}),
	}
	m.server = &http.Server{Handler: m}
	go func() { _ = m.server.Serve(listener) }()
	return m, nil
}

// crash ends the minion's process: its runs end, and its port refuses connections.
func (m *minion) crash() {
	m.mu.Lock()
	m.dead = true
	for _, r := range m.active {
		r.timer.Stop()
		m.record.end(m.id, r.task, r.run, "lost in a crash")
	}
	m.active = make(map[string]*activeRun)
	m.mu.Unlock()
	_ = m.server.Close()
}

func (m *minion) clock() int64 { return time.Since(m.born).Milliseconds() + firstClockMs }

type order struct {
	Task      string
	Run       int64
	Spec      string
	UntilMs   int64
	Fence     int64
	AckCursor int64
	WaitMs    int64
}

func (o *order) key() string { return fmt.Sprintf("%s/%d", o.Task, o.Run) }

func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.WriteHeader(http.StatusOK)
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	intercept := m.intercept
	m.mu.Unlock()
	if intercept != nil && intercept(r, &o) {
		<-r.Context().Done()
		return
	}
	m.perform(w, r, &o)
}

// setInterceptor sets a function that sees each order first. One that it takes gets no
// answer.
func (m *minion) setInterceptor(f func(*http.Request, *order) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.intercept = f
}

// perform carries out an order.
func (m *minion) perform(w http.ResponseWriter, r *http.Request, o *order) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	m.mu.Lock()
	fenced := o.Fence < m.fence
	m.fence = max(m.fence, o.Fence)
	m.mu.Unlock()
	if fenced {
		m.reply(w, http.StatusConflict, map[string]any{"Reason": "fence"})
		return
	}
	switch r.URL.Path {
	case "/heatherslip/run-start":
		m.start(w, o)
	case "/heatherslip/run-stop":
		m.stop(w, o)
	case "/heatherslip/hold":
		m.look(w, r, o)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (m *minion) reply(w http.ResponseWriter, status int, body map[string]any) {
	body["ClockMs"], body["born"] = m.clock(), m.born.UnixMilli()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (m *minion) start(w http.ResponseWriter, o *order) {
	var work workload
	if err := json.Unmarshal([]byte(o.Spec), &work); err != nil {
		m.reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	m.mu.Lock()
	reason := m.admit(o, work)
	m.mu.Unlock()
	if reason != "" {
		m.reply(w, http.StatusConflict, map[string]any{"Reason": reason})
		return
	}
	m.reply(w, http.StatusOK, map[string]any{})
}

// admit starts a run, or returns why it is rejected. The caller holds m.mu.
func (m *minion) admit(o *order, work workload) string {
	if m.active[o.key()] != nil {
		m.extend(o.UntilMs)
		return ""
	}
	if o.UntilMs <= m.clock() {
		return "late"
	}
	m.extend(o.UntilMs)
	if o.Run <= m.lastRun[o.Task] {
		return "old"
	}
	used := size{Cpu: work.Cpu, MemMb: work.MemMb}
	for _, r := range m.active {
		used.Cpu += r.size.Cpu
		used.MemMb += r.size.MemMb
	}
	if m.dead || used.Cpu > m.capacity.Cpu || used.MemMb > m.capacity.MemMb {
		return "room"
	}
	r := &activeRun{task: o.Task, run: o.Run, size: size{Cpu: work.Cpu, MemMb: work.MemMb}, started: time.Now(), duration: time.Duration(work.Ms) * time.Millisecond}
	m.active[o.key()] = r
	m.record.start(m, o.Task, o.Run)
	r.timer = time.AfterFunc(r.duration, func() { m.finish(o.key(), r, "done") })
	return ""
}

// extend moves the end of the lease to a later time. The caller holds m.mu.
func (m *minion) extend(until int64) {
	until = min(until, m.clock()+maxHold.Milliseconds())
	if until <= m.hold {
		return
	}
	m.hold = until
	time.AfterFunc(time.Duration(until-m.clock())*time.Millisecond, m.lapse)
}

// lapse ends all runs if the lease is over.
func (m *minion) lapse() {
	m.mu.Lock()
	over := make(map[string]*activeRun)
	if m.clock() >= m.hold {
		for key, r := range m.active {
			over[key] = r
		}
	}
	m.mu.Unlock()
	for key, r := range over {
		m.finish(key, r, "lapsed")
	}
}

// finish ends a run, unless it has ended already.
func (m *minion) finish(key string, r *activeRun, how string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.active[key] != r {
		return
	}
	r.timer.Stop()
	delete(m.active, key)
	m.lastRun[r.task] = max(m.lastRun[r.task], r.run)
	m.endCount++
	m.ended = append(m.ended, []any{m.endCount, r.task, r.run, how, ""})
	m.record.end(m.id, r.task, r.run, how)
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *minion) stop(w http.ResponseWriter, o *order) {
	m.mu.Lock()
	r := m.active[o.key()]
	m.lastRun[o.Task] = max(m.lastRun[o.Task], o.Run)
	m.mu.Unlock()
	if r != nil {
		time.AfterFunc(stopTime, func() { m.finish(o.key(), r, "stopped") })
	}
	m.reply(w, http.StatusOK, map[string]any{})
}

// look extends the lease and lists what runs and what has ended, after a wait for an end.
func (m *minion) look(w http.ResponseWriter, r *http.Request, o *order) {
	m.mu.Lock()
	m.ended = slices.DeleteFunc(m.ended, func(row []any) bool { return row[0].(int64) <= o.AckCursor })
	if o.UntilMs > 0 {
		m.extend(o.UntilMs)
	}
	changed, pending := m.changed, len(m.ended)
	m.mu.Unlock()
	if pending == 0 && o.WaitMs > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	m.mu.Lock()
	active := make([][]any, 0, len(m.active))
	for _, a := range m.active {
		percent := min(100, int(100*time.Since(a.started)/max(a.duration, 1)))
		active = append(active, []any{a.task, a.run, "", percent, a.size.Cpu})
	}
	ended := append([][]any{}, m.ended[:min(len(m.ended), 500)]...)
	m.mu.Unlock()
	m.reply(w, http.StatusOK, map[string]any{"Active": active, "Ended": ended})
}
