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
	alone := s.state.Waits(s.now)[service]
	s.step(mfsched.FleetCapacityReported{Cores: 320})
	assert.Assert(t, s.state.Waits(s.now)[service] < alone/5, "%v", alone)
}
