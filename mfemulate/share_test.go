package mfemulate_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfemulate"
	"mothferry/mfjob"
	"mothferry/mfsched"
)

// One of two accounts that share a pool sends six times its rate for ten seconds, so that
// demand is more than twice the capacity. Served in one order regardless of the account, half
// of the other account's jobs are late. Nine tenths of the jobs within their account's rate
// must be on time.
func TestAccountOverItsRateDelaysOnlyItself(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		w := &mfemulate.World{
			Limits: limits(), Random: rand.New(rand.NewPCG(seed+1, 9)), Queues: queues(),
			Accounts: map[mothferry.AccountID]mfsched.Account{"steady": {Weight: 9}, "eager": {Weight: 6}},
		}
		w.Begin()
		w.AddMachines("a", 6, mothferry.Resources{Cores: 16000, Memory: 64 * mothferry.Gibibyte})
		send := func(account mothferry.AccountID, perSecond float64) {
			for at := 3 * time.Second; at < 13*time.Second; {
				at += time.Duration(w.Random.ExpFloat64() / perSecond * float64(time.Second))
				w.At(at, func() {
					w.Submit(mfjob.Submission{Queue: "qa", Service: "a", Spec: "spec", Account: account, Steps: []mfjob.Step{{
						Count: 6, Need: mothferry.Resources{Cores: 1500, Memory: mothferry.Gibibyte}, Estimate: 600 * time.Millisecond,
					}}})
				})
			}
		}
		send("steady", 7)
		send("eager", 36)
		w.Run(40 * time.Second)
		steady, eager := w.OnTimeFraction("steady"), w.OnTimeFraction("eager")
		t.Logf("seed %d: on time %.2f of the steady account's jobs, %.2f of the eager one's", seed+1, steady, eager)
		assert.Equal(t, len(w.Violations), 0)
		assert.Assert(t, steady >= 0.9)
		assert.Equal(t, w.Unfinished(), 0, "jobs over the rate have to run too")
	}
}
