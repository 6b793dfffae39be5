package mffleet

import (
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfduty"
)

// TestPoolGaugesEndWithOwnership checks that a host that lost the shard exports no pool
// sizes any more.
func TestPoolGaugesEndWithOwnership(t *testing.T) {
	g := newPoolGauges()
	registry := prometheus.NewRegistry()
	registry.MustRegister(g.machines, g.binding)
	shown := func() map[string]float64 {
		families, err := registry.Gather()
		assert.NilError(t, err)
		out := map[string]float64{}
		for _, f := range families {
			for _, m := range f.Metric {
				var labels []string
				for _, l := range m.Label {
					labels = append(labels, l.GetValue())
				}
				out[f.GetName()+" "+strings.Join(labels, " ")] = m.GetGauge().GetValue()
			}
		}
		return out
	}
	g.set(map[mothferry.ServiceID]mfduty.PoolSize{"a": {Present: 3, Needed: 9, Target: 5, Binding: mfduty.ResourceMemory}})
	assert.DeepEqual(t, shown(), map[string]float64{
		"mothferry_pool_machines present a": 3, "mothferry_pool_machines needed a": 9, "mothferry_pool_machines target a": 5,
		"mothferry_pool_binding memory a": 1, "mothferry_pool_binding cores a": 0,
	})
	g.set(nil)
	assert.Equal(t, len(shown()), 0)
}
