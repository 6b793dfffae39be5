package mffleet

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"mothferry/mfclock"
	"mothferry/mflog"
	"mothferry/mfreport"
)

// A family that is renamed, or loses a label, is silently missing from operators' reports.
func TestHostsExportReportedMetrics(t *testing.T) {
	d := &Daemon{
		Clock: mfclock.System{}, Random: mfclock.SystemRandom{}, Registry: prometheus.NewRegistry(),
		Logs: &mflog.Logs{Output: io.Discard, Format: mflog.FormatJSON},
	}
	d.build()
	descriptions := make(chan *prometheus.Desc)
	go func() {
		d.Registry.Describe(descriptions)
		close(descriptions)
	}()
	var known []string
	for one := range descriptions {
		known = append(known, one.String())
	}
	for _, f := range mfreport.Families() {
		want := fmt.Sprintf("variableLabels: {%s}", strings.Join(f.Labels, ","))
		found := false
		for _, k := range known {
			found = found || strings.Contains(k, fmt.Sprintf("fqName: %q,", f.Name)) && strings.Contains(k, want)
		}
		assert.Check(t, found, "no host tells %s with labels %v", f.Name, f.Labels)
	}
}
