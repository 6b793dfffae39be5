package mfintake_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfclock"
	"mothferry/mfintake"
	"mothferry/mfjob"
	"mothferry/mflog"
	"mothferry/mfstandin"
)

const id mothferry.JobID = "5c0e7a21d94b36f8"

func newIntake(rows *mfstandin.Rows) *mfintake.Intake {
	return &mfintake.Intake{Store: rows, Clock: mfclock.System{}, Random: mfclock.SystemRandom{}, Log: mflog.Discard()}
}

func submission() mfjob.Submission {
	return mfjob.Submission{Queue: "q", Service: "s", Steps: []mfjob.Step{{Count: 1}}}
}

func fault(f mfstandin.CommitFault) func(mothferry.Txn) mfstandin.CommitFault {
	return func(mothferry.Txn) mfstandin.CommitFault { return f }
}

// TestAcceptIsIdempotent checks that a job submitted at two hosts remains one job, whose state
// each of them returns.
func TestAcceptIsIdempotent(t *testing.T) {
	rows := &mfstandin.Rows{}
	ctx := context.Background()
	for _, i := range []*mfintake.Intake{newIntake(rows), newIntake(rows)} {
		assert.Equal(t, i.Accept(ctx, id, submission()), mfintake.OutcomeDone)
		state, outcome := i.State(ctx, id, "")
		assert.Equal(t, outcome, mfintake.OutcomeDone)
		assert.Equal(t, state, mfjob.StateQueued)
	}
	_, outcome := newIntake(rows).State(ctx, "0000000000000000", "")
	assert.Equal(t, outcome, mfintake.OutcomeNoJob)
}

// TestRefusedJobNeverRuns guards against a refusal, which says that the job never runs, of a
// job that runs: the answer to the write is lost, the caller submits the job again, the store
// rejects that write, and the first one is applied later.
func TestRefusedJobNeverRuns(t *testing.T) {
	rows := &mfstandin.Rows{}
	i := newIntake(rows)
	ctx := context.Background()
	rows.Before = fault(mfstandin.CommitDeclined)
	assert.Equal(t, i.Accept(ctx, "0000000000000001", submission()), mfintake.OutcomeNotRun)
	rows.Before = fault(mfstandin.CommitLate)
	assert.Equal(t, i.Accept(ctx, id, submission()), mfintake.OutcomeUnknown)
	rows.Before = fault(mfstandin.CommitDeclined)
	assert.Equal(t, i.Accept(ctx, id, submission()), mfintake.OutcomeUnknown, "the first write may still be applied")
	rows.Before = nil
	rows.ApplyLate()
	state, outcome := i.State(ctx, id, "")
	assert.Equal(t, outcome, mfintake.OutcomeDone)
	assert.Equal(t, state, mfjob.StateQueued)
}

// TestCancelOfUnknownJob checks that the cancellation of a job that does not exist is answered so and
// holds for a later submission, and that others are accepted and can be cancelled.
func TestCancelOfUnknownJob(t *testing.T) {
	const other mothferry.JobID = "0000000000000002"
	rows := &mfstandin.Rows{}
	i := newIntake(rows)
	ctx := context.Background()
	assert.Equal(t, i.Cancel(ctx, id, ""), mfintake.OutcomeNoJob)
	assert.Equal(t, i.Accept(ctx, id, submission()), mfintake.OutcomeNotRun)
	assert.Equal(t, i.Cancel(ctx, id, ""), mfintake.OutcomeNoJob)
	assert.Equal(t, i.Accept(ctx, other, submission()), mfintake.OutcomeDone)
	assert.Equal(t, i.Cancel(ctx, other, ""), mfintake.OutcomeDone)
}

// TestRejectedSubmissionIsRefused guards against a caller that is told to ask again for ever: a
// submission that the store rejects is not accepted.
func TestRejectedSubmissionIsRefused(t *testing.T) {
	rows := &mfstandin.Rows{Before: fault(mfstandin.CommitRejected)}
	assert.Equal(t, newIntake(rows).Accept(context.Background(), id, submission()), mfintake.OutcomeNotRun)
}
