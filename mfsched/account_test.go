package mfsched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfsched"
)

const account mothferry.AccountID = "a"

// setLimit applies a config that limits the account to a number of cores.
func (s *script) setLimit(cores mothferry.Millicores) {
	s.step(mfsched.ConfigChanged{
		Queues:   map[mothferry.QueueID]mfsched.Queue{queue: {Service: service, MaxAttempts: 2, Stretch: 1.6, Latency: 600 * time.Millisecond}},
		Accounts: map[mothferry.AccountID]mfsched.Account{account: {Limit: mothferry.Resources{Cores: cores}}},
	})
}

func (s *script) submitWithStep(id mothferry.JobID, count int, change func(step *mfjob.Step)) {
	job := submission(s.now, count)
	job.Account = account
	if change != nil {
		change(&job.Steps[0])
	}
	s.step(mfsched.JobFound{Job: id, Submission: job})
}

// addReadyWorker lists a worker with 16 cores that answers its first poll.
func (s *script) addReadyWorker(id mothferry.WorkerID) {
	s.listWorker(id)
	s.advance(10 * time.Millisecond)
	s.answerPoll(id, mothferry.PollReport{})
}

// Guards against runs that aren't counted, so that an account exceeds its limit: of ten tasks of
// one core, four start, and a fifth only once one of them has ended. A job without an account is
// not delayed.
func TestAccountStaysWithinItsLimit(t *testing.T) {
	s := newScript(t)
	s.setLimit(4000)
	s.addReadyWorker("w")
	s.submitWithStep("j", 10, nil)
	s.advance(100 * time.Millisecond)
	first := takeCommands[mfsched.Start](s)
	assert.Equal(t, len(first), 4)
	for _, o := range first {
		s.answerStart(o, mfsched.ResultDone, "")
	}
	s.submit("k", 2)
	s.advance(100 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 2, "a job without an account")
	s.answerPoll("w", mothferry.PollReport{Ended: []mothferry.EndedTask{{Number: 1, Task: first[0].Order.Task, Run: 1, Cause: mothferry.EndDone}}, Running: runningOf(first[1:])})
	s.advance(100 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 1)
}

// runningOf lists runs as their worker reports them.
func runningOf(starts []mfsched.Start) []mothferry.RunningTask {
	var out []mothferry.RunningTask
	for _, o := range starts {
		out = append(out, mothferry.RunningTask{Task: o.Order.Task, Run: o.Order.Run, Percent: 10})
	}
	return out
}

// A limit is lowered far below an account's usage. No run must be stopped, and none started until
// enough have ended. A task that exceeds the limit must run alone rather than never.
func TestLoweredLimitStopsNoRuns(t *testing.T) {
	s := newScript(t)
	s.setLimit(8000)
	s.addReadyWorker("w")
	s.submitWithStep("j", 8, nil)
	s.advance(100 * time.Millisecond)
	first := takeCommands[mfsched.Start](s)
	assert.Equal(t, len(first), 8)
	for _, o := range first {
		s.answerStart(o, mfsched.ResultDone, "")
	}
	s.setLimit(500)
	s.submitWithStep("k", 2, nil)
	s.advance(100 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Stop](s)), 0)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 0)
	ends := func(from, to int) (out []mothferry.EndedTask) {
		for i, o := range first[from:to] {
			out = append(out, mothferry.EndedTask{Number: mothferry.EndNumber(from + i + 1), Task: o.Order.Task, Run: 1, Cause: mothferry.EndDone})
		}
		return out
	}
	s.answerPoll("w", mothferry.PollReport{Ended: ends(0, 7), Running: runningOf(first[7:])})
	s.advance(100 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 0, "one core still runs, the limit is half a core")
	s.answerPoll("w", mothferry.PollReport{Ended: ends(7, 8)})
	s.advance(100 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 1, "one task that exceeds the limit, alone")
}

// A run that a previous owner started and that is not confirmed to have ended must count against
// its account's limit, and so must an orphaned run that is still ending.
func TestUnresolvedRunsCountAgainstAccountLimit(t *testing.T) {
	s := newScript(t)
	s.setLimit(2000)
	job := submission(s.now, 3)
	job.Account = account
	s.step(mfsched.JobFound{Job: "j", Submission: job, Progress: &mfjob.Progress{
		State:       mfjob.StateRunning,
		Occurrences: [][]mfjob.StepProgress{{{Tasks: []mfjob.TaskProgress{{Run: 1, Worker: "w-9"}}}}},
	}})
	s.listWorker("w")
	s.advance(10 * time.Millisecond)
	orphan := mothferry.RunningTask{Task: mothferry.TaskName{Job: "j", Index: 2}, Run: 7, Percent: 10}
	s.answerPoll("w", mothferry.PollReport{Running: []mothferry.RunningTask{orphan}})
	s.advance(100 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 0, "one core may run on an unresponsive worker, one is still ending")
	s.answerPoll("w", mothferry.PollReport{})
	s.advance(100 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 1)
}

// The members of a gang work only together. Some that the account's limit admits would hold
// capacity while they wait for the others, which may not start.
func TestGangBeyondLimitDoesNotStartPartially(t *testing.T) {
	s := newScript(t)
	s.setLimit(4000)
	s.addReadyWorker("w")
	s.submitWithStep("j", 3, nil)
	s.advance(50 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 3)
	s.submitWithStep("k", 3, func(step *mfjob.Step) { step.Gang = true })
	s.advance(100 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 0)
}

// A lasting task whose account is over its limit could not start again elsewhere, so it must not
// be moved away from a machine that is being evacuated.
func TestLastingTaskOverLimitIsNotMoved(t *testing.T) {
	s := newScript(t)
	s.setLimit(4000)
	s.addReadyWorker("w-1")
	s.submitWithStep("j", 2, func(step *mfjob.Step) { step.Lasting = true })
	s.advance(50 * time.Millisecond)
	first := takeCommands[mfsched.Start](s)
	assert.Equal(t, len(first), 2)
	for _, o := range first {
		s.answerStart(o, mfsched.ResultDone, "")
	}
	s.addReadyWorker("w-2")
	running := runningOf(first)
	running[0].Percent, running[1].Percent = 100, 100
	s.answerPoll("w-1", mothferry.PollReport{Running: running})
	s.setLimit(1500)
	s.step(mfsched.WorkersToEvacuate{Workers: map[mothferry.WorkerID]bool{"w-1": true}})
	s.advance(300 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Stop](s)), 0)
	s.setLimit(2000)
	s.advance(300 * time.Millisecond)
	assert.Assert(t, len(takeCommands[mfsched.Stop](s)) > 0)
}

// Guards against starts beyond a lowered limit by lost orders: two tasks were decided before the
// limit was lowered, and their starts were sent again after a quarter of a second although
// nothing more might start.
func TestStartIsNotRetriedBeyondLoweredLimit(t *testing.T) {
	s := newScript(t)
	s.setLimit(8000)
	s.addReadyWorker("w")
	s.submitWithStep("j", 4, nil)
	s.advance(50 * time.Millisecond)
	first := takeCommands[mfsched.Start](s)
	assert.Equal(t, len(first), 4)
	s.answerStart(first[0], mfsched.ResultDone, "")
	s.setLimit(2000)
	s.advance(400 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 0)
	s.answerStart(first[1], mfsched.ResultUnknown, "")
	assert.Equal(t, len(takeCommands[mfsched.Stop](s)), 1, "the start may have been carried out")
}

// Guards against starts beyond a limit that is lowered between the decision and its order. The
// order waits until the decision is stored, which takes seconds on a slow store.
func TestPlannedStartIsNotSentBeyondLoweredLimit(t *testing.T) {
	s := newScript(t)
	s.setLimit(8000)
	s.addReadyWorker("w")
	s.submitWithStep("j", 4, nil)
	s.now = s.now.Add(50 * time.Millisecond)
	s.step(mfsched.Tick{})
	s.setLimit(2000)
	s.storeCommits()
	s.advance(100 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 2)
}
