package mfroute

import (
	"fmt"
	"time"

	"mothferry"
	"mothferry/mfadmit"
	"mothferry/mfdocument"
	"mothferry/mfplacement"
)

// balancerPolicy is the product's own balancer as a policy.
type balancerPolicy struct {
	model     *model
	self      int
	balancer  *Balancer
	published PeerUsage
	tasks     map[mothferry.TaskID]int
}

func newBalancerPolicy(limits Limits) func(m *model, self int) dispatcher {
	return func(m *model, self int) dispatcher {
		members := []mothferry.DaemonID{"entry-0", "entry-1", "entry-2"}
		c := &balancerPolicy{model: m, self: self, tasks: map[mothferry.TaskID]int{}, balancer: &Balancer{
			Self: members[self], Clock: m, Random: m.random, Limits: limits,
		}}
		d := mfdocument.Default()
		d.Customers.InFlight = 1 << 20
		var placed []mfplacement.Runner
		for i := range m.scenario.runners {
			task := mothferry.TaskID(fmt.Sprintf("runner-%03d", i))
			c.tasks[task] = i
			placed = append(placed, mfplacement.Runner{Task: task, State: mfplacement.StateServing, Slots: modelSlots, Connections: 64})
		}
		c.balancer.Update(d, placed, members)
		return c
	}
}

func (c *balancerPolicy) arrive(r *modelRequest) { c.submit(r, false) }

func (c *balancerPolicy) submit(r *modelRequest, retry bool) {
	t := &Ticket{Customer: r.customer, Priority: mfadmit.PriorityUrgent, Deadline: c.model.Now().Add(modelDeadline - (c.model.now - r.arrived)), Reattempt: r.tries > 0, Retry: retry}
	t.Decide = func(l *Lease, err error) {
		if err == nil {
			r.lease = l
			c.model.dispatch(r, c.tasks[l.Task])
		}
	}
	c.balancer.Submit(t)
	c.model.schedule(modelDeadline-(c.model.now-r.arrived), func() { c.balancer.Cancel(t) })
}

func (c *balancerPolicy) finished(r *modelRequest, _ int, result Result) {
	c.balancer.Release(r.lease, result)
	if result == ResultBusy {
		c.model.schedule(busyBackoff, c.balancer.Wake)
	}
	r.tries++
	if result != ResultAnswered && r.tries < 4 && c.model.now-r.arrived < modelDeadline {
		c.submit(r, result != ResultBusy)
	}
}

func (c *balancerPolicy) gossip() {
	var uses []PeerUsage
	c.published, _ = c.balancer.Usage()
	for _, h := range c.model.hosts {
		if other, ok := h.(*balancerPolicy); ok && other != c {
			uses = append(uses, other.published)
		}
	}
	c.balancer.UpdatePeers(uses)
}

// simple is a policy without shares: pick says which runner is next, and a
// queue of at most limit requests waits where a limit on own use is set.
type simple struct {
	model         *model
	inFlight      []int
	others        []int
	next          int
	waiting       []*modelRequest
	queueLimit    int
	inFlightLimit int
	pick          func(s *simple) int
}

func (s *simple) arrive(r *modelRequest) {
	if s.inFlightLimit > 0 && s.total() >= s.inFlightLimit {
		if len(s.waiting) < s.queueLimit {
			s.waiting = append(s.waiting, r)
		}
		return
	}
	s.send(r)
}

func (s *simple) total() int {
	total := 0
	for _, n := range s.inFlight {
		total += n
	}
	return total
}

func (s *simple) send(r *modelRequest) {
	runner := s.pick(s)
	s.inFlight[runner]++
	s.model.dispatch(r, runner)
}

func (s *simple) finished(r *modelRequest, runner int, result Result) {
	s.inFlight[runner]--
	if result != ResultAnswered && s.model.now-r.arrived < modelDeadline {
		s.model.schedule(modelRetryDelay, func() { s.send(r) })
		return
	}
	for len(s.waiting) > 0 && s.total() < s.inFlightLimit {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		if s.model.now-next.arrived < modelDeadline {
			s.send(next)
		}
	}
}

func (s *simple) gossip() {
	for i := range s.others {
		s.others[i] = 0
	}
	for _, h := range s.model.hosts {
		if o, ok := h.(*simple); ok && o != s {
			for i, n := range o.inFlight {
				s.others[i] += n
			}
		}
	}
}

func simplePolicy(bound, limit int, pick func(s *simple) int) func(m *model, self int) dispatcher {
	return func(m *model, _ int) dispatcher {
		return &simple{model: m, inFlight: make([]int, m.scenario.runners), others: make([]int, m.scenario.runners), inFlightLimit: bound, queueLimit: limit, pick: pick}
	}
}

func pickRandom(s *simple) int { return s.model.random.IntN(len(s.inFlight)) }

func pickRoundRobin(s *simple) int {
	s.next++
	return s.next % len(s.inFlight)
}

func pickTwoOwnCounts(s *simple) int {
	a, b := pickRandom(s), pickRandom(s)
	if s.inFlight[a] <= s.inFlight[b] {
		return a
	}
	return b
}

func pickTwoAllCounts(s *simple) int {
	a, b := pickRandom(s), pickRandom(s)
	if s.inFlight[a]+s.others[a] <= s.inFlight[b]+s.others[b] {
		return a
	}
	return b
}

// central is the limit: one exact queue over all entry hosts, without
// customers, bounded as the chosen policy's is.
type central struct {
	model   *model
	shared  *centralQueue
	maxWait time.Duration
}

type centralQueue struct {
	waiting  []*modelRequest
	inFlight []int
}

func centralPolicy() func(m *model, self int) dispatcher {
	shared := &centralQueue{}
	return func(m *model, _ int) dispatcher {
		if len(shared.inFlight) == 0 {
			shared.inFlight = make([]int, m.scenario.runners)
		}
		return &central{model: m, shared: shared, maxWait: modelDeadline * 3 / 25}
	}
}

func (c *central) arrive(r *modelRequest) {
	slots := float64(c.model.scenario.runners * modelSlots)
	if wait := time.Duration(float64(len(c.shared.waiting)) * float64(modelMean) / slots); wait > c.maxWait {
		return
	}
	c.shared.waiting = append(c.shared.waiting, r)
	c.grant()
}

func (c *central) grant() {
	for i, n := range c.shared.inFlight {
		if len(c.shared.waiting) > 0 && n < modelSlots {
			r := c.shared.waiting[0]
			c.shared.waiting = c.shared.waiting[1:]
			c.shared.inFlight[i]++
			c.model.dispatch(r, i)
		}
	}
}

func (c *central) finished(_ *modelRequest, runner int, _ Result) {
	c.shared.inFlight[runner]--
	c.grant()
}

func (c *central) gossip() {}
