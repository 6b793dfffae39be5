package mfsched

import (
	"maps"
	"slices"
	"time"

	"mothferry"
)

// formerRetention is how long what concerns an incarnation may come after its worker was removed:
// answers, lists of machines and orders that were held up.
const formerRetention = time.Minute

// formerWorker is what is kept of a worker that was removed.
//
// A worker may start again under its id. Without it, what still comes of the former incarnation
// would be taken for news of the new one.
type formerWorker struct {
	removedAt time.Time
	// startedAt is when its newest known incarnation started.
	startedAt  mothferry.IncarnationStart
	lateStarts map[runID]lateStart
	// cause is why its incarnation counts as ended; empty if it doesn't.
	cause IncarnationEndCause
}

func (f formerWorker) endedBy(cause IncarnationEndCause) formerWorker {
	f.cause = cause
	return f
}

// lateStart is a run that was released at a time though so many orders to start it had no answer.
//
// The incarnation that they were sent to refuses them: it has ended the run, was ordered to stop it,
// or its clock has passed the lease. A later incarnation under its id knows neither and would carry
// them out.
type lateStart struct {
	releasedAt time.Time
	unanswered int
}

// recordLateStart records a run that is released.
func (w *worker) recordLateStart(t *task, now time.Time) {
	unanswered := t.startsSent - t.startsAnswered
	if unanswered <= 0 {
		return
	}
	if w.lateStarts == nil {
		w.lateStarts = map[runID]lateStart{}
	}
	w.lateStarts[runID{task: t.name, run: t.run}] = lateStart{releasedAt: now, unanswered: unanswered}
}

// lateStartAnswered records that an order to start a run was answered after the run was released. If
// the order was carried out, a later incarnation may have done that: the run is stopped there, and
// counts as being there until a poll shows that it isn't.
func (s *State) lateStartAnswered(id mothferry.WorkerID, r runID, result OrderResult, now time.Time) {
	late := s.former[id].lateStarts
	w, listed := s.workers[id]
	if listed {
		late = w.lateStarts
	}
	start, known := late[r]
	if !known {
		return
	}
	if result == ResultDone {
		if listed {
			s.stopOrphan(w, r, now, now)
		}
		return
	}
	if start.unanswered--; start.unanswered <= 0 {
		delete(late, r)
		return
	}
	late[r] = start
}

// stopLateStarts has a new incarnation refuse what was ordered of earlier ones and may yet arrive.
func (s *State) stopLateStarts(w *worker, now time.Time) {
	for _, r := range slices.SortedFunc(maps.Keys(w.lateStarts), compareRuns) {
		s.stopOrphan(w, r, time.Time{}, now)
	}
}

func expireLateStarts(late map[runID]lateStart, now time.Time) {
	for r, start := range late {
		if now.Sub(start.releasedAt) > formerRetention {
			delete(late, r)
		}
	}
}

// returned applies what is kept of a worker that is listed again under its id.
func (s *State) returned(w *worker, startedAt mothferry.IncarnationStart, now time.Time) {
	former, known := s.former[w.at.Worker]
	if !known {
		return
	}
	delete(s.former, w.at.Worker)
	if former.cause != "" {
		s.emit(Decision{Message: "worker is back after its end", Worker: w.at.Worker, Fields: map[string]any{
			"cause": former.cause, "since_ms": now.Sub(former.removedAt).Milliseconds(), "born": startedAt, "former": former.startedAt,
			"late_starts": len(former.lateStarts),
		}})
	}
	w.lateStarts = former.lateStarts
	w.restartedAt = now
	if startedAt != former.startedAt {
		w.follow(now, s.Limits)
	}
}

// expireFormer forgets the workers that were removed, and the runs that were released, more than
// formerRetention ago.
func (s *State) expireFormer(now time.Time) {
	for _, w := range s.sortedWorkers {
		expireLateStarts(w.lateStarts, now)
	}
	for id, f := range s.former {
		if now.Sub(f.removedAt) > formerRetention {
			delete(s.former, id)
			continue
		}
		expireLateStarts(f.lateStarts, now)
	}
}

// incarnationMismatch handles an order that found another incarnation at the address that it was
// sent to. That may have been a former address, as orders are held up: a poll of the present one
// shows whether the worker has ended.
func (s *State) incarnationMismatch(id mothferry.WorkerID, now time.Time) {
	w, ok := s.workers[id]
	if !ok || w.at.Address == "" || w.polledNoWaitSince(now.Add(-minPollInterval)) {
		return
	}
	s.pollNoWait(w, now)
}

// polledNoWaitSince reports whether an open poll that doesn't wait was sent after a time.
func (w *worker) polledNoWaitSince(since time.Time) bool {
	for _, p := range w.openPolls {
		if p.wait == 0 && p.sent.After(since) {
			return true
		}
	}
	return false
}
