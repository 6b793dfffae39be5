package mfshare_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mothferry"
	"mothferry/mfshare"
)

// slack is what sums of fractions may be off by.
const slack = 1e-6

// division draws rooms, claims and limits.
func division(t *rapid.T) (map[mothferry.ServiceID]float64, []mfshare.Claim, map[mothferry.AccountID]float64) {
	rooms, limits := map[mothferry.ServiceID]float64{}, map[mothferry.AccountID]float64{}
	var claims []mfshare.Claim
	accounts := rapid.IntRange(1, 6).Draw(t, "accounts")
	for a := range accounts {
		if rapid.Bool().Draw(t, "bounded") {
			limits[mothferry.AccountID(fmt.Sprint("a", a))] = rapid.Float64Range(0, 300).Draw(t, "limit")
		}
	}
	for s := range rapid.IntRange(1, 4).Draw(t, "services") {
		service := mothferry.ServiceID(fmt.Sprint("s", s))
		rooms[service] = rapid.Float64Range(0, 400).Draw(t, "room")
		for a := range accounts {
			claims = append(claims, mfshare.Claim{
				Flow:   mfshare.Flow{Service: service, Account: mothferry.AccountID(fmt.Sprint("a", a))},
				Weight: rapid.Float64Range(0.1, 20).Draw(t, "weight"), Cores: rapid.Float64Range(0, 200).Draw(t, "cores"),
			})
		}
	}
	return rooms, claims, limits
}

// Guarded against: more is given than there is, asked for or allowed, or room is left beside a claim.
func TestDivideStaysWithinCapacityClaimsAndLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rooms, claims, limits := division(t)
		parts := mfshare.Divide(rooms, claims, limits)
		given, sums := map[mothferry.ServiceID]float64{}, map[mothferry.AccountID]float64{}
		for _, c := range claims {
			part := parts[c.Flow]
			assert.Assert(t, part >= 0 && part <= c.Cores+slack)
			given[c.Service] += part
			sums[c.Account] += part
		}
		for service, sum := range given {
			assert.Assert(t, sum <= rooms[service]+slack)
		}
		for id, most := range limits {
			assert.Assert(t, sums[id] <= most+slack)
		}
		for _, c := range claims {
			most, bounded := limits[c.Account]
			atLimit := bounded && sums[c.Account] >= most-slack
			full := given[c.Service] >= rooms[c.Service]-slack
			assert.Assert(t, parts[c.Flow] >= c.Cores-slack || atLimit || full, "%+v gets %v beside free room", c, parts[c.Flow])
		}
	})
}

// Guarded against: an account gets less than its weight's part because another claims more.
func TestDivideGivesEachAccountItsWeightedShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rooms, claims, limits := division(t)
		parts := mfshare.Divide(rooms, claims, limits)
		weights := map[mothferry.ServiceID]float64{}
		for _, c := range claims {
			weights[c.Service] += c.Weight
		}
		for _, c := range claims {
			if _, bounded := limits[c.Account]; bounded {
				continue
			}
			due := min(c.Cores, rooms[c.Service]*c.Weight/weights[c.Service])
			assert.Assert(t, parts[c.Flow] >= due-slack, "%+v gets %v of %v", c, parts[c.Flow], due)
		}
	})
}

// Guarded against: what one account leaves is given to nobody, or not by weights.
func TestDivideRedistributesUnusedShares(t *testing.T) {
	flow := func(id mothferry.AccountID) mfshare.Flow { return mfshare.Flow{Service: "s", Account: id} }
	parts := mfshare.Divide(map[mothferry.ServiceID]float64{"s": 100}, []mfshare.Claim{
		{Flow: flow("little"), Weight: 5, Cores: 10},
		{Flow: flow("more"), Weight: 2, Cores: 500},
		{Flow: flow("most"), Weight: 1, Cores: 500},
		{Flow: flow("limited"), Weight: 5, Cores: 500},
	}, map[mothferry.AccountID]float64{"limited": 30})
	assert.DeepEqual(t, parts, map[mfshare.Flow]float64{flow("little"): 10, flow("more"): 40, flow("most"): 20, flow("limited"): 30})
}
