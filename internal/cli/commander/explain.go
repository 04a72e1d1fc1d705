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

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

var errNoLine = errors.New("no line of these logs names the job")

// storyLine is one line of a log that concerns a job.
type storyLine struct {
	at     time.Time
	source string
	name   string
	fields map[string]any
}

// Run prints what the logs say of one job and its workers, in the order of
// time. Instances' clocks may differ; each line keeps its instance's own.
func (c *explainCmd) Run(s *screen) error {
	var lines []storyLine
	if len(c.Files) == 0 {
		read, err := c.read(os.Stdin, "-")
		if err != nil {
			return fail(ExitFailed, err)
		}
		lines = read
	}
	for _, name := range c.Files {
		f, err := os.Open(name)
		if err != nil {
			return fail(ExitFailed, fmt.Errorf("open log: %w", err))
		}
		read, err := c.read(f, name)
		_ = f.Close()
		if err != nil {
			return fail(ExitFailed, err)
		}
		lines = append(lines, read...)
	}
	slices.SortStableFunc(lines, func(a, b storyLine) int { return a.at.Compare(b.at) })
	story := c.story(lines)
	if len(story) == 0 {
		return fail(ExitFailed, errNoLine)
	}
	for i := range story {
		fmt.Fprintln(s.out, story[i].format(story[0].at))
	}
	return nil
}

// aside is how long before and after a job's own lines those of its workers
// are shown.
const aside = time.Second

// story picks the job's lines, and those about the workers that they name from
// about the same time.
func (c *explainCmd) story(lines []storyLine) []storyLine {
	workers := make(map[any]bool)
	var first, last time.Time
	for i := range lines {
		if lines[i].fields["job"] != c.Job {
			continue
		}
		if first.IsZero() {
			first = lines[i].at
		}
		last = lines[i].at
		if w := lines[i].fields["worker"]; w != nil {
			workers[w] = true
		}
	}
	var out []storyLine
	for _, l := range lines {
		near := l.at.After(first.Add(-aside)) && l.at.Before(last.Add(aside))
		if l.fields["job"] == c.Job || l.fields["job"] == nil && workers[l.fields["worker"]] && near {
			out = append(out, l)
		}
	}
	return out
}

// read returns the lines of a log that name the job, or a worker and no job.
// What stands before a line's object is kept as its source.
func (c *explainCmd) read(from io.Reader, name string) ([]storyLine, error) {
	var out []storyLine
	worker := []byte(`"worker"`)
	in := bufio.NewScanner(from)
	in.Buffer(nil, maxLine)
	for in.Scan() {
		begin := bytes.IndexByte(in.Bytes(), '{')
		if begin < 0 || !bytes.Contains(in.Bytes(), []byte(c.Job)) && !bytes.Contains(in.Bytes(), worker) {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(in.Bytes()[begin:], &fields) != nil || fields["event"] == nil {
			// Not a line of an instance, or one without a number, which tells of
			// no decision.
			continue
		}
		if fields["job"] != nil && fields["job"] != c.Job {
			continue
		}
		source := name
		if prefix := strings.Fields(string(in.Bytes()[:begin])); len(prefix) > 0 {
			source = prefix[len(prefix)-1]
		}
		ms, _ := fields["time"].(float64)
		message, _ := fields["message"].(string)
		out = append(out, storyLine{at: time.UnixMilli(int64(ms)), source: source, name: message, fields: fields})
	}
	if err := in.Err(); err != nil {
		return nil, fmt.Errorf("read log %s: %w", name, err)
	}
	return out, nil
}

func (l *storyLine) format(first time.Time) string {
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
		parts[i] = fmt.Sprintf("%s=%s", k, formatField(l.fields[k]))
	}
	return fmt.Sprintf("%+9.3fs  %-22s %-17s %s", l.at.Sub(first).Seconds(), l.source, l.name, strings.Join(parts, " "))
}

// formatField writes whole numbers without an exponent.
func formatField(v any) string {
	if f, ok := v.(float64); ok && f == float64(int64(f)) {
		return fmt.Sprint(int64(f))
	}
	return fmt.Sprint(v)
}
