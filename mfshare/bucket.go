package mfshare

import "time"

// The load it answers: an account sends more than it is owed while its queue is full. Served
// as they come, its jobs push as many of the others' beyond their objectives, and nobody is
// owed what they gain. What is beyond an account's rate therefore waits behind all that is
// owed and can be in time; it runs where there is room.

// burstWindow is over how long an account may save up what it did not send. Jobs come at
// random, most in some seconds: over a short time an account that keeps to its rate is
// beyond it as often as one that does not.
const burstWindow = 3 * time.Second

// TokenBucket counts down what an account may still send of what it is owed.
type TokenBucket struct {
	tokens    float64
	updatedAt time.Time
}

// Take counts one job that comes now, of an account that is owed so many a second. It
// reports whether the job is within that.
func (a *TokenBucket) Take(rate float64, now time.Time) bool {
	most := max(1, rate*burstWindow.Seconds())
	if a.updatedAt.IsZero() {
		a.tokens = most
	}
	a.tokens = min(most, a.tokens+rate*now.Sub(a.updatedAt).Seconds())
	a.updatedAt = now
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}
