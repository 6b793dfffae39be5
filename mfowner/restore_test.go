package mfowner

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfclock"
	"mothferry/mfjob"
	"mothferry/mfqueue"
	"mothferry/mfrecord"
	"mothferry/mfsched"
	"mothferry/mfstandin"
)

// slowLinkRows is a store behind a link on which each row takes a while; a call that takes
// longer than its time-out has no answer.
type slowLinkRows struct {
	*mfstandin.Rows
	// perRow is how long each row takes.
	perRow time.Duration
}

// slowLinkTimeout is that of a call to the store.
const slowLinkTimeout = 900 * time.Millisecond

// Range implements mothferry.RowStore.
func (n slowLinkRows) Range(ctx context.Context, q mothferry.RowRange) (mothferry.RowPage, error) {
	page, err := n.Rows.Range(ctx, q)
	takes := time.Duration(len(page.Rows)) * n.perRow
	if takes > slowLinkTimeout {
		time.Sleep(slowLinkTimeout)
		return mothferry.RowPage{}, &mothferry.ErrUnavailable{Operation: "range", Err: context.DeadlineExceeded}
	}
	time.Sleep(takes)
	return page, err
}

// newTestOwner returns an owner and the lines of its log.
func newTestOwner(id mothferry.DaemonID, store mothferry.RowStore) (*Owner, *memory.Handler) {
	lines := memory.New()
	config := &mfqueue.Config{Version: 1, Services: []mfqueue.Service{{ID: "s"}}}
	return &Owner{
		Daemon: id, Store: store, Workers: &loadWorkers{workers: map[mothferry.WorkerID]*loadWorker{}}, Listing: loadListing(0), Machines: loadMachines(0),
		Waves: func() []mfsched.Wave { return nil }, Config: func() *mfqueue.Config { return config },
		Limits: mfsched.DefaultLimits(), Cores: 800, Clock: mfclock.System{}, Random: mfclock.SystemRandom{},
		Log: log.NewEntry(&log.Logger{Handler: lines, Level: log.InfoLevel}),
	}, lines
}

// After all hosts had lost power nothing ran any more, for good. Each host that took the
// shard over read what was stored of it, 500 rows at a time, which took longer than a call may
// on its link; and as it stored nothing meanwhile, the next host took the shard from it after
// 0.8 s and began anew. The log had "shard is taken over" 24 times in 21 s, by other hosts each
// time, "the shard can't be read, trying again" 25 times, and "progress is read" never.
func TestShardIsReadOverSlowLink(t *testing.T) {
	// A page of 500 rows takes longer than a call may.
	readOverSlowLink(t, 3*time.Millisecond)
}

// The same where each page comes in time: reading them all takes longer than the others
// wait for an owner that stores nothing.
func TestShardIsKeptDuringLoad(t *testing.T) {
	readOverSlowLink(t, 1500*time.Microsecond)
}

// readOverSlowLink has three hosts take over a shard with 1,200 jobs, on links on which
// each row takes a while. One of them must read it and keep it.
func readOverSlowLink(t *testing.T, row time.Duration) {
	t.Helper()
	rows := &mfstandin.Rows{}
	var stored []mothferry.Write
	for i := range 1200 {
		stored = append(stored, mothferry.Write{
			Table: mfrecord.TableProgress, Part: mfrecord.PartShard, Key: mothferry.Key(fmt.Sprintf("%016x", i)),
			Value: mfjob.EncodeProgress(mfjob.Progress{State: mfjob.StateCompleted}),
		})
	}
	_, err := rows.Commit(context.Background(), mothferry.Txn{Writes: stored})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var hosts sync.WaitGroup
	var logs []*memory.Handler
	for _, id := range []mothferry.DaemonID{"h-1", "h-2", "h-3"} {
		o, lines := newTestOwner(id, slowLinkRows{Rows: rows, perRow: row})
		logs = append(logs, lines)
		hosts.Go(func() { _ = o.Run(ctx) })
	}
	time.Sleep(10 * time.Second)
	cancel()
	hosts.Wait()
	told := map[string]int{}
	for _, lines := range logs {
		for _, e := range lines.Entries {
			told[e.Message]++
		}
	}
	assert.Equal(t, told["progress is read"], 1, "%v", told)
	assert.Equal(t, told["shard is taken over"], 1, "%v", told)
}

// Reads ask for no more than a quarter of a second's worth of a link, so that the head can be
// rewritten beside them, and a wide link has all of the log in one read.
func TestPageRowsFitLink(t *testing.T) {
	assert.Equal(t, pageRows(0, logRowBytes), 0)
	assert.Equal(t, pageRows(2*mothferry.MegabitPerSecond, logRowBytes), 1)
	assert.Equal(t, pageRows(2*mothferry.MegabitPerSecond, jobRowBytes), 122)
	assert.Assert(t, pageRows(200*mothferry.MegabitPerSecond, logRowBytes) >= 64)
	assert.Equal(t, pageRows(200*mothferry.MegabitPerSecond, jobRowBytes), maxPageRows)
}
