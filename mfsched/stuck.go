package mfsched

import (
	"time"

	"mothferry"
	"mothferry/mfstraggler"
)

const (
	// stuckAfter is how long a task's percentage may stay the same, with stuckEstimateShare of
	// its estimate added: percentages are whole, so a long task's changes rarely, and a slow
	// worker's more rarely still. At a sixth of the normal speed one percent of a task still
	// takes a fifth of that share.
	stuckAfter         = 1200 * time.Millisecond
	stuckEstimateShare = 0.3
	// maxStuckDoublings bounds the doubling of that time with each stop. A task that is stuck
	// wherever it runs would lose its work again and again; one that is stuck on faulty
	// workers has found a healthy one after a stop or two.
	maxStuckDoublings = 5
)

// stopStuck stops tasks that make no progress, so that they restart elsewhere from their
// checkpoint. A worker that hangs its tasks still answers polls, so nothing else would detect
// it.
func (s *State) stopStuck(now time.Time) {
	for _, w := range s.sortedWorkers {
		if w.unresponsive || !w.fenced || w.longestUnchanged <= mfstraggler.MinHangTime {
			continue
		}
		for _, t := range w.tasksWhere(s.stuck) {
			s.emit(Decision{Message: "task stands still", Job: t.job.id, Worker: w.at.Worker, Fields: map[string]any{
				"step": t.name.Step, "index": t.name.Index, "run": t.run, "percent": t.percent, "still_ms": t.unchangedFor.Milliseconds(),
			}})
			t.avoidWorker = w.at.Worker
			t.stuckStops++
			w.hangs.Add(1, hangDecayTime, now)
			if w.hungJobs == nil {
				w.hungJobs = map[mothferry.JobID]time.Time{}
			}
			w.hungJobs[t.job.id] = now
			s.stop(t, now)
		}
	}
}

func (s *State) stuck(t *task) bool {
	spec := t.step.spec
	if t.unchangedFor <= mfstraggler.MinHangTime {
		return false
	}
	if t.phase != phaseRunning || t.pace < fullPace || spec.Gang || spec.Fills {
		return false
	}
	if spec.Lasting && t.percent >= fullPace {
		return false
	}
	return t.unchangedFor > s.stallTimeout(t)<<min(t.stuckStops, maxStuckDoublings)
}
