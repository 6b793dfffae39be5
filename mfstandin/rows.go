package mfstandin

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"mothferry"
)

// Rows is an in-memory mothferry.RowStore with the faults that a real one has.
type Rows struct {
	// Before is asked before each commit is carried out; nil for no faults.
	Before func(txn mothferry.Txn) CommitFault

	mutex   sync.Mutex
	rows    map[rowKey]mothferry.Row
	changes []mothferry.Row
	// historyFrom is the version from which on changes are kept.
	historyFrom mothferry.Version
	version     mothferry.Version
	changed     chan struct{}
	late        []mothferry.Txn
}

type rowKey struct {
	table mothferry.TableID
	part  mothferry.PartID
	key   mothferry.Key
}

// CommitFault is what goes wrong with one commit.
type CommitFault int

// Faults of commits.
const (
	CommitOK CommitFault = iota
	// CommitDeclined: nothing is done, and the caller is told so.
	CommitDeclined
	// CommitUnanswered: it is done, and the answer is lost.
	CommitUnanswered
	// CommitLost: nothing is done, and no answer comes.
	CommitLost
	// CommitLate: no answer comes, and it is done when Settle is called, if its
	// checks hold then.
	CommitLate
)

// Commit implements mothferry.RowStore.
func (r *Rows) Commit(_ context.Context, txn mothferry.Txn) (mothferry.Version, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fault := CommitOK
	if r.Before != nil {
		fault = r.Before(txn)
	}
	unanswered := &mothferry.ErrUnavailable{Operation: "commit", Err: context.DeadlineExceeded}
	switch fault {
	case CommitDeclined:
		return 0, &mothferry.ErrDeclined{Operation: "commit", Status: 503}
	case CommitLost:
		return 0, unanswered
	case CommitLate:
		r.late = append(r.late, txn)
		return 0, unanswered
	}
	version, err := r.apply(txn)
	if fault == CommitUnanswered {
		return 0, unanswered
	}
	return version, err
}

// SetBefore changes Before while the rows are in use.
func (r *Rows) SetBefore(before func(txn mothferry.Txn) CommitFault) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.Before = before
}

// ApplyLate carries out the commits that were late.
func (r *Rows) ApplyLate() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, txn := range r.late {
		// Nobody waits for the outcome.
		_, _ = r.apply(txn)
	}
	r.late = nil
}

func (r *Rows) apply(txn mothferry.Txn) (mothferry.Version, error) {
	if r.rows == nil {
		r.rows = map[rowKey]mothferry.Row{}
	}
	var current []mothferry.Row
	holds := true
	for _, c := range txn.Checks {
		row := r.rows[rowKey{c.Table, c.Part, c.Key}]
		row.Table, row.Part, row.Key = c.Table, c.Part, c.Key
		current = append(current, row)
		holds = holds && row.Version == c.Version
	}
	if !holds {
		return 0, &mothferry.ErrConflict{Rows: current}
	}
	r.version++
	for _, w := range txn.Writes {
		row := mothferry.Row{Table: w.Table, Part: w.Part, Key: w.Key, Value: w.Value, Version: r.version, Deleted: w.Delete}
		at := rowKey{w.Table, w.Part, w.Key}
		if w.Delete {
			delete(r.rows, at)
		} else {
			r.rows[at] = row
		}
		r.changes = append(r.changes, row)
	}
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
	return r.version, nil
}

// Range implements mothferry.RowStore.
func (r *Rows) Range(_ context.Context, q mothferry.RowRange) (mothferry.RowPage, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	page := mothferry.RowPage{Version: r.version}
	for at, row := range r.rows {
		if at.table == q.Table && at.part == q.Part && at.key >= q.From && (q.To == "" || at.key < q.To) {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b mothferry.Row) int { return cmp.Compare(a.Key, b.Key) })
	if q.Limit > 0 && len(page.Rows) > q.Limit {
		page.Rows, page.More = page.Rows[:q.Limit], true
	}
	return page, nil
}

// Follow implements mothferry.RowStore.
func (r *Rows) Follow(ctx context.Context, table mothferry.TableID, after mothferry.Version, wait time.Duration) (mothferry.RowPage, error) {
	timeout := time.After(wait)
	for {
		page, changed, err := r.since(table, after)
		if err != nil || len(page.Rows) > 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-timeout:
			return page, nil
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
}

func (r *Rows) since(table mothferry.TableID, after mothferry.Version) (mothferry.RowPage, <-chan struct{}, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	page := mothferry.RowPage{Version: r.version}
	if after < r.historyFrom {
		return page, nil, &mothferry.ErrHistoryGone{Table: table, After: after}
	}
	for _, row := range r.changes {
		if row.Table == table && row.Version > after {
			page.Rows = append(page.Rows, row)
		}
	}
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return page, r.changed, nil
}

// DropHistory drops the history of changes.
func (r *Rows) DropHistory() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.changes, r.historyFrom = nil, r.version+1
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}
