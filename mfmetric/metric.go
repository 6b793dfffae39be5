// Package mfmetric holds a daemon's metrics.
package mfmetric

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"mothferry"
	"mothferry/mftraffic"
)

// Metrics holds the metrics of one daemon. It implements mfentry.Observer.
type Metrics struct {
	Registry *prometheus.Registry

	requests *prometheus.CounterVec
	duration *prometheus.HistogramVec
}

// Gauges holds the sources of values that are read whenever metrics are collected.
type Gauges struct {
	Revision func() float64
	InFlight func() float64
	Peers    func() float64
	Holdings func() float64
	// Cores returns the cores that the process used recently.
	Cores func() float64
	// PeerTraffic and PlatformTraffic count the bytes on connections to peers and platform.
	PeerTraffic     *mftraffic.Counter
	PlatformTraffic *mftraffic.Counter
}

// New returns metrics in a new registry.
func New(g Gauges) *Metrics {
	m := &Metrics{
		Registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mothferry_requests_total", Help: "Requests by service, end and reason.",
		}, []string{"service", "end", "reason"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "mothferry_request_seconds", Help: "Time from a request's arrival to its end.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 15),
		}, []string{"service", "end"}),
	}
	m.Registry.MustRegister(m.requests, m.duration)
	m.gauge("mothferry_config_revision", "Revision of the documents in force.", g.Revision)
	m.gauge("mothferry_requests_in_flight", "Requests in work at this daemon.", g.InFlight)
	m.gauge("mothferry_peers_live", "Peers heard lately.", g.Peers)
	m.gauge("mothferry_shards_held", "Shards that this daemon holds.", g.Holdings)
	m.gauge("mothferry_cores_used", "Cores that this daemon used lately, over half a second.", g.Cores)
	m.traffic("peer", g.PeerTraffic)
	m.traffic("platform", g.PlatformTraffic)
	return m
}

func (m *Metrics) gauge(name, help string, read func() float64) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

func (m *Metrics) traffic(with string, c *mftraffic.Counter) {
	for _, k := range []struct {
		name, help string
		count      *atomic.Int64
	}{
		{"mothferry_" + with + "_sent_bytes_total", "Bytes sent on connections to the " + with + ".", &c.Sent},
		{"mothferry_" + with + "_received_bytes_total", "Bytes received on connections to the " + with + ".", &c.Received},
	} {
		options := prometheus.CounterOpts{Name: k.name, Help: k.help}
		m.Registry.MustRegister(prometheus.NewCounterFunc(options, func() float64 { return float64(k.count.Load()) }))
	}
}

// Ended counts the end of a request. Requests of unknown services share the empty
// name, so that callers cannot increase the number of metrics without bound.
func (m *Metrics) Ended(service mothferry.ServiceID, end mothferry.End, reason mothferry.Reason, took time.Duration) {
	m.requests.WithLabelValues(string(service), string(end), string(reason)).Inc()
	m.duration.WithLabelValues(string(service), string(end)).Observe(took.Seconds())
}
