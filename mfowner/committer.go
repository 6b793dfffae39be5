package mfowner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"mothferry"
	"mothferry/mfrecord"
)

// errOwnershipLost reports that another host owns the shard now.
type errOwnershipLost struct {
	holder mothferry.DaemonID
	epoch  mothferry.Epoch
}

// Error implements error.
func (e *errOwnershipLost) Error() string {
	return fmt.Sprintf("the shard is owned by %q in epoch %d", e.holder, e.epoch)
}

// committer is the row of commits that make up one ownership.
type committer struct {
	store       mothferry.RowStore
	clock       mothferry.Clock
	head        mfrecord.Head
	version     mothferry.Version
	commitCount int
	// session tells the tokens of two lives of one daemon apart.
	session uint64
	// lastLatency is how long the send took whose answer settled the last commit. The time
	// that a store was out is not in it: the next commit would be patient that long.
	lastLatency time.Duration
	// abandoned is the commit whose outcome was not waited for to the end; it may be stored.
	abandoned mothferry.Token
}

// write rewrites the head row together with other rows of the shard. It goes
// on until the outcome is known: while no answer comes the same transaction is
// sent again, and as it checks the head's version at most one of the sends can
// take effect. It fails with errLost once another host has the shard.
func (c *committer) write(ctx context.Context, head mfrecord.Head, rows []mothferry.Write) error {
	c.commitCount++
	head.Token = mothferry.Token(fmt.Sprintf("%s/%x/%d", head.Holder, c.session, c.commitCount))
	for {
		err := c.writeOnce(ctx, head, rows)
		var superseded *errAbandonedCommitStored
		if !errors.As(err, &superseded) {
			return err
		}
		c.version, c.abandoned = superseded.version, ""
	}
}

// errAbandonedCommitStored reports that the commit whose outcome was not waited for has
// taken effect, so that the head has another version than the one checked.
type errAbandonedCommitStored struct{ version mothferry.Version }

// Error implements error.
func (e *errAbandonedCommitStored) Error() string {
	return fmt.Sprintf("an earlier commit of this owner is stored as version %d", e.version)
}

func (c *committer) writeOnce(ctx context.Context, head mfrecord.Head, rows []mothferry.Write) error {
	value, err := head.Encode()
	if err != nil {
		return err
	}
	txn := mothferry.Txn{
		Checks: []mothferry.Check{{Table: mfrecord.TableOwner, Part: mfrecord.PartShard, Key: mfrecord.KeyHead, Version: c.version}},
		Writes: append([]mothferry.Write{{Table: mfrecord.TableOwner, Part: mfrecord.PartShard, Key: mfrecord.KeyHead, Value: value}}, rows...),
	}
	version, err := c.send(ctx, txn)
	var conflict *mothferry.ErrConflict
	switch {
	case err == nil:
		c.head, c.version, c.abandoned = head, version, ""
		return nil
	case errors.As(err, &conflict):
		return c.resolveConflict(conflict, head)
	default:
		c.abandoned = head.Token
		return err
	}
}

// sendResult is the outcome of one send of a commit.
type sendResult struct {
	version mothferry.Version
	err     error
	took    time.Duration
}

// conclusive reports whether the outcome of the commit is known by it.
func (s sendResult) conclusive() bool {
	var conflict *mothferry.ErrConflict
	return s.err == nil || errors.As(s.err, &conflict)
}

// send sends a commit until its outcome is known, and once more while an answer is
// overdue. One whose answer is lost, or whose connection went silent, would
// otherwise hold all others up for the time-out of a call, longer than ownerLease:
// the head does not change meanwhile, and another host takes over from a sound
// owner. Earlier sends are still waited for, as the store may only be slow.
func (c *committer) send(ctx context.Context, txn mothferry.Txn) (mothferry.Version, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan sendResult, maxInFlightSends)
	begin := func() {
		go func() {
			began := c.clock.Now()
			version, err := c.store.Commit(ctx, txn)
			results <- sendResult{version, err, c.clock.Now().Sub(began)}
		}()
	}
	begin()
	waiting, sends, pause := 1, 1, minRetryDelay
	overdue := time.NewTimer(c.resendAfter(sends))
	defer overdue.Stop()
	for {
		select {
		case r := <-results:
			if r.conclusive() {
				c.lastLatency = r.took
				return r.version, r.err
			}
			if waiting--; waiting > 0 {
				continue
			}
			select {
			case <-ctx.Done():
			case <-c.clock.After(pause):
			}
			pause = min(2*pause, maxRetryDelay)
		case <-overdue.C:
			if waiting == maxInFlightSends {
				overdue.Reset(c.resendAfter(sends))
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
		overdue.Reset(c.resendAfter(sends))
	}
}

// maxInFlightSends bounds how many sends of a commit wait for their answer: with one each
// longestPatience, as many as there are until the first one's call times out.
const maxInFlightSends = 4

// minFirstResendDelay is after how long the answer to a commit is overdue if the store
// is well: it takes 5 to 10 ms then.
const minFirstResendDelay = 350 * time.Millisecond

// minResendDelay bounds how long a store that was out is back before it is sent a
// commit, unless commits took long before. A call that was sent into an outage is
// given up only after 1.6 s, and what waits for the commit waits as long.
const minResendDelay = 500 * time.Millisecond

// resendAfter is after how long the answer to a send is overdue: longer where the last
// commit took long, and longer after the first send.
func (c *committer) resendAfter(sends int) time.Duration {
	if sends <= 1 {
		return max(minFirstResendDelay, resendLatencyFactor*c.lastLatency)
	}
	return max(minResendDelay, resendLatencyFactor*c.lastLatency)
}

// resendLatencyFactor times what the last commit took is no reason for doubt yet.
const resendLatencyFactor = 3

// Pauses between sends of a commit that has no answer.
const (
	minRetryDelay = 30 * time.Millisecond
	maxRetryDelay = 250 * time.Millisecond
)

// resolveConflict tells an earlier send of the same commit from a takeover.
func (c *committer) resolveConflict(conflict *mothferry.ErrConflict, head mfrecord.Head) error {
	for _, row := range conflict.Rows {
		if row.Key != mfrecord.KeyHead || row.Version == 0 {
			continue
		}
		stored, err := mfrecord.DecodeHead(row.Value)
		if err != nil {
			return err
		}
		switch stored.Token {
		case head.Token:
			c.head, c.version, c.abandoned = head, row.Version, ""
			return nil
		case c.abandoned:
			return &errAbandonedCommitStored{version: row.Version}
		}
		return &errOwnershipLost{holder: stored.Holder, epoch: stored.Epoch}
	}
	return &errOwnershipLost{}
}
