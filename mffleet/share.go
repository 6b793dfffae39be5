package mffleet

import (
	"github.com/prometheus/client_golang/prometheus"

	"mothferry"
	"mothferry/mfintake"
	"mothferry/mfowner"
	"mothferry/mfsched"
)

// shareMetrics tell operators how client accounts are served. Labels hold only queues,
// services and accounts that a config names.
type shareMetrics struct {
	submitted, jobEnds *prometheus.CounterVec
	share, used        *prometheus.Desc
	// shares returns how the accounts' work stands, nil where this host does not know.
	shares func() *mfowner.Shares
}

func newShareMetrics(shares func() *mfowner.Shares) *shareMetrics {
	return &shareMetrics{
		submitted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mothferry_handed_in_total", Help: "Jobs handed in at this host, by queue, client account and outcome.",
		}, []string{"queue", "account", "outcome"}),
		jobEnds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mothferry_account_jobs_total", Help: "Jobs that ended while this host owned the shard, by queue, client account and end.",
		}, []string{"queue", "account", "end"}),
		share:  prometheus.NewDesc("mothferry_account_share_cores", "Cores of a service that are due to a client account which asks for some.", []string{"service", "account"}, nil),
		used:   prometheus.NewDesc("mothferry_account_used_cores", "Cores that the tasks of a client account have.", []string{"account"}, nil),
		shares: shares,
	}
}

// Describe implements prometheus.Collector.
func (m *shareMetrics) Describe(out chan<- *prometheus.Desc) {
	m.submitted.Describe(out)
	m.jobEnds.Describe(out)
	out <- m.share
	out <- m.used
}

// Collect implements prometheus.Collector.
func (m *shareMetrics) Collect(out chan<- prometheus.Metric) {
	m.submitted.Collect(out)
	m.jobEnds.Collect(out)
	s := m.shares()
	if s == nil {
		return
	}
	for flow, e := range s.Allocation {
		out <- prometheus.MustNewConstMetric(m.share, prometheus.GaugeValue, e.Rate, string(flow.Service), string(flow.Account))
	}
	for id, cores := range s.Used {
		out <- prometheus.MustNewConstMetric(m.used, prometheus.GaugeValue, cores, string(id))
	}
}

func (m *shareMetrics) countSubmission(queue mothferry.QueueID, account mothferry.AccountID, end mfintake.SubmitResult) {
	m.submitted.WithLabelValues(string(queue), string(account), string(end)).Inc()
}

func (m *shareMetrics) countJobEnd(e mfsched.JobEnd) {
	m.jobEnds.WithLabelValues(string(e.Queue), string(e.Account), string(e.End)).Inc()
}
