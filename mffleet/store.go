package mffleet

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"mothferry"
	"mothferry/mfforward"
)

// maxAnswerAge is the time since the store's last answer up to which this host reports ready.
// Each host reads the shard's owner every 225 to 375 ms and an owner commits as often, so
// two answers are missing by then. A host without the store can accept no jobs, and its
// callers wait until the balancer removes it, which takes two health checks a second apart.
const maxAnswerAge = 800 * time.Millisecond

const (
	// latencyAllowanceFactor times the latency of the last answer is added to maxAnswerAge: a
	// store that is slow for all hosts is no reason to remove them from the balancer.
	latencyAllowanceFactor = 3
	// maxLatencyAllowance bounds that addition: a single slow answer must not keep a host ready
	// that loses the store after it.
	maxLatencyAllowance = time.Second
)

// monitoredStore wraps the store and records when it last answered.
type monitoredStore struct {
	mothferry.RowStore
	clock mothferry.Clock
	// health tracks whether the store serves this host.
	health *mfforward.Health
	// lastAnswer is when the store last answered, lastLatency how long that call took.
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

// recordCall records the result of a call. Calls that wait for changes are not recorded, since
// their duration says nothing about the store's latency.
func (r *monitoredStore) recordCall(began time.Time, err error) {
	var conflict *mothferry.ErrConflict
	var rejected *mothferry.ErrRejected
	if err != nil && !errors.As(err, &conflict) && !errors.As(err, &rejected) {
		return
	}
	now := r.clock.Now()
	r.lastLatency.Store(int64(now.Sub(began)))
	r.lastAnswer.Store(&now)
}

// answeredRecently reports whether the store's last answer is recent enough.
func (r *monitoredStore) answeredRecently() bool {
	last := r.lastAnswer.Load()
	if last == nil {
		return false
	}
	allowance := min(latencyAllowanceFactor*time.Duration(r.lastLatency.Load()), maxLatencyAllowance)
	return r.clock.Now().Sub(*last) < maxAnswerAge+allowance
}
