package mfsched

import (
	"time"

	"mothferry"
	"mothferry/mfdecay"
	"mothferry/mfspeed"
	"mothferry/mfstraggler"
)

// restartGuard is how long after a restart was detected the machine list is assumed to show
// the previous incarnation: it is read every 0.15 s, and may lag behind a worker's entry.
const restartGuard = 500 * time.Millisecond

// newestStartedAt returns when the newest incarnation of a worker started that is known by its
// entry or by an answer.
func (w *worker) newestStartedAt() mothferry.IncarnationStart { return max(w.startedAt, w.StartedAt) }

// acceptListing reports whether a worker's entry is of the newest known incarnation, or of a
// newer one. A newer one is polled at once: only its answer shows what it runs, since orders
// meant for the previous incarnation may have reached it already. Ends are numbered anew.
//
// An entry that is older than the one before, and not than what has answered, is accepted as a
// newer one is: another writer may have left a start in the future, after which the worker's own
// entries and answers would count as those of a previous incarnation for good.
func (w *worker) acceptListing(startedAt mothferry.IncarnationStart, now time.Time, l Limits) bool {
	if startedAt == 0 || w.newestStartedAt() == 0 || startedAt == w.newestStartedAt() {
		return true
	}
	if startedAt < w.startedAt {
		return false
	}
	w.fenced, w.openPolls, w.nextPoll = false, nil, now
	w.follow(now, l)
	w.lastEndSeen, w.lastEndStored = 0, 0
	return true
}

// follow records that the incarnation follows another under its id. Polls that were meant for that
// one, whose clock was another, may yet be carried out and extend leases by the longest time.
func (w *worker) follow(now time.Time, l Limits) {
	w.restartedAt, w.priorLeaseEnd, w.followsFormer = now, now.Add(l.LeaseExpiryBound()), true
}

// predatesRestart reports whether a worker has restarted, by its entry or by an answer, or was
// listed for the first time, so that an end shown by a list requested at requestedAt is that of the
// previous incarnation.
func (w *worker) predatesRestart(requestedAt time.Time) bool {
	if !requestedAt.IsZero() && requestedAt.Before(w.firstListedAt) {
		return true
	}
	return !w.restartedAt.IsZero() && requestedAt.Sub(w.restartedAt) < restartGuard
}

// sentBeforeRestart reports whether an order was sent before its worker was found to have
// restarted, so that its answer says nothing about the incarnation known now.
func (s *State) sentBeforeRestart(id mothferry.WorkerID, sent time.Time) bool {
	w, ok := s.workers[id]
	return ok && sent.Before(w.restartedAt)
}

// answersAs reports whether an answer to a poll that was sent to an earlier incarnation, or to a
// former address, is certain to come from the newest known incarnation or a newer one.
func (w *worker) answersAs(startedAt mothferry.IncarnationStart) bool {
	return w.newestStartedAt() != 0 && startedAt >= w.newestStartedAt()
}

// answeredElsewhere reports whether a worker has answered this owner, and never from an address. An
// answer from there that the worker is not the one meant says that its entry is another writer's,
// and nothing about the worker.
func (w *worker) answeredElsewhere(address string) bool {
	return w.answeredFrom != "" && address != w.answeredFrom
}

// acceptIncarnation records which incarnation has answered a poll. It reports whether that is
// the newest.
//
// Without it a worker that restarts under its id would be taken for its previous incarnation:
// its tasks would count as running though they are gone, and its ends, which are numbered from
// the start, would be ignored.
func (s *State) acceptIncarnation(w *worker, report mothferry.PollReport, now time.Time) bool {
	if report.StartedAt == 0 {
		return true
	}
	if report.StartedAt < w.newestStartedAt() {
		return false
	}
	if w.startedAt != 0 && report.StartedAt != w.startedAt {
		s.workerRestarted(w, report, now)
	}
	w.startedAt = report.StartedAt
	return true
}

// workerRestarted handles a worker that has restarted under its id: what ran there has ended
// with the previous incarnation, except for what the new one reports.
func (s *State) workerRestarted(w *worker, report mothferry.PollReport, now time.Time) {
	s.emit(Decision{Message: "worker has started again under its id", Worker: w.at.Worker, Fields: map[string]any{
		"born": report.StartedAt, "former": w.startedAt, "tasks": len(w.tasks), "running": len(report.Running), "newest": w.newestRuns(),
	}})
	reported := map[runID]bool{}
	for _, r := range report.Running {
		reported[runID{task: r.Task, run: r.Run}] = true
	}
	ended := w.tasksWhere(func(t *task) bool { return t.phase != phasePlanned && !reported[runID{task: t.name, run: t.run}] })
	toFail := s.attributeEnd(w, ended, IncarnationCrashed, now)
	s.dropOrphans(w)
	w.beginIncarnation(now, s.Limits)
	delete(s.endsInCommit, w.at.Worker)
	s.stopLateStarts(w, now)
	for _, t := range w.tasksWhere(func(t *task) bool { return t.phase != phasePlanned }) {
		t.phase, t.stopAnsweredAt, t.stopSentAt = phaseUnresolved, time.Time{}, time.Time{}
	}
	for _, t := range ended {
		s.delayRestart(t, now)
	}
	s.failJobsOf(toFail, now)
}

// beginIncarnation resets what was known of the previous incarnation.
func (w *worker) beginIncarnation(now time.Time, l Limits) {
	w.follow(now, l)
	w.fenced, w.unresponsive = false, false
	w.clock, w.clockReadAt, w.leaseUntil = 0, time.Time{}, 0
	w.openPolls, w.answeredPollSent = nil, time.Time{}
	w.lastEndSeen, w.lastEndStored = 0, 0
	w.trial, w.expiredRuns = nil, nil
	w.pausedUntil, w.health, w.calmSince = time.Time{}, health{}, time.Time{}
	w.speed, w.slowStatus, w.hangs = mfspeed.EndedRuns{}, mfstraggler.Status{}, mfdecay.Sum{}
	w.hungJobs = nil
	w.lastAnswer = pollAnswer{}
	for _, t := range w.tasks {
		t.track, t.unchangedFor = mfspeed.Track{}, 0
	}
}

// mayStartLate reports whether a new incarnation that was polled may yet carry out an order of
// this owner to start the task's run: one that has no answer, or whose answer came after the
// poll was sent. An order of a previous owner is refused once the incarnation has answered.
func (t *task) mayStartLate(polledAt time.Time) bool {
	return t.startsSent > t.startsAnswered || t.startsSent > 0 && !later(t.confirmedAt, t.startAnsweredAt).Before(polledAt)
}
