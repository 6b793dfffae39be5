package mfsched_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfsched"
)

// advised is an adviser for a script, which grants tickets for some workers.
type advised struct {
	*script
	valid time.Duration
	good  func(w mothferry.WorkerID) bool
	// asked counts how often each worker was named.
	asked map[mothferry.WorkerID]int
}

// newAdvised returns a scheduler with workers that serve an advised queue.
func newAdvised(t *testing.T, workers int) *advised {
	t.Helper()
	s := &advised{script: newScript(t), valid: 5 * time.Second, good: func(mothferry.WorkerID) bool { return true }, asked: map[mothferry.WorkerID]int{}}
	s.step(mfsched.ConfigChanged{Queues: map[mothferry.QueueID]mfsched.Queue{
		queue: {Service: service, MaxAttempts: 2, Stretch: 1.6, Latency: 600 * time.Millisecond, Advised: true},
	}})
	for i := range workers {
		id := mothferry.WorkerID(fmt.Sprintf("w-%02d", i))
		s.listWorker(id)
		s.advance(10 * time.Millisecond)
		s.answerPoll(id, mothferry.PollReport{})
	}
	return s
}

// startsWithin lets time pass while the adviser answers, and returns the starts.
func (s *advised) startsWithin(d time.Duration) []mfsched.Start {
	var starts []mfsched.Start
	for end := s.now.Add(d); s.now.Before(end); {
		s.advance(100 * time.Millisecond)
		for _, c := range takeCommands[mfsched.RequestAdvice](s.script) {
			tickets := map[mothferry.WorkerID]string{}
			for _, w := range c.Workers {
				s.asked[w]++
				if s.good(w) {
					tickets[w] = "t"
				}
			}
			s.step(mfsched.AdviceAnswered{Number: c.Number, Asked: c.Workers, Tickets: tickets, Valid: s.valid})
		}
		for _, c := range takeCommands[mfsched.Start](s.script) {
			starts = append(starts, c)
			s.step(mfsched.StartAnswered{Worker: c.At.Worker, Task: c.Order.Task, Run: c.Order.Run, Result: mfsched.ResultDone})
		}
		takeCommands[mfsched.Poll](s.script)
	}
	return starts
}

// Guards against an advised step that never starts whole because it needs more workers than one call
// names: the same ones, which have tickets, were asked for again and again.
func TestAdvisedStepWiderThanOneCallStartsWhole(t *testing.T) {
	for _, gang := range []bool{false, true} {
		t.Run(fmt.Sprintf("gang %v", gang), func(t *testing.T) {
			s := newAdvised(t, 32)
			job := submission(s.now, 30)
			job.Steps[0].PerWorker, job.Steps[0].Lasting, job.Steps[0].Gang = 1, !gang, gang
			s.step(mfsched.JobFound{Job: "wide", Submission: job})
			starts := s.startsWithin(2 * time.Second)
			assert.Equal(t, len(starts), 30)
			for _, c := range starts {
				assert.Equal(t, c.Order.Ticket, "t")
			}
		})
	}
}

// Guards against workers that the adviser refuses and that are asked for again, and against tickets
// that are not renewed once they have expired.
func TestAdviceIsAskedForWhereItIsMissing(t *testing.T) {
	s := newAdvised(t, 30)
	s.valid = 700 * time.Millisecond
	s.good = func(w mothferry.WorkerID) bool { return w >= "w-20" }
	job := submission(s.now, 1)
	job.Steps[0].Need.Cores = 16000
	s.step(mfsched.JobFound{Job: "first", Submission: job})
	assert.Equal(t, len(s.startsWithin(2*time.Second)), 1)
	wide := submission(s.now, 20)
	wide.Steps[0].Need.Cores = 16000
	s.step(mfsched.JobFound{Job: "wide", Submission: wide})
	assert.Equal(t, len(s.startsWithin(3*time.Second)), 9, "the adviser allows ten workers, one of which is taken")
	for id, count := range s.asked {
		assert.Assert(t, id >= "w-20" || count <= 2, "%s was asked for %d times by two steps", id, count)
	}
}
