package mfsched

import (
	"time"

	"mothferry"
	"mothferry/mfdecay"
	"mothferry/mfspeed"
	"mothferry/mfstraggler"
)

// restartGuard is how long after a worker was heard to have started again what the list of
// machines shows is taken to be of the life before: it is read each 0.15 s, and may be
// slower than an entry.
const restartGuard = 500 * time.Millisecond

// newestStartedAt is when the newest life of a worker began that is known by its entry or by an
// answer.
func (w *worker) newestStartedAt() mothferry.LifeStart { return max(w.startedAt, w.StartedAt) }

// acceptListing reports whether a worker's entry is of the newest life that is known, or of a
// newer one. The new life is looked at at once: only its answer tells what it runs, since
// orders that were meant for the life before may have reached it already.
func (w *worker) acceptListing(born mothferry.LifeStart, now time.Time, l Limits) bool {
	if born == 0 || w.newestStartedAt() == 0 || born == w.newestStartedAt() {
		return true
	}
	if born < w.newestStartedAt() {
		return false
	}
	w.fenced, w.openPolls, w.nextPoll = false, nil, now
	w.restartedAt, w.priorLeaseEnd = now, now.Add(l.LeaseExpiryBound())
	return true
}

// predatesRestart reports whether a worker has started again, by its entry or by an answer,
// so that an end that was asked for at a time is that of the life before.
func (w *worker) predatesRestart(asked time.Time) bool {
	return !w.restartedAt.IsZero() && asked.Sub(w.restartedAt) < restartGuard
}

// sentBeforeRestart reports whether an order was sent before its worker was heard to have started again,
// so that its answer says nothing of the life that is known now.
func (s *State) sentBeforeRestart(id mothferry.WorkerID, sent time.Time) bool {
	w, ok := s.workers[id]
	return ok && sent.Before(w.restartedAt)
}

// incarnationMismatch takes in that an order has found another life at its worker's address.
func (s *State) incarnationMismatch(id mothferry.WorkerID, sent, now time.Time) {
	if !s.sentBeforeRestart(id, sent) {
		s.workerEnded(id, IncarnationEndUnknown, now, now)
	}
}

// acceptIncarnation takes in which life has answered a look. It reports whether that is the newest.
//
// What goes wrong without it: a worker that has started again under its id is taken for the
// life before. One notices by tasks that are away though they count as running, and by ends
// that are never taken in, as they are numbered anew.
func (s *State) acceptIncarnation(w *worker, report mothferry.LookReport, now time.Time) bool {
	if report.Born == 0 {
		return true
	}
	if report.Born < w.newestStartedAt() {
		return false
	}
	if w.startedAt != 0 && report.Born != w.startedAt {
		s.workerRestarted(w, report, now)
	}
	w.startedAt = report.Born
	return true
}

// workerRestarted takes in that a worker has started again under its id: what ran there has ended
// with the life before, but for what the new one shows.
func (s *State) workerRestarted(w *worker, report mothferry.LookReport, now time.Time) {
	s.emit(Decision{Message: "worker has started again under its id", Worker: w.at.Worker, Fields: map[string]any{
		"born": report.Born, "former": w.startedAt, "tasks": len(w.tasks), "running": len(report.Running), "newest": w.newestRuns(),
	}})
	there := map[runID]bool{}
	for _, r := range report.Running {
		there[runID{task: r.Task, run: r.Run}] = true
	}
	ended := w.tasksWhere(func(t *task) bool { return t.phase != phasePlanned && !there[runID{task: t.name, run: t.run}] })
	guilty := s.attributeEnd(w, ended, IncarnationCrashed, now)
	w.beginIncarnation(now, s.Limits)
	delete(s.endsInCommit, w.at.Worker)
	for _, t := range w.tasksWhere(func(t *task) bool { return t.phase != phasePlanned }) {
		t.phase, t.stopAnsweredAt, t.stopSentAt = phaseUnresolved, time.Time{}, time.Time{}
	}
	for _, t := range ended {
		s.delayRestart(t, now)
	}
	s.failJobsOf(guilty, now)
}

// beginIncarnation forgets what was known of the life before. A look of that life that extends
// leases may still be carried out: until none can, nothing lapses here.
func (w *worker) beginIncarnation(now time.Time, l Limits) {
	w.restartedAt, w.priorLeaseEnd = now, now.Add(l.LeaseExpiryBound())
	w.fenced, w.unresponsive = false, false
	w.clock, w.clockReadAt, w.leaseUntil = 0, time.Time{}, 0
	w.openPolls, w.answeredPollSent = nil, time.Time{}
	w.lastEndSeen, w.lastEndStored = 0, 0
	w.orphans, w.trial, w.expiredRuns = map[runID]orphanStop{}, nil, nil
	w.pausedUntil, w.health, w.calmSince = time.Time{}, health{}, time.Time{}
	w.speed, w.slowStatus, w.hangs = mfspeed.EndedRuns{}, mfstraggler.Status{}, mfdecay.Sum{}
	w.hungJobs = nil
	w.lastAnswer = pollAnswer{}
	for _, t := range w.tasks {
		t.track, t.unchangedFor = mfspeed.Track{}, 0
	}
}

// mayStartLate reports whether a new life that was looked at may yet carry an order of
// this owner out to start the task's run: one that has no answer, or whose answer came
// after the look was sent. An order of an earlier owner is refused once it has answered.
func (t *task) mayStartLate(looked time.Time) bool {
	return t.startsSent > t.startsAnswered || t.startsSent > 0 && !t.confirmedAt.Before(looked)
}
