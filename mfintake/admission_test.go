package mfintake_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mffake"
	"mothferry/mfintake"
	"mothferry/mfjob"
	"mothferry/mflog"
	"mothferry/mfqueue"
	"mothferry/mfrecord"
	"mothferry/mfshare"
	"mothferry/mfstandin"
)

// TestEvaluate checks that a job is refused only if it can't be of use even late, with the time
// after which it could be on time.
func TestEvaluate(t *testing.T) {
	const criticalPath, objective = time.Second, 2 * time.Second
	for _, c := range []struct {
		wait    time.Duration
		tooLate bool
	}{{0, false}, {2 * time.Second, false}, {5 * time.Second, false}, {5100 * time.Millisecond, true}, {time.Minute, true}} {
		v := mfintake.Evaluate(c.wait, criticalPath, objective)
		assert.Equal(t, v.TooLate, c.tooLate, "wait %v", c.wait)
		if v.TooLate {
			assert.Equal(t, v.RetryAfter, c.wait+criticalPath-objective)
		}
	}
}

// TestStaleCountIsNotReported guards against a host that returns an old count of queued jobs:
// a new owner that has not read the jobs yet must not publish the previous owner's count, and
// reading an unchanged row must not make its count look new.
func TestStaleCountIsNotReported(t *testing.T) {
	clock := mffake.NewClock()
	now := clock.Now()
	head := mfrecord.Head{PendingKnown: true, Pending: map[mothferry.QueueID]int{"q": 3}, FirstReadAt: now, ReadAt: now}
	i := &mfintake.Intake{Clock: clock, Log: mflog.Discard(), LastHead: func() *mfrecord.Head { return &head }}
	n, known := i.Pending("q")
	assert.Assert(t, known)
	assert.Equal(t, n, 3)
	clock.Advance(3 * time.Second)
	head.ReadAt = clock.Now()
	_, known = i.Pending("q")
	assert.Assert(t, !known, "the owner has not renewed its head for three seconds")
	head.FirstReadAt, head.PendingKnown = head.ReadAt, false
	_, known = i.Pending("q")
	assert.Assert(t, !known, "the owner has not counted yet")
}

// TestFinishedJobIsNotRefused guards against a refusal, which says that the job never runs, of
// a job that has run: it is finished and no longer in the inbox, and its caller, who missed
// the answer, submits it again while its service is overloaded.
func TestFinishedJobIsNotRefused(t *testing.T) {
	rows := &mfstandin.Rows{}
	i := newIntake(rows)
	head := mfrecord.Head{EstimatedWaits: map[mothferry.ServiceID]time.Duration{"s": time.Hour}, ReadAt: time.Now()}
	i.LastHead = func() *mfrecord.Head { return &head }
	queue := mfqueue.Queue{ID: "q", Service: "s", Stretch: 1.6, Latency: time.Second}
	_, refused := i.Refuse(context.Background(), id, queue, submission())
	assert.Assert(t, refused)
	value := mfjob.EncodeProgress(mfjob.Progress{State: mfjob.StateCompleted})
	_, err := rows.Commit(context.Background(), mothferry.Txn{Writes: []mothferry.Write{{Table: mfrecord.TableProgress, Part: mfrecord.PartShard, Key: mothferry.Key(id), Value: value}}})
	assert.NilError(t, err)
	_, refused = i.Refuse(context.Background(), id, queue, submission())
	assert.Assert(t, !refused)
	assert.Equal(t, i.Cancel(context.Background(), id, ""), mfintake.OutcomeDone)
}

// Guards against an accepted gang that can never run, as its row can't name all of its workers. A job
// that was accepted before is not refused, nor one whose tasks need not run together.
func TestGangThatNeverFitsItsRowIsRefused(t *testing.T) {
	i := newIntake(&mfstandin.Rows{})
	head := mfrecord.Head{LongestWorkerID: 100, ReadAt: time.Now()}
	i.LastHead = func() *mfrecord.Head { return &head }
	gang := submission()
	gang.Steps[0].Count, gang.Steps[0].Gang = 1000, true
	assert.NilError(t, i.CheckSize(gang), "it fits with short ids")
	assert.Assert(t, i.TooLarge(context.Background(), id, gang))
	plain := gang
	plain.Steps = []mfjob.Step{{Count: 1000}}
	assert.Assert(t, !i.TooLarge(context.Background(), id, plain))
	head.LongestWorkerID = 12
	assert.Assert(t, !i.TooLarge(context.Background(), id, gang))
	assert.Equal(t, i.Accept(context.Background(), id, gang), mfintake.OutcomeDone)
	head.LongestWorkerID = 100
	assert.Assert(t, !i.TooLarge(context.Background(), id, gang))
}

// Guards against a caller that waits in vain: what can't have advice in time is refused at once, only
// in queues with an adviser, and not by a head that its owner no longer renews.
func TestJobThatCannotHaveAdviceInTimeIsRefused(t *testing.T) {
	i := newIntake(&mfstandin.Rows{})
	head := mfrecord.Head{AdviceWait: 10 * time.Second, ReadAt: time.Now(), FirstReadAt: time.Now()}
	i.LastHead = func() *mfrecord.Head { return &head }
	advised := mfqueue.Queue{ID: "q", Service: "s", Stretch: 1.6, Latency: time.Second, Advised: true}
	retryAfter, refused := i.Refuse(context.Background(), id, advised, submission())
	assert.Assert(t, refused)
	assert.Assert(t, retryAfter > 7*time.Second, "%v", retryAfter)
	other := advised
	other.Advised = false
	_, refused = i.Refuse(context.Background(), id, other, submission())
	assert.Assert(t, !refused)
	head.AdviceWait = 2 * time.Second
	_, refused = i.Refuse(context.Background(), id, advised, submission())
	assert.Assert(t, !refused, "it may still be of use")
	head.AdviceWait, head.FirstReadAt = 10*time.Second, time.Now().Add(-2*time.Second)
	_, refused = i.Refuse(context.Background(), id, advised, submission())
	assert.Assert(t, !refused, "a new owner has an adviser of its own")
}

// TestTooLargeJobIsRefused checks that a job with a task that fits no machine is refused at
// once instead of waiting until it is cancelled, that a job accepted before is not refused,
// and that no job is refused before the machines are known.
func TestTooLargeJobIsRefused(t *testing.T) {
	rows := &mfstandin.Rows{}
	i := newIntake(rows)
	head := mfrecord.Head{}
	i.LastHead = func() *mfrecord.Head { return &head }
	job := submission()
	job.Steps[0].Need = mothferry.Resources{Cores: 32000}
	assert.Assert(t, !i.TooLarge(context.Background(), id, job))
	head.MaxCapacity = mothferry.Resources{Cores: 16000, Memory: mothferry.Gibibyte}
	assert.Assert(t, i.TooLarge(context.Background(), id, job))
	assert.Assert(t, !i.TooLarge(context.Background(), id, submission()))
	bestEffort := job
	bestEffort.Steps = []mfjob.Step{{Count: 1, Need: job.Steps[0].Need, Fills: true}}
	assert.Assert(t, !i.TooLarge(context.Background(), id, bestEffort), "a best-effort task uses only idle processor time")
	assert.Equal(t, i.Accept(context.Background(), id, job), mfintake.OutcomeDone)
	assert.Assert(t, !i.TooLarge(context.Background(), id, job))
}

// newSharingIntake returns an intake whose last head reports a long wait of one account in a
// service.
func newSharingIntake(rows *mfstandin.Rows, limit bool) (*mfintake.Intake, *mfrecord.Head, map[mfintake.SubmitResult]int) {
	i := newIntake(rows)
	head := &mfrecord.Head{ReadAt: time.Now(), FirstReadAt: time.Now(), Shares: mfshare.Allocation{
		{Service: "s", Account: "hot"}: {Wait: time.Hour, Rate: 1, AtLimit: limit},
	}}
	counts := map[mfintake.SubmitResult]int{}
	i.LastHead = func() *mfrecord.Head { return head }
	i.OnResult = func(_ mothferry.QueueID, _ mothferry.AccountID, result mfintake.SubmitResult) { counts[result]++ }
	return i, head, counts
}

func submissionOf(account mothferry.AccountID) mfjob.Submission {
	job := submission()
	job.Account = account
	return job
}

var sharedQueue = mfqueue.Queue{ID: "q", Service: "s", Stretch: 1.6, Latency: time.Second}

// TestOnlyTheAccountThatWaitsIsRefused checks that the load of one account does not make the
// jobs of another one be refused.
func TestOnlyTheAccountThatWaitsIsRefused(t *testing.T) {
	i, _, counts := newSharingIntake(&mfstandin.Rows{}, true)
	retryAfter, refused := i.Refuse(context.Background(), id, sharedQueue, submissionOf("hot"))
	assert.Assert(t, refused)
	assert.Assert(t, retryAfter > 0)
	_, refused = i.Refuse(context.Background(), id, sharedQueue, submissionOf("calm"))
	assert.Assert(t, !refused)
	assert.DeepEqual(t, counts, map[mfintake.SubmitResult]int{mfintake.RefusedLimit: 1})
}

// TestAcceptedJobIsNotRefusedForItsShare checks that a job that was accepted before is not
// refused because of its account's share.
func TestAcceptedJobIsNotRefusedForItsShare(t *testing.T) {
	i, _, counts := newSharingIntake(&mfstandin.Rows{}, false)
	assert.Equal(t, i.Accept(context.Background(), id, submissionOf("hot")), mfintake.OutcomeDone)
	_, refused := i.Refuse(context.Background(), id, sharedQueue, submissionOf("hot"))
	assert.Assert(t, !refused)
	assert.DeepEqual(t, counts, map[mfintake.SubmitResult]int{mfintake.Accepted: 1})
}

// TestStaleHeadRefusesNothing checks that no job is refused by a head that is no longer
// renewed, nor by shares while the feature is off.
func TestStaleHeadRefusesNothing(t *testing.T) {
	i, head, _ := newSharingIntake(&mfstandin.Rows{}, false)
	head.FirstReadAt = time.Now().Add(-2 * time.Second)
	_, refused := i.Refuse(context.Background(), id, sharedQueue, submissionOf("hot"))
	assert.Assert(t, !refused)
	head.FirstReadAt = time.Now()
	i.Off = mothferry.FeaturesOff{mothferry.FeatureShares: true}
	_, refused = i.Refuse(context.Background(), id, sharedQueue, submissionOf("hot"))
	assert.Assert(t, !refused)
}
