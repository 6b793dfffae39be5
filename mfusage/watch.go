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
	// roundEvery is the time between two readings. Any second of full use has a whole round in it.
	roundEvery = 500 * time.Millisecond
	// fullShare is the part of a core from which on a round counts as one of full use.
	fullShare = 0.95
	// warnEvery bounds how often full use is logged.
	warnEvery = 30 * time.Second
)

// Watch reads the processor time of this process in rounds. The exported fields are set before Run.
type Watch struct {
	Clock mothferry.Clock
	// Used returns the processor time that the process has used so far.
	Used func() (time.Duration, error)
	Log  *log.Entry

	share atomic.Uint64
	full  fullUse
}

// Share is the part of a core that the process used in the last round.
func (w *Watch) Share() float64 { return math.Float64frombits(w.share.Load()) }

// Run reads in rounds until ctx ends, or until the time can't be read.
func (w *Watch) Run(ctx context.Context) error {
	began := w.Clock.Now()
	before, err := w.Used()
	if err != nil {
		w.Log.WithError(err).Warn("processor time can't be read, it is not watched")
		<-ctx.Done()
		return ctx.Err()
	}
	for mfclock.Sleep(ctx, w.Clock, roundEvery) {
		now := w.Clock.Now()
		used, err := w.Used()
		if err != nil {
			return trace.Wrap(err)
		}
		w.round(now, now.Sub(began), used-before)
		began, before = now, used
	}
	return ctx.Err()
}

// round takes in what was used in one round.
func (w *Watch) round(now time.Time, lasted, used time.Duration) {
	if lasted <= 0 {
		return
	}
	share := used.Seconds() / lasted.Seconds()
	w.share.Store(math.Float64bits(share))
	rounds, warn := w.full.take(share, now)
	if !warn {
		return
	}
	w.Log.WithFields(log.Fields{
		"cores": share, "round_ms": lasted.Milliseconds(), "full_rounds": rounds, "goroutines": runtime.NumGoroutine(),
	}).Warn("process uses a whole core")
}

// fullUse decides when full use is worth a line.
type fullUse struct {
	// rounds counts the rounds of full use since the last line.
	rounds int
	told   time.Time
}

// take takes in a round's share of a core. It returns how many rounds of full use there were since the last
// line, and whether a line is due.
func (f *fullUse) take(share float64, now time.Time) (int, bool) {
	if share < fullShare {
		return 0, false
	}
	f.rounds++
	if !f.told.IsZero() && now.Sub(f.told) < warnEvery {
		return 0, false
	}
	rounds := f.rounds
	f.rounds, f.told = 0, now
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
