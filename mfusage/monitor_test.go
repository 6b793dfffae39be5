package mfusage

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"gotest.tools/v3/assert"

	"mothferry/mfclock"
	"mothferry/mffake"
)

// A process that spins must not do so unnoticed: a line tells it, and few of them.
func TestFullUseWarningsAreRateLimited(t *testing.T) {
	var f fullUseLog
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	told, rounds := 0, 0
	for range 140 {
		now = now.Add(readInterval)
		if n, warn := f.record(1.0, now); warn {
			told++
			rounds += n
		}
	}
	assert.Equal(t, told, 3)
	assert.Equal(t, rounds, 121)
	_, warn := f.record(0.9, now.Add(time.Hour))
	assert.Assert(t, !warn)
}

// A round in which the process used a whole core is told, one in which it did not is not.
func TestFullUseIsLogged(t *testing.T) {
	lines := memory.New()
	w := &Monitor{Clock: mfclock.System{}, Log: log.NewEntry(&log.Logger{Handler: lines, Level: log.InfoLevel})}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	w.recordInterval(now, readInterval, readInterval/2)
	assert.Equal(t, len(lines.Entries), 0)
	assert.Equal(t, w.CoreFraction(), 0.5)
	w.recordInterval(now, readInterval, readInterval)
	assert.Equal(t, len(lines.Entries), 1)
	assert.Equal(t, lines.Entries[0].Message, "process uses a whole core")
	assert.Equal(t, w.CoreFraction(), 1.0)
}

// What is read grows with what is used.
func TestProcessorTime(t *testing.T) {
	before, err := ProcessorTime()
	assert.NilError(t, err)
	for used := before; used < before+20*time.Millisecond; {
		used, err = ProcessorTime()
		assert.NilError(t, err)
	}
}

// Where the time can't be read nothing else fails.
func TestUnreadableProcessorTimeIsLogged(t *testing.T) {
	lines := memory.New()
	w := &Monitor{
		Clock: mffake.InstantClock{}, Log: log.NewEntry(&log.Logger{Handler: lines, Level: log.InfoLevel}),
		Used: func() (time.Duration, error) { return 0, mffake.ErrFake },
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorIs(t, w.Run(ctx), context.Canceled)
	assert.Equal(t, len(lines.Entries), 1)
}
