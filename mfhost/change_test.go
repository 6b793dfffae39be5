package mfhost_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mothferry"
	"mothferry/mfclock"
	"mothferry/mffake"
	"mothferry/mfhost"
)

// TestOnePool lets operators and holders move, drain and release a host in any
// order, with lost calls and replies and with holders whose view is stale. The pool
// of the host changes only in a release, and only to the requested pool.
func TestOnePool(t *testing.T) {
	pools := []mothferry.PoolID{"a", "b", "c"}
	mffake.Check(t, func(t *rapid.T) {
		table := mffake.NewTable(mfclock.System{})
		first := mfhost.Record{Host: "h", DataCentre: "dc", Pool: "a", State: mfhost.StateServing}
		txn, err := first.Txn(0)
		assert.NilError(t, err)
		_, err = table.Commit(t.Context(), txn)
		assert.NilError(t, err)
		changer := &mfhost.Changer{Table: table}
		read := func() (mfhost.Record, mothferry.Version) {
			rows, err := table.Read(t.Context(), mothferry.Query{Keys: []mothferry.Key{first.Key()}})
			assert.NilError(t, err)
			r, err := mfhost.Decode(rows[0].Value)
			assert.NilError(t, err)
			return r, rows[0].Version
		}
		type view struct {
			record  mfhost.Record
			version mothferry.Version
		}
		views := map[mothferry.PoolID]view{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			before, version := read()
			pool := rapid.SampledFrom(pools).Draw(t, "pool")
			released := false
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				_, err := changer.Move(t.Context(), "dc", "h", pool, "op")
				var moving *mfhost.ErrMoving
				if errors.As(err, &moving) {
					assert.Assert(t, before.MoveTo != "" && before.MoveTo != pool)
				}
			case 1:
				_, _ = changer.Drain(t.Context(), "dc", "h", rapid.Bool().Draw(t, "undo"), "op")
			case 2:
				views[pool] = view{before, version}
			case 3:
				v, ok := views[pool]
				if ok && v.record.Pool == pool && v.record.MoveTo != "" {
					txn, err := v.record.Released().Txn(v.version)
					assert.NilError(t, err)
					_, err = table.Commit(t.Context(), txn)
					released = err == nil || v.version == version
				}
			case 4:
				table.LoseReplies(rapid.IntRange(0, 2).Draw(t, "replies"))
				table.LoseCalls(rapid.IntRange(0, 2).Draw(t, "calls"))
			}
			after, _ := read()
			if after.Pool != before.Pool {
				assert.Assert(t, released && after.Pool == before.MoveTo, "moved from %v to %v", before, after)
			}
		}
	})
}
