package mfsched

import (
	"time"

	"mothferry"
)

// adoptRun makes a run that a worker shows in its first answer the one of its lasting task, if
// what is on record of the task must be older. It reports whether it did.
//
// What goes wrong without it: a record that is older than it should be has each task that
// moved since start elsewhere beside its run, and the run stopped whatever is away beside it.
// An owner numbers a run higher only once all lower ones are over: a run with a higher number
// than the one on record is the only one that can be there.
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
	s.release(t)
	s.assign(t, w, phaseUnresolved)
	t.run, t.inheritedAt = r.Run, now
	s.markDirty(t.job)
	return true
}

// recordOlderThan reports whether what is known of a task must be older than a run of an earlier
// owner: the run has a higher number, or the number of the last run where none is known to be
// anywhere. Once this owner has ordered the task to start, its run counts.
func (t *task) recordOlderThan(run mothferry.RunNumber) bool {
	if !t.step.spec.Lasting || t.step.spec.Gang || t.startsSent > 0 || t.job.state.Final() {
		return false
	}
	switch t.phase {
	case phaseWaiting:
		return run >= t.run
	case phasePlanned:
		// The number of the plan was never ordered.
		return run >= t.run-1
	case phaseDone:
		return false
	default:
		return run > t.run
	}
}
