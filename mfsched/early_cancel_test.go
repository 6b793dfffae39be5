package mfsched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfsched"
)

func found(id mothferry.JobID, account mothferry.AccountID, version mothferry.Version) mfsched.EarlyCancelFound {
	return mfsched.EarlyCancelFound{EarlyCancel: mfsched.EarlyCancel{Job: id, Account: account}, Version: version}
}

// Guards against a job that starts after it was cancelled, as a host of an older version wrote its
// submission without a check of that. The cancellation by another account does not count.
func TestJobCancelledBeforeItIsFoundDoesNotStart(t *testing.T) {
	s := newScript(t)
	s.listWorker("w-1")
	s.advance(10 * time.Millisecond)
	s.answerPoll("w-1", mothferry.PollReport{})
	s.step(found("cancelled", "", 1))
	s.step(found("others", "label-2", 2))
	s.submit("cancelled", 1)
	s.submit("others", 1)
	s.advance(100 * time.Millisecond)
	starts := takeCommands[mfsched.Start](s)
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Order.Task.Job, jobID("others"))
}

// Guards against early cancellations that are kept without end, and against the deletion of one that
// was written again.
func TestEarlyCancelsAreDeleted(t *testing.T) {
	const retention = 30 * time.Second
	s := newScript(t)
	deletions := func() []mfsched.DeleteEarlyCancels { return takeCommands[mfsched.DeleteEarlyCancels](s) }
	for n := range 100 {
		s.step(found(jobID(string(rune('a'+n))), "", mothferry.Version(n+1)))
	}
	s.advance(retention/2 + 100*time.Millisecond)
	s.step(found(jobID("a"), "", 200))
	assert.Equal(t, len(deletions()), 0)
	s.advance(retention/2 + 100*time.Millisecond)
	rows := 0
	for _, d := range deletions() {
		assert.Assert(t, len(d.Rows) <= 50, "a transaction takes 100 entries")
		rows += len(d.Rows)
		s.step(mfsched.EarlyCancelsDeleted{Rows: d.Rows})
	}
	assert.Equal(t, rows, 99, "one was written again")
	s.advance(retention/2 + 100*time.Millisecond)
	again := deletions()
	assert.Equal(t, len(again), 1)
	assert.DeepEqual(t, again[0].Rows, map[mfsched.EarlyCancel]mothferry.Version{{Job: "a"}: 200})
	s.step(mfsched.EarlyCancelsDeleted{Rows: again[0].Rows, Deleted: true})
	s.advance(retention/2 + 100*time.Millisecond)
	rows = 0
	for _, d := range deletions() {
		rows += len(d.Rows)
		s.step(mfsched.EarlyCancelsDeleted{Rows: d.Rows, Deleted: true})
	}
	assert.Equal(t, rows, 99, "those that were not deleted are tried again")
	s.advance(2 * retention)
	assert.Equal(t, len(deletions()), 0)
}
