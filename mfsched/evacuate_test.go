package mfsched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfsched"
)

// Guards against evacuating a lasting task while all other machines of its pool are full or
// also to be evacuated: the task would be stopped and wait, unavailable, although nothing has
// failed.
func TestEvacuationNeedsFreeCapacityElsewhere(t *testing.T) {
	s := newScript(t)
	s.listWorker("w-1")
	s.advance(10 * time.Millisecond)
	s.answerPoll("w-1", mothferry.PollReport{})
	job := submission(s.now, 1)
	job.Steps[0].Lasting = true
	s.step(mfsched.JobFound{Job: "j", Submission: job})
	s.advance(50 * time.Millisecond)
	name := takeCommands[mfsched.Start](s)[0].Order.Task
	s.step(mfsched.StartAnswered{Worker: "w-1", Task: name, Run: 1, Result: mfsched.ResultDone})
	s.advance(50 * time.Millisecond)
	s.answerPoll("w-1", mothferry.PollReport{Running: []mothferry.RunningTask{{Task: name, Run: 1, Percent: 100}}})

	s.step(mfsched.WorkersToEvacuate{Workers: map[mothferry.WorkerID]bool{"w-1": true}})
	s.advance(time.Second)
	assert.Equal(t, len(takeCommands[mfsched.Stop](s)), 0, "no other worker has free capacity")

	s.listWorker("w-2")
	s.advance(10 * time.Millisecond)
	s.answerPoll("w-2", mothferry.PollReport{})
	s.advance(100 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Stop](s)), 1)
}

// Guards against moving lasting tasks to machines whose turn in the same maintenance wave
// comes later. They would be moved twice, each time counting against what their step may miss,
// and the wave would be late.
func TestLastingTasksAvoidWorkersDueForMaintenance(t *testing.T) {
	s := newScript(t)
	for _, id := range []mothferry.WorkerID{"w-1", "w-2"} {
		s.listWorker(id)
		s.advance(10 * time.Millisecond)
		s.answerPoll(id, mothferry.PollReport{})
	}
	s.step(mfsched.WorkersToEvacuate{MaintenanceDue: map[mothferry.WorkerID]bool{"w-1": true}})
	job := submission(s.now, 3)
	job.Steps[0].Lasting = true
	s.step(mfsched.JobFound{Job: "j", Submission: job})
	s.advance(50 * time.Millisecond)
	for _, c := range takeCommands[mfsched.Start](s) {
		assert.Equal(t, c.At.Worker, mothferry.WorkerID("w-2"))
	}

	// A task that only fits where maintenance is due is placed there.
	large := submission(s.now, 1)
	large.Steps[0].Lasting, large.Steps[0].Need.Cores = true, 15000
	s.step(mfsched.JobFound{Job: "k", Submission: large})
	s.advance(50 * time.Millisecond)
	starts := takeCommands[mfsched.Start](s)
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].At.Worker, mothferry.WorkerID("w-1"))
}
