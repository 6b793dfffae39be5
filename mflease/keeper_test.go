package mflease

import (
	"context"
	"crypto/rand"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mothferry"
	"mothferry/mffake"
	"mothferry/mflog"
)

const lease = 2 * time.Second

// keepers returns the keepers of daemons that share a table and a clock. Tests run their
// rounds one at a time.
func keepers(n int) ([]*Keeper, *mffake.Table, *mffake.Clock) {
	clock := mffake.NewClock()
	table := mffake.NewTable(clock)
	var names []mothferry.DaemonID
	for i := range n {
		names = append(names, mothferry.DaemonID(fmt.Sprint("entry-", i)))
	}
	var all []*Keeper
	for _, name := range names {
		all = append(all, &Keeper{
			Self: name, DataCentre: "dc1", Table: table, Clock: clock, Lease: lease,
			Live:     func() []mothferry.DaemonID { return names },
			Wanted:   func() []mothferry.PoolID { return []mothferry.PoolID{"p", "q"} },
			NewToken: func() mothferry.Token { return mothferry.Token(rand.Text()) }, Log: mflog.Discard(),
			watches: map[mothferry.DaemonID]rowWatch{},
		})
	}
	return all, table, clock
}

// TestOneHolderAtATime runs rounds of daemons in any order, with pauses of any length, lost
// calls and lost replies. At no time may two daemons hold the same shard, a shard's epoch must
// not decrease, and a write prepared before a takeover must not take effect after it.
func TestOneHolderAtATime(t *testing.T) {
	mffake.Check(t, func(t *rapid.T) {
		all, table, clock := keepers(3)
		epochs := map[mothferry.PoolID]mothferry.Epoch{}
		var prepared []Holding
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			k := all[rapid.IntRange(0, len(all)-1).Draw(t, "daemon")]
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1, 2:
				_ = k.round(t.Context())
			case 3:
				clock.Advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			case 4:
				table.LoseReplies(rapid.IntRange(0, 2).Draw(t, "replies"))
			case 5:
				table.LoseCalls(rapid.IntRange(0, 2).Draw(t, "calls"))
			case 6:
				prepared = append(prepared, k.Holdings()...)
			}
			holders := map[mothferry.PoolID]mothferry.DaemonID{}
			for _, o := range all {
				for _, h := range o.Holdings() {
					pool := h.Fence.Shard.Pool
					assert.Assert(t, holders[pool] == "", "%s and %s both hold %s", holders[pool], o.Self, pool)
					holders[pool] = o.Self
					assert.Assert(t, h.Fence.Epoch >= epochs[pool], "epoch of %s decreased", pool)
					epochs[pool] = h.Fence.Epoch
				}
			}
		}
		table.LoseCalls(0)
		table.LoseReplies(0)
		for _, h := range prepared {
			_, err := table.Commit(t.Context(), mothferry.Txn{Checks: []mothferry.Check{h.Check}, Writes: []mothferry.Write{{Key: "x"}}})
			if h.Fence.Epoch < epochs[h.Fence.Shard.Pool] {
				assert.Assert(t, err != nil, "a write of epoch %d took effect in epoch %d", h.Fence.Epoch, epochs[h.Fence.Shard.Pool])
			}
		}
	})
}

// runUntilHeld runs rounds until pool p has a holder and returns its keeper.
func runUntilHeld(t *testing.T, all []*Keeper, clock *mffake.Clock) *Keeper {
	t.Helper()
	for range 100 {
		for _, k := range all {
			assert.NilError(t, k.round(t.Context()))
		}
		for _, k := range all {
			if len(k.Holdings()) > 0 && k.Holdings()[0].Fence.Shard.Pool == "p" {
				return k
			}
		}
		clock.Advance(lease / 6)
	}
	t.Fatal("the shard has no holder")
	return nil
}

// TestTakeover checks that a holder that dies loses its shards once its lease has expired and
// not before, and one that resigns loses them at once.
func TestTakeover(t *testing.T) {
	all, _, clock := keepers(3)
	failed := runUntilHeld(t, all, clock)
	var remaining []*Keeper
	for _, k := range all {
		if k != failed {
			remaining = append(remaining, k)
		}
	}
	startedAt := clock.Now()
	next := runUntilHeld(t, remaining, clock)
	took := clock.Now().Sub(startedAt)
	t.Logf("taken over after %s with a lease of %s", took, lease)
	assert.Assert(t, took >= lease-lease/renewDivisor && took <= lease+lease/2)
	assert.Assert(t, len(failed.Holdings()) == 0)
	next.resign()
	startedAt = clock.Now()
	runUntilHeld(t, remaining, clock)
	assert.Equal(t, clock.Now().Sub(startedAt), time.Duration(0))
}

// TestRenewalRacesTakeover guards against two daemons that act for one shard: a holder's renewal
// is in flight while another daemon, which has seen its row unchanged for the whole lease, takes
// over the shard. The renewal would succeed if the takeover did not change the holder's row.
func TestRenewalRacesTakeover(t *testing.T) {
	all, _, clock := keepers(2)
	holder := runUntilHeld(t, all, clock)
	other := all[0]
	if other == holder {
		other = all[1]
	}
	assert.NilError(t, other.round(t.Context()))
	clock.Advance(lease / 2)
	holder.Table = &delayedTable{Table: holder.Table, beforeCommit: func() {
		clock.Advance(lease / 2)
		assert.NilError(t, other.round(t.Context()))
	}}
	assert.NilError(t, holder.renew(t.Context()))
	assert.Equal(t, len(other.Holdings()), 2)
	assert.Equal(t, len(holder.Holdings()), 0)
}

// delayedTable is a table that calls beforeCommit before each commit.
type delayedTable struct {
	mothferry.Table
	beforeCommit func()
}

func (t *delayedTable) Commit(ctx context.Context, txn mothferry.Txn) (mothferry.Version, error) {
	t.beforeCommit()
	return t.Table.Commit(ctx, txn)
}
