package scheduler

import (
	"time"

	"github.com/heatherslip/heatherslip/internal/core/balancer"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

const (
	// balanceInterval is how often loads are summed up, about once a heartbeat.
	balanceInterval = 100 * time.Millisecond
	// queueTime is the time in which queued work counts as to be done: about what
	// callers of the longest jobs can wait, a fifth of their objective.
	queueTime = 300 * time.Millisecond
	// notableShare is the share of the tasks from which sending them over is logged. A
	// domain whose demand is about its share sends over one or two in a hundred by turns.
	notableShare = 0.05
)

// updateBalance updates this instance's load, and what it sends to other domains.
func (s *Scheduler) updateBalance() {
	if s.now.Sub(s.balancedAt) < balanceInterval {
		return
	}
	s.balancedAt = s.now
	s.load = nil
	if s.isOwner {
		s.load = s.ownLoad()
	}
	s.balancer.Update(s.now, s.domainLoads())
	switch share := s.balancer.Total(); {
	case !s.isBalancing && share >= notableShare:
		s.isBalancing = true
		s.emit(Decision{Event: eventer.BalancingStarted})
	case s.isBalancing && share == 0:
		s.isBalancing = false
		s.emit(Decision{Event: eventer.BalancingEnded})
	}
}

// ownLoad returns the load of the workers that this instance owns.
func (s *Scheduler) ownLoad() *balancer.Load {
	l := &balancer.Load{Demand: make(map[namer.Domain]namer.MilliCores)}
	for _, w := range s.ownedWorkers {
		if s.isUsable(w) && !w.draining {
			l.Capacity += w.capacity.Cores
		}
		l.Demand[s.Domain] += w.ownUsage.Cores
		for i := range w.foreignRuns {
			l.Demand[s.originOf(s.peersByTag[w.foreignRuns[i].Run.Tag()])] += s.foreignRunSize(&w.foreignRuns[i]).Cores
		}
		for i := range w.reservations {
			l.Demand[s.originOf(w.reservations[i].peer)] += w.reservations[i].size.Cores
		}
	}
	for i := range s.pendingRequests {
		// The same request is queued at up to maxRequestedOwners.
		request := &s.pendingRequests[i]
		queued := taskCoreSeconds(request.Size, min(max(0, request.PredictedRunTime), maxNearDataTime)) / queueTime.Seconds() / maxRequestedOwners
		l.Demand[s.originOf(request.peer)] += namer.MilliCores(queued * namer.MilliCoresPerCore)
	}
	return l
}

// originOf returns the domain of a peer, or this one's if it is unknown.
func (s *Scheduler) originOf(p *peer) namer.Domain {
	if p == nil || p.domain == "" {
		return s.Domain
	}
	return p.domain
}

// domainLoads returns the load of each domain, by what its live owners have reported
// recently.
func (s *Scheduler) domainLoads() map[namer.Domain]balancer.Load {
	loads := make(map[namer.Domain]balancer.Load)
	add := func(domain namer.Domain, l *balancer.Load) {
		sum := loads[domain]
		sum.Add(l)
		loads[domain] = sum
	}
	if s.load != nil {
		add(s.Domain, s.load)
	}
	for _, p := range s.owners {
		if p.load != nil && !p.replaced && s.now.Sub(p.advertisedAt) <= p.advertisedFor {
			add(p.domain, p.load)
		}
	}
	return loads
}

// setPeerLoad records the load that a peer has reported, unless it is impossible.
func (s *Scheduler) setPeerLoad(p *peer, l *balancer.Load) {
	isValid := l == nil || l.IsValid()
	if !isValid {
		l = nil
		if !p.loadRejected {
			s.emit(Decision{Event: eventer.LoadRejected, Peer: p.name})
		}
	}
	p.load, p.loadRejected = l, !isValid
}

// SentOverShare returns the share of this instance's tasks that goes to other domains.
func (s *Scheduler) SentOverShare() float64 { return s.balancer.Total() }
