package crashcounter

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

func TestCount(t *testing.T) {
	task, other := namer.TaskName{Job: "a"}, namer.TaskName{Job: "a", Index: 1}
	start := time.Unix(1000, 0)
	cases := map[string]struct {
		change func(*Table)
		want   int
	}{
		"no crash":                {func(*Table) {}, 0},
		"two runs":                {func(c *Table) { c.Add(start, Run{task, 1}); c.Add(start, Run{task, 2}) }, 2},
		"the same run twice":      {func(c *Table) { c.Add(start, Run{task, 1}); c.Add(start, Run{task, 1}) }, 1},
		"another task":            {func(c *Table) { c.Add(start, Run{other, 1}) }, 0},
		"a run that was not lost": {func(c *Table) { c.Add(start, Run{task, 1}); c.Remove(Run{task, 1}) }, 0},
		"a run that is unknown":   {func(c *Table) { c.Add(start, Run{task, 1}); c.Remove(Run{task, 2}) }, 1},
		"a crash too long ago": {func(c *Table) {
			c.Add(start, Run{task, 1})
			c.Expire(start.Add(retention + time.Second))
		}, 0},
		"a crash before and one after it expired": {func(c *Table) {
			c.Add(start, Run{task, 1})
			c.Add(start.Add(retention+time.Second), Run{task, 2})
		}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := New()
			c.change(table)
			must.Eq(t, c.want, table.Count(task))
		})
	}
}

func TestTableIsBounded(t *testing.T) {
	table := New()
	for n := range 2 * maxRuns {
		must.True(t, table.Add(time.Unix(0, 0), Run{namer.TaskName{Job: "a", Index: n}, 1}))
	}
	must.Len(t, maxRuns, table.Runs())
	must.Len(t, maxRuns, table.recordedAt)
	must.MapLen(t, maxRuns, table.counts)
	must.Eq(t, 0, table.Count(namer.TaskName{Job: "a"}))
	must.Eq(t, 1, table.Count(namer.TaskName{Job: "a", Index: 2*maxRuns - 1}))
}

func TestEvidence(t *testing.T) {
	task := namer.TaskName{Job: "a"}
	cases := map[string]struct {
		added []Evidence
		isNew []bool
		want  Evidence
	}{
		"seen":                   {[]Evidence{Seen}, []bool{true}, Seen},
		"possible":               {[]Evidence{Possible}, []bool{true}, Possible},
		"possible, then seen":    {[]Evidence{Possible, Seen}, []bool{true, true}, Seen},
		"seen, then possible":    {[]Evidence{Seen, Possible}, []bool{true, false}, Seen},
		"likely, then likely":    {[]Evidence{Likely, Likely}, []bool{true, false}, Likely},
		"likely, possible, seen": {[]Evidence{Likely, Possible, Seen}, []bool{true, false, true}, Seen},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := New()
			r := Run{task, 1}
			for n, e := range c.added {
				must.Eq(t, c.isNew[n], table.AddWith(time.Unix(1000, 0), r, e))
			}
			must.Eq(t, c.want, table.EvidenceOf(r))
			must.Eq(t, 1, table.Count(task))
			for _, e := range []Evidence{Seen, Likely, Possible} {
				want := 0
				if e == c.want {
					want = 1
				}
				must.Eq(t, want, table.CountWith(task, e))
			}
			must.True(t, table.Remove(r))
			must.MapEmpty(t, table.evidence)
		})
	}
}
