package mfdemand

import (
	"math"
	"time"

	"mothferry/mfdecay"
)

// The load that the forecast answers: the demand of a pool rises over some five seconds to five
// times its mean and falls again, while a machine that is sent to it takes two
// seconds until it works. Sized by what comes now, a pool is two seconds behind
// all the way up, and its jobs are late though the fleet has room.

// Figures of the forecast.
const (
	// fastDecayTime and slowMemory are how long arrivals count in two rates. A rate
	// with a memory of so long is as old as that where the demand rises evenly, so
	// that the difference of both shows how fast it rises.
	fastDecayTime = 500 * time.Millisecond
	slowDecayTime = 1500 * time.Millisecond
	// workDecayTime is how long a job counts in the mean work of its service's jobs:
	// long, as few wide ones have much of the work.
	workDecayTime = 20 * time.Second
	// ForecastHorizon is how far ahead it looks: a move takes 1.5 s, and its worker
	// is listed and looked at within half a second more.
	// Looking a second further covers what machines need to run empty; beyond that it
	// is wrong by more where a rise ends.
	ForecastHorizon = 3 * time.Second
	// noiseDeviations is by how many standard deviations the rates must differ before that
	// counts as a change of demand: single jobs come at random.
	noiseDeviations = 0.5
)

// Arrivals is what came lately for a service. The zero value is ready for use.
type Arrivals struct {
	// fast and slow count jobs.
	fast, slow mfdecay.Sum
	// jobs, cores and memory make the mean work of a job.
	jobs, cores, memory mfdecay.Sum
}

// Add takes in a job that came, of so many core-seconds and GiB-seconds.
func (a *Arrivals) Add(work Amount, now time.Time) {
	a.fast.Add(1, fastDecayTime, now)
	a.slow.Add(1, slowDecayTime, now)
	a.jobs.Add(1, workDecayTime, now)
	a.cores.Add(work.Cores, workDecayTime, now)
	a.memory.Add(work.Memory, workDecayTime, now)
}

// meanJobWork returns the mean work of a job, in core-seconds and GiB-seconds; zero if
// none has come.
func (a *Arrivals) meanJobWork(now time.Time) Amount {
	jobs := a.jobs.Value(workDecayTime, now)
	if jobs == 0 {
		return Amount{}
	}
	return Amount{Cores: a.cores.Value(workDecayTime, now) / jobs, Memory: a.memory.Value(workDecayTime, now) / jobs}
}

// Forecast returns which cores and memory keep up with the jobs that will come in a
// while. The number of jobs times their mean work varies far less than the work that
// just came.
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

// significantChange returns what is left of a difference from a rate beyond what random
// arrivals alone would show.
func significantChange(difference, rate float64) float64 {
	// The variance of a decaying rate is the rate over twice its memory.
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
