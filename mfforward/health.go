package mfforward

import (
	"context"
	"errors"
	"sync"
	"time"

	"mothferry"
)

// Figures of what a host takes for the store's turning it away.
const (
	// failureThreshold is how many calls in a row fail until the store counts as not
	// serving this host: a single one is lost or refused on a store that is well too.
	failureThreshold = 2
	// failureTTL is after how long without a failed call that no longer holds. A host
	// reads who owns the shard three times a second.
	failureTTL = 3 * time.Second
	// unresponsiveAfter is after how long without an answer to a call, and to any later one, the
	// store counts as silent: sooner than calls time out, as a caller waits for as
	// long as they do. On a slow store it is slowFactor times what the last answer took.
	unresponsiveAfter = 300 * time.Millisecond
	slowFactor        = 3
	// trialInterval is how often a look-up is tried at a store that turns this host away: a
	// read of the shard's owner that was lost shows only after its time-out that the
	// store is back.
	trialInterval = 250 * time.Millisecond
)

// Health is what a host saw lately of its own calls to the store. The zero value is
// ready for use.
type Health struct {
	mutex       sync.Mutex
	failures    int
	lastFailure time.Time
	// lastAnsweredStart is when the call began that was answered last; calls to the store that
	// began before it and have no answer say nothing.
	lastAnsweredStart time.Time
	lastLatency       time.Duration
	pending           map[int]time.Time
	lastID            int
	// lastTrial is when a call was last let through as a trial.
	lastTrial time.Time
}

// Begin notes that a call to the store begins. What it returns is to be called with
// the call's end; a conflict is an answer.
func (h *Health) Begin(now time.Time) func(err error, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.pending == nil {
		h.pending = map[int]time.Time{}
	}
	h.lastID++
	number := h.lastID
	h.pending[number] = now
	return func(err error, now time.Time) { h.end(number, err, now) }
}

func (h *Health) end(number int, err error, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	began := h.pending[number]
	delete(h.pending, number)
	var conflict *mothferry.ErrConflict
	switch {
	case err == nil || errors.As(err, &conflict):
		h.failures, h.lastLatency = 0, now.Sub(began)
		if began.After(h.lastAnsweredStart) {
			h.lastAnsweredStart = began
		}
	case !errors.Is(err, context.Canceled):
		h.failures++
		h.lastFailure = now
	}
}

// Unavailable reports whether the store turns this host away or can't be reached.
//
// The load it answers: a store that serves a part of the hosts only. Each call that is
// sent to it all the same costs its caller the time until it fails. Reads of the
// shard's owner go on meanwhile, and the first that succeeds ends it.
func (h *Health) Unavailable(now time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.unavailable(now)
}

func (h *Health) unavailable(now time.Time) bool {
	if h.failures >= failureThreshold && now.Sub(h.lastFailure) < failureTTL {
		return true
	}
	patience := max(unresponsiveAfter, slowFactor*h.lastLatency)
	for _, began := range h.pending {
		if began.After(h.lastAnsweredStart) && now.Sub(began) >= patience {
			return true
		}
	}
	return false
}

// AllowTrial reports whether a look-up may go to a store that turns this host away. It does
// so once each trialEvery.
func (h *Health) AllowTrial(now time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if now.Sub(h.lastTrial) < trialInterval {
		return false
	}
	h.lastTrial = now
	return true
}

// Serving reports whether the store has answered this host and does not turn it away.
func (h *Health) Serving(now time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return !h.lastAnsweredStart.IsZero() && !h.unavailable(now)
}
