package commander

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"sort"
	"strings"
	"time"
)

type explainCmd struct {
	Job   string   `arg:"" help:"Id of the job, as its client chose it."`
	Files []string `arg:"" optional:"" help:"Log files of the instances; standard input where none is named." type:"path"`
}

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

var errJobNotLogged = errors.New("no line of these logs names the job")

// logLine is a parsed log line that names the job, or a worker and no job.
type logLine struct {
	loggedAt time.Time
	source   string // instance or file that the line comes from
	message  string
	fields   map[string]any
}

// Run prints the log lines about a job and its workers from all given logs, sorted
// by time. Timestamps come from each instance's own clock and are not corrected
// for clock skew.
func (c *explainCmd) Run(inv *invocation) error {
	var lines []logLine
	if len(c.Files) == 0 {
		logLines, err := c.readLog(os.Stdin, "-")
		if err != nil {
			return withExitCode(ExitFailed, err)
		}
		lines = logLines
	}
	for _, path := range c.Files {
		file, err := os.Open(path)
		if err != nil {
			return withExitCode(ExitFailed, fmt.Errorf("open log: %w", err))
		}
		logLines, err := c.readLog(file, path)
		_ = file.Close()
		if err != nil {
			return withExitCode(ExitFailed, err)
		}
		lines = append(lines, logLines...)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.loggedAt.Compare(b.loggedAt) })
	selected := c.selectLines(lines)
	if len(selected) == 0 {
		return withExitCode(ExitFailed, errJobNotLogged)
	}
	for i := range selected {
		fmt.Fprintln(inv.stdout, selected[i].format(selected[0].loggedAt))
	}
	return nil
}

// workerLineMargin extends the time range of the job's own lines: lines about its
// workers are printed if they fall within the extended range.
const workerLineMargin = time.Second

// selectLines returns the job's lines and, from about the same time, the lines
// about the workers that these name.
func (c *explainCmd) selectLines(lines []logLine) []logLine {
	workers := make(map[any]bool)
	var firstAt, lastAt time.Time
	for i := range lines {
		if lines[i].fields["job"] != c.Job {
			continue
		}
		if firstAt.IsZero() {
			firstAt = lines[i].loggedAt
		}
		lastAt = lines[i].loggedAt
		if w := lines[i].fields["worker"]; w != nil {
			workers[w] = true
		}
	}
	var selected []logLine
	for _, l := range lines {
		inWindow := l.loggedAt.After(firstAt.Add(-workerLineMargin)) && l.loggedAt.Before(lastAt.Add(workerLineMargin))
		if l.fields["job"] == c.Job || l.fields["job"] == nil && workers[l.fields["worker"]] && inWindow {
			selected = append(selected, l)
		}
	}
	return selected
}

// readLog returns the lines of a log that name the job, or a worker and no job. If
// a line has text before its JSON object, the last word of that text replaces path
// as the line's source.
func (c *explainCmd) readLog(r io.Reader, path string) ([]logLine, error) {
	var lines []logLine
	workerKey := []byte(`"worker"`)
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		objectStart := bytes.IndexByte(scanner.Bytes(), '{')
		if objectStart < 0 || !bytes.Contains(scanner.Bytes(), []byte(c.Job)) && !bytes.Contains(scanner.Bytes(), workerKey) {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(scanner.Bytes()[objectStart:], &fields) != nil || fields["event"] == nil {
			// The line is not an instance's, or has no event number and so
			// reports no decision.
			continue
		}
		if fields["job"] != nil && fields["job"] != c.Job {
			continue
		}
		source := path
		if prefix := strings.Fields(string(scanner.Bytes()[:objectStart])); len(prefix) > 0 {
			source = prefix[len(prefix)-1]
		}
		ms, _ := fields["time"].(float64)
		message, _ := fields["message"].(string)
		lines = append(lines, logLine{loggedAt: time.UnixMilli(int64(ms)), source: source, message: message, fields: fields})
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read log %s: %w", path, err)
	}
	return lines, nil
}

// format returns the line with its time relative to start.
func (l *logLine) format(start time.Time) string {
	var keys []string
	for k := range l.fields {
		switch k {
		case "time", "message", "level", "event", "job":
		default:
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	parts := make([]string, len(keys))
	for i, k := range keys {
		parts[i] = fmt.Sprintf("%s=%s", k, formatValue(l.fields[k]))
	}
	return fmt.Sprintf("%+9.3fs  %-22s %-17s %s", l.loggedAt.Sub(start).Seconds(), l.source, l.message, strings.Join(parts, " "))
}

// formatValue formats a JSON value, with whole numbers free of exponents.
func formatValue(v any) string {
	if f, ok := v.(float64); ok && f == float64(int64(f)) {
		return fmt.Sprint(int64(f))
	}
	return fmt.Sprint(v)
}
