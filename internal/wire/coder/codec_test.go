package coder

import (
	"flag"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func drawWork(t *rapid.T) Work {
	n := rapid.IntRange(1, 5).Draw(t, "tasks")
	w := Work{
		Submission: namer.Submission{
			Team: namer.Team(rapid.String().Draw(t, "team")),
			Key:  namer.Key(rapid.StringMatching(`[!-~]{1,40}`).Draw(t, "key")),
		},
		Kind:     namer.Kind(rapid.String().Draw(t, "kind")),
		Deadline: time.UnixMilli(rapid.Int64Range(0, 1<<41).Draw(t, "deadline")).UTC(),
	}
	for range n {
		w.Tasks = append(w.Tasks, TaskSpec{
			Cores:   namer.MilliCores(rapid.IntRange(1, 1<<20).Draw(t, "cores")),
			Payload: rapid.String().Draw(t, "payload"),
		})
	}
	return w
}

// A message must be equal to the original after encoding and decoding.
func TestMessageRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawWork(t)
		digest, err := w.Digest()
		must.NoError(t, err)
		cases := map[string]*Message{
			"forward": {ForwardRequest: &ForwardRequest{Call: 7, Op: OpSubmit, Work: w, WaitForResult: true}},
			"replicate": {Replicate: &Replicate{Seq: 1, View: 2, Updates: []Update{{
				Work: &w, ID: w.Submission.ID(), Placements: []Placement{{Index: 1, Attempt: 2, Worker: "w", Lease: "l"}},
			}}}},
			"sync": {Sync: &Sync{View: 3, Directory: []DirectoryEntry{{ID: w.Submission.ID(), Digest: digest, Primary: "a", Backup: "b", ExpiresAt: w.Deadline}}, LastChunk: true}},
		}
		for name, m := range cases {
			b, err := EncodeMessage(m)
			must.NoError(t, err, must.Sprint(name))
			got, err := DecodeMessage(b)
			must.NoError(t, err, must.Sprint(name))
			must.Eq(t, m, got, must.Sprint(name))
		}
	})
}

// The digest must change with the payload but not with the deadline; otherwise the
// same work, submitted again later, would be refused as a conflict.
func TestDigestIgnoresDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawWork(t)
		original, err := w.Digest()
		must.NoError(t, err)
		w.Deadline = w.Deadline.Add(time.Second)
		laterDeadline, err := w.Digest()
		must.NoError(t, err)
		must.Eq(t, original, laterDeadline)
		w.Tasks[0].Payload += "x"
		otherPayload, err := w.Digest()
		must.NoError(t, err)
		must.NotEq(t, original, otherPayload)
	})
}

// A message without exactly one variant must be rejected.
func TestDecodeMessageRejectsVariantCount(t *testing.T) {
	cases := map[string]*Message{
		"no variant":   {},
		"two variants": {Heartbeat: &Heartbeat{}, Ack: &Ack{}},
	}
	for name, m := range cases {
		t.Run(name, func(t *testing.T) {
			b, err := EncodeMessage(m)
			must.NoError(t, err)
			_, err = DecodeMessage(b)
			must.ErrorIs(t, err, errVariantCount)
		})
	}
}

// A record of a later protocol version must be rejected.
func TestDecodeRecordRejectsOtherVersions(t *testing.T) {
	b, err := encMode.Marshal(&Record{Version: Version + 1, Leave: &Leave{Incarnation: "a"}})
	must.NoError(t, err)
	_, err = DecodeRecord(b)
	must.ErrorIs(t, err, errVersion)
}

// FuzzDecodeMessage checks that decoding never panics and that each decoded
// message can be encoded and decoded again.
func FuzzDecodeMessage(f *testing.F) {
	b, err := EncodeMessage(&Message{Ack: &Ack{Seq: 1, OK: true}})
	must.NoError(f, err)
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := DecodeMessage(b)
		if err != nil {
			return
		}
		reencoded, err := EncodeMessage(m)
		must.NoError(t, err)
		_, err = DecodeMessage(reencoded)
		must.NoError(t, err)
	})
}

// FuzzDecodeRecord checks that decoding never panics and that each decoded record
// can be encoded again.
func FuzzDecodeRecord(f *testing.F) {
	b, err := EncodeRecord(&Record{Leave: &Leave{Incarnation: "a"}})
	must.NoError(f, err)
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := DecodeRecord(b)
		if err != nil {
			return
		}
		_, err = EncodeRecord(r)
		must.NoError(t, err)
	})
}
