package mfemulate_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mothferry/mfemulate"
	"mothferry/mfjob"
)

// scheduleHistory runs the fault history of a seed with scheduled jobs: short and long ones, overdue
// ones, and ones without an end, which are cancelled.
func scheduleHistory(seed uint64) *mfemulate.World {
	r := rand.New(rand.NewPCG(seed, 9))
	return newHistory(seed, historyOptions{
		jobs: defaultJobs / 4, addFaults: func(*mfemulate.Faults) {},
		prepare: func(w *mfemulate.World) {
			for range 6 {
				s := drawJob(r, "qa", "a")
				s.Interval = time.Duration(50+r.IntN(2000)) * time.Millisecond
				s.Repeat = []int{1, 5, 2 * mfjob.MaxTasks, math.MaxInt64}[r.IntN(4)]
				offset := time.Duration(r.IntN(10_000)-5000) * time.Millisecond
				for i := range s.Steps {
					s.Steps[i].Need.Cores = 300
				}
				w.At(time.Duration(r.Int64N(int64(15*time.Second))), func() {
					s.First = mfemulate.StartTime.Add(w.Now() + offset)
					id := w.Submit(s)
					if s.Repeat > mfjob.MaxTasks {
						w.At(w.Now()+time.Duration(r.Int64N(int64(20*time.Second))), func() { w.Cancel(id) })
					}
				})
			}
		},
	})
}

// Guards against occurrences of schedules that start early, twice, out of order or never, under the
// faults of all histories.
func TestHistoriesWithSchedules(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		w := scheduleHistory(seed)
		assert.Equal(t, len(w.Violations), 0, "%v", w.Violations)
		assert.Equal(t, w.Unfinished(), 0, "unfinished jobs: %v", w.DescribeUnfinished())
	})
}
