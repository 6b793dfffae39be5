package mfspeed

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"mothferry"
)

const (
	// maxEndedRuns bounds the ended runs that are evidence of a worker's speed.
	maxEndedRuns = 16
	// runningMaxAge is how long the rate of a running run is evidence: a few polls. endedMaxAge is
	// the same for an ended run. It is shorter because new evidence is frequent where runs end.
	runningMaxAge = time.Second
	endedMaxAge   = 300 * time.Millisecond
	// upperStdErrors is how many standard errors UpperBound adds. A normal worker that is taken
	// for slow is of less use to its pool for seconds.
	upperStdErrors = 2
	// fastRunDivisor and fastJobDivisor set the fractions that Speed.Fast leaves out at the top:
	// the fastest fifth of a job's runs, and the fastest third of the jobs. The fraction of the
	// jobs is larger because there are fewer jobs than runs.
	fastRunDivisor, fastJobDivisor = 5, 3
)

// observation is the evidence of a worker's speed that one run gave at a time.
type observation struct {
	deviation, spread float64
	at                time.Time
	// job is the run's job; conclusive says that no evidence of another job is needed, because the
	// run is slower than others of its job or than it was before.
	job        mothferry.JobID
	conclusive bool
}

// EndedRuns holds the evidence of the latest runs that ended on a worker.
type EndedRuns struct {
	observations []observation
	next         int
}

// Add adds the evidence of a run that has ended.
func (r *EndedRuns) Add(t *Track) {
	if t.observed.at.IsZero() {
		return
	}
	if len(r.observations) < maxEndedRuns {
		r.observations = append(r.observations, t.observed)
		return
	}
	r.observations[r.next] = t.observed
	r.next = (r.next + 1) % maxEndedRuns
}

// Evidence gathers the current evidence of a worker's speed. It may be reused after Reset.
type Evidence struct {
	observations []observation
	// deviations is memory that Speed uses again.
	deviations []float64
}

// Reset removes all evidence.
func (e *Evidence) Reset() { e.observations = e.observations[:0] }

// Add adds a running run's evidence if it is recent.
func (e *Evidence) Add(t *Track, now time.Time) { e.add(t.observed, runningMaxAge, now) }

// AddEnded adds the recent evidence of the runs that ended on a worker.
func (e *Evidence) AddEnded(r *EndedRuns, now time.Time) {
	for _, o := range r.observations {
		e.add(o, endedMaxAge, now)
	}
}

func (e *Evidence) add(o observation, maxAge time.Duration, now time.Time) {
	if !o.at.IsZero() && now.Sub(o.at) < maxAge {
		e.observations = append(e.observations, o)
	}
}

// Speed is a worker's speed relative to its peers: 1 is normal.
type Speed struct {
	// Runs counts the runs that are evidence of it; zero if the speed is unknown.
	Runs int
	// Jobs counts the jobs of these runs. Conclusive says that the evidence of one of them needs
	// no other job's.
	Jobs       int
	Conclusive bool
	// Relative is the median over the runs. Fast is an upper quantile over the jobs of an upper
	// quantile over each job's runs. A normal worker with some tasks that take long, or a job
	// whose tasks all do, has a low median but a normal Fast.
	Relative, Fast float64
	// Uncertainty is the standard error of the logarithms of both.
	Uncertainty float64
}

// Speed returns the speed that the evidence shows. It doesn't depend on the order of additions.
func (e *Evidence) Speed() Speed {
	n := len(e.observations)
	if n == 0 {
		return Speed{}
	}
	slices.SortFunc(e.observations, compareObservations)
	e.deviations = e.deviations[:0]
	spread := 0.0
	for i := range e.observations {
		spread += e.observations[i].spread / float64(n)
		e.deviations = append(e.deviations, e.observations[i].deviation)
	}
	s := Speed{Runs: n, Relative: math.Exp(median(e.deviations)), Uncertainty: spread / math.Sqrt(float64(n))}
	fast := e.deviations[:0]
	for rest := e.observations; len(rest) > 0; {
		end := slices.IndexFunc(rest, func(v observation) bool { return v.job != rest[0].job })
		if end < 0 {
			end = len(rest)
		}
		v := rest[end-1-end/fastRunDivisor]
		fast = append(fast, v.deviation)
		s.Conclusive = s.Conclusive || v.conclusive
		rest = rest[end:]
	}
	slices.Sort(fast)
	s.Jobs = len(fast)
	s.Fast = math.Exp(fast[s.Jobs-1-s.Jobs/fastJobDivisor])
	return s
}

// compareObservations orders observations by job, and those of a job by deviation.
func compareObservations(a, b observation) int {
	if c := strings.Compare(string(a.job), string(b.job)); c != 0 {
		return c
	}
	if c := cmp.Compare(a.deviation, b.deviation); c != 0 {
		return c
	}
	return cmp.Compare(a.spread, b.spread)
}

// UpperBound returns an upper bound on Fast: upperStdErrors standard errors above it.
func (s Speed) UpperBound() float64 { return s.Fast * math.Exp(upperStdErrors*s.Uncertainty) }

// LowerBound returns a lower bound on Fast: one standard error below it.
func (s Speed) LowerBound() float64 { return s.Fast * math.Exp(-s.Uncertainty) }
