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

// drawAccounts draws accounts with random limits; some have none.
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

// Tasks must not start beyond their account's limit. That happens if limits are ignored or the
// account's running tasks are not counted: on a load of 300 hosts 37 starts exceeded a limit.
// Limits are raised, and lowered far below current use, while owners change and orders are
// lost or executed late. A lowered limit ends no running task.
func TestHistoriesWithAccounts(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		r := rand.New(rand.NewPCG(seed, 3))
		w := accountHistory(seed, r)
		assert.Equal(t, len(w.Violations), 0, "%v", w.Violations)
		assert.Equal(t, w.Unfinished(), 0, "unfinished jobs")
	})
}

// accountHistory runs a fault history whose jobs belong to accounts.
func accountHistory(seed uint64, r *rand.Rand) *mfemulate.World {
	return newHistory(seed, historyOptions{accounts: true, jobs: defaultJobs, addFaults: func(*mfemulate.Faults) {}, prepare: func(w *mfemulate.World) {
		w.Accounts = drawAccounts(r)
		for range r.IntN(4) {
			at := time.Second + time.Duration(r.Int64N(int64(20*time.Second)))
			next := drawAccounts(r)
			w.At(at, func() { w.SetAccounts(next) })
		}
		// Jobs delayed by the limits have to finish once the limits are removed.
		w.At(28*time.Second, func() { w.SetAccounts(unlimitedAccounts()) })
	}})
}
