package mfshare

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mothferry"
	"mothferry/mfdemand"
)

// Load is what an account asks of a service.
type Load struct {
	Flow
	// Waiting is the work that waits and can be in time, over time.
	Waiting mfdemand.Amount
	// Ready is the part of Waiting whose turn has come.
	Ready mfdemand.Amount
	// Jobs is how many jobs it is of.
	Jobs int
	// AcceptedRate is the work that came lately, over time and a second.
	AcceptedRate mfdemand.Amount
}

// queuedWork returns the core-seconds that go before work that comes now. Work whose turn has not
// come counts for as much as what waits already: where nothing waits there is room for it.
func (l Load) queuedWork() float64 {
	return l.Ready.Cores + min(l.Waiting.Cores-l.Ready.Cores, l.Ready.Cores)
}

// Entitlement is what an account is owed and may have.
type Entitlement struct {
	Weight float64
	// Limit bounds what it may have running, with what lasts left out; a resource that is
	// zero is not bounded.
	Limit mfdemand.Amount
	// Limited says that Most holds.
	Limited bool
}

// AllocationInput is what the shard's owner knows of all accounts' work.
type AllocationInput struct {
	// Listed is what the workers of each service have, Lasting what lasting tasks take of it.
	Listed, Lasting map[mothferry.ServiceID]mfdemand.Amount
	// Fleet is how many cores all machines have.
	Fleet    float64
	Accounts map[mothferry.AccountID]Entitlement
	Loads    []Load
}

// drainTime is in what time waiting work claims to be done: about as long as callers'
// objectives leave, so that an account with a line gets its share and not more.
const drainTime = time.Second

// FlowShare is how an account's work stands in a service.
type FlowShare struct {
	// Wait is how long all the account's work takes that waits and can be in time.
	Wait time.Duration
	// MeanJobWork is the work of a job of it, in core-seconds.
	MeanJobWork float64
	// Rate is how many core-seconds of it are done a second, at the least.
	Rate float64
	// AcceptedRate is how many core-seconds of it came a second lately.
	AcceptedRate float64
	// AtLimit says that the account's limit on what runs makes the wait, not its share.
	AtLimit bool
}

// Allocation holds the entries of all flows with work.
type Allocation map[Flow]FlowShare

// Allocate works out each account's share of each service and the wait that follows.
//
// The load it answers: one account sends far more than its part, and has its limit's worth
// running. Its line is its own: the wait of the others follows from their own work and
// from what is due to them.
func Allocate(s AllocationInput) Allocation {
	rooms, limits := s.capacities(), s.limits()
	waiting := map[mothferry.AccountID]float64{}
	var claims []Claim
	for _, l := range s.Loads {
		claims = append(claims, Claim{Flow: l.Flow, Weight: s.Accounts[l.Account].Weight, Cores: l.demand().Cores})
		waiting[l.Account] += l.queuedWork()
	}
	parts := Divide(rooms, claims, limits)
	spare, headroom := rooms, maps.Clone(limits)
	for _, c := range claims {
		spare[c.Service] -= parts[c.Flow]
		if _, has := headroom[c.Account]; has {
			headroom[c.Account] -= parts[c.Flow]
		}
	}
	out := Allocation{}
	for _, l := range s.Loads {
		most, bounded := limits[l.Account]
		more := max(0, spare[l.Service])
		if bounded {
			more = max(0, min(more, headroom[l.Account]))
		}
		e := FlowShare{Rate: parts[l.Flow] + more, AcceptedRate: l.AcceptedRate.Cores}
		e.Wait = durationAt(l.queuedWork(), e.Rate)
		if l.Jobs > 0 {
			e.MeanJobWork = l.Waiting.Cores / float64(l.Jobs)
		}
		if bounded {
			e.Wait = max(e.Wait, durationAt(waiting[l.Account], most))
			e.AtLimit = headroom[l.Account] <= minHeadroomFraction*most
		}
		out[l.Flow] = e
	}
	return out
}

// minHeadroomFraction is the part of its limit below which an account counts as being at it.
const minHeadroomFraction = 0.01

// capacities returns how many cores each service's work can use: those of its workers, or of
// those that it can get, by the tighter of cores and memory.
func (s AllocationInput) capacities() map[mothferry.ServiceID]float64 {
	mixes, needs, needed := map[mothferry.ServiceID]mfdemand.Amount{}, map[mothferry.ServiceID]float64{}, 0.0
	for _, l := range s.Loads {
		mixes[l.Service] = mixes[l.Service].Add(l.demand())
	}
	for service, listed := range s.Listed {
		needs[service] = min(listed.Cores, mixes[service].Cores+s.Lasting[service].Cores)
		needed += needs[service]
	}
	rooms := map[mothferry.ServiceID]float64{}
	for service, mix := range mixes {
		listed := s.Listed[service]
		reach := max(listed.Cores, min(maxPoolFraction*s.Fleet, s.Fleet-(needed-needs[service])))
		room := mfdemand.Amount{Cores: reach}
		if listed.Cores > 0 {
			room.Memory = listed.Memory * reach / listed.Cores
		}
		room.Cores -= s.Lasting[service].Cores
		room.Memory -= s.Lasting[service].Memory
		rooms[service] = max(0, PackingEfficiency*room.UsableCores(mix))
	}
	return rooms
}

// PackingEfficiency is the part of machines' room that tasks of several sizes fill.
const PackingEfficiency = 0.85

// limits returns how many cores each account can have working that has a limit, by the
// tighter of cores and memory.
func (s AllocationInput) limits() map[mothferry.AccountID]float64 {
	mixes := map[mothferry.AccountID]mfdemand.Amount{}
	for _, l := range s.Loads {
		mixes[l.Account] = mixes[l.Account].Add(l.demand())
	}
	limits := map[mothferry.AccountID]float64{}
	for id, mix := range mixes {
		if a := s.Accounts[id]; a.Limited {
			limits[id] = max(0, a.Limit.UsableCores(mix))
		}
	}
	return limits
}

// maxWait is the longest wait that is told.
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

// demand returns what keeps up with what comes and does what waits in time.
func (l Load) demand() mfdemand.Amount {
	return l.AcceptedRate.Add(l.Waiting.Times(1 / drainTime.Seconds()))
}

// MaxPublished bounds the entries that are told to hosts: each host reads them some times a
// second.
const MaxPublished = 256

// surgeFactor is how many times what it accepts an account may suddenly send: hosts that know its
// rate by then bound what they take in before the next word.
const surgeFactor = 8

// Published returns the entries that matter to callers: those whose wait is at least what
// their service's callers notice, or may be before the next word; the longest first where
// there are too many.
func (s Allocation) Published(noticed map[mothferry.ServiceID]time.Duration) Allocation {
	var flows []Flow
	for flow, e := range s {
		if e.Wait > 0 && e.Wait >= noticed[flow.Service] || surgeFactor*e.AcceptedRate > e.Rate {
			flows = append(flows, flow)
		}
	}
	slices.SortFunc(flows, func(a, b Flow) int {
		return cmp.Or(cmp.Compare(s[b].Wait, s[a].Wait), a.Compare(b))
	})
	out := Allocation{}
	for _, flow := range flows[:min(len(flows), MaxPublished)] {
		out[flow] = s[flow]
	}
	return out
}
