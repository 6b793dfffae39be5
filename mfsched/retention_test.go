package mfsched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfsched"
)

// finishTask has the one task of a job run and end on a worker.
func (s *script) finishTask(id mothferry.WorkerID, number mothferry.EndNumber) {
	s.t.Helper()
	s.advance(50 * time.Millisecond)
	starts := takeCommands[mfsched.Start](s)
	assert.Equal(s.t, len(starts), 1)
	name := starts[0].Order.Task
	s.step(mfsched.StartAnswered{Worker: id, Task: name, Run: 1, Result: mfsched.ResultDone})
	s.advance(50 * time.Millisecond)
	s.answerPoll(id, mothferry.LookReport{Ended: []mothferry.EndedTask{{Number: number, Task: name, Run: 1, Cause: mothferry.EndDone}}})
}

// Symptom: a host that took over on a busy day started nothing for three seconds.
// Events: 3,500 jobs were over and their states could still be asked for; the
// successor read and decoded all that had been handed in for them.
// Cause: what was handed in stayed in the inbox as long as the final state.
func TestSubmissionsOfFinishedJobsAreDeleted(t *testing.T) {
	s := newScript(t)
	s.listWorker("w")
	s.advance(10 * time.Millisecond)
	s.answerPoll("w", mothferry.LookReport{})
	s.submit("j", 1)
	s.finishTask("w", 1)
	s.advance(2 * time.Second)
	assert.Equal(t, len(takeCommands[mfsched.DeleteSubmissions](s)), 0, "a caller's look-up that began before may still read the inbox")
	s.advance(6 * time.Second)
	dropped := takeCommands[mfsched.DeleteSubmissions](s)
	assert.Equal(t, len(dropped), 1)
	assert.DeepEqual(t, dropped[0].Jobs, []mothferry.JobID{"j"})

	// Handed in once more: it stays one job, and the new row is dropped too.
	s.submit("j", 1)
	s.advance(8 * time.Second)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 0)
	assert.Equal(t, len(takeCommands[mfsched.DeleteSubmissions](s)), 1)
}

// Guarded against: a job is lost whose end was not stored when its owner died,
// because what was handed in had been dropped already.
func TestSubmissionIsDeletedOnlyAfterFinalStateIsStored(t *testing.T) {
	s := newScript(t)
	s.listWorker("w")
	s.advance(10 * time.Millisecond)
	s.answerPoll("w", mothferry.LookReport{})
	s.submit("j", 1)
	s.finishTask("w", 1)
	// The commit with its end has no answer; the job is handed in again meanwhile.
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

// A successor learns of jobs that are over from what is stored of their progress
// alone: it neither runs them nor forgets to delete them in the end.
func TestSuccessorKnowsFinishedJobs(t *testing.T) {
	s := newScript(t)
	s.step(mfsched.JobFinished{Job: "j", State: mfjob.StateCompleted})
	s.listWorker("w")
	s.advance(10 * time.Millisecond)
	s.answerPoll("w", mothferry.LookReport{})
	s.submit("j", 1)
	s.advance(time.Second)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 0)
	s.advance(limits().FinishedJobRetention)
	forgotten := takeCommands[mfsched.DeleteJobs](s)
	assert.Equal(t, len(forgotten), 1)
	assert.DeepEqual(t, forgotten[0].Jobs, []mothferry.JobID{"j"})
}

// An owner that could not store a job's end must not have its rows deleted: under a successor the job goes on.
func TestJobWithUnstoredFinalStateIsNotDeleted(t *testing.T) {
	s := newScript(t)
	s.submit("j", 1)
	s.step(mfsched.CancelRequested{Job: "j"})
	passed := func() {
		for range 2 * limits().FinishedJobRetention / time.Second {
			s.now = s.now.Add(time.Second)
			s.step(mfsched.Tick{})
		}
	}
	passed()
	assert.Equal(t, len(takeCommands[mfsched.DeleteJobs](s)), 0)
	s.storeCommits()
	passed()
	assert.DeepEqual(t, takeCommands[mfsched.DeleteJobs](s), []mfsched.DeleteJobs{{Jobs: []mothferry.JobID{"j"}}})
}

// A job whose rows could not be deleted must stay known: read anew with the inbox, it would run once more.
func TestJobIsKnownUntilItsRowsAreDeleted(t *testing.T) {
	s := newScript(t)
	s.listWorker("w")
	s.advance(10 * time.Millisecond)
	s.answerPoll("w", mothferry.LookReport{})
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
