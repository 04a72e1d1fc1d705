// Package flooder starts the program as a process with small limits, floods it with
// connections whose requests don't end, and measures what the process takes meanwhile.
package flooder

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/heatherslip/heatherslip/platform"
	"github.com/heatherslip/heatherslip/platform/emulator"
)

// Limits are those in the settings of the process.
type Limits struct {
	// MemoryMb is in MiB.
	MemoryMb, MaxFds int
}

// reservedFds is how many of the descriptors of a process are reserved for files.
const reservedFds = 200

// Target is an instance on an emulated site with one failure domain. Create it with New.
type Target struct {
	limits   Limits
	site     *emulator.Site
	cmd      *exec.Cmd
	exited   chan struct{}
	address  string
	readyURL string
	// jobs counts the jobs that were sent, whose ids are derived from it.
	jobs int

	mu sync.Mutex
	// maxFds is the largest number of open descriptors that was seen.
	maxFds int
}

const (
	sampleInterval = 20 * time.Millisecond
	// patience bounds the wait for what doesn't depend on the machine's speed.
	patience = time.Minute
)

// New starts the site and the program at the path binary, with its settings and log in
// dir, and waits until the instance is ready.
func New(binary, dir string, limits Limits) (*Target, error) {
	site, err := emulator.NewSite([]string{"a"}, 2, 3)
	if err != nil {
		return nil, err
	}
	t := &Target{limits: limits, site: site, exited: make(chan struct{})}
	if err := t.start(binary, dir); err != nil {
		site.Close()
		return nil, err
	}
	go func() {
		defer close(t.exited)
		// The exit status doesn't matter: that the process ended is a fault.
		_ = t.cmd.Wait()
	}()
	go t.sampleFds()
	if err := t.awaitReady(); err != nil {
		t.Close()
		return nil, err
	}
	return t, nil
}

func (t *Target) start(binary, dir string) error {
	// Connections between other processes have no ports on this address.
	const ip = "127.0.1.1"
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return fmt.Errorf("find free port: %w", err)
	}
	port := listener.Addr().(*net.TCPAddr).Port
	_ = listener.Close()
	t.address = net.JoinHostPort(ip, strconv.Itoa(port))
	t.readyURL = fmt.Sprintf("http://%s:%d%s", ip, port+1, platform.ReadyPath)
	settings := t.site.SettingsText("e0", "a", ip, port, nil) +
		fmt.Sprintf("Limits: {MemoryMb: %d, MaxFds: %d}\n", t.limits.MemoryMb, t.limits.MaxFds)
	path := filepath.Join(dir, "settings.yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		return fmt.Errorf("create log: %w", err)
	}
	defer log.Close()
	t.cmd = exec.Command(binary, "edge", "--settings", path)
	t.cmd.Stdout, t.cmd.Stderr = log, log
	if err := t.cmd.Start(); err != nil {
		return fmt.Errorf("start instance: %w", err)
	}
	return nil
}

// Close kills the process and stops the site.
func (t *Target) Close() {
	// Fails if the process has exited.
	_ = t.cmd.Process.Kill()
	<-t.exited
	t.site.Close()
}

var errTimeout = errors.New("no success in time")

func (t *Target) awaitReady() error {
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(sampleInterval) {
		response, err := http.Get(t.readyURL)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("wait until the instance is ready: %w", errTimeout)
}

// sampleFds records the largest number of open descriptors until the process has exited.
func (t *Target) sampleFds() {
	for {
		select {
		case <-t.exited:
			return
		case <-time.After(sampleInterval):
		}
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", t.cmd.Process.Pid))
		if err != nil {
			continue
		}
		t.mu.Lock()
		t.maxFds = max(t.maxFds, len(entries))
		t.mu.Unlock()
	}
}

// PeakMemory returns the largest resident memory of the process so far, in bytes.
func (t *Target) PeakMemory() (int, error) {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", t.cmd.Process.Pid))
	if err != nil {
		return 0, fmt.Errorf("read memory of the process: %w", err)
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) == 3 && fields[0] == "VmHWM:" {
			kb, err := strconv.Atoi(fields[1])
			return kb << 10, err
		}
	}
	return 0, errors.New("the process has no peak memory: it has exited")
}

// Violations returns the bounds that the process has not kept so far.
func (t *Target) Violations() []string {
	select {
	case <-t.exited:
		return []string{"the process has exited"}
	default:
	}
	var out []string
	peak, err := t.PeakMemory()
	if err != nil {
		out = append(out, err.Error())
	}
	if peak > t.limits.MemoryMb<<20 {
		out = append(out, fmt.Sprintf("the process took %d MiB of memory, its limit is %d", peak>>20, t.limits.MemoryMb))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if bound := t.limits.MaxFds - reservedFds; t.maxFds > bound {
		out = append(out, fmt.Sprintf("the process had %d descriptors open, its limit without those for files is %d", t.maxFds, bound))
	}
	return out
}

// Usage returns a line with what the process took so far.
func (t *Target) Usage() string {
	// The error is reported by Violations.
	peak, _ := t.PeakMemory()
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d MiB of memory, %d descriptors at the peak", peak>>20, t.maxFds)
}

// Serve sends an ordinary job, again while it is refused or the connection ends, until it
// has succeeded.
func (t *Target) Serve() error {
	return t.ServeJob(func(id string) *http.Request { return emulator.NewJobRequest(t.address, id, 1, 10*time.Millisecond) })
}

// ServeJob is Serve for the job that newRequest submits under an id.
func (t *Target) ServeJob(newRequest func(id string) *http.Request) error {
	t.jobs++
	id := fmt.Sprintf("%016x", t.jobs)
	client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	var last string
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		response, err := client.Do(newRequest(id))
		if err != nil {
			last = err.Error()
			continue
		}
		body, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK && strings.Contains(string(body), "completed") {
			return nil
		}
		last = fmt.Sprintf("%s %s", response.Status, body)
	}
	return fmt.Errorf("an ordinary job was not served, the last answer was %q: %w", last, errTimeout)
}

// Address is the address for clients.
func (t *Target) Address() string { return t.address }

// Crowd is a number of connections on which the same was sent.
type Crowd struct {
	conns []net.Conn
}

// settle waits until the process takes no more memory and descriptors than before.
func (t *Target) settle() {
	const samples = 25
	last, unchanged := "", 0
	for deadline := time.Now().Add(patience); unchanged < samples && time.Now().Before(deadline); time.Sleep(sampleInterval) {
		usage := t.Usage()
		unchanged++
		if usage != last {
			last, unchanged = usage, 0
		}
	}
}

// Send opens connections and writes the given pieces on each of them, with a pause before
// each piece but the first. Connections that the process refuses or closes are passed
// over. It returns when all is written and the process has taken it up, and leaves the
// connections open.
func (t *Target) Send(connections int, pause time.Duration, pieces ...[]byte) *Crowd {
	c := &Crowd{conns: make([]net.Conn, connections)}
	var writers sync.WaitGroup
	for n := range connections {
		writers.Add(1)
		go func() {
			defer writers.Done()
			conn, err := net.DialTimeout("tcp", t.address, patience)
			if err != nil {
				return
			}
			c.conns[n] = conn
			_ = conn.SetWriteDeadline(time.Now().Add(patience))
			for i, piece := range pieces {
				if i > 0 {
					time.Sleep(pause)
				}
				if _, err := conn.Write(piece); err != nil {
					return
				}
			}
		}()
	}
	writers.Wait()
	t.settle()
	return c
}

// Close closes the connections.
func (c *Crowd) Close() {
	for _, conn := range c.conns {
		if conn != nil {
			_ = conn.Close()
		}
	}
}
