package mfsched

import (
	"maps"
	"slices"
	"time"

	"mothferry"
)

// place assigns waiting tasks to workers, in the order of candidates. If capacity is divided
// among accounts, candidates whose flow is below its fair share go first, then those whose flow
// has credit: by urgency alone, the accounts that submitted the most would get the capacity.
func (s *State) place(now time.Time) {
	s.countOrphaned()
	byService := s.candidates(now)
	capacities := map[mothferry.ServiceID]*placementCapacity{}
	for service := range byService {
		capacities[service] = s.placementCapacityOf(service, now)
	}
	if s.sharesEnabled() {
		s.updateFairShares(byService, capacities, now)
		s.placeMatching(byService, capacities, (*candidate).withinFairShare, now)
		s.placeMatching(byService, capacities, (*candidate).hasCredit, now)
	}
	s.placeMatching(byService, capacities, func(*candidate) bool { return true }, now)
	s.callAdviser(now)
}

// placeMatching assigns tasks of matching candidates to workers. Each candidate is tried once
// per call of place, in the first pass that it matches.
func (s *State) placeMatching(byService map[mothferry.ServiceID][]*candidate, capacities map[mothferry.ServiceID]*placementCapacity, matches func(*candidate) bool, now time.Time) {
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		list, capacity := byService[service], capacities[service]
		if len(capacity.workers) == 0 {
			continue
		}
		for _, c := range list {
			if len(s.dirty) >= maxCommitJobs {
				return
			}
			if c.tried || !matches(c) {
				continue
			}
			c.tried = true
			s.effort.Candidates++
			for _, p := range c.steps {
				s.placeStep(c, p, capacity, now)
			}
		}
	}
}

// usable returns the workers of a service that may get work now.
func (s *State) usable(service mothferry.ServiceID, now time.Time) []*worker {
	var out []*worker
	for _, w := range s.sortedWorkers {
		if w.Service == service && s.isSchedulable(w, now) {
			out = append(out, w)
		}
	}
	return out
}

func (s *State) isSchedulable(w *worker, now time.Time) bool {
	return w.listed && w.fenced && !w.unresponsive && !w.Draining && !s.toEvacuate[w.at.Worker] &&
		!now.Before(w.pausedUntil) && !now.Before(w.health.quarantinedUntil)
}

func (s *State) placeStep(c *candidate, p *step, capacity *placementCapacity, now time.Time) {
	if p.spec.Gang {
		s.placeGang(c, p, capacity, now)
		return
	}
	var placed []*task
	room := s.rowRoomOf(c.job)
	for _, t := range p.tasks {
		if t.phase != phaseWaiting || now.Before(t.notBefore) || t.awaitsEndCause(now) || s.awaitsFormerRun(t) {
			continue
		}
		if !c.job.account.admits(p.spec.Need) {
			break
		}
		w := s.chooseWorker(c, t, capacity, now)
		if w == nil && t.suspect() {
			// A suspect task may have to wait for its trial; the other tasks of the step need
			// not wait for that.
			continue
		}
		if w == nil || capacity.turnover != nil && w.slowStatus.Degraded() && s.canRunOnNormalWorker(t, capacity.workers) && capacity.turnover.shouldWait(t, w, now) {
			break
		}
		if !room.take(t, w, t.highestRun()+1) {
			s.recordRowFull(c.job, now)
			break
		}
		s.plan(t, w, t.highestRun()+1, now)
		capacity.taken(t, w)
		placed = append(placed, t)
	}
	if len(placed) > 0 {
		s.emit(Decision{Message: "tasks are placed", Job: c.job.id, Fields: map[string]any{
			"step": p.name.Step, "occurrence": p.name.Occurrence, "tasks": len(placed), "waiting": p.waiting,
			"prospect": int(c.class), "slack_ms": c.slack.Milliseconds(), "workers": workersOf(placed), "runs": describePlaced(placed),
		}})
	}
}

// canRunOnNormalWorker reports whether a task may run on a worker that isn't slow, once that
// worker has free capacity.
func (s *State) canRunOnNormalWorker(t *task, workers []*worker) bool {
	spec := t.step.spec
	return slices.ContainsFunc(workers, func(w *worker) bool {
		return !w.slowStatus.Degraded() && feasible(t, w, mothferry.Resources{}) && s.stepTasksOn(t.step, w) < perWorkerLimit(spec.PerWorker)
	})
}

// workersOf returns the workers of tasks, each once.
func workersOf(tasks []*task) []mothferry.WorkerID {
	var out []mothferry.WorkerID
	for _, t := range tasks {
		if !slices.Contains(out, t.worker.at.Worker) {
			out = append(out, t.worker.at.Worker)
		}
	}
	return out
}

// plan binds a task to a worker under a run number. The start order is sent once that is
// stored.
func (s *State) plan(t *task, w *worker, run mothferry.RunNumber, now time.Time) {
	s.endTaskStage(t, TaskReady, later(t.step.readyAt, t.unavailableSince), now)
	s.assign(t, w, phasePlanned)
	t.run, t.plannedAt = run, now
	s.logRestart(t, now)
	if t.suspect() {
		w.trial = t
	}
	s.planned = append(s.planned, plannedRun{task: t, run: run})
	if t.job.state == stateQueued {
		t.job.state = stateRunning
	}
	t.job.started = true
	s.markDirty(t.job)
}

// chooseWorker returns the feasible worker with the highest score for a task, or nil. In an
// advised queue only workers for which the step has a ticket are feasible; if none is, the
// step waits for a call to the adviser.
func (s *State) chooseWorker(c *candidate, t *task, capacity *placementCapacity, now time.Time) *worker {
	if t.suspect() {
		t.extendPostponement(capacity.load(), now)
		if !t.mayStartTrial(capacity, now) {
			return nil
		}
	}
	var best *worker
	if !capacity.cannotFit(t.step.spec) {
		best = s.bestWorker(c, t, capacity, now)
	}
	if best == nil && c.advised && !capacity.cannotFit(t.step.spec) {
		s.requestAdvice(c, t.step, capacity.workers, now)
	}
	return best
}

// bestWorker compares the workers with enough free capacity for a task. It records if there are
// none.
func (s *State) bestWorker(c *candidate, t *task, capacity *placementCapacity, now time.Time) *worker {
	s.effort.Workers += len(capacity.workers)
	spec, size := t.step.spec, t.step.spec.Reservation()
	preference, limit := t.hasPreference(), perWorkerLimit(t.step.spec.PerWorker)
	var best *worker
	bestScore, fits := 0.0, false
	for i := range capacity.free {
		if !size.Fits(capacity.free[i]) {
			continue
		}
		w, score := capacity.workers[i], capacity.packing[i]
		if !hasLabel(w, spec.Label) {
			continue
		}
		fits = true
		if preference {
			score = s.score(t, w)
		}
		if best != nil && score <= bestScore || s.draft != nil && !s.fits(t, w) || s.stepTasksOn(t.step, w) >= limit {
			continue
		}
		if c.advised && !s.hasTicket(t.step, w, now) {
			continue
		}
		best, bestScore = w, score
	}
	if !fits {
		capacity.searchFailed(spec)
	}
	return best
}

func perWorkerLimit(bound int) int {
	if bound == 0 {
		return 1 << 30
	}
	return bound
}

func (s *State) fits(t *task, w *worker) bool {
	return feasible(t, w, w.reserved().Add(s.draft.reserved(w)))
}

// feasible reports whether a worker has a task's label and enough capacity for it in addition
// to what is used.
func feasible(t *task, w *worker, used mothferry.Resources) bool {
	return hasLabel(w, t.step.spec.Label) && t.step.spec.Reservation().Fits(w.Capacity.Sub(used))
}

// hasLabel reports whether a worker has a label; every worker has the empty one.
func hasLabel(w *worker, label string) bool { return label == "" || slices.Contains(w.Labels, label) }

// stepTasksOn counts the tasks of a step on a worker. It returns 0 for steps where nothing
// depends on the count.
func (s *State) stepTasksOn(p *step, w *worker) int {
	if p.spec.PerWorker == 0 && !p.spec.Lasting {
		return 0
	}
	count := s.draft.tasksOn(p, w)
	for _, t := range p.tasks {
		if t.worker == w || t.copyTask != nil && t.copyTask.worker == w {
			count++
		}
	}
	return count
}

// Weights for scoring workers; they only rank.
const (
	// weightRack is for a worker in the rack of the task's data. That is worth a third of the
	// run time, more than any difference in utilization.
	weightRack = 4.0
	// weightAvoid is for a worker on which the task's last run failed. It is the largest
	// weight, but others can add up to more, as weightSpread and weightInterference count per
	// task.
	weightAvoid = -16.0
	// weightUtilization packs tasks on machines that have work already, so that others become
	// idle and can be moved where they are needed.
	weightUtilization = 1.0
	// weightSpread spreads the tasks of a lasting step, so that the loss of one machine takes
	// few of them.
	weightSpread = -2.0
	// weightMaintenanceDue keeps lasting tasks off workers that a maintenance wave has yet to
	// evacuate. They would be moved a second time, and the wave would have to wait for them,
	// since only a few tasks of a step may be unavailable at once. It outweighs a difference of
	// up to five tasks of the step, but not a failure on the worker.
	weightMaintenanceDue = -12.0
	// weightSuspect places a task that may crash its worker where few other tasks would be
	// lost.
	weightSuspect = -8.0
	// weightSlow is the cost of a slow worker on which the task takes twice its run time; it
	// grows with each further run time. It is three times weightRack, as remote data costs a
	// third of a run time. weightSlowFloor keeps it below the cost of a failure on the worker.
	// Lasting tasks and gangs are exempt: the speed of tasks that end by themselves says
	// nothing about theirs.
	weightSlow      = -3 * weightRack
	weightSlowFloor = -15.0
	// weightInterference separates tasks that fill idle processor time from tasks that serve.
	weightInterference = -3.0
)

func (s *State) score(t *task, w *worker) float64 {
	spec := t.step.spec
	score := 0.0
	if spec.Rack != "" && spec.Rack == w.Rack {
		score += weightRack
	}
	if t.avoidWorker == w.at.Worker {
		score += weightAvoid
	}
	if w.Capacity.Cores > 0 {
		weight := weightUtilization
		if t.suspect() {
			weight = weightSuspect
		}
		score += weight * float64(w.used.Add(s.draft.reserved(w)).Cores) / float64(w.Capacity.Cores)
	}
	if spec.Lasting {
		score += weightSpread * float64(s.stepTasksOn(t.step, w))
		if s.maintenanceDue[w.at.Worker] {
			score += weightMaintenanceDue
		}
	}
	if !spec.Lasting && !spec.Gang {
		score += slownessScore(w)
	}
	if spec.Fills || spec.TailTarget > 0 {
		score += weightInterference * float64(interferingTasks(t, w))
	}
	return score
}

// interferingTasks counts the tasks on a worker that would slow the task down or be slowed
// down by it.
func interferingTasks(t *task, w *worker) int {
	count := 0
	for _, o := range w.tasks {
		if t.step.spec.Fills && o.step.spec.TailTarget > 0 || t.step.spec.TailTarget > 0 && o.step.spec.Fills {
			count++
		}
	}
	return count
}
