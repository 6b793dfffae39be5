package mfsched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfsched"
)

// finishTask runs the single task of a job to its end on a worker.
func (s *script) finishTask(id mothferry.WorkerID, number mothferry.EndNumber) {
	s.t.Helper()
	s.advance(50 * time.Millisecond)
	starts := takeCommands[mfsched.Start](s)
	assert.Equal(s.t, len(starts), 1)
	name := starts[0].Order.Task
	s.step(mfsched.StartAnswered{Worker: id, Task: name, Run: 1, Result: mfsched.ResultDone})
	s.advance(50 * time.Millisecond)
	s.answerPoll(id, mothferry.PollReport{Ended: []mothferry.EndedTask{{Number: number, Task: name, Run: 1, Cause: mothferry.EndDone}}})
}

// Guards against keeping the submissions of finished jobs as long as their final states: with
// 3,500 finished jobs a new owner read and decoded all of them first, and started nothing for
// three seconds.
func TestSubmissionsOfFinishedJobsAreDeleted(t *testing.T) {
	s := newScript(t)
	s.listWorker("w")
	s.advance(10 * time.Millisecond)
	s.answerPoll("w", mothferry.PollReport{})
	s.submit("j", 1)
	s.finishTask("w", 1)
	s.advance(2 * time.Second)
	assert.Equal(t, len(takeCommands[mfsched.DeleteSubmissions](s)), 0, "a caller's request that began earlier may still read the inbox")
	s.advance(6 * time.Second)
	deleted := takeCommands[mfsched.DeleteSubmissions](s)
	assert.Equal(t, len(deleted), 1)
	assert.DeepEqual(t, deleted[0].Jobs, []mothferry.JobID{"j"})

	// Submitted again, it stays one job, and the new row is deleted too.
	s.submit("j", 1)
	s.advance(8 * time.Second)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 0)
	assert.Equal(t, len(takeCommands[mfsched.DeleteSubmissions](s)), 1)
}

// Guards against losing a job whose submission is deleted before its final state is stored, if
// its owner crashes in between.
func TestSubmissionIsDeletedOnlyAfterFinalStateIsStored(t *testing.T) {
	s := newScript(t)
	s.listWorker("w")
	s.advance(10 * time.Millisecond)
	s.answerPoll("w", mothferry.PollReport{})
	s.submit("j", 1)
	s.finishTask("w", 1)
	// The commit with its end is not answered; the job is submitted again meanwhile.
	for range 800 {
		s.now = s.now.Add(10 * time.Millisecond)
		s.step(mfsched.Tick{})
	}
	s.submit("j", 1)
	for range 800 {
		s.now = s.now.Add(10 * time.Millisecond)
		s.step(mfsched.Tick{})
	}
	assert.Equal(t, len(takeCommands[mfsched.DeleteSubmissions](s)), 0)
	s.advance(8 * time.Second)
	assert.Equal(t, len(takeCommands[mfsched.DeleteSubmissions](s)), 1)
}

// A new owner knows a finished job by its stored progress alone: it does not run the job, and
// deletes its rows in the end.
func TestSuccessorKnowsFinishedJobs(t *testing.T) {
	s := newScript(t)
	s.step(mfsched.JobFinished{Job: "j", State: mfjob.StateCompleted})
	s.listWorker("w")
	s.advance(10 * time.Millisecond)
	s.answerPoll("w", mothferry.PollReport{})
	s.submit("j", 1)
	s.advance(time.Second)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 0)
	s.advance(limits().FinishedJobRetention)
	deleted := takeCommands[mfsched.DeleteJobs](s)
	assert.Equal(t, len(deleted), 1)
	assert.DeepEqual(t, deleted[0].Jobs, []mothferry.JobID{"j"})
}

// An owner that could not store a job's end must not have its rows deleted: under a new owner
// the job continues.
func TestJobWithUnstoredFinalStateIsNotDeleted(t *testing.T) {
	s := newScript(t)
	s.submit("j", 1)
	s.step(mfsched.CancelRequested{Job: "j"})
	tickWithoutStoring := func() {
		for range 2 * limits().FinishedJobRetention / time.Second {
			s.now = s.now.Add(time.Second)
			s.step(mfsched.Tick{})
		}
	}
	tickWithoutStoring()
	assert.Equal(t, len(takeCommands[mfsched.DeleteJobs](s)), 0)
	s.storeCommits()
	tickWithoutStoring()
	assert.DeepEqual(t, takeCommands[mfsched.DeleteJobs](s), []mfsched.DeleteJobs{{Jobs: []mothferry.JobID{"j"}}})
}

// A job whose rows could not be deleted must stay known: if the inbox were read again, it
// would run once more.
func TestJobIsKnownUntilItsRowsAreDeleted(t *testing.T) {
	s := newScript(t)
	s.listWorker("w")
	s.advance(10 * time.Millisecond)
	s.answerPoll("w", mothferry.PollReport{})
	s.submit("j", 1)
	s.finishTask("w", 1)
	s.advance(limits().FinishedJobRetention + time.Second)
	assert.Equal(t, len(takeCommands[mfsched.DeleteJobs](s)), 1)
	takeCommands[mfsched.Start](s)
	answerIdle(s, "w")
	s.submit("j", 1)
	s.advance(time.Second)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 0)
	s.step(mfsched.DeleteJobsAnswered{Jobs: []mothferry.JobID{"j"}})
	s.submit("j", 1)
	s.advance(time.Second)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 0)
	s.advance(limits().FinishedJobRetention)
	assert.Equal(t, len(takeCommands[mfsched.DeleteJobs](s)), 1)
	s.step(mfsched.DeleteJobsAnswered{Jobs: []mothferry.JobID{"j"}, Deleted: true})
	s.advance(2 * limits().FinishedJobRetention)
	assert.Equal(t, len(takeCommands[mfsched.DeleteJobs](s)), 0)
}
