package mfstandin

import (
	"cmp"
	"context"
	"encoding/base64"
	"slices"
	"sync"
	"time"

	"mothferry"
)

// Rows is an in-memory mothferry.RowStore that can inject faults into commits.
type Rows struct {
	// Before returns the fault of each commit before its execution; nil for no faults.
	Before func(txn mothferry.Txn) CommitFault

	mutex   sync.Mutex
	rows    map[rowKey]mothferry.Row
	changes []mothferry.Row
	// historyFrom is the lowest version from which Follow can continue.
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

// CommitFault is the fault of one commit.
type CommitFault int

// CommitOK executes the commit normally; each other fault affects one commit.
const (
	CommitOK CommitFault = iota
	// CommitDeclined has no effect, and the caller is told so.
	CommitDeclined
	// CommitUnanswered takes effect, and the answer is lost.
	CommitUnanswered
	// CommitLost has no effect, and no answer comes.
	CommitLost
	// CommitLate gets no answer and takes effect when ApplyLate is called, if its checks hold
	// then.
	CommitLate
	// CommitRejected has no effect, as the store holds the transaction for invalid.
	CommitRejected
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
	rejected := &mothferry.ErrRejected{Operation: "commit", Status: 400}
	if tooLarge(txn) {
		return 0, rejected
	}
	switch fault {
	case CommitDeclined:
		return 0, &mothferry.ErrDeclined{Operation: "commit", Status: 503}
	case CommitRejected:
		return 0, rejected
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

// What the stores of current deployments take.
const (
	maxEntries          = 100
	maxValueBytes       = 65536
	maxTransactionBytes = 1_000_000
)

// tooLarge reports whether a transaction is larger than the store takes.
func tooLarge(txn mothferry.Txn) bool {
	size := 0
	for _, w := range txn.Writes {
		if len(w.Value) > maxValueBytes {
			return true
		}
		size += base64.StdEncoding.EncodedLen(len(w.Value)) + len(w.Table) + len(w.Part) + len(w.Key)
	}
	return len(txn.Checks)+len(txn.Writes) > maxEntries || size > maxTransactionBytes
}

// SetBefore changes Before while the store is in use.
func (r *Rows) SetBefore(before func(txn mothferry.Txn) CommitFault) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.Before = before
}

// ApplyLate executes the late commits.
func (r *Rows) ApplyLate() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, txn := range r.late {
		// The outcome is lost, as no caller waits any more.
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

// DropHistory drops the history of changes, so that Follow fails from the current version and
// earlier ones.
func (r *Rows) DropHistory() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.changes, r.historyFrom = nil, r.version+1
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}
