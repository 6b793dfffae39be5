package mfsched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfsched"
)

// Guards against a count of pending jobs that leaves out gangs that wait: workers were found for some
// members only, and the job has not started.
func TestGangThatDoesNotFitStaysPending(t *testing.T) {
	s := newScript(t)
	s.step(mfsched.JobsLoaded{})
	for _, id := range []mothferry.WorkerID{"w-1", "w-2", "w-3"} {
		s.listWorker(id)
		s.advance(10 * time.Millisecond)
		s.answerPoll(id, mothferry.PollReport{})
	}
	job := submission(s.now, 4)
	job.Steps[0].Gang, job.Steps[0].Need.Cores = true, 12000
	s.step(mfsched.JobFound{Job: "gang", Submission: job})
	s.advance(200 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 0)
	pending, known := s.state.Pending()
	assert.Assert(t, known)
	assert.Equal(t, pending[queue], 1)
	s.listWorker("w-4")
	s.advance(10 * time.Millisecond)
	s.answerPoll("w-4", mothferry.PollReport{})
	s.advance(200 * time.Millisecond)
	starts := takeCommands[mfsched.Start](s)
	assert.Equal(t, len(starts), 4)
	for _, c := range starts {
		assert.Equal(t, c.Order.Run, mothferry.RunNumber(1))
	}
	pending, _ = s.state.Pending()
	assert.Equal(t, pending[queue], 0)
}
