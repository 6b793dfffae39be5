package mfentry

import (
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfplacement"
)

// TestLeavingRunnerGetsNoRequest checks that a runner gets no new requests once newer
// placements list it as leaving, even while the router still assigns it.
func TestLeavingRunnerGetsNoRequest(t *testing.T) {
	var toLeaving, toServing atomic.Int64
	leaving := startAnswering(t, func(mothferry.RequestID) { toLeaving.Add(1) })
	serving := startAnswering(t, func(mothferry.RequestID) { toServing.Add(1) })
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
	assert.Equal(t, toLeaving.Load(), int64(0))
	assert.Equal(t, toServing.Load(), int64(10))
	assert.Equal(t, router.acquired, 0)
}
