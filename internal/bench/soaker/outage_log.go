package soaker

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
	"github.com/heatherslip/heatherslip/platform/emulator"
)

// outageLogs has what the logs of the instances say about jobs.
type outageLogs struct {
	lines map[string][]logLine // by job
	// owners names the instance that has reserved capacity for each run, placers the one
	// that had the job, and senders the instance behind each address that has sent starts.
	owners, placers map[int64]string
	senders         map[string]string
}

type logLine struct {
	instance, text string
	Job, Message   string
	Run            int64
	Time           int64
}

// newOutageLogs reads the logs of a fleet.
func newOutageLogs(fleet []*pausable, records []emulator.RunRecord) *outageLogs {
	l := &outageLogs{lines: make(map[string][]logLine), owners: make(map[int64]string), placers: make(map[int64]string), senders: make(map[string]string)}
	for _, p := range fleet {
		l.read(p)
	}
	for i := range records {
		if sender := l.sender(&records[i]); sender != "" {
			l.senders[records[i].Sender] = sender
		}
	}
	return l
}

func (l *outageLogs) read(p *pausable) {
	file, err := os.Open(p.settingsPath + ".log")
	if err != nil {
		return
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		line := logLine{instance: p.name, text: lines.Text()}
		if !strings.Contains(line.text, `"job"`) || json.Unmarshal(lines.Bytes(), &line) != nil {
			continue
		}
		l.lines[line.Job] = append(l.lines[line.Job], line)
		switch line.Message {
		case "capacity reserved":
			l.owners[line.Run] = p.name
		case "task placed":
			l.placers[line.Run] = p.name
		}
	}
}

// sender returns the instance that has sent the start of a run; empty if unknown. What
// was reserved is started by the owner, anything else by the instance that has the job.
func (l *outageLogs) sender(r *emulator.RunRecord) string {
	if owner := l.owners[r.Run]; owner != "" {
		return owner
	}
	return l.placers[r.Run]
}

// senderAt returns the instance behind an address, or the address.
func (l *outageLogs) senderAt(address string) string {
	if sender := l.senders[address]; sender != "" {
		return sender
	}
	return address
}

// linesOf returns the lines about a job in the order of time.
func (l *outageLogs) linesOf(job string) []string {
	lines := l.lines[job]
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time < lines[j].Time })
	out := make([]string, len(lines))
	for i, line := range lines {
		out[i] = fmt.Sprintf("    %s %s %s", clockTime(time.UnixMilli(line.Time)), line.instance, line.text)
	}
	return out
}

func (l *outageLogs) describe(r *emulator.RunRecord) string {
	return fmt.Sprintf("%s run %d tag %d, job at %s, ordered by %s: %s to %s (%s), stop %s, end noted %s, lease left in order %v",
		r.Worker, r.Run, namer.RunID(r.Run).Tag(), l.placers[r.Run], l.sender(r), clockTime(r.StartedAt), clockTime(r.EndedAt), r.Cause,
		clockTime(r.StoppedAt), clockTime(r.AckedAt), r.LeaseLeft)
}
