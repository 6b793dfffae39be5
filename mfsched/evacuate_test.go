package mfsched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfsched"
)

// Symptom: a lasting task was away for fifteen seconds on a day without a fault.
// Events: its machine is to have its upkeep; the task is stopped; all other
// machines of the pool are full, or to be emptied too, so that it waits.
// Cause: nobody looked whether there is room for it elsewhere.
func TestEvacuationNeedsFreeCapacityElsewhere(t *testing.T) {
	s := newScript(t)
	s.listWorker("w-1")
	s.advance(10 * time.Millisecond)
	s.answerPoll("w-1", mothferry.LookReport{})
	job := submission(s.now, 1)
	job.Steps[0].Lasting = true
	s.step(mfsched.JobFound{Job: "j", Submission: job})
	s.advance(50 * time.Millisecond)
	name := takeCommands[mfsched.Start](s)[0].Order.Task
	s.step(mfsched.StartAnswered{Worker: "w-1", Task: name, Run: 1, Result: mfsched.ResultDone})
	s.advance(50 * time.Millisecond)
	s.answerPoll("w-1", mothferry.LookReport{Running: []mothferry.RunningTask{{Task: name, Run: 1, Percent: 100}}})

	s.step(mfsched.WorkersToEvacuate{Workers: map[mothferry.WorkerID]bool{"w-1": true}})
	s.advance(time.Second)
	assert.Equal(t, len(takeCommands[mfsched.Stop](s)), 0, "there is nowhere to go")

	s.listWorker("w-2")
	s.advance(10 * time.Millisecond)
	s.answerPoll("w-2", mothferry.LookReport{})
	s.advance(100 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Stop](s)), 1)
}

// Symptom: in a wave of 189 machines 8 of 103 lasting tasks were moved twice, each time
// out of what their step may miss, and the wave was late.
// Events: a lasting task is moved away from a machine that is to have its upkeep; it
// goes to one whose turn in the same wave comes later.
// Cause: nothing told machines that a wave has done with from those that it has not.
func TestLastingTasksAvoidWorkersDueForMaintenance(t *testing.T) {
	s := newScript(t)
	for _, id := range []mothferry.WorkerID{"w-1", "w-2"} {
		s.listWorker(id)
		s.advance(10 * time.Millisecond)
		s.answerPoll(id, mothferry.LookReport{})
	}
	s.step(mfsched.WorkersToEvacuate{MaintenanceDue: map[mothferry.WorkerID]bool{"w-1": true}})
	job := submission(s.now, 3)
	job.Steps[0].Lasting = true
	s.step(mfsched.JobFound{Job: "j", Submission: job})
	s.advance(50 * time.Millisecond)
	for _, c := range takeCommands[mfsched.Start](s) {
		assert.Equal(t, c.At.Worker, mothferry.WorkerID("w-2"))
	}

	// There is no other room for what only fits where upkeep is due.
	large := submission(s.now, 1)
	large.Steps[0].Lasting, large.Steps[0].Need.Cores = true, 15000
	s.step(mfsched.JobFound{Job: "k", Submission: large})
	s.advance(50 * time.Millisecond)
	starts := takeCommands[mfsched.Start](s)
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].At.Worker, mothferry.WorkerID("w-1"))
}
