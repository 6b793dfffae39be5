package mfspeed_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfspeed"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const estimate = 500 * time.Millisecond

// clock returns a worker's clock at a time.
func clock(at time.Time) mothferry.WorkerClock {
	return mothferry.WorkerClock(at.Sub(start) + time.Hour)
}

var class = mfspeed.Class{Queue: "q"}

func runOf(worker mothferry.WorkerID) mfspeed.RunInfo {
	return mfspeed.RunInfo{Class: class, Worker: worker, Job: "j", Estimate: estimate}
}

// playRun simulates a run that takes a multiple of its estimate, with a reading every 50 ms, until
// a time or its end.
func playRun(baselines *mfspeed.Baselines, worker mothferry.WorkerID, started time.Time, multiple float64, until time.Time) *mfspeed.Track {
	t := &mfspeed.Track{}
	t.Start(clock(started))
	total := time.Duration(multiple * float64(estimate))
	for at := 50 * time.Millisecond; ; at += 50 * time.Millisecond {
		switch {
		case started.Add(at).After(until):
			return t
		case at >= total:
			if t.End(estimate, clock(started.Add(total))) {
				baselines.Record(runOf(worker), t, started.Add(total))
			}
			return t
		}
		if t.Advance(int(100*float64(at)/float64(total)), estimate, clock(started.Add(at))) {
			baselines.Record(runOf(worker), t, started.Add(at))
		}
	}
}

// newBaselines returns baselines of runs on ten workers that took about twice their estimate, and
// 3 % of them seven times as long. The function it returns draws such multiples.
func newBaselines(random *rand.Rand) (*mfspeed.Baselines, func() float64) {
	baselines := &mfspeed.Baselines{}
	drawMultiple := func() float64 {
		multiple := 2 * math.Exp(0.3*random.NormFloat64())
		if random.Float64() < 0.03 {
			multiple *= 7
		}
		return multiple
	}
	for i := range 64 {
		playRun(baselines, mothferry.WorkerID(rune('a'+i%10)), start, drawMultiple(), start.Add(time.Hour))
	}
	return baselines, drawMultiple
}

// A worker's speed must be relative to its peers, however wrong the estimates are.
func TestSpeedIsRelativeToPeers(t *testing.T) {
	baselines, drawMultiple := newBaselines(rand.New(rand.NewPCG(1, 1)))
	for _, speed := range []float64{1, 0.2} {
		var e mfspeed.Evidence
		now := start.Add(400 * time.Millisecond)
		for range 8 {
			e.Add(playRun(baselines, "w", start, drawMultiple()/speed, now), now)
		}
		v := e.Speed()
		assert.Assert(t, v.Runs >= 3 && v.Relative > speed/1.6 && v.Relative < speed*1.6, "%v: %+v", speed, v)
	}
}

// Guards against a worker that counts as slow when only tasks are left there that take long on any
// worker.
func TestRemainingLongTasksAreNoEvidence(t *testing.T) {
	baselines, _ := newBaselines(rand.New(rand.NewPCG(1, 1)))
	now := start.Add(3 * time.Second)
	var e mfspeed.Evidence
	for range 4 {
		e.Add(playRun(baselines, "w", start, 14, now), now)
	}
	assert.Equal(t, e.Speed().Runs, 0)
}

// A run that has become slower must be evidence that its worker has, however long it has taken.
func TestSlowedRunIsEvidence(t *testing.T) {
	baselines, _ := newBaselines(rand.New(rand.NewPCG(1, 1)))
	at := start.Add(3 * time.Second)
	run := playRun(baselines, "w", start, 14, at)
	assert.Assert(t, run.Advance(50, estimate, clock(at.Add(7*time.Second))))
	baselines.Record(runOf("w"), run, at.Add(7*time.Second))
	var e mfspeed.Evidence
	e.Add(run, at.Add(7*time.Second))
	assert.Assert(t, e.Speed().Runs == 1 && e.Speed().Relative < 0.5, "%+v", e.Speed())
}

// Guards against a hung task being taken for a slow one: it has no rate.
func TestStalledRunHasNoRate(t *testing.T) {
	run := &mfspeed.Track{}
	run.Start(clock(start))
	for i := range 50 {
		run.Advance(2, estimate, clock(start.Add(time.Duration(i)*100*time.Millisecond)))
	}
	_, known := run.Rate()
	assert.Assert(t, !known)
}

// Guards against a baseline that comes from one worker's runs.
func TestSingleWorkerGivesNoBaseline(t *testing.T) {
	baselines := &mfspeed.Baselines{}
	for range 64 {
		playRun(baselines, "w", start, 5, start.Add(time.Hour))
	}
	_, _, known := baselines.Deviation(class, 0)
	assert.Assert(t, !known)
}

// Guards against runs that ended before a worker became slow, and would hide that it has.
func TestOldEndedRunsExpire(t *testing.T) {
	baselines, _ := newBaselines(rand.New(rand.NewPCG(1, 1)))
	var ended mfspeed.EndedRuns
	ended.Add(playRun(baselines, "w", start, 1.5, start.Add(time.Hour)))
	var e mfspeed.Evidence
	e.AddEnded(&ended, start.Add(900*time.Millisecond))
	assert.Equal(t, e.Speed().Runs, 1)
	e.Reset()
	e.AddEnded(&ended, start.Add(3*time.Second))
	assert.Equal(t, e.Speed().Runs, 0)
}

// Guards against classes that are kept as long as their owner runs, one for each image that was
// ever submitted.
func TestOldClassesExpire(t *testing.T) {
	baselines, _ := newBaselines(rand.New(rand.NewPCG(1, 1)))
	baselines.Expire(start.Add(time.Minute))
	_, _, known := baselines.Deviation(class, 0)
	assert.Assert(t, known)
	baselines.Expire(start.Add(time.Hour))
	_, _, known = baselines.Deviation(class, 0)
	assert.Assert(t, !known)
	_, known = baselines.Expected(class, estimate)
	assert.Assert(t, !known)
}
