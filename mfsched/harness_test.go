package mfsched_test

import (
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfsched"
)

// startTime is when the scripts begin.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	queue   mothferry.QueueID   = "q"
	service mothferry.ServiceID = "s"
)

func limits() mfsched.Limits { return mfsched.DefaultLimits() }

// script feeds events to a scheduler and collects its commands.
type script struct {
	t     *testing.T
	state *mfsched.State
	now   time.Time
	out   []mfsched.Command
	// committed holds the last stored progress of each job.
	committed map[mothferry.JobID]mfjob.Progress
}

// newScript returns a scheduler that has just taken over its shard.
func newScript(t *testing.T) *script {
	t.Helper()
	s := &script{t: t, state: mfsched.New(limits(), 2, startTime, startTime.Add(limits().LeaseExpiryBound())), now: startTime}
	s.step(mfsched.ConfigChanged{Queues: map[mothferry.QueueID]mfsched.Queue{
		queue: {Service: service, MaxAttempts: 2, Stretch: 1.6, Latency: 600 * time.Millisecond},
	}})
	return s
}

func (s *script) step(e mfsched.Event) {
	s.out = append(s.out, s.state.Step(e, s.now)...)
}

// advance lets time pass in ticks of 10 ms. Commits are stored at once.
func (s *script) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(10 * time.Millisecond)
		s.step(mfsched.Tick{})
		s.storeCommits()
	}
}

// storeCommits answers the pending commits.
func (s *script) storeCommits() {
	for _, c := range takeCommands[mfsched.Commit](s) {
		if s.committed == nil {
			s.committed = map[mothferry.JobID]mfjob.Progress{}
		}
		maps.Copy(s.committed, c.Progress)
		s.step(mfsched.CommitDone{Number: c.Number})
	}
}

// takeCommands removes the commands of one type and returns them.
func takeCommands[C mfsched.Command](s *script) []C {
	var found []C
	var rest []mfsched.Command
	for _, c := range s.out {
		if v, ok := c.(C); ok {
			found = append(found, v)
		} else {
			rest = append(rest, c)
		}
	}
	s.out = rest
	return found
}

// listWorker lists a worker of 16 cores.
func (s *script) listWorker(id mothferry.WorkerID) {
	s.step(mfsched.WorkerListed{Worker: worker(id)})
}

func worker(id mothferry.WorkerID) mfsched.Worker {
	return mfsched.Worker{
		At:      mothferry.WorkerAddress{Worker: id, Address: "10.0.0.1:1"},
		Service: service, Rack: "r1", Capacity: mothferry.Resources{Cores: 16000, Memory: 32 * mothferry.Gibibyte},
	}
}

// answerPoll answers the pending polls of a worker.
func (s *script) answerPoll(id mothferry.WorkerID, report mothferry.PollReport) {
	s.t.Helper()
	var sent bool
	for _, l := range takeCommands[mfsched.Poll](s) {
		if l.At.Worker == id {
			sent = true
			continue
		}
		s.out = append(s.out, l)
	}
	assert.Assert(s.t, sent, "no poll of %s is pending", id)
	if report.Clock == 0 {
		report.Clock = mothferry.WorkerClock(s.now.Sub(startTime) + time.Hour)
	}
	s.step(mfsched.PollAnswered{Worker: id, Sent: s.now, Report: report})
}

// submit submits a job with one step of count tasks.
func (s *script) submit(id mothferry.JobID, count int) {
	s.step(mfsched.JobFound{Job: id, Submission: submission(s.now, count)})
}

func jobID(text string) mothferry.JobID { return mothferry.JobID(text) }

func submission(at time.Time, count int) mfjob.Submission {
	return mfjob.Submission{
		Queue: queue, Service: service, Spec: "spec", Accepted: at,
		Steps: []mfjob.Step{{Count: count, Need: mothferry.Resources{Cores: 1000}, Estimate: 600 * time.Millisecond}},
	}
}

// runningOn returns a scheduler with one job, whose single task runs on a worker.
func runningOn(t *testing.T, id mothferry.WorkerID) (*script, mothferry.TaskName) {
	t.Helper()
	s := newScript(t)
	s.listWorker(id)
	s.advance(10 * time.Millisecond)
	s.answerPoll(id, mothferry.PollReport{})
	s.submit("j", 1)
	s.advance(50 * time.Millisecond)
	starts := takeCommands[mfsched.Start](s)
	assert.Equal(t, len(starts), 1)
	s.step(mfsched.StartAnswered{Worker: id, Task: starts[0].Order.Task, Run: 1, Result: mfsched.ResultDone})
	return s, starts[0].Order.Task
}
