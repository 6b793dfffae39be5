package mffleet

import (
	"github.com/prometheus/client_golang/prometheus"

	"mothferry/mfsched"
)

// ownerGauges are the metrics of a shard's load at its owner.
type ownerGauges struct {
	adviceWaiting, adviceUnanswered, adviceWait, rowFull prometheus.Gauge
}

func newOwnerGauges(registry *prometheus.Registry) *ownerGauges {
	gauge := func(name, help string) prometheus.Gauge {
		g := prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
		registry.MustRegister(g)
		return g
	}
	return &ownerGauges{
		adviceWaiting:    gauge("mothferry_advice_steps_waiting", "Steps that wait for a call to the adviser."),
		adviceUnanswered: gauge("mothferry_advice_calls_unanswered", "Calls to the adviser without an answer, overdue ones included."),
		adviceWait:       gauge("mothferry_advice_wait_seconds", "Lower bound on how long a step that is ready now waits for its advice."),
		rowFull:          gauge("mothferry_jobs_row_full", "Jobs with tasks that wait for room in their job's row."),
	}
}

func (o *ownerGauges) set(g mfsched.Gauge) {
	o.adviceWaiting.Set(float64(g.Advice.Waiting))
	o.adviceUnanswered.Set(float64(g.Advice.Unanswered))
	o.adviceWait.Set(g.Advice.Wait.Seconds())
	o.rowFull.Set(float64(g.RowFull))
}
