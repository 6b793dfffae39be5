package mfsched

import (
	"time"

	"mothferry"
)

// adoptRun assigns to a lasting task the run that a worker reports in its first answer, if the
// task's record must be older than that run. It reports whether it did.
//
// With an outdated record, each task that has moved since it was stored would be started
// elsewhere beside its run, and the run stopped, however many others are unavailable. An owner
// numbers a run higher only once all lower ones have ended: a run with a higher number than
// the recorded one is the only one that can be there.
func (s *State) adoptRun(w *worker, r mothferry.RunningTask, now time.Time) bool {
	t := s.lookUp(r.Task)
	if t == nil || w.fenced || !t.recordOlderThan(r.Run) {
		return false
	}
	d := Decision{Message: "run is newer than on record, taken over", Job: t.job.id, Worker: w.at.Worker, Fields: map[string]any{
		"occurrence": t.name.Occurrence, "step": t.name.Step, "index": t.name.Index, "run": r.Run,
		"known_run": t.run, "known_phase": t.phase.String(),
	}}
	if t.worker != nil {
		d.Fields["known_worker"] = t.worker.at.Worker
	}
	s.emit(d)
	s.release(t, now)
	s.assign(t, w, phaseUnresolved)
	t.run, t.inheritedAt = r.Run, now
	s.markDirty(t.job)
	return true
}

// recordOlderThan reports whether a task's record must be older than a run of a previous
// owner: the run has a higher number, or the number of the last run where none is known to be
// anywhere. Once this owner has ordered the task to start, its own run counts.
func (t *task) recordOlderThan(run mothferry.RunNumber) bool {
	if !t.step.spec.Lasting || t.step.spec.Gang || t.startsSent > 0 || t.job.state.Final() {
		return false
	}
	switch t.phase {
	case phaseWaiting:
		return run >= t.run
	case phasePlanned:
		// The number of the plan was never sent in an order.
		return run >= t.run-1
	case phaseDone:
		return false
	default:
		return run > t.run
	}
}
