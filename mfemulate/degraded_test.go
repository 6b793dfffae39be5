package mfemulate_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mothferry"
	"mothferry/mfemulate"
	"mothferry/mfexample"
	"mothferry/mfsched"
)

// playDegraded plays a load over some seeds, with and without the feature, and returns the mean
// worth in time of each.
func playDegraded(t *testing.T, file string, data []byte) (on, off float64) {
	t.Helper()
	load, err := mfemulate.DecodeLoad(file, data)
	assert.NilError(t, err)
	const seeds = 3
	for seed := range uint64(seeds) {
		with := mfemulate.Play(load, mfemulate.Options{Limits: limits(), Seed: seed})
		without := mfemulate.Play(load, mfemulate.Options{
			Limits: limits(), Seed: seed, Off: mothferry.FeaturesOff{mothferry.FeatureStragglers: true},
		})
		assert.Equal(t, with.Violations+without.Violations, 0)
		on, off = on+with.WeightedOnTime/seeds, off+without.WeightedOnTime/seeds
	}
	t.Logf("%s: worth in time %.3f, without stragglers %.3f", file, on, off)
	return on, off
}

// The load at its worst: a quarter of the workers turns five times slower, and nearly each job
// has a task on one of them.
func TestSlowWorkersDelayFewJobs(t *testing.T) {
	t.Parallel()
	on, off := playDegraded(t, "slow.yaml", mfexample.Slow)
	assert.Assert(t, on > off+0.15, "%.3f, %.3f without", on, off)
}

// The load at its worst: an eighth of the workers hangs half of the tasks that it starts.
func TestHangingWorkersDelayFewJobs(t *testing.T) {
	t.Parallel()
	on, off := playDegraded(t, "hanging.yaml", mfexample.Hanging)
	assert.Assert(t, on > off+0.05, "%.3f, %.3f without", on, off)
}

// Histories of faults in which workers turn slow and hang tasks for a while: the same holds as
// in all, and what is stopped for being behind comes to an end.
func TestHistoriesWithDegradedWorkers(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		w := degradedHistory(seed, nil)
		assert.Equal(t, len(w.Violations), 0, "%v", w.Violations)
		assert.Equal(t, w.Unfinished(), 0, "jobs without an end: %v", w.DescribeUnfinished())
	})
}

func degradedHistory(seed uint64, watch func(mfsched.Decision)) *mfemulate.World {
	r := rand.New(rand.NewPCG(seed, 11))
	return newHistory(seed, historyOptions{
		jobs:     3 * defaultJobs,
		accounts: true, speculative: true,
		addFaults: func(*mfemulate.Faults) {},
		prepare: func(w *mfemulate.World) {
			if watch != nil {
				w.OnDecision = func(_ time.Duration, d mfsched.Decision) { watch(d) }
			}
			w.Estimates = mfemulate.EstimateErrors{QueueError: 0.5, TaskSpread: 0.2, TailFraction: 0.03, TailFactor: 5}
			for range 2 + r.IntN(6) {
				at, d := time.Duration(r.Int64N(int64(20*time.Second))), time.Duration(r.Int64N(int64(10*time.Second)))
				index, times, part := r.IntN(13), 2+8*r.Float64(), r.Float64()
				if r.IntN(3) > 0 {
					w.At(at, func() { w.SlowWorker(index, times, d) })
				} else {
					w.At(at, func() { w.HangWorker(index, part, d) })
				}
			}
		},
	})
}

// Guards against histories in which nothing is behind, so that nothing of it is tested.
func TestDegradedHistoriesRelocateTasks(t *testing.T) {
	t.Parallel()
	restarted, slow, copied := 0, 0, 0
	for seed := range uint64(6) {
		w := degradedHistory(seed, func(d mfsched.Decision) {
			switch d.Message {
			case mfsched.MessageRestarted:
				restarted++
			case mfsched.MessageCopyStarted:
				copied++
			case mfsched.MessageSlow:
				slow++
			}
		})
		assert.Equal(t, len(w.Violations), 0, "%v", w.Violations)
	}
	t.Logf("%d tasks started elsewhere, %d were copied, %d times a worker was slow", restarted, copied, slow)
	assert.Assert(t, restarted > 0 && copied > 0 && slow > 0)
}

// Seeds of histories with uneven workers that once failed.
func TestRegressionSeedsWithDegradedWorkers(t *testing.T) {
	t.Parallel()
	for _, k := range []struct {
		seed  uint64
		cause string
	}{
		{0x6f988dff1816, "after a copy was over a successor took its number for that of the run that was left"},
		{0xb0, "the same"},
		{0x61c, "the check of a start counted a run twice whose worker had run the task before, and took its copy for a third run"},
	} {
		w := degradedHistory(k.seed, nil)
		assert.Equal(t, len(w.Violations), 0, "%v (once: %s)", w.Violations, k.cause)
		assert.Equal(t, w.Unfinished(), 0, k.cause)
	}
}
