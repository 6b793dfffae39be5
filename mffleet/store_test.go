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

// slowRows is a store whose calls take a while, or that can't be reached.
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

// newPollingDaemon is a daemon with a config whose store is read as often as each host
// reads who owns the shard.
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

// Symptom: for three seconds after a data centre was cut off its callers were told
// to come back a second later, again and again, while other hosts would have served
// them; their jobs were late.
// Events: hosts lose the store; the balancer asks each once a second and leaves out
// one that was not ready twice.
// Cause: a host was ready until the store had not answered for 1.8 s.
func TestHostWithoutStoreBecomesUnready(t *testing.T) {
	rows := &slowRows{Rows: &mfstandin.Rows{}, clock: mffake.NewClock(), latency: 4 * time.Millisecond}
	d, poll := newPollingDaemon(rows)
	assert.Assert(t, !ready(d))
	poll()
	assert.Assert(t, ready(d))
	rows.unreachable = true
	poll()
	poll()
	assert.Assert(t, ready(d), "one or two answers missing are no reason")
	rows.clock.Advance(300 * time.Millisecond)
	assert.Assert(t, !ready(d))
	rows.unreachable = false
	poll()
	assert.Assert(t, ready(d))
}

// A store that is slow for all hosts leaves them ready: there is none that would be
// faster.
func TestHostWithSlowStoreIsReady(t *testing.T) {
	rows := &slowRows{Rows: &mfstandin.Rows{}, clock: mffake.NewClock(), latency: 400 * time.Millisecond}
	d, poll := newPollingDaemon(rows)
	poll()
	rows.clock.Advance(300*time.Millisecond + 700*time.Millisecond)
	assert.Assert(t, ready(d))
}

// A single slow answer keeps no host ready for long that is cut off after it.
func TestLatencyAllowanceIsBounded(t *testing.T) {
	rows := &slowRows{Rows: &mfstandin.Rows{}, clock: mffake.NewClock(), latency: 1500 * time.Millisecond}
	d, poll := newPollingDaemon(rows)
	poll()
	rows.clock.Advance(maxAnswerAge + maxLatencyAllowance)
	assert.Assert(t, !ready(d))
}
