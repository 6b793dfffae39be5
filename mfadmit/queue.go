// Package mfadmit decides which waiting request goes next: urgent before
// batch, and between customers the one with the fewest requests in work. It
// holds no clock and starts nothing, so that every decision can be replayed.
package mfadmit

import (
	"slices"

	"mothferry"
)

// Priority orders requests of one service; the smaller goes first.
type Priority int

// Priorities of requests.
const (
	PriorityUrgent Priority = iota
	PriorityBatch
	priorityCount
)

// Waiter is a request that may have to wait. T is what the queue's user
// attaches to it.
type Waiter[T any] struct {
	Customer mothferry.CustomerID
	Priority Priority
	// Front puts the waiter before the others of its customer and priority,
	// as is right for one that has waited before.
	Front bool
	Value T
}

// customerQueue is the waiting and working requests of one customer.
type customerQueue[T any] struct {
	waiting  [priorityCount][]*Waiter[T]
	inFlight int
	// lastServed is the queue's turn count when the customer was last served.
	lastServed uint64
}

func (l *customerQueue[T]) length() int {
	count := 0
	for _, w := range l.waiting {
		count += len(w)
	}
	return count
}

// Queue holds the waiting requests of one service at one daemon.
type Queue[T any] struct {
	// Limit bounds the requests that wait.
	Limit int

	queues     map[mothferry.CustomerID]*customerQueue[T]
	length     int
	serveCount uint64
}

// Len returns how many requests wait.
func (q *Queue[T]) Len() int { return q.length }

// Outstanding returns how many requests of a customer wait or are in work.
func (q *Queue[T]) Outstanding(customer mothferry.CustomerID) int {
	l, ok := q.queues[customer]
	if !ok {
		return 0
	}
	return l.inFlight + l.length()
}

// Customers returns how many customers have requests waiting or in work.
func (q *Queue[T]) Customers() int { return len(q.queues) }

// Push adds a waiter. In a full queue somebody has to go: the newest, least
// urgent request of the customer with the longest line. If that is the new
// waiter itself, Push returns it. Without this rule one customer's burst
// would fill the queue and everybody else would be refused.
func (q *Queue[T]) Push(w *Waiter[T]) (evicted *Waiter[T]) {
	l := q.queueFor(w.Customer)
	if w.Front {
		l.waiting[w.Priority] = slices.Insert(l.waiting[w.Priority], 0, w)
	} else {
		l.waiting[w.Priority] = append(l.waiting[w.Priority], w)
	}
	q.length++
	if q.length <= q.Limit {
		return nil
	}
	return q.evict(w)
}

func (q *Queue[T]) evict(newest *Waiter[T]) *Waiter[T] {
	longest := q.queues[newest.Customer]
	name := newest.Customer
	for c, l := range q.queues {
		if l.length() > longest.length() || l.length() == longest.length() && name != newest.Customer && c < name {
			longest, name = l, c
		}
	}
	for p := priorityCount - 1; p >= 0; p-- {
		waiting := longest.waiting[p]
		if len(waiting) > 0 {
			last := waiting[len(waiting)-1]
			q.Remove(last)
			return last
		}
	}
	return nil
}

// Pop takes out the waiter that goes next among those that fit, and counts it
// as in work. It returns nil if none fits.
func (q *Queue[T]) Pop(fits func(*Waiter[T]) bool) *Waiter[T] {
	for p := range priorityCount {
		if w := q.next(p, fits); w != nil {
			q.Remove(w)
			q.Start(w.Customer)
			return w
		}
	}
	return nil
}

// next finds the waiter of one priority whose customer has the fewest
// requests in work; of several such customers, the one served longest ago.
func (q *Queue[T]) next(p Priority, fits func(*Waiter[T]) bool) *Waiter[T] {
	var best *Waiter[T]
	var bestLine *customerQueue[T]
	for c, l := range q.queues {
		if len(l.waiting[p]) == 0 || best != nil && !l.servedBefore(c, bestLine, best.Customer) {
			continue
		}
		if i := slices.IndexFunc(l.waiting[p], fits); i >= 0 {
			best, bestLine = l.waiting[p][i], l
		}
	}
	return best
}

// servedBefore reports whether l, the line of customer c, is served before o, that
// of customer d. The names make the order total and so repeatable.
func (l *customerQueue[T]) servedBefore(c mothferry.CustomerID, o *customerQueue[T], d mothferry.CustomerID) bool {
	if l.inFlight != o.inFlight {
		return l.inFlight < o.inFlight
	}
	if l.lastServed != o.lastServed {
		return l.lastServed < o.lastServed
	}
	return c < d
}

// Remove takes a waiter out and reports whether it was waiting.
func (q *Queue[T]) Remove(w *Waiter[T]) bool {
	l, ok := q.queues[w.Customer]
	if !ok {
		return false
	}
	i := slices.Index(l.waiting[w.Priority], w)
	if i < 0 {
		return false
	}
	l.waiting[w.Priority] = slices.Delete(l.waiting[w.Priority], i, i+1)
	q.length--
	q.removeIfEmpty(w.Customer)
	return true
}

// Start counts a request of a customer as in work.
func (q *Queue[T]) Start(customer mothferry.CustomerID) {
	l := q.queueFor(customer)
	l.inFlight++
	q.serveCount++
	l.lastServed = q.serveCount
}

// Finish ends what Start began.
func (q *Queue[T]) Finish(customer mothferry.CustomerID) {
	q.queues[customer].inFlight--
	q.removeIfEmpty(customer)
}

// Ahead returns how many waiting requests would be served before a new one of
// this customer and priority, if customers take turns.
func (q *Queue[T]) Ahead(customer mothferry.CustomerID, p Priority) int {
	own := 0
	if l, ok := q.queues[customer]; ok {
		own = l.lengthUpTo(p)
	}
	ahead := own
	for c, l := range q.queues {
		if c != customer {
			ahead += min(l.lengthUpTo(p), own+1)
		}
	}
	return ahead
}

// lengthUpTo counts the waiters of priority p or more urgent.
func (l *customerQueue[T]) lengthUpTo(p Priority) int {
	count := 0
	for i := range p + 1 {
		count += len(l.waiting[i])
	}
	return count
}

// RemoveIf takes out the waiters that match.
func (q *Queue[T]) RemoveIf(match func(*Waiter[T]) bool) []*Waiter[T] {
	var matching []*Waiter[T]
	for _, l := range q.queues {
		for _, waiting := range l.waiting {
			for _, w := range waiting {
				if match(w) {
					matching = append(matching, w)
				}
			}
		}
	}
	for _, w := range matching {
		q.Remove(w)
	}
	return matching
}

func (q *Queue[T]) queueFor(customer mothferry.CustomerID) *customerQueue[T] {
	if q.queues == nil {
		q.queues = map[mothferry.CustomerID]*customerQueue[T]{}
	}
	l, ok := q.queues[customer]
	if !ok {
		l = &customerQueue[T]{lastServed: q.serveCount}
		q.queues[customer] = l
	}
	return l
}

// removeIfEmpty drops the line of a customer that has nothing here, so that memory
// does not grow with every customer ever seen.
func (q *Queue[T]) removeIfEmpty(customer mothferry.CustomerID) {
	if l := q.queues[customer]; l.inFlight == 0 && l.length() == 0 {
		delete(q.queues, customer)
	}
}
