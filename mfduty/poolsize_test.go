package mfduty_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfdemand"
	"mothferry/mfduty"
	"mothferry/mfsched"
)

// TestPoolSizesNameBindingResource checks the binding resource of pools that need mostly cores,
// mostly memory, or nothing.
func TestPoolSizesNameBindingResource(t *testing.T) {
	s := mfduty.New()
	f := mfduty.Fleet{Loads: map[mothferry.WorkerID]mfsched.Load{}, Demands: map[mothferry.ServiceID]mfdemand.Demand{
		"a": {Arriving: mfdemand.Amount{Cores: 100, Memory: 10}}, "b": {Arriving: mfdemand.Amount{Cores: 10, Memory: 200}},
		"c": {},
	}}
	f.Machines = poolMachines("a", 20, mfsched.Load{Known: true}, f.Loads)
	s.Plan(f, start)
	assert.Equal(t, s.PoolSizes["a"].Binding, mfduty.ResourceCores)
	assert.Equal(t, s.PoolSizes["b"].Binding, mfduty.ResourceMemory)
	assert.Equal(t, s.PoolSizes["c"].Binding, mfduty.Resource(""))
	assert.Equal(t, s.PoolSizes["b"].Needed, s.PoolSizes["b"].Need.Memory)
}

// TestPoolSizeLogIsRateLimited checks that a target that alternates by one machine is not logged
// in each plan, and that large changes are logged at once.
func TestPoolSizeLogIsRateLimited(t *testing.T) {
	var l mfduty.PoolSizeLog
	lines := 0
	for i := range 100 {
		sizes := map[mothferry.ServiceID]mfduty.PoolSize{"a": {Target: 20 + i%2, Needed: 20 + i%2}}
		lines += len(l.Changed(sizes, start.Add(time.Duration(i)*100*time.Millisecond)))
	}
	assert.Assert(t, lines >= 5 && lines <= 11, "%d", lines)
	assert.Equal(t, len(l.Changed(map[mothferry.ServiceID]mfduty.PoolSize{"a": {Target: 40}}, start.Add(10*time.Second))), 1)
	assert.Equal(t, len(l.Changed(map[mothferry.ServiceID]mfduty.PoolSize{"a": {Target: 20}}, start.Add(10010*time.Millisecond))), 1)
}
