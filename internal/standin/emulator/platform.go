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

// Site says what a platform consists of.
type Site struct {
	Domains []string
	Service string
	// Workers and Minions are dealt out over the domains in turn.
	Workers  int
	Minions  int
	PerRack  int
	Room     describer.Room
	Slots    int
	Conns    int
	LogDelay time.Duration
	// ListLag is how far the list is behind.
	ListLag time.Duration
}

// AkademiaSite is the platform of the Akademia as the brief gives it.
func AkademiaSite() Site {
	return Site{
		Domains: []string{"warszawa-a", "warszawa-b", "radom"}, Service: "materialy-zajec",
		Workers: 48, Minions: 48, PerRack: 8, Room: describer.Room{Cores: 16000, Memory: 32768, Accelerators: 2},
		Slots: 8, Conns: 64, LogDelay: 5 * time.Millisecond, ListLag: 200 * time.Millisecond,
	}
}

// AssociationSite is the platform of the association.
func AssociationSite() Site {
	s := AkademiaSite()
	s.Domains = []string{"ruaraka", "embakasi", "kikuyu", "athi"}
	s.Service = "order-desk"
	s.PerRack = 6
	s.Room.Memory = 65536
	return s
}

// Platform serves the log, the list, and each worker and minion on an address
// of its own, over HTTP on the loopback interface.
type Platform struct {
	site    Site
	addr    string
	servers []*http.Server
	wg      sync.WaitGroup

	mu        sync.Mutex
	log       *Log
	appended  chan struct{}
	workers   []*workerHost
	minions   []*minionHost
	instances []describer.ListInstance
	listDown  bool
	// listed are the lists shown so far, the newest last, for the lag.
	listed []datedList
}

type datedList struct {
	at   time.Time
	list describer.List
}

// New starts a platform on addr, an IP number and a port.
func New(addr string, site Site) (*Platform, error) {
	p := &Platform{site: site, log: NewLog(), appended: make(chan struct{})}
	p.log.Faults.DelayMillis = int(site.LogDelay / time.Millisecond)
	if err := p.build(); err != nil {
		p.Close()
		return nil, err
	}
	bound, err := p.serve(addr, p.routes())
	if err != nil {
		p.Close()
		return nil, err
	}
	p.addr = bound
	return p, nil
}

func (p *Platform) build() error {
	for i := 0; i < p.site.Workers; i++ {
		if err := p.addWorker(i); err != nil {
			return err
		}
	}
	for i := 0; i < p.site.Minions; i++ {
		if err := p.addMinion(i); err != nil {
			return err
		}
	}
	return nil
}

func (p *Platform) addWorker(i int) error {
	n := len(p.site.Domains)
	domain := p.site.Domains[i%n]
	rack := fmt.Sprintf("%s-r%d", domain, i/n/max(1, p.site.PerRack))
	w := NewWorker(fmt.Sprintf("%s-w%02d", domain, i/n), domain, rack, p.site.Room)
	h := newWorkerHost(w)
	addr, err := p.serve("127.0.0.1:0", h.routes())
	if err != nil {
		return err
	}
	h.addr = addr
	p.workers = append(p.workers, h)
	return nil
}

func (p *Platform) addMinion(i int) error {
	n := len(p.site.Domains)
	domain := p.site.Domains[i%n]
	m := NewMinion(fmt.Sprintf("%s-m%02d", domain, i/n), p.site.Service, domain, p.site.Slots, p.site.Conns)
	h := &minionHost{minion: m}
	addr, err := p.serve("127.0.0.1:0", h)
	if err != nil {
		return err
	}
	h.addr = addr
	p.minions = append(p.minions, h)
	return nil
}

func (p *Platform) serve(addr string, h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return "", fmt.Errorf("platform listens on %s: %w", addr, err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	p.servers = append(p.servers, s)
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		_ = s.Serve(ln)
	}()
	return ln.Addr().String(), nil
}

// Addr is where the log and the list are served.
func (p *Platform) Addr() string { return p.addr }

// Close stops serving and waits until all servers have ended.
func (p *Platform) Close() {
	for _, s := range p.servers {
		_ = s.Close()
	}
	p.wg.Wait()
}

func (p *Platform) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log", p.serveAppend)
	mux.HandleFunc("GET /v1/log", p.serveRead)
	mux.HandleFunc("GET /v1/list", p.serveList)
	mux.HandleFunc("POST /v1/instances", p.serveInstance)
	mux.HandleFunc("POST /v1/faults", p.serveFaults)
	mux.HandleFunc("GET /v1/stats", p.serveStats)
	return mux
}

func (p *Platform) serveAppend(rw http.ResponseWriter, r *http.Request) {
	var body describer.AppendBody
	if !readBody(rw, r, &body) {
		return
	}
	p.mu.Lock()
	delay := time.Duration(p.log.Faults.DelayMillis) * time.Millisecond
	p.mu.Unlock()
	time.Sleep(delay)
	p.mu.Lock()
	first, err := p.log.Append(time.Now(), body.Records)
	if err == nil || errors.Is(err, errLogLost) {
		close(p.appended)
		p.appended = make(chan struct{})
	}
	p.mu.Unlock()
	if err != nil {
		http.Error(rw, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeBody(rw, describer.AppendAnswer{First: first})
}

const maxReadWait = 5 * time.Second

func (p *Platform) serveRead(rw http.ResponseWriter, r *http.Request) {
	var from uint64
	var wait int
	_, _ = fmt.Sscan(r.URL.Query().Get("from"), &from)
	_, _ = fmt.Sscan(r.URL.Query().Get("wait"), &wait)
	limit := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxReadWait))
	defer limit.Stop()
	for waiting := true; ; {
		p.mu.Lock()
		entries, err := p.log.Read(time.Now(), from)
		more := p.appended
		p.mu.Unlock()
		if err != nil {
			http.Error(rw, err.Error(), http.StatusServiceUnavailable)
			return
		}
		if len(entries) > 0 || !waiting {
			writeBody(rw, describer.ReadBody{Entries: entries})
			return
		}
		select {
		case <-more:
		case <-limit.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) serveInstance(rw http.ResponseWriter, r *http.Request) {
	var in describer.ListInstance
	if readBody(rw, r, &in) {
		p.Register(in)
	}
}

// Register adds an entry instance to the list, or takes in that it is leaving.
func (p *Platform) Register(in describer.ListInstance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.instances {
		if p.instances[i].Name == in.Name {
			p.instances[i] = in
			return
		}
	}
	p.instances = append(p.instances, in)
}

func (p *Platform) serveList(rw http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listDown {
		http.Error(rw, "list is down", http.StatusServiceUnavailable)
		return
	}
	now := time.Now()
	p.listed = append(p.listed, datedList{at: now, list: p.listNow()})
	shown := p.listed[0]
	for len(p.listed) > 1 && now.Sub(p.listed[1].at) >= p.site.ListLag {
		p.listed = p.listed[1:]
		shown = p.listed[0]
	}
	writeBody(rw, shown.list)
}

func (p *Platform) listNow() describer.List {
	l := describer.List{Instances: append([]describer.ListInstance(nil), p.instances...)}
	for _, h := range p.workers {
		l.Workers = append(l.Workers, h.listed())
	}
	for _, h := range p.minions {
		l.Minions = append(l.Minions, h.listed())
	}
	return l
}

// FaultBody sets faults. Name is "log", "list", or the name of a worker or a
// minion.
type FaultBody struct {
	Name   string        `json:"name"`
	Log    *LogFaults    `json:"log,omitempty"`
	Worker *WorkerFaults `json:"worker,omitempty"`
	Minion *MinionFaults `json:"minion,omitempty"`
	Down   bool          `json:"down,omitempty"`
}

func (p *Platform) serveFaults(rw http.ResponseWriter, r *http.Request) {
	var body FaultBody
	if !readBody(rw, r, &body) {
		return
	}
	if !p.SetFaults(body) {
		http.Error(rw, "no such part: "+body.Name, http.StatusNotFound)
	}
}

// SetFaults puts faults in force; it returns false where no part has the name.
func (p *Platform) SetFaults(body FaultBody) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case body.Name == "log" && body.Log != nil:
		p.log.Faults = *body.Log
		return true
	case body.Name == "list":
		p.listDown = body.Down
		return true
	}
	for _, h := range p.workers {
		if h.worker.Name == body.Name && body.Worker != nil {
			h.setFaults(*body.Worker)
			return true
		}
	}
	for _, h := range p.minions {
		if h.minion.Name == body.Name && body.Minion != nil {
			h.setFaults(*body.Minion)
			return true
		}
	}
	return false
}

// WorkerNames lists the workers.
func (p *Platform) WorkerNames() []string {
	names := make([]string, len(p.workers))
	for i, h := range p.workers {
		names[i] = h.worker.Name
	}
	return names
}

// MinionSlots lists the slots of the minions.
func (p *Platform) MinionSlots() []int {
	slots := make([]int, len(p.minions))
	for i, h := range p.minions {
		slots[i] = h.minion.Slots
	}
	return slots
}

// Stats sums up what has happened on a platform.
type Stats struct {
	Appends int `json:"appends"`
	// Starts counts task starts, and Doubles those of a task that had started
	// before, on whichever worker.
	Starts  int           `json:"starts"`
	Doubles int           `json:"doubles"`
	Workers WorkerCounts  `json:"workers"`
	Minions MinionCounts  `json:"minions"`
	ByName  []NamedCounts `json:"by_name"`
}

// NamedCounts are the counts of one minion.
type NamedCounts struct {
	Name   string       `json:"name"`
	Minion MinionCounts `json:"minion"`
}

func (p *Platform) serveStats(rw http.ResponseWriter, _ *http.Request) {
	writeBody(rw, p.Stats())
}

// Stats returns the sums so far.
func (p *Platform) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := Stats{Appends: p.log.Appends}
	seen := make(map[describer.TaskKey]int)
	unrepeatable := make(map[string]int)
	for _, h := range p.workers {
		h.addTo(&s, seen)
	}
	for _, h := range p.minions {
		h.addTo(&s, unrepeatable)
	}
	for _, starts := range seen {
		s.Doubles += max(0, starts-1)
	}
	s.Minions.Doubles = 0
	for _, runs := range unrepeatable {
		s.Minions.Doubles += max(0, runs-1)
	}
	return s
}

const maxBody = 16 << 20

func readBody(rw http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(rw, r.Body, maxBody))
	if err := d.Decode(v); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeBody(rw http.ResponseWriter, v any) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(v)
}
