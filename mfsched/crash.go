package mfsched

import (
	"cmp"
	"time"

	"mothferry"
	"mothferry/mfjob"
)

// Crash attribution. A task that crashes every worker it starts on takes a dozen or more other
// tasks down with it each time, and the worker is lost for seconds. If its crashes were not
// counted, it would be restarted at once and crash worker after worker, six a second, until
// its pool serves nobody. The log shows such a task by ends of workers that name the same run
// in the field newest each time.
//
// A crashed worker can't report which run crashed it. The owner only learns that the worker's
// incarnation has ended, and counts that against all runs on it, most of them uninvolved. The
// task at fault differs from the others in two ways: its run is among the youngest on the
// worker, and it crashes the next worker as well. So each task whose run was younger than its
// early-crash window when the worker ended, perhaps by a crash, is tried next on a worker that
// gets no further tasks until the window of the new run has passed. A second crash in that
// time shows that the task is at fault. Members of a gang can't be tried like that.

const (
	// earlyCrashWindow is the age of a run beyond which a crash of its worker is little
	// evidence against it. A busy worker starts a run every 30 ms, so a crash finds a few
	// younger ones.
	earlyCrashWindow = 100 * time.Millisecond
	// earlyCrashWindowLasting is the same for a lasting task. Crashes only delay its next
	// start and don't fail it, so its window is longer and catches slower crashes as well.
	earlyCrashWindowLasting = 400 * time.Millisecond
	// earlyCrashLimit is how many early crashes fail a task: crashes of its worker within the
	// early-crash window of its run. The second one usually happens while the task is on
	// trial, except for members of a gang.
	earlyCrashLimit = 2
	// earlyCrashLimitLasting is how many early and possible crashes (Crashes.Early and Unseen)
	// delay the next start of a lasting task by lastingRestartDelay. The task is not failed,
	// as that would end the others of its step, which are serving. Known crashes that are not
	// early don't count: the task is there whenever its worker crashes for another reason. The
	// delay is shorter than those who use the task tolerate, as it may not be at fault.
	earlyCrashLimitLasting = 3
	lastingRestartDelay    = 4 * time.Second
	// possibleCrashLimit is how many known and possible crashes fail a task, however old its
	// runs were, if at least minKnownCrashes of them are known. A task must be started fewer
	// than three times after its third crash, and one crash may not be known yet.
	possibleCrashLimit = 4
	minKnownCrashes    = 2
	// unresolvedEndLimit is how many known and possible crashes fail a task even if none is
	// known: a run that crashes its worker at once is never reported to have started. From
	// minUnresolvedEnds of them on, failed runs of the task are added, as each causes one more
	// start of a task that must be started fewer than three times after its third crash.
	unresolvedEndLimit = 5
	minUnresolvedEnds  = 3
	// defaultEstimate is the assumed duration of a task without an estimate when wasRunningAt
	// decides whether its run may have ended before its worker.
	defaultEstimate = 200 * time.Millisecond
	// crashResetAfter is how long ago the run of a lasting task that is serving now must have
	// been confirmed for earlier crashes to be forgotten: over its lifetime the task sees many
	// workers end.
	crashResetAfter = 2 * time.Second
	// endCauseTimeout is how long the machine list may take to show why an incarnation ended:
	// it is read every 0.15 s, except during outages.
	endCauseTimeout = 30 * time.Second
	// endCauseWait is the restart delay of a task that was started just before its worker
	// ended for a cause not known yet. The machine list is read four times in it. Restarted at
	// once, a task can crash five workers before the first crash is known.
	endCauseWait = 600 * time.Millisecond
	// trialPollWait is how long a poll of a worker on trial waits for an end. Only an answer
	// shows that the worker is alive after the early-crash window, and until then it gets no
	// other task.
	trialPollWait = earlyCrashWindow
	// maxTrialShare is the largest fraction of a service's usable workers that may run trials at
	// the same time; one always may. A worker on trial gets no other task and may crash.
	maxTrialShare = 1.0 / 3
	// The likeliest cause of a crash is the run whose start was sent last before it. A trial of
	// its task may crash another worker, which a busy service can't spare. So after a first
	// early crash the trial waits until at most maxTrialLoad of the service's cores is
	// reserved, but at most for maxTrialDelay, and at most for maxTrialDelayModerate after the
	// crash or after the load was last seen above moderateLoad. Lasting tasks don't wait.
	maxTrialLoad          = 0.2
	moderateLoad          = 0.5
	maxTrialDelay         = 10 * time.Second
	maxTrialDelayModerate = 2 * time.Second
)

// unresolvedRun is a run that ended with its worker, which may have crashed.
type unresolvedRun struct {
	task *task
	// confirmed says that the run counts as having been there when the worker ended, by
	// wasRunningAt, early that its known age was also within the early-crash window.
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
// known. A run that may not have been there when the worker crashed stays counted as unseen.
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
// They stay counted as possible crashes, but their tasks are no longer suspected for them.
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

// wasRunningAt reports whether a run had started and was most likely still there when its
// worker ended, which was last alive at lastAlive: less than half of the run's estimated
// remaining time had passed since it was last seen. A run may have done its work, and its
// worker crashed for another reason before that was reported. A lasting task counts as there
// once its run is confirmed.
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

// suspect reports whether a task has to be tried on a worker that gets no further tasks
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
func (t *task) extendPostponement(load float64, now time.Time) {
	if now.Before(t.trialDeadline) && load > moderateLoad {
		t.trialPostponedUntil = now.Add(maxTrialDelayModerate)
	}
}

// trialPostponed reports whether the task's trial waits for a lightly loaded service.
func (t *task) trialPostponed(load float64, now time.Time) bool {
	return now.Before(t.trialDeadline) && now.Before(t.trialPostponedUntil) && load > maxTrialLoad
}

// mayStartTrial reports whether one more of a service's usable workers may try the task now.
func (t *task) mayStartTrial(capacity *placementCapacity, now time.Time) bool {
	if t.trialPostponed(capacity.load(), now) {
		return false
	}
	return capacity.trials < max(1, int(maxTrialShare*float64(len(capacity.workers))))
}

// resetCrashes forgets crashes under a lasting task that has run for a while.
func (s *State) resetCrashes(t *task, now time.Time) {
	if t.crashes == (mfjob.Crashes{}) || t.percent < fullPace || now.Sub(t.confirmedAt) < crashResetAfter {
		return
	}
	t.crashes = mfjob.Crashes{}
	s.markDirty(t.job)
}
