package mfowner

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfrecord"
	"mothferry/mfsched"
	"mothferry/mfstandin"
)

// takeoverWorkers run tasks over a series of owners and record concurrent runs of the same
// task.
type takeoverWorkers struct {
	loadWorkers

	// lastingJob is the job whose tasks run until they are stopped or fail.
	lastingJob mothferry.JobID
	duplicates []string
	stops      int
}

// Start implements mothferry.TaskWorkers.
func (s *takeoverWorkers) Start(ctx context.Context, at mothferry.WorkerAddress, o mothferry.StartOrder) (mothferry.WorkerClock, error) {
	if o.Task.Job != s.lastingJob {
		return s.loadWorkers.Start(ctx, at, o)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for id, w := range s.workers {
		if run, ok := w.running[o.Task]; ok && (id != at.Worker || run != o.Run) {
			s.duplicates = append(s.duplicates, fmt.Sprintf("%v starts as run %d on %s and runs as run %d on %s", o.Task, o.Run, at.Worker, run, id))
		}
	}
	s.worker(at.Worker).running[o.Task] = o.Run
	return loadClock(), nil
}

// stopDuration is how long a stopped run takes to end.
const stopDuration = 300 * time.Millisecond

// Stop implements mothferry.TaskWorkers.
func (s *takeoverWorkers) Stop(_ context.Context, at mothferry.WorkerAddress, task mothferry.TaskName, _ mothferry.RunNumber, _ mothferry.Epoch) (mothferry.WorkerClock, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stops++
	time.AfterFunc(stopDuration, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.endRun(at.Worker, task, mothferry.EndStopped)
	})
	return loadClock(), nil
}

// endRun ends a run on a worker and queues its end for polls. The mutex is held.
func (s *takeoverWorkers) endRun(id mothferry.WorkerID, task mothferry.TaskName, cause mothferry.EndCause) {
	w := s.worker(id)
	run, ok := w.running[task]
	if !ok {
		return
	}
	delete(w.running, task)
	w.last++
	w.ends = append(w.ends, mothferry.EndedTask{Number: w.last, Task: task, Run: run, Cause: cause})
	close(w.ended)
	w.ended = make(chan struct{})
}

// lastingRuns returns the highest run number of each running task of the lasting job.
func (s *takeoverWorkers) lastingRuns() map[mothferry.TaskName]mothferry.RunNumber {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	runs := map[mothferry.TaskName]mothferry.RunNumber{}
	for _, w := range s.workers {
		for task, run := range w.running {
			if task.Job == s.lastingJob {
				runs[task] = max(runs[task], run)
			}
		}
	}
	return runs
}

// failLastingTask makes one task of the lasting job fail.
func (s *takeoverWorkers) failLastingTask() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for id, w := range s.workers {
		for task := range w.running {
			if task.Job == s.lastingJob {
				s.endRun(id, task, mothferry.EndFailed)
				return
			}
		}
	}
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("timed out after ten seconds: %s", condition)
}

// submit stores a submission.
func submit(t *testing.T, store mothferry.RowStore, id mothferry.JobID, steps ...mfjob.Step) {
	t.Helper()
	value, err := mfjob.EncodeSubmission(mfjob.Submission{Queue: "q", Service: "s", Accepted: time.Now(), Steps: steps})
	assert.NilError(t, err)
	_, err = store.Commit(context.Background(), mothferry.Txn{Writes: []mothferry.Write{{Table: mfrecord.TableInbox, Part: mfrecord.InboxPart(id), Key: mfrecord.JobKey(id), Value: value}}})
	assert.NilError(t, err)
}

// shardRows returns the shard's rows of a table.
func shardRows(t *testing.T, store mothferry.RowStore, table mothferry.TableID) []mothferry.Row {
	t.Helper()
	page, err := store.Range(context.Background(), mothferry.RowRange{Table: table, Part: mfrecord.PartShard})
	assert.NilError(t, err)
	return page.Rows
}

// A takeover must neither start nor stop running lasting tasks, even if the previous owner has
// found an empty log.
func TestTakeoverAfterEmptyLogKeepsLastingTasks(t *testing.T) {
	rows := &mfstandin.Rows{}
	workers := &takeoverWorkers{lastingJob: "lasts", loadWorkers: loadWorkers{workers: map[mothferry.WorkerID]*loadWorker{}, taskDuration: 300 * time.Millisecond}}
	need := mothferry.Resources{Cores: 1000, Memory: mothferry.Gibibyte}
	withOwner := func(name mothferry.DaemonID, during func()) {
		o, _ := newTestOwner(name, rows)
		o.Workers, o.Listing, o.Machines = workers, loadListing(4), loadMachines(4)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { _ = o.Run(ctx) })
		waitFor(t, "the shard has an owner", o.Owning)
		during()
		cancel()
		running.Wait()
	}
	withOwner("h-1", func() {
		submit(t, rows, "short", mfjob.Step{Count: 1, Need: need}, mfjob.Step{Count: 1, Need: need, After: []int{0}})
		waitFor(t, "the log has rows", func() bool { return len(shardRows(t, rows, mfrecord.TableLog)) > 0 })
		submit(t, rows, "lasts", mfjob.Step{Count: 2, Need: need, Lasting: true, MayMiss: 1})
		waitFor(t, "the lasting tasks run", func() bool { return len(workers.lastingRuns()) == 2 })
		waitFor(t, "the log is empty", func() bool { return len(shardRows(t, rows, mfrecord.TableLog)) == 0 })
	})
	progress := shardRows(t, rows, mfrecord.TableProgress)
	at := slices.IndexFunc(progress, func(r mothferry.Row) bool { return r.Key == "lasts" })
	lasts, err := mfjob.DecodeProgress(progress[at].Value)
	assert.NilError(t, err)
	assert.Assert(t, lasts.AfterSegment > 0, "the job's own row refers to the log")
	assert.Equal(t, len(shardRows(t, rows, mfrecord.TableLog)), 0)
	withOwner("h-2", func() {
		time.Sleep(200 * time.Millisecond)
		workers.failLastingTask()
		waitFor(t, "the task that failed runs again", func() bool {
			runs := workers.lastingRuns()
			again := slices.ContainsFunc([]int{0, 1}, func(i int) bool { return runs[mothferry.TaskName{Job: "lasts", Index: i}] == 2 })
			return len(runs) == 2 && again
		})
	})
	withOwner("h-3", func() { time.Sleep(time.Second) })
	workers.mutex.Lock()
	defer workers.mutex.Unlock()
	assert.Equal(t, len(workers.duplicates), 0, "%v", workers.duplicates)
	assert.Equal(t, workers.stops, 0, "runs were stopped")
}

// A late delete by a deposed owner must not remove the progress of a finished job that the new
// owner needs.
func TestDeposedOwnerDeletesNoProgress(t *testing.T) {
	rows := &mfstandin.Rows{}
	workers := &loadWorkers{workers: map[mothferry.WorkerID]*loadWorker{}, taskDuration: 50 * time.Millisecond}
	startOwner := func(ctx context.Context, name mothferry.DaemonID, retention time.Duration) (wait func()) {
		o, _ := newTestOwner(name, rows)
		o.Workers, o.Listing, o.Machines, o.Limits.FinishedJobRetention = workers, loadListing(1), loadMachines(1), retention
		var running sync.WaitGroup
		running.Go(func() { _ = o.Run(ctx) })
		waitFor(t, "the shard has an owner", o.Owning)
		return running.Wait
	}
	first, depose := context.WithCancel(context.Background())
	deposed := startOwner(first, "h-1", 300*time.Millisecond)
	step := mfjob.Step{Count: 1, Need: mothferry.Resources{Cores: 1000}}
	submit(t, rows, "earlier", step)
	waitFor(t, "the job has started", func() bool { return len(shardRows(t, rows, mfrecord.TableProgress)) == 1 })
	waitFor(t, "the job is deleted", func() bool { return len(shardRows(t, rows, mfrecord.TableProgress)) == 0 })
	var late atomic.Bool
	rows.SetBefore(func(txn mothferry.Txn) mfstandin.CommitFault {
		if !slices.ContainsFunc(txn.Writes, func(w mothferry.Write) bool { return w.Delete && w.Table == mfrecord.TableProgress }) {
			return mfstandin.CommitOK
		}
		late.Store(true)
		return mfstandin.CommitLate
	})
	submit(t, rows, "short", step)
	waitFor(t, "the delayed delete of the job is sent", late.Load)
	depose()
	deposed()
	second, end := context.WithCancel(context.Background())
	ended := startOwner(second, "h-2", time.Hour)
	rows.ApplyLate()
	assert.Equal(t, len(shardRows(t, rows, mfrecord.TableProgress)), 1)
	end()
	ended()
}

// A third owner must still wait for the leases of the first one if those of the second one are
// shorter.
func TestLeaseTailSurvivesTwoTakeovers(t *testing.T) {
	rows := &mfstandin.Rows{}
	first := mfrecord.Head{Holder: "h-1", Epoch: 1, Cores: 800, LeaseTail: time.Minute}
	value, err := first.Encode()
	assert.NilError(t, err)
	_, err = rows.Commit(context.Background(), mothferry.Txn{Writes: []mothferry.Write{{Table: mfrecord.TableOwner, Part: mfrecord.PartShard, Key: mfrecord.KeyHead, Value: value}}})
	assert.NilError(t, err)
	began := time.Now()
	second, _ := newTestOwner("h-2", rows)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = second.Run(ctx) })
	waitFor(t, "the shard has an owner", second.Owning)
	head := func() mfrecord.Head {
		seen, err := readHead(context.Background(), rows)
		assert.NilError(t, err)
		return seen.head
	}
	waitFor(t, "the second owner stores something", func() bool { return head().PendingKnown })
	assert.Assert(t, head().LeaseTail > time.Minute-time.Since(began), "%v", head().LeaseTail)
	cancel()
	running.Wait()
	assert.Assert(t, head().LeaseTail > time.Minute-time.Since(began), "%v after it released the shard", head().LeaseTail)
}

// The stored lease tail must not end a fraction of a millisecond before the leases do.
func TestStoredLeaseTailIsRoundedUp(t *testing.T) {
	now := time.Now()
	left := time.Minute + 400*time.Microsecond
	s := &session{owner: &Owner{Limits: mfsched.DefaultLimits()}, state: mfsched.New(mfsched.DefaultLimits(), 2, now, now.Add(left))}
	value, err := mfrecord.Head{LeaseTail: s.leaseTail(now)}.Encode()
	assert.NilError(t, err)
	head, err := mfrecord.DecodeHead(value)
	assert.NilError(t, err)
	assert.Assert(t, head.LeaseTail >= left, "%v", head.LeaseTail)
}

// The shard must be released only after the commit in flight has ended, however long its
// answer takes.
func TestShardIsReleasedAfterPendingCommit(t *testing.T) {
	rows := &mfstandin.Rows{}
	o, lines := newTestOwner("h-1", rows)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = o.Run(ctx) })
	waitFor(t, "the shard has an owner", o.Owning)
	var lost atomic.Int64
	rows.SetBefore(func(mothferry.Txn) mfstandin.CommitFault {
		lost.Add(1)
		return mfstandin.CommitLost
	})
	waitFor(t, "a commit is in flight", func() bool { return lost.Load() > 0 })
	cancel()
	time.Sleep(releaseTimeout - 50*time.Millisecond)
	rows.SetBefore(func(txn mothferry.Txn) mfstandin.CommitFault {
		head, err := mfrecord.DecodeHead(txn.Writes[0].Value)
		if err == nil && head.Holder == "" {
			return mfstandin.CommitOK
		}
		return mfstandin.CommitLost
	})
	running.Wait()
	released := slices.ContainsFunc(lines.Entries, func(e *log.Entry) bool { return e.Message == "shard is given up" })
	assert.Assert(t, released)
}
