// Package mfforward has hosts help each other: a host that the store turns away, or
// that can't reach it, passes callers' requests on to a peer that the store serves.
//
// The host that got a request does the routing, the keys and the account; the peer
// stores, reads and judges, by its own store only, so that a request makes one hop at
// the most. What it guards against:
//
//   - A hand-in goes two ways, by this host's own write and a peer's: the row's check
//     makes it one job.
//   - A peer refuses a job of which an own write, or another peer's, has no answer:
//     that may be made yet, so the outcome stays unknown.
//   - A host that is turned away hears of no new config: a peer with a newer one looks the key and
//     the queue up again.
//   - A peer dies, freezes or is cut off: its calls end as unknown, look-ups are made
//     at another one, and it is left out for a while.
//   - The store turns all hosts away: peers say so before they try, and nobody is asked
//     for a while.
package mfforward

import (
	"time"

	"mothferry"
	"mothferry/mfaccount"
	"mothferry/mfintake"
	"mothferry/mfjob"
)

// Kind is what a caller asks for.
type Kind string

// Kinds of calls.
const (
	KindAccept Kind = "accept"
	KindState  Kind = "state"
	KindCancel Kind = "cancel"
	// kindCount asks how many jobs of a queue have not begun. It is not counted.
	kindCount Kind = "count"
)

// readOnly reports whether a call changes nothing.
func (k Kind) readOnly() bool { return k == KindState || k == kindCount }

// Outcomes of a call beside those of mfintake.
const (
	// OutcomeNoPeer: there is no peer to ask, and nothing was done.
	OutcomeNoPeer mfintake.Outcome = "no_peer"
	// OutcomeLimit: as many calls are passed on as may be, and nothing was done.
	OutcomeLimit mfintake.Outcome = "limit"
	// OutcomeNoKey: the caller's key is no longer in force, and nothing was done.
	OutcomeNoKey mfintake.Outcome = "no_key"
	// outcomeUnserved: the store does not serve the peer either, and nothing was done.
	outcomeUnserved mfintake.Outcome = "away"
)

// Caller is who makes a call, as the host that got it knows by its config.
type Caller struct {
	Account mothferry.AccountID
	// Key stands for the caller's key; nil if it needed none.
	Key *mfaccount.Digest
	// Config is the version of that config.
	Config mothferry.Version
}

// Call is a caller's request about a job.
type Call struct {
	Caller

	Kind Kind
	Job  mothferry.JobID
	// Queue is the one whose jobs are counted.
	Queue mothferry.QueueID
	// Submission is the job that is handed in.
	Submission mfjob.Submission
	// Unresolved says that an earlier write of the job may still be made.
	Unresolved bool
}

// Answer is how a call ended.
type Answer struct {
	Outcome mfintake.Outcome
	// State is that of a job that was found.
	State mfjob.State
	// Count is how many jobs have not begun.
	Count int
	// RetryAfter is when a job that was refused may come back; zero if that is not told.
	RetryAfter time.Duration
}

// notExecuted reports whether certainly nothing came of a call at a peer.
func notExecuted(o mfintake.Outcome) bool {
	switch o {
	case mfintake.OutcomeNotRun, OutcomeNoPeer, OutcomeLimit, OutcomeNoKey, outcomeUnserved:
		return true
	default:
		return false
	}
}

// retryElsewhere reports whether a call may be made at another peer after it ended like
// this at one. A hand-in or cancel without an answer is not sent on: it would meet the
// next peer with the same load, and its caller has waited long already.
func retryElsewhere(k Kind, a Answer) bool {
	switch {
	case a.RetryAfter > 0 || a.Outcome == OutcomeNoKey:
		// The peer was well, and refused.
		return false
	case notExecuted(a.Outcome):
		return true
	default:
		return k.readOnly() && a.Outcome == mfintake.OutcomeUnknown
	}
}

// combineAnswers returns the answer to a caller, given how this host's own attempt ended, if
// there was one, and how a peer's did. Unclear says that a write of the job may still
// be made: it must not be refused then.
func combineAnswers(k Kind, own, peer Answer, unclear bool) Answer {
	switch {
	case own.Outcome == mfintake.OutcomeDone || own.Outcome == mfintake.OutcomeIDTaken || own.Outcome == mfintake.OutcomeNoJob:
		return own
	case !notExecuted(peer.Outcome):
		return peer
	case peer.Outcome == OutcomeNoKey && own.Outcome != mfintake.OutcomeUnknown && !(k == KindAccept && unclear):
		return peer
	case k.readOnly() || own.Outcome == mfintake.OutcomeUnknown || k == KindAccept && unclear:
		return Answer{Outcome: mfintake.OutcomeUnknown}
	default:
		return Answer{Outcome: mfintake.OutcomeNotRun, RetryAfter: peer.RetryAfter}
	}
}

// reportedOutcome returns the outcome under which a call is counted and logged.
func reportedOutcome(o mfintake.Outcome) mfintake.Outcome {
	switch o {
	case outcomeUnserved:
		return OutcomeNoPeer
	case OutcomeNoKey:
		return mfintake.OutcomeNotRun
	default:
		return o
	}
}
