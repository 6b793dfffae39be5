package mfowner

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfclock"
	"mothferry/mfjob"
	"mothferry/mfrecord"
	"mothferry/mfsched"
)

// The submission of a finished job must reach the scheduler: its runs may still occupy
// capacity.
func TestFinishedJobKeepsItsSubmission(t *testing.T) {
	loaded := make(chan struct{})
	close(loaded)
	s := &session{
		owner: &Owner{Clock: mfclock.System{}}, events: make(chan queuedEvent, 1), progressLoaded: loaded, ctx: context.Background(),
		progress: map[mothferry.JobID]*mfjob.Progress{"j": {State: mfjob.StateCancelled}},
	}
	value, err := mfjob.EncodeSubmission(mfjob.Submission{Queue: "q", Service: "s", Account: "a", Steps: []mfjob.Step{{Count: 2}}})
	assert.NilError(t, err)
	s.applyInbox([]mothferry.Row{{Key: mfrecord.JobKey("j"), Value: value}}, false)
	finished, ok := (<-s.events).Event.(mfsched.JobFinished)
	assert.Assert(t, ok)
	assert.Equal(t, finished.Submission.Account, mothferry.AccountID("a"))
	assert.Equal(t, finished.Submission.Steps[0].Count, 2)
}

// The end of a job must reach the scheduler even if its submission can't be decoded.
func TestFinishedJobWithUnreadableSubmission(t *testing.T) {
	loaded := make(chan struct{})
	close(loaded)
	s := &session{
		owner: &Owner{Clock: mfclock.System{}}, events: make(chan queuedEvent, 1), progressLoaded: loaded, ctx: context.Background(),
		progress: map[mothferry.JobID]*mfjob.Progress{"j": {State: mfjob.StateCancelled}},
	}
	s.applyInbox([]mothferry.Row{{Key: mfrecord.JobKey("j"), Value: []byte("{")}}, false)
	finished, ok := (<-s.events).Event.(mfsched.JobFinished)
	assert.Assert(t, ok)
	assert.Equal(t, finished.Job, mothferry.JobID("j"))
}
