package mfowner

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"

	"github.com/apex/log"
	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfrecord"
	"mothferry/mfstandin"
)

// hangingRows is a store that never returns the progress of jobs, and that executes the second
// write of the head row without returning its result.
type hangingRows struct {
	*mfstandin.Rows

	headWrites atomic.Int64
	hung       chan struct{}
}

// Range implements mothferry.RowStore.
func (r *hangingRows) Range(ctx context.Context, q mothferry.RowRange) (mothferry.RowPage, error) {
	if q.Table == mfrecord.TableProgress {
		<-ctx.Done()
	}
	return r.Rows.Range(ctx, q)
}

// Commit implements mothferry.RowStore.
func (r *hangingRows) Commit(ctx context.Context, txn mothferry.Txn) (mothferry.Version, error) {
	version, err := r.Rows.Commit(ctx, txn)
	writesHead := slices.ContainsFunc(txn.Writes, func(w mothferry.Write) bool { return w.Key == mfrecord.KeyHead })
	if writesHead && r.headWrites.Add(1) == 2 {
		close(r.hung)
		<-ctx.Done()
		return 0, &mothferry.ErrUnavailable{Operation: "commit", Err: ctx.Err()}
	}
	return version, err
}

// Guards against an owner that shuts down while it reads its shard and leaves the others to
// wait for its lease.
func TestShardIsReleasedDuringLoad(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	store := &hangingRows{Rows: &mfstandin.Rows{}, hung: make(chan struct{})}
	o, lines := newTestOwner("h-1", store)
	ended := make(chan error)
	go func() { ended <- o.Run(ctx) }()
	<-store.hung
	cancel()
	assert.ErrorIs(t, <-ended, context.Canceled)
	assert.Assert(t, slices.ContainsFunc(lines.Entries, func(e *log.Entry) bool { return e.Message == "shard is given up" }))
}
