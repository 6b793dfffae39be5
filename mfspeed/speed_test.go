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

// clock is a worker's clock at a time.
func clock(at time.Time) mothferry.WorkerClock {
	return mothferry.WorkerClock(at.Sub(start) + time.Hour)
}

var class = mfspeed.Class{Queue: "q"}

func runOf(worker mothferry.WorkerID) mfspeed.RunInfo {
	return mfspeed.RunInfo{Class: class, Worker: worker, Job: "j", Estimate: estimate}
}

// playRun plays a run that takes so many times its estimate, looked at every 50 ms, until a time
// or its end.
func playRun(kinds *mfspeed.Baselines, worker mothferry.WorkerID, begun time.Time, times float64, until time.Time) *mfspeed.Track {
	t := &mfspeed.Track{}
	t.Start(clock(begun))
	whole := time.Duration(times * float64(estimate))
	for at := 50 * time.Millisecond; ; at += 50 * time.Millisecond {
		switch {
		case begun.Add(at).After(until):
			return t
		case at >= whole:
			if t.End(estimate, clock(begun.Add(whole))) {
				kinds.Record(runOf(worker), t, begun.Add(whole))
			}
			return t
		}
		if t.Advance(int(100*float64(at)/float64(whole)), estimate, clock(begun.Add(at))) {
			kinds.Record(runOf(worker), t, begun.Add(at))
		}
	}
}

// newBaselines returns kinds in which runs of ten workers took about twice their estimate,
// three of a hundred seven times as long.
func newBaselines(random *rand.Rand) (*mfspeed.Baselines, func() float64) {
	kinds := &mfspeed.Baselines{}
	draw := func() float64 {
		times := 2 * math.Exp(0.3*random.NormFloat64())
		if random.Float64() < 0.03 {
			times *= 7
		}
		return times
	}
	for i := range 64 {
		playRun(kinds, mothferry.WorkerID(rune('a'+i%10)), start, draw(), start.Add(time.Hour))
	}
	return kinds, draw
}

// A worker's speed is told against its peers, whatever the estimates are off by.
func TestSpeedIsRelativeToPeers(t *testing.T) {
	kinds, draw := newBaselines(rand.New(rand.NewPCG(1, 1)))
	for _, speed := range []float64{1, 0.2} {
		var e mfspeed.Evidence
		now := start.Add(400 * time.Millisecond)
		for range 8 {
			e.Add(playRun(kinds, "w", start, draw()/speed, now), now)
		}
		v := e.Speed()
		assert.Assert(t, v.Runs >= 3 && v.Relative > speed/1.6 && v.Relative < speed*1.6, "%v: %+v", speed, v)
	}
}

// Guards against a worker that counts as slow when only tasks are left there that take long for
// reasons of their own.
func TestRemainingLongTasksAreNoEvidence(t *testing.T) {
	kinds, _ := newBaselines(rand.New(rand.NewPCG(1, 1)))
	now := start.Add(3 * time.Second)
	var e mfspeed.Evidence
	for range 4 {
		e.Add(playRun(kinds, "w", start, 14, now), now)
	}
	assert.Equal(t, e.Speed().Runs, 0)
}

// A run that has become slower tells that its worker has, however long it has taken.
func TestSlowedRunIsEvidence(t *testing.T) {
	kinds, _ := newBaselines(rand.New(rand.NewPCG(1, 1)))
	at := start.Add(3 * time.Second)
	run := playRun(kinds, "w", start, 14, at)
	assert.Assert(t, run.Advance(50, estimate, clock(at.Add(7*time.Second))))
	kinds.Record(runOf("w"), run, at.Add(7*time.Second))
	var e mfspeed.Evidence
	e.Add(run, at.Add(7*time.Second))
	assert.Assert(t, e.Speed().Runs == 1 && e.Speed().Relative < 0.5, "%+v", e.Speed())
}

// Guards against a hanging task being taken for a slow one: it has no rate.
func TestStalledRunHasNoRate(t *testing.T) {
	run := &mfspeed.Track{}
	run.Start(clock(start))
	for i := range 50 {
		run.Advance(2, estimate, clock(start.Add(time.Duration(i)*100*time.Millisecond)))
	}
	_, known := run.Rate()
	assert.Assert(t, !known)
}

// Guards against one worker's runs being taken for what is usual.
func TestSingleWorkerGivesNoBaseline(t *testing.T) {
	kinds := &mfspeed.Baselines{}
	for range 64 {
		playRun(kinds, "w", start, 5, start.Add(time.Hour))
	}
	_, _, known := kinds.Deviation(class, 0)
	assert.Assert(t, !known)
}

// Guards against runs that ended before a worker turned slow hiding that it has.
func TestOldEndedRunsExpire(t *testing.T) {
	kinds, _ := newBaselines(rand.New(rand.NewPCG(1, 1)))
	var w mfspeed.EndedRuns
	w.Add(playRun(kinds, "w", start, 1.5, start.Add(time.Hour)))
	var e mfspeed.Evidence
	e.AddEnded(&w, start.Add(900*time.Millisecond))
	assert.Equal(t, e.Speed().Runs, 1)
	e.Reset()
	e.AddEnded(&w, start.Add(3*time.Second))
	assert.Equal(t, e.Speed().Runs, 0)
}

// Guards against kinds that are remembered for as long as their owner lives, one for each image that
// was ever handed in.
func TestOldClassesExpire(t *testing.T) {
	kinds, _ := newBaselines(rand.New(rand.NewPCG(1, 1)))
	kinds.Expire(start.Add(time.Minute))
	_, _, known := kinds.Deviation(class, 0)
	assert.Assert(t, known)
	kinds.Expire(start.Add(time.Hour))
	_, _, known = kinds.Deviation(class, 0)
	assert.Assert(t, !known)
	_, known = kinds.Expected(class, estimate)
	assert.Assert(t, !known)
}
