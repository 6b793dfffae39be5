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
	const workers, cores, rounds = 200, 16, 10
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
	const waiting = 1000
	for i := range waiting {
		s.submit(jobID(fmt.Sprintf("waits-%04d", i)), 8)
	}
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
