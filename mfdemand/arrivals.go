package mfdemand

import (
	"math"
	"time"

	"mothferry/mfdecay"
)

// The demand of a pool rises over about five seconds to five times its mean and falls again,
// while a machine sent to the pool takes two seconds until it works. Sized by current
// arrivals, a pool would lag two seconds behind the whole rise, and its jobs would be late
// although the fleet has free capacity.

const (
	// fastDecayTime and slowDecayTime are the decay times of two arrival rates. A rate lags
	// behind a steady rise by its decay time, so that the difference of the two shows how fast
	// the demand rises.
	fastDecayTime = 500 * time.Millisecond
	slowDecayTime = 1500 * time.Millisecond
	// workDecayTime is that of the mean work of a service's jobs: long, as a few wide jobs
	// make up much of the work.
	workDecayTime = 20 * time.Second
	// ForecastHorizon is how far ahead demand is forecast: a move takes 1.5 s, and its worker
	// is listed and polled within another half second. One second more covers the time that
	// machines need to drain; a longer horizon errs more where a rise ends.
	ForecastHorizon = 3 * time.Second
	// noiseDeviations is by how many standard deviations the rates must differ before that
	// counts as a change of demand: single jobs arrive at random.
	noiseDeviations = 0.5
)

// Arrivals estimates the rate and work of the jobs that arrive for a service. The zero value
// is ready for use.
type Arrivals struct {
	// fast and slow count jobs.
	fast, slow mfdecay.Sum
	// jobs, cores and memory give the mean work of a job.
	jobs, cores, memory mfdecay.Sum
}

// Add records the arrival of a job with its work in core-seconds and GiB-seconds.
func (a *Arrivals) Add(work Amount, now time.Time) {
	a.fast.Add(1, fastDecayTime, now)
	a.slow.Add(1, slowDecayTime, now)
	a.jobs.Add(1, workDecayTime, now)
	a.cores.Add(work.Cores, workDecayTime, now)
	a.memory.Add(work.Memory, workDecayTime, now)
}

// meanJobWork returns the mean work of a job, in core-seconds and GiB-seconds; zero if none
// has arrived.
func (a *Arrivals) meanJobWork(now time.Time) Amount {
	jobs := a.jobs.Value(workDecayTime, now)
	if jobs == 0 {
		return Amount{}
	}
	return Amount{Cores: a.cores.Value(workDecayTime, now) / jobs, Memory: a.memory.Value(workDecayTime, now) / jobs}
}

// Forecast returns the cores and memory that keep up with the jobs that arrive after the time
// ahead. The number of jobs times their mean work varies far less than the work that has just
// arrived.
func (a *Arrivals) Forecast(now time.Time, ahead time.Duration) Amount {
	fast, slow := a.fast.Rate(fastDecayTime, now), a.slow.Rate(slowDecayTime, now)
	change := significantChange(fast-slow, slow)
	rise := change / (slowDecayTime - fastDecayTime).Seconds()
	rate := fast
	if ahead > 0 {
		rate = max(0, slow+change+rise*(fastDecayTime+ahead).Seconds())
	}
	return a.meanJobWork(now).Times(rate)
}

// significantChange returns the part of a difference from a rate that exceeds what random
// arrivals alone would show.
func significantChange(difference, rate float64) float64 {
	// The variance of a decaying rate is the rate over twice its decay time.
	noise := noiseDeviations * math.Sqrt(rate/(2*fastDecayTime.Seconds()))
	switch {
	case difference > noise:
		return difference - noise
	case difference < -noise:
		return difference + noise
	default:
		return 0
	}
}
