package mffleet

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"mothferry/mfowner"
	"mothferry/mfsched"
)

// loopMetrics holds the metrics of the owner's loop and of the stages of tasks.
type loopMetrics struct {
	seconds   *prometheus.CounterVec
	queueWait prometheus.Gauge
	stages    *prometheus.HistogramVec
}

func newLoopMetrics(registry *prometheus.Registry) *loopMetrics {
	l := &loopMetrics{
		seconds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mothferry_owner_loop_seconds_total", Help: "Time of the owner's loop, by the part of its work.",
		}, []string{"part"}),
		queueWait: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "mothferry_owner_queue_wait_seconds", Help: "Longest time that an event waited for the owner's loop, in its last second.",
		}),
		stages: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "mothferry_task_stage_seconds", Help: "Time that tasks spent in a stage, as seen by the owner.",
			Buckets: prometheus.ExponentialBuckets(0.004, 2, 12),
		}, []string{"stage"}),
	}
	registry.MustRegister(l.seconds, l.queueWait, l.stages)
	return l
}

func (l *loopMetrics) addTimes(spent map[mfowner.LoopPart]time.Duration, queueWait time.Duration) {
	for part, took := range spent {
		l.seconds.WithLabelValues(string(part)).Add(took.Seconds())
	}
	l.queueWait.Set(queueWait.Seconds())
}

func (l *loopMetrics) addTaskStage(stage mfsched.TaskStage, took time.Duration) {
	l.stages.WithLabelValues(string(stage)).Observe(max(0, took.Seconds()))
}
