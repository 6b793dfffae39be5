package mfsched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfsched"
)

// kindsOfSteps are the kinds of steps whose tasks must never run twice.
var kindsOfSteps = map[string]func(p *mfjob.Step){
	"finite":  func(*mfjob.Step) {},
	"lasting": func(p *mfjob.Step) { p.Lasting = true },
	"gang":    func(p *mfjob.Step) { p.Gang = true },
}

// submitStep submits a job with one step of a kind.
func (s *script) submitStep(id mothferry.JobID, count int, change func(p *mfjob.Step)) {
	job := submission(s.now, count)
	change(&job.Steps[0])
	s.step(mfsched.JobFound{Job: id, Submission: job})
}

// listedAgain returns a scheduler with a worker that ended and is listed again under its id, and
// that runs so many tasks of a job. It also returns the polls sent to the former incarnation,
// a start in it, and when they were sent.
func listedAgain(t *testing.T, count int, change func(p *mfjob.Step)) (s *script, formerPolls []mfsched.Poll, formerStart mfsched.Start, formerSent time.Time, starts []mfsched.Start) {
	t.Helper()
	s, former := runningInFirstIncarnation(t, 1)
	s.answerStart(former[0], mfsched.ResultDone, "")
	s.advance(30 * time.Millisecond)
	formerPolls, formerSent = takeCommands[mfsched.Poll](s), s.now
	assert.Assert(t, len(formerPolls) > 0)
	s.advance(10 * time.Millisecond)
	s.step(mfsched.IncarnationEnded{Worker: "w", ListedAt: s.now, Cause: mfsched.IncarnationCrashed})
	s.step(mfsched.CancelRequested{Job: "j"})
	s.advance(100 * time.Millisecond)
	s.listIncarnation("w", secondIncarnation)
	s.advance(10 * time.Millisecond)
	s.answerAs("w", secondIncarnation, mothferry.PollReport{})
	s.submitStep("k", count, change)
	starts = s.acceptStarts(100 * time.Millisecond)
	assert.Equal(t, len(starts), count)
	s.addReadyWorker("w-2")
	return s, formerPolls, former[0], formerSent, starts
}

// Guards against runs that are started twice because an answer that concerns an earlier
// incarnation of their worker comes after the worker was removed and listed again under its id:
// all tasks of the new incarnation were free at once.
func TestEndOfRemovedIncarnationKeepsNewOne(t *testing.T) {
	answers := map[string]func(polls []mfsched.Poll, start mfsched.Start, sent time.Time) mfsched.Event{
		"poll": func(polls []mfsched.Poll, _ mfsched.Start, sent time.Time) mfsched.Event {
			return mfsched.PollFailed{Worker: "w", Number: polls[0].Number, Sent: sent, Result: mfsched.ResultIncarnationEnded}
		},
		"start": func(_ []mfsched.Poll, o mfsched.Start, sent time.Time) mfsched.Event {
			return mfsched.StartAnswered{Worker: "w", Sent: sent, Task: o.Order.Task, Run: o.Order.Run, Result: mfsched.ResultIncarnationEnded}
		},
		"stop": func(_ []mfsched.Poll, o mfsched.Start, sent time.Time) mfsched.Event {
			return mfsched.StopAnswered{Worker: "w", Sent: sent, Task: o.Order.Task, Run: o.Order.Run, Result: mfsched.ResultIncarnationEnded}
		},
		"list": func(_ []mfsched.Poll, _ mfsched.Start, sent time.Time) mfsched.Event {
			return mfsched.IncarnationEnded{Worker: "w", ListedAt: sent, Cause: mfsched.IncarnationCrashed}
		},
	}
	for answer, event := range answers {
		for kind, change := range kindsOfSteps {
			t.Run(answer+" "+kind, func(t *testing.T) {
				s, polls, start, sent, starts := listedAgain(t, 3, change)
				s.step(event(polls, start, sent))
				assert.Equal(t, s.state.Loads()["w"].Tasks, 3)
				assert.Equal(t, len(s.acceptStarts(200*time.Millisecond)), 0)
				s.answerAs("w", secondIncarnation, mothferry.PollReport{Running: runningOf(starts)})
				assert.Equal(t, len(s.acceptStarts(200*time.Millisecond)), 0, "its runs continue")
			})
		}
	}
}

// Guards against a new incarnation that counts as polled because of an answer to a poll of the
// former one, from a worker that doesn't tell when it started.
func TestAnswerOfRemovedIncarnationDoesNotCount(t *testing.T) {
	s := newScript(t)
	s.listWorker("w")
	s.advance(10 * time.Millisecond)
	former := takeCommands[mfsched.Poll](s)
	assert.Equal(t, len(former), 1)
	sent := s.now
	s.step(mfsched.IncarnationEnded{Worker: "w", ListedAt: s.now, Cause: mfsched.IncarnationCrashed})
	s.advance(50 * time.Millisecond)
	s.listWorker("w")
	s.step(mfsched.PollAnswered{Worker: "w", Number: former[0].Number, Sent: sent, Report: mothferry.PollReport{Clock: mothferry.WorkerClock(time.Hour)}})
	assert.Assert(t, !s.state.Loads()["w"].Known)
}

// An order may reach a former address of its worker, and its call may begin long after the order
// was decided. That another worker answers there must not free the tasks of its worker: a poll of
// the present address decides.
func TestOrderToFormerAddressEndsNothing(t *testing.T) {
	for kind, change := range kindsOfSteps {
		t.Run(kind, func(t *testing.T) {
			s := newScript(t)
			s.addReadyWorker("w")
			s.submitStep("j", 3, change)
			starts := s.acceptStarts(50 * time.Millisecond)
			assert.Equal(t, len(starts), 3)
			s.addReadyWorker("w-2")
			takeCommands[mfsched.Poll](s)
			s.step(mfsched.StopAnswered{Worker: "w", Sent: s.now, Task: starts[0].Order.Task, Run: 1, Result: mfsched.ResultIncarnationEnded})
			assert.Equal(t, s.state.Loads()["w"].Tasks, 3)
			polls := takeCommands[mfsched.Poll](s)
			assert.Equal(t, len(polls), 1, "its present address is polled")
			s.step(mfsched.PollFailed{Worker: "w", Number: polls[0].Number, Sent: s.now, Result: mfsched.ResultIncarnationEnded})
			assert.Equal(t, s.state.Loads()["w"].Tasks, 0, "its present address shows that it has ended")
		})
	}
}

// A poll that was sent to a former address of its worker says nothing about the worker.
func TestPollOfFormerAddressEndsNothing(t *testing.T) {
	s, _ := runningOn(t, "w")
	s.advance(30 * time.Millisecond)
	former := takeCommands[mfsched.Poll](s)
	assert.Equal(t, len(former), 1)
	moved := worker("w")
	moved.At.Address = "10.0.0.2:1"
	s.step(mfsched.WorkerListed{Worker: moved})
	s.step(mfsched.PollFailed{Worker: "w", Number: former[0].Number, Sent: s.now, Result: mfsched.ResultIncarnationEnded})
	assert.Equal(t, s.state.Loads()["w"].Tasks, 1)
	s.advance(10 * time.Millisecond)
	polls := takeCommands[mfsched.Poll](s)
	assert.Equal(t, len(polls), 1, "its present address is polled at once")
	assert.Equal(t, polls[0].At, moved.At)
}

// Guards against runs that are started twice because of a list of machines that was requested before
// their worker was first listed: it shows the end of an incarnation that this owner never knew.
func TestListRequestedBeforeWorkerIsKnownEndsNothing(t *testing.T) {
	for kind, change := range kindsOfSteps {
		t.Run(kind, func(t *testing.T) {
			s := newScript(t)
			requestedAt := s.now
			s.advance(100 * time.Millisecond)
			s.addReadyWorker("w")
			s.submitStep("j", 3, change)
			assert.Equal(t, len(s.acceptStarts(50*time.Millisecond)), 3)
			s.step(mfsched.IncarnationEnded{Worker: "w", ListedAt: requestedAt, Cause: mfsched.IncarnationCrashed})
			assert.Equal(t, s.state.Loads()["w"].Tasks, 3)
			s.step(mfsched.IncarnationEnded{Worker: "w", ListedAt: s.now, Cause: mfsched.IncarnationCrashed})
			assert.Equal(t, s.state.Loads()["w"].Tasks, 0)
		})
	}
}

// The log must tell a worker that was taken for ended, and goes on, from one that started again.
func TestWorkerBackAfterItsEndIsLogged(t *testing.T) {
	for _, startedAt := range []mothferry.IncarnationStart{firstIncarnation, secondIncarnation} {
		s, _ := runningInFirstIncarnation(t, 1)
		s.step(mfsched.IncarnationEnded{Worker: "w", ListedAt: s.now, Cause: mfsched.IncarnationCrashed})
		s.advance(300 * time.Millisecond)
		s.listIncarnation("w", startedAt)
		logged := 0
		for _, d := range takeCommands[mfsched.Decision](s) {
			if d.Message != "worker is back after its end" {
				continue
			}
			logged++
			assert.DeepEqual(t, d.Fields, map[string]any{
				"cause": mfsched.IncarnationCrashed, "since_ms": int64(300), "born": startedAt, "former": firstIncarnation, "late_starts": 1,
			})
		}
		assert.Equal(t, logged, 1)
	}
}
