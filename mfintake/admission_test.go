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

// A job is refused only if it can't be of use even late, and is told to come
// back when it could be in time.
func TestEvaluate(t *testing.T) {
	const chain, aim = time.Second, 2 * time.Second
	for _, k := range []struct {
		wait     time.Duration
		hopeless bool
	}{{0, false}, {2 * time.Second, false}, {5 * time.Second, false}, {5100 * time.Millisecond, true}, {time.Minute, true}} {
		v := mfintake.Evaluate(k.wait, chain, aim)
		assert.Equal(t, v.TooLate, k.hopeless, "wait %v", k.wait)
		if v.TooLate {
			assert.Equal(t, v.RetryAfter, k.wait+chain-aim)
		}
	}
}

// Symptom: a host said that 3 jobs waited while 18 had waited for five seconds.
// Events: the owner was cut off, a weak host took over and had not read the jobs
// yet; it passed on its predecessor's count, and hosts told it as if it were new.
// Cause: a count had no age, and reading an unchanged row made it fresh.
func TestStaleCountIsNotReported(t *testing.T) {
	clock := mffake.NewClock()
	now := clock.Now()
	board := mfrecord.Head{PendingKnown: true, Pending: map[mothferry.QueueID]int{"q": 3}, FirstReadAt: now, ReadAt: now}
	i := &mfintake.Intake{Clock: clock, Log: mflog.Discard(), LastHead: func() *mfrecord.Head { return &board }}
	n, known := i.Pending("q")
	assert.Assert(t, known)
	assert.Equal(t, n, 3)
	clock.Advance(3 * time.Second)
	board.ReadAt = clock.Now()
	_, known = i.Pending("q")
	assert.Assert(t, !known, "the owner has not been heard for three seconds")
	board.FirstReadAt, board.PendingKnown = board.ReadAt, false
	_, known = i.Pending("q")
	assert.Assert(t, !known, "the owner has not counted yet")
}

// Guarded against: a job that has run is refused as one that never runs.
// Events: it is over and has left the inbox, and its caller, who missed the
// answer, hands it in again while its service is overloaded.
func TestFinishedJobIsNotRefused(t *testing.T) {
	rows := &mfstandin.Rows{}
	i := newIntake(rows)
	board := mfrecord.Head{EstimatedWaits: map[mothferry.ServiceID]time.Duration{"s": time.Hour}, ReadAt: time.Now()}
	i.LastHead = func() *mfrecord.Head { return &board }
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

// A job of which a task fits no machine is refused at once, instead of waiting until
// it is cancelled. One that was accepted before is not, and nothing is refused before
// machines are known.
func TestTooLargeJobIsRefused(t *testing.T) {
	rows := &mfstandin.Rows{}
	i := newIntake(rows)
	board := mfrecord.Head{}
	i.LastHead = func() *mfrecord.Head { return &board }
	job := submission()
	job.Steps[0].Need = mothferry.Resources{Cores: 32000}
	assert.Assert(t, !i.TooLarge(context.Background(), id, job))
	board.MaxCapacity = mothferry.Resources{Cores: 16000, Memory: mothferry.Gibibyte}
	assert.Assert(t, i.TooLarge(context.Background(), id, job))
	assert.Assert(t, !i.TooLarge(context.Background(), id, submission()))
	filling := job
	filling.Steps = []mfjob.Step{{Count: 1, Need: job.Steps[0].Need, Fills: true}}
	assert.Assert(t, !i.TooLarge(context.Background(), id, filling), "it uses what others leave")
	assert.Equal(t, i.Accept(context.Background(), id, job), mfintake.OutcomeDone)
	assert.Assert(t, !i.TooLarge(context.Background(), id, job))
}

// newSharingIntake returns an intake whose owner tells that one account waits long in a service.
func newSharingIntake(rows *mfstandin.Rows, limit bool) (*mfintake.Intake, *mfrecord.Head, map[mfintake.SubmitResult]int) {
	i := newIntake(rows)
	board := &mfrecord.Head{ReadAt: time.Now(), FirstReadAt: time.Now(), Shares: mfshare.Allocation{
		{Service: "s", Account: "hot"}: {Wait: time.Hour, Rate: 1, AtLimit: limit},
	}}
	counts := map[mfintake.SubmitResult]int{}
	i.LastHead = func() *mfrecord.Head { return board }
	i.OnResult = func(_ mothferry.QueueID, _ mothferry.AccountID, end mfintake.SubmitResult) { counts[end]++ }
	return i, board, counts
}

func submissionOf(account mothferry.AccountID) mfjob.Submission {
	job := submission()
	job.Account = account
	return job
}

var sharedQueue = mfqueue.Queue{ID: "q", Service: "s", Stretch: 1.6, Latency: time.Second}

// Guarded against: what one account sends has the jobs of another refused.
func TestOnlyTheAccountThatWaitsIsRefused(t *testing.T) {
	i, _, counts := newSharingIntake(&mfstandin.Rows{}, true)
	again, refused := i.Refuse(context.Background(), id, sharedQueue, submissionOf("hot"))
	assert.Assert(t, refused)
	assert.Assert(t, again > 0)
	_, refused = i.Refuse(context.Background(), id, sharedQueue, submissionOf("calm"))
	assert.Assert(t, !refused)
	assert.DeepEqual(t, counts, map[mfintake.SubmitResult]int{mfintake.RefusedLimit: 1})
}

// Guarded against: a job that was accepted before is refused for its account's share.
func TestAcceptedJobIsNotRefusedForItsShare(t *testing.T) {
	i, _, counts := newSharingIntake(&mfstandin.Rows{}, false)
	assert.Equal(t, i.Accept(context.Background(), id, submissionOf("hot")), mfintake.OutcomeDone)
	_, refused := i.Refuse(context.Background(), id, sharedQueue, submissionOf("hot"))
	assert.Assert(t, !refused)
	assert.DeepEqual(t, counts, map[mfintake.SubmitResult]int{mfintake.Accepted: 1})
}

// Guarded against: a word that was not renewed refuses for good, or the feature acts while it is off.
func TestStaleHeadRefusesNothing(t *testing.T) {
	i, board, _ := newSharingIntake(&mfstandin.Rows{}, false)
	board.FirstReadAt = time.Now().Add(-2 * time.Second)
	_, refused := i.Refuse(context.Background(), id, sharedQueue, submissionOf("hot"))
	assert.Assert(t, !refused)
	board.FirstReadAt = time.Now()
	i.Off = mothferry.FeaturesOff{mothferry.FeatureShares: true}
	_, refused = i.Refuse(context.Background(), id, sharedQueue, submissionOf("hot"))
	assert.Assert(t, !refused)
}
