package mfreport

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// familyName names a family that a report is made from.
type familyName string

// Families of each host.
const (
	metricSubmitted familyName = "mothferry_handed_in_total"
	metricForwarded familyName = "mothferry_calls_forwarded_total"
	metricCarried   familyName = "mothferry_calls_carried_total"
	metricServing   familyName = "mothferry_store_serving"
	metricOwning    familyName = "mothferry_owning"
	metricRequests  familyName = "mothferry_job_request_seconds"
)

// Families of the shard's owner.
const (
	metricJobs       familyName = "mothferry_account_jobs_total"
	metricShare      familyName = "mothferry_account_share_cores"
	metricUsed       familyName = "mothferry_account_used_cores"
	metricSlow       familyName = "mothferry_workers_slow"
	metricSpeed      familyName = "mothferry_worker_speed"
	metricStragglers familyName = "mothferry_stragglers_total"
	metricMachines   familyName = "mothferry_pool_machines"
	metricBinding    familyName = "mothferry_pool_binding"
)

// Family is a family of metrics that a report is made from.
type Family struct {
	Name   string
	Labels []string
	// Counter says that it only grows while a host lives; else it is a gauge.
	Counter bool
}

// Families returns all families that a report is made from.
func Families() []Family {
	return []Family{
		{Name: string(metricSubmitted), Labels: []string{"queue", "account", "outcome"}, Counter: true},
		{Name: string(metricForwarded), Labels: []string{"kind", "outcome"}, Counter: true},
		{Name: string(metricCarried), Labels: []string{"kind", "outcome"}, Counter: true},
		{Name: string(metricRequests), Labels: []string{"kind", "status"}, Counter: true},
		{Name: string(metricServing)},
		{Name: string(metricOwning)},
		{Name: string(metricJobs), Labels: []string{"queue", "account", "end"}, Counter: true},
		{Name: string(metricStragglers), Labels: []string{"action"}, Counter: true},
		{Name: string(metricShare), Labels: []string{"service", "account"}},
		{Name: string(metricUsed), Labels: []string{"account"}},
		{Name: string(metricSlow), Labels: []string{"service"}},
		{Name: string(metricSpeed), Labels: []string{"service", "worker"}},
		{Name: string(metricMachines), Labels: []string{"service", "kind"}},
		{Name: string(metricBinding), Labels: []string{"service", "resource"}},
	}
}

// maxDetailBytes bounds what an error repeats of a text, in bytes.
const maxDetailBytes = 200

// sample is one value with its labels. A label that is missing reads as empty.
type sample struct {
	labels map[string]string
	value  float64
}

// key tells samples of a family apart.
func (s sample) key() string {
	var out strings.Builder
	for _, name := range slices.Sorted(maps.Keys(s.labels)) {
		fmt.Fprintf(&out, "%s=%q,", name, s.labels[name])
	}
	return out.String()
}

// Metrics are the families of one host that a report is made from.
type Metrics map[familyName][]sample

// ErrBadMetrics reports a text that is not metrics, or has a value that can't be counted.
type ErrBadMetrics struct {
	// Metric is empty if the text as a whole can't be read.
	Metric string
	Detail string
}

// Error implements error.
func (e *ErrBadMetrics) Error() string {
	if e.Metric == "" {
		return "metrics can't be read: " + e.Detail
	}
	return fmt.Sprintf("metric %s: %s", e.Metric, e.Detail)
}

// Parse reads metrics in Prometheus's text form. Its error is an *ErrBadMetrics.
func Parse(r io.Reader) (Metrics, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(r)
	if err != nil {
		detail := err.Error()
		return nil, &ErrBadMetrics{Detail: detail[:min(len(detail), maxDetailBytes)]}
	}
	m := Metrics{}
	for _, f := range Families() {
		for _, one := range families[f.Name].GetMetric() {
			s := sample{labels: map[string]string{}, value: valueOf(one)}
			if math.IsNaN(s.value) || math.IsInf(s.value, 0) || s.value < 0 {
				return nil, &ErrBadMetrics{Metric: f.Name, Detail: fmt.Sprintf("value %v is not a finite number of 0 or more", s.value)}
			}
			for _, l := range one.GetLabel() {
				s.labels[l.GetName()] = l.GetValue()
			}
			m[familyName(f.Name)] = append(m[familyName(f.Name)], s)
		}
	}
	return m, nil
}

// valueOf returns a metric's value, whatever its type is declared as. That of a
// histogram is its count.
func valueOf(m *dto.Metric) float64 {
	switch {
	case m.GetCounter() != nil:
		return m.GetCounter().GetValue()
	case m.GetGauge() != nil:
		return m.GetGauge().GetValue()
	case m.GetHistogram() != nil:
		return float64(m.GetHistogram().GetSampleCount())
	case m.GetSummary() != nil:
		return float64(m.GetSummary().GetSampleCount())
	default:
		return m.GetUntyped().GetValue()
	}
}

// Delta returns the metrics with counters less what they were before. A counter
// that is smaller than before belongs to a host that started again in between and
// stands as it is.
func (m Metrics) Delta(before Metrics) Metrics {
	out := maps.Clone(m)
	for _, f := range Families() {
		if !f.Counter {
			continue
		}
		name := familyName(f.Name)
		earlier := map[string]float64{}
		for _, s := range before[name] {
			earlier[s.key()] = s.value
		}
		var rest []sample
		for _, s := range m[name] {
			if was := earlier[s.key()]; was <= s.value {
				s.value -= was
			}
			rest = append(rest, s)
		}
		out[name] = rest
	}
	return out
}
