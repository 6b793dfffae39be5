package mfsched

import "time"

// Figures for slowing tasks that fill.
const (
	// paceAt is the part of its target at which a serving task's tail makes
	// the tasks that fill beside it slow down, paceCalm the part below which
	// they may speed up again.
	paceAt   = 0.85
	paceCalm = 0.6
	// paceUpEvery and paceUpStep are how fast they speed up again.
	paceUpEvery = time.Second
	paceUpStep  = 20
)

// settlePace slows the tasks that fill on a worker while a serving task there
// is near its target, and lets them go again when all have been calm.
func (s *State) settlePace(w *worker, now time.Time) {
	worst, serving := 0.0, false
	for _, t := range w.tasks {
		if t.step.of.TailTarget <= 0 || t.phase != phaseRunning {
			continue
		}
		serving = true
		worst = max(worst, float64(t.tail)/float64(t.step.of.TailTarget))
	}
	switch {
	case worst >= paceAt:
		w.calmSince = now
		s.paceAll(w, func(pace int) int {
			if worst >= 1 {
				return 0
			}
			return pace / 2
		})
	case !serving:
		s.paceAll(w, func(int) int { return fullPace })
	case worst < paceCalm && now.Sub(w.calmSince) >= paceUpEvery:
		w.calmSince = now
		s.paceAll(w, func(pace int) int { return min(fullPace, pace+paceUpStep) })
	}
}

// paceAll sets the pace of all tasks that fill on a worker.
func (s *State) paceAll(w *worker, next func(pace int) int) {
	for _, t := range w.pick(func(t *task) bool { return t.step.of.Fills && t.phase == phaseRunning }) {
		pace := next(t.pace)
		if pace == t.pace {
			continue
		}
		t.pace = pace
		s.emit(Pace{At: w.at, Task: t.name, Run: t.run, Percent: pace})
	}
}
