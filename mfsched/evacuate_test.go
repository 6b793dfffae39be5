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
func TestLastingTaskMovesOnlyWhereThereIsRoom(t *testing.T) {
	s := newScript(t)
	s.list("w-1")
	s.pass(10 * time.Millisecond)
	s.look("w-1", mothferry.LookReport{})
	job := submission(s.now, 1)
	job.Steps[0].Lasting = true
	s.step(mfsched.JobFound{Job: "j", Submission: job})
	s.pass(50 * time.Millisecond)
	name := taken[mfsched.Start](s)[0].Order.Task
	s.step(mfsched.StartAnswered{Worker: "w-1", Task: name, Run: 1, Result: mfsched.ResultDone})
	s.pass(50 * time.Millisecond)
	s.look("w-1", mothferry.LookReport{Running: []mothferry.RunningTask{{Task: name, Run: 1, Percent: 100}}})

	s.step(mfsched.WorkersLeaving{Workers: map[mothferry.WorkerID]bool{"w-1": true}})
	s.pass(time.Second)
	assert.Equal(t, len(taken[mfsched.Stop](s)), 0, "there is nowhere to go")

	s.list("w-2")
	s.pass(10 * time.Millisecond)
	s.look("w-2", mothferry.LookReport{})
	s.pass(100 * time.Millisecond)
	assert.Equal(t, len(taken[mfsched.Stop](s)), 1)
}
