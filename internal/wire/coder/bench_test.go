package coder

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// BenchmarkMessage measures the encoded size and the encoding and decoding time
// of the messages that grow with the size of the fleet. The rates of growth in
// docs/CAPACITY.md come from here.
func BenchmarkMessage(b *testing.B) {
	id := namer.Submission{Team: "team", Key: "radom/01890a5d-ac96-774b-bcce-b302099a8057"}.ID()
	messages := make(map[string]*Message)
	for _, n := range []int{1, 100, 730} {
		u := Update{ID: id, Digest: string(id), Work: &Work{Submission: namer.Submission{Team: "team", Key: "radom/01890a5d-ac96-774b-bcce-b302099a8057"}, Kind: "word", Deadline: time.Unix(1e9, 0)}}
		for i := range n {
			u.Work.Tasks = append(u.Work.Tasks, TaskSpec{Cores: 500, Memory: 128, RunTimeMillis: 50, Payload: "run=50ms"})
			u.Placements = append(u.Placements, Placement{Index: i, Attempt: 1, Worker: "warszawa-a-w03", Lease: "warszawa-a-w03-dnbmeci2qme5-2"})
		}
		messages[fmt.Sprintf("replicate/%d", n)] = &Message{Replicate: &Replicate{Seq: 1, View: 9, Updates: []Update{u}}}
	}
	messages["heartbeat/1"] = &Message{Heartbeat: &Heartbeat{LogOffset: 1000, Revision: 3, CompleteView: 900, Nonce: 1, Echo: 1, IdleSlots: []IdleSlots{{Service: "desk", Slots: 7}}}}
	for _, n := range []int{1, 4096} {
		s := &Sync{View: 9, LastChunk: true}
		for range n {
			s.Directory = append(s.Directory, DirectoryEntry{ID: id, Digest: string(id), Primary: "warszawa-a-e0.03ee21307af0", Backup: "warszawa-a-e1.5ede6ec5fe18", ExpiresAt: time.Unix(1e9, 0)})
		}
		messages[fmt.Sprintf("sync/%d", n)] = &Message{Sync: s}
	}
	for name, m := range messages {
		b.Run(name, func(b *testing.B) {
			encoded, err := EncodeMessage(m)
			must.NoError(b, err)
			for b.Loop() {
				encoded, _ = EncodeMessage(m)
				if _, err := DecodeMessage(encoded); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(encoded)), "bytes")
		})
	}
}
