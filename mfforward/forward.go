// Package mfforward lets hosts serve each other's callers: a host that the store does not
// serve, or that can't reach it, forwards callers' requests to a peer that the store serves.
//
// The host that received a request does the routing, the keys and the account; the peer stores,
// reads and evaluates, by its own store only, so that a request makes at most one hop. These
// cases are handled:
//
//   - A submission takes two ways, by this host's own write and by a peer's: the check on the
//     row makes it one job.
//   - A peer refuses a job of which this host's own write, or another peer's, has no answer:
//     that write may still take effect, so the outcome stays unknown.
//   - A host that the store does not serve receives no new config: a peer with one at least as
//     new looks up the key and the queue again.
//   - A peer crashes, hangs or is partitioned: its calls end as unknown, look-ups are made at
//     another one, and it is avoided for a while.
//   - The store serves no host: peers report so before they try, and no peer is asked for a
//     while.
package mfforward

import (
	"time"

	"mothferry"
	"mothferry/mfaccount"
	"mothferry/mfintake"
	"mothferry/mfjob"
)

// Kind is the kind of a call.
type Kind string

// Kinds of calls.
const (
	KindAccept Kind = "accept"
	KindState  Kind = "state"
	KindCancel Kind = "cancel"
	// kindCount asks how many jobs of a queue have not started. It is neither counted in
	// metrics nor logged.
	kindCount Kind = "count"
)

// readOnly reports whether a call changes nothing.
func (k Kind) readOnly() bool { return k == KindState || k == kindCount }

// Outcomes of a call besides those of mfintake.
const (
	// OutcomeNoPeer: there is no peer to ask; nothing was done.
	OutcomeNoPeer mfintake.Outcome = "no_peer"
	// OutcomeLimit: a limit on forwarded calls is reached; nothing was done.
	OutcomeLimit mfintake.Outcome = "limit"
	// OutcomeNoKey: the caller's key is no longer in force; nothing was done.
	OutcomeNoKey mfintake.Outcome = "no_key"
	// outcomeUnserved: the store does not serve the peer either; nothing was done.
	outcomeUnserved mfintake.Outcome = "away"
)

// Caller is who makes a call, by the config of the host that received it.
type Caller struct {
	Account mothferry.AccountID
	// Key is the digest of the caller's key; nil if it needed none.
	Key *mfaccount.Digest
	// Config is the version of that config.
	Config mothferry.Version
}

// Call is a caller's request about a job.
type Call struct {
	Caller

	Kind Kind
	Job  mothferry.JobID
	// Queue is the queue whose jobs a kindCount call counts.
	Queue mothferry.QueueID
	// Submission is the job that a KindAccept call submits.
	Submission mfjob.Submission
	// Unresolved is whether an earlier write of the job may still take effect.
	Unresolved bool
}

// Answer is the result of a call.
type Answer struct {
	Outcome mfintake.Outcome
	// State is the state of a job that was found.
	State mfjob.State
	// Count is how many jobs have not started.
	Count int
	// RetryAfter is when a refused job may be retried; zero if that is not known.
	RetryAfter time.Duration
}

// notExecuted reports whether an outcome confirms that a peer did nothing.
func notExecuted(o mfintake.Outcome) bool {
	switch o {
	case mfintake.OutcomeNotRun, OutcomeNoPeer, OutcomeLimit, OutcomeNoKey, outcomeUnserved:
		return true
	default:
		return false
	}
}

// retryElsewhere reports whether a call that ended like this at one peer may be made at
// another. A submission or cancel without an answer is not: it would put the same load on the
// next peer, and its caller has already waited long.
func retryElsewhere(k Kind, a Answer) bool {
	switch {
	case a.RetryAfter > 0 || a.Outcome == OutcomeNoKey:
		// The peer is healthy and refused the call.
		return false
	case notExecuted(a.Outcome):
		return true
	default:
		return k.readOnly() && a.Outcome == mfintake.OutcomeUnknown
	}
}

// combineAnswers returns the answer to a caller, given that of this host's own attempt, if
// there was one, and that of a peer. If unresolved is set, a write of the job may still take
// effect, and the job must not be refused.
func combineAnswers(k Kind, own, peer Answer, unresolved bool) Answer {
	switch {
	case own.Outcome == mfintake.OutcomeDone || own.Outcome == mfintake.OutcomeIDTaken || own.Outcome == mfintake.OutcomeNoJob:
		return own
	case !notExecuted(peer.Outcome):
		return peer
	case peer.Outcome == OutcomeNoKey && own.Outcome != mfintake.OutcomeUnknown && !(k == KindAccept && unresolved):
		return peer
	case k.readOnly() || own.Outcome == mfintake.OutcomeUnknown || k == KindAccept && unresolved:
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
