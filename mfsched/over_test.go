package mfsched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfsched"
)

// finish has the one task of a job run and end on a worker.
func (s *script) finish(id mothferry.WorkerID, number mothferry.EndNumber) {
	s.t.Helper()
	s.pass(50 * time.Millisecond)
	starts := taken[mfsched.Start](s)
	assert.Equal(s.t, len(starts), 1)
	name := starts[0].Order.Task
	s.step(mfsched.StartAnswered{Worker: id, Task: name, Run: 1, Result: mfsched.ResultDone})
	s.pass(50 * time.Millisecond)
	s.look(id, mothferry.LookReport{Ended: []mothferry.EndedTask{{Number: number, Task: name, Run: 1, Cause: mothferry.EndDone}}})
}

// Symptom: a host that took over on a busy day started nothing for three seconds.
// Events: 3,500 jobs were over and their states could still be asked for; the
// successor read and decoded all that had been handed in for them.
// Cause: what was handed in stayed in the inbox as long as the final state.
func TestOverJobsLeaveTheInbox(t *testing.T) {
	s := newScript(t)
	s.list("w")
	s.pass(10 * time.Millisecond)
	s.look("w", mothferry.LookReport{})
	s.submit("j", 1)
	s.finish("w", 1)
	s.pass(2 * time.Second)
	assert.Equal(t, len(taken[mfsched.Drop](s)), 0, "a caller's look-up that began before may still read the inbox")
	s.pass(6 * time.Second)
	dropped := taken[mfsched.Drop](s)
	assert.Equal(t, len(dropped), 1)
	assert.DeepEqual(t, dropped[0].Jobs, []mothferry.JobID{"j"})

	// Handed in once more: it stays one job, and the new row is dropped too.
	s.submit("j", 1)
	s.pass(8 * time.Second)
	assert.Equal(t, len(taken[mfsched.Start](s)), 0)
	assert.Equal(t, len(taken[mfsched.Drop](s)), 1)
}

// Guarded against: a job is lost whose end was not stored when its owner died,
// because what was handed in had been dropped already.
func TestJobIsDroppedOnlyOnceItsEndIsStored(t *testing.T) {
	s := newScript(t)
	s.list("w")
	s.pass(10 * time.Millisecond)
	s.look("w", mothferry.LookReport{})
	s.submit("j", 1)
	s.finish("w", 1)
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
	assert.Equal(t, len(taken[mfsched.Drop](s)), 0)
	s.pass(8 * time.Second)
	assert.Equal(t, len(taken[mfsched.Drop](s)), 1)
}

// A successor learns of jobs that are over from what is stored of their progress
// alone: it neither runs them nor forgets to delete them in the end.
func TestSuccessorKnowsDroppedJobs(t *testing.T) {
	s := newScript(t)
	s.step(mfsched.JobOver{Job: "j", State: mfjob.StateCompleted})
	s.list("w")
	s.pass(10 * time.Millisecond)
	s.look("w", mothferry.LookReport{})
	s.submit("j", 1)
	s.pass(time.Second)
	assert.Equal(t, len(taken[mfsched.Start](s)), 0)
	s.pass(limits().KeepFinal)
	forgotten := taken[mfsched.Forget](s)
	assert.Equal(t, len(forgotten), 1)
	assert.DeepEqual(t, forgotten[0].Jobs, []mothferry.JobID{"j"})
}

// An owner that could not store a job's end must not have its rows deleted: under a successor the job goes on.
func TestUnstoredEndIsNotForgotten(t *testing.T) {
	s := newScript(t)
	s.submit("j", 1)
	s.step(mfsched.CancelFound{Job: "j"})
	passed := func() {
		for range 2 * limits().KeepFinal / time.Second {
			s.now = s.now.Add(time.Second)
			s.step(mfsched.Tick{})
		}
	}
	passed()
	assert.Equal(t, len(taken[mfsched.Forget](s)), 0)
	s.store()
	passed()
	assert.DeepEqual(t, taken[mfsched.Forget](s), []mfsched.Forget{{Jobs: []mothferry.JobID{"j"}}})
}

// A job whose rows could not be deleted must stay known: read anew with the inbox, it would run once more.
func TestJobIsKnownUntilItsRowsAreDeleted(t *testing.T) {
	s := newScript(t)
	s.list("w")
	s.pass(10 * time.Millisecond)
	s.look("w", mothferry.LookReport{})
	s.submit("j", 1)
	s.finish("w", 1)
	s.pass(limits().KeepFinal + time.Second)
	assert.Equal(t, len(taken[mfsched.Forget](s)), 1)
	taken[mfsched.Start](s)
	answerIdle(s, "w")
	s.submit("j", 1)
	s.pass(time.Second)
	assert.Equal(t, len(taken[mfsched.Start](s)), 0)
	s.step(mfsched.JobsForgotten{Jobs: []mothferry.JobID{"j"}})
	s.submit("j", 1)
	s.pass(time.Second)
	assert.Equal(t, len(taken[mfsched.Start](s)), 0)
	s.pass(limits().KeepFinal)
	assert.Equal(t, len(taken[mfsched.Forget](s)), 1)
	s.step(mfsched.JobsForgotten{Jobs: []mothferry.JobID{"j"}, Deleted: true})
	s.pass(2 * limits().KeepFinal)
	assert.Equal(t, len(taken[mfsched.Forget](s)), 0)
}
