package scheduler

import (
	"slices"
	"time"

	"github.com/heatherslip/heatherslip/internal/core/balancer"
	"github.com/heatherslip/heatherslip/internal/core/dater"
	"github.com/heatherslip/heatherslip/internal/core/hasher"
	"github.com/heatherslip/heatherslip/internal/core/registrar"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

const (
	// progressInterval is the longest time for which progress waits for another message
	// to the same peer.
	progressInterval = 100 * time.Millisecond
)

// peer is another instance.
type peer struct {
	name string
	// nameHash is the hash of the name.
	nameHash uint64
	domain   namer.Domain
	runTag   namer.RunTag
	cpuLimit namer.MilliCores
	// isOwner is set while the peer is one of the scheduler's owners.
	isOwner bool
	// lastSeen is when the newest message or heartbeat of the peer was sent, as dater dates
	// it; zero if there was none.
	lastSeen time.Time
	dater    *dater.Dater
	// lateLoggedAt is when a late message of the peer was last logged.
	lateLoggedAt time.Time
	// replaced is set once another incarnation runs at the peer's address.
	replaced bool
	// listedAt is when a worker first listed a run of the peer, and newRunAt when one listed
	// a run that was not there before; zero if never.
	listedAt, newRunAt time.Time
	// freeCores has, by service, the free capacity of each of the peer's workers, as
	// last advertised, less the reservations requested since. It was sent at
	// advertisedAt and is believed until then plus advertisedFor.
	freeCores     map[namer.Service][]namer.MilliCores
	advertisedAt  time.Time
	advertisedFor time.Duration
	// load is that of the peer's workers as last advertised; nil if unknown.
	// loadRejected is set if it was impossible.
	load         *balancer.Load
	loadRejected bool
	// outbox collects what is sent to the peer at the end of the step.
	outbox PeerMessage
	// progress is the progress of the peer's runs that was not sent since
	// progressSentAt, one entry for each run.
	progress       []RunProgress
	progressSentAt time.Time
}

const (
	// relayedValidity is how long free capacity that another instance has relayed is
	// believed.
	relayedValidity = 1500 * time.Millisecond
	// advertisedIntervals times the interval of its heartbeats is how long the free
	// capacity of a peer is believed.
	advertisedIntervals = 2.5
	// maxAdvertisedWorkers bounds the workers whose free capacity is advertised for a
	// service. Those with less than one advertisedShare-th of their capacity free are
	// left out.
	maxAdvertisedWorkers = 48
	advertisedShare      = 16
	// lateMessage is the delay from which on a message counts as late, and lateLogInterval
	// the least time between two log lines on late messages of a peer.
	lateMessage     = 100 * time.Millisecond
	lateLogInterval = time.Second
)

// peerNamed returns the entry of a peer, which it creates if needed.
func (s *Scheduler) peerNamed(name string) *peer {
	p := s.peers[name]
	if p == nil {
		p = &peer{name: name, nameHash: hasher.String(name), dater: dater.New()}
		s.peers[name] = p
	}
	return p
}

// exchangeHeartbeats lets the registrar send heartbeats and update the owners.
func (s *Scheduler) exchangeHeartbeats() {
	s.updateBalance()
	if s.now.Sub(s.stateUpdatedAt) >= stateInterval {
		s.stateUpdatedAt = s.now
		s.registrar.UpdateState(s.now, registrar.State{
			RunTag: s.RunTag, Draining: s.draining, FreeCores: s.freeCores(), Load: s.load, DomainWorkers: s.domainWorkers(), Partners: s.partners(),
		})
	}
	for _, t := range s.registrar.Step(s.now) {
		s.emit(SendHeartbeats{t})
	}
	for _, name := range s.registrar.TakeReplaced() {
		if p := s.peers[name]; p != nil {
			p.replaced = true
			s.reviewLeases()
		}
	}
	if owners, changed := s.registrar.TakeOwners(); changed {
		s.setOwners(owners)
	}
	for _, n := range s.registrar.TakeNotices() {
		s.emit(Decision{Event: n.Event, Peer: n.Peer, Age: n.Silence, WaitingTasks: n.Owners})
	}
}

// domainWorkers returns the number of listed workers in this instance's domain.
func (s *Scheduler) domainWorkers() int {
	n := 0
	for _, w := range s.sortedWorkers {
		if w.listed && w.domain == s.Domain {
			n++
		}
	}
	return n
}

// handleHeartbeat processes a peer's heartbeat and the states of other owners that it
// relays.
func (s *Scheduler) handleHeartbeat(h *registrar.Heartbeat) {
	p := s.peerNamed(h.Name)
	sentAt := s.dateMessage(p, h.SentAt)
	if !s.registrar.HandleHeartbeat(s.now, sentAt, h) {
		return
	}
	if p.lastSeen.IsZero() {
		s.sendAllCrashes(p)
	}
	p.recordSignOfLife(sentAt)
	s.setPeerState(p, h.Domain, h.RunTag, h.FreeCores)
	s.setPeerLoad(p, h.Load)
	p.advertisedAt, p.advertisedFor = sentAt, max(ownerTimeout, time.Duration(advertisedIntervals*float64(h.Interval)))
	for i := range h.Owners {
		s.handleOwnerSummary(sentAt, &h.Owners[i])
	}
}

// dateMessage returns when a message of a peer was sent. It may have waited for this
// instance, and the peer may have died since.
func (s *Scheduler) dateMessage(p *peer, reading dater.Reading) time.Time {
	sentAt := p.dater.Date(reading, s.handledUntil, s.now)
	if delay := s.now.Sub(sentAt); delay >= lateMessage && s.now.Sub(p.lateLoggedAt) >= lateLogInterval {
		p.lateLoggedAt = s.now
		s.emit(Decision{Event: eventer.MessagesLate, Peer: p.name, Age: delay})
	}
	return sentAt
}

func (p *peer) recordSignOfLife(at time.Time) {
	if at.After(p.lastSeen) {
		p.lastSeen = at
	}
}

// handleOwnerSummary processes the state of an owner that a heartbeat relays. It is no sign
// of life as far as the owner's runs are concerned.
func (s *Scheduler) handleOwnerSummary(heartbeatAt time.Time, o *registrar.OwnerSummary) {
	p := s.peerNamed(o.Name)
	sentAt := heartbeatAt.Add(-o.Age)
	if o.Name == s.Name || o.Age < 0 || !sentAt.After(p.advertisedAt) {
		return
	}
	s.setPeerState(p, o.Domain, o.RunTag, o.FreeCores)
	s.setPeerLoad(p, o.Load)
	p.advertisedAt, p.advertisedFor = sentAt, relayedValidity
}

func (s *Scheduler) setPeerState(p *peer, domain namer.Domain, tag namer.RunTag, freeCores map[namer.Service][]namer.MilliCores) {
	s.setRunTag(p, tag)
	p.domain, p.freeCores = domain, make(map[namer.Service][]namer.MilliCores, len(freeCores))
	for service, list := range freeCores {
		p.freeCores[service] = slices.Clone(list)
	}
	s.placementDue = s.placementDue || len(freeCores) > 0
}

// setRunTag records the run tag of a peer, which may have been listed by a worker
// before.
func (s *Scheduler) setRunTag(p *peer, tag namer.RunTag) {
	if p.runTag == tag && s.peersByTag[tag] == p {
		return
	}
	if s.peersByTag[p.runTag] == p {
		delete(s.peersByTag, p.runTag)
		s.reviewLeases()
	}
	if known := s.peersByTag[tag]; known != nil && known.name == "" {
		p.listedAt, p.newRunAt = known.listedAt, later(p.newRunAt, known.newRunAt)
	}
	p.runTag = tag
	s.peersByTag[tag] = p
}

// isAdvertising reports whether a peer has recently advertised capacity for a service,
// free or not.
func (s *Scheduler) isAdvertising(p *peer, service namer.Service) bool {
	_, serving := p.freeCores[service]
	return serving && s.now.Sub(p.advertisedAt) <= p.advertisedFor
}

// fits reports whether the advertised free capacity of a peer is sufficient for a task.
func (p *peer) fits(service namer.Service, size Resources) bool {
	free := p.freeCores[service]
	return len(free) > 0 && free[0] >= size.Cores
}

// removeFitting removes the advertised free capacities that are sufficient for a task,
// since the peer has turned out to have none.
func (p *peer) removeFitting(service namer.Service, size Resources) {
	if free, found := p.freeCores[service]; found {
		p.freeCores[service] = slices.DeleteFunc(free, func(c namer.MilliCores) bool { return c >= size.Cores })
	}
}

// take subtracts a task from the smallest advertised free capacity that is sufficient.
func (p *peer) take(service namer.Service, size Resources) {
	free := p.freeCores[service]
	for i := len(free) - 1; i >= 0; i-- {
		if free[i] < size.Cores {
			continue
		}
		rest := free[i] - size.Cores
		for i+1 < len(free) && free[i+1] > rest {
			free[i] = free[i+1]
			i++
		}
		free[i] = rest
		return
	}
}

// liveUntil returns until when the instance with this run tag counts as live, so that the
// leases of its runs may be extended, if no further message of it arrives.
func (s *Scheduler) liveUntil(tag namer.RunTag) time.Time {
	if tag == s.RunTag {
		return s.now.Add(peerTimeout)
	}
	p := s.peersByTag[tag]
	if p == nil || p.replaced {
		return time.Time{}
	}
	return p.lastSeen.Add(peerTimeout)
}

// reviewLeases discards the times until which leases may be extended, after an instance has
// ceased to count as live before its time.
func (s *Scheduler) reviewLeases() {
	for _, w := range s.sortedWorkers {
		w.leasableUntil = time.Time{}
	}
}

// isDeadTag reports whether the instance with this run tag has been silent for so
// long that its runs have to be stopped. Without any other owner, this instance is
// cut off from the others or alone; it leaves their runs to their leases.
func (s *Scheduler) isDeadTag(tag namer.RunTag) bool {
	if tag == s.RunTag || len(s.owners) == 0 {
		return false
	}
	p := s.peersByTag[tag]
	switch {
	case p == nil:
		return false
	case p.replaced:
		return true
	case p.lastSeen.IsZero() && p.newRunAt.IsZero():
		return s.silence(p.listedAt) >= unknownTagGrace
	default:
		return s.silence(later(p.lastSeen, p.newRunAt)) >= orphanTimeout
	}
}

// silence returns the time since a peer's last sign of life during which this
// instance was not paused.
func (s *Scheduler) silence(lastSeen time.Time) time.Duration {
	if lastSeen.Before(s.resumedAt) {
		lastSeen = s.resumedAt
	}
	return s.now.Sub(lastSeen)
}

// recordTagListed records that a worker lists a run with this tag. A new run delays the
// stop of its instance's runs. It extends no lease, since the instance may have ended after
// it had sent the start.
func (s *Scheduler) recordTagListed(tag namer.RunTag, isNewRun bool) {
	if tag == s.RunTag {
		return
	}
	p := s.peersByTag[tag]
	if p == nil {
		p = &peer{runTag: tag, listedAt: s.now}
		s.peersByTag[tag] = p
	}
	if isNewRun {
		p.newRunAt = s.now
	}
}

// reportOutlivingRuns logs the listed runs on a worker whose leases should have ended,
// since their instances are silent, each once.
func (s *Scheduler) reportOutlivingRuns(w *worker) {
	for i := range w.foreignRuns {
		f := &w.foreignRuns[i]
		p := s.peersByTag[f.Run.Tag()]
		if !f.listed || f.outlives || p == nil || !s.hasListedRuns(w) {
			continue
		}
		aliveAt := p.lastSeen
		if aliveAt.IsZero() {
			aliveAt = p.listedAt
		}
		silence := s.now.Sub(aliveAt)
		if silence < peerTimeout+scale(s.leaseTime, maxClockDrift)+leaseMargin {
			continue
		}
		f.outlives = true
		s.emit(Decision{Event: eventer.RunOutlivesInstance, Job: f.Task.Job, Task: taskLabel(f.Task), Run: f.Run, Worker: w.id, Peer: p.name, Age: silence})
	}
}

func (s *Scheduler) removeOldPeers() {
	isOld := func(p *peer) bool {
		return !p.isOwner && s.now.Sub(p.lastSeen) > peerRetention && s.now.Sub(p.advertisedAt) > peerRetention && s.now.Sub(later(p.listedAt, p.newRunAt)) > peerRetention
	}
	for name, p := range s.peers {
		if isOld(p) {
			delete(s.peers, name)
		}
	}
	for tag, p := range s.peersByTag {
		if isOld(p) {
			delete(s.peersByTag, tag)
		}
	}
}

// partners returns the names of the peers that this instance works with: it has runs
// or reserve requests at them, or they have some here.
func (s *Scheduler) partners() []string {
	partners := make(map[*peer]bool)
	for _, j := range s.openJobs {
		for _, t := range j.tasks {
			for _, p := range t.requestedOwners {
				partners[p] = true
			}
		}
	}
	for _, w := range s.remoteWorkers {
		partners[w.owner] = true
		for _, r := range w.ownRuns {
			partners[r.grantedBy] = true
		}
	}
	for _, w := range s.ownedWorkers {
		for i := range w.foreignRuns {
			partners[s.peersByTag[w.foreignRuns[i].Run.Tag()]] = true
		}
		for i := range w.reservations {
			partners[w.reservations[i].peer] = true
		}
	}
	for i := range s.pendingRequests {
		partners[s.pendingRequests[i].peer] = true
	}
	var names []string
	for p := range partners {
		if p != nil && p.name != "" {
			names = append(names, p.name)
		}
	}
	slices.Sort(names)
	return names
}

// freeCores returns, by service, the free capacity of each usable worker that this
// instance owns, the largest first.
func (s *Scheduler) freeCores() map[namer.Service][]namer.MilliCores {
	out := make(map[namer.Service][]namer.MilliCores)
	for _, w := range s.ownedWorkers {
		if !s.isUsable(w) {
			continue
		}
		list := out[w.service]
		// The capacity of draining workers does for short tasks only.
		if free := w.freeCapacity().Cores; !w.draining && free*advertisedShare >= w.capacity.Cores && !s.now.Before(w.fullUntil) {
			list = append(list, free)
		}
		out[w.service] = list
	}
	for service, list := range out {
		slices.Sort(list)
		slices.Reverse(list)
		out[service] = append([]namer.MilliCores{}, list[:min(len(list), maxAdvertisedWorkers)]...)
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

// handlePeerMessage processes a message from a peer.
func (s *Scheduler) handlePeerMessage(e MessageReceived) {
	s.registrar.HandleMessage(e.From, e.SourceAddr)
	p := s.peerNamed(e.From)
	p.recordSignOfLife(s.dateMessage(p, e.SentAt))
	for i := range e.Message.ReserveRequests {
		s.handleReserveRequest(p, &e.Message.ReserveRequests[i])
	}
	for i := range e.Message.ReserveResponses {
		s.handleReserveResponse(p, &e.Message.ReserveResponses[i])
	}
	for i := range e.Message.Cancellations {
		s.handleCancellation(&e.Message.Cancellations[i])
	}
	for _, order := range e.Message.StartOrders {
		if payload, found := e.Message.payload(order.Task.Job); found {
			s.handleStartOrder(p, order, payload)
		}
	}
	for i := range e.Message.StartReports {
		s.handleStartReport(&e.Message.StartReports[i])
	}
	for i := range e.Message.RunEnds {
		s.handleRunEnd(p, &e.Message.RunEnds[i])
	}
	for i := range e.Message.RunEndAcks {
		s.handleRunEndAck(&e.Message.RunEndAcks[i])
	}
	for i := range e.Message.Progress {
		s.handleRunProgress(p, &e.Message.Progress[i])
	}
	for _, r := range e.Message.Stops {
		s.handleForwardedStop(r)
	}
	for _, id := range e.Message.FenceRequests {
		s.handleFenceRequest(p, id)
	}
	for i := range e.Message.Fences {
		s.handleFence(&e.Message.Fences[i])
	}
	for _, r := range e.Message.UnknownRuns {
		s.handleUnknownRun(p, r)
	}
	for i := range e.Message.LateStarts {
		s.handleLateStart(&e.Message.LateStarts[i])
	}
	for _, r := range e.Message.SizeRequests {
		s.handleSizeRequest(p, r)
	}
	for i := range e.Message.RunSizes {
		s.handleRunSize(&e.Message.RunSizes[i])
	}
	for i := range e.Message.Crashes {
		s.handleCrashReport(&e.Message.Crashes[i])
	}
	s.handleInterference(p, e.Message.Interference)
	for i := range e.Message.Speeds {
		s.handleSpeedReport(&e.Message.Speeds[i])
	}
}

// sendRunEnd notifies an instance that one of its runs has ended.
func (s *Scheduler) sendRunEnd(w *worker, e EndedRun) {
	p := s.peersByTag[e.Run.Tag()]
	if p == nil || p.name == "" {
		return
	}
	ref := RunRef{w.id, e.Task, e.Run}
	out := s.outboxOf(p)
	out.RunEnds = append(out.RunEnds, RunEnd{RunRef: ref, Sequence: e.Sequence, BootTime: w.bootTime, Cause: e.Cause})
	// The instance takes progress after the end for that of a run that it must stop.
	p.progress = slices.DeleteFunc(p.progress, func(other RunProgress) bool { return other.RunRef == ref })
}

// handleRunEnd processes an owner's report that a run of this instance ended.
func (s *Scheduler) handleRunEnd(p *peer, e *RunEnd) {
	out := s.outboxOf(p)
	out.RunEndAcks = append(out.RunEndAcks, RunEndAck{Worker: e.Worker, BootTime: e.BootTime, Sequence: e.Sequence})
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
	if _, unacked := w.unackedEnds[e.Sequence]; !unacked {
		return
	}
	delete(w.unackedEnds, e.Sequence)
	if len(w.unackedEnds) == 0 {
		w.nextPollAt = earlier(w.nextPollAt, s.now)
	}
}

// sendRunProgress reports progress to the instances with runs on a worker.
func (s *Scheduler) sendRunProgress(w *worker) {
	for i := range w.foreignRuns {
		a := &w.foreignRuns[i]
		if !a.listed {
			continue
		}
		if p := s.peersByTag[a.Run.Tag()]; p != nil && p.name != "" {
			s.addProgress(p, RunProgress{RunRef: RunRef{w.id, a.Task, a.Run}, Percent: a.Percent, reportedAt: s.now, TimeLeft: s.timeLeft(w)})
		}
	}
}

// addProgress adds a run's progress to what is sent to a peer, in place of an earlier
// one. Progress alone causes a message only once in progressInterval.
func (s *Scheduler) addProgress(p *peer, progress RunProgress) {
	if !slices.Contains(s.progressPeers, p) {
		s.progressPeers = append(s.progressPeers, p)
	}
	i := slices.IndexFunc(p.progress, func(other RunProgress) bool { return other.RunRef == progress.RunRef })
	if i >= 0 {
		p.progress[i] = progress
		return
	}
	p.progress = append(p.progress, progress)
}

// flushProgress adds the progress that is due to the messages to the peers.
func (s *Scheduler) flushProgress() {
	s.progressPeers = slices.DeleteFunc(s.progressPeers, func(p *peer) bool {
		if p.outbox.isEmpty() && s.now.Sub(p.progressSentAt) < progressInterval {
			return false
		}
		for i := range p.progress {
			p.progress[i].Age = s.now.Sub(p.progress[i].reportedAt)
		}
		s.outboxOf(p).Progress = p.progress
		p.progress, p.progressSentAt = nil, s.now
		return true
	})
}

// handleRunProgress processes an owner's report that a run of this instance is
// active.
func (s *Scheduler) handleRunProgress(owner *peer, e *RunProgress) {
	r := s.ownRun(e.RunRef)
	if r == nil {
		s.disownRun(owner, e.RunRef)
		return
	}
	s.confirmRun(r)
	r.progressPercent, r.progressAt = e.Percent, s.now.Add(-max(0, e.Age))
	r.worker.lastSeen = s.now
	s.recordTimeLeft(r.worker, e)
}

// forwardStop asks the instances that may own a worker to stop a run, because the stop
// request of this instance was rejected or got no response.
func (s *Scheduler) forwardStop(r *run) {
	for _, p := range s.possibleOwners(r.worker) {
		out := s.outboxOf(p)
		out.Stops = append(out.Stops, RunRef{r.worker.id, r.taskID, r.number})
	}
}

// handleForwardedStop stops a peer's run on an owned worker.
func (s *Scheduler) handleForwardedStop(ref RunRef) {
	if w := s.workers[ref.Worker]; w != nil && w.owned {
		s.emit(Stop{Worker: w.id, Task: ref.Task, Run: ref.Run})
	}
}

// outboxOf returns the message that is sent to a peer at the end of the step.
func (s *Scheduler) outboxOf(p *peer) *PeerMessage {
	if p.outbox.isEmpty() && !slices.Contains(s.addressees, p) {
		s.addressees = append(s.addressees, p)
	}
	return &p.outbox
}

// sendPeerMessages sends the messages that were collected during the step.
func (s *Scheduler) sendPeerMessages() {
	s.flushProgress()
	for _, p := range s.addressees {
		if addr, known := s.registrar.AddrOf(p.name); known {
			s.registrar.AddPartner(p.name)
			s.emit(SendMessage{To: addr, Message: p.outbox, LeavesDomain: p.domain != s.Domain})
		}
		p.outbox = PeerMessage{}
	}
	s.addressees = s.addressees[:0]
}
