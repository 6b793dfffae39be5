package mfsched

import (
	"time"

	"mothferry"
)

// Figures for asking the adviser.
const (
	// askWorkers bounds the workers of one call: the adviser takes time for each.
	askWorkers = 24
	// askAgain is the pause after an answer that gave no usable worker.
	askAgain = 300 * time.Millisecond
	// ticketMargin is how long before its end a ticket is no longer used: the
	// intent has to be stored and the order has to arrive.
	ticketMargin = 300 * time.Millisecond
)

// ticketed reports whether a ticket for a step on a worker is still good.
func (s *State) ticketed(p *step, w *worker, now time.Time) bool {
	t, ok := p.tickets[w.at.Worker]
	return ok && now.Add(ticketMargin).Before(t.until)
}

// ask asks the adviser for a step, unless it was asked just now. Workers that
// it has not refused yet go first.
func (s *State) ask(p *step, workers []*worker, now time.Time) {
	if p.asking || now.Sub(p.asked) < askAgain {
		return
	}
	var ids []mothferry.WorkerID
	for _, w := range workers {
		if !p.refused[w.at.Worker] && s.fits(p.tasks[0], w) && len(ids) < askWorkers {
			ids = append(ids, w.at.Worker)
		}
	}
	if len(ids) == 0 {
		return
	}
	p.asking, p.asked = true, now
	s.emit(Ask{Step: p.name, Workers: ids})
}

// advised takes in the adviser's answer. Its verdict on a worker holds for the
// whole step; tickets expire.
func (s *State) advised(e AdviceAnswered) {
	j, ok := s.jobs[e.Step.Job]
	if !ok || e.Step.Occurrence >= len(j.occurrences) {
		return
	}
	p := j.occurrences[e.Step.Occurrence].steps[e.Step.Step]
	p.asking = false
	if e.Tickets == nil {
		return
	}
	if p.tickets == nil {
		p.tickets, p.refused = map[mothferry.WorkerID]ticket{}, map[mothferry.WorkerID]bool{}
	}
	for _, w := range e.Asked {
		text, good := e.Tickets[w]
		if !good {
			p.refused[w] = true
			continue
		}
		p.tickets[w] = ticket{text: text, until: p.asked.Add(e.Valid)}
	}
}
