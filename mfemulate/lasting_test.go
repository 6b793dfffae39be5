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

// A new owner must not return to older progress of lasting tasks after the progress log was
// empty.
func TestHistoriesWithManyTakeovers(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		checkHistory(t, takeoverHistory(rapid.Uint64().Draw(t, "seed")))
	})
}

// Evacuating machines for maintenance must not end a lasting task while too many others of its
// step are unavailable.
func TestHistoriesWithMaintenance(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		checkHistory(t, maintenanceHistory(rapid.Uint64().Draw(t, "seed")))
	})
}

func checkHistory(t *rapid.T, w *mfemulate.World) {
	assert.Equal(t, len(w.Violations), 0, "%v", w.Violations)
	assert.Equal(t, w.Unfinished(), 0, "unfinished jobs: %v", w.DescribeUnfinished())
}

// takeoverHistory runs a history in which the progress log is often empty at a takeover.
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
				takeoverDelay := 200*time.Millisecond + time.Duration(r.Int64N(int64(2*time.Second)))
				loss := []func(){
					func() { w.KillOwner(takeoverDelay) },
					func() { w.FreezeOwner(takeoverDelay, takeoverDelay+2*time.Second) },
					func() { w.PartitionOwner(takeoverDelay) },
				}[r.IntN(3)]
				w.At(at, loss)
			}
		},
	})
}

// maintenanceHistory runs a history with maintenance of machines that run lasting tasks.
func maintenanceHistory(seed uint64) *mfemulate.World {
	r := rand.New(rand.NewPCG(seed, 13))
	return newHistory(seed, historyOptions{
		jobs: 3 + r.IntN(20), preparesLasting: true,
		addFaults: func(*mfemulate.Faults) {},
		prepare: func(w *mfemulate.World) {
			submitLasting(w, r)
			for range 1 + r.IntN(2) {
				at, within, maxDown := drawTime(r), 5*time.Second+time.Duration(r.Int64N(int64(30*time.Second))), 1+r.IntN(4)
				machines := r.Perm(10)[:3+r.IntN(8)]
				w.At(at, func() { w.RequestMaintenance(machines, within, maxDown) })
			}
		},
	})
}

func drawTime(r *rand.Rand) time.Duration {
	return time.Second + time.Duration(r.Int64N(int64(20*time.Second)))
}

// submitLasting submits some lasting jobs, half of which are cancelled later.
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
		cancelled, cancelAfter := r.IntN(2) == 0, drawTime(r)
		w.At(drawTime(r), func() {
			id := w.Submit(s)
			if cancelled {
				w.At(w.Now()+cancelAfter, func() { w.Cancel(id) })
			}
		})
	}
}
