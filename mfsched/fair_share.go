package mfsched

import (
	"slices"
	"time"

	"mothferry"
	"mothferry/mfdemand"
	"mothferry/mfshare"
)

// flowUsage is the usage and demand of one account's tasks in one service.
type flowUsage struct {
	mfshare.Flow
	// used is what its tasks need that are, or may be, on a worker.
	used mothferry.Resources
	// wanted is the demand of its tasks that could start, fairShare its fair share in cores, both
	// as of the current placement round.
	wanted    mfdemand.Amount
	fairShare float64
	// credit is what it recently left unused of its fair share, in core-seconds.
	credit float64
}

// creditWindow is how long a flow may accrue credit for an unused fair share. Jobs arrive at
// random: without credit, an account that keeps to its fair share would wait whenever several of
// its jobs arrive together.
const creditWindow = 3 * time.Second

// flowOf returns the flow of an account's work in a service.
func (s *State) flowOf(service mothferry.ServiceID, id mothferry.AccountID) *flowUsage {
	flow := mfshare.Flow{Service: service, Account: id}
	l, ok := s.flows[flow]
	if !ok {
		l = &flowUsage{Flow: flow}
		s.flows[flow] = l
	}
	return l
}

// updateFairShares computes each flow's fair share of each service's capacity for this round. If
// there is more work than capacity, placement by urgency alone would give the capacity to the
// accounts that submitted the most.
func (s *State) updateFairShares(byService map[mothferry.ServiceID][]*candidate, placements map[mothferry.ServiceID]*placementCapacity, now time.Time) {
	for _, l := range s.flows {
		l.wanted, l.fairShare = mfdemand.Amount{}, 0
	}
	for _, list := range byService {
		for _, c := range list {
			c.job.flow.addWanted(c)
		}
	}
	var claims []mfshare.Claim
	demands := map[mothferry.ServiceID]mfdemand.Amount{}
	limits, byAccount := map[mothferry.AccountID]float64{}, map[mothferry.AccountID]mfdemand.Amount{}
	for _, l := range s.activeFlows() {
		flow, demand := l.Flow, l.demand()
		demands[flow.Service] = demands[flow.Service].Add(demand)
		byAccount[flow.Account] = byAccount[flow.Account].Add(demand)
		claims = append(claims, mfshare.Claim{Flow: flow, Weight: s.weightOf(flow.Account), Cores: demand.Cores})
	}
	for id, demand := range byAccount {
		if o := s.entitlement(id, mfdemand.Amount{}); o.Limited {
			limits[id] = o.Limit.UsableCores(demand)
		}
	}
	capacities := map[mothferry.ServiceID]float64{}
	for service, p := range placements {
		sum := mfdemand.Amount{}
		for _, w := range p.workers {
			sum = sum.Add(mfdemand.AmountOf(w.Capacity))
		}
		capacities[service] = mfshare.PackingEfficiency * sum.UsableCores(demands[service])
	}
	for flow, share := range mfshare.Divide(capacities, claims, limits) {
		s.flows[flow].fairShare = share
	}
	s.updateCredits(capacities, claims, now)
}

// updateCredits adds to the flows' credits what they left unused of their fair shares since the
// last round, and subtracts what they used above them.
func (s *State) updateCredits(capacities map[mothferry.ServiceID]float64, claims []mfshare.Claim, now time.Time) {
	seconds := min(now.Sub(s.creditUpdatedAt), creditWindow).Seconds()
	s.creditUpdatedAt = now
	weights, active := map[mothferry.ServiceID]float64{}, map[mfshare.Flow]bool{}
	for _, c := range claims {
		weights[c.Service] += c.Weight
		active[c.Flow] = true
	}
	for flow, l := range s.flows {
		if !active[flow] {
			// The cap follows from its fair share, which is known only once it has demand.
			l.credit = fullCredit
		}
	}
	for _, c := range claims {
		l := s.flows[c.Flow]
		entitled := max(l.fairShare, capacities[c.Service]*c.Weight/weights[c.Service])
		l.credit += (entitled - mfdemand.AmountOf(l.used).Cores) * seconds
		l.credit = max(0, min(l.credit, entitled*creditWindow.Seconds()))
	}
}

// fullCredit is the credit of a flow without demand. It exceeds every cap, so that such a flow has
// all the credit that it may accrue.
const fullCredit = 1e12

// demand returns what a flow's tasks use and want.
func (l *flowUsage) demand() mfdemand.Amount { return mfdemand.AmountOf(l.used).Add(l.wanted) }

// activeFlows returns the flows with demand, in order.
func (s *State) activeFlows() []*flowUsage {
	var out []*flowUsage
	for _, l := range s.flows {
		if l.demand().Cores > 0 {
			out = append(out, l)
		}
	}
	slices.SortFunc(out, func(a, b *flowUsage) int { return a.Compare(b.Flow) })
	return out
}

func (s *State) weightOf(id mothferry.AccountID) float64 {
	if a, ok := s.accounts[id]; ok && a.Weight > 0 {
		return a.Weight
	}
	return mfshare.DefaultWeight
}

// addWanted adds the demand of a candidate's ready tasks.
func (l *flowUsage) addWanted(c *candidate) {
	if c.class == classTooLate {
		return
	}
	for _, p := range c.steps {
		l.wanted = l.wanted.Add(mfdemand.AmountOf(p.spec.Need).Times(float64(p.waiting)))
	}
}

// withinFairShare reports whether a candidate precedes those whose flows use their fair share: its
// own flow uses less, and it can meet its objective. Lasting jobs always precede them.
func (c *candidate) withinFairShare() bool {
	switch c.class {
	case classLasting:
		return true
	case classOnTime, classOverRate:
		return float64(c.job.flow.used.Cores)/1000 < c.job.flow.fairShare
	default:
		return false
	}
}

// hasCredit reports whether a candidate precedes others whose flows use their fair share: its own
// flow has credit, and it can meet its objective.
func (c *candidate) hasCredit() bool {
	return (c.class == classOnTime || c.class == classOverRate) && c.job.flow.credit > 0
}
