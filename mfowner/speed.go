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
	// slowedFrom is from which factor on a host counts as slowed. Sound hosts whose
	// processors others use too were seen at 3; hosts slowed to a fifth at 7.5.
	slowedFrom = 4
)

// speed compares a host's speed with its own best. The zero value is ready for use.
type speed struct {
	readings []time.Duration
	// middle is the reading in the middle of the last ones, best the least that
	// this ever was.
	middle, best time.Duration
	next         time.Time
	// slowed is what was told last.
	slowed bool
}

// probeSpeed takes a reading if it is time for one, and logs when the host turns
// out to be slowed down, or no longer is.
func (o *Owner) probeSpeed() {
	s := &o.speed
	began := o.Clock.Now()
	if began.Before(s.next) {
		return
	}
	s.next = began.Add(probeEvery)
	h := fnv.New64a()
	_, _ = h.Write(probeData)
	s.take(o.Clock.Now().Sub(began))
	factor := s.slowdown()
	if slowed := factor > 1; slowed != s.slowed {
		s.slowed = slowed
		o.Log.WithField("factor", factor).WithField("millicores", o.cores()).Info("host's speed has changed")
	}
}

// probeData is what is hashed.
var probeData = make([]byte, probeBytes)

func (s *speed) take(took time.Duration) {
	if took <= 0 {
		return
	}
	s.readings = append(s.readings, took)
	if len(s.readings) < probeReadings {
		return
	}
	s.readings = s.readings[len(s.readings)-probeReadings:]
	s.middle = slices.Sorted(slices.Values(s.readings))[probeReadings/2]
	if s.best == 0 || s.middle < s.best {
		s.best = s.middle
	}
}

// slowdown is by which factor the host is slowed now, 1 if it is not.
func (s *speed) slowdown() float64 {
	if s.best == 0 {
		return 1
	}
	factor := float64(s.middle) / float64(s.best)
	if factor < slowedFrom {
		return 1
	}
	return factor
}

// cores is the host's share of processors as far as it can use it now.
func (o *Owner) cores() mothferry.Millicores {
	return mothferry.Millicores(float64(o.Cores) / o.speed.slowdown())
}
