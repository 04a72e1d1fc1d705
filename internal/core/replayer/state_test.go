package replayer

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

var baseTime = time.Unix(1e9, 0).UTC()

func newMember(name string, d namer.Domain) coder.Member {
	return coder.Member{Incarnation: namer.Incarnation(name), Domain: d}
}

// applyRecords numbers records from 1 and applies them to a new state.
func applyRecords(records ...coder.Record) (*State, []Change) {
	s := New()
	var changes []Change
	for i, r := range records {
		changes = append(changes, s.ApplyEntry(coder.LogEntry{Offset: namer.Offset(i + 1), Record: r}))
	}
	return s, changes
}

func joinRecord(name string, d namer.Domain) coder.Record {
	return coder.Record{Join: &coder.Join{Member: newMember(name, d), At: baseTime}}
}

func evictRecord(name, by string) coder.Record {
	return coder.Record{Evict: &coder.Evict{Incarnation: namer.Incarnation(name), RequestedBy: namer.Incarnation(by), At: baseTime.Add(time.Second)}}
}

func markSyncedRecord(name string, view namer.Offset) coder.Record {
	return coder.Record{MarkSynced: &coder.MarkSynced{Incarnation: namer.Incarnation(name), View: view}}
}

func reviseRecord(base namer.Revision, nonce string) coder.Record {
	return coder.Record{Revise: &coder.Revise{BaseRevision: base, Nonce: nonce, ConfigText: nonce, InitialDomains: []namer.Domain{"d", "e"}, At: baseTime}}
}

// Of two revisions with the same base, only the first may be accepted.
func TestConcurrentRevisionsHaveOneWinner(t *testing.T) {
	s, changes := applyRecords(reviseRecord(0, "a"), reviseRecord(0, "b"), reviseRecord(1, "c"), reviseRecord(1, "d"))
	must.Eq(t, coder.SnapConfig{Revision: 2, Nonce: "c", Text: "c"}, s.Config())
	must.Eq(t, []Change{{ConfigChanged: true}, {RevisionConflict: true}, {ConfigChanged: true}, {RevisionConflict: true}}, changes)
}

func TestEvictions(t *testing.T) {
	cases := map[string]struct {
		records     []coder.Record
		wantMembers int
		wantLost    bool
	}{
		"two members evict each other, the first eviction wins": {
			[]coder.Record{joinRecord("a", "d"), joinRecord("b", "d"), evictRecord("a", "b"), evictRecord("b", "a")}, 1, false,
		},
		"a member of another domain cannot evict": {
			[]coder.Record{joinRecord("a", "d"), joinRecord("b", "e"), evictRecord("a", "b")}, 2, false,
		},
		"a member cannot evict itself": {
			[]coder.Record{joinRecord("a", "d"), evictRecord("a", "a")}, 1, false,
		},
		"all others synced, no history is lost": {
			[]coder.Record{joinRecord("a", "d"), joinRecord("b", "d"), markSyncedRecord("a", 2), markSyncedRecord("b", 2), evictRecord("a", "b")}, 1, false,
		},
		"another member has not synced, history is lost": {
			[]coder.Record{joinRecord("a", "d"), markSyncedRecord("a", 1), joinRecord("b", "d"), evictRecord("a", "b")}, 1, true,
		},
		"others synced only in an older view, history is lost": {
			[]coder.Record{joinRecord("a", "d"), joinRecord("b", "d"), markSyncedRecord("a", 2), markSyncedRecord("b", 2), joinRecord("c", "d"), evictRecord("a", "b")}, 2, true,
		},
		"the evicted member never synced, no history is lost": {
			[]coder.Record{joinRecord("a", "d"), markSyncedRecord("a", 1), joinRecord("b", "d"), evictRecord("b", "a")}, 1, false,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, _ := applyRecords(c.records...)
			must.Len(t, c.wantMembers, s.Members(""))
			_, lost := s.HistoryLostUntil("d")
			must.Eq(t, c.wantLost, lost)
		})
	}
}

func TestOnlyTheOwnerCanClaim(t *testing.T) {
	sub := namer.Submission{Team: "t", Key: "d/key"}
	claimRecord := func(holder string) coder.Record {
		return coder.Record{Claim: &coder.Claim{Incarnation: namer.Incarnation(holder), Submissions: []coder.ClaimedSubmission{{Submission: sub}}, At: baseTime}}
	}
	s, _ := applyRecords(joinRecord("a", "d"), claimRecord("stranger"), claimRecord("a"), evictRecord("a", "a"), claimRecord("a"))
	holder, claimed := s.ClaimHolder(sub.ID())
	must.True(t, claimed)
	must.Eq(t, namer.Incarnation("a"), holder)
	s, _ = applyRecords(joinRecord("a", "e"), claimRecord("a"))
	_, claimed = s.ClaimHolder(sub.ID())
	must.False(t, claimed, must.Sprint("a is not a member of the key's home domain"))
}

func TestRetiredMembersOwnNoNewSubmissions(t *testing.T) {
	s, _ := applyRecords(joinRecord("a", "d"), joinRecord("b", "d"), coder.Record{Retire: &coder.Retire{Incarnation: "a"}})
	for i := range 20 {
		owner, successor := s.OwnerAndSuccessor(namer.Submission{Key: namer.Key(fmt.Sprintf("d/%d", i))})
		must.Eq(t, namer.Incarnation("b"), owner)
		must.Eq(t, namer.Incarnation(""), successor)
	}
}

// After the owner is evicted, its successor must be the new owner. The successor
// already holds the submissions, so none has to be transferred.
func TestSuccessorBecomesOwner(t *testing.T) {
	s, _ := applyRecords(joinRecord("a", "d"), joinRecord("b", "d"), joinRecord("c", "d"))
	successors := make(map[namer.Key]namer.Incarnation)
	for i := range 100 {
		key := namer.Key(fmt.Sprintf("d/%d", i))
		if owner, successor := s.OwnerAndSuccessor(namer.Submission{Key: key}); owner == "a" {
			successors[key] = successor
		}
	}
	must.Positive(t, len(successors))
	s.ApplyEntry(coder.LogEntry{Offset: 4, Record: evictRecord("a", "b")})
	for key, successor := range successors {
		owner, _ := s.OwnerAndSuccessor(namer.Submission{Key: key})
		must.Eq(t, successor, owner)
	}
}

// A reader that starts from a snapshot, at any point where the log may have been
// truncated, must derive the same state as a reader of the whole log.
func TestSnapshotReplacesTruncatedRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		var entries []coder.LogEntry
		fullState := New()
		for i := range rapid.IntRange(3, 30).Draw(t, "records") {
			n := rapid.SampledFrom(names).Draw(t, "name")
			var r coder.Record
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				r = joinRecord(n, "d")
			case 1:
				r = evictRecord(n, rapid.SampledFrom(names).Draw(t, "by"))
			case 2:
				r = markSyncedRecord(n, fullState.ViewOffset("d"))
			case 3:
				r = reviseRecord(fullState.Config().Revision, fmt.Sprint(i))
			case 4:
				r = coder.Record{Claim: &coder.Claim{Incarnation: namer.Incarnation(n), Submissions: []coder.ClaimedSubmission{{Submission: namer.Submission{Key: namer.Key(fmt.Sprintf("d/%d", i))}}}, At: baseTime}}
			case 5:
				r = coder.Record{Snapshot: fullState.Snapshot()}
			}
			e := coder.LogEntry{Offset: namer.Offset(i + 1), Record: r}
			entries = append(entries, e)
			fullState.ApplyEntry(e)
		}
		for i, e := range entries {
			if e.Record.Snapshot == nil || e.Record.Snapshot.LastOffset == 0 {
				continue
			}
			from := rapid.IntRange(max(0, int(e.Record.Snapshot.LastOffset)-3), min(i, int(e.Record.Snapshot.LastOffset))).Draw(t, "from")
			if entries[from].Offset <= 1 {
				continue
			}
			got, _ := New().ApplyEntries(entries[from:], baseTime)
			must.Eq(t, fullState.Snapshot(), got.Snapshot())
		}
	})
}

// Records that the log has deleted may have mattered to any domain. Without a
// snapshot that covers them, the history must count as lost.
func TestTruncationWithoutSnapshotLosesHistory(t *testing.T) {
	s, _ := applyRecords(reviseRecord(0, "a"), joinRecord("a", "d"))
	got, _ := s.ApplyEntries([]coder.LogEntry{{Offset: 9, Record: joinRecord("b", "d")}}, baseTime.Add(time.Hour))
	lostUntil, lost := got.HistoryLostUntil("d")
	must.True(t, lost)
	must.Eq(t, baseTime.Add(time.Hour), lostUntil)
}
