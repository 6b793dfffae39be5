package mfguard

import (
	"sync"
	"time"

	"mothferry"
)

const (
	// smallRequest is what a connection with an ordinary request holds at most. Larger ones leave a
	// part of the budget to these.
	smallRequest  = 128 * mothferry.Kibibyte
	largeFraction = 0.75
	// undisturbed is for how long a connection on which nothing was received is passed over while
	// another one can be ended.
	undisturbed = time.Second
	// maxEvicted is how many connections may be ending while others are accepted.
	maxEvicted = 32
)

// pool holds the connections of a server, within its budget.
type pool struct {
	budget Budget
	clock  mothferry.Clock
	began  time.Time

	mutex sync.Mutex
	// changed is signalled when a connection gives back a part of the budget.
	changed  *sync.Cond
	conns    map[*conn]struct{}
	reserved mothferry.Bytes
	// evicted is how many connections are being ended and have not given back what they hold.
	evicted int
	// sentAhead is how many requests are served that were sent ahead; turn is signalled when one ends.
	sentAhead int
	turn      *sync.Cond
}

func newPool(budget Budget, clock mothferry.Clock) *pool {
	p := &pool{budget: budget, clock: clock, began: clock.Now(), conns: map[*conn]struct{}{}}
	p.changed = sync.NewCond(&p.mutex)
	p.turn = sync.NewCond(&p.mutex)
	return p
}

// elapsed returns the time since the pool began, which is above zero.
func (p *pool) elapsed() time.Duration { return max(1, p.clock.Now().Sub(p.began)) }

// admit gives a connection a place; the one with the least progress loses its own if there is none left.
func (p *pool) admit(c *conn) bool {
	now := p.clock.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for p.evicted > maxEvicted {
		p.changed.Wait()
	}
	if len(p.conns)-p.evicted >= p.budget.Connections {
		victim := p.leastProgress(now)
		if victim == nil {
			c.server.Metrics.count(c.server.Name, endNoPlace)
			return false
		}
		p.evict(victim, endNoPlace)
	}
	if !p.reserveLocked(c, idleBytes) {
		return false
	}
	c.phase, c.since, c.admitted = phaseNew, now, true
	p.conns[c] = struct{}{}
	return true
}

// leastProgress returns the connection with the least progress: one that has sent nothing or an
// incomplete request, else the one that has been idle for the longest time; nil if all have
// requests in hand.
func (p *pool) leastProgress(now time.Time) *conn {
	var slow, idle *conn
	for c := range p.conns {
		if c.evicted.Load() || c.phase == phaseServing {
			continue
		}
		if idle == nil || c.since.Before(idle.since) {
			idle = c
		}
		if c.phase != phaseIdle && now.Sub(c.since) > undisturbed && (slow == nil || c.since.Before(slow.since)) {
			slow = c
		}
	}
	if slow != nil {
		return slow
	}
	return idle
}

// largest returns the connection with the most memory of those that are still sending.
func (p *pool) largest() *conn {
	var found *conn
	for c := range p.conns {
		if !c.evicted.Load() && (c.phase == phaseHead || c.phase == phaseBody) && (found == nil || c.reserved > found.reserved) {
			found = c
		}
	}
	return found
}

// evict ends a connection; what it holds is given back when its goroutine notices.
func (p *pool) evict(c *conn, reason endReason) {
	c.evicted.Store(true)
	p.evicted++
	c.server.Metrics.count(c.server.Name, reason)
	if reason == endIdle {
		c.end()
	} else {
		c.reset()
	}
	p.changed.Broadcast()
	p.turn.Broadcast()
}

// reserve reserves memory for a connection. If there is no room, connections that hold more and are
// still sending are ended.
func (p *pool) reserve(c *conn, size mothferry.Bytes) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.reserveLocked(c, size)
}

func (p *pool) reserveLocked(c *conn, size mothferry.Bytes) bool {
	for p.reserved+size > p.limitFor(c.reserved+size) {
		if c.evicted.Load() {
			return false
		}
		victim := p.largest()
		switch {
		case p.evicted > 0:
			// What it holds may be enough.
		case victim == nil || victim == c || victim.reserved < c.reserved+size:
			c.server.Metrics.count(c.server.Name, endNoRoom)
			return false
		default:
			p.evict(victim, endNoRoom)
		}
		p.changed.Wait()
	}
	if c.evicted.Load() {
		return false
	}
	c.reserved += size
	p.reserved += size
	return true
}

// limitFor returns up to which sum a connection that holds a size may reserve.
func (p *pool) limitFor(size mothferry.Bytes) mothferry.Bytes {
	if size <= smallRequest {
		return p.budget.Memory
	}
	return mothferry.Bytes(float64(p.budget.Memory) * largeFraction)
}

// release gives back a part of what a connection holds.
func (p *pool) release(c *conn, size mothferry.Bytes) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.releaseLocked(c, size)
}

func (p *pool) releaseLocked(c *conn, size mothferry.Bytes) {
	size = max(0, min(size, c.reserved))
	c.reserved -= size
	p.reserved -= size
	if size > 0 && p.evicted > 0 {
		p.changed.Broadcast()
	}
}

// headReceived reserves memory for a part of a head.
func (p *pool) headReceived(c *conn, size mothferry.Bytes, ended bool) bool {
	now := p.clock.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if c.phase == phaseNew || c.phase == phaseIdle {
		c.phase, c.since = phaseHead, now
	}
	if !p.reserveLocked(c, size) {
		return false
	}
	if ended && c.phase == phaseHead {
		if !p.awaitTurn(c) {
			return false
		}
		c.phase, c.since = phaseServing, now
	}
	return true
}

// awaitTurn waits until a request that was sent ahead may be served, and reports whether its connection
// is still open by then.
func (p *pool) awaitTurn(c *conn) bool {
	if !c.sentAhead {
		return true
	}
	for p.sentAhead >= p.budget.SentAhead && !c.evicted.Load() {
		p.turn.Wait()
	}
	if c.evicted.Load() {
		return false
	}
	p.sentAhead++
	c.hasTurn = true
	return true
}

// endTurn ends the turn of a connection's request if it has one.
func (p *pool) endTurn(c *conn) {
	if c.hasTurn {
		c.hasTurn = false
		p.sentAhead--
		p.turn.Signal()
	}
}

// bodyStarted records that a body is received from now on. It has to arrive within a timeout, and before
// a deadline unless that is zero.
func (p *pool) bodyStarted(c *conn, timeout time.Duration, deadline time.Time) {
	now := p.clock.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	c.phase, c.since, c.until = phaseBody, now, now.Add(timeout)
	if !deadline.IsZero() && deadline.Before(c.until) {
		c.until = deadline
	}
}

// bodyEnded records that a body is complete.
func (p *pool) bodyEnded(c *conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	c.phase = phaseServing
}

// requestEnded gives back what a request holds. The next one, or a part of its head, may have been
// received.
func (p *pool) requestEnded(c *conn, sentAhead, headBegun bool) {
	now := p.clock.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	c.phase, c.since = phaseIdle, now
	c.sentAhead = sentAhead
	p.endTurn(c)
	keep := idleBytes
	if headBegun {
		c.phase = phaseHead
		keep += requestBytes
	}
	p.releaseLocked(c, c.reserved-keep)
}

// remove takes a connection that has ended out of the pool.
func (p *pool) remove(c *conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !c.admitted {
		return
	}
	c.admitted = false
	delete(p.conns, c)
	p.endTurn(c)
	if c.evicted.Load() {
		p.evicted--
	}
	p.reserved -= c.reserved
	c.reserved = 0
	p.changed.Broadcast()
}

// expire ends the connections that have held their place for too long.
func (p *pool) expire(limits Limits) {
	now := p.clock.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for c := range p.conns {
		if reason := c.expired(now, limits); reason != "" && !c.evicted.Load() {
			p.evict(c, reason)
		}
	}
}

// usage returns how many connections there are and what they hold.
func (p *pool) usage() (connections int, reserved mothferry.Bytes) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.conns), p.reserved
}
