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

// accountResults are the job counts of the account "hot" and, in sum, of all others.
type accountResults struct {
	others, hot mfemulate.AccountStats
}

// tooLateOrFailedFraction returns the fraction of the accepted jobs that failed or finished too
// late.
func (s accountResults) tooLateOrFailedFraction() float64 {
	return float64(s.others.TooLateOrFailed+s.hot.TooLateOrFailed) / float64(s.others.Accepted+s.hot.Accepted)
}

// onTimeFraction returns the fraction of the others' jobs that finished on time.
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
		f, stats := mfemulate.PlayAccounts(load, mfemulate.Options{Limits: limits(), Seed: seed + 1, Moves: true, Off: off})
		assert.Equal(t, f.Violations, 0)
		s.add(stats)
	}
	t.Logf("without %v: on time %.3f of the others' jobs, failed or too late %.3f of the accepted jobs; others %+v, hot %+v", off, s.onTimeFraction(), s.tooLateOrFailedFraction(), s.others, s.hot)
	return s
}

// add adds the counts of one play.
func (s *accountResults) add(stats map[mothferry.AccountID]mfemulate.AccountStats) {
	for _, id := range slices.Sorted(maps.Keys(stats)) {
		to, a := &s.others, stats[id]
		if id == "hot" {
			to = &s.hot
		}
		to.Jobs, to.OnTime, to.TooLateOrFailed = to.Jobs+a.Jobs, to.OnTime+a.OnTime, to.TooLateOrFailed+a.TooLateOrFailed
		to.Accepted, to.Refused = to.Accepted+a.Accepted, to.Refused+a.Refused
		to.Refusals, to.RefusedWithCapacity = to.Refusals+a.Refusals, to.RefusedWithCapacity+a.RefusedWithCapacity
	}
}

// While one account submits far more than its share, the other accounts' jobs must not be
// refused or late, and accepted jobs must not finish too late.
func TestBurstOfOneAccountLeavesOthersOnTime(t *testing.T) {
	t.Parallel()
	s := playHotAccount(t, func(*mfemulate.Load) {}, nil)
	assert.Assert(t, s.onTimeFraction() >= 0.7, "%.3f", s.onTimeFraction())
	assert.Assert(t, s.tooLateOrFailedFraction() <= 0.04, "%.3f", s.tooLateOrFailedFraction())
	without := playHotAccount(t, func(*mfemulate.Load) {}, mothferry.FeaturesOff{mothferry.FeatureShares: true})
	assert.Assert(t, without.tooLateOrFailedFraction() > 0.3, "the load does not show the failure")
}

// An account within its share must not be served worse because another account submits far
// more.
func TestAccountsWithinTheirSharesAreServed(t *testing.T) {
	t.Parallel()
	normal := func(load *mfemulate.Load) { load.Surge = mfemulate.LoadSurge{} }
	s := playHotAccount(t, normal, nil)
	assert.Assert(t, s.onTimeFraction() >= 0.9, "%.3f", s.onTimeFraction())
	without := playHotAccount(t, normal, mothferry.FeaturesOff{mothferry.FeatureShares: true})
	assert.Assert(t, without.onTimeFraction() < 0.9, "the load does not show the failure")
}

// playOverload plays two accounts of one pool whose load is twice its capacity and returns
// their job counts. during schedules further events.
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
	stats := w.AccountStats()
	t.Logf("%+v", stats)
	return stats
}

// checkServed asserts that the steady account was served and that few accepted jobs of the
// eager account finished too late.
func checkServed(t *testing.T, stats map[mothferry.AccountID]mfemulate.AccountStats, onTime, maxTooLateOrFailed float64) {
	t.Helper()
	steady, eager := stats["steady"], stats["eager"]
	assert.Assert(t, float64(steady.OnTime) >= onTime*float64(steady.Jobs), "%+v", steady)
	assert.Assert(t, float64(eager.TooLateOrFailed) <= maxTooLateOrFailed*float64(eager.Accepted), "%+v", eager)
}

// Under sustained overload, accepted jobs must not finish too late, and jobs must not be
// refused while workers are free.
func TestSustainedOverload(t *testing.T) {
	t.Parallel()
	stats := playOverload(t, 1, func(*mfemulate.World) {})
	checkServed(t, stats, 0.9, 0.15)
	refused, whileFree := stats["eager"].Refusals+stats["steady"].Refusals, stats["eager"].RefusedWithCapacity+stats["steady"].RefusedWithCapacity
	assert.Assert(t, refused > 50)
	assert.Assert(t, float64(whileFree) <= 0.05*float64(refused), "%d of %d", whileFree, refused)
}

// A new owner must not publish allocations before it has loaded all jobs, and must not take an
// account's backlog for empty.
func TestTakeoverWhileAccountIsOverItsShare(t *testing.T) {
	t.Parallel()
	checkServed(t, playOverload(t, 2, func(w *mfemulate.World) {
		w.At(7*time.Second, func() { w.KillOwner(1200 * time.Millisecond) })
	}), 0.8, 0.2)
}

// A host that cannot read the owner's head must not refuse jobs forever by an old allocation.
func TestHostWithStaleHeadAcceptsJobs(t *testing.T) {
	t.Parallel()
	stats := playOverload(t, 3, func(w *mfemulate.World) {
		w.At(6*time.Second, func() { w.PauseHeadReads(0, 20*time.Second) })
	})
	checkServed(t, stats, 0.8, 0.35)
}

// A host that has just restarted must count neither all of an account's jobs as its own nor
// none.
func TestHostRestartsWhileAccountIsOverItsShare(t *testing.T) {
	t.Parallel()
	checkServed(t, playOverload(t, 4, func(w *mfemulate.World) {
		for i := range 8 {
			w.At(time.Duration(6+i)*time.Second, func() { w.RestartHost(i) })
		}
	}), 0.9, 0.15)
}

// While hosts read the owner's head late, each must bound how many jobs it accepts by its own
// count.
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

// Fair shares must follow a change of the weights soon, no account may starve, and workers
// must not idle while work is queued.
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
			got, fairShare := sums[id]/total, a.Weight/weight
			t.Logf("seed %d: %s has %.2f, fair share %.2f; idle %.2f", seed, id, got, fairShare, idle/samples)
			assert.Assert(t, got > 0.75*fairShare && got < 1.35*fairShare, "%s has %.2f, fair share %.2f", id, got, fairShare)
		}
		assert.Assert(t, idle/samples < 0.15, "%.2f idle", idle/samples)
	}
}
