// Package mffeed keeps up with a table of a row store: it reads the table
// once, then takes its changes in order.
//
// What it guards against: the store forgets its history (the table is read
// anew); a connection goes silent for good (each wait has an end of its own,
// after which another connection is used); the store is out (tries are spaced
// out and spread, so that hosts don't return all at once).
package mffeed

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"mothferry"
	"mothferry/mfclock"
	"mothferry/mflog"
)

// Pauses after a call that failed: doubled from the shortest to the longest,
// so that a store that returns sees each host at most four times a second.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 250 * time.Millisecond
	// defaultPageRows is how many rows one read asks for. One that has no answer may have asked for
	// more than the link carries in the time of a call: the next asks for a part of that.
	defaultPageRows  = 500
	pageShrinkFactor = 4
)

// Follower keeps up with one table. The exported fields are set before Run.
type Follower struct {
	Store  mothferry.RowStore
	Clock  mothferry.Clock
	Random mothferry.Random
	Log    *log.Entry
	Table  mothferry.TableID
	// Parts are the parts of the table to read; none stands for the empty part.
	Parts []mothferry.PartID
	// Wait is how long the store may hold a call back for a change.
	Wait time.Duration
	// MinInterval is the shortest time between two calls.
	MinInterval time.Duration
	// Apply takes rows in: all rows of the table if whole is set, else changes.
	// Rows may come twice.
	Apply func(rows []mothferry.Row, whole bool)
	// OnProgress is told up to when all changes have been applied; it may be nil.
	OnProgress func(upTo time.Time)

	episode mflog.FailureLog
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.episode.Log = f.Log
	pause := minRetryDelay
	for ctx.Err() == nil {
		err := f.follow(ctx)
		var gone *mothferry.ErrHistoryGone
		if errors.As(err, &gone) {
			f.Log.WithField("table", f.Table).WithField("after", gone.After).Info("history is gone, table is read anew")
			pause = minRetryDelay
			continue
		}
		if ctx.Err() != nil {
			break
		}
		f.episode.Failed(err, "store does not answer for table "+string(f.Table))
		if !mfclock.Sleep(ctx, f.Clock, f.jitter(pause)) {
			break
		}
		pause = min(2*pause, maxRetryDelay)
	}
	return ctx.Err()
}

// jitter returns a pause between half of d and d.
func (f *Follower) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(f.Random.Float64()*float64(d/2))
}

func (f *Follower) follow(ctx context.Context) error {
	asked := f.Clock.Now()
	rows, version, err := ReadParts(ctx, f.Store, f.Table, f.Parts)
	if err != nil {
		return err
	}
	f.recordAnswer()
	f.Apply(rows, true)
	f.reportProgress(asked)
	for {
		began := f.Clock.Now()
		page, asked, err := f.changes(ctx, version)
		if err != nil {
			return err
		}
		version = max(version, page.Version)
		if len(page.Rows) > 0 {
			f.Apply(page.Rows, false)
		}
		f.reportProgress(asked)
		if rest := f.MinInterval - f.Clock.Now().Sub(began); rest > 0 {
			if !mfclock.Sleep(ctx, f.Clock, rest) {
				return ctx.Err()
			}
		}
	}
}

// changes returns what changed after a version, and when it asked. It asks once more if a call has no answer: a connection that went
// silent is not a store that is out, and the table need not be read anew.
func (f *Follower) changes(ctx context.Context, version mothferry.Version) (mothferry.RowPage, time.Time, error) {
	pause := minRetryDelay
	for {
		asked := f.Clock.Now()
		page, err := f.Store.Follow(ctx, f.Table, version, f.Wait)
		if err == nil {
			f.recordAnswer()
			return page, asked, nil
		}
		var gone *mothferry.ErrHistoryGone
		if errors.As(err, &gone) || ctx.Err() != nil {
			return page, asked, err
		}
		f.episode.Failed(err, "store does not answer for table "+string(f.Table))
		if !mfclock.Sleep(ctx, f.Clock, f.jitter(pause)) {
			return page, asked, ctx.Err()
		}
		pause = min(2*pause, maxRetryDelay)
	}
}

// reportProgress tells up to when all changes have been applied.
func (f *Follower) reportProgress(upTo time.Time) {
	if f.OnProgress != nil {
		f.OnProgress(upTo)
	}
}

func (f *Follower) recordAnswer() {
	f.episode.Succeeded("store answers again for table " + string(f.Table))
}

// maxParallelReads is how many parts are read at the same time.
const maxParallelReads = 8

// ReadParts reads all rows of some parts of a table. The version is one from
// which on no change is missed.
func ReadParts(ctx context.Context, store mothferry.RowStore, table mothferry.TableID, parts []mothferry.PartID) ([]mothferry.Row, mothferry.Version, error) {
	if len(parts) == 0 {
		return ReadAll(ctx, store, mothferry.RowRange{Table: table})
	}
	var mutex sync.Mutex
	var rows []mothferry.Row
	var version mothferry.Version
	var group errgroup.Group
	group.SetLimit(maxParallelReads)
	for _, p := range parts {
		group.Go(func() error {
			some, at, err := ReadAll(ctx, store, mothferry.RowRange{Table: table, Part: p})
			mutex.Lock()
			defer mutex.Unlock()
			rows = append(rows, some...)
			if version == 0 || at < version {
				version = at
			}
			return err
		})
	}
	err := group.Wait()
	return rows, version, err
}

// ReadAll reads all rows of a range, page by page, and returns the store's
// version at the first page: changes from there on are not missed. A limit in q bounds
// the rows of a page.
func ReadAll(ctx context.Context, store mothferry.RowStore, q mothferry.RowRange) ([]mothferry.Row, mothferry.Version, error) {
	var rows []mothferry.Row
	var version mothferry.Version
	if q.Limit == 0 {
		q.Limit = defaultPageRows
	}
	for first := true; ; first = false {
		page, limit, err := readPage(ctx, store, q)
		if err != nil {
			return nil, 0, err
		}
		q.Limit = limit
		if first {
			version = page.Version
		}
		rows = append(rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			return rows, version, nil
		}
		q.From = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
}

// readPage reads one page and returns how many rows the next one should ask for.
//
// What goes wrong: a page takes longer on a narrow link than a call may, and is asked for
// again as it is, for good. One notices by reads without answer, or without a connection, as
// what is left of the last one fills the link, while small ones have theirs.
func readPage(ctx context.Context, store mothferry.RowStore, q mothferry.RowRange) (mothferry.RowPage, int, error) {
	for {
		page, err := store.Range(ctx, q)
		if err == nil || q.Limit <= 1 || ctx.Err() != nil {
			return page, q.Limit, err
		}
		q.Limit = max(1, q.Limit/pageShrinkFactor)
	}
}
