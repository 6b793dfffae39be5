package mfsched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfsched"
)

// restoredJob returns a job of which a previous owner started one task on worker w-1.
func restoredJob(at time.Time) mfsched.JobFound {
	return mfsched.JobFound{Job: "j", Submission: submission(at, 1), Progress: &mfjob.Progress{
		State:       mfjob.StateRunning,
		Occurrences: [][]mfjob.StepProgress{{{Tasks: []mfjob.TaskProgress{{Run: 1, Worker: "w-1"}}}}},
	}}
}

// Guards against two runs of a task after a takeover: an owner in a partitioned data centre
// keeps a run alive on a worker that the new owner can't reach, and the worker's entry is
// removed. When the partition heals, the worker answers its first poll and still runs the
// task. The new owner had requested no lease yet, took the lease as expired once the worker
// had answered, and started the task elsewhere.
func TestAnsweringWorkerKeepsItsRuns(t *testing.T) {
	s := newScript(t)
	s.step(restoredJob(s.now))
	s.listWorker("w-1")
	s.listWorker("w-2")
	s.step(mfsched.WorkerUnlisted{Worker: "w-1"})
	s.advance(10 * time.Millisecond)
	s.answerPoll("w-2", mothferry.PollReport{})
	s.answerPoll("w-1", mothferry.PollReport{Running: []mothferry.RunningTask{{
		Task: mothferry.TaskName{Job: "j"}, Run: 1, Percent: 10,
	}}})
	s.advance(200 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 0)
	assert.Equal(t, len(takeCommands[mfsched.Stop](s)), 0)
}

// Guards against two runs of a task after a takeover: the previous owner, partitioned from
// the store and from the new owner, goes on extending the lease of a worker that the new owner
// can't reach. The new owner must wait for as long as the previous owner may extend it, and
// for the longest lease.
func TestTakeoverWaitsForLeaseOfSilentWorker(t *testing.T) {
	s := newScript(t)
	s.step(restoredJob(s.now))
	s.listWorker("w-2")
	s.advance(50 * time.Millisecond)
	s.answerPoll("w-2", mothferry.PollReport{})
	l := limits()
	for s.now.Before(startTime.Add(l.RenewLeasesFor + l.LeaseDuration)) {
		s.advance(100 * time.Millisecond)
		answerIdle(s, "w-2")
		assert.Equal(t, len(takeCommands[mfsched.Start](s)), 0, "started after %v", s.now.Sub(startTime))
	}
	var starts []mfsched.Start
	for range 10 {
		s.advance(100 * time.Millisecond)
		answerIdle(s, "w-2")
		// Without an answer the start of the same run would be resent.
		for _, o := range takeCommands[mfsched.Start](s) {
			starts = append(starts, o)
			s.answerStart(o, mfsched.ResultDone, "")
		}
	}
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Order.Run, mothferry.RunNumber(2))
}

// answerIdle answers the open poll of a worker that runs nothing, if there is one.
func answerIdle(s *script, id mothferry.WorkerID) {
	for _, p := range takeCommands[mfsched.Poll](s) {
		if p.At.Worker == id {
			s.step(mfsched.PollAnswered{Worker: id, Sent: s.now, Report: mothferry.PollReport{
				Clock: mothferry.WorkerClock(s.now.Sub(startTime) + time.Hour),
			}})
		}
	}
}

// Guards against two tasks ended at the same time of a step that may miss one: an owner stops
// a task to evacuate its machine and releases the shard. The new owner sees the task listed as
// running until it has ended, and stopped another one.
func TestInheritedStopCountsAsMissing(t *testing.T) {
	s := newScript(t)
	job := submission(s.now, 2)
	job.Steps[0].Lasting, job.Steps[0].MayMiss = true, 1
	s.step(mfsched.JobFound{Job: "j", Submission: job, Progress: &mfjob.Progress{
		State:       mfjob.StateRunning,
		Occurrences: [][]mfjob.StepProgress{{{Tasks: []mfjob.TaskProgress{{Run: 1, Worker: "w-1"}, {Run: 1, Worker: "w-2"}}}}},
	}})
	s.listWorker("w-1")
	s.listWorker("w-2")
	s.step(mfsched.WorkersToEvacuate{Workers: map[mothferry.WorkerID]bool{"w-1": true}})
	s.advance(10 * time.Millisecond)
	for i, id := range []mothferry.WorkerID{"w-1", "w-2"} {
		s.answerPoll(id, mothferry.PollReport{Running: []mothferry.RunningTask{{
			Task: mothferry.TaskName{Job: "j", Index: i}, Run: 1, Percent: 100,
		}}})
	}
	s.advance(800 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Stop](s)), 0)
	s.advance(600 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Stop](s)), 1)
}

// Guards against a host that reports no pending jobs after a takeover though there are some:
// the new owner commits before it has read the jobs, and counted only those that it knew,
// none.
func TestPendingIsKnownOnceJobsAreLoaded(t *testing.T) {
	s := newScript(t)
	_, known := s.state.Pending()
	assert.Assert(t, !known)
	s.submit("j", 1)
	s.step(mfsched.JobsLoaded{})
	pending, known := s.state.Pending()
	assert.Assert(t, known)
	assert.Equal(t, pending[queue], 1)
}

// A task whose end is beyond those listed in one poll must not be restarted, as it may be
// done.
func TestTruncatedEndListIsWaitedFor(t *testing.T) {
	s := newScript(t)
	s.state.Limits.MaxEndsListed = 2
	inherited := mfjob.TaskProgress{Run: 1, Worker: "w-1"}
	s.step(mfsched.JobFound{Job: "j", Submission: submission(s.now, 3), Progress: &mfjob.Progress{
		State:       mfjob.StateRunning,
		Occurrences: [][]mfjob.StepProgress{{{Tasks: []mfjob.TaskProgress{inherited, inherited, inherited}}}},
	}})
	s.listWorker("w-1")
	s.listWorker("w-2")
	s.advance(10 * time.Millisecond)
	var ends []mothferry.EndedTask
	for i := range 3 {
		ends = append(ends, mothferry.EndedTask{Number: mothferry.EndNumber(i + 1), Task: mothferry.TaskName{Job: "j", Index: i}, Run: 1, Cause: mothferry.EndDone})
	}
	s.answerPoll("w-1", mothferry.PollReport{Ended: ends[:2]})
	answerIdle(s, "w-2")
	s.advance(100 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 0)
	polls := takeCommands[mfsched.Poll](s)
	assert.Assert(t, len(polls) > 0)
	assert.Equal(t, polls[0].At.Worker, mothferry.WorkerID("w-1"))
	assert.Equal(t, polls[0].Order.LastEndSeen, mothferry.EndNumber(2))
	s.step(mfsched.PollAnswered{Worker: "w-1", Sent: s.now, Report: mothferry.PollReport{Clock: mothferry.WorkerClock(time.Hour), Ended: ends[2:]}})
	s.advance(100 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 0)
	pending, _ := s.state.Pending()
	assert.Equal(t, pending[queue], 0)
}

// A new owner must not start more tasks beside the ending runs of a cancelled job than the
// worker's capacity and the account's limit allow.
func TestEndingRunsOfInheritedCancelStillCount(t *testing.T) {
	for _, c := range []struct {
		name        string
		limit, need mothferry.Millicores
	}{
		{"capacity of the worker", 0, 10000},
		{"limit of the account", 2000, 2000},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScript(t)
			s.setLimit(c.limit)
			finished := submission(s.now, 1)
			finished.Account, finished.Steps[0].Need.Cores = account, c.need
			s.step(mfsched.JobFinished{Job: "over", State: mfjob.StateCancelled})
			s.step(mfsched.JobFinished{Job: "over", State: mfjob.StateCancelled, Submission: finished})
			s.listWorker("w")
			s.advance(10 * time.Millisecond)
			s.answerPoll("w", mothferry.PollReport{Running: []mothferry.RunningTask{{Task: mothferry.TaskName{Job: "over"}, Run: 1, Percent: 10}}})
			s.submitWithStep("next", 1, func(step *mfjob.Step) { step.Need.Cores = c.need })
			s.advance(100 * time.Millisecond)
			assert.Equal(t, len(takeCommands[mfsched.Start](s)), 0)
			s.answerPoll("w", mothferry.PollReport{})
			s.advance(100 * time.Millisecond)
			assert.Equal(t, len(takeCommands[mfsched.Start](s)), 1)
		})
	}
}
