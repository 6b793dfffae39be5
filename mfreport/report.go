// Package mfreport builds a report for operators from the hosts' metrics: who was refused and
// why, the sizes of pools, slow workers, and where calls were executed.
package mfreport

import (
	"cmp"
	"slices"

	"mothferry"
)

// Account counts one client account's jobs over all queues.
type Account struct {
	Account mothferry.AccountID `json:"account"`
	Counts
	// Share is the account's fair share over all services; nil if no owner published it.
	Share *mothferry.Millicores `json:"share_millicores"`
	// Used is how many cores its tasks hold; nil if no owner published it.
	Used *mothferry.Millicores `json:"used_millicores"`
}

// Queue counts one client account's jobs in one queue.
type Queue struct {
	Queue   mothferry.QueueID   `json:"queue"`
	Account mothferry.AccountID `json:"account"`
	Counts
}

// Share is an account's fair share of a service's pool.
type Share struct {
	Service mothferry.ServiceID  `json:"service"`
	Account mothferry.AccountID  `json:"account"`
	Share   mothferry.Millicores `json:"share_millicores"`
}

// Pool counts a service's machines.
type Pool struct {
	Service mothferry.ServiceID `json:"service"`
	Present int64               `json:"present"`
	Needed  int64               `json:"needed"`
	Target  int64               `json:"target"`
	// Binding is the binding resource of the pool; empty if none is reported.
	Binding string `json:"binding"`
	Slow    int64  `json:"slow_workers"`
}

// Worker is a worker that counts as slow.
type Worker struct {
	Service mothferry.ServiceID `json:"service"`
	Worker  mothferry.WorkerID  `json:"worker"`
	// Speed is a fraction of a normal worker's.
	Speed float64 `json:"speed"`
}

// Calls counts callers' requests of one kind by where they were executed.
type Calls struct {
	Kind     string `json:"kind"`
	Answered int64  `json:"answered"`
	// Unserved counts those answered with a status of 500 or more.
	Unserved int64 `json:"unserved"`
	// Local counts those answered without a peer.
	Local int64 `json:"own"`
	// Forwarded and Carried count, by outcome, the calls forwarded to peers and those that
	// peers forwarded to these hosts.
	Forwarded map[string]int64 `json:"forwarded"`
	Carried   map[string]int64 `json:"carried"`
}

// Rows are the first rows of a table and the number of those left out.
type Rows[T any] struct {
	Rows    []T `json:"rows"`
	LeftOut int `json:"left_out"`
}

// Report summarizes the hosts' metrics. Counters run from each host's start, unless they are
// differences to an earlier reading.
type Report struct {
	Answered int           `json:"hosts_answered"`
	Missing  []MissingHost `json:"hosts_missing"`
	// Owners are the hosts that report that they own the shard. More than one means that the
	// owner is changing; the owner's metrics are then taken from the first one.
	Owners []Address `json:"owners"`
	// NotServedByStore are the hosts that the store does not serve.
	NotServedByStore []Address `json:"turned_away"`
	Total            Counts    `json:"total"`
	// Accounts and Queues are ordered by most refused jobs.
	Accounts Rows[Account] `json:"accounts"`
	Queues   Rows[Queue]   `json:"queues"`
	Shares   Rows[Share]   `json:"shares"`
	// Pools are ordered by most missing machines.
	Pools      Rows[Pool]       `json:"pools"`
	Workers    Rows[Worker]     `json:"slow_workers"`
	Stragglers map[string]int64 `json:"stragglers"`
	Calls      []Calls          `json:"calls"`
}

// New builds the report of the hosts that answered. Each table has at most top rows.
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
