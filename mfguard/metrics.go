package mfguard

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// endReason is why a server ended a connection.
type endReason string

const (
	endHeadTooLarge endReason = "head_too_large"
	endHeadTimeout  endReason = "head_timeout"
	endBodyTimeout  endReason = "body_timeout"
	// endAnswerTimeout: the client does not read the answer.
	endAnswerTimeout endReason = "answer_timeout"
	endIdle          endReason = "idle"
	// endNoPlace: there are as many connections as the budget has.
	endNoPlace endReason = "no_place"
	// endNoRoom: the budget has no more memory.
	endNoRoom endReason = "no_room"
)

// Metrics holds the metrics of the servers of a process.
type Metrics struct {
	registry *prometheus.Registry
	ended    *prometheus.CounterVec

	mutex sync.Mutex
	// counts holds what was counted since the last log line, by server.
	counts map[string]map[endReason]int
}

// NewMetrics registers the metrics of the servers of a process.
func NewMetrics(registry *prometheus.Registry) *Metrics {
	m := &Metrics{
		registry: registry,
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mothferry_connections_ended_total", Help: "Connections of clients that the server ended, by server and reason.",
		}, []string{"server", "reason"}),
		counts: map[string]map[endReason]int{},
	}
	registry.MustRegister(m.ended)
	return m
}

// watch registers gauges of a server's pool.
func (m *Metrics) watch(server string, p *pool) {
	labels := prometheus.Labels{"server": server}
	m.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "mothferry_connections", Help: "Connections of clients, by server.", ConstLabels: labels,
		}, func() float64 {
			connections, _ := p.usage()
			return float64(connections)
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "mothferry_connections_reserved_bytes", Help: "Memory that is reserved for connections of clients, by server.", ConstLabels: labels,
		}, func() float64 {
			_, reserved := p.usage()
			return float64(reserved)
		}),
	)
}

// count counts a connection that a server ended.
func (m *Metrics) count(server string, reason endReason) {
	m.ended.WithLabelValues(server, string(reason)).Inc()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.counts[server] == nil {
		m.counts[server] = map[endReason]int{}
	}
	m.counts[server][reason]++
}

// takeCounts returns what was counted for a server since the last call.
func (m *Metrics) takeCounts(server string) map[endReason]int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	counts := m.counts[server]
	delete(m.counts, server)
	return counts
}
