package mfpool

import (
	"maps"
	"math"
	"slices"
	"time"

	"mothferry"
)

// surplusTolerance is the fraction of its share that a pool may have in excess before machines
// leave it.
const surplusTolerance = 0.5

// claimTimeConstant is the decay time of smoothed claims: single jobs change the need of a short
// pool by a large fraction, and a claim may lag by half the time that a move takes.
const claimTimeConstant = time.Second

// Claim is the number of machines that a pool requires of a fleet that is too small for all
// pools.
type Claim struct {
	// Floor is the pool's minimum, OnTime the number required by the work that can still be on
	// time, and Need the number required by all its work.
	Floor, OnTime, Need int
}

// Divide returns how many of a fleet's machines each pool gets: its floor first, then the
// machines for work that can still be on time, then the rest of its need.
//
// It is used when several pools together have more demand than the fleet can serve. A machine
// for work that can still be on time has the same value to callers in any pool, so all pools
// get the same fraction of their claims; a machine for work that is late already has the least
// value. The shares are continuous in the claims, so that small changes of demand move few
// machines.
func Divide(fleet int, claims map[mothferry.ServiceID]Claim) map[mothferry.ServiceID]int {
	d := division{remaining: fleet}
	ids := slices.Sorted(maps.Keys(claims))
	for _, id := range ids {
		c := claims[id]
		c.Need = max(0, c.Need)
		c.Floor = min(max(0, c.Floor), c.Need)
		c.OnTime = min(max(c.OnTime, c.Floor), c.Need)
		d.claims = append(d.claims, c)
	}
	d.shares = make([]int, len(ids))
	d.distribute(func(c Claim) int { return c.Floor })
	d.distribute(func(c Claim) int { return c.OnTime })
	d.distribute(func(c Claim) int { return c.Need })
	shares := map[mothferry.ServiceID]int{}
	for i, id := range ids {
		shares[id] = d.shares[i]
	}
	return shares
}

// ApplyHysteresis returns how many machines a pool with a share of the fleet should have: those
// that it has, if they are not many more than its share. A move makes a machine unavailable for
// two seconds, and the shares change with each job that is submitted.
func ApplyHysteresis(share, machines int) int {
	if machines > share && float64(machines) <= float64(share)*(1+surplusTolerance)+1 {
		return machines
	}
	return share
}

// division is the state of a call of Divide.
type division struct {
	claims    []Claim
	shares    []int
	remaining int
}

// distribute gives machines, one at a time, to the pools that have fewer than they want, each to
// the one that has received the smallest fraction of what it was short of.
func (d *division) distribute(want func(Claim) int) {
	shortfall, given := make([]int, len(d.claims)), make([]int, len(d.claims))
	for i, c := range d.claims {
		shortfall[i] = max(0, want(c)-d.shares[i])
	}
	for ; d.remaining > 0; d.remaining-- {
		next := -1
		for i := range given {
			if given[i] == shortfall[i] {
				continue
			}
			if next < 0 || shortfall[i]*(given[next]+1) > shortfall[next]*(given[i]+1) {
				next = i
			}
		}
		if next < 0 {
			return
		}
		given[next]++
		d.shares[next]++
	}
}

// smoothedClaim is an exponentially smoothed claim of a pool, in machines.
type smoothedClaim struct{ onTime, need float64 }

// Claims returns the claims of pools on a fleet that is too small, smoothed over time with
// claimTimeConstant.
func (s *Sizer) Claims(pools map[mothferry.ServiceID]Pool, now time.Time) map[mothferry.ServiceID]Claim {
	weight := math.Exp(-now.Sub(s.claimedAt).Seconds() / claimTimeConstant.Seconds())
	claims, smoothed := map[mothferry.ServiceID]Claim{}, map[mothferry.ServiceID]smoothedClaim{}
	for id, p := range pools {
		c := p.claim()
		v := smoothedClaim{onTime: float64(c.OnTime), need: float64(c.Need)}
		if previous, known := s.claims[id]; known {
			v.onTime += weight * (previous.onTime - v.onTime)
			v.need += weight * (previous.need - v.need)
		}
		smoothed[id] = v
		c.OnTime, c.Need = int(math.Round(v.onTime)), int(math.Round(v.need))
		claims[id] = c
	}
	s.claims, s.claimedAt = smoothed, now
	return claims
}
