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

// worker is one life of a worker.
type worker struct {
	Worker
	at     mothferry.WorkerAddress
	listed bool
	// startedAt is when the life began that answered last, began when it was heard to have taken
	// the place of another one under the same id; zero if it has not. Worker.Born is when the
	// listed life began.
	startedAt   mothferry.LifeStart
	restartedAt time.Time
	// fenced says that it has answered a look of this epoch: it refuses
	// orders of earlier owners from then on.
	fenced bool
	// unresponsive says that the last look had no answer, failedAt since when.
	unresponsive      bool
	unresponsiveSince time.Time
	tasks             map[mothferry.TaskName]*task
	used              mothferry.Resources

	// clock is the worker's clock as read by read at the latest.
	clock       mothferry.WorkerClock
	clockReadAt time.Time
	// lastAnswer is what the last answer tells of the time before it.
	lastAnswer pollAnswer
	// leaseUntil is the latest lease end that was ever asked for.
	leaseUntil mothferry.WorkerClock
	// priorLeaseEnd is before when the lease of a life found at takeover can't be
	// taken as lapsed.
	priorLeaseEnd time.Time

	// openPolls holds the looks under way, in the order in which they were sent; lookSent is
	// when the last one was.
	openPolls []openPoll
	pollSent  time.Time
	nextPoll  time.Time
	// answeredPollSent is when the newest look was sent that was answered.
	answeredPollSent time.Time
	// lastEndSeen is the last end whose effect is in the state, noted the last one
	// whose effect is stored.
	lastEndSeen, lastEndStored mothferry.EndNumber
	// orphans holds the runs that should not be there and have not surely ended.
	orphans map[runID]orphanStop

	// trial is the task that was last tried here for ending its workers, lapsed holds the
	// runs whose leases ran out here since the worker last answered.
	trial       *task
	expiredRuns []unresolvedRun

	pausedUntil time.Time
	health      health
	calmSince   time.Time
	// speed and standing are what is known of how fast it is, hangs how many of its tasks
	// hung lately, hung when tasks of which jobs did.
	speed      mfspeed.EndedRuns
	slowStatus mfstraggler.Status
	hangs      mfdecay.Sum
	hungJobs   map[mothferry.JobID]time.Time
}

// tasksWhere returns the tasks on a worker for which keep holds, in the order of
// their names.
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

// orphanStop is when a stray run was last told to stop, and what it takes.
type orphanStop struct {
	sentAt time.Time
	// reserved is what it takes of its worker, need what it takes of its account's limit.
	reserved, need mothferry.Resources
	account        *account
}

// reserved is the room that tasks and stray runs take. A worker that does not refuse what
// does not fit would have more on it than its room if the latter were left out.
func (w *worker) reserved() mothferry.Resources {
	sum := w.used
	for _, r := range w.orphans {
		sum = sum.Add(r.reserved)
	}
	return sum
}

// dropEndedOrphans forgets the stray runs that a look does not show which was sent after they
// had been told to stop.
func (w *worker) dropEndedOrphans(running []mothferry.RunningTask, looked time.Time) {
	if len(w.orphans) == 0 {
		return
	}
	there := map[runID]bool{}
	for _, r := range running {
		there[runID{task: r.Task, run: r.Run}] = true
	}
	for r, stop := range w.orphans {
		if !there[r] && !stop.sentAt.After(looked) {
			delete(w.orphans, r)
		}
	}
}

// addWorker stands for a life that an earlier owner gave work to and that is
// not listed (yet).
func (s *State) addWorker(id mothferry.WorkerID) *worker {
	w := &worker{at: mothferry.WorkerAddress{Worker: id}, tasks: map[mothferry.TaskName]*task{}, orphans: map[runID]orphanStop{}}
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
	w.Worker, w.at, w.listed = l, l.At, true
}

func (s *State) workerUnlisted(id mothferry.WorkerID) {
	w, ok := s.workers[id]
	if !ok {
		return
	}
	w.listed = false
	s.emit(Decision{Message: "worker is no longer listed", Worker: id, Fields: map[string]any{"tasks": len(w.tasks)}})
	if len(w.tasks) == 0 && w.at.Address == "" {
		s.removeWorker(w)
	}
}

// workerEnded frees all tasks of a life that has ended, by an answer that was asked for at a time.
func (s *State) workerEnded(id mothferry.WorkerID, cause IncarnationEndCause, asked, now time.Time) {
	w, ok := s.workers[id]
	if !ok {
		s.failJobsOf(s.resolveEnd(id, cause), now)
		return
	}
	if w.predatesRestart(asked) {
		s.emit(Decision{Message: "life before is over", Worker: id, Fields: map[string]any{"cause": cause, "born": w.startedAt}})
		return
	}
	s.emit(Decision{Message: "worker's life is over", Worker: id, Fields: map[string]any{"tasks": len(w.tasks), "newest": w.newestRuns(), "cause": cause}})
	guilty := s.attributeEnd(w, w.tasksWhere(func(t *task) bool { return t.phase != phasePlanned }), cause, now)
	for _, t := range w.tasksWhere(anyTask) {
		s.requeue(t, now)
		s.delayRestart(t, now)
	}
	s.removeWorker(w)
	s.failJobsOf(guilty, now)
}

// leasesExpired reports whether everything on a worker has surely ended because its
// lease ran out. The worker's clock is taken to be as slow as it may be.
func (s *State) leasesExpired(w *worker, now time.Time) bool {
	if now.Before(w.priorLeaseEnd) && !w.fenced {
		return false
	}
	if w.clockReadAt.IsZero() {
		return true
	}
	passed := time.Duration(float64(now.Sub(w.clockReadAt)) * (1 - maxClockDrift))
	return w.clock+mothferry.WorkerClock(passed) > w.leaseUntil+mothferry.WorkerClock(leaseMargin)
}

// leaseEnd returns the lease end to ask for now, by the worker's clock, or
// zero if leases may not be extended. An owner that can't store anything any
// more must let leases lapse: a successor that can't reach the worker counts
// on it. Nor is the lease of a worker extended that did not answer last: the
// look may arrive all the same, and the lease would never be known to lapse.
func (s *State) leaseEnd(w *worker, now time.Time) mothferry.WorkerClock {
	if w.clockReadAt.IsZero() || w.unresponsive || elapsed(s.lastCommit, now) >= s.Limits.RenewLeasesFor {
		return 0
	}
	// The clock may be fast as well as slow; the worker cuts what is too long.
	end := w.clock + mothferry.WorkerClock(now.Sub(w.clockReadAt)+s.Limits.LeaseDuration)
	w.leaseUntil = max(w.leaseUntil, end)
	return end
}

// elapsed returns the time since a moment, by the steady clock or the time of
// day, whichever shows more. The steady clock stands still while a host is
// suspended: an owner that wakes up would take its last commit as recent.
func elapsed(since, now time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}

// pollAnswer is what an answer to a look tells of the time since the one before.
//
// What goes wrong without it: an owner or a worker that stood still takes that time for time in which
// tasks did not advance. One notices by tasks that are stopped by dozens right after it.
type pollAnswer struct {
	// hasClock says that it has a reading of the worker's clock.
	hasClock bool
	// covered is the part of that time for which the worker is known to have worked.
	covered time.Duration
	// delayed says that the worker did not answer, or much later than the look was to wait; late that
	// the look came late, so that ends had waited for it.
	delayed, pollLate bool
}

// observeClock takes in a reading of a worker's clock, told by the answer to a look.
func (w *worker) observeClock(clock mothferry.WorkerClock, look openPoll, now time.Time) {
	if w.lastAnswer = (pollAnswer{}); clock <= 0 {
		return
	}
	w.lastAnswer.hasClock = true
	if !w.clockReadAt.IsZero() {
		passed, most := max(0, time.Duration(clock-w.clock)), look.wait+pollAnswerMargin
		w.lastAnswer.covered = min(passed, most)
		w.lastAnswer.delayed = passed > most && (w.unresponsive || now.Sub(look.sent) > most)
		w.lastAnswer.pollLate = passed-now.Sub(w.clockReadAt) > minPollInterval
	}
	w.clock, w.clockReadAt = clock, now
}

// pollWorkers asks for the looks that are due.
func (s *State) pollWorkers(now time.Time) {
	lossy, overdue := s.losses.lossy(now), s.losses.overdueAfter()
	var gone []*worker
	for _, w := range s.sortedWorkers {
		if !w.mayPoll(lossy, overdue, now) || w.at.Address == "" || now.Before(w.nextPoll) {
			continue
		}
		if !w.listed && len(w.tasks) == 0 {
			gone = append(gone, w)
			continue
		}
		if len(w.tasks) == 0 && s.unknownService(w) {
			continue
		}
		// Ends whose effect is not stored yet would only be listed again.
		if w.lastEndStored < w.lastEndSeen && !w.unresponsive {
			continue
		}
		s.poll(w, now)
	}
	for _, w := range gone {
		s.removeWorker(w)
	}
}

// unknownService reports whether a worker says that it is of a service that does not exist: its
// entry was not written by a worker of this fleet, and nothing is sent to its address.
func (s *State) unknownService(w *worker) bool { return s.services != nil && !s.services[w.Service] }

// removeWorker drops a life that is neither listed nor has work.
func (s *State) removeWorker(w *worker) {
	delete(s.workers, w.at.Worker)
	if at, found := slices.BinarySearchFunc(s.sortedWorkers, w.at.Worker, byID); found {
		s.sortedWorkers = slices.Delete(s.sortedWorkers, at, at+1)
	}
	delete(s.endsInCommit, w.at.Worker)
}

// pollNoWait looks at a worker without waiting for ends.
func (s *State) pollNoWait(w *worker, now time.Time) {
	s.sendPoll(w, mothferry.LookOrder{Epoch: s.Epoch, Noted: w.lastEndStored, Until: s.leaseEnd(w, now)}, now)
}

func (s *State) poll(w *worker, now time.Time) {
	order := mothferry.LookOrder{Epoch: s.Epoch, Noted: w.lastEndStored}
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

// openPoll is a look without an answer yet.
type openPoll struct {
	number int
	sent   time.Time
	wait   time.Duration
}

func (s *State) sendPoll(w *worker, order mothferry.LookOrder, now time.Time) {
	s.pollCount++
	w.openPolls = append(w.openPolls, openPoll{number: s.pollCount, sent: now, wait: order.Wait})
	s.emit(Poll{At: w.at, Number: s.pollCount, Order: order})
}

// closePoll takes in that a look has ended, and returns it; one without a number is the oldest.
func (w *worker) closePoll(number int) openPoll {
	at := slices.IndexFunc(w.openPolls, func(l openPoll) bool { return l.number == number })
	if number == 0 && len(w.openPolls) > 0 {
		at = 0
	}
	if at < 0 {
		return openPoll{}
	}
	look := w.openPolls[at]
	w.openPolls = slices.Delete(w.openPolls, at, at+1)
	return look
}
