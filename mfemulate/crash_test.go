package mfemulate_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mothferry/mfemulate"
	"mothferry/mfexample"
)

// One job in forty has a task that crashes every worker that starts it, on the load of demand
// peaks. With unlimited restarts about 940 workers crash in 40 s, and the weighted on-time
// fraction is 0.15 to 0.23, compared with 0.79 to 0.94 without such tasks.
//
// Crashes must stay below the three per such job after which restarts are limited, at most 1%
// of the jobs may fail without such a task, and four fifths of what is on time without such
// tasks must stay on time.
func TestCrashingTasksLeaveOtherJobsOnTime(t *testing.T) {
	t.Parallel()
	load, err := mfemulate.DecodeLoad("crashing.yaml", mfexample.Crashing)
	assert.NilError(t, err)
	withoutCrashes := load
	withoutCrashes.Faults = mfemulate.LoadFaults{}
	for seed := range uint64(3) {
		f := mfemulate.Play(load, mfemulate.Options{Limits: limits(), Seed: seed + 1, Moves: true})
		without := mfemulate.Play(withoutCrashes, mfemulate.Options{Limits: limits(), Seed: seed + 1, Moves: true})
		t.Logf("seed %d: weighted on-time fraction %.3f, without crashing tasks %.3f; %d of %d jobs with a crashing task, %d crashes, %d unrelated failures",
			seed+1, f.WeightedOnTime, without.WeightedOnTime, f.CrashingJobs, f.Jobs, f.Crashes, f.UnrelatedFailures)
		assert.Equal(t, f.Violations, 0)
		assert.Assert(t, f.Crashes < 3*f.CrashingJobs)
		assert.Assert(t, f.UnrelatedFailures <= f.Jobs/100)
		assert.Assert(t, f.WeightedOnTime >= 0.8*without.WeightedOnTime)
	}
}

// The limits on crashes and on unrelated failures must hold on this load, whatever fraction is
// on time.
func TestCrashingTaskRestartsAreBounded(t *testing.T) {
	t.Parallel()
	load, err := mfemulate.DecodeLoad("crashing.yaml", mfexample.Crashing)
	assert.NilError(t, err)
	for seed := range uint64(3) {
		f := mfemulate.Play(load, mfemulate.Options{Limits: limits(), Seed: seed + 1, Moves: true})
		assert.Equal(t, f.Violations, 0)
		assert.Assert(t, f.Crashes < 3*f.CrashingJobs)
		assert.Assert(t, f.UnrelatedFailures <= f.Jobs/100)
	}
}

// Fault histories as in TestHistories, with tasks that crash their workers up to 0.3 s after
// their start. Each such task is started fewer than three times after three workers have
// crashed under it, and no job is failed for fewer than two crashes. A lasting job is never
// failed: its task is started at most once in three seconds then.
func TestHistoriesWithCrashingTasks(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		w := crashHistory(seed)
		assert.Equal(t, len(w.Violations), 0, "%v", w.Violations)
		assert.Equal(t, w.Unfinished(), 0, "unfinished jobs: %v", w.DescribeUnfinished())
	})
}

func crashHistory(seed uint64) *mfemulate.World {
	r := rand.New(rand.NewPCG(seed, 3))
	return faultHistory(seed, func(f *mfemulate.Faults) {
		f.CrashJob = 0.02 + 0.08*r.Float64()
		f.CrashAfter = time.Duration(r.Int64N(int64(300 * time.Millisecond)))
		f.CrashDown = time.Second + time.Duration(r.Int64N(int64(2*time.Second)))
	})
}
