// Package mfstraggler decides which workers count as slow, what that means for the choice of a
// worker, and which tasks are restarted elsewhere. Its functions have no side effects.
package mfstraggler

import (
	"time"

	"mothferry"
	"mothferry/mfspeed"
)

const (
	// slowBelow is the speed below which a worker is slow, normalAbove that above which it no
	// longer is. A job's objective leaves it about half its duration as margin: at half the
	// speed tasks are late, at three quarters few are.
	slowBelow   = 0.55
	normalAbove = 0.75
	// minRuns is how many runs must show that a worker is slow.
	minRuns = 3
	// slowFor is how long a worker counts as slow without new evidence. It is then tried
	// again, and if it is still slow, it counts as slow for twice as long, up to
	// maxSlowDoublings times.
	slowFor          = 5 * time.Second
	maxSlowDoublings = 2
	// hangingSpeed is the speed assumed of a worker that hangs some of its tasks: each of them
	// is detected, stopped and restarted.
	hangingSpeed = 0.25
	// maxSlowShare is the largest fraction of a pool's workers with a known speed that may
	// count as slow. The normal speed is their median, so that it would not be normal if more
	// than half were slow.
	maxSlowShare = 0.4
)

// Status says whether a worker counts as slow, or as one on which tasks hang. The zero value
// counts as neither.
type Status struct {
	Slow, Hanging bool
	// Speed is the last known one.
	Speed mfspeed.Speed
	// slowAt and hungAt are when it was last found to be slow, and to hang tasks.
	slowAt, hungAt time.Time
	// measuredAt is when its tasks last were evidence of its speed.
	measuredAt time.Time
	// retries is how often it was tried again since it was last found to be normal.
	retries int
}

// Degraded reports whether the worker is slow or hangs tasks.
func (s Status) Degraded() bool { return s.Slow || s.Hanging }

// Known reports whether the worker is degraded or its speed was measured recently.
func (s Status) Known(now time.Time) bool {
	return s.Degraded() || !s.measuredAt.IsZero() && now.Sub(s.measuredAt) <= slowFor
}

// Cleared returns the status of a worker that does not count as degraded after all.
func (s Status) Cleared() Status { return Status{Speed: s.Speed, measuredAt: s.measuredAt} }

// RelativeSpeed returns the worker's speed for decisions: 1 unless it is degraded.
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

// Next returns a worker's status, given what is known of its speed now and whether it is at
// fault for hung tasks.
//
// It detects machines of a pool that are several times slower than the others for a while,
// among tasks of which a few take several times their estimate anyway.
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

// LimitSlow returns those candidates of a pool that may count as slow: none, if they are more
// than maxSlowShare of the workers with a known speed. If all machines of a pool slow down
// together, none of them is of less use than the others.
func LimitSlow(candidates []Candidate, known int) []Candidate {
	if len(candidates) > int(maxSlowShare*float64(known)) {
		return nil
	}
	return candidates
}
