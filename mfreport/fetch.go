package mfreport

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
)

const (
	// maxMetricsBytes bounds what is read of one host's metrics.
	maxMetricsBytes = 16 << 20
	// maxParallelFetches bounds how many hosts are asked at a time.
	maxParallelFetches = 32
)

// Address is where a host serves its metrics: HOST:PORT, or a whole URL.
type Address string

// url returns the URL of the metrics.
func (a Address) url() string {
	if strings.Contains(string(a), "://") {
		return string(a)
	}
	return "http://" + string(a) + "/metrics"
}

// Host is one host that answered.
type Host struct {
	Address Address
	Metrics Metrics
}

// MissingHost is a host whose metrics could not be had, and why.
type MissingHost struct {
	Host   Address `json:"host"`
	Reason string  `json:"reason"`
}

// ErrNoHostAnswered reports that no host told its metrics.
type ErrNoHostAnswered struct{ Missing []MissingHost }

// Error implements error.
func (e *ErrNoHostAnswered) Error() string {
	var each []string
	for _, m := range e.Missing {
		each = append(each, fmt.Sprintf("%s: %s", m.Host, m.Reason))
	}
	return "no host told its metrics: " + strings.Join(each, "; ")
}

// Fetcher reads hosts' metrics.
type Fetcher struct {
	HTTP *http.Client
	// Timeout bounds one host's whole answer.
	Timeout time.Duration
}

// Fetch asks all hosts and returns those that answered, in the order given, and
// those that did not. Its error is an *ErrNoHost.
func (f *Fetcher) Fetch(ctx context.Context, addresses []Address) ([]Host, []MissingHost, error) {
	metrics, failures := make([]Metrics, len(addresses)), make([]error, len(addresses))
	var group errgroup.Group
	group.SetLimit(maxParallelFetches)
	for i, a := range addresses {
		group.Go(func() error {
			metrics[i], failures[i] = f.fetch(ctx, a)
			return nil
		})
	}
	_ = group.Wait()
	var hosts []Host
	var missing []MissingHost
	for i, a := range addresses {
		if failures[i] != nil {
			missing = append(missing, MissingHost{Host: a, Reason: failures[i].Error()})
			continue
		}
		hosts = append(hosts, Host{Address: a, Metrics: metrics[i]})
	}
	if len(hosts) == 0 {
		return nil, missing, &ErrNoHostAnswered{Missing: missing}
	}
	return hosts, missing, nil
}

func (f *Fetcher) fetch(ctx context.Context, a Address) (Metrics, error) {
	ctx, cancel := context.WithTimeout(ctx, f.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, a.url(), nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	response, err := f.HTTP.Do(request)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, trace.Errorf("answers with status %d", response.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, maxMetricsBytes+1))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(text) > maxMetricsBytes {
		return nil, &ErrBadMetrics{Detail: fmt.Sprintf("text is longer than %d bytes", maxMetricsBytes)}
	}
	return Parse(bytes.NewReader(text))
}
