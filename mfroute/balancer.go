// Package mfroute chooses the runner of each request: within this daemon's
// share of every runner's slots, beyond it where other daemons' slots are
// idle, away from runners that fail or leave, and with a bounded queue in
// front. The Balancer is a state machine without goroutines or timers;
// Service makes it safe to share.
package mfroute

import (
	"sort"
	"time"

	"mothferry"
	"mothferry/mfadmit"
	"mothferry/mfdocument"
	"mothferry/mfplacement"
)

// Limits bounds what a balancer does.
type Limits struct {
	// Queue bounds the requests that wait.
	Queue int
	// MaxWaitFraction is the largest part of a request's remaining time that it may
	// be expected to wait; above it the request is refused at once.
	MaxWaitFraction float64
	// MaxOverloadWaitFraction takes the place of WaitShare while callers ask for more
	// than the runners have.
	MaxOverloadWaitFraction float64
	// MaxEjectedFraction is the largest part of the runners that may be ejected at once.
	MaxEjectedFraction float64
	// RetryRatio is the number of second tries allowed for each first try.
	RetryRatio float64
	// Borrow allows slots beyond this daemon's share where peers leave them idle.
	Borrow bool
}

// Ticket is a request's wait for a runner.
type Ticket struct {
	Customer mothferry.CustomerID
	Priority mfadmit.Priority
	Deadline time.Time
	// Exclude lists the runners that must not be chosen, because they already failed this request.
	Exclude map[mothferry.TaskID]bool
	// Reattempt marks a second or later try, which is not held to the limits anew.
	Reattempt bool
	// Retry marks a try after a failure, which draws on the retry budget. A
	// try after a refusal costs the runner next to nothing and does not.
	Retry bool
	// Decide is called once, with a lease or an ErrNotRun. It must not block.
	Decide func(*Lease, error)

	waiter *mfadmit.Waiter[*Ticket]
}

// Lease is the right to send one request to one runner.
type Lease struct {
	Task    mothferry.TaskID
	Address string
	// Connections is the runner's limit over all daemons.
	Connections mothferry.Connections
	// Borrowed tells that the slot is beyond this daemon's share.
	Borrowed bool

	runner   *runner
	customer mothferry.CustomerID
	granted  time.Time
}

// Mean service time: the assumption before the first answer, and the weight
// of each answer in the moving average.
const (
	initialServiceTime = 50 * time.Millisecond
	serviceTimeWeight  = 0.05
)

// Retry budget: its largest balance, which is also what it starts with.
const maxRetryBudget = 10

// Bounds of the time after which a refused caller is told to come back.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Balancer routes the requests of one service at one daemon. It is not safe
// for concurrent use.
type Balancer struct {
	Self   mothferry.DaemonID
	Clock  mothferry.Clock
	Random mothferry.Random
	Limits Limits

	document mfdocument.Document
	queue    mfadmit.Queue[*Ticket]
	// runners are ordered by task id.
	runners []*runner
	// departed are runners no longer placed that still have requests in flight.
	departed        map[*runner]bool
	meanServiceTime float64
	retryBudget     float64
	// borrowLimit bounds the borrowed slots, and borrowed counts them.
	borrowLimit int
	borrowed    int
	// members share the runners; weights are what they last said of their demand.
	members      []mothferry.DaemonID
	memberDemand map[mothferry.DaemonID]float64
	// demand is the moving average of this daemon's demand, arrived the
	// requests since measured, and told what the peers were last told.
	demand          float64
	publishedDemand float64
	arrivals        int
	measuredAt      time.Time
	// overloaded tells that the callers of all members ask for more than the runners have.
	overloaded bool
}

// Update takes over a new document, placement or membership of the data centre.
func (b *Balancer) Update(d mfdocument.Document, placed []mfplacement.Runner, members []mothferry.DaemonID) {
	if b.departed == nil {
		b.departed = map[*runner]bool{}
		b.meanServiceTime = float64(initialServiceTime)
		b.retryBudget = maxRetryBudget
		b.measuredAt = b.Clock.Now()
	}
	b.members = members
	b.document = d
	b.queue.Limit = b.Limits.Queue
	known := map[mothferry.TaskID]*runner{}
	for _, r := range b.runners {
		known[r.placement.Task] = r
	}
	b.runners = nil
	for _, p := range placed {
		r, ok := known[p.Task]
		if !ok {
			r = &runner{window: 1}
		}
		delete(known, p.Task)
		r.placement = p
		r.connections = max(int(p.Connections)/max(len(members), 1), 1)
		b.runners = append(b.runners, r)
	}
	for _, r := range known {
		if r.inFlight > 0 {
			b.departed[r] = true
		}
	}
	sort.Slice(b.runners, func(i, j int) bool { return b.runners[i].placement.Task < b.runners[j].placement.Task })
	b.computeShares()
	b.grant()
}

// Submit asks for a runner. The ticket's Decide is called now or later.
func (b *Balancer) Submit(t *Ticket) {
	if err := b.admit(t); err != nil {
		t.Decide(nil, err)
		return
	}
	t.waiter = &mfadmit.Waiter[*Ticket]{Customer: t.Customer, Priority: t.Priority, Front: t.Reattempt, Value: t}
	if evicted := b.queue.Push(t.waiter); evicted != nil {
		evicted.Value.Decide(nil, b.refusal(mothferry.ReasonOverload))
	}
	b.grant()
}

// admit refuses at once what could not be served in time.
func (b *Balancer) admit(t *Ticket) error {
	now := b.Clock.Now()
	if !b.anyUsable(now, t.Exclude) {
		return b.refusal(mothferry.ReasonNoRunner)
	}
	if t.Retry {
		if b.retryBudget < 1 {
			return b.refusal(mothferry.ReasonNoRunner)
		}
		b.retryBudget--
	}
	if t.Reattempt {
		return nil
	}
	b.arrivals++
	b.retryBudget = min(b.retryBudget+b.Limits.RetryRatio, maxRetryBudget)
	if b.queue.Outstanding(t.Customer) >= b.document.InFlightLimit(t.Customer) {
		return b.refusal(mothferry.ReasonCustomerLimit)
	}
	left := t.Deadline.Sub(now)
	if left <= 0 {
		return b.refusal(mothferry.ReasonDeadline)
	}
	ahead := b.queue.Ahead(t.Customer, t.Priority)
	if ahead > 0 && float64(b.estimateWait(ahead)) > b.maxWaitFraction(t.Customer)*float64(left) {
		return b.refusal(mothferry.ReasonOverload)
	}
	return nil
}

// maxWaitFraction returns the part of its time that a request may be expected to
// wait. Under overload the queue never empties: its length then only adds to
// everybody's time without one request more being answered. A customer with
// at most one request above an equal part of the slots is not what causes the
// overload, and keeps the longer wait: with few slots a single turn of the
// others' would otherwise be too long for it.
func (b *Balancer) maxWaitFraction(customer mothferry.CustomerID) float64 {
	if b.overloaded && (b.queue.Outstanding(customer)-1)*b.queue.Customers() >= b.capacity() {
		return b.Limits.MaxOverloadWaitFraction
	}
	return b.Limits.MaxWaitFraction
}

// Cancel gives up a ticket that still waits, and reports whether it did.
func (b *Balancer) Cancel(t *Ticket) bool {
	return t.waiter != nil && b.queue.Remove(t.waiter)
}

// Release ends a lease.
func (b *Balancer) Release(l *Lease, result Result) {
	now := b.Clock.Now()
	r := l.runner
	r.inFlight--
	if l.Borrowed {
		b.borrowed--
	}
	if r.inFlight == 0 {
		delete(b.departed, r)
	}
	b.queue.Finish(l.customer)
	if result == ResultAnswered {
		b.meanServiceTime += serviceTimeWeight * (float64(now.Sub(l.granted)) - b.meanServiceTime)
	}
	if l.Borrowed && result == ResultBusy {
		// The counts were stale: what is believed idle is not.
		b.borrowLimit = b.borrowed
	}
	r.recordResult(result, now, b.Random)
	b.capEjections(now)
	b.grant()
}

// Wake grants what time alone has made possible, such as the end of an ejection.
func (b *Balancer) Wake() { b.grant() }

// Stop refuses everything that waits.
func (b *Balancer) Stop() {
	all := func(*mfadmit.Waiter[*Ticket]) bool { return true }
	for _, w := range b.queue.RemoveIf(all) {
		w.Value.Decide(nil, b.refusal(mothferry.ReasonStopping))
	}
}

// grant gives free slots to waiting requests.
func (b *Balancer) grant() {
	for b.queue.Len() > 0 {
		now := b.Clock.Now()
		w := b.queue.Pop(func(w *mfadmit.Waiter[*Ticket]) bool { return b.anyFreeSlot(now, w.Value.Exclude) })
		if w == nil {
			break
		}
		// The runner is chosen for the request that was taken out. The queue
		// looks at several requests before it decides on one, and a runner
		// that fits another may be one that this one excludes.
		chosen, borrowed := b.choose(now, w.Value.Exclude)
		b.lease(w.Value, chosen, borrowed, now)
	}
	b.refuseUnroutable()
}

func (b *Balancer) lease(t *Ticket, r *runner, borrowed bool, now time.Time) {
	r.inFlight++
	if r.firstSentAt.IsZero() {
		r.firstSentAt = now
	}
	if borrowed {
		b.borrowed++
	}
	t.Decide(&Lease{
		Task: r.placement.Task, Address: r.placement.Address, Connections: r.placement.Connections,
		Borrowed: borrowed, runner: r, customer: t.Customer, granted: now,
	}, nil)
}

// refuseUnroutable refuses at once the waiting requests that no runner is left for.
func (b *Balancer) refuseUnroutable() {
	if b.queue.Len() == 0 {
		return
	}
	now := b.Clock.Now()
	stranded := func(w *mfadmit.Waiter[*Ticket]) bool { return !b.anyUsable(now, w.Value.Exclude) }
	for _, w := range b.queue.RemoveIf(stranded) {
		w.Value.Decide(nil, b.refusal(mothferry.ReasonNoRunner))
	}
}

// choose returns the runner with the most room within this daemon's shares,
// else one to borrow a slot from, else nil. Ties are broken at random, since
// a fixed order would load the first runners more.
func (b *Balancer) choose(now time.Time, exclude map[mothferry.TaskID]bool) (*runner, bool) {
	best := b.pickMost(func(r *runner) int { return r.freeOwnSlots(now, exclude) })
	if best != nil || !b.mayBorrow() {
		return best, false
	}
	best = b.pickMost(func(r *runner) int { return r.borrowableSlots(now, exclude) })
	return best, best != nil
}

// anyFreeSlot reports whether choose would return a runner.
func (b *Balancer) anyFreeSlot(now time.Time, exclude map[mothferry.TaskID]bool) bool {
	borrow := b.mayBorrow()
	for _, r := range b.runners {
		if r.freeOwnSlots(now, exclude) > 0 || borrow && r.borrowableSlots(now, exclude) > 0 {
			return true
		}
	}
	return false
}

func (b *Balancer) mayBorrow() bool {
	return b.Limits.Borrow && b.borrowed < b.borrowLimit
}

// pickMost returns a runner with the highest room above 0.
func (b *Balancer) pickMost(room func(*runner) int) *runner {
	var best *runner
	highest, ties := 0, 0
	for _, r := range b.runners {
		n := room(r)
		switch {
		case n <= 0 || n < highest:
		case n > highest:
			best, highest, ties = r, n, 1
		default:
			ties++
			if b.Random.IntN(ties) == 0 {
				best = r
			}
		}
	}
	return best
}

// capEjections lets the runner with the least time left return while too many
// are ejected. If most runners fail together the cause is rarely the runners,
// and with none left every request would be refused.
func (b *Balancer) capEjections(now time.Time) {
	var ejected []*runner
	for _, r := range b.runners {
		if now.Before(r.ejectedUntil) {
			ejected = append(ejected, r)
		}
	}
	allowed := int(b.Limits.MaxEjectedFraction * float64(len(b.runners)))
	sort.SliceStable(ejected, func(i, j int) bool { return ejected[i].ejectedUntil.Before(ejected[j].ejectedUntil) })
	for i := 0; i < len(ejected)-allowed; i++ {
		ejected[i].ejectedUntil = now
	}
}

func (b *Balancer) anyUsable(now time.Time, exclude map[mothferry.TaskID]bool) bool {
	for _, r := range b.runners {
		if r.usable(now) && !exclude[r.placement.Task] {
			return true
		}
	}
	return false
}

// estimateWait estimates how long it takes to start what is ahead.
func (b *Balancer) estimateWait(ahead int) time.Duration {
	return time.Duration(float64(ahead+1) * b.meanServiceTime / float64(max(b.capacity(), 1)))
}

// capacity is how many requests this daemon can have in work at once.
func (b *Balancer) capacity() int {
	now := b.Clock.Now()
	total := b.borrowed
	for _, r := range b.runners {
		if r.usable(now) {
			total += r.share
		}
	}
	return total
}

// refusal makes an ErrNotRun with a time to come back: when the present
// backlog should be gone, spread over twice that time so that refused callers
// do not return together.
func (b *Balancer) refusal(reason mothferry.Reason) *mothferry.ErrNotRun {
	backlog := max(b.estimateWait(b.queue.Len()), minRetryAfter)
	spread := time.Duration(float64(backlog) * (1 + b.Random.Float64()))
	return &mothferry.ErrNotRun{Reason: reason, RetryAfter: min(spread, maxRetryAfter)}
}

// InFlightLeaving returns the requests in flight at runners of a pool that
// get no new ones: leaving, stopping, or no longer placed.
func (b *Balancer) InFlightLeaving(pool map[mothferry.TaskID]bool) int {
	count := 0
	for _, r := range b.runners {
		if pool[r.placement.Task] && r.placement.State != mfplacement.StateServing {
			count += r.inFlight
		}
	}
	for r := range b.departed {
		count += r.inFlight
	}
	return count
}
