package mfintake

import (
	"context"
	"errors"

	"golang.org/x/time/rate"

	"mothferry"
	"mothferry/mfrecord"
)

// Limits on the early cancellations that this host stores of jobs of which it knows nothing, each of
// which takes a write. Those of jobs of which a write of its own may still be applied are not limited.
const (
	earlyCancelRate  rate.Limit = 4
	earlyCancelBurst            = 20
)

// cancelEarly stores the cancellation of a job that does not exist. It holds for each write of the job
// that is applied later, by whichever host: they all check the same row. It reports whether the job
// has appeared meanwhile; then nothing is stored.
func (i *Intake) cancelEarly(ctx context.Context, id mothferry.JobID, caller mothferry.AccountID) (outcome Outcome, appeared bool) {
	entry := i.logEntry(id, "", nil).WithField("account", caller)
	if !i.isUnresolved(id) && !i.allowEarlyCancel() {
		entry.WithField("outcome", OutcomeNotRun).Warn("cancellation of an unknown job refused: too many of them")
		return OutcomeNotRun, false
	}
	part := mfrecord.InboxPart(id)
	_, err := i.Store.Commit(ctx, mothferry.Txn{
		Checks: []mothferry.Check{{Table: mfrecord.TableInbox, Part: part, Key: mfrecord.JobKey(id)}},
		Writes: []mothferry.Write{{Table: mfrecord.TableInbox, Part: part, Key: mfrecord.EarlyCancelKey(id, caller), Value: []byte("{}")}},
	})
	var conflict *mothferry.ErrConflict
	if errors.As(err, &conflict) {
		return "", true
	}
	outcome = cancelOutcome(err, OutcomeNoJob)
	if err != nil {
		entry = entry.WithField("store", err.Error())
	}
	entry.WithField("outcome", outcome).Info("cancellation of an unknown job requested")
	return outcome, false
}

func (i *Intake) allowEarlyCancel() bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.earlyCancels == nil {
		i.earlyCancels = rate.NewLimiter(earlyCancelRate, earlyCancelBurst)
	}
	return i.earlyCancels.AllowN(i.Clock.Now(), 1)
}

// cancelledEarly reports whether a job was not stored because it was cancelled before.
func cancelledEarly(err error) bool {
	var conflict *mothferry.ErrConflict
	if !errors.As(err, &conflict) {
		return false
	}
	cancelled := false
	for _, r := range conflict.Rows {
		if r.Version == 0 || r.Deleted {
			continue
		}
		if _, ok := mfrecord.JobOf(r.Key); ok {
			return false
		}
		if _, _, ok := mfrecord.EarlyCancelOf(r.Key); ok {
			cancelled = true
		}
	}
	return cancelled
}
