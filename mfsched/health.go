package mfsched

import (
	"time"

	"mothferry"
)

// health is what the ends of its runs show about a worker.
type health struct {
	// failedRuns counts failed runs since the last successful one, jobs holds the jobs that
	// they belonged to.
	failedRuns  int
	lastFailure time.Time
	jobs        map[mothferry.JobID]bool
	// quarantinedUntil is when it may get work again, quarantines how often it was quarantined
	// since its last successful run.
	quarantinedUntil time.Time
	quarantines      int
}

const (
	// quarantineAfter is how many failed runs in a row, of quarantineMinJobs different jobs,
	// put a worker into quarantine. A job that can never succeed fails everywhere, so one job
	// alone says nothing about the worker.
	quarantineAfter   = 3
	quarantineMinJobs = 2
	// quarantineWindow is the longest time between two of those failures.
	quarantineWindow = 3 * time.Second
	// quarantineFor is how long the worker then gets no work; it is doubled each time the
	// worker fails again.
	quarantineFor = 3 * time.Second
	// maxQuarantineDoublings bounds the doubling.
	maxQuarantineDoublings = 3
	// maxQuarantinedShare is the largest fraction of a service's workers that may be quarantined:
	// failures that all workers share have another cause.
	maxQuarantinedShare = 1.0 / 3
)

// updateHealth updates what is known of a worker's health after the end of a run.
func (s *State) updateHealth(w *worker, t *task, cause mothferry.EndCause, now time.Time) {
	h := &w.health
	switch cause {
	case mothferry.EndDone:
		h.failedRuns, h.jobs, h.quarantines = 0, nil, 0
	case mothferry.EndFailed:
		if now.Sub(h.lastFailure) > quarantineWindow {
			h.failedRuns, h.jobs = 0, nil
		}
		h.lastFailure = now
		h.failedRuns++
		if h.jobs == nil {
			h.jobs = map[mothferry.JobID]bool{}
		}
		h.jobs[t.job.id] = true
		if h.failedRuns >= quarantineAfter && len(h.jobs) >= quarantineMinJobs || h.quarantines > 0 {
			s.quarantine(w, now)
		}
	}
}

// quarantine gives a worker no work for a time, unless too many are quarantined already. The
// first run after that is a probe: if it fails, the worker is quarantined for twice as long.
func (s *State) quarantine(w *worker, now time.Time) {
	listed, quarantined := 0, 0
	for _, o := range s.workers {
		if o.Service != w.Service || !o.listed {
			continue
		}
		listed++
		if now.Before(o.health.quarantinedUntil) {
			quarantined++
		}
	}
	if float64(quarantined+1) > maxQuarantinedShare*float64(listed) {
		return
	}
	w.health.quarantinedUntil = now.Add(quarantineFor << min(w.health.quarantines, maxQuarantineDoublings))
	w.health.quarantines++
	w.health.failedRuns, w.health.jobs = 0, nil
	s.emit(Decision{Message: "worker is shunned", Worker: w.at.Worker, Fields: map[string]any{"service": w.Service, "times": w.health.quarantines, "until": w.health.quarantinedUntil}})
}
