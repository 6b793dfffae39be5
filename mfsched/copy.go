package mfsched

import (
	"time"

	"mothferry"
	"mothferry/mfjob"
)

// A task of a speculative step may have two runs at a time, the second of them its copy. Each
// has a task of its own for what is known of the run; that of the copy is known by its worker only,
// never waits, and belongs to the first, which stands in the step.
//
// What goes wrong without the number of the newest run: the copy is over, the task is started
// again under the copy's number, and an order to start the copy that was held back brings a
// run that nobody knows of.

// origin returns the task that stands in the step.
func (t *task) origin() *task {
	if t.copyOf != nil {
		return t.copyOf
	}
	return t
}

// lookUpAt returns what is known of a task's run on a worker: the copy's if that is there, and
// else the task that stands in the step; nil if there is no such task.
func (s *State) lookUpAt(n mothferry.TaskName, id mothferry.WorkerID) *task {
	t := s.lookUp(n)
	if t != nil && t.copyTask != nil && t.copyTask.worker.at.Worker == id {
		return t.copyTask
	}
	return t
}

// highestRun returns the highest number that a run of the task was given.
func (t *task) highestRun() mothferry.RunNumber { return max(t.run, t.highestOtherRun) }

// newCopy returns a copy of a task that is on no worker yet.
func (t *task) newCopy(run mothferry.RunNumber) *task {
	return &task{
		name: t.name, job: t.job, step: t.step, phase: phaseDone, run: run,
		checkpoint: t.checkpoint, checkpointPercent: t.checkpointPercent, pace: fullPace, copyOf: t,
	}
}

// planCopy binds a copy of a task to a worker. As with any run, the order goes out once that is
// stored.
func (s *State) planCopy(t *task, w *worker) {
	run := t.highestRun() + 1
	c := t.newCopy(run)
	s.assign(c, w, phasePlanned)
	t.copyTask, t.highestOtherRun = c, run
	t.copies++
	s.planned = append(s.planned, plannedRun{task: c, run: run})
	s.markDirty(t.job)
}

// restoreCopy brings a copy back that an earlier owner stored.
func (s *State) restoreCopy(t *task, p mfjob.TaskProgress, now time.Time) {
	c := t.newCopy(p.Copy)
	s.assign(c, s.workerOrPlaceholder(p.CopyWorker), phaseUnresolved)
	c.confirmedAt, c.inheritedAt = now, now
	t.copyTask = c
	t.copies++
}

// workerOrPlaceholder returns a worker that an earlier owner stored.
func (s *State) workerOrPlaceholder(id mothferry.WorkerID) *worker {
	if w, ok := s.workers[id]; ok {
		return w
	}
	return s.addWorker(id)
}

// promoteCopy makes the run of a task's copy its only one, as the other one is over.
func (s *State) promoteCopy(t *task) {
	c := t.copyTask
	t.copyTask = nil
	t.step.waiting--
	t.phase, t.run, t.worker = c.phase, c.run, c.worker
	t.startsSent, t.startsPending, t.startsAnswered, t.lastStartSent = c.startsSent, c.startsPending, c.startsAnswered, c.lastStartSent
	t.inheritedAt, t.confirmedAt, t.stopAnsweredAt, t.stopSentAt = c.inheritedAt, c.confirmedAt, c.stopAnsweredAt, c.stopSentAt
	t.percent, t.unchangedFor, t.track = c.percent, c.unchangedFor, c.track
	if c.checkpoint != "" && c.checkpointPercent >= t.checkpointPercent {
		t.checkpoint, t.checkpointPercent = c.checkpoint, c.checkpointPercent
	} else {
		t.checkpointAhead = true
	}
	t.worker.tasks[t.name] = t
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

// recordCheckpoint takes in the checkpoint that a task's run tells, unless a run whose place it took had
// done more by its own.
func (t *task) recordCheckpoint(c mothferry.Checkpoint, percent int) {
	if c == "" || c == t.checkpoint && t.checkpointPercent > 0 || t.checkpointAhead && percent < t.checkpointPercent {
		return
	}
	t.checkpoint, t.checkpointPercent, t.checkpointAhead = c, percent, false
}

// logCopyEnd logs which of a task's two runs did its work, on a worker, and which is stopped.
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
