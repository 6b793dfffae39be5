package mfemulate_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfemulate"
	"mothferry/mfexample"
	"mothferry/mfjob"
	"mothferry/mfsched"
)

// accountResults is what callers of several accounts asked for and got.
type accountResults struct {
	others, hot mfemulate.AccountStats
}

// uselessFraction is the part of the accepted jobs that were of no use.
func (s accountResults) uselessFraction() float64 {
	return float64(s.others.TooLateOrFailed+s.hot.TooLateOrFailed) / float64(s.others.Accepted+s.hot.Accepted)
}

// onTimeFraction is the part of the others' jobs that were in time.
func (s accountResults) onTimeFraction() float64 {
	return float64(s.others.OnTime) / float64(s.others.Jobs)
}

// playHotAccount plays the load in which one account sends far more than its share.
func playHotAccount(t *testing.T, change func(load *mfemulate.Load), off mothferry.FeaturesOff) accountResults {
	t.Helper()
	load, err := mfemulate.DecodeLoad("accounts.yaml", mfexample.Accounts)
	assert.NilError(t, err)
	change(&load)
	var s accountResults
	for seed := range uint64(2) {
		f, asked := mfemulate.PlayAccounts(load, mfemulate.Options{Limits: limits(), Seed: seed + 1, Moves: true, Off: off})
		assert.Equal(t, f.Violations, 0)
		s.add(asked)
	}
	t.Logf("without %v: in time %.3f of the others' jobs, of no use %.3f of what was accepted; others %+v, hot %+v", off, s.onTimeFraction(), s.uselessFraction(), s.others, s.hot)
	return s
}

// add adds what was asked in one play.
func (s *accountResults) add(asked map[mothferry.AccountID]mfemulate.AccountStats) {
	for _, id := range slices.Sorted(maps.Keys(asked)) {
		to, a := &s.others, asked[id]
		if id == "hot" {
			to = &s.hot
		}
		to.Jobs, to.OnTime, to.TooLateOrFailed = to.Jobs+a.Jobs, to.OnTime+a.OnTime, to.TooLateOrFailed+a.TooLateOrFailed
		to.Accepted, to.Refused = to.Accepted+a.Accepted, to.Refused+a.Refused
		to.Refusals, to.RefusedWithCapacity = to.Refusals+a.Refusals, to.RefusedWithCapacity+a.RefusedWithCapacity
	}
}

// Guarded against: beside an account far beyond its share others are refused or late, and what is taken in is of no use.
func TestBurstOfOneAccountLeavesOthersOnTime(t *testing.T) {
	t.Parallel()
	s := playHotAccount(t, func(*mfemulate.Load) {}, nil)
	assert.Assert(t, s.onTimeFraction() >= 0.7, "%.3f", s.onTimeFraction())
	assert.Assert(t, s.uselessFraction() <= 0.04, "%.3f", s.uselessFraction())
	without := playHotAccount(t, func(*mfemulate.Load) {}, mothferry.FeaturesOff{mothferry.FeatureShares: true})
	assert.Assert(t, without.uselessFraction() > 0.3, "the load does not show the failure")
}

// Guarded against: an account that keeps to its usual is served worse because another sends far more.
func TestAccountsWithinTheirSharesAreServed(t *testing.T) {
	t.Parallel()
	usual := func(load *mfemulate.Load) { load.Surge = mfemulate.LoadSurge{} }
	s := playHotAccount(t, usual, nil)
	assert.Assert(t, s.onTimeFraction() >= 0.9, "%.3f", s.onTimeFraction())
	without := playHotAccount(t, usual, mothferry.FeaturesOff{mothferry.FeatureShares: true})
	assert.Assert(t, without.onTimeFraction() < 0.9, "the load does not show the failure")
}

// playOverload plays two accounts of one pool that is asked for twice what it can do, with a
// change of the world meanwhile, and returns what came of it.
func playOverload(t *testing.T, seed uint64, during func(w *mfemulate.World)) map[mothferry.AccountID]mfemulate.AccountStats {
	t.Helper()
	w := &mfemulate.World{
		Limits: limits(), Random: rand.New(rand.NewPCG(seed, 9)), Queues: queues(),
		Accounts: map[mothferry.AccountID]mfsched.Account{"steady": {Weight: 9}, "eager": {Weight: 6}},
	}
	w.Begin()
	w.AddHosts(8)
	w.AddMachines("a", 6, mothferry.Resources{Cores: 16000, Memory: 64 * mothferry.Gibibyte})
	send := func(account mothferry.AccountID, perSecond float64, from, to time.Duration) {
		for at := from; at < to; {
			at += time.Duration(w.Random.ExpFloat64() / perSecond * float64(time.Second))
			w.At(at, func() {
				w.SubmitAtHost(mfjob.Submission{Queue: "qa", Service: "a", Spec: "spec", Account: account, Steps: []mfjob.Step{{
					Count: 6, Need: mothferry.Resources{Cores: 1500, Memory: mothferry.Gibibyte}, Estimate: 600 * time.Millisecond,
				}}}, 2)
			})
		}
	}
	send("steady", 7, time.Second, 15*time.Second)
	send("eager", 6, time.Second, 3*time.Second)
	send("eager", 36, 3*time.Second, 15*time.Second)
	during(w)
	w.Run(80 * time.Second)
	assert.Equal(t, len(w.Violations), 0, "%v", w.Violations)
	assert.Equal(t, w.Unfinished(), 0)
	asked := w.AccountStats()
	t.Logf("%+v", asked)
	return asked
}

// checkServed asserts that the steady account was served and the eager one's line stayed short.
func checkServed(t *testing.T, asked map[mothferry.AccountID]mfemulate.AccountStats, inTime, useless float64) {
	t.Helper()
	steady, eager := asked["steady"], asked["eager"]
	assert.Assert(t, float64(steady.OnTime) >= inTime*float64(steady.Jobs), "%+v", steady)
	assert.Assert(t, float64(eager.TooLateOrFailed) <= useless*float64(eager.Accepted), "%+v", eager)
}

// Guarded against: under lasting pressure what is taken in is of no use, or callers are refused beside free workers.
func TestSustainedOverload(t *testing.T) {
	t.Parallel()
	asked := playOverload(t, 1, func(*mfemulate.World) {})
	checkServed(t, asked, 0.9, 0.15)
	refused, beside := asked["eager"].Refusals+asked["steady"].Refusals, asked["eager"].RefusedWithCapacity+asked["steady"].RefusedWithCapacity
	assert.Assert(t, refused > 50)
	assert.Assert(t, float64(beside) <= 0.05*float64(refused), "%d of %d", beside, refused)
}

// Guarded against: a new owner tells shares before it has read all jobs, or takes an account's line for empty.
func TestTakeoverWhileAccountIsOverItsShare(t *testing.T) {
	t.Parallel()
	checkServed(t, playOverload(t, 2, func(w *mfemulate.World) {
		w.At(7*time.Second, func() { w.KillOwner(1200 * time.Millisecond) })
	}), 0.8, 0.2)
}

// Guarded against: a host that hears nothing of the owner refuses by an old word for good.
func TestHostWithStaleHeadAcceptsJobs(t *testing.T) {
	t.Parallel()
	asked := playOverload(t, 3, func(w *mfemulate.World) {
		w.At(6*time.Second, func() { w.PauseHeadReads(0, 20*time.Second) })
	})
	checkServed(t, asked, 0.8, 0.35)
}

// Guarded against: a host that has just started counts for all of an account's work, or for none.
func TestHostRestartsWhileAccountIsOverItsShare(t *testing.T) {
	t.Parallel()
	checkServed(t, playOverload(t, 4, func(w *mfemulate.World) {
		for i := range 8 {
			w.At(time.Duration(6+i)*time.Second, func() { w.RestartHost(i) })
		}
	}), 0.9, 0.15)
}

// Guarded against: while words come late, each host takes in without bound what it counts itself.
func TestHeadsReadLate(t *testing.T) {
	t.Parallel()
	checkServed(t, playOverload(t, 5, func(w *mfemulate.World) {
		for at := 5 * time.Second; at < 15*time.Second; at += 900 * time.Millisecond {
			for i := range 8 {
				w.At(at, func() { w.PauseHeadReads(i, 700*time.Millisecond) })
			}
		}
	}), 0.85, 0.15)
}

// Guarded against: shares follow a change of the weights late or not at all, an account starves, or workers idle beside work.
func TestSharesConverge(t *testing.T) {
	t.Parallel()
	for seed := range uint64(5) {
		r := rand.New(rand.NewPCG(seed, 11))
		weights := func() map[mothferry.AccountID]mfsched.Account {
			return map[mothferry.AccountID]mfsched.Account{"x": {Weight: 1 + 4*r.Float64()}, "y": {Weight: 1 + 4*r.Float64()}, "z": {Weight: 1 + 4*r.Float64()}}
		}
		w := &mfemulate.World{Limits: limits(), Random: rand.New(rand.NewPCG(seed, 9)), Queues: queues(), Accounts: weights()}
		w.Begin()
		w.AddHosts(8)
		const cores = 96000
		w.AddMachines("a", 6, mothferry.Resources{Cores: 16000, Memory: 64 * mothferry.Gibibyte})
		for at := 2 * time.Second; at < 20*time.Second; at += 25 * time.Millisecond {
			for _, id := range []mothferry.AccountID{"x", "y", "z"} {
				w.At(at, func() {
					w.SubmitAtHost(mfjob.Submission{Queue: "qa", Service: "a", Spec: "spec", Account: id, Steps: []mfjob.Step{{
						Count: 4, Need: mothferry.Resources{Cores: 1000, Memory: mothferry.Gibibyte}, Estimate: 500 * time.Millisecond,
					}}}, 0)
				})
			}
		}
		w.At(10*time.Second, func() { w.SetAccounts(weights()) })
		sums, idle, samples := map[mothferry.AccountID]float64{}, 0.0, 0.0
		for at := 14 * time.Second; at < 20*time.Second; at += 50 * time.Millisecond {
			w.At(at, func() {
				samples++
				idle += float64(w.IdleCores("a")) / cores
				for id := range w.Accounts {
					sums[id] += float64(w.RunningCores(id))
				}
			})
		}
		w.Run(60 * time.Second)
		assert.Equal(t, len(w.Violations), 0, "%v", w.Violations)
		assert.Equal(t, w.Unfinished(), 0)
		total, weight := sums["x"]+sums["y"]+sums["z"], 0.0
		for _, a := range w.Accounts {
			weight += a.Weight
		}
		for id, a := range w.Accounts {
			got, due := sums[id]/total, a.Weight/weight
			t.Logf("seed %d: %s has %.2f, due %.2f; idle %.2f", seed, id, got, due, idle/samples)
			assert.Assert(t, got > 0.75*due && got < 1.35*due, "%s has %.2f, due %.2f", id, got, due)
		}
		assert.Assert(t, idle/samples < 0.15, "%.2f idle", idle/samples)
	}
}
