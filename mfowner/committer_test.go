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

// testingT is what both testing.T and rapid.T offer.
type testingT interface {
	assert.TestingT
}

// Symptom guarded against: progress goes back after a commit whose answer was
// lost, since the store carries it out seconds later.
// Events: commits are declined, unanswered, lost or late, in any order.
// What holds: each commit that the chain reports as stored is stored, no older
// one undoes it, and the next one finds the head that it expects.
func TestCommitsAreSerialized(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		faults := rapid.SliceOfN(rapid.IntRange(int(mfstandin.CommitWell), int(mfstandin.CommitLate)), 0, 12).Draw(t, "faults")
		rows := &mfstandin.Rows{Before: func(mothferry.Txn) mfstandin.CommitFault {
			if len(faults) == 0 {
				return mfstandin.CommitWell
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
				rows.Settle()
				assert.Equal(t, storedValue(t, rows), i)
			}
		}
	})
}

// Symptom guarded against: a former owner that was frozen or cut off changes
// progress after its successor has taken over.
func TestFormerOwnerCannotCommit(t *testing.T) {
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

// unansweredStore carries the first commits out and does not answer them.
type unansweredStore struct {
	*mfstandin.Rows
	unanswered atomic.Int32
}

// Commit implements mothferry.RowStore.
func (m *unansweredStore) Commit(ctx context.Context, txn mothferry.Txn) (mothferry.Version, error) {
	version, err := m.Rows.Commit(ctx, txn)
	if m.unanswered.Add(-1) < 0 {
		return version, err
	}
	<-ctx.Done()
	return 0, &mothferry.ErrUnavailable{Operation: "commit", Err: ctx.Err()}
}

// Symptom: an owner that was well lost its shard whenever one answer of the store
// was lost.
// Events: a commit is stored and its answer lost; the owner waits 1.6 s for it, the
// time-out of a call; the head does not change meanwhile, and before that another
// host takes over.
// Cause: the commit was sent again only after the time-out of the call, though
// sending it again early can do no harm.
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

// unavailableStore answers nothing until it is back; each call times out after a while.
type unavailableStore struct {
	*mfstandin.Rows
	availableFrom time.Time
	timeout       time.Duration
	inFlight      atomic.Int32
	maxInFlight   atomic.Int32
}

// Commit implements mothferry.RowStore.
func (a *unavailableStore) Commit(ctx context.Context, txn mothferry.Txn) (mothferry.Version, error) {
	a.maxInFlight.Store(max(a.maxInFlight.Load(), a.inFlight.Add(1)))
	defer a.inFlight.Add(-1)
	if !time.Now().Before(a.availableFrom) {
		return a.Rows.Commit(ctx, txn)
	}
	select {
	case <-ctx.Done():
	case <-time.After(a.timeout):
	}
	return 0, &mothferry.ErrUnavailable{Operation: "commit", Err: context.DeadlineExceeded}
}

// Symptom: after an outage of the store nothing was started or moved for a second
// more, at the height of a turn, and the leases of what ran lapsed meanwhile.
// Events: the store falls silent; sends of the owner's commit wait for their
// time-outs; the store comes back, and no send is made until the last one of them
// has ended.
// Cause: the pause between sends doubled without a bound, and once the most were
// under way no end of one of them brought a new one.
func TestCommitIsStoredSoonAfterOutage(t *testing.T) {
	const outage = 1200 * time.Millisecond
	began := time.Now()
	store := &unavailableStore{Rows: &mfstandin.Rows{}, availableFrom: began.Add(outage), timeout: 1600 * time.Millisecond}
	c := &committer{store: store, clock: mfclock.System{}}
	assert.NilError(t, c.write(context.Background(), mfrecord.Head{Holder: "h", Epoch: 1}, progressRow(1)))
	late := time.Since(began) - outage
	assert.Assert(t, late < minResendDelay+200*time.Millisecond, "%v", late)
	assert.Assert(t, store.maxInFlight.Load() <= maxInFlightSends, "%d", store.maxInFlight.Load())
}

// Symptom: after an outage of the store one lost answer cost the shard.
// Events: a commit is stored three seconds after its first send, as the store was
// out; the answer to the next one is lost, and the owner is patient for nine seconds.
// Cause: the outage counted as the time that a commit takes.
func TestOutageDoesNotDelayResend(t *testing.T) {
	store := &unavailableStore{Rows: &mfstandin.Rows{}, availableFrom: time.Now().Add(500 * time.Millisecond), timeout: time.Second}
	c := &committer{store: store, clock: mfclock.System{}}
	assert.NilError(t, c.write(context.Background(), mfrecord.Head{Holder: "h", Epoch: 1}, progressRow(1)))
	assert.Equal(t, c.resendAfter(1), minFirstResendDelay)
}

// A store that is slow is not sent the same commit over and over: the wait for an
// answer is longer after the first send, and grows with what the last commit took.
// (How many sends wait at a time is bounded, which the test of an outage checks.)
func TestResendDelayGrowsOnSlowStore(t *testing.T) {
	c := &committer{lastLatency: 400 * time.Millisecond}
	assert.Equal(t, c.resendAfter(1), 1200*time.Millisecond)
	assert.Equal(t, c.resendAfter(3), 1200*time.Millisecond)
	c.lastLatency = 5 * time.Millisecond
	assert.Equal(t, c.resendAfter(1), minFirstResendDelay)
	assert.Equal(t, c.resendAfter(3), minResendDelay)
}
