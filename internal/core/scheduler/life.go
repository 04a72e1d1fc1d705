package scheduler

import (
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// A worker that restarts under its id has forgotten all stops, so a start that was meant
// for an earlier incarnation may take effect there, seconds later. So all instances call
// an incarnation with the same fence, which rises with its boot time. Once one such call
// has arrived, the worker rejects the starts for its earlier incarnations.

// refusalPatience is how long an instance that a worker has refused waits to learn of
// a new incarnation. It calls the worker no more meanwhile. After that, the fence was
// that of a claim.
const refusalPatience = 800 * time.Millisecond

// restartSource says how a restart of a worker was found.
type restartSource string

// Sources of a restart, as they are shown to operators.
const (
	restartListed restartSource = "entry of the list"
	restartPolled restartSource = "list of runs"
	restartTold   restartSource = "told by a peer"
)

// bootFence returns the fence of the incarnation of a worker, or zero if its boot time
// is unknown or implausible.
func (s *Scheduler) bootFence(w *worker) namer.Fence {
	if fence := bootFenceAt(w.bootTime); fence > 0 && fence.Count() <= s.lastRunCount+maxFenceLead {
		return fence
	}
	return 0
}

// bootFenceAt returns the fence of a claim at a time, with the fraction of its count in
// place of the run tag. It is exact to the millisecond.
func bootFenceAt(bootTime namer.UnixMillis) namer.Fence {
	const tags = namer.Fence(namer.MaxRunTag) + 1
	since := namer.Fence(bootTime) - runCountEpoch
	if since <= 0 {
		return 0
	}
	return since/millisPerRunCount*tags + since%millisPerRunCount*tags/millisPerRunCount
}

// callFence returns the fence that calls to a worker carry.
func (s *Scheduler) callFence(w *worker) namer.Fence {
	return max(w.guard.fence, s.bootFence(w))
}

// rejectsEarlierStarts reports whether a worker that has responded to a call has seen the
// fence of its incarnation.
func (s *Scheduler) rejectsEarlierStarts(w *worker, fence namer.Fence) bool {
	return fence >= s.bootFence(w)
}

// isRefused reports whether a worker is not called because it has rejected the fence, and
// this instance knows no higher one yet.
func (w *worker) isRefused() bool { return !w.refusedAt.IsZero() }

// handleRefusal handles a call that a worker has rejected although it is not known to be
// claimed. It probably has a new incarnation, which other instances know.
func (s *Scheduler) handleRefusal(w *worker) {
	if !w.isRefused() {
		w.refusedAt = s.now
		w.runsListed = false
		s.dropReservations(w)
	}
	s.requestBootTime(w)
}

// followRefusal asks again for the boot time of a worker, or takes the worker for
// claimed.
func (s *Scheduler) followRefusal(w *worker) {
	switch {
	case !w.isRefused():
	case s.now.Sub(w.refusedAt) < refusalPatience:
		s.requestBootTime(w)
	default:
		w.refusedAt = time.Time{}
		s.guardWorker(w)
		s.requestFence(w)
	}
}

// requestBootTime asks the owner of a worker for the fence and boot time. The owner itself
// asks the other owners and the instances with runs there.
func (s *Scheduler) requestBootTime(w *worker) {
	if !w.owned {
		s.requestFence(w)
		return
	}
	if s.now.Sub(w.guard.requestedAt) < fenceRequestPause {
		return
	}
	w.guard.requestedAt = s.now
	for _, p := range s.owners {
		s.askForFence(p, w)
	}
	for i := range w.foreignRuns {
		if p := s.peersByTag[w.foreignRuns[i].Run.Tag()]; p != nil && p.name != "" && !p.isOwner {
			s.askForFence(p, w)
		}
	}
}

func (s *Scheduler) askForFence(p *peer, w *worker) {
	out := s.outboxOf(p)
	out.FenceRequests = append(out.FenceRequests, w.id)
}

// learnBootTime records the boot time of a worker that a peer has told.
func (s *Scheduler) learnBootTime(w *worker, bootTime namer.UnixMillis) {
	if bootTime > w.bootTime && bootFenceAt(bootTime).Count() <= s.lastRunCount+maxFenceLead {
		s.resetIncarnation(w, bootTime, restartTold)
	}
}

// tellBootTime tells the owner of a worker of an incarnation that this instance has
// found, since calls of the owner are rejected from now on.
func (s *Scheduler) tellBootTime(w *worker) {
	for _, p := range s.possibleOwners(w) {
		out := s.outboxOf(p)
		out.Fences = append(out.Fences, WorkerFence{Worker: w.id, BootTime: w.bootTime})
	}
}
