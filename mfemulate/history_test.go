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
	"mothferry/mfsched"
)

func limits() mfsched.Limits { return mfsched.DefaultLimits() }

func queues() map[mothferry.QueueID]mfsched.Queue {
	return map[mothferry.QueueID]mfsched.Queue{
		"qa": {Service: "a", MaxAttempts: 3, Stretch: 1.6, Latency: 600 * time.Millisecond},
		"qb": {Service: "b", MaxAttempts: 3, Stretch: 1.6, Latency: 600 * time.Millisecond},
	}
}

// newWorld returns a world of two services and a standby pool.
func newWorld(seed uint64, faults mfemulate.Faults, moves bool) *mfemulate.World {
	w := &mfemulate.World{
		Limits: limits(), Faults: faults, Random: rand.New(rand.NewPCG(seed, 7)), Queues: queues(),
		Standby: map[mothferry.ServiceID]bool{"off": true}, Moves: moves,
	}
	w.Begin()
	capacity := mothferry.Resources{Cores: 16000, Memory: 32 * mothferry.Gibibyte}
	w.AddMachines("a", 5, capacity)
	w.AddMachines("b", 5, capacity)
	w.AddMachines("off", 3, capacity)
	return w
}

// drawJob draws a job of one to three steps.
func drawJob(r *rand.Rand, queue mothferry.QueueID, service mothferry.ServiceID) mfjob.Submission {
	s := mfjob.Submission{Queue: queue, Service: service, Spec: "spec"}
	for i := range 1 + r.IntN(3) {
		p := mfjob.Step{
			Count:    1 + r.IntN(6),
			Need:     mothferry.Resources{Cores: mothferry.Millicores(500 + r.IntN(2500)), Memory: mothferry.Gibibyte},
			Estimate: time.Duration(200+r.IntN(800)) * time.Millisecond,
		}
		if i > 0 {
			p.After = []int{r.IntN(i)}
		}
		s.Steps = append(s.Steps, p)
	}
	return s
}

func lastingJob(queue mothferry.QueueID, service mothferry.ServiceID) mfjob.Submission {
	return mfjob.Submission{Queue: queue, Service: service, Spec: "spec", Steps: []mfjob.Step{{
		Count: 4, Need: mothferry.Resources{Cores: 1500, Memory: mothferry.Gibibyte}, Estimate: 500 * time.Millisecond,
		Lasting: true, PerWorker: 1, MayMiss: 1,
	}}}
}

// Fault histories drawn by seed: orders and answers lost, orders executed seconds late,
// commits without an answer, owners killed, suspended, and partitioned from the store while
// they still reach workers, workers crashed and unreachable, machines moving. No task may run
// twice at the same time or after it is done, none may start before its dependencies are done
// or after its job's cancel, and no unfinished job may be stored as completed. Once the faults
// end, every accepted job has to finish.
func TestHistories(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		w := history(seed)
		assert.Equal(t, len(w.Violations), 0, "%v", w.Violations)
		f := w.Summarize()
		unfinished := f.Jobs - f.OnTime - f.Late - f.Failed - f.TooLate
		assert.Equal(t, unfinished, 0)
		assert.Equal(t, w.Unfinished(), 0, "unfinished jobs")
	})
}

// The same invariants hold if most restarted workers reuse their id, some within one poll, and
// know nothing of their previous incarnation. Orders that the previous incarnation received
// and had not executed are lost.
func TestHistoriesWithReusedWorkerIDs(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		w := sameIDHistory(seed)
		assert.Equal(t, len(w.Violations), 0, "%v", w.Violations)
		assert.Equal(t, w.Unfinished(), 0, "unfinished jobs: %v", w.DescribeUnfinished())
	})
}

func sameIDHistory(seed uint64) *mfemulate.World {
	r := rand.New(rand.NewPCG(seed, 5))
	return newHistory(seed, historyOptions{
		jobs:      defaultJobs,
		addFaults: func(f *mfemulate.Faults) { f.ReuseID = 0.8 },
		prepare: func(w *mfemulate.World) {
			for range 3 + r.IntN(12) {
				at := time.Second + time.Duration(r.Int64N(int64(20*time.Second)))
				index, down := r.IntN(13), time.Duration(r.Int64N(int64(500*time.Millisecond)))
				w.At(at, func() { w.CrashWorker(index, down) })
			}
		},
	})
}

func history(seed uint64) *mfemulate.World {
	return faultHistory(seed, func(*mfemulate.Faults) {})
}

// faultHistory runs the history of a seed with additional faults.
func faultHistory(seed uint64, addFaults func(*mfemulate.Faults)) *mfemulate.World {
	return newHistory(seed, historyOptions{jobs: defaultJobs, addFaults: addFaults, prepare: func(*mfemulate.World) {}})
}

// historyOptions are what a history adds to the faults that all have.
type historyOptions struct {
	addFaults func(*mfemulate.Faults)
	prepare   func(*mfemulate.World)
	// accounts assigns three of four jobs to client accounts.
	accounts bool
	// jobs is the number of jobs submitted that are not lasting.
	jobs int
	// speculative allows copies of about half of the steps.
	speculative bool
	// preparesLasting is set if prepare submits the lasting jobs.
	preparesLasting bool
}

// defaultJobs is large enough that the progress log is seldom empty at a takeover.
const defaultJobs = 60

// newHistory runs the fault history of a seed.
func newHistory(seed uint64, options historyOptions) *mfemulate.World {
	r := rand.New(rand.NewPCG(seed, 1))
	rate := func(maximum float64) float64 {
		if r.IntN(2) == 0 {
			return 0
		}
		return r.Float64() * maximum
	}
	faults := mfemulate.Faults{
		LoseOrder: rate(0.05), LoseAnswer: rate(0.1), LateOrder: rate(0.1), LateBy: 8 * time.Second,
		LoseCommitAnswer: rate(0.1), FailTask: rate(0.05),
	}
	options.addFaults(&faults)
	w := newWorld(seed, faults, r.IntN(2) == 0)
	options.prepare(w)
	const faultPeriod = 20 * time.Second
	at := func() time.Duration { return time.Second + time.Duration(r.Int64N(int64(faultPeriod))) }
	for range options.jobs {
		s := drawJob(r, "qa", "a")
		if r.IntN(2) == 0 {
			s = drawJob(r, "qb", "b")
		}
		d := at()
		if options.accounts {
			s.Account = []mothferry.AccountID{"x", "y", "z", ""}[r.IntN(4)]
		}
		for i := range s.Steps {
			s.Steps[i].Speculative = options.speculative && r.IntN(2) == 0
		}
		w.At(d, func() {
			id := w.Submit(s)
			if s.Steps[0].Count == 3 {
				w.At(w.Now()+400*time.Millisecond, func() { w.Cancel(id) })
			}
		})
	}
	lasting := lastingJob("qa", "a")
	if options.accounts {
		lasting.Account = "x"
	}
	if !options.preparesLasting {
		w.At(500*time.Millisecond, func() { w.Submit(lasting) })
	}
	for range r.IntN(3) {
		w.At(at(), func() { w.KillOwner(1700 * time.Millisecond) })
	}
	for range r.IntN(2) {
		w.At(at(), func() { w.FreezeOwner(1700*time.Millisecond, 4*time.Second) })
	}
	for range r.IntN(2) {
		w.At(at(), func() { w.PartitionOwner(1700 * time.Millisecond) })
	}
	for range r.IntN(4) {
		i := r.IntN(13)
		w.At(at(), func() { w.CrashWorker(i, 2*time.Second) })
	}
	for range r.IntN(4) {
		i, d := r.IntN(13), time.Duration(r.Int64N(int64(8*time.Second)))
		w.At(at(), func() { w.PartitionWorker(i, d) })
	}
	w.At(faultPeriod+8*time.Second, func() {
		w.Faults = mfemulate.Faults{CrashAfter: faults.CrashAfter, CrashDown: faults.CrashDown, ReuseID: faults.ReuseID, MeanLastingTime: faults.MeanLastingTime}
	})
	w.Run(faultPeriod + 60*time.Second)
	return w
}
