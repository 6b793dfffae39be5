package mfowner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry/mffake"
	"mothferry/mfsched"
)

// The parts of the loop add up to the time that has passed, and nested parts count once.
func TestLoopTimesAddUp(t *testing.T) {
	clock := mffake.NewClock()
	l := newLoopTimes(clock)
	clock.Advance(5 * time.Millisecond)
	before := l.enter(partOf(mfsched.PollAnswered{}))
	clock.Advance(2 * time.Millisecond)
	l.enter(LoopPart(mfsched.StagePlacement))
	clock.Advance(3 * time.Millisecond)
	l.enter(before)
	clock.Advance(time.Millisecond)
	assert.DeepEqual(t, l.take(), map[LoopPart]time.Duration{
		PartIdle: 6 * time.Millisecond, PartReports: 2 * time.Millisecond, LoopPart(mfsched.StagePlacement): 3 * time.Millisecond,
	})
	clock.Advance(time.Millisecond)
	assert.DeepEqual(t, l.take(), map[LoopPart]time.Duration{PartIdle: time.Millisecond})
}
