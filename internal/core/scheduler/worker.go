package scheduler

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// worker is a row of the table of workers.
type worker struct {
	id       namer.Worker
	service  namer.Service
	domain   namer.Domain
	draining bool
	// listed is false once the platform no longer lists the worker; the row
	// stays while runs of this instance are there.
	listed   bool
	capacity Size
	labels   []string
	// born is the incarnation that the rest of the row speaks of.
	born namer.UnixMillis
	// clock is the worker's clock at clockAt.
	clock   namer.WorkerMillis
	clockAt time.Time
	// looked is set once the incarnation has told what runs there.
	looked bool
	heard  time.Time
	// acknowledged is the number of the last end that may be forgotten.
	acknowledged int64
	// foreignEnds are the ends of other instances' runs, by number, with the
	// time when they were first listed.
	foreignEnds map[int64]time.Time
	// own are the runs of this instance that may be there, the oldest first.
	own []*run
	// foreign are the runs of other instances that the worker listed last, or
	// that have been given a place since. Only its home knows them.
	foreign []foreignRun
	// places is the room that is kept for starts of peers.
	places []place
	// seenEnds are ends of other instances that these have seen.
	seenEnds map[int64]bool
	// notified is when progress was last told to the other instances.
	notified time.Time
	// orphans counts those foreign runs whose instance is silent.
	orphans int
	// ownUsed and foreignUsed are the room of both.
	ownUsed     Size
	foreignUsed Size
	fullUntil   time.Time
	asideUntil  time.Time
	// suspect is set by a lost call until the worker is heard again.
	suspect  bool
	failures int
	relapses int

	polling  bool
	nextPoll time.Time
	lost     int
	// home is the peer that polls the worker; nil where this instance does.
	// It means nothing until dealt is set.
	home  *peer
	dealt bool
	// key is the hash of the id.
	key uint64
}

// foreignRun is a run of another instance, with the size that it asked for;
// the size is zero where this is not known.
type foreignRun struct {
	ActiveRun
	size Size
}

const (
	// silentAfter is how long a worker may not answer before it is left alone;
	// polls come back within pollWait and a round trip.
	silentAfter = 700 * time.Millisecond
	// fullPause is how long a worker that had no room is left alone unless one
	// of its runs ends sooner; it is the shortest run time of the sites.
	fullPause = 60 * time.Millisecond
	// asidePause doubles with each relapse up to maxAside.
	asidePause = 1500 * time.Millisecond
	maxAside   = 12 * time.Second
	// maxFailures in a row set a worker aside.
	maxFailures = 2
	// unhealthyPause is how long a worker that says so is left alone.
	unhealthyPause = 300 * time.Millisecond
)

func (w *worker) has(label string) bool {
	return label == "" || slices.Contains(w.labels, label)
}

func (w *worker) room() Size {
	room := w.capacity.minus(w.ownUsed).minus(w.foreignUsed)
	for i := range w.places {
		room = room.minus(w.places[i].size)
	}
	return room
}

func (w *worker) foreignIndex(key runKey) int {
	return slices.IndexFunc(w.foreign, func(f foreignRun) bool { return f.Run == key.run && f.Task == key.task })
}

func (w *worker) placeIndex(key runKey) int {
	return slices.IndexFunc(w.places, func(p place) bool { return p.key == key })
}

// dropPlaces frees the places that no word of a start has come for.
func (w *worker) dropPlaces(now time.Time) {
	w.places = slices.DeleteFunc(w.places, func(p place) bool { return now.After(p.until) })
}

// clockNow estimates the worker's clock, never ahead of it by more than its
// drift.
func (w *worker) clockNow(now time.Time) namer.WorkerMillis {
	return w.clock + namer.WorkerMillis(now.Sub(w.clockAt).Milliseconds())
}

func (w *worker) setClock(now time.Time, clock namer.WorkerMillis) {
	if clock > 0 {
		w.clock, w.clockAt = clock, now
	}
}

// silent reports whether a worker does not answer. Where a peer is its home,
// this instance knows only of the calls that it made itself.
func (s *Scheduler) silent(w *worker) bool {
	return w.suspect || w.home == nil && s.now.Sub(w.heard) > silentAfter
}

// silence is how long ago a worker was heard last; zero where it never was.
func (s *Scheduler) silence(w *worker) time.Duration {
	if w.heard.IsZero() {
		return 0
	}
	return s.now.Sub(w.heard)
}

// usable reports whether a worker may get a start now.
func (s *Scheduler) usable(w *worker) bool {
	return w.listed && w.looked && !w.draining && w.orphans == 0 && !s.silent(w) &&
		!s.now.Before(w.asideUntil)
}

// anyUsable reports whether a worker of a service can be reached by this
// instance or through a peer.
func (s *Scheduler) anyUsable(service namer.Service) bool {
	for _, w := range s.homes {
		if w.service == service && w.listed && w.looked && !w.draining && s.now.Sub(w.heard) <= silentAfter {
			return true
		}
	}
	return slices.ContainsFunc(s.alive, func(p *peer) bool {
		_, serves := p.slots[service]
		return serves
	})
}

// listed takes in the platform's words on workers.
func (s *Scheduler) listed(e WorkersListed) {
	for i := range e.Workers {
		l := &e.Workers[i]
		w := s.workers[l.ID]
		switch {
		case l.Gone && w != nil:
			w.listed = false
			s.relisted = true
			s.do(Decision{Event: eventer.WorkerGone, Worker: w.id})
			s.dropIfGone(w)
		case l.Gone:
		case w == nil:
			s.addWorker(l)
		default:
			s.updateWorker(w, l)
		}
	}
	s.changed = true
	s.lastRank = time.Time{}
}

func (s *Scheduler) addWorker(l *ListedWorker) {
	w := &worker{id: l.ID, key: xxhash.Sum64String(string(l.ID)), foreignEnds: make(map[int64]time.Time), seenEnds: make(map[int64]bool)}
	s.workers[l.ID] = w
	s.insert(w)
	s.relisted = true
	s.updateWorker(w, l)
	s.do(Decision{Event: eventer.WorkerListed, Worker: w.id})
}

func (s *Scheduler) updateWorker(w *worker, l *ListedWorker) {
	if l.Draining && !w.draining {
		s.do(Decision{Event: eventer.WorkerDraining, Worker: w.id})
	}
	w.service, w.domain, w.draining, w.listed = l.Service, l.Domain, l.Draining, true
	w.capacity, w.labels = l.Capacity, l.Labels
	if l.Born > w.born {
		s.reborn(w, l.Born)
	}
}

// reborn forgets what belonged to an earlier incarnation of a worker. Runs may
// have been started on either; the next list of what runs there tells.
func (s *Scheduler) reborn(w *worker, born namer.UnixMillis) {
	first := w.born == 0
	w.born = born
	if first && !w.looked {
		return
	}
	s.do(Decision{Event: eventer.WorkerReborn, Worker: w.id})
	w.looked, w.acknowledged, w.clock = false, 0, 0
	w.foreignEnds = make(map[int64]time.Time)
	w.seenEnds = make(map[int64]bool)
	w.places = nil
	s.setForeign(w, nil)
	w.nextPoll = s.now
}

// dropIfGone removes the row of a worker that is neither listed nor needed.
func (s *Scheduler) dropIfGone(w *worker) {
	if w.listed || len(w.own) > 0 {
		return
	}
	delete(s.workers, w.id)
	s.setForeign(w, nil)
	i := slices.Index(s.sorted, w)
	s.sorted = slices.Delete(s.sorted, i, i+1)
	s.relisted = true
}

// over notes that a run is neither there nor will be. A task that still wants
// it waits for another.
func (s *Scheduler) over(r *run) {
	key := runKey{r.name, r.number}
	if _, found := s.runs[key]; !found {
		return
	}
	delete(s.runs, key)
	r.worker.own = slices.DeleteFunc(r.worker.own, func(o *run) bool { return o == r })
	r.worker.ownUsed = r.worker.ownUsed.minus(r.size)
	if t := r.task; t != nil {
		t.run, t.state = nil, taskWaiting
		r.task = nil
	} else {
		s.unghost(r.name.Job)
	}
	s.changed = true
	s.dropIfGone(r.worker)
}

func (s *Scheduler) unghost(name namer.JobName) {
	s.ghosts[name]--
	if s.ghosts[name] <= 0 {
		delete(s.ghosts, name)
	}
}

// setForeign replaces the runs of other instances on a worker.
func (s *Scheduler) setForeign(w *worker, rows []foreignRun) {
	for i := range w.foreign {
		s.unghost(w.foreign[i].Task.Job)
	}
	w.foreign = rows
	w.foreignUsed = Size{}
	for i := range rows {
		s.ghosts[rows[i].Task.Job]++
		w.foreignUsed = w.foreignUsed.plus(s.foreignSize(&rows[i]))
	}
	s.countOrphans(w)
}

// foreignSize is the room that another instance's run is taken to need.
func (s *Scheduler) foreignSize(f *foreignRun) Size {
	if f.size != (Size{}) {
		return f.size
	}
	if usual := s.usualCores(); usual > 0 {
		return Size{Cores: usual}
	}
	return Size{Cores: f.Cores}
}

func (s *Scheduler) countOrphans(w *worker) {
	w.orphans = 0
	for i := range w.foreign {
		if !s.heardTag(w.foreign[i].Run.Tag()) {
			w.orphans++
		}
	}
}

// setAside leaves a worker alone for a while.
func (s *Scheduler) setAside(w *worker, reason string) {
	pause := min(asidePause<<min(w.relapses, 3), maxAside)
	w.relapses++
	w.asideUntil = s.now.Add(pause)
	s.do(Decision{Event: eventer.WorkerAside, Worker: w.id, Reason: reason, Age: pause})
}

func (w *worker) succeeded() {
	w.failures, w.relapses = 0, 0
}

func (s *Scheduler) failedOn(w *worker) {
	w.failures++
	if w.failures >= maxFailures || w.relapses > 0 {
		w.failures = 0
		s.setAside(w, "runs fail")
	}
}
