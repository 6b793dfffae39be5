package mfsched_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfsched"
)

const (
	firstIncarnation  mothferry.IncarnationStart = 1_700_000_000_000
	secondIncarnation mothferry.IncarnationStart = 1_700_000_003_000
)

// listIncarnation lists an incarnation of a worker.
func (s *script) listIncarnation(id mothferry.WorkerID, startedAt mothferry.IncarnationStart) {
	w := worker(id)
	w.StartedAt = startedAt
	s.step(mfsched.WorkerListed{Worker: w})
}

// answerAs answers the newest poll of a worker as one of its incarnations, whose clocks
// restart.
func (s *script) answerAs(id mothferry.WorkerID, startedAt mothferry.IncarnationStart, report mothferry.PollReport) {
	s.t.Helper()
	report.StartedAt = startedAt
	report.Clock = mothferry.WorkerClock(s.now.Sub(startTime))
	if startedAt == firstIncarnation {
		report.Clock += mothferry.WorkerClock(time.Hour)
	}
	var sent *mfsched.Poll
	for _, p := range takeCommands[mfsched.Poll](s) {
		if p.At.Worker == id {
			sent = &p
			continue
		}
		s.out = append(s.out, p)
	}
	assert.Assert(s.t, sent != nil, "no open poll of %s", id)
	s.step(mfsched.PollAnswered{Worker: id, Number: sent.Number, Sent: s.now, Report: report})
}

// runningInFirstIncarnation returns a scheduler with a job of so many tasks, and their starts
// in a worker's first incarnation.
func runningInFirstIncarnation(t *testing.T, count int) (*script, []mfsched.Start) {
	t.Helper()
	s := newScript(t)
	s.listIncarnation("w", firstIncarnation)
	s.advance(10 * time.Millisecond)
	s.answerAs("w", firstIncarnation, mothferry.PollReport{})
	s.submit("j", count)
	s.advance(50 * time.Millisecond)
	starts := takeCommands[mfsched.Start](s)
	assert.Equal(t, len(starts), count)
	return s, starts
}

// Guards against a job that makes no progress because a restarted worker is taken for its
// previous incarnation: its tasks counted as running, or as missing one by one, and its ends,
// which are numbered from the start, as seen before. Only the start time tells the
// incarnations apart.
func TestRestartedWorkerRunsNothing(t *testing.T) {
	s, starts := runningInFirstIncarnation(t, 2)
	for _, o := range starts {
		s.answerStart(o, mfsched.ResultDone, "")
	}
	s.answerAs("w", firstIncarnation, mothferry.PollReport{
		Running: runningOf(starts[1:]),
		Ended:   []mothferry.EndedTask{{Number: 7, Task: starts[0].Order.Task, Run: 1, Cause: mothferry.EndDone}},
	})
	s.advance(100 * time.Millisecond)
	takeCommands[mfsched.Poll](s)
	s.listIncarnation("w", secondIncarnation)
	s.advance(50 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 0, "it has not been polled yet")
	s.answerAs("w", secondIncarnation, mothferry.PollReport{})
	again := s.acceptStarts(time.Second)
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Order.Task, starts[1].Order.Task)
	assert.Assert(t, again[0].Order.Run > 1)
	assert.Assert(t, again[0].Order.Until < mothferry.WorkerClock(30*time.Minute), "a lease by the previous incarnation's clock")
	s.answerAs("w", secondIncarnation, mothferry.PollReport{Ended: []mothferry.EndedTask{{Number: 1, Task: again[0].Order.Task, Run: again[0].Order.Run, Cause: mothferry.EndDone}}})
	s.advance(100 * time.Millisecond)
	assert.Equal(t, s.jobState("j"), "completed", "its ends are numbered from the start")
}

// jobState returns the final state that the log shows for a job, or "" if the job is not
// finished.
func (s *script) jobState(id mothferry.JobID) string {
	for _, d := range takeCommands[mfsched.Decision](s) {
		if d.Message == "job is over" && d.Job == id {
			return fmt.Sprint(d.Fields["state"])
		}
	}
	return ""
}

// A poll may be the first to show a new incarnation, as the entry is read later. An answer or
// an entry of the previous incarnation that comes after that changes nothing.
func TestPollRevealsNewIncarnation(t *testing.T) {
	s, starts := runningInFirstIncarnation(t, 1)
	s.answerStart(starts[0], mfsched.ResultDone, "")
	s.advance(300 * time.Millisecond)
	s.answerAs("w", secondIncarnation, mothferry.PollReport{})
	assert.Equal(t, len(s.acceptStarts(1500*time.Millisecond)), 1, "the previous incarnation's run has ended")
	s.step(mfsched.PollAnswered{Worker: "w", Number: 1, Sent: startTime, Report: mothferry.PollReport{StartedAt: firstIncarnation, Clock: mothferry.WorkerClock(2 * time.Hour), Running: runningOf(starts)}})
	s.listIncarnation("w", firstIncarnation)
	s.advance(300 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Stop](s)), 0)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 0)
}

// Guards against two runs of a task at the same time: its start has no answer when its worker
// restarts under its id, the task is started elsewhere, and the order is carried out late by
// the new incarnation, which checks only the id. The run must be stopped there first, so that
// the new incarnation refuses it for good.
func TestLateStartOfEarlierIncarnationIsStoppedFirst(t *testing.T) {
	s, starts := runningInFirstIncarnation(t, 1)
	s.addReadyWorker("w-2")
	// The start has no answer, and the worker restarts.
	s.listIncarnation("w", secondIncarnation)
	s.advance(30 * time.Millisecond)
	s.answerAs("w", secondIncarnation, mothferry.PollReport{})
	s.advance(100 * time.Millisecond)
	resent := takeCommands[mfsched.Start](s)
	for _, o := range resent {
		assert.Assert(t, o.Order.Run == 1, "started again while the first order may be carried out")
	}
	stops := takeCommands[mfsched.Stop](s)
	assert.Assert(t, len(stops) > 0, "the new incarnation is ordered to stop what it may yet start")
	assert.Equal(t, stops[0].Task, starts[0].Order.Task)
	s.step(mfsched.StopAnswered{Worker: "w", Sent: s.now, Task: stops[0].Task, Run: 1, Result: mfsched.ResultDone})
	s.advance(30 * time.Millisecond)
	s.answerAs("w", secondIncarnation, mothferry.PollReport{})
	s.advance(100 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 0, "started again while the call may reach an incarnation after that")
	for _, o := range append(starts, resent...) {
		s.answerStart(o, mfsched.ResultUnknown, "")
	}
	s.advance(100 * time.Millisecond)
	again := takeCommands[mfsched.Start](s)
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Order.Run, mothferry.RunNumber(2))
}

// A crash counts also if the worker is back under its id within one poll interval: a task that
// keeps causing such crashes is failed as any other.
func TestCrashCountsWhenWorkerIDIsReused(t *testing.T) {
	s := newScript(t)
	startedAt := firstIncarnation
	s.listIncarnation("w", startedAt)
	s.advance(10 * time.Millisecond)
	s.answerAs("w", startedAt, mothferry.PollReport{})
	s.submit("j", 1)
	runs := 0
	for range 40 {
		s.advance(100 * time.Millisecond)
		for _, o := range takeCommands[mfsched.Start](s) {
			runs++
			s.answerStart(o, mfsched.ResultDone, "")
			startedAt += 1000
			s.listIncarnation("w", startedAt)
		}
		for _, o := range takeCommands[mfsched.Stop](s) {
			s.step(mfsched.StopAnswered{Worker: "w", Sent: s.now, Task: o.Task, Run: o.Run, Result: mfsched.ResultDone})
		}
		for _, p := range takeCommands[mfsched.Poll](s) {
			s.step(mfsched.PollAnswered{Worker: "w", Number: p.Number, Sent: s.now, Report: mothferry.PollReport{StartedAt: startedAt, Clock: mothferry.WorkerClock(s.now.Sub(startTime))}})
		}
	}
	assert.Equal(t, s.jobState("j"), "failed")
	assert.Assert(t, runs >= 2 && runs < 6, "%d runs", runs)
}

// The machine list is read less often than entries: what it shows of the previous incarnation
// must not end the new one.
func TestLateCrashReportKeepsNewIncarnation(t *testing.T) {
	s, starts := runningInFirstIncarnation(t, 1)
	s.answerStart(starts[0], mfsched.ResultDone, "")
	s.listIncarnation("w", secondIncarnation)
	s.advance(30 * time.Millisecond)
	s.answerAs("w", secondIncarnation, mothferry.PollReport{})
	s.step(mfsched.IncarnationEnded{Worker: "w", Cause: mfsched.IncarnationCrashed})
	assert.Equal(t, len(s.acceptStarts(time.Second)), 1, "the new incarnation gets work")
}

// restartWithRuns has a worker restart as a second incarnation that runs what was ordered in
// the first.
func (s *script) restartWithRuns(starts []mfsched.Start) {
	s.t.Helper()
	s.listIncarnation("w", secondIncarnation)
	s.advance(30 * time.Millisecond)
	s.answerAs("w", secondIncarnation, mothferry.PollReport{Running: runningOf(starts)})
}

// An order that finds another worker at a former address must not end its worker's new
// incarnation.
func TestOrderToFormerIncarnationKeepsNewOne(t *testing.T) {
	late := func(sent time.Time, o mfsched.Start) map[string]mfsched.Event {
		return map[string]mfsched.Event{
			"start": mfsched.StartAnswered{Worker: "w", Sent: sent, Task: o.Order.Task, Run: 1, Result: mfsched.ResultIncarnationEnded},
			"stop":  mfsched.StopAnswered{Worker: "w", Sent: sent, Task: o.Order.Task, Run: 1, Result: mfsched.ResultIncarnationEnded},
		}
	}
	for _, kind := range []string{"start", "stop"} {
		t.Run(kind, func(t *testing.T) {
			s, starts := runningInFirstIncarnation(t, 1)
			sent := s.now
			s.addReadyWorker("w-2")
			s.restartWithRuns(starts)
			s.advance(600 * time.Millisecond)
			s.step(late(sent, starts[0])[kind])
			assert.Equal(t, len(s.acceptStarts(time.Second)), 0, "it runs in the new incarnation")
		})
	}
}

// A stop that the previous incarnation answered must not count for the new one, which may
// carry the start out late.
func TestStopAnsweredByFormerIncarnationDoesNotCount(t *testing.T) {
	s, starts := runningInFirstIncarnation(t, 1)
	s.addReadyWorker("w-2")
	sent := s.now
	s.restartWithRuns(nil)
	s.step(mfsched.StopAnswered{Worker: "w", Sent: sent, Task: starts[0].Order.Task, Run: 1, Result: mfsched.ResultDone})
	s.advance(30 * time.Millisecond)
	s.answerAs("w", secondIncarnation, mothferry.PollReport{})
	for _, o := range s.acceptStarts(100 * time.Millisecond) {
		assert.Equal(t, o.Order.Run, mothferry.RunNumber(1), "started elsewhere while the first order may be carried out")
	}
}

// A poll that finds another worker at a former address must not remove the new incarnation
// that is listed by then.
func TestPollOfFormerAddressKeepsWorker(t *testing.T) {
	s := newScript(t)
	s.listIncarnation("w", firstIncarnation)
	s.advance(10 * time.Millisecond)
	first := takeCommands[mfsched.Poll](s)
	assert.Equal(t, len(first), 1)
	sent := s.now
	s.advance(10 * time.Millisecond)
	s.listIncarnation("w", secondIncarnation)
	s.step(mfsched.PollFailed{Worker: "w", Number: first[0].Number, Sent: sent, Result: mfsched.ResultIncarnationEnded})
	s.advance(20 * time.Millisecond)
	s.answerAs("w", secondIncarnation, mothferry.PollReport{})
	s.submit("j", 1)
	assert.Equal(t, len(s.acceptStarts(time.Second)), 1, "the new incarnation gets work")
}

// A machine list requested before a restart must not end the new incarnation, however late it
// comes.
func TestStaleMachineListKeepsNewIncarnation(t *testing.T) {
	s, starts := runningInFirstIncarnation(t, 1)
	s.addReadyWorker("w-2")
	requestedAt := s.now
	s.restartWithRuns(starts)
	s.advance(600 * time.Millisecond)
	s.step(mfsched.IncarnationEnded{Worker: "w", ListedAt: requestedAt, Cause: mfsched.IncarnationCrashed})
	assert.Equal(t, len(s.acceptStarts(time.Second)), 0, "it runs in the new incarnation")
}

// The leases of a new incarnation that is listed and does not answer must not count as expired
// by the previous incarnation's clock.
func TestSilentNewIncarnationIsWaitedFor(t *testing.T) {
	s := newScript(t)
	s.listIncarnation("w", firstIncarnation)
	s.listWorker("w-2")
	unresponsive := false
	// round lets a little time pass and returns how many starts were ordered.
	round := func() int {
		s.advance(50 * time.Millisecond)
		for _, p := range takeCommands[mfsched.Poll](s) {
			if unresponsive && p.At.Worker == "w" {
				s.step(mfsched.PollFailed{Worker: "w", Number: p.Number, Sent: s.now, Result: mfsched.ResultUnknown})
				continue
			}
			report := mothferry.PollReport{Clock: mothferry.WorkerClock(s.now.Sub(startTime) + time.Hour)}
			if p.At.Worker == "w" {
				report.StartedAt = firstIncarnation
			}
			s.step(mfsched.PollAnswered{Worker: p.At.Worker, Number: p.Number, Sent: s.now, Report: report})
		}
		return len(takeCommands[mfsched.Start](s))
	}
	l := limits()
	for s.now.Before(startTime.Add(2 * l.LeaseExpiryBound())) {
		assert.Equal(t, round(), 0)
	}
	s.submit("j", 1)
	s.step(mfsched.WorkersToEvacuate{Workers: map[mothferry.WorkerID]bool{"w-2": true}})
	assert.Equal(t, round(), 1)
	// The start has no answer, and the new incarnation may carry it out late.
	unresponsive = true
	s.listIncarnation("w", secondIncarnation)
	s.step(mfsched.WorkersToEvacuate{})
	listed := s.now
	for s.now.Before(listed.Add(l.RenewLeasesFor + l.LeaseDuration)) {
		assert.Equal(t, round(), 0, "started elsewhere after %v", s.now.Sub(listed))
	}
	// The call has ended without an answer long before that.
	s.step(mfsched.StartAnswered{Worker: "w", Task: mothferry.TaskName{Job: "j"}, Run: 1, Result: mfsched.ResultUnknown})
	again := 0
	for s.now.Before(listed.Add(2 * l.LeaseExpiryBound())) {
		again += round()
	}
	assert.Assert(t, again > 0, "never restarted")
}

// Guards against tasks that are never restarted: a worker that restarted under its id is lost
// before its new incarnation has answered, and each answer that it has ended was attributed to
// the previous one.
func TestIncarnationThatNeverAnswersEnds(t *testing.T) {
	s, _ := runningOn(t, "w")
	s.advance(50 * time.Millisecond)
	s.answerPoll("w", mothferry.PollReport{StartedAt: 1, Running: []mothferry.RunningTask{{Task: mothferry.TaskName{Job: "j"}, Run: 1, Percent: 10}}})
	restarted := worker("w")
	restarted.StartedAt = 2
	s.step(mfsched.WorkerListed{Worker: restarted})
	s.step(mfsched.WorkerUnlisted{Worker: "w"})
	for range 200 {
		s.advance(100 * time.Millisecond)
		for _, p := range takeCommands[mfsched.Poll](s) {
			s.step(mfsched.PollFailed{Worker: "w", Number: p.Number, Sent: s.now, Result: mfsched.ResultIncarnationEnded})
		}
	}
	s.listWorker("other")
	s.advance(50 * time.Millisecond)
	s.answerPoll("other", mothferry.PollReport{})
	s.advance(200 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 1)
}

// Guards against a poll and a log line at each tick while answers may still concern the
// previous incarnation.
func TestPollsOfMissingIncarnationAreRateLimited(t *testing.T) {
	s, _ := runningOn(t, "w")
	s.advance(50 * time.Millisecond)
	s.answerPoll("w", mothferry.PollReport{StartedAt: 1})
	restarted := worker("w")
	restarted.StartedAt = 2
	s.step(mfsched.WorkerListed{Worker: restarted})
	polls := 0
	for range 40 {
		s.advance(10 * time.Millisecond)
		for _, p := range takeCommands[mfsched.Poll](s) {
			polls++
			s.step(mfsched.PollFailed{Worker: "w", Number: p.Number, Sent: s.now, Result: mfsched.ResultIncarnationEnded})
		}
	}
	assert.Assert(t, polls > 1 && polls <= 10, "%d polls in 0.4 s", polls)
}

// Guards against an end that is lost, and its task started again: the first poll of an incarnation
// that is listed carried the number of the last end of the former one, and the new one forgot its
// own ends up to that number before they were seen.
func TestPollOfListedIncarnationForgetsNoEnds(t *testing.T) {
	for _, committing := range []bool{false, true} {
		s, starts := runningInFirstIncarnation(t, 1)
		s.answerStart(starts[0], mfsched.ResultDone, "")
		s.answerAs("w", firstIncarnation, mothferry.PollReport{
			Ended: []mothferry.EndedTask{{Number: 7, Task: starts[0].Order.Task, Run: 1, Cause: mothferry.EndDone}},
		})
		if committing {
			s.now = s.now.Add(30 * time.Millisecond)
			s.step(mfsched.Tick{})
		} else {
			s.advance(100 * time.Millisecond)
		}
		takeCommands[mfsched.Poll](s)
		s.listIncarnation("w", secondIncarnation)
		s.storeCommits()
		s.advance(50 * time.Millisecond)
		polls := takeCommands[mfsched.Poll](s)
		assert.Equal(t, len(polls), 1)
		assert.Equal(t, polls[0].Order.LastEndSeen, mothferry.EndNumber(0), "committing %v", committing)
	}
}

// Guards against two runs of a task: a poll of the former incarnation, whose clock was ahead, is
// carried out by the new one after its first answer and extends its lease to the longest possible,
// which this owner did not know of when it counted the lease as expired.
func TestLatePollOfFormerIncarnationMayExtendLease(t *testing.T) {
	s, starts := runningInFirstIncarnation(t, 1)
	s.answerStart(starts[0], mfsched.ResultDone, "")
	s.advance(30 * time.Millisecond)
	former := takeCommands[mfsched.Poll](s)
	assert.Assert(t, len(former) > 0 && former[0].Order.Until > mothferry.WorkerClock(time.Hour))
	s.listIncarnation("w", secondIncarnation)
	restarted := s.now
	s.advance(10 * time.Millisecond)
	s.answerAs("w", secondIncarnation, mothferry.PollReport{Running: runningOf(starts)})
	// A poll of the first incarnation is carried out now, and the worker is cut off.
	extended := s.now.Add(time.Second)
	s.listWorker("w-2")
	for s.now.Sub(restarted) < limits().LeaseExpiryBound()+time.Second {
		s.advance(50 * time.Millisecond)
		for _, p := range takeCommands[mfsched.Poll](s) {
			if p.At.Worker == "w" {
				s.step(mfsched.PollFailed{Worker: "w", Number: p.Number, Sent: s.now, Result: mfsched.ResultUnknown})
				continue
			}
			s.step(mfsched.PollAnswered{Worker: p.At.Worker, Number: p.Number, Sent: s.now, Report: mothferry.PollReport{Clock: mothferry.WorkerClock(s.now.Sub(startTime) + time.Hour)}})
		}
		if len(takeCommands[mfsched.Start](s)) > 0 {
			assert.Assert(t, s.now.After(extended.Add(limits().MaxLease)), "started elsewhere %v after the restart, while the lease may run", s.now.Sub(restarted))
			return
		}
	}
	t.Fatal("never started elsewhere")
}
