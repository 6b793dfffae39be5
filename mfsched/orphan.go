package mfsched

import (
	"cmp"
	"slices"
	"time"

	"mothferry"
)

// orphan is a run that should not be on its worker and is not known to have ended: its task is done,
// is elsewhere, or has no run that this owner knows of. Until the run has ended no other run of its
// task may start.
type orphan struct {
	// stopSentAt is when the worker was last ordered to stop it, stopAnsweredAt when a stop was
	// first answered.
	stopSentAt, stopAnsweredAt time.Time
	// seenAt is when it was last known to be there; zero if it never was: the order to start it
	// may yet be carried out.
	seenAt time.Time
	// reserved is what it uses of its worker's capacity, need what it uses of its account's
	// limit.
	reserved, need mothferry.Resources
	account        *account
}

// reserved returns the resources that tasks and orphaned runs use. Without the latter, a
// worker that accepts more than fits would get more than its capacity.
func (w *worker) reserved() mothferry.Resources {
	sum := w.used
	for _, r := range w.orphans {
		sum = sum.Add(r.reserved)
	}
	return sum
}

// stopOrphan stops a run that should not be there: its job is finished, or its task is no
// longer assigned to this worker. What it uses is known as long as the job's submission is. A run
// that was not seen yet has a zero seenAt.
func (s *State) stopOrphan(w *worker, r runID, seenAt, now time.Time) {
	o, known := w.orphans[r]
	if !known {
		s.orphaned[r.task]++
	}
	if seenAt.After(o.seenAt) {
		o.seenAt = seenAt
	}
	if now.Sub(o.stopSentAt) >= stopRetryDelay {
		o.stopSentAt = now
		if j, known := s.jobs[r.task.Job]; known && r.task.Step < len(j.submission.Steps) {
			spec := &j.submission.Steps[r.task.Step]
			o.reserved, o.need, o.account = spec.Reservation(), spec.Need, j.account
		}
		s.emit(Stop{At: w.at, Task: r.task, Run: r.run})
	}
	w.orphans[r] = o
}

// orphanStopAnswered records that a stop of an orphaned run was answered: from then on its worker
// refuses to start it.
func (s *State) orphanStopAnswered(w *worker, r runID, now time.Time) {
	o, known := w.orphans[r]
	if !known || !o.stopAnsweredAt.IsZero() {
		return
	}
	o.stopAnsweredAt = now
	w.orphans[r] = o
	if o.seenAt.IsZero() {
		s.pollNoWait(w, now)
	}
}

// dropOrphan removes an orphaned run that has ended.
func (s *State) dropOrphan(w *worker, r runID) {
	if _, known := w.orphans[r]; !known {
		return
	}
	delete(w.orphans, r)
	if s.orphaned[r.task]--; s.orphaned[r.task] == 0 {
		delete(s.orphaned, r.task)
	}
}

// dropOrphans removes all orphaned runs of a worker on which nothing runs any more.
func (s *State) dropOrphans(w *worker) {
	for r := range w.orphans {
		s.dropOrphan(w, r)
	}
}

// dropEndedOrphans removes the orphaned runs that an answer to a poll shows to have ended: those
// listed as ended, and those not reported to run that were seen before the poll was sent, or that
// the worker refused to start by then. Others are stopped again when that is due.
func (s *State) dropEndedOrphans(w *worker, report mothferry.PollReport, polledAt, now time.Time) {
	if len(w.orphans) == 0 {
		return
	}
	for _, e := range report.Ended {
		s.dropOrphan(w, runID{task: e.Task, run: e.Run})
	}
	reported := map[runID]bool{}
	for _, r := range report.Running {
		reported[runID{task: r.Task, run: r.Run}] = true
	}
	var unresolved []runID
	for r, o := range w.orphans {
		seen := !o.seenAt.IsZero() && !o.seenAt.After(polledAt)
		refused := !o.stopAnsweredAt.IsZero() && o.stopAnsweredAt.Before(polledAt)
		switch {
		case reported[r]:
		case seen, refused:
			s.dropOrphan(w, r)
		default:
			unresolved = append(unresolved, r)
		}
	}
	slices.SortFunc(unresolved, compareRuns)
	for _, r := range unresolved {
		s.stopOrphan(w, r, time.Time{}, now)
	}
}

func compareRuns(a, b runID) int {
	return cmp.Or(compareNames(a.task, b.task), cmp.Compare(a.run, b.run))
}

// awaitsFormerRun reports whether a task must not start yet as another run of it, or of a member of its
// gang, is not known to have ended, or may yet be ordered.
func (s *State) awaitsFormerRun(t *task) bool {
	switch {
	case len(s.orphaned) == 0 && len(s.startCalls.byTask) == 0:
		return false
	case t.step.spec.Gang:
		return slices.ContainsFunc(t.step.tasks, func(o *task) bool { return s.formerRuns(o.name) > 0 })
	default:
		return s.formerRuns(t.name) > 0
	}
}

func (s *State) formerRuns(name mothferry.TaskName) int {
	return s.orphaned[name] + s.startCalls.byTask[name]
}

// logOrphan logs which run is stopped as an orphan, and what is known of its task instead.
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
