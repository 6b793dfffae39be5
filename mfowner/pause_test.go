package mfowner

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfrecord"
	"mothferry/mfstandin"
)

// lateClock is a manual clock whose timers fire late by lateness.
type lateClock struct {
	now      time.Time
	lateness time.Duration
}

func (c *lateClock) Now() time.Time { return c.now }

func (c *lateClock) After(d time.Duration) <-chan time.Time {
	c.now = c.now.Add(d + c.lateness)
	fired := make(chan time.Time, 1)
	fired <- c.now
	return fired
}

// rewrittenRows is a store whose owner rewrites the head row after every second read.
type rewrittenRows struct {
	*mfstandin.Rows

	clock  *lateClock
	reads  int
	owner  *committer
	cancel context.CancelFunc
}

// Range implements mothferry.RowStore.
func (r *rewrittenRows) Range(ctx context.Context, q mothferry.RowRange) (mothferry.RowPage, error) {
	r.clock.now = r.clock.now.Add(3 * time.Millisecond)
	page, err := r.Rows.Range(ctx, q)
	r.reads++
	if r.reads%2 == 0 {
		if err := r.owner.write(ctx, r.owner.head, nil); err != nil {
			return page, err
		}
	}
	if r.reads == 100 {
		r.cancel()
	}
	return page, err
}

// Guards against a claim on a live owner's shard after both hosts were paused together.
func TestPausedHostDoesNotClaimShard(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	clock := &lateClock{now: testStart, lateness: 500 * time.Millisecond}
	store := &rewrittenRows{Rows: &mfstandin.Rows{}, clock: clock, cancel: cancel}
	store.owner = &committer{store: store.Rows, clock: clock}
	assert.NilError(t, store.owner.write(ctx, mfrecord.Head{Holder: "h-1", Epoch: 1, Cores: 800}, nil))
	o, lines := newTestOwner("h-2", store)
	o.Clock = clock
	assert.ErrorIs(t, o.Run(ctx), context.Canceled)
	for _, e := range lines.Entries {
		assert.Assert(t, e.Message != "shard is taken over" && e.Message != "shard was not taken over", "%v", e.Fields)
	}
}
