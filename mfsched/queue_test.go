package mfsched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfsched"
)

const (
	host   = "quotes.example"
	prefix = "/quotes/"
	// renamed is the queue's name after it was renamed.
	renamed mothferry.QueueID = "q-2"
)

// inForce returns the terms of a queue that is in the config.
func inForce() mfsched.Queue {
	return mfsched.Queue{
		Service: service, Host: host, Prefix: prefix, Priority: 1, MaxAttempts: 3, Stretch: 1.6, Latency: 600 * time.Millisecond,
	}
}

// accepted returns a job with the terms of its queue at that time.
func accepted(at time.Time) mfjob.Submission {
	s := submission(at, 1)
	s.Terms = &mfjob.QueueTerms{Host: host, Prefix: prefix, Priority: 1, MaxAttempts: 3, Stretch: 1.6, Latency: 600 * time.Millisecond}
	return s
}

func configure(s *script, queues map[mothferry.QueueID]mfsched.Queue) {
	s.step(mfsched.ConfigChanged{Queues: queues})
}

// failRuns fails each run that starts until none starts for a second, and returns how many did.
func failRuns(s *script, id mothferry.WorkerID) int {
	count := 0
	for idle := time.Duration(0); idle < time.Second; {
		s.advance(20 * time.Millisecond)
		idle += 20 * time.Millisecond
		report := mothferry.PollReport{Clock: mothferry.WorkerClock(s.now.Sub(startTime) + time.Hour)}
		for _, c := range takeCommands[mfsched.Start](s) {
			count, idle = count+1, 0
			s.step(mfsched.StartAnswered{Worker: id, Task: c.Order.Task, Run: c.Order.Run, Result: mfsched.ResultDone})
			report.Ended = append(report.Ended, mothferry.EndedTask{
				Number: mothferry.EndNumber(count), Task: c.Order.Task, Run: c.Order.Run, Cause: mothferry.EndFailed,
			})
		}
		for _, p := range takeCommands[mfsched.Poll](s) {
			s.step(mfsched.PollAnswered{Worker: id, Number: p.Number, Sent: s.now, Report: report})
		}
	}
	return count
}

// Guards against a job that fails before its attempts are used up because its queue is not in the
// config: it was renamed or removed, has been away for a time, or is not known yet to this owner.
func TestJobKeepsAttemptsWithoutItsQueue(t *testing.T) {
	other := inForce()
	other.Host = "other.example"
	with := func(id mothferry.QueueID, q mfsched.Queue) map[mothferry.QueueID]mfsched.Queue {
		return map[mothferry.QueueID]mfsched.Queue{id: q}
	}
	for name, configs := range map[string][]map[mothferry.QueueID]mfsched.Queue{
		"renamed":            {with(queue, inForce()), with(renamed, inForce())},
		"removed":            {with(queue, inForce()), with("other", other)},
		"last one removed":   {with(queue, inForce()), {}},
		"has come back":      {with(queue, inForce()), with("other", other), with(queue, inForce())},
		"not known yet":      {with("other", other)},
		"gone for new owner": {{}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScript(t)
			configure(s, configs[0])
			s.listWorker("w-1")
			s.advance(10 * time.Millisecond)
			s.answerPoll("w-1", mothferry.PollReport{})
			s.step(mfsched.JobFound{Job: "j", Submission: reread(t, accepted(s.now))})
			for _, c := range configs[1:] {
				configure(s, c)
			}
			assert.Equal(t, failRuns(s, "w-1"), 3)
			assert.Equal(t, s.committed["j"].State, mfjob.StateFailed)
		})
	}
}

// Guards against a job that an older program has stored, without the terms of its queue, and that
// fails with its first failed run: the other queues of its service tell how often a task may fail.
func TestStoredJobWithoutTermsKeepsAttemptsOfItsService(t *testing.T) {
	s := newScript(t)
	other := inForce()
	other.Host, other.MaxAttempts = "other.example", 2
	more := other
	more.MaxAttempts = 5
	elsewhere := other
	elsewhere.Service, elsewhere.MaxAttempts = "elsewhere", 1
	configure(s, map[mothferry.QueueID]mfsched.Queue{"a": more, "b": other, "c": elsewhere})
	s.listWorker("w-1")
	s.advance(10 * time.Millisecond)
	s.answerPoll("w-1", mothferry.PollReport{})
	job := accepted(s.now)
	job.Terms = nil
	s.step(mfsched.JobFound{Job: "j", Submission: job})
	assert.Equal(t, failRuns(s, "w-1"), 2)
}

// Guards against a job that counts as too late, and as no demand for machines, once its queue is
// not in the config any more.
func TestJobWithoutItsQueueIsDemand(t *testing.T) {
	s := newScript(t)
	configure(s, map[mothferry.QueueID]mfsched.Queue{queue: inForce()})
	s.step(mfsched.JobFound{Job: "j", Submission: accepted(s.now)})
	s.now = s.now.Add(300 * time.Millisecond)
	before := s.state.Demands(s.now)[service]
	assert.Assert(t, before.OnTimeWork.Cores > 0)
	configure(s, nil)
	assert.DeepEqual(t, s.state.Demands(s.now)[service].OnTimeWork, before.OnTimeWork)
}

// Guards against starts without a ticket, which workers refuse without end, of a job whose advised
// queue is not in the config any more.
func TestJobOfRemovedAdvisedQueueStillNeedsTickets(t *testing.T) {
	s := newScript(t)
	configure(s, map[mothferry.QueueID]mfsched.Queue{})
	s.listWorker("w-1")
	s.advance(10 * time.Millisecond)
	s.answerPoll("w-1", mothferry.PollReport{})
	job := accepted(s.now)
	job.Terms.Advised = true
	s.step(mfsched.JobFound{Job: "j", Submission: job})
	s.advance(100 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 0)
	assert.Equal(t, len(takeCommands[mfsched.RequestAdvice](s)), 1)
}

// Guards against a count of pending jobs that leaves out those of a renamed queue: hosts with the
// config before ask for the old name, the others for the new one.
func TestPendingCountsJobsOfRenamedQueue(t *testing.T) {
	s := newScript(t)
	configure(s, map[mothferry.QueueID]mfsched.Queue{queue: inForce()})
	s.step(mfsched.JobsLoaded{})
	s.step(mfsched.JobFound{Job: "j", Submission: accepted(s.now)})
	configure(s, map[mothferry.QueueID]mfsched.Queue{renamed: inForce()})
	pending, known := s.state.Pending()
	assert.Assert(t, known)
	assert.DeepEqual(t, pending, map[mothferry.QueueID]int{queue: 1, renamed: 1})
}

// Guards against work on workers of another service: a queue that took over the host and prefix
// but sends its jobs elsewhere does not apply to jobs of the queue before.
func TestQueueOfAnotherServiceTakesNoJobsOver(t *testing.T) {
	s := newScript(t)
	elsewhere := inForce()
	elsewhere.Service, elsewhere.MaxAttempts = "elsewhere", 1
	configure(s, map[mothferry.QueueID]mfsched.Queue{renamed: elsewhere})
	s.listWorker("w-1")
	s.advance(10 * time.Millisecond)
	s.answerPoll("w-1", mothferry.PollReport{})
	s.step(mfsched.JobFound{Job: "j", Submission: accepted(s.now)})
	assert.Equal(t, failRuns(s, "w-1"), 3)
}

// Guards against a job of an older program's format that loses the terms that this owner still
// knew when its queue was removed.
func TestStoredJobWithoutTermsKeepsThoseLastInForce(t *testing.T) {
	s := newScript(t)
	configure(s, map[mothferry.QueueID]mfsched.Queue{queue: inForce()})
	s.listWorker("w-1")
	s.advance(10 * time.Millisecond)
	s.answerPoll("w-1", mothferry.PollReport{})
	job := accepted(s.now)
	job.Terms = nil
	s.step(mfsched.JobFound{Job: "j", Submission: job})
	configure(s, nil)
	configure(s, nil)
	assert.Equal(t, failRuns(s, "w-1"), 3)
}
