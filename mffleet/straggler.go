package mffleet

import (
	"github.com/prometheus/client_golang/prometheus"

	"mothferry"
	"mothferry/mfsched"
)

// stragglerMetrics are the metrics of uneven workers.
type stragglerMetrics struct {
	slow, speed *prometheus.GaugeVec
	actions     *prometheus.CounterVec
}

func newStragglerMetrics(registry *prometheus.Registry) *stragglerMetrics {
	s := &stragglerMetrics{
		slow: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "mothferry_workers_slow", Help: "Workers that the shard's owner takes as slow, by service.",
		}, []string{"service"}),
		speed: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "mothferry_worker_speed", Help: "Speed of each slow worker against its peers; 1 is usual.",
		}, []string{"service", "worker"}),
		actions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mothferry_stragglers_total", Help: "What was done about tasks that were behind.",
		}, []string{"action"}),
	}
	registry.MustRegister(s.slow, s.speed, s.actions)
	return s
}

// countDecision counts a decision that the log has.
func (s *stragglerMetrics) countDecision(message string) {
	switch message {
	case mfsched.MessageRestarted:
		s.actions.WithLabelValues("restarted").Inc()
	case mfsched.MessageCopyStarted:
		s.actions.WithLabelValues("copied").Inc()
	case mfsched.MessageCopyFinished:
		s.actions.WithLabelValues("copy_won").Inc()
	case mfsched.MessageCopyStopped:
		s.actions.WithLabelValues("copy_lost").Inc()
	}
}

// setSlowWorkers takes in which workers are slow now; none once the shard has another owner.
func (s *stragglerMetrics) setSlowWorkers(workers []mfsched.SlowWorker) {
	s.slow.Reset()
	s.speed.Reset()
	count := map[mothferry.ServiceID]int{}
	for _, w := range workers {
		count[w.Service]++
		s.speed.WithLabelValues(string(w.Service), string(w.Worker)).Set(w.Speed)
	}
	for service, n := range count {
		s.slow.WithLabelValues(string(service)).Set(float64(n))
	}
}
