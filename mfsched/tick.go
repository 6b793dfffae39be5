package mfsched

import (
	"slices"
	"time"

	"mothferry"
	"mothferry/mfjob"
)

const (
	stateQueued  = mfjob.StateQueued
	stateRunning = mfjob.StateRunning
)

// tick does what is due by time: polls, resent starts, periodic housekeeping, placement and
// the next commit.
func (s *State) tick(now time.Time) {
	s.beginStage(StagePolls)
	s.pollWorkers(now)
	s.resendOverdueStarts(now)
	s.beginStage(StageHousekeeping)
	if now.Sub(s.lastHousekeeping) >= housekeepingInterval {
		s.lastHousekeeping = now
		s.expireLeases(now)
		s.stopStuck(now)
		s.classifySpeeds(now)
		s.relocateStragglers(now)
		s.evacuate(now)
		s.logUnavailableTasks(now)
		s.expireUnresolved(now)
		s.expireFormer(now)
		s.deleteSubmissions(now)
		s.deleteJobs(now)
		s.deleteEarlyCancels(now)
	}
	if s.commitInFlight || now.Sub(s.lastCommit) < minCommitInterval {
		return
	}
	s.beginStage(StagePlacement)
	s.beginDueOccurrences(now)
	s.place(now)
	s.beginStage(StageCommit)
	s.commit(now)
}

// expireLeases releases the tasks of workers whose leases have certainly expired.
func (s *State) expireLeases(now time.Time) {
	for _, w := range s.sortedWorkers {
		if len(w.tasks) == 0 && len(w.orphans) == 0 || !w.unresponsive && w.at.Address != "" && w.listed {
			continue
		}
		if !s.leasesExpired(w, now) {
			continue
		}
		s.dropOrphans(w)
		if len(w.tasks) == 0 {
			continue
		}
		s.emit(Decision{Message: "leases have lapsed", Worker: w.at.Worker, Fields: map[string]any{
			"tasks": len(w.tasks), "unread_ms": now.Sub(w.clockReadAt).Milliseconds(), "sealed": w.fenced, "newest": w.newestRuns(),
		}})
		runs := w.tasksWhere(func(t *task) bool { return t.phase != phasePlanned })
		for i, t := range runs {
			runs[i] = t.origin()
			runs[i].crashes.Unseen++
			w.expiredRuns = append(w.expiredRuns, unresolvedRun{task: runs[i]})
			s.requeue(t, releasedLeaseExpired, now)
		}
		s.failJobsOf(slices.DeleteFunc(runs, func(t *task) bool { return !t.exceedsCrashLimits() }), now)
	}
}

// commit stores the jobs that changed, or renews the ownership if none did.
func (s *State) commit(now time.Time) {
	required := s.commitRequested
	for _, w := range s.sortedWorkers {
		if w.lastEndSeen > w.lastEndStored {
			required = true
			break
		}
	}
	if len(s.dirty) == 0 && !required && now.Sub(s.lastCommit) < renewInterval {
		return
	}
	s.commitNumber++
	c := Commit{Number: s.commitNumber, Progress: map[mothferry.JobID]mfjob.Progress{}}
	var size commitSize
	rest := s.dirty[:0]
	alone := len(s.dirty) > 0 && s.dirty[0].alone
	s.committedAlone = nil
	if alone {
		s.committedAlone = s.dirty[0]
	}
	for i, j := range s.dirty {
		if alone && i > 0 || !alone && j.alone || !size.tryAdd(s, j) {
			rest = append(rest, j)
			continue
		}
		j.dirty, j.rowStored = false, true
		c.Progress[j.id] = progressOf(j)
		if j.state.Final() && !j.finalStored {
			s.finishedInCommit = append(s.finishedInCommit, j)
		}
	}
	clear(s.dirty[len(rest):])
	s.dirty = rest
	s.committing, s.planned = s.splitPlanned(c)
	clear(s.endsInCommit)
	if len(rest) == 0 {
		for _, w := range s.sortedWorkers {
			if w.lastEndSeen > w.lastEndStored {
				s.endsInCommit[w.at.Worker] = w.lastEndSeen
			}
		}
	}
	s.commitInFlight, s.commitSent, s.commitRequested = true, now, false
	s.emit(c)
}

// commitSize counts what a commit holds.
type commitSize struct{ jobs, ownRows, tasks, bytes int }

// tryAdd adds a job unless the commit has no room for it; the first job always fits.
func (c *commitSize) tryAdd(s *State, j *job) bool {
	ownRows, tasks := 0, j.storedTasks()
	if !j.rowStored || j.state.Final() {
		// The state that callers query has a row of its own: that a job has started, or has
		// finished.
		ownRows = 1
	}
	if c.jobs >= maxCommitJobs || c.ownRows+ownRows > maxCommitOwnRows || c.jobs > 0 && c.tasks+tasks > maxCommitTasks {
		return false
	}
	bytes := s.storedSize(j)
	if c.jobs > 0 && c.bytes+bytes > int(maxCommitBytes) {
		return false
	}
	c.jobs, c.ownRows, c.tasks, c.bytes = c.jobs+1, c.ownRows+ownRows, c.tasks+tasks, c.bytes+bytes
	return true
}

// storedTasks returns the number of tasks in a job's stored progress.
func (j *job) storedTasks() int {
	if j.state.Final() {
		return 0
	}
	count := 0
	for _, o := range j.occurrences {
		for _, p := range o.steps {
			if p.remaining > 0 {
				count += len(p.tasks)
			}
		}
	}
	return count
}

// splitPlanned splits the planned runs into those whose job is in the commit and those that
// wait for a later one.
func (s *State) splitPlanned(c Commit) (now, later []plannedRun) {
	for _, r := range s.planned {
		if _, ok := c.Progress[r.task.job.id]; ok {
			now = append(now, r)
		} else {
			later = append(later, r)
		}
	}
	return now, later
}

// committed sends the start orders whose intents are stored and marks the ends whose effects
// are stored.
func (s *State) committed(e CommitDone, now time.Time) {
	if e.Number != s.commitNumber {
		return
	}
	s.commitInFlight = false
	s.lastCommit = s.commitSent
	rejected := s.rejectedJobs(e.Rejected)
	if len(rejected) == 0 {
		for id, seen := range s.endsInCommit {
			if w, ok := s.workers[id]; ok {
				w.lastEndStored = max(w.lastEndStored, seen)
			}
		}
	}
	for _, r := range s.committing {
		if r.task.phase != phasePlanned || r.task.run != r.run {
			continue
		}
		if rejected[r.task.job] {
			s.requeue(r.task, releasedNotStored, now)
			continue
		}
		if s.awaitsFormerRun(r.task) || !r.task.job.account.stillAdmits(r.task.step.spec.Need) {
			s.requeue(r.task, releasedNotSent, now)
			continue
		}
		s.sendStart(r.task, now)
	}
	s.committing = nil
	s.finishedInCommit = slices.DeleteFunc(s.finishedInCommit, func(j *job) bool { return rejected[j] })
	s.finalStatesStored(now)
	s.commitRejected(e.Rejected, now)
}

func (s *State) sendStart(t *task, now time.Time) {
	w := t.worker
	order := mothferry.StartOrder{
		Task: t.name, Run: t.run, Spec: t.job.submission.Spec,
		Until: s.leaseEnd(w, now), Epoch: s.Epoch, Checkpoint: t.checkpoint,
	}
	if tk, ok := t.step.tickets[w.at.Worker]; ok {
		order.Ticket = tk.text
	}
	t.phase = phaseSent
	t.startsSent++
	t.startsPending++
	t.lastStartSent, t.unchangedFor = now, 0
	if t.startsSent == 1 {
		s.endTaskStage(t, TaskPlanned, t.plannedAt, now)
	}
	s.pendingStarts = append(s.pendingStarts, sentStart{task: t, run: t.run, at: now})
	s.emit(Start{At: w.at, Order: order})
}
