package mfowner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfrecord"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// watched returns what a host has seen that polled an unchanged head for d.
func watched(s sighting, d time.Duration) sighting {
	seen := sighting{}.observe(s, start)
	for at := time.Duration(0); at <= d; at += 100 * time.Millisecond {
		seen = seen.observe(s, start.Add(at))
	}
	return seen
}

func owned(cores mothferry.Millicores) sighting {
	return sighting{version: 7, strongest: 800, head: mfrecord.Head{Holder: "h-1", Epoch: 3, Cores: cores}}
}

// Symptom: with a host of a fifth of a core as owner, leases lapsed and nearly
// all jobs of a fleet of 350 workers were too late.
// Events: all hosts start at once, a weak one claims the shard first.
// Cause: hosts claimed without regard to what they can do.
func TestWeakHostsLeaveTheShardToStrongOnes(t *testing.T) {
	gone := watched(owned(800), ownerLease)
	assert.Assert(t, gone.claimable("h-2", 800))
	assert.Assert(t, !gone.claimable("h-2", 192))
	assert.Assert(t, watched(owned(800), ownerLease+weakPatience).claimable("h-2", 192), "a weak owner is better than none")
	fresh := sighting{strongest: 800}
	assert.Assert(t, watched(fresh, firstClaim).claimable("h-2", 800))
	assert.Assert(t, !watched(fresh, firstClaim).claimable("h-2", 192))
}

func TestStrongHostRelievesWeakOwner(t *testing.T) {
	weak, strong := owned(192), owned(800)
	assert.Assert(t, !watched(weak, time.Second).claimable("h-2", 800))
	alive := sighting{}.observe(weak, start)
	for at := time.Duration(0); at <= relieveAfter; at += 100 * time.Millisecond {
		weak.version++
		strong.version = weak.version
		alive = alive.observe(weak, start.Add(at))
	}
	assert.Assert(t, alive.claimable("h-2", 800))
	assert.Assert(t, !alive.claimable("h-2", 192))
	other := sighting{}.observe(strong, start).observe(strong, start.Add(time.Second))
	assert.Assert(t, !other.claimable("h-2", 800))
}

// An owner must not lose the shard because nobody could reach the store: when
// it is back, the head is seen as unchanged for the whole outage.
func TestOutageIsNoOwnersSilence(t *testing.T) {
	seen := watched(owned(800), 500*time.Millisecond)
	seen = seen.observe(owned(800), start.Add(20*time.Second))
	assert.Assert(t, !seen.claimable("h-2", 800))
}

// Symptom: after all hosts had lost power nobody owned the shard for 2.7 s.
// Cause: the former owner waited for its own earlier life's lease.
func TestRestartedOwnerNeedNotWaitForItself(t *testing.T) {
	seen := sighting{}.observe(owned(800), start)
	assert.Assert(t, seen.claimable("h-1", 800))
	assert.Assert(t, !seen.claimable("h-2", 800))
}

// Symptom: jobs at the height of a turn were late for 1.7 s when an owner was gone.
// Events: an owner that commits forty times a second falls silent; the others wait for
// 1.1 s, as long as the store may take when it is a hundred times slower.
// Cause: how well the store was did not count, though each look at the head tells it.
func TestSilenceIsShorterOnAStoreThatIsWell(t *testing.T) {
	well := watched(owned(800), shortLease+100*time.Millisecond)
	well.took = 7 * time.Millisecond
	assert.Assert(t, well.claimable("h-2", 800))
	assert.Equal(t, well.lastCommit(well.read.Add(time.Second)), well.since)
	slow := well
	slow.took = 250 * time.Millisecond
	assert.Assert(t, !slow.claimable("h-2", 800))
	unknown := well
	unknown.took = 0
	assert.Assert(t, !unknown.claimable("h-2", 800))
	assert.Assert(t, callWithin < shortLease, "machines are changed only while no other host can own the shard")
}

// lookedAt returns what a host has seen that looked at an unchanged head for d, on a store whose answers take so long.
func lookedAt(d, took time.Duration) sighting {
	head := owned(800)
	head.took = took
	seen := sighting{}.observe(head, start)
	for at := took + pollEvery; at <= d; at += took + pollEvery {
		seen = seen.observe(head, start.Add(at))
	}
	return seen
}

// A sound owner must not lose its shard on a slow store, where a commit alone takes two answers.
func TestSlowStoreKeepsItsOwner(t *testing.T) {
	const took = 600 * time.Millisecond
	for unchanged := time.Duration(0); unchanged <= 2*took+renewalOnSlowStore; unchanged += 50 * time.Millisecond {
		assert.Assert(t, !lookedAt(unchanged, took).claimable("h-2", 800), "claimable after %v", unchanged)
	}
}

// renewalOnSlowStore is how much longer than its answer a commit may be under way: one that waits for another.
const renewalOnSlowStore = 1200 * time.Millisecond

// An owner that is gone must be replaced on a slow store as well, although looks are far apart.
func TestLostOwnerIsReplacedOnASlowStore(t *testing.T) {
	for _, took := range []time.Duration{7 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond, 850 * time.Millisecond} {
		assert.Assert(t, lookedAt(longestLease+took+pollEvery, took).claimable("h-2", 800), "looks of %v", took)
	}
}
