package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// newCrowdedInstance returns an instance of a large site with waiting jobs, whose
// peers advertise no free slots.
func newCrowdedInstance(peers, jobs int) *Scheduler {
	s := New(Settings{Name: "this", Domain: "d0", RunTag: 1, MaxLease: time.Second}, simEpoch, 1)
	var events []Event
	for n := range peers {
		events = append(events, PeerHeartbeat{
			Name: fmt.Sprintf("e%d", n), Domain: namer.Domain(fmt.Sprintf("d%d", n%3)), RunTag: namer.RunTag(n + 2),
			FreeSlots: map[namer.Service]int{"s": 0},
		})
	}
	s.Step(simEpoch, 1, events)
	s.Step(simEpoch.Add(startupDelay+ownerCheckInterval), 1, nil)
	events = nil
	for n := range jobs {
		events = append(events, JobSubmitted{Call: namer.CallID(n + 1), Job: JobSpec{
			Name: namer.JobName(fmt.Sprintf("%016x", n)), Kind: "short", Service: "s", MaxAttempts: 2, ObjectiveFactor: 1.6,
			ObjectiveBase: time.Minute, CallerTimeout: time.Minute,
			Steps: []StepSpec{{Count: 8, Size: Resources{Cores: 8000}, EstimatedRunTime: time.Minute}},
		}})
	}
	s.Step(simEpoch.Add(startupDelay+ownerCheckInterval+time.Millisecond), 1, events)
	return s
}

// TestSelectOwnersAllRequested guards against comparing all peers again in each
// placement round for a task that already has maxRequestedOwners requests. On a
// large site with many waiting tasks, that took most of the processor time.
func TestSelectOwnersAllRequested(t *testing.T) {
	s := newCrowdedInstance(33, 1)
	must.Len(t, 1, s.openJobs)
	for _, task := range s.openJobs[0].tasks {
		must.Len(t, maxRequestedOwners, task.requestedOwners)
		must.Eq(t, 0, testing.AllocsPerRun(10, func() { must.SliceEmpty(t, s.selectOwners(task)) }))
	}
}

func TestPickOwners(t *testing.T) {
	const tasks = 3000
	cases := map[string]struct{ peers, count int }{
		"none":         {0, 0},
		"all of three": {3, 3},
		"three of 33":  {33, 3},
		"one of two":   {2, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			picked := make(map[string]int)
			for n := range tasks {
				var peers, reversed []*peer
				for i := range c.peers {
					p := &peer{name: fmt.Sprintf("e%d", i)}
					p.nameHash = xxhash.Sum64String(p.name)
					peers = append(peers, p)
					reversed = append([]*peer{p}, reversed...)
				}
				hash := (&task{id: namer.TaskName{Job: namer.JobName(fmt.Sprintf("%016x", n))}}).hash()
				got, gotReversed := pickOwners(peers, c.count, hash), pickOwners(reversed, c.count, hash)
				must.Len(t, c.count, got)
				for i, p := range got {
					must.Eq(t, p.name, gotReversed[i].name)
					picked[p.name]++
				}
			}
			for name, n := range picked {
				must.Between(t, 0.8*float64(tasks*c.count)/float64(c.peers), float64(n), 1.2*float64(tasks*c.count)/float64(c.peers), must.Sprint(name))
			}
		})
	}
}

// BenchmarkPlaceTasks measures a placement round with waiting jobs of eight tasks
// and no free slots at any peer.
func BenchmarkPlaceTasks(b *testing.B) {
	for _, peers := range []int{7, 33, 90} {
		for _, jobs := range []int{1, 20} {
			b.Run(fmt.Sprintf("%d peers/%d jobs", peers, jobs), func(b *testing.B) {
				s := newCrowdedInstance(peers, jobs)
				for b.Loop() {
					s.placementDue = true
					s.placeTasks()
				}
			})
		}
	}
}
