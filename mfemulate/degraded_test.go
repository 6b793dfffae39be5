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

// playDegraded plays a load over some seeds, with and without FeatureStragglers, and returns
// the mean weighted on-time fractions.
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
	t.Logf("%s: weighted on-time fraction %.3f, without straggler handling %.3f", file, on, off)
	return on, off
}

// A quarter of the workers becomes five times slower, and nearly each job has a task on one of
// them.
func TestSlowWorkersDelayFewJobs(t *testing.T) {
	t.Parallel()
	on, off := playDegraded(t, "slow.yaml", mfexample.Slow)
	assert.Assert(t, on > off+0.15, "%.3f, %.3f without", on, off)
}

// An eighth of the workers hangs half of the tasks that it starts.
func TestHangingWorkersDelayFewJobs(t *testing.T) {
	t.Parallel()
	on, off := playDegraded(t, "hanging.yaml", mfexample.Hanging)
	assert.Assert(t, on > off+0.05, "%.3f, %.3f without", on, off)
}

// The invariants of TestHistories hold while workers are slow or hang tasks, and the jobs of
// stopped stragglers finish.
func TestHistoriesWithDegradedWorkers(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		w := degradedHistory(seed, nil)
		assert.Equal(t, len(w.Violations), 0, "%v", w.Violations)
		assert.Equal(t, w.Unfinished(), 0, "unfinished jobs: %v", w.DescribeUnfinished())
	})
}

func degradedHistory(seed uint64, onDecision func(mfsched.Decision)) *mfemulate.World {
	r := rand.New(rand.NewPCG(seed, 11))
	return newHistory(seed, historyOptions{
		jobs:     3 * defaultJobs,
		accounts: true, speculative: true,
		addFaults: func(*mfemulate.Faults) {},
		prepare: func(w *mfemulate.World) {
			if onDecision != nil {
				w.OnDecision = func(_ time.Duration, d mfsched.Decision) { onDecision(d) }
			}
			w.Estimates = mfemulate.EstimateErrors{QueueError: 0.5, TaskSpread: 0.2, TailFraction: 0.03, TailFactor: 5}
			for range 2 + r.IntN(6) {
				at, d := time.Duration(r.Int64N(int64(20*time.Second))), time.Duration(r.Int64N(int64(10*time.Second)))
				index, factor, fraction := r.IntN(13), 2+8*r.Float64(), r.Float64()
				if r.IntN(3) > 0 {
					w.At(at, func() { w.SlowWorker(index, factor, d) })
				} else {
					w.At(at, func() { w.HangWorker(index, fraction, d) })
				}
			}
		},
	})
}

// The fault histories with degraded workers must contain stragglers, or they test nothing of
// their handling.
func TestDegradedHistoriesRelocateTasks(t *testing.T) {
	t.Parallel()
	relocated, slow, copies := 0, 0, 0
	for seed := range uint64(6) {
		w := degradedHistory(seed, func(d mfsched.Decision) {
			switch d.Message {
			case mfsched.MessageRestarted:
				relocated++
			case mfsched.MessageCopyStarted:
				copies++
			case mfsched.MessageSlow:
				slow++
			}
		})
		assert.Equal(t, len(w.Violations), 0, "%v", w.Violations)
	}
	t.Logf("%d tasks relocated, %d copied, %d times a worker was slow", relocated, copies, slow)
	assert.Assert(t, relocated > 0 && copies > 0 && slow > 0)
}

// Seeds of histories with degraded workers that violated an invariant.
func TestRegressionSeedsWithDegradedWorkers(t *testing.T) {
	t.Parallel()
	for _, k := range []struct {
		seed  uint64
		cause string
	}{
		{0x6f988dff1816, "after a copy ended, a new owner took its number for that of the remaining run"},
		{0xb0, "the same"},
		{0x61c, "the check of a start counted a run twice whose worker had run the task before, and took its copy for a third run"},
	} {
		w := degradedHistory(k.seed, nil)
		assert.Equal(t, len(w.Violations), 0, "%v (regression: %s)", w.Violations, k.cause)
		assert.Equal(t, w.Unfinished(), 0, k.cause)
	}
}
