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
func TestFullUseIsToldOnceInAWhile(t *testing.T) {
	var f fullUse
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	told, rounds := 0, 0
	for range 140 {
		now = now.Add(roundEvery)
		if n, warn := f.take(1.0, now); warn {
			told++
			rounds += n
		}
	}
	assert.Equal(t, told, 3)
	assert.Equal(t, rounds, 121)
	_, warn := f.take(0.9, now.Add(time.Hour))
	assert.Assert(t, !warn)
}

// A round in which the process used a whole core is told, one in which it did not is not.
func TestSpinningIsNoticed(t *testing.T) {
	lines := memory.New()
	w := &Watch{Clock: mfclock.System{}, Log: log.NewEntry(&log.Logger{Handler: lines, Level: log.InfoLevel})}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	w.round(now, roundEvery, roundEvery/2)
	assert.Equal(t, len(lines.Entries), 0)
	assert.Equal(t, w.Share(), 0.5)
	w.round(now, roundEvery, roundEvery)
	assert.Equal(t, len(lines.Entries), 1)
	assert.Equal(t, lines.Entries[0].Message, "process uses a whole core")
	assert.Equal(t, w.Share(), 1.0)
}

// What is read grows with what is used.
func TestProcessorTimeIsRead(t *testing.T) {
	before, err := ProcessorTime()
	assert.NilError(t, err)
	for used := before; used < before+20*time.Millisecond; {
		used, err = ProcessorTime()
		assert.NilError(t, err)
	}
}

// Where the time can't be read nothing else fails.
func TestUnreadTimeEndsNothing(t *testing.T) {
	lines := memory.New()
	w := &Watch{
		Clock: mffake.InstantClock{}, Log: log.NewEntry(&log.Logger{Handler: lines, Level: log.InfoLevel}),
		Used: func() (time.Duration, error) { return 0, mffake.ErrFake },
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorIs(t, w.Run(ctx), context.Canceled)
	assert.Equal(t, len(lines.Entries), 1)
}
