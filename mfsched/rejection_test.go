package mfsched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfsched"
)

// nextCommit returns the next commit that holds progress.
func nextCommit(s *script) mfsched.Commit {
	for range 100 {
		s.now = s.now.Add(10 * time.Millisecond)
		s.step(mfsched.Tick{})
		for _, c := range takeCommands[mfsched.Commit](s) {
			if len(c.Progress) > 0 {
				return c
			}
			s.step(mfsched.CommitDone{Number: c.Number})
		}
	}
	s.t.Fatal("no commit with progress")
	return mfsched.Commit{}
}

// Guards against a run whose intent is not stored, and against a job that stops others: jobs whose
// progress the store rejects start nothing, are committed again one by one, and fail if that is
// rejected too.
func TestRejectedJobsStartNothingAndAreCommittedAlone(t *testing.T) {
	s := newScript(t)
	s.listWorker("w-1")
	s.advance(10 * time.Millisecond)
	s.answerPoll("w-1", mothferry.PollReport{})
	for _, id := range []mothferry.JobID{"a", "b", "c"} {
		s.submit(id, 1)
	}
	first := nextCommit(s)
	assert.Equal(t, len(first.Progress), 3)
	s.step(mfsched.CommitDone{Number: first.Number, Rejected: []mothferry.JobID{"a", "b"}})
	starts := takeCommands[mfsched.Start](s)
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Order.Task.Job, mothferry.JobID("c"))
	s.submit("d", 1)
	again := nextCommit(s)
	assert.Equal(t, len(again.Progress), 1)
	_, isA := again.Progress["a"]
	assert.Assert(t, isA)
	s.step(mfsched.CommitDone{Number: again.Number, Rejected: []mothferry.JobID{"a"}})
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 0)
	failed := nextCommit(s)
	assert.Equal(t, len(failed.Progress), 1)
	assert.Equal(t, failed.Progress["a"].State, mfjob.StateFailed)
	s.step(mfsched.CommitDone{Number: failed.Number})
	s.advance(200 * time.Millisecond)
	started := map[mothferry.JobID]bool{}
	for _, c := range takeCommands[mfsched.Start](s) {
		started[c.Order.Task.Job] = true
	}
	assert.DeepEqual(t, started, map[mothferry.JobID]bool{"b": true, "d": true})
}

// Guards against an end that a worker may forget before its effect is stored: none is acknowledged
// while a commit is rejected.
func TestEndsAreNotAcknowledgedByRejectedCommits(t *testing.T) {
	s, task := runningOn(t, "w-1")
	s.advance(300 * time.Millisecond)
	s.answerPoll("w-1", mothferry.PollReport{Ended: []mothferry.EndedTask{{Number: 1, Task: task, Run: 1, Cause: mothferry.EndDone}}})
	c := nextCommit(s)
	s.step(mfsched.CommitDone{Number: c.Number, Rejected: []mothferry.JobID{"j"}})
	lastEndSeen := func() mothferry.EndNumber {
		var last mothferry.EndNumber
		for _, p := range takeCommands[mfsched.Poll](s) {
			last = max(last, p.Order.LastEndSeen)
			s.step(mfsched.PollFailed{Worker: "w-1", Number: p.Number, Sent: s.now, Result: mfsched.ResultUnknown})
		}
		return last
	}
	for range 3 {
		s.now = s.now.Add(10 * time.Millisecond)
		s.step(mfsched.Tick{})
	}
	assert.Equal(t, lastEndSeen(), mothferry.EndNumber(0))
	s.advance(time.Second)
	assert.Equal(t, s.committed["j"].State, mfjob.StateCompleted)
	assert.Equal(t, lastEndSeen(), mothferry.EndNumber(1))
}
