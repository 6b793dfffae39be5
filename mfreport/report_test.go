package mfreport

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const ownerMetrics = `
# HELP mothferry_handed_in_total Jobs handed in.
# TYPE mothferry_handed_in_total counter
mothferry_handed_in_total{queue="quotes",account="a-1",outcome="accepted"} 90
mothferry_handed_in_total{queue="quotes",account="a-1",outcome="refused_limit"} 7
mothferry_handed_in_total{queue="quotes",account="a-2",outcome="accepted"} 10
mothferry_handed_in_total{queue="quotes",account="a-2",outcome="refused_share"} 40
mothferry_handed_in_total{queue="fares",account="a-2",outcome="refused_queue"} 2
# TYPE mothferry_account_jobs_total counter
mothferry_account_jobs_total{queue="quotes",account="a-1",end="in_time"} 80
mothferry_account_jobs_total{queue="quotes",account="a-1",end="too_late"} 3
mothferry_account_jobs_total{queue="quotes",account="a-2",end="late"} 4
# TYPE mothferry_account_share_cores gauge
mothferry_account_share_cores{service="s-1",account="a-1"} 12.5
mothferry_account_share_cores{service="s-2",account="a-1"} 1
mothferry_account_share_cores{service="s-1",account="a-2"} 0
# TYPE mothferry_account_used_cores gauge
mothferry_account_used_cores{account="a-1"} 11.25
# TYPE mothferry_owning gauge
mothferry_owning 1
# TYPE mothferry_store_serving gauge
mothferry_store_serving 1
# TYPE mothferry_pool_machines gauge
mothferry_pool_machines{service="s-1",kind="present"} 10
mothferry_pool_machines{service="s-1",kind="needed"} 14
mothferry_pool_machines{service="s-1",kind="target"} 12
mothferry_pool_machines{service="s-2",kind="present"} 5
# TYPE mothferry_pool_binding gauge
mothferry_pool_binding{service="s-1",resource="cores"} 0
mothferry_pool_binding{service="s-1",resource="memory"} 1
# TYPE mothferry_workers_slow gauge
mothferry_workers_slow{service="s-1"} 2
# TYPE mothferry_worker_speed gauge
mothferry_worker_speed{service="s-1",worker="w-1"} 0.4
mothferry_worker_speed{service="s-1",worker="w-2"} 0.2
# TYPE mothferry_stragglers_total counter
mothferry_stragglers_total{action="restarted"} 3
`

const peerMetrics = `
mothferry_handed_in_total{queue="quotes",account="a-2",outcome="refused_share"} 5
mothferry_handed_in_total{queue="quotes",account="a-2",outcome="unknown"} 1
mothferry_account_share_cores{service="s-1",account="a-1"} 99
mothferry_owning 0
mothferry_store_serving 0
mothferry_calls_forwarded_total{kind="accept",outcome="done"} 20
mothferry_calls_forwarded_total{kind="accept",outcome="no_peer"} 2
mothferry_calls_carried_total{kind="state",outcome="done"} 6
# TYPE mothferry_job_request_seconds histogram
mothferry_job_request_seconds_bucket{kind="accept",status="Accepted",le="+Inf"} 30
mothferry_job_request_seconds_sum{kind="accept",status="Accepted"} 1
mothferry_job_request_seconds_count{kind="accept",status="Accepted"} 30
mothferry_job_request_seconds_bucket{kind="accept",status="Service Unavailable",le="+Inf"} 2
mothferry_job_request_seconds_sum{kind="accept",status="Service Unavailable"} 1
mothferry_job_request_seconds_count{kind="accept",status="Service Unavailable"} 2
`

func parseMetrics(t *testing.T, text string) Metrics {
	t.Helper()
	m, err := Parse(strings.NewReader(text))
	assert.NilError(t, err)
	return m
}

func reportOf(t *testing.T, top int, texts ...string) Report {
	t.Helper()
	var hosts []Host
	for i, text := range texts {
		hosts = append(hosts, Host{Address: Address(fmt.Sprintf("h-%d", i+1)), Metrics: parseMetrics(t, text)})
	}
	return New(hosts, nil, top)
}

func TestReportSumsHosts(t *testing.T) {
	r := reportOf(t, 10, ownerMetrics, peerMetrics)
	assert.DeepEqual(t, r.Owners, []Address{"h-1"})
	assert.DeepEqual(t, r.NotServedByStore, []Address{"h-2"})
	first := r.Accounts.Rows[0]
	assert.Equal(t, string(first.Account), "a-2")
	assert.DeepEqual(t, first.Counts, Counts{Submitted: 58, Accepted: 10, RefusedShare: 45, RefusedQueue: 2, Unknown: 1, Late: 4})
	assert.Equal(t, int64(*first.Share), int64(0))
	assert.Assert(t, first.Used == nil)
	second := r.Accounts.Rows[1]
	assert.Equal(t, int64(*second.Share), int64(13500))
	assert.Equal(t, int64(*second.Used), int64(11250))
	assert.Equal(t, r.Total.Submitted, int64(155))
	assert.DeepEqual(t, r.Queues.Rows[2], Queue{Queue: "fares", Account: "a-2", Counts: Counts{Submitted: 2, RefusedQueue: 2}})
	assert.DeepEqual(t, r.Pools.Rows[0], Pool{Service: "s-1", Present: 10, Needed: 14, Target: 12, Binding: "memory", Slow: 2})
	assert.Equal(t, string(r.Workers.Rows[0].Worker), "w-2")
	assert.DeepEqual(t, r.Calls[0], Calls{
		Kind: "accept", Answered: 32, Unserved: 2, Local: 12, Forwarded: map[string]int64{"done": 20, "no_peer": 2}, Carried: map[string]int64{},
	})
	assert.DeepEqual(t, r.Calls[1].Carried, map[string]int64{"done": 6})
}

// A former owner goes on telling the shares that it last worked out.
func TestOnlyOwnerGaugesCount(t *testing.T) {
	r := reportOf(t, 10, peerMetrics, ownerMetrics)
	for _, a := range r.Accounts.Rows {
		if a.Account == "a-1" {
			assert.Equal(t, int64(*a.Share), int64(13500))
		}
	}
	r = reportOf(t, 10, peerMetrics)
	assert.Equal(t, len(r.Shares.Rows), 0)
	var out strings.Builder
	assert.NilError(t, r.WriteText(&out, AllSections()))
	assert.Assert(t, strings.Contains(out.String(), "owner: none"), out.String())
	r = reportOf(t, 10, ownerMetrics, ownerMetrics)
	assert.Equal(t, len(r.Owners), 2)
	assert.Equal(t, len(r.Shares.Rows), 3)
}

// A host of another version leaves labels out or has outcomes that are not known.
func TestMissingLabels(t *testing.T) {
	r := reportOf(t, 10, `
mothferry_handed_in_total{outcome="accepted"} 3
mothferry_handed_in_total{queue="q",account="a",outcome="refused_by_moon"} 2
mothferry_handed_in_total{queue="q",account="a"} 1
mothferry_account_jobs_total{queue="q",account="a"} 5
mothferry_owning 1
mothferry_pool_machines 4
mothferry_pool_binding{service="s"} 1
`)
	assert.Equal(t, r.Total.Submitted, int64(6))
	assert.Equal(t, r.Total.Accepted, int64(3))
	assert.Equal(t, r.Total.Other, int64(3))
	assert.Equal(t, r.Total.OtherEnds, int64(5))
	var out strings.Builder
	assert.NilError(t, r.WriteText(&out, AllSections()))
	assert.Assert(t, strings.Contains(out.String(), "\n-  "), out.String())
}

// Some hundreds of accounts would fill an operator's screen and hide the refused.
func TestReportRowsAreLimited(t *testing.T) {
	var text strings.Builder
	for k := range 230 {
		fmt.Fprintf(&text, "mothferry_handed_in_total{queue=\"q\",account=\"a-%03d\",outcome=\"accepted\"} %d\n", k, 1000-k)
	}
	text.WriteString("mothferry_handed_in_total{queue=\"q\",account=\"a-200\",outcome=\"refused_share\"} 1\n")
	r := reportOf(t, 5, text.String())
	assert.Equal(t, len(r.Accounts.Rows), 5)
	assert.Equal(t, r.Accounts.LeftOut, 225)
	assert.Equal(t, string(r.Accounts.Rows[0].Account), "a-200")
	assert.Equal(t, string(r.Accounts.Rows[1].Account), "a-000")
	assert.Equal(t, r.Total.Submitted, int64(230*1000-229*230/2+1))
	var out strings.Builder
	assert.NilError(t, r.WriteText(&out, []Section{SectionAccounts}))
	assert.Assert(t, strings.Contains(out.String(), "and 225 more"), out.String())
	assert.Equal(t, strings.Count(out.String(), "\n"), 11)
}

// A label with control characters would rewrite an operator's terminal.
func TestTableEscapesControlCharacters(t *testing.T) {
	r := reportOf(t, 5, `mothferry_handed_in_total{queue="q\n`+"\x1b[2J\t"+`r",account="a",outcome="accepted"} 1`+"\n")
	var out strings.Builder
	assert.NilError(t, r.WriteText(&out, []Section{SectionQueues}))
	assert.Assert(t, strings.Contains(out.String(), "q?"), out.String())
	assert.Assert(t, !strings.Contains(out.String(), "\t"), out.String())
}

// A proxy's error page, a text cut short or a value that is no number counts as metrics.
func TestInvalidMetricsAreRejected(t *testing.T) {
	for _, k := range []struct{ text, says string }{
		{"<html>no such page</html>\n", "metrics can't be read"},
		{`mothferry_handed_in_total{queue="q"`, "metrics can't be read"},
		{"mothferry_owning yes\n", "metrics can't be read"},
		{"mothferry_worker_speed{worker=\"w\"} NaN\n", "metric mothferry_worker_speed: value NaN"},
		{"mothferry_handed_in_total -1\n", "metric mothferry_handed_in_total: value -1"},
		{"mothferry_handed_in_total +Inf\n", "not a finite number"},
	} {
		_, err := Parse(strings.NewReader(k.text))
		var bad *ErrBadMetrics
		assert.Assert(t, errors.As(err, &bad), "%s: %v", k.text, err)
		assert.Assert(t, strings.Contains(err.Error(), k.says), err.Error())
	}
	_, err := Parse(strings.NewReader("mothferry_owning " + strings.Repeat("x", 1<<16) + "\n"))
	assert.Assert(t, len(err.Error()) < 300, "%d bytes", len(err.Error()))
	m := parseMetrics(t, "go_memory NaN\nmothferry_owning 1\n")
	assert.Equal(t, len(m), 1)
}

// A host that starts again between two readings makes counts below zero.
func TestCounterDeltas(t *testing.T) {
	before := parseMetrics(t, "mothferry_handed_in_total{queue=\"q\",account=\"a\",outcome=\"accepted\"} 10\nmothferry_handed_in_total{queue=\"q\",account=\"b\",outcome=\"accepted\"} 10\n")
	after := parseMetrics(t, "mothferry_handed_in_total{account=\"a\",queue=\"q\",outcome=\"accepted\"} 14\nmothferry_handed_in_total{queue=\"q\",account=\"b\",outcome=\"accepted\"} 3\nmothferry_owning 1\n")
	r := New([]Host{{Address: "h", Metrics: after.Delta(before)}}, nil, 5)
	assert.Equal(t, r.Accounts.Rows[0].Accepted, int64(4))
	assert.Equal(t, r.Accounts.Rows[1].Accepted, int64(3))
	assert.Equal(t, len(r.Owners), 1)
}

// Jobs get lost between the outcomes that are told and those that were counted.
func TestOutcomesSumToSubmitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		samples := rapid.SliceOf(rapid.Custom(func(t *rapid.T) sample {
			return sample{value: float64(rapid.IntRange(0, 1000).Draw(t, "value")), labels: map[string]string{
				"queue":   rapid.SampledFrom([]string{"", "q", "r"}).Draw(t, "queue"),
				"account": rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "account"),
				"outcome": rapid.SampledFrom([]string{"", "accepted", "refused_share", "refused_limit", "refused_queue", "refused_store", "unknown", "x"}).Draw(t, "outcome"),
			}}
		})).Draw(t, "samples")
		r := New([]Host{{Metrics: Metrics{metricSubmitted: samples}}}, nil, rapid.IntRange(0, 3).Draw(t, "top"))
		c := r.Total
		assert.Equal(t, c.Submitted, roundCount(sum(samples)))
		assert.Equal(t, c.Submitted, c.Accepted+c.Refused()+c.Unknown+c.Other)
	})
}

func TestReportAsJSON(t *testing.T) {
	data, err := json.Marshal(reportOf(t, 10, ownerMetrics).WithSections([]Section{SectionAccounts}))
	assert.NilError(t, err)
	for _, want := range []string{`"refused_share":40`, `"share_millicores":13500`, `"used_millicores":null`, `"hosts_missing":[]`, `"turned_away":[]`, `"pools":{"rows":[],"left_out":0}`} {
		assert.Assert(t, strings.Contains(string(data), want), "%s: %s", want, data)
	}
}
