package mfrelay_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"mothferry"
)

// The trace of a start names the host that relayed it.
func TestOrderTraceNamesRelay(t *testing.T) {
	f := newFleet()
	f.addHost(t, "r-1", &fakeWorkers{})
	f.start(t)
	eventually(t, "all orders are relayed", f.allRelayed)
	var trace mothferry.OrderTrace
	_, err := f.relay.Start(mothferry.WithOrderTrace(context.Background(), &trace), worker(1), mothferry.StartOrder{})
	assert.NilError(t, err)
	assert.Equal(t, trace.Relay, mothferry.DaemonID("r-1"))
}
