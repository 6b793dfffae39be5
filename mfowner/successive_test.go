package mfowner

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfrecord"
	"mothferry/mfstandin"
)

var successiveFor = flag.Duration("successive.for", 3*time.Second, "how long owners change")

// strictWorkers are workers that refuse orders by epoch and run as the platform specifies, behind calls
// that are late or get no answer. They record tasks that run twice.
type strictWorkers struct {
	mutex        sync.Mutex
	workers      map[mothferry.WorkerID]*strictWorker
	taskDuration time.Duration
	// runs holds the runs of each task, with the calls that started them.
	runs    map[mothferry.TaskName][]*strictRun
	twice   []string
	done    map[mothferry.TaskName]bool
	changed chan struct{}
}

type strictWorker struct {
	epoch   mothferry.Epoch
	highest map[mothferry.TaskName]mothferry.RunNumber
	running map[mothferry.TaskName]*strictRun
	ends    []mothferry.EndedTask
	last    mothferry.EndNumber
}

type strictRun struct {
	on          mothferry.WorkerID
	run         mothferry.RunNumber
	epoch       mothferry.Epoch
	sent, began time.Time
	ended       bool
}

// String describes the run.
func (r *strictRun) String() string {
	return fmt.Sprintf("run %d on %s of epoch %d, carried out %v after it was sent, ended %t", r.run, r.on, r.epoch, r.began.Sub(r.sent), r.ended)
}

// carryOut runs f on a worker now or late. Some calls get no answer though they are carried out.
func (s *strictWorkers) carryOut(id mothferry.WorkerID, epoch mothferry.Epoch, f func(w *strictWorker) error) error {
	const timeout = 700 * time.Millisecond
	unavailable := &mothferry.ErrUnavailable{Operation: "order", Err: context.DeadlineExceeded}
	locked := func() error {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		w, known := s.workers[id]
		if !known {
			w = &strictWorker{highest: map[mothferry.TaskName]mothferry.RunNumber{}, running: map[mothferry.TaskName]*strictRun{}}
			s.workers[id] = w
		}
		if epoch < w.epoch {
			return &mothferry.ErrOrderRefused{Refusal: mothferry.RefusalEpoch}
		}
		w.epoch = epoch
		return f(w)
	}
	switch rand.IntN(20) {
	case 0:
		time.AfterFunc(time.Duration(rand.Int64N(int64(2*time.Second))), func() { _ = locked() })
		time.Sleep(timeout)
		return unavailable
	case 1:
		_ = locked()
		time.Sleep(timeout)
		return unavailable
	case 2:
		time.Sleep(time.Duration(rand.Int64N(int64(timeout))))
	}
	return locked()
}

// report forgets the ends that were seen and returns what runs and has ended.
func (w *strictWorker) report(lastEndSeen mothferry.EndNumber) mothferry.PollReport {
	w.ends = slices.DeleteFunc(w.ends, func(e mothferry.EndedTask) bool { return e.Number <= lastEndSeen })
	report := mothferry.PollReport{Clock: loadClock(), Ended: slices.Clone(w.ends)}
	for task, r := range w.running {
		report.Running = append(report.Running, mothferry.RunningTask{Task: task, Run: r.run, Percent: 50})
	}
	return report
}

// Start implements mothferry.TaskWorkers.
func (s *strictWorkers) Start(_ context.Context, at mothferry.WorkerAddress, o mothferry.StartOrder) (mothferry.WorkerClock, error) {
	r := &strictRun{on: at.Worker, run: o.Run, epoch: o.Epoch, sent: time.Now()}
	err := s.carryOut(at.Worker, o.Epoch, func(w *strictWorker) error {
		if present := w.running[o.Task]; present != nil && present.run == o.Run {
			return nil
		}
		if o.Run <= w.highest[o.Task] {
			return &mothferry.ErrOrderRefused{Refusal: mothferry.RefusalRun}
		}
		r.began = time.Now()
		if slices.ContainsFunc(s.runs[o.Task], func(other *strictRun) bool { return !other.ended }) || s.done[o.Task] {
			s.twice = append(s.twice, fmt.Sprintf("%v: %v beside or after %v", o.Task, r, s.runs[o.Task]))
		}
		s.runs[o.Task] = append(s.runs[o.Task], r)
		w.running[o.Task] = r
		time.AfterFunc(time.Duration(float64(s.taskDuration)*(0.5+rand.Float64())), func() { s.end(w, o.Task, r, mothferry.EndDone) })
		return nil
	})
	return loadClock(), err
}

// end ends a run and lists its end.
func (s *strictWorkers) end(w *strictWorker, task mothferry.TaskName, r *strictRun, cause mothferry.EndCause) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	delete(w.running, task)
	w.highest[task] = max(w.highest[task], r.run)
	s.done[task] = s.done[task] || cause == mothferry.EndDone
	w.last++
	w.ends = append(w.ends, mothferry.EndedTask{Number: w.last, Task: task, Run: r.run, Cause: cause})
	close(s.changed)
	s.changed = make(chan struct{})
}

// Stop implements mothferry.TaskWorkers.
func (s *strictWorkers) Stop(_ context.Context, at mothferry.WorkerAddress, task mothferry.TaskName, run mothferry.RunNumber, epoch mothferry.Epoch) (mothferry.WorkerClock, error) {
	err := s.carryOut(at.Worker, epoch, func(w *strictWorker) error {
		w.highest[task] = max(w.highest[task], run)
		if r := w.running[task]; r != nil && r.run == run {
			time.AfterFunc(stopDuration, func() { s.end(w, task, r, mothferry.EndStopped) })
		}
		return nil
	})
	return loadClock(), err
}

// Pace implements mothferry.TaskWorkers.
func (s *strictWorkers) Pace(context.Context, mothferry.WorkerAddress, mothferry.TaskName, mothferry.RunNumber, int, mothferry.Epoch) (mothferry.WorkerClock, error) {
	return loadClock(), nil
}

// Poll implements mothferry.TaskWorkers.
func (s *strictWorkers) Poll(ctx context.Context, at mothferry.WorkerAddress, o mothferry.PollOrder) (mothferry.PollReport, error) {
	for deadline := time.Now().Add(o.Wait); ; {
		s.mutex.Lock()
		changed := s.changed
		s.mutex.Unlock()
		var report mothferry.PollReport
		err := s.carryOut(at.Worker, o.Epoch, func(w *strictWorker) error {
			report = w.report(o.LastEndSeen)
			return nil
		})
		if err != nil {
			return mothferry.PollReport{}, err
		}
		if len(report.Ended) > 0 || time.Until(deadline) <= 0 {
			return report, nil
		}
		select {
		case <-changed:
		case <-time.After(time.Until(deadline)):
		case <-ctx.Done():
			return mothferry.PollReport{}, ctx.Err()
		}
	}
}

// submitAgain stores a submission unless it is stored, as hosts do.
func submitAgain(ctx context.Context, store mothferry.RowStore, id mothferry.JobID, steps []mfjob.Step) {
	value, err := mfjob.EncodeSubmission(mfjob.Submission{Queue: "q", Service: "s", Accepted: time.Now(), Steps: steps})
	if err != nil || ctx.Err() != nil {
		return
	}
	part, key := mfrecord.InboxPart(id), mfrecord.JobKey(id)
	// The row may be there, which is no error.
	_, _ = store.Commit(ctx, mothferry.Txn{
		Checks: []mothferry.Check{{Table: mfrecord.TableInbox, Part: part, Key: key}},
		Writes: []mothferry.Write{{Table: mfrecord.TableInbox, Part: part, Key: key, Value: value}},
	})
}

// Guards against tasks that end by themselves and are started again by the next owner: owners that
// lose the store go on beside their successors, while orders, answers and commits are late, and jobs are
// handed in again.
func TestSuccessiveOwnersStartNothingTwice(t *testing.T) {
	t.Parallel()
	const hosts, machines = 3, 12
	rows := &mfstandin.Rows{}
	workers := &strictWorkers{
		workers: map[mothferry.WorkerID]*strictWorker{}, taskDuration: 640 * time.Millisecond, runs: map[mothferry.TaskName][]*strictRun{},
		done: map[mothferry.TaskName]bool{}, changed: make(chan struct{}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var owners []*Owner
	var stores []*mfstandin.FaultyStore
	for i := range hosts {
		store := &mfstandin.FaultyStore{Store: rows}
		o, _ := newTestOwner(mothferry.DaemonID(fmt.Sprintf("h-%d", i)), store)
		o.Workers, o.Listing, o.Machines = workers, loadListing(machines), loadMachines(machines)
		owners, stores = append(owners, o), append(stores, store)
		running.Go(func() { _ = o.Run(ctx) })
	}
	faults := []mfstandin.StoreFault{mfstandin.StoreReset, mfstandin.StoreTimeout, mfstandin.StoreLate}
	tasks, jobs, takeovers := 0, 0, 0
	step := mfjob.Step{Count: 6, Need: mothferry.Resources{Cores: 2200, Memory: mothferry.Gibibyte}, Estimate: workers.taskDuration}
	for began := time.Now(); time.Since(began) < *successiveFor; {
		id := mothferry.JobID(fmt.Sprintf("%016x", jobs))
		steps := []mfjob.Step{step, {Count: step.Count, Need: step.Need, Estimate: step.Estimate, After: []int{0}}}
		submit(t, rows, id, steps...)
		time.AfterFunc(time.Duration(rand.Int64N(int64(10*time.Second))), func() { submitAgain(ctx, rows, id, steps) })
		jobs, tasks = jobs+1, tasks+2*step.Count
		time.Sleep(150 * time.Millisecond)
		owner := slices.IndexFunc(owners, (*Owner).Owning)
		if owner < 0 || jobs%8 != 0 {
			continue
		}
		takeovers++
		stores[owner].SetFault(faults[rand.IntN(len(faults))])
		time.AfterFunc(1800*time.Millisecond, func() {
			stores[owner].SetFault(mfstandin.StoreOK)
			stores[owner].ApplyLate(ctx)
		})
	}
	ended := func() int {
		workers.mutex.Lock()
		defer workers.mutex.Unlock()
		return len(workers.done)
	}
	for began := time.Now(); ended() < tasks && time.Since(began) < 20*time.Second; {
		time.Sleep(50 * time.Millisecond)
	}
	cancel()
	running.Wait()
	t.Logf("%d tasks ended of %d, %d owners lost the store", ended(), tasks, takeovers)
	workers.mutex.Lock()
	defer workers.mutex.Unlock()
	assert.Equal(t, len(workers.twice), 0, "%v", workers.twice)
	assert.Equal(t, len(workers.done), tasks)
}
