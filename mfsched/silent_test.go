package mfsched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfsched"
)

// Symptom: a lasting task was not started again for 28 s after its worker was
// lost, though there was room.
// Events: a worker falls silent for good; its owner goes on looking at it.
// Cause: each look without answer asked for a longer lease, and as one of them
// may have arrived, the lease never counted as lapsed.
func TestSilentWorkersTasksStartElsewhere(t *testing.T) {
	s, _ := runningOn(t, "w-1")
	s.listWorker("w-2")
	began := s.now
	for s.now.Sub(began) < 7*time.Second {
		s.advance(50 * time.Millisecond)
		for _, l := range takeCommands[mfsched.Poll](s) {
			if l.At.Worker == "w-1" {
				s.step(mfsched.PollFailed{Worker: "w-1", Result: mfsched.ResultUnknown})
				continue
			}
			s.step(mfsched.PollAnswered{Worker: l.At.Worker, Sent: s.now, Report: mothferry.LookReport{
				Clock: mothferry.WorkerClock(s.now.Sub(startTime) + time.Hour),
			}})
		}
		if starts := takeCommands[mfsched.Start](s); len(starts) > 0 {
			assert.Equal(t, starts[0].At.Worker, mothferry.WorkerID("w-2"))
			assert.Assert(t, s.now.Sub(began) >= limits().LeaseDuration-200*time.Millisecond, "started after %v, while the lease may have run", s.now.Sub(began))
			return
		}
	}
	t.Fatal("the task was not started elsewhere")
}

// Symptom: a lasting task was away for 20 s though there was room, until
// another host became the owner.
// Events: a task's worker neither runs it nor lists its end; the stop is
// answered while a look waits, and the look's answer has it sent again.
// Cause: each answer to a stop counted anew, so that it always came after the
// look under way was sent, and no look ever counted as later.
func TestFirstStopAnswerCounts(t *testing.T) {
	s, _ := runningOn(t, "w-1")
	s.advance(100 * time.Millisecond)
	s.step(mfsched.CancelRequested{Job: "j"})
	began := s.now
	for s.now.Sub(began) < 5*time.Second {
		looks := takeCommands[mfsched.Poll](s)
		sent := s.now
		// The answer to a stop arrives just after the look was sent.
		s.advance(10 * time.Millisecond)
		for _, c := range takeCommands[mfsched.Stop](s) {
			s.step(mfsched.StopAnswered{Worker: "w-1", Task: c.Task, Run: c.Run, Result: mfsched.ResultDone})
		}
		s.advance(time.Second)
		for range looks {
			s.step(mfsched.PollAnswered{Worker: "w-1", Sent: sent, Report: mothferry.LookReport{
				Clock: mothferry.WorkerClock(s.now.Sub(startTime) + time.Hour),
			}})
		}
		s.advance(10 * time.Millisecond)
	}
	assert.Equal(t, s.state.Loads()["w-1"].Tasks, 0)
}

// Symptom: a task ran once more after it was done.
// Events: a worker falls silent, its lease lapses, the task is ordered elsewhere
// and that order has no answer; the first worker comes back and lists the task
// as done; the order is carried out late.
// Cause: the second worker was not told to stop a run that was not there yet.
func TestLateStartOfDoneTaskIsStopped(t *testing.T) {
	s, task := runningOn(t, "w-1")
	s.listWorker("w-2")
	for len(takeCommands[mfsched.Start](s)) == 0 {
		s.advance(50 * time.Millisecond)
		for _, l := range takeCommands[mfsched.Poll](s) {
			if l.At.Worker == "w-1" {
				s.step(mfsched.PollFailed{Worker: "w-1", Result: mfsched.ResultUnknown})
				continue
			}
			s.step(mfsched.PollAnswered{Worker: "w-2", Sent: s.now, Report: mothferry.LookReport{Clock: mothferry.WorkerClock(time.Hour)}})
		}
		assert.Assert(t, s.now.Sub(startTime) < 20*time.Second, "the task was not ordered elsewhere")
	}
	s.advance(400 * time.Millisecond)
	s.answerPoll("w-1", mothferry.LookReport{Ended: []mothferry.EndedTask{{Number: 1, Task: task, Run: 1, Cause: mothferry.EndDone}}})
	stops := takeCommands[mfsched.Stop](s)
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].At.Worker, mothferry.WorkerID("w-2"))
	assert.Equal(t, stops[0].Run, mothferry.RunNumber(2))
}

// A task that stands still wherever it runs was stopped and started again every 1.4 s, without
// bound, with all its work lost each time. Its percentage may just be told too rarely. Each
// stop doubles the time that it may stand still the next time.
func TestStuckTimeoutDoublesWithEachStop(t *testing.T) {
	s, _ := runningOn(t, "w")
	run, stops := mothferry.RunNumber(1), 0
	for end := s.now.Add(20 * time.Second); s.now.Before(end); {
		s.advance(50 * time.Millisecond)
		for _, o := range takeCommands[mfsched.Start](s) {
			run = o.Order.Run
			s.answerStart(o, mfsched.ResultDone, "")
		}
		report := mothferry.LookReport{Clock: mothferry.WorkerClock(s.now.Sub(startTime) + time.Hour)}
		if stopped := takeCommands[mfsched.Stop](s); len(stopped) > 0 {
			stops++
			report.Ended = []mothferry.EndedTask{{Number: mothferry.EndNumber(stops), Task: stopped[0].Task, Run: stopped[0].Run, Cause: mothferry.EndStopped}}
		} else {
			report.Running = []mothferry.RunningTask{{Task: mothferry.TaskName{Job: "j"}, Run: run, Percent: 10}}
		}
		for _, l := range takeCommands[mfsched.Poll](s) {
			s.step(mfsched.PollAnswered{Worker: "w", Number: l.Number, Sent: s.now, Report: report})
		}
	}
	assert.Assert(t, stops <= 4, "stopped %d times in 20 s", stops)
	assert.Assert(t, stops > 1)
}
