package scheduler

import (
	"slices"
	"time"

	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Each worker has a home: the living instance with the best right to it. The
// home alone polls it, prolongs its lease and knows its room; the others ask
// the home for a place before they start a task there. A place is advice, no
// lock: what keeps runs apart are their numbers, leases and proven stops.

// Letter is what an instance tells a peer at the end of a step. Each part may
// be lost or come twice.
type Letter struct {
	Asks    []Ask       `cbor:"1,keyasint,omitempty"`
	Grants  []Grant     `cbor:"2,keyasint,omitempty"`
	Results []Result    `cbor:"3,keyasint,omitempty"`
	Ends    []EndNotice `cbor:"4,keyasint,omitempty"`
	Seen    []EndSeen   `cbor:"5,keyasint,omitempty"`
	Active  []RunNotice `cbor:"6,keyasint,omitempty"`
	Stops   []RunName   `cbor:"7,keyasint,omitempty"`
}

// RunName names a run and its worker.
type RunName struct {
	Worker namer.Worker      `cbor:"1,keyasint"`
	Task   namer.RunningTask `cbor:"2,keyasint"`
	Run    namer.Run         `cbor:"3,keyasint"`
}

// Ask asks a home for a place for a task.
type Ask struct {
	Task     namer.RunningTask `cbor:"1,keyasint"`
	Run      namer.Run         `cbor:"2,keyasint"`
	Service  namer.Service     `cbor:"3,keyasint"`
	Size     Size              `cbor:"4,keyasint"`
	Requires string            `cbor:"5,keyasint,omitempty"`
}

// Grant answers an Ask. Worker is empty where the home has no place.
type Grant struct {
	Task   namer.RunningTask `cbor:"1,keyasint"`
	Run    namer.Run         `cbor:"2,keyasint"`
	Worker namer.Worker      `cbor:"3,keyasint,omitempty"`
	// Clock is the worker's clock when the home answered.
	Clock namer.WorkerMillis `cbor:"4,keyasint,omitempty"`
}

// Result tells a home what became of a place that it gave.
type Result struct {
	RunName
	Taken bool `cbor:"4,keyasint"`
}

// EndNotice tells an instance that one of its runs has ended.
type EndNotice struct {
	RunName
	Number int64            `cbor:"4,keyasint"`
	Born   namer.UnixMillis `cbor:"5,keyasint"`
	Cause  EndCause         `cbor:"6,keyasint"`
}

// EndSeen tells a home that an end needs no more notice.
type EndSeen struct {
	Worker namer.Worker     `cbor:"1,keyasint"`
	Born   namer.UnixMillis `cbor:"2,keyasint"`
	Number int64            `cbor:"3,keyasint"`
}

// RunNotice tells an instance that one of its runs is there, and how far.
type RunNotice struct {
	RunName
	Percent int `cbor:"4,keyasint"`
}

const (
	// askTimeout is how long a home may take to answer; a round trip takes 2 ms
	// between domains.
	askTimeout = 25 * time.Millisecond
	// askPause is how long a home that did not answer is asked no more.
	askPause = 150 * time.Millisecond
	// placeKept is how long a place is kept for the word of a start's result.
	placeKept = 150 * time.Millisecond
	// homeSilence is how long a home may be silent before an instance polls the
	// workers where it has runs itself.
	homeSilence = 180 * time.Millisecond
	// progressEvery is the pace of notices of a worker's progress.
	progressEvery = 60 * time.Millisecond
)

// peer is a row of the table of instances.
type peer struct {
	name    string
	domain  namer.Domain
	tag     namer.RunTag
	heard   time.Time
	waiting int
	// slots is the number of usual tasks that the peer says it has places for,
	// less those asked for since.
	slots map[namer.Service]int
	// mutedUntil is until when the peer is not asked.
	mutedUntil time.Time
	letter     Letter
}

// place is room that a home keeps for a peer's start.
type place struct {
	key   runKey
	size  Size
	until time.Time
}

func (s *Scheduler) peerHeard(e PeerHeard) {
	p := s.peers[e.Name]
	if p == nil {
		p = &peer{name: e.Name}
		s.peers[e.Name] = p
		s.lastRank = time.Time{}
	}
	if p.tag != e.Tag {
		delete(s.byTag, p.tag)
	}
	p.domain, p.tag, p.waiting, p.slots, p.heard = e.Domain, e.Tag, e.Waiting, e.Slots, s.now
	s.byTag[e.Tag] = p
	s.changed = s.changed || len(e.Slots) > 0
}

// heardTag reports whether the instance that a tag belongs to is taken to live.
func (s *Scheduler) heardTag(tag namer.RunTag) bool {
	if tag == s.Tag {
		return true
	}
	p := s.byTag[tag]
	return p != nil && s.now.Sub(p.heard) < peerSilence
}

// seenTag notes a sign of life of the instance that a tag belongs to.
func (s *Scheduler) seenTag(tag namer.RunTag) {
	if tag == s.Tag {
		return
	}
	p := s.byTag[tag]
	if p == nil {
		p = &peer{tag: tag}
		s.byTag[tag] = p
	}
	p.heard = s.now
}

func (s *Scheduler) forgetPeers() {
	for name, p := range s.peers {
		if s.now.Sub(p.heard) > peerForget {
			delete(s.peers, name)
		}
	}
	for tag, p := range s.byTag {
		if s.now.Sub(p.heard) > peerForget {
			delete(s.byTag, tag)
		}
	}
}

// Slots returns, by service, how many usual tasks this instance has places for
// that none of its own waits for.
func (s *Scheduler) Slots() map[namer.Service]int {
	out := make(map[namer.Service]int)
	usual := s.usualCores()
	if usual == 0 {
		return out
	}
	for _, w := range s.sorted {
		if w.home == nil && s.usable(w) && !s.now.Before(w.fullUntil) {
			out[w.service] += max(0, int(w.room().Cores/usual))
		}
	}
	return out
}

// usualCores is the largest of the usual sizes of the kinds.
func (s *Scheduler) usualCores() namer.MilliCores {
	usual := namer.MilliCores(0)
	for _, k := range s.kinds {
		usual = max(usual, namer.MilliCores(k.cores))
	}
	return usual
}

// sortedPeers lists the peers that live by name.
func (s *Scheduler) sortedPeers() []*peer {
	out := make([]*peer, 0, len(s.peers))
	for _, p := range s.peers {
		if s.now.Sub(p.heard) < peerSilence {
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

// ask asks the home with the most places for one. It reports whether there was
// one to ask.
func (s *Scheduler) ask(t *task) bool {
	var best *peer
	for _, p := range s.alive {
		if p.slots[t.job.Service] <= 0 || s.now.Before(p.mutedUntil) || s.now.Sub(p.heard) > homeSilence {
			continue
		}
		if best == nil || s.askBefore(p, best, t.job.Service) {
			best = p
		}
	}
	if best == nil {
		return false
	}
	best.slots[t.job.Service]--
	s.runCount++
	t.state = taskAsking
	t.asked = best
	t.askedAt = s.now
	t.askedRun = namer.NewRun(s.runCount, s.Tag)
	s.asking = append(s.asking, t)
	best.letter.Asks = append(best.letter.Asks, Ask{
		Task: t.name, Run: t.askedRun, Service: t.job.Service, Size: t.step.Size, Requires: t.step.Requires,
	})
	return true
}

func (s *Scheduler) askBefore(a, b *peer, service namer.Service) bool {
	if la, lb := a.domain == s.Domain, b.domain == s.Domain; la != lb {
		return la
	}
	return a.slots[service] > b.slots[service]
}

// runAsks gives up the asks that were not answered.
func (s *Scheduler) runAsks() {
	if len(s.asking) == 0 {
		return
	}
	s.asking = slices.DeleteFunc(s.asking, func(t *task) bool {
		if t.state != taskAsking {
			return true
		}
		if s.now.Sub(t.askedAt) < askTimeout {
			return false
		}
		t.asked.mutedUntil = s.now.Add(askPause)
		s.askOver(t)
		return true
	})
}

func (s *Scheduler) askOver(t *task) {
	t.state = taskWaiting
	t.asked = nil
	s.changed = true
}

// told takes in a peer's letter.
func (s *Scheduler) told(e Told) {
	p := s.peers[e.From]
	if p == nil {
		return
	}
	for i := range e.Letter.Asks {
		s.asked(p, &e.Letter.Asks[i])
	}
	for i := range e.Letter.Grants {
		s.granted(p, &e.Letter.Grants[i])
	}
	for i := range e.Letter.Results {
		s.resulted(&e.Letter.Results[i])
	}
	for i := range e.Letter.Ends {
		s.endNoticed(p, &e.Letter.Ends[i])
	}
	for i := range e.Letter.Seen {
		s.endSeen(&e.Letter.Seen[i])
	}
	for i := range e.Letter.Active {
		s.runNoticed(&e.Letter.Active[i])
	}
	for _, r := range e.Letter.Stops {
		s.do(Stop{Worker: r.Worker, Task: r.Task, Run: r.Run})
	}
}

// asked answers a peer that asks for a place.
func (s *Scheduler) asked(p *peer, a *Ask) {
	g := Grant{Task: a.Task, Run: a.Run}
	if w := s.placeFor(a); w != nil {
		w.places = append(w.places, place{runKey{a.Task, a.Run}, a.Size, s.now.Add(placeKept)})
		g.Worker, g.Clock = w.id, w.clockNow(s.now)
	}
	p.letter.Grants = append(p.letter.Grants, g)
}

// placeFor picks a worker of this home for a peer's task, unless a task of its
// own waits for room.
func (s *Scheduler) placeFor(a *Ask) *worker {
	if s.Waiting() > 0 {
		return nil
	}
	st := StepSpec{Size: a.Size, Requires: a.Requires}
	return s.chooseHome(a.Service, &st, nil)
}

// granted starts a task at the place that a home has given.
func (s *Scheduler) granted(p *peer, g *Grant) {
	i := slices.IndexFunc(s.asking, func(t *task) bool { return t.name == g.Task && t.askedRun == g.Run })
	if g.Worker == "" {
		p.slots = nil
	}
	w := s.workers[g.Worker]
	if i < 0 || s.asking[i].state != taskAsking || w == nil || !w.listed || w.draining || s.ghosts[g.Task.Job] > 0 {
		s.decline(p, g)
		if i >= 0 && s.asking[i].state == taskAsking {
			s.askOver(s.asking[i])
		}
		return
	}
	t := s.asking[i]
	s.askOver(t)
	w.setClock(s.now, g.Clock)
	s.startRun(t, w, g.Run)
}

// decline gives a place back that is of no use.
func (s *Scheduler) decline(p *peer, g *Grant) {
	if g.Worker != "" {
		p.letter.Results = append(p.letter.Results, Result{RunName: RunName{g.Worker, g.Task, g.Run}})
	}
}

// tellHome tells a worker's home what became of a start there.
func (s *Scheduler) tellHome(r *run, taken bool) {
	if h := r.worker.home; h != nil {
		h.letter.Results = append(h.letter.Results, Result{RunName: RunName{r.worker.id, r.name, r.number}, Taken: taken})
	}
}

// resulted frees a place, or has the run take it.
func (s *Scheduler) resulted(e *Result) {
	w := s.workers[e.Worker]
	if w == nil {
		return
	}
	key := runKey{e.Task, e.Run}
	i := slices.IndexFunc(w.places, func(p place) bool { return p.key == key })
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

// notifyEnd tells an instance of the end of one of its runs.
func (s *Scheduler) notifyEnd(w *worker, e EndedRun) {
	p := s.byTag[e.Run.Tag()]
	if p == nil || p.name == "" {
		return
	}
	p.letter.Ends = append(p.letter.Ends, EndNotice{
		RunName: RunName{w.id, e.Task, e.Run}, Number: e.Number, Born: w.born, Cause: e.Cause,
	})
}

// endNoticed takes in a home's word on the end of a run of this instance.
func (s *Scheduler) endNoticed(p *peer, e *EndNotice) {
	p.letter.Seen = append(p.letter.Seen, EndSeen{Worker: e.Worker, Born: e.Born, Number: e.Number})
	w := s.workers[e.Worker]
	if w == nil {
		return
	}
	s.takeEnd(w, EndedRun{Number: e.Number, Task: e.Task, Run: e.Run, Cause: e.Cause})
}

func (s *Scheduler) endSeen(e *EndSeen) {
	w := s.workers[e.Worker]
	if w == nil || w.born != e.Born {
		return
	}
	w.seenEnds[e.Number] = true
}

// notifyActive tells the instances with runs on a worker how far these are.
func (s *Scheduler) notifyActive(w *worker) {
	if s.now.Sub(w.notified) < progressEvery {
		return
	}
	w.notified = s.now
	for i := range w.foreign {
		a := &w.foreign[i]
		if p := s.byTag[a.Run.Tag()]; p != nil && p.name != "" {
			p.letter.Active = append(p.letter.Active, RunNotice{RunName{w.id, a.Task, a.Run}, a.Percent})
		}
	}
}

// runNoticed takes in a home's word that a run of this instance is there.
func (s *Scheduler) runNoticed(e *RunNotice) {
	r := s.runs[runKey{e.Task, e.Run}]
	if r == nil {
		return
	}
	s.confirm(r)
	r.percent, r.percentAt = e.Percent, s.now
	r.worker.heard = s.now
}

// relayStop asks a worker's home to stop a run that this instance can't.
func (s *Scheduler) relayStop(r *run) {
	if h := r.worker.home; h != nil {
		h.letter.Stops = append(h.letter.Stops, RunName{r.worker.id, r.name, r.number})
	}
}

// sendLetters sends what has been written to each peer during the step.
func (s *Scheduler) sendLetters() {
	for _, p := range s.alive {
		if p.letter.empty() {
			continue
		}
		s.do(Tell{To: p.name, Letter: p.letter})
		p.letter = Letter{}
	}
}

func (l *Letter) empty() bool {
	return len(l.Asks)+len(l.Grants)+len(l.Results)+len(l.Ends)+len(l.Seen)+len(l.Active)+len(l.Stops) == 0
}

// Split halves a letter. It reports whether there is anything to halve.
func (l *Letter) Split() (first, second Letter, ok bool) {
	n := max(len(l.Asks), len(l.Grants), len(l.Results), len(l.Ends), len(l.Seen), len(l.Active), len(l.Stops))
	if n == 0 {
		return first, second, false
	}
	if n == 1 {
		// One of each is below any bound, but two kinds may not be.
		first = Letter{Asks: l.Asks, Grants: l.Grants, Results: l.Results}
		second = Letter{Ends: l.Ends, Seen: l.Seen, Active: l.Active, Stops: l.Stops}
		return first, second, !first.empty() && !second.empty()
	}
	h := n / 2
	first.Asks, second.Asks = l.Asks[:min(h, len(l.Asks))], l.Asks[min(h, len(l.Asks)):]
	first.Grants, second.Grants = l.Grants[:min(h, len(l.Grants))], l.Grants[min(h, len(l.Grants)):]
	first.Results, second.Results = l.Results[:min(h, len(l.Results))], l.Results[min(h, len(l.Results)):]
	first.Ends, second.Ends = l.Ends[:min(h, len(l.Ends))], l.Ends[min(h, len(l.Ends)):]
	first.Seen, second.Seen = l.Seen[:min(h, len(l.Seen))], l.Seen[min(h, len(l.Seen)):]
	first.Active, second.Active = l.Active[:min(h, len(l.Active))], l.Active[min(h, len(l.Active)):]
	first.Stops, second.Stops = l.Stops[:min(h, len(l.Stops))], l.Stops[min(h, len(l.Stops)):]
	return first, second, true
}

// dealHomes gives each worker its home: of the living instances of its domain,
// or of all where there is none, the first by rendezvous hash.
func (s *Scheduler) dealHomes() {
	s.alive = s.sortedPeers()
	for _, w := range s.sorted {
		home := s.homeOf(w)
		if home == w.home {
			continue
		}
		w.home = home
		w.places = nil
		if home != nil {
			s.setForeign(w, nil)
			continue
		}
		w.looked = false
		w.nextPoll = s.now
		s.do(Decision{Event: eventer.WorkerHome, Worker: w.id, Waiting: len(s.alive)})
	}
}

// homeOf returns the peer that is a worker's home, or nil for this instance.
func (s *Scheduler) homeOf(w *worker) *peer {
	var best *peer
	bestRight := right(s.Name, w.id)
	bestIn := s.Domain == w.domain
	for _, p := range s.alive {
		in := p.domain == w.domain
		r := right(p.name, w.id)
		if in == bestIn && r > bestRight || in && !bestIn {
			best, bestRight, bestIn = p, r, in
		}
	}
	return best
}

// pollsWorker reports whether this instance polls a worker: where it is its
// home, and where it has runs that the home says nothing of.
func (s *Scheduler) pollsWorker(w *worker) bool {
	if w.home == nil {
		return w.listed || len(w.own) > 0
	}
	if len(w.own) == 0 {
		return false
	}
	if s.now.Sub(w.home.heard) > homeSilence {
		return true
	}
	return slices.ContainsFunc(w.own, func(r *run) bool { return r.stopping || r.lost || s.overdue(r) })
}

const (
	// overdueFactor and overdueSlack say when a run should have ended: its home
	// has then been silent on it, or it is slow.
	overdueFactor = 1.5
	overdueSlack  = 60 * time.Millisecond
)

func (s *Scheduler) overdue(r *run) bool {
	return r.confirmed && s.now.Sub(r.begun) > time.Duration(overdueFactor*float64(r.predicted))+overdueSlack
}
