package mffeed_test

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfclock"
	"mothferry/mffeed"
	"mothferry/mflog"
	"mothferry/mfstandin"
)

// A host must not miss what changes while the store drops its history: the table is read again.
func TestLostHistoryIsReadAgain(t *testing.T) {
	rows := &mfstandin.Rows{}
	var mutex sync.Mutex
	seen := map[mothferry.Key]string{}
	f := &mffeed.Follower{
		Store: rows, Clock: mfclock.System{}, Random: mfclock.SystemRandom{}, Log: mflog.Discard(),
		Table: "t", Parts: []mothferry.PartID{"a", "b"}, Wait: 50 * time.Millisecond,
		Apply: func(changed []mothferry.Row, _ bool) {
			mutex.Lock()
			defer mutex.Unlock()
			for _, r := range changed {
				seen[r.Key] = string(r.Value)
			}
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = f.Run(ctx) }()
	put := func(part mothferry.PartID, key mothferry.Key, value string) {
		_, err := rows.Commit(ctx, mothferry.Txn{Writes: []mothferry.Write{{Table: "t", Part: part, Key: key, Value: []byte(value)}}})
		assert.NilError(t, err)
	}
	wait := func(key mothferry.Key, value string) {
		t.Helper()
		for range 200 {
			mutex.Lock()
			got := seen[key]
			mutex.Unlock()
			if got == value {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Fatalf("%s never became %s", key, value)
	}
	put("a", "k", "1")
	wait("k", "1")
	put("b", "k2", "2")
	rows.DropHistory()
	wait("k2", "2")
	put("a", "k", "3")
	wait("k", "3")
}

// slowFeed takes a while for each version of a large row that it sends.
type slowFeed struct {
	*mfstandin.Rows
	perRow time.Duration
	sent   atomic.Int64
}

// Follow implements mothferry.RowStore.
func (s *slowFeed) Follow(ctx context.Context, table mothferry.TableID, after mothferry.Version, wait time.Duration) (mothferry.RowPage, error) {
	page, err := s.Rows.Follow(ctx, table, after, wait)
	s.sent.Add(int64(len(page.Rows)))
	time.Sleep(time.Duration(len(page.Rows)) * s.perRow)
	return page, err
}

// Range implements mothferry.RowStore.
func (s *slowFeed) Range(ctx context.Context, q mothferry.RowRange) (mothferry.RowPage, error) {
	page, err := s.Rows.Range(ctx, q)
	s.sent.Add(int64(len(page.Rows)))
	time.Sleep(time.Duration(len(page.Rows)) * s.perRow)
	return page, err
}

// Guards against a host that falls further and further behind while a large row changes faster than
// its link carries it: it skips versions, and ends with the last one.
func TestSlowFollowerSkipsVersions(t *testing.T) {
	store := &slowFeed{Rows: &mfstandin.Rows{}, perRow: 200 * time.Millisecond}
	var mutex sync.Mutex
	last, lag := 0, 0
	written := 0
	f := &mffeed.Follower{
		Store: store, Clock: mfclock.System{}, Random: mfclock.SystemRandom{}, Log: mflog.Discard(),
		Table: "t", Wait: 50 * time.Millisecond, LongAnswer: 150 * time.Millisecond,
		Apply: func(rows []mothferry.Row, _ bool) {
			mutex.Lock()
			defer mutex.Unlock()
			for _, r := range rows {
				last, _ = strconv.Atoi(string(r.Value))
			}
			lag = max(lag, written-last)
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = f.Run(ctx) }()
	for i := range 60 {
		mutex.Lock()
		written = i + 1
		mutex.Unlock()
		_, err := store.Commit(ctx, mothferry.Txn{Writes: []mothferry.Write{{Table: "t", Key: "config", Value: []byte(strconv.Itoa(i + 1))}}})
		assert.NilError(t, err)
		time.Sleep(40 * time.Millisecond)
	}
	time.Sleep(600 * time.Millisecond)
	mutex.Lock()
	defer mutex.Unlock()
	assert.Equal(t, last, 60)
	assert.Assert(t, lag <= 16, "%d versions behind", lag)
	assert.Assert(t, store.sent.Load() < 30, "%d rows sent for 60 versions", store.sent.Load())
}

// pagedStore returns the pages of a table in order, whatever is asked for.
type pagedStore struct {
	mothferry.RowStore

	pages []mothferry.RowPage
}

// Range implements mothferry.RowStore.
func (s *pagedStore) Range(context.Context, mothferry.RowRange) (mothferry.RowPage, error) {
	page := s.pages[0]
	s.pages = s.pages[1:]
	return page, nil
}

// Guards against a new owner that starts a job anew as it has read only a part of the stored progress:
// a page without rows of which more follow is no end of the table.
func TestPageWithoutRowsDoesNotEndTable(t *testing.T) {
	row := func(key mothferry.Key) mothferry.Row { return mothferry.Row{Table: "t", Key: key, Version: 1} }
	store := &pagedStore{pages: []mothferry.RowPage{
		{Version: 3, More: true, Rows: []mothferry.Row{row("a")}},
		{Version: 3, More: true},
	}}
	rows, _, err := mffeed.ReadAll(context.Background(), store, mothferry.RowRange{Table: "t"})
	var incomplete *mffeed.ErrIncomplete
	assert.Assert(t, errors.As(err, &incomplete), "%d rows read, error %v", len(rows), err)
	assert.Equal(t, incomplete.Table, mothferry.TableID("t"))
}

// writtenBetween is a store that is written to after the first read.
type writtenBetween struct {
	*mfstandin.Rows

	once sync.Once
}

// Range implements mothferry.RowStore.
func (s *writtenBetween) Range(ctx context.Context, q mothferry.RowRange) (mothferry.RowPage, error) {
	page, err := s.Rows.Range(ctx, q)
	s.once.Do(func() {
		_, err = s.Commit(ctx, mothferry.Txn{Writes: []mothferry.Write{{Table: "t", Part: q.Part, Key: "k"}}})
	})
	return page, err
}

// Guards against a job that no owner ever sees: it was stored while an owner read the parts of an empty
// store, in a part that had been read before the others.
func TestFollowingAfterReadOfEmptyStoreMissesNothing(t *testing.T) {
	store := &writtenBetween{Rows: &mfstandin.Rows{}}
	var parts []mothferry.PartID
	for i := range 40 {
		parts = append(parts, mothferry.PartID(strconv.Itoa(i)))
	}
	rows, version, err := mffeed.ReadParts(context.Background(), store, "t", parts)
	assert.NilError(t, err)
	page, err := store.Follow(context.Background(), "t", version, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(rows)+len(page.Rows), 1, "followed from version %d", version)
}
