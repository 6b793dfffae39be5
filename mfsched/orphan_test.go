package mfsched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfsched"
)

// inheritedKind returns a job with one step of a kind whose tasks have the given stored progress.
func inheritedKind(at time.Time, change func(p *mfjob.Step), tasks ...mfjob.TaskProgress) mfsched.JobFound {
	e := inheritedStep(at, tasks...)
	e.Submission.Steps[0].Lasting, e.Submission.Steps[0].MayMiss = false, 0
	change(&e.Submission.Steps[0])
	return e
}

// withOrphan returns a new owner's scheduler with a job of two tasks of a kind that are nowhere on
// record, and a run of the first one that a worker reports.
func withOrphan(t *testing.T, change func(p *mfjob.Step)) (*script, mothferry.PollReport) {
	t.Helper()
	s := newScript(t)
	s.addReadyWorker("w-1")
	s.listWorker("w-2")
	s.advance(10 * time.Millisecond)
	s.answerPoll("w-2", mothferry.PollReport{})
	s.advance(30 * time.Millisecond)
	s.step(inheritedKind(s.now, change, mfjob.TaskProgress{Run: 1}, mfjob.TaskProgress{Run: 1}))
	report := oneRun(0, 1)
	s.answerPoll("w-2", report)
	return s, report
}

// startsOf returns the starts of the first task that are pending.
func (s *script) startsOfFirst() []mfsched.Start {
	var out []mfsched.Start
	for _, o := range takeCommands[mfsched.Start](s) {
		s.answerStart(o, mfsched.ResultDone, "")
		if o.Order.Task.Index == 0 {
			out = append(out, o)
		}
	}
	return out
}

// Guards against a task that is started while a run of it, which this owner did not know of, is at
// work on another worker and is only ordered to stop.
func TestTaskWaitsForOrphanedRun(t *testing.T) {
	for kind, change := range kindsOfSteps {
		t.Run(kind, func(t *testing.T) {
			s, report := withOrphan(t, change)
			assert.Equal(t, len(takeCommands[mfsched.Stop](s)), 1)
			for range 10 {
				s.advance(100 * time.Millisecond)
				assert.Equal(t, len(s.startsOfFirst()), 0, "it runs on w-2")
				s.answerPoll("w-2", report)
			}
			s.advance(100 * time.Millisecond)
			s.answerPoll("w-2", mothferry.PollReport{Ended: []mothferry.EndedTask{{Number: 1, Task: report.Running[0].Task, Run: 1, Cause: mothferry.EndStopped}}})
			s.advance(100 * time.Millisecond)
			assert.Equal(t, len(s.startsOfFirst()), 1, "the run has ended")
		})
	}
}

// Guards against a start that is sent although a run of its task was reported while the start's
// intent was being stored. The members of a gang start together or not at all.
func TestPlannedStartWaitsForOrphanedRun(t *testing.T) {
	for kind, change := range kindsOfSteps {
		t.Run(kind, func(t *testing.T) {
			s := newScript(t)
			s.addReadyWorker("w-1")
			s.addReadyWorker("w-2")
			s.submitStep("j", 2, change)
			s.now = s.now.Add(30 * time.Millisecond)
			s.step(mfsched.Tick{})
			commits := takeCommands[mfsched.Commit](s)
			assert.Equal(t, len(commits), 1)
			s.advance(10 * time.Millisecond)
			s.answerPoll("w-2", oneRun(0, 7))
			assert.Equal(t, len(takeCommands[mfsched.Stop](s)), 1)
			s.step(mfsched.CommitDone{Number: commits[0].Number})
			starts := takeCommands[mfsched.Start](s)
			expected := 1
			if kind == "gang" {
				expected = 0
			}
			assert.Equal(t, len(starts), expected)
			for _, o := range starts {
				assert.Equal(t, o.Order.Task.Index, 1)
				s.answerStart(o, mfsched.ResultDone, "")
			}
			s.advance(100 * time.Millisecond)
			assert.Equal(t, len(s.startsOfFirst()), 0)
			s.answerPoll("w-2", mothferry.PollReport{Ended: []mothferry.EndedTask{{Number: 1, Task: mothferry.TaskName{Job: "j"}, Run: 7, Cause: mothferry.EndStopped}}})
			s.advance(100 * time.Millisecond)
			assert.Equal(t, len(s.startsOfFirst()), 1)
		})
	}
}

// Guards against a task that is started while an orphaned run of it is on a worker that is not
// listed any more, and against one that is never started because that worker is lost.
func TestTaskWaitsForOrphanedRunOfUnlistedWorker(t *testing.T) {
	for kind, change := range kindsOfSteps {
		t.Run(kind, func(t *testing.T) {
			s, _ := withOrphan(t, change)
			s.step(mfsched.WorkerUnlisted{Worker: "w-2"})
			lost := s.now
			for s.now.Sub(lost) < 10*time.Second {
				s.advance(50 * time.Millisecond)
				for _, p := range takeCommands[mfsched.Poll](s) {
					if p.At.Worker == "w-2" {
						s.step(mfsched.PollFailed{Worker: "w-2", Number: p.Number, Sent: s.now, Result: mfsched.ResultUnknown})
						continue
					}
					s.step(mfsched.PollAnswered{Worker: p.At.Worker, Number: p.Number, Sent: s.now, Report: mothferry.PollReport{Clock: mothferry.WorkerClock(s.now.Sub(startTime) + time.Hour)}})
				}
				if len(s.startsOfFirst()) > 0 {
					assert.Assert(t, s.now.Sub(lost) >= limits().LeaseDuration-200*time.Millisecond, "started after %v, while the lease may run", s.now.Sub(lost))
					return
				}
			}
			t.Fatal("never started")
		})
	}
}

// An orphaned run ends with its worker's incarnation.
func TestOrphanedRunEndsWithItsWorker(t *testing.T) {
	for kind, change := range kindsOfSteps {
		t.Run(kind, func(t *testing.T) {
			s, _ := withOrphan(t, change)
			s.step(mfsched.IncarnationEnded{Worker: "w-2", ListedAt: s.now, Cause: mfsched.IncarnationCrashed})
			s.advance(100 * time.Millisecond)
			assert.Equal(t, len(s.startsOfFirst()), 1)
		})
	}
}

// Guards against a task that is started once more after it is done: the start of another run has
// no answer when the work is done elsewhere, and the order to stop that run is lost. An answer to
// a poll that overtook the stop shows only that the run was not there yet.
func TestStopOfUnseenRunIsRepeated(t *testing.T) {
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
	s.step(mfsched.StopAnswered{Worker: "w-2", Sent: s.now, Task: task, Run: 2, Result: mfsched.ResultUnknown})
	s.listWorker("w-1")
	repeated := 0
	answerPolls := func() {
		s.advance(100 * time.Millisecond)
		for _, p := range takeCommands[mfsched.Poll](s) {
			s.step(mfsched.PollAnswered{Worker: p.At.Worker, Number: p.Number, Sent: s.now, Report: mothferry.PollReport{Clock: mothferry.WorkerClock(s.now.Sub(startTime) + time.Hour)}})
		}
		repeated += len(takeCommands[mfsched.Stop](s))
	}
	for range 10 {
		answerPolls()
	}
	assert.Equal(t, repeated, 2, "in one second")
	s.step(mfsched.StopAnswered{Worker: "w-2", Sent: s.now, Task: task, Run: 2, Result: mfsched.ResultDone})
	repeated = 0
	for range 10 {
		answerPolls()
	}
	assert.Equal(t, repeated, 0, "its worker refuses it")
}

// Guards against a task that never starts again: the config drops the service of a worker on which a run of
// the task is being stopped, the worker had no other task, and was polled no more.
func TestOrphanOnWorkerOfDroppedServiceEnds(t *testing.T) {
	s, report := withOrphan(t, func(*mfjob.Step) {})
	const other = "s2"
	w := worker("w-3")
	w.Service, w.At.Address = other, "10.0.0.3:1"
	s.step(mfsched.WorkerListed{Worker: w})
	s.step(mfsched.ConfigChanged{
		Queues:   map[mothferry.QueueID]mfsched.Queue{queue: {Service: other, MaxAttempts: 2, Stretch: 1.6, Latency: 600 * time.Millisecond}},
		Services: map[mothferry.ServiceID]bool{other: true},
	})
	for _, c := range takeCommands[mfsched.Stop](s) {
		s.step(mfsched.StopAnswered{Worker: c.At.Worker, Sent: s.now, Task: c.Task, Run: c.Run, Result: mfsched.ResultDone})
	}
	for range 500 {
		s.advance(10 * time.Millisecond)
		for _, p := range takeCommands[mfsched.Poll](s) {
			answer := mothferry.PollReport{Clock: mothferry.WorkerClock(s.now.Sub(startTime) + time.Hour)}
			if p.At.Worker == "w-2" {
				answer.Ended = []mothferry.EndedTask{{Number: 1, Task: report.Running[0].Task, Run: report.Running[0].Run, Cause: mothferry.EndStopped}}
			}
			s.step(mfsched.PollAnswered{Worker: p.At.Worker, Number: p.Number, Sent: s.now, Report: answer})
		}
		for _, o := range takeCommands[mfsched.Start](s) {
			s.answerStart(o, mfsched.ResultDone, "")
			if o.Order.Task == report.Running[0].Task {
				return
			}
		}
	}
	t.Fatal("the task was not started within 5 s")
}
