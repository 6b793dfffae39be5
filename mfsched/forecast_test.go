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

// simulateArrivals submits jobs of one core-second at random times and at a changing rate, and
// returns the demand every 100 ms.
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

// The demand rises steadily by 40 cores a second. The forecast must be as high as the demand three
// seconds later, whereas the measured arrival rate lags behind by half a second.
func TestRisingDemandIsForecast(t *testing.T) {
	demands := simulateArrivals(t, 6*time.Second, func(at time.Duration) float64 { return 40 * at.Seconds() })
	lag, forecastError := 0.0, 0.0
	for at := 3 * time.Second; at < 6*time.Second; at += 100 * time.Millisecond {
		lag += (demands[at].Arriving.Cores - 40*at.Seconds()) / 30
		forecastError += (demands[at].Forecast.Cores - 40*(at.Seconds()+3)) / 30
	}
	assert.Assert(t, lag < -10, "%.1f", lag)
	assert.Assert(t, forecastError > -50 && forecastError < 30, "%.1f", forecastError)
}

// Steady demand must not be taken for a change: random arrivals alone must raise the forecast by
// less than a third on average.
func TestSteadyDemandForecastStaysSteady(t *testing.T) {
	demands := simulateArrivals(t, 20*time.Second, func(time.Duration) float64 { return 60 })
	mean := 0.0
	for at := 5 * time.Second; at < 20*time.Second; at += 100 * time.Millisecond {
		mean += demands[at].Forecast.Cores / 150
	}
	assert.Assert(t, mean > 45 && mean < 80, "%.1f", mean)
}

// After a pool's demand peak the forecast must fall to about zero, and not below it.
func TestFallingDemandIsForecast(t *testing.T) {
	demands := simulateArrivals(t, 8*time.Second, func(at time.Duration) float64 { return 40 * max(0, 4-at.Seconds()) })
	for at := 4 * time.Second; at < 8*time.Second; at += 100 * time.Millisecond {
		assert.Assert(t, demands[at].Forecast.Cores >= 0 && demands[at].Forecast.Cores < 25, "%v: %.1f", at, demands[at].Forecast.Cores)
	}
}
