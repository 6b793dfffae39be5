package mfowner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfclock"
	"mothferry/mfjob"
	"mothferry/mfqueue"
	"mothferry/mfrecord"
	"mothferry/mfrelay"
	"mothferry/mfsched"
	"mothferry/mfstandin"
)

// loadWorkers simulates the workers of a large pool: started tasks end after their duration,
// and polls wait for ends.
type loadWorkers struct {
	mutex   sync.Mutex
	workers map[mothferry.WorkerID]*loadWorker
	// taskDuration is the mean duration of a task.
	taskDuration time.Duration
	done         int
}

type loadWorker struct {
	running map[mothferry.TaskName]mothferry.RunNumber
	ends    []mothferry.EndedTask
	last    mothferry.EndNumber
	ended   chan struct{}
}

func (l *loadWorkers) worker(id mothferry.WorkerID) *loadWorker {
	w, ok := l.workers[id]
	if !ok {
		w = &loadWorker{running: map[mothferry.TaskName]mothferry.RunNumber{}, ended: make(chan struct{})}
		l.workers[id] = w
	}
	return w
}

// Start implements mothferry.TaskWorkers.
func (l *loadWorkers) Start(_ context.Context, at mothferry.WorkerAddress, o mothferry.StartOrder) (mothferry.WorkerClock, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	w := l.worker(at.Worker)
	w.running[o.Task] = o.Run
	time.AfterFunc(time.Duration(float64(l.taskDuration)*(0.5+rand.Float64())), func() {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		delete(w.running, o.Task)
		w.last++
		l.done++
		w.ends = append(w.ends, mothferry.EndedTask{Number: w.last, Task: o.Task, Run: o.Run, Cause: mothferry.EndDone})
		close(w.ended)
		w.ended = make(chan struct{})
	})
	return loadClock(), nil
}

func loadClock() mothferry.WorkerClock { return mothferry.WorkerClock(time.Now().UnixNano()) }

// Stop implements mothferry.TaskWorkers.
func (l *loadWorkers) Stop(context.Context, mothferry.WorkerAddress, mothferry.TaskName, mothferry.RunNumber, mothferry.Epoch) (mothferry.WorkerClock, error) {
	return loadClock(), nil
}

// Pace implements mothferry.TaskWorkers.
func (l *loadWorkers) Pace(context.Context, mothferry.WorkerAddress, mothferry.TaskName, mothferry.RunNumber, int, mothferry.Epoch) (mothferry.WorkerClock, error) {
	return loadClock(), nil
}

// Poll implements mothferry.TaskWorkers.
func (l *loadWorkers) Poll(ctx context.Context, at mothferry.WorkerAddress, o mothferry.PollOrder) (mothferry.PollReport, error) {
	l.mutex.Lock()
	w := l.worker(at.Worker)
	for len(w.ends) > 0 && w.ends[0].Number <= o.LastEndSeen {
		w.ends = w.ends[1:]
	}
	if len(w.ends) == 0 && o.Wait > 0 {
		ended := w.ended
		l.mutex.Unlock()
		select {
		case <-ended:
		case <-time.After(o.Wait):
		case <-ctx.Done():
		}
		l.mutex.Lock()
	}
	defer l.mutex.Unlock()
	report := mothferry.PollReport{Clock: loadClock(), Ended: append([]mothferry.EndedTask(nil), w.ends...)}
	for name, run := range w.running {
		report.Running = append(report.Running, mothferry.RunningTask{Task: name, Run: run})
	}
	return report, nil
}

// loadCapacity is the capacity of each machine.
var loadCapacity = mothferry.Resources{Cores: 16000, Memory: 64 * mothferry.Gibibyte}

// loadListing lists the given number of workers.
type loadListing int

// Run implements WorkerSource.
func (n loadListing) Run(ctx context.Context, apply func([]mfsched.Worker, []mothferry.WorkerID, bool)) error {
	var workers []mfsched.Worker
	for i := range n {
		id := mothferry.WorkerID(fmt.Sprintf("w-%04d", i))
		workers = append(workers, mfsched.Worker{
			At: mothferry.WorkerAddress{Worker: id, Address: "10.0.0.1:1"}, Service: "s", Rack: mothferry.RackID(fmt.Sprintf("r-%d", i/8)),
			Capacity: loadCapacity,
		})
	}
	apply(workers, nil, true)
	<-ctx.Done()
	return ctx.Err()
}

// loadMachines lists the machines of the given number of workers.
type loadMachines int

func (n loadMachines) List(context.Context) ([]mothferry.Machine, error) {
	var machines []mothferry.Machine
	for i := range n {
		machines = append(machines, mothferry.Machine{
			Machine: mothferry.MachineID(fmt.Sprintf("m-%04d", i)), Pool: "s", State: mothferry.MachineUp,
			Worker: mothferry.WorkerID(fmt.Sprintf("w-%04d", i)), Capacity: loadCapacity,
		})
	}
	return machines, nil
}

func (loadMachines) Move(context.Context, mothferry.MachineID, mothferry.ServiceID, mothferry.MachineFence) error {
	return nil
}

func (loadMachines) StartMaintenance(context.Context, mothferry.MachineID, mothferry.WaveID, mothferry.MachineFence) error {
	return nil
}

// slowCommitRows takes as long for a commit as a production store.
type slowCommitRows struct{ *mfstandin.Rows }

// Commit implements mothferry.RowStore.
func (s slowCommitRows) Commit(ctx context.Context, txn mothferry.Txn) (mothferry.Version, error) {
	time.Sleep(7 * time.Millisecond)
	return s.Rows.Commit(ctx, txn)
}

// newTestRelay returns workers that are called over four relays on loopback.
func newTestRelay(ctx context.Context, b *testing.B, workers mothferry.TaskWorkers) (*mfrelay.Relay, func(context.Context)) {
	quiet := log.NewEntry(&log.Logger{Handler: discard.New(), Level: log.FatalLevel})
	var hosts []mfrecord.Host
	for i := range 4 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(b, err)
		address := listener.Addr().String()
		assert.NilError(b, listener.Close())
		server := &mfrelay.Server{Address: address, Workers: workers, Clock: mfclock.System{}, Log: quiet}
		go func() { _ = server.Run(ctx) }()
		hosts = append(hosts, mfrecord.Host{Daemon: mothferry.DaemonID(fmt.Sprintf("r-%d", i)), Address: address, Cores: 800})
	}
	r := &mfrelay.Relay{Daemon: "h", Direct: workers, OrderTimeout: time.Second, Clock: mfclock.System{}, Log: quiet}
	r.SetHosts(hosts)
	return r, func(ctx context.Context) { _ = r.Run(ctx) }
}

// BenchmarkPeakLoad runs an owner of 800 workers at a traffic peak for some seconds: 250 jobs
// per second, of two steps with six tasks each. It reports the CPU time per second, including
// that of the simulated workers, and the fraction of the tasks that were done by the end. In a
// profile the owner's loop took 0.18 of a core with one round of decisions per answer, and
// 0.11 with one every 4 ms.
func BenchmarkPeakLoad(b *testing.B) {
	const (
		rate     = 250
		duration = 6 * time.Second
	)
	for b.Loop() {
		rows := slowCommitRows{&mfstandin.Rows{}}
		workers := &loadWorkers{workers: map[mothferry.WorkerID]*loadWorker{}, taskDuration: 640 * time.Millisecond}
		config := &mfqueue.Config{
			Version: 1, Queues: []mfqueue.Queue{{ID: "q", Service: "s", MaxAttempts: 2, Stretch: 1.6, Latency: 600 * time.Millisecond}},
			Services: []mfqueue.Service{{ID: "s"}},
		}
		ctx, cancel := context.WithCancel(context.Background())
		relay, runRelay := newTestRelay(ctx, b, workers)
		o := &Owner{
			Daemon: "h", Store: rows, Workers: relay, WhileOwning: runRelay, Listing: loadListing(800), Machines: loadMachines(800),
			Waves: func() []mfsched.Wave { return nil }, Config: func() *mfqueue.Config { return config },
			Limits: mfsched.DefaultLimits(), Cores: 800, Clock: mfclock.System{}, Random: mfclock.SystemRandom{},
			Log: log.NewEntry(&log.Logger{Handler: discard.New(), Level: log.InfoLevel}),
		}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = o.Run(ctx)
		}()
		for !o.Owning() {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		before := cpuTime(b)
		tasks := submitAtRate(b, rows, rate, duration)
		time.Sleep(2500 * time.Millisecond)
		used := cpuTime(b) - before
		workers.mutex.Lock()
		b.ReportMetric(float64(workers.done)/float64(tasks), "done/task")
		workers.mutex.Unlock()
		b.ReportMetric(used.Seconds()/(duration.Seconds()+2.5), "cpu/s")
		cancel()
		<-ended
	}
}

// submitAtRate submits jobs at a rate for a while and returns the number of their tasks.
func submitAtRate(b *testing.B, store mothferry.RowStore, rate int, duration time.Duration) int {
	tasks := 0
	for began, i := time.Now(), 0; time.Since(began) < duration; i++ {
		id := mothferry.JobID(fmt.Sprintf("%016x", rand.Uint64()))
		step := mfjob.Step{Count: 6, Need: mothferry.Resources{Cores: 2200, Memory: 8 * mothferry.Gibibyte}, Estimate: 640 * time.Millisecond}
		next := step
		next.After = []int{0}
		value, err := mfjob.EncodeSubmission(mfjob.Submission{Queue: "q", Service: "s", Spec: "spec", Accepted: time.Now(), Steps: []mfjob.Step{step, next}})
		assert.NilError(b, err)
		go func() {
			_, err := store.Commit(context.Background(), mothferry.Txn{Writes: []mothferry.Write{{Table: mfrecord.TableInbox, Part: mfrecord.InboxPart(id), Key: mfrecord.JobKey(id), Value: value}}})
			assert.Check(b, err)
		}()
		tasks += 12
		time.Sleep(time.Until(began.Add(time.Duration(i+1) * time.Second / time.Duration(rate))))
	}
	return tasks
}

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
