package mfguard

import (
	"time"

	"mothferry"
)

// holding is what a connection holds of a pool.
type holding struct {
	phase phase
	// since is when the phase began, until when a body has to be complete.
	since, until time.Time
	reserved     mothferry.Bytes
	admitted     bool
	// sentAhead is set if the request was received before the answer to the one before it, hasTurn while
	// it is served as one of these.
	sentAhead, hasTurn bool
}

// phase is what a connection does.
type phase int

const (
	// phaseNew: nothing was received yet.
	phaseNew phase = iota
	// phaseIdle: a request has ended, and nothing was received since.
	phaseIdle
	phaseHead
	phaseBody
	// phaseServing: a request was received and is not answered yet.
	phaseServing
)

// expired returns why a connection is to be ended; empty if it is not.
func (c *conn) expired(now time.Time, limits Limits) endReason {
	switch {
	case c.stalled(limits.HeaderTimeout):
		return endAnswerTimeout
	case (c.phase == phaseNew || c.phase == phaseHead) && now.Sub(c.since) > limits.HeaderTimeout:
		return endHeadTimeout
	case c.phase == phaseIdle && now.Sub(c.since) > limits.IdleTimeout:
		return endIdle
	case c.phase == phaseBody && now.After(c.until):
		return endBodyTimeout
	}
	return ""
}

// stalled reports whether a write has been under way for longer than a time.
func (c *conn) stalled(longest time.Duration) bool {
	since := time.Duration(c.writingSince.Load())
	return since != 0 && c.server.pool.elapsed()-since > longest
}
