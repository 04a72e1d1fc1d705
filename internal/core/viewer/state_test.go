package viewer

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var epoch = time.Unix(1e9, 0).UTC()

func instance(name string, d namer.Domain) coder.Member {
	return coder.Member{Incarnation: namer.Incarnation(name), Domain: d}
}

// apply numbers records from 1 and applies them to a new state.
func apply(recs ...coder.Record) (*State, []Change) {
	s := New()
	var changes []Change
	for i, r := range recs {
		changes = append(changes, s.Apply(coder.Entry{Offset: namer.Offset(i + 1), Record: r}))
	}
	return s, changes
}

func join(name string, d namer.Domain) coder.Record {
	return coder.Record{Join: &coder.Join{Member: instance(name, d), At: epoch}}
}

func evict(name, by string) coder.Record {
	return coder.Record{Evict: &coder.Evict{Incarnation: namer.Incarnation(name), By: namer.Incarnation(by), At: epoch.Add(time.Second)}}
}

func settle(name string, view namer.Offset) coder.Record {
	return coder.Record{Settle: &coder.Settle{Incarnation: namer.Incarnation(name), View: view}}
}

func revise(base namer.Revision, nonce string) coder.Record {
	return coder.Record{Revise: &coder.Revise{Base: base, Nonce: nonce, Text: nonce, Domains: []namer.Domain{"d", "e"}, At: epoch}}
}

func TestRacingOperatorsGetOneWinner(t *testing.T) {
	s, changes := apply(revise(0, "a"), revise(0, "b"), revise(1, "c"), revise(1, "d"))
	must.Eq(t, coder.SnapConfig{Revision: 2, Nonce: "c", Text: "c"}, s.Config())
	must.Eq(t, []Change{{Revised: true}, {Outdated: true}, {Revised: true}, {Outdated: true}}, changes)
}

func TestEvictions(t *testing.T) {
	cases := map[string]struct {
		recs    []coder.Record
		members int
		lost    bool
	}{
		"two evict each other, the first wins": {
			[]coder.Record{join("a", "d"), join("b", "d"), evict("a", "b"), evict("b", "a")}, 1, false,
		},
		"an instance of another domain may not": {
			[]coder.Record{join("a", "d"), join("b", "e"), evict("a", "b")}, 2, false,
		},
		"none may evict itself": {
			[]coder.Record{join("a", "d"), evict("a", "a")}, 1, false,
		},
		"all others settled, nothing is lost": {
			[]coder.Record{join("a", "d"), join("b", "d"), settle("a", 2), settle("b", 2), evict("a", "b")}, 1, false,
		},
		"another has not settled": {
			[]coder.Record{join("a", "d"), settle("a", 1), join("b", "d"), evict("a", "b")}, 1, true,
		},
		"settled under an older view": {
			[]coder.Record{join("a", "d"), join("b", "d"), settle("a", 2), settle("b", 2), join("c", "d"), evict("a", "b")}, 2, true,
		},
		"the evicted never settled": {
			[]coder.Record{join("a", "d"), settle("a", 1), join("b", "d"), evict("b", "a")}, 1, false,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, _ := apply(c.recs...)
			must.Len(t, c.members, s.Members(""))
			_, lost := s.LostUntil("d")
			must.Eq(t, c.lost, lost)
		})
	}
}

func TestClaimsNeedTheOwner(t *testing.T) {
	sub := namer.Submission{Team: "t", Key: "d/key"}
	claim := func(by string) coder.Record {
		return coder.Record{Claim: &coder.Claim{Incarnation: namer.Incarnation(by), Keys: []coder.ClaimKey{{Submission: sub}}, At: epoch}}
	}
	s, _ := apply(join("a", "d"), claim("stranger"), claim("a"), evict("a", "a"), claim("a"))
	by, taken := s.Claimed(sub.ID())
	must.True(t, taken)
	must.Eq(t, namer.Incarnation("a"), by)
	s, _ = apply(join("a", "e"), claim("a"))
	_, taken = s.Claimed(sub.ID())
	must.False(t, taken, must.Sprint("a is no member of the key's home"))
}

func TestRetiredMembersOwnNothingNew(t *testing.T) {
	s, _ := apply(join("a", "d"), join("b", "d"), coder.Record{Retire: &coder.Retire{Incarnation: "a"}})
	for i := range 20 {
		owner, heir := s.Owner(namer.Submission{Key: namer.Key(fmt.Sprintf("d/%d", i))})
		must.Eq(t, namer.Incarnation("b"), owner)
		must.Eq(t, namer.Incarnation(""), heir)
	}
}

// When the owner goes, its heir is the next owner: nothing has to move.
func TestHeirFollowsOwner(t *testing.T) {
	s, _ := apply(join("a", "d"), join("b", "d"), join("c", "d"))
	before := make(map[namer.Key]namer.Incarnation)
	for i := range 100 {
		key := namer.Key(fmt.Sprintf("d/%d", i))
		if owner, heir := s.Owner(namer.Submission{Key: key}); owner == "a" {
			before[key] = heir
		}
	}
	must.Positive(t, len(before))
	s.Apply(coder.Entry{Offset: 4, Record: evict("a", "b")})
	for key, heir := range before {
		owner, _ := s.Owner(namer.Submission{Key: key})
		must.Eq(t, heir, owner)
	}
}

// A reader that begins with a snapshot, wherever the log has been cut off,
// comes to the same state as one that has read it all.
func TestSnapshotStandsForWhatIsForgotten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		var entries []coder.Entry
		whole := New()
		for i := range rapid.IntRange(3, 30).Draw(t, "records") {
			n := rapid.SampledFrom(names).Draw(t, "name")
			var r coder.Record
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				r = join(n, "d")
			case 1:
				r = evict(n, rapid.SampledFrom(names).Draw(t, "by"))
			case 2:
				r = settle(n, whole.View("d"))
			case 3:
				r = revise(whole.Config().Revision, fmt.Sprint(i))
			case 4:
				r = coder.Record{Claim: &coder.Claim{Incarnation: namer.Incarnation(n), Keys: []coder.ClaimKey{{Submission: namer.Submission{Key: namer.Key(fmt.Sprintf("d/%d", i))}}}, At: epoch}}
			case 5:
				r = coder.Record{Snapshot: whole.Snapshot()}
			}
			e := coder.Entry{Offset: namer.Offset(i + 1), Record: r}
			entries = append(entries, e)
			whole.Apply(e)
		}
		for i, e := range entries {
			if e.Record.Snapshot == nil || e.Record.Snapshot.Upto == 0 {
				continue
			}
			from := rapid.IntRange(max(0, int(e.Record.Snapshot.Upto)-3), min(i, int(e.Record.Snapshot.Upto))).Draw(t, "from")
			if entries[from].Offset <= 1 {
				continue
			}
			got, _ := New().ApplyAll(entries[from:], epoch)
			must.Eq(t, whole.Snapshot(), got.Snapshot())
		}
	})
}

func TestForgottenWithoutSnapshotIsLost(t *testing.T) {
	s, _ := apply(revise(0, "a"), join("a", "d"))
	got, _ := s.ApplyAll([]coder.Entry{{Offset: 9, Record: join("b", "d")}}, epoch.Add(time.Hour))
	at, lost := got.LostUntil("d")
	must.True(t, lost)
	must.Eq(t, epoch.Add(time.Hour), at)
}
