// Package mfspeed infers the speed of workers from how fast their tasks progress relative to
// others of the same class. It does no I/O and reads no clock.
package mfspeed

import (
	"math"
	"time"

	"mothferry"
)

const (
	// minAdvancePercent is the minimum progress between two readings that give a rate, as
	// percentages are whole numbers.
	minAdvancePercent = 4
	// minReadingSpan is the minimum time between two readings that give a rate.
	minReadingSpan = 120 * time.Millisecond
	// minEndSpan is the same for a reading and the task's end, which is noticed immediately.
	minEndSpan = 40 * time.Millisecond
	// fullPercent is the percentage of a completed task.
	fullPercent = 100
)

// Track follows the progress of one run of a task, by its worker's clock. The zero value has no
// reading.
type Track struct {
	percent int
	readAt  mothferry.WorkerClock
	rate    LogRate
	known   bool
	// startedAt is when the run started; zero if that is unknown.
	startedAt mothferry.WorkerClock
	// firstDeviation is the first known deviation, if hasFirst is true.
	firstDeviation float64
	hasFirst       bool
	// observed is the latest evidence of the worker's speed, if there was any.
	observed observation
	// counted says that the run was added to its class's baseline.
	counted bool
}

// LogRate is the logarithm of the ratio of a task's estimated to its actual duration: 0 if it
// takes as long as estimated, negative if it takes longer.
type LogRate float64

// Start records that the run has just started, at 0 percent.
func (t *Track) Start(at mothferry.WorkerClock) { t.percent, t.readAt, t.startedAt = 0, at, at }

// Skip records a reading that gives no rate together with the previous one, because it is unknown
// what the worker did in between.
func (t *Track) Skip(percent int, at mothferry.WorkerClock) { t.percent, t.readAt = percent, at }

// Advance records a reading of the run's progress. It reports whether that gives a new rate. A run
// that makes no progress has no rate: a hung run is no evidence of its worker's speed.
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

// End records that the run has completed its task. It reports whether that gives a new rate.
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

// Rate returns the latest rate, and whether there is one.
func (t *Track) Rate() (LogRate, bool) { return t.rate, t.known }

// elapsed returns how long the run has taken, derived from its rate if its start is unknown.
func (t *Track) elapsed(estimate time.Duration) time.Duration {
	if t.startedAt != 0 {
		return time.Duration(t.readAt - t.startedAt)
	}
	return time.Duration(float64(t.TotalDuration(estimate)) * float64(t.percent) / fullPercent)
}

// TotalDuration returns how long the whole task takes at its latest rate.
func (t *Track) TotalDuration(estimate time.Duration) time.Duration {
	return time.Duration(float64(estimate) / math.Exp(float64(t.rate)))
}
