package mfsched

import (
	"time"

	"mothferry"
)

const (
	// maxAdviceWorkers bounds the workers of one call: the adviser takes time for each.
	maxAdviceWorkers = 24
	// adviceRetryDelay is the minimum time between two calls for one step.
	adviceRetryDelay = 300 * time.Millisecond
	// ticketMargin is how long before its end a ticket is no longer used: the intent has to be
	// stored and the start order has to arrive.
	ticketMargin = 300 * time.Millisecond
)

// hasTicket reports whether a step has a valid ticket for a worker.
func (s *State) hasTicket(p *step, w *worker, now time.Time) bool {
	t, ok := p.tickets[w.at.Worker]
	return ok && now.Add(ticketMargin).Before(t.validUntil)
}

// requestAdvice asks the adviser for a step, unless a call is pending or too recent. Workers that it
// has refused, that may run no further task of the step or for which there is a valid ticket are left
// out, so that the tickets of several calls add up for a step that is wider than one call.
func (s *State) requestAdvice(p *step, workers []*worker, now time.Time) {
	if p.advicePending || now.Sub(p.adviceRequestedAt) < adviceRetryDelay {
		return
	}
	var ids []mothferry.WorkerID
	for _, w := range workers {
		if len(ids) == maxAdviceWorkers {
			break
		}
		if !p.refused[w.at.Worker] && !s.hasTicket(p, w, now) && s.stepTasksOn(p, w) < perWorkerLimit(p.spec.PerWorker) && s.fits(p.tasks[0], w) {
			ids = append(ids, w.at.Worker)
		}
	}
	if len(ids) == 0 {
		return
	}
	p.advicePending, p.adviceRequestedAt = true, now
	s.emit(RequestAdvice{Step: p.name, Workers: ids})
}

// adviceAnswered records the adviser's answer. A refusal of a worker holds for the whole step;
// tickets expire.
func (s *State) adviceAnswered(e AdviceAnswered) {
	j, ok := s.jobs[e.Step.Job]
	if !ok {
		return
	}
	o := j.occurrence(e.Step.Occurrence)
	if o == nil {
		return
	}
	p := o.steps[e.Step.Step]
	p.advicePending = false
	if e.Tickets == nil {
		return
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
		p.tickets[w] = ticket{text: text, validUntil: p.adviceRequestedAt.Add(e.Valid)}
	}
}
