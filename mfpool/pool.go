// Package mfpool decides how many machines each pool should have.
//
// The load it answers: the pools' demand comes in turns. One pool is asked for
// several times its mean for some seconds, more than its machines can do,
// while the others are nearly idle. A move takes about two seconds until the
// machine works, and costs about as much as a machine that is kept for one
// second; an idle machine costs all the time, one on standby nothing.
package mfpool

import (
	"math"
	"time"

	"mothferry"
	"mothferry/mfdemand"
)

// Figures of the sizes.
const (
	// backlogDrainSeconds is over how many seconds machines beyond what keeps up with
	// arrivals should work off what waits. Work waits because machines are still
	// on their way; more of them come too late for it and are missing where the
	// next turn begins.
	backlogDrainSeconds = 2.5
	// packingEfficiency is the part of a machine's cores or memory that tasks of several sizes fill.
	packingEfficiency = 0.85
	// spareMachines machines beyond what demand asks for.
	spareMachines = 1
	// reserveFraction is the fewest machines that a pool keeps, as a part of an equal
	// share of the fleet: they take the first two seconds of its turn, until
	// others have come. It must not depend on what the pool had when an owner
	// first saw it: after a takeover that may be its peak. What idle pools keep is
	// missing in the one whose turn it is.
	reserveFraction = 0.2
	// peakHold is how long a pool's need is remembered before it shrinks.
	peakHold = 3 * time.Second
)

// Pool is one pool as it stands.
type Pool struct {
	// Machines counts those that are in it, or on their way to it.
	Machines int
	// EqualShare is an equal share of the fleet.
	EqualShare float64
	// MachineCapacity is what one machine has. A resource of which it has none does not bind.
	MachineCapacity mfdemand.Amount
	Demand          mfdemand.Demand
}

// Need is how many machines a pool's demand asks for by each resource.
type Need struct {
	Cores, Memory int
}

// Need returns how many machines a pool's demand asks for by each resource; nothing
// for a machine of unknown size.
func (p Pool) Need() Need {
	return p.needFor(p.Demand.Ready, p.Demand.ReadyWork)
}

// needFor returns the need if so much work waits, and could use so much at once.
func (p Pool) needFor(ready, work mfdemand.Amount) Need {
	d := p.Demand
	at := d.Arriving.Max(d.Forecast).Add(d.Lasting).Add(ready.Min(work.Times(1 / backlogDrainSeconds)))
	return Need{Cores: machinesFor(at.Cores, p.MachineCapacity.Cores), Memory: machinesFor(at.Memory, p.MachineCapacity.Memory)}
}

// claim returns what a pool asks for at this moment of a fleet that is too small.
func (p Pool) claim() Claim {
	floor := max(p.floor(), p.Demand.MinWorkers)
	prompt := p.needFor(p.Demand.OnTimeReady, p.Demand.OnTimeWork)
	return Claim{Floor: floor, OnTime: max(floor, prompt.Cores, prompt.Memory), Need: p.requiredMachines()}
}

// machinesFor returns how many machines of a size have so much of a resource.
func machinesFor(amount, size float64) int {
	if size <= 0 {
		return 0
	}
	return int(math.Ceil(amount/(size*packingEfficiency))) + spareMachines
}

// requiredMachines returns how many machines a pool's demand asks for.
func (p Pool) requiredMachines() int {
	if p.MachineCapacity.Cores <= 0 {
		return p.Machines
	}
	n := p.Need()
	return max(n.Cores, n.Memory, p.floor(), p.Demand.MinWorkers)
}

// floor returns how many machines a pool keeps without demand.
func (p Pool) floor() int { return int(math.Ceil(p.EqualShare * reserveFraction)) }

// Sizer decides over time. The zero value is ready for use.
type Sizer struct {
	peaks map[mothferry.ServiceID]peak
	// claims are those of claimed.
	claims    map[mothferry.ServiceID]smoothedClaim
	claimedAt time.Time
}

// peak is the largest need seen lately.
type peak struct {
	need int
	at   time.Time
}

// Target is how many machines a pool should have.
type Target struct {
	// Machines is what its demand asks for, Keep its largest need of late: a short
	// lull sends no machine away, unless another pool is short of them.
	Machines, Retain int
}

// Targets returns how many machines each pool should have.
func (s *Sizer) Targets(pools map[mothferry.ServiceID]Pool, now time.Time) map[mothferry.ServiceID]Target {
	if s.peaks == nil {
		s.peaks = map[mothferry.ServiceID]peak{}
	}
	targets := map[mothferry.ServiceID]Target{}
	for id, p := range pools {
		need := p.requiredMachines()
		old := s.peaks[id]
		if need >= old.need || now.Sub(old.at) > peakHold {
			s.peaks[id] = peak{need: need, at: now}
		}
		targets[id] = Target{Machines: need, Retain: s.peaks[id].need}
	}
	return targets
}
