package mfsched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mothferry"
)

const (
	// maxAdviceWorkers bounds the workers of one call: the adviser takes time for each.
	maxAdviceWorkers = 24
	// adviceRetryDelay is the minimum time between two turns of one step, and the pause after the
	// adviser declined a call.
	adviceRetryDelay = 300 * time.Millisecond
	// adviceSilence is how much longer than its turn and its service time a call may take before it
	// counts as overdue.
	adviceSilence = 1500 * time.Millisecond
	// adviceWindow is how much work the adviser is given at a time, in whole calls. It covers the
	// time between an answer and the next call.
	adviceWindow = 200 * time.Millisecond
	// maxAdviceCallsUnderWay bounds the calls under way, maxAdviceCalls those that have no answer,
	// overdue ones included. The adviser declines calls when 32 of one host wait.
	maxAdviceCallsUnderWay = 8
	maxAdviceCalls         = 16
	// ticketMargin is how long before its end a ticket is no longer used: the intent has to be
	// stored and the start order has to arrive.
	ticketMargin = 300 * time.Millisecond
)

// AdviceTimes are the service times of a queue's adviser.
type AdviceTimes struct {
	// Decide is the time per call, Each the time per worker named.
	Decide, Each time.Duration
}

// of returns the service time of a call.
func (t AdviceTimes) of(workers int) time.Duration { return t.Decide + time.Duration(workers)*t.Each }

// adviceQueue schedules the calls to the adviser. The adviser handles the calls of a host one at a
// time, and does not notice that a caller has stopped waiting. So only a few calls are under way,
// the other steps wait here, and the answer to an overdue call is still used.
type adviceQueue struct {
	calls      map[int]*adviceCall
	lastNumber int
	// wanted holds the requests of the current round of placement, waiting the number of those
	// of the last round that were not called for.
	wanted  []adviceRequest
	waiting int
	// answered holds the steps whose calls were answered since the last round.
	answered     []*step
	pausedUntil  time.Time
	lastAnswerAt time.Time
	// serviceTimes are those of the last two answered calls.
	serviceTimes [2]time.Duration
}

// adviceRequest is a step that waits for a call.
type adviceRequest struct {
	step    *step
	workers []*worker
	times   AdviceTimes
	// resumed reports whether the step's turn goes on.
	resumed bool
	tooLate bool
}

// rank orders requests before the time that they have waited.
func (r adviceRequest) rank() int {
	switch {
	case r.resumed:
		return 0
	case r.tooLate:
		return 2
	default:
		return 1
	}
}

// adviceCall is a call without an answer.
type adviceCall struct {
	step         *step
	waitingSince time.Time
	sentAt       time.Time
	expected     time.Duration
	overdueAt    time.Time
	overdue      bool
}

// serviceTime returns how long the adviser takes for a call. A single slow answer does not count.
func (q *adviceQueue) serviceTime() time.Duration { return min(q.serviceTimes[0], q.serviceTimes[1]) }

// admits reports whether another call may be made now.
func (q *adviceQueue) admits(now time.Time) bool {
	if now.Before(q.pausedUntil) || len(q.calls) >= maxAdviceCalls {
		return false
	}
	underWay := 0
	for _, c := range q.calls {
		if !c.overdue {
			underWay++
		}
	}
	allowed := 1
	if t := q.serviceTime(); t > 0 {
		allowed = int(min((adviceWindow+t-1)/t, maxAdviceCallsUnderWay))
	}
	return underWay < allowed
}

// outstanding returns the expected service time of all calls without an answer.
func (q *adviceQueue) outstanding() time.Duration {
	sum := time.Duration(0)
	for _, c := range q.calls {
		sum += max(c.expected, q.serviceTime())
	}
	return sum
}

// wait returns a lower bound on how long a step that is ready now waits for its advice.
func (q *adviceQueue) wait(now time.Time) time.Duration {
	oldest, silent := now, q.waiting > 0
	for _, c := range q.calls {
		silent = silent || !c.overdue
		if c.sentAt.Before(oldest) {
			oldest = c.sentAt
		}
	}
	wait := time.Duration(len(q.calls)+q.waiting) * q.serviceTime()
	if !silent {
		// Only answers that nobody waits for are missing: they may be lost.
		return wait
	}
	return max(wait, now.Sub(later(oldest, q.lastAnswerAt)))
}

func (q *adviceQueue) gauge(now time.Time) AdviceGauge {
	return AdviceGauge{Waiting: q.waiting, Unanswered: len(q.calls), Wait: q.wait(now)}
}

// AdviceWait returns a lower bound on how long a step that is ready now waits for its advice.
func (s *State) AdviceWait(now time.Time) time.Duration { return s.advice.wait(now) }

// hasTicket reports whether a step has a valid ticket for a worker.
func (s *State) hasTicket(p *step, w *worker, now time.Time) bool {
	t, ok := p.tickets[w.at.Worker]
	return ok && now.Add(ticketMargin).Before(t.validUntil)
}

// requestAdvice records that a step needs tickets for more workers, unless a call for it is under
// way or too recent.
func (s *State) requestAdvice(c *candidate, p *step, workers []*worker, now time.Time) {
	if p.advicePending || now.Before(p.adviceNotBefore) {
		return
	}
	if n := len(s.advice.wanted); n > 0 && s.advice.wanted[n-1].step == p {
		return
	}
	if len(s.workersToAdvise(p, workers, 1, now)) == 0 {
		if len(p.asked) > 0 {
			p.endAdviceTurn()
			p.adviceNotBefore = p.adviceRequestedAt.Add(adviceRetryDelay)
		}
		return
	}
	if p.adviceSince.IsZero() {
		p.adviceSince = now
	}
	s.advice.wanted = append(s.advice.wanted, adviceRequest{
		step: p, workers: workers, times: s.queueOf(c.job).Advice,
		resumed: slices.Contains(s.advice.answered, p), tooLate: c.class == classTooLate,
	})
}

// workersToAdvise returns up to limit workers to ask for. Workers that the adviser has refused, that
// were asked for in the step's present turn, that may run no further task of the step or for which
// there is a valid ticket are left out, so that the tickets of several calls add up for a step that
// is wider than one call.
func (s *State) workersToAdvise(p *step, workers []*worker, limit int, now time.Time) []mothferry.WorkerID {
	var ids []mothferry.WorkerID
	for _, w := range workers {
		if len(ids) == limit {
			break
		}
		if !p.refused[w.at.Worker] && !p.asked[w.at.Worker] && !s.hasTicket(p, w, now) && s.stepTasksOn(p, w) < perWorkerLimit(p.spec.PerWorker) && s.fits(p.tasks[0], w) {
			ids = append(ids, w.at.Worker)
		}
	}
	return ids
}

// endAdviceTurn ends a step's turn at the adviser. A turn asks for each worker at most once, with
// calls that follow each other, so that the first tickets are still valid when the last ones come.
func (p *step) endAdviceTurn() {
	p.asked, p.adviceSince = nil, time.Time{}
}

// callAdviser makes the calls that are possible now for the steps that wait: first for those whose
// turn goes on, then for those that have waited longest. Those of jobs that are too late go last.
func (s *State) callAdviser(now time.Time) {
	q := &s.advice
	s.expireAdviceCalls(now)
	slices.SortStableFunc(q.wanted, func(a, b adviceRequest) int {
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), a.step.adviceSince.Compare(b.step.adviceSince))
	})
	called := 0
	for called < len(q.wanted) && q.admits(now) {
		s.callFor(q.wanted[called], now)
		called++
	}
	q.waiting = len(q.wanted) - called
	for _, p := range q.answered {
		if !p.advicePending {
			p.asked = nil
		}
	}
	clear(q.wanted)
	clear(q.answered)
	q.wanted, q.answered = q.wanted[:0], q.answered[:0]
}

// callFor emits the call for a step.
func (s *State) callFor(r adviceRequest, now time.Time) {
	q, p := &s.advice, r.step
	if !r.resumed {
		p.asked = nil
	}
	ids := s.workersToAdvise(p, r.workers, maxAdviceWorkers, now)
	c := &adviceCall{step: p, waitingSince: p.adviceSince, sentAt: now, expected: r.times.of(len(ids))}
	if q.calls == nil {
		q.calls = map[int]*adviceCall{}
	}
	q.lastNumber++
	q.calls[q.lastNumber] = c
	c.overdueAt = now.Add(adviceSilence + q.outstanding())
	p.advicePending, p.adviceRequestedAt, p.adviceSince = true, now, time.Time{}
	s.emit(RequestAdvice{Number: q.lastNumber, Step: p.name, Workers: ids, Waited: now.Sub(c.waitingSince)})
}

// expireAdviceCalls lets steps ask again whose calls are overdue.
func (s *State) expireAdviceCalls(now time.Time) {
	for _, number := range slices.Sorted(maps.Keys(s.advice.calls)) {
		c := s.advice.calls[number]
		if c.overdue || now.Before(c.overdueAt) {
			continue
		}
		c.overdue, c.step.advicePending = true, false
		c.step.endAdviceTurn()
		s.emit(Decision{Message: "adviser call is overdue", Job: c.step.name.Job, Fields: map[string]any{
			"step": c.step.name.Step, "call": number, "age_ms": now.Sub(c.sentAt).Milliseconds(), "unanswered": len(s.advice.calls),
		}})
	}
}

// adviceAnswered records the adviser's answer. A refusal of a worker holds for the whole step;
// tickets expire.
func (s *State) adviceAnswered(e AdviceAnswered, now time.Time) {
	q := &s.advice
	c, ok := q.calls[e.Number]
	if !ok {
		return
	}
	delete(q.calls, e.Number)
	p := c.step
	if e.Tickets == nil {
		s.adviceFailed(c, e.Declined, now)
		return
	}
	began := later(c.sentAt, q.lastAnswerAt)
	q.serviceTimes[0], q.serviceTimes[1] = q.serviceTimes[1], now.Sub(began)
	if q.serviceTimes[0] == 0 {
		q.serviceTimes[0] = q.serviceTimes[1]
	}
	q.lastAnswerAt = now
	// The tickets were issued when the adviser had handled the call, but not after the answer.
	issued := began.Add(max(c.expected, q.serviceTime()))
	if issued.After(now) {
		issued = now
	}
	if p.tickets == nil {
		p.tickets, p.refused = map[mothferry.WorkerID]ticket{}, map[mothferry.WorkerID]bool{}
	}
	for _, w := range e.Asked {
		text, granted := e.Tickets[w]
		if !granted {
			p.refused[w] = true
			continue
		}
		if t := (ticket{text: text, validUntil: issued.Add(e.Valid)}); t.validUntil.After(p.tickets[w].validUntil) {
			p.tickets[w] = t
		}
	}
	if c.overdue {
		return
	}
	p.advicePending = false
	if p.asked == nil {
		p.asked = map[mothferry.WorkerID]bool{}
	}
	for _, w := range e.Asked {
		p.asked[w] = true
	}
	q.answered = append(q.answered, p)
}

// adviceFailed lets a step ask again. If the adviser declined the call the step keeps its place, as
// the call took none of the adviser's time, and no step asks for a while.
func (s *State) adviceFailed(c *adviceCall, declined bool, now time.Time) {
	if declined {
		s.advice.pausedUntil = now.Add(adviceRetryDelay)
	}
	if c.overdue {
		return
	}
	p := c.step
	p.advicePending = false
	p.endAdviceTurn()
	if declined {
		p.adviceSince = c.waitingSince
		return
	}
	p.adviceNotBefore = now.Add(adviceRetryDelay)
}
