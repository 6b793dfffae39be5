package mfowner

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfjournal"
	"mothferry/mfrecord"
	"mothferry/mfshare"
	"mothferry/mfstandin"
)

// storedState returns the state of a job as callers see it.
func storedState(t *testing.T, store mothferry.RowStore, id mothferry.JobID) mfjob.State {
	t.Helper()
	for _, r := range shardRows(t, store, mfrecord.TableProgress) {
		if r.Key == mothferry.Key(id) {
			p, err := mfjob.DecodeProgress(r.Value)
			assert.NilError(t, err)
			return p.State
		}
	}
	return ""
}

// Guards against an owner that sends a commit without end that the store rejects, so that nothing
// starts any more: the job at fault fails, the others run, also under the next owner.
func TestRejectedProgressFailsOnlyItsJob(t *testing.T) {
	unfinished := func(w mothferry.Write, table mothferry.TableID) bool {
		return w.Table == table && !w.Delete && !bytes.Contains(w.Value, []byte(mfjob.StateFailed)) &&
			(w.Key == "bad" || bytes.Contains(w.Value, []byte(`"bad":`)))
	}
	for _, table := range []mothferry.TableID{mfrecord.TableProgress, mfrecord.TableLog} {
		t.Run(string(table), func(t *testing.T) {
			rows := &mfstandin.Rows{Before: func(txn mothferry.Txn) mfstandin.CommitFault {
				for _, w := range txn.Writes {
					if unfinished(w, table) {
						return mfstandin.CommitRejected
					}
				}
				return mfstandin.CommitOK
			}}
			workers := &takeoverWorkers{loadWorkers: loadWorkers{workers: map[mothferry.WorkerID]*loadWorker{}, taskDuration: 100 * time.Millisecond}}
			need := mothferry.Resources{Cores: 1000, Memory: mothferry.Gibibyte}
			submit(t, rows, "bad", mfjob.Step{Count: 2, Need: need}, mfjob.Step{Count: 2, Need: need, After: []int{0}})
			for owner := range 2 {
				o, _ := newTestOwner(mothferry.DaemonID(fmt.Sprintf("h-%d", owner)), rows)
				o.Workers, o.Listing, o.Machines = workers, loadListing(8), loadMachines(8)
				ctx, cancel := context.WithCancel(context.Background())
				var running sync.WaitGroup
				running.Go(func() { _ = o.Run(ctx) })
				var small []mothferry.JobID
				for i := range 20 {
					id := mothferry.JobID(fmt.Sprintf("small-%d-%d", owner, i))
					small = append(small, id)
					submit(t, rows, id, mfjob.Step{Count: 3, Need: need}, mfjob.Step{Count: 1, Need: need, After: []int{0}})
				}
				for _, id := range small {
					waitFor(t, fmt.Sprintf("%s is completed", id), func() bool { return storedState(t, rows, id) == mfjob.StateCompleted })
				}
				waitFor(t, "the job at fault has failed", func() bool { return storedState(t, rows, "bad") == mfjob.StateFailed })
				cancel()
				running.Wait()
			}
			assert.Equal(t, len(workers.duplicates), 0)
		})
	}
}

// Guards against a transaction that is only too large as a whole and is given up: its rows are
// stored in several ones, and the head with each.
func TestTooLargeTransactionIsDivided(t *testing.T) {
	rows := &mfstandin.Rows{}
	c := &committer{store: rows, clock: instantClock{}}
	var writes []mothferry.Write
	for i := range 300 {
		writes = append(writes, mothferry.Write{Table: mfrecord.TableProgress, Part: mfrecord.PartShard, Key: mothferry.Key(fmt.Sprint(i)), Value: []byte("x")})
	}
	writes[200].Value = []byte(strings.Repeat("x", 70_000))
	err := c.writeValid(context.Background(), mfrecord.Head{Holder: "h", Epoch: 1}, writes)
	var rejected *errRowsRejected
	assert.Assert(t, err != nil)
	assert.ErrorType(t, err, rejected)
	assert.Equal(t, len(shardRows(t, rows, mfrecord.TableProgress)), 299)
	writes[200].Value = nil
	assert.NilError(t, c.writeValid(context.Background(), mfrecord.Head{Holder: "h", Epoch: 1}, writes))
	assert.Equal(t, len(shardRows(t, rows, mfrecord.TableProgress)), 300)
}

// Guards against a head that the store does not take, so that the owner can store nothing more: with
// many queues and accounts it is stored without some counts.
func TestHeadFitsItsRow(t *testing.T) {
	o, _ := newTestOwner("h", &mfstandin.Rows{})
	s := &session{owner: o, journal: &mfjournal.Journal{}}
	head := mfrecord.Head{Holder: "h", Epoch: 1, PendingKnown: true, Pending: map[mothferry.QueueID]int{}, Shares: mfshare.Allocation{}}
	for i := range 100 {
		head.Pending[mothferry.QueueID(fmt.Sprintf("queue-%06d", i))] = i
		head.Shares[mfshare.Flow{Service: "s", Account: mothferry.AccountID(fmt.Sprint(i))}] = mfshare.FlowShare{Wait: time.Second}
	}
	fitted := s.fitHead(head)
	assert.Assert(t, fitted.PendingKnown && fitted.Shares != nil, "a usual head stays whole")
	for i := range 3000 {
		head.Shares[mfshare.Flow{Service: "s", Account: mothferry.AccountID(fmt.Sprintf("account-%06d", i))}] = mfshare.FlowShare{Wait: time.Second}
	}
	fitted = s.fitHead(head)
	assert.Assert(t, fitted.PendingKnown && fitted.Shares == nil, "shares are left out first")
	for i := range 7000 {
		head.Pending[mothferry.QueueID(fmt.Sprintf("queue-%06d", i))] = i
	}
	fitted = s.fitHead(head)
	assert.Assert(t, !fitted.PendingKnown)
	value, err := fitted.Encode()
	assert.NilError(t, err)
	assert.Assert(t, len(value) <= int(mfjournal.DefaultMaxRow))
}
