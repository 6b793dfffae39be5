package mfchange

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mothferry"
	"mothferry/mfclock"
	"mothferry/mfdocument"
	"mothferry/mffake"
)

func change(service mothferry.ServiceID, base mothferry.Revision, author string, runners int) Change {
	d := mfdocument.Default()
	d.Service, d.Runners = service, runners
	return Change{Document: d, Base: base, Author: author, Token: mothferry.Token(fmt.Sprint(author, "-", service, "-", runners))}
}

// TestLostReply: symptom, an operator's change is refused as a conflict with
// itself, or counted twice. Sequence: the table commits, its reply is lost,
// the daemon tries again. Cause: without the token's row the second try sees
// a document newer than the one that was edited.
func TestLostReply(t *testing.T) {
	table := mffake.NewTable(mfclock.System{})
	accepter := &Accepter{Table: table, Clock: mfclock.System{}}
	table.LoseReplies(1)
	revision, err := accepter.Accept(t.Context(), change("s", 0, "ann", 1))
	assert.NilError(t, err)
	assert.Equal(t, revision, mothferry.Revision(1))
	again, err := accepter.Accept(t.Context(), change("s", 0, "ann", 1))
	assert.NilError(t, err)
	assert.Equal(t, again, revision)
	delta, err := ReadAll(t.Context(), table)
	assert.NilError(t, err)
	assert.Equal(t, delta.Revision, mothferry.Revision(1))
}

// TestUnchangedDocumentGetsNoRevision: a document that says nothing new is accepted without
// a new revision, whatever revision it was edited from.
func TestUnchangedDocumentGetsNoRevision(t *testing.T) {
	table := mffake.NewTable(mfclock.System{})
	accepter := &Accepter{Table: table, Clock: mfclock.System{}}
	for i := range 3 {
		c := change("s", 0, "ann", 1)
		c.Token = mothferry.Token(fmt.Sprint("token-", i))
		revision, err := accepter.Accept(t.Context(), c)
		assert.NilError(t, err)
		assert.Equal(t, revision, mothferry.Revision(1))
	}
}

// TestOperatorsRace: two operators edit the same revision. One is accepted;
// the other is told who changed what, and nothing of its change is in force.
func TestOperatorsRace(t *testing.T) {
	table := mffake.NewTable(mfclock.System{})
	accepter := &Accepter{Table: table, Clock: mfclock.System{}}
	_, err := accepter.Accept(t.Context(), change("s", 0, "zoe", 1))
	assert.NilError(t, err)
	errs := make([]error, 2)
	var group sync.WaitGroup
	for i, author := range []string{"ann", "ben"} {
		group.Go(func() { _, errs[i] = accepter.Accept(t.Context(), change("s", 1, author, 5+i)) })
	}
	group.Wait()
	winner, loser := "ann", 1
	if errs[0] != nil {
		winner, loser = "ben", 0
	}
	assert.NilError(t, errs[1-loser])
	var conflict *mothferry.ErrDocumentConflict
	assert.Assert(t, errors.As(errs[loser], &conflict), "%v", errs[loser])
	assert.Equal(t, conflict.Author, winner)
	assert.Equal(t, conflict.Current, mothferry.Revision(2))
	assert.Equal(t, conflict.Difference, fmt.Sprintf("-runners: %d\n+runners: %d\n", 6-loser, 5+loser))
}

// TestTableDown: a change is refused, not half made, while the table is out.
func TestTableDown(t *testing.T) {
	clock := mffake.NewClock()
	table := mffake.NewTable(clock)
	table.SetDown(true)
	accepter := &Accepter{Table: table, Clock: clock}
	done := make(chan error)
	go func() {
		_, err := accepter.Accept(t.Context(), change("s", 0, "ann", 1))
		done <- err
	}()
	for {
		select {
		case err := <-done:
			var unavailable *mothferry.ErrUnavailable
			assert.Assert(t, errors.As(err, &unavailable), "%v", err)
			return
		case <-time.After(time.Millisecond):
			clock.Advance(attemptPause)
		}
	}
}

// TestRevisionsAreDense: whatever is lost, repeated or raced, each accepted
// change has a revision of its own and the documents read back are the last
// accepted of each service.
func TestRevisionsAreDense(t *testing.T) {
	mffake.Check(t, func(t *rapid.T) {
		table := mffake.NewTable(mfclock.System{})
		accepter := &Accepter{Table: table, Clock: mffake.InstantClock{}}
		latest := map[mothferry.ServiceID]mothferry.Revision{}
		var highest mothferry.Revision
		for i := range rapid.IntRange(1, 15).Draw(t, "changes") {
			service := rapid.SampledFrom([]mothferry.ServiceID{"a", "b"}).Draw(t, "service")
			base := latest[service]
			stale := base > 0 && rapid.Bool().Draw(t, "stale")
			if stale {
				base--
			}
			table.LoseCalls(rapid.IntRange(0, 2).Draw(t, "calls"))
			table.LoseReplies(rapid.IntRange(0, 2).Draw(t, "replies"))
			revision, err := accepter.Accept(t.Context(), change(service, base, "op", i))
			table.LoseCalls(0)
			table.LoseReplies(0)
			if stale {
				assert.Assert(t, err != nil)
				continue
			}
			assert.NilError(t, err)
			assert.Equal(t, revision, highest+1)
			highest, latest[service] = revision, revision
		}
		delta, err := ReadAll(t.Context(), table)
		assert.NilError(t, err)
		assert.Equal(t, delta.Revision, highest)
		for _, r := range delta.Records {
			assert.Equal(t, r.Revision, latest[r.Document.Service])
		}
	})
}

// TestReadAllIsAllOrNothing: a row that cannot be read, or that is newer
// than the revision it was read with, fails the whole.
func TestReadAllIsAllOrNothing(t *testing.T) {
	for _, value := range []string{"{", `{"revision": 0}`, `{"revision": 9, "document": {"service": "s"}}`} {
		table := mffake.NewTable(mfclock.System{})
		_, err := table.Commit(t.Context(), mothferry.Txn{Writes: []mothferry.Write{
			{Key: RevisionKey, Value: []byte("3")},
			{Key: DocumentsPrefix + "s", Value: []byte(value)},
		}})
		assert.NilError(t, err)
		delta, err := ReadAll(t.Context(), table)
		var bad *mothferry.ErrBadReply
		assert.Assert(t, errors.As(err, &bad), "%v", err)
		assert.Equal(t, len(delta.Records), 0)
	}
}
