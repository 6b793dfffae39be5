package mfowner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfrecord"
)

// Symptom: on some plays of one day two thirds of the jobs of six seconds were late,
// on others none: it went by which host owned the shard.
// Events: the owner's host, or the one that takes over, is slowed to a fifth.
// Cause: a host's share of processors was taken from its settings alone.
func TestSlowedHostCountsAsWeak(t *testing.T) {
	o := &Owner{Cores: 800}
	for range probeSamples {
		o.speed.addSample(100 * time.Microsecond)
	}
	assert.Equal(t, o.cores(), mothferry.Millicores(800))
	// One reading says nothing, whether it was interrupted or mistaken.
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
	assert.Assert(t, !s.claimable("h-1", o.cores()), "the others go first")
	// A sound host takes the shard from an owner that is slowed.
	s = observation{version: 1, maxCores: 800, firstReadAt: now, readAt: now, ownerFirstReadAt: now.Add(-time.Minute), head: mfrecord.Head{Holder: "h-1", Cores: o.cores()}}
	assert.Assert(t, s.claimable("h-2", 800))

	for range probeSamples {
		o.speed.addSample(110 * time.Microsecond)
	}
	assert.Equal(t, o.cores(), mothferry.Millicores(800))
}
