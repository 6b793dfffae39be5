package mfforward

import (
	"context"
	"time"

	"mothferry"
	"mothferry/mfintake"
	"mothferry/mfjob"
	"mothferry/mfrecord"
)

const (
	// healthCheckInterval is how often the store is checked for unresponsiveness while a call
	// has no answer.
	healthCheckInterval = 50 * time.Millisecond
	// confirmTimeout bounds the read that tells a single failed call from an unavailable store.
	confirmTimeout = 250 * time.Millisecond
)

// Router serves callers by this host's store, or by a peer while the store is unavailable to
// this host. Without a client it uses the store alone. The exported fields are set before use.
type Router struct {
	Intake *mfintake.Intake
	Client *Client
	Health *Health
	Store  mothferry.RowStore
	Clock  mothferry.Clock
}

// Accept stores a job. RetryAfter is when a job that was refused for lack of capacity may be
// retried; zero if the refusal has another reason.
func (r *Router) Accept(ctx context.Context, id mothferry.JobID, s mfjob.Submission, by Caller) (outcome mfintake.Outcome, retryAfter time.Duration) {
	a := r.serve(ctx, Call{Caller: by, Kind: KindAccept, Job: id, Submission: s}, func() Answer {
		return Answer{Outcome: r.Intake.Accept(ctx, id, s)}
	})
	return a.Outcome, a.RetryAfter
}

// State looks up a job for a caller of an account.
func (r *Router) State(ctx context.Context, id mothferry.JobID, by Caller) (mfjob.State, mfintake.Outcome) {
	a := r.serve(ctx, Call{Kind: KindState, Job: id, Caller: by}, func() Answer {
		state, outcome := r.Intake.State(ctx, id, by.Account)
		return Answer{Outcome: outcome, State: state}
	})
	return a.State, a.Outcome
}

// Cancel stores the cancellation of a job by a caller of an account.
func (r *Router) Cancel(ctx context.Context, id mothferry.JobID, by Caller) mfintake.Outcome {
	return r.serve(ctx, Call{Kind: KindCancel, Job: id, Caller: by}, func() Answer {
		return Answer{Outcome: r.Intake.Cancel(ctx, id, by.Account)}
	}).Outcome
}

// Pending returns how many accepted jobs of a queue have not started, as the shard's owner last
// published to this host, or to a peer while the store is unavailable to this one.
func (r *Router) Pending(ctx context.Context, queue mothferry.QueueID, by Caller) (int, bool) {
	count, ok := r.Intake.Pending(queue)
	if ok || r.Client == nil || !r.Health.Unavailable(r.Clock.Now()) {
		return count, ok
	}
	a := r.Client.Forward(ctx, Call{Caller: by, Kind: kindCount, Queue: queue})
	return a.Count, a.Outcome == mfintake.OutcomeDone
}

// serve makes a call by own, and by a peer if the store is unavailable to this host.
//
// Otherwise the callers of this host would be refused, or wait, while its peers could serve
// them. A single failed call is not sufficient: when the store is overloaded, peers would get
// the same load from all hosts.
func (r *Router) serve(ctx context.Context, call Call, own func() Answer) Answer {
	var ownAnswer Answer
	var ownResult chan Answer
	if r.Client == nil {
		return own()
	}
	now := r.Clock.Now()
	if !r.Health.Unavailable(now) || call.Kind == KindState && r.Health.AllowTrial(now) {
		ownResult = make(chan Answer, 1)
		go func() { ownResult <- own() }()
		var ended bool
		if ownAnswer, ended = r.await(ownResult); ended && !failed(ownAnswer) {
			return ownAnswer
		}
		if !ended {
			ownAnswer = Answer{Outcome: mfintake.OutcomeUnknown}
		} else if !r.confirmUnavailable(ctx) {
			return ownAnswer
		}
		if call.Kind == KindAccept && ownAnswer.Outcome == mfintake.OutcomeUnknown {
			r.Intake.MarkUnresolved(call.Job)
		}
	}
	call.Unresolved = r.Intake.Unresolved(call.Job)
	peer := r.Client.Forward(ctx, call)
	if call.Kind == KindAccept && peer.Outcome == mfintake.OutcomeUnknown {
		r.Intake.MarkUnresolved(call.Job)
	}
	select {
	case ownAnswer = <-ownResult:
	default:
	}
	return combineAnswers(call.Kind, ownAnswer, peer, r.Intake.Unresolved(call.Job))
}

func failed(a Answer) bool {
	return a.Outcome == mfintake.OutcomeNotRun || a.Outcome == mfintake.OutcomeUnknown
}

// await returns the answer of this host's own attempt, or false once the store is unavailable.
func (r *Router) await(own <-chan Answer) (Answer, bool) {
	for {
		select {
		case a := <-own:
			return a, true
		case <-r.Clock.After(healthCheckInterval):
			if r.Health.Unavailable(r.Clock.Now()) {
				return Answer{}, false
			}
		}
	}
}

// confirmUnavailable reports whether the store is unavailable, after one call has failed.
func (r *Router) confirmUnavailable(ctx context.Context) bool {
	if r.Health.Unavailable(r.Clock.Now()) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	_, _ = r.Store.Range(ctx, mothferry.RowRange{Table: mfrecord.TableOwner, Part: mfrecord.PartShard, From: mfrecord.KeyHead, Limit: 1})
	return r.Health.Unavailable(r.Clock.Now())
}
