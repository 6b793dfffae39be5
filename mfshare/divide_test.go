package mfshare_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mothferry"
	"mothferry/mfshare"
)

// tolerance is the rounding error allowed in sums of floating-point numbers.
const tolerance = 1e-6

// division draws capacities, claims and limits.
func division(t *rapid.T) (map[mothferry.ServiceID]float64, []mfshare.Claim, map[mothferry.AccountID]float64) {
	capacities, limits := map[mothferry.ServiceID]float64{}, map[mothferry.AccountID]float64{}
	var claims []mfshare.Claim
	accounts := rapid.IntRange(1, 6).Draw(t, "accounts")
	for a := range accounts {
		if rapid.Bool().Draw(t, "limited") {
			limits[mothferry.AccountID(fmt.Sprint("a", a))] = rapid.Float64Range(0, 300).Draw(t, "limit")
		}
	}
	for s := range rapid.IntRange(1, 4).Draw(t, "services") {
		service := mothferry.ServiceID(fmt.Sprint("s", s))
		capacities[service] = rapid.Float64Range(0, 400).Draw(t, "capacity")
		for a := range accounts {
			claims = append(claims, mfshare.Claim{
				Flow:   mfshare.Flow{Service: service, Account: mothferry.AccountID(fmt.Sprint("a", a))},
				Weight: rapid.Float64Range(0.1, 20).Draw(t, "weight"), Cores: rapid.Float64Range(0, 200).Draw(t, "cores"),
			})
		}
	}
	return capacities, claims, limits
}

// Guards against shares that exceed capacity, claims or limits, and against unmet claims
// while capacity is free.
func TestDivideStaysWithinCapacityClaimsAndLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacities, claims, limits := division(t)
		shares := mfshare.Divide(capacities, claims, limits)
		given, sums := map[mothferry.ServiceID]float64{}, map[mothferry.AccountID]float64{}
		for _, c := range claims {
			share := shares[c.Flow]
			assert.Assert(t, share >= 0 && share <= c.Cores+tolerance)
			given[c.Service] += share
			sums[c.Account] += share
		}
		for service, sum := range given {
			assert.Assert(t, sum <= capacities[service]+tolerance)
		}
		for id, limit := range limits {
			assert.Assert(t, sums[id] <= limit+tolerance)
		}
		for _, c := range claims {
			limit, limited := limits[c.Account]
			atLimit := limited && sums[c.Account] >= limit-tolerance
			full := given[c.Service] >= capacities[c.Service]-tolerance
			assert.Assert(t, shares[c.Flow] >= c.Cores-tolerance || atLimit || full, "%+v gets %v although capacity is free", c, shares[c.Flow])
		}
	})
}

// Guards against an account that gets less than its weighted share because another claims
// more.
func TestDivideGivesEachAccountItsWeightedShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacities, claims, limits := division(t)
		shares := mfshare.Divide(capacities, claims, limits)
		weights := map[mothferry.ServiceID]float64{}
		for _, c := range claims {
			weights[c.Service] += c.Weight
		}
		for _, c := range claims {
			if _, limited := limits[c.Account]; limited {
				continue
			}
			fairShare := min(c.Cores, capacities[c.Service]*c.Weight/weights[c.Service])
			assert.Assert(t, shares[c.Flow] >= fairShare-tolerance, "%+v gets %v of %v", c, shares[c.Flow], fairShare)
		}
	})
}

// Guards against unused shares that are lost or not divided by weight.
func TestDivideRedistributesUnusedShares(t *testing.T) {
	flow := func(id mothferry.AccountID) mfshare.Flow { return mfshare.Flow{Service: "s", Account: id} }
	shares := mfshare.Divide(map[mothferry.ServiceID]float64{"s": 100}, []mfshare.Claim{
		{Flow: flow("little"), Weight: 5, Cores: 10},
		{Flow: flow("more"), Weight: 2, Cores: 500},
		{Flow: flow("most"), Weight: 1, Cores: 500},
		{Flow: flow("limited"), Weight: 5, Cores: 500},
	}, map[mothferry.AccountID]float64{"limited": 30})
	assert.DeepEqual(t, shares, map[mfshare.Flow]float64{flow("little"): 10, flow("more"): 40, flow("most"): 20, flow("limited"): 30})
}
