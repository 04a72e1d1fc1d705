package scheduler

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

const (
	// progressInterval is the minimum time between progress messages per worker.
	progressInterval = 100 * time.Millisecond
)

// peer is another instance.
type peer struct {
	name string
	// nameHash is the hash of the name.
	nameHash uint64
	domain   namer.Domain
	runTag   namer.RunTag
	lastSeen time.Time
	cpuLimit namer.MilliCores
	// draining is set if the peer shuts down after its jobs have ended.
	draining bool
	// freeSlots is the number of typical tasks that fit on the peer's workers,
	// as last advertised, less the reservations requested since.
	freeSlots map[namer.Service]int
	// outbox collects what is sent to the peer at the end of the step.
	outbox PeerMessage
}

func (s *Scheduler) handlePeerHeartbeat(e PeerHeartbeat) {
	p := s.peers[e.Name]
	if p == nil {
		p = &peer{name: e.Name, nameHash: xxhash.Sum64String(e.Name)}
		s.peers[e.Name] = p
		s.lastOwnerCheck = time.Time{}
	}
	if p.runTag != e.RunTag {
		delete(s.peersByTag, p.runTag)
	}
	if p.draining != e.Draining || p.cpuLimit != e.CPULimit {
		s.ownersOutdated = true
	}
	p.domain, p.runTag, p.freeSlots, p.lastSeen = e.Domain, e.RunTag, e.FreeSlots, s.now
	p.draining, p.cpuLimit = e.Draining, e.CPULimit
	s.peersByTag[e.RunTag] = p
	s.placementDue = s.placementDue || len(e.FreeSlots) > 0
}

// isLiveTag reports whether the instance with this run tag counts as live.
func (s *Scheduler) isLiveTag(tag namer.RunTag) bool {
	if tag == s.RunTag {
		return true
	}
	p := s.peersByTag[tag]
	return p != nil && s.now.Sub(p.lastSeen) < peerTimeout
}

// recordTagSeen marks the instance with this run tag as live, after a worker has
// listed a new run of it.
func (s *Scheduler) recordTagSeen(tag namer.RunTag) {
	if tag == s.RunTag {
		return
	}
	p := s.peersByTag[tag]
	if p == nil {
		p = &peer{runTag: tag}
		s.peersByTag[tag] = p
	}
	p.lastSeen = s.now
}

func (s *Scheduler) removeOldPeers() {
	for name, p := range s.peers {
		if s.now.Sub(p.lastSeen) > peerRetention {
			delete(s.peers, name)
		}
	}
	for tag, p := range s.peersByTag {
		if s.now.Sub(p.lastSeen) > peerRetention {
			delete(s.peersByTag, tag)
		}
	}
}

// FreeSlots returns, by service, how many typical tasks fit into the free capacity
// of the usable workers that this instance owns.
func (s *Scheduler) FreeSlots() map[namer.Service]int {
	out := make(map[namer.Service]int)
	typical := s.typicalCores()
	if typical == 0 {
		return out
	}
	for _, w := range s.ownedWorkers {
		if s.isUsable(w) && !s.now.Before(w.fullUntil) {
			out[w.service] += max(0, int(w.freeCapacity().Cores/typical))
		}
	}
	return out
}

// typicalCores returns the largest typical task size of all kinds.
func (s *Scheduler) typicalCores() namer.MilliCores {
	largest := namer.MilliCores(0)
	for _, k := range s.kinds {
		largest = max(largest, namer.MilliCores(k.typicalCores))
	}
	return largest
}

// sortedLivePeers returns the live peers in the order of their names.
func (s *Scheduler) sortedLivePeers() []*peer {
	out := make([]*peer, 0, len(s.peers))
	for _, p := range s.peers {
		if s.now.Sub(p.lastSeen) < peerTimeout {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b *peer) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return out
}

// handlePeerMessage processes a message from a known peer.
func (s *Scheduler) handlePeerMessage(e MessageReceived) {
	p := s.peers[e.From]
	if p == nil {
		return
	}
	for i := range e.Message.ReserveRequests {
		s.handleReserveRequest(p, &e.Message.ReserveRequests[i])
	}
	for i := range e.Message.ReserveResponses {
		s.handleReserveResponse(p, &e.Message.ReserveResponses[i])
	}
	for i := range e.Message.ReservationResults {
		s.handleReservationResult(&e.Message.ReservationResults[i])
	}
	for i := range e.Message.RunEnds {
		s.handleRunEnd(p, &e.Message.RunEnds[i])
	}
	for i := range e.Message.RunEndAcks {
		s.handleRunEndAck(&e.Message.RunEndAcks[i])
	}
	for i := range e.Message.Progress {
		s.handleRunProgress(&e.Message.Progress[i])
	}
	for _, r := range e.Message.Stops {
		s.emit(Stop(r))
	}
}

// sendRunEnd notifies an instance that one of its runs has ended.
func (s *Scheduler) sendRunEnd(w *worker, e EndedRun) {
	p := s.peersByTag[e.Run.Tag()]
	if p == nil || p.name == "" {
		return
	}
	p.outbox.RunEnds = append(p.outbox.RunEnds, RunEnd{
		RunRef: RunRef{w.id, e.Task, e.Run}, Sequence: e.Sequence, BootTime: w.bootTime, Cause: e.Cause,
	})
}

// handleRunEnd processes an owner's report that a run of this instance ended.
func (s *Scheduler) handleRunEnd(p *peer, e *RunEnd) {
	p.outbox.RunEndAcks = append(p.outbox.RunEndAcks, RunEndAck{Worker: e.Worker, BootTime: e.BootTime, Sequence: e.Sequence})
	w := s.workers[e.Worker]
	if w == nil {
		return
	}
	s.handleEndedRun(w, EndedRun{Sequence: e.Sequence, Task: e.Task, Run: e.Run, Cause: e.Cause})
}

func (s *Scheduler) handleRunEndAck(e *RunEndAck) {
	w := s.workers[e.Worker]
	if w == nil || w.bootTime != e.BootTime {
		return
	}
	w.peerAckedEnds[e.Sequence] = true
}

// sendRunProgress reports progress to the instances with runs on a worker.
func (s *Scheduler) sendRunProgress(w *worker) {
	if s.now.Sub(w.progressSentAt) < progressInterval {
		return
	}
	w.progressSentAt = s.now
	for i := range w.foreignRuns {
		a := &w.foreignRuns[i]
		if p := s.peersByTag[a.Run.Tag()]; p != nil && p.name != "" {
			p.outbox.Progress = append(p.outbox.Progress, RunProgress{RunRef{w.id, a.Task, a.Run}, a.Percent})
		}
	}
}

// handleRunProgress processes an owner's report that a run of this instance is
// active.
func (s *Scheduler) handleRunProgress(e *RunProgress) {
	r := s.runs[runKey{e.Task, e.Run}]
	if r == nil {
		return
	}
	s.confirmRun(r)
	r.progressPercent, r.progressAt = e.Percent, s.now
	r.worker.lastSeen = s.now
}

// forwardStop asks the worker's owner to stop a run, because the stop request
// of this instance got no response.
func (s *Scheduler) forwardStop(r *run) {
	if owner := r.worker.owner; owner != nil {
		owner.outbox.Stops = append(owner.outbox.Stops, RunRef{r.worker.id, r.taskID, r.number})
	}
}

// sendPeerMessages sends the messages that were collected during the step.
func (s *Scheduler) sendPeerMessages() {
	for _, p := range s.livePeers {
		if p.outbox.isEmpty() {
			continue
		}
		s.emit(SendMessage{To: p.name, Message: p.outbox})
		p.outbox = PeerMessage{}
	}
}
