package mfowner

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mothferry"
	"mothferry/mfclock"
	"mothferry/mfrecord"
	"mothferry/mfstandin"
)

// instantClock is a clock whose waits end at once.
type instantClock struct{}

func (instantClock) Now() time.Time { return testStart }

func (instantClock) After(time.Duration) <-chan time.Time {
	c := make(chan time.Time, 1)
	c <- testStart
	return c
}

func progressRow(value byte) []mothferry.Write {
	return []mothferry.Write{{Table: mfrecord.TableProgress, Part: mfrecord.PartShard, Key: "j", Value: []byte{value}}}
}

func storedValue(t testingT, rows *mfstandin.Rows) byte {
	page, err := rows.Range(context.Background(), mothferry.RowRange{Table: mfrecord.TableProgress, Part: mfrecord.PartShard})
	assert.NilError(t, err)
	if len(page.Rows) == 0 {
		return 0
	}
	return page.Rows[0].Value[0]
}

// testingT is the common part of testing.T and rapid.T.
type testingT interface {
	assert.TestingT
}

// Guards against progress that is reverted by a commit whose answer was lost and that the
// store executes seconds later. Commits are rejected, unanswered, lost or delayed in any
// order. Each commit reported as stored must be stored, no older one may undo it, and the next
// one must find the head that it expects.
func TestCommitsAreSerialized(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		faults := rapid.SliceOfN(rapid.IntRange(int(mfstandin.CommitOK), int(mfstandin.CommitLate)), 0, 12).Draw(t, "faults")
		rows := &mfstandin.Rows{Before: func(mothferry.Txn) mfstandin.CommitFault {
			if len(faults) == 0 {
				return mfstandin.CommitOK
			}
			f := mfstandin.CommitFault(faults[0])
			faults = faults[1:]
			return f
		}}
		c := &committer{store: rows, clock: instantClock{}}
		for i := byte(1); i <= 6; i++ {
			assert.NilError(t, c.write(context.Background(), mfrecord.Head{Holder: "h-1", Epoch: 1}, progressRow(i)))
			assert.Equal(t, storedValue(t, rows), i)
			if rapid.Bool().Draw(t, "settle") {
				rows.ApplyLate()
				assert.Equal(t, storedValue(t, rows), i)
			}
		}
	})
}

// Guards against a previous owner that was paused or partitioned and changes progress after
// the takeover.
func TestPreviousOwnerCannotCommit(t *testing.T) {
	rows := &mfstandin.Rows{}
	old := &committer{store: rows, clock: instantClock{}, session: 1}
	assert.NilError(t, old.write(context.Background(), mfrecord.Head{Holder: "h-1", Epoch: 1}, progressRow(1)))
	next := &committer{store: rows, clock: instantClock{}, version: old.version, session: 2}
	assert.NilError(t, next.write(context.Background(), mfrecord.Head{Holder: "h-2", Epoch: 2}, progressRow(2)))
	err := old.write(context.Background(), mfrecord.Head{Holder: "h-1", Epoch: 1}, progressRow(3))
	var lost *errOwnershipLost
	assert.Assert(t, errors.As(err, &lost), "%v", err)
	assert.Equal(t, lost.holder, mothferry.DaemonID("h-2"))
	assert.Equal(t, storedValue(t, rows), byte(2))
}

// unansweredStore executes the first commits without answering them.
type unansweredStore struct {
	*mfstandin.Rows
	unanswered atomic.Int32
}

// Commit implements mothferry.RowStore.
func (u *unansweredStore) Commit(ctx context.Context, txn mothferry.Txn) (mothferry.Version, error) {
	version, err := u.Rows.Commit(ctx, txn)
	if u.unanswered.Add(-1) < 0 {
		return version, err
	}
	<-ctx.Done()
	return 0, &mothferry.ErrUnavailable{Operation: "commit", Err: ctx.Err()}
}

// Guards against the loss of the shard by a healthy owner because of one lost answer. If the
// commit is resent only after the timeout of the call, 1.6 s, the head does not change
// meanwhile and another host takes over. An early resend is safe.
func TestLostAnswerIsResentWithinLease(t *testing.T) {
	store := &unansweredStore{Rows: &mfstandin.Rows{}}
	store.unanswered.Store(1)
	c := &committer{store: store, clock: instantClock{}}
	began := time.Now()
	assert.NilError(t, c.write(context.Background(), mfrecord.Head{Holder: "h", Epoch: 1}, progressRow(1)))
	assert.Assert(t, time.Since(began) < defaultLease/2, "%v", time.Since(began))
	assert.Equal(t, storedValue(t, store.Rows), byte(1))
	assert.NilError(t, c.write(context.Background(), mfrecord.Head{Holder: "h", Epoch: 1}, progressRow(2)))
	assert.Equal(t, storedValue(t, store.Rows), byte(2))
}

// unavailableStore answers nothing until availableFrom; each call times out.
type unavailableStore struct {
	*mfstandin.Rows
	availableFrom time.Time
	timeout       time.Duration
	inFlight      atomic.Int32
	maxInFlight   atomic.Int32
}

// Commit implements mothferry.RowStore.
func (u *unavailableStore) Commit(ctx context.Context, txn mothferry.Txn) (mothferry.Version, error) {
	u.maxInFlight.Store(max(u.maxInFlight.Load(), u.inFlight.Add(1)))
	defer u.inFlight.Add(-1)
	if !time.Now().Before(u.availableFrom) {
		return u.Rows.Commit(ctx, txn)
	}
	select {
	case <-ctx.Done():
	case <-time.After(u.timeout):
	}
	return 0, &mothferry.ErrUnavailable{Operation: "commit", Err: context.DeadlineExceeded}
}

// Guards against a delay of a second after a store outage, during which nothing is started or
// moved and leases expire. It came about because the delay between sends doubled without
// bound, and because with the maximum number of sends in flight no further one was made until
// the last of them had timed out.
func TestCommitIsStoredSoonAfterOutage(t *testing.T) {
	const outage = 1200 * time.Millisecond
	began := time.Now()
	store := &unavailableStore{Rows: &mfstandin.Rows{}, availableFrom: began.Add(outage), timeout: 1600 * time.Millisecond}
	c := &committer{store: store, clock: mfclock.System{}}
	assert.NilError(t, c.write(context.Background(), mfrecord.Head{Holder: "h", Epoch: 1}, progressRow(1)))
	delay := time.Since(began) - outage
	assert.Assert(t, delay < minResendDelay+200*time.Millisecond, "%v", delay)
	assert.Assert(t, store.maxInFlight.Load() <= maxInFlightSends, "%d", store.maxInFlight.Load())
}

// Guards against an outage that counts as commit latency. A commit stored three seconds after
// its first send made the owner wait nine seconds for the next answer, so that one lost answer
// after the outage cost it the shard.
func TestOutageDoesNotDelayResend(t *testing.T) {
	store := &unavailableStore{Rows: &mfstandin.Rows{}, availableFrom: time.Now().Add(500 * time.Millisecond), timeout: time.Second}
	c := &committer{store: store, clock: mfclock.System{}}
	assert.NilError(t, c.write(context.Background(), mfrecord.Head{Holder: "h", Epoch: 1}, progressRow(1)))
	assert.Equal(t, c.resendAfter(1), minFirstResendDelay)
}

// A slow store must not get the same commit over and over: the resend delay is longer after
// the first send, and grows with the latency of the last commit.
// TestCommitIsStoredSoonAfterOutage checks the bound on sends in flight.
func TestResendDelayGrowsOnSlowStore(t *testing.T) {
	c := &committer{lastLatency: 400 * time.Millisecond}
	assert.Equal(t, c.resendAfter(1), 1200*time.Millisecond)
	assert.Equal(t, c.resendAfter(3), 1200*time.Millisecond)
	c.lastLatency = 5 * time.Millisecond
	assert.Equal(t, c.resendAfter(1), minFirstResendDelay)
	assert.Equal(t, c.resendAfter(3), minResendDelay)
}
