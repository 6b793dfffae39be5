package mfsched

import (
	"time"

	"mothferry"
)

// health is what a worker's ends say about it.
type health struct {
	// failing counts failed runs since the last one that did its work, and
	// jobs whose tasks they were.
	failing int
	last    time.Time
	jobs    map[mothferry.JobID]bool
	// shunnedUntil is when it may get work again, times how often it was shunned.
	shunnedUntil time.Time
	times        int
}

// Figures for shunning workers that fail what they start.
const (
	// shunAfter failed runs in a row of shunJobs different jobs make a worker
	// suspect. A job that can never be done fails everywhere, so that one job
	// alone says nothing about the worker.
	shunAfter = 3
	shunJobs  = 2
	// shunWindow is how close together those failures must be.
	shunWindow = 3 * time.Second
	// shunFor is how long it then gets no work; doubled each time it fails again.
	shunFor = 3 * time.Second
	// shunDoublings bounds the doubling.
	shunDoublings = 3
	// shunShare is the largest part of a service's workers that may be shunned:
	// failures that all workers share have another cause.
	shunShare = 1.0 / 3
)

// noteHealth takes an end into what is known of its worker.
func (s *State) noteHealth(w *worker, t *task, cause mothferry.EndCause, now time.Time) {
	h := &w.health
	switch cause {
	case mothferry.EndDone:
		h.failing, h.jobs, h.times = 0, nil, 0
	case mothferry.EndFailed:
		if now.Sub(h.last) > shunWindow {
			h.failing, h.jobs = 0, nil
		}
		h.last = now
		h.failing++
		if h.jobs == nil {
			h.jobs = map[mothferry.JobID]bool{}
		}
		h.jobs[t.job.id] = true
		if h.failing >= shunAfter && len(h.jobs) >= shunJobs || h.times > 0 {
			s.shun(w, now)
		}
	}
}

// shun gives a worker no work for a time, unless too many are shunned already.
// The first run after that is its trial: it fails, and the time is doubled.
func (s *State) shun(w *worker, now time.Time) {
	all, out := 0, 0
	for _, o := range s.workers {
		if o.Service != w.Service || !o.listed {
			continue
		}
		all++
		if now.Before(o.health.shunnedUntil) {
			out++
		}
	}
	if float64(out+1) > shunShare*float64(all) {
		return
	}
	w.health.shunnedUntil = now.Add(shunFor << min(w.health.times, shunDoublings))
	w.health.times++
	w.health.failing, w.health.jobs = 0, nil
	s.emit(Decision{Message: "worker is shunned", Worker: w.at.Worker, Fields: map[string]any{"service": w.Service, "times": w.health.times, "until": w.health.shunnedUntil}})
}
