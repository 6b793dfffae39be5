package mfowner

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfstandin"
)

// A finished job must not run again if its rows could not be deleted and the inbox is read
// again.
func TestFinishedJobDoesNotRunAgain(t *testing.T) {
	rows := &mfstandin.Rows{}
	workers := &loadWorkers{workers: map[mothferry.WorkerID]*loadWorker{}, taskDuration: 20 * time.Millisecond}
	o, _ := newTestOwner("h-1", rows)
	o.Workers, o.Listing, o.Machines = workers, loadListing(2), loadMachines(2)
	o.Limits.FinishedJobRetention = 8 * time.Second
	rows.SetBefore(func(txn mothferry.Txn) mfstandin.CommitFault {
		if txn.SpansParts {
			return mfstandin.CommitDeclined
		}
		return mfstandin.CommitOK
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = o.Run(ctx) })
	waitFor(t, "the shard has an owner", o.Owning)
	submit(t, rows, "short", mfjob.Step{Count: 1, Need: mothferry.Resources{Cores: 1000, Memory: mothferry.Gibibyte}})
	ended := func() int {
		workers.mutex.Lock()
		defer workers.mutex.Unlock()
		return workers.done
	}
	waitFor(t, "the job's task is done", func() bool { return ended() == 1 })
	time.Sleep(o.Limits.FinishedJobRetention + time.Second)
	rows.SetBefore(nil)
	rows.DropHistory()
	submit(t, rows, "next", mfjob.Step{Count: 1, Need: mothferry.Resources{Cores: 1000, Memory: mothferry.Gibibyte}})
	waitFor(t, "the next job's task is done", func() bool { return ended() >= 2 })
	time.Sleep(time.Second)
	cancel()
	running.Wait()
	assert.Equal(t, ended(), 2, "tasks done, by two jobs of one task each")
}
