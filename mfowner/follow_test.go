package mfowner

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfrecord"
	"mothferry/mfsched"
)

// What was handed in for a job that is over must reach the scheduler: runs of it may still take room.
func TestFinishedJobKeepsItsSubmission(t *testing.T) {
	restored := make(chan struct{})
	close(restored)
	s := &session{
		events: make(chan mfsched.Event, 1), progressLoaded: restored, ctx: context.Background(),
		progress: map[mothferry.JobID]*mfjob.Progress{"j": {State: mfjob.StateCancelled}},
	}
	value, err := mfjob.EncodeSubmission(mfjob.Submission{Queue: "q", Service: "s", Account: "a", Steps: []mfjob.Step{{Count: 2}}})
	assert.NilError(t, err)
	s.applyInbox([]mothferry.Row{{Key: mfrecord.JobKey("j"), Value: value}}, false)
	over, is := (<-s.events).(mfsched.JobFinished)
	assert.Assert(t, is)
	assert.Equal(t, over.Submission.Account, mothferry.AccountID("a"))
	assert.Equal(t, over.Submission.Steps[0].Count, 2)
}

// The end of a job is passed on even if what was handed in for it can't be read.
func TestFinishedJobWithUnreadableSubmission(t *testing.T) {
	restored := make(chan struct{})
	close(restored)
	s := &session{
		events: make(chan mfsched.Event, 1), progressLoaded: restored, ctx: context.Background(),
		progress: map[mothferry.JobID]*mfjob.Progress{"j": {State: mfjob.StateCancelled}},
	}
	s.applyInbox([]mothferry.Row{{Key: mfrecord.JobKey("j"), Value: []byte("{")}}, false)
	over, is := (<-s.events).(mfsched.JobFinished)
	assert.Assert(t, is)
	assert.Equal(t, over.Job, mothferry.JobID("j"))
}
