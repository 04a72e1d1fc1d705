package scheduler

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

const (
	// askPatience is how long a home that says it has room may take to answer;
	// a round trip takes 2 ms between domains.
	askPatience = 10 * time.Millisecond
	// askWidth is how many homes are asked at once where none says that it has
	// room: with one, a task waits for the wrong home too often, and each more
	// costs places that are given in vain.
	askWidth = 3
	// placeKept is how long a place is kept for the word of a start's result.
	placeKept = 150 * time.Millisecond
)

// pendingAsk is a peer's ask that waits for room.
type pendingAsk struct {
	Ask
	peer  *peer
	step  StepSpec
	until time.Time
	// granted is set once it has a place, told once the peer knows that it has
	// to wait for one.
	granted, told bool
}

// place is room that a home keeps for a peer's start.
type place struct {
	key   runKey
	size  Size
	until time.Time
}

// askHomes asks other homes for the tasks of this instance that wait.
func (s *Scheduler) askHomes() {
	if len(s.alive) == 0 {
		return
	}
	for _, j := range s.open {
		if s.ghosts[j.Name] > 0 {
			continue
		}
		class, by := s.urgency(j)
		for _, t := range j.tasks {
			if t.state == taskWaiting && j.ready(t) {
				s.askFor(t, class, by)
			}
		}
	}
}

// askFor asks homes for a place: first one that says it has room, and others
// where it turns out to have none.
func (s *Scheduler) askFor(t *task, class wantClass, by time.Time) {
	if len(t.asked) > 0 && class != t.askedAs {
		s.sendAsks(t, t.asked, class, by)
	}
	t.askedAs = class
	if t.askedOne && s.now.Sub(t.askedAt) < askPatience {
		return
	}
	homes := s.homesToAsk(t)
	if len(homes) == 0 {
		return
	}
	if t.askedRun == 0 {
		s.runCount++
		t.askedRun = namer.NewRun(s.runCount, s.Tag)
		s.asking[t.askedRun] = t
	}
	t.asked = append(t.asked, homes...)
	t.askedAt = s.now
	s.sendAsks(t, homes, class, by)
}

func (s *Scheduler) sendAsks(t *task, homes []*peer, class wantClass, by time.Time) {
	a := Ask{
		Task: t.name, Run: t.askedRun, Service: t.job.Service, Size: t.step.Size, Requires: t.step.Requires,
		Kind: t.job.Kind, Class: class, Predicted: s.kind(t.job.Kind).predict(t.step), Patience: by.Sub(s.now),
	}
	for _, p := range homes {
		p.letter.Asks = append(p.letter.Asks, a)
	}
}

// homesToAsk picks the home that says it has the most room of those not asked
// yet, or some at random where none has any, up to askWidth in all.
func (s *Scheduler) homesToAsk(t *task) []*peer {
	var best *peer
	var serving []*peer
	missing := max(0, askWidth-len(t.asked))
	for _, p := range s.alive {
		slots, serves := p.slots[t.job.Service]
		if !serves || s.now.Sub(p.heard) > homeSilence || slices.Contains(t.asked, p) {
			continue
		}
		if slots > 0 && (best == nil || s.askBefore(p, best, t.job.Service)) {
			best = p
		}
		if missing > 0 {
			serving = append(serving, p)
		}
	}
	t.askedOne = best != nil
	if best != nil {
		best.slots[t.job.Service]--
		return []*peer{best}
	}
	return pickHomes(serving, min(missing, len(serving)), t.hash())
}

// pickHomes picks some homes by a hash of the task, so that tasks spread and a
// task picks the same ones again.
func pickHomes(from []*peer, count int, task uint64) []*peer {
	for n := range count {
		least := n
		for i := n + 1; i < len(from); i++ {
			if mix(from[i].key, task) < mix(from[least].key, task) {
				least = i
			}
		}
		from[n], from[least] = from[least], from[n]
	}
	return from[:count]
}

// hash is a hash of the task's name.
func (t *task) hash() uint64 {
	return mix(xxhash.Sum64String(string(t.name.Job)), uint64(t.name.Step)<<32|uint64(t.name.Index))
}

func (s *Scheduler) askBefore(a, b *peer, service namer.Service) bool {
	if la, lb := a.domain == s.Domain, b.domain == s.Domain; la != lb {
		return la
	}
	return a.slots[service] > b.slots[service]
}

// withdraw takes back the asks for a task.
func (s *Scheduler) withdraw(t *task) {
	for _, p := range t.asked {
		p.letter.Results = append(p.letter.Results, Result{RunName: RunName{Task: t.name, Run: t.askedRun}})
	}
	delete(s.asking, t.askedRun)
	t.asked, t.askedRun, t.askedOne = nil, 0, false
}

// asked takes a peer's ask into the wants of this home.
func (s *Scheduler) asked(p *peer, a *Ask) {
	s.dropAsk(runKey{a.Task, a.Run})
	s.pending = append(s.pending, pendingAsk{
		Ask: *a, peer: p, until: s.now.Add(a.Patience),
		step: StepSpec{Size: a.Size, Requires: a.Requires, Estimate: a.Predicted},
	})
	s.changed = true
}

func (s *Scheduler) dropAsk(key runKey) {
	s.pending = slices.DeleteFunc(s.pending, func(a pendingAsk) bool { return a.Task == key.task && a.Run == key.run })
}

// dropAsks forgets the asks that are over, and those of peers that are silent.
func (s *Scheduler) dropAsks() {
	s.pending = slices.DeleteFunc(s.pending, func(a pendingAsk) bool {
		return a.granted || s.now.After(a.until) || s.now.Sub(a.peer.heard) > peerSilence
	})
}

// grant gives a place to a peer.
func (s *Scheduler) grant(a *pendingAsk, w *worker) {
	w.places = append(w.places, place{runKey{a.Task, a.Run}, a.Size, s.now.Add(placeKept)})
	a.granted = true
	a.peer.letter.Grants = append(a.peer.letter.Grants, Grant{Task: a.Task, Run: a.Run, Worker: w.id, Clock: w.clockNow(s.now)})
}

// tellQueued tells the peers whose asks have found no room at once, so that
// they ask elsewhere too.
func (s *Scheduler) tellQueued() {
	for i := range s.pending {
		a := &s.pending[i]
		if a.granted || a.told {
			continue
		}
		a.told = true
		a.peer.letter.Grants = append(a.peer.letter.Grants, Grant{Task: a.Task, Run: a.Run})
	}
}

// granted starts a task at the place that a home has given.
func (s *Scheduler) granted(p *peer, g *Grant) {
	t := s.asking[g.Run]
	if g.Worker == "" {
		s.queued(p, t)
		return
	}
	w := s.workers[g.Worker]
	if t == nil || t.name != g.Task || t.state != taskWaiting || w == nil || !w.listed || w.draining || s.ghosts[g.Task.Job] > 0 {
		p.letter.Results = append(p.letter.Results, Result{RunName: RunName{g.Worker, g.Task, g.Run}})
		return
	}
	t.asked = slices.DeleteFunc(t.asked, func(o *peer) bool { return o == p })
	w.setClock(s.now, g.Clock)
	s.startRun(t, w, g.Run)
}

// queued notes that a home has no room now.
func (s *Scheduler) queued(p *peer, t *task) {
	if t == nil {
		return
	}
	if p.slots[t.job.Service] > 0 {
		p.slots[t.job.Service] = 0
	}
	t.askedOne = false
	s.changed = true
}

// tellHome tells a worker's home what became of a start there.
func (s *Scheduler) tellHome(r *run, taken bool) {
	if h := r.worker.home; h != nil {
		h.letter.Results = append(h.letter.Results, Result{RunName: RunName{r.worker.id, r.name, r.number}, Taken: taken})
	}
}

// resulted frees a place, or has the run take it.
func (s *Scheduler) resulted(e *Result) {
	key := runKey{e.Task, e.Run}
	w := s.workers[e.Worker]
	if w == nil {
		s.dropAsk(key)
		return
	}
	i := w.placeIndex(key)
	size := Size{}
	if i >= 0 {
		size = w.places[i].size
		w.places = slices.Delete(w.places, i, i+1)
	}
	if e.Taken && i >= 0 && w.foreignIndex(key) < 0 {
		s.setForeign(w, append(slices.Clone(w.foreign), foreignRun{ActiveRun{Task: e.Task, Run: e.Run}, size}))
	}
	if !e.Taken {
		s.changed = true
	}
}
