package mfsched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfsched"
)

// Guards against a lasting task that is not restarted after its worker is lost though there is
// free capacity: its owner went on polling the worker, each poll asked for a longer lease, and
// as one of them might have arrived, the lease never counted as expired.
func TestSilentWorkersTasksStartElsewhere(t *testing.T) {
	s, _ := runningOn(t, "w-1")
	s.listWorker("w-2")
	since := s.now
	for s.now.Sub(since) < 7*time.Second {
		s.advance(50 * time.Millisecond)
		for _, p := range takeCommands[mfsched.Poll](s) {
			if p.At.Worker == "w-1" {
				s.step(mfsched.PollFailed{Worker: "w-1", Result: mfsched.ResultUnknown})
				continue
			}
			s.step(mfsched.PollAnswered{Worker: p.At.Worker, Sent: s.now, Report: mothferry.PollReport{
				Clock: mothferry.WorkerClock(s.now.Sub(startTime) + time.Hour),
			}})
		}
		if starts := takeCommands[mfsched.Start](s); len(starts) > 0 {
			assert.Equal(t, starts[0].At.Worker, mothferry.WorkerID("w-2"))
			assert.Assert(t, s.now.Sub(since) >= limits().LeaseDuration-200*time.Millisecond, "started after %v, while the lease may have run", s.now.Sub(since))
			return
		}
	}
	t.Fatal("the task was not started elsewhere")
}

// Guards against a lasting task that stays unavailable though there is free capacity: its
// worker neither runs it nor lists its end, the stop is answered while a poll waits, and the
// poll's answer has the stop sent again. When every answer to a stop counted, the last was
// always newer than the open poll, and no poll counted as later than the stop.
func TestFirstStopAnswerCounts(t *testing.T) {
	s, _ := runningOn(t, "w-1")
	s.advance(100 * time.Millisecond)
	s.step(mfsched.CancelRequested{Job: "j"})
	since := s.now
	for s.now.Sub(since) < 5*time.Second {
		polls := takeCommands[mfsched.Poll](s)
		sent := s.now
		// The answer to a stop arrives just after the poll was sent.
		s.advance(10 * time.Millisecond)
		for _, c := range takeCommands[mfsched.Stop](s) {
			s.step(mfsched.StopAnswered{Worker: "w-1", Task: c.Task, Run: c.Run, Result: mfsched.ResultDone})
		}
		s.advance(time.Second)
		for range polls {
			s.step(mfsched.PollAnswered{Worker: "w-1", Sent: sent, Report: mothferry.PollReport{
				Clock: mothferry.WorkerClock(s.now.Sub(startTime) + time.Hour),
			}})
		}
		s.advance(10 * time.Millisecond)
	}
	assert.Equal(t, s.state.Loads()["w-1"].Tasks, 0)
}

// Guards against a task that runs once more after it is done: its worker stops answering, its
// lease expires, and its start elsewhere has no answer. The first worker then lists the task
// as done, and the start is carried out late. The second worker must be ordered to stop a run
// that is not there yet.
func TestLateStartOfDoneTaskIsStopped(t *testing.T) {
	s, task := runningOn(t, "w-1")
	s.listWorker("w-2")
	for len(takeCommands[mfsched.Start](s)) == 0 {
		s.advance(50 * time.Millisecond)
		for _, p := range takeCommands[mfsched.Poll](s) {
			if p.At.Worker == "w-1" {
				s.step(mfsched.PollFailed{Worker: "w-1", Result: mfsched.ResultUnknown})
				continue
			}
			s.step(mfsched.PollAnswered{Worker: "w-2", Sent: s.now, Report: mothferry.PollReport{Clock: mothferry.WorkerClock(time.Hour)}})
		}
		assert.Assert(t, s.now.Sub(startTime) < 20*time.Second, "the task was not ordered elsewhere")
	}
	s.advance(400 * time.Millisecond)
	s.answerPoll("w-1", mothferry.PollReport{Ended: []mothferry.EndedTask{{Number: 1, Task: task, Run: 1, Cause: mothferry.EndDone}}})
	stops := takeCommands[mfsched.Stop](s)
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].At.Worker, mothferry.WorkerID("w-2"))
	assert.Equal(t, stops[0].Run, mothferry.RunNumber(2))
}

// Guards against a task that is stopped and restarted every 1.4 s without bound, with all its
// work lost each time, because it makes no progress wherever it runs. Its percentage may just
// be reported too rarely, so each stop doubles the time that the next run may make no
// progress.
func TestStuckTimeoutDoublesWithEachStop(t *testing.T) {
	s, _ := runningOn(t, "w")
	run, stops := mothferry.RunNumber(1), 0
	for end := s.now.Add(20 * time.Second); s.now.Before(end); {
		s.advance(50 * time.Millisecond)
		for _, o := range takeCommands[mfsched.Start](s) {
			run = o.Order.Run
			s.answerStart(o, mfsched.ResultDone, "")
		}
		report := mothferry.PollReport{Clock: mothferry.WorkerClock(s.now.Sub(startTime) + time.Hour)}
		if stopped := takeCommands[mfsched.Stop](s); len(stopped) > 0 {
			stops++
			report.Ended = []mothferry.EndedTask{{Number: mothferry.EndNumber(stops), Task: stopped[0].Task, Run: stopped[0].Run, Cause: mothferry.EndStopped}}
		} else {
			report.Running = []mothferry.RunningTask{{Task: mothferry.TaskName{Job: "j"}, Run: run, Percent: 10}}
		}
		for _, p := range takeCommands[mfsched.Poll](s) {
			s.step(mfsched.PollAnswered{Worker: "w", Number: p.Number, Sent: s.now, Report: report})
		}
	}
	assert.Assert(t, stops <= 4, "stopped %d times in 20 s", stops)
	assert.Assert(t, stops > 1)
}
