package mfsched

import (
	"time"

	"mothferry"
	"mothferry/mfjob"
)

// pollAnswered takes in a worker's answer to a look.
func (s *State) pollAnswered(e PollAnswered, now time.Time) {
	w, ok := s.workers[e.Worker]
	if !ok {
		return
	}
	look := w.closePoll(e.Number)
	if !s.acceptIncarnation(w, e.Report, now) {
		return
	}
	w.nextPoll = w.pollSent.Add(minPollInterval)
	s.countAnswer(w, e.Sent, now)
	w.observeClock(e.Report.Clock, look, now)
	if w.unresponsive || !w.fenced {
		s.emit(Decision{Message: "worker answers", Worker: e.Worker, Fields: map[string]any{"running": len(e.Report.Running), "ended": len(e.Report.Ended), "tasks": len(w.tasks)}})
	}
	w.unresponsive = false
	s.confirmAlive(w)
	if !w.fenced {
		// An earlier owner may have asked for any lease that the worker gives.
		w.leaseUntil = max(w.leaseUntil, e.Report.Clock+mothferry.WorkerClock(s.Limits.MaxLease))
	}
	before := w.lastEndSeen
	for _, end := range e.Report.Ended {
		if end.Number > before {
			s.runEnded(w, end, now)
			w.lastEndSeen = max(w.lastEndSeen, end.Number)
		}
	}
	listed := map[mothferry.TaskName]bool{}
	for _, r := range e.Report.Running {
		if s.runReported(w, r, now) {
			listed[r.Task] = true
		}
	}
	w.dropEndedOrphans(e.Report.Running, e.Sent)
	if s.Limits.MaxEndsListed > 0 && len(e.Report.Ended) >= s.Limits.MaxEndsListed {
		// There may be more ends, of tasks that would be taken for missing.
		w.nextPoll = now
		return
	}
	for _, t := range w.tasksWhere(func(t *task) bool { return !listed[t.name] }) {
		s.runMissing(w, t, e.Sent, now)
	}
	w.fenced = true
	s.adjustPace(w, now)
}

func (s *State) pollFailed(e PollFailed, now time.Time) {
	w, ok := s.workers[e.Worker]
	if !ok {
		return
	}
	w.closePoll(e.Number)
	if s.sentBeforeRestart(e.Worker, e.Sent) {
		return
	}
	if e.Result == ResultIncarnationEnded {
		w.nextPoll = now.Add(pollRetryDelay)
		s.workerEnded(e.Worker, IncarnationEndUnknown, now, now)
		return
	}
	if s.pollLost(w, e.Sent, now) {
		return
	}
	w.nextPoll = now.Add(pollRetryDelay)
	if !w.unresponsive {
		w.nextPoll, w.unresponsiveSince = now, now
		s.emit(Decision{Message: "worker does not answer", Worker: e.Worker, Fields: map[string]any{"tasks": len(w.tasks), "result": e.Result}})
	}
	w.unresponsive = true
}

// runReported takes in one entry of what a worker runs. It reports whether the
// entry is the run that the task is meant to have there.
func (s *State) runReported(w *worker, r mothferry.RunningTask, now time.Time) bool {
	t := s.lookUpAt(r.Task, w.at.Worker)
	if (t == nil || t.worker != w || t.run != r.Run) && !s.adoptRun(w, r, now) {
		stray := runID{task: r.Task, run: r.Run}
		if _, told := w.orphans[stray]; !told {
			s.logOrphan(w, stray)
		}
		s.stopOrphan(w, stray, now)
		return false
	}
	t.recordCheckpoint(r.Checkpoint, r.Percent)
	if t.phase == phaseSent || t.phase == phaseUnresolved {
		t.phase = phaseRunning
		t.confirmedAt, t.unchangedFor = now, 0
		if !t.inheritedAt.IsZero() {
			t.inheritedAt = now
		}
	}
	if t.phase == phaseStopping {
		s.resendStop(t, now)
	}
	t.unchangedFor += w.lastAnswer.covered
	if r.Percent != t.percent {
		t.percent, t.unchangedFor = r.Percent, 0
	}
	s.recordSpeedProgress(t, w, now)
	t.tailLatency = r.Tail
	if t.step.spec.Lasting {
		t.updateUnavailableSince(now)
		s.resetCrashes(t, now)
	}
	return true
}

// updateUnavailableSince keeps since when a lasting task is away.
func (t *task) updateUnavailableSince(now time.Time) {
	if t.percent >= fullPace {
		t.unavailableSince = time.Time{}
		return
	}
	if t.unavailableSince.IsZero() {
		t.unavailableSince = now
	}
}

// stopOrphan ends a run that should not be there: its job is over, or its task
// was given up on this worker. What it takes is known as long as what was handed in for its job is.
func (s *State) stopOrphan(w *worker, r runID, now time.Time) {
	if now.Sub(w.orphans[r].sentAt) < stopRetryDelay {
		return
	}
	stop := orphanStop{sentAt: now}
	if j, known := s.jobs[r.task.Job]; known && r.task.Step < len(j.submission.Steps) {
		of := &j.submission.Steps[r.task.Step]
		stop.reserved, stop.need, stop.account = of.Room(), of.Need, j.account
	}
	w.orphans[r] = stop
	s.emit(Stop{At: w.at, Task: r.task, Run: r.run})
}

// logOrphan logs which run is stopped as a stray, and what is known of its task instead.
func (s *State) logOrphan(w *worker, r runID) {
	d := Decision{Message: "run is not its task's, told to stop", Job: r.task.Job, Worker: w.at.Worker, Fields: map[string]any{
		"occurrence": r.task.Occurrence, "step": r.task.Step, "index": r.task.Index, "run": r.run, "first_look": !w.fenced,
	}}
	if t := s.lookUp(r.task); t != nil {
		d.Fields["known_run"], d.Fields["known_phase"], d.Fields["state"] = t.run, t.phase.String(), t.job.state
		if t.worker != nil {
			d.Fields["known_worker"] = t.worker.at.Worker
		}
	}
	s.emit(d)
}

func (s *State) resendStop(t *task, now time.Time) {
	if now.Sub(t.stopSentAt) >= stopRetryDelay {
		t.stopSentAt = now
		s.emit(Stop{At: t.worker.at, Task: t.name, Run: t.run})
	}
}

// runMissing handles a task that its worker neither runs nor lists as ended.
func (s *State) runMissing(w *worker, t *task, looked, now time.Time) {
	switch t.phase {
	case phaseUnresolved, phaseStopping:
		switch {
		case !w.fenced && !t.mayStartLate(looked):
			// The first look of this epoch: an order of an earlier owner that
			// has not arrived by now is refused for its epoch.
			s.logInheritedMissing(w, t)
			s.requeue(t, now)
		case !t.stopAnsweredAt.IsZero() && t.stopAnsweredAt.Before(looked):
			// The stop was carried out before the look, so that a start that
			// is still under way is refused for its run.
			s.requeue(t, now)
		default:
			s.resendStop(t, now)
		}
	case phaseRunning:
		if t.confirmedAt.Before(looked) {
			s.emit(Decision{Message: "run is missing at its worker", Job: t.job.id, Worker: w.at.Worker, Fields: map[string]any{"step": t.name.Step, "index": t.name.Index, "run": t.run}})
			t.phase = phaseUnresolved
			s.resendStop(t, now)
		}
	}
}

// logInheritedMissing logs that a lasting task's run is not where the former owner stored it to be. Others are
// not told one by one: after a long silence all of them may be gone.
func (s *State) logInheritedMissing(w *worker, t *task) {
	if !t.step.spec.Lasting {
		return
	}
	s.emit(Decision{Message: "inherited run is not at its worker", Job: t.job.id, Worker: w.at.Worker, Fields: map[string]any{
		"step": t.name.Step, "index": t.name.Index, "run": t.run,
	}})
}

// requeue lets a task wait again whose run is known to be over.
func (s *State) requeue(t *task, now time.Time) {
	s.release(t)
	t.unavailableSince = now
	s.markDirty(t.job)
}

// runEnded takes in one end that a worker lists for the first time.
func (s *State) runEnded(w *worker, e mothferry.EndedTask, now time.Time) {
	t := s.lookUpAt(e.Task, w.at.Worker)
	if t == nil {
		return
	}
	s.markDirty(t.job)
	current := t.worker == w && t.run == e.Run
	if current {
		t.recordCheckpoint(e.Checkpoint, t.percent)
	}
	s.updateHealth(w, t, e.Cause, now)
	if e.Cause == mothferry.EndDone && !t.step.spec.Lasting {
		if current {
			s.recordSpeedEnd(t, w, now)
		}
		s.taskDone(t.origin(), w, now)
		return
	}
	if !current {
		return
	}
	s.requeue(t, now)
	if e.Cause == mothferry.EndFailed {
		s.taskFailed(t.origin(), w, now)
	}
}

// taskDone takes in that a run of a task did its work, whichever run it was. One
// done member stands for its whole gang.
func (s *State) taskDone(t *task, w *worker, now time.Time) {
	switch {
	case t.step.spec.Gang:
		for _, member := range t.step.tasks {
			s.finishTask(member)
		}
	default:
		if t.copyTask != nil {
			s.logCopyEnd(t, w)
			s.stopElsewhere(t.copyTask, w, now)
		}
		s.stopElsewhere(t, w, now)
		s.finishTask(t)
	}
	if t.step.remaining == 0 {
		s.stepDone(t.job, now)
	}
}

// stopElsewhere stops a run of a task of which another one, on a worker, has done its work. It
// may be under way, or its start may be carried out late: told to stop now, its worker refuses it.
func (s *State) stopElsewhere(t *task, w *worker, now time.Time) {
	if t.worker == nil || t.worker == w || t.phase == phasePlanned {
		return
	}
	s.stopOrphan(t.worker, runID{task: t.name, run: t.run}, now)
	t.worker.nextPoll = now
}

// stepDone completes the job once all its steps are done.
func (s *State) stepDone(j *job, now time.Time) {
	if j.state.Final() {
		return
	}
	for _, o := range j.occurrences {
		for _, p := range o.steps {
			if p.remaining > 0 {
				return
			}
		}
	}
	s.finishJob(j, mfjob.StateCompleted, now)
}

// taskFailed counts a failed run and gives the job up once the task has no
// attempt left. Lasting tasks are always started again.
func (s *State) taskFailed(t *task, w *worker, now time.Time) {
	t.failures++
	t.avoidWorker = w.at.Worker
	if t.step.spec.Lasting || t.job.state.Final() {
		return
	}
	if t.failures >= s.queueOf(t.job).MaxAttempts {
		s.finishJob(t.job, mfjob.StateFailed, now)
		return
	}
	if t.exceedsCrashLimits() {
		s.failJobsOf([]*task{t}, now)
	}
}

// startAnswered takes in the answer to an order to start.
func (s *State) startAnswered(e StartAnswered, now time.Time) {
	if e.Result == ResultIncarnationEnded {
		s.incarnationMismatch(e.Worker, e.Sent, now)
		return
	}
	t := s.lookUpAt(e.Task, e.Worker)
	if t == nil || t.run != e.Run || t.worker == nil || t.worker.at.Worker != e.Worker {
		return
	}
	if e.Result != ResultUnknown {
		t.startsAnswered++
	}
	switch e.Result {
	case ResultDone:
		if t.phase == phaseSent {
			s.losses.observeLatency(now.Sub(t.lastStartSent))
			t.phase = phaseRunning
			t.confirmedAt, t.unchangedFor = now, 0
			s.recordSpeedStart(t, e.Clock)
		}
	case ResultUnknown:
		if t.startsPending--; t.phase == phaseSent && t.startsPending <= 0 {
			t.phase = phaseUnresolved
			s.resendStop(t, now)
		}
	case ResultRefused:
		s.startRefused(t, e.Refusal, now)
	}
}

// startRefused lets a task wait again whose start was refused.
func (s *State) startRefused(t *task, why mothferry.OrderRefusal, now time.Time) {
	w := t.worker
	switch {
	case why == mothferry.RefusalEpoch:
		// Another owner has taken over; the next commit will tell.
		return
	case t.startsSent > 1:
		s.resentStartRefused(t, why, now)
		return
	}
	switch why {
	case mothferry.RefusalTicket:
		delete(t.step.tickets, w.at.Worker)
	case mothferry.RefusalRun:
	default:
		w.pausedUntil = now.Add(refusalBackoff)
	}
	t.notBefore = now.Add(minCommitInterval)
	s.requeue(t, now)
	s.emit(Decision{Message: "start was refused", Job: t.job.id, Worker: w.at.Worker, Fields: map[string]any{"step": t.name.Step, "index": t.name.Index, "run": t.run, "refusal": why}})
}

// stopAnswered takes in the answer to an order to stop.
func (s *State) stopAnswered(e StopAnswered, now time.Time) {
	if e.Result == ResultIncarnationEnded {
		s.incarnationMismatch(e.Worker, e.Sent, now)
		return
	}
	t := s.lookUpAt(e.Task, e.Worker)
	if t == nil || t.run != e.Run || t.worker == nil || t.worker.at.Worker != e.Worker {
		return
	}
	if e.Result == ResultDone && !s.sentBeforeRestart(e.Worker, e.Sent) {
		if t.stopAnsweredAt.IsZero() {
			// The first answer is what counts: from then on the worker refuses
			// that run. Later ones would always be newer than the look under way.
			t.stopAnsweredAt = now
		}
		if t.phase == phaseUnresolved {
			// The look under way waits for ends and would show only later that
			// nothing is there.
			s.pollNoWait(t.worker, now)
		}
	}
}
