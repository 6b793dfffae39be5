// Package mfowner lets one entry host at a time own a shard: it watches who
// owns it, takes it over when the owner is gone, and then runs the scheduler:
// events in, commands out, each commit under the condition that the shard is
// still its own.
package mfowner

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"mothferry"
	"mothferry/mfrecord"
)

// Times of ownership.
const (
	// pollEvery is how often a host looks who owns the shard. It bounds how
	// long a shard that was given up stays without an owner.
	pollEvery = 300 * time.Millisecond
	// ownerLease is how long the head row must be seen unchanged until its
	// owner counts as gone. An idle owner rewrites it every 350 ms; a store
	// that is 100 times slower takes 400 ms for that. With 1.1 instead of 1.5 s
	// 0.830 instead of 0.809 of
	// the worth is served, over 20 plays of days with faults each.
	ownerLease = 1100 * time.Millisecond
	// pollGap is the longest time between two looks at the row that still
	// shows that it did not change meanwhile for want of a store: an owner
	// must not lose the shard because nobody could reach the store.
	pollGap = 900 * time.Millisecond
	// firstClaim is how long the first claim of all waits, until every host has
	// told its share.
	firstClaim = time.Second
	// strongEnough is the part of the strongest host's share with which a host
	// counts as strong.
	strongEnough = 0.75
	// weakPatience is how much longer a weak host waits: two polls of the others.
	weakPatience = 800 * time.Millisecond
	// relieveAfter is how long a weak owner is left alone by a strong host.
	relieveAfter = 3 * time.Second
)

// sighting is what a host last saw of the head row.
type sighting struct {
	head    mfrecord.Head
	version mothferry.Version
	// since is when this version was first seen, read when it last was.
	since, read time.Time
	// strongest is the largest processor share that any host has told of, and
	// strengthVersion the version of that row.
	strongest       mothferry.Millicores
	strengthVersion mothferry.Version
	// ownerSince is since when this owner has been seen.
	ownerSince time.Time
}

// observe takes a reading of the head row in.
func (s sighting) observe(next sighting, now time.Time) sighting {
	next.since, next.read, next.ownerSince = now, now, now
	if s.read.IsZero() || now.Sub(s.read) > pollGap {
		return next
	}
	if s.version == next.version {
		next.since = s.since
	}
	if s.head.Holder == next.head.Holder && s.head.Epoch == next.head.Epoch {
		next.ownerSince = s.ownerSince
	}
	return next
}

// claimable reports whether a host with this share of processors may take the
// shard over. A weak host leaves it to the strong ones for a while; a strong
// one takes it from a weak owner: an owner that is short of processor time
// extends leases too late, and what runs is lost.
func (s sighting) claimable(own mothferry.DaemonID, cores mothferry.Millicores) bool {
	unchanged := s.read.Sub(s.since)
	patience := time.Duration(0)
	if float64(cores) < strongEnough*float64(s.strongest) {
		patience = weakPatience
	}
	switch {
	case s.head.Holder == own && s.version != 0:
		// An earlier life of this very daemon: it is over, as this one runs.
		return true
	case s.version == 0:
		return unchanged >= firstClaim+patience
	case s.head.Holder == "":
		return unchanged >= patience
	case unchanged >= ownerLease+patience:
		return true
	default:
		return float64(s.head.Cores) < strongEnough*float64(cores) && s.read.Sub(s.ownerSince) >= relieveAfter
	}
}

// lastCommit is when the former owner's last commit was there at the latest: it
// was sent before this host first saw the version that it wrote. A head that
// still changed when the shard was claimed was written just before the claim.
func (s sighting) lastCommit(claimed time.Time) time.Time {
	if s.read.Sub(s.since) >= ownerLease {
		return s.since
	}
	return claimed
}

// readHead reads the head row and the strongest share; version 0 means that
// there is no head yet.
func readHead(ctx context.Context, store mothferry.RowStore) (sighting, error) {
	page, err := store.Range(ctx, mothferry.RowRange{
		Table: mfrecord.TableOwner, Part: mfrecord.PartShard,
		From: mfrecord.KeyHead, To: mfrecord.KeyStrength + "\x00",
	})
	var s sighting
	for _, r := range page.Rows {
		switch r.Key {
		case mfrecord.KeyHead:
			s.version = r.Version
			s.head, err = mfrecord.DecodeHead(r.Value)
		case mfrecord.KeyStrength:
			s.strengthVersion = r.Version
			cores, _ := strconv.ParseInt(string(r.Value), 10, 64)
			s.strongest = mothferry.Millicores(cores)
		}
		if err != nil {
			return s, err
		}
	}
	return s, err
}

// tellStrength tells the others of a larger share than any host has told of.
// If another host does so at the same time, the next look brings its figure.
func tellStrength(ctx context.Context, store mothferry.RowStore, cores mothferry.Millicores, version mothferry.Version) error {
	_, err := store.Commit(ctx, mothferry.Txn{
		Checks: []mothferry.Check{{Table: mfrecord.TableOwner, Part: mfrecord.PartShard, Key: mfrecord.KeyStrength, Version: version}},
		Writes: []mothferry.Write{{Table: mfrecord.TableOwner, Part: mfrecord.PartShard, Key: mfrecord.KeyStrength, Value: []byte(strconv.FormatInt(int64(cores), 10))}},
	})
	var conflict *mothferry.ErrConflict
	if errors.As(err, &conflict) {
		return nil
	}
	return err
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
	// took is how long the last commit took.
	took time.Duration
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
	began := c.clock.Now()
	version, err := c.send(ctx, txn)
	var conflict *mothferry.ErrConflict
	switch {
	case err == nil:
		c.head, c.version, c.took = head, version, c.clock.Now().Sub(began)
		return nil
	case errors.As(err, &conflict):
		return c.settle(conflict, head)
	default:
		return err
	}
}

// sent is the outcome of one send of a commit.
type sent struct {
	version mothferry.Version
	err     error
}

// certain reports whether the outcome of the commit is known by it.
func (s sent) certain() bool {
	var conflict *mothferry.ErrConflict
	return s.err == nil || errors.As(s.err, &conflict)
}

// send sends a commit until its outcome is known, and once more while an answer is
// overdue. One whose answer is lost, or whose connection went silent, would
// otherwise hold all others up for the time-out of a call, longer than ownerLease:
// the head does not change meanwhile, and another host takes over from a sound
// owner. Earlier sends are still waited for, as the store may only be slow.
func (c *chain) send(ctx context.Context, txn mothferry.Txn) (mothferry.Version, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan sent, maxSends)
	begin := func() {
		go func() {
			version, err := c.store.Commit(ctx, txn)
			results <- sent{version, err}
		}()
	}
	begin()
	waiting, sends, pause := 1, 1, shortestPause
	overdue := time.NewTimer(c.patience(sends))
	defer overdue.Stop()
	for {
		select {
		case r := <-results:
			if r.certain() {
				return r.version, r.err
			}
			if waiting--; waiting > 0 {
				continue
			}
			select {
			case <-ctx.Done():
			case <-c.clock.After(pause):
			}
			pause = min(2*pause, longestPause)
		case <-overdue.C:
			if waiting == maxSends {
				continue
			}
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			return 0, ctx.Err()
		}
		begin()
		waiting++
		sends++
		overdue.Reset(c.patience(sends))
	}
}

// maxSends bounds how many sends of a commit wait for their answer.
const maxSends = 3

// firstPatience is after how long the answer to a commit is overdue if the store
// is well: it takes 5 to 10 ms then.
const firstPatience = 350 * time.Millisecond

// patience is after how long the answer to a send is overdue: longer where the last
// commit took long, and twice as long each time.
func (c *chain) patience(sends int) time.Duration {
	return max(firstPatience, patienceFactor*c.took) << min(sends-1, maxDoublings)
}

const (
	// patienceFactor times what the last commit took is no reason for doubt yet.
	patienceFactor = 3
	maxDoublings   = 4
)

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
