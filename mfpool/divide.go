package mfpool

import (
	"maps"
	"math"
	"slices"
	"time"

	"mothferry"
)

// surplusTolerance is by which part of its share a pool may have more before machines leave it.
const surplusTolerance = 0.5

// claimTimeConstant is how long what a pool asked for counts in its claim: single jobs come and
// go by much of a short pool's need, and half of a move's time is what a claim may lag.
const claimTimeConstant = time.Second

// Claim is what a pool asks for of a fleet that is too small for all pools.
type Claim struct {
	// Floor is the fewest machines that it should have, Prompt how many the work asks
	// for that can still be in time, and Need how many all its work asks for.
	Floor, OnTime, Need int
}

// Divide returns how many of a fleet's machines each pool gets: its floor first, then what
// is needed for work that can still be in time, then the rest of its need.
//
// The load it answers: several pools are asked at the same time for more than the fleet can
// do. A machine that works on what can still be in time does as much for callers in one pool
// as in another, so that all pools are cut by the same part; one that has only late work left
// brings least. The shares are continuous in the claims, so that small changes of demand move
// few machines.
func Divide(fleet int, claims map[mothferry.ServiceID]Claim) map[mothferry.ServiceID]int {
	d := division{left: fleet}
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
	out := map[mothferry.ServiceID]int{}
	for i, id := range ids {
		out[id] = d.shares[i]
	}
	return out
}

// ApplyHysteresis returns how many machines a pool should have of which the fleet's division says
// share: what it has, if that is not much more. A move takes a machine away from callers
// for two seconds, and the shares change with each job that comes.
func ApplyHysteresis(share, machines int) int {
	if machines > share && float64(machines) <= float64(share)*(1+surplusTolerance)+1 {
		return machines
	}
	return share
}

// division is a fleet that is being divided.
type division struct {
	claims []Claim
	shares []int
	left   int
}

// distribute gives machines to the pools that have fewer than they want, one after the other to
// the one that has got fewest for what it missed.
func (d *division) distribute(want func(Claim) int) {
	missing, given := make([]int, len(d.claims)), make([]int, len(d.claims))
	for i, c := range d.claims {
		missing[i] = max(0, want(c)-d.shares[i])
	}
	for ; d.left > 0; d.left-- {
		next := -1
		for i := range given {
			if given[i] == missing[i] {
				continue
			}
			if next < 0 || missing[i]*(given[next]+1) > missing[next]*(given[i]+1) {
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

// smoothedClaim is what a pool asked for of late, in machines.
type smoothedClaim struct{ onTime, need float64 }

// Claims returns what pools ask for of a fleet that is too small. What each asked for
// within claimMemory counts too.
func (s *Sizer) Claims(pools map[mothferry.ServiceID]Pool, now time.Time) map[mothferry.ServiceID]Claim {
	kept := math.Exp(-now.Sub(s.claimedAt).Seconds() / claimTimeConstant.Seconds())
	claims, smooth := map[mothferry.ServiceID]Claim{}, map[mothferry.ServiceID]smoothedClaim{}
	for id, p := range pools {
		c := p.claim()
		v := smoothedClaim{onTime: float64(c.OnTime), need: float64(c.Need)}
		if old, known := s.claims[id]; known {
			v.onTime += kept * (old.onTime - v.onTime)
			v.need += kept * (old.need - v.need)
		}
		smooth[id] = v
		c.OnTime, c.Need = int(math.Round(v.onTime)), int(math.Round(v.need))
		claims[id] = c
	}
	s.claims, s.claimedAt = smooth, now
	return claims
}
