// Package mfspeed learns how fast workers are, from how fast their tasks advance against
// others of their kind. It does no I/O and reads no clock.
package mfspeed

import (
	"math"
	"time"

	"mothferry"
)

const (
	// minAdvancePercent is how many percent a task must advance between two readings that tell
	// its rate: percentages are whole.
	minAdvancePercent = 4
	// minReadingSpan is how far apart two readings are at least that tell a rate.
	minReadingSpan = 120 * time.Millisecond
	// minEndSpan is the same for a reading and the task's end, which is noticed at once.
	minEndSpan = 40 * time.Millisecond
	// fullPercent is the percentage of a task that is done.
	fullPercent = 100
)

// Track follows the progress of one run of a task, by its worker's clock. The zero value has seen
// nothing.
type Track struct {
	percent int
	readAt  mothferry.WorkerClock
	rate    LogRate
	known   bool
	// startedAt is when the run began; zero if that is not known.
	startedAt mothferry.WorkerClock
	// firstDeviation is the first deviation that was known, if based is true.
	firstDeviation float64
	hasFirst       bool
	// observed is what the newest rate tells of the worker, if that tells anything.
	observed observation
	// counted says that the run was counted for its kind.
	counted bool
}

// LogRate is the logarithm of how much of its estimated time a task gets done in that time: 0
// if it takes as long as estimated, below if it takes longer.
type LogRate float64

// Start takes in that the run has just begun, at 0 percent.
func (t *Track) Start(at mothferry.WorkerClock) { t.percent, t.readAt, t.startedAt = 0, at, at }

// Skip takes in a reading that tells no rate with those before: nobody knows what the worker did
// between them.
func (t *Track) Skip(percent int, at mothferry.WorkerClock) { t.percent, t.readAt = percent, at }

// Advance takes in a reading of the run's progress. It reports whether that tells a new rate.
// A run that stands still has no rate: that it hangs says nothing about its worker's speed.
func (t *Track) Advance(percent int, estimate time.Duration, at mothferry.WorkerClock) bool {
	if t.readAt == 0 || percent < t.percent {
		t.Skip(percent, at)
		return false
	}
	if percent-t.percent < minAdvancePercent || time.Duration(at-t.readAt) < minReadingSpan || percent >= fullPercent {
		return false
	}
	t.setRate(percent, estimate, at)
	return true
}

// End takes in that the run has done its work. It reports whether that tells a new rate.
func (t *Track) End(estimate time.Duration, at mothferry.WorkerClock) bool {
	if t.readAt == 0 || fullPercent-t.percent < minAdvancePercent || time.Duration(at-t.readAt) < minEndSpan {
		return false
	}
	t.setRate(fullPercent, estimate, at)
	return true
}

func (t *Track) setRate(percent int, estimate time.Duration, at mothferry.WorkerClock) {
	done := float64(percent-t.percent) / fullPercent * float64(estimate)
	t.rate, t.known = LogRate(math.Log(done/float64(at-t.readAt))), true
	t.percent, t.readAt = percent, at
}

// Rate returns the newest rate, and whether there is one.
func (t *Track) Rate() (LogRate, bool) { return t.rate, t.known }

// elapsed returns how long the run has taken: by its rate, if it is not known when it began.
func (t *Track) elapsed(estimate time.Duration) time.Duration {
	if t.startedAt != 0 {
		return time.Duration(t.readAt - t.startedAt)
	}
	return time.Duration(float64(t.TotalDuration(estimate)) * float64(t.percent) / fullPercent)
}

// TotalDuration returns how long the whole task takes at its newest rate.
func (t *Track) TotalDuration(estimate time.Duration) time.Duration {
	return time.Duration(float64(estimate) / math.Exp(float64(t.rate)))
}
