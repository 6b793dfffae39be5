package mffleet

import (
	"github.com/prometheus/client_golang/prometheus"

	"mothferry"
	"mothferry/mfduty"
)

// poolGauges holds the pool size metrics, which only the shard's owner exports.
type poolGauges struct{ machines, binding *prometheus.GaugeVec }

func newPoolGauges() poolGauges {
	return poolGauges{
		machines: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "mothferry_pool_machines", Help: "Machines of a service's pool: present, needed by its demand, and its target.",
		}, []string{"service", "kind"}),
		binding: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "mothferry_pool_binding", Help: "1 for the resource by which a service's pool is sized.",
		}, []string{"service", "resource"}),
	}
}

// set replaces the exported pool sizes; nil exports none.
func (g poolGauges) set(sizes map[mothferry.ServiceID]mfduty.PoolSize) {
	g.machines.Reset()
	g.binding.Reset()
	for id, r := range sizes {
		service := string(id)
		g.machines.WithLabelValues(service, "present").Set(float64(r.Present))
		g.machines.WithLabelValues(service, "needed").Set(float64(r.Needed))
		g.machines.WithLabelValues(service, "target").Set(float64(r.Target))
		for _, resource := range []mfduty.Resource{mfduty.ResourceCores, mfduty.ResourceMemory} {
			value := 0.0
			if r.Binding == resource {
				value = 1
			}
			g.binding.WithLabelValues(service, string(resource)).Set(value)
		}
	}
}
