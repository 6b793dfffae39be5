package mfsched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry/mfsched"
)

// Guards against waits that are computed only from the workers that are listed at the moment.
// While two thirds of the machines were on standby or moving, callers were told that work waits
// for 16 s, and a tenth of the jobs was refused.
func TestWaitIncludesMachinesThatCanJoin(t *testing.T) {
	s := newScript(t)
	s.listWorker("w-1")
	s.advance(10 * time.Millisecond)
	for _, id := range []string{"a", "b", "c", "d"} {
		s.submit(jobID(id), 40)
	}
	alone := s.state.Waits(0, s.now)[service]
	s.step(mfsched.FleetCapacityReported{Cores: 320})
	assert.Assert(t, s.state.Waits(0, s.now)[service] < alone/5, "%v", alone)
}

// Guards against accepting jobs without bound while the owner itself can't start them in time: what
// waits in all services counts over its rate of starts.
func TestWaitsCountTheRateOfStarts(t *testing.T) {
	s := newScript(t)
	s.listWorker("w")
	s.step(mfsched.FleetCapacityReported{Cores: 10_000})
	s.submit("j", 900)
	assert.Equal(t, s.state.Waits(300, s.now)[service], 3*time.Second)
	assert.Equal(t, s.state.Waits(1, s.now)[service], 10*time.Second, "the bound of the estimate")
	assert.Equal(t, s.state.Waits(1e6, s.now)[service], s.state.Waits(0, s.now)[service], "cores bind")
}
