package mfshare

import (
	"cmp"
	"maps"
	"slices"

	"mothferry"
)

// Flow is the work of one account in one service.
type Flow struct {
	Service mothferry.ServiceID
	Account mothferry.AccountID
}

// Compare orders flows by service, then account.
func (f Flow) Compare(o Flow) int {
	return cmp.Or(cmp.Compare(f.Service, o.Service), cmp.Compare(f.Account, o.Account))
}

// Claim is what an account could use of a service's capacity.
type Claim struct {
	Flow
	// Weight is the account's; one that is not positive counts as DefaultWeight.
	Weight float64
	// Cores is what the account could use.
	Cores float64
}

// DefaultWeight is the weight of accounts without one, and of work of no account.
const DefaultWeight = 1

// Divide divides the cores of services by weighted max-min fairness (water-filling): no
// account gets more than it claims, nor more over all services than its limit, and unused
// shares go to the others by their weights. An account that is not in limits has none. The
// result holds the share of each flow, in cores.
func Divide(capacities map[mothferry.ServiceID]float64, claims []Claim, limits map[mothferry.AccountID]float64) map[Flow]float64 {
	byService := map[mothferry.ServiceID][]Claim{}
	for _, c := range claims {
		byService[c.Service] = append(byService[c.Service], c)
	}
	limited := map[mothferry.AccountID]bool{}
	for {
		shares := map[Flow]float64{}
		sums := map[mothferry.AccountID]float64{}
		for _, service := range slices.Sorted(maps.Keys(byService)) {
			waterFill(capacities[service], byService[service], shares)
		}
		for _, c := range claims {
			sums[c.Account] += shares[c.Flow]
		}
		exceeded := false
		for id, sum := range sums {
			if limit, ok := limits[id]; ok && sum > limit && !limited[id] {
				exceeded, limited[id] = true, true
				// Limits of other accounts only leave more capacity to this one, so that its
				// lowered claims keep it within its limit in all later rounds.
				scaleClaims(byService, id, shares, limit/sum)
			}
		}
		if !exceeded {
			return shares
		}
	}
}

// scaleClaims sets an account's claims to its shares multiplied by a factor.
func scaleClaims(byService map[mothferry.ServiceID][]Claim, id mothferry.AccountID, shares map[Flow]float64, factor float64) {
	for _, claims := range byService {
		for i := range claims {
			if claims[i].Account == id {
				claims[i].Cores = shares[claims[i].Flow] * factor
			}
		}
	}
}

// waterFill divides the capacity of one service.
func waterFill(capacity float64, claims []Claim, shares map[Flow]float64) {
	sorted := slices.Clone(claims)
	weights := 0.0
	for i := range sorted {
		if sorted[i].Weight <= 0 {
			sorted[i].Weight = DefaultWeight
		}
		weights += sorted[i].Weight
	}
	slices.SortFunc(sorted, func(a, b Claim) int {
		return cmp.Or(cmp.Compare(a.Cores/a.Weight, b.Cores/b.Weight), cmp.Compare(a.Account, b.Account))
	})
	remaining := max(0, capacity)
	for _, c := range sorted {
		share := max(0, min(c.Cores, remaining*c.Weight/weights))
		shares[c.Flow] += share
		remaining, weights = max(0, remaining-share), weights-c.Weight
	}
}
