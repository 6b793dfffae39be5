// Package mffeed follows a table of a row store: it reads the table once, then takes its
// changes in order.
//
// These failures are handled: the store has dropped its history, or its changes are too long for
// one reply (the table is read again, in pages); a
// connection goes silent for good (each wait has its own timeout, after which another
// connection is used); the store is down (retries have delays and jitter, so that hosts don't
// return all at once).
package mffeed

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"mothferry"
	"mothferry/mfclock"
	"mothferry/mflog"
)

// Retry delays after a failed call, doubled from the minimum to the maximum. They bound how
// often each host calls a store that returns: four times a second, up to eight times with
// jitter.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 250 * time.Millisecond
	// defaultPageRows is how many rows one read asks for. One without an answer may have asked
	// for more than the link carries within the timeout of a call: the next asks for
	// 1/pageShrinkFactor of that.
	defaultPageRows  = 500
	pageShrinkFactor = 4
)

// Follower follows one table. The exported fields are set before Run.
type Follower struct {
	Store  mothferry.RowStore
	Clock  mothferry.Clock
	Random mothferry.Random
	Log    *log.Entry
	Table  mothferry.TableID
	// Parts are the parts of the table to read; none stands for the empty part.
	Parts []mothferry.PartID
	// Wait is how long the store may hold a long poll for a change.
	Wait time.Duration
	// MinInterval is the minimum interval between two calls.
	MinInterval time.Duration
	// LongAnswer is how long a call with changes takes from which on the table is read again until
	// it stays the same, as the feed would send each version of a large row that was written
	// meanwhile; zero for never.
	LongAnswer time.Duration
	// Apply is called with rows: all rows of the table if whole is set, else changes. Rows may
	// come twice.
	Apply func(rows []mothferry.Row, whole bool)
	// OnProgress is called with the time up to which all changes have been applied; it may be
	// nil.
	OnProgress func(upTo time.Time)

	failures mflog.FailureLog
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.failures.Log = f.Log
	delay := minRetryDelay
	for ctx.Err() == nil {
		err := f.follow(ctx)
		var historyGone *mothferry.ErrHistoryGone
		if errors.As(err, &historyGone) {
			f.Log.WithField("table", f.Table).WithField("after", historyGone.After).Info("history gone, reading table again")
			delay = minRetryDelay
			continue
		}
		var tooLarge *errChangesTooLarge
		if errors.As(err, &tooLarge) {
			f.Log.WithField("table", f.Table).WithField("after", tooLarge.after).Info("too many changes for one reply, reading table again")
			delay = minRetryDelay
			continue
		}
		if ctx.Err() != nil {
			break
		}
		f.failures.Failed(err, "store does not answer for table "+string(f.Table))
		if !mfclock.Sleep(ctx, f.Clock, f.jitter(delay)) {
			break
		}
		delay = min(2*delay, maxRetryDelay)
	}
	return ctx.Err()
}

// jitter returns a random delay between half of d and d.
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
	if f.tookLong(asked) {
		if version, err = f.catchUp(ctx, version); err != nil {
			return err
		}
	}
	for {
		start := f.Clock.Now()
		page, asked, err := f.changes(ctx, version)
		if err != nil {
			return err
		}
		version = max(version, page.Version)
		if len(page.Rows) > 0 {
			f.Apply(page.Rows, false)
		}
		f.reportProgress(asked)
		if len(page.Rows) > 0 && f.tookLong(asked) {
			if version, err = f.catchUp(ctx, version); err != nil {
				return err
			}
		}
		if remaining := f.MinInterval - f.Clock.Now().Sub(start); remaining > 0 {
			if !mfclock.Sleep(ctx, f.Clock, remaining) {
				return ctx.Err()
			}
		}
	}
}

func (f *Follower) tookLong(asked time.Time) bool {
	return f.LongAnswer > 0 && f.Clock.Now().Sub(asked) >= f.LongAnswer
}

// catchUp reads the table until nothing has changed since a version, and returns the version from
// which to follow.
func (f *Follower) catchUp(ctx context.Context, version mothferry.Version) (mothferry.Version, error) {
	for {
		asked := f.Clock.Now()
		rows, next, err := ReadParts(ctx, f.Store, f.Table, f.Parts)
		if err != nil {
			return version, err
		}
		changed := slices.ContainsFunc(rows, func(r mothferry.Row) bool { return r.Version > version })
		if changed {
			f.Apply(rows, true)
		}
		f.reportProgress(asked)
		version = max(version, next)
		if !changed {
			return version, nil
		}
	}
}

// errChangesTooLarge reports that the changes after a version are too long for one reply. The feed
// has no pages: only the table can be read in parts.
type errChangesTooLarge struct {
	after mothferry.Version
	err   error
}

// Error implements error.
func (e *errChangesTooLarge) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *errChangesTooLarge) Unwrap() error { return e.err }

// changes returns what changed after a version, and when it asked. It retries a call without an
// answer: a connection that went silent does not mean that the store is down, and the table
// need not be read again.
func (f *Follower) changes(ctx context.Context, version mothferry.Version) (mothferry.RowPage, time.Time, error) {
	delay := minRetryDelay
	for {
		asked := f.Clock.Now()
		page, err := f.Store.Follow(ctx, f.Table, version, f.Wait)
		if err == nil {
			f.recordAnswer()
			return page, asked, nil
		}
		var historyGone *mothferry.ErrHistoryGone
		if errors.As(err, &historyGone) || ctx.Err() != nil {
			return page, asked, err
		}
		var tooLarge *mothferry.ErrReplyTooLarge
		if errors.As(err, &tooLarge) {
			return page, asked, &errChangesTooLarge{after: version, err: err}
		}
		f.failures.Failed(err, "store does not answer for table "+string(f.Table))
		if !mfclock.Sleep(ctx, f.Clock, f.jitter(delay)) {
			return page, asked, ctx.Err()
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// reportProgress reports the time up to which all changes have been applied.
func (f *Follower) reportProgress(upTo time.Time) {
	if f.OnProgress != nil {
		f.OnProgress(upTo)
	}
}

func (f *Follower) recordAnswer() {
	f.failures.Succeeded("store answers again for table " + string(f.Table))
}

// maxParallelReads is how many parts are read in parallel.
const maxParallelReads = 8

// ReadParts reads all rows of some parts of a table. Following the changes from the returned
// version misses none.
func ReadParts(ctx context.Context, store mothferry.RowStore, table mothferry.TableID, parts []mothferry.PartID) ([]mothferry.Row, mothferry.Version, error) {
	if len(parts) == 0 {
		return ReadAll(ctx, store, mothferry.RowRange{Table: table})
	}
	var mutex sync.Mutex
	var rows []mothferry.Row
	versions := make([]mothferry.Version, len(parts))
	var group errgroup.Group
	group.SetLimit(maxParallelReads)
	for i, p := range parts {
		group.Go(func() error {
			partRows, version, err := ReadAll(ctx, store, mothferry.RowRange{Table: table, Part: p})
			mutex.Lock()
			defer mutex.Unlock()
			rows, versions[i] = append(rows, partRows...), version
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, 0, err
	}
	return rows, slices.Min(versions), nil
}

// ReadAll reads all rows of a range, page by page, and returns the store's version at the first
// page: following the changes from there misses none. A limit in q bounds the rows of a page. It fails
// with ErrIncomplete if the store stops before the last row.
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
		if !page.More {
			return rows, version, nil
		}
		if len(page.Rows) == 0 {
			return nil, 0, &ErrIncomplete{Table: q.Table, Part: q.Part}
		}
		if q.From = mothferry.NextPage(q.From, page.Rows[len(page.Rows)-1].Key); q.From == "" {
			return rows, version, nil
		}
	}
}

// readPage reads one page and returns how many rows the next one should ask for. It asks for
// fewer rows after each failure.
//
// Otherwise a page that takes longer on a slow link than a call may would be retried unchanged
// for good. Reads then have no answer, or no connection, as the rest of the previous answer
// fills the link, while small reads succeed.
func readPage(ctx context.Context, store mothferry.RowStore, q mothferry.RowRange) (mothferry.RowPage, int, error) {
	for {
		page, err := store.Range(ctx, q)
		if err == nil || q.Limit <= 1 || ctx.Err() != nil {
			return page, q.Limit, err
		}
		q.Limit = max(1, q.Limit/pageShrinkFactor)
	}
}

// ErrIncomplete reports that a store has more rows of a table than it returns.
type ErrIncomplete struct {
	Table mothferry.TableID
	Part  mothferry.PartID
}

// Error implements error.
func (e *ErrIncomplete) Error() string {
	return fmt.Sprintf("read table %s, part %q: a page has no rows, and more follow", e.Table, e.Part)
}
