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
	firstIncarnation  mothferry.LifeStart = 1_700_000_000_000
	secondIncarnation mothferry.LifeStart = 1_700_000_003_000
)

// listIncarnation lists a life of a worker.
func (s *script) listIncarnation(id mothferry.WorkerID, born mothferry.LifeStart) {
	l := worker(id)
	l.StartedAt = born
	s.step(mfsched.WorkerListed{Worker: l})
}

// answerAs answers the newest look at a worker as a life of it does; its clock begins anew.
func (s *script) answerAs(id mothferry.WorkerID, born mothferry.LifeStart, report mothferry.LookReport) {
	s.t.Helper()
	report.Born = born
	report.Clock = mothferry.WorkerClock(s.now.Sub(startTime))
	if born == firstIncarnation {
		report.Clock += mothferry.WorkerClock(time.Hour)
	}
	var sent *mfsched.Poll
	for _, l := range takeCommands[mfsched.Poll](s) {
		if l.At.Worker == id {
			sent = &l
			continue
		}
		s.out = append(s.out, l)
	}
	assert.Assert(s.t, sent != nil, "no look at %s waits", id)
	s.step(mfsched.PollAnswered{Worker: id, Number: sent.Number, Sent: s.now, Report: report})
}

// runningInFirstIncarnation returns a scheduler with a job of so many tasks that run on a worker's first life.
func runningInFirstIncarnation(t *testing.T, count int) (*script, []mfsched.Start) {
	t.Helper()
	s := newScript(t)
	s.listIncarnation("w", firstIncarnation)
	s.advance(10 * time.Millisecond)
	s.answerAs("w", firstIncarnation, mothferry.LookReport{})
	s.submit("j", count)
	s.advance(50 * time.Millisecond)
	starts := takeCommands[mfsched.Start](s)
	assert.Equal(t, len(starts), count)
	return s, starts
}

// A worker that had started again under its id was taken for the life that it had before:
// its tasks counted as running, or as missing one by one, its ends, which it numbers anew,
// were taken for ends that had been seen, and a job stood still until its tasks were found to
// be stuck. Nothing but the start of the life tells.
func TestRestartedWorkerRunsNothing(t *testing.T) {
	s, starts := runningInFirstIncarnation(t, 2)
	for _, o := range starts {
		s.answerStart(o, mfsched.ResultDone, "")
	}
	s.answerAs("w", firstIncarnation, mothferry.LookReport{
		Running: runningOf(starts[1:]),
		Ended:   []mothferry.EndedTask{{Number: 7, Task: starts[0].Order.Task, Run: 1, Cause: mothferry.EndDone}},
	})
	s.advance(100 * time.Millisecond)
	takeCommands[mfsched.Poll](s)
	s.listIncarnation("w", secondIncarnation)
	s.advance(50 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 0, "it has not been looked at")
	s.answerAs("w", secondIncarnation, mothferry.LookReport{})
	again := s.acceptStarts(time.Second)
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Order.Task, starts[1].Order.Task)
	assert.Assert(t, again[0].Order.Run > 1)
	assert.Assert(t, again[0].Order.Until < mothferry.WorkerClock(30*time.Minute), "a lease by the clock of the life before")
	s.answerAs("w", secondIncarnation, mothferry.LookReport{Ended: []mothferry.EndedTask{{Number: 1, Task: again[0].Order.Task, Run: again[0].Order.Run, Cause: mothferry.EndDone}}})
	s.advance(100 * time.Millisecond)
	assert.Equal(t, s.jobState("j"), "completed", "its ends are numbered anew")
}

// jobState is what the log says of a job's end; empty if it is not over.
func (s *script) jobState(id mothferry.JobID) string {
	for _, d := range takeCommands[mfsched.Decision](s) {
		if d.Message == "job is over" && d.Job == id {
			return fmt.Sprint(d.Fields["state"])
		}
	}
	return ""
}

// The first that is heard of a new life may be its answer to a look, within one look: the
// entry is read later. An answer of the life before, or its entry, that comes after that
// changes nothing.
func TestPollRevealsNewIncarnation(t *testing.T) {
	s, starts := runningInFirstIncarnation(t, 1)
	s.answerStart(starts[0], mfsched.ResultDone, "")
	s.advance(300 * time.Millisecond)
	s.answerAs("w", secondIncarnation, mothferry.LookReport{})
	assert.Equal(t, len(s.acceptStarts(1500*time.Millisecond)), 1, "the run of the life before is over")
	s.step(mfsched.PollAnswered{Worker: "w", Number: 1, Sent: startTime, Report: mothferry.LookReport{Born: firstIncarnation, Clock: mothferry.WorkerClock(2 * time.Hour), Running: runningOf(starts)}})
	s.listIncarnation("w", firstIncarnation)
	s.advance(300 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Stop](s)), 0)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 0)
}

// A task ran twice at the same time. Its start had no answer when its worker started
// again under its id; the life being over, the task was started elsewhere, and the order
// was carried out late, by the new life, which knows no more than the id that it was meant
// for. The run is told to stop there first: then the new life refuses it for good.
func TestLateStartOfEarlierIncarnationIsStoppedFirst(t *testing.T) {
	s, starts := runningInFirstIncarnation(t, 1)
	s.addReadyWorker("w-2")
	// The start has no answer, and the worker starts again.
	s.listIncarnation("w", secondIncarnation)
	s.advance(30 * time.Millisecond)
	s.answerAs("w", secondIncarnation, mothferry.LookReport{})
	s.advance(100 * time.Millisecond)
	for _, o := range takeCommands[mfsched.Start](s) {
		assert.Assert(t, o.Order.Run == 1, "started anew while the first order may be carried out")
	}
	stops := takeCommands[mfsched.Stop](s)
	assert.Assert(t, len(stops) > 0, "the new life is told to stop what it may yet be told to start")
	assert.Equal(t, stops[0].Task, starts[0].Order.Task)
	s.step(mfsched.StopAnswered{Worker: "w", Sent: s.now, Task: stops[0].Task, Run: 1, Result: mfsched.ResultDone})
	s.advance(30 * time.Millisecond)
	s.answerAs("w", secondIncarnation, mothferry.LookReport{})
	s.advance(100 * time.Millisecond)
	again := takeCommands[mfsched.Start](s)
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Order.Run, mothferry.RunNumber(2))
}

// A crash is one also where the worker is back within a look: under a task that ends its
// workers so, each under the id that it had, the job is given up as under any other.
func TestCrashCountsWhenWorkerIDIsReused(t *testing.T) {
	s := newScript(t)
	born := firstIncarnation
	s.listIncarnation("w", born)
	s.advance(10 * time.Millisecond)
	s.answerAs("w", born, mothferry.LookReport{})
	s.submit("j", 1)
	runs := 0
	for range 40 {
		s.advance(100 * time.Millisecond)
		for _, o := range takeCommands[mfsched.Start](s) {
			runs++
			s.answerStart(o, mfsched.ResultDone, "")
			born += 1000
			s.listIncarnation("w", born)
		}
		for _, o := range takeCommands[mfsched.Stop](s) {
			s.step(mfsched.StopAnswered{Worker: "w", Sent: s.now, Task: o.Task, Run: o.Run, Result: mfsched.ResultDone})
		}
		for _, l := range takeCommands[mfsched.Poll](s) {
			s.step(mfsched.PollAnswered{Worker: "w", Number: l.Number, Sent: s.now, Report: mothferry.LookReport{Born: born, Clock: mothferry.WorkerClock(s.now.Sub(startTime))}})
		}
	}
	assert.Equal(t, s.jobState("j"), "failed")
	assert.Assert(t, runs >= 2 && runs < 6, "%d runs", runs)
}

// The list of machines is read more rarely than entries are: what it shows of the life
// before must not end the one that has just begun.
func TestLateCrashReportKeepsNewIncarnation(t *testing.T) {
	s, starts := runningInFirstIncarnation(t, 1)
	s.answerStart(starts[0], mfsched.ResultDone, "")
	s.listIncarnation("w", secondIncarnation)
	s.advance(30 * time.Millisecond)
	s.answerAs("w", secondIncarnation, mothferry.LookReport{})
	s.step(mfsched.IncarnationEnded{Worker: "w", Cause: mfsched.IncarnationCrashed})
	assert.Equal(t, len(s.acceptStarts(time.Second)), 1, "its new life is used")
}

// restartWithRuns has a worker start again in a second life that runs what was ordered in the first.
func (s *script) restartWithRuns(starts []mfsched.Start) {
	s.t.Helper()
	s.listIncarnation("w", secondIncarnation)
	s.advance(30 * time.Millisecond)
	s.answerAs("w", secondIncarnation, mothferry.LookReport{Running: runningOf(starts)})
}

// An order that finds another worker at a former address must not end the life that its worker has now.
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
			assert.Equal(t, len(s.acceptStarts(time.Second)), 0, "it runs in the new life")
		})
	}
}

// A stop that a former life answered must not count for the new one, which may carry the start out late.
func TestStopAnsweredByFormerIncarnationDoesNotCount(t *testing.T) {
	s, starts := runningInFirstIncarnation(t, 1)
	s.addReadyWorker("w-2")
	sent := s.now
	s.restartWithRuns(nil)
	s.step(mfsched.StopAnswered{Worker: "w", Sent: sent, Task: starts[0].Order.Task, Run: 1, Result: mfsched.ResultDone})
	s.advance(30 * time.Millisecond)
	s.answerAs("w", secondIncarnation, mothferry.LookReport{})
	for _, o := range s.acceptStarts(100 * time.Millisecond) {
		assert.Equal(t, o.Order.Run, mothferry.RunNumber(1), "started elsewhere while the first order may be carried out")
	}
}

// A look that finds another worker at a former address must not lose the new life that is listed by then.
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
	s.answerAs("w", secondIncarnation, mothferry.LookReport{})
	s.submit("j", 1)
	assert.Equal(t, len(s.acceptStarts(time.Second)), 1, "its new life is used")
}

// A list of machines that was asked for before a new life began must not end that life, however late it comes.
func TestStaleMachineListKeepsNewIncarnation(t *testing.T) {
	s, starts := runningInFirstIncarnation(t, 1)
	s.addReadyWorker("w-2")
	asked := s.now
	s.restartWithRuns(starts)
	s.advance(600 * time.Millisecond)
	s.step(mfsched.IncarnationEnded{Worker: "w", ListedAt: asked, Cause: mfsched.IncarnationCrashed})
	assert.Equal(t, len(s.acceptStarts(time.Second)), 0, "it runs in the new life")
}

// A new life that is listed and silent must not be taken for lapsed by the clock of the life before.
func TestSilentNewIncarnationIsWaitedFor(t *testing.T) {
	s := newScript(t)
	s.listIncarnation("w", firstIncarnation)
	s.listWorker("w-2")
	silent := false
	// round lets a little time pass and returns how many starts were ordered.
	round := func() int {
		s.advance(50 * time.Millisecond)
		for _, l := range takeCommands[mfsched.Poll](s) {
			if silent && l.At.Worker == "w" {
				s.step(mfsched.PollFailed{Worker: "w", Number: l.Number, Sent: s.now, Result: mfsched.ResultUnknown})
				continue
			}
			report := mothferry.LookReport{Clock: mothferry.WorkerClock(s.now.Sub(startTime) + time.Hour)}
			if l.At.Worker == "w" {
				report.Born = firstIncarnation
			}
			s.step(mfsched.PollAnswered{Worker: l.At.Worker, Number: l.Number, Sent: s.now, Report: report})
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
	// The start has no answer, and the new life may carry it out late.
	silent = true
	s.listIncarnation("w", secondIncarnation)
	s.step(mfsched.WorkersToEvacuate{})
	listed := s.now
	for s.now.Before(listed.Add(l.RenewLeasesFor + l.LeaseDuration)) {
		assert.Equal(t, round(), 0, "started elsewhere after %v", s.now.Sub(listed))
	}
	again := 0
	for s.now.Before(listed.Add(2 * l.LeaseExpiryBound())) {
		again += round()
	}
	assert.Assert(t, again > 0, "never started again")
}

// Guards against tasks that are never started again, as a worker that started again under its id
// has left before its new life ever answered, and each answer that it is over is taken for the life before.
func TestIncarnationThatNeverAnswersEnds(t *testing.T) {
	s, _ := runningOn(t, "w")
	s.advance(50 * time.Millisecond)
	s.answerPoll("w", mothferry.LookReport{Born: 1, Running: []mothferry.RunningTask{{Task: mothferry.TaskName{Job: "j"}, Run: 1, Percent: 10}}})
	again := worker("w")
	again.StartedAt = 2
	s.step(mfsched.WorkerListed{Worker: again})
	s.step(mfsched.WorkerUnlisted{Worker: "w"})
	for range 200 {
		s.advance(100 * time.Millisecond)
		for _, l := range takeCommands[mfsched.Poll](s) {
			s.step(mfsched.PollFailed{Worker: "w", Number: l.Number, Sent: s.now, Result: mfsched.ResultIncarnationEnded})
		}
	}
	s.listWorker("other")
	s.advance(50 * time.Millisecond)
	s.answerPoll("other", mothferry.LookReport{})
	s.advance(200 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 1)
}

// Guards against a look and a line in the log at each tick while what is heard of a new life may be
// meant for the one before.
func TestPollsOfMissingIncarnationAreRateLimited(t *testing.T) {
	s, _ := runningOn(t, "w")
	s.advance(50 * time.Millisecond)
	s.answerPoll("w", mothferry.LookReport{Born: 1})
	again := worker("w")
	again.StartedAt = 2
	s.step(mfsched.WorkerListed{Worker: again})
	looks := 0
	for range 40 {
		s.advance(10 * time.Millisecond)
		for _, l := range takeCommands[mfsched.Poll](s) {
			looks++
			s.step(mfsched.PollFailed{Worker: "w", Number: l.Number, Sent: s.now, Result: mfsched.ResultIncarnationEnded})
		}
	}
	assert.Assert(t, looks > 1 && looks <= 10, "%d looks in 0.4 s", looks)
}
