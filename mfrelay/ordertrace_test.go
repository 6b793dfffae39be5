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
	eventually(t, "a relayed start is answered", func() bool {
		before := f.direct.callCount()
		var trace mothferry.OrderTrace
		_, err := f.relay.Start(mothferry.WithOrderTrace(context.Background(), &trace), worker(1), mothferry.StartOrder{})
		if f.direct.callCount() > before {
			assert.Equal(t, trace.Relay, mothferry.DaemonID(""))
			return false
		}
		assert.Equal(t, trace.Relay, mothferry.DaemonID("r-1"))
		return err == nil
	})
}
