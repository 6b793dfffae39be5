package mfshare

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mothferry"
	"mothferry/mfdemand"
)

// Load is the work that an account has in a service.
type Load struct {
	Flow
	// Waiting is the waiting work that can be on time, in core-seconds and GiB-seconds.
	Waiting mfdemand.Amount
	// Ready is the part of Waiting whose dependencies are done.
	Ready mfdemand.Amount
	// Jobs is the number of jobs that it belongs to.
	Jobs int
	// AcceptedRate is the work accepted per second, lately.
	AcceptedRate mfdemand.Amount
}

// queuedWork returns the core-seconds that go before newly arriving work. Work whose
// dependencies are not done counts for at most as much as the ready work: where nothing is
// ready there is free capacity for it.
func (l Load) queuedWork() float64 {
	return l.Ready.Cores + min(l.Waiting.Cores-l.Ready.Cores, l.Ready.Cores)
}

// Entitlement is an account's weight and limit.
type Entitlement struct {
	Weight float64
	// Limit bounds the resources of its running tasks, without lasting ones; a resource that
	// is zero is not bounded.
	Limit mfdemand.Amount
	// Limited reports whether Limit applies.
	Limited bool
}

// AllocationInput is what the shard's owner knows of all accounts' work.
type AllocationInput struct {
	// Listed is the capacity of each service's workers, Lasting what lasting tasks take of it.
	Listed, Lasting map[mothferry.ServiceID]mfdemand.Amount
	// Fleet is the number of cores of all machines.
	Fleet    float64
	Accounts map[mothferry.AccountID]Entitlement
	Loads    []Load
}

// drainTime is the time in which waiting work claims to be done: about what callers'
// objectives leave, so that an account with a backlog gets its share and not more.
const drainTime = time.Second

// FlowShare is an account's share of a service and the wait of its work.
type FlowShare struct {
	// Wait is how long the flow's waiting work takes that can be on time.
	Wait time.Duration
	// MeanJobWork is the mean work of its jobs, in core-seconds.
	MeanJobWork float64
	// Rate is the minimum of core-seconds of the flow that are done per second.
	Rate float64
	// AcceptedRate is the core-seconds of the flow accepted per second, lately.
	AcceptedRate float64
	// AtLimit reports whether the account's limit on running tasks, not its share, determines
	// the wait.
	AtLimit bool
}

// Allocation holds the shares of all flows with work.
type Allocation map[Flow]FlowShare

// Allocate computes each account's share of each service and the resulting wait.
//
// An account that sends far more than its share and has its limit's worth of tasks running
// delays only itself: the wait of the others follows from their own work and their own shares.
func Allocate(in AllocationInput) Allocation {
	capacities, limits := in.capacities(), in.limits()
	waiting := map[mothferry.AccountID]float64{}
	var claims []Claim
	for _, l := range in.Loads {
		claims = append(claims, Claim{Flow: l.Flow, Weight: in.Accounts[l.Account].Weight, Cores: l.demand().Cores})
		waiting[l.Account] += l.queuedWork()
	}
	shares := Divide(capacities, claims, limits)
	spare, headroom := capacities, maps.Clone(limits)
	for _, c := range claims {
		spare[c.Service] -= shares[c.Flow]
		if _, ok := headroom[c.Account]; ok {
			headroom[c.Account] -= shares[c.Flow]
		}
	}
	out := Allocation{}
	for _, l := range in.Loads {
		limit, limited := limits[l.Account]
		extra := max(0, spare[l.Service])
		if limited {
			extra = max(0, min(extra, headroom[l.Account]))
		}
		f := FlowShare{Rate: shares[l.Flow] + extra, AcceptedRate: l.AcceptedRate.Cores}
		f.Wait = durationAt(l.queuedWork(), f.Rate)
		if l.Jobs > 0 {
			f.MeanJobWork = l.Waiting.Cores / float64(l.Jobs)
		}
		if limited {
			f.Wait = max(f.Wait, durationAt(waiting[l.Account], limit))
			f.AtLimit = headroom[l.Account] <= minHeadroomFraction*limit
		}
		out[l.Flow] = f
	}
	return out
}

// minHeadroomFraction is the remaining fraction of its limit at or below which an account
// counts as being at the limit.
const minHeadroomFraction = 0.01

// capacities returns how many cores each service's work can use: those of its workers, or
// those that its pool can get, by the scarcer of cores and memory.
func (in AllocationInput) capacities() map[mothferry.ServiceID]float64 {
	mixes, needs, needed := map[mothferry.ServiceID]mfdemand.Amount{}, map[mothferry.ServiceID]float64{}, 0.0
	for _, l := range in.Loads {
		mixes[l.Service] = mixes[l.Service].Add(l.demand())
	}
	for service, listed := range in.Listed {
		needs[service] = min(listed.Cores, mixes[service].Cores+in.Lasting[service].Cores)
		needed += needs[service]
	}
	capacities := map[mothferry.ServiceID]float64{}
	for service, mix := range mixes {
		listed := in.Listed[service]
		attainable := max(listed.Cores, min(maxPoolFraction*in.Fleet, in.Fleet-(needed-needs[service])))
		capacity := mfdemand.Amount{Cores: attainable}
		if listed.Cores > 0 {
			capacity.Memory = listed.Memory * attainable / listed.Cores
		}
		capacity.Cores -= in.Lasting[service].Cores
		capacity.Memory -= in.Lasting[service].Memory
		capacities[service] = max(0, PackingEfficiency*capacity.UsableCores(mix))
	}
	return capacities
}

// PackingEfficiency is the fraction of machines' capacity that tasks of several sizes fill.
const PackingEfficiency = 0.85

// limits returns how many cores the running tasks of each limited account can have, by the
// scarcer of cores and memory.
func (in AllocationInput) limits() map[mothferry.AccountID]float64 {
	mixes := map[mothferry.AccountID]mfdemand.Amount{}
	for _, l := range in.Loads {
		mixes[l.Account] = mixes[l.Account].Add(l.demand())
	}
	limits := map[mothferry.AccountID]float64{}
	for id, mix := range mixes {
		if a := in.Accounts[id]; a.Limited {
			limits[id] = max(0, a.Limit.UsableCores(mix))
		}
	}
	return limits
}

// maxWait is the longest wait that is reported.
const maxWait = time.Hour

// durationAt returns how long work takes at a rate.
func durationAt(work, rate float64) time.Duration {
	switch {
	case work <= 0:
		return 0
	case rate <= 0:
		return maxWait
	default:
		return min(maxWait, time.Duration(work/rate*float64(time.Second)))
	}
}

// demand returns the capacity that keeps up with arriving work and completes the waiting work
// in time.
func (l Load) demand() mfdemand.Amount {
	return l.AcceptedRate.Add(l.Waiting.Times(1 / drainTime.Seconds()))
}

// MaxPublished bounds the entries published to hosts: each host reads them several times a
// second.
const MaxPublished = 256

// surgeFactor is how many times its accepted rate an account may suddenly send. Hosts that
// know its rate by then bound what they accept until the next allocation.
const surgeFactor = 8

// Published returns the entries that matter to callers: those whose wait is at least what
// callers of the service notice, or may be before the next allocation. If there are too many,
// the longest waits are kept.
func (al Allocation) Published(noticeable map[mothferry.ServiceID]time.Duration) Allocation {
	var flows []Flow
	for flow, e := range al {
		if e.Wait > 0 && e.Wait >= noticeable[flow.Service] || surgeFactor*e.AcceptedRate > e.Rate {
			flows = append(flows, flow)
		}
	}
	slices.SortFunc(flows, func(a, b Flow) int {
		return cmp.Or(cmp.Compare(al[b].Wait, al[a].Wait), a.Compare(b))
	})
	out := Allocation{}
	for _, flow := range flows[:min(len(flows), MaxPublished)] {
		out[flow] = al[flow]
	}
	return out
}
