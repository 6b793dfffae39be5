package mffleet

import (
	"fmt"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"mothferry/mfsched"
)

// Guards against gauges of workers that are no longer slow, or whose shard has another owner.
func TestSlowWorkerMetrics(t *testing.T) {
	registry := prometheus.NewRegistry()
	s := newStragglerMetrics(registry)
	s.setSlowWorkers([]mfsched.SlowWorker{{Service: "a", Worker: "w-1", Speed: 0.2}, {Service: "a", Worker: "w-2", Speed: 0.3}})
	s.countDecision(mfsched.MessageRestarted)
	assert.DeepEqual(t, metricLines(t, registry), []string{
		"mothferry_stragglers_total restarted 1", "mothferry_worker_speed a w-1 0.2", "mothferry_worker_speed a w-2 0.3",
		"mothferry_workers_slow a 2",
	})
	s.setSlowWorkers(nil)
	assert.DeepEqual(t, metricLines(t, registry), []string{"mothferry_stragglers_total restarted 1"})
}

// metricLines returns the name, labels and value of each metric.
func metricLines(t *testing.T, registry *prometheus.Registry) []string {
	t.Helper()
	families, err := registry.Gather()
	assert.NilError(t, err)
	var out []string
	for _, f := range families {
		for _, m := range f.GetMetric() {
			words := []string{f.GetName()}
			for _, l := range m.GetLabel() {
				words = append(words, l.GetValue())
			}
			out = append(out, fmt.Sprintf("%s %v", strings.Join(words, " "), m.GetGauge().GetValue()+m.GetCounter().GetValue()))
		}
	}
	return out
}
