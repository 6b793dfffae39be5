package mfsched_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfsched"
)

// besideForeignEntry returns a scheduler with forty workers that answer, and a worker that is
// listed beside them and does not.
func besideForeignEntry(t *testing.T, foreign mfsched.Worker) *script {
	t.Helper()
	s := newScript(t)
	s.step(mfsched.ConfigChanged{
		Queues:   map[mothferry.QueueID]mfsched.Queue{queue: {Service: service, MaxAttempts: 2, Stretch: 1.6, Latency: 600 * time.Millisecond}},
		Services: map[mothferry.ServiceID]bool{service: true}, Accounts: map[mothferry.AccountID]mfsched.Account{"a": {Weight: 1}},
	})
	s.step(mfsched.JobsLoaded{})
	for i := range 40 {
		s.listWorker(mothferry.WorkerID(fmt.Sprintf("w-%02d", i)))
	}
	foreign.At.Address = "10.0.0.9:1"
	s.step(mfsched.WorkerListed{Worker: foreign})
	s.advance(10 * time.Millisecond)
	for i := range 40 {
		s.answerPoll(mothferry.WorkerID(fmt.Sprintf("w-%02d", i)), mothferry.PollReport{})
	}
	for _, p := range takeCommands[mfsched.Poll](s) {
		s.step(mfsched.PollFailed{Worker: p.At.Worker, Number: p.Number, Sent: s.now, Result: mfsched.ResultUnknown})
	}
	return s
}

// Guards against jobs that are accepted beyond what the fleet can do: a worker's entry that another
// writer left, with a huge capacity, made work seem to wait for no time.
func TestEntryWithoutWorkerAddsNoCapacity(t *testing.T) {
	foreign := worker("x")
	foreign.Capacity.Cores = 1 << 30
	s := besideForeignEntry(t, foreign)
	for i := range 20 {
		job := submission(s.now, 100)
		job.Account, job.Steps[0].Estimate = "a", 10*time.Second
		s.step(mfsched.JobFound{Job: jobID(fmt.Sprintf("j-%02d", i)), Submission: job})
	}
	s.advance(100 * time.Millisecond)
	used := map[mothferry.WorkerID]bool{}
	for _, o := range takeCommands[mfsched.Start](s) {
		used[o.At.Worker] = true
	}
	assert.Equal(t, len(used), 40)
	assert.Assert(t, s.state.Waits(0, s.now)[service] > 10*time.Second, "%v", s.state.Waits(0, s.now))
	for flow, share := range s.state.Allocations(s.now) {
		assert.Assert(t, share.Rate <= 640 && share.Wait > 10*time.Second, "%v: %+v", flow, share)
	}
}

// Guards against jobs that are refused because their progress does not fit a row: it was taken to
// name a worker by the long key of an entry that no worker wrote.
func TestEntryWithoutWorkerLeavesRowsTheirRoom(t *testing.T) {
	foreign := worker(mothferry.WorkerID(strings.Repeat("x", 200)))
	s := besideForeignEntry(t, foreign)
	assert.Equal(t, s.state.LongestWorkerID(), mfjob.TextSize("w-00"))
}

// Guards against a log line with a field for each service that foreign entries name, in the place
// of the line's own fields.
func TestGaugeHasOnlyServicesOfTheConfig(t *testing.T) {
	foreign := worker("x")
	foreign.Service = "epoch"
	pools := besideForeignEntry(t, foreign).state.Gauge(startTime).Pools
	assert.Equal(t, len(pools), 1)
	assert.Equal(t, pools[service].Listed, 40)
}

// Guards against a worker that gets no work any more, and whose runs start again elsewhere, after
// another writer left an entry under its id that started in the future: its own entries and
// answers were taken for those of a previous incarnation.
func TestEntryFromTheFutureIsReplacedByTheWorkersOwn(t *testing.T) {
	const future mothferry.IncarnationStart = 253_402_300_799_999
	t.Run("before the first answer", func(t *testing.T) {
		s := newScript(t)
		s.listIncarnation("w", future)
		s.advance(10 * time.Millisecond)
		s.listIncarnation("w", firstIncarnation)
		s.advance(20 * time.Millisecond)
		s.answerAs("w", firstIncarnation, mothferry.PollReport{})
		s.submit("j", 1)
		assert.Equal(t, len(s.acceptStarts(100*time.Millisecond)), 1)
	})
	t.Run("while a task runs", func(t *testing.T) {
		s, starts := runningInFirstIncarnation(t, 1)
		s.answerStart(starts[0], mfsched.ResultDone, "")
		s.answerAs("w", firstIncarnation, mothferry.PollReport{Running: runningOf(starts)})
		s.addReadyWorker("w-2")
		s.listIncarnation("w", future)
		for range 10 {
			s.advance(100 * time.Millisecond)
			for _, p := range takeCommands[mfsched.Poll](s) {
				if p.At.Worker != "w" {
					s.step(mfsched.PollAnswered{Worker: p.At.Worker, Number: p.Number, Sent: s.now, Report: mothferry.PollReport{Clock: mothferry.WorkerClock(s.now.Sub(startTime))}})
					continue
				}
				s.step(mfsched.PollAnswered{Worker: "w", Number: p.Number, Sent: s.now, Report: mothferry.PollReport{
					StartedAt: firstIncarnation, Clock: mothferry.WorkerClock(s.now.Sub(startTime) + time.Hour), Running: runningOf(starts),
				}})
			}
		}
		s.listIncarnation("w", firstIncarnation)
		s.advance(20 * time.Millisecond)
		s.answerAs("w", firstIncarnation, mothferry.PollReport{Running: runningOf(starts)})
		assert.Equal(t, len(takeCommands[mfsched.Start](s)), 0, "its run goes on")
		s.step(mfsched.WorkersToEvacuate{Workers: map[mothferry.WorkerID]bool{"w-2": true}})
		s.submit("k", 1)
		again := s.acceptStarts(100 * time.Millisecond)
		assert.Equal(t, len(again), 1)
		assert.Equal(t, again[0].At.Worker, mothferry.WorkerID("w"))
	})
}

// Guards against two runs of a task at the same time: another writer's entry under a worker's id
// names the address of another worker, whose answer that it is not the one meant was taken for the
// end of the first.
func TestEntryWithAnotherWorkersAddressEndsNoIncarnation(t *testing.T) {
	for name, startedAt := range map[string]mothferry.IncarnationStart{"same start": firstIncarnation, "no start": 0, "later start": secondIncarnation} {
		t.Run(name, func(t *testing.T) {
			s, starts := runningInFirstIncarnation(t, 1)
			s.answerStart(starts[0], mfsched.ResultDone, "")
			s.answerAs("w", firstIncarnation, mothferry.PollReport{Running: runningOf(starts)})
			s.addReadyWorker("w-2")
			foreign := worker("w")
			foreign.StartedAt, foreign.At.Address = startedAt, "10.0.0.2:1"
			s.step(mfsched.WorkerListed{Worker: foreign})
			s.advance(20 * time.Millisecond)
			late := takeCommands[mfsched.Poll](s)
			for range 20 {
				s.advance(50 * time.Millisecond)
				for _, p := range takeCommands[mfsched.Poll](s) {
					if p.At.Address == foreign.At.Address {
						s.step(mfsched.PollFailed{Worker: p.At.Worker, Number: p.Number, Sent: s.now, Result: mfsched.ResultIncarnationEnded})
					}
				}
			}
			assert.Equal(t, len(takeCommands[mfsched.Start](s)), 0, "its run goes on")
			s.listIncarnation("w", firstIncarnation)
			s.advance(20 * time.Millisecond)
			s.answerAs("w", firstIncarnation, mothferry.PollReport{Running: runningOf(starts)})
			for _, p := range late {
				s.step(mfsched.PollFailed{Worker: p.At.Worker, Number: p.Number, Sent: s.now, Result: mfsched.ResultIncarnationEnded})
			}
			s.advance(time.Second)
			assert.Equal(t, len(takeCommands[mfsched.Start](s)), 0)
			assert.Equal(t, len(takeCommands[mfsched.Stop](s)), 0)
		})
	}
}
