package mfshare

import "time"

// An account that sends more than its rate while its queue is full would push as many jobs of
// other accounts past their objectives if jobs were served in order of arrival. Jobs beyond an
// account's rate therefore wait behind all those within the rate that can be on time; they run
// where there is free capacity.

// burstWindow is the time over which an account may save up its unused rate. Jobs arrive at
// random and in bursts: over a shorter time an account that keeps to its rate would exceed it
// as often as one that does not.
const burstWindow = 3 * time.Second

// TokenBucket counts the jobs that an account may still send within its rate.
type TokenBucket struct {
	tokens    float64
	updatedAt time.Time
}

// Take takes a token for a job that arrives now; rate is the account's, in jobs a second. It
// reports whether the job is within the rate.
func (b *TokenBucket) Take(rate float64, now time.Time) bool {
	burst := max(1, rate*burstWindow.Seconds())
	if b.updatedAt.IsZero() {
		b.tokens = burst
	}
	b.tokens = min(burst, b.tokens+rate*now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
