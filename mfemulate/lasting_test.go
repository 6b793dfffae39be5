package mfemulate_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mothferry"
	"mothferry/mfemulate"
	"mothferry/mfjob"
)

// A successor must not go back to older progress of lasting tasks after the log was empty.
func TestHistoriesWithManyTakeovers(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		checkHistory(t, takeoverHistory(rapid.Uint64().Draw(t, "seed")))
	})
}

// Emptying machines for upkeep must not end a lasting task while others of its step are away.
func TestHistoriesWithMaintenance(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		checkHistory(t, maintenanceHistory(rapid.Uint64().Draw(t, "seed")))
	})
}

func checkHistory(t *rapid.T, w *mfemulate.World) {
	assert.Equal(t, len(w.Violations), 0, "%v", w.Violations)
	assert.Equal(t, w.Unfinished(), 0, "jobs without an end: %v", w.DescribeUnfinished())
}

// takeoverHistory plays a history in which the log of progress is often empty at a takeover.
func takeoverHistory(seed uint64) *mfemulate.World {
	r := rand.New(rand.NewPCG(seed, 11))
	return newHistory(seed, historyOptions{
		jobs: 2 + r.IntN(7), preparesLasting: true,
		addFaults: func(f *mfemulate.Faults) {
			f.MeanLastingTime = 2*time.Second + time.Duration(r.Int64N(int64(20*time.Second)))
		},
		prepare: func(w *mfemulate.World) {
			submitLasting(w, r)
			for at := time.Second; at < 25*time.Second; {
				at += 500*time.Millisecond + time.Duration(r.Int64N(int64(4*time.Second)))
				vacant := 200*time.Millisecond + time.Duration(r.Int64N(int64(2*time.Second)))
				loss := []func(){
					func() { w.KillOwner(vacant) },
					func() { w.FreezeOwner(vacant, vacant+2*time.Second) },
					func() { w.PartitionOwner(vacant) },
				}[r.IntN(3)]
				w.At(at, loss)
			}
		},
	})
}

// maintenanceHistory plays a history in which machines with lasting tasks go down for upkeep.
func maintenanceHistory(seed uint64) *mfemulate.World {
	r := rand.New(rand.NewPCG(seed, 13))
	return newHistory(seed, historyOptions{
		jobs: 3 + r.IntN(20), preparesLasting: true,
		addFaults: func(*mfemulate.Faults) {},
		prepare: func(w *mfemulate.World) {
			submitLasting(w, r)
			for range 1 + r.IntN(2) {
				at, within, atOnce := drawTime(r), 5*time.Second+time.Duration(r.Int64N(int64(30*time.Second))), 1+r.IntN(4)
				machines := r.Perm(10)[:3+r.IntN(8)]
				w.At(at, func() { w.RequestMaintenance(machines, within, atOnce) })
			}
		},
	})
}

func drawTime(r *rand.Rand) time.Duration {
	return time.Second + time.Duration(r.Int64N(int64(20*time.Second)))
}

// submitLasting hands some lasting jobs in, half of which are cancelled later.
func submitLasting(w *mfemulate.World, r *rand.Rand) {
	for range 1 + r.IntN(4) {
		s := lastingJob("qa", "a")
		if r.IntN(2) == 0 {
			s = lastingJob("qb", "b")
		}
		s.Steps[0] = mfjob.Step{
			Count: 2 + r.IntN(4), Need: mothferry.Resources{Cores: 1500, Memory: mothferry.Gibibyte}, Estimate: 500 * time.Millisecond,
			Lasting: true, PerWorker: 1 + r.IntN(2), MayMiss: 1 + r.IntN(2),
		}
		cancelled, lasts := r.IntN(2) == 0, drawTime(r)
		w.At(drawTime(r), func() {
			id := w.Submit(s)
			if cancelled {
				w.At(w.Now()+lasts, func() { w.Cancel(id) })
			}
		})
	}
}
