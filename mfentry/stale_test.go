package mfentry

import (
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfplacement"
)

// A runner that leaves must get no new request while the router still hands it out.
func TestLeavingRunnerGetsNoRequest(t *testing.T) {
	var left, stays atomic.Int64
	leaving := startAnswering(t, func(mothferry.RequestID) { left.Add(1) })
	serving := startAnswering(t, func(mothferry.RequestID) { stays.Add(1) })
	h, router, url := newEntry(t, leaving, serving)
	h.Store.AdoptPlacement(mfplacement.Record{DataCentre: "dc1", Pool: "general", Generation: 2, Runners: []mfplacement.Runner{
		{Task: runnerID(0), Service: "s", State: mfplacement.StateLeaving},
		{Task: runnerID(1), Service: "s", State: mfplacement.StateServing},
	}})
	for range 10 {
		response, _, err := do(t, http.MethodPost, url+"/s/x", "", map[string]string{mothferry.HeaderCustomer: "c"})
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
	}
	assert.Equal(t, left.Load(), int64(0))
	assert.Equal(t, stays.Load(), int64(10))
	assert.Equal(t, router.acquired, 0)
}
