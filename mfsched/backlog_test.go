package mfsched_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfsched"
)

// Guards against rounds of decisions that get slower as more tasks wait for a full pool: the
// owner then falls behind, and more tasks wait.
func TestWaitingTasksDoNotMultiplyByWorkers(t *testing.T) {
	const workers, waiting, rounds = 200, 1000, 10
	s := newBacklog(t, workers, waiting)
	s.state.TakeEffort()
	for range rounds {
		s.advance(30 * time.Millisecond)
	}
	effort := s.state.TakeEffort()
	assert.Assert(t, effort.Candidates >= rounds*waiting, "candidates tried: %d", effort.Candidates)
	// Nothing can start, so a round needs to look at each worker and at each candidate once.
	placements := effort.Candidates / waiting
	assert.Assert(t, effort.Workers <= placements*(workers+waiting), "workers compared in %d rounds: %d", placements, effort.Workers)
}

// Guards against waiting tasks whose sizes don't cover each other, more cores beside less memory,
// being compared with all workers of a full pool each.
func TestWaitingTasksOfOpposedSizesDoNotMultiplyByWorkers(t *testing.T) {
	const workers, waiting = 200, 300
	s := newBacklog(t, workers, 0)
	for i := range waiting {
		job := submission(s.now, 1)
		job.Steps[0].Need = mothferry.Resources{Cores: mothferry.Millicores(1000 + i), Memory: mothferry.Bytes(waiting-i) * mothferry.Mebibyte}
		s.step(mfsched.JobFound{Job: jobID(fmt.Sprintf("waits-%04d", i)), Submission: job})
	}
	s.advance(100 * time.Millisecond)
	s.state.TakeEffort()
	s.advance(300 * time.Millisecond)
	effort := s.state.TakeEffort()
	placements := effort.Candidates / waiting
	assert.Assert(t, placements > 0)
	assert.Assert(t, effort.Workers <= placements*(workers+waiting), "workers compared in %d rounds: %d", placements, effort.Workers)
}

// Guards against rounds that allocate memory for each waiting job, which garbage collection then
// has to find while the owner is at its limit.
func TestRoundsDoNotAllocateForWaitingJobs(t *testing.T) {
	allocations := func(waiting int) float64 {
		s := newBacklog(t, 50, waiting)
		return testing.AllocsPerRun(20, func() { s.advance(30 * time.Millisecond) })
	}
	few, many := allocations(250), allocations(1000)
	assert.Assert(t, many < 2*few, "allocations of three rounds: %.0f with 250 waiting jobs, %.0f with 1,000", few, many)
}

// newBacklog returns a scheduler with a full pool and some jobs that wait for it.
func newBacklog(t *testing.T, workers, waiting int) *script {
	t.Helper()
	const cores = 16
	s := newScript(t)
	for i := range workers {
		s.listWorker(mothferry.WorkerID(fmt.Sprintf("w-%03d", i)))
	}
	s.advance(10 * time.Millisecond)
	for _, p := range takeCommands[mfsched.Poll](s) {
		s.step(mfsched.PollAnswered{Worker: p.At.Worker, Number: p.Number, Sent: s.now, Report: mothferry.PollReport{Clock: 1}})
	}
	for i := range workers * cores / 8 {
		s.submit(jobID(fmt.Sprintf("full-%04d", i)), 8)
	}
	for range 20 {
		s.advance(30 * time.Millisecond)
	}
	assert.Equal(t, s.state.Gauge(s.now).Pools[service].Running, workers*cores, "the pool is full")
	for i := range waiting {
		s.submit(jobID(fmt.Sprintf("waits-%04d", i)), 8)
	}
	s.advance(100 * time.Millisecond)
	return s
}
