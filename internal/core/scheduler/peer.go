package scheduler

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

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
	Kind     namer.Kind        `cbor:"6,keyasint"`
	Class    wantClass         `cbor:"7,keyasint"`
	// Predicted is the expected run time, Patience how long the ask is good.
	Predicted time.Duration `cbor:"8,keyasint"`
	Patience  time.Duration `cbor:"9,keyasint"`
}

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

// Grant gives a place for an Ask. Worker is empty where the ask has to wait.
type Grant struct {
	Task   namer.RunningTask `cbor:"1,keyasint"`
	Run    namer.Run         `cbor:"2,keyasint"`
	Worker namer.Worker      `cbor:"3,keyasint,omitempty"`
	// Clock is the worker's clock when the home answered.
	Clock namer.WorkerMillis `cbor:"4,keyasint,omitempty"`
}

// Result tells a home what became of a place that it gave, or that an ask is
// withdrawn.
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
	// askPatience is how long a home that says it has room may take to answer;
	// a round trip takes 2 ms between domains.
	askPatience = 10 * time.Millisecond
	// askWidth is how many homes are asked at once where none says that it has
	// room: with one, a task waits for the wrong home too often, and each more
	// costs places that are given in vain.
	askWidth = 3
	// placeKept is how long a place is kept for the word of a start's result.
	placeKept = 150 * time.Millisecond
	// homeSilence is how long a home may be silent before an instance polls the
	// workers where it has runs itself.
	homeSilence = 250 * time.Millisecond
	// progressEvery is the pace of notices of a worker's progress.
	progressEvery = 100 * time.Millisecond
)

// peer is a row of the table of instances.
type peer struct {
	name string
	// key is the hash of the name.
	key    uint64
	domain namer.Domain
	tag    namer.RunTag
	heard  time.Time
	// slots is the number of usual tasks that the peer says it has places for,
	// less those asked for since.
	slots  map[namer.Service]int
	letter Letter
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
		p = &peer{name: e.Name, key: xxhash.Sum64String(e.Name)}
		s.peers[e.Name] = p
		s.lastRank = time.Time{}
	}
	if p.tag != e.Tag {
		delete(s.byTag, p.tag)
	}
	p.domain, p.tag, p.slots, p.heard = e.Domain, e.Tag, e.Slots, s.now
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
	for _, w := range s.homes {
		if s.usable(w) && !s.now.Before(w.fullUntil) {
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
// yet, or some at random where none has any.
func (s *Scheduler) homesToAsk(t *task) []*peer {
	var best *peer
	var serving []*peer
	for _, p := range s.alive {
		slots, serves := p.slots[t.job.Service]
		if !serves || s.now.Sub(p.heard) > homeSilence || slices.Contains(t.asked, p) {
			continue
		}
		serving = append(serving, p)
		if slots > 0 && (best == nil || s.askBefore(p, best, t.job.Service)) {
			best = p
		}
	}
	t.askedOne = best != nil
	if best != nil {
		best.slots[t.job.Service]--
		return []*peer{best}
	}
	chance := func(p *peer) uint64 {
		return xxhash.Sum64String(p.name + string(t.name.Job) + strconv.Itoa(t.name.Index))
	}
	slices.SortFunc(serving, func(a, b *peer) int { return cmp.Compare(chance(a), chance(b)) })
	return serving[:max(0, min(askWidth-len(t.asked), len(serving)))]
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
		s.do(Stop(r))
	}
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
// or of all where there is none, the first by rendezvous hash. Nothing changes
// while the same instances live and the same workers are listed.
func (s *Scheduler) dealHomes() {
	alive := s.sortedPeers()
	if slices.Equal(alive, s.alive) && !s.relisted {
		return
	}
	s.alive, s.relisted = alive, false
	s.homes = s.homes[:0]
	for _, w := range s.sorted {
		s.setHome(w, s.homeOf(w))
		if w.home == nil {
			s.homes = append(s.homes, w)
		}
	}
	s.changed = true
}

func (s *Scheduler) setHome(w *worker, home *peer) {
	if home == w.home && w.dealt {
		return
	}
	w.home, w.dealt = home, true
	w.places = nil
	if home != nil {
		s.setForeign(w, nil)
		s.visit(w)
		return
	}
	w.looked = false
	w.nextPoll = s.now
	s.do(Decision{Event: eventer.WorkerHome, Worker: w.id, Waiting: len(s.alive)})
}

// visit notes that this instance has runs on a worker that it is not the home
// of.
func (s *Scheduler) visit(w *worker) {
	if w.home != nil && len(w.own) > 0 && !slices.Contains(s.visited, w) {
		s.visited = append(s.visited, w)
	}
}

// eachNear calls a function for each worker that this instance has to look
// after: those that it is the home of, and those where it has runs.
func (s *Scheduler) eachNear(do func(*worker)) {
	for _, w := range s.homes {
		do(w)
	}
	s.visited = slices.DeleteFunc(s.visited, func(w *worker) bool { return w.home == nil || len(w.own) == 0 && !w.polling })
	for _, w := range s.visited {
		do(w)
	}
}

// homeOf returns the peer that is a worker's home, or nil for this instance.
func (s *Scheduler) homeOf(w *worker) *peer {
	var best *peer
	bestRight := right(s.key, w.key)
	bestIn := s.Domain == w.domain
	for _, p := range s.alive {
		in := p.domain == w.domain
		r := right(p.key, w.key)
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
