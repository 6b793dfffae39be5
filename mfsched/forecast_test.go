package mfsched_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfdemand"
	"mothferry/mfsched"
)

// simulateArrivals has jobs of one core-second arrive at random at a changing rate and
// returns the demand each 100 ms.
func simulateArrivals(t *testing.T, d time.Duration, rate func(at time.Duration) float64) map[time.Duration]mfdemand.Demand {
	t.Helper()
	s := newScript(t)
	s.step(mfsched.JobsLoaded{})
	r := rand.New(rand.NewPCG(1, 2))
	out := map[time.Duration]mfdemand.Demand{}
	n := 0
	for at := time.Duration(0); at < d; at += time.Millisecond {
		s.now = startTime.Add(at)
		if r.Float64() < rate(at)/1000 {
			n++
			job := submission(s.now, 1)
			job.Steps[0].Estimate = time.Second
			s.step(mfsched.JobFound{Job: mothferry.JobID(fmt.Sprintf("%016x", n)), Submission: job})
		}
		if at%(100*time.Millisecond) == 0 {
			out[at] = s.state.Demands(s.now)[service]
		}
	}
	return out
}

// The demand rises evenly by 40 cores a second: what is asked for now is as much
// as comes three seconds later, where a rate of what came is half a second late.
func TestRisingDemandIsForecast(t *testing.T) {
	demands := simulateArrivals(t, 6*time.Second, func(at time.Duration) float64 { return 40 * at.Seconds() })
	late, off := 0.0, 0.0
	for at := 3 * time.Second; at < 6*time.Second; at += 100 * time.Millisecond {
		late += (demands[at].Arriving.Cores - 40*at.Seconds()) / 30
		off += (demands[at].Forecast.Cores - 40*(at.Seconds()+3)) / 30
	}
	assert.Assert(t, late < -10, "%.1f", late)
	assert.Assert(t, off > -50 && off < 30, "%.1f", off)
}

// Even demand is not taken for a change of it: random arrivals alone raise the
// forecast by less than a third on average.
func TestSteadyDemandForecastStaysSteady(t *testing.T) {
	demands := simulateArrivals(t, 20*time.Second, func(time.Duration) float64 { return 60 })
	mean := 0.0
	for at := 5 * time.Second; at < 20*time.Second; at += 100 * time.Millisecond {
		mean += demands[at].Forecast.Cores / 150
	}
	assert.Assert(t, mean > 45 && mean < 80, "%.1f", mean)
}

// After its turn a pool's demand is forecast to be gone, not below nothing.
func TestFallingDemandIsForecast(t *testing.T) {
	demands := simulateArrivals(t, 8*time.Second, func(at time.Duration) float64 { return 40 * max(0, 4-at.Seconds()) })
	for at := 4 * time.Second; at < 8*time.Second; at += 100 * time.Millisecond {
		assert.Assert(t, demands[at].Forecast.Cores >= 0 && demands[at].Forecast.Cores < 25, "%v: %.1f", at, demands[at].Forecast.Cores)
	}
}
