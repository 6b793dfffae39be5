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

// Guards against a worker that runs more than its capacity, if it accepts every start: the
// capacity of an orphaned run was given to others while that run was still ending, because only
// assigned tasks were counted.
func TestOrphanedRunsUseCapacityUntilTheyEnd(t *testing.T) {
	s := newScript(t)
	job := submission(s.now, 1)
	job.Steps[0].Need.Cores = 10000
	s.step(mfsched.JobFound{Job: "j", Submission: job})
	s.listWorker("w")
	s.advance(10 * time.Millisecond)
	// A run that a previous owner started has a number that this owner doesn't know.
	orphan := mothferry.RunningTask{Task: mothferry.TaskName{Job: "j"}, Run: 7, Percent: 10}
	s.answerPoll("w", mothferry.PollReport{Running: []mothferry.RunningTask{orphan}})
	s.advance(100 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 0, "10 of 16 cores are reserved for a run that is still there")
	s.answerPoll("w", mothferry.PollReport{})
	s.advance(100 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 1)
}

// Guards against reuse of the capacity of a run whose task was completed elsewhere: a stop is
// ordered, and the run may be there until the worker has reported that it is not.
func TestSupersededRunsUseCapacityUntilTheyEnd(t *testing.T) {
	s, name := runningOn(t, "w-1")
	s.listWorker("w-2")
	s.advance(10 * time.Millisecond)
	s.answerPoll("w-2", mothferry.PollReport{})
	// The first worker is unresponsive until its leases have expired; the task starts again.
	var again []mfsched.Start
	for len(again) == 0 {
		s.advance(50 * time.Millisecond)
		for _, l := range takeCommands[mfsched.Poll](s) {
			if l.At.Worker == "w-1" {
				s.step(mfsched.PollFailed{Worker: "w-1", Number: l.Number, Sent: s.now, Result: mfsched.ResultUnknown})
				continue
			}
			s.step(mfsched.PollAnswered{Worker: "w-2", Number: l.Number, Sent: s.now, Report: mothferry.PollReport{Clock: mothferry.WorkerClock(s.now.Sub(startTime) + time.Hour)}})
		}
		again = takeCommands[mfsched.Start](s)
	}
	s.answerStart(again[0], mfsched.ResultDone, "")
	// Then it reports that the task was completed before that.
	s.step(mfsched.PollAnswered{Worker: "w-1", Sent: s.now, Report: mothferry.PollReport{
		Clock: mothferry.WorkerClock(s.now.Sub(startTime) + time.Hour),
		Ended: []mothferry.EndedTask{{Number: 1, Task: name, Run: 1, Cause: mothferry.EndDone}},
	}})
	s.step(mfsched.WorkersToEvacuate{Workers: map[mothferry.WorkerID]bool{"w-1": true}})
	job := submission(s.now, 1)
	job.Steps[0].Need.Cores = 15500
	s.step(mfsched.JobFound{Job: "k", Submission: job})
	s.advance(100 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 0, "a run of one core may still be there")
	s.step(mfsched.PollAnswered{Worker: "w-2", Sent: s.now, Report: mothferry.PollReport{Clock: mothferry.WorkerClock(s.now.Sub(startTime) + time.Hour)}})
	s.advance(100 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 1)
}

// A worker's capacity shrinks while tasks run there. The new capacity must count from then on, so
// that no task starts there that no longer fits.
func TestShrunkWorkerGetsNoTaskThatDoesNotFit(t *testing.T) {
	s, name := runningOn(t, "w")
	small := worker("w")
	small.Capacity.Cores = 1500
	s.step(mfsched.WorkerListed{Worker: small})
	s.submit("k", 1)
	s.advance(200 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 0)
	s.answerPoll("w", mothferry.PollReport{Ended: []mothferry.EndedTask{{Number: 1, Task: name, Run: 1, Cause: mothferry.EndDone}}})
	s.advance(100 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 1)
}

// Guards against commits that are too large for the store, as when a worker with tasks of large
// jobs ends.
func TestLargeJobsTakeSeveralCommits(t *testing.T) {
	// A third of what a transaction holds, as the journal may move other large jobs in it.
	const maxSize, base64 = 1 << 20 / 3, 4.0 / 3
	s := newScript(t)
	for number := range 60 {
		progress := mfjob.StepProgress{}
		for range mfjob.MaxTasks {
			progress.Tasks = append(progress.Tasks, mfjob.TaskProgress{Run: 1, Worker: "i-00000000", Checkpoint: "0123456789abcdef"})
		}
		s.step(mfsched.JobFound{
			Job: jobID(fmt.Sprintf("%016x", number)), Submission: submission(s.now, mfjob.MaxTasks),
			Progress: &mfjob.Progress{State: mfjob.StateRunning, Occurrences: [][]mfjob.StepProgress{{progress}}},
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
			assert.Assert(t, float64(size)*base64 < maxSize, "%d bytes of %d jobs", size, len(c.Progress))
			s.step(mfsched.CommitDone{Number: c.Number})
		}
	}
	assert.Equal(t, len(stored), 60)
}
