package mfsched

import (
	"cmp"
	"time"

	"mothferry"
	"mothferry/mfjob"
)

// Crash attribution. A task that crashes every worker it starts on takes a dozen or more other
// tasks down with it each time, and the worker is lost for seconds. Restarted without any
// memory of that, it crashes worker after worker, six a second, until its pool serves nobody;
// the log then shows ends of workers with the same run in `newest` each time. A crashed worker
// lists no end of the run. Only the end of its incarnation shows the crash, which is counted
// against all runs there, most of them uninvolved.
//
// The task differs from the uninvolved ones in two ways. It is among the youngest runs of the
// worker, and it crashes the next worker as well where it is the only candidate: after an
// early crash each of these runs is tried on a worker that gets nothing else until the run's
// early-crash window has passed.

const (
	// earlyCrashWindow is the age of a run beyond which a crash of its worker is little
	// evidence against it. A busy worker starts a run every 30 ms, so a crash finds a few
	// younger ones.
	earlyCrashWindow = 100 * time.Millisecond
	// earlyCrashWindowLasting is the same for a lasting task. Crashes only delay its next
	// start and don't fail it, so its window is longer and catches slower crashes as well.
	earlyCrashWindowLasting = 400 * time.Millisecond
	// earlyCrashLimit is how many early crashes fail a task. The second one happens while the
	// task is tried alone.
	earlyCrashLimit = 2
	// earlyCrashLimitLasting is how many early crashes and unresolved ends delay the next
	// start of a lasting task by lastingRestartDelay. The task is not failed, as that would
	// end the others of its step, which are serving. Crashes that are not early are no
	// evidence, as the task is there whenever its worker crashes for another reason. The delay
	// is shorter than its users tolerate, in case the task can run.
	earlyCrashLimitLasting = 3
	lastingRestartDelay    = 4 * time.Second
	// possibleCrashLimit is how many ends of workers fail a task, however late they are, if
	// minKnownCrashes of them are known crashes and the others unresolved: fewer than three
	// starts may follow the third crash, and one crash may still be unseen.
	possibleCrashLimit = 4
	minKnownCrashes    = 2
	// unresolvedEndLimit is how many ends of workers fail a task even if none is a known crash:
	// a run that crashes its worker at once is never reported to have started. From
	// minUnresolvedEnds on, failed runs of the task count as well, as each brings one more
	// start.
	unresolvedEndLimit = 5
	minUnresolvedEnds  = 3
	// defaultEstimate is the assumed duration of a task without an estimate.
	defaultEstimate = 200 * time.Millisecond
	// crashResetAfter is how long a lasting task must have run and be serving before earlier
	// crashes are forgotten: over its lifetime it sees many workers end.
	crashResetAfter = 2 * time.Second
	// endCauseTimeout is how long the machine list may take to show why an incarnation ended:
	// it is read every 0.15 s, except during outages.
	endCauseTimeout = 30 * time.Second
	// endCauseWait is the restart delay of a task that was started just before its worker
	// ended for a cause not known yet. The machine list is read four times in it. Restarted at
	// once, such a task had crashed five workers by the time the first crash was reported.
	endCauseWait = 600 * time.Millisecond
	// trialPollWait is how long a poll of a worker with a trial waits for an end.
	trialPollWait = earlyCrashWindow
	// maxTrialShare is the largest fraction of a service's usable workers that may run trials at
	// the same time; one always may.
	maxTrialShare = 1.0 / 3
	// maxTrialLoad is the largest fraction of a service's cores in use at which the likeliest
	// cause of a crash, the run that was ordered last before it, is tried without further
	// delay. The trial may crash another worker, which a busy service can't spare.
	// maxTrialDelay is the longest delay at any load, maxTrialDelayModerate the longest while
	// at most moderateLoad of the cores is in use.
	maxTrialLoad          = 0.2
	moderateLoad          = 0.5
	maxTrialDelay         = 10 * time.Second
	maxTrialDelayModerate = 2 * time.Second
)

// unresolvedRun is a run that ended with its worker, which may have crashed.
type unresolvedRun struct {
	task *task
	// confirmed says that the run is known to have been there when the worker ended, early
	// that its known age was also within the early-crash window.
	confirmed, early bool
}

// unresolvedEnd is the end of an incarnation whose cause the machine list may yet show.
type unresolvedEnd struct {
	at   time.Time
	runs []unresolvedRun
}

// attributeEnd counts the end of a worker's incarnation against the runs that ended with it.
// It returns the tasks whose jobs fail because of it.
func (s *State) attributeEnd(w *worker, ended []*task, cause IncarnationEndCause, now time.Time) []*task {
	runs := w.expiredRuns
	lastAlive := now
	if w.unresponsive {
		lastAlive = w.unresponsiveSince
	}
	last := lastSent(ended, lastAlive)
	for _, t := range ended {
		counted := t.origin()
		r := unresolvedRun{task: counted, confirmed: t.wasRunningAt(lastAlive)}
		if r.confirmed && !t.lastStartSent.IsZero() && t.age() < t.earlyCrashWindow() {
			r.early, counted.suspectedCrashAt = true, now
			possibleFirstCrash := cause != IncarnationEndPlanned && counted.crashes.Early == 0 && !t.job.state.Final()
			if possibleFirstCrash && t.lastStartSent.Equal(last) && !t.step.spec.Lasting && !t.step.spec.Gang {
				s.postponeTrial(counted, now)
			}
		}
		runs = append(runs, r)
		counted.crashes.Unseen++
		if !t.job.state.Final() {
			s.markDirty(t.job)
		}
	}
	// A worker that drains or is being evacuated may have ended for that reason.
	if cause == IncarnationCrashed && (w.Draining || s.toEvacuate[w.at.Worker]) {
		cause = IncarnationEndUnknown
	}
	if len(runs) > 0 {
		s.unresolvedEnds[w.at.Worker] = unresolvedEnd{at: now, runs: runs}
	}
	return s.resolveEnd(w.at.Worker, cause)
}

// lastSent returns when the latest start was sent among the runs confirmed to have been on the
// worker when it ended, or zero if there are none.
func lastSent(runs []*task, lastAlive time.Time) time.Time {
	var last time.Time
	for _, t := range runs {
		if t.lastStartSent.After(last) && t.wasRunningAt(lastAlive) {
			last = t.lastStartSent
		}
	}
	return last
}

// postponeTrial delays the trial of a task until its service is lightly loaded, but for no
// longer than maxTrialDelay.
func (s *State) postponeTrial(t *task, now time.Time) {
	t.trialPostponedUntil, t.trialDeadline = now.Add(maxTrialDelayModerate), now.Add(maxTrialDelay)
	s.emit(Decision{Message: "trial is postponed", Job: t.job.id, Worker: t.worker.at.Worker, Fields: map[string]any{
		"step": t.name.Step, "index": t.name.Index, "run": t.run, "max_delay_ms": maxTrialDelay.Milliseconds(),
	}})
}

// resolveEnd applies the cause of an incarnation's end to the runs that ended with it; an
// unknown cause leaves them unresolved. It returns the tasks whose jobs fail because of it.
func (s *State) resolveEnd(id mothferry.WorkerID, cause IncarnationEndCause) []*task {
	var toFail []*task
	for _, r := range s.unresolvedEnds[id].runs {
		// The row of a finished job may be deleted already and must not be written again.
		if r.task.job.state.Final() {
			continue
		}
		if cause != IncarnationEndUnknown {
			r.resolve(cause)
			s.markDirty(r.task.job)
		}
		if r.task.exceedsCrashLimits() {
			toFail = append(toFail, r.task)
		}
	}
	if cause != IncarnationEndUnknown {
		delete(s.unresolvedEnds, id)
	}
	return toFail
}

// resolve updates the crash counts of a run's task once the cause of its worker's end is
// known.
func (r unresolvedRun) resolve(cause IncarnationEndCause) {
	r.task.suspectedCrashAt = time.Time{}
	c := &r.task.crashes
	if cause == IncarnationCrashed && !r.confirmed {
		return
	}
	c.Unseen = max(0, c.Unseen-1)
	if cause != IncarnationCrashed {
		r.task.trialDeadline = time.Time{}
		return
	}
	c.Known++
	if r.early {
		c.Early++
	}
}

// expireUnresolved drops ends whose cause the machine list has not shown for endCauseTimeout.
func (s *State) expireUnresolved(now time.Time) {
	for id, e := range s.unresolvedEnds {
		if now.Sub(e.at) <= endCauseTimeout {
			continue
		}
		delete(s.unresolvedEnds, id)
		for _, r := range e.runs {
			r.task.suspectedCrashAt = time.Time{}
		}
	}
}

// confirmAlive records that a worker has answered, and so has not crashed under the runs whose
// leases expired there.
func (s *State) confirmAlive(w *worker) {
	for _, r := range w.expiredRuns {
		r.resolve(IncarnationEndPlanned)
		// The row of a finished job may be deleted already and must not be written again.
		if !r.task.job.state.Final() {
			s.markDirty(r.task.job)
		}
	}
	w.expiredRuns = nil
}

// wasRunningAt reports whether a run had started and can't have ended before its worker, which
// was last alive at lastAlive. A run may have done its work, and its worker crashed for
// another reason before that was reported.
func (t *task) wasRunningAt(lastAlive time.Time) bool {
	switch {
	case t.confirmedAt.IsZero():
		return false
	case t.step.spec.Lasting:
		return true
	}
	seen := t.confirmedAt
	if t.phase == phaseRunning && t.worker.clockReadAt.After(seen) {
		seen = t.worker.clockReadAt
	}
	left := time.Duration(float64(cmp.Or(t.step.spec.Estimate, defaultEstimate)) * float64(fullPace-t.percent) / fullPace)
	return lastAlive.Sub(seen) < left/2
}

// exceedsCrashLimits reports whether enough workers have ended under a task to fail its job.
func (t *task) exceedsCrashLimits() bool {
	c := t.crashes
	ends := c.Known + c.Unseen
	return t.phase != phaseDone && !t.step.spec.Lasting &&
		(c.Early >= earlyCrashLimit || c.Known >= minKnownCrashes && ends >= possibleCrashLimit || ends >= minUnresolvedEnds && ends+t.failures >= unresolvedEndLimit)
}

// delayRestart delays the next start of a lasting task under which workers seem to crash.
func (s *State) delayRestart(t *task, now time.Time) {
	if !t.step.spec.Lasting || t.crashes.Early+t.crashes.Unseen < earlyCrashLimitLasting {
		return
	}
	t.notBefore = now.Add(lastingRestartDelay)
	s.emit(Decision{Message: "task is held back, workers crash under it", Job: t.job.id, Fields: map[string]any{
		"step": t.name.Step, "index": t.name.Index, "run": t.run,
		"early": t.crashes.Early, "unseen": t.crashes.Unseen, "pause_ms": lastingRestartDelay.Milliseconds(),
	}})
}

// failJobsOf fails the jobs of tasks that exceed their crash limits.
func (s *State) failJobsOf(tasks []*task, now time.Time) {
	for _, t := range tasks {
		if t.job.state.Final() {
			continue
		}
		s.emit(Decision{Message: "task is given up, workers crash under it", Job: t.job.id, Fields: map[string]any{
			"step": t.name.Step, "index": t.name.Index, "run": t.run,
			"crashes": t.crashes.Known, "early": t.crashes.Early, "unseen": t.crashes.Unseen,
		}})
		s.finishJob(t.job, mfjob.StateFailed, now)
	}
}

// suspect reports whether a task has to be tried on a worker that gets nothing else
// meanwhile. The members of a gang run together or not at all and can't be tried alone.
func (t *task) suspect() bool {
	if t.step.spec.Gang {
		return false
	}
	return !t.suspectedCrashAt.IsZero() || t.crashes.Early > 0 || t.crashes.Known > 1 && !t.step.spec.Lasting
}

// earlyCrashWindow returns the early-crash window that applies to the task.
func (t *task) earlyCrashWindow() time.Duration {
	if t.step.spec.Lasting {
		return earlyCrashWindowLasting
	}
	return earlyCrashWindow
}

// awaitsEndCause reports whether a task may not start yet because its last worker may have
// crashed under it.
func (t *task) awaitsEndCause(now time.Time) bool { return now.Sub(t.suspectedCrashAt) < endCauseWait }

// onTrial reports whether a worker runs a trial whose early-crash window has not passed yet.
func (w *worker) onTrial() bool {
	return w.trial != nil && w.trial.worker == w && w.trial.age() < w.trial.earlyCrashWindow()
}

// extendPostponement postpones the task's trial further if its service is loaded.
func (t *task) extendPostponement(workers []*worker, now time.Time) {
	if now.Before(t.trialDeadline) && coreLoad(workers) > moderateLoad {
		t.trialPostponedUntil = now.Add(maxTrialDelayModerate)
	}
}

// trialPostponed reports whether the task's trial waits for a lightly loaded service.
func (t *task) trialPostponed(workers []*worker, now time.Time) bool {
	return now.Before(t.trialDeadline) && now.Before(t.trialPostponedUntil) && coreLoad(workers) > maxTrialLoad
}

// mayStartTrial reports whether one more of a service's usable workers may try the task now.
func (t *task) mayStartTrial(workers []*worker, now time.Time) bool {
	if t.trialPostponed(workers, now) {
		return false
	}
	trials := 0
	for _, w := range workers {
		if w.onTrial() {
			trials++
		}
	}
	return trials < max(1, int(maxTrialShare*float64(len(workers))))
}

// coreLoad returns the fraction of the workers' cores that is in use.
func coreLoad(workers []*worker) float64 {
	var used, capacity mothferry.Millicores
	for _, w := range workers {
		used += w.used.Cores
		capacity += w.Capacity.Cores
	}
	return float64(used) / float64(max(1, capacity))
}

// resetCrashes forgets crashes under a lasting task that has run for a while.
func (s *State) resetCrashes(t *task, now time.Time) {
	if t.crashes == (mfjob.Crashes{}) || t.percent < fullPace || now.Sub(t.confirmedAt) < crashResetAfter {
		return
	}
	t.crashes = mfjob.Crashes{}
	s.markDirty(t.job)
}
