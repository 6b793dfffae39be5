package mfowner

import (
	"hash/fnv"
	"slices"
	"time"

	"mothferry"
)

// What goes wrong: a host that is slowed down to a part of its speed owns the
// shard, or takes it over. It looks well and answers, but its orders and commits
// are late for as long as that lasts, and most jobs miss their aim. One notices by
// calls that take long at one host alone. A host therefore compares its speed with
// what it once was, and counts as a weaker one while it is slowed.

// Figures of the measuring of a host's speed.
const (
	// probeBytes are hashed for one reading: some 0.1 ms.
	probeBytes = 64 << 10
	// probeEvery is the pause between two readings.
	probeEvery = 300 * time.Millisecond
	// probeReadings is of how many readings the one in the middle counts: a single
	// one may have been interrupted.
	probeReadings = 5
	// slowedFrom is from which factor on a host counts as slowed; below it the
	// readings of a sound host vary.
	slowedFrom = 2.5
)

// speed compares a host's speed with its own best. The zero value is ready for use.
type speed struct {
	best     time.Duration
	readings []time.Duration
	next     time.Time
}

// probe takes a reading if it is time for one.
func (s *speed) probe(clock mothferry.Clock) {
	began := clock.Now()
	if began.Before(s.next) {
		return
	}
	s.next = began.Add(probeEvery)
	h := fnv.New64a()
	_, _ = h.Write(probeData)
	s.take(clock.Now().Sub(began))
}

// probeData is what is hashed.
var probeData = make([]byte, probeBytes)

func (s *speed) take(took time.Duration) {
	if took <= 0 {
		return
	}
	if s.best == 0 || took < s.best {
		s.best = took
	}
	s.readings = append(s.readings, took)
	if len(s.readings) > probeReadings {
		s.readings = s.readings[1:]
	}
}

// slowdown is by which factor the host is slowed now, 1 if it is not.
func (s *speed) slowdown() float64 {
	if len(s.readings) < probeReadings {
		return 1
	}
	middle := slices.Sorted(slices.Values(s.readings))[probeReadings/2]
	factor := float64(middle) / float64(s.best)
	if factor < slowedFrom {
		return 1
	}
	return factor
}

// cores is the host's share of processors as far as it can use it now.
func (o *Owner) cores() mothferry.Millicores {
	return mothferry.Millicores(float64(o.Cores) / o.speed.slowdown())
}
