package mfowner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfrecord"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// polledFor returns what a host has seen that polled an unchanged head for d.
func polledFor(s observation, d time.Duration) observation {
	seen := observation{}.observe(s, testStart)
	for at := time.Duration(0); at <= d; at += 100 * time.Millisecond {
		seen = seen.observe(s, testStart.Add(at))
	}
	return seen
}

func ownedHead(cores mothferry.Millicores) observation {
	return observation{version: 7, maxCores: 800, head: mfrecord.Head{Holder: "h-1", Epoch: 3, Cores: cores}}
}

// Symptom: with a host of a fifth of a core as owner, leases lapsed and nearly
// all jobs of a fleet of 350 workers were too late.
// Events: all hosts start at once, a weak one claims the shard first.
// Cause: hosts claimed without regard to what they can do.
func TestStrongHostsClaimFirst(t *testing.T) {
	gone := polledFor(ownedHead(800), defaultLease)
	assert.Assert(t, gone.claimable("h-2", 800))
	assert.Assert(t, !gone.claimable("h-2", 192))
	assert.Assert(t, polledFor(ownedHead(800), defaultLease+weakClaimDelay).claimable("h-2", 192), "a weak owner is better than none")
	fresh := observation{maxCores: 800}
	assert.Assert(t, polledFor(fresh, initialClaimDelay).claimable("h-2", 800))
	assert.Assert(t, !polledFor(fresh, initialClaimDelay).claimable("h-2", 192))
}

func TestStrongHostReplacesWeakOwner(t *testing.T) {
	weak, strong := ownedHead(192), ownedHead(800)
	assert.Assert(t, !polledFor(weak, time.Second).claimable("h-2", 800))
	alive := observation{}.observe(weak, testStart)
	for at := time.Duration(0); at <= weakOwnerTenure; at += 100 * time.Millisecond {
		weak.version++
		strong.version = weak.version
		alive = alive.observe(weak, testStart.Add(at))
	}
	assert.Assert(t, alive.claimable("h-2", 800))
	assert.Assert(t, !alive.claimable("h-2", 192))
	other := observation{}.observe(strong, testStart).observe(strong, testStart.Add(time.Second))
	assert.Assert(t, !other.claimable("h-2", 800))
}

// An owner must not lose the shard because nobody could reach the store: when
// it is back, the head is seen as unchanged for the whole outage.
func TestStoreOutageDoesNotExpireLease(t *testing.T) {
	seen := polledFor(ownedHead(800), 500*time.Millisecond)
	seen = seen.observe(ownedHead(800), testStart.Add(20*time.Second))
	assert.Assert(t, !seen.claimable("h-2", 800))
}

// Symptom: after all hosts had lost power nobody owned the shard for 2.7 s.
// Cause: the former owner waited for its own earlier life's lease.
func TestRestartedOwnerReclaimsAtOnce(t *testing.T) {
	seen := observation{}.observe(ownedHead(800), testStart)
	assert.Assert(t, seen.claimable("h-1", 800))
	assert.Assert(t, !seen.claimable("h-2", 800))
}

// Symptom: jobs at the height of a turn were late for 1.7 s when an owner was gone.
// Events: an owner that commits forty times a second falls silent; the others wait for
// 1.1 s, as long as the store may take when it is a hundred times slower.
// Cause: how well the store was did not count, though each look at the head tells it.
func TestLeaseIsShorterOnFastStore(t *testing.T) {
	well := polledFor(ownedHead(800), minLease+100*time.Millisecond)
	well.readLatency = 7 * time.Millisecond
	assert.Assert(t, well.claimable("h-2", 800))
	assert.Equal(t, well.lastCommit(well.readAt.Add(time.Second)), well.firstReadAt)
	slow := well
	slow.readLatency = 250 * time.Millisecond
	assert.Assert(t, !slow.claimable("h-2", 800))
	unknown := well
	unknown.readLatency = 0
	assert.Assert(t, !unknown.claimable("h-2", 800))
	assert.Assert(t, minCallWindow < minLease, "machines are changed only while no other host can own the shard")
}

// polledWithLatency returns what a host has seen that looked at an unchanged head for d, on a store whose answers take so long.
func polledWithLatency(d, took time.Duration) observation {
	head := ownedHead(800)
	head.readLatency = took
	seen := observation{}.observe(head, testStart)
	for at := took + pollInterval; at <= d; at += took + pollInterval {
		seen = seen.observe(head, testStart.Add(at))
	}
	return seen
}

// A sound owner must not lose its shard on a slow store, where a commit alone takes two answers.
func TestOwnerKeepsShardOnSlowStore(t *testing.T) {
	const took = 600 * time.Millisecond
	for unchanged := time.Duration(0); unchanged <= 2*took+queuedCommitDelay; unchanged += 50 * time.Millisecond {
		assert.Assert(t, !polledWithLatency(unchanged, took).claimable("h-2", 800), "claimable after %v", unchanged)
	}
}

// queuedCommitDelay is how much longer than its answer a commit may be under way: one that waits for another.
const queuedCommitDelay = 1200 * time.Millisecond

// An owner that is gone must be replaced on a slow store as well, although looks are far apart.
func TestLostOwnerIsReplacedOnSlowStore(t *testing.T) {
	for _, took := range []time.Duration{7 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond, 850 * time.Millisecond} {
		assert.Assert(t, polledWithLatency(maxLease+took+pollInterval, took).claimable("h-2", 800), "looks of %v", took)
	}
}
