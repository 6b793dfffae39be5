package mfowner

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/apex/log"

	"mothferry"
	"mothferry/mfrecord"
)

// errRowsRejected reports that the store took all rows of a commit but some, which it holds for
// invalid.
type errRowsRejected struct {
	rows  []mothferry.Write
	cause error
}

// Error implements error.
func (e *errRowsRejected) Error() string {
	return fmt.Sprintf("store rejected %d rows of a commit: %v", len(e.rows), e.cause)
}

// writeValid writes the head together with other rows. If the store rejects the transaction, it
// divides the rows, in their order, until those at fault are found, and stores the others. It then
// fails with errRowsRejected.
//
// Rows of the log are not deleted in that case: one of them may hold what a rejected row was to
// replace.
func (c *committer) writeValid(ctx context.Context, head mfrecord.Head, rows []mothferry.Write) error {
	err := c.write(ctx, head, rows)
	if !isRejected(err) || len(rows) == 0 {
		return err
	}
	deletesLog := func(w mothferry.Write) bool { return w.Delete && w.Table == mfrecord.TableLog }
	rejected, divideErr := c.writeDivided(ctx, head, slices.DeleteFunc(slices.Clone(rows), deletesLog))
	if divideErr != nil {
		return divideErr
	}
	if len(rejected) == 0 {
		// The transaction was too large as a whole.
		return c.write(ctx, head, slices.DeleteFunc(slices.Clone(rows), func(w mothferry.Write) bool { return !deletesLog(w) }))
	}
	return &errRowsRejected{rows: rejected, cause: err}
}

// writeDivided writes rows in several commits and returns those that the store rejects alone.
func (c *committer) writeDivided(ctx context.Context, head mfrecord.Head, rows []mothferry.Write) (rejected []mothferry.Write, err error) {
	if len(rows) <= 1 {
		err := c.write(ctx, head, rows)
		if !isRejected(err) || len(rows) == 0 {
			return nil, err
		}
		// The commit still renews the ownership.
		return rows, c.write(ctx, head, nil)
	}
	for _, half := range [][]mothferry.Write{rows[:len(rows)/2], rows[len(rows)/2:]} {
		err := c.write(ctx, head, half)
		switch {
		case err == nil:
			continue
		case !isRejected(err):
			return nil, err
		}
		more, err := c.writeDivided(ctx, head, half)
		if err != nil {
			return nil, err
		}
		rejected = append(rejected, more...)
	}
	return rejected, nil
}

func isRejected(err error) bool {
	var rejected *mothferry.ErrRejected
	return errors.As(err, &rejected)
}

// rowsRejected logs the rows that the store rejected, and returns the jobs whose progress they hold.
func (s *session) rowsRejected(e *errRowsRejected) []mothferry.JobID {
	if e == nil {
		return nil
	}
	for _, w := range e.rows {
		s.owner.Log.WithError(e.cause).WithFields(log.Fields{"table": w.Table, "key": w.Key, "bytes": len(w.Value), "epoch": s.state.Epoch}).Error("row was rejected by the store")
	}
	return s.journal.Rejected(e.rows)
}
