package mfsched

import (
	"slices"
	"time"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfstraggler"
)

// Messages of decisions about degraded workers. Operators' tools match them.
const (
	MessageSlow         = "worker is slow"
	MessageNoLongerSlow = "worker is no longer slow"
	MessageRestarted    = "task is behind, starts elsewhere"
	MessageCopyStarted  = "copy of a task is started"
	// MessageCopyFinished: the copy completed the task first.
	MessageCopyFinished = "copy is done first, the other run is stopped"
	// MessageCopyStopped: the original run completed the task first.
	MessageCopyStopped = "copy is stopped"
)

const (
	// restoreLatency is about how long a task takes to resume from a checkpoint.
	restoreLatency = 500 * time.Millisecond
	// startLatency is about how long a start takes from its decision, including the commit.
	startLatency = 100 * time.Millisecond
)

// maxRelocationSearches bounds the tasks for which one housekeeping round searches free capacity
// on normal workers.
const maxRelocationSearches = 32

// relocateStragglers relocates tasks on slow workers that would end clearly sooner elsewhere.
// Each gets capacity of a normal worker that is reserved for no other task.
//
// If a third of a large, full pool becomes slow, thousands of tasks are stragglers at a time and
// hardly any has free capacity elsewhere. A round therefore makes a bounded number of searches.
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
	capacities := map[mothferry.ServiceID]*relocationCapacity{}
	searches := 0
	// A round continues where the last one stopped, so that no worker is left out for good.
	first, _ := slices.BinarySearchFunc(s.sortedWorkers, s.stragglerScanFrom, byID)
	for i := range s.sortedWorkers {
		w := s.sortedWorkers[(first+i)%len(s.sortedWorkers)]
		if !w.slowStatus.Slow || w.unresponsive || !w.fenced {
			continue
		}
		if searches >= maxRelocationSearches {
			s.stragglerScanFrom = w.at.Worker
			break
		}
		for _, t := range w.tasksWhere(func(t *task) bool { return t.relocatable(w, s.Limits) && !s.awaitsFormerRun(t) }) {
			r := capacities[w.Service]
			if r == nil {
				r = s.relocationCapacityOf(w.Service, now)
				capacities[w.Service] = r
			}
			if !r.cannotFit(t.step.spec) && s.relocate(t, r, now) {
				searches++
			}
		}
	}
}

// awaitsRelocation reports whether a task that was stopped as a straggler has not restarted yet.
func (t *task) awaitsRelocation() bool {
	return t.reservedOn != nil && !t.job.state.Final() && t.phase != phaseRunning && t.phase != phaseDone
}

// relocationCapacity is the free capacity of a service's normal workers, less what is reserved for
// tasks that were stopped to restart there.
type relocationCapacity struct {
	freeCapacity
	index map[*worker]int
	// corrected caches the results of correctedSubmission.
	corrected map[*job]mfjob.Submission
}

// relocationCapacityOf returns the free capacity of a service's normal workers.
func (s *State) relocationCapacityOf(service mothferry.ServiceID, now time.Time) *relocationCapacity {
	r := &relocationCapacity{freeCapacity: freeCapacity{effort: &s.effort}, index: map[*worker]int{}, corrected: map[*job]mfjob.Submission{}}
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

// reserve takes a task's capacity from a worker, or from the first other one on which it fits.
func (r *relocationCapacity) reserve(t *task, w *worker) {
	spec := t.step.spec
	i, known := r.index[w]
	if !known || !spec.Reservation().Fits(r.free[i]) {
		i = -1
		if !r.cannotFit(spec) {
			i = slices.IndexFunc(r.workers, func(o *worker) bool { return hasLabel(o, spec.Label) && spec.Reservation().Fits(r.free[r.index[o]]) })
		}
	}
	if i < 0 {
		r.searchFailed(spec)
		return
	}
	r.free[i] = r.free[i].Sub(spec.Reservation())
}

// relocatable reports whether a task might end sooner if it is relocated.
func (t *task) relocatable(w *worker, l Limits) bool {
	if t.phase != phaseRunning || !t.measuresSpeed() || t.copyOf != nil || t.copyTask != nil || t.suspect() || t.job.state.Final() {
		return false
	}
	if _, known := t.track.Rate(); !known {
		return false
	}
	m := t.mitigation()
	if m == mitigationNone {
		return false
	}
	remaining, elsewhere := t.expectedTimes(w, m, l)
	return remaining > elsewhere
}

// mitigation is how a straggler is relocated.
type mitigation int

const (
	mitigationNone mitigation = iota
	// mitigationCopy: a copy runs in parallel with the original run.
	mitigationCopy
	// mitigationRestart: the run is stopped, and the task then restarts elsewhere.
	mitigationRestart
)

// mitigation returns how the task may be relocated. One that may have a copy is restarted instead
// if its account's limit has no capacity left for two runs.
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

// expectedTimes returns how long a task on a slow worker still takes there, and how long until it
// would end on a normal one: from its checkpoint, or from its start if it has none.
func (t *task) expectedTimes(w *worker, m mitigation, l Limits) (remaining, elsewhere time.Duration) {
	total := float64(t.track.TotalDuration(t.step.spec.Estimate))
	left := total * (1 - float64(t.percent)/fullPace)
	if m == mitigationCopy {
		// The original run isn't stopped, so the copy gets no newer checkpoint than the present
		// one. The estimate is for the whole task.
		return time.Duration(left), startLatency + time.Duration(total*w.slowStatus.RelativeSpeed())
	}
	elsewhere = l.StopTimeout/2 + startLatency
	if t.step.spec.Checkpoint {
		return time.Duration(left), elsewhere + restoreLatency + time.Duration(left*w.slowStatus.RelativeSpeed())
	}
	return time.Duration(left), elsewhere + time.Duration(total*w.slowStatus.RelativeSpeed())
}

// relocate copies or restarts a straggler on a normal worker if its job gains by that. It reports
// whether it searched for free capacity.
func (s *State) relocate(t *task, r *relocationCapacity, now time.Time) bool {
	w, m := t.worker, t.mitigation()
	if m == mitigationNone {
		return false
	}
	st := mfstraggler.Straggler{}
	st.Remaining, st.Elsewhere = t.expectedTimes(w, m, s.Limits)
	st.UntilLate, st.UntilTooLate = s.timeLeft(t, r, now)
	if !st.ShouldRestart() {
		return false
	}
	target := s.relocationTarget(t, m, r, now)
	if target == nil {
		return true
	}
	if room := s.rowRoomOf(t.job); m == mitigationCopy && !room.takeCopy(t, target) {
		s.recordRowFull(t.job, now)
		return true
	}
	message := MessageRestarted
	if m == mitigationCopy {
		message = MessageCopyStarted
	}
	s.emit(Decision{Message: message, Job: t.job.id, Worker: w.at.Worker, Fields: map[string]any{
		"service": w.Service, "step": t.name.Step, "index": t.name.Index, "run": t.run, "percent": t.percent, "other": target.at.Worker,
		"speed": round(w.slowStatus.Speed.Relative), "uncertainty": round(w.slowStatus.Speed.Uncertainty),
		"here_ms": st.Remaining.Milliseconds(), "there_ms": st.Elsewhere.Milliseconds(), "left_ms": st.UntilLate.Milliseconds(),
	}})
	r.free[r.index[target]] = r.free[r.index[target]].Sub(t.step.spec.Reservation())
	if m == mitigationCopy {
		s.planCopy(t, target)
		return true
	}
	t.avoidWorker = w.at.Worker
	t.restarts++
	if t.reservedOn == nil {
		s.relocating = append(s.relocating, t)
	}
	t.reservedOn = target
	s.stop(t, now)
	return true
}

// relocationTarget returns the normal worker with the best score for a task among those that have
// unreserved free capacity for it; nil if there is none.
func (s *State) relocationTarget(t *task, m mitigation, r *relocationCapacity, now time.Time) *worker {
	spec := t.step.spec
	// A copy starts immediately, so it needs its ticket now.
	ticket := m == mitigationCopy && s.queueOf(t.job).Advised
	var best *worker
	bestScore, fits := 0.0, false
	for i, o := range r.workers {
		if !spec.Reservation().Fits(r.free[i]) || !hasLabel(o, spec.Label) {
			continue
		}
		fits = true
		if ticket && !s.hasTicket(t.step, o, now) || s.stepTasksOn(t.step, o) >= perWorkerLimit(spec.PerWorker) {
			continue
		}
		if score := s.score(t, o); best == nil || score > bestScore {
			best, bestScore = o, score
		}
	}
	if !fits {
		r.searchFailed(spec)
	}
	return best
}

// timeLeft returns how long a task may still take for its job to meet its objective, and for its
// job not to be too late.
func (s *State) timeLeft(t *task, r *relocationCapacity, now time.Time) (untilLate, untilTooLate time.Duration) {
	j, q := t.job, s.queueOf(t.job)
	from := j.submission.Accepted
	if at := j.submission.ScheduledAt(t.name.Occurrence); !at.IsZero() {
		from = at
	}
	corrected, known := r.corrected[j]
	if !known {
		corrected = s.correctedSubmission(j)
		r.corrected[j] = corrected
	}
	after := corrected.CriticalPathAfter(t.name.Step)
	objective := mfjob.Objective(q.Stretch, q.Latency, corrected.CriticalPath())
	return from.Add(objective).Sub(now) - after, from.Add(mfjob.TooLateFactor*objective).Sub(now) - after
}

// correctedSubmission returns a job's submission with the estimates replaced by the expected
// durations of the tasks' classes, where these have a baseline.
func (s *State) correctedSubmission(j *job) mfjob.Submission {
	corrected := j.submission
	corrected.Steps = slices.Clone(corrected.Steps)
	for i := range corrected.Steps {
		spec := &corrected.Steps[i]
		if expected, known := s.baselines.Expected(speedClassOf(j, i, false), spec.Estimate); known {
			spec.Estimate = expected
		}
	}
	return corrected
}

// stallTimeout returns how long a task may make no progress before it counts as hung. If its class
// has a baseline, it follows from the expected time per percent. Otherwise, and for a task that has
// a checkpoint or was stopped as stuck before, it is longer.
func (s *State) stallTimeout(t *task) time.Duration {
	timeout := stuckAfter + time.Duration(stuckEstimateShare*float64(t.step.spec.Estimate))
	if s.Off[mothferry.FeatureStragglers] || !t.measuresSpeed() || t.stuckStops > 0 || t.checkpoint != "" {
		return timeout
	}
	expected, known := s.baselines.Expected(t.speedClass(t.worker), t.step.spec.Estimate)
	if !known {
		return timeout
	}
	return min(timeout, mfstraggler.HangTimeout(max(expected, t.step.spec.Estimate), t.worker.slowStatus.RelativeSpeed()))
}
