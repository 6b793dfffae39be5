package mfemulate_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mothferry"
	"mothferry/mfemulate"
	"mothferry/mfsched"
)

// drawAccounts draws limits of some accounts; a few have none.
func drawAccounts(r *rand.Rand) map[mothferry.AccountID]mfsched.Account {
	out := map[mothferry.AccountID]mfsched.Account{}
	for _, id := range []mothferry.AccountID{"x", "y", "z"} {
		a := mfsched.Account{Weight: 1 + 5*r.Float64()}
		if r.IntN(3) > 0 {
			a.Limit.Cores = mothferry.Millicores(2000 + r.IntN(20000))
		}
		if r.IntN(3) == 0 {
			a.Limit.Memory = mothferry.Bytes(2+r.IntN(12)) * mothferry.Gibibyte
		}
		out[id] = a
	}
	return out
}

func unlimitedAccounts() map[mothferry.AccountID]mfsched.Account {
	return map[mothferry.AccountID]mfsched.Account{"x": {Weight: 1}, "y": {Weight: 1}, "z": {Weight: 1}}
}

// Accounts had more running than they may: their limits were not read, and what a job's
// account had running was not counted. On the shifted work's day at 100 and 300 hosts 6
// and 37 starts were beyond a limit. Histories of faults, with accounts whose limits are
// raised and lowered far below what runs while owners change, orders are lost and carried
// out late: no start brings an account over its limit, and what is over is not ended for it.
func TestHistoriesWithAccounts(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		r := rand.New(rand.NewPCG(seed, 3))
		w := accountHistory(seed, r)
		assert.Equal(t, len(w.Violations), 0, "%v", w.Violations)
		assert.Equal(t, w.Unfinished(), 0, "jobs without an end")
	})
}

// accountHistory plays a history in which jobs belong to accounts.
func accountHistory(seed uint64, r *rand.Rand) *mfemulate.World {
	return newHistory(seed, historyOptions{accounts: true, jobs: defaultJobs, addFaults: func(*mfemulate.Faults) {}, prepare: func(w *mfemulate.World) {
		w.Accounts = drawAccounts(r)
		for range r.IntN(4) {
			at := time.Second + time.Duration(r.Int64N(int64(20*time.Second)))
			next := drawAccounts(r)
			w.At(at, func() { w.SetAccounts(next) })
		}
		// What the limits hold back has to come to an end once they are gone.
		w.At(28*time.Second, func() { w.SetAccounts(unlimitedAccounts()) })
	}})
}
