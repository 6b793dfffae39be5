package mfsched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfsched"
)

// newScriptWithStart returns a script with one worker that answers, and a job of one task
// whose start has just been sent.
func newScriptWithStart(t *testing.T) (*script, mfsched.Start) {
	t.Helper()
	s := newScript(t)
	s.step(mfsched.JobsLoaded{})
	s.listWorker("w-1")
	s.advance(20 * time.Millisecond)
	s.answerPoll("w-1", mothferry.PollReport{})
	s.submit("j-1", 1)
	s.advance(100 * time.Millisecond)
	starts := takeCommands[mfsched.Start](s)
	assert.Equal(t, len(starts), 1)
	return s, starts[0]
}

func (s *script) answerStart(o mfsched.Start, r mfsched.OrderResult, why mothferry.OrderRefusal) {
	s.step(mfsched.StartAnswered{Worker: o.At.Worker, Task: o.Order.Task, Run: o.Order.Run, Result: r, Refusal: why})
}

// resentStart lets a start become overdue and returns the order that is sent for it.
func (s *script) resentStart() mfsched.Start {
	s.t.Helper()
	s.advance(300 * time.Millisecond)
	again := takeCommands[mfsched.Start](s)
	assert.Equal(s.t, len(again), 1)
	return again[0]
}

// Guards against late jobs while a twentieth of the calls is lost: a run whose start had no
// answer was stopped, polled for and replaced by another run, which takes three more calls,
// each of which may be lost as well. Half of all jobs were late.
func TestUnansweredStartIsResent(t *testing.T) {
	s, first := newScriptWithStart(t)
	again := s.resentStart()
	assert.Equal(t, again.Order.Run, first.Order.Run)
	assert.Equal(t, again.At, first.At)
	assert.Equal(t, len(takeCommands[mfsched.Stop](s)), 0)
	s.answerStart(again, mfsched.ResultDone, "")
	// The first order's time-out no longer matters.
	s.answerStart(first, mfsched.ResultUnknown, "")
	s.advance(time.Second)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 0)
	assert.Equal(t, len(takeCommands[mfsched.Stop](s)), 0)
}

// Guards against two runs of a task at the same time: a start has no answer, and the resent
// one is refused, while the first may still be carried out seconds later. The run must be
// stopped before the task may start anywhere else.
func TestRefusalOfResentStartDoesNotEndRun(t *testing.T) {
	for _, why := range []mothferry.OrderRefusal{mothferry.RefusalCapacity, mothferry.RefusalRun, mothferry.RefusalUnhealthy} {
		s, first := newScriptWithStart(t)
		s.answerStart(s.resentStart(), mfsched.ResultRefused, why)
		stops := takeCommands[mfsched.Stop](s)
		assert.Equal(t, len(stops), 1, "%s", why)
		assert.Equal(t, stops[0].Run, first.Order.Run)
		s.advance(200 * time.Millisecond)
		assert.Equal(t, len(takeCommands[mfsched.Start](s)), 0, "%s", why)
	}
}

// A start is resent only so often: a worker that answers none of the orders is ordered to stop
// the run, so that its task can start elsewhere.
func TestStartIsResentAtMostTwice(t *testing.T) {
	s, first := newScriptWithStart(t)
	orders := []mfsched.Start{first, s.resentStart(), s.resentStart()}
	s.advance(300 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 0)
	for i, o := range orders {
		assert.Equal(t, len(takeCommands[mfsched.Stop](s)), 0, "%d", i)
		s.answerStart(o, mfsched.ResultUnknown, "")
	}
	assert.Equal(t, len(takeCommands[mfsched.Stop](s)), 1)
}

// Guards against restarts of tasks whose end their worker has listed: on saturated links of 2
// Mbit/s answers take 0.4 s, so that a poll is overdue and another one is sent. The late
// answer was dropped, and so were all after it, until the lease had expired.
func TestLateAnswerStillCounts(t *testing.T) {
	s, first := newScriptWithStart(t)
	s.answerStart(first, mfsched.ResultDone, "")
	s.advance(2500 * time.Millisecond)
	polls := takeCommands[mfsched.Poll](s)
	assert.Assert(t, len(polls) >= 2, "another poll is sent: %d", len(polls))
	task := first.Order.Task
	s.step(mfsched.PollAnswered{Worker: "w-1", Number: polls[0].Number, Sent: s.now.Add(-time.Second), Report: mothferry.PollReport{
		Clock: mothferry.WorkerClock(s.now.Sub(startTime) + time.Hour),
		Ended: []mothferry.EndedTask{{Number: 1, Task: task, Run: first.Order.Run, Cause: mothferry.EndDone}},
	}})
	s.advance(50 * time.Millisecond)
	finished := false
	for _, d := range takeCommands[mfsched.Decision](s) {
		finished = finished || d.Message == "job is over"
	}
	assert.Assert(t, finished)
}

// Guards against workers that get no work while polls are lost: a poll is lost, one sent after
// it is answered, and the worker counted as unresponsive from the lost poll's time-out on.
// With a twentieth of the calls lost this affected a third of a pool.
func TestLostPollBesideAnsweredOne(t *testing.T) {
	s, first := newScriptWithStart(t)
	s.answerStart(first, mfsched.ResultDone, "")
	s.step(mfsched.PollFailed{Worker: "w-1", Sent: s.now.Add(-time.Second), Result: mfsched.ResultUnknown})
	s.submit("j-2", 1)
	s.advance(100 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 1, "the worker gets work")
}
