package mfsched_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfsched"
)

// A worker that takes whatever it is told to start had more on it than its room. A run that
// should not be there had been told to stop, and while it was still ending, its room was
// given to others: only what the scheduler meant to be there was counted.
func TestOrphanedRunsUseCapacityUntilTheyEnd(t *testing.T) {
	s := newScript(t)
	job := submission(s.now, 1)
	job.Steps[0].Need.Cores = 10000
	s.step(mfsched.JobFound{Job: "j", Submission: job})
	s.listWorker("w")
	s.advance(10 * time.Millisecond)
	// What a former owner started runs under a number that this one does not know.
	stray := mothferry.RunningTask{Task: mothferry.TaskName{Job: "j"}, Run: 7, Percent: 10}
	s.answerPoll("w", mothferry.LookReport{Running: []mothferry.RunningTask{stray}})
	s.advance(100 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 0, "10 of 16 cores are taken by a run that is still there")
	s.answerPoll("w", mothferry.LookReport{})
	s.advance(100 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 1)
}

// The same with a run whose task has done its work elsewhere: it is told to stop, and may
// be there until the worker has shown that it is not.
func TestSupersededRunsUseCapacityUntilTheyEnd(t *testing.T) {
	s, name := runningOn(t, "w-1")
	s.listWorker("w-2")
	s.advance(10 * time.Millisecond)
	s.answerPoll("w-2", mothferry.LookReport{})
	// The first worker falls silent until its leases have lapsed; the task starts again.
	var again []mfsched.Start
	for len(again) == 0 {
		s.advance(50 * time.Millisecond)
		for _, l := range takeCommands[mfsched.Poll](s) {
			if l.At.Worker == "w-1" {
				s.step(mfsched.PollFailed{Worker: "w-1", Number: l.Number, Sent: s.now, Result: mfsched.ResultUnknown})
				continue
			}
			s.step(mfsched.PollAnswered{Worker: "w-2", Number: l.Number, Sent: s.now, Report: mothferry.LookReport{Clock: mothferry.WorkerClock(s.now.Sub(startTime) + time.Hour)}})
		}
		again = takeCommands[mfsched.Start](s)
	}
	s.answerStart(again[0], mfsched.ResultDone, "")
	// Then it tells that the task had done its work in time.
	s.step(mfsched.PollAnswered{Worker: "w-1", Sent: s.now, Report: mothferry.LookReport{
		Clock: mothferry.WorkerClock(s.now.Sub(startTime) + time.Hour),
		Ended: []mothferry.EndedTask{{Number: 1, Task: name, Run: 1, Cause: mothferry.EndDone}},
	}})
	s.step(mfsched.WorkersToEvacuate{Workers: map[mothferry.WorkerID]bool{"w-1": true}})
	job := submission(s.now, 1)
	job.Steps[0].Need.Cores = 15500
	s.step(mfsched.JobFound{Job: "k", Submission: job})
	s.advance(100 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 0, "a run of one core may still be there")
	s.step(mfsched.PollAnswered{Worker: "w-2", Sent: s.now, Report: mothferry.LookReport{Clock: mothferry.WorkerClock(s.now.Sub(startTime) + time.Hour)}})
	s.advance(100 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 1)
}

// A worker's room shrinks while tasks run there: what it tells of itself counts from then
// on, and nothing is started there that does not fit any more.
func TestShrunkWorkerGetsNoTaskThatDoesNotFit(t *testing.T) {
	s, name := runningOn(t, "w")
	small := worker("w")
	small.Capacity.Cores = 1500
	s.step(mfsched.WorkerListed{Worker: small})
	s.submit("k", 1)
	s.advance(200 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 0)
	s.answerPoll("w", mothferry.LookReport{Ended: []mothferry.EndedTask{{Number: 1, Task: name, Run: 1, Cause: mothferry.EndDone}}})
	s.advance(100 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 1)
}

// An owner must not put more into one commit than the store takes, as when a worker with large jobs ends.
func TestLargeJobsTakeSeveralCommits(t *testing.T) {
	// A third of what a transaction takes, as the journal may move other large jobs in it.
	const most, base64 = 1 << 20 / 3, 4.0 / 3
	s := newScript(t)
	for number := range 60 {
		at := mfjob.StepProgress{}
		for range mfjob.MaxTasks {
			at.Tasks = append(at.Tasks, mfjob.TaskProgress{Run: 1, Worker: "i-00000000", Checkpoint: "0123456789abcdef"})
		}
		s.step(mfsched.JobFound{
			Job: jobID(fmt.Sprintf("%016x", number)), Submission: submission(s.now, mfjob.MaxTasks),
			Progress: &mfjob.Progress{State: mfjob.StateRunning, Occurrences: [][]mfjob.StepProgress{{at}}},
		})
	}
	s.step(mfsched.IncarnationEnded{Worker: "i-00000000", Cause: mfsched.IncarnationEndPlanned})
	stored := map[mothferry.JobID]bool{}
	for range 1000 {
		s.now = s.now.Add(10 * time.Millisecond)
		s.step(mfsched.Tick{})
		for _, c := range takeCommands[mfsched.Commit](s) {
			size := 0
			for id, p := range c.Progress {
				size += len(mfjob.EncodeProgress(p))
				stored[id] = true
			}
			assert.Assert(t, float64(size)*base64 < most, "%d bytes of %d jobs", size, len(c.Progress))
			s.step(mfsched.CommitDone{Number: c.Number})
		}
	}
	assert.Equal(t, len(stored), 60)
}
