// Package mfusage watches how much processor time this process uses. A loop that never waits is
// noticed by nothing else: the process answers, only late.
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
	// readInterval is the time between two readings. Any second of full use has a whole round in it.
	readInterval = 500 * time.Millisecond
	// fullUseFraction is the part of a core from which on a round counts as one of full use.
	fullUseFraction = 0.95
	// minWarnInterval bounds how often full use is logged.
	minWarnInterval = 30 * time.Second
)

// Monitor reads the processor time of this process in rounds. The exported fields are set before Run.
type Monitor struct {
	Clock mothferry.Clock
	// Used returns the processor time that the process has used so far.
	Used func() (time.Duration, error)
	Log  *log.Entry

	coreFraction atomic.Uint64
	fullUse      fullUseLog
}

// CoreFraction is the part of a core that the process used in the last round.
func (w *Monitor) CoreFraction() float64 { return math.Float64frombits(w.coreFraction.Load()) }

// Run reads in rounds until ctx ends, or until the time can't be read.
func (w *Monitor) Run(ctx context.Context) error {
	began := w.Clock.Now()
	before, err := w.Used()
	if err != nil {
		w.Log.WithError(err).Warn("processor time can't be read, it is not watched")
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

// recordInterval takes in what was used in one round.
func (w *Monitor) recordInterval(now time.Time, lasted, used time.Duration) {
	if lasted <= 0 {
		return
	}
	share := used.Seconds() / lasted.Seconds()
	w.coreFraction.Store(math.Float64bits(share))
	rounds, warn := w.fullUse.record(share, now)
	if !warn {
		return
	}
	w.Log.WithFields(log.Fields{
		"cores": share, "round_ms": lasted.Milliseconds(), "full_rounds": rounds, "goroutines": runtime.NumGoroutine(),
	}).Warn("process uses a whole core")
}

// fullUseLog decides when full use is worth a line.
type fullUseLog struct {
	// intervals counts the rounds of full use since the last line.
	intervals int
	loggedAt  time.Time
}

// record takes in a round's share of a core. It returns how many rounds of full use there were since the last
// line, and whether a line is due.
func (f *fullUseLog) record(share float64, now time.Time) (int, bool) {
	if share < fullUseFraction {
		return 0, false
	}
	f.intervals++
	if !f.loggedAt.IsZero() && now.Sub(f.loggedAt) < minWarnInterval {
		return 0, false
	}
	rounds := f.intervals
	f.intervals, f.loggedAt = 0, now
	return rounds, true
}

// ProcessorTime returns the processor time that this process has used so far.
func ProcessorTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, trace.Wrap(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}
