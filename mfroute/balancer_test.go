package mfroute

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mothferry"
	"mothferry/mfadmit"
	"mothferry/mfdocument"
	"mothferry/mffake"
	"mothferry/mfplacement"
)

// TestSharesAddUp shows that the members' shares of each runner add up to its
// slots, and each member's shares over all runners to its part of the whole.
func TestSharesAddUp(t *testing.T) {
	mffake.Check(t, func(t *rapid.T) {
		weights := map[mothferry.DaemonID]float64{}
		total := 0.0
		for i := range rapid.IntRange(1, 30).Draw(t, "members") {
			w := rapid.Float64Range(0.01, 100).Draw(t, "weight")
			weights[mothferry.DaemonID(fmt.Sprint("entry-", i))] = w
			total += w
		}
		var slots []mothferry.Slots
		all := 0
		for range rapid.IntRange(1, 40).Draw(t, "runners") {
			n := rapid.IntRange(1, 16).Draw(t, "slots")
			slots = append(slots, mothferry.Slots(n))
			all += n
		}
		sums := make([]int, len(slots))
		for m, w := range weights {
			own := 0
			for i, n := range Shares(slots, weights, m) {
				assert.Assert(t, n >= 0)
				sums[i] += n
				own += n
			}
			part := float64(all) * w / total
			assert.Assert(t, float64(own) > part-2-float64(len(weights)) && float64(own) < part+2+float64(len(weights)), "%s has %d of %f", m, own, part)
		}
		for i, n := range slots {
			assert.Equal(t, sums[i], int(n))
		}
	})
}

// balancerFixture is a balancer with what the test knows of its tickets.
type balancerFixture struct {
	balancer *Balancer
	clock    *mffake.Clock
	placed   []mfplacement.Runner
	leases   []*Lease
	decided  map[int]int
	refusals []*mothferry.ErrNotRun
	count    int
}

func newBalancerFixture(runners int, limits Limits) *balancerFixture {
	k := &balancerFixture{clock: mffake.NewClock(), decided: map[int]int{}}
	k.balancer = &Balancer{Self: "a", Clock: k.clock, Random: rand.New(rand.NewPCG(1, 2)), Limits: limits}
	for i := range runners {
		k.placed = append(k.placed, mfplacement.Runner{Task: mothferry.TaskID(fmt.Sprint("r", i)), State: mfplacement.StateServing, Slots: 8, Connections: 64})
	}
	k.update()
	return k
}

func (k *balancerFixture) update() {
	d := mfdocument.Default()
	d.Customers.InFlight = 20
	k.balancer.Update(d, k.placed, []mothferry.DaemonID{"a", "b"})
}

func (k *balancerFixture) submit(customer mothferry.CustomerID, exclude ...mothferry.TaskID) {
	id := k.count
	k.count++
	t := &Ticket{Customer: customer, Deadline: k.clock.Now().Add(time.Minute), Exclude: map[mothferry.TaskID]bool{}}
	for _, e := range exclude {
		t.Exclude[e] = true
	}
	t.Decide = func(l *Lease, err error) {
		k.decided[id]++
		if l != nil {
			k.leases = append(k.leases, l)
		}
		var refusal *mothferry.ErrNotRun
		if errors.As(err, &refusal) {
			k.refusals = append(k.refusals, refusal)
		}
	}
	k.balancer.Submit(t)
}

func (k *balancerFixture) release(i int, result Result) {
	l := k.leases[i]
	k.leases = append(k.leases[:i:i], k.leases[i+1:]...)
	k.balancer.Release(l, result)
}

// TestBalancerInvariants plays any sequence of requests, ends, failures
// and placements. No new work goes to a runner that is leaving, ejected or
// full; no more are ejected than the cap allows; each request is decided once,
// and every refusal says when to come back.
func TestBalancerInvariants(t *testing.T) {
	mffake.Check(t, func(t *rapid.T) {
		k := newBalancerFixture(rapid.IntRange(1, 6).Draw(t, "runners"), Limits{Queue: 10, MaxWaitFraction: 1, MaxOverloadWaitFraction: 1, MaxEjectedFraction: 0.5, RetryRatio: 0.2, Borrow: true})
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			before := len(k.leases)
			now := k.clock.Now()
			usable := map[mothferry.TaskID]bool{}
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				for _, r := range k.balancer.runners {
					usable[r.placement.Task] = r.usable(now)
				}
				excluded := k.placed[rapid.IntRange(0, len(k.placed)-1).Draw(t, "excluded")].Task
				k.submit(mothferry.CustomerID(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "customer"))), excluded)
				for _, l := range k.leases[before:] {
					assert.Assert(t, usable[l.Task] && l.Task != excluded)
				}
			case 2:
				if before > 0 {
					k.release(rapid.IntRange(0, before-1).Draw(t, "lease"), Result(rapid.IntRange(0, int(ResultNeutral)).Draw(t, "result")))
				}
			case 3:
				k.clock.Advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				k.balancer.Wake()
			case 4:
				i := rapid.IntRange(0, len(k.placed)-1).Draw(t, "runner")
				k.placed[i].State = rapid.SampledFrom([]mfplacement.State{mfplacement.StateServing, mfplacement.StateLeaving}).Draw(t, "state")
				k.update()
			case 5:
				k.balancer.UpdatePeers([]PeerUsage{{Daemon: "b", Demand: float64(rapid.IntRange(0, 20).Draw(t, "demand")), InFlight: make([]int, len(k.placed))}})
			}
			ejected := 0
			for _, r := range k.balancer.runners {
				assert.Assert(t, r.inFlight >= 0 && r.inFlight <= int(r.placement.Slots))
				if k.clock.Now().Before(r.ejectedUntil) {
					ejected++
				}
			}
			assert.Assert(t, ejected <= len(k.placed)/2, "%d of %d ejected", ejected, len(k.placed))
		}
		for len(k.leases) > 0 {
			k.release(0, ResultAnswered)
		}
		k.balancer.Stop()
		for id := range k.count {
			assert.Equal(t, k.decided[id], 1, "request %d", id)
		}
		for _, r := range k.refusals {
			assert.Assert(t, r.RetryAfter > 0)
		}
	})
}

// TestFailedConnectEjectsRunner: symptom, each request rediscovers a dead runner.
// One failed connect is enough to keep the others away, for a short while
// that grows as the runner stays dead, and it comes back slowly.
func TestFailedConnectEjectsRunner(t *testing.T) {
	k := newBalancerFixture(2, Limits{Queue: 10, MaxWaitFraction: 1, MaxEjectedFraction: 0.5})
	k.submit("c")
	dead := k.leases[0].Task
	k.release(0, ResultConnectFailed)
	for range 20 {
		k.submit("c")
		assert.Assert(t, k.leases[0].Task != dead)
		k.release(0, ResultAnswered)
	}
	k.clock.Advance(firstEjection * 2)
	k.balancer.Wake()
	seen := 0
	for range 4 {
		k.submit("c")
	}
	for _, l := range k.leases {
		if l.Task == dead {
			seen++
		}
	}
	assert.Equal(t, seen, 1, "a returning runner gets one request first")
}

// TestRetryBudget: symptom, a failing service gets several times its load.
// Second tries are bounded by a part of the first ones, after a small burst.
func TestRetryBudget(t *testing.T) {
	k := newBalancerFixture(1, Limits{Queue: 10, MaxWaitFraction: 1, MaxEjectedFraction: 0, RetryRatio: 0.2})
	granted := 0
	const first = 200
	for range first {
		k.submit("c")
		k.release(0, ResultLost)
		again := &Ticket{Customer: "c", Deadline: k.clock.Now().Add(time.Minute), Reattempt: true, Retry: true}
		again.Decide = func(l *Lease, _ error) {
			if l != nil {
				granted++
				k.balancer.Release(l, ResultLost)
			}
		}
		k.balancer.Submit(again)
	}
	assert.Assert(t, granted <= maxRetryBudget+first/5, "%d second tries", granted)
	assert.Assert(t, granted >= first/5)
}

// TestWindowGrowsWithoutAnswers: symptom, a waking customer's slow requests time
// out in the queue of idle runners. Sequence: new runners get one request each
// and no more until the first answer, seconds later. Cause: a window that
// grows with answers alone.
func TestWindowGrowsWithoutAnswers(t *testing.T) {
	k := newBalancerFixture(1, Limits{Queue: 10, MaxWaitFraction: 1, MaxEjectedFraction: 0.5})
	for range 4 {
		k.submit("c")
	}
	assert.Equal(t, len(k.leases), 1)
	k.clock.Advance(4 * windowGrowthInterval)
	k.balancer.Wake()
	assert.Equal(t, len(k.leases), 4)
}

// TestFairQueue: symptom, one customer's burst starves the others. The burst
// waits behind its own requests and is what a full queue gives up.
func TestFairQueue(t *testing.T) {
	q := mfadmit.Queue[int]{Limit: 6}
	wait := func(c mothferry.CustomerID, p mfadmit.Priority, v int) *mfadmit.Waiter[int] {
		return q.Push(&mfadmit.Waiter[int]{Customer: c, Priority: p, Value: v})
	}
	for i := range 6 {
		assert.Assert(t, wait("noisy", mfadmit.PriorityUrgent, i) == nil)
	}
	assert.Equal(t, q.Ahead("quiet", mfadmit.PriorityUrgent), 1)
	assert.Equal(t, wait("quiet", mfadmit.PriorityUrgent, 10).Value, 5)
	assert.Equal(t, wait("quiet", mfadmit.PriorityBatch, 11).Value, 4)
	var order []int
	for range 6 {
		order = append(order, q.Pop(func(*mfadmit.Waiter[int]) bool { return true }).Value)
	}
	assert.DeepEqual(t, order, []int{0, 10, 1, 2, 3, 11})
}

// TestAbandonedLeaseIsReleased: symptom, a runner's slots vanish for good.
// Sequence: a request's deadline passes in the moment its ticket is granted.
// Cause: nobody waits for the granted lease any more.
func TestAbandonedLeaseIsReleased(t *testing.T) {
	k := newBalancerFixture(1, Limits{Queue: 10, MaxWaitFraction: 1, MaxEjectedFraction: 0.5})
	s := &service{balancer: k.balancer}
	for range 100 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		cancel()
		if l, err := s.acquire(ctx, Request{Customer: "c"}); err == nil {
			s.release(l, ResultNeutral)
		}
	}
	assert.Equal(t, k.balancer.runners[0].inFlight, 0)
	assert.Equal(t, k.balancer.queue.Outstanding("c"), 0)
}
