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
