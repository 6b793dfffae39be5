package mfsched

import (
	"math"
	"time"
)

// The load it answers: the demand of a pool rises over some five seconds to five
// times its mean and falls again, while a machine that is sent to it takes two
// seconds until it works. Sized by what comes now, a pool is two seconds behind
// all the way up, and its jobs are late though the fleet has room.

// Figures of the forecast.
const (
	// fastMemory and slowMemory are how long arrivals count in two rates. A rate
	// with a memory of so long is as old as that where the demand rises evenly, so
	// that the difference of both shows how fast it rises.
	fastMemory = 500 * time.Millisecond
	slowMemory = 1500 * time.Millisecond
	// workMemory is how long a job counts in the mean work of its service's jobs:
	// long, as few wide ones have much of the work.
	workMemory = 20 * time.Second
	// forecastLead is how far ahead it looks: a move takes 1.5 s, and its worker
	// is listed and looked at within half a second more.
	// Looking a second further covers what machines need to run empty; beyond that it
	// is wrong by more where a rise ends.
	forecastLead = 3 * time.Second
	// doubt is by how many standard deviations the rates must differ before that
	// counts as a change of demand: single jobs come at random.
	doubt = 0.5
)

// decaying is a sum that decays.
type decaying struct {
	sum float64
	at  time.Time
}

func (d *decaying) decay(memory time.Duration, now time.Time) {
	if !d.at.IsZero() {
		d.sum *= math.Exp(-float64(now.Sub(d.at)) / float64(memory))
	}
	d.at = now
}

func (d *decaying) add(x float64, memory time.Duration, now time.Time) {
	d.decay(memory, now)
	d.sum += x
}

// rate returns what came a second.
func (d *decaying) rate(memory time.Duration, now time.Time) float64 {
	d.decay(memory, now)
	return d.sum / memory.Seconds()
}

// arrivals is what came lately for a service.
type arrivals struct {
	// fast and slow count jobs.
	fast, slow decaying
	// jobs and work make the mean work of a job, in core-seconds.
	jobs, work decaying
}

func (a *arrivals) add(work float64, now time.Time) {
	a.fast.add(1, fastMemory, now)
	a.slow.add(1, slowMemory, now)
	a.jobs.add(1, workMemory, now)
	a.work.add(work, workMemory, now)
}

// cores returns how many cores keep up with the jobs that will come in a while.
// The number of jobs times their mean work varies far less than the work that
// just came.
func (a *arrivals) cores(now time.Time, ahead time.Duration) float64 {
	fast, slow := a.fast.rate(fastMemory, now), a.slow.rate(slowMemory, now)
	a.jobs.decay(workMemory, now)
	a.work.decay(workMemory, now)
	if a.jobs.sum == 0 {
		return 0
	}
	change := certain(fast-slow, slow)
	rise := change / (slowMemory - fastMemory).Seconds()
	rate := fast
	if ahead > 0 {
		rate = max(0, slow+change+rise*(fastMemory+ahead).Seconds())
	}
	return rate * a.work.sum / a.jobs.sum
}

// certain returns what is left of a difference from a rate beyond what random
// arrivals alone would show.
func certain(difference, rate float64) float64 {
	// The variance of a decaying rate is the rate over twice its memory.
	noise := doubt * math.Sqrt(rate/(2*fastMemory.Seconds()))
	switch {
	case difference > noise:
		return difference - noise
	case difference < -noise:
		return difference + noise
	default:
		return 0
	}
}

// arrived counts a job that came.
func (s *State) arrived(j *job, now time.Time) {
	if j.submission.Lasts() {
		return
	}
	service := s.queueOf(j).Service
	a, ok := s.arrivals[service]
	if !ok {
		a = &arrivals{}
		s.arrivals[service] = a
	}
	sum := 0.0
	for i := range j.submission.Steps {
		sum += work(&j.submission.Steps[i]) * float64(j.submission.Steps[i].Count)
	}
	a.add(sum, now)
}
