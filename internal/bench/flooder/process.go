// Package flooder starts the program as a process with small limits, floods it with
// connections whose requests don't end, and measures what the process takes meanwhile.
package flooder

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/heatherslip/heatherslip/internal/bench/launcher"
)

// Limits bound what a process may take.
type Limits struct {
	// MemoryMb is in MiB.
	MemoryMb, MaxFds int
}

const (
	sampleInterval = 20 * time.Millisecond
	// patience bounds the wait for what doesn't depend on the machine's speed.
	patience = time.Minute
)

var errTimeout = errors.New("no success in time")

// process is a process of the program.
type process struct {
	limits  Limits
	cmd     *exec.Cmd
	logPath string
	exited  <-chan struct{}

	mu sync.Mutex
	// maxFds is the largest number of open descriptors that was seen.
	maxFds int
}

// startProcess starts a command, which writes its log to a path.
func startProcess(cmd *exec.Cmd, logPath string, limits Limits) (*process, error) {
	exited, err := launcher.Start(cmd, logPath)
	if err != nil {
		return nil, err
	}
	p := &process{limits: limits, cmd: cmd, logPath: logPath, exited: exited}
	go p.sampleFds()
	return p, nil
}

// kill ends the process.
func (p *process) kill() {
	// Fails if the process has exited.
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// sampleFds records the largest number of open descriptors until the process has exited.
func (p *process) sampleFds() {
	for {
		select {
		case <-p.exited:
			return
		case <-time.After(sampleInterval):
		}
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
		if err != nil {
			continue
		}
		p.mu.Lock()
		p.maxFds = max(p.maxFds, len(entries))
		p.mu.Unlock()
	}
}

// PeakMemory returns the largest resident memory of the process so far, in bytes.
func (p *process) PeakMemory() (int, error) {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
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
func (p *process) Violations() []string {
	select {
	case <-p.exited:
		return []string{"the process has exited"}
	default:
	}
	var out []string
	peak, err := p.PeakMemory()
	if err != nil {
		out = append(out, err.Error())
	}
	if peak > p.limits.MemoryMb<<20 {
		out = append(out, fmt.Sprintf("the process took %d MiB of memory, its limit is %d", peak>>20, p.limits.MemoryMb))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.maxFds > p.limits.MaxFds {
		out = append(out, fmt.Sprintf("the process had %d descriptors open, its limit is %d", p.maxFds, p.limits.MaxFds))
	}
	return out
}

// LogBytes returns the size of the log.
func (p *process) LogBytes() (int64, error) {
	info, err := os.Stat(p.logPath)
	if err != nil {
		return 0, fmt.Errorf("read size of log: %w", err)
	}
	return info.Size(), nil
}

// Usage returns a line with what the process took so far.
func (p *process) Usage() string {
	// The error is reported by Violations.
	peak, _ := p.PeakMemory()
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprintf("%d MiB of memory, %d descriptors at the peak", peak>>20, p.maxFds)
}

// settle waits until the process takes no more memory and descriptors than before.
func (p *process) settle() {
	const samples = 25
	last, unchanged := "", 0
	for deadline := time.Now().Add(patience); unchanged < samples && time.Now().Before(deadline); time.Sleep(sampleInterval) {
		usage := p.Usage()
		unchanged++
		if usage != last {
			last, unchanged = usage, 0
		}
	}
}
