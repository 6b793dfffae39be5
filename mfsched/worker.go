package mfsched

import (
	"cmp"
	"slices"
	"time"

	"mothferry"
	"mothferry/mfdecay"
	"mothferry/mfspeed"
	"mothferry/mfstraggler"
)

// worker is one incarnation of a worker.
type worker struct {
	Worker
	at     mothferry.WorkerAddress
	listed bool
	// answeredFrom is the address from which it last answered a poll of this owner; empty if it
	// has not.
	answeredFrom string
	// startedAt is when the incarnation that answered last started, Worker.StartedAt when the
	// listed one did. restartedAt is when a restart under the same id was detected; zero if
	// none was.
	startedAt   mothferry.IncarnationStart
	restartedAt time.Time
	// firstListedAt is when the listing came that made the worker known; zero if it was known
	// before.
	firstListedAt time.Time
	// fenced says that it has answered a poll of this epoch: from then on it refuses orders of
	// previous owners.
	fenced bool
	// unresponsive says that a poll sent after the newest answered one has failed; the next
	// answer clears it. unresponsiveSince is when it was set.
	unresponsive      bool
	unresponsiveSince time.Time
	tasks             taskList
	// slot is its place among the workers of the current placement round.
	slot int
	// longestUnchanged is the longest time for which one of its tasks had made no progress by the
	// last answer.
	longestUnchanged time.Duration
	used             mothferry.Resources

	// clock is the worker's clock as last read, at clockReadAt at the latest.
	clock       mothferry.WorkerClock
	clockReadAt time.Time
	// lastAnswer is what the last answer shows about the time before it.
	lastAnswer pollAnswer
	// leaseUntil is the latest lease end that this owner requested or, once the worker has
	// answered, that a previous owner may have requested.
	leaseUntil mothferry.WorkerClock
	// priorLeaseEnd is the time before which the lease of an incarnation found at takeover, or
	// of one that follows another under its id, can't count as expired: polls of a previous
	// owner, or of the former incarnation, may have extended it. The former are refused once
	// the worker has answered, unlike the latter; followsFormer says that there may be such.
	priorLeaseEnd time.Time
	followsFormer bool

	// openPolls holds the polls without an answer in the order in which they were sent.
	// pollSent is when the last poll was sent, answered or not; those of pollNoWait don't
	// count.
	openPolls []openPoll
	pollSent  time.Time
	nextPoll  time.Time
	// answeredPollSent is when the newest answered poll was sent.
	answeredPollSent time.Time
	// lastEndSeen is the last end whose effect is in the state, lastEndStored the last one
	// whose effect is stored.
	lastEndSeen, lastEndStored mothferry.EndNumber
	// orphans holds the runs that should not be there and are not confirmed to have ended.
	orphans map[runID]orphan

	// lateStarts holds the runs that were released while orders to start them had no answer.
	lateStarts map[runID]lateStart

	// trial is the task that was last tried here because it may crash its workers, expiredRuns
	// holds the runs whose leases expired here since the worker last answered.
	trial       *task
	expiredRuns []unresolvedRun

	pausedUntil time.Time
	health      health
	// calmSince is when a serving task was last near its latency target or the pace of the
	// tasks that fill was last raised, whichever is later.
	calmSince time.Time
	// speed and slowStatus are what is known of how fast it is, hangs how many of its tasks
	// hung recently, hungJobs when a task of each job last did.
	speed      mfspeed.EndedRuns
	slowStatus mfstraggler.Status
	hangs      mfdecay.Sum
	hungJobs   map[mothferry.JobID]time.Time
}

// taskList holds the tasks of a worker in the order in which they were assigned, which is about that
// in which a worker reports them.
type taskList []*task

func (l *taskList) add(t *task) { *l = append(*l, t) }

func (l *taskList) remove(t *task) {
	if i := slices.Index(*l, t); i >= 0 {
		*l = slices.Delete(*l, i, i+1)
	}
}

// replace puts one task in the place of another.
func (l taskList) replace(old, t *task) {
	if i := slices.Index(l, old); i >= 0 {
		l[i] = t
	}
}

// tasksWhere returns the tasks on a worker for which keep holds, in the order of their names.
func (w *worker) tasksWhere(keep func(t *task) bool) []*task {
	var out []*task
	for _, t := range w.tasks {
		if keep(t) {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b *task) int { return compareNames(a.name, b.name) })
	return out
}

func compareNames(a, b mothferry.TaskName) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence),
		cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

func anyTask(*task) bool { return true }

type runID struct {
	task mothferry.TaskName
	run  mothferry.RunNumber
}

// addWorker adds a worker that is not known yet. It need not be listed if it has work from a
// previous owner.
func (s *State) addWorker(id mothferry.WorkerID) *worker {
	w := &worker{at: mothferry.WorkerAddress{Worker: id}, orphans: map[runID]orphan{}}
	w.priorLeaseEnd = s.PriorLeaseEnd
	s.workers[id] = w
	at, _ := slices.BinarySearchFunc(s.sortedWorkers, id, byID)
	s.sortedWorkers = slices.Insert(s.sortedWorkers, at, w)
	return w
}

func byID(w *worker, id mothferry.WorkerID) int { return cmp.Compare(w.at.Worker, id) }

func (s *State) workerListed(l Worker, now time.Time) {
	w, ok := s.workers[l.At.Worker]
	if !ok {
		w = s.addWorker(l.At.Worker)
	}
	known := w.restartedAt
	if !ok {
		w.firstListedAt = now
		s.returned(w, l.StartedAt, now)
	}
	if !w.acceptListing(l.StartedAt, now, s.Limits) {
		return
	}
	if !w.listed {
		w.nextPoll = now
		s.emit(Decision{Message: "worker is listed", Worker: l.At.Worker, Fields: map[string]any{"service": l.Service, "rack": l.Rack, "draining": l.Draining}})
	}
	if l.Draining && !w.Draining {
		s.emit(Decision{Message: "worker drains", Worker: l.At.Worker})
	}
	if w.at.Address != "" && w.at.Address != l.At.Address {
		// Answers to polls of the former address say nothing about the worker.
		w.openPolls, w.nextPoll = nil, now
	}
	w.Worker, w.at, w.listed = l, l.At, true
	if !w.restartedAt.Equal(known) {
		delete(s.endsInCommit, l.At.Worker)
		s.stopLateStarts(w, now)
	}
}

func (s *State) workerUnlisted(id mothferry.WorkerID, now time.Time) {
	w, ok := s.workers[id]
	if !ok {
		return
	}
	w.listed = false
	s.emit(Decision{Message: "worker is no longer listed", Worker: id, Fields: map[string]any{"tasks": len(w.tasks)}})
	if len(w.tasks) == 0 && w.at.Address == "" {
		s.removeWorker(w, now)
	}
}

// workerEnded requeues all tasks of an incarnation that has ended. The list or answer that shows
// the end was requested at requestedAt: if that was before the worker was first listed, or before a
// restart of it was detected or within restartGuard after that, the end is that of the previous
// incarnation and is ignored.
func (s *State) workerEnded(id mothferry.WorkerID, cause IncarnationEndCause, requestedAt, now time.Time) {
	w, ok := s.workers[id]
	if !ok {
		s.failJobsOf(s.resolveEnd(id, cause), now)
		return
	}
	if w.predatesRestart(requestedAt) {
		s.emit(Decision{Message: "life before is over", Worker: id, Fields: map[string]any{"cause": cause, "born": w.startedAt}})
		return
	}
	s.emit(Decision{Message: "worker's life is over", Worker: id, Fields: map[string]any{"tasks": len(w.tasks), "newest": w.newestRuns(), "cause": cause}})
	toFail := s.attributeEnd(w, w.tasksWhere(func(t *task) bool { return t.phase != phasePlanned }), cause, now)
	for _, t := range w.tasksWhere(anyTask) {
		s.requeue(t, releasedLifeEnded, now)
		s.delayRestart(t, now)
	}
	s.removeWorker(w, now)
	s.former[id] = s.former[id].endedBy(cause)
	s.failJobsOf(toFail, now)
}

// addsCapacity reports whether a worker counts towards the capacity of its service. One that has
// never answered this owner, and does not now, may be an entry that no worker wrote.
func (w *worker) addsCapacity() bool {
	return w.listed && !w.Draining && (w.fenced || !w.unresponsive)
}

// leasesExpired reports whether everything on a worker is confirmed to have ended because its
// lease ran out. The worker's clock is assumed to be as slow as it may be.
func (s *State) leasesExpired(w *worker, now time.Time) bool {
	if now.Before(w.priorLeaseEnd) && (!w.fenced || w.followsFormer) {
		return false
	}
	if w.clockReadAt.IsZero() {
		return true
	}
	passed := time.Duration(float64(now.Sub(w.clockReadAt)) * (1 - maxClockDrift))
	return w.clock+mothferry.WorkerClock(passed) > w.leaseUntil+mothferry.WorkerClock(leaseMargin)
}

// leaseEnd returns the lease end to request now, by the worker's clock, or zero if leases may
// not be extended. An owner that can't store anything any more must let leases expire: a new
// owner that can't reach the worker relies on it. Nor is the lease of an unresponsive worker
// extended: a poll may reach the worker though its answer is lost, so with each request the
// lease would have to count as extended and would never be known to have expired.
func (s *State) leaseEnd(w *worker, now time.Time) mothferry.WorkerClock {
	if w.clockReadAt.IsZero() || w.unresponsive || elapsed(s.lastCommit, now) >= s.Limits.RenewLeasesFor {
		return 0
	}
	// The drift of the worker's clock, which may be fast as well as slow, is not corrected
	// for: the worker shortens a lease that is too long.
	end := w.clock + mothferry.WorkerClock(now.Sub(w.clockReadAt)+s.Limits.LeaseDuration)
	w.leaseUntil = max(w.leaseUntil, end)
	return end
}

// elapsed returns the time since a moment, by the monotonic clock or the wall clock, whichever
// shows more. The monotonic clock stops while a host is suspended: an owner that resumes would
// take its last commit as recent.
func elapsed(since, now time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}

// pollAnswer is what an answer to a poll shows about the time since the one before.
//
// Without it the time for which an owner or a worker was paused would count as time in which
// tasks made no progress, and tasks would be stopped by dozens right after it.
type pollAnswer struct {
	// hasClock says that it has a reading of the worker's clock.
	hasClock bool
	// covered is the part of that time for which the worker is known to have worked.
	covered time.Duration
	// delayed says that the worker's clock had advanced by more than the wait of the poll and
	// pollAnswerMargin, because the worker was unresponsive or its answer took longer than
	// that. pollLate says that the answer before this one took longer to arrive, by more than
	// minPollInterval: this poll was sent late, and ends had waited for it.
	delayed, pollLate bool
}

// observeClock records a reading of a worker's clock from the answer to a poll.
func (w *worker) observeClock(clock mothferry.WorkerClock, poll openPoll, now time.Time) {
	if w.lastAnswer = (pollAnswer{}); clock <= 0 {
		return
	}
	w.lastAnswer.hasClock = true
	if !w.clockReadAt.IsZero() {
		passed, longest := max(0, time.Duration(clock-w.clock)), poll.wait+pollAnswerMargin
		w.lastAnswer.covered = min(passed, longest)
		w.lastAnswer.delayed = passed > longest && (w.unresponsive || now.Sub(poll.sent) > longest)
		w.lastAnswer.pollLate = passed-now.Sub(w.clockReadAt) > minPollInterval
	}
	w.clock, w.clockReadAt = clock, now
}

// pollWorkers sends the polls that are due.
func (s *State) pollWorkers(now time.Time) {
	lossy, overdue := s.losses.lossy(now), s.losses.overdueAfter()
	var unlisted []*worker
	for _, w := range s.sortedWorkers {
		if !w.mayPoll(lossy, overdue, now) || w.at.Address == "" || now.Before(w.nextPoll) {
			continue
		}
		if !w.listed && len(w.tasks) == 0 && len(w.orphans) == 0 {
			unlisted = append(unlisted, w)
			continue
		}
		if len(w.tasks) == 0 && len(w.orphans) == 0 && s.unknownService(w) {
			continue
		}
		// Ends whose effect is not stored yet would only be listed again.
		if w.lastEndStored < w.lastEndSeen && !w.unresponsive {
			continue
		}
		s.poll(w, now)
	}
	for _, w := range unlisted {
		s.removeWorker(w, now)
	}
}

// unknownService reports whether a worker claims to be of a service that does not exist: its
// entry was not written by a worker of this fleet, and nothing is sent to its address.
func (s *State) unknownService(w *worker) bool { return s.services != nil && !s.services[w.Service] }

// removeWorker removes an incarnation that has ended, or is neither listed nor has work.
func (s *State) removeWorker(w *worker, now time.Time) {
	s.former[w.at.Worker] = formerWorker{removedAt: now, startedAt: w.newestStartedAt(), lateStarts: w.lateStarts}
	s.dropOrphans(w)
	delete(s.workers, w.at.Worker)
	if at, found := slices.BinarySearchFunc(s.sortedWorkers, w.at.Worker, byID); found {
		s.sortedWorkers = slices.Delete(s.sortedWorkers, at, at+1)
	}
	delete(s.endsInCommit, w.at.Worker)
}

// acknowledgedEnd returns up to which number a worker may forget its ends: none while it doesn't answer, as
// another incarnation may have started that numbers its ends anew.
func (w *worker) acknowledgedEnd() mothferry.EndNumber {
	if w.unresponsive {
		return 0
	}
	return w.lastEndStored
}

// pollNoWait polls a worker without waiting for ends.
func (s *State) pollNoWait(w *worker, now time.Time) {
	s.sendPoll(w, mothferry.PollOrder{Epoch: s.Epoch, LastEndSeen: w.acknowledgedEnd(), Until: s.leaseEnd(w, now)}, now)
}

func (s *State) poll(w *worker, now time.Time) {
	order := mothferry.PollOrder{Epoch: s.Epoch, LastEndSeen: w.acknowledgedEnd()}
	order.Until = s.leaseEnd(w, now)
	switch {
	case !w.fenced || w.unresponsive:
	case len(w.tasks) == 0:
		order.Wait = idlePollWait
	case w.onTrial():
		order.Wait = trialPollWait
	case w.hasFiniteTasks():
		order.Wait = busyPollWait
		if s.losses.lossy(now) {
			order.Wait = lossyPollWait
		}
	default:
		order.Wait = pollWait
	}
	w.pollSent = now
	s.sendPoll(w, order, now)
}

// openPoll is a poll without an answer yet.
type openPoll struct {
	number  int
	address string
	sent    time.Time
	wait    time.Duration
}

func (s *State) sendPoll(w *worker, order mothferry.PollOrder, now time.Time) {
	s.pollCount++
	w.openPolls = append(w.openPolls, openPoll{number: s.pollCount, address: w.at.Address, sent: now, wait: order.Wait})
	s.emit(Poll{At: w.at, Number: s.pollCount, Order: order})
}

// closePoll removes a poll that has ended and returns it; number zero stands for the oldest. It
// reports whether the poll was sent to the incarnation and the address known now.
func (w *worker) closePoll(number int) (openPoll, bool) {
	at := slices.IndexFunc(w.openPolls, func(p openPoll) bool { return p.number == number })
	if number == 0 && len(w.openPolls) > 0 {
		at = 0
	}
	if at < 0 {
		return openPoll{}, number == 0
	}
	poll := w.openPolls[at]
	w.openPolls = slices.Delete(w.openPolls, at, at+1)
	return poll, true
}
