//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxHold is the longest lease that a minion grants (HoldMaxMs).
	maxHold = time.Second
	// stopTime is how long a minion takes to stop a run, within StopMs of 50 ms.
	stopTime = 20 * time.Millisecond
	// heartbeatInterval is that of the minions' entries (HeartbeatMs).
	heartbeatInterval = 1500 * time.Millisecond
	// maxListedEnds is how many ends one response lists.
	maxListedEnds  = 500
	initialClockMs = 5000

	startPath = "/heatherslip/run-start"
	stopPath  = "/heatherslip/run-stop"
	holdPath  = "/heatherslip/hold"
)

// work is what the Spec of a job says of the tasks of a step: how long they take, and what
// they take of a minion.
type work struct {
	Ms, Cpu int
}

// specOf returns the Spec of a job with the work of each step.
func specOf(works []work) string {
	b, err := json.Marshal(works)
	if err != nil {
		panic(err)
	}
	return string(b)
}

// workOf returns the work of a task, whose name is ID.K.STEP.INDEX.
func workOf(task, spec string) (work, error) {
	var works []work
	if err := json.Unmarshal([]byte(spec), &works); err != nil {
		return work{}, err
	}
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return work{}, fmt.Errorf("%q is no task", task)
	}
	n, err := strconv.Atoi(parts[2])
	if err != nil || n < 0 || n >= len(works) {
		return work{}, fmt.Errorf("%q has no step of the job", task)
	}
	return works[n], nil
}

// minion is one life of a minion, as the users' pages describe it.
type minion struct {
	id, zone, rack string
	address        string
	cpu            int
	// unguarded is set if the minion starts what it is told to, also over its capacity.
	unguarded bool
	born      time.Time
	rec       *record
	server    *http.Server
	// late holds back a start; nil if there is none.
	late *lateOrder

	mu         sync.Mutex
	sequence   int
	fence      int64
	leaseUntil int64
	active     map[string]*minionRun
	lastEnded  map[string]int64
	ends       [][]any
	endCount   int64
	changed    chan struct{}
	// runs has all runs ever started here.
	runs []*minionRun
}

type minionRun struct {
	task      string
	run       int64
	cpu       int
	total     time.Duration
	startedAt time.Time
	// fence is that of the start, and used what all runs took once it had begun.
	fence   int64
	used    int
	endedAt time.Time
	how     string
	timer   *time.Timer
	minion  *minion
}

func newMinion(id, zone, rack, address string, cpu int, rec *record) (*minion, error) {
	m := &minion{
		id: id, zone: zone, rack: rack, address: address, cpu: cpu, born: time.Now(), rec: rec,
		active: make(map[string]*minionRun), lastEnded: make(map[string]int64), changed: make(chan struct{}),
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for minion %s: %w", id, err)
	}
	m.server = &http.Server{Handler: m}
	go func() {
		// It returns when the case ends.
		_ = m.server.Serve(listener)
	}()
	return m, nil
}

func (m *minion) clockMs() int64 { return time.Since(m.born).Milliseconds() + initialClockMs }

// entry returns the minion's entry in the store.
func (m *minion) entry() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	doc := map[string]any{
		"Service": serviceName, "Address": m.address, "Zone": m.zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0,
		"Capacity": map[string]int{"Cpu": m.cpu, "MemMb": 32768, "Gpu": 0}, "Labels": []string{"a", m.rack},
		"ClockMs": m.clockMs(), "Sequence": m.sequence, "born": m.born.UnixMilli(),
	}
	b, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	return b
}

// crash ends the minion and all that runs on it.
func (m *minion) crash() {
	_ = m.server.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.active {
		r.timer.Stop()
		r.endedAt, r.how = time.Now(), "crashed"
	}
	m.active = make(map[string]*minionRun)
	m.rec.addf("minion %s crashes", m.id)
}

type minionCall struct {
	Task      string
	Run       int64
	Spec      string
	UntilMs   int64
	Fence     int64
	AckCursor int64
	WaitMs    int64
}

// ServeHTTP serves the calls of instances.
func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		w.WriteHeader(http.StatusOK)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if m.late != nil && m.late.hold(m, r.URL.Path, body) {
		awaitNoAnswer(r)
	}
	var call minionCall
	if err := json.Unmarshal(body, &call); err != nil {
		m.answer(w, http.StatusBadRequest, nil)
		return
	}
	if r.Header.Get("Expect-Instance") != m.id {
		m.answer(w, http.StatusMisdirectedRequest, nil)
		return
	}
	m.mu.Lock()
	isFenced := call.Fence < m.fence
	m.fence = max(m.fence, call.Fence)
	m.mu.Unlock()
	if isFenced {
		m.answer(w, http.StatusConflict, map[string]any{"Reason": "fence"})
		return
	}
	switch r.URL.Path {
	case startPath:
		m.serveStart(w, &call)
	case stopPath:
		m.serveStop(w, &call)
	case holdPath:
		m.serveHold(w, r, &call)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (m *minion) answer(w http.ResponseWriter, status int, doc map[string]any) {
	if doc == nil {
		doc = make(map[string]any)
	}
	doc["ClockMs"], doc["born"] = m.clockMs(), m.born.UnixMilli()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller has left.
	_ = json.NewEncoder(w).Encode(doc)
}

func runName(task string, run int64) string { return task + "/" + strconv.FormatInt(run, 10) }

func (m *minion) serveStart(w http.ResponseWriter, call *minionCall) {
	spec, err := workOf(call.Task, call.Spec)
	if err != nil {
		m.answer(w, http.StatusBadRequest, nil)
		return
	}
	if reason := m.start(call, spec); reason != "" {
		m.rec.addf("minion %s rejects a start of %s: %s", m.id, call.Task, reason)
		m.answer(w, http.StatusConflict, map[string]any{"Reason": reason})
		return
	}
	m.answer(w, http.StatusOK, nil)
}

// start starts a run and returns an empty string, or the reason why not.
func (m *minion) start(call *minionCall, spec work) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	name := runName(call.Task, call.Run)
	if m.active[name] != nil {
		m.extend(call.UntilMs)
		return ""
	}
	if call.UntilMs <= m.clockMs() {
		return "late"
	}
	m.extend(call.UntilMs)
	if call.Run <= m.lastEnded[call.Task] {
		return "old"
	}
	used := spec.Cpu
	for _, other := range m.active {
		used += other.cpu
	}
	if used > m.cpu && !m.unguarded {
		return "room"
	}
	run := &minionRun{
		task: call.Task, run: call.Run, cpu: spec.Cpu, total: time.Duration(spec.Ms) * time.Millisecond, startedAt: time.Now(), minion: m,
		fence: call.Fence, used: used,
	}
	m.active[name] = run
	m.runs = append(m.runs, run)
	run.timer = time.AfterFunc(run.total, func() { m.end(name, run, "done") })
	m.rec.addf("minion %s starts %s, run %d", m.id, call.Task, call.Run)
	return ""
}

// extend moves the end of the lease. The caller holds the lock.
func (m *minion) extend(until int64) {
	until = min(until, m.clockMs()+maxHold.Milliseconds())
	if until <= m.leaseUntil {
		return
	}
	m.leaseUntil = until
	time.AfterFunc(time.Duration(until-m.clockMs())*time.Millisecond, m.expire)
}

func (m *minion) expire() {
	m.mu.Lock()
	var lapsed []*minionRun
	if m.clockMs() >= m.leaseUntil {
		for _, r := range m.active {
			lapsed = append(lapsed, r)
		}
	}
	m.mu.Unlock()
	for _, r := range lapsed {
		m.end(runName(r.task, r.run), r, "lapsed")
	}
}

func (m *minion) end(name string, r *minionRun, how string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.active[name] != r {
		return
	}
	r.timer.Stop()
	delete(m.active, name)
	r.endedAt, r.how = time.Now(), how
	m.lastEnded[r.task] = max(m.lastEnded[r.task], r.run)
	m.endCount++
	m.ends = append(m.ends, []any{m.endCount, r.task, r.run, how, ""})
	close(m.changed)
	m.changed = make(chan struct{})
	m.rec.addf("minion %s ends %s, run %d: %s", m.id, r.task, r.run, how)
}

func (m *minion) serveStop(w http.ResponseWriter, call *minionCall) {
	name := runName(call.Task, call.Run)
	m.mu.Lock()
	r := m.active[name]
	m.lastEnded[call.Task] = max(m.lastEnded[call.Task], call.Run)
	m.mu.Unlock()
	if r != nil {
		m.rec.addf("minion %s is told to stop %s, run %d", m.id, call.Task, call.Run)
		time.AfterFunc(stopTime, func() { m.end(name, r, "stopped") })
	}
	m.answer(w, http.StatusOK, nil)
}

func (m *minion) serveHold(w http.ResponseWriter, r *http.Request, call *minionCall) {
	m.mu.Lock()
	for len(m.ends) > 0 && m.ends[0][0].(int64) <= call.AckCursor {
		m.ends = m.ends[1:]
	}
	if call.UntilMs > 0 {
		m.extend(call.UntilMs)
	}
	changed, isDue := m.changed, len(m.ends) > 0
	m.mu.Unlock()
	if !isDue && call.WaitMs > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(call.WaitMs, 2000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	m.mu.Lock()
	active := make([][]any, 0, len(m.active))
	for _, run := range m.active {
		percent := int(100 * time.Since(run.startedAt) / max(run.total, 1))
		active = append(active, []any{run.task, run.run, "", min(percent, 100), run.cpu})
	}
	ends := append([][]any{}, m.ends[:min(len(m.ends), maxListedEnds)]...)
	m.mu.Unlock()
	m.answer(w, http.StatusOK, map[string]any{"Active": active, "Ended": ends})
}

// allRuns returns the runs so far, as they are now.
func (m *minion) allRuns() []minionRun {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]minionRun, len(m.runs))
	for i, r := range m.runs {
		out[i] = *r
	}
	return out
}
