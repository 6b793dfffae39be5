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

// shortFigures are means over plays of a load.
type shortFigures struct {
	worth float64
	moves int
	// queues holds the part in time of each queue's jobs.
	queues map[mothferry.QueueID]float64
}

// worst returns the smallest part in time of any queue.
func (f shortFigures) worst() float64 {
	least := 1.0
	for _, part := range f.queues {
		least = min(least, part)
	}
	return least
}

// mean returns the mean of the queues' parts in time.
func (f shortFigures) mean() float64 {
	sum := 0.0
	for _, part := range f.queues {
		sum += part
	}
	return sum / float64(len(f.queues))
}

// playShort plays a load with and without FeatureRooms over some seeds.
func playShort(t *testing.T, data []byte, seeds int, change func(*mfemulate.Load)) (on, off shortFigures) {
	t.Helper()
	load, err := mfemulate.DecodeLoad("load", data)
	assert.NilError(t, err)
	change(&load)
	play := func(without mothferry.FeaturesOff) shortFigures {
		sum := shortFigures{queues: map[mothferry.QueueID]float64{}}
		for seed := range seeds {
			f := mfemulate.Play(load, mfemulate.Options{Limits: limits(), Seed: uint64(seed + 1), Moves: true, Off: without})
			assert.Check(t, f.Broken == 0)
			sum.worth += f.Worth / float64(seeds)
			sum.moves += f.Moves / seeds
			for id, part := range f.Queues {
				sum.queues[id] += part / float64(seeds)
			}
		}
		return sum
	}
	var both sync.WaitGroup
	both.Go(func() { on = play(nil) })
	both.Go(func() { off = play(mothferry.FeaturesOff{mothferry.FeaturePoolSizes: true}) })
	both.Wait()
	t.Logf("with: worth %.3f, %d moves, %v; without: worth %.3f, %d moves, %v", on.worth, on.moves, on.queues, off.worth, off.moves, off.queues)
	return on, off
}

func unchanged(*mfemulate.Load) {}

// The queue whose tasks fill memory must not wait while its pool has idle cores.
func TestPoolIsSizedByMemory(t *testing.T) {
	t.Parallel()
	on, off := playShort(t, mfexample.Memory, 2, unchanged)
	assert.Assert(t, on.queues["proofs"] > off.queues["proofs"]+0.2)
	assert.Assert(t, on.mean() > off.mean()+0.05)
}

// A pool whose turn is over must not keep machines while the next one's jobs become late.
func TestOverlappingTurnsShareTheFleet(t *testing.T) {
	t.Parallel()
	on, off := playShort(t, mfexample.Overlap, 2, unchanged)
	assert.Assert(t, on.worth > off.worth)
}

// Demand of one and a half times the fleet for good must not leave it to chance which pool
// has the machines.
func TestLastingShortage(t *testing.T) {
	t.Parallel()
	on, off := playShort(t, mfexample.ShortLasting, 2, unchanged)
	assert.Assert(t, on.worth >= off.worth)
}

// Demand of three times the fleet for good must be served no worse than before.
func TestLastingShortageOfThreeFleets(t *testing.T) {
	t.Parallel()
	on, off := playShort(t, mfexample.ShortLasting, 1, func(l *mfemulate.Load) {
		l.For = 20 * time.Second
		for i := range l.Queues {
			l.Queues[i].Jobs *= 2
		}
	})
	assert.Assert(t, on.worth >= off.worth)
	assert.Assert(t, on.worst() >= off.worst())
}

// A turn of one and a half times the fleet must be served no worse than before.
func TestShortTurn(t *testing.T) {
	t.Parallel()
	on, off := playShort(t, mfexample.ShortTurn, 1, unchanged)
	assert.Assert(t, on.worth >= off.worth)
}

// Histories of faults in which both pools are asked for more than the fleet, so that machines
// are emptied and moved all the time: the rules of Histories hold.
func TestHistoriesOfAShortFleet(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		w := shortHistory(seed)
		assert.Equal(t, len(w.Broken), 0, "%v", w.Broken)
		assert.Equal(t, w.Unfinished(), 0, "jobs without an end: %v", w.Describe())
	})
}

// shortHistory plays a history in which six seconds ask for more than twice the fleet.
func shortHistory(seed uint64) *mfemulate.World {
	r := rand.New(rand.NewPCG(seed, 6))
	return newHistory(seed, historyKind{
		jobs:    usualJobs,
		further: func(*mfemulate.Faults) {},
		prepare: func(w *mfemulate.World) {
			w.Moves = true
			for i := range 400 {
				at := 4*time.Second + time.Duration(r.Int64N(int64(6*time.Second)))
				s := job(r, "qa", "a")
				if i%3 > 0 {
					s = job(r, "qb", "b")
				}
				w.At(at, func() { w.Submit(s) })
			}
		},
	})
}
