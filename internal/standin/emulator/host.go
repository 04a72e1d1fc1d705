package emulator

import (
	"net/http"
	"sync"
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/describer"
)

// workerHost serves the API of one worker over HTTP.
type workerHost struct {
	addr string

	mu     sync.Mutex
	worker *Worker
	// changedChan is closed and replaced when a task starts or may end earlier
	// than planned.
	changedChan chan struct{}
	// startCounts counts the starts of each task on this worker.
	startCounts map[describer.TaskKey]int
}

func newWorkerHost(w *Worker) *workerHost {
	return &workerHost{worker: w, changedChan: make(chan struct{}), startCounts: make(map[describer.TaskKey]int)}
}

func (h *workerHost) newHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/lease", h.serveLease)
	mux.HandleFunc("POST /v1/start", h.serveStart)
	mux.HandleFunc("POST /v1/ends", h.serveEnds)
	mux.HandleFunc("POST /v1/fence", h.serveFence)
	mux.HandleFunc("POST /v1/adopt", h.serveAdopt)
	mux.HandleFunc("POST /v1/stop", h.serveStop)
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if h.isUnreachable() {
			closeConnection(rw)
			return
		}
		mux.ServeHTTP(rw, r)
	})
}

// closeConnection closes the connection without sending a response.
func closeConnection(rw http.ResponseWriter) {
	if hijacker, ok := rw.(http.Hijacker); ok {
		if conn, _, err := hijacker.Hijack(); err == nil {
			_ = conn.Close()
		}
	}
}

func (h *workerHost) isUnreachable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.worker.Faults.Unreachable
}

func (h *workerHost) setFaults(f WorkerFaults) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.worker.Faults = f
	h.signalChange()
}

// signalChange wakes the long polls for results. The caller holds mu.
func (h *workerHost) signalChange() {
	close(h.changedChan)
	h.changedChan = make(chan struct{})
}

// listEntry returns the worker's entry in the platform's list.
func (h *workerHost) listEntry() describer.ListWorker {
	h.mu.Lock()
	defer h.mu.Unlock()
	worker := h.worker
	return describer.ListWorker{Name: worker.Name, Addr: h.addr, Domain: worker.Domain, Rack: worker.Rack, Capacity: worker.Capacity, Draining: worker.Faults.Draining}
}

// addStats adds the worker's counts to stats and its task starts to taskStarts.
func (h *workerHost) addStats(stats *Stats, taskStarts map[describer.TaskKey]int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := h.worker.Counts
	stats.Starts += counts.Starts
	stats.Workers.Starts += counts.Starts
	stats.Workers.RefusedStarts += counts.RefusedStarts
	stats.Workers.StartCalls += counts.StartCalls
	stats.Workers.EndsCalls += counts.EndsCalls
	stats.Workers.LeaseCalls += counts.LeaseCalls
	stats.Workers.FenceCalls += counts.FenceCalls
	for key, n := range h.startCounts {
		taskStarts[key] += n
	}
}

func (h *workerHost) serveLease(rw http.ResponseWriter, r *http.Request) {
	var body describer.LeaseBody
	if !decodeBody(rw, r, &body) {
		return
	}
	h.mu.Lock()
	id := h.worker.GrantLease(time.Now(), body.Holder)
	free := h.worker.FreeCapacity()
	h.mu.Unlock()
	encodeBody(rw, describer.LeaseAnswer{Lease: id, TTLMillis: int(LeaseTTL / time.Millisecond), Free: free})
}

func (h *workerHost) serveStart(rw http.ResponseWriter, r *http.Request) {
	var body describer.StartBody
	if !decodeBody(rw, r, &body) {
		return
	}
	h.mu.Lock()
	statuses := h.worker.StartTasks(time.Now(), body.Lease, body.Tasks)
	for i, status := range statuses {
		if status == describer.StartAccepted {
			h.startCounts[body.Tasks[i].TaskKey]++
		}
	}
	free := h.worker.FreeCapacity()
	dropAnswer := h.worker.Faults.DropStartAnswers
	h.signalChange()
	h.mu.Unlock()
	if dropAnswer {
		closeConnection(rw)
		return
	}
	encodeBody(rw, describer.StartAnswer{Statuses: statuses, Free: free})
}

// serveEnds is a long poll: it responds when results arrive, the lease ends, or the
// wait is over. The wait is limited to half of LeaseTTL so that polling keeps the
// lease renewed.
func (h *workerHost) serveEnds(rw http.ResponseWriter, r *http.Request) {
	var body describer.EndsBody
	if !decodeBody(rw, r, &body) {
		return
	}
	deadline := time.Now().Add(min(time.Duration(body.WaitMillis)*time.Millisecond, LeaseTTL/2))
	for {
		answer, changedChan, nextEnd := h.pollResults(body)
		now := time.Now()
		if answer.LeaseEnded || len(answer.Results) > 0 || !now.Before(deadline) {
			encodeBody(rw, answer)
			return
		}
		if nextEnd.IsZero() || nextEnd.After(deadline) {
			nextEnd = deadline
		}
		timer := time.NewTimer(nextEnd.Sub(now))
		select {
		case <-timer.C:
		case <-changedChan:
		case <-r.Context().Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// pollResults returns the current answer to a poll for results, the channel that is
// closed at the next change, and the time when the next task ends.
func (h *workerHost) pollResults(body describer.EndsBody) (describer.EndsAnswer, chan struct{}, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.worker.Counts.EndsCalls++
	results, leaseActive := h.worker.CollectResults(time.Now(), body.Lease, body.ReceivedCount)
	nextEnd, _ := h.worker.NextTaskEnd()
	return describer.EndsAnswer{LeaseEnded: !leaseActive, Results: results, Free: h.worker.FreeCapacity()}, h.changedChan, nextEnd
}

func (h *workerHost) serveFence(rw http.ResponseWriter, r *http.Request) {
	var body describer.FenceBody
	if !decodeBody(rw, r, &body) {
		return
	}
	h.mu.Lock()
	unknown := body.Lease != "" && !h.worker.KnowsLease(body.Lease)
	states := h.worker.FenceLeases(time.Now(), body.Holder, body.Lease, body.Tasks)
	h.signalChange()
	h.mu.Unlock()
	encodeBody(rw, describer.FenceAnswer{Tasks: states, Unknown: unknown})
}

func (h *workerHost) serveAdopt(rw http.ResponseWriter, r *http.Request) {
	var body describer.TasksBody
	if !decodeBody(rw, r, &body) {
		return
	}
	h.mu.Lock()
	leaseActive := h.worker.AdoptTasks(time.Now(), body.Lease, body.Tasks)
	h.signalChange()
	h.mu.Unlock()
	encodeBody(rw, describer.EndsAnswer{LeaseEnded: !leaseActive})
}

func (h *workerHost) serveStop(rw http.ResponseWriter, r *http.Request) {
	var body describer.TasksBody
	if !decodeBody(rw, r, &body) {
		return
	}
	h.mu.Lock()
	h.worker.StopTasks(time.Now(), body.Tasks)
	h.signalChange()
	h.mu.Unlock()
	encodeBody(rw, struct{}{})
}

// minionHost serves the API of one minion over HTTP.
type minionHost struct {
	addr string

	mu     sync.Mutex
	minion *Minion
}

// ServeHTTP runs a request for the time that its payload asks for.
func (h *minionHost) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var body describer.RequestBody
	if !decodeBody(rw, r, &body) {
		return
	}
	h.mu.Lock()
	faults := h.minion.Faults
	if faults.Unreachable {
		h.mu.Unlock()
		closeConnection(rw)
		return
	}
	accepted := h.minion.BeginRequest(body.ID)
	runTime, ok, output := h.minion.PlanRequest(body.Payload)
	h.mu.Unlock()
	if !accepted {
		if faults.Draining {
			rw.Header().Set("Connection", "close")
		}
		rw.WriteHeader(http.StatusServiceUnavailable)
		encodeBody(rw, describer.RequestAnswer{Refused: true})
		return
	}
	time.Sleep(runTime)
	h.mu.Lock()
	h.minion.EndRequest()
	faults = h.minion.Faults
	h.mu.Unlock()
	if faults.DropAnswers || faults.Unreachable {
		closeConnection(rw)
		return
	}
	if faults.Draining {
		rw.Header().Set("Connection", "close")
	}
	encodeBody(rw, describer.RequestAnswer{OK: ok, Output: output})
}

func (h *minionHost) setFaults(f MinionFaults) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.minion.Faults = f
}

// listEntry returns the minion's entry in the platform's list.
func (h *minionHost) listEntry() describer.ListMinion {
	h.mu.Lock()
	defer h.mu.Unlock()
	minion := h.minion
	return describer.ListMinion{
		Name: minion.Name, Addr: h.addr, Service: minion.Service, Domain: minion.Domain,
		Slots: minion.Slots, Connections: minion.MaxConnections, Draining: minion.Faults.Draining,
	}
}

// addStats adds the minion's counts to stats and its runs of unrepeatable requests
// to requestRuns.
func (h *minionHost) addStats(stats *Stats, requestRuns map[string]int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := h.minion.Counts
	stats.Minions.Runs += counts.Runs
	stats.Minions.RefusedRequests += counts.RefusedRequests
	stats.Minions.MaxInFlight = max(stats.Minions.MaxInFlight, counts.MaxInFlight)
	stats.ByMinion = append(stats.ByMinion, NamedCounts{Name: h.minion.Name, Counts: counts})
	for id, n := range h.minion.unrepeatableRuns {
		requestRuns[id] += n
	}
}
