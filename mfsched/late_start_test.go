package mfsched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfsched"
)

// unansweredStart returns a scheduler with a job of one task of a kind, whose start on the first
// incarnation of w has no answer, and another worker without work.
func unansweredStart(t *testing.T, change func(p *mfjob.Step)) (*script, mfsched.Start) {
	t.Helper()
	s := newScript(t)
	s.listIncarnation("w", firstIncarnation)
	s.advance(10 * time.Millisecond)
	s.answerAs("w", firstIncarnation, mothferry.PollReport{})
	s.submitStep("j", 1, change)
	s.advance(50 * time.Millisecond)
	starts := takeCommands[mfsched.Start](s)
	assert.Equal(t, len(starts), 1)
	s.addReadyWorker("w-2")
	return s, starts[0]
}

// stopsOf returns the pending orders to stop the run of a start on its worker.
func (s *script) stopsOf(o mfsched.Start) int {
	count := 0
	for _, c := range takeCommands[mfsched.Stop](s) {
		if c.At.Worker == o.At.Worker && c.Task == o.Order.Task && c.Run == o.Order.Run {
			count++
		}
	}
	return count
}

// silence lets a worker leave its polls unanswered until the leases on it have expired, and returns
// what starts elsewhere.
func (s *script) silence(id mothferry.WorkerID) []mfsched.Start {
	var starts []mfsched.Start
	since := s.now
	for s.now.Sub(since) < 10*time.Second {
		starts = append(starts, s.acceptStarts(50*time.Millisecond)...)
		for _, p := range takeCommands[mfsched.Poll](s) {
			if p.At.Worker == id {
				s.step(mfsched.PollFailed{Worker: id, Number: p.Number, Sent: s.now, Result: mfsched.ResultUnknown})
				continue
			}
			s.step(mfsched.PollAnswered{Worker: p.At.Worker, Number: p.Number, Sent: s.now, Report: mothferry.PollReport{
				Clock: mothferry.WorkerClock(s.now.Sub(startTime) + time.Hour), Running: runningOf(starts),
			}})
		}
	}
	return starts
}

// Guards against two runs of a task: the order to start the first one is held up, its worker's
// incarnation ends, the task starts elsewhere, and the next incarnation under the same id, which
// has seen no stop and has another clock, carries the order out. It must be ordered to stop the run
// as soon as it is known.
func TestReturnedWorkerRefusesLateStarts(t *testing.T) {
	ends := map[string]func(s *script) []mfsched.Start{
		"ended": func(s *script) []mfsched.Start {
			s.step(mfsched.IncarnationEnded{Worker: "w", ListedAt: s.now, Cause: mfsched.IncarnationCrashed})
			return s.acceptStarts(time.Second)
		},
		"lapsed": func(s *script) []mfsched.Start { return s.silence("w") },
		"lapsed and unlisted": func(s *script) []mfsched.Start {
			s.step(mfsched.WorkerUnlisted{Worker: "w"})
			return s.silence("w")
		},
	}
	for end, startElsewhere := range ends {
		for kind, change := range kindsOfSteps {
			t.Run(end+" "+kind, func(t *testing.T) {
				s, first := unansweredStart(t, change)
				s.step(mfsched.StartAnswered{Worker: "w", Sent: s.now, Task: first.Order.Task, Run: first.Order.Run, Result: mfsched.ResultUnknown})
				assert.Equal(t, len(startElsewhere(s)), 1)
				s.stopsOf(first)
				s.listIncarnation("w", secondIncarnation)
				assert.Equal(t, s.stopsOf(first), 1)
				for range 10 {
					s.advance(100 * time.Millisecond)
					for _, p := range takeCommands[mfsched.Poll](s) {
						if p.At.Worker == "w" {
							s.out = append(s.out, p)
							s.answerAs("w", secondIncarnation, mothferry.PollReport{})
						}
					}
				}
				assert.Assert(t, s.stopsOf(first) > 0, "no stop was answered")
				s.step(mfsched.StopAnswered{Worker: "w", Sent: s.now, Task: first.Order.Task, Run: first.Order.Run, Result: mfsched.ResultDone})
				s.advance(10 * time.Millisecond)
				s.answerAs("w", secondIncarnation, mothferry.PollReport{})
				s.advance(2 * time.Second)
				assert.Equal(t, s.stopsOf(first), 0, "it refuses the run")
			})
		}
	}
}

// A task that waits while its worker returns must not start before the new incarnation refuses the
// late start.
func TestTaskWaitsForReturnedWorkerToRefuseIt(t *testing.T) {
	for kind, change := range kindsOfSteps {
		t.Run(kind, func(t *testing.T) {
			s, first := unansweredStart(t, change)
			s.step(mfsched.WorkersToEvacuate{Workers: map[mothferry.WorkerID]bool{"w": true, "w-2": true}})
			s.step(mfsched.IncarnationEnded{Worker: "w", ListedAt: s.now, Cause: mfsched.IncarnationCrashed})
			s.advance(100 * time.Millisecond)
			s.listIncarnation("w", secondIncarnation)
			s.step(mfsched.WorkersToEvacuate{})
			s.advance(10 * time.Millisecond)
			s.answerAs("w", secondIncarnation, mothferry.PollReport{})
			assert.Equal(t, len(s.acceptStarts(200*time.Millisecond)), 0)
			s.step(mfsched.StopAnswered{Worker: "w", Sent: s.now, Task: first.Order.Task, Run: first.Order.Run, Result: mfsched.ResultDone})
			s.advance(10 * time.Millisecond)
			s.answerAs("w", secondIncarnation, mothferry.PollReport{})
			assert.Equal(t, len(s.acceptStarts(200*time.Millisecond)), 0, "its call may reach an incarnation after that")
			s.answerStart(first, mfsched.ResultUnknown, "")
			assert.Equal(t, len(s.acceptStarts(200*time.Millisecond)), 1)
		})
	}
}

// Orders that were answered after all, or were sent long ago, need no stop.
func TestReturnedWorkerIsToldOnlyOfLateStarts(t *testing.T) {
	for _, answered := range []bool{true, false} {
		s, first := unansweredStart(t, kindsOfSteps["finite"])
		s.step(mfsched.IncarnationEnded{Worker: "w", ListedAt: s.now, Cause: mfsched.IncarnationCrashed})
		s.advance(100 * time.Millisecond)
		if answered {
			s.step(mfsched.StartAnswered{Worker: "w", Sent: s.now, Task: first.Order.Task, Run: first.Order.Run, Result: mfsched.ResultIncarnationEnded})
		} else {
			s.advance(2 * time.Minute)
		}
		s.stopsOf(first)
		s.listIncarnation("w", secondIncarnation)
		s.advance(50 * time.Millisecond)
		assert.Equal(t, s.stopsOf(first), 0)
	}
}

// Guards against two runs of a task: its start is refused once and sent again, the worker restarts
// under its id, and the second order is carried out and answered after the new incarnation was
// polled, but before the poll's answer is handled, which doesn't show the run.
func TestStartAnsweredAfterPollMayRun(t *testing.T) {
	for kind, change := range kindsOfSteps {
		t.Run(kind, func(t *testing.T) {
			s, first := unansweredStart(t, change)
			again := s.resentStart()
			s.answerStart(first, mfsched.ResultRefused, mothferry.RefusalCapacity)
			takeCommands[mfsched.Poll](s)
			s.listIncarnation("w", secondIncarnation)
			s.advance(10 * time.Millisecond)
			polls := takeCommands[mfsched.Poll](s)
			polled := s.now
			assert.Equal(t, polls[0].At.Worker, mothferry.WorkerID("w"))
			s.advance(10 * time.Millisecond)
			s.answerStart(again, mfsched.ResultDone, "")
			s.advance(10 * time.Millisecond)
			s.step(mfsched.PollAnswered{Worker: "w", Number: polls[0].Number, Sent: polled, Report: mothferry.PollReport{StartedAt: secondIncarnation, Clock: mothferry.WorkerClock(time.Second)}})
			assert.Equal(t, len(s.acceptStarts(200*time.Millisecond)), 0, "it runs in the new incarnation")
		})
	}
}
