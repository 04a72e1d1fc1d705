//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/heatherslip/heatherslip/platform/emulator"
)

const (
	// heartbeat is HeartbeatMs. An entry is removed after three intervals of silence.
	heartbeat     = 1500 * time.Millisecond
	entryExpiry   = 3 * heartbeat
	workersTopic  = "keyed.servers"
	operatorTopic = "keyed.op"
	configKey     = "config"
	serviceName   = "drill-service"
	siteHost      = "drills.example"
)

// site is the platform: the store, the minions and the operator's configuration.
type site struct {
	record       *record
	store        *emulator.Store
	storeAddress string

	mu      sync.Mutex
	places  []*place
	stopped chan struct{}
	wg      sync.WaitGroup
}

// place is a minion over all its lives, with its entry in the store.
type place struct {
	zone, rack string
	minion     *minion
	sequence   int
	draining   bool
	leavesAt   time.Time
	// cut is set while the minion does not reach the store.
	cut bool
	// listed is set while the store has its entry, written last at writtenAt.
	listed    bool
	writtenAt time.Time
}

// newSite starts a store.
func newSite(rec *record) (*site, error) {
	s := &site{record: rec, store: &emulator.Store{}, stopped: make(chan struct{})}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	s.storeAddress = listener.Addr().String()
	server := &http.Server{Handler: s.store}
	go func() { _ = server.Serve(listener) }()
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		s.run()
	}()
	return s, nil
}

func (s *site) close() {
	close(s.stopped)
	s.wg.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.places {
		_ = p.minion.server.Close()
	}
}

// addMinion starts a minion and lists it.
func (s *site) addMinion(id, kind, zone, rack string, capacity size) (*place, error) {
	m, err := newMinion(id, kind, "", capacity, s.record)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &place{zone: zone, rack: rack, minion: m}
	s.places = append(s.places, p)
	s.beat(p)
	return p, nil
}

// run writes heartbeats and removes the entries of silent minions.
func (s *site) run() {
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-s.stopped:
			return
		case <-tick.C:
		}
		s.mu.Lock()
		for _, p := range s.places {
			switch since := time.Since(p.writtenAt); {
			case !p.cut && !p.minion.isDead() && since >= heartbeat:
				s.beat(p)
			case p.listed && since > entryExpiry:
				p.listed = false
				s.store.Put(workersTopic, p.minion.id, nil)
				s.record.note("store: the entry of %s is removed after %s of silence", p.minion.id, seconds(since))
			}
		}
		s.mu.Unlock()
	}
}

func (m *minion) isDead() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.dead
}

// beat writes the minion's entry. The caller holds s.mu.
func (s *site) beat(p *place) {
	p.sequence++
	entry := map[string]any{
		"Service": serviceName, "Address": p.minion.address, "Zone": p.zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0,
		"Capacity": p.minion.capacity, "Labels": []string{p.minion.kind, p.rack}, "ClockMs": p.minion.clock(), "Sequence": p.sequence,
		"born": p.minion.born.UnixMilli(),
	}
	if p.draining {
		entry["State"], entry["RemainingMs"] = "draining", max(0, time.Until(p.leavesAt).Milliseconds())
	}
	value, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	s.store.Put(workersTopic, p.minion.id, value)
	if !p.listed || p.sequence == 1 {
		s.record.note("store: %s is listed as %v with kind %s", p.minion.id, entry["State"], p.minion.kind)
	}
	p.listed, p.writtenAt = true, time.Now()
}

// drain lets the minion report that it leaves after a time. It returns when the store has
// accepted that.
func (s *site) drain(p *place, after time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.draining, p.leavesAt = true, time.Now().Add(after)
	s.beat(p)
	s.record.note("store: accepts that %s is draining, it leaves in %s", p.minion.id, seconds(after))
	return s.record.now()
}

// setCut says whether the minion is cut off from the store.
func (s *site) setCut(p *place, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.cut = cut
	s.record.note("the path of %s to the store: cut %v", p.minion.id, cut)
}

// crash ends a minion's process.
func (s *site) crash(p *place) {
	s.record.note("minion %s crashes", p.minion.id)
	p.minion.crash()
}

// restart starts a minion again under its id and at its address.
func (s *site) restart(p *place) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, err := newMinion(p.minion.id, p.minion.kind, p.minion.address, p.minion.capacity, s.record)
	if err != nil {
		return err
	}
	p.minion, p.sequence = m, 0
	s.record.note("minion %s has started again", m.id)
	s.beat(p)
	return nil
}

// holdUpStart lets the first start of a job go without an answer and be carried out after a
// time, by what is there then under the minion's address. held gets the minion's place.
func (s *site) holdUpStart(jobID string, after time.Duration, held chan<- *place) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var once sync.Once
	for _, p := range s.places {
		p.minion.setInterceptor(func(r *http.Request, o *order) bool {
			taken := false
			if r.URL.Path == "/heatherslip/run-start" && jobOf(o.Task) == jobID {
				once.Do(func() { taken = true })
			}
			if !taken {
				return false
			}
			s.record.note("the start of task %s run %d on %s gets no answer, and will be carried out in %s", o.Task, o.Run, p.minion.id, seconds(after))
			later := r.Clone(context.Background())
			time.AfterFunc(after, func() {
				s.mu.Lock()
				m := p.minion
				s.mu.Unlock()
				s.record.note("the start of task %s run %d is carried out on %s", o.Task, o.Run, m.id)
				m.perform(discard{make(http.Header)}, later, o)
			})
			held <- p
			return true
		})
	}
}

// discard is a response that nobody gets.
type discard struct{ header http.Header }

func (d discard) Header() http.Header       { return d.header }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}

// publish writes a configuration with one queue.
func (s *site) publish(prefix string, timeout time.Duration) {
	value, err := json.Marshal(map[string]any{
		"Version": 7,
		"Routes": []map[string]any{{
			"Name": "r-quote", "Host": siteHost, "PathPrefix": prefix, "Type": "non_idempotent", "TimeoutMs": timeout.Milliseconds(),
			"TargetLatencyMs": 60, "Priority": 0, "Service": serviceName, "MaxAttempts": 2, "Stretch": 1.6,
		}},
		"Services": []map[string]any{{"Name": serviceName, "HealthPath": "/health", "MaxConnections": 64, "Protocol": "h1", "Tls": false, "AdmissionCheck": true, "Standby": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err)
	}
	s.store.Put(operatorTopic, configKey, value)
	s.record.note("store: accepts the configuration")
}
