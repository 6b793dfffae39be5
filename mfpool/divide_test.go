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

// drawClaims draws a fleet and what pools ask for of it.
func drawClaims(t *rapid.T) (int, map[mothferry.ServiceID]mfpool.Claim) {
	claims := map[mothferry.ServiceID]mfpool.Claim{}
	for i := range rapid.IntRange(1, 12).Draw(t, "pools") {
		floor := rapid.IntRange(0, 8).Draw(t, "floor")
		prompt := floor + rapid.IntRange(0, 200).Draw(t, "prompt")
		claims[mothferry.ServiceID(fmt.Sprintf("p%02d", i))] = mfpool.Claim{
			Floor: floor, OnTime: prompt, Need: prompt + rapid.IntRange(0, 200).Draw(t, "late"),
		}
	}
	return rapid.IntRange(0, 500).Draw(t, "fleet"), claims
}

// A division must neither give more than there is, nor leave machines idle beside need, nor
// leave a pool without its floor.
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

// A pool must not get fewer machines because it is asked for more.
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

// No pool must pay for another's demand with more than the same part of its own.
func TestPoolsAreCutProportionally(t *testing.T) {
	shares := mfpool.Divide(100, map[mothferry.ServiceID]mfpool.Claim{
		"large": {OnTime: 150, Need: 150}, "small": {OnTime: 50, Need: 50},
	})
	assert.DeepEqual(t, shares, map[mothferry.ServiceID]int{"large": 75, "small": 25})
}

// Work that can't be in time any more must not keep machines from work that can.
func TestOnTimeWorkGoesFirst(t *testing.T) {
	pool := func(d mfdemand.Demand) mfpool.Pool {
		return mfpool.Pool{MachineCapacity: mfdemand.Amount{Cores: 16}, Demand: d, EqualShare: 20}
	}
	late := mfdemand.Demand{ReadyWork: mfdemand.Amount{Cores: 5000}, Ready: mfdemand.Amount{Cores: 5000}}
	prompt := late
	prompt.OnTimeWork, prompt.OnTimeReady = late.ReadyWork, late.Ready
	var s mfpool.Sizer
	shares := mfpool.Divide(60, s.Claims(map[mothferry.ServiceID]mfpool.Pool{"late": pool(late), "prompt": pool(prompt)}, start))
	assert.DeepEqual(t, shares, map[mothferry.ServiceID]int{"late": 4, "prompt": 56})
}

// A claim must follow a turn within the time that a machine takes to move.
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
