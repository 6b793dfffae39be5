package mfowner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"mothferry"
	"mothferry/mfrecord"
)

// errOwnershipLost reports that another host owns the shard.
type errOwnershipLost struct {
	holder mothferry.DaemonID
	epoch  mothferry.Epoch
}

// Error implements error.
func (e *errOwnershipLost) Error() string {
	return fmt.Sprintf("the shard is owned by %q in epoch %d", e.holder, e.epoch)
}

// committer writes the sequence of commits of one ownership.
type committer struct {
	store       mothferry.RowStore
	clock       mothferry.Clock
	head        mfrecord.Head
	version     mothferry.Version
	commitCount int
	// session distinguishes the tokens of two incarnations of the same daemon.
	session uint64
	// lastLatency is how long the send took whose answer settled the last commit. Earlier
	// sends are left out: a store outage would otherwise delay the resends of the next commit.
	lastLatency time.Duration
	// abandoned is the token of the commit whose outcome was not awaited; it may be stored.
	abandoned mothferry.Token
}

// write rewrites the head row together with other rows of the shard. It returns once the
// outcome is known: while there is no answer it resends the same transaction. The transaction
// checks the head's version, so at most one of the sends takes effect. It fails with
// errOwnershipLost once another host owns the shard.
func (c *committer) write(ctx context.Context, head mfrecord.Head, rows []mothferry.Write) error {
	c.commitCount++
	head.Token = mothferry.Token(fmt.Sprintf("%s/%x/%d", head.Holder, c.session, c.commitCount))
	for {
		err := c.writeOnce(ctx, head, rows)
		var stored *errAbandonedCommitStored
		if !errors.As(err, &stored) {
			return err
		}
		c.version, c.abandoned = stored.version, ""
	}
}

// errAbandonedCommitStored reports that the abandoned commit has taken effect, so that the
// head has another version than the one checked.
type errAbandonedCommitStored struct{ version mothferry.Version }

// Error implements error.
func (e *errAbandonedCommitStored) Error() string {
	return fmt.Sprintf("an abandoned commit of this owner is stored as version %d", e.version)
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

// conclusive reports whether the result settles the outcome of the commit.
func (s sendResult) conclusive() bool {
	var conflict *mothferry.ErrConflict
	var rejected *mothferry.ErrRejected
	return s.err == nil || errors.As(s.err, &conflict) || errors.As(s.err, &rejected)
}

// send sends a commit until its outcome is known, and again whenever an answer is overdue.
// Otherwise a commit whose answer is lost, or whose connection hangs, would block all later
// ones for the timeout of a call, which is longer than defaultLease: the head would not change
// meanwhile, and another host would take over from a healthy owner. Answers to earlier sends
// still count, as the store may just be slow.
func (c *committer) send(ctx context.Context, txn mothferry.Txn) (mothferry.Version, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan sendResult, maxInFlightSends)
	startSend := func() {
		go func() {
			began := c.clock.Now()
			version, err := c.store.Commit(ctx, txn)
			results <- sendResult{version, err, c.clock.Now().Sub(began)}
		}()
	}
	startSend()
	inFlight, sends, delay := 1, 1, minRetryDelay
	overdue := time.NewTimer(c.resendAfter(sends))
	defer overdue.Stop()
	for {
		select {
		case r := <-results:
			if r.conclusive() {
				c.lastLatency = r.took
				return r.version, r.err
			}
			if inFlight--; inFlight > 0 {
				continue
			}
			select {
			case <-ctx.Done():
			case <-c.clock.After(delay):
			}
			delay = min(2*delay, maxRetryDelay)
		case <-overdue.C:
			if inFlight == maxInFlightSends {
				overdue.Reset(c.resendAfter(sends))
				continue
			}
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			return 0, ctx.Err()
		}
		startSend()
		inFlight++
		sends++
		overdue.Reset(c.resendAfter(sends))
	}
}

// maxInFlightSends bounds the sends of a commit that wait for an answer. At one send per
// minResendDelay that is the number of sends until the call of the first one times out.
const maxInFlightSends = 4

// minFirstResendDelay is the minimum delay before a commit without an answer is first resent.
// A healthy store takes 5 to 10 ms.
const minFirstResendDelay = 350 * time.Millisecond

// minResendDelay is the minimum delay of further resends. Unless earlier commits took long, it
// also bounds the time from the end of a store outage to the next send: a call sent during the
// outage times out only after 1.6 s, and what depends on the commit would wait as long.
const minResendDelay = 500 * time.Millisecond

// resendAfter returns how long to wait for the answer to the latest send: longer if the last
// commit took long, and longer after the first send.
func (c *committer) resendAfter(sends int) time.Duration {
	if sends <= 1 {
		return max(minFirstResendDelay, resendLatencyFactor*c.lastLatency)
	}
	return max(minResendDelay, resendLatencyFactor*c.lastLatency)
}

// resendLatencyFactor times the latency of the last commit is the time that an answer may take
// before it counts as overdue.
const resendLatencyFactor = 3

// Delays between sends of a commit that failed without a known outcome.
const (
	minRetryDelay = 30 * time.Millisecond
	maxRetryDelay = 250 * time.Millisecond
)

// resolveConflict distinguishes an earlier send of the same commit from a takeover.
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
