package mfsched

import (
	"cmp"
	"slices"
	"time"

	"mothferry"
	"mothferry/mfjob"
)

// pollAnswered handles a worker's answer to a poll.
func (s *State) pollAnswered(e PollAnswered, now time.Time) {
	w, ok := s.workers[e.Worker]
	if !ok {
		return
	}
	poll, current := w.closePoll(e.Number)
	if !current && !w.answersAs(e.Report.StartedAt) || !s.acceptIncarnation(w, e.Report, now) {
		return
	}
	if poll.address != "" {
		w.answeredFrom = poll.address
	}
	w.nextPoll = w.pollSent.Add(minPollInterval)
	s.countAnswer(w, e.Sent, now)
	w.observeClock(e.Report.Clock, poll, now)
	if w.unresponsive || !w.fenced {
		s.emit(Decision{Message: "worker answers", Worker: e.Worker, Fields: map[string]any{"running": len(e.Report.Running), "ended": len(e.Report.Ended), "tasks": len(w.tasks)}})
	}
	w.unresponsive = false
	s.confirmAlive(w)
	if !w.fenced {
		// A previous owner may have requested any lease that the worker grants.
		w.leaseUntil = max(w.leaseUntil, e.Report.Clock+mothferry.WorkerClock(s.Limits.MaxLease))
	}
	before := w.lastEndSeen
	for _, end := range e.Report.Ended {
		if end.Number > before {
			s.runEnded(w, end, now)
			w.lastEndSeen = max(w.lastEndSeen, end.Number)
		}
	}
	s.reports++
	w.longestUnchanged = 0
	for i, r := range e.Report.Running {
		if t := s.runReported(w, r, i, now); t != nil {
			t.reportedIn = s.reports
			w.longestUnchanged = max(w.longestUnchanged, t.unchangedFor)
		}
	}
	s.dropEndedOrphans(w, e.Report, e.Sent, now)
	if s.Limits.MaxEndsListed > 0 && len(e.Report.Ended) >= s.Limits.MaxEndsListed {
		// The list may be cut off: tasks with further ends would be taken for missing.
		w.nextPoll = now
		return
	}
	for _, t := range w.tasksWhere(func(t *task) bool { return t.reportedIn != s.reports }) {
		s.runMissing(w, t, e.Sent, now)
	}
	w.fenced = true
	s.recordWorkerID(e.Worker)
	s.adjustPace(w, now)
}

func (s *State) pollFailed(e PollFailed, now time.Time) {
	w, ok := s.workers[e.Worker]
	if !ok {
		return
	}
	poll, current := w.closePoll(e.Number)
	if !current {
		return
	}
	if e.Result == ResultIncarnationEnded && !w.answeredElsewhere(cmp.Or(poll.address, w.at.Address)) {
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

// runReported handles an entry of what a worker runs, at some place of its report. It returns the
// task if the entry is the run that the task is assigned to have there, and otherwise nil.
func (s *State) runReported(w *worker, r mothferry.RunningTask, place int, now time.Time) *task {
	t := s.reportedTask(w, r, place)
	if (t == nil || t.worker != w || t.run != r.Run) && !s.adoptRun(w, r, now) {
		id := runID{task: r.Task, run: r.Run}
		if _, known := w.orphans[id]; !known {
			s.logOrphan(w, id)
		}
		s.stopOrphan(w, id, now, now)
		return nil
	}
	t.recordCheckpoint(r.Checkpoint, r.Percent)
	if t.phase == phaseSent || t.phase == phaseUnresolved {
		s.runConfirmed(t, now)
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
	t.tailLatency = r.TailLatency
	if t.step.spec.Lasting {
		t.updateUnavailableSince(now)
		s.resetCrashes(t, now)
	}
	return t
}

// maxScannedTasks is up to how many tasks of a worker are scanned for one before it is looked up.
const maxScannedTasks = 16

// reportedTask returns the task of an entry, like lookUpAt. Workers mostly report tasks in the order
// in which they were assigned.
func (s *State) reportedTask(w *worker, r mothferry.RunningTask, place int) *task {
	isReported := func(t *task) bool { return t.run == r.Run && t.name == r.Task }
	if place < len(w.tasks) && isReported(w.tasks[place]) {
		return w.tasks[place]
	}
	if len(w.tasks) <= maxScannedTasks {
		if i := slices.IndexFunc(w.tasks, isReported); i >= 0 {
			return w.tasks[i]
		}
	}
	return s.lookUpAt(r.Task, w.at.Worker)
}

// runConfirmed records that a run is known to exist.
func (s *State) runConfirmed(t *task, now time.Time) {
	if t.phase == phaseSent {
		s.endTaskStage(t, TaskOrdered, t.lastStartSent, now)
	}
	t.phase = phaseRunning
	t.confirmedAt, t.unchangedFor = now, 0
}

// updateUnavailableSince records since when a lasting task is not serving.
func (t *task) updateUnavailableSince(now time.Time) {
	if t.percent >= fullPace {
		t.unavailableSince = time.Time{}
		return
	}
	if t.unavailableSince.IsZero() {
		t.unavailableSince = now
	}
}

func (s *State) resendStop(t *task, now time.Time) {
	if now.Sub(t.stopSentAt) >= stopRetryDelay {
		t.stopSentAt = now
		s.emit(Stop{At: t.worker.at, Task: t.name, Run: t.run})
	}
}

// runMissing handles a task that its worker neither runs nor lists as ended.
func (s *State) runMissing(w *worker, t *task, polledAt, now time.Time) {
	switch t.phase {
	case phaseUnresolved, phaseStopping:
		switch {
		case !w.fenced && !t.mayStartLate(polledAt):
			// The first poll of this epoch: an order of a previous owner that has not arrived
			// by now is refused for its epoch.
			s.logInheritedMissing(w, t)
			s.requeue(t, releasedMissingAtFirst, now)
		case !t.stopAnsweredAt.IsZero() && t.stopAnsweredAt.Before(polledAt):
			// The stop was carried out before the poll, and since then the worker refuses a
			// start of the stopped run that is still in flight.
			s.requeue(t, releasedStopAnswered, now)
		default:
			s.resendStop(t, now)
		}
	case phaseRunning:
		if t.confirmedAt.Before(polledAt) {
			s.emit(Decision{Message: "run is missing at its worker", Job: t.job.id, Worker: w.at.Worker, Fields: map[string]any{"step": t.name.Step, "index": t.name.Index, "run": t.run}})
			t.phase = phaseUnresolved
			s.resendStop(t, now)
		}
	}
}

// logInheritedMissing logs that a lasting task's run is not where the previous owner stored it
// to be. Other tasks are not logged one by one: after a long outage all of them may be lost.
func (s *State) logInheritedMissing(w *worker, t *task) {
	if !t.step.spec.Lasting {
		return
	}
	s.emit(Decision{Message: "inherited run is not at its worker", Job: t.job.id, Worker: w.at.Worker, Fields: map[string]any{
		"step": t.name.Step, "index": t.name.Index, "run": t.run,
	}})
}

// requeue returns a task to waiting whose run is known to have ended.
func (s *State) requeue(t *task, reason releaseReason, now time.Time) {
	t.rememberRun(reason, now)
	s.release(t, now)
	t.unavailableSince = now
	s.markDirty(t.job)
}

// runEnded handles an end that a worker lists for the first time. Any run that has done its
// work completes its task, unless the task is lasting. Another end requeues the task if it is
// that of the current run.
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
			s.endTaskStage(t, TaskRunning, t.confirmedAt, now)
		}
		s.taskDone(t.origin(), w, now)
		return
	}
	if !current {
		return
	}
	s.requeue(t, releasedEndListed, now)
	if e.Cause == mothferry.EndFailed {
		s.taskFailed(t.origin(), w, now)
	}
}

// taskDone handles the completion of a task by any of its runs. One completed member completes
// its whole gang; runs of the others that are still reported are then stopped as orphans.
func (s *State) taskDone(t *task, w *worker, now time.Time) {
	switch {
	case t.step.spec.Gang:
		for _, member := range t.step.tasks {
			s.finishTask(member, now)
		}
	default:
		if t.copyTask != nil {
			s.logCopyEnd(t, w)
			s.stopElsewhere(t.copyTask, w, now)
		}
		s.stopElsewhere(t, w, now)
		s.finishTask(t, now)
	}
	if t.step.remaining == 0 {
		s.stepDone(t.job, now)
	}
}

// stopElsewhere stops another run of a task whose work was done on worker w. It may be
// running, or its start may be carried out late: once ordered to stop, its worker refuses the
// start.
func (s *State) stopElsewhere(t *task, w *worker, now time.Time) {
	if t.worker == nil || t.worker == w || t.phase == phasePlanned {
		return
	}
	var seenAt time.Time
	if !t.confirmedAt.IsZero() {
		seenAt = now
	}
	s.stopOrphan(t.worker, runID{task: t.name, run: t.run}, seenAt, now)
	t.worker.nextPoll = now
}

// stepDone completes the job once all its occurrences are done.
func (s *State) stepDone(j *job, now time.Time) {
	if j.state.Final() {
		return
	}
	j.dropDoneOccurrences()
	if len(j.occurrences) == 0 && j.begun == j.submission.Occurrences() {
		s.finishJob(j, mfjob.StateCompleted, now)
	}
}

// taskFailed counts a failed run and fails the job once the task has no attempt left. Lasting
// tasks are always restarted.
func (s *State) taskFailed(t *task, w *worker, now time.Time) {
	t.failures++
	t.avoidWorker = w.at.Worker
	if t.step.spec.Lasting || t.job.state.Final() {
		return
	}
	if attempts := s.queueOf(t.job).MaxAttempts; t.failures >= attempts {
		_, inConfig := s.queues[t.job.submission.Queue]
		s.emit(Decision{Message: "task has no attempts left", Job: t.job.id, Worker: w.at.Worker, Fields: map[string]any{
			"step": t.name.Step, "index": t.name.Index, "failures": t.failures, "attempts": attempts, "queue": t.job.submission.Queue, "queue_in_config": inConfig,
		}})
		s.finishJob(t.job, mfjob.StateFailed, now)
		return
	}
	if t.exceedsCrashLimits() {
		s.failJobsOf([]*task{t}, now)
	}
}

// startAnswered handles the answer to a start order.
func (s *State) startAnswered(e StartAnswered, now time.Time) {
	s.startCalls.ended(e.Worker, runID{task: e.Task, run: e.Run})
	if e.Result == ResultIncarnationEnded {
		s.incarnationMismatch(e.Worker, now)
	}
	t := s.lookUpAt(e.Task, e.Worker)
	if t == nil || t.run != e.Run || t.worker == nil || t.worker.at.Worker != e.Worker {
		if e.Result != ResultUnknown {
			s.lateStartAnswered(e.Worker, runID{task: e.Task, run: e.Run}, e.Result, now)
		}
		return
	}
	t.relay, t.startResult, t.startResultAt = e.Relay, e.Result, now
	s.logSlowStart(t, e, now)
	if e.Result != ResultUnknown {
		t.startsAnswered++
		t.startAnsweredAt = now
	}
	switch e.Result {
	case ResultDone:
		if t.phase == phaseSent {
			s.losses.observeLatency(now.Sub(t.lastStartSent))
			s.runConfirmed(t, now)
			s.recordSpeedStart(t, e.Clock)
		}
	case ResultUnknown:
		if t.startsPending--; t.phase == phaseSent && t.startsInFlight() <= 0 {
			t.phase = phaseUnresolved
			s.resendStop(t, now)
		}
	case ResultIncarnationEnded:
		if t.phase == phaseSent && t.startsInFlight() <= 0 {
			t.phase = phaseUnresolved
		}
	case ResultRefused:
		s.startRefused(t, e.Refusal, now)
	}
}

// startRefused requeues a task whose start was refused, unless the refusal contradicts what is known
// of the run.
func (s *State) startRefused(t *task, why mothferry.OrderRefusal, now time.Time) {
	w := t.worker
	switch {
	case why == mothferry.RefusalEpoch:
		// Another owner has taken over; the next commit will show it.
		return
	case t.startsSent != 1 || !t.confirmedAt.IsZero() || why == mothferry.RefusalRun && t.stopSentAt.IsZero():
		s.doubtfulRefusal(t, why, now)
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
	s.requeue(t, releasedRefused, now)
	s.emit(Decision{Message: "start was refused", Job: t.job.id, Worker: w.at.Worker, Fields: map[string]any{"step": t.name.Step, "index": t.name.Index, "run": t.run, "refusal": why}})
}

// stopAnswered handles the answer to a stop order.
func (s *State) stopAnswered(e StopAnswered, now time.Time) {
	if e.Result == ResultIncarnationEnded {
		s.incarnationMismatch(e.Worker, now)
		return
	}
	if w, ok := s.workers[e.Worker]; ok && e.Result == ResultDone && !s.sentBeforeRestart(e.Worker, e.Sent) {
		s.orphanStopAnswered(w, runID{task: e.Task, run: e.Run}, now)
	}
	t := s.lookUpAt(e.Task, e.Worker)
	if t == nil || t.run != e.Run || t.worker == nil || t.worker.at.Worker != e.Worker {
		return
	}
	if e.Result == ResultDone && !s.sentBeforeRestart(e.Worker, e.Sent) {
		if t.stopAnsweredAt.IsZero() {
			// Only the first answer counts: from then on the worker refuses that run. If the
			// answers to repeated stops counted too, the last one could be newer than each
			// answered poll, and runMissing would never requeue the task.
			t.stopAnsweredAt = now
		}
		if t.phase == phaseUnresolved {
			// The open poll waits for ends and would show only later that nothing is there.
			s.pollNoWait(t.worker, now)
		}
	}
}
