package mfsched

import (
	"slices"
	"time"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfstraggler"
)

// Messages of decisions about uneven workers, by which operators' tools find them.
const (
	MessageSlow         = "worker is slow"
	MessageNoLongerSlow = "worker is no longer slow"
	MessageRestarted    = "task is behind, starts elsewhere"
	// MessageCopyStarted, and how it ended: the copy did the work first, or the other run did.
	MessageCopyStarted  = "copy of a task is started"
	MessageCopyFinished = "copy is done first, the other run is stopped"
	MessageCopyStopped  = "copy is stopped"
)

const (
	// restoreLatency is about how long a task takes to go on from a checkpoint.
	restoreLatency = 500 * time.Millisecond
	// startLatency is about how long a start takes from its decision, with the commit before.
	startLatency = 100 * time.Millisecond
)

// maxRelocationSearches bounds the tasks for which a round of chores looks for room on usual workers.
const maxRelocationSearches = 32

// relocateStragglers has tasks on slow workers that would end clearly sooner elsewhere begin there.
// Each takes room on a usual worker that no other task was promised.
//
// The load it answers: a third of a large pool turns slow while all of it is full, so that
// thousands of tasks are behind at a time and hardly one has room elsewhere.
func (s *State) relocateStragglers(now time.Time) {
	if !s.anySlow || s.Off[mothferry.FeatureStragglers] {
		return
	}
	s.relocating = slices.DeleteFunc(s.relocating, func(t *task) bool {
		if !t.awaitsRelocation() {
			t.reservedOn = nil
		}
		return t.reservedOn == nil
	})
	rooms := map[mothferry.ServiceID]*relocationCapacity{}
	sought := 0
	// A round goes on where the last one stopped, so that none is left out for good.
	from, _ := slices.BinarySearchFunc(s.sortedWorkers, s.stragglerScanFrom, byID)
	for i := range s.sortedWorkers {
		w := s.sortedWorkers[(from+i)%len(s.sortedWorkers)]
		if !w.slowStatus.Slow || w.unresponsive || !w.fenced {
			continue
		}
		if sought >= maxRelocationSearches {
			s.stragglerScanFrom = w.at.Worker
			break
		}
		for _, t := range w.tasksWhere(func(t *task) bool { return t.relocatable(w, s.Limits) }) {
			r := rooms[w.Service]
			if r == nil {
				r = s.relocationCapacityOf(w.Service, now)
				rooms[w.Service] = r
			}
			if !r.cannotFit(t.step.spec) && s.relocate(t, r, now) {
				sought++
			}
		}
	}
}

// awaitsRelocation reports whether a task that was stopped for being behind has yet to begin elsewhere.
func (t *task) awaitsRelocation() bool {
	return t.reservedOn != nil && !t.job.state.Final() && t.phase != phaseRunning && t.phase != phaseDone
}

// relocationCapacity is what the usual workers of a service have free beside what was promised to tasks
// that are stopped to begin there.
type relocationCapacity struct {
	workers []*worker
	free    []mothferry.Resources
	index   map[*worker]int
	// unplaceable holds what found no room, by the label that it asks for.
	unplaceable map[string][]mothferry.Resources
	// corrected holds what was handed in for jobs, with the times that their tasks usually take.
	corrected map[*job]mfjob.Submission
}

// relocationCapacityOf returns the free room of the usual workers of a service.
func (s *State) relocationCapacityOf(service mothferry.ServiceID, now time.Time) *relocationCapacity {
	r := &relocationCapacity{index: map[*worker]int{}, unplaceable: map[string][]mothferry.Resources{}, corrected: map[*job]mfjob.Submission{}}
	for _, w := range s.sortedWorkers {
		if w.Service != service || w.slowStatus.Degraded() || w.onTrial() || !s.isSchedulable(w, now) {
			continue
		}
		free := w.Capacity.Sub(w.reserved())
		if free.Cores <= 0 {
			continue
		}
		r.index[w] = len(r.workers)
		r.workers, r.free = append(r.workers, w), append(r.free, free)
	}
	for _, t := range s.relocating {
		if s.queueOf(t.job).Service == service {
			r.reserve(t, t.reservedOn)
		}
	}
	return r
}

// reserve takes the room of a task from a worker, or from the first other one that has it.
func (r *relocationCapacity) reserve(t *task, w *worker) {
	of := t.step.spec
	i, known := r.index[w]
	if !known || !of.Room().Fits(r.free[i]) {
		i = -1
		if !r.cannotFit(of) {
			i = slices.IndexFunc(r.workers, func(o *worker) bool { return hasLabel(o, of.Label) && of.Room().Fits(r.free[r.index[o]]) })
		}
	}
	if i < 0 {
		r.unplaceable[of.Label] = append(r.unplaceable[of.Label], of.Room())
		return
	}
	r.free[i] = r.free[i].Sub(of.Room())
}

// cannotFit reports whether it is known that no worker has room for a task of a step.
func (r *relocationCapacity) cannotFit(of *mfjob.Step) bool {
	larger := func(size mothferry.Resources) bool { return size.Fits(of.Room()) }
	return slices.ContainsFunc(r.unplaceable[""], larger) || of.Label != "" && slices.ContainsFunc(r.unplaceable[of.Label], larger)
}

// relocatable reports whether a task may be worth a start elsewhere.
func (t *task) relocatable(w *worker, l Limits) bool {
	if t.phase != phaseRunning || !t.measuresSpeed() || t.copyOf != nil || t.copyTask != nil || t.suspect() || t.job.state.Final() {
		return false
	}
	if _, known := t.track.Rate(); !known {
		return false
	}
	by := t.mitigation()
	if by == mitigationNone {
		return false
	}
	here, there := t.expectedTimes(w, by, l)
	return here > there
}

// mitigation is how a task that is behind begins elsewhere.
type mitigation int

const (
	mitigationNone mitigation = iota
	// mitigationCopy: as a second run beside the first.
	mitigationCopy
	// mitigationRestart: once its run is stopped.
	mitigationRestart
)

// mitigation returns how the task may begin elsewhere. One that may have a copy is stopped instead
// where its account has no room for two runs.
func (t *task) mitigation() mitigation {
	switch {
	case t.step.spec.Speculative && t.copies < mfstraggler.MaxCopies && t.job.account.admits(t.step.spec.Need):
		return mitigationCopy
	case t.restarts < mfstraggler.MaxRestarts && !t.job.account.overLimit():
		return mitigationRestart
	default:
		return mitigationNone
	}
}

// expectedTimes returns how long a task on a slow worker still takes there, and until it would
// end on a usual one: from its checkpoint, or from its beginning if it has none.
func (t *task) expectedTimes(w *worker, by mitigation, l Limits) (here, there time.Duration) {
	whole := float64(t.track.TotalDuration(t.step.spec.Estimate))
	left := whole * (1 - float64(t.percent)/fullPace)
	if by == mitigationCopy {
		// The worker goes on, so that its newest checkpoint is of now at the best.
		return time.Duration(left), startLatency + time.Duration(whole*w.slowStatus.RelativeSpeed())
	}
	there = l.StopTimeout/2 + startLatency
	if t.step.spec.Checkpoint {
		return time.Duration(left), there + restoreLatency + time.Duration(left*w.slowStatus.RelativeSpeed())
	}
	return time.Duration(left), there + time.Duration(whole*w.slowStatus.RelativeSpeed())
}

// relocate has a task that is behind begin on a usual worker if its job gains by that. It reports
// whether it had to look for room.
func (s *State) relocate(t *task, r *relocationCapacity, now time.Time) bool {
	w, by := t.worker, t.mitigation()
	if by == mitigationNone {
		return false
	}
	c := mfstraggler.Straggler{}
	c.Remaining, c.Elsewhere = t.expectedTimes(w, by, s.Limits)
	c.UntilLate, c.UntilTooLate = s.timeLeft(t, r, now)
	if !c.ShouldRestart() {
		return false
	}
	o := s.relocationTarget(t, by, r, now)
	if o == nil {
		return true
	}
	message := MessageRestarted
	if by == mitigationCopy {
		message = MessageCopyStarted
	}
	s.emit(Decision{Message: message, Job: t.job.id, Worker: w.at.Worker, Fields: map[string]any{
		"service": w.Service, "step": t.name.Step, "index": t.name.Index, "run": t.run, "percent": t.percent, "other": o.at.Worker,
		"speed": round(w.slowStatus.Speed.Relative), "uncertainty": round(w.slowStatus.Speed.Uncertainty),
		"here_ms": c.Remaining.Milliseconds(), "there_ms": c.Elsewhere.Milliseconds(), "left_ms": c.UntilLate.Milliseconds(),
	}})
	r.free[r.index[o]] = r.free[r.index[o]].Sub(t.step.spec.Room())
	if by == mitigationCopy {
		s.planCopy(t, o)
		return true
	}
	t.avoidWorker = w.at.Worker
	t.restarts++
	if t.reservedOn == nil {
		s.relocating = append(s.relocating, t)
	}
	t.reservedOn = o
	s.stop(t, now)
	return true
}

// relocationTarget returns the usual worker that suits a task best, of those that have room for it beside
// what others were promised; nil if none has.
func (s *State) relocationTarget(t *task, by mitigation, r *relocationCapacity, now time.Time) *worker {
	of := t.step.spec
	// A copy is started at once, and needs its ticket now.
	ticket := by == mitigationCopy && s.queueOf(t.job).Advised
	var best *worker
	bestScore, fits := 0.0, false
	for i, o := range r.workers {
		if !of.Room().Fits(r.free[i]) || !hasLabel(o, of.Label) {
			continue
		}
		fits = true
		if ticket && !s.hasTicket(t.step, o, now) || s.stepTasksOn(t.step, o) >= perWorkerLimit(of.PerWorker) {
			continue
		}
		if score := s.score(t, o); best == nil || score > bestScore {
			best, bestScore = o, score
		}
	}
	if !fits {
		r.unplaceable[of.Label] = append(r.unplaceable[of.Label], of.Room())
	}
	return best
}

// timeLeft returns how long a task may still take for its job to be in time, and to be of
// any use.
func (s *State) timeLeft(t *task, r *relocationCapacity, now time.Time) (left, lateLeft time.Duration) {
	j, q := t.job, s.queueOf(t.job)
	o := j.occurrences[t.name.Occurrence]
	begun := j.submission.Accepted
	if !o.scheduledAt.IsZero() {
		begun = o.scheduledAt
	}
	usual, known := r.corrected[j]
	if !known {
		usual = s.correctedSubmission(j)
		r.corrected[j] = usual
	}
	follows := usual.ChainAfter(t.name.Step)
	aim := mfjob.Objective(q.Stretch, q.Latency, usual.Chain())
	return begun.Add(aim).Sub(now) - follows, begun.Add(mfjob.LateFactor*aim).Sub(now) - follows
}

// correctedSubmission returns what was handed in for a job, with the estimates as tasks of each kind show
// them to be, where that is known.
func (s *State) correctedSubmission(j *job) mfjob.Submission {
	usual := j.submission
	usual.Steps = slices.Clone(usual.Steps)
	for i := range usual.Steps {
		of := &usual.Steps[i]
		if takes, known := s.kinds.Expected(speedClassOf(j, i, false), of.Estimate); known {
			of.Estimate = takes
		}
	}
	return usual
}

// stallTimeout returns how long a task may stand still before it hangs. Where tasks of its kind
// are known to advance, that is some times what a percent takes; after a stop it is longer.
func (s *State) stallTimeout(t *task) time.Duration {
	allowed := stuckAfter + time.Duration(stuckEstimateShare*float64(t.step.spec.Estimate))
	if s.Off[mothferry.FeatureStragglers] || !t.measuresSpeed() || t.stuckStops > 0 || t.checkpoint != "" {
		return allowed
	}
	usual, known := s.kinds.Expected(t.speedClass(t.worker), t.step.spec.Estimate)
	if !known {
		return allowed
	}
	return min(allowed, mfstraggler.HangTimeout(max(usual, t.step.spec.Estimate), t.worker.slowStatus.RelativeSpeed()))
}
