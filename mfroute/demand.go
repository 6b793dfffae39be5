package mfroute

import (
	"math"
	"time"

	"mothferry"
)

// PeerUse is what a daemon of the data centre tells the others of a service.
type PeerUse struct {
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
	demandSpan = time.Second
	baseWeight = 0.1
)

// overloadFactor is how far demand must exceed the runners' slots to count as
// overload. Below it the excess is within the noise of the average.
const overloadFactor = 1.1

// toldStep is how far, relatively, the demand must have moved for the peers to
// be told anew. Most heartbeats then repeat the old figure, and all members
// divide the slots by the same weights; weights that differ a little at each
// member make shares overlap on some runners and leave slots unused on others.
const toldStep = 0.15

// divide works out this daemon's share of each runner. A member's weight is
// its demand and a part that it has whatever its demand, so that one whose
// callers wake does not begin with nothing.
func (b *Balancer) divide() {
	weights := map[mothferry.DaemonID]float64{}
	total := 0.0
	for _, m := range b.members {
		total += b.weights[m]
	}
	base := max(total*baseWeight/float64(max(len(b.members), 1)), 1)
	for _, m := range b.members {
		weights[m] = b.weights[m] + base
	}
	var slots []mothferry.Slots
	for _, r := range b.runners {
		slots = append(slots, r.placed.Slots)
	}
	for i, n := range Shares(slots, weights, b.Self) {
		b.runners[i].share = n
	}
}

// measure brings the demand's moving average up to now.
func (b *Balancer) measure(now time.Time) {
	span := now.Sub(b.measured)
	if span <= 0 {
		return
	}
	current := float64(b.arrived) * b.mean / float64(span)
	part := 1 - math.Exp(-float64(span)/float64(demandSpan))
	b.demand += part * (current - b.demand)
	b.arrived, b.measured = 0, now
}

// Heard takes over what the other daemons of the data centre last said, and
// works out how many of their idle slots this daemon may borrow.
//
// Idle slots are shared among the daemons that have requests waiting, in
// proportion to how many wait: every daemon that has heard the same works out
// the same parts, so that stale counts do not make all of them run for the
// same slots at once.
func (b *Balancer) Heard(peers []PeerUse) {
	now := b.Clock.Now()
	b.measure(now)
	b.weights = map[mothferry.DaemonID]float64{b.Self: b.told}
	waiting := b.queue.Len()
	for _, r := range b.runners {
		r.others = 0
	}
	for _, p := range peers {
		waiting += p.Queued
		b.weights[p.Daemon] = p.Demand
		if len(p.InFlight) != len(b.runners) {
			continue
		}
		for i, r := range b.runners {
			r.others += p.InFlight[i]
		}
	}
	b.divide()
	idle, slots, demand := 0, 0, 0.0
	for _, m := range b.members {
		demand += b.weights[m]
	}
	for _, r := range b.runners {
		if r.usable(now) {
			slots += int(r.placed.Slots)
			idle += max(r.spare()-max(r.free(now), 0), 0)
		}
	}
	b.overloaded = demand > overloadFactor*float64(slots)
	b.credit = b.borrowed
	if waiting > 0 {
		b.credit += (idle*b.queue.Len() + waiting - 1) / waiting
	}
	b.grant()
}

// idleDemand is the number of slots below which a service counts as idle at a
// daemon. Its base weight is many times that.
const idleDemand = 0.01

// Use returns what this daemon tells its peers of the service, and whether the
// service is idle here, so that they need not be told.
func (b *Balancer) Use() (use PeerUse, idle bool) {
	if math.Abs(b.demand-b.told) > toldStep*b.told {
		b.told = b.demand
	}
	if b.told < idleDemand {
		b.told = 0
	}
	use.Daemon, use.Demand, use.Queued = b.Self, b.told, b.queue.Len()
	idle = b.told == 0 && use.Queued == 0
	for _, r := range b.runners {
		use.InFlight = append(use.InFlight, r.inFlight)
		idle = idle && r.inFlight == 0
	}
	return use, idle
}
