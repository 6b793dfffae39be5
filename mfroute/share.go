package mfroute

import (
	"hash/fnv"
	"maps"
	"slices"
	"sort"

	"mothferry"
)

// Rank orders names by rendezvous hashing for one key: every daemon that
// knows the same names gets the same order without talking, and a name that
// comes or goes moves only its own places.
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

// mix spreads FNV's weak high bits over the whole word (the finaliser of
// SplitMix64); unmixed, names with a common prefix are ranked alike.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Shares divides every runner's slots among the members in proportion to their
// weights, and returns the part of self. Each runner's shares add up to its
// slots. What rounding leaves over on one runner is carried to the next, so
// that a member whose part of one runner is less than a slot still gets its
// part of the whole. Members that know the same weights work out the same
// shares.
func Shares(slots []mothferry.Slots, weights map[mothferry.DaemonID]float64, self mothferry.DaemonID) []int {
	members := slices.Sorted(maps.Keys(weights))
	total := 0.0
	for _, m := range members {
		total += weights[m]
	}
	own := make([]int, len(slots))
	due := make([]float64, len(members))
	for i, n := range slots {
		left := int(n)
		given := make([]int, len(members))
		for j, m := range members {
			due[j] += float64(n) * weights[m] / total
			given[j] = min(max(int(due[j]), 0), left)
			left -= given[j]
		}
		for ; left > 0; left-- {
			given[largestDeficit(due, given)]++
		}
		for j, m := range members {
			due[j] -= float64(given[j])
			if m == self {
				own[i] = given[j]
			}
		}
	}
	return own
}

// roundingTolerance is far above the error of the sums in Shares and far below a slot.
const roundingTolerance = 1e-9

// largestDeficit returns the member that is owed most, the first of several.
func largestDeficit(due []float64, given []int) int {
	best := 0
	for j := range due {
		if due[j]-float64(given[j]) > due[best]-float64(given[best])+roundingTolerance {
			best = j
		}
	}
	return best
}
