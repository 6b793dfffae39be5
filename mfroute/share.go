package mfroute

import (
	"hash/fnv"
	"maps"
	"slices"
	"sort"

	"mothferry"
)

// Rank orders names by rendezvous hashing for one key: daemons that know the same names
// compute the same order without communication, and adding or removing a name leaves the order
// of the others unchanged.
func Rank[T ~string](key string, names []T) []T {
	weights := make(map[T]uint64, len(names))
	for _, n := range names {
		weights[n] = rankWeight(key, string(n))
	}
	ranked := append([]T{}, names...)
	sort.Slice(ranked, func(i, j int) bool {
		if weights[ranked[i]] != weights[ranked[j]] {
			return weights[ranked[i]] > weights[ranked[j]]
		}
		return ranked[i] < ranked[j]
	})
	return ranked
}

func rankWeight(key, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(name))
	return mix(h.Sum64())
}

// mix spreads FNV's weak high bits over all bits (the finaliser of SplitMix64). Without it,
// names with a common prefix get similar ranks.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Shares divides every runner's slots among the members in proportion to their weights, and
// returns the shares of self. Each runner's shares add up to its slots. The rounding remainder
// of one runner is carried to the next, so that a member whose part of one runner is less than
// a slot still gets its part of the total. Members that know the same weights compute the same
// shares.
func Shares(slots []mothferry.Slots, weights map[mothferry.DaemonID]float64, self mothferry.DaemonID) []int {
	members := slices.Sorted(maps.Keys(weights))
	total := 0.0
	for _, m := range members {
		total += weights[m]
	}
	own := make([]int, len(slots))
	deficit := make([]float64, len(members))
	for i, n := range slots {
		remaining := int(n)
		assigned := make([]int, len(members))
		for j, m := range members {
			deficit[j] += float64(n) * weights[m] / total
			assigned[j] = min(max(int(deficit[j]), 0), remaining)
			remaining -= assigned[j]
		}
		for ; remaining > 0; remaining-- {
			assigned[largestDeficit(deficit, assigned)]++
		}
		for j, m := range members {
			deficit[j] -= float64(assigned[j])
			if m == self {
				own[i] = assigned[j]
			}
		}
	}
	return own
}

// roundingTolerance is far above the rounding error of the sums in Shares and far below a
// slot.
const roundingTolerance = 1e-9

// largestDeficit returns the member with the largest deficit, the first among equals.
func largestDeficit(deficit []float64, assigned []int) int {
	best := 0
	for j := range deficit {
		if deficit[j]-float64(assigned[j]) > deficit[best]-float64(assigned[best])+roundingTolerance {
			best = j
		}
	}
	return best
}
