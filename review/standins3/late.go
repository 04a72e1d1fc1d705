//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"
)

// muteTime is how long the minion leaves the calls of its owner unanswered after the start.
const muteTime = 600 * time.Millisecond

// lateOrder holds back the first start of a job: the minion neither answers nor carries it
// out, until release lets the next life of the minion carry it out. For muteTime it leaves
// also the looks unanswered that take note of ends, which are those of its owner. Carried out
// late they change nothing.
type lateOrder struct {
	job string

	mu     sync.Mutex
	minion *minion
	call   *minionCall
	heldAt time.Time
}

// hold takes a call if it is one to leave unanswered. It reports whether it did.
func (o *lateOrder) hold(m *minion, path string, body []byte) bool {
	var call minionCall
	if json.Unmarshal(body, &call) != nil {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case path == startPath && o.minion == nil && strings.HasPrefix(call.Task, o.job+"."):
		o.minion, o.call, o.heldAt = m, &call, time.Now()
		m.rec.addf("minion %s gets a start of %s, run %d, and leaves it unanswered", m.id, call.Task, call.Run)
		return true
	case path == holdPath && m == o.minion && call.AckCursor > 0 && time.Since(o.heldAt) < muteTime:
		m.rec.addf("minion %s leaves a look unanswered", m.id)
		return true
	}
	return false
}

// held returns the minion that got the start, nil if none has.
func (o *lateOrder) held() *minion {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.minion
}

// release carries the start out on a life of the minion that got it.
func (o *lateOrder) release(m *minion) {
	spec, err := workOf(o.call.Task, o.call.Spec)
	if err != nil {
		return
	}
	m.mu.Lock()
	isFenced := o.call.Fence < m.fence
	m.fence = max(m.fence, o.call.Fence)
	m.mu.Unlock()
	m.rec.addf("minion %s carries out the start of %s, run %d, %v late", m.id, o.call.Task, o.call.Run, time.Since(o.heldAt).Round(time.Millisecond))
	if isFenced {
		m.rec.addf("minion %s does nothing: the fence is lower than one that it has seen", m.id)
		return
	}
	if reason := m.start(o.call, spec); reason != "" {
		m.rec.addf("minion %s does nothing: %s", m.id, reason)
	}
}

// awaitNoAnswer waits until the caller has given up.
func awaitNoAnswer(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}
