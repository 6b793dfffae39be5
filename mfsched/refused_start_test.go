package mfsched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfsched"
)

// Guards against a task that is started elsewhere beside its run: a poll shows the run, and the
// answer to its start, which comes later, is a refusal. What the worker reports decides.
func TestRefusalDoesNotFreeReportedRun(t *testing.T) {
	refusals := []mothferry.OrderRefusal{
		mothferry.RefusalRun, mothferry.RefusalLate, mothferry.RefusalCapacity, mothferry.RefusalUnhealthy, mothferry.RefusalMalformed, mothferry.RefusalTicket,
	}
	for kind, change := range kindsOfSteps {
		for _, why := range refusals {
			t.Run(kind+" "+string(why), func(t *testing.T) {
				s := newScript(t)
				s.addReadyWorker("w")
				s.submitStep("j", 2, change)
				s.advance(50 * time.Millisecond)
				starts := takeCommands[mfsched.Start](s)
				assert.Equal(t, len(starts), 2)
				s.addReadyWorker("w-2")
				s.answerPoll("w", mothferry.PollReport{Running: runningOf(starts)})
				for _, o := range starts {
					s.answerStart(o, mfsched.ResultRefused, why)
				}
				s.advance(200 * time.Millisecond)
				assert.Equal(t, len(takeCommands[mfsched.Start](s)), 0)
				s.answerPoll("w", mothferry.PollReport{Running: runningOf(starts)})
				assert.Equal(t, len(takeCommands[mfsched.Stop](s)), 0)
				s.answerNextPoll("w")
				assert.Equal(t, len(takeCommands[mfsched.Stop](s)), 2, "the runs are missing")
				assert.Equal(t, len(s.acceptStarts(200*time.Millisecond)), 0)
				for _, o := range starts {
					s.step(mfsched.StopAnswered{Worker: "w", Sent: s.now, Task: o.Order.Task, Run: o.Order.Run, Result: mfsched.ResultDone})
				}
				s.advance(10 * time.Millisecond)
				s.answerPoll("w", mothferry.PollReport{})
				assert.Equal(t, len(s.acceptStarts(500*time.Millisecond)), 2)
			})
		}
	}
}

// answerNextPoll lets the worker's next poll be sent and answers that nothing runs there.
func (s *script) answerNextPoll(id mothferry.WorkerID) {
	s.t.Helper()
	s.advance(50 * time.Millisecond)
	s.answerPoll(id, mothferry.PollReport{})
}

// The same for a copy.
func TestRefusalDoesNotFreeReportedCopy(t *testing.T) {
	p, _, copied := newPoolWithCopy(t)
	p.simulate(20 * time.Millisecond)
	p.step(mfsched.StartAnswered{Worker: copied.At.Worker, Task: copied.Order.Task, Run: copied.Order.Run, Result: mfsched.ResultRefused, Refusal: mothferry.RefusalCapacity})
	p.simulate(100 * time.Millisecond)
	assert.Equal(t, p.countStops(victim, copied.At.Worker), 0)
	assert.Equal(t, p.countStarts(victim), 2)
}

// Guards against a task that is started elsewhere although its order was carried out: a refusal
// because such a run has ended there already, or was stopped, says so of the first order too if
// no stop was sent.
func TestRefusalOfEndedRunIsNoProof(t *testing.T) {
	for kind, change := range kindsOfSteps {
		t.Run(kind, func(t *testing.T) {
			s := newScript(t)
			s.addReadyWorker("w")
			s.submitStep("j", 1, change)
			s.advance(50 * time.Millisecond)
			starts := takeCommands[mfsched.Start](s)
			assert.Equal(t, len(starts), 1)
			s.addReadyWorker("w-2")
			s.answerStart(starts[0], mfsched.ResultRefused, mothferry.RefusalRun)
			assert.Equal(t, len(s.acceptStarts(200*time.Millisecond)), 0)
			assert.Equal(t, len(takeCommands[mfsched.Stop](s)), 1)
			s.step(mfsched.StopAnswered{Worker: "w", Sent: s.now, Task: starts[0].Order.Task, Run: 1, Result: mfsched.ResultDone})
			s.advance(10 * time.Millisecond)
			s.answerPoll("w", mothferry.PollReport{})
			assert.Equal(t, len(s.acceptStarts(200*time.Millisecond)), 1)
		})
	}
}
