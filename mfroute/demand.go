package mfroute

import (
	"math"
	"time"

	"mothferry"
)

// PeerUsage is what a daemon of the data centre reports to the others about a service.
type PeerUsage struct {
	Daemon mothferry.DaemonID
	// Demand is the number of slots that its callers' requests would keep busy.
	Demand float64
	Queued int
	// InFlight counts its requests per runner, in the order of the runners' task ids.
	InFlight []int
}

// Demand: the decay time of its moving average, and the fraction of the mean weight that each
// member has regardless of its demand.
const (
	demandDecayTime    = time.Second
	baseWeightFraction = 0.1
)

// overloadFactor is how far demand must exceed the runners' slots to count as overload. A
// smaller excess is within the noise of the average.
const overloadFactor = 1.1

// demandPublishStep is the relative change of demand from which a new value is published. Most
// heartbeats then repeat the previous value, and all members compute shares from the same
// weights. Weights that differ slightly between members make shares overlap on some runners
// and leave slots unused on others.
const demandPublishStep = 0.15

// computeShares computes this daemon's share of each runner. A member's weight is its demand
// plus a base weight, so that a member whose demand rises from zero already has slots.
func (b *Balancer) computeShares() {
	weights := map[mothferry.DaemonID]float64{}
	total := 0.0
	for _, m := range b.members {
		total += b.memberDemand[m]
	}
	base := max(total*baseWeightFraction/float64(max(len(b.members), 1)), 1)
	for _, m := range b.members {
		weights[m] = b.memberDemand[m] + base
	}
	var slots []mothferry.Slots
	for _, r := range b.runners {
		slots = append(slots, r.placement.Slots)
	}
	for i, n := range Shares(slots, weights, b.Self) {
		b.runners[i].share = n
	}
}

// updateDemand updates the moving average of demand.
func (b *Balancer) updateDemand(now time.Time) {
	elapsed := now.Sub(b.measuredAt)
	if elapsed <= 0 {
		return
	}
	current := float64(b.arrivals) * b.meanServiceTime / float64(elapsed)
	fraction := 1 - math.Exp(-float64(elapsed)/float64(demandDecayTime))
	b.demand += fraction * (current - b.demand)
	b.arrivals, b.measuredAt = 0, now
}

// UpdatePeers applies the latest reports of the other daemons of the data centre, and computes
// how many of their idle slots this daemon may borrow.
//
// Idle slots are divided among the daemons with waiting requests in proportion to how many
// wait. Daemons that have the same reports compute the same parts, so that stale counts do not
// make all of them take the same slots at once.
func (b *Balancer) UpdatePeers(peers []PeerUsage) {
	now := b.Clock.Now()
	b.updateDemand(now)
	b.memberDemand = map[mothferry.DaemonID]float64{b.Self: b.publishedDemand}
	waiting := b.queue.Len()
	for _, r := range b.runners {
		r.peersInFlight = 0
	}
	for _, p := range peers {
		waiting += p.Queued
		b.memberDemand[p.Daemon] = p.Demand
		if len(p.InFlight) != len(b.runners) {
			continue
		}
		for i, r := range b.runners {
			r.peersInFlight += p.InFlight[i]
		}
	}
	b.computeShares()
	idle, slots, demand := 0, 0, 0.0
	for _, m := range b.members {
		demand += b.memberDemand[m]
	}
	for _, r := range b.runners {
		if r.usable(now) {
			slots += int(r.placement.Slots)
			idle += max(r.idleSlots()-max(r.freeInShare(now), 0), 0)
		}
	}
	b.overloaded = demand > overloadFactor*float64(slots)
	b.borrowLimit = b.borrowed
	if waiting > 0 {
		b.borrowLimit += (idle*b.queue.Len() + waiting - 1) / waiting
	}
	b.grant()
}

// idleDemandSlots is the number of slots below which a service counts as idle at a daemon. The
// base weight is many times that.
const idleDemandSlots = 0.01

// Usage returns what this daemon reports to its peers about the service, and whether the
// service is idle here and need not be reported.
func (b *Balancer) Usage() (usage PeerUsage, idle bool) {
	if math.Abs(b.demand-b.publishedDemand) > demandPublishStep*b.publishedDemand {
		b.publishedDemand = b.demand
	}
	if b.publishedDemand < idleDemandSlots {
		b.publishedDemand = 0
	}
	usage.Daemon, usage.Demand, usage.Queued = b.Self, b.publishedDemand, b.queue.Len()
	idle = b.publishedDemand == 0 && usage.Queued == 0
	for _, r := range b.runners {
		usage.InFlight = append(usage.InFlight, r.inFlight)
		idle = idle && r.inFlight == 0
	}
	return usage, idle
}
