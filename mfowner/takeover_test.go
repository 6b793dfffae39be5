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

// takeoverWorkers run tasks over a series of owners and note two runs of one task at once.
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
		if run, there := w.running[o.Task]; there && (id != at.Worker || run != o.Run) {
			s.duplicates = append(s.duplicates, fmt.Sprintf("%v starts as run %d on %s and runs as run %d on %s", o.Task, o.Run, at.Worker, run, id))
		}
	}
	s.worker(at.Worker).running[o.Task] = o.Run
	return loadClock(), nil
}

// stopDuration is how long a run takes to end that was told to.
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

// endRun ends a run on a worker and lists that; the mutex is held.
func (s *takeoverWorkers) endRun(id mothferry.WorkerID, task mothferry.TaskName, how mothferry.EndCause) {
	w := s.worker(id)
	run, there := w.running[task]
	if !there {
		return
	}
	delete(w.running, task)
	w.last++
	w.ends = append(w.ends, mothferry.EndedTask{Number: w.last, Task: task, Run: run, Cause: how})
	close(w.ended)
	w.ended = make(chan struct{})
}

// lastingRuns returns the highest run of each task of the lasting job that is at work.
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

// failLastingTask has one task of the lasting job fail.
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

// waitFor waits until something holds.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("not within ten seconds: %s", what)
}

// submit stores what a caller hands in.
func submit(t *testing.T, store mothferry.RowStore, id mothferry.JobID, steps ...mfjob.Step) {
	t.Helper()
	value, err := mfjob.EncodeSubmission(mfjob.Submission{Queue: "q", Service: "s", Accepted: time.Now(), Steps: steps})
	assert.NilError(t, err)
	_, err = store.Commit(context.Background(), mothferry.Txn{Writes: []mothferry.Write{{Table: mfrecord.TableInbox, Part: mfrecord.InboxPart(id), Key: mfrecord.JobKey(id), Value: value}}})
	assert.NilError(t, err)
}

// shardRows returns the rows of a table of the shard.
func shardRows(t *testing.T, store mothferry.RowStore, table mothferry.TableID) []mothferry.Row {
	t.Helper()
	page, err := store.Range(context.Background(), mothferry.RowRange{Table: table, Part: mfrecord.PartShard})
	assert.NilError(t, err)
	return page.Rows
}

// A takeover must not start or stop lasting tasks that run, though the owner before has found an empty log.
func TestTakeoverAfterEmptyLogKeepsLastingTasks(t *testing.T) {
	rows := &mfstandin.Rows{}
	workers := &takeoverWorkers{lastingJob: "lasts", loadWorkers: loadWorkers{workers: map[mothferry.WorkerID]*loadWorker{}, taskDuration: 300 * time.Millisecond}}
	need := mothferry.Resources{Cores: 1000, Memory: mothferry.Gibibyte}
	own := func(name mothferry.DaemonID, during func()) {
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
	own("h-1", func() {
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
	assert.Assert(t, lasts.After > 0, "the job's own row refers to the log")
	assert.Equal(t, len(shardRows(t, rows, mfrecord.TableLog)), 0)
	own("h-2", func() {
		time.Sleep(200 * time.Millisecond)
		workers.failLastingTask()
		waitFor(t, "the task that failed runs again", func() bool {
			runs := workers.lastingRuns()
			again := slices.ContainsFunc([]int{0, 1}, func(i int) bool { return runs[mothferry.TaskName{Job: "lasts", Index: i}] == 2 })
			return len(runs) == 2 && again
		})
	})
	own("h-3", func() { time.Sleep(time.Second) })
	workers.mutex.Lock()
	defer workers.mutex.Unlock()
	assert.Equal(t, len(workers.duplicates), 0, "%v", workers.duplicates)
	assert.Equal(t, workers.stops, 0, "runs were stopped")
}

// A deposed owner's late delete must not take the progress of a job that is over from its successor.
func TestDeposedOwnerDeletesNoProgress(t *testing.T) {
	rows := &mfstandin.Rows{}
	workers := &loadWorkers{workers: map[mothferry.WorkerID]*loadWorker{}, taskDuration: 50 * time.Millisecond}
	own := func(ctx context.Context, name mothferry.DaemonID, keep time.Duration) (wait func()) {
		o, _ := newTestOwner(name, rows)
		o.Workers, o.Listing, o.Machines, o.Limits.FinishedJobRetention = workers, loadListing(1), loadMachines(1), keep
		var running sync.WaitGroup
		running.Go(func() { _ = o.Run(ctx) })
		waitFor(t, "the shard has an owner", o.Owning)
		return running.Wait
	}
	first, depose := context.WithCancel(context.Background())
	deposed := own(first, "h-1", 300*time.Millisecond)
	step := mfjob.Step{Count: 1, Need: mothferry.Resources{Cores: 1000}}
	submit(t, rows, "earlier", step)
	waitFor(t, "the job has begun", func() bool { return len(shardRows(t, rows, mfrecord.TableProgress)) == 1 })
	waitFor(t, "the job is forgotten", func() bool { return len(shardRows(t, rows, mfrecord.TableProgress)) == 0 })
	var late atomic.Bool
	rows.SetBefore(func(txn mothferry.Txn) mfstandin.CommitFault {
		if !slices.ContainsFunc(txn.Writes, func(w mothferry.Write) bool { return w.Delete && w.Table == mfrecord.TableProgress }) {
			return mfstandin.CommitWell
		}
		late.Store(true)
		return mfstandin.CommitLate
	})
	submit(t, rows, "short", step)
	waitFor(t, "the job is forgotten, late", late.Load)
	depose()
	deposed()
	second, end := context.WithCancel(context.Background())
	ended := own(second, "h-2", time.Hour)
	rows.Settle()
	assert.Equal(t, len(shardRows(t, rows, mfrecord.TableProgress)), 1)
	end()
	ended()
}

// A third owner must still wait for the leases of the first, if the second one's own are shorter.
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
	assert.Assert(t, head().LeaseTail > time.Minute-time.Since(began), "%v after it gave the shard up", head().LeaseTail)
}

// What is stored of an earlier owner's leases must not end a part of a millisecond before they do.
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

// A shard must be given up only once the commit under way has ended, however long its answer takes.
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
	waitFor(t, "a commit is under way", func() bool { return lost.Load() > 0 })
	cancel()
	time.Sleep(releaseTimeout - 50*time.Millisecond)
	rows.SetBefore(func(txn mothferry.Txn) mfstandin.CommitFault {
		head, err := mfrecord.DecodeHead(txn.Writes[0].Value)
		if err == nil && head.Holder == "" {
			return mfstandin.CommitWell
		}
		return mfstandin.CommitLost
	})
	running.Wait()
	given := slices.ContainsFunc(lines.Entries, func(e *log.Entry) bool { return e.Message == "shard is given up" })
	assert.Assert(t, given)
}
