package mfowner

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfclock"
	"mothferry/mfjob"
	"mothferry/mfjournal"
	"mothferry/mfqueue"
	"mothferry/mfrecord"
	"mothferry/mfsched"
	"mothferry/mfstandin"
)

// slowLinkRows is a store behind a link on which each row takes a while. A call that exceeds
// its timeout has no answer.
type slowLinkRows struct {
	*mfstandin.Rows
	// perRow is the transfer time of each row.
	perRow time.Duration
}

// slowLinkTimeout is the timeout of a call to the store.
const slowLinkTimeout = 900 * time.Millisecond

// Range implements mothferry.RowStore.
func (r slowLinkRows) Range(ctx context.Context, q mothferry.RowRange) (mothferry.RowPage, error) {
	page, err := r.Rows.Range(ctx, q)
	duration := time.Duration(len(page.Rows)) * r.perRow
	if duration > slowLinkTimeout {
		time.Sleep(slowLinkTimeout)
		return mothferry.RowPage{}, &mothferry.ErrUnavailable{Operation: "range", Err: context.DeadlineExceeded}
	}
	time.Sleep(duration)
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

// Guards against a shard that is never read after a power loss at all hosts. With pages of 500
// rows a read exceeds the timeout of a call on a slow link. The new owner stores nothing
// meanwhile, so the next host takes the shard from it after 0.8 s and starts over. The log
// then shows repeated "shard is taken over" by different hosts and failed reads, but never
// "progress is read".
func TestShardIsReadOverSlowLink(t *testing.T) {
	// A page of 500 rows exceeds the timeout of a call.
	readOverSlowLink(t, 3*time.Millisecond)
}

// The same with pages that arrive in time: reading them all takes longer than the lease of an
// owner that stores nothing.
func TestShardIsKeptDuringLoad(t *testing.T) {
	readOverSlowLink(t, 1500*time.Microsecond)
}

// readOverSlowLink has three hosts claim a shard with 1,200 jobs, on links on which each row
// takes a while. Exactly one of them must read the shard and keep it.
func readOverSlowLink(t *testing.T, perRow time.Duration) {
	t.Helper()
	rows := &mfstandin.Rows{}
	var stored []mothferry.Write
	for i := range 1200 {
		stored = append(stored, mothferry.Write{
			Table: mfrecord.TableProgress, Part: mfrecord.PartShard, Key: mothferry.Key(fmt.Sprintf("%016x", i)),
			Value: mfjob.EncodeProgress(mfjob.Progress{State: mfjob.StateCompleted}),
		})
	}
	for part := range slices.Chunk(stored, mfjournal.MaxRows) {
		_, err := rows.Commit(context.Background(), mothferry.Txn{Writes: part})
		assert.NilError(t, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var hosts sync.WaitGroup
	var logs []*memory.Handler
	for _, id := range []mothferry.DaemonID{"h-1", "h-2", "h-3"} {
		o, lines := newTestOwner(id, slowLinkRows{Rows: rows, perRow: perRow})
		logs = append(logs, lines)
		hosts.Go(func() { _ = o.Run(ctx) })
	}
	time.Sleep(10 * time.Second)
	cancel()
	hosts.Wait()
	counts := map[string]int{}
	for _, lines := range logs {
		for _, e := range lines.Entries {
			counts[e.Message]++
		}
	}
	assert.Equal(t, counts["progress is read"], 1, "%v", counts)
	assert.Equal(t, counts["shard is taken over"], 1, "%v", counts)
}

// A page takes at most a quarter of a second on the link, so that the head can be rewritten
// meanwhile. On a fast link one read returns the whole log.
func TestPageRowsFitLink(t *testing.T) {
	assert.Equal(t, pageRows(0, logRowBytes), 0)
	assert.Equal(t, pageRows(2*mothferry.MegabitPerSecond, logRowBytes), 1)
	assert.Equal(t, pageRows(2*mothferry.MegabitPerSecond, jobRowBytes), 122)
	assert.Assert(t, pageRows(200*mothferry.MegabitPerSecond, logRowBytes) >= 64)
	assert.Equal(t, pageRows(200*mothferry.MegabitPerSecond, jobRowBytes), maxPageRows)
}
