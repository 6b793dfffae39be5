package mfsched

import (
	"time"

	"mothferry"
)

// evacuate moves lasting tasks away from workers that are leaving or drain, as
// many at a time as their steps may miss, and only where there is room for them:
// a task that waits is of less use than one that stays until its worker ends.
func (s *State) evacuate(now time.Time) {
	for _, w := range s.sortedWorkers {
		if !s.toEvacuate[w.at.Worker] && !w.Draining || w.unresponsive {
			continue
		}
		for _, t := range w.tasksWhere(func(t *task) bool { return t.step.spec.Lasting && t.phase == phaseRunning }) {
			if s.mayStop(t, now) && !t.job.account.overLimit() && s.fitsElsewhere(t, now) {
				s.emit(Decision{Message: "task is moved away", Job: t.job.id, Worker: w.at.Worker, Fields: map[string]any{"step": t.name.Step, "index": t.name.Index, "run": t.run}})
				s.stop(t, now)
			}
		}
	}
}

// mayStop reports whether a lasting task may be stopped by our own choice: so
// many of its step may be missing, and as many others are not.
func (s *State) mayStop(t *task, now time.Time) bool {
	if t.step.spec.MayMiss == 0 {
		return true
	}
	return s.otherTasksUnavailable(t, now) < t.step.spec.MayMiss
}

// otherTasksUnavailable counts the other tasks of a step that are not at work. One
// whose worker was not heard counts as missing: its end may just not be known.
// So does one that an earlier owner started, until it could no longer be on its
// way out: that owner may have stopped it, and its worker lists it as running
// until it has ended.
func (s *State) otherTasksUnavailable(t *task, now time.Time) int {
	count := 0
	for _, o := range t.step.tasks {
		if o == t {
			continue
		}
		ending := s.Limits.StopTimeout + stopMargin
		leaving := !o.inheritedAt.IsZero() && now.Sub(o.inheritedAt) < ending
		// A start without answer is told to stop, and may show as running until it has.
		stopped := !o.stopSentAt.IsZero() && now.Sub(o.stopSentAt) < ending
		if o.phase != phaseRunning || !o.unavailableSince.IsZero() || o.worker.unresponsive || leaving || stopped {
			count++
		}
	}
	return count
}

// fitsElsewhere reports whether the usable workers of a task's service have room
// for it and for all lasting tasks that are on their way already, taken to be as
// large as it is.
func (s *State) fitsElsewhere(t *task, now time.Time) bool {
	service := s.queueOf(t.job).Service
	need := 1 + s.lastingTasksToPlace(service)
	for _, w := range s.usable(service, now) {
		need -= s.slotsFor(t, w, need)
		if need <= 0 {
			return true
		}
	}
	return false
}

// lastingTasksToPlace counts a service's lasting tasks that wait or are stopped.
func (s *State) lastingTasksToPlace(service mothferry.ServiceID) int {
	count := 0
	for _, j := range s.live {
		if !j.submission.Lasts() || s.queueOf(j).Service != service {
			continue
		}
		for t := range j.tasks() {
			if t.phase == phaseWaiting || t.phase == phaseStopping {
				count++
			}
		}
	}
	return count
}

// slotsFor returns for how many tasks like t a worker has room, at most some.
func (s *State) slotsFor(t *task, w *worker, most int) int {
	most = min(most, perWorkerLimit(t.step.spec.PerWorker)-s.stepTasksOn(t.step, w))
	count := 0
	for used := w.reserved(); count < most; count++ {
		if !feasible(t, w, used) {
			break
		}
		used = used.Add(t.step.spec.Room())
	}
	return count
}
