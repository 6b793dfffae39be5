// Package mfreport makes a report for operators from the metrics that hosts
// serve: who was refused and why, how the pools stand, which workers are slow, and
// where calls went.
package mfreport

import (
	"cmp"
	"slices"

	"mothferry"
)

// Account is one client account's jobs, over all queues.
type Account struct {
	Account mothferry.AccountID `json:"account"`
	Counts
	// Share is what the account is due, over all services; nil if no owner told it.
	Share *mothferry.Millicores `json:"share_millicores"`
	// Used is what its tasks take; nil if no owner told it.
	Used *mothferry.Millicores `json:"used_millicores"`
}

// Queue is one client account's jobs of one queue.
type Queue struct {
	Queue   mothferry.QueueID   `json:"queue"`
	Account mothferry.AccountID `json:"account"`
	Counts
}

// Share is what an account is due of a service's pool.
type Share struct {
	Service mothferry.ServiceID  `json:"service"`
	Account mothferry.AccountID  `json:"account"`
	Share   mothferry.Millicores `json:"share_millicores"`
}

// Pool is a service's machines.
type Pool struct {
	Service mothferry.ServiceID `json:"service"`
	Present int64               `json:"present"`
	Needed  int64               `json:"needed"`
	Target  int64               `json:"target"`
	// Binding is the resource that the pool has least of; empty if none is told.
	Binding string `json:"binding"`
	Slow    int64  `json:"slow_workers"`
}

// Worker is a worker that counts as slow.
type Worker struct {
	Service mothferry.ServiceID `json:"service"`
	Worker  mothferry.WorkerID  `json:"worker"`
	// Speed is a part of the usual worker's.
	Speed float64 `json:"speed"`
}

// Calls are callers' requests of one kind, by where they went.
type Calls struct {
	Kind     string `json:"kind"`
	Answered int64  `json:"answered"`
	// Unserved are those answered with a status of 500 or more.
	Unserved int64 `json:"unserved"`
	// Local are those answered without a peer.
	Local int64 `json:"own"`
	// Forwarded and Carried count by outcome: calls passed on to peers, and those
	// that peers passed on to these hosts.
	Forwarded map[string]int64 `json:"forwarded"`
	Carried   map[string]int64 `json:"carried"`
}

// Rows are the first rows of a table and the number of those left out.
type Rows[T any] struct {
	Rows    []T `json:"rows"`
	LeftOut int `json:"left_out"`
}

// Report is what hosts' metrics tell together. Counters run from each host's
// start, unless they were taken since an earlier reading.
type Report struct {
	Answered int           `json:"hosts_answered"`
	Missing  []MissingHost `json:"hosts_missing"`
	// Owners are the hosts that say that they own the shard. More than one is a
	// change of owner under way: what an owner tells is the first one's then.
	Owners []Address `json:"owners"`
	// NotServedByStore are the hosts that the store does not serve.
	NotServedByStore []Address `json:"turned_away"`
	Total            Counts    `json:"total"`
	// Accounts and Queues have the most refused first.
	Accounts Rows[Account] `json:"accounts"`
	Queues   Rows[Queue]   `json:"queues"`
	Shares   Rows[Share]   `json:"shares"`
	// Pools have those first that lack the most machines.
	Pools      Rows[Pool]       `json:"pools"`
	Workers    Rows[Worker]     `json:"slow_workers"`
	Stragglers map[string]int64 `json:"stragglers"`
	Calls      []Calls          `json:"calls"`
}

// New makes the report of the hosts that answered. Each table has at most top rows.
func New(hosts []Host, missing []MissingHost, top int) Report {
	r := Report{
		Answered: len(hosts), Missing: append([]MissingHost{}, missing...), Owners: []Address{}, NotServedByStore: []Address{},
		Stragglers: map[string]int64{},
	}
	var owner Metrics
	for _, h := range hosts {
		if sum(h.Metrics[metricOwning]) > 0 {
			if len(r.Owners) == 0 {
				owner = h.Metrics
			}
			r.Owners = append(r.Owners, h.Address)
		}
		if serving := h.Metrics[metricServing]; len(serving) > 0 && sum(serving) == 0 {
			r.NotServedByStore = append(r.NotServedByStore, h.Address)
		}
		for _, s := range h.Metrics[metricStragglers] {
			r.Stragglers[s.labels["action"]] += roundCount(s.value)
		}
	}
	r.Queues.Rows = queuesOf(hosts)
	accounts := accountsOf(r.Queues.Rows, owner)
	for _, a := range accounts {
		r.Total.add(a.Counts)
	}
	r.Accounts = topRows(accounts, top, func(a, b Account) int {
		return cmp.Or(compareCounts(a.Counts, b.Counts), cmp.Compare(a.Account, b.Account))
	})
	r.Queues = topRows(r.Queues.Rows, top, func(a, b Queue) int {
		return cmp.Or(compareCounts(a.Counts, b.Counts), cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Account, b.Account))
	})
	r.Shares = topRows(sharesOf(owner), top, func(a, b Share) int {
		return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Account, b.Account))
	})
	r.Pools = topRows(poolsOf(owner), top, func(a, b Pool) int {
		return cmp.Or(cmp.Compare(b.Needed-b.Present, a.Needed-a.Present), cmp.Compare(a.Service, b.Service))
	})
	r.Workers = topRows(workersOf(owner), top, func(a, b Worker) int {
		return cmp.Or(cmp.Compare(a.Speed, b.Speed), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Worker, b.Worker))
	})
	r.Calls = callsOf(hosts)
	return r
}

func topRows[T any](rows []T, top int, compare func(a, b T) int) Rows[T] {
	slices.SortFunc(rows, compare)
	count := min(len(rows), max(top, 0))
	return Rows[T]{Rows: append([]T{}, rows[:count]...), LeftOut: len(rows) - count}
}
