package mfdemand_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry/mfdemand"
)

// The forecast must have the same proportion of memory to cores as the jobs that arrived.
func TestMemoryIsForecastLikeCores(t *testing.T) {
	var a mfdemand.Arrivals
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	assert.Equal(t, a.Forecast(now, mfdemand.ForecastHorizon), mfdemand.Amount{})
	for range 500 {
		now = now.Add(10 * time.Millisecond)
		a.Add(mfdemand.Amount{Cores: 0.5, Memory: 4}, now)
	}
	for _, ahead := range []time.Duration{0, mfdemand.ForecastHorizon} {
		n := a.Forecast(now, ahead)
		assert.Assert(t, math.Abs(n.Cores-50) < 5, "%v", n)
		assert.Assert(t, math.Abs(n.Memory/n.Cores-8) < 1e-6, "%v", n)
	}
}
