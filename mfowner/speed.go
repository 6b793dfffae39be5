package mfowner

import (
	"hash/fnv"
	"slices"
	"time"

	"mothferry"
)

// A throttled host that owns the shard, or takes it over, looks healthy and answers, but its
// orders and commits are late for as long as the throttling lasts, and most jobs miss their
// objective. It shows in calls that take long at one host only. Each host therefore compares
// its speed with its own best, and counts as weaker while it is throttled.

const (
	// probeBytes is how much one sample hashes: it takes some 0.1 ms.
	probeBytes = 64 << 10
	// probeInterval is the pause between two samples.
	probeInterval = 300 * time.Millisecond
	// probeSamples is the number of samples for the median: a single sample may have been
	// interrupted.
	probeSamples = 5
	// slowdownThreshold is the factor from which a host counts as throttled. Healthy hosts
	// with shared CPUs reach 3, hosts throttled to a fifth of their speed 7.5.
	slowdownThreshold = 4
)

// speed compares a host's current speed with its own best. The zero value is ready for use.
type speed struct {
	samples []time.Duration
	// median is the median of the last samples, best the lowest median so far.
	median, best time.Duration
	nextProbe    time.Time
	// loggedSlow is the state that was last logged.
	loggedSlow bool
}

// probeSpeed takes a sample when the next one is due, and logs when the host becomes throttled
// or recovers.
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
	if slow := factor > 1; slow != s.loggedSlow {
		s.loggedSlow = slow
		o.Log.WithField("factor", factor).WithField("millicores", o.cores()).Info("host speed changed")
	}
}

// probeData is the data that a sample hashes.
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

// slowdown returns the factor by which the host is slowed down now; 1 if it is not.
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

// cores returns the host's CPU share, reduced by its slowdown.
func (o *Owner) cores() mothferry.Millicores {
	return mothferry.Millicores(float64(o.Cores) / o.speed.slowdown())
}
