// Package mfpool decides how many machines each pool should have.
//
// The pools' demand peaks one after another: for some seconds one pool has several times its
// mean demand, more than its machines can serve, while the others are nearly idle. A move takes
// about two seconds until the machine works, and costs about as much as keeping a machine for
// one second; an idle machine costs all the time, one on standby nothing.
package mfpool

import (
	"math"
	"time"

	"mothferry"
	"mothferry/mfdemand"
)

const (
	// backlogDrainSeconds is the time in which the machines beyond those that keep up with
	// arrivals should complete the queued work. Work queues up because machines are still
	// being moved; more of them come too late for it and are missing where the next demand
	// peak starts.
	backlogDrainSeconds = 2.5
	// packingEfficiency is the fraction of a machine's cores or memory that tasks of several
	// sizes fill.
	packingEfficiency = 0.85
	// spareMachines is added to the number of machines that demand requires.
	spareMachines = 1
	// reserveFraction is the minimum of a pool, as a fraction of an equal share of the fleet:
	// these machines serve the first two seconds of a demand peak, until others have moved. It
	// must not depend on the size that the pool has when an owner first sees it: after a
	// takeover that may be that of its peak. Machines that idle pools retain are missing in the
	// pool that has its peak.
	reserveFraction = 0.2
	// peakHold is how long a pool's largest need is retained before a smaller one replaces it.
	peakHold = 3 * time.Second
)

// Pool is the present state of a pool.
type Pool struct {
	// Machines counts the machines that are in it or are moving to it.
	Machines int
	// EqualShare is an equal share of the fleet, in machines.
	EqualShare float64
	// MachineCapacity is the capacity of one machine. A resource of which it is zero does not
	// limit the pool.
	MachineCapacity mfdemand.Amount
	Demand          mfdemand.Demand
}

// Need is the number of machines that a pool's demand requires by each resource.
type Need struct {
	Cores, Memory int
}

// Need returns the number of machines that the pool's demand requires by each resource; zero for
// a resource of which the machines' capacity is unknown.
func (p Pool) Need() Need {
	return p.needFor(p.Demand.Ready, p.Demand.ReadyWork)
}

// needFor returns the need for an amount of queued work and the resources that it could use at
// once.
func (p Pool) needFor(ready, work mfdemand.Amount) Need {
	d := p.Demand
	required := d.Arriving.Max(d.Forecast).Add(d.Lasting).Add(ready.Min(work.Times(1 / backlogDrainSeconds)))
	return Need{Cores: machinesFor(required.Cores, p.MachineCapacity.Cores), Memory: machinesFor(required.Memory, p.MachineCapacity.Memory)}
}

// claim returns the pool's present claim on a fleet that is too small.
func (p Pool) claim() Claim {
	floor := max(p.floor(), p.Demand.MinWorkers)
	onTime := p.needFor(p.Demand.OnTimeReady, p.Demand.OnTimeWork)
	return Claim{Floor: floor, OnTime: max(floor, onTime.Cores, onTime.Memory), Need: p.requiredMachines()}
}

// machinesFor returns how many machines are required for an amount of a resource, by the size of
// one machine.
func machinesFor(amount, size float64) int {
	if size <= 0 {
		return 0
	}
	return int(math.Ceil(amount/(size*packingEfficiency))) + spareMachines
}

// requiredMachines returns how many machines the pool's demand requires.
func (p Pool) requiredMachines() int {
	if p.MachineCapacity.Cores <= 0 {
		return p.Machines
	}
	n := p.Need()
	return max(n.Cores, n.Memory, p.floor(), p.Demand.MinWorkers)
}

// floor returns how many machines the pool retains without demand.
func (p Pool) floor() int { return int(math.Ceil(p.EqualShare * reserveFraction)) }

// Sizer computes the sizes of pools over time. The zero value is ready for use.
type Sizer struct {
	peaks map[mothferry.ServiceID]peak
	// claims are the smoothed claims as of claimedAt.
	claims    map[mothferry.ServiceID]smoothedClaim
	claimedAt time.Time
}

// peak is the largest recent need of a pool.
type peak struct {
	need int
	at   time.Time
}

// Target is how many machines a pool should have.
type Target struct {
	// Machines is the number that its demand requires, Retain its largest recent need: machines
	// do not leave during a short drop in demand, unless another pool is short of them.
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
		last := s.peaks[id]
		if need >= last.need || now.Sub(last.at) > peakHold {
			s.peaks[id] = peak{need: need, at: now}
		}
		targets[id] = Target{Machines: need, Retain: s.peaks[id].need}
	}
	return targets
}
