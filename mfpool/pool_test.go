package mfpool_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfdemand"
	"mothferry/mfpool"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestPoolIsSizedByBindingResource checks that a pool is sized by memory if its tasks fill the
// memory before the cores.
func TestPoolIsSizedByBindingResource(t *testing.T) {
	pool := mfpool.Pool{
		MachineCapacity: mfdemand.Amount{Cores: 16, Memory: 32},
		Demand:          mfdemand.Demand{Arriving: mfdemand.Amount{Cores: 16, Memory: 320}},
	}
	target := func() int {
		var s mfpool.Sizer
		return s.Targets(map[mothferry.ServiceID]mfpool.Pool{"a": pool}, start)["a"].Machines
	}
	n := pool.Need()
	assert.Equal(t, n, mfpool.Need{Cores: 3, Memory: 13})
	assert.Equal(t, target(), n.Memory)
	pool.Demand.Arriving.Memory = 32
	assert.Equal(t, target(), n.Cores)
	// Pools of machines with unknown memory are sized by cores.
	pool.Demand.Arriving.Memory, pool.MachineCapacity.Memory = 320, 0
	assert.Equal(t, target(), n.Cores)
}
