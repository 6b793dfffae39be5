package mfroute

import (
	"hash/fnv"
	"sort"

	"mothferry"
)

// Rank orders names by rendezvous hashing for one key: every daemon that
// knows the same names gets the same order without talking, and a name that
// comes or goes moves only its own places.
func Rank[T ~string](key string, names []T) []T {
	weights := make(map[T]uint64, len(names))
	for _, n := range names {
		weights[n] = weight(key, string(n))
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

func weight(key, name string) uint64 {
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

// Share returns how many of a runner's slots belong to one member. The shares
// of all members add up to the slots; the remainder goes to the members first
// in the runner's rendezvous order, so that it is spread over many runners.
func Share(task mothferry.TaskID, slots mothferry.Slots, members []mothferry.DaemonID, self mothferry.DaemonID) int {
	if len(members) == 0 {
		return 0
	}
	share := int(slots) / len(members)
	for i, m := range Rank(string(task), members) {
		if m == self {
			if i < int(slots)%len(members) {
				share++
			}
			return share
		}
	}
	return 0
}
