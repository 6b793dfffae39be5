// Package mfintake serves callers' requests about jobs at an entry host: submit, look up,
// cancel, count. Any host can serve any of them from the store.
//
// A job is accepted once its row is in the inbox, and only then. A refusal says that the job
// never runs, so it is returned only if its row can't be written any more: the store reported
// that it did nothing, or nothing was sent. Without an answer the row may still be written
// seconds later; then the outcome is unknown, and the caller has to ask again.
package mfintake

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"
	"golang.org/x/time/rate"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfjournal"
	"mothferry/mfrecord"
	"mothferry/mfshare"
)

// Outcome is the result of a caller's request.
type Outcome string

// Outcomes of requests.
const (
	OutcomeDone Outcome = "done"
	// OutcomeNotRun: the job was not accepted and never runs.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown: the request may have been carried out.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeNoJob: there is no such job.
	OutcomeNoJob Outcome = "no_job"
	// OutcomeIDTaken: a job of another account has the id.
	OutcomeIDTaken Outcome = "taken"
)

// unresolvedTTL is how long a host treats the submission of a job as unresolved: a write whose
// answer was lost may be applied some seconds later.
const unresolvedTTL = 15 * time.Second

// Intake serves the requests of callers. The exported fields are set before use.
type Intake struct {
	Store  mothferry.RowStore
	Clock  mothferry.Clock
	Log    *log.Entry
	Random mothferry.Random
	// LastHead returns the shard's last head, nil if it was never read.
	LastHead func() *mfrecord.Head
	// MaxRow is the largest value that the store takes; zero for that of current deployments.
	MaxRow mothferry.Bytes
	// Off holds the features that are switched off.
	Off mothferry.FeaturesOff
	// OnResult is called with the result of each submission; it may be nil.
	OnResult func(queue mothferry.QueueID, account mothferry.AccountID, result SubmitResult)

	mutex           sync.Mutex
	admission       mfshare.AdmissionController
	unresolvedSince map[mothferry.JobID]time.Time
	// earlyCancels limits the early cancellations of jobs of which this host knows nothing.
	earlyCancels *rate.Limiter
}

// CheckSize returns an ErrInvalid for a job whose submission or progress does not fit a row of the
// store.
func (i *Intake) CheckSize(s mfjob.Submission) error {
	limit := i.maxRow()
	if size := s.MaxProgressSize(0); size > limit {
		return &mfjob.ErrInvalid{Field: "tasks", Detail: fmt.Sprintf("need %d bytes to store their progress, the store takes %d", size, limit)}
	}
	value, err := mfjob.EncodeSubmission(s)
	if err != nil {
		return trace.Wrap(err)
	}
	if size := mothferry.Bytes(len(value)) + acceptedBytes; size > limit {
		return &mfjob.ErrInvalid{Field: "body", Detail: fmt.Sprintf("needs %d bytes in the store, which takes %d", size, limit)}
	}
	return nil
}

// maxRow returns the largest value that the store takes.
func (i *Intake) maxRow() mothferry.Bytes {
	if i.MaxRow == 0 {
		return mfjournal.DefaultMaxRow
	}
	return i.MaxRow
}

// acceptedBytes is the size of the time of acceptance in a stored submission.
const acceptedBytes mothferry.Bytes = 64

// Accept stores a job. A job that is stored already is accepted again.
func (i *Intake) Accept(ctx context.Context, id mothferry.JobID, s mfjob.Submission) Outcome {
	s.Accepted = i.Clock.Now().UTC()
	value, err := mfjob.EncodeSubmission(s)
	if err != nil {
		i.Log.WithError(err).WithField("job", id).Error("job not accepted: it can't be encoded")
		return OutcomeNotRun
	}
	key, part := mfrecord.JobKey(id), mfrecord.InboxPart(id)
	_, err = i.Store.Commit(ctx, mothferry.Txn{
		Checks: []mothferry.Check{
			{Table: mfrecord.TableInbox, Part: part, Key: key},
			{Table: mfrecord.TableInbox, Part: part, Key: mfrecord.EarlyCancelKey(id, s.Account)},
		},
		Writes: []mothferry.Write{{Table: mfrecord.TableInbox, Part: part, Key: key, Value: value}},
	})
	outcome := i.acceptOutcome(id, err)
	if cancelledEarly(err) {
		outcome = OutcomeNotRun
	}
	if outcome == OutcomeDone && ownedByOther(err, s.Account) {
		outcome = OutcomeIDTaken
	}
	i.logEntry(id, s.Queue, err).WithField("account", s.Account).WithField("outcome", outcome).Info("job is handed in")
	switch outcome {
	case OutcomeDone:
		i.reportResult(s.Queue, s.Account, Accepted)
	case OutcomeNotRun:
		i.reportResult(s.Queue, s.Account, RefusedStore)
	case OutcomeUnknown:
		i.reportResult(s.Queue, s.Account, Unknown)
	}
	return outcome
}

func (i *Intake) acceptOutcome(id mothferry.JobID, err error) Outcome {
	var conflict *mothferry.ErrConflict
	var declined *mothferry.ErrDeclined
	var rejected *mothferry.ErrRejected
	switch {
	case err == nil, errors.As(err, &conflict):
		return OutcomeDone
	case (errors.As(err, &declined) || errors.As(err, &rejected)) && !i.isUnresolved(id):
		return OutcomeNotRun
	default:
		i.markUnresolved(id)
		return OutcomeUnknown
	}
}

// ownedByOther reports whether a commit failed because the row exists and holds a job of another
// account.
func ownedByOther(err error, caller mothferry.AccountID) bool {
	var conflict *mothferry.ErrConflict
	if !errors.As(err, &conflict) {
		return false
	}
	for _, r := range conflict.Rows {
		if _, ok := mfrecord.JobOf(r.Key); !ok || r.Version == 0 {
			continue
		}
		// A row that can't be decoded is reported by the owner, which has to run the job.
		if s, err := mfjob.DecodeSubmission(r.Value); err == nil && !visible(s.Account, caller) {
			return true
		}
	}
	return false
}

// visible reports whether a caller may look up and cancel a job of an account. A job without an
// account was submitted where no key is required.
func visible(account, caller mothferry.AccountID) bool { return account == "" || account == caller }

func (i *Intake) logEntry(id mothferry.JobID, queue mothferry.QueueID, err error) *log.Entry {
	entry := i.Log.WithField("job", id).WithField("queue", queue)
	if err != nil {
		entry = entry.WithField("store", err.Error())
	}
	return entry
}

// markUnresolved records that a write of a job may still be applied: a later refusal of the same
// job at this host would be wrong.
func (i *Intake) markUnresolved(id mothferry.JobID) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	now := i.Clock.Now()
	if i.unresolvedSince == nil {
		i.unresolvedSince = map[mothferry.JobID]time.Time{}
	}
	for job, since := range i.unresolvedSince {
		if now.Sub(since) > unresolvedTTL {
			delete(i.unresolvedSince, job)
		}
	}
	i.unresolvedSince[id] = now
}

func (i *Intake) isUnresolved(id mothferry.JobID) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	since, ok := i.unresolvedSince[id]
	return ok && i.Clock.Now().Sub(since) <= unresolvedTTL
}

// mayBeAccepted reports whether a job's row exists, or may exist, so that a job that was
// accepted before is not refused.
func (i *Intake) mayBeAccepted(ctx context.Context, id mothferry.JobID) (bool, error) {
	if i.isUnresolved(id) {
		return true, nil
	}
	_, found, err := i.acceptedJob(ctx, id)
	return found, err
}

// State returns the state of a job for a caller of an account. For it, jobs of other accounts
// do not exist.
func (i *Intake) State(ctx context.Context, id mothferry.JobID, caller mothferry.AccountID) (mfjob.State, Outcome) {
	info, found, err := i.startedJob(ctx, id)
	if err == nil && !found {
		info, found, err = i.queuedJob(ctx, id)
	}
	switch {
	case err != nil:
		i.logEntry(id, "", err).Warn("job lookup failed")
		return "", OutcomeUnknown
	case !found:
		i.logEntry(id, "", nil).Info("requested job does not exist")
		return "", OutcomeNoJob
	case !visible(info.account, caller):
		i.logOtherAccount(id, info.account, caller)
		return "", OutcomeNoJob
	default:
		return info.state, OutcomeDone
	}
}

// logOtherAccount logs that a request is for a job of another account.
func (i *Intake) logOtherAccount(id mothferry.JobID, account, caller mothferry.AccountID) {
	i.Log.WithFields(log.Fields{"job": id, "account": account, "caller": caller, "outcome": OutcomeNoJob}).Info("job of another account requested")
}

// jobInfo is the stored state and account of a job.
type jobInfo struct {
	state   mfjob.State
	account mothferry.AccountID
}

// startedJob returns a job that has stored progress.
func (i *Intake) startedJob(ctx context.Context, id mothferry.JobID) (jobInfo, bool, error) {
	row, found, err := i.readRow(ctx, mfrecord.TableProgress, mfrecord.PartShard, mothferry.Key(id))
	if err != nil || !found {
		return jobInfo{}, false, err
	}
	p, err := mfjob.DecodeProgress(row.Value)
	return jobInfo{state: p.State, account: p.Account}, err == nil, err
}

// queuedJob returns a job that is in the inbox. Only stored progress shows whether it has
// started.
func (i *Intake) queuedJob(ctx context.Context, id mothferry.JobID) (jobInfo, bool, error) {
	row, found, err := i.readRow(ctx, mfrecord.TableInbox, mfrecord.InboxPart(id), mfrecord.JobKey(id))
	if err != nil || !found {
		return jobInfo{}, false, err
	}
	s, err := mfjob.DecodeSubmission(row.Value)
	return jobInfo{state: mfjob.StateQueued, account: s.Account}, err == nil, err
}

// acceptedJob returns a job that was accepted. A finished job is no longer in the inbox.
func (i *Intake) acceptedJob(ctx context.Context, id mothferry.JobID) (jobInfo, bool, error) {
	info, found, err := i.queuedJob(ctx, id)
	if err == nil && !found {
		info, found, err = i.startedJob(ctx, id)
	}
	return info, found, err
}

// Cancel stores the cancellation of a job by a caller of an account. For it, jobs of other
// accounts do not exist. If there is no such job, none is accepted from the account for a while: a
// write of it may still be applied.
func (i *Intake) Cancel(ctx context.Context, id mothferry.JobID, caller mothferry.AccountID) Outcome {
	info, found, err := i.acceptedJob(ctx, id)
	if err == nil && !found {
		outcome, appeared := i.cancelEarly(ctx, id, caller)
		if !appeared {
			return outcome
		}
		info, found, err = i.acceptedJob(ctx, id)
		if err == nil && !found {
			return OutcomeUnknown
		}
	}
	if err == nil && !visible(info.account, caller) {
		i.logOtherAccount(id, info.account, caller)
		return OutcomeNoJob
	}
	if err == nil {
		_, err = i.Store.Commit(ctx, mothferry.Txn{Writes: []mothferry.Write{{
			Table: mfrecord.TableInbox, Part: mfrecord.InboxPart(id), Key: mfrecord.CancelKey(id), Value: []byte("{}"),
		}}})
	}
	outcome := cancelOutcome(err, OutcomeDone)
	i.logEntry(id, "", err).WithField("outcome", outcome).Info("job cancellation requested by its caller")
	return outcome
}

// cancelOutcome returns the outcome of a cancellation whose write ended with an error, or as stored.
func cancelOutcome(err error, stored Outcome) Outcome {
	var declined *mothferry.ErrDeclined
	var rejected *mothferry.ErrRejected
	switch {
	case err == nil:
		return stored
	case errors.As(err, &declined), errors.As(err, &rejected):
		return OutcomeNotRun
	default:
		return OutcomeUnknown
	}
}

func (i *Intake) readRow(ctx context.Context, table mothferry.TableID, part mothferry.PartID, key mothferry.Key) (mothferry.Row, bool, error) {
	page, err := i.Store.Range(ctx, mothferry.RowRange{Table: table, Part: part, From: key, To: key + "\x00", Limit: 1})
	if err != nil || len(page.Rows) == 0 {
		return mothferry.Row{}, false, err
	}
	return page.Rows[0], true, nil
}
