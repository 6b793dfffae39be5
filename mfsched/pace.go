package mfsched

import "time"

const (
	// paceDownThreshold is the fraction of its target at which a serving task's tail latency
	// throttles the tasks that fill on the same worker, paceUpThreshold the fraction below
	// which they may speed up again.
	paceDownThreshold = 0.85
	paceUpThreshold   = 0.6
	// paceUpInterval and paceUpStep are how often, and by how many percent, they speed up
	// again.
	paceUpInterval = time.Second
	paceUpStep     = 20
)

// adjustPace throttles the tasks on a worker that fill idle processor time while a serving
// task there is near its target, and speeds them up again once all serving tasks are well
// below theirs.
func (s *State) adjustPace(w *worker, now time.Time) {
	worst, serving := 0.0, false
	for _, t := range w.tasks {
		if t.step.spec.TailTarget <= 0 || t.phase != phaseRunning {
			continue
		}
		serving = true
		worst = max(worst, float64(t.tailLatency)/float64(t.step.spec.TailTarget))
	}
	switch {
	case worst >= paceDownThreshold:
		w.calmSince = now
		s.setPace(w, func(pace int) int {
			if worst >= 1 {
				return 0
			}
			return pace / 2
		})
	case !serving:
		s.setPace(w, func(int) int { return fullPace })
	case worst < paceUpThreshold && now.Sub(w.calmSince) >= paceUpInterval:
		w.calmSince = now
		s.setPace(w, func(pace int) int { return min(fullPace, pace+paceUpStep) })
	}
}

// setPace sets the pace of all tasks that fill on a worker.
func (s *State) setPace(w *worker, next func(pace int) int) {
	for _, t := range w.tasksWhere(func(t *task) bool { return t.step.spec.Fills && t.phase == phaseRunning }) {
		pace := next(t.pace)
		if pace == t.pace {
			continue
		}
		t.pace = pace
		s.emit(Pace{At: w.at, Task: t.name, Run: t.run, Percent: pace})
	}
}
