package mfsched

import (
	"time"

	"mothferry"
)

// The load it answers: a twentieth of all calls to workers gets no answer, and orders
// among them are carried out seconds later. What goes wrong: a lost look leaves its
// worker unseen until its time-out, and as a busy worker is looked at ten times a
// second a third of a pool is unseen, without new work, at any moment; a lost start
// holds its whole job up, and half of all jobs with a dozen tasks have one. One notices
// by usable workers that are far fewer than those listed while none of them has ended.
// On the replay of late.yaml 0.09 of the worth was in time, 0.97 with no call lost; what
// stands here brings 0.87 (three seeds).

// Figures for calls that are lost.
const (
	// lossMemory is how long a lost look counts.
	lossMemory = 3 * time.Second
	// lossyFrom is from which part of lost looks on two are under way at a worker, and
	// leastLost how many there must be: single ones are lost whenever a worker or a
	// connection ends.
	lossyFrom = 0.01
	leastLost = 2.0
	// besideAfter is how long after one look the second one is sent, so that both do
	// not return for the same end.
	besideAfter = 50 * time.Millisecond
	// startTries is how often one run is ordered before it is stopped instead.
	startTries = 3
)

// losses is what came lately of looks at workers that are alive.
type losses struct {
	answered, lost decaying
}

// lossy reports whether looks are being lost.
func (l *losses) lossy(now time.Time) bool {
	l.answered.decay(lossMemory, now)
	l.lost.decay(lossMemory, now)
	return l.lost.sum >= leastLost && l.lost.sum > lossyFrom*(l.answered.sum+l.lost.sum)
}

// lookAnswered takes in that a worker has answered a look. A worker that did not
// answer before is alive, so that what it did not answer was lost.
func (s *State) lookAnswered(w *worker, sent, now time.Time) {
	s.losses.answered.add(1, lossMemory, now)
	if w.failing {
		s.losses.lost.add(1, lossMemory, now)
	}
	if sent.After(w.answeredSent) {
		w.answeredSent = sent
	}
}

// lookLost reports whether a look without answer says nothing of its worker, which has
// answered one that was sent later.
func (s *State) lookLost(w *worker, sent, now time.Time) bool {
	if sent.IsZero() || sent.After(w.answeredSent) {
		return false
	}
	s.losses.lost.add(1, lossMemory, now)
	return true
}

// mayLookBeside reports whether a second look may be under way at a worker while looks
// are lost: one of two is answered nearly always.
func (w *worker) mayLookBeside(now time.Time) bool {
	return w.looks == 1 && !w.failing && w.sealed && now.Sub(w.lookSent) >= besideAfter && w.busy()
}

// busy reports whether a task runs on the worker that ends by itself.
func (w *worker) busy() bool {
	for _, t := range w.tasks {
		if !t.step.of.Lasting {
			return true
		}
	}
	return false
}

// startAgain orders a run again whose order had no answer, under the same number and on
// the same worker: one that has begun it answers as if it had just done so, and of two
// orders that are carried out late the second does nothing. It reports whether it did.
// To stop the run and begin another one instead costs its job two round trips more, and
// the work that was done if only the answer was lost.
func (s *State) startAgain(t *task, now time.Time) bool {
	w := t.worker
	if t.sends >= startTries || !w.listed || w.failing || w.Draining || s.leaving[w.at.Worker] || t.job.state.Final() {
		return false
	}
	s.start(t, now)
	return true
}

// startRefusedAgain takes in that a run was refused that had been ordered before. The
// earlier order may have been carried out, may be later, and its end may not be seen
// yet: the run is stopped, and a look after that tells.
func (s *State) startRefusedAgain(t *task, why mothferry.OrderRefusal, now time.Time) {
	if t.phase != phaseSent {
		return
	}
	t.phase = phaseUnclear
	s.stopAgain(t, now)
	s.emit(Decision{Message: "start was refused after one without answer", Job: t.job.id, Worker: t.worker.at.Worker, Fields: map[string]any{
		"step": t.name.Step, "index": t.name.Index, "run": t.run, "refusal": why, "sends": t.sends,
	}})
}
