package mfstandin

import (
	"context"
	"net"
	"sort"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"mothferry"
	"mothferry/mfhost"
)

// stopTimeout is how long a stopping runner may continue with requests in flight.
const stopTimeout = time.Minute

// WorkerFaults are the injected faults of one worker.
type WorkerFaults struct {
	// FailTasks fails every task that is started from now on.
	FailTasks bool `json:"fail_tasks"`
	// Dead kills the tasks and removes the worker from the host list after the list's lag.
	Dead bool `json:"dead"`
	// Leaving lists the worker as leaving after the list's lag.
	Leaving bool `json:"leaving"`
}

// Workers stands in for the workers, their pools and the host list.
type Workers struct {
	Clock mothferry.Clock
	// StartDelay is the time from a task's start until it serves.
	StartDelay time.Duration
	// Address is the IP address at which runners listen.
	Address string
	Journal Journal

	mutex      sync.Mutex
	listLag    time.Duration
	abruptStop bool
	workers    map[mothferry.HostID]*worker
	epochs     map[mothferry.Shard]mothferry.Epoch
}

type worker struct {
	record mfhost.Record
	faults WorkerFaults
	tasks  map[mothferry.TaskID]*task
	// The host list shows previousFaults until its lag has passed since faultsChangedAt.
	previousFaults  WorkerFaults
	faultsChangedAt time.Time
}

type task struct {
	spec   mothferry.TaskSpec
	state  mothferry.TaskState
	runner *Runner
}

// AddHost adds a worker.
func (w *Workers) AddHost(r mfhost.Record) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.workers == nil {
		w.workers = map[mothferry.HostID]*worker{}
		w.epochs = map[mothferry.Shard]mothferry.Epoch{}
	}
	w.workers[r.Host] = &worker{record: r, tasks: map[mothferry.TaskID]*task{}}
}

// Configure sets how long the host list shows an old state, and whether tasks are killed
// instead of stopped.
func (w *Workers) Configure(lag time.Duration, abrupt bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.listLag, w.abruptStop = lag, abrupt
}

// SetFaults sets the injected faults of one worker.
func (w *Workers) SetFaults(host mothferry.HostID, f WorkerFaults) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	k, ok := w.workers[host]
	if !ok {
		return &mothferry.ErrNotFound{Kind: "worker", Name: string(host)}
	}
	k.previousFaults, k.faults, k.faultsChangedAt = k.faults, f, w.Clock.Now()
	if !f.Dead {
		return nil
	}
	for _, t := range k.tasks {
		if t.runner != nil {
			t.runner.SetFaults(RunnerFaults{Dead: true})
		}
	}
	k.tasks = map[mothferry.TaskID]*task{}
	return nil
}

// Runner returns the runner of a task.
func (w *Workers) Runner(id mothferry.TaskID) (*Runner, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, k := range w.workers {
		if t, ok := k.tasks[id]; ok && t.runner != nil {
			return t.runner, nil
		}
	}
	return nil, &mothferry.ErrNotFound{Kind: "runner", Name: string(id)}
}

// Runners returns the state of every runner, ordered by service and task.
func (w *Workers) Runners() []RunnerStatus {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	out := []RunnerStatus{}
	for _, k := range w.workers {
		for _, t := range k.tasks {
			if t.runner != nil {
				out = append(out, t.runner.Status())
			}
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Service != out[j].Service {
			return out[i].Service < out[j].Service
		}
		return out[i].Runner < out[j].Runner
	})
	return out
}

// Hosts implements mothferry.HostList.
func (w *Workers) Hosts(_ context.Context, dc mothferry.DataCentre) ([]mothferry.ListedHost, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var hosts []mothferry.ListedHost
	for id, k := range w.workers {
		shown := k.faults
		if w.Clock.Now().Sub(k.faultsChangedAt) < w.listLag {
			shown = k.previousFaults
		}
		if k.record.DataCentre != dc || shown.Dead {
			continue
		}
		state := mothferry.HostLive
		if shown.Leaving {
			state = mothferry.HostLeaving
		}
		hosts = append(hosts, mothferry.ListedHost{Host: id, State: state})
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Host < hosts[j].Host })
	return hosts, nil
}

// Reports implements mothferry.WorkerAPI.
func (w *Workers) Reports(_ context.Context, dc mothferry.DataCentre, hosts []mothferry.HostID) ([]mothferry.WorkerReport, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var reports []mothferry.WorkerReport
	for _, id := range hosts {
		k, ok := w.workers[id]
		if !ok || k.faults.Dead || k.record.DataCentre != dc {
			continue
		}
		reports = append(reports, mothferry.WorkerReport{Host: id, Tasks: k.statuses()})
	}
	return reports, nil
}

func (k *worker) statuses() []mothferry.TaskStatus {
	var out []mothferry.TaskStatus
	for id, t := range k.tasks {
		status := mothferry.TaskStatus{Task: id, Service: t.spec.Service, State: t.state, Used: t.spec.Resources}
		if t.runner != nil {
			status.Address = t.runner.Listener.Addr().String()
		}
		out = append(out, status)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Task < out[j].Task })
	return out
}

// Start implements mothferry.WorkerAPI.
func (w *Workers) Start(_ context.Context, host mothferry.HostID, f mothferry.Fence, spec mothferry.TaskSpec) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	k, err := w.fencedWorker(host, f)
	if err != nil {
		return err
	}
	if _, ok := k.tasks[spec.Task]; ok {
		return nil
	}
	t := &task{spec: spec, state: mothferry.TaskStarting}
	k.tasks[spec.Task] = t
	if k.faults.FailTasks {
		t.state = mothferry.TaskFailed
		return nil
	}
	go w.serveAfterDelay(k, t)
	return nil
}

func (w *Workers) serveAfterDelay(k *worker, t *task) {
	<-w.Clock.After(w.StartDelay)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if k.tasks[t.spec.Task] != t {
		return
	}
	listener, err := net.Listen("tcp", net.JoinHostPort(w.Address, "0"))
	if err != nil {
		t.state = mothferry.TaskFailed
		return
	}
	t.runner = &Runner{
		Task: t.spec.Task, Service: t.spec.Service, Slots: t.spec.Slots,
		Connections: t.spec.Connections, Journal: &w.Journal, Listener: listener,
	}
	t.runner.Start()
	t.state = mothferry.TaskServing
}

// Stop implements mothferry.WorkerAPI.
func (w *Workers) Stop(_ context.Context, host mothferry.HostID, f mothferry.Fence, id mothferry.TaskID) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	k, err := w.fencedWorker(host, f)
	if err != nil {
		return err
	}
	t, ok := k.tasks[id]
	switch {
	case !ok || t.state == mothferry.TaskStopping:
		return nil
	case t.runner == nil:
		delete(k.tasks, id)
		return nil
	}
	t.state = mothferry.TaskStopping
	if w.abruptStop {
		t.runner.SetFaults(RunnerFaults{Dead: true})
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		t.runner.Stop(ctx)
		w.mutex.Lock()
		defer w.mutex.Unlock()
		delete(k.tasks, id)
	}()
	return nil
}

// Drain implements mothferry.Pools.
func (w *Workers) Drain(_ context.Context, host mothferry.HostID, f mothferry.Fence) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	k, err := w.fencedWorker(host, f)
	if err != nil {
		return err
	}
	k.previousFaults, k.faultsChangedAt = k.faults, w.Clock.Now()
	k.faults.Leaving = true
	return nil
}

// Reboot implements mothferry.Pools. A host reboots only when it is empty.
func (w *Workers) Reboot(_ context.Context, host mothferry.HostID, f mothferry.Fence) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	k, err := w.fencedWorker(host, f)
	if err != nil {
		return err
	}
	if len(k.tasks) > 0 {
		return trace.BadParameter("host %s still has %d tasks", host, len(k.tasks))
	}
	k.previousFaults, k.faultsChangedAt = k.faults, w.Clock.Now()
	k.faults.Leaving = false
	return nil
}

// fencedWorker returns a worker. It refuses an epoch older than the latest one of the shard.
func (w *Workers) fencedWorker(host mothferry.HostID, f mothferry.Fence) (*worker, error) {
	k, ok := w.workers[host]
	if !ok || k.faults.Dead {
		return nil, &mothferry.ErrNotFound{Kind: "worker", Name: string(host)}
	}
	if latest := w.epochs[f.Shard]; f.Epoch < latest {
		return nil, &mothferry.ErrFenced{Fence: f, Latest: latest}
	}
	w.epochs[f.Shard] = f.Epoch
	return k, nil
}
