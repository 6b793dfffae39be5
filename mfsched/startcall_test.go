package mfsched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfsched"
)

// Guards against two runs of a task: its start was held up at a relay, its run counted as ended, and the
// start reached a later incarnation of the worker, which had seen no stop. While the call is under way
// the task must not start, whatever ends its run.
func TestTaskWaitsForCallsThatOrderItsFormerRun(t *testing.T) {
	ends := map[string]func(s *script, o mfsched.Start){
		"stop answered": func(s *script, o mfsched.Start) {
			s.step(mfsched.CancelRequested{Job: "other"})
			s.step(mfsched.StopAnswered{Worker: "w", Sent: s.now, Task: o.Order.Task, Run: 1, Result: mfsched.ResultDone})
			s.advance(20 * time.Millisecond)
			s.answerAs("w", firstIncarnation, mothferry.PollReport{})
		},
		"worker crashed": func(s *script, _ mfsched.Start) {
			s.step(mfsched.IncarnationEnded{Worker: "w", ListedAt: s.now, Cause: mfsched.IncarnationCrashed})
		},
		"worker restarted": func(s *script, _ mfsched.Start) {
			s.answerAs("w", secondIncarnation, mothferry.PollReport{})
		},
	}
	for kind, change := range kindsOfSteps {
		for cause, end := range ends {
			t.Run(kind+", "+cause, func(t *testing.T) {
				s, first := unansweredStart(t, change)
				end(s, first)
				resent := 0
				for range 20 {
					s.advance(50 * time.Millisecond)
					for _, o := range takeCommands[mfsched.Start](s) {
						assert.Equal(t, o.Order.Run, mothferry.RunNumber(1), "started elsewhere")
						resent++
					}
					for _, p := range takeCommands[mfsched.Poll](s) {
						s.step(mfsched.PollAnswered{Worker: p.At.Worker, Number: p.Number, Sent: s.now, Report: mothferry.PollReport{Clock: mothferry.WorkerClock(s.now.Sub(startTime) + time.Hour)}})
					}
					for _, c := range takeCommands[mfsched.Stop](s) {
						s.step(mfsched.StopAnswered{Worker: c.At.Worker, Sent: s.now, Task: c.Task, Run: c.Run, Result: mfsched.ResultDone})
					}
				}
				for range 1 + resent {
					s.answerStart(first, mfsched.ResultUnknown, "")
				}
				for range 20 {
					s.advance(50 * time.Millisecond)
					for _, c := range takeCommands[mfsched.Stop](s) {
						s.step(mfsched.StopAnswered{Worker: c.At.Worker, Sent: s.now, Task: c.Task, Run: c.Run, Result: mfsched.ResultDone})
					}
					for _, p := range takeCommands[mfsched.Poll](s) {
						s.step(mfsched.PollAnswered{Worker: p.At.Worker, Number: p.Number, Sent: s.now, Report: mothferry.PollReport{Clock: mothferry.WorkerClock(s.now.Sub(startTime) + time.Hour)}})
					}
					if again := takeCommands[mfsched.Start](s); len(again) > 0 {
						assert.Equal(t, again[0].Order.Run, mothferry.RunNumber(2))
						return
					}
				}
				t.Fatal("not started again after the call had ended")
			})
		}
	}
}

// Guards against an end that is lost, and its task started again: a worker started again under its id while
// it was not answering, and a poll had the new incarnation forget ends by the numbers of the former one.
func TestUnresponsiveWorkerForgetsNoEnds(t *testing.T) {
	s, task := runningOn(t, "w-1")
	s.advance(100 * time.Millisecond)
	s.answerPoll("w-1", mothferry.PollReport{Ended: []mothferry.EndedTask{{Number: 7, Task: task, Run: 1, Cause: mothferry.EndDone}}})
	s.submit("j-2", 1)
	s.advance(100 * time.Millisecond)
	polls := takeCommands[mfsched.Poll](s)
	assert.Assert(t, len(polls) > 0)
	assert.Equal(t, polls[len(polls)-1].Order.LastEndSeen, mothferry.EndNumber(7))
	for _, p := range polls {
		s.step(mfsched.PollFailed{Worker: "w-1", Number: p.Number, Sent: s.now, Result: mfsched.ResultUnknown})
	}
	s.advance(20 * time.Millisecond)
	again := takeCommands[mfsched.Poll](s)
	assert.Assert(t, len(again) > 0)
	assert.Equal(t, again[0].Order.LastEndSeen, mothferry.EndNumber(0))
}

// Guards against two runs of a task: a start was under way when its worker's end became known, the next
// incarnation under the id carried it out, and the answer let the task start elsewhere.
func TestStartCarriedOutByReturnedWorkerIsStoppedFirst(t *testing.T) {
	for kind, change := range kindsOfSteps {
		t.Run(kind, func(t *testing.T) {
			s, first := unansweredStart(t, change)
			s.step(mfsched.IncarnationEnded{Worker: "w", ListedAt: s.now, Cause: mfsched.IncarnationCrashed})
			s.listIncarnation("w", secondIncarnation)
			s.answerStart(first, mfsched.ResultDone, "")
			s.advance(100 * time.Millisecond)
			assert.Equal(t, len(takeCommands[mfsched.Start](s)), 0, "started beside the run of the new incarnation")
			assert.Assert(t, s.stopsOf(first) > 0)
			s.step(mfsched.StopAnswered{Worker: "w", Sent: s.now, Task: first.Order.Task, Run: 1, Result: mfsched.ResultDone})
			s.advance(10 * time.Millisecond)
			s.answerAs("w", secondIncarnation, mothferry.PollReport{Ended: []mothferry.EndedTask{{Number: 1, Task: first.Order.Task, Run: 1, Cause: mothferry.EndStopped}}})
			again := s.acceptStarts(700 * time.Millisecond)
			assert.Equal(t, len(again), 1)
			assert.Equal(t, again[0].Order.Run, mothferry.RunNumber(2))
		})
	}
}
