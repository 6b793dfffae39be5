// Package mffake holds small fakes of the root package's interfaces for tests: a clock that is
// advanced by the test, and a table that fails as a real one does.
package mffake

import (
	"context"
	"errors"
	"sync"
	"time"

	"mothferry"
	"mothferry/mfstandin"
)

// Clock is a clock that only Advance moves.
type Clock struct {
	mutex  sync.Mutex
	now    time.Time
	timers []timer
}

type timer struct {
	at      time.Time
	channel chan time.Time
}

// NewClock returns a clock that shows a fixed time.
func NewClock() *Clock {
	return &Clock{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
}

// Now implements mothferry.Clock.
func (c *Clock) Now() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.now
}

// After implements mothferry.Clock.
func (c *Clock) After(d time.Duration) <-chan time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	channel := make(chan time.Time, 1)
	c.timers = append(c.timers, timer{at: c.now.Add(d), channel: channel})
	return channel
}

// Advance moves the clock and fires the timers that become due.
func (c *Clock) Advance(d time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.now = c.now.Add(d)
	var waiting []timer
	for _, t := range c.timers {
		if t.at.After(c.now) {
			waiting = append(waiting, t)
			continue
		}
		t.channel <- c.now
	}
	c.timers = waiting
}

// InstantClock is the system's clock with timers that fire at once.
type InstantClock struct{}

// Now implements mothferry.Clock.
func (InstantClock) Now() time.Time { return time.Now() }

// After implements mothferry.Clock.
func (InstantClock) After(time.Duration) <-chan time.Time {
	c := make(chan time.Time, 1)
	c <- time.Now()
	return c
}

// ErrFake is the cause of every failure that a Table injects.
var ErrFake = errors.New("fake failure")

// Table is a table that can be made to fail.
type Table struct {
	*mfstandin.Table

	mutex       sync.Mutex
	down        bool
	loseReplies int
	loseCalls   int
	commits     int
}

// NewTable returns an empty table.
func NewTable(clock mothferry.Clock) *Table {
	return &Table{Table: &mfstandin.Table{Clock: clock}}
}

// SetDown makes every call fail without effect.
func (t *Table) SetDown(down bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.down = down
}

// LoseReplies makes the next n commits take effect and still fail.
func (t *Table) LoseReplies(n int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.loseReplies = n
}

// LoseCalls makes the next n commits fail without effect.
func (t *Table) LoseCalls(n int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.loseCalls = n
}

// Commits returns the number of commits so far, including failed ones.
func (t *Table) Commits() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.commits
}

// Read implements mothferry.Table.
func (t *Table) Read(ctx context.Context, q mothferry.Query) ([]mothferry.Row, error) {
	t.mutex.Lock()
	down := t.down
	t.mutex.Unlock()
	if down {
		return nil, &mothferry.ErrUnavailable{Operation: "read", Err: ErrFake}
	}
	return t.Table.Read(ctx, q)
}

// Commit implements mothferry.Table.
func (t *Table) Commit(ctx context.Context, txn mothferry.Txn) (mothferry.Version, error) {
	t.mutex.Lock()
	t.commits++
	before, after := t.down || t.loseCalls > 0, t.loseReplies > 0
	t.loseCalls = max(t.loseCalls-1, 0)
	if !before {
		t.loseReplies = max(t.loseReplies-1, 0)
	}
	t.mutex.Unlock()
	failed := &mothferry.ErrUnavailable{Operation: "commit", Err: ErrFake}
	if before {
		return 0, failed
	}
	version, err := t.Table.Commit(ctx, txn)
	if after {
		return 0, failed
	}
	return version, err
}
