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

// Guards against a loop that falls behind without bound: it is saturated only after two summaries with
// hardly any idle time, and no longer after one that has some.
func TestStartCapacityOfSaturatedLoop(t *testing.T) {
	var c startCapacity
	c.update(50*time.Millisecond, time.Second, 1200)
	assert.Equal(t, c.rate, 0.0)
	c.update(50*time.Millisecond, 2*time.Second, 1200)
	assert.Equal(t, c.rate, 600.0)
	c.update(50*time.Millisecond, time.Second, 0)
	assert.Equal(t, c.rate, 1.0)
	c.update(200*time.Millisecond, time.Second, 1200)
	assert.Equal(t, c.rate, 0.0)
}

// Guards against rounds of decisions that leave no time for answers.
func TestRoundsLeaveHalfOfTheLoop(t *testing.T) {
	assert.Equal(t, roundInterval(time.Millisecond), minRoundInterval)
	assert.Equal(t, roundInterval(40*time.Millisecond), 80*time.Millisecond)
	assert.Equal(t, roundInterval(3*time.Second), 3*time.Second+maxRoundPause, "frozen in a round")
}
