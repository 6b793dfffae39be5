// Package mfusage monitors the processor time of this process. Nothing else detects a busy
// loop: the process still answers, only late.
package mfusage

import (
	"context"
	"math"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"

	"mothferry"
	"mothferry/mfclock"
)

const (
	// readInterval is the time between two readings. Every second of full use contains a whole
	// interval.
	readInterval = 500 * time.Millisecond
	// fullUseFraction is the fraction of a core from which an interval counts as one of full
	// use.
	fullUseFraction = 0.95
	// minWarnInterval is the minimum time between two warnings about full use.
	minWarnInterval = 30 * time.Second
)

// Monitor reads the processor time of this process at regular intervals. The exported fields
// are set before Run.
type Monitor struct {
	Clock mothferry.Clock
	// Used returns the processor time that the process has used so far.
	Used func() (time.Duration, error)
	Log  *log.Entry

	coreFraction atomic.Uint64
	fullUse      fullUseLog
}

// CoreFraction returns the processor time used in the last interval, as a fraction of one
// core.
func (w *Monitor) CoreFraction() float64 { return math.Float64frombits(w.coreFraction.Load()) }

// Run reads the processor time at regular intervals until ctx ends or a reading fails. If the
// first reading fails, it logs that and waits for ctx.
func (w *Monitor) Run(ctx context.Context) error {
	began := w.Clock.Now()
	before, err := w.Used()
	if err != nil {
		w.Log.WithError(err).Warn("processor time can't be read, it is not monitored")
		<-ctx.Done()
		return ctx.Err()
	}
	for mfclock.Sleep(ctx, w.Clock, readInterval) {
		now := w.Clock.Now()
		used, err := w.Used()
		if err != nil {
			return trace.Wrap(err)
		}
		w.recordInterval(now, now.Sub(began), used-before)
		began, before = now, used
	}
	return ctx.Err()
}

// recordInterval records the processor time used in one interval, and warns about full use.
func (w *Monitor) recordInterval(now time.Time, elapsed, used time.Duration) {
	if elapsed <= 0 {
		return
	}
	fraction := used.Seconds() / elapsed.Seconds()
	w.coreFraction.Store(math.Float64bits(fraction))
	intervals, warn := w.fullUse.record(fraction, now)
	if !warn {
		return
	}
	w.Log.WithFields(log.Fields{
		"cores": fraction, "round_ms": elapsed.Milliseconds(), "full_rounds": intervals, "goroutines": runtime.NumGoroutine(),
	}).Warn("process uses a whole core")
}

// fullUseLog limits the warnings about full use.
type fullUseLog struct {
	// intervals counts the intervals of full use since the last warning.
	intervals int
	loggedAt  time.Time
}

// record records the fraction of a core used in an interval. It returns how many intervals of
// full use there were since the last warning, and whether a warning is due.
func (f *fullUseLog) record(fraction float64, now time.Time) (int, bool) {
	if fraction < fullUseFraction {
		return 0, false
	}
	f.intervals++
	if !f.loggedAt.IsZero() && now.Sub(f.loggedAt) < minWarnInterval {
		return 0, false
	}
	intervals := f.intervals
	f.intervals, f.loggedAt = 0, now
	return intervals, true
}

// ProcessorTime returns the processor time that this process has used so far.
func ProcessorTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, trace.Wrap(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}
