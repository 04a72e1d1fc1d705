package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/heatherslip/heatherslip/internal/core/placer"
	"github.com/heatherslip/heatherslip/internal/core/replayer"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// newBenchNode returns a node that is its domain's only member and holds leases
// on a number of workers with ample capacity.
func newBenchNode(workers int) (*Node, time.Time) {
	now := time.Unix(1e9, 0)
	n := New(Settings{Self: coder.Member{Incarnation: "a.1", Domain: "d", PeerAddress: "p"}, NewIncarnation: func() namer.Incarnation { return "a.2" }}, now)
	text := "[fleet]\ndomains = d\nremember = 15m\nskew = 2s\ndeadline = 30s\ntasks = 1000\n[team t]\ntoken = " +
		"0000000000000000000000000000000000000000000000000000000000000000\nrole = operator\n[kind k]\nweight = 1\ndeadline = 30s\nwait = 20s\n"
	offset := namer.Offset(0)
	applyRecords := func(recs ...coder.Record) {
		var entries []coder.LogEntry
		for _, r := range recs {
			offset++
			entries = append(entries, coder.LogEntry{Offset: offset, Record: r})
		}
		n.Step(now, []Event{LogRead{StartedAt: now, Entries: entries}})
	}
	applyRecords(coder.Record{Revise: &coder.Revise{Nonce: "x", ConfigText: text, InitialDomains: []namer.Domain{"d"}, At: now}},
		coder.Record{Join: &coder.Join{Member: n.self, At: now}})
	applyRecords(coder.Record{MarkSynced: &coder.MarkSynced{Incarnation: "a.1", View: 2}})
	e := ListUpdated{}
	for i := range workers {
		e.Workers = append(e.Workers, WorkerInfo{Name: namer.Worker(fmt.Sprintf("w%d", i)), Domain: "d", Capacity: placer.Resources{Cores: 1 << 40, Memory: 1 << 40}})
	}
	n.Step(now, []Event{e})
	for i := range workers {
		n.Step(now, []Event{LeaseAnswered{Worker: namer.Worker(fmt.Sprintf("w%d", i)), Lease: "l", Free: placer.Resources{Cores: 1 << 40, Memory: 1 << 40}}})
	}
	return n, now
}

// BenchmarkJob measures the processing of one job from its submission to its
// answer. The metric ns/start is the cost per task.
func BenchmarkJob(b *testing.B) {
	for _, tasks := range []int{1, 10, 100, 730} {
		b.Run(fmt.Sprint(tasks), func(b *testing.B) {
			n, now := newBenchNode(16)
			specs := make([]coder.TaskSpec, tasks)
			for i := range specs {
				specs[i] = coder.TaskSpec{Cores: 1, Memory: 1, RunTimeMillis: 50, Payload: "run=50ms"}
			}
			offset := n.state.AppliedOffset
			for i := range b.N {
				now = now.Add(time.Millisecond)
				work := coder.Work{
					Submission: namer.Submission{Team: "t", Key: namer.Key(fmt.Sprintf("k%d", i))},
					Kind:       "k", Deadline: now.Add(30 * time.Second), Tasks: specs,
				}
				out := n.Step(now, []Event{
					LogRead{StartedAt: now},
					CallReceived{Call: namer.CallID(i + 1), Op: coder.OpSubmit, Work: work, WaitForResult: true},
				})
				offset = runUntilIdle(n, now, offset, out)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tasks), "ns/start")
		})
	}
}

// runUntilIdle simulates the log and the workers until the node emits nothing
// that needs an answer. Tasks end as soon as they are started.
func runUntilIdle(n *Node, now time.Time, offset namer.Offset, out []Action) namer.Offset {
	for len(out) > 0 {
		var events []Event
		for _, a := range out {
			switch a := a.(type) {
			case AppendRecord:
				offset++
				events = append(events, LogRead{StartedAt: now, Entries: []coder.LogEntry{{Offset: offset, Record: a.Record}}})
			case StartTasks:
				ended := TasksEnded{Worker: a.Worker, Lease: a.Lease}
				for _, t := range a.Tasks {
					ended.Results = append(ended.Results, TaskResult{Task: t.Task, OK: true, RunTime: 50 * time.Millisecond})
				}
				events = append(events, ended)
			}
		}
		if len(events) == 0 {
			return offset
		}
		out = n.Step(now, events)
	}
	return offset
}

// BenchmarkIdleStep measures a step without events, for a number of workers.
func BenchmarkIdleStep(b *testing.B) {
	for _, workers := range []int{16, 375} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			n, now := newBenchNode(workers)
			for b.Loop() {
				now = now.Add(10 * time.Millisecond)
				n.Step(now, nil)
			}
		})
	}
}

// BenchmarkViewChange measures how a node sends its directory to a peer after a
// change of members.
func BenchmarkViewChange(b *testing.B) {
	for _, records := range []int{1000, 10000} {
		b.Run(fmt.Sprint(records), func(b *testing.B) {
			n, now := newBenchNode(1)
			for i := range records {
				w := &coder.Work{Submission: namer.Submission{Team: "t", Key: namer.Key(fmt.Sprint(i))}, Deadline: now, Tasks: make([]coder.TaskSpec, 1)}
				r := n.newRecord(w, n.self.Incarnation, "")
				r.FinalAnswer = &coder.Answer{}
				n.submissions.CloseRecord(r)
				n.submissions.AddRecord(r)
			}
			state := n.state.Snapshot()
			for b.Loop() {
				n.state = replayer.Restore(state)
				n.sendDirectory("b.1")
				n.actions = nil
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*records), "ns/record")
		})
	}
}
