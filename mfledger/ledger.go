package mfledger

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"

	"mothferry"
	"mothferry/mfclock"
)

// Bounds of the ledger's work.
const (
	// maxBatch bounds the operations of one transaction.
	maxBatch = 64
	// maxPending bounds the operations that wait for a transaction.
	maxPending = 1024
	// writerCount is how many transactions may be under way at the same time.
	writerCount = 4
	// maxEndAttempts bounds how often the recording of an end is tried.
	maxEndAttempts = 20
	// minEndRetryDelay is the first pause between those tries.
	minEndRetryDelay = 100 * time.Millisecond
	maxEndRetryDelay = 5 * time.Second
)

// ErrKeyClaimed reports that a key was claimed before, and what came of it.
type ErrKeyClaimed struct {
	// Reason is still_running, outcome_unknown, answer_too_large or key_mismatch.
	Reason mothferry.Reason
	// RetryAfter is when a running request will have ended.
	RetryAfter time.Duration
}

// Error implements error.
func (e *ErrKeyClaimed) Error() string { return fmt.Sprintf("key was claimed before: %s", e.Reason) }

// Claim is the right to run a keyed request.
type Claim struct {
	key     Key
	digest  Digest
	token   mothferry.Token
	until   time.Time
	version mothferry.Version
}

// Ledger claims keys and records ends, many to a transaction.
type Ledger struct {
	Table mothferry.Table
	Clock mothferry.Clock
	// Retention is how long a row is kept.
	Retention time.Duration
	// MaxRecordBytes bounds the body of a recorded answer.
	MaxRecordBytes mothferry.Bytes
	// NewToken makes tokens that are never used twice.
	NewToken func() mothferry.Token
	Log      *log.Entry

	operations chan *operation
}

// operation is one row to write, waiting for a transaction.
type operation struct {
	check mothferry.Check
	write mothferry.Write
	done  chan outcome
}

// outcome is what became of an operation: the version written, or an error.
// A conflict carries this operation's row alone.
type outcome struct {
	version mothferry.Version
	err     error
}

// Prepare readies the ledger for use before Run.
func (l *Ledger) Prepare() {
	l.operations = make(chan *operation, maxPending)
}

// Run writes operations to the table until ctx ends.
func (l *Ledger) Run(ctx context.Context) error {
	done := make(chan struct{})
	for range writerCount {
		go func() {
			defer func() { done <- struct{}{} }()
			l.runWriter(ctx)
		}()
	}
	for range writerCount {
		<-done
	}
	return ctx.Err()
}

// Claim claims a key for a request that will have ended at until. It returns
// the recorded answer if the request was answered before, ErrTaken if it was
// claimed and has no answer to give, and any other error if the claim did not
// succeed: the request must then not be sent.
func (l *Ledger) Claim(ctx context.Context, key Key, digest Digest, until time.Time) (*Claim, *Answer, error) {
	claim := &Claim{key: key, digest: digest, token: l.NewToken(), until: until}
	data, err := record{State: stateRunning, Digest: digest, Token: claim.token, Until: until}.encode()
	if err != nil {
		return nil, nil, err
	}
	operation := &operation{
		check: mothferry.Check{Key: key.row()},
		write: mothferry.Write{Key: key.row(), Value: data, Expires: l.Clock.Now().Add(l.Retention)},
	}
	claim.version, err = l.submit(ctx, operation)
	var conflict *mothferry.ErrConflict
	switch {
	case err == nil:
		return claim, nil, nil
	case errors.As(err, &conflict):
		return l.resolveConflict(claim, conflict.Rows[0])
	}
	if !neverSent(err) {
		// The claim may have been written without its reply arriving. The
		// request is not sent, so the claim must not stay.
		go l.withdraw(context.WithoutCancel(ctx), claim)
	}
	return nil, nil, err
}

// resolveConflict reads the row that stands in a claim's way. It may be the claim
// itself, written by a transaction whose reply was lost.
func (l *Ledger) resolveConflict(claim *Claim, row mothferry.Row) (*Claim, *Answer, error) {
	r, err := decodeRecord(row.Value)
	if err != nil {
		return nil, nil, err
	}
	now := l.Clock.Now()
	switch {
	case r.Token == claim.token:
		claim.version = row.Version
		return claim, nil, nil
	case r.Digest != claim.digest:
		return nil, nil, &ErrKeyClaimed{Reason: mothferry.ReasonKeyMismatch}
	case r.State == stateAnswered && r.Answer != nil:
		return nil, r.Answer, nil
	case r.State == stateTooLarge:
		return nil, nil, &ErrKeyClaimed{Reason: mothferry.ReasonAnswerTooLarge}
	case r.State == stateRunning && now.Before(r.Until):
		return nil, nil, &ErrKeyClaimed{Reason: mothferry.ReasonStillRunning, RetryAfter: r.Until.Sub(now)}
	default:
		return nil, nil, &ErrKeyClaimed{Reason: mothferry.ReasonOutcomeUnknown}
	}
}

// RecordAnswer records the answer of a claimed request. It returns at once; the
// row is written in the background.
func (l *Ledger) RecordAnswer(ctx context.Context, c *Claim, a Answer) {
	r := record{State: stateAnswered, Digest: c.digest, Token: c.token, Until: c.until, Answer: &a}
	if mothferry.Bytes(len(a.Body)) > l.MaxRecordBytes {
		r.State, r.Answer = stateTooLarge, nil
	}
	l.recordEnd(ctx, c, r)
}

// RecordAnswerTooLarge records that an answer was given that is too large to keep.
func (l *Ledger) RecordAnswerTooLarge(ctx context.Context, c *Claim) {
	l.recordEnd(ctx, c, record{State: stateTooLarge, Digest: c.digest, Token: c.token, Until: c.until})
}

// RecordUnknown records that nobody knows whether a claimed request ran.
func (l *Ledger) RecordUnknown(ctx context.Context, c *Claim) {
	l.recordEnd(ctx, c, record{State: stateUnknown, Digest: c.digest, Token: c.token, Until: c.until})
}

func (l *Ledger) recordEnd(ctx context.Context, c *Claim, r record) {
	data, err := r.encode()
	if err != nil {
		l.Log.WithError(err).Error("End could not be encoded.")
		return
	}
	write := mothferry.Write{Key: c.key.row(), Value: data, Expires: l.Clock.Now().Add(l.Retention)}
	go l.persist(context.WithoutCancel(ctx), c, write)
}

// ReleaseClaim gives a claim back, so that the caller may send the request again
// under the same key. It waits until that is done or ctx ends, and goes on
// trying in the background after that.
func (l *Ledger) ReleaseClaim(ctx context.Context, c *Claim) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.persist(context.WithoutCancel(ctx), c, mothferry.Write{Key: c.key.row(), Delete: true})
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// persist writes a claim's end, trying again while the table does not reply.
// The check of the claim's own version makes the write idempotent: one that
// took effect unseen, or arrives late, cannot touch a later claim of the key.
func (l *Ledger) persist(ctx context.Context, c *Claim, write mothferry.Write) {
	pause := minEndRetryDelay
	for range maxEndAttempts {
		_, err := l.submit(ctx, &operation{check: mothferry.Check{Key: write.Key, Version: c.version}, write: write})
		var conflict *mothferry.ErrConflict
		if err == nil || errors.As(err, &conflict) {
			return
		}
		if !mfclock.Sleep(ctx, l.Clock, pause) {
			return
		}
		pause = min(2*pause, maxEndRetryDelay)
	}
	l.Log.WithField("service", c.key.Service).Warn("End of a keyed request was not recorded.")
}

// withdraw removes a claim that may or may not have been written.
func (l *Ledger) withdraw(ctx context.Context, c *Claim) {
	pause := minEndRetryDelay
	for range maxEndAttempts {
		rows, err := l.Table.Read(ctx, mothferry.Query{Keys: []mothferry.Key{c.key.row()}})
		if err == nil {
			l.withdrawRows(ctx, c, rows)
			return
		}
		if !mfclock.Sleep(ctx, l.Clock, pause) {
			return
		}
		pause = min(2*pause, maxEndRetryDelay)
	}
	l.Log.WithField("service", c.key.Service).Warn("Claim whose reply was lost was not withdrawn.")
}

func (l *Ledger) withdrawRows(ctx context.Context, c *Claim, rows []mothferry.Row) {
	for _, row := range rows {
		r, err := decodeRecord(row.Value)
		if err == nil && r.Token == c.token {
			c.version = row.Version
			l.persist(ctx, c, mothferry.Write{Key: row.Key, Delete: true})
		}
	}
}

// errNeverSent reports an operation that was given up before any transaction held it.
type errNeverSent struct{ cause error }

// Error implements error.
func (e *errNeverSent) Error() string { return "ledger is busy: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *errNeverSent) Unwrap() error { return e.cause }

func neverSent(err error) bool {
	var never *errNeverSent
	return errors.As(err, &never)
}

// submit hands an operation to the writers and waits for its outcome.
func (l *Ledger) submit(ctx context.Context, o *operation) (mothferry.Version, error) {
	o.done = make(chan outcome, 1)
	select {
	case l.operations <- o:
	case <-ctx.Done():
		return 0, trace.Wrap(&errNeverSent{cause: ctx.Err()})
	}
	select {
	case k := <-o.done:
		return k.version, k.err
	case <-ctx.Done():
		return 0, trace.Wrap(&mothferry.ErrUnavailable{Operation: "ledger write", Err: ctx.Err()})
	}
}

// runWriter takes operations and commits whatever waits in one transaction. While
// one transaction is under way the next batch gathers, so that batches grow
// with the load and a lone request does not wait for company.
func (l *Ledger) runWriter(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-l.operations:
			l.commit(ctx, l.gatherBatch(first))
		}
	}
}

// gatherBatch adds the operations that already wait. Two on the same row cannot
// share a transaction; the second one goes back to the queue.
func (l *Ledger) gatherBatch(first *operation) []*operation {
	batch := []*operation{first}
	rows := map[mothferry.Key]bool{first.write.Key: true}
	for len(batch) < maxBatch {
		select {
		case o := <-l.operations:
			if rows[o.write.Key] {
				go func() { l.operations <- o }()
				return batch
			}
			rows[o.write.Key] = true
			batch = append(batch, o)
		default:
			return batch
		}
	}
	return batch
}

// commit writes a batch. Operations in conflict are answered and taken out,
// and the rest is tried again. A batch without a reply is tried once more: if
// the first try took effect, its rows now conflict, and each claim is found
// by its token.
func (l *Ledger) commit(ctx context.Context, batch []*operation) {
	repeated := false
	for len(batch) > 0 {
		version, err := l.Table.Commit(ctx, transaction(batch))
		var conflict *mothferry.ErrConflict
		switch {
		case err == nil:
			complete(batch, outcome{version: version})
			return
		case errors.As(err, &conflict) && len(conflict.Rows) > 0:
			batch = completeConflicts(batch, conflict.Rows)
		case repeated:
			complete(batch, outcome{err: trace.Wrap(err)})
			return
		default:
			repeated = true
		}
	}
}

func transaction(batch []*operation) mothferry.Txn {
	var txn mothferry.Txn
	for _, o := range batch {
		txn.Checks = append(txn.Checks, o.check)
		txn.Writes = append(txn.Writes, o.write)
	}
	return txn
}

func complete(batch []*operation, k outcome) {
	for _, o := range batch {
		o.done <- k
	}
}

// completeConflicts answers the operations whose rows are in conflict and
// returns the others.
func completeConflicts(batch []*operation, rows []mothferry.Row) []*operation {
	stale := map[mothferry.Key]mothferry.Row{}
	for _, r := range rows {
		stale[r.Key] = r
	}
	var rest []*operation
	for _, o := range batch {
		row, ok := stale[o.write.Key]
		if !ok {
			rest = append(rest, o)
			continue
		}
		o.done <- outcome{err: trace.Wrap(&mothferry.ErrConflict{Rows: []mothferry.Row{row}})}
	}
	if len(rest) == len(batch) {
		// Conflicts that name none of the rows asked for would be tried forever.
		complete(batch, outcome{err: trace.Wrap(&mothferry.ErrBadReply{Operation: "ledger write", Detail: "conflict of other rows"})})
		return nil
	}
	return rest
}
