package mffleet

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"mothferry"
	"mothferry/mfforward"
)

// maxAnswerAge is how long ago the store must have answered for this host to take
// new connections. Each host reads who owns the shard every 225 to 375 ms and an
// owner commits as often, so that two answers are missing by then. A host that is cut
// off can accept nothing, and its callers wait for the balancer to leave it out: it
// takes two looks of a second for that.
const maxAnswerAge = 800 * time.Millisecond

const (
	// latencyAllowanceFactor times what the last answer took is added: a store that is slow for
	// all hosts is no reason to leave them out.
	latencyAllowanceFactor = 3
	// maxLatencyAllowance bounds that: one call that took long must not keep a host ready that is
	// cut off after it.
	maxLatencyAllowance = time.Second
)

// monitoredStore is the store, and notes when it last answered.
type monitoredStore struct {
	mothferry.RowStore
	clock mothferry.Clock
	// health is what calls show of whether the store serves this host.
	health *mfforward.Health
	// lastAnswer is when the store last answered, took how long that call took.
	lastAnswer  atomic.Pointer[time.Time]
	lastLatency atomic.Int64
}

// Commit implements mothferry.RowStore.
func (r *monitoredStore) Commit(ctx context.Context, txn mothferry.Txn) (mothferry.Version, error) {
	began := r.clock.Now()
	end := r.health.Begin(began)
	version, err := r.RowStore.Commit(ctx, txn)
	end(err, r.clock.Now())
	r.recordCall(began, err)
	return version, err
}

// Range implements mothferry.RowStore.
func (r *monitoredStore) Range(ctx context.Context, q mothferry.RowRange) (mothferry.RowPage, error) {
	began := r.clock.Now()
	end := r.health.Begin(began)
	page, err := r.RowStore.Range(ctx, q)
	end(err, r.clock.Now())
	r.recordCall(began, err)
	return page, err
}

// recordCall takes the end of a call in. Calls that wait for changes are not noted: what
// they took says nothing of the store.
func (r *monitoredStore) recordCall(began time.Time, err error) {
	var conflict *mothferry.ErrConflict
	if err != nil && !errors.As(err, &conflict) {
		return
	}
	now := r.clock.Now()
	r.lastLatency.Store(int64(now.Sub(began)))
	r.lastAnswer.Store(&now)
}

// answeredRecently reports whether the store answered lately.
func (r *monitoredStore) answeredRecently() bool {
	last := r.lastAnswer.Load()
	if last == nil {
		return false
	}
	slow := min(latencyAllowanceFactor*time.Duration(r.lastLatency.Load()), maxLatencyAllowance)
	return r.clock.Now().Sub(*last) < maxAnswerAge+slow
}
