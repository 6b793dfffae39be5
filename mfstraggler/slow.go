// Package mfstraggler decides which workers count as slow, what that means for the choice
// of a worker, and which tasks start again elsewhere. The decisions are pure.
package mfstraggler

import (
	"time"

	"mothferry"
	"mothferry/mfspeed"
)

const (
	// slowBelow is the speed below which a worker is slow, usualAbove that above which it no
	// longer is. A job's objective leaves it about half its time again: at half the speed
	// tasks are late, at three quarters few are.
	slowBelow   = 0.55
	normalAbove = 0.75
	// minRuns is how many runs must tell that a worker is slow.
	minRuns = 3
	// slowFor is how long a worker counts as slow without evidence: then it is tried again, and
	// if it is slow still, it counts as that for twice as long, up to slowDoublings times.
	slowFor          = 5 * time.Second
	maxSlowDoublings = 2
	// hangingSpeed is what a worker counts for that hangs a part of its tasks: each that does
	// is noticed, stopped and started again.
	hangingSpeed = 0.25
	// maxSlowShare is the largest part of the workers of a pool of which anything is known that may
	// count as slow. What is usual is the median: beyond half it would not be.
	maxSlowShare = 0.4
)

// Status is whether a worker counts as slow, or as one on which tasks hang. The zero value
// counts as neither.
type Status struct {
	Slow, Hanging bool
	// Speed is the last one that was known.
	Speed mfspeed.Speed
	// slowAt and hungAt are when it was last seen to be slow, and to hang tasks.
	slowAt, hungAt time.Time
	// measuredAt is when its tasks last told of its speed.
	measuredAt time.Time
	// retries is how often it was tried again since it was last seen to be usual.
	retries int
}

// Degraded reports whether the worker is of less use than its peers.
func (s Status) Degraded() bool { return s.Slow || s.Hanging }

// Known reports whether anything is known of the worker's speed that is not long ago.
func (s Status) Known(now time.Time) bool {
	return s.Degraded() || !s.measuredAt.IsZero() && now.Sub(s.measuredAt) <= slowFor
}

// Cleared returns the standing of a worker that does not count as uneven after all.
func (s Status) Cleared() Status { return Status{Speed: s.Speed, measuredAt: s.measuredAt} }

// RelativeSpeed returns the worker's speed as decisions take it: 1 unless it is uneven.
func (s Status) RelativeSpeed() float64 {
	speed := 1.0
	if s.Slow {
		speed = min(slowBelow, s.Speed.Relative)
	}
	if s.Hanging {
		speed = min(speed, hangingSpeed)
	}
	return speed
}

// Next returns a worker's standing by what is known of its speed now, and by whether it is
// to blame for tasks that hang.
//
// The load it answers: a part of a pool's machines turns several times slower than the others
// for a while, among tasks of which a few take several times their estimate anyway.
func (s Status) Next(v mfspeed.Speed, hangs bool, now time.Time) Status {
	next := s
	if v.Runs > 0 {
		next.measuredAt = now
	}
	switch {
	case v.Runs >= minRuns && v.UpperBound() < slowBelow && (s.Slow || v.Conclusive || v.Jobs >= minJobs):
		next.Slow, next.Speed, next.slowAt = true, v, now
	case v.Runs > 0 && v.Fast > normalAbove && v.LowerBound() > slowBelow:
		next.Slow, next.Speed, next.retries = false, v, 0
	case !s.Slow:
		next.Speed = v
	case now.Sub(s.slowAt) > slowFor<<min(s.retries, maxSlowDoublings):
		next.Slow, next.Speed, next.retries = false, v, s.retries+1
	}
	if hangs {
		next.Hanging, next.hungAt = true, now
	} else if now.Sub(s.hungAt) > slowFor {
		next.Hanging = false
	}
	return next
}

// Candidate is a worker that would count as slow.
type Candidate struct {
	Worker mothferry.WorkerID
	Speed  float64
}

// LimitSlow returns those candidates of a pool that may count as slow: none, if they are more than a
// part of the workers of which anything is known.
//
// The load it answers: all machines of a pool slow down together, so that none of them is of
// less use than the others.
func LimitSlow(candidates []Candidate, known int) []Candidate {
	if len(candidates) > int(maxSlowShare*float64(known)) {
		return nil
	}
	return candidates
}
