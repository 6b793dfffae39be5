package mfsched

import (
	"time"

	"mothferry"
)

// health is what a worker's ends say about it.
type health struct {
	// failedRuns counts failed runs since the last one that did its work, and
	// jobs whose tasks they were.
	failedRuns  int
	lastFailure time.Time
	jobs        map[mothferry.JobID]bool
	// quarantinedUntil is when it may get work again, times how often it was shunned.
	quarantinedUntil time.Time
	quarantines      int
}

// Figures for shunning workers that fail what they start.
const (
	// quarantineAfter failed runs in a row of shunJobs different jobs make a worker
	// suspect. A job that can never be done fails everywhere, so that one job
	// alone says nothing about the worker.
	quarantineAfter   = 3
	quarantineMinJobs = 2
	// quarantineWindow is how close together those failures must be.
	quarantineWindow = 3 * time.Second
	// quarantineFor is how long it then gets no work; doubled each time it fails again.
	quarantineFor = 3 * time.Second
	// maxQuarantineDoublings bounds the doubling.
	maxQuarantineDoublings = 3
	// maxQuarantinedShare is the largest part of a service's workers that may be shunned:
	// failures that all workers share have another cause.
	maxQuarantinedShare = 1.0 / 3
)

// updateHealth takes an end into what is known of its worker.
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

// quarantine gives a worker no work for a time, unless too many are shunned already.
// The first run after that is its trial: it fails, and the time is doubled.
func (s *State) quarantine(w *worker, now time.Time) {
	all, out := 0, 0
	for _, o := range s.workers {
		if o.Service != w.Service || !o.listed {
			continue
		}
		all++
		if now.Before(o.health.quarantinedUntil) {
			out++
		}
	}
	if float64(out+1) > maxQuarantinedShare*float64(all) {
		return
	}
	w.health.quarantinedUntil = now.Add(quarantineFor << min(w.health.quarantines, maxQuarantineDoublings))
	w.health.quarantines++
	w.health.failedRuns, w.health.jobs = 0, nil
	s.emit(Decision{Message: "worker is shunned", Worker: w.at.Worker, Fields: map[string]any{"service": w.Service, "times": w.health.quarantines, "until": w.health.quarantinedUntil}})
}
