package mfsched

import (
	"time"

	"mothferry"
)

// evacuate moves lasting tasks away from workers that are to be evacuated or drain, as many at
// a time as their steps may miss, and only where there is free capacity elsewhere: a waiting
// task is less useful than one that runs until its worker ends.
func (s *State) evacuate(now time.Time) {
	rooms := map[mothferry.ServiceID]*evacuationRoom{}
	for _, w := range s.sortedWorkers {
		if !s.toEvacuate[w.at.Worker] && !w.Draining || w.unresponsive {
			continue
		}
		for _, t := range w.tasksWhere(func(t *task) bool { return t.step.spec.Lasting && t.phase == phaseRunning }) {
			if !s.mayStop(t, now) || t.job.account.overLimit() {
				continue
			}
			service := s.queueOf(t.job).Service
			room := rooms[service]
			if room == nil {
				room = s.evacuationRoomOf(service, now)
				rooms[service] = room
			}
			if s.fitsElsewhere(t, room) {
				room.toPlace++
				s.emit(Decision{Message: "task is moved away", Job: t.job.id, Worker: w.at.Worker, Fields: map[string]any{"step": t.name.Step, "index": t.name.Index, "run": t.run}})
				s.stop(t, now)
			}
		}
	}
}

// mayStop reports whether the scheduler may stop a lasting task by its own choice: fewer
// others of its step are unavailable than the step may miss, or the step sets no bound.
func (s *State) mayStop(t *task, now time.Time) bool {
	if t.step.spec.MayMiss == 0 {
		return true
	}
	return s.otherTasksUnavailable(t, now) < t.step.spec.MayMiss
}

// otherTasksUnavailable counts the other tasks of a step that are unavailable. A task counts
// if its worker is unresponsive, as it may have ended unseen. So does a run that a previous
// owner started, for as long as a stop takes: that owner may have stopped it, and its worker
// lists it as running until it has ended.
func (s *State) otherTasksUnavailable(t *task, now time.Time) int {
	count := 0
	for _, o := range t.step.tasks {
		if o == t {
			continue
		}
		stopPeriod := s.Limits.StopTimeout + stopMargin
		mayBeStopping := !o.inheritedAt.IsZero() && now.Sub(o.inheritedAt) < stopPeriod
		// A start without answer is ordered to stop, and may be listed as running until it
		// has.
		stopping := !o.stopSentAt.IsZero() && now.Sub(o.stopSentAt) < stopPeriod
		if o.phase != phaseRunning || !o.unavailableSince.IsZero() || o.worker.unresponsive || mayBeStopping || stopping {
			count++
		}
	}
	return count
}

// evacuationRoom is what a service has for the lasting tasks that are moved.
type evacuationRoom struct {
	usable []*worker
	// toPlace is the number of lasting tasks that wait or are being stopped.
	toPlace int
}

func (s *State) evacuationRoomOf(service mothferry.ServiceID, now time.Time) *evacuationRoom {
	return &evacuationRoom{usable: s.usable(service, now), toPlace: s.lastingTasksToPlace(service)}
}

// fitsElsewhere reports whether the usable workers of a task's service have free capacity for
// it and for all lasting tasks that are yet to be placed, which are assumed to be as large.
func (s *State) fitsElsewhere(t *task, room *evacuationRoom) bool {
	need := 1 + room.toPlace
	for _, w := range room.usable {
		need -= s.slotsFor(t, w, need)
		if need <= 0 {
			return true
		}
	}
	return false
}

// lastingTasksToPlace counts a service's lasting tasks that wait or are being stopped.
func (s *State) lastingTasksToPlace(service mothferry.ServiceID) int {
	count := 0
	for _, j := range s.live {
		if !j.lasts || s.queueOf(j).Service != service {
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

// slotsFor returns how many tasks like t a worker has free capacity for, up to limit.
func (s *State) slotsFor(t *task, w *worker, limit int) int {
	limit = min(limit, perWorkerLimit(t.step.spec.PerWorker)-s.stepTasksOn(t.step, w))
	count := 0
	for used := w.reserved(); count < limit; count++ {
		if !feasible(t, w, used) {
			break
		}
		used = used.Add(t.step.spec.Reservation())
	}
	return count
}
