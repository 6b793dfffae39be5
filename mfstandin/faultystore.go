package mfstandin

import (
	"context"
	"errors"
	"sync"
	"time"

	"mothferry"
)

// StoreFault is the fault that a FaultyStore injects into a host's calls.
type StoreFault int

// A healthy store passes every call on; the other faults fail all of the host's calls.
const (
	StoreOK StoreFault = iota
	// StoreBusy declines calls.
	StoreBusy
	// StoreReset ends calls without an answer and without effect.
	StoreReset
	// StoreTimeout gives no answer for storeCallTimeout; calls have no effect.
	StoreTimeout
	// StoreLate acts as StoreTimeout, but commits are executed when ApplyLate is called, if
	// their checks hold then.
	StoreLate
)

// storeCallTimeout is how long a call waits for its answer.
const storeCallTimeout = 900 * time.Millisecond

var errReset = errors.New("connection reset")

// FaultyStore injects faults into one host's calls to a store that other hosts use without
// faults.
type FaultyStore struct {
	Store mothferry.RowStore

	mutex sync.Mutex
	fault StoreFault
	late  []mothferry.Txn
}

// SetFault sets the fault of all further calls.
func (g *FaultyStore) SetFault(f StoreFault) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.fault = f
}

// ApplyLate executes the commits that StoreLate held back.
func (g *FaultyStore) ApplyLate(ctx context.Context) {
	g.mutex.Lock()
	late := g.late
	g.late = nil
	g.mutex.Unlock()
	for _, txn := range late {
		// The outcome is lost, as no caller waits any more.
		_, _ = g.Store.Commit(ctx, txn)
	}
}

func (g *FaultyStore) injectFault(ctx context.Context, operation string, txn *mothferry.Txn) error {
	g.mutex.Lock()
	fault := g.fault
	if fault == StoreLate && txn != nil {
		g.late = append(g.late, *txn)
	}
	g.mutex.Unlock()
	switch fault {
	case StoreOK:
		return nil
	case StoreBusy:
		return &mothferry.ErrDeclined{Operation: operation, Status: 503}
	case StoreReset:
		return &mothferry.ErrUnavailable{Operation: operation, Err: errReset}
	default:
		select {
		case <-ctx.Done():
		case <-time.After(storeCallTimeout):
		}
		return &mothferry.ErrUnavailable{Operation: operation, Err: context.DeadlineExceeded}
	}
}

// Commit implements mothferry.RowStore.
func (g *FaultyStore) Commit(ctx context.Context, txn mothferry.Txn) (mothferry.Version, error) {
	if err := g.injectFault(ctx, "commit", &txn); err != nil {
		return 0, err
	}
	return g.Store.Commit(ctx, txn)
}

// Range implements mothferry.RowStore.
func (g *FaultyStore) Range(ctx context.Context, q mothferry.RowRange) (mothferry.RowPage, error) {
	if err := g.injectFault(ctx, "range", nil); err != nil {
		return mothferry.RowPage{}, err
	}
	return g.Store.Range(ctx, q)
}

// Follow implements mothferry.RowStore.
func (g *FaultyStore) Follow(ctx context.Context, table mothferry.TableID, after mothferry.Version, wait time.Duration) (mothferry.RowPage, error) {
	if err := g.injectFault(ctx, "follow", nil); err != nil {
		return mothferry.RowPage{}, err
	}
	return g.Store.Follow(ctx, table, after, wait)
}
