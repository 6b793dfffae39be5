package mfemulate_test

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mothferry"
	"mothferry/mfemulate"
	"mothferry/mfexample"
)

// shortageStats are means over plays of a load.
type shortageStats struct {
	weightedOnTime float64
	moves          int
	// queues holds the on-time fraction of each queue's jobs.
	queues map[mothferry.QueueID]float64
}

// worst returns the smallest on-time fraction of any queue.
func (f shortageStats) worst() float64 {
	least := 1.0
	for _, fraction := range f.queues {
		least = min(least, fraction)
	}
	return least
}

// mean returns the mean of the queues' on-time fractions.
func (f shortageStats) mean() float64 {
	sum := 0.0
	for _, fraction := range f.queues {
		sum += fraction
	}
	return sum / float64(len(f.queues))
}

// comparePoolSizing plays a load with and without FeatureRooms over some seeds.
func comparePoolSizing(t *testing.T, data []byte, seeds int, change func(*mfemulate.Load)) (on, off shortageStats) {
	t.Helper()
	load, err := mfemulate.DecodeLoad("load", data)
	assert.NilError(t, err)
	change(&load)
	play := func(without mothferry.FeaturesOff) shortageStats {
		sum := shortageStats{queues: map[mothferry.QueueID]float64{}}
		for seed := range seeds {
			f := mfemulate.Play(load, mfemulate.Options{Limits: limits(), Seed: uint64(seed + 1), Moves: true, Off: without})
			assert.Check(t, f.Violations == 0)
			sum.weightedOnTime += f.WeightedOnTime / float64(seeds)
			sum.moves += f.Moves / seeds
			for id, fraction := range f.OnTimeByQueue {
				sum.queues[id] += fraction / float64(seeds)
			}
		}
		return sum
	}
	var both sync.WaitGroup
	both.Go(func() { on = play(nil) })
	both.Go(func() { off = play(mothferry.FeaturesOff{mothferry.FeaturePoolSizes: true}) })
	both.Wait()
	t.Logf("with: weighted on-time fraction %.3f, %d moves, %v; without: %.3f, %d moves, %v", on.weightedOnTime, on.moves, on.queues, off.weightedOnTime, off.moves, off.queues)
	return on, off
}

func unchangedLoad(*mfemulate.Load) {}

// A queue whose tasks fill memory must not wait while its pool has idle cores.
func TestPoolIsSizedByMemory(t *testing.T) {
	t.Parallel()
	on, off := comparePoolSizing(t, mfexample.Memory, 2, unchangedLoad)
	assert.Assert(t, on.queues["proofs"] > off.queues["proofs"]+0.2)
	assert.Assert(t, on.mean() > off.mean()+0.05)
}

// A pool whose demand peak has passed must not keep machines while the next pool's jobs become
// late.
func TestOverlappingPeaksShareTheFleet(t *testing.T) {
	t.Parallel()
	on, off := comparePoolSizing(t, mfexample.Overlap, 2, unchangedLoad)
	assert.Assert(t, on.weightedOnTime > off.weightedOnTime)
}

// Under sustained demand of one and a half times the fleet, chance must not decide which pool
// has the machines.
func TestSustainedShortage(t *testing.T) {
	t.Parallel()
	on, off := comparePoolSizing(t, mfexample.ShortLasting, 2, unchangedLoad)
	assert.Assert(t, on.weightedOnTime >= off.weightedOnTime)
}

// Sustained demand of three times the fleet must be served no worse than without FeatureRooms.
func TestSustainedThreefoldShortage(t *testing.T) {
	t.Parallel()
	on, off := comparePoolSizing(t, mfexample.ShortLasting, 1, func(l *mfemulate.Load) {
		l.Duration = 20 * time.Second
		for i := range l.Queues {
			l.Queues[i].Jobs *= 2
		}
	})
	assert.Assert(t, on.weightedOnTime >= off.weightedOnTime)
	assert.Assert(t, on.worst() >= off.worst())
}

// A demand peak of one and a half times the fleet must be served no worse than without
// FeatureRooms.
func TestDemandPeakBeyondFleet(t *testing.T) {
	t.Parallel()
	on, off := comparePoolSizing(t, mfexample.ShortTurn, 1, unchangedLoad)
	assert.Assert(t, on.weightedOnTime >= off.weightedOnTime)
}

// The invariants of TestHistories hold while the demand of both pools exceeds the fleet, so
// that machines are evacuated and moved all the time.
func TestHistoriesWithShortFleet(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		w := shortFleetHistory(seed)
		assert.Equal(t, len(w.Violations), 0, "%v", w.Violations)
		assert.Equal(t, w.Unfinished(), 0, "unfinished jobs: %v", w.DescribeUnfinished())
	})
}

// shortFleetHistory runs a history with more than twice the fleet's demand for six seconds.
func shortFleetHistory(seed uint64) *mfemulate.World {
	r := rand.New(rand.NewPCG(seed, 6))
	return newHistory(seed, historyOptions{
		jobs:      defaultJobs,
		addFaults: func(*mfemulate.Faults) {},
		prepare: func(w *mfemulate.World) {
			w.Moves = true
			for i := range 400 {
				at := 4*time.Second + time.Duration(r.Int64N(int64(6*time.Second)))
				s := drawJob(r, "qa", "a")
				if i%3 > 0 {
					s = drawJob(r, "qb", "b")
				}
				w.At(at, func() { w.Submit(s) })
			}
		},
	})
}
