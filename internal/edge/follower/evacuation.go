package follower

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/heatherslip/heatherslip/internal/edge/clocker"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/platform"
)

// maxLoggedKeys bounds the keys that are remembered as logged.
const maxLoggedKeys = 256

// evacuationList is an instance's copy of the operator's requests for evacuations.
type evacuationList struct {
	// requests has the newest record of each evacuation that is in force.
	requests map[string]platform.Record
	// known is set once the operator's topic, or a peer's copy of it, has been read.
	known bool
	// nextOffset is the offset up to which the list is complete.
	nextOffset uint64
	// changeOffset is the offset after the last change.
	changeOffset uint64
}

func newEvacuationList() *evacuationList {
	return &evacuationList{requests: make(map[string]platform.Record)}
}

// apply applies records of the operator's topic that were read up to nextOffset. A full
// list also takes back the evacuations that it lacks. It reports whether the evacuated
// domains have changed, and the keys of evacuations that these records both request and
// take back. What is older than what is known changes nothing.
func (l *evacuationList) apply(records []platform.Record, nextOffset uint64, isFull bool) (changed bool, withdrawn []string) {
	before, wasKnown := maps.Clone(l.requests), l.known
	if isFull && (!l.known || nextOffset > l.nextOffset) {
		// Records that are newer than the offset of a list are not taken back by it.
		maps.DeleteFunc(l.requests, func(_ string, r platform.Record) bool { return r.Offset < nextOffset })
		l.known, l.nextOffset = true, 0
	}
	for _, r := range records {
		if key := r.Key; l.applyRecord(r) && before[key].Value == nil {
			withdrawn = append(withdrawn, key)
		}
	}
	l.nextOffset = max(l.nextOffset, nextOffset)
	changed = !maps.EqualFunc(before, l.requests, func(platform.Record, platform.Record) bool { return true })
	if changed {
		l.changeOffset = l.nextOffset
	}
	return l.known && (changed || !wasKnown), withdrawn
}

// applyRecord applies a record unless it is older than what is known. It reports whether
// it takes an evacuation back.
func (l *evacuationList) applyRecord(r platform.Record) bool {
	known, found := l.requests[r.Key]
	if !platform.IsEvacuationKey(r.Key) || found && r.Offset <= known.Offset || !found && r.Offset < l.nextOffset {
		// A missing evacuation with an offset that was already read has been taken back.
		return false
	}
	if len(r.Value) == 0 {
		delete(l.requests, r.Key)
		return found
	}
	l.requests[r.Key] = r
	return false
}

// list returns the records of the evacuations in force, ordered by key.
func (l *evacuationList) list() []platform.Record {
	return slices.SortedFunc(maps.Values(l.requests), func(a, b platform.Record) int { return cmp.Compare(a.Key, b.Key) })
}

// applyEvacuations applies records of the operator's topic that were read up to
// nextOffset, by a read that began at readAt, and passes the evacuations on if they have
// changed or if they are to be confirmed.
func (f *Follower) applyEvacuations(records []platform.Record, nextOffset uint64, isFull, confirm bool, readAt time.Time) {
	f.applying.Lock()
	defer f.applying.Unlock()
	f.mu.Lock()
	changed, withdrawn := f.evacuations.apply(records, nextOffset, isFull)
	inForce, known := f.evacuations.list(), f.evacuations.known
	f.mu.Unlock()
	for _, key := range withdrawn {
		f.log.Warn().Int("event", int(eventer.EvacuationWithdrawn)).Str("key", key).Msg(eventer.EvacuationWithdrawn.Name())
	}
	if changed || confirm && known {
		f.receiver.ApplyEvacuations(inForce, readAt)
	}
}

// applyOperatorRecords applies records of the operator's topic. Evacuations come first,
// so that an instance with a configuration knows them.
func (f *Follower) applyOperatorRecords(records []platform.Record, nextOffset uint64, isFull, confirm bool, readAt time.Time) {
	f.applyEvacuations(records, nextOffset, isFull, confirm, readAt)
	f.applyConfig(records)
	f.logForeignKeys(records)
}

// logForeignKeys logs the keys of the operator's topic that this version does not know,
// each of them once.
func (f *Follower) logForeignKeys(records []platform.Record) {
	for _, r := range records {
		if r.Key == platform.ConfigKey || platform.IsEvacuationKey(r.Key) || len(r.Value) == 0 {
			continue
		}
		f.mu.Lock()
		logged := f.foreignKeys[r.Key] || len(f.foreignKeys) >= maxLoggedKeys
		if !logged {
			f.foreignKeys[r.Key] = true
		}
		f.mu.Unlock()
		if !logged {
			f.log.Warn().Int("event", int(eventer.OperatorRecordIgnored)).Str("key", r.Key).Uint64("offset", r.Offset).
				Msg(eventer.OperatorRecordIgnored.Name())
		}
	}
}

// Refresh reads the operator's topic once, beside the pending long poll, and passes the
// evacuations on even if they have not changed. It does not wait for the response. If the
// read fails, nothing is passed on.
func (f *Follower) Refresh() {
	f.mu.Lock()
	skip := f.refreshing || f.ctx.Err() != nil
	f.refreshing = true
	f.mu.Unlock()
	if skip {
		return
	}
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		readAt := clocker.BootTime()
		records, next, err := f.store.ReadNewest(f.ctx, platform.OperatorTopic)
		if err == nil {
			f.applyOperatorRecords(records, next, true, true, readAt)
		}
		f.mu.Lock()
		f.refreshing = false
		f.mu.Unlock()
	}()
}
