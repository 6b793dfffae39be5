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

// Compare orders flows.
func (l Flow) Compare(o Flow) int {
	return cmp.Or(cmp.Compare(l.Service, o.Service), cmp.Compare(l.Account, o.Account))
}

// Claim is what an account could use of a service's room.
type Claim struct {
	Flow
	// Weight is the account's; one that is not positive counts as LeastWeight.
	Weight float64
	// Cores is what the account could use.
	Cores float64
}

// DefaultWeight is the weight of accounts that have none, and of work of no account.
const DefaultWeight = 1

// Divide divides the cores of services by weighted max-min fairness (water-filling):
// nobody gets more than it claims, no account more over all services than its limit, and
// what one leaves goes to the others by their weights. An account that is not in limits
// has none. The result holds the part of each flow, in cores.
//
// The load it answers: accounts that ask for far more than their part beside others that
// ask for less than theirs.
func Divide(rooms map[mothferry.ServiceID]float64, claims []Claim, limits map[mothferry.AccountID]float64) map[Flow]float64 {
	byService := map[mothferry.ServiceID][]Claim{}
	for _, c := range claims {
		byService[c.Service] = append(byService[c.Service], c)
	}
	limited := map[mothferry.AccountID]bool{}
	for {
		parts := map[Flow]float64{}
		sums := map[mothferry.AccountID]float64{}
		for _, service := range slices.Sorted(maps.Keys(byService)) {
			waterFill(rooms[service], byService[service], parts)
		}
		for _, c := range claims {
			sums[c.Account] += parts[c.Flow]
		}
		over := false
		for id, sum := range sums {
			if most, has := limits[id]; has && sum > most && !limited[id] {
				over, limited[id] = true, true
				// Others' limits only leave more room to this account, so that what it
				// may have of each service stays within its limit from here on.
				scaleClaims(byService, id, parts, most/sum)
			}
		}
		if !over {
			return parts
		}
	}
}

// scaleClaims sets an account's claims to a factor of what it got.
func scaleClaims(byService map[mothferry.ServiceID][]Claim, id mothferry.AccountID, parts map[Flow]float64, factor float64) {
	for _, claims := range byService {
		for i := range claims {
			if claims[i].Account == id {
				claims[i].Cores = parts[claims[i].Flow] * factor
			}
		}
	}
}

// waterFill divides the room of one service.
func waterFill(room float64, claims []Claim, parts map[Flow]float64) {
	order := slices.Clone(claims)
	weights := 0.0
	for i := range order {
		if order[i].Weight <= 0 {
			order[i].Weight = DefaultWeight
		}
		weights += order[i].Weight
	}
	slices.SortFunc(order, func(a, b Claim) int {
		return cmp.Or(cmp.Compare(a.Cores/a.Weight, b.Cores/b.Weight), cmp.Compare(a.Account, b.Account))
	})
	left := max(0, room)
	for _, c := range order {
		part := max(0, min(c.Cores, left*c.Weight/weights))
		parts[c.Flow] += part
		left, weights = max(0, left-part), weights-c.Weight
	}
}
