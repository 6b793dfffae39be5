package mfroute

import (
	"math"
	"time"

	"mothferry"
)

// PeerUsage is what a daemon of the data centre tells the others of a service.
type PeerUsage struct {
	Daemon mothferry.DaemonID
	// Demand is the number of slots that its callers' requests would keep busy.
	Demand float64
	Queued int
	// InFlight counts its requests by the runners' task ids in order.
	InFlight []int
}

// Demand: the span of its moving average, and the part of the mean weight that
// each member has whatever its demand.
const (
	demandDecayTime    = time.Second
	baseWeightFraction = 0.1
)

// overloadFactor is how far demand must exceed the runners' slots to count as
// overload. Below it the excess is within the noise of the average.
const overloadFactor = 1.1

// demandPublishStep is how far, relatively, the demand must have moved for the peers to
// be told anew. Most heartbeats then repeat the old figure, and all members
// divide the slots by the same weights; weights that differ a little at each
// member make shares overlap on some runners and leave slots unused on others.
const demandPublishStep = 0.15

// computeShares works out this daemon's share of each runner. A member's weight is
// its demand and a part that it has whatever its demand, so that one whose
// callers wake does not begin with nothing.
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

// updateDemand brings the demand's moving average up to now.
func (b *Balancer) updateDemand(now time.Time) {
	span := now.Sub(b.measuredAt)
	if span <= 0 {
		return
	}
	current := float64(b.arrivals) * b.meanServiceTime / float64(span)
	part := 1 - math.Exp(-float64(span)/float64(demandDecayTime))
	b.demand += part * (current - b.demand)
	b.arrivals, b.measuredAt = 0, now
}

// UpdatePeers takes over what the other daemons of the data centre last said, and
// works out how many of their idle slots this daemon may borrow.
//
// Idle slots are shared among the daemons that have requests waiting, in
// proportion to how many wait: every daemon that has heard the same works out
// the same parts, so that stale counts do not make all of them run for the
// same slots at once.
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

// idleDemandSlots is the number of slots below which a service counts as idle at a
// daemon. Its base weight is many times that.
const idleDemandSlots = 0.01

// Usage returns what this daemon tells its peers of the service, and whether the
// service is idle here, so that they need not be told.
func (b *Balancer) Usage() (use PeerUsage, idle bool) {
	if math.Abs(b.demand-b.publishedDemand) > demandPublishStep*b.publishedDemand {
		b.publishedDemand = b.demand
	}
	if b.publishedDemand < idleDemandSlots {
		b.publishedDemand = 0
	}
	use.Daemon, use.Demand, use.Queued = b.Self, b.publishedDemand, b.queue.Len()
	idle = b.publishedDemand == 0 && use.Queued == 0
	for _, r := range b.runners {
		use.InFlight = append(use.InFlight, r.inFlight)
		idle = idle && r.inFlight == 0
	}
	return use, idle
}
