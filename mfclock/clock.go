// Package mfclock implements the clock and the source of randomness of a daemon.
package mfclock

import (
	"context"
	"math/rand/v2"
	"time"

	"mothferry"
)

// System is the clock of the operating system.
type System struct{}

// Now implements mothferry.Clock.
func (System) Now() time.Time { return time.Now() }

// After implements mothferry.Clock.
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }

// SystemRandom is the runtime's random number generator. It is safe for concurrent use.
type SystemRandom struct{}

// IntN implements mothferry.Random.
func (SystemRandom) IntN(n int) int { return rand.IntN(n) }

// Float64 implements mothferry.Random.
func (SystemRandom) Float64() float64 { return rand.Float64() }

// Sleep waits for d and reports whether it passed before ctx ended.
func Sleep(ctx context.Context, clock mothferry.Clock, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-clock.After(d):
		return true
	}
}
