package mfstandin

import (
	"context"
	"sync"
	"time"

	"mothferry"
	"mothferry/mfsched"
)

// TaskWorker is one worker that runs tasks of jobs, and the machine that it runs on. It
// refuses orders with a stale epoch and records tasks that were started although they ran or
// had run. The exported fields are set before use.
type TaskWorker struct {
	Service mothferry.ServiceID
	// TaskTime is the time of each task.
	TaskTime time.Duration
	// Cores is the worker's capacity.
	Cores mothferry.Millicores
	Clock mothferry.Clock

	mutex        sync.Mutex
	epoch        mothferry.Epoch
	running      map[mothferry.TaskName]mothferry.RunNumber
	done         map[mothferry.TaskName]int
	ends         []mothferry.EndedTask
	lastEnd      mothferry.EndNumber
	startedTwice []mothferry.TaskName
}

// taskWorkerID is the id of the worker's only incarnation.
const taskWorkerID mothferry.WorkerID = "worker-1"

// StartedTwice returns the tasks that were started although they ran or had run.
func (w *TaskWorker) StartedTwice() []mothferry.TaskName {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return append([]mothferry.TaskName{}, w.startedTwice...)
}

// EndedTasks returns the number of tasks that have ended.
func (w *TaskWorker) EndedTasks() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.done)
}

func (w *TaskWorker) clock() mothferry.WorkerClock {
	return mothferry.WorkerClock(w.Clock.Now().UnixNano())
}

// checkEpoch refuses a stale epoch and records a newer one. The mutex is held.
func (w *TaskWorker) checkEpoch(epoch mothferry.Epoch) error {
	if epoch < w.epoch {
		return &mothferry.ErrOrderRefused{Refusal: mothferry.RefusalEpoch}
	}
	w.epoch = epoch
	return nil
}

// Start implements mothferry.TaskWorkers.
func (w *TaskWorker) Start(_ context.Context, _ mothferry.WorkerAddress, o mothferry.StartOrder) (mothferry.WorkerClock, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if err := w.checkEpoch(o.Epoch); err != nil {
		return 0, err
	}
	if w.running == nil {
		w.running, w.done = map[mothferry.TaskName]mothferry.RunNumber{}, map[mothferry.TaskName]int{}
	}
	if _, running := w.running[o.Task]; running || w.done[o.Task] > 0 {
		w.startedTwice = append(w.startedTwice, o.Task)
	}
	w.running[o.Task] = o.Run
	time.AfterFunc(w.TaskTime, func() { w.end(o.Task, o.Run) })
	return w.clock(), nil
}

func (w *TaskWorker) end(task mothferry.TaskName, run mothferry.RunNumber) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.lastEnd++
	w.done[task]++
	delete(w.running, task)
	w.ends = append(w.ends, mothferry.EndedTask{Number: w.lastEnd, Task: task, Run: run, Cause: mothferry.EndDone})
}

// Stop implements mothferry.TaskWorkers. Tasks are so short that they are left to end by
// themselves.
func (w *TaskWorker) Stop(_ context.Context, _ mothferry.WorkerAddress, _ mothferry.TaskName, _ mothferry.RunNumber, epoch mothferry.Epoch) (mothferry.WorkerClock, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.clock(), w.checkEpoch(epoch)
}

// Pace implements mothferry.TaskWorkers.
func (w *TaskWorker) Pace(context.Context, mothferry.WorkerAddress, mothferry.TaskName, mothferry.RunNumber, int, mothferry.Epoch) (mothferry.WorkerClock, error) {
	return w.clock(), nil
}

// Poll implements mothferry.TaskWorkers.
func (w *TaskWorker) Poll(_ context.Context, _ mothferry.WorkerAddress, o mothferry.PollOrder) (mothferry.PollReport, error) {
	time.Sleep(min(o.Wait, w.TaskTime))
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if err := w.checkEpoch(o.Epoch); err != nil {
		return mothferry.PollReport{}, err
	}
	report := mothferry.PollReport{Clock: w.clock()}
	for t, run := range w.running {
		report.Running = append(report.Running, mothferry.RunningTask{Task: t, Run: run, Percent: 50})
	}
	for _, e := range w.ends {
		if e.Number > o.LastEndSeen {
			report.Ended = append(report.Ended, e)
		}
	}
	return report, nil
}

// Run reports the worker, as the platform's list of workers does.
func (w *TaskWorker) Run(ctx context.Context, apply func(changed []mfsched.Worker, gone []mothferry.WorkerID, whole bool)) error {
	apply([]mfsched.Worker{{
		At:      mothferry.WorkerAddress{Worker: taskWorkerID, Address: "127.0.0.1:1"},
		Service: w.Service, Capacity: w.capacity(),
	}}, nil, true)
	<-ctx.Done()
	return ctx.Err()
}

func (w *TaskWorker) capacity() mothferry.Resources {
	return mothferry.Resources{Cores: w.Cores, Memory: 64 * mothferry.Gibibyte}
}

// List implements mothferry.Machines.
func (w *TaskWorker) List(context.Context) ([]mothferry.Machine, error) {
	return []mothferry.Machine{{Machine: "machine-1", Pool: w.Service, State: mothferry.MachineUp, Worker: taskWorkerID, Capacity: w.capacity()}}, nil
}

// Move implements mothferry.Machines. It refuses every move.
func (w *TaskWorker) Move(context.Context, mothferry.MachineID, mothferry.ServiceID, mothferry.MachineFence) error {
	return &mothferry.ErrOrderRefused{Refusal: mothferry.RefusalMachineBusy}
}

// StartMaintenance implements mothferry.Machines. It refuses all maintenance.
func (w *TaskWorker) StartMaintenance(context.Context, mothferry.MachineID, mothferry.WaveID, mothferry.MachineFence) error {
	return &mothferry.ErrOrderRefused{Refusal: mothferry.RefusalMachineBusy}
}
