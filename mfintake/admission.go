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

// maxCountAge is the largest age of a count that is returned: callers are promised one that is
// at most two seconds old. An owner publishes a new one at least twice a second.
const maxCountAge = 2 * time.Second

// Pending returns how many accepted jobs of a queue have not started, by the shard's last
// head. It is unknown while the owner has not counted the jobs, or if it has not renewed the
// head for maxCountAge: an old count would omit all jobs submitted since.
func (i *Intake) Pending(queue mothferry.QueueID) (int, bool) {
	head := i.lastHead()
	if head == nil || !head.PendingKnown || i.Clock.Now().Sub(head.FirstReadAt) > maxCountAge {
		return 0, false
	}
	return head.Pending[queue], true
}

func (i *Intake) lastHead() *mfrecord.Head {
	if i.LastHead == nil {
		return nil
	}
	return i.LastHead()
}

// Evaluation is the result of Evaluate for a submitted job.
type Evaluation struct {
	// TooLate says that the job would be finished too late to be of use.
	TooLate bool
	// RetryAfter is after what time the job could be on time.
	RetryAfter time.Duration
}

// Evaluate decides whether a job can still be of use if it is submitted now. Wait is the
// queueing time of its service.
//
// In a burst beyond the capacity of all pools, accepting a job that can't be of use only
// delays others, and its caller waits for nothing. As long as a job can be of use, late or on
// time, it is accepted: the estimate is a fraction of a second old and does not include
// machines that are being moved, and refusing a job while workers are free is the worst
// result.
func Evaluate(wait, criticalPath, objective time.Duration) Evaluation {
	if wait+criticalPath <= mfjob.TooLateFactor*objective {
		return Evaluation{}
	}
	return Evaluation{TooLate: true, RetryAfter: wait + criticalPath - objective}
}

// maxHeadAge is the largest age of a head by which jobs are refused: a host reads the head about
// three times a second.
const maxHeadAge = time.Second

// Retry times are multiplied by a random factor from jitterMin to jitterMin+jitterRange: callers
// that were refused together must not retry together.
const (
	jitterMin   = 0.8
	jitterRange = 0.6
)

// TooLarge reports whether a job has tasks that fit no machine of the fleet, or that do not fit its
// row when they all run, as they have to: it would wait until it is cancelled. A job that was
// accepted before, or may have been, is never refused.
func (i *Intake) TooLarge(ctx context.Context, id mothferry.JobID, job mfjob.Submission) bool {
	head := i.lastHead()
	if head == nil {
		return false
	}
	if size := job.MaxProgressSize(head.LongestWorkerID); size > i.maxRow() {
		if accepted, err := i.mayBeAccepted(ctx, id); err != nil || accepted {
			return false
		}
		i.Log.WithFields(log.Fields{
			"job": id, "tasks": job.TasksPerOccurrence(), "size": size, "limit": i.maxRow(), "longest_worker_id": head.LongestWorkerID, "owner": head.Holder, "epoch": head.Epoch, "outcome": OutcomeNotRun,
		}).Info("job refused: its progress does not fit a row")
		return true
	}
	if head.MaxCapacity == (mothferry.Resources{}) {
		return false
	}
	for number := range job.Steps {
		need := job.Steps[number].Reservation()
		if need.Fits(head.MaxCapacity) {
			continue
		}
		if accepted, err := i.mayBeAccepted(ctx, id); err != nil || accepted {
			return false
		}
		i.Log.WithFields(log.Fields{
			"job": id, "step": number, "needs": need, "largest": head.MaxCapacity, "owner": head.Holder, "epoch": head.Epoch, "outcome": OutcomeNotRun,
		}).Info("job refused: no machine is large enough")
		return true
	}
	return false
}

// Refuse reports whether a job is refused, and after what time it may be submitted again. A
// job that was accepted before, or may have been, is never refused.
func (i *Intake) Refuse(ctx context.Context, id mothferry.JobID, queue mfqueue.Queue, job mfjob.Submission) (time.Duration, bool) {
	head := i.lastHead()
	now := i.Clock.Now()
	if head == nil || now.Sub(head.ReadAt) > maxHeadAge || job.Lasts() || job.Repeat > 0 {
		return 0, false
	}
	r := i.refusalFor(head, queue, job, now)
	if r.outcome == "" {
		return 0, false
	}
	if accepted, err := i.mayBeAccepted(ctx, id); err != nil || accepted {
		return 0, false
	}
	i.Log.WithFields(r.fields).WithFields(log.Fields{
		"job": id, "queue": queue.ID, "account": job.Account, "reason": r.reason, "aim_ms": r.objective.Milliseconds(), "chain_ms": r.criticalPath.Milliseconds(),
		"wait_ms": r.wait.Milliseconds(), "owner": head.Holder, "epoch": head.Epoch, "again_ms": r.retryAfter.Milliseconds(), "outcome": OutcomeNotRun,
	}).Info("job is refused, it would be of no use")
	i.reportResult(queue.ID, job.Account, r.outcome)
	return r.retryAfter, true
}

// refusal is why a job is refused; the outcome is empty if it is not.
type refusal struct {
	outcome                       SubmitResult
	reason                        mfshare.Reason
	wait, objective, criticalPath time.Duration
	retryAfter                    time.Duration
	fields                        log.Fields
}

// Reasons that concern all jobs of a queue.
const (
	// reasonQueue: the wait for workers is too long for the job.
	reasonQueue mfshare.Reason = "queue"
	// reasonAdvice: the wait for the adviser is too long for the job.
	reasonAdvice mfshare.Reason = "advice"
)

// refusalFor decides on a job by the work queued before it.
func (i *Intake) refusalFor(head *mfrecord.Head, queue mfqueue.Queue, job mfjob.Submission, now time.Time) refusal {
	criticalPath := job.CriticalPath()
	objective := mfjob.Objective(queue.Stretch, queue.Latency, criticalPath)
	if age := now.Sub(head.FirstReadAt); queue.Advised && age <= maxHeadAge {
		if v := Evaluate(head.AdviceWait, criticalPath, objective); v.TooLate {
			return refusal{
				outcome: RefusedQueue, reason: reasonAdvice, wait: head.AdviceWait, objective: objective, criticalPath: criticalPath,
				retryAfter: i.jitter(v.RetryAfter), fields: log.Fields{"wait_age_ms": age.Milliseconds()},
			}
		}
	}
	if head.Shares != nil && !i.Off[mothferry.FeatureShares] {
		return i.refusalByShare(head, queue, job, now)
	}
	r := refusal{wait: head.EstimatedWaits[queue.Service], objective: objective, criticalPath: criticalPath, fields: log.Fields{"wait_age_ms": now.Sub(head.ReadAt).Milliseconds()}}
	if v := Evaluate(r.wait, criticalPath, objective); v.TooLate {
		r.outcome, r.reason, r.retryAfter = RefusedQueue, reasonQueue, i.jitter(v.RetryAfter)
	}
	return r
}

// refusalByShare decides on a job by the queued work and the fair share of its own account. It
// refuses nothing if the head has not been renewed for maxHeadAge, as the head does not
// include the work submitted since.
func (i *Intake) refusalByShare(head *mfrecord.Head, queue mfqueue.Queue, job mfjob.Submission, now time.Time) refusal {
	criticalPath, age := job.CriticalPath(), now.Sub(head.FirstReadAt)
	r := refusal{objective: mfjob.Objective(queue.Stretch, queue.Latency, criticalPath), criticalPath: criticalPath}
	if age > maxHeadAge {
		return r
	}
	i.mutex.Lock()
	d := i.admission.Decide(head.Shares, head.FirstReadAt, mfshare.Request{
		Flow: mfshare.Flow{Service: queue.Service, Account: job.Account}, Work: job.Work(), CriticalPath: criticalPath, Objective: r.objective,
	}, now)
	i.mutex.Unlock()
	r.wait, r.reason = d.Wait, d.Refused
	r.fields = log.Fields{"wait_age_ms": age.Milliseconds(), "share_cores": d.Share}
	switch d.Refused {
	case mfshare.ReasonLimit:
		r.outcome, r.retryAfter = RefusedLimit, i.jitter(d.RetryAfter)
	case mfshare.ReasonShare:
		r.outcome, r.retryAfter = RefusedShare, i.jitter(d.RetryAfter)
	}
	return r
}

// jitter randomizes the time after which a caller may retry.
func (i *Intake) jitter(retryAfter time.Duration) time.Duration {
	return time.Duration(float64(retryAfter) * (jitterMin + jitterRange*i.Random.Float64()))
}

// SubmitResult is the result of the submission of a job, for metrics.
type SubmitResult string

// Results of submissions.
const (
	Accepted SubmitResult = "accepted"
	// RefusedShare and RefusedLimit: with the fair share, or the limit, of its account the job
	// can't be on time.
	RefusedShare SubmitResult = "refused_share"
	RefusedLimit SubmitResult = "refused_limit"
	// RefusedQueue: the wait of the whole queue, for workers or for the adviser, is too long.
	RefusedQueue SubmitResult = "refused_queue"
	// RefusedStore: the store rejected the write.
	RefusedStore SubmitResult = "refused_store"
	// Unknown: the job may have been accepted.
	Unknown SubmitResult = "unknown"
)

// reportResult passes the result of a submission to OnResult.
func (i *Intake) reportResult(queue mothferry.QueueID, account mothferry.AccountID, result SubmitResult) {
	if i.OnResult != nil {
		i.OnResult(queue, account, result)
	}
}
