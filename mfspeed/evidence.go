package mfspeed

import (
	"cmp"
	"math"
	"slices"
	"time"

	"mothferry"
)

const (
	// maxEndedRuns bounds the ended runs that count for a worker's speed.
	maxEndedRuns = 16
	// runningMaxAge is how long a rate tells of a worker whose run goes on: a few looks. endedFor is
	// the same once it has ended: where runs end, there is news often.
	runningMaxAge = time.Second
	endedMaxAge   = 300 * time.Millisecond
	// upperStdErrors is how many standard errors Most adds: a usual worker that counts as slow is of less
	// use to its pool for seconds.
	upperStdErrors = 2
	// fastRunDivisor is the part of a job's runs that Fast leaves out at the top, fastJobs that of jobs:
	// of those there are fewer.
	fastRunDivisor, fastJobDivisor = 5, 3
)

// observation is what a run told of its worker's speed at a time.
type observation struct {
	deviation, spread float64
	at                time.Time
	// job is that of the run; alone says that it tells without another job's: the run is slower
	// than others of its job, or than it was.
	job        mothferry.JobID
	conclusive bool
}

// EndedRuns is what the runs that ended on a worker told of its speed.
type EndedRuns struct {
	observations []observation
	next         int
}

// Add takes in a run that has ended.
func (w *EndedRuns) Add(t *Track) {
	if t.observed.at.IsZero() {
		return
	}
	if len(w.observations) < maxEndedRuns {
		w.observations = append(w.observations, t.observed)
		return
	}
	w.observations[w.next] = t.observed
	w.next = (w.next + 1) % maxEndedRuns
}

// Evidence gathers what runs tell of a worker's speed at a moment. It may be used again
// after Reset.
type Evidence struct{ observations []observation }

// Reset empties the evidence.
func (e *Evidence) Reset() { e.observations = e.observations[:0] }

// Add adds what a run that goes on has told lately.
func (e *Evidence) Add(t *Track, now time.Time) { e.add(t.observed, runningMaxAge, now) }

// AddEnded adds what the runs that ended on a worker had told lately.
func (e *Evidence) AddEnded(w *EndedRuns, now time.Time) {
	for _, v := range w.observations {
		e.add(v, endedMaxAge, now)
	}
}

func (e *Evidence) add(v observation, within time.Duration, now time.Time) {
	if !v.at.IsZero() && now.Sub(v.at) < within {
		e.observations = append(e.observations, v)
	}
}

// Speed is a worker's speed relative to its peers: 1 is usual.
type Speed struct {
	// Runs counts the runs that tell it; zero if nothing is known.
	Runs int
	// Jobs counts the jobs whose runs those are. Alone says that one of them tells it without
	// another.
	Jobs       int
	Conclusive bool
	// Relative is the median, Fast that of the jobs that are nearly the fastest, each by those of
	// its runs that are. A usual worker with some tasks that take long, or a job whose tasks all
	// do, has a low median, and a usual Fast.
	Relative, Fast float64
	// Uncertainty is the standard error of their logarithms.
	Uncertainty float64
}

// Speed returns what the evidence tells, in whatever order it was added.
func (e *Evidence) Speed() Speed {
	n := len(e.observations)
	if n == 0 {
		return Speed{}
	}
	slices.SortFunc(e.observations, func(a, b observation) int {
		return cmp.Or(cmp.Compare(a.deviation, b.deviation), cmp.Compare(a.spread, b.spread), cmp.Compare(a.job, b.job))
	})
	spread := 0.0
	for _, v := range e.observations {
		spread += v.spread / float64(n)
	}
	s := Speed{Runs: n, Relative: math.Exp(e.observations[n/2].deviation), Uncertainty: spread / math.Sqrt(float64(n))}
	slices.SortStableFunc(e.observations, func(a, b observation) int { return cmp.Compare(a.job, b.job) })
	var fast []float64
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

// UpperBound returns the highest speed that Fast stands for, with its uncertainty.
func (s Speed) UpperBound() float64 { return s.Fast * math.Exp(upperStdErrors*s.Uncertainty) }

// LowerBound returns the lowest speed that Fast stands for, with its uncertainty.
func (s Speed) LowerBound() float64 { return s.Fast * math.Exp(-s.Uncertainty) }
