package mfintake_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mffake"
	"mothferry/mfintake"
	"mothferry/mfjob"
	"mothferry/mfrecord"
	"mothferry/mfstandin"
)

// Guards against a job that runs on after its cancellation was acknowledged: the write of its
// submission got no answer and is applied after the cancellation, which any host may have taken.
func TestAcknowledgedCancelHoldsForLateWrites(t *testing.T) {
	for _, sameHost := range []bool{true, false} {
		t.Run(fmt.Sprintf("same host %v", sameHost), func(t *testing.T) {
			rows := &mfstandin.Rows{}
			ctx := context.Background()
			first, second := newIntake(rows), newIntake(rows)
			if sameHost {
				second = first
			}
			rows.SetBefore(fault(mfstandin.CommitLate))
			assert.Equal(t, first.Accept(ctx, id, submission()), mfintake.OutcomeUnknown)
			rows.SetBefore(nil)
			assert.Equal(t, second.Cancel(ctx, id, ""), mfintake.OutcomeNoJob)
			rows.ApplyLate()
			for _, i := range []*mfintake.Intake{first, second} {
				_, outcome := i.State(ctx, id, "")
				assert.Equal(t, outcome, mfintake.OutcomeNoJob)
				assert.Equal(t, i.Accept(ctx, id, submission()), mfintake.OutcomeNotRun, "a second attempt to hand it in")
			}
		})
	}
}

// Guards against an acknowledgement of a cancellation that is not stored.
func TestCancelOfUnknownJobIsAcknowledgedOnceStored(t *testing.T) {
	ctx := context.Background()
	for f, want := range map[mfstandin.CommitFault]mfintake.Outcome{
		mfstandin.CommitDeclined: mfintake.OutcomeNotRun, mfstandin.CommitLost: mfintake.OutcomeUnknown, mfstandin.CommitUnanswered: mfintake.OutcomeUnknown,
	} {
		rows := &mfstandin.Rows{Before: fault(f)}
		assert.Equal(t, newIntake(rows).Cancel(ctx, id, ""), want)
	}
}

// Guards against an account that cancels another's job before it is handed in.
func TestEarlyCancelHoldsForItsOwnAccountOnly(t *testing.T) {
	i := newIntake(&mfstandin.Rows{})
	ctx := context.Background()
	mine := submission()
	mine.Account = "label/1 "
	assert.Equal(t, i.Cancel(ctx, id, "label/2"), mfintake.OutcomeNoJob)
	assert.Equal(t, i.Accept(ctx, id, mine), mfintake.OutcomeDone)
	assert.Equal(t, i.Cancel(ctx, id, "label/2"), mfintake.OutcomeNoJob)
	state, outcome := i.State(ctx, id, mine.Account)
	assert.Equal(t, outcome, mfintake.OutcomeDone)
	assert.Equal(t, state, mfjob.StateQueued)
}

// appearing is a store in which a job is stored just before its early cancellation would be.
type appearing struct {
	*mfstandin.Rows
	appear func()
}

// Commit implements mothferry.RowStore.
func (a *appearing) Commit(ctx context.Context, txn mothferry.Txn) (mothferry.Version, error) {
	if _, _, early := mfrecord.EarlyCancelOf(txn.Writes[0].Key); early {
		a.appear()
	}
	return a.Rows.Commit(ctx, txn)
}

// Guards against a cancellation that is lost if the job is stored while it is looked up.
func TestJobThatAppearsDuringItsCancellationIsCancelled(t *testing.T) {
	rows := &mfstandin.Rows{}
	ctx := context.Background()
	i := newIntake(rows)
	i.Store = &appearing{Rows: rows, appear: func() {
		assert.Equal(t, newIntake(rows).Accept(ctx, id, submission()), mfintake.OutcomeDone)
	}}
	assert.Equal(t, i.Cancel(ctx, id, ""), mfintake.OutcomeDone)
	page, err := rows.Range(ctx, mothferry.RowRange{Table: mfrecord.TableInbox, Part: mfrecord.InboxPart(id)})
	assert.NilError(t, err)
	assert.Equal(t, len(page.Rows), 2)
	assert.Equal(t, page.Rows[0].Key, mfrecord.CancelKey(id))
}

// Guards against a flood of cancellations of jobs that never existed, which would use up the store's
// writes; those of jobs of which this host's own write may still be applied are not held back by it.
func TestEarlyCancelsAreLimited(t *testing.T) {
	writes := 0
	rows := &mfstandin.Rows{}
	rows.SetBefore(func(mothferry.Txn) mfstandin.CommitFault {
		writes++
		return mfstandin.CommitOK
	})
	ctx := context.Background()
	clock := mffake.NewClock()
	i := newIntake(rows)
	i.Clock = clock
	for n := range 10_000 {
		outcome := i.Cancel(ctx, mothferry.JobID(fmt.Sprintf("%016x", n)), "")
		assert.Assert(t, outcome == mfintake.OutcomeNoJob || outcome == mfintake.OutcomeNotRun)
		clock.Advance(time.Millisecond)
	}
	assert.Assert(t, writes >= 20 && writes <= 20+10*4+1, "%d writes", writes)
	rows.SetBefore(fault(mfstandin.CommitLate))
	assert.Equal(t, i.Accept(ctx, id, submission()), mfintake.OutcomeUnknown)
	rows.SetBefore(nil)
	assert.Equal(t, i.Cancel(ctx, id, ""), mfintake.OutcomeNoJob)
}
