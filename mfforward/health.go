package mfforward

import (
	"context"
	"errors"
	"sync"
	"time"

	"mothferry"
)

const (
	// failureThreshold is how many consecutive calls must fail before the store counts as
	// unavailable to this host: a single one may be lost or refused by a healthy store too.
	failureThreshold = 2
	// failureTTL is how long after the last failed call the store still counts as unavailable.
	// A host reads the shard's owner three times a second.
	failureTTL = 3 * time.Second
	// unresponsiveAfter is how long a call and all later ones may go without an answer before
	// the store counts as unresponsive. It is shorter than the timeout of calls, as a caller
	// waits for as long as they do. On a slow store it is slowFactor times the duration of the
	// last answered call.
	unresponsiveAfter = 300 * time.Millisecond
	slowFactor        = 3
	// trialInterval is how often a look-up is tried at an unavailable store: a read of the
	// shard's owner that was lost shows only after its timeout that the store is back.
	trialInterval = 250 * time.Millisecond
)

// Health tracks the recent results of this host's own calls to the store. The zero value is
// ready for use.
type Health struct {
	mutex       sync.Mutex
	failures    int
	lastFailure time.Time
	// lastAnsweredStart is the latest start of an answered call; calls that started before it
	// and have no answer are ignored.
	lastAnsweredStart time.Time
	lastLatency       time.Duration
	pending           map[int]time.Time
	lastID            int
	// lastTrial is when AllowTrial last let a look-up through.
	lastTrial time.Time
}

// Begin records the start of a call to the store. The function it returns is to be called with
// the call's result; a conflict counts as an answer.
func (h *Health) Begin(now time.Time) func(err error, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.pending == nil {
		h.pending = map[int]time.Time{}
	}
	h.lastID++
	id := h.lastID
	h.pending[id] = now
	return func(err error, now time.Time) { h.end(id, err, now) }
}

func (h *Health) end(id int, err error, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	start := h.pending[id]
	delete(h.pending, id)
	var conflict *mothferry.ErrConflict
	var rejected *mothferry.ErrRejected
	switch {
	case err == nil || errors.As(err, &conflict) || errors.As(err, &rejected):
		h.failures, h.lastLatency = 0, now.Sub(start)
		if start.After(h.lastAnsweredStart) {
			h.lastAnsweredStart = start
		}
	case !errors.Is(err, context.Canceled):
		h.failures++
		h.lastFailure = now
	}
}

// Unavailable reports whether the store does not serve this host or can't be reached.
//
// The store may serve only some of the hosts. Each call that is sent to it regardless costs its
// caller the time until it fails. Reads of the shard's owner continue meanwhile, and the first
// that succeeds ends the state.
func (h *Health) Unavailable(now time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.unavailable(now)
}

func (h *Health) unavailable(now time.Time) bool {
	if h.failures >= failureThreshold && now.Sub(h.lastFailure) < failureTTL {
		return true
	}
	limit := max(unresponsiveAfter, slowFactor*h.lastLatency)
	for _, start := range h.pending {
		if start.After(h.lastAnsweredStart) && now.Sub(start) >= limit {
			return true
		}
	}
	return false
}

// AllowTrial reports whether a look-up may go to an unavailable store, once per trialInterval.
func (h *Health) AllowTrial(now time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if now.Sub(h.lastTrial) < trialInterval {
		return false
	}
	h.lastTrial = now
	return true
}

// Serving reports whether the store has answered this host and is available to it.
func (h *Health) Serving(now time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return !h.lastAnsweredStart.IsZero() && !h.unavailable(now)
}
