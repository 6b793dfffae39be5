package mffleet

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mffake"
	"mothferry/mfforward"
	"mothferry/mfqueue"
	"mothferry/mfstandin"
)

// slowRows is a store with a latency that can become unreachable.
type slowRows struct {
	*mfstandin.Rows
	clock       *mffake.Clock
	latency     time.Duration
	unreachable bool
}

// Range implements mothferry.RowStore.
func (r *slowRows) Range(ctx context.Context, q mothferry.RowRange) (mothferry.RowPage, error) {
	r.clock.Advance(r.latency)
	if r.unreachable {
		return mothferry.RowPage{}, &mothferry.ErrUnavailable{Operation: "range", Err: context.DeadlineExceeded}
	}
	return r.Rows.Range(ctx, q)
}

// newPollingDaemon returns a daemon with a config, and a function that reads the store after the
// interval at which each host reads the shard's owner.
func newPollingDaemon(rows *slowRows) (d *Daemon, poll func()) {
	d = &Daemon{Clock: rows.clock, store: &monitoredStore{RowStore: rows, clock: rows.clock, health: &mfforward.Health{}}}
	d.config.Store(&mfqueue.Config{})
	return d, func() {
		rows.clock.Advance(300 * time.Millisecond)
		_, _ = d.store.Range(context.Background(), mothferry.RowRange{})
	}
}

func ready(d *Daemon) bool {
	w := httptest.NewRecorder()
	d.serveReady(w, httptest.NewRequest(http.MethodGet, "/ready", http.NoBody))
	return w.Code == http.StatusOK
}

// TestHostWithoutStoreBecomesUnready guards against hosts that refuse callers for three
// seconds after a partition while other hosts could serve them: the balancer removes a host
// only after two failed checks a second apart, so a host that stays ready for 1.8 s without
// an answer of the store is removed too late.
func TestHostWithoutStoreBecomesUnready(t *testing.T) {
	rows := &slowRows{Rows: &mfstandin.Rows{}, clock: mffake.NewClock(), latency: 4 * time.Millisecond}
	d, poll := newPollingDaemon(rows)
	assert.Assert(t, !ready(d))
	poll()
	assert.Assert(t, ready(d))
	rows.unreachable = true
	poll()
	poll()
	assert.Assert(t, ready(d), "one or two missing answers leave the host ready")
	rows.clock.Advance(300 * time.Millisecond)
	assert.Assert(t, !ready(d))
	rows.unreachable = false
	poll()
	assert.Assert(t, ready(d))
}

// TestHostWithSlowStoreIsReady checks that hosts stay ready if the store is slow for all of
// them: no other host would be faster.
func TestHostWithSlowStoreIsReady(t *testing.T) {
	rows := &slowRows{Rows: &mfstandin.Rows{}, clock: mffake.NewClock(), latency: 400 * time.Millisecond}
	d, poll := newPollingDaemon(rows)
	poll()
	rows.clock.Advance(300*time.Millisecond + 700*time.Millisecond)
	assert.Assert(t, ready(d))
}

// TestLatencyAllowanceIsBounded checks that a single slow answer does not keep a host ready
// for long that loses the store after it.
func TestLatencyAllowanceIsBounded(t *testing.T) {
	rows := &slowRows{Rows: &mfstandin.Rows{}, clock: mffake.NewClock(), latency: 1500 * time.Millisecond}
	d, poll := newPollingDaemon(rows)
	poll()
	rows.clock.Advance(maxAnswerAge + maxLatencyAllowance)
	assert.Assert(t, !ready(d))
}

// Guards against a host that counts as turned away, and lets peers call the store for it, because the
// store rejected a transaction: a rejection is an answer.
func TestRejectionIsAnAnswer(t *testing.T) {
	rows := &slowRows{Rows: &mfstandin.Rows{}, clock: mffake.NewClock()}
	d, _ := newPollingDaemon(rows)
	for range 20 {
		rows.clock.Advance(300 * time.Millisecond)
		_, err := d.store.Commit(context.Background(), mothferry.Txn{Writes: []mothferry.Write{{Value: make([]byte, 70_000)}}})
		assert.ErrorType(t, err, &mothferry.ErrRejected{})
	}
	assert.Assert(t, ready(d))
	assert.Assert(t, d.store.health.Serving(rows.clock.Now()))
}
