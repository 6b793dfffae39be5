package mfsched

import (
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
}

// returned applies what is kept of a worker that is listed again under its id.
func (s *State) returned(w *worker, now time.Time) {
	if _, known := s.former[w.at.Worker]; !known {
		return
	}
	delete(s.former, w.at.Worker)
	w.restartedAt, w.priorLeaseEnd = now, now.Add(s.Limits.LeaseExpiryBound())
}

// expireFormer forgets the workers that were removed more than formerRetention ago.
func (s *State) expireFormer(now time.Time) {
	for id, f := range s.former {
		if now.Sub(f.removedAt) > formerRetention {
			delete(s.former, id)
		}
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
