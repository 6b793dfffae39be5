package mfowner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfrecord"
)

// Guards against a throttled host that owns the shard or takes it over. With the CPU share
// taken from the settings alone, an owner throttled to a fifth made two thirds of the jobs of
// six seconds late.
func TestSlowedHostCountsAsWeak(t *testing.T) {
	o := &Owner{Cores: 800}
	for range probeSamples {
		o.speed.addSample(100 * time.Microsecond)
	}
	assert.Equal(t, o.cores(), mothferry.Millicores(800))
	// A single sample must not matter, whether it was interrupted or too short.
	o.speed.addSample(time.Microsecond)
	o.speed.addSample(5 * time.Millisecond)
	assert.Equal(t, o.cores(), mothferry.Millicores(800))
	for range probeSamples {
		o.speed.addSample(500 * time.Microsecond)
	}
	assert.Equal(t, o.cores(), mothferry.Millicores(160))

	now := time.Now()
	s := observation{version: 1, maxCores: 800, firstReadAt: now, readAt: now.Add(defaultLease), head: mfrecord.Head{Holder: "h-2", Cores: 800}}
	assert.Assert(t, s.claimable("h-1", 800))
	assert.Assert(t, !s.claimable("h-1", o.cores()), "stronger hosts claim first")
	// A healthy host takes the shard from a throttled owner.
	s = observation{version: 1, maxCores: 800, firstReadAt: now, readAt: now, ownerFirstReadAt: now.Add(-time.Minute), head: mfrecord.Head{Holder: "h-1", Cores: o.cores()}}
	assert.Assert(t, s.claimable("h-2", 800))

	for range probeSamples {
		o.speed.addSample(110 * time.Microsecond)
	}
	assert.Equal(t, o.cores(), mothferry.Millicores(800))
}
