package mfowner

import (
	"context"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfclock"
	"mothferry/mfjob"
	"mothferry/mfjournal"
	"mothferry/mfrecord"
	"mothferry/mfsched"
	"mothferry/mfstandin"
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

// Guards against a job that is taken for partly done though it is new: what a previous owner stored of
// an earlier job with the id is deleted by now.
func TestJobHandedInAgainAfterDeletionIsNew(t *testing.T) {
	loaded := make(chan struct{})
	close(loaded)
	lines := log.NewEntry(&log.Logger{Handler: memory.New(), Level: log.InfoLevel})
	s := &session{
		owner: &Owner{Clock: mfclock.System{}, Log: lines}, events: make(chan queuedEvent, 3), progressLoaded: loaded, jobsLoaded: make(chan struct{}), ctx: context.Background(),
		progress: map[mothferry.JobID]*mfjob.Progress{"j": {State: mfjob.StateRunning}},
	}
	value, err := mfjob.EncodeSubmission(mfjob.Submission{Queue: "q", Service: "s", Steps: []mfjob.Step{{Count: 2}}})
	assert.NilError(t, err)
	rows := []mothferry.Row{{Key: mfrecord.JobKey("j"), Value: value}}
	s.applyInbox(rows, true)
	found, ok := (<-s.events).Event.(mfsched.JobFound)
	assert.Assert(t, ok)
	assert.Assert(t, found.Progress != nil, "the progress that a previous owner stored is used")
	assert.Equal(t, (<-s.events).Event, mfsched.JobsLoaded{})
	s.applyInbox(rows, false)
	found, ok = (<-s.events).Event.(mfsched.JobFound)
	assert.Assert(t, ok)
	assert.Assert(t, found.Progress == nil, "%+v", found.Progress)
}

// Guards against a task that is started again by the next owner while it runs: its job was handed in
// again after it had been deleted, and the delete of its former progress, which waits for a commit with
// room, removes the progress of the new one.
func TestDeleteOfFormerProgressSparesNewJob(t *testing.T) {
	rows := &mfstandin.Rows{}
	o, _ := newTestOwner("h-1", rows)
	c := &committer{store: rows, clock: o.Clock}
	assert.NilError(t, c.write(context.Background(), mfrecord.Head{Holder: "h-1", Epoch: 1, Cores: 800}, nil))
	s := &session{
		owner: o, committer: c, state: mfsched.New(o.Limits, 1, o.Clock.Now(), o.Clock.Now()), machines: newMachineControl(nil), journal: &mfjournal.Journal{},
		commitResult: make(chan error, 1), commits: context.Background(), progressToDelete: []mothferry.JobID{"j", "other"},
	}
	running := mfjob.Progress{State: mfjob.StateRunning, Occurrences: [][]mfjob.StepProgress{{{Tasks: []mfjob.TaskProgress{{Run: 1, Worker: "w"}}}}}}
	for number := range 2 {
		s.commit(mfsched.Commit{Number: number, Progress: map[mothferry.JobID]mfjob.Progress{"j": running}})
		assert.NilError(t, <-s.commitResult)
	}
	stored := shardRows(t, rows, mfrecord.TableProgress)
	assert.Equal(t, len(stored), 1, "rows of progress")
	assert.Equal(t, stored[0].Key, mothferry.Key("j"))
}
