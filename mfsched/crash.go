package mfsched

import (
	"cmp"
	"time"

	"mothferry"
	"mothferry/mfjob"
)

// The load it answers: a task ends each worker that begins it, with a dozen or more other
// tasks on it, and the worker is away for seconds. What goes wrong: started again as if it
// had never run, it ends worker after worker, six a second, until its pool serves nobody. One
// notices by workers whose lives are over while the same run is in `newest` each time. Such a
// worker lists no end, so that only the end of its life tells: it is counted against what ran
// there, most of it bystanders.
//
// Two things tell the task from the bystanders. It is among the runs that the worker had
// not borne for long. And it does it again where it is the only run in question: after an
// early crash each of these is tried on a worker that gets nothing else until the run is
// proven.

// Figures for tasks that end their workers.
const (
	// earlyCrashWindow is how long a worker has to bear a run for a crash after that to say
	// little of it. A busy worker has a start each 30 ms, so that a crash finds a few runs that
	// are newer.
	earlyCrashWindow = 100 * time.Millisecond
	// earlyCrashWindowLasting is the same of a lasting task, which is not given up for it: its next
	// start is only held back, so that slower ones are caught too.
	earlyCrashWindowLasting = 400 * time.Millisecond
	// earlyCrashLimit gives a task up that was begun by two workers which both crashed
	// before it was proven, the second of them while it was tried alone.
	earlyCrashLimit = 2
	// earlyCrashLimitLasting workers that crashed early under a task that lasts, or that may
	// have, hold its next start back for lastingPause: it is not given up, as that would end
	// the others of its step, which are at work. It is there whenever its worker crashes for
	// another reason, so that crashes which are not early say nothing. The pause is shorter than
	// its users bear, in case that it can run.
	earlyCrashLimitLasting = 3
	lastingRestartDelay    = 4 * time.Second
	// possibleCrashLimit gives a task up that may have ended so many workers, however late, if
	// leastCrashes of them are known to have crashed: fewer than three starts may follow
	// the third crash, and one crash may still be unseen.
	possibleCrashLimit = 4
	minKnownCrashes    = 2
	// unresolvedEndLimit gives a task up even if none of so many workers is known to have crashed
	// while it was there: what ends its workers at once is never heard to have begun. From
	// doubtfulEnds on its failures count with them, as each brings one more start.
	unresolvedEndLimit = 5
	minUnresolvedEnds  = 3
	// defaultEstimate is how long a task is taken to run of which nobody said it.
	defaultEstimate = 200 * time.Millisecond
	// crashResetAfter is how long a lasting task must have run and be at work for earlier
	// crashes not to count any more: in its days it sees many workers end.
	crashResetAfter = 2 * time.Second
	// endCauseTimeout is how long the list of machines may take to tell why a life ended: it is
	// read each 0.15 s, but for outages.
	endCauseTimeout = 30 * time.Second
	// endCauseWait is how long a task waits that was begun just before its worker ended
	// for a cause not known yet. The list of machines is read four times in it. Started
	// again at once, such a task had ended five workers by the time the first was told.
	endCauseWait = 600 * time.Millisecond
	// trialPollWait is how long a look waits for an end at a worker with a trial.
	trialPollWait = earlyCrashWindow
	// maxTrialShare is the largest part of a service's usable workers that try tasks at the
	// same time, one at least.
	maxTrialShare = 1.0 / 3
	// maxTrialLoad is the largest share of a service's cores in use at which the likeliest
	// cause of a crash, the run ordered last before it, is tried without further delay. The
	// trial may crash another worker, which a busy service can't spare. maxTrialDelay is the
	// longest delay at any load, maxTrialDelayModerate the longest while at most moderateLoad
	// of the cores is in use.
	maxTrialLoad          = 0.2
	moderateLoad          = 0.5
	maxTrialDelay         = 10 * time.Second
	maxTrialDelayModerate = 2 * time.Second
)

// unresolvedRun is a run that ended with its worker, which may have crashed.
type unresolvedRun struct {
	task *task
	// confirmed says that the run was certainly there when the worker ended, early that the
	// worker is also not known to have borne it for long.
	confirmed, early bool
}

// unresolvedEnd is the end of a life whose cause the list of machines may yet tell.
type unresolvedEnd struct {
	at   time.Time
	runs []unresolvedRun
}

// attributeEnd counts the end of a worker's life against the runs that ended with it. It returns the tasks that
// are to be given up for it.
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
	// What is emptied, or has announced that it leaves, may have ended for that.
	if cause == IncarnationCrashed && (w.Draining || s.toEvacuate[w.at.Worker]) {
		cause = IncarnationEndUnknown
	}
	if len(runs) > 0 {
		s.unresolvedEnds[w.at.Worker] = unresolvedEnd{at: now, runs: runs}
	}
	return s.resolveEnd(w.at.Worker, cause)
}

// lastSent returns when the latest start was ordered among the runs that were certainly on
// the worker when it ended, or zero if there are none.
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

// resolveEnd takes in why a life ended. It returns the tasks that are to be given up for it.
func (s *State) resolveEnd(id mothferry.WorkerID, cause IncarnationEndCause) []*task {
	var guilty []*task
	for _, r := range s.unresolvedEnds[id].runs {
		// A job that is over may be forgotten already: its row must not be written anew.
		if r.task.job.state.Final() {
			continue
		}
		if cause != IncarnationEndUnknown {
			r.resolve(cause)
			s.markDirty(r.task.job)
		}
		if r.task.exceedsCrashLimits() {
			guilty = append(guilty, r.task)
		}
	}
	if cause != IncarnationEndUnknown {
		delete(s.unresolvedEnds, id)
	}
	return guilty
}

// resolve counts a run that was in doubt by why its worker ended.
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

// expireUnresolved drops ends of which the list of machines has told nothing for long.
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

// confirmAlive takes in that a worker has answered: it has not crashed under what lapsed there.
func (s *State) confirmAlive(w *worker) {
	for _, r := range w.expiredRuns {
		r.resolve(IncarnationEndPlanned)
		// A job that is over may be forgotten already: its row must not be written anew.
		if !r.task.job.state.Final() {
			s.markDirty(r.task.job)
		}
	}
	w.expiredRuns = nil
}

// wasRunningAt reports whether a run has begun and can't have ended before its worker did,
// which was alive at the latest at a time. A run may have done its work, and its worker
// crashed for another reason before it was heard of.
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

// exceedsCrashLimits reports whether so many workers have crashed under a task that it is given up.
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

// failJobsOf ends the jobs of tasks under which workers crash.
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

// earlyCrashWindow is how long a worker has to bear a run of a task for it to be proven.
func (t *task) earlyCrashWindow() time.Duration {
	if t.step.spec.Lasting {
		return earlyCrashWindowLasting
	}
	return earlyCrashWindow
}

// awaitsEndCause reports whether a task may not start yet, as its last worker may have
// crashed under it.
func (t *task) awaitsEndCause(now time.Time) bool { return now.Sub(t.suspectedCrashAt) < endCauseWait }

// onTrial reports whether a worker tries a task whose run is not proven yet.
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

// coreLoad returns the share of the workers' cores that is in use.
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
