package emulator

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/describer"
)

// Platform serves the log and the list on one address, and each worker and minion
// on an address of its own, over HTTP. Workers and minions use the loopback
// interface.
type Platform struct {
	site    Site
	addr    string
	servers []*http.Server
	wg      sync.WaitGroup

	mu              sync.Mutex
	log             *Log
	appendedChan    chan struct{}
	workers         []*workerHost
	minions         []*minionHost
	instances       []describer.ListInstance
	listUnavailable bool
	// listHistory holds recent lists, newest last, so that served lists can lag
	// by Site.ListLag.
	listHistory []timedList
}

type timedList struct {
	createdAt time.Time
	list      describer.List
}

// Site describes the components of an emulated platform.
type Site struct {
	Domains []string
	Service string
	// Workers and Minions are total numbers, distributed over the domains in
	// turn.
	Workers           int
	Minions           int
	WorkersPerRack    int
	WorkerCapacity    describer.Room
	MinionSlots       int
	MinionConnections int
	LogDelay          time.Duration
	// ListLag is how far the served list lags behind the current state.
	ListLag time.Duration
}

// AkademiaSite returns the platform of the example user Akademia, sized as in
// the project's requirements.
func AkademiaSite() Site {
	return Site{
		Domains: []string{"warszawa-a", "warszawa-b", "radom"}, Service: "materialy-zajec",
		Workers: 48, Minions: 48, WorkersPerRack: 8, WorkerCapacity: describer.Room{Cores: 16000, Memory: 32768, Accelerators: 2},
		MinionSlots: 8, MinionConnections: 64, LogDelay: 5 * time.Millisecond, ListLag: 200 * time.Millisecond,
	}
}

// AssociationSite returns the platform of the example user association.
func AssociationSite() Site {
	s := AkademiaSite()
	s.Domains = []string{"ruaraka", "embakasi", "kikuyu", "athi"}
	s.Service = "order-desk"
	s.WorkersPerRack = 6
	s.WorkerCapacity.Memory = 65536
	return s
}

// New starts a platform that serves the log and the list on addr, an IP address and
// a port.
func New(addr string, site Site) (*Platform, error) {
	p := &Platform{site: site, log: NewLog(), appendedChan: make(chan struct{})}
	p.log.Faults.DelayMillis = int(site.LogDelay / time.Millisecond)
	if err := p.startHosts(); err != nil {
		p.Close()
		return nil, err
	}
	boundAddr, err := p.startServer(addr, p.newHandler())
	if err != nil {
		p.Close()
		return nil, err
	}
	p.addr = boundAddr
	return p, nil
}

func (p *Platform) startHosts() error {
	for i := 0; i < p.site.Workers; i++ {
		if err := p.startWorker(i); err != nil {
			return err
		}
	}
	for i := 0; i < p.site.Minions; i++ {
		if err := p.startMinion(i); err != nil {
			return err
		}
	}
	return nil
}

func (p *Platform) startWorker(i int) error {
	domains := len(p.site.Domains)
	domain := p.site.Domains[i%domains]
	rack := fmt.Sprintf("%s-r%d", domain, i/domains/max(1, p.site.WorkersPerRack))
	worker := NewWorker(fmt.Sprintf("%s-w%02d", domain, i/domains), domain, rack, p.site.WorkerCapacity)
	host := newWorkerHost(worker)
	addr, err := p.startServer("127.0.0.1:0", host.newHandler())
	if err != nil {
		return err
	}
	host.addr = addr
	p.workers = append(p.workers, host)
	return nil
}

func (p *Platform) startMinion(i int) error {
	domains := len(p.site.Domains)
	domain := p.site.Domains[i%domains]
	minion := NewMinion(fmt.Sprintf("%s-m%02d", domain, i/domains), p.site.Service, domain, p.site.MinionSlots, p.site.MinionConnections)
	host := &minionHost{minion: minion}
	addr, err := p.startServer("127.0.0.1:0", host)
	if err != nil {
		return err
	}
	host.addr = addr
	p.minions = append(p.minions, host)
	return nil
}

// startServer starts to serve handler on addr and returns the bound address.
func (p *Platform) startServer(addr string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", fmt.Errorf("listen on %s for the emulated platform: %w", addr, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	p.servers = append(p.servers, server)
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		_ = server.Serve(listener)
	}()
	return listener.Addr().String(), nil
}

// Addr returns the address that serves the log and the list.
func (p *Platform) Addr() string { return p.addr }

// Close stops all servers and waits until they have ended.
func (p *Platform) Close() {
	for _, s := range p.servers {
		_ = s.Close()
	}
	p.wg.Wait()
}

func (p *Platform) newHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log", p.serveAppend)
	mux.HandleFunc("GET /v1/log", p.serveRead)
	mux.HandleFunc("GET /v1/list", p.serveList)
	mux.HandleFunc("POST /v1/instances", p.serveRegister)
	mux.HandleFunc("POST /v1/faults", p.serveFaults)
	mux.HandleFunc("GET /v1/stats", p.serveStats)
	return mux
}

func (p *Platform) serveAppend(rw http.ResponseWriter, r *http.Request) {
	var body describer.AppendBody
	if !decodeBody(rw, r, &body) {
		return
	}
	p.mu.Lock()
	delay := time.Duration(p.log.Faults.DelayMillis) * time.Millisecond
	p.mu.Unlock()
	time.Sleep(delay)
	p.mu.Lock()
	firstOffset, err := p.log.Append(time.Now(), body.Records)
	if err == nil || errors.Is(err, errAppendAnswerLost) {
		close(p.appendedChan)
		p.appendedChan = make(chan struct{})
	}
	p.mu.Unlock()
	if err != nil {
		http.Error(rw, err.Error(), http.StatusServiceUnavailable)
		return
	}
	encodeBody(rw, describer.AppendAnswer{FirstOffset: firstOffset})
}

const maxReadWait = 5 * time.Second

// serveRead is a long poll: it responds when the log has entries from the offset
// on, or when the wait is over.
func (p *Platform) serveRead(rw http.ResponseWriter, r *http.Request) {
	var from uint64
	var waitMillis int
	_, _ = fmt.Sscan(r.URL.Query().Get("from"), &from)
	_, _ = fmt.Sscan(r.URL.Query().Get("wait"), &waitMillis)
	deadline := time.NewTimer(min(time.Duration(waitMillis)*time.Millisecond, maxReadWait))
	defer deadline.Stop()
	for waiting := true; ; {
		p.mu.Lock()
		entries, err := p.log.Read(time.Now(), from)
		appendedChan := p.appendedChan
		p.mu.Unlock()
		if err != nil {
			http.Error(rw, err.Error(), http.StatusServiceUnavailable)
			return
		}
		if len(entries) > 0 || !waiting {
			encodeBody(rw, describer.ReadBody{Entries: entries})
			return
		}
		select {
		case <-appendedChan:
		case <-deadline.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) serveRegister(rw http.ResponseWriter, r *http.Request) {
	var instance describer.ListInstance
	if decodeBody(rw, r, &instance) {
		p.RegisterInstance(instance)
	}
}

// RegisterInstance adds an entry instance to the list, or replaces its entry, for
// example to mark it as draining.
func (p *Platform) RegisterInstance(instance describer.ListInstance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.instances {
		if p.instances[i].Name == instance.Name {
			p.instances[i] = instance
			return
		}
	}
	p.instances = append(p.instances, instance)
}

// serveList serves the list as it was Site.ListLag ago.
func (p *Platform) serveList(rw http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listUnavailable {
		http.Error(rw, "list is down", http.StatusServiceUnavailable)
		return
	}
	now := time.Now()
	p.listHistory = append(p.listHistory, timedList{createdAt: now, list: p.currentList()})
	shown := p.listHistory[0]
	for len(p.listHistory) > 1 && now.Sub(p.listHistory[1].createdAt) >= p.site.ListLag {
		p.listHistory = p.listHistory[1:]
		shown = p.listHistory[0]
	}
	encodeBody(rw, shown.list)
}

func (p *Platform) currentList() describer.List {
	list := describer.List{Instances: append([]describer.ListInstance(nil), p.instances...)}
	for _, host := range p.workers {
		list.Workers = append(list.Workers, host.listEntry())
	}
	for _, host := range p.minions {
		list.Minions = append(list.Minions, host.listEntry())
	}
	return list
}

// FaultBody is the body of a request that injects faults into one component. Name
// is "log", "list", or the name of a worker or minion.
type FaultBody struct {
	Name   string        `json:"name"`
	Log    *LogFaults    `json:"log,omitempty"`
	Worker *WorkerFaults `json:"worker,omitempty"`
	Minion *MinionFaults `json:"minion,omitempty"`
	Down   bool          `json:"down,omitempty"`
}

func (p *Platform) serveFaults(rw http.ResponseWriter, r *http.Request) {
	var body FaultBody
	if !decodeBody(rw, r, &body) {
		return
	}
	if !p.SetFaults(body) {
		http.Error(rw, "no such component: "+body.Name, http.StatusNotFound)
	}
}

// SetFaults replaces the faults of a component. It returns false if there is no
// component of that name.
func (p *Platform) SetFaults(body FaultBody) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case body.Name == "log" && body.Log != nil:
		p.log.Faults = *body.Log
		return true
	case body.Name == "list":
		p.listUnavailable = body.Down
		return true
	}
	for _, host := range p.workers {
		if host.worker.Name == body.Name && body.Worker != nil {
			host.setFaults(*body.Worker)
			return true
		}
	}
	for _, host := range p.minions {
		if host.minion.Name == body.Name && body.Minion != nil {
			host.setFaults(*body.Minion)
			return true
		}
	}
	return false
}

// WorkerNames returns the names of all workers.
func (p *Platform) WorkerNames() []string {
	names := make([]string, len(p.workers))
	for i, host := range p.workers {
		names[i] = host.worker.Name
	}
	return names
}

// MinionSlots returns the number of slots of each minion.
func (p *Platform) MinionSlots() []int {
	slots := make([]int, len(p.minions))
	for i, host := range p.minions {
		slots[i] = host.minion.Slots
	}
	return slots
}

// Stats holds totals over all components of a platform.
type Stats struct {
	Appends int `json:"appends"`
	// Starts is the number of task starts.
	Starts int `json:"starts"`
	// DuplicateStarts is the number of starts of tasks that had been started before,
	// on any worker.
	DuplicateStarts int           `json:"doubles"`
	Workers         WorkerCounts  `json:"workers"`
	Minions         MinionCounts  `json:"minions"`
	ByMinion        []NamedCounts `json:"by_name"`
}

// NamedCounts holds the counts of one minion.
type NamedCounts struct {
	Name   string       `json:"name"`
	Counts MinionCounts `json:"minion"`
}

func (p *Platform) serveStats(rw http.ResponseWriter, _ *http.Request) {
	encodeBody(rw, p.Stats())
}

// Stats returns the totals so far.
func (p *Platform) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := Stats{Appends: p.log.Appends}
	taskStarts := make(map[describer.TaskKey]int)
	requestRuns := make(map[string]int)
	for _, host := range p.workers {
		host.addStats(&stats, taskStarts)
	}
	for _, host := range p.minions {
		host.addStats(&stats, requestRuns)
	}
	for _, starts := range taskStarts {
		stats.DuplicateStarts += max(0, starts-1)
	}
	stats.Minions.DuplicateRuns = 0
	for _, runs := range requestRuns {
		stats.Minions.DuplicateRuns += max(0, runs-1)
	}
	return stats
}

const maxBodyBytes = 16 << 20

// decodeBody decodes a JSON request body into v. If that fails, it responds with
// status 400 and returns false.
func decodeBody(rw http.ResponseWriter, r *http.Request, v any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(rw, r.Body, maxBodyBytes))
	if err := decoder.Decode(v); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// encodeBody responds with v in JSON.
func encodeBody(rw http.ResponseWriter, v any) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(v)
}
