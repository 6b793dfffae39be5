// Package mfchange accepts changes to service documents: each is one
// transaction on the platform's table.
package mfchange

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"mothferry"
	"mothferry/mfclock"
	"mothferry/mfdocument"
	"mothferry/mfsnapshot"
)

// Keys of the rows that documents live in.
const (
	RevisionKey     mothferry.Key = "config/revision"
	DocumentsPrefix mothferry.Key = "documents/"
	tokenPrefix     mothferry.Key = "tokens/"
)

// tokenRetention is how long the outcome of a change can be found by its token.
const tokenRetention = 24 * time.Hour

// Attempts of one change and the pause between them.
const (
	maxAttempts  = 8
	attemptPause = 50 * time.Millisecond
)

// Change is one operator's change of a document.
type Change struct {
	Document mfdocument.Document
	// Base is the revision of the document that was edited, 0 for a new one.
	Base   mothferry.Revision
	Author string
	// Token names the change, so that repeating it has no second effect.
	Token mothferry.Token
}

// Accepter writes changes to the table.
type Accepter struct {
	Table mothferry.Table
	Clock mothferry.Clock
}

// Accept makes a change and returns the revision it got. A repeated change
// returns the revision it got the first time. Two changes of one document
// that were based on the same revision race: the later fails with
// ErrDocumentConflict.
//
// A reply of the table may be lost after its write: the change is then tried
// again, finds the row of its token and returns what that row holds.
func (a *Accepter) Accept(ctx context.Context, c Change) (mothferry.Revision, error) {
	var last error
	for range maxAttempts {
		revision, err := a.attempt(ctx, c)
		if err == nil || !isRetryable(err) {
			return revision, err
		}
		last = err
		if !mfclock.Sleep(ctx, a.Clock, attemptPause) {
			break
		}
	}
	return 0, trace.Wrap(last)
}

// isRetryable reports whether an attempt can do better: after a lost reply,
// or after a race for the revision row with a change of another document.
func isRetryable(err error) bool {
	var conflict *mothferry.ErrConflict
	var unavailable *mothferry.ErrUnavailable
	return errors.As(err, &conflict) || errors.As(err, &unavailable)
}

func (a *Accepter) attempt(ctx context.Context, c Change) (mothferry.Revision, error) {
	documentKey := DocumentsPrefix + mothferry.Key(c.Document.Service)
	tokenKey := tokenPrefix + mothferry.Key(c.Token)
	rows, err := a.Table.Read(ctx, mothferry.Query{Keys: []mothferry.Key{RevisionKey, documentKey, tokenKey}})
	if err != nil {
		return 0, trace.Wrap(err)
	}
	found := byKey(rows)
	if row, ok := found[tokenKey]; ok {
		return parseRevision(row.Value)
	}
	inForce, err := recordOf(found[documentKey])
	if err != nil {
		return 0, err
	}
	if inForce.Revision > 0 && reflect.DeepEqual(inForce.Document, c.Document) {
		// The document says nothing new: whoever applies it from version
		// control again has what it wants, and no revision is spent on it.
		return inForce.Revision, nil
	}
	if err := checkBase(c, inForce); err != nil {
		return 0, err
	}
	revision, err := revisionOf(found[RevisionKey])
	if err != nil {
		return 0, err
	}
	revision++
	record := mfdocument.Record{Document: c.Document, Revision: revision, Author: c.Author, Time: a.Clock.Now().UTC()}
	data, err := record.Encode()
	if err != nil {
		return 0, err
	}
	number := []byte(strconv.FormatUint(uint64(revision), 10))
	_, err = a.Table.Commit(ctx, mothferry.Txn{
		Checks: []mothferry.Check{
			{Key: RevisionKey, Version: found[RevisionKey].Version},
			{Key: documentKey, Version: found[documentKey].Version},
			{Key: tokenKey},
		},
		Writes: []mothferry.Write{
			{Key: RevisionKey, Value: number},
			{Key: documentKey, Value: data},
			{Key: tokenKey, Value: number, Expires: a.Clock.Now().Add(tokenRetention)},
		},
	})
	return revision, trace.Wrap(err)
}

// recordOf returns the record in a document's row, the zero record if the row is absent.
func recordOf(row mothferry.Row) (mfdocument.Record, error) {
	if row.Version == 0 {
		return mfdocument.Record{}, nil
	}
	return mfdocument.DecodeRecord(row.Value)
}

// checkBase refuses a change whose document was changed since it was read.
func checkBase(c Change, inForce mfdocument.Record) error {
	if inForce.Revision == c.Base {
		return nil
	}
	if inForce.Revision == 0 {
		return trace.Wrap(&mothferry.ErrNotFound{Kind: "service document", Name: string(c.Document.Service)})
	}
	return trace.Wrap(&mothferry.ErrDocumentConflict{
		Service: c.Document.Service, Edited: c.Base, Current: inForce.Revision,
		Author: inForce.Author, Time: inForce.Time, Difference: mfdocument.Difference(inForce.Document, c.Document),
	})
}

// ReadAll returns every document as of one moment. A document that cannot be
// read fails the whole: nothing is adopted in part.
func ReadAll(ctx context.Context, table mothferry.Table) (mfsnapshot.Delta, error) {
	query := mothferry.Query{Keys: []mothferry.Key{RevisionKey}, Prefixes: []mothferry.Key{DocumentsPrefix}}
	rows, err := table.Read(ctx, query)
	if err != nil {
		return mfsnapshot.Delta{}, trace.Wrap(err)
	}
	revision, err := revisionOf(byKey(rows)[RevisionKey])
	if err != nil {
		return mfsnapshot.Delta{}, err
	}
	delta := mfsnapshot.Delta{Revision: revision}
	for _, r := range rows {
		if r.Key == RevisionKey {
			continue
		}
		record, err := mfdocument.DecodeRecord(r.Value)
		if err != nil {
			return mfsnapshot.Delta{}, err
		}
		if record.Revision > revision {
			detail := fmt.Sprintf("document %s is at revision %d, above %d", record.Document.Service, record.Revision, revision)
			return mfsnapshot.Delta{}, trace.Wrap(&mothferry.ErrBadReply{Operation: "read of documents", Detail: detail})
		}
		delta.Records = append(delta.Records, record)
	}
	return delta, nil
}

func byKey(rows []mothferry.Row) map[mothferry.Key]mothferry.Row {
	found := map[mothferry.Key]mothferry.Row{}
	for _, r := range rows {
		found[r.Key] = r
	}
	return found
}

func revisionOf(row mothferry.Row) (mothferry.Revision, error) {
	if row.Version == 0 {
		return 0, nil
	}
	return parseRevision(row.Value)
}

func parseRevision(data []byte) (mothferry.Revision, error) {
	number, err := strconv.ParseUint(string(data), 10, 64)
	if err != nil {
		return 0, trace.Wrap(&mothferry.ErrBadReply{Operation: "read of the revision", Detail: err.Error()})
	}
	return mothferry.Revision(number), nil
}
