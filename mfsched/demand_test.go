package mfsched_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"mothferry/mfsched"
)

// Guards against a bound on the tasks of a worker that wraps the fewest workers of a step.
func TestFewestWorkersDoNotWrap(t *testing.T) {
	s := newScript(t)
	job := submission(startTime, 3)
	job.Steps[0].Lasting, job.Steps[0].PerWorker = true, math.MaxInt64
	s.step(mfsched.JobFound{Job: "j", Submission: job})
	assert.Equal(t, s.state.Demands(s.now)[service].MinWorkers, 1)
}
