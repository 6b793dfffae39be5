package mfsched

import (
	"slices"
	"time"

	"mothferry"
	"mothferry/mfdemand"
	"mothferry/mfshare"
)

// flowUsage is what the tasks of one account in one service have and want.
type flowUsage struct {
	mfshare.Flow
	// used is what its tasks take that are, or may be, at a worker.
	used mothferry.Resources
	// wanted is what its tasks ask for that could start, due the cores that are its part,
	// both as of the round of placing under way.
	wanted    mfdemand.Amount
	fairShare float64
	// credit is what it left of its part lately, in core-seconds.
	credit float64
}

// creditWindow is over how long a flow may save up what it did not use. Jobs come at random:
// without it an account that keeps to its part would wait for its part whenever some of its
// jobs come together.
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

// updateFairShares works out which part of each service's room is due to each flow in this round.
//
// The load it answers: more work than room, from accounts that ask for different parts.
// By urgency alone the room goes to whoever sent the most.
func (s *State) updateFairShares(byService map[mothferry.ServiceID][]candidate, usable map[mothferry.ServiceID][]*worker, now time.Time) {
	for _, l := range s.flows {
		l.wanted, l.fairShare = mfdemand.Amount{}, 0
	}
	for _, list := range byService {
		for i := range list {
			list[i].job.flow.addWanted(&list[i])
		}
	}
	var claims []mfshare.Claim
	mixes := map[mothferry.ServiceID]mfdemand.Amount{}
	limits, byAccount := map[mothferry.AccountID]float64{}, map[mothferry.AccountID]mfdemand.Amount{}
	for _, l := range s.activeFlows() {
		flow, asks := l.Flow, l.demand()
		mixes[flow.Service] = mixes[flow.Service].Add(asks)
		byAccount[flow.Account] = byAccount[flow.Account].Add(asks)
		claims = append(claims, mfshare.Claim{Flow: flow, Weight: s.weightOf(flow.Account), Cores: asks.Cores})
	}
	for id, mix := range byAccount {
		if o := s.entitlement(id, mfdemand.Amount{}); o.Limited {
			limits[id] = o.Limit.UsableCores(mix)
		}
	}
	rooms := map[mothferry.ServiceID]float64{}
	for service, workers := range usable {
		sum := mfdemand.Amount{}
		for _, w := range workers {
			sum = sum.Add(mfdemand.AmountOf(w.Capacity))
		}
		rooms[service] = mfshare.PackingEfficiency * sum.UsableCores(mixes[service])
	}
	for flow, due := range mfshare.Divide(rooms, claims, limits) {
		s.flows[flow].fairShare = due
	}
	s.updateCredits(rooms, claims, now)
}

// updateCredits counts what flows left of their parts, or took beyond them, since the last round.
func (s *State) updateCredits(rooms map[mothferry.ServiceID]float64, claims []mfshare.Claim, now time.Time) {
	passed := min(now.Sub(s.creditUpdatedAt), creditWindow).Seconds()
	s.creditUpdatedAt = now
	weights, asking := map[mothferry.ServiceID]float64{}, map[mfshare.Flow]bool{}
	for _, c := range claims {
		weights[c.Service] += c.Weight
		asking[c.Flow] = true
	}
	for flow, l := range s.flows {
		if !asking[flow] {
			// Its part is known once it asks for some.
			l.credit = fullCredit
		}
	}
	for _, c := range claims {
		l := s.flows[c.Flow]
		owed := max(l.fairShare, rooms[c.Service]*c.Weight/weights[c.Service])
		l.credit += (owed - mfdemand.AmountOf(l.used).Cores) * passed
		l.credit = max(0, min(l.credit, owed*creditWindow.Seconds()))
	}
}

// fullCredit is that of a flow that asked for nothing: all that it may save up.
const fullCredit = 1e12

// demand is what a flow's tasks have and want.
func (l *flowUsage) demand() mfdemand.Amount { return mfdemand.AmountOf(l.used).Add(l.wanted) }

// activeFlows returns the flows that have or want anything, in order.
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

// addWanted adds what a candidate asks for.
func (l *flowUsage) addWanted(c *candidate) {
	if c.class == classTooLate {
		return
	}
	for _, p := range c.steps {
		l.wanted = l.wanted.Add(mfdemand.AmountOf(p.spec.Need).Times(float64(p.waiting)))
	}
}

// withinFairShare reports whether a candidate goes before those whose flows have their part:
// its own flow has not, and it can be in time.
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

// hasCredit reports whether a candidate goes before others whose flows have their part: its
// own flow left some of its part lately, and it can be in time.
func (c *candidate) hasCredit() bool {
	return (c.class == classOnTime || c.class == classOverRate) && c.job.flow.credit > 0
}
