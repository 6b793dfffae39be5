package mfusage

import (
	"testing"

	"gotest.tools/v3/assert"

	"mothferry"
)

// The heap grows to a third of the host's memory between two collections, and by its own size where
// that is more.
func TestCollectorPercent(t *testing.T) {
	const mebibyte = mothferry.Mebibyte
	for _, c := range []struct {
		memory, live mothferry.Bytes
		expected     int
	}{
		{536 * mebibyte, 30 * mebibyte, 400},
		{536 * mebibyte, 60 * mebibyte, 150},
		{536 * mebibyte, 300 * mebibyte, defaultPercent},
		{184 * mebibyte, 30 * mebibyte, defaultPercent},
		{184 * mebibyte, 0, defaultPercent},
	} {
		percent := collectorPercent(c.memory, c.live)
		assert.Equal(t, percent, c.expected, "%v", c)
		if percent > defaultPercent {
			assert.Assert(t, float64(c.live)*(1+float64(percent)/100) <= float64(c.memory)/3)
		}
	}
}
