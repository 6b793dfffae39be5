package mfowner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mothferry"
	"mothferry/mfrecord"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// polledFor returns the observation of a host that polled an unchanged head for d.
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

// Guards against a claim by a weak host when all hosts start at once. With an owner that has a
// fifth of a core, leases expired and nearly all jobs of a fleet of 350 workers were late.
func TestStrongHostsClaimFirst(t *testing.T) {
	lost := polledFor(ownedHead(800), defaultLease)
	assert.Assert(t, lost.claimable("h-2", 800))
	assert.Assert(t, !lost.claimable("h-2", 192))
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

// An owner must not lose the shard because no host could reach the store: afterwards the head
// appears unchanged for the whole outage.
func TestStoreOutageDoesNotExpireLease(t *testing.T) {
	seen := polledFor(ownedHead(800), 500*time.Millisecond)
	seen = seen.observe(ownedHead(800), testStart.Add(20*time.Second))
	assert.Assert(t, !seen.claimable("h-2", 800))
}

// A restarted owner must not wait for the lease of its own earlier incarnation. After a power
// loss at all hosts that left the shard without an owner for 2.7 s.
func TestRestartedOwnerReclaimsAtOnce(t *testing.T) {
	seen := observation{}.observe(ownedHead(800), testStart)
	assert.Assert(t, seen.claimable("h-1", 800))
	assert.Assert(t, !seen.claimable("h-2", 800))
}

// Guards against a lease that ignores the health of the store. With the 1.1 s that suits a
// store a hundred times slower, jobs at a traffic peak were late for 1.7 s after the loss of an
// owner that commits forty times per second.
func TestLeaseIsShorterOnFastStore(t *testing.T) {
	fast := polledFor(ownedHead(800), minLease+100*time.Millisecond)
	fast.readLatency = 7 * time.Millisecond
	assert.Assert(t, fast.claimable("h-2", 800))
	assert.Equal(t, fast.lastCommit(fast.readAt.Add(time.Second)), fast.firstReadAt)
	slow := fast
	slow.readLatency = 250 * time.Millisecond
	assert.Assert(t, !slow.claimable("h-2", 800))
	unknown := fast
	unknown.readLatency = 0
	assert.Assert(t, !unknown.claimable("h-2", 800))
	assert.Assert(t, minCallWindow < minLease, "machines are changed only while no other host can own the shard")
}

// polledWithLatency returns the observation of a host that polled an unchanged head for d, on
// a store with the given read latency.
func polledWithLatency(d, latency time.Duration) observation {
	head := ownedHead(800)
	head.readLatency = latency
	seen := observation{}.observe(head, testStart)
	for at := latency + pollInterval; at <= d; at += latency + pollInterval {
		seen = seen.observe(head, testStart.Add(at))
	}
	return seen
}

// A healthy owner must not lose its shard on a slow store, where a single commit takes two
// answers.
func TestOwnerKeepsShardOnSlowStore(t *testing.T) {
	const latency = 600 * time.Millisecond
	for unchanged := time.Duration(0); unchanged <= 2*latency+queuedCommitDelay; unchanged += 50 * time.Millisecond {
		assert.Assert(t, !polledWithLatency(unchanged, latency).claimable("h-2", 800), "claimable after %v", unchanged)
	}
}

// queuedCommitDelay is how much longer than its own answer a commit may take if it waits for
// another one.
const queuedCommitDelay = 1200 * time.Millisecond

// A lost owner must be replaced on a slow store too, although polls are far apart.
func TestLostOwnerIsReplacedOnSlowStore(t *testing.T) {
	for _, latency := range []time.Duration{7 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond, 850 * time.Millisecond} {
		assert.Assert(t, polledWithLatency(maxLease+latency+pollInterval, latency).claimable("h-2", 800), "read latency %v", latency)
	}
}

// A new owner must not take the leases of its predecessor for older than they are, however late
// commits, reads and the claim are and whichever host stands still in between: the owner counts them
// from when a commit was sent, and a claim succeeds only if the head is still the one that was read.
func TestLeasesCountFromLastStoredCommit(t *testing.T) {
	claims := 0
	rapid.Check(t, func(t *rapid.T) {
		late := func(label string) time.Duration {
			d := rapid.SampledFrom([]time.Duration{5 * time.Millisecond, 40 * time.Millisecond, 400 * time.Millisecond, 3 * time.Second, 8 * time.Second})
			return d.Draw(t, label)
		}
		// The owner sends one commit after the other, until it ends.
		type commit struct{ sent, stored time.Time }
		commits := []commit{{testStart, testStart}}
		for range rapid.IntRange(0, 12).Draw(t, "commits") {
			sent := commits[len(commits)-1].stored.Add(late("answer and pause"))
			commits = append(commits, commit{sent, sent.Add(late("store"))})
		}
		storedAt := func(at time.Time) (last commit, version mothferry.Version) {
			for i, c := range commits {
				if !c.stored.After(at) {
					last, version = c, mothferry.Version(i+1)
				}
			}
			return last, version
		}
		var seen observation
		now := testStart
		for range 80 {
			delay := rapid.SampledFrom([]time.Duration{pollInterval, pollInterval, pollInterval, time.Second}).Draw(t, "poll")
			now = now.Add(delay)
			if !seen.readAt.IsZero() {
				seen.paused += delay - pollInterval
			}
			asked, there := now, late("read")/4
			next := ownedHead(800)
			_, next.version = storedAt(asked.Add(there))
			now = asked.Add(there + late("read answer")/4)
			next.readLatency = now.Sub(asked)
			seen = seen.observe(next, now)
			if !seen.claimable("h-2", 800) {
				continue
			}
			// The host may stand still before it claims.
			claimed := now.Add(late("pause before the claim"))
			last, version := storedAt(claimed.Add(late("claim")))
			if version != seen.version {
				seen, now = observation{}, claimed
				continue
			}
			claims++
			counted := seen.lastCommit(claimed)
			assert.Assert(t, !counted.Before(last.sent), "leases count from %v before the commit", last.sent.Sub(counted))
			return
		}
	})
	assert.Assert(t, claims > 0, "no host ever claimed the shard")
}
