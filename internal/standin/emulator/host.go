package emulator

import (
	"net/http"
	"sync"
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/describer"
)

// workerHost serves one worker over HTTP.
type workerHost struct {
	addr string

	mu     sync.Mutex
	worker *Worker
	// changed is closed and replaced when a task starts or ends early.
	changed chan struct{}
	// started counts how often each task was started here.
	started map[describer.TaskKey]int
}

func newWorkerHost(w *Worker) *workerHost {
	return &workerHost{worker: w, changed: make(chan struct{}), started: make(map[describer.TaskKey]int)}
}

func (h *workerHost) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/lease", h.serveLease)
	mux.HandleFunc("POST /v1/start", h.serveStart)
	mux.HandleFunc("POST /v1/ends", h.serveEnds)
	mux.HandleFunc("POST /v1/fence", h.serveFence)
	mux.HandleFunc("POST /v1/adopt", h.serveAdopt)
	mux.HandleFunc("POST /v1/stop", h.serveStop)
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if h.dead() {
			hangUp(rw)
			return
		}
		mux.ServeHTTP(rw, r)
	})
}

// hangUp closes the connection without an answer.
func hangUp(rw http.ResponseWriter) {
	if hj, ok := rw.(http.Hijacker); ok {
		if conn, _, err := hj.Hijack(); err == nil {
			_ = conn.Close()
		}
	}
}

func (h *workerHost) dead() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.worker.Faults.Dead
}

func (h *workerHost) setFaults(f WorkerFaults) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.worker.Faults = f
	h.wake()
}

func (h *workerHost) wake() {
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *workerHost) listed() describer.ListWorker {
	h.mu.Lock()
	defer h.mu.Unlock()
	w := h.worker
	return describer.ListWorker{Name: w.Name, Addr: h.addr, Domain: w.Domain, Rack: w.Rack, Total: w.Total, Leaving: w.Faults.Leaving}
}

func (h *workerHost) addTo(s *Stats, seen map[describer.TaskKey]int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.worker.Counts
	s.Starts += c.Starts
	s.Workers.Starts += c.Starts
	s.Workers.Refused += c.Refused
	s.Workers.StartCalls += c.StartCalls
	s.Workers.EventCalls += c.EventCalls
	s.Workers.LeaseCalls += c.LeaseCalls
	s.Workers.FenceCalls += c.FenceCalls
	for key, n := range h.started {
		seen[key] += n
	}
}

func (h *workerHost) serveLease(rw http.ResponseWriter, r *http.Request) {
	var body describer.LeaseBody
	if !readBody(rw, r, &body) {
		return
	}
	h.mu.Lock()
	id := h.worker.Open(time.Now(), body.Holder)
	free := h.worker.Free()
	h.mu.Unlock()
	writeBody(rw, describer.LeaseAnswer{Lease: id, TTLMillis: int(LeaseTTL / time.Millisecond), Free: free})
}

func (h *workerHost) serveStart(rw http.ResponseWriter, r *http.Request) {
	var body describer.StartBody
	if !readBody(rw, r, &body) {
		return
	}
	h.mu.Lock()
	verdicts := h.worker.Start(time.Now(), body.Lease, body.Tasks)
	for i, v := range verdicts {
		if v == describer.VerdictTaken {
			h.started[body.Tasks[i].TaskKey]++
		}
	}
	free := h.worker.Free()
	lose := h.worker.Faults.LoseStarts
	h.wake()
	h.mu.Unlock()
	if lose {
		hangUp(rw)
		return
	}
	writeBody(rw, describer.StartAnswer{Verdicts: verdicts, Free: free})
}

func (h *workerHost) serveEnds(rw http.ResponseWriter, r *http.Request) {
	var body describer.EndsBody
	if !readBody(rw, r, &body) {
		return
	}
	until := time.Now().Add(min(time.Duration(body.WaitMillis)*time.Millisecond, LeaseTTL/2))
	for {
		answer, more, next := h.ends(body)
		now := time.Now()
		if answer.Over || len(answer.Ends) > 0 || !now.Before(until) {
			writeBody(rw, answer)
			return
		}
		if next.IsZero() || next.After(until) {
			next = until
		}
		timer := time.NewTimer(next.Sub(now))
		select {
		case <-timer.C:
		case <-more:
		case <-r.Context().Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

func (h *workerHost) ends(body describer.EndsBody) (describer.EndsAnswer, chan struct{}, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.worker.Counts.EventCalls++
	ends, lasts := h.worker.Ends(time.Now(), body.Lease, body.After)
	next, _ := h.worker.NextEnd()
	return describer.EndsAnswer{Over: !lasts, Ends: ends, Free: h.worker.Free()}, h.changed, next
}

func (h *workerHost) serveFence(rw http.ResponseWriter, r *http.Request) {
	var body describer.FenceBody
	if !readBody(rw, r, &body) {
		return
	}
	h.mu.Lock()
	seen := h.worker.Fence(time.Now(), body.Holder, body.Lease, body.Tasks)
	h.wake()
	h.mu.Unlock()
	writeBody(rw, describer.FenceAnswer{Tasks: seen})
}

func (h *workerHost) serveAdopt(rw http.ResponseWriter, r *http.Request) {
	var body describer.TasksBody
	if !readBody(rw, r, &body) {
		return
	}
	h.mu.Lock()
	lasts := h.worker.Adopt(time.Now(), body.Lease, body.Tasks)
	h.wake()
	h.mu.Unlock()
	writeBody(rw, describer.EndsAnswer{Over: !lasts})
}

func (h *workerHost) serveStop(rw http.ResponseWriter, r *http.Request) {
	var body describer.TasksBody
	if !readBody(rw, r, &body) {
		return
	}
	h.mu.Lock()
	h.worker.Stop(time.Now(), body.Tasks)
	h.wake()
	h.mu.Unlock()
	writeBody(rw, struct{}{})
}

// minionHost serves one minion over HTTP.
type minionHost struct {
	addr string

	mu     sync.Mutex
	minion *Minion
}

// ServeHTTP runs a request for as long as its payload says.
func (h *minionHost) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var body describer.RequestBody
	if !readBody(rw, r, &body) {
		return
	}
	h.mu.Lock()
	faults := h.minion.Faults
	if faults.Dead {
		h.mu.Unlock()
		hangUp(rw)
		return
	}
	taken := h.minion.Begin(body.ID)
	run, ok, output := h.minion.Plan(body.Payload)
	h.mu.Unlock()
	if !taken {
		if faults.Leaving {
			rw.Header().Set("Connection", "close")
		}
		rw.WriteHeader(http.StatusServiceUnavailable)
		writeBody(rw, describer.RequestAnswer{Refused: true})
		return
	}
	time.Sleep(run)
	h.mu.Lock()
	h.minion.End()
	faults = h.minion.Faults
	h.mu.Unlock()
	if faults.LoseAnswers || faults.Dead {
		hangUp(rw)
		return
	}
	if faults.Leaving {
		rw.Header().Set("Connection", "close")
	}
	writeBody(rw, describer.RequestAnswer{OK: ok, Output: output})
}

func (h *minionHost) setFaults(f MinionFaults) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.minion.Faults = f
}

func (h *minionHost) listed() describer.ListMinion {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.minion
	return describer.ListMinion{
		Name: m.Name, Addr: h.addr, Service: m.Service, Domain: m.Domain,
		Slots: m.Slots, Connections: m.Connections, Leaving: m.Faults.Leaving,
	}
}

func (h *minionHost) addTo(s *Stats, unrepeatable map[string]int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.minion.Counts
	s.Minions.Runs += c.Runs
	s.Minions.Refused += c.Refused
	s.Minions.MostBusy = max(s.Minions.MostBusy, c.MostBusy)
	s.ByName = append(s.ByName, NamedCounts{Name: h.minion.Name, Minion: c})
	for id, n := range h.minion.runs {
		unrepeatable[id] += n
	}
}
