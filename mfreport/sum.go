package mfreport

import (
	"maps"
	"math"
	"net/http"
	"slices"

	"mothferry"
)

func queuesOf(hosts []Host) []Queue {
	type lane struct {
		queue   mothferry.QueueID
		account mothferry.AccountID
	}
	found := map[lane]*Queue{}
	at := func(s sample) *Queue {
		l := lane{queue: mothferry.QueueID(s.labels["queue"]), account: mothferry.AccountID(s.labels["account"])}
		if found[l] == nil {
			found[l] = &Queue{Queue: l.queue, Account: l.account}
		}
		return found[l]
	}
	for _, h := range hosts {
		for _, s := range h.Metrics[metricSubmitted] {
			at(s).countOutcome(s.labels["outcome"], roundCount(s.value))
		}
		for _, s := range h.Metrics[metricJobs] {
			at(s).countEnd(s.labels["end"], roundCount(s.value))
		}
	}
	var rows []Queue
	for _, q := range found {
		rows = append(rows, *q)
	}
	return rows
}

func accountsOf(queues []Queue, owner Metrics) []Account {
	found := map[mothferry.AccountID]*Account{}
	at := func(id mothferry.AccountID) *Account {
		if found[id] == nil {
			found[id] = &Account{Account: id}
		}
		return found[id]
	}
	for _, q := range queues {
		at(q.Account).add(q.Counts)
	}
	for _, s := range owner[metricShare] {
		a := at(mothferry.AccountID(s.labels["account"]))
		a.Share = addCores(a.Share, s.value)
	}
	for _, s := range owner[metricUsed] {
		a := at(mothferry.AccountID(s.labels["account"]))
		a.Used = addCores(a.Used, s.value)
	}
	var rows []Account
	for _, a := range found {
		rows = append(rows, *a)
	}
	return rows
}

// addCores adds cores to an amount that may not have been told before.
func addCores(m *mothferry.Millicores, cores float64) *mothferry.Millicores {
	total := millicores(cores)
	if m != nil {
		total += *m
	}
	return &total
}

func sharesOf(owner Metrics) []Share {
	var rows []Share
	for _, s := range owner[metricShare] {
		rows = append(rows, Share{
			Service: mothferry.ServiceID(s.labels["service"]), Account: mothferry.AccountID(s.labels["account"]), Share: millicores(s.value),
		})
	}
	return rows
}

func poolsOf(owner Metrics) []Pool {
	found := map[mothferry.ServiceID]*Pool{}
	at := func(s sample) *Pool {
		id := mothferry.ServiceID(s.labels["service"])
		if found[id] == nil {
			found[id] = &Pool{Service: id}
		}
		return found[id]
	}
	for _, s := range owner[metricMachines] {
		p := at(s)
		switch s.labels["kind"] {
		case "present":
			p.Present += roundCount(s.value)
		case "needed":
			p.Needed += roundCount(s.value)
		case "target":
			p.Target += roundCount(s.value)
		}
	}
	most := map[mothferry.ServiceID]float64{}
	for _, s := range owner[metricBinding] {
		if p := at(s); s.value > most[p.Service] {
			most[p.Service], p.Binding = s.value, s.labels["resource"]
		}
	}
	for _, s := range owner[metricSlow] {
		at(s).Slow += roundCount(s.value)
	}
	var rows []Pool
	for _, p := range found {
		rows = append(rows, *p)
	}
	return rows
}

func workersOf(owner Metrics) []Worker {
	var rows []Worker
	for _, s := range owner[metricSpeed] {
		rows = append(rows, Worker{
			Service: mothferry.ServiceID(s.labels["service"]), Worker: mothferry.WorkerID(s.labels["worker"]), Speed: s.value,
		})
	}
	return rows
}

// unexecutedOutcomes are outcomes of calls that no peer carried out.
var unexecutedOutcomes = []string{"no_peer", "limit"}

func callsOf(hosts []Host) []Calls {
	found := map[string]*Calls{}
	at := func(s sample) *Calls {
		kind := s.labels["kind"]
		if found[kind] == nil {
			found[kind] = &Calls{Kind: kind, Forwarded: map[string]int64{}, Carried: map[string]int64{}}
		}
		return found[kind]
	}
	sent := map[string]int64{}
	for _, h := range hosts {
		for _, s := range h.Metrics[metricRequests] {
			c := at(s)
			c.Answered += roundCount(s.value)
			if isServerError(s.labels["status"]) {
				c.Unserved += roundCount(s.value)
			}
		}
		for _, s := range h.Metrics[metricForwarded] {
			at(s).Forwarded[s.labels["outcome"]] += roundCount(s.value)
			if !slices.Contains(unexecutedOutcomes, s.labels["outcome"]) {
				sent[s.labels["kind"]] += roundCount(s.value)
			}
		}
		for _, s := range h.Metrics[metricCarried] {
			at(s).Carried[s.labels["outcome"]] += roundCount(s.value)
		}
	}
	rows := []Calls{}
	for _, kind := range slices.Sorted(maps.Keys(found)) {
		c := *found[kind]
		c.Local = max(0, c.Answered-sent[kind])
		rows = append(rows, c)
	}
	return rows
}

// isServerError reports whether a status, which metrics hold as its text, is one of 500 or more.
func isServerError(status string) bool {
	for code := http.StatusInternalServerError; code < 600; code++ {
		if text := http.StatusText(code); text != "" && text == status {
			return true
		}
	}
	return false
}

func sum(samples []sample) float64 {
	var total float64
	for _, s := range samples {
		total += s.value
	}
	return total
}

func roundCount(v float64) int64 { return int64(math.Round(v)) }

func millicores(cores float64) mothferry.Millicores {
	return mothferry.Millicores(math.Round(1000 * cores))
}
