package runner

import (
	"time"

	"github.com/heatherslip/heatherslip/internal/core/dispatcher"
	"github.com/heatherslip/heatherslip/internal/edge/caller"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/describer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// runReader follows the log.
func (r *Runner) runReader() {
	for r.ctx.Err() == nil {
		r.mu.Lock()
		from := uint64(r.offset) + 1
		r.mu.Unlock()
		asked := time.Now()
		entries, err := r.caller.Read(r.ctx, from, caller.PollWait)
		if err != nil {
			r.push(dispatcher.LogFailed{})
			r.sleep(logRetry)
			continue
		}
		r.push(dispatcher.LogRead{Asked: asked, Entries: r.decode(entries)})
		r.awaitOffset(entries)
	}
}

// readOnce reads the log at once, beside the reader that waits for records.
func (r *Runner) readOnce() {
	r.mu.Lock()
	from := uint64(r.offset) + 1
	r.mu.Unlock()
	asked := time.Now()
	entries, err := r.caller.Read(r.ctx, from, 0)
	if err != nil {
		r.push(dispatcher.LogFailed{})
		return
	}
	r.push(dispatcher.LogRead{Asked: asked, Entries: r.decode(entries)})
}

// awaitOffset waits until the core has taken what was read, so that the next
// read begins after it.
func (r *Runner) awaitOffset(entries []describer.LogEntry) {
	if len(entries) == 0 {
		return
	}
	last := namer.Offset(entries[len(entries)-1].Offset)
	r.Inspect(func(*dispatcher.Node) {})
	for r.ctx.Err() == nil {
		r.mu.Lock()
		taken := r.offset >= last
		r.mu.Unlock()
		if taken {
			return
		}
		r.sleep(time.Millisecond)
	}
}

// decode turns what was read into records. One that cannot be decoded is
// passed over by all instances alike, as an entry without parts.
func (r *Runner) decode(entries []describer.LogEntry) []coder.Entry {
	out := make([]coder.Entry, len(entries))
	for i, e := range entries {
		out[i].Offset = namer.Offset(e.Offset)
		rec, err := coder.DecodeRecord(e.Data)
		if err != nil {
			r.logRecord(out[i].Offset, err)
			continue
		}
		out[i].Record = *rec
	}
	return out
}

// runAppender appends records, as many as wait in one batch.
func (r *Runner) runAppender() {
	for {
		var batch []coder.Record
		select {
		case <-r.ctx.Done():
			return
		case rec := <-r.records:
			batch = append(batch, rec)
		}
		for waiting := true; waiting; {
			select {
			case rec := <-r.records:
				batch = append(batch, rec)
			default:
				waiting = false
			}
		}
		r.appendBatch(batch)
	}
}

func (r *Runner) appendBatch(batch []coder.Record) {
	data := make([][]byte, 0, len(batch))
	for i := range batch {
		b, err := coder.EncodeRecord(&batch[i])
		if err != nil {
			r.logRecord(0, err)
			continue
		}
		data = append(data, b)
	}
	r.meters.appends.Inc(1)
	if err := r.caller.Append(r.ctx, data); err != nil {
		r.meters.appendFailed.Inc(1)
	}
}
