package mfsched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry/mfsched"
)

// Symptom: callers were told that work waits for 16 s, and a tenth of a day's
// jobs was refused, while two thirds of the machines stood by or were moving.
// Cause: the wait was worked out from the workers that were listed just then.
func TestWaitIncludesMachinesThatCanJoin(t *testing.T) {
	s := newScript(t)
	s.listWorker("w-1")
	s.advance(10 * time.Millisecond)
	for _, id := range []string{"a", "b", "c", "d"} {
		s.submit(jobID(id), 40)
	}
	alone := s.state.Waits(s.now)[service]
	s.step(mfsched.FleetCapacityReported{Cores: 320})
	assert.Assert(t, s.state.Waits(s.now)[service] < alone/5, "%v", alone)
}
