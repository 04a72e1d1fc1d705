//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/heatherslip/heatherslip/platform/emulator"
)

const (
	serviceName  = "huvo11a"
	routeHost    = "nony24.example"
	routePrefix  = "/lohu930/"
	readyTimeout = 20 * time.Second
	// listSilence is the silence after which the platform removes a minion's entry.
	listSilence = 3 * heartbeatInterval
)

// Topics of the store.
const (
	operatorTopic = "keyed.op"
	serversTopic  = "keyed.servers"
)

// deployment is a small deployment on loopback addresses.
type deployment struct {
	rec *record
	// block is the first three numbers of all addresses.
	block string
	port  int
	dir   string
	store *emulator.Store

	storeServer *http.Server
	minions     []*minion
	nodes       []*node
	done        chan struct{}
	wg          sync.WaitGroup

	mu sync.Mutex
	// lastWrite has the time of the last write of each listed minion.
	lastWrite map[string]time.Time
	// ended has the lives of minions that are over.
	ended   map[*minion]bool
	version int
	// unguarded is set if the minions do not check their capacity (AdmissionCheck).
	unguarded bool
}

// node is an instance of the system.
type node struct {
	name, zone, ip string
	settings       string
	cmd            *exec.Cmd
	exited         chan struct{}
}

func newDeployment(rec *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		rec: rec, dir: dir, store: &emulator.Store{}, done: make(chan struct{}), lastWrite: make(map[string]time.Time), ended: make(map[*minion]bool),
		block: fmt.Sprintf("127.%d.%d", 60+rand.IntN(180), 1+rand.IntN(250)), port: 21000 + 50*rand.IntN(200),
	}
	listener, err := net.Listen("tcp", d.storeAddress())
	if err != nil {
		return nil, fmt.Errorf("listen for the store: %w", err)
	}
	d.storeServer = &http.Server{Handler: d.store}
	go func() {
		// It returns when the case ends.
		_ = d.storeServer.Serve(listener)
	}()
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		d.expireEntries()
	}()
	return d, nil
}

func (d *deployment) storeAddress() string { return fmt.Sprintf("%s.2:%d", d.block, d.port) }

// close ends all processes and servers of the case.
func (d *deployment) close() {
	for _, n := range d.nodes {
		n.kill()
	}
	close(d.done)
	d.wg.Wait()
	_ = d.storeServer.Close()
	for _, m := range d.minions {
		_ = m.server.Close()
	}
	_ = os.RemoveAll(d.dir)
}

// expireEntries removes the entries of minions that have been silent for three heartbeats.
func (d *deployment) expireEntries() {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-d.done:
			return
		case <-ticker.C:
		}
		d.mu.Lock()
		for id, at := range d.lastWrite {
			if time.Since(at) >= listSilence {
				delete(d.lastWrite, id)
				d.store.Put(serversTopic, id, nil)
				d.rec.addf("store removes the entry of minion %s, which has been silent for %v", id, listSilence)
			}
		}
		d.mu.Unlock()
	}
}

// addMinion starts a minion and its heartbeats.
func (d *deployment) addMinion(zone, rack string, cpu int) (*minion, error) {
	n := len(d.minions)
	m, err := newMinion(fmt.Sprintf("i-%08x", rand.Uint32()), zone, rack, fmt.Sprintf("%s.%d:%d", d.block, 100+n, d.port), cpu, d.rec)
	if err != nil {
		return nil, err
	}
	m.unguarded = d.unguarded
	d.minions = append(d.minions, m)
	d.rec.addf("minion %s in %s, %s, has %d thousandths of a core", m.id, zone, rack, cpu)
	d.register(m)
	return m, nil
}

// register writes a minion's entry at once and with each heartbeat.
func (d *deployment) register(m *minion) {
	d.writeEntry(m)
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		ticker := time.NewTicker(heartbeatInterval)
		defer ticker.Stop()
		for {
			select {
			case <-d.done:
				return
			case <-ticker.C:
				d.writeEntry(m)
			}
		}
	}()
}

// reborn starts the next life of a minion that has crashed, under its id. Its entry is not
// written before register.
func (d *deployment) reborn(m *minion) (*minion, error) {
	next, err := newMinion(m.id, m.zone, m.rack, m.address, m.cpu, d.rec)
	if err != nil {
		return nil, err
	}
	d.minions = append(d.minions, next)
	d.rec.addf("minion %s starts again", m.id)
	return next, nil
}

// writeEntry writes a minion's entry, if its life isn't over.
func (d *deployment) writeEntry(m *minion) {
	entry := m.entry()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended[m] {
		return
	}
	if _, listed := d.lastWrite[m.id]; !listed {
		d.rec.addf("store lists minion %s: %s", m.id, entry)
	}
	d.lastWrite[m.id] = time.Now()
	d.store.Put(serversTopic, m.id, entry)
}

// crash crashes a minion.
func (d *deployment) crash(m *minion) {
	d.mu.Lock()
	d.ended[m] = true
	d.mu.Unlock()
	m.crash()
}

// publish writes a configuration with one queue.
func (d *deployment) publish(stretch float64, targetLatencyMs, timeoutMs int) {
	d.version++
	config, err := json.Marshal(map[string]any{
		"Version": d.version,
		"Routes": []any{map[string]any{
			"Name": "r-3hwrr6x", "Host": routeHost, "PathPrefix": routePrefix, "Type": "non_idempotent", "TimeoutMs": timeoutMs,
			"TargetLatencyMs": targetLatencyMs, "Priority": 0, "Service": serviceName, "MaxAttempts": 2, "Stretch": stretch,
		}},
		"Services": []any{map[string]any{
			"Name": serviceName, "HealthPath": "/health", "MaxConnections": 64, "Protocol": "h1", "Tls": false, "AdmissionCheck": !d.unguarded, "Standby": false,
		}},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err)
	}
	d.store.Put(operatorTopic, "config", config)
	d.rec.addf("operator writes op/config: %s", config)
}

// addNode adds an instance in a zone, which startNodes starts.
func (d *deployment) addNode(zone string) {
	n := &node{zone: zone, ip: fmt.Sprintf("%s.%d", d.block, 10+len(d.nodes)), name: fmt.Sprintf("edge-%s-%d", zone, len(d.nodes)+1)}
	n.settings = filepath.Join(d.dir, n.name+".yaml")
	d.nodes = append(d.nodes, n)
}

// startNodes writes the settings of all instances and starts them, and waits until all are
// ready.
func (d *deployment) startNodes() error {
	for _, n := range d.nodes {
		if err := os.WriteFile(n.settings, []byte(d.settingsOf(n)), 0o600); err != nil {
			return err
		}
		if err := d.startNode(n); err != nil {
			return err
		}
	}
	for _, n := range d.nodes {
		if err := d.awaitReady(n); err != nil {
			return err
		}
	}
	// Let the instances find each other and poll all minions.
	time.Sleep(2 * time.Second)
	return nil
}

func (d *deployment) startNode(n *node) error {
	log, err := os.OpenFile(filepath.Join(d.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	// The command of deploy/system.toml.
	n.cmd = exec.Command("target/heatherslip", "edge", "--metrics", "9100")
	n.cmd.Env = append(os.Environ(), "HEATHERSLIP_BOOT="+n.settings)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", n.name, err)
	}
	d.rec.addf("%s starts at %s", n.name, n.ip)
	n.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		err := cmd.Wait()
		d.rec.addf("%s has ended: %v", n.name, err)
		close(exited)
	}(n.cmd, n.exited)
	return nil
}

func (d *deployment) awaitReady(n *node) error {
	for began := time.Now(); time.Since(began) < readyTimeout; time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get(fmt.Sprintf("http://%s:%d/heatherslip/readiness", n.ip, d.port+7))
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			d.rec.addf("%s is ready", n.name)
			return nil
		}
	}
	return fmt.Errorf("%s does not become ready", n.name)
}

// signal sends a signal to an instance.
func (d *deployment) signal(n *node, s syscall.Signal) error {
	d.rec.addf("%s gets %v", n.name, s)
	return n.cmd.Process.Signal(s)
}

// kill ends an instance that still runs, and waits for that.
func (n *node) kill() {
	if n.cmd == nil || n.cmd.Process == nil {
		return
	}
	select {
	case <-n.exited:
		return
	default:
	}
	_ = n.cmd.Process.Kill()
	<-n.exited
}

// settingsOf returns the settings of an instance, as in DEPLOY.md.
func (d *deployment) settingsOf(n *node) string {
	zones, seeds := "", ""
	seen := make(map[string]bool)
	for i, other := range d.nodes {
		if !seen[other.zone] {
			seen[other.zone] = true
			zones += fmt.Sprintf("  %s: \"mazowsze\"\n", other.zone)
		}
		if i < 3 {
			seeds += fmt.Sprintf("  - \"%s:%d\"\n", other.ip, d.port+6)
		}
	}
	return strings.NewReplacer(
		"@name", n.name, "@ip", n.ip, "@zones", zones, "@zone", n.zone, "@seeds", seeds, "@store", d.storeAddress(),
		"@front", fmt.Sprint(d.port+1), "@ready", fmt.Sprint(d.port+7), "@control", fmt.Sprint(d.port+6),
		"@first", fmt.Sprint(d.port+20), "@last", fmt.Sprint(d.port+35),
	).Replace(settingsTemplate)
}

const settingsTemplate = `Node: "@name"
Role: "entry"
Class: "edge"
Serves:
  - "edge"
  - "control_plane"
Ip: "@ip"
Zone: "@zone"
Region: "mazowsze"
Zones:
@zonesListenAddrs:
  Front: "@ip:@front"
  Ready: "@ip:@ready"
  Control: "@ip:@control"
PortRange:
  - @first
  - @last
Seeds:
@seeds
Bootstrap: true
CountsAsLoss: true
Limits:
  CpuShare: 0.4
  Cores: 1
  MemoryMb: 284
  MaxFds: 4100
  LinkMbps: 1000.0
  DiskMb: 0
DataDir: null
Discovery: "platform"
Entry: "vip"
HeartbeatMs: 1500
Contracts: ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"]
FaultTolerance: {Machines: 2, Zones: 1, Regions: 0}
Bounds:
  SeedLagS: 3
  ReuseAfterS: 2
  ContactMs: 3000
  AckMs: 4000
  CatchUpS: 4
  DrainMs: 2000
  GraceS: 6
  LossSlackMs: 200
  ConfigApplyMs: 2000
  RollbackSlackMs: 250
  MaxSkewMs: 5000
  RecoveryS: 12
  HoldMaxMs: 1000
  StopMs: 50
  GangTimeoutMs: 3000
  cancel_ms: 3000
  visible_ms: 3000
  early_ms: 250
  finish_s: 14
  status_s: 120
  SpreadFactor: 3
  CheckpointS: 2
  RestoreMs: 600
  NoticeMs: 4500
  MoveS: 1.5
  UpkeepS: 2
  RequireFencing: true
  LeaseMs: 3000
  ThawMs: 300
  PaceMs: 100
  HarmMs: 4000
  RetransmitMs: 1300
CommandMode: "call"
platform:
  Address: "@store"
  form: "log"
  WritesPerS: 600
  ReadsPerS: 2000
  parts: 24
  AppendMs: 1.0
  PartitionMbS: 20.0
  ReadMbS: 80.0
  RecordBytes: 262144
  CallBytes: 2097152
  keep_s: 20
  PartMb: 200
  TtlMinMs: 1000
`
