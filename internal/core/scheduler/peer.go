package scheduler

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

const (
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
	power  namer.MilliCores
	// leaving is set where the peer ends as soon as its jobs have.
	leaving bool
	// slots is the number of usual tasks that the peer says it has places for,
	// less those asked for since.
	slots  map[namer.Service]int
	letter Letter
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
	if p.leaving != e.Leaving || p.power != e.Power {
		s.relisted = true
	}
	p.domain, p.tag, p.slots, p.heard = e.Domain, e.Tag, e.Slots, s.now
	p.leaving, p.power = e.Leaving, e.Power
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
