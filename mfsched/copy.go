package mfsched

import (
	"time"

	"mothferry"
	"mothferry/mfjob"
)

// A task of a speculative step may have two runs at a time: the original run and a speculative
// copy. Each run has its own task value. The copy's is listed at its worker, but not in the step,
// never waits, and refers to the original task by copyOf.
//
// A new run gets a number above those of both runs. If the task were restarted under the number
// of a copy that has ended, a delayed order to start that copy could start a run that the owner
// doesn't know of.

// origin returns the task that is listed in the step.
func (t *task) origin() *task {
	if t.copyOf != nil {
		return t.copyOf
	}
	return t
}

// lookUpAt returns the task value of a run on a worker: that of the copy if the copy is there,
// else the one listed in the step, or nil if there is no such task.
func (s *State) lookUpAt(n mothferry.TaskName, id mothferry.WorkerID) *task {
	t := s.lookUp(n)
	if t != nil && t.copyTask != nil && t.copyTask.worker.at.Worker == id {
		return t.copyTask
	}
	return t
}

// highestRun returns the highest number that any run of the task has.
func (t *task) highestRun() mothferry.RunNumber { return max(t.run, t.highestOtherRun) }

// newCopy returns a copy of a task that isn't assigned to a worker yet.
func (t *task) newCopy(run mothferry.RunNumber) *task {
	return &task{
		name: t.name, job: t.job, step: t.step, phase: phaseDone, run: run,
		checkpoint: t.checkpoint, checkpointPercent: t.checkpointPercent, pace: fullPace, copyOf: t,
	}
}

// planCopy assigns a copy of a task to a worker. As with any run, the order is sent once the
// assignment is stored.
func (s *State) planCopy(t *task, w *worker) {
	run := t.highestRun() + 1
	c := t.newCopy(run)
	s.assign(c, w, phasePlanned)
	t.copyTask, t.highestOtherRun = c, run
	t.copies++
	s.planned = append(s.planned, plannedRun{task: c, run: run})
	s.markDirty(t.job)
}

// restoreCopy restores a copy that a previous owner stored.
func (s *State) restoreCopy(t *task, p mfjob.TaskProgress, now time.Time) {
	c := t.newCopy(p.Copy)
	s.assign(c, s.workerOrPlaceholder(p.CopyWorker), phaseUnresolved)
	c.confirmedAt, c.inheritedAt = now, now
	t.copyTask = c
	t.copies++
}

// workerOrPlaceholder returns a worker that a previous owner stored, adding it if it isn't known.
func (s *State) workerOrPlaceholder(id mothferry.WorkerID) *worker {
	s.recordWorkerID(id)
	if w, ok := s.workers[id]; ok {
		return w
	}
	return s.addWorker(id)
}

// promoteCopy makes the copy's run the only run of a task whose original run has ended.
func (s *State) promoteCopy(t *task) {
	c := t.copyTask
	t.copyTask = nil
	t.step.waiting--
	t.phase, t.run, t.worker = c.phase, c.run, c.worker
	t.startsSent, t.startsPending, t.startsAnswered = c.startsSent, c.startsPending, c.startsAnswered
	t.lastStartSent, t.startAnsweredAt = c.lastStartSent, c.startAnsweredAt
	t.inheritedAt, t.confirmedAt, t.stopAnsweredAt, t.stopSentAt = c.inheritedAt, c.confirmedAt, c.stopAnsweredAt, c.stopSentAt
	t.percent, t.unchangedFor, t.track = c.percent, c.unchangedFor, c.track
	if c.checkpoint != "" && c.checkpointPercent >= t.checkpointPercent {
		t.checkpoint, t.checkpointPercent = c.checkpoint, c.checkpointPercent
	} else {
		t.checkpointAhead = true
	}
	t.worker.tasks.replace(c, t)
	for _, runs := range [][]plannedRun{s.planned, s.committing} {
		for i := range runs {
			if runs[i].task == c {
				runs[i].task = t
			}
		}
	}
	for i := range s.pendingStarts {
		if s.pendingStarts[i].task == c {
			s.pendingStarts[i].task = t
		}
	}
	c.phase, c.worker = phaseDone, nil
	s.markDirty(t.job)
}

// recordCheckpoint records the checkpoint that a task's run reported, unless that is empty or the
// recorded one is of a replaced run that had done more. An unchanged checkpoint keeps its
// percentage if that is known.
func (t *task) recordCheckpoint(c mothferry.Checkpoint, percent int) {
	if c == "" || c == t.checkpoint && t.checkpointPercent > 0 || t.checkpointAhead && percent < t.checkpointPercent {
		return
	}
	t.checkpoint, t.checkpointPercent, t.checkpointAhead = c, percent, false
}

// logCopyEnd logs which of a task's two runs is stopped because the one on a worker completed the
// task.
func (s *State) logCopyEnd(t *task, w *worker) {
	c := t.copyTask
	d := Decision{Message: MessageCopyStopped, Job: t.job.id, Worker: c.worker.at.Worker, Fields: map[string]any{
		"service": c.worker.Service, "step": t.name.Step, "index": t.name.Index, "run": c.run, "percent": c.percent,
	}}
	if c.worker == w && t.worker != nil {
		d.Message, d.Worker = MessageCopyFinished, t.worker.at.Worker
		d.Fields["run"], d.Fields["percent"] = t.run, t.percent
	}
	s.emit(d)
}
