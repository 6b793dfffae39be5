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
	// probeInterval is the pause between two readings.
	probeInterval = 300 * time.Millisecond
	// probeSamples is of how many readings the one in the middle counts: a single
	// one may have been interrupted.
	probeSamples = 5
	// slowdownThreshold is from which factor on a host counts as slowed. Sound hosts whose
	// processors others use too were seen at 3; hosts slowed to a fifth at 7.5.
	slowdownThreshold = 4
)

// speed compares a host's speed with its own best. The zero value is ready for use.
type speed struct {
	samples []time.Duration
	// median is the reading in the middle of the last ones, best the least that
	// this ever was.
	median, best time.Duration
	nextProbe    time.Time
	// loggedSlow is what was told last.
	loggedSlow bool
}

// probeSpeed takes a reading if it is time for one, and logs when the host turns
// out to be slowed down, or no longer is.
func (o *Owner) probeSpeed() {
	s := &o.speed
	began := o.Clock.Now()
	if began.Before(s.nextProbe) {
		return
	}
	s.nextProbe = began.Add(probeInterval)
	h := fnv.New64a()
	_, _ = h.Write(probeData)
	s.addSample(o.Clock.Now().Sub(began))
	factor := s.slowdown()
	if slowed := factor > 1; slowed != s.loggedSlow {
		s.loggedSlow = slowed
		o.Log.WithField("factor", factor).WithField("millicores", o.cores()).Info("host's speed has changed")
	}
}

// probeData is what is hashed.
var probeData = make([]byte, probeBytes)

func (s *speed) addSample(took time.Duration) {
	if took <= 0 {
		return
	}
	s.samples = append(s.samples, took)
	if len(s.samples) < probeSamples {
		return
	}
	s.samples = s.samples[len(s.samples)-probeSamples:]
	s.median = slices.Sorted(slices.Values(s.samples))[probeSamples/2]
	if s.best == 0 || s.median < s.best {
		s.best = s.median
	}
}

// slowdown is by which factor the host is slowed now, 1 if it is not.
func (s *speed) slowdown() float64 {
	if s.best == 0 {
		return 1
	}
	factor := float64(s.median) / float64(s.best)
	if factor < slowdownThreshold {
		return 1
	}
	return factor
}

// cores is the host's share of processors as far as it can use it now.
func (o *Owner) cores() mothferry.Millicores {
	return mothferry.Millicores(float64(o.Cores) / o.speed.slowdown())
}
