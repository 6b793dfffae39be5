package mfforward

import (
	"context"
	"time"

	"mothferry"
	"mothferry/mfintake"
	"mothferry/mfjob"
	"mothferry/mfrecord"
)

// Figures of a router.
const (
	// healthCheckInterval is how often it is looked whether the store is silent, while a call
	// has no answer.
	healthCheckInterval = 50 * time.Millisecond
	// confirmTimeout bounds the read that tells a call that failed by itself from a store
	// that turns this host away.
	confirmTimeout = 250 * time.Millisecond
)

// Router serves callers by the own store, or by a peer while the store turns this
// host away. Without a client it is by the own store alone. The exported fields are set before use.
type Router struct {
	Intake *mfintake.Intake
	Client *Client
	Health *Health
	Store  mothferry.RowStore
	Clock  mothferry.Clock
}

// Accept stores a job. Again is when a job that was refused for want of room may come
// back; zero if the refusal has another reason.
func (r *Router) Accept(ctx context.Context, id mothferry.JobID, s mfjob.Submission, by Caller) (outcome mfintake.Outcome, again time.Duration) {
	a := r.serve(ctx, Call{Caller: by, Kind: KindAccept, Job: id, Submission: s}, func() Answer {
		return Answer{Outcome: r.Intake.Accept(ctx, id, s)}
	})
	return a.Outcome, a.RetryAfter
}

// State looks a job up for a caller of an account.
func (r *Router) State(ctx context.Context, id mothferry.JobID, by Caller) (mfjob.State, mfintake.Outcome) {
	a := r.serve(ctx, Call{Kind: KindState, Job: id, Caller: by}, func() Answer {
		state, outcome := r.Intake.State(ctx, id, by.Account)
		return Answer{Outcome: outcome, State: state}
	})
	return a.State, a.Outcome
}

// Cancel stores the cancel of a job by a caller of an account.
func (r *Router) Cancel(ctx context.Context, id mothferry.JobID, by Caller) mfintake.Outcome {
	return r.serve(ctx, Call{Kind: KindCancel, Job: id, Caller: by}, func() Answer {
		return Answer{Outcome: r.Intake.Cancel(ctx, id, by.Account)}
	}).Outcome
}

// Pending returns how many accepted jobs of a queue have not begun, as the shard's owner
// last told this host, or a peer while the store turns this one away.
func (r *Router) Pending(ctx context.Context, queue mothferry.QueueID, by Caller) (int, bool) {
	count, ok := r.Intake.Pending(queue)
	if ok || r.Client == nil || !r.Health.Unavailable(r.Clock.Now()) {
		return count, ok
	}
	a := r.Client.Forward(ctx, Call{Caller: by, Kind: kindCount, Queue: queue})
	return a.Count, a.Outcome == mfintake.OutcomeDone
}

// serve makes a call by own, and by a peer if the store turns this host away.
//
// The load it answers: a host whose callers are refused, or wait, while its peers
// would serve them. One call that fails by itself is no reason: peers would get the
// same load from all hosts when the store has too much.
func (r *Router) serve(ctx context.Context, call Call, own func() Answer) Answer {
	var first Answer
	var late chan Answer
	if r.Client == nil {
		return own()
	}
	now := r.Clock.Now()
	if !r.Health.Unavailable(now) || call.Kind == KindState && r.Health.AllowTrial(now) {
		late = make(chan Answer, 1)
		go func() { late <- own() }()
		var ended bool
		if first, ended = r.await(late); ended && !failed(first) {
			return first
		}
		if !ended {
			first = Answer{Outcome: mfintake.OutcomeUnknown}
		} else if !r.confirmUnavailable(ctx) {
			return first
		}
		if call.Kind == KindAccept && first.Outcome == mfintake.OutcomeUnknown {
			r.Intake.MarkUnresolved(call.Job)
		}
	}
	call.Unresolved = r.Intake.Unresolved(call.Job)
	peer := r.Client.Forward(ctx, call)
	if call.Kind == KindAccept && peer.Outcome == mfintake.OutcomeUnknown {
		r.Intake.MarkUnresolved(call.Job)
	}
	select {
	case first = <-late:
	default:
	}
	return combineAnswers(call.Kind, first, peer, r.Intake.Unresolved(call.Job))
}

func failed(a Answer) bool {
	return a.Outcome == mfintake.OutcomeNotRun || a.Outcome == mfintake.OutcomeUnknown
}

// await returns the own attempt's answer, or false once the store is silent for longer
// than calls take.
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

// confirmUnavailable reports whether the store turns this host away, of which one call failed.
func (r *Router) confirmUnavailable(ctx context.Context) bool {
	if r.Health.Unavailable(r.Clock.Now()) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	_, _ = r.Store.Range(ctx, mothferry.RowRange{Table: mfrecord.TableOwner, Part: mfrecord.PartShard, From: mfrecord.KeyHead, Limit: 1})
	return r.Health.Unavailable(r.Clock.Now())
}
