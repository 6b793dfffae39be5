package mfintake

import (
	"context"
	"time"

	"github.com/apex/log"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfqueue"
	"mothferry/mfrecord"
	"mothferry/mfshare"
)

// maxCountAge is how old a count may be that is told: callers are promised that it
// is at most two seconds old. An owner tells a new one at least twice a second.
const maxCountAge = 2 * time.Second

// Pending returns how many accepted jobs of a queue have not begun, as the
// shard's owner last told it. It is not known while the owner has not counted, or
// has not been heard: the last count would hide all jobs that came since.
func (i *Intake) Pending(queue mothferry.QueueID) (int, bool) {
	board := i.lastHead()
	if board == nil || !board.PendingKnown || i.Clock.Now().Sub(board.FirstReadAt) > maxCountAge {
		return 0, false
	}
	return board.Pending[queue], true
}

func (i *Intake) lastHead() *mfrecord.Head {
	if i.LastHead == nil {
		return nil
	}
	return i.LastHead()
}

// Evaluation is what Judge decides about a job that is handed in.
type Evaluation struct {
	// TooLate says that the job can't be of use any more when its turn comes.
	TooLate bool
	// RetryAfter is when the job could be in time.
	RetryAfter time.Duration
}

// Evaluate decides whether a job can still be of use if it is handed in now. Wait
// is how long work of its service waits.
//
// The load it answers: a burst beyond all that pools can give. A job that is
// taken in then only makes others later, and its caller waits for nothing. As
// long as a job can be of use, late or in time, it is taken in: the estimate is
// a fraction of a second old and knows no machine that is on its way, and a
// refusal beside free workers is the worst answer.
func Evaluate(wait, chain, aim time.Duration) Evaluation {
	if wait+chain <= mfjob.LateFactor*aim {
		return Evaluation{}
	}
	return Evaluation{TooLate: true, RetryAfter: wait + chain - aim}
}

// maxHeadAge is how old the owner's word may be to refuse by it: a host reads it
// about three times a second.
const maxHeadAge = time.Second

// Spread of the time to come back: callers that were refused together must not
// return together.
const (
	jitterMin   = 0.8
	jitterRange = 0.6
)

// TooLarge reports whether a job has tasks that fit no machine of the fleet. It
// would wait until it is cancelled. A job that was accepted before, or may have
// been, is never refused.
func (i *Intake) TooLarge(ctx context.Context, id mothferry.JobID, job mfjob.Submission) bool {
	board := i.lastHead()
	if board == nil || board.MaxCapacity == (mothferry.Resources{}) {
		return false
	}
	for number := range job.Steps {
		need := job.Steps[number].Room()
		if need.Fits(board.MaxCapacity) {
			continue
		}
		if known, err := i.mayBeAccepted(ctx, id); err != nil || known {
			return false
		}
		i.Log.WithFields(log.Fields{
			"job": id, "step": number, "needs": need, "largest": board.MaxCapacity, "owner": board.Holder, "epoch": board.Epoch, "outcome": OutcomeNotRun,
		}).Info("job is refused, no machine is large enough")
		return true
	}
	return false
}

// Refuse reports whether a job is turned away, and when it may come back. A job
// that was accepted before, or may have been, is never refused.
func (i *Intake) Refuse(ctx context.Context, id mothferry.JobID, queue mfqueue.Queue, job mfjob.Submission) (time.Duration, bool) {
	board := i.lastHead()
	now := i.Clock.Now()
	if board == nil || now.Sub(board.ReadAt) > maxHeadAge || job.Lasts() || job.Repeat > 0 {
		return 0, false
	}
	r := i.refusalFor(board, queue, job, now)
	if r.outcome == "" {
		return 0, false
	}
	if known, err := i.mayBeAccepted(ctx, id); err != nil || known {
		return 0, false
	}
	i.Log.WithFields(r.fields).WithFields(log.Fields{
		"job": id, "queue": queue.ID, "account": job.Account, "reason": r.reason, "aim_ms": r.objective.Milliseconds(), "chain_ms": r.criticalPath.Milliseconds(),
		"wait_ms": r.wait.Milliseconds(), "owner": board.Holder, "epoch": board.Epoch, "again_ms": r.retryAfter.Milliseconds(), "outcome": OutcomeNotRun,
	}).Info("job is refused, it would be of no use")
	i.reportResult(queue.ID, job.Account, r.outcome)
	return r.retryAfter, true
}

// refusal is why a job is turned away; the outcome is empty if it is not.
type refusal struct {
	outcome                       SubmitResult
	reason                        mfshare.Reason
	wait, objective, criticalPath time.Duration
	retryAfter                    time.Duration
	fields                        log.Fields
}

// reasonQueue is that of a job whose queue as a whole is too far behind.
const reasonQueue mfshare.Reason = "queue"

// refusalFor decides on a job by what waits before it.
func (i *Intake) refusalFor(board *mfrecord.Head, queue mfqueue.Queue, job mfjob.Submission, now time.Time) refusal {
	chain := job.Chain()
	aim := mfjob.Objective(queue.Stretch, queue.Latency, chain)
	if board.Shares != nil && !i.Off[mothferry.FeatureShares] {
		return i.refusalByShare(board, queue, job, now)
	}
	r := refusal{wait: board.EstimatedWaits[queue.Service], objective: aim, criticalPath: chain, fields: log.Fields{"wait_age_ms": now.Sub(board.ReadAt).Milliseconds()}}
	if v := Evaluate(r.wait, chain, aim); v.TooLate {
		r.outcome, r.reason, r.retryAfter = RefusedQueue, reasonQueue, i.jitter(v.RetryAfter)
	}
	return r
}

// refusalByShare decides on a job by what its own account has waiting and is due. A word
// that is not renewed tells nothing of what came since.
func (i *Intake) refusalByShare(board *mfrecord.Head, queue mfqueue.Queue, job mfjob.Submission, now time.Time) refusal {
	chain, age := job.Chain(), now.Sub(board.FirstReadAt)
	r := refusal{objective: mfjob.Objective(queue.Stretch, queue.Latency, chain), criticalPath: chain}
	if age > maxHeadAge {
		return r
	}
	i.mutex.Lock()
	a := i.gate.Decide(board.Shares, board.FirstReadAt, mfshare.Request{
		Flow: mfshare.Flow{Service: queue.Service, Account: job.Account}, Work: job.Work(), CriticalPath: chain, Objective: r.objective,
	}, now)
	i.mutex.Unlock()
	r.wait, r.reason = a.Wait, a.Refused
	r.fields = log.Fields{"wait_age_ms": age.Milliseconds(), "share_cores": a.Share}
	switch a.Refused {
	case mfshare.ReasonLimit:
		r.outcome, r.retryAfter = RefusedLimit, i.jitter(a.RetryAfter)
	case mfshare.ReasonShare:
		r.outcome, r.retryAfter = RefusedShare, i.jitter(a.RetryAfter)
	}
	return r
}

// jitter draws when to come back.
func (i *Intake) jitter(again time.Duration) time.Duration {
	return time.Duration(float64(again) * (jitterMin + jitterRange*i.Random.Float64()))
}

// SubmitResult is how handing a job in ended, for those who count.
type SubmitResult string

// Ends of handing a job in.
const (
	Accepted SubmitResult = "accepted"
	// RefusedShare and RefusedLimit: its account's share, or limit, does not do it in time.
	RefusedShare SubmitResult = "refused_share"
	RefusedLimit SubmitResult = "refused_limit"
	// RefusedQueue: its queue as a whole can't.
	RefusedQueue SubmitResult = "refused_queue"
	// RefusedStore: the store did not take it.
	RefusedStore SubmitResult = "refused_store"
	// Unknown: it may have been accepted.
	Unknown SubmitResult = "unknown"
)

// reportResult tells those who count how handing a job in ended.
func (i *Intake) reportResult(queue mothferry.QueueID, account mothferry.AccountID, end SubmitResult) {
	if i.OnResult != nil {
		i.OnResult(queue, account, end)
	}
}
