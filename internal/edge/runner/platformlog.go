package runner

import (
	"time"

	"github.com/heatherslip/heatherslip/internal/core/dispatcher"
	"github.com/heatherslip/heatherslip/internal/edge/requester"
	"github.com/heatherslip/heatherslip/internal/wire/coder"
	"github.com/heatherslip/heatherslip/internal/wire/describer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// runLogReader polls the platform's log until the instance stops.
func (r *Runner) runLogReader() {
	for r.ctx.Err() == nil {
		r.mu.Lock()
		from := uint64(r.appliedOffset) + 1
		r.mu.Unlock()
		startedAt := time.Now()
		entries, err := r.requester.ReadLog(r.ctx, from, requester.LogPollWait)
		if err != nil {
			r.pushEvent(dispatcher.LogFailed{})
			r.sleep(retryDelay)
			continue
		}
		r.pushEvent(dispatcher.LogRead{StartedAt: startedAt, Entries: r.decodeRecords(entries)})
		r.waitUntilApplied(entries)
	}
}

// readLogOnce reads the log without waiting for new records. It runs
// concurrently with the long poll of runLogReader.
func (r *Runner) readLogOnce() {
	r.mu.Lock()
	from := uint64(r.appliedOffset) + 1
	r.mu.Unlock()
	startedAt := time.Now()
	entries, err := r.requester.ReadLog(r.ctx, from, 0)
	if err != nil {
		r.pushEvent(dispatcher.LogFailed{})
		return
	}
	r.pushEvent(dispatcher.LogRead{StartedAt: startedAt, Entries: r.decodeRecords(entries)})
}

// waitUntilApplied waits until the core has applied the entries, so that the
// next read starts after them.
func (r *Runner) waitUntilApplied(entries []describer.LogEntry) {
	if len(entries) == 0 {
		return
	}
	last := namer.Offset(entries[len(entries)-1].Offset)
	r.Inspect(func(*dispatcher.Node) {})
	for r.ctx.Err() == nil {
		r.mu.Lock()
		applied := r.appliedOffset >= last
		r.mu.Unlock()
		if applied {
			return
		}
		r.sleep(time.Millisecond)
	}
}

// decodeRecords decodes log entries. A record that cannot be decoded becomes an
// empty record at its offset; every instance does the same, so all of them
// derive the same state from the log.
func (r *Runner) decodeRecords(entries []describer.LogEntry) []coder.LogEntry {
	out := make([]coder.LogEntry, len(entries))
	for i, e := range entries {
		out[i].Offset = namer.Offset(e.Offset)
		rec, err := coder.DecodeRecord(e.Data)
		if err != nil {
			r.logInvalidRecord(out[i].Offset, err)
			continue
		}
		out[i].Record = *rec
	}
	return out
}

// runLogAppender appends queued records, all that are waiting in one batch.
func (r *Runner) runLogAppender() {
	for {
		var batch []coder.Record
		select {
		case <-r.ctx.Done():
			return
		case rec := <-r.appendQueue:
			batch = append(batch, rec)
		}
		for more := true; more; {
			select {
			case rec := <-r.appendQueue:
				batch = append(batch, rec)
			default:
				more = false
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
			r.logInvalidRecord(0, err)
			continue
		}
		data = append(data, b)
	}
	r.metrics.appends.Inc(1)
	if err := r.requester.AppendRecords(r.ctx, data); err != nil {
		r.metrics.appendsFailed.Inc(1)
	}
}
