// Package mfdecay provides sums that decay exponentially with time, such as rates of events.
package mfdecay

import (
	"math"
	"time"
)

// Sum is a decaying sum. The zero value is an empty sum. The decay time is the time in which
// the sum falls to 1/e; a sum is always used with the same one.
type Sum struct {
	value     float64
	updatedAt time.Time
}

// Value returns the sum as of now.
func (s *Sum) Value(decayTime time.Duration, now time.Time) float64 {
	if !s.updatedAt.IsZero() {
		s.value *= math.Exp(-float64(now.Sub(s.updatedAt)) / float64(decayTime))
	}
	s.updatedAt = now
	return s.value
}

// Add adds an amount to the sum as of now.
func (s *Sum) Add(amount float64, decayTime time.Duration, now time.Time) {
	s.value = s.Value(decayTime, now) + amount
}

// Rate returns the amount added per second, lately.
func (s *Sum) Rate(decayTime time.Duration, now time.Time) float64 {
	return s.Value(decayTime, now) / decayTime.Seconds()
}
