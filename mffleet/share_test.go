package mffleet

import (
	"slices"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfintake"
	"mothferry/mfowner"
	"mothferry/mfsched"
	"mothferry/mfshare"
)

// Guarded against: operators can't tell whose jobs were refused, or read shares of a host that does not own the shard.
func TestShareMetrics(t *testing.T) {
	var shares *mfowner.Shares
	m := newShareMetrics(func() *mfowner.Shares { return shares })
	r := prometheus.NewRegistry()
	r.MustRegister(m)
	m.countSubmission("q", "a", mfintake.RefusedShare)
	m.countJobEnd(mfsched.JobEnd{Queue: "q", Account: "a", End: mfsched.EndLate})
	assert.DeepEqual(t, metricNames(t, r), []string{"mothferry_account_jobs_total", "mothferry_handed_in_total"})
	shares = &mfowner.Shares{
		Allocation: mfshare.Allocation{{Service: "s", Account: "a"}: {Rate: 4}},
		Used:       map[mothferry.AccountID]float64{"a": 2},
	}
	assert.DeepEqual(t, metricNames(t, r), []string{
		"mothferry_account_jobs_total", "mothferry_account_share_cores", "mothferry_account_used_cores", "mothferry_handed_in_total",
	})
}

// metricNames returns the metrics that a registry has, with the labels checked that operators select by.
func metricNames(t *testing.T, r *prometheus.Registry) []string {
	t.Helper()
	families, err := r.Gather()
	assert.NilError(t, err)
	var out []string
	for _, f := range families {
		out = append(out, f.GetName())
		var labels []string
		for _, l := range f.GetMetric()[0].GetLabel() {
			labels = append(labels, l.GetName())
		}
		assert.Assert(t, slices.Contains(labels, "account"), strings.Join(labels, " "))
	}
	slices.Sort(out)
	return out
}
