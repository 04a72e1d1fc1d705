//go:build review

package main

import (
	"bufio"
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
)

// metricsPort is that of the deploy file's command.
const metricsPort = "9100"

// fleet is the system's machines, each with one process of the deploy file's command.
type fleet struct {
	site    *site
	program string
	dir     string
	ports   ports
	subnet  string
	nodes   []*node

	mu sync.Mutex
	// owners has, for each minion, the machine that has reserved room there last, as the
	// logs say. Only a minion's owner does so.
	owners map[string]*node
}

type ports struct{ front, ready, control, first int }

// node is a machine of the system. Its log is read while it runs.
type node struct {
	name, zone, ip string
	front          string
	command        *exec.Cmd
	stopped        bool
	exited         chan struct{}
}

// newFleet chooses a loopback subnet and ports that are free.
func newFleet(s *site) (*fleet, error) {
	dir, err := os.MkdirTemp("", "heatherslip-review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{site: s, program: "target/heatherslip", dir: dir, owners: make(map[string]*node)}
	base := 20000 + rand.IntN(20000)
	f.ports = ports{front: base, ready: base + 1, control: base + 2, first: base + 3}
	f.subnet = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))
	return f, nil
}

// ip returns the address of the machine with a number.
func (f *fleet) ip(n int) string { return fmt.Sprintf("%s.%d", f.subnet, n) }

// settings returns the settings file of a machine, as DEPLOY.md describes it.
func (f *fleet) settings(name, zone, ip string, zones, seeds []string, bootstrap bool) string {
	var b strings.Builder
	fmt.Fprintf(&b, "Node: %q\nRole: \"entry\"\nClass: \"edge\"\nServes:\n  - \"edge\"\n  - \"control_plane\"\nIp: %q\nZone: %q\nRegion: \"r\"\nZones:\n", name, ip, zone)
	for _, z := range zones {
		fmt.Fprintf(&b, "  %s: \"r\"\n", z)
	}
	fmt.Fprintf(&b, "ListenAddrs:\n  Front: \"%s:%d\"\n  Ready: \"%s:%d\"\n  Control: \"%s:%d\"\n", ip, f.ports.front, ip, f.ports.ready, ip, f.ports.control)
	fmt.Fprintf(&b, "PortRange:\n  - %d\n  - %d\nSeeds:\n", f.ports.first, f.ports.first+15)
	for _, seed := range seeds {
		fmt.Fprintf(&b, "  - \"%s:%d\"\n", seed, f.ports.control)
	}
	fmt.Fprintf(&b, `Bootstrap: %v
CountsAsLoss: false
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
FaultTolerance:
  Machines: 2
  Zones: 1
  Regions: 0
Bounds: {SeedLagS: 3, ReuseAfterS: 2, ContactMs: 3000, AckMs: 4000, CatchUpS: 4, DrainMs: 2000, GraceS: 6, LossSlackMs: 200, ConfigApplyMs: 2000, RollbackSlackMs: 250, MaxSkewMs: 5000, RecoveryS: 12, HoldMaxMs: 1000, StopMs: 50, GangTimeoutMs: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, SpreadFactor: 3, CheckpointS: 2, RestoreMs: 600, NoticeMs: 4500, MoveS: 1.5, UpkeepS: 2, RequireFencing: true, LeaseMs: 3000, ThawMs: 300, PaceMs: 100, HarmMs: 4000, RetransmitMs: 1300}
CommandMode: "call"
platform: {Address: %q, form: "log", WritesPerS: 600, ReadsPerS: 2000, parts: 24, AppendMs: 1.0, PartitionMbS: 20.0, ReadMbS: 80.0, RecordBytes: 262144, CallBytes: 2097152, keep_s: 300, PartMb: 200, TtlMinMs: 1000}
`, bootstrap, f.site.storeAddress)
	return b.String()
}

// start starts a machine. The number decides its address.
func (f *fleet) start(number int, name, zone string, zones, seeds []string, bootstrap bool) (*node, error) {
	ip := f.ip(number)
	path := filepath.Join(f.dir, name+".yaml")
	if err := os.WriteFile(path, []byte(f.settings(name, zone, ip, zones, seeds, bootstrap)), 0o644); err != nil {
		return nil, err
	}
	n := &node{name: name, zone: zone, ip: ip, front: fmt.Sprintf("%s:%d", ip, f.ports.front), exited: make(chan struct{})}
	n.command = exec.Command(f.program, "edge", "--metrics", metricsPort)
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "HEATHERSLIP_BOOT=" + path}
	output, err := n.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	n.command.Stderr = n.command.Stdout
	if err := n.command.Start(); err != nil {
		return nil, err
	}
	f.site.record.note("machine %s starts in %s at %s", name, zone, ip)
	log, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	go func() {
		defer close(n.exited)
		f.follow(n, bufio.NewScanner(output), log)
		_ = n.command.Wait()
	}()
	f.nodes = append(f.nodes, n)
	return n, nil
}

// follow copies the log of a machine and learns from it which minions it owns.
func (f *fleet) follow(n *node, lines *bufio.Scanner, log *os.File) {
	defer log.Close()
	for lines.Scan() {
		_, _ = log.Write(append(append([]byte{}, lines.Bytes()...), '\n'))
		var entry struct{ Message, Worker string }
		if json.Unmarshal(lines.Bytes(), &entry) != nil || entry.Message != "capacity reserved" {
			continue
		}
		f.mu.Lock()
		f.owners[entry.Worker] = n
		f.mu.Unlock()
	}
}

// ownerOf returns the machine that has reserved room on a minion last.
func (f *fleet) ownerOf(minion string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.owners[minion]
}

// signal sends a signal to the machine's process, which this program has started.
func (f *fleet) signal(n *node, s syscall.Signal, what string) {
	f.site.record.note("machine %s %s", n.name, what)
	_ = n.command.Process.Signal(s)
	n.stopped = s == syscall.SIGKILL
}

// awaitReady waits until each machine answers its readiness probe with 200.
func (f *fleet) awaitReady(timeout time.Duration, nodes ...*node) error {
	client := &http.Client{Timeout: time.Second}
	for _, n := range nodes {
		url := fmt.Sprintf("http://%s:%d/heatherslip/readiness", n.ip, f.ports.ready)
		for deadline := time.Now().Add(timeout); ; time.Sleep(100 * time.Millisecond) {
			resp, err := client.Get(url)
			if err == nil {
				_ = resp.Body.Close()
			}
			if err == nil && resp.StatusCode == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("machine %s is not ready", n.name)
			}
		}
	}
	return nil
}

// close ends all processes that were started.
func (f *fleet) close() {
	for _, n := range f.nodes {
		if !n.stopped {
			_ = n.command.Process.Signal(syscall.SIGCONT)
			_ = n.command.Process.Kill()
		}
	}
	for _, n := range f.nodes {
		select {
		case <-n.exited:
		case <-time.After(5 * time.Second):
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs:", f.dir)
	}
}

// freePort reports whether the subnet's first address has the ports of the fleet free.
func (f *fleet) freePort() bool {
	listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", f.ip(1), f.ports.front))
	if err != nil {
		return false
	}
	_ = listener.Close()
	return true
}
