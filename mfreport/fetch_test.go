package mfreport

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"gotest.tools/v3/assert"
)

func serve(t *testing.T, handler http.HandlerFunc) Address {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return Address(strings.TrimPrefix(server.URL, "http://"))
}

// A host that hangs, one that is gone, one with bad metrics and one that sends
// without end keep the others' figures from the operator.
func TestFailedHostsAreReported(t *testing.T) {
	over := make(chan struct{})
	good := serve(t, func(w http.ResponseWriter, r *http.Request) {
		assert.Equal(t, r.URL.Path, "/metrics")
		fmt.Fprint(w, ownerMetrics)
	})
	hangs := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "mothferry_owning 1\n")
		_ = http.NewResponseController(w).Flush()
		<-over
	})
	// Servers close after all that is registered later, so that the handler has ended.
	t.Cleanup(func() { close(over) })
	page := serve(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "<html>\n") })
	absent := serve(t, http.NotFound)
	endless := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		block := []byte(strings.Repeat("# filler\n", 1<<16))
		for {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	})
	gone := Address("127.0.0.1:1")
	f := &Fetcher{HTTP: &http.Client{}, Timeout: time.Second}
	began := time.Now()
	hosts, missing, err := f.Fetch(t.Context(), []Address{hangs, good, page, gone, absent, endless})
	assert.NilError(t, err)
	assert.Assert(t, time.Since(began) < 5*time.Second)
	assert.Equal(t, len(hosts), 1)
	assert.Equal(t, hosts[0].Address, good)
	reasons := []struct {
		host Address
		says string
	}{{hangs, "deadline exceeded"}, {page, "metrics can't be read"}, {gone, "refused"}, {absent, "status 404"}, {endless, "longer than"}}
	assert.Equal(t, len(missing), len(reasons))
	for i, want := range reasons {
		assert.Equal(t, missing[i].Host, want.host)
		assert.Assert(t, strings.Contains(missing[i].Reason, want.says), missing[i].Reason)
	}
	_, _, err = f.Fetch(t.Context(), []Address{gone})
	var none *ErrNoHostAnswered
	assert.Assert(t, errors.As(err, &none))
	assert.Equal(t, none.Missing[0].Host, gone)
}

// A label with quotes, or an answer that the library compresses, is read as something else.
func TestFetchReadsPrometheusHandler(t *testing.T) {
	registry := prometheus.NewRegistry()
	handed := prometheus.NewCounterVec(prometheus.CounterOpts{Name: string(metricSubmitted), Help: "h"}, []string{"queue", "account", "outcome"})
	requests := prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: string(metricRequests), Help: "h"}, []string{"kind", "status"})
	share := prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: string(metricShare), Help: "h"}, []string{"service", "account"})
	owning := prometheus.NewGauge(prometheus.GaugeOpts{Name: string(metricOwning), Help: "h"})
	registry.MustRegister(handed, requests, share, owning, collectors.NewGoCollector())
	handed.WithLabelValues("q\"\\\n", "a", "refused_limit").Add(3)
	requests.WithLabelValues("accept", http.StatusText(http.StatusGatewayTimeout)).Observe(1)
	share.WithLabelValues("s", "a").Set(0.125)
	owning.Set(1)
	handler := promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
	host := serve(t, handler.ServeHTTP)
	hosts, missing, err := (&Fetcher{HTTP: &http.Client{}, Timeout: 5 * time.Second}).Fetch(t.Context(), []Address{host, "http://" + host + "/metrics"})
	assert.NilError(t, err)
	assert.Equal(t, len(missing), 0)
	r := New(hosts, missing, 5)
	assert.Equal(t, string(r.Queues.Rows[0].Queue), "q\"\\\n")
	assert.Equal(t, r.Total.RefusedLimit, int64(6))
	assert.Equal(t, r.Calls[0].Unserved, int64(2))
	assert.Equal(t, int64(r.Shares.Rows[0].Share), int64(125))
	assert.Equal(t, len(r.Owners), 2)
}
