package mfpool_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mothferry"
	"mothferry/mfdemand"
	"mothferry/mfpool"
)

// drawClaims draws the size of a fleet and the claims of pools on it.
func drawClaims(t *rapid.T) (int, map[mothferry.ServiceID]mfpool.Claim) {
	claims := map[mothferry.ServiceID]mfpool.Claim{}
	for i := range rapid.IntRange(1, 12).Draw(t, "pools") {
		floor := rapid.IntRange(0, 8).Draw(t, "floor")
		onTime := floor + rapid.IntRange(0, 200).Draw(t, "on-time")
		claims[mothferry.ServiceID(fmt.Sprintf("p%02d", i))] = mfpool.Claim{
			Floor: floor, OnTime: onTime, Need: onTime + rapid.IntRange(0, 200).Draw(t, "late"),
		}
	}
	return rapid.IntRange(0, 500).Draw(t, "fleet"), claims
}

// TestDivisionUsesTheFleet checks that a division neither exceeds the fleet, nor leaves machines
// idle while a pool needs them, nor leaves a pool below its floor.
func TestDivisionUsesTheFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet, claims := drawClaims(t)
		given, floors, needs := 0, 0, 0
		shares := mfpool.Divide(fleet, claims)
		for id, c := range claims {
			given, floors, needs = given+shares[id], floors+c.Floor, needs+c.Need
			assert.Assert(t, shares[id] <= c.Need, "%s", id)
		}
		assert.Equal(t, given, min(fleet, needs))
		for id, c := range claims {
			assert.Assert(t, floors > fleet || shares[id] >= c.Floor, "%s", id)
		}
	})
}

// TestDivisionIsMonotone checks that a pool does not get fewer machines if its claim rises.
func TestDivisionIsMonotone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet, claims := drawClaims(t)
		before := mfpool.Divide(fleet, claims)["p00"]
		c := claims["p00"]
		more := rapid.IntRange(1, 50).Draw(t, "more")
		c.OnTime, c.Need = c.OnTime+more, c.Need+more
		claims["p00"] = c
		after := mfpool.Divide(fleet, claims)["p00"]
		assert.Assert(t, after >= before, "%d, with %d more %d", before, more, after)
	})
}

// TestPoolsAreCutProportionally checks that all pools get the same fraction of their claims.
func TestPoolsAreCutProportionally(t *testing.T) {
	shares := mfpool.Divide(100, map[mothferry.ServiceID]mfpool.Claim{
		"large": {OnTime: 150, Need: 150}, "small": {OnTime: 50, Need: 50},
	})
	assert.DeepEqual(t, shares, map[mothferry.ServiceID]int{"large": 75, "small": 25})
}

// TestOnTimeWorkGoesFirst checks that work that is late already does not keep machines that work
// needs that can still be on time.
func TestOnTimeWorkGoesFirst(t *testing.T) {
	pool := func(d mfdemand.Demand) mfpool.Pool {
		return mfpool.Pool{MachineCapacity: mfdemand.Amount{Cores: 16}, Demand: d, EqualShare: 20}
	}
	late := mfdemand.Demand{ReadyWork: mfdemand.Amount{Cores: 5000}, Ready: mfdemand.Amount{Cores: 5000}}
	onTime := late
	onTime.OnTimeWork, onTime.OnTimeReady = late.ReadyWork, late.Ready
	var s mfpool.Sizer
	shares := mfpool.Divide(60, s.Claims(map[mothferry.ServiceID]mfpool.Pool{"late": pool(late), "on-time": pool(onTime)}, start))
	assert.DeepEqual(t, shares, map[mothferry.ServiceID]int{"late": 4, "on-time": 56})
}

// TestClaimsFollowDemand checks that a claim follows a rise in demand within the time that a
// machine takes to move.
func TestClaimsFollowDemand(t *testing.T) {
	pools := func(cores float64) map[mothferry.ServiceID]mfpool.Pool {
		return map[mothferry.ServiceID]mfpool.Pool{"a": {
			MachineCapacity: mfdemand.Amount{Cores: 16}, Demand: mfdemand.Demand{Arriving: mfdemand.Amount{Cores: cores}},
		}}
	}
	var s mfpool.Sizer
	s.Claims(pools(0), start)
	claim := mfpool.Claim{}
	for d := 150 * time.Millisecond; d <= 1500*time.Millisecond; d += 150 * time.Millisecond {
		claim = s.Claims(pools(1000), start.Add(d))["a"]
	}
	full := s.Claims(pools(1000), start.Add(time.Minute))["a"]
	assert.Assert(t, 4*claim.OnTime >= 3*full.OnTime, "%v of %v", claim, full)
}
