package mfsched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfsched"
)

// Guards against a task that crashes each worker 10 ms after its start and is restarted at
// once on the next one, several times a second. Each crash ended the 13 to 21 other tasks of
// the worker as well. The end of a worker requeued its tasks, and no record was kept that it
// had crashed under them.
func TestTaskThatCrashesItsWorkersFails(t *testing.T) {
	s := newScript(t)
	s.submit("j", 1)
	starts, state := 0, mfjob.StateRunning
	for n := range 12 {
		id := mothferry.WorkerID("w-" + string(rune('a'+n)))
		s.listWorker(id)
		s.advance(10 * time.Millisecond)
		s.answerPoll(id, mothferry.PollReport{})
		for range 30 {
			s.now = s.now.Add(10 * time.Millisecond)
			s.step(mfsched.Tick{})
			for _, c := range takeCommands[mfsched.Commit](s) {
				if p, in := c.Progress["j"]; in {
					state = p.State
				}
				s.step(mfsched.CommitDone{Number: c.Number})
			}
			for _, o := range takeCommands[mfsched.Start](s) {
				starts++
				s.answerStart(o, mfsched.ResultDone, "")
				s.step(mfsched.IncarnationEnded{Worker: id, Cause: mfsched.IncarnationCrashed})
			}
		}
	}
	assert.Assert(t, starts < 3+3, "started %d times, three of them after three workers had crashed", starts)
	assert.Equal(t, state, mfjob.StateFailed)
}

// crash ends a worker's incarnation by a crash and lists the next one of its machine.
func (s *script) crash(id, next mothferry.WorkerID) {
	s.t.Helper()
	s.step(mfsched.IncarnationEnded{Worker: id, Cause: mfsched.IncarnationCrashed})
	s.listWorker(next)
	s.advance(10 * time.Millisecond)
	s.answerPoll(next, mothferry.PollReport{})
}

// acceptStarts lets time pass and accepts the starts that are ordered.
func (s *script) acceptStarts(d time.Duration) []mfsched.Start {
	var starts []mfsched.Start
	for end := s.now.Add(d); s.now.Before(end); {
		s.advance(10 * time.Millisecond)
		for _, o := range takeCommands[mfsched.Start](s) {
			starts = append(starts, o)
			s.answerStart(o, mfsched.ResultDone, "")
		}
	}
	return starts
}

// reportRunning answers the poll of a worker with the given runs.
func (s *script) reportRunning(id mothferry.WorkerID, percent int, starts ...mfsched.Start) {
	s.t.Helper()
	var r mothferry.PollReport
	for _, o := range starts {
		r.Running = append(r.Running, mothferry.RunningTask{Task: o.Order.Task, Run: o.Order.Run, Percent: percent})
	}
	s.answerPoll(id, r)
}

// finishedJobs returns the jobs that finished in a state.
func (s *script) finishedJobs(state mfjob.State) []mothferry.JobID {
	var jobs []mothferry.JobID
	for _, d := range takeCommands[mfsched.Decision](s) {
		if d.Message == "job is over" && d.Fields["state"] == state {
			jobs = append(jobs, d.Job)
		}
	}
	return jobs
}

// A crash ends a dozen tasks that have nothing to do with it and had run there for long. They
// restart at once, all together. Only a second crash has them tried one at a time, and a third
// one fails none of them.
func TestUninvolvedTasksRestartAfterCrash(t *testing.T) {
	s := newScript(t)
	s.listWorker("w-0")
	s.advance(10 * time.Millisecond)
	s.answerPoll("w-0", mothferry.PollReport{})
	s.submit("j", 4)
	for crashes, next := range []mothferry.WorkerID{"w-1", "w-2", "w-3"} {
		starts := s.acceptStarts(300 * time.Millisecond)
		together := 4
		if crashes > 1 {
			together = 1
		}
		assert.Equal(t, len(starts), together)
		s.reportRunning(starts[0].At.Worker, 40, starts...)
		s.crash(starts[0].At.Worker, next)
		assert.Equal(t, len(s.finishedJobs(mfjob.StateFailed)), 0)
	}
}

// Any of the tasks started just before a crash may have caused it. Each is tried on a worker
// that gets nothing else until its early-crash window has passed. Only the one that crashes
// its worker again is failed.
func TestTasksStartedBeforeCrashAreTriedAlone(t *testing.T) {
	s := newScript(t)
	s.listWorker("w-0")
	s.advance(10 * time.Millisecond)
	s.answerPoll("w-0", mothferry.PollReport{})
	s.submit("j", 1)
	s.submit("k", 1)
	assert.Equal(t, len(s.acceptStarts(60*time.Millisecond)), 2)
	s.crash("w-0", "w-1")
	s.submit("l", 1)

	first := s.acceptStarts(60 * time.Millisecond)
	assert.Equal(t, len(first), 1, "one suspect at a time, and nothing beside it: %v", first)
	s.acceptStarts(100 * time.Millisecond)
	s.reportRunning("w-1", 40, first...)
	second := s.acceptStarts(60 * time.Millisecond)
	assert.Assert(t, len(second) >= 1)
	crashing := second[0].Order.Task.Job
	assert.Assert(t, crashing != first[0].Order.Task.Job)
	s.crash("w-1", "w-2")
	if crashing == "l" {
		t.Fatal("a task started after the crash needs no trial")
	}
	assert.DeepEqual(t, s.finishedJobs(mfjob.StateFailed), []mothferry.JobID{crashing})
}

// crashBesideFullWorkers returns a scheduler whose worker w-1 crashed just after job j started
// there, and the runs on each of the other workers, which are fully occupied.
func crashBesideFullWorkers(t *testing.T, full ...mothferry.WorkerID) (*script, map[mothferry.WorkerID][]mfsched.Start) {
	t.Helper()
	s := newScript(t)
	others := map[mothferry.WorkerID][]mfsched.Start{}
	for _, id := range full {
		s.listWorker(id)
		s.advance(10 * time.Millisecond)
		s.answerPoll(id, mothferry.PollReport{})
		s.submit(jobID("on-"+string(id)), 16)
		others[id] = s.acceptStarts(300 * time.Millisecond)
		assert.Equal(t, len(others[id]), 16)
		s.reportRunning(id, 40, others[id]...)
	}
	s.listWorker("w-1")
	s.advance(10 * time.Millisecond)
	s.answerPoll("w-1", mothferry.PollReport{})
	s.submit("j", 1)
	suspects := s.acceptStarts(60 * time.Millisecond)
	assert.Equal(t, len(suspects), 1)
	assert.Equal(t, suspects[0].At.Worker, mothferry.WorkerID("w-1"))
	s.crash("w-1", "w-2")
	return s, others
}

// startDelay returns the time until the next task is started while the others keep running.
func (s *script) startDelay(others map[mothferry.WorkerID][]mfsched.Start) time.Duration {
	s.t.Helper()
	since := s.now
	for len(s.acceptStarts(100*time.Millisecond)) == 0 {
		for id, starts := range others {
			s.reportRunning(id, 60, starts...)
		}
		assert.Assert(s.t, s.now.Sub(since) < time.Minute)
	}
	return s.now.Sub(since)
}

// Guards against a second crash in a busy service, caused by an immediate trial of the run
// that was ordered last before the first.
func TestTrialOfLikeliestCauseWaitsForLightLoad(t *testing.T) {
	s, others := crashBesideFullWorkers(t, "w-a", "w-b")
	for range 30 {
		assert.Equal(t, len(s.acceptStarts(100*time.Millisecond)), 0)
		for id, starts := range others {
			s.reportRunning(id, 60, starts...)
		}
	}
	s.advance(100 * time.Millisecond)
	for id, starts := range others {
		var report mothferry.PollReport
		for i, o := range starts {
			report.Ended = append(report.Ended, mothferry.EndedTask{Number: mothferry.EndNumber(i + 1), Task: o.Order.Task, Run: o.Order.Run, Cause: mothferry.EndDone})
		}
		s.answerPoll(id, report)
	}
	assert.Equal(t, len(s.acceptStarts(300*time.Millisecond)), 1)
}

// Guards against a task that never starts again because its service stays busy.
func TestTrialInABusyServiceIsNotPostponedIndefinitely(t *testing.T) {
	s, others := crashBesideFullWorkers(t, "w-a", "w-b")
	waited := s.startDelay(others)
	assert.Assert(t, waited > 9*time.Second && waited < 11*time.Second, "%v", waited)
}

// Guards against a task that waits for the full delay although its service has free cores.
func TestTrialInAHalfIdleServiceIsNotPostponedForLong(t *testing.T) {
	s, others := crashBesideFullWorkers(t, "w-a")
	waited := s.startDelay(others)
	assert.Assert(t, waited < 3*time.Second, "%v", waited)
}

// Machines are moved between pools and taken down for maintenance all the time, some with a
// short task on them. Counted as crashes, those ends would fail healthy tasks.
func TestPlannedEndsDoNotCountAsCrashes(t *testing.T) {
	s := newScript(t)
	s.submit("j", 1)
	for n := range 8 {
		id := mothferry.WorkerID("w-" + string(rune('a'+n)))
		s.listWorker(id)
		s.advance(10 * time.Millisecond)
		s.answerPoll(id, mothferry.PollReport{})
		assert.Equal(t, len(s.acceptStarts(60*time.Millisecond)), 1)
		s.step(mfsched.IncarnationEnded{Worker: id, Cause: mfsched.IncarnationEndPlanned})
	}
	assert.Equal(t, len(s.finishedJobs(mfjob.StateFailed)), 0)
}

// A lasting task sees many workers end in its lifetime. Once it has been serving for some
// seconds, earlier crashes no longer count.
func TestCrashCountsResetOnceLastingTaskIsAtWork(t *testing.T) {
	s := newScript(t)
	job := submission(s.now, 1)
	job.Steps[0].Lasting = true
	s.step(mfsched.JobFound{Job: "j", Submission: job})
	s.listWorker("w-0")
	s.advance(10 * time.Millisecond)
	s.answerPoll("w-0", mothferry.PollReport{})
	for n := range 8 {
		id, next := mothferry.WorkerID("w-"+string(rune('0'+n))), mothferry.WorkerID("w-"+string(rune('1'+n)))
		starts := s.acceptStarts(2500 * time.Millisecond)
		assert.Assert(t, len(starts) > 0)
		s.reportRunning(id, 100, starts[0])
		s.crash(id, next)
	}
	assert.Equal(t, len(s.finishedJobs(mfjob.StateFailed)), 0)
}

// The leases on a crashed worker may expire before the machine list shows the crash, which
// must count all the same.
func TestCrashAfterLeaseExpiryCounts(t *testing.T) {
	s := newScript(t)
	s.submit("j", 1)
	starts := map[mothferry.RunNumber]bool{}
	for n := range 8 {
		id := mothferry.WorkerID("w-" + string(rune('a'+n)))
		s.listWorker(id)
		s.advance(10 * time.Millisecond)
		s.answerPoll(id, mothferry.PollReport{})
		for _, o := range s.acceptStarts(60 * time.Millisecond) {
			starts[o.Order.Run] = true
		}
		for range 90 {
			s.acceptStarts(100 * time.Millisecond)
			for _, p := range takeCommands[mfsched.Poll](s) {
				s.step(mfsched.PollFailed{Worker: p.At.Worker, Number: p.Number, Sent: s.now, Result: mfsched.ResultUnknown})
			}
		}
		s.step(mfsched.IncarnationEnded{Worker: id, Cause: mfsched.IncarnationCrashed})
	}
	assert.DeepEqual(t, s.finishedJobs(mfjob.StateFailed), []mothferry.JobID{"j"})
	assert.Assert(t, len(starts) > 2 && len(starts) < 6, "%d runs", len(starts))
}

// The owner is lost between two crashes. The new owner restores the first one from the stored
// progress, and fails the task after the next one.
func TestNewOwnerRestoresCrashCounts(t *testing.T) {
	s := newScript(t)
	found := restoredJob(s.now)
	found.Progress.Occurrences[0][0].Tasks[0] = mfjob.TaskProgress{Run: 1, Crashes: mfjob.Crashes{Known: 1, Early: 1}}
	s.step(found)
	s.listWorker("w-0")
	s.advance(10 * time.Millisecond)
	s.answerPoll("w-0", mothferry.PollReport{})
	assert.Equal(t, len(s.acceptStarts(60*time.Millisecond)), 1)
	s.crash("w-0", "w-1")
	assert.DeepEqual(t, s.finishedJobs(mfjob.StateFailed), []mothferry.JobID{"j"})
}

// Guards against rows of finished jobs that are written again and then stay for good: a worker
// is found to have crashed after the jobs whose leases expired there are finished and deleted.
func TestCrashWritesNoRowsOfFinishedJobs(t *testing.T) {
	s, _ := runningOn(t, "w")
	for range 120 {
		s.advance(50 * time.Millisecond)
		for _, p := range takeCommands[mfsched.Poll](s) {
			s.step(mfsched.PollFailed{Worker: "w", Number: p.Number, Sent: s.now, Result: mfsched.ResultUnknown})
		}
	}
	s.step(mfsched.CancelRequested{Job: "j"})
	s.advance(limits().FinishedJobRetention + time.Second)
	takeCommands[mfsched.Commit](s)
	s.step(mfsched.IncarnationEnded{Worker: "w", Cause: mfsched.IncarnationCrashed})
	for range 100 {
		s.now = s.now.Add(10 * time.Millisecond)
		s.step(mfsched.Tick{})
		for _, c := range takeCommands[mfsched.Commit](s) {
			assert.Equal(t, len(c.Progress), 0, "%v", c.Progress)
			s.step(mfsched.CommitDone{Number: c.Number})
		}
	}
}

// A new owner must not read that a worker may have crashed which has answered its owner since.
func TestAnsweringWorkerClearsUnseenCrashes(t *testing.T) {
	s, _ := runningOn(t, "w")
	s.step(mfsched.WorkersToEvacuate{Workers: map[mothferry.WorkerID]bool{"w": true}})
	var stored mfjob.Crashes
	answerPolls := func(result func(p mfsched.Poll) mfsched.Event) {
		for range 700 {
			s.now = s.now.Add(10 * time.Millisecond)
			s.step(mfsched.Tick{})
			for _, c := range takeCommands[mfsched.Commit](s) {
				if p, in := c.Progress["j"]; in {
					stored = p.Occurrences[0][0].Tasks[0].Crashes
				}
				s.step(mfsched.CommitDone{Number: c.Number})
			}
			for _, p := range takeCommands[mfsched.Poll](s) {
				s.step(result(p))
			}
		}
	}
	answerPolls(func(p mfsched.Poll) mfsched.Event {
		return mfsched.PollFailed{Worker: "w", Number: p.Number, Sent: s.now, Result: mfsched.ResultUnknown}
	})
	assert.Equal(t, stored, mfjob.Crashes{Unseen: 1})
	answerPolls(func(p mfsched.Poll) mfsched.Event {
		return mfsched.PollAnswered{Worker: "w", Number: p.Number, Sent: s.now, Report: mothferry.PollReport{Clock: mothferry.WorkerClock(2 * time.Hour)}}
	})
	assert.Equal(t, stored, mfjob.Crashes{})
}

// Guards against a lasting job that is failed because four workers crashed beside one of its
// tasks, under tasks of other jobs. A lasting task is there whenever its worker crashes, and
// had run on each for longer than its early-crash window. Failing it stopped the other tasks
// of its step, several at a time where one may be unavailable.
func TestLastingJobSurvivesUnrelatedCrashes(t *testing.T) {
	s := newScript(t)
	s.listWorker("w-keep")
	s.advance(10 * time.Millisecond)
	s.answerPoll("w-keep", mothferry.PollReport{})
	s.listWorker("w-0")
	s.advance(10 * time.Millisecond)
	s.answerPoll("w-0", mothferry.PollReport{})
	job := submission(s.now, 2)
	job.Steps[0].Lasting, job.Steps[0].PerWorker, job.Steps[0].MayMiss = true, 1, 1
	s.step(mfsched.JobFound{Job: "j", Submission: job})
	starts := s.acceptStarts(60 * time.Millisecond)
	assert.Equal(t, len(starts), 2)
	for n := range 8 {
		id, next := mothferry.WorkerID("w-"+string(rune('0'+n))), mothferry.WorkerID("w-"+string(rune('1'+n)))
		for _, o := range starts {
			s.reportRunning(o.At.Worker, 100, o)
		}
		s.advance(300 * time.Millisecond)
		for _, o := range starts {
			if o.At.Worker == id {
				s.reportRunning(id, 100, o)
			}
		}
		s.crash(id, next)
		starts = s.acceptStarts(300 * time.Millisecond)
		assert.Equal(t, len(starts), 1, "after %d crashes", n+1)
		assert.Equal(t, len(takeCommands[mfsched.Stop](s)), 0, "after %d crashes", n+1)
	}
	assert.Equal(t, len(s.finishedJobs(mfjob.StateFailed)), 0)
}

// A lasting task that crashes each worker it starts on can't be failed, as the others of its
// step are serving. Its restarts are delayed, so that it crashes one worker every few seconds
// and not six a second. A task that could run must not be unavailable for longer than its
// users tolerate.
func TestLastingTaskThatCrashesItsWorkersIsDelayed(t *testing.T) {
	s := newScript(t)
	job := submission(s.now, 1)
	job.Steps[0].Lasting = true
	s.step(mfsched.JobFound{Job: "j", Submission: job})
	n := 0
	id := func() mothferry.WorkerID { return mothferry.WorkerID("w-" + string(rune('a'+n))) }
	s.listWorker(id())
	var at []time.Time
	for s.now.Before(startTime.Add(20 * time.Second)) {
		s.now = s.now.Add(10 * time.Millisecond)
		s.step(mfsched.Tick{})
		s.storeCommits()
		for _, p := range takeCommands[mfsched.Poll](s) {
			s.step(mfsched.PollAnswered{Worker: p.At.Worker, Number: p.Number, Sent: s.now, Report: mothferry.PollReport{Clock: mothferry.WorkerClock(s.now.Sub(startTime) + time.Hour)}})
		}
		for _, o := range takeCommands[mfsched.Start](s) {
			at = append(at, s.now)
			s.answerStart(o, mfsched.ResultDone, "")
			s.step(mfsched.IncarnationEnded{Worker: id(), Cause: mfsched.IncarnationCrashed})
			n++
			s.listWorker(id())
		}
	}
	assert.Equal(t, len(s.finishedJobs(mfjob.StateFailed)), 0)
	assert.Assert(t, len(at) >= 5 && len(at) <= 9, "started %d times in 20 s", len(at))
	for i := 4; i < len(at); i++ {
		gap := at[i].Sub(at[i-1])
		assert.Assert(t, gap >= 3*time.Second && gap <= 6*time.Second, "started %v after the last time", gap)
	}
}
