//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

// record is what was sent, answered and run. It is written to a file as it happens.
type record struct {
	mu     sync.Mutex
	file   *os.File
	w      *bufio.Writer
	began  time.Time
	runs   []*run
	broken []string
	// maxAhead is how far a run number was ahead of the clock, in hundredths of a second.
	maxAhead int64
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, w: bufio.NewWriter(f), began: time.Now()}, nil
}

func (r *record) line(format string, args ...any) {
	fmt.Fprintf(r.w, "%8.3f  ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.w, format+"\n", args...)
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

func (r *record) start(x *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, x)
	const runsPerCount = 1 << 18 // a run number is a count of hundredths of a second and a tag
	x.ahead = x.Run/runsPerCount - (time.Now().UnixMilli()-1577836800000)/10
	r.maxAhead = max(r.maxAhead, x.ahead)
	r.line("start %s run %d on %s %v, %d of %d cpu in use, draining %v", x.Task, x.Run, x.Worker, x.labelsThen, x.usedCPU, x.capacity.cpu, x.drain)
}

func (r *record) end(x *run, how string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x.EndedAt, x.How = at, how
	r.line("end %s run %d on %s: %s", x.Task, x.Run, x.Worker, how)
}

// fail records that a rule was broken.
func (r *record) fail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := fmt.Sprintf(format, args...)
	r.broken = append(r.broken, s)
	r.line("BROKEN %s", s)
}

// close writes the file and returns the exit status.
func (r *record) close() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	by := map[string]int{}
	for _, b := range r.broken {
		by[strings.Fields(b)[0]]++
	}
	var names []string
	for n := range by {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		r.line("rule %s broken %d times", n, by[n])
		fmt.Printf("rule %s broken %d times\n", n, by[n])
	}
	r.line("run numbers are ahead of the clock by %d ms at most", 10*r.maxAhead)
	if len(r.broken) == 0 {
		r.line("no rule broken, %d runs", len(r.runs))
		fmt.Printf("no rule broken, %d runs\n", len(r.runs))
	} else {
		fmt.Println(r.broken[0])
	}
	_ = r.w.Flush()
	_ = r.file.Close()
	if len(r.broken) > 0 {
		return 1
	}
	return 0
}

// all returns the runs so far.
func (r *record) all() []*run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*run{}, r.runs...)
}

// runsOf returns the runs of each task, in the order of their starts.
func (r *record) runsOf() map[string][]*run {
	out := map[string][]*run{}
	for _, x := range r.all() {
		out[x.Task] = append(out[x.Task], x)
	}
	return out
}

// endOf returns when a run ended, or now.
func endOf(x *run) time.Time {
	if x.EndedAt.IsZero() {
		return time.Now()
	}
	return x.EndedAt
}

// check checks the rules on tasks as RULES.md has them, for jobs that needn't be kept.
func (s *site) check() {
	all, byTask := s.log.all(), s.log.runsOf()
	firstRun := map[string]*run{}
	for _, x := range all {
		if firstRun[x.Job] == nil {
			firstRun[x.Job] = x
		}
	}
	for task, runs := range byTask {
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				if b.StartedAt.Before(endOf(a)) && a != b {
					s.log.fail("TWICE %s: run %d on %s until %.3f s, run %d on %s from %.3f s", task, a.Run, a.Worker, s.at(endOf(a)), b.Run, b.Worker, s.at(b.StartedAt))
				}
			}
		}
	}
	for _, x := range all {
		j, step, ok := s.taskOf(x.Task)
		if !ok || x.Spec != j.spec {
			s.log.fail("UNASKED %s on %s: nobody sent it", x.Task, x.Worker)
			continue
		}
		st := j.steps[step]
		if st.requires != "" && !has(x.labelsThen, st.requires) {
			s.log.fail("ROUTE %s: started on %s with labels %v, requires %q", x.Task, x.Worker, x.labelsThen, st.requires)
		}
		if x.usedCPU > x.capacity.cpu {
			s.log.fail("LIMIT %s: brings %s to %d of %d", x.Task, x.Worker, x.usedCPU, x.capacity.cpu)
		}
		if st.perMinion > 0 {
			n := 0
			for _, y := range all {
				if y.Job == x.Job && y.Step == x.Step && y.Worker == x.Worker && !y.StartedAt.After(x.StartedAt) && endOf(y).After(x.StartedAt) {
					n++
				}
			}
			if n > st.perMinion {
				s.log.fail("ROUTE %s: is number %d of its step on %s, AntiAffinity is %d", x.Task, n, x.Worker, st.perMinion)
			}
		}
		for _, dep := range st.dependsOn {
			done := map[string]bool{}
			for _, y := range all {
				if y.Job == x.Job && y.Step == dep && y.How == "done" && !y.EndedAt.After(x.StartedAt) {
					done[y.Task] = true
				}
			}
			if len(done) < j.steps[dep].count {
				s.log.fail("ORDER %s: started while %d of %d tasks of step %d had ended done", x.Task, len(done), j.steps[dep].count, dep)
			}
		}
	}
	s.mu.Lock()
	jobs := s.jobs
	s.mu.Unlock()
	for _, j := range jobs {
		j.mu.Lock()
		answers := append([]int{}, j.answers...)
		j.mu.Unlock()
		rejected := len(answers) > 0
		for _, a := range answers {
			rejected = rejected && (a == 429 || a == 503 || a == 404)
		}
		if x := firstRun[j.id]; rejected && x != nil {
			s.log.fail("REFUSED %s: started although all attempts were rejected: %v", x.Task, answers)
		}
	}
	for _, d := range s.daemons {
		if d.ownEnds > 0 {
			s.log.fail("FAULT %s ended by itself %d times", d.name, d.ownEnds)
		}
	}
}

func (s *site) at(t time.Time) float64 { return t.Sub(s.log.began).Seconds() }

func has(list []string, x string) bool {
	for _, y := range list {
		if x == y {
			return true
		}
	}
	return false
}
