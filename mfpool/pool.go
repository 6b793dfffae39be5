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
	// drainWithin is over how many seconds machines beyond what keeps up with
	// arrivals should work off what waits. Work waits because machines are still
	// on their way; more of them come too late for it and are missing where the
	// next turn begins.
	drainWithin = 2.5
	// packing is the part of a machine's cores or memory that tasks of several sizes fill.
	packing = 0.85
	// spare machines beyond what demand asks for.
	spare = 1
	// reserve is the fewest machines that a pool keeps, as a part of an equal
	// share of the fleet: they take the first two seconds of its turn, until
	// others have come. It must not depend on what the pool had when an owner
	// first saw it: after a takeover that may be its peak. What idle pools keep is
	// missing in the one whose turn it is.
	reserve = 0.2
	// keepFor is how long a pool's need is remembered before it shrinks.
	keepFor = 3 * time.Second
)

// Pool is one pool as it stands.
type Pool struct {
	// Machines counts those that are in it, or on their way to it.
	Machines int
	// Fair is an equal share of the fleet.
	Fair float64
	// Machine is what one machine has. A resource of which it has none does not bind.
	Machine mfdemand.Amount
	Demand  mfdemand.Demand
}

// Need is how many machines a pool's demand asks for by each resource.
type Need struct {
	Cores, Memory int
}

// Need returns how many machines a pool's demand asks for by each resource; nothing
// for a machine of unknown size.
func (p Pool) Need() Need {
	return p.by(p.Demand.Ready, p.Demand.ReadyWork)
}

// by returns the need if so much work waits, and could use so much at once.
func (p Pool) by(ready, work mfdemand.Amount) Need {
	d := p.Demand
	at := d.Arriving.Max(d.Forecast).Add(d.Lasting).Add(ready.Min(work.Times(1 / drainWithin)))
	return Need{Cores: machines(at.Cores, p.Machine.Cores), Memory: machines(at.Memory, p.Machine.Memory)}
}

// claim returns what a pool asks for at this moment of a fleet that is too small.
func (p Pool) claim() Claim {
	floor := max(p.floor(), p.Demand.MinWorkers)
	prompt := p.by(p.Demand.OnTimeReady, p.Demand.OnTimeWork)
	return Claim{Floor: floor, Prompt: max(floor, prompt.Cores, prompt.Memory), Need: p.need()}
}

// machines returns how many machines of a size have so much of a resource.
func machines(amount, size float64) int {
	if size <= 0 {
		return 0
	}
	return int(math.Ceil(amount/(size*packing))) + spare
}

// need returns how many machines a pool's demand asks for.
func (p Pool) need() int {
	if p.Machine.Cores <= 0 {
		return p.Machines
	}
	n := p.Need()
	return max(n.Cores, n.Memory, p.floor(), p.Demand.MinWorkers)
}

// floor returns how many machines a pool keeps without demand.
func (p Pool) floor() int { return int(math.Ceil(p.Fair * reserve)) }

// Sizes decides over time. The zero value is ready for use.
type Sizes struct {
	peaks map[mothferry.ServiceID]peak
	// claims are those of claimed.
	claims  map[mothferry.ServiceID]claim
	claimed time.Time
}

// peak is the largest need seen lately.
type peak struct {
	need int
	at   time.Time
}

// Target is how many machines a pool should have.
type Target struct {
	// Now is what its demand asks for, Keep its largest need of late: a short
	// lull sends no machine away, unless another pool is short of them.
	Now, Keep int
}

// Targets returns how many machines each pool should have.
func (s *Sizes) Targets(pools map[mothferry.ServiceID]Pool, now time.Time) map[mothferry.ServiceID]Target {
	if s.peaks == nil {
		s.peaks = map[mothferry.ServiceID]peak{}
	}
	targets := map[mothferry.ServiceID]Target{}
	for id, p := range pools {
		need := p.need()
		old := s.peaks[id]
		if need >= old.need || now.Sub(old.at) > keepFor {
			s.peaks[id] = peak{need: need, at: now}
		}
		targets[id] = Target{Now: need, Keep: s.peaks[id].need}
	}
	return targets
}
