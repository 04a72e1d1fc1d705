package scheduler

// obstacle is the reason why a worker can't get a start now.
type obstacle string

// Obstacles, as they are shown to operators.
const (
	noObstacle          obstacle = ""
	obstacleService     obstacle = "other service"
	obstacleSize        obstacle = "too little free capacity"
	obstacleFull        obstacle = "rejected a start for lack of capacity"
	obstacleLabel       obstacle = "label missing"
	obstacleRack        obstacle = "not in the rack of the data"
	obstacleInUse       obstacle = "task needs a worker for itself"
	obstacleStepLimit   obstacle = "too many tasks of the step"
	obstacleTrial       obstacle = "has its trial run"
	obstacleUnlisted    obstacle = "not listed"
	obstacleRestarted   obstacle = "has restarted and its entry is not listed yet"
	obstacleUnknownRuns obstacle = "runs are unknown"
	obstacleUnclaimed   obstacle = "may get starts of another owner"
	obstacleDraining    obstacle = "draining"
	obstacleEvacuated   obstacle = "domain is evacuated"
	obstacleDeparture   obstacle = "leaves before the task could end"
	obstacleOrphans     obstacle = "has runs of a silent instance"
	obstacleSilent      obstacle = "does not respond"
	obstacleBreaker     obstacle = "set aside"

	obstacleEvacuationsUnknown obstacle = "evacuations are unknown"
)

// obstacleTo returns the first obstacle to placing a request on an owned worker. The
// cheapest checks, which rule out most workers, come first.
func (s *Scheduler) obstacleTo(request *placementRequest, w *worker) obstacle {
	step := request.step
	switch {
	case w.service != request.service:
		return obstacleService
	case s.now.Before(w.fullUntil):
		return obstacleFull
	case !step.Size.fitsIn(w.freeCapacity()):
		return obstacleSize
	case request.onlyInRack && !w.hasLabel(step.DataRack):
		return obstacleRack
	case request.isolated && !w.isUnused():
		return obstacleInUse
	}
	if o := s.obstacleToStarts(w); o != noObstacle {
		return o
	}
	switch {
	case !w.hasLabel(step.RequiredLabel):
		return obstacleLabel
	case w.draining && !s.endsBeforeDeparture(w, s.runTimeOn(request, w)):
		return obstacleDeparture
	case w.isProbing():
		return obstacleTrial
	case request.task != nil && step.MaxPerWorker > 0 && w.runsOfStep(request.task) >= step.MaxPerWorker:
		return obstacleStepLimit
	}
	return noObstacle
}

// obstacleToStarts returns the obstacle to any start on a worker.
func (s *Scheduler) obstacleToStarts(w *worker) obstacle {
	switch {
	case !w.listed:
		return obstacleUnlisted
	case w.isEntryOutdated():
		return obstacleRestarted
	case !s.hasListedRuns(w):
		return obstacleUnknownRuns
	case w.isUnclaimed():
		return obstacleUnclaimed
	case !s.admitsStarts(w):
		return obstacleDraining
	case s.hasOrphanedRuns(w):
		return obstacleOrphans
	case s.isUnresponsive(w):
		return obstacleSilent
	case s.now.Before(w.breakerOpenUntil):
		return obstacleBreaker
	}
	return s.obstacleToDomain(w)
}

// isUsable reports whether a worker can accept a start now.
func (s *Scheduler) isUsable(w *worker) bool { return s.obstacleToStarts(w) == noObstacle }
