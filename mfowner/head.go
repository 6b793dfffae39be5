// Package mfowner lets one entry host at a time own a shard: it watches who
// owns it, takes it over when the owner is gone, and then runs the scheduler:
// events in, commands out, each commit under the condition that the shard is
// still its own.
package mfowner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"mothferry"
	"mothferry/mfrecord"
)

// Times of ownership.
const (
	// pollEvery is how often a host looks who owns the shard. It bounds how
	// long a shard that was given up stays without an owner.
	pollEvery = 350 * time.Millisecond
	// ownerLease is how long the head row must be seen unchanged until its
	// owner counts as gone. An idle owner rewrites it every 500 ms; a store
	// that is 100 times slower takes 400 ms for that.
	ownerLease = 1500 * time.Millisecond
	// pollGap is the longest time between two looks at the row that still
	// shows that it did not change meanwhile for want of a store: an owner
	// must not lose the shard because nobody could reach the store.
	pollGap = 1200 * time.Millisecond
)

// sighting is what a host last saw of the head row.
type sighting struct {
	head    mfrecord.Head
	version mothferry.Version
	// since is when this version was first seen, read when it last was.
	since, read time.Time
}

// observe takes a reading of the head row in.
func (s sighting) observe(head mfrecord.Head, version mothferry.Version, now time.Time) sighting {
	next := sighting{head: head, version: version, since: now, read: now}
	if s.version == version && now.Sub(s.read) <= pollGap {
		next.since = s.since
	}
	return next
}

// vacant reports whether the shard may be taken over.
func (s sighting) vacant() bool {
	return s.head.Holder == "" || s.read.Sub(s.since) >= ownerLease
}

// readHead reads the head row; version 0 means that there is none yet.
func readHead(ctx context.Context, store mothferry.RowStore) (mfrecord.Head, mothferry.Version, error) {
	page, err := store.Range(ctx, mothferry.RowRange{
		Table: mfrecord.TableOwner, Part: mfrecord.PartShard,
		From: mfrecord.KeyHead, To: mfrecord.KeyHead + "\x00", Limit: 1,
	})
	if err != nil || len(page.Rows) == 0 {
		return mfrecord.Head{}, 0, err
	}
	head, err := mfrecord.DecodeHead(page.Rows[0].Value)
	return head, page.Rows[0].Version, err
}

// errLost reports that another host owns the shard now.
type errLost struct {
	holder mothferry.DaemonID
	epoch  mothferry.Epoch
}

// Error implements error.
func (e *errLost) Error() string {
	return fmt.Sprintf("the shard is owned by %q in epoch %d", e.holder, e.epoch)
}

// chain is the row of commits that make up one ownership.
type chain struct {
	store   mothferry.RowStore
	clock   mothferry.Clock
	head    mfrecord.Head
	version mothferry.Version
	commits int
	// session tells the tokens of two lives of one daemon apart.
	session uint64
}

// write rewrites the head row together with other rows of the shard. It goes
// on until the outcome is known: while no answer comes the same transaction is
// sent again, and as it checks the head's version at most one of the sends can
// take effect. It fails with errLost once another host has the shard.
func (c *chain) write(ctx context.Context, head mfrecord.Head, rows []mothferry.Write) error {
	c.commits++
	head.Token = mothferry.Token(fmt.Sprintf("%s/%x/%d", head.Holder, c.session, c.commits))
	value, err := head.Encode()
	if err != nil {
		return err
	}
	txn := mothferry.Txn{
		Checks: []mothferry.Check{{Table: mfrecord.TableOwner, Part: mfrecord.PartShard, Key: mfrecord.KeyHead, Version: c.version}},
		Writes: append([]mothferry.Write{{Table: mfrecord.TableOwner, Part: mfrecord.PartShard, Key: mfrecord.KeyHead, Value: value}}, rows...),
	}
	pause := shortestPause
	for {
		version, err := c.store.Commit(ctx, txn)
		if err == nil {
			c.head, c.version = head, version
			return nil
		}
		var conflict *mothferry.ErrConflict
		if errors.As(err, &conflict) {
			return c.settle(conflict, head)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.clock.After(pause):
		}
		pause = min(2*pause, longestPause)
	}
}

// Pauses between sends of a commit that has no answer.
const (
	shortestPause = 30 * time.Millisecond
	longestPause  = 250 * time.Millisecond
)

// settle tells an earlier send of the same commit from a takeover.
func (c *chain) settle(conflict *mothferry.ErrConflict, head mfrecord.Head) error {
	for _, row := range conflict.Rows {
		if row.Key != mfrecord.KeyHead || row.Version == 0 {
			continue
		}
		stored, err := mfrecord.DecodeHead(row.Value)
		if err != nil {
			return err
		}
		if stored.Token == head.Token {
			c.head, c.version = head, row.Version
			return nil
		}
		return &errLost{holder: stored.Holder, epoch: stored.Epoch}
	}
	return &errLost{}
}
