package mothferry

import (
	"context"
	"time"
)

// TableID names one table of a row store.
type TableID string

// PartID names one part of a table. A transaction is cheapest within one part.
type PartID string

// RowStore is a transactional store of rows in tables whose changes can be
// followed in order.
type RowStore interface {
	// Commit applies txn and returns the version that every row it wrote now
	// has, which is higher than that of any row written before, in whichever
	// table. It fails with ErrConflict if a check does not hold, with
	// ErrDeclined if the store rejected the call without applying it, and with
	// ErrUnavailable if no reply came: then the change may have been applied,
	// or may still be applied later, as long as its checks hold.
	Commit(ctx context.Context, txn Txn) (Version, error)
	// Range returns rows of one part in ascending order of keys.
	Range(ctx context.Context, q RowRange) (RowPage, error)
	// Follow returns the rows of a table that changed after a version, in
	// order, waiting for at most wait until there is one. It fails with
	// ErrHistoryGone if the store no longer keeps the changes after that version.
	Follow(ctx context.Context, table TableID, after Version, wait time.Duration) (RowPage, error)
}

// RowRange selects rows of one part of a table by key: From inclusive, To exclusive.
type RowRange struct {
	Table TableID
	Part  PartID
	From  Key
	// To is empty for no upper bound.
	To Key
	// Limit is the maximum number of rows; zero leaves it to the store.
	Limit int
}

// RowPage is the result of a read: rows as of one moment.
type RowPage struct {
	Rows []Row
	// More is set if further rows follow the last one.
	More bool
	// Version is the newest version of the whole store at that moment.
	Version Version
}

// WorkerID names a worker. A restart brings a new id, or another IncarnationStart under the
// same id.
type WorkerID string

// IncarnationStart is when an incarnation of a worker started, in milliseconds since 1970 by the
// worker's time of day. It distinguishes incarnations with the same id; a later one has a
// larger value. Zero if it was not reported.
type IncarnationStart int64

// MachineID names the hardware that a worker runs on. It does not change with a restart.
type MachineID string

// WorkerClock is a reading of a worker's own monotonic clock.
type WorkerClock time.Duration

// WorkerAddress is where one incarnation of a worker accepts orders.
type WorkerAddress struct {
	Worker WorkerID
	// Address is an IP address and port.
	Address    string
	DataCentre DataCentre
}

// JobID names one job of a caller.
type JobID string

// QueueID names a queue of jobs.
type QueueID string

// TaskName names one task of a job. Occurrence is 0 for a job without a schedule.
type TaskName struct {
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// RunNumber counts the starts of a task, from 1 up.
type RunNumber int64

// EndNumber numbers the ends that one incarnation of a worker has listed, from 1 up.
type EndNumber int64

// Checkpoint is a task's saved progress; empty if there is none.
type Checkpoint string

// EndCause says why a run of a task ended.
type EndCause string

// Causes of a run's end.
const (
	// EndDone: the task completed its work.
	EndDone EndCause = "done"
	// EndFailed: the task or its worker failed.
	EndFailed EndCause = "failed"
	// EndStopped: it was ordered to stop.
	EndStopped EndCause = "stopped"
	// EndLeaseExpired: its worker's lease expired.
	EndLeaseExpired EndCause = "lapsed"
	// EndGangMember: another member of its gang ended.
	EndGangMember EndCause = "partner_ended"
	// EndGangIncomplete: other members of its gang did not arrive in time.
	EndGangIncomplete EndCause = "alone"
)

// StartOrder orders a worker to start one run of a task.
type StartOrder struct {
	Task       TaskName
	Run        RunNumber
	Spec       string
	Until      WorkerClock
	Epoch      Epoch
	Checkpoint Checkpoint
	// Ticket is the adviser's permission; empty where none is needed.
	Ticket string
}

// PollOrder asks a worker which tasks it runs and extends the lease of all of them.
type PollOrder struct {
	Epoch Epoch
	// Until is when the lease ends; zero leaves it unchanged.
	Until WorkerClock
	// LastEndSeen is the number of the last end that need not be listed again.
	LastEndSeen EndNumber
	// Wait is how long the worker may wait for a task to end before it answers.
	Wait time.Duration
}

// RunningTask is one entry of a worker's list of running tasks.
type RunningTask struct {
	Task       TaskName
	Run        RunNumber
	Checkpoint Checkpoint
	// Percent is how much of the work is done; for a lasting task 100 means that it is serving.
	Percent int
	// TailLatency is the tail response time of a serving task; it has no meaning for other tasks.
	TailLatency time.Duration
}

// EndedTask is one entry of a worker's list of ends.
type EndedTask struct {
	Number     EndNumber
	Task       TaskName
	Run        RunNumber
	Cause      EndCause
	Checkpoint Checkpoint
}

// PollReport is a worker's answer to a poll.
type PollReport struct {
	Clock WorkerClock
	// StartedAt is when the answering incarnation started.
	StartedAt IncarnationStart
	Running   []RunningTask
	Ended     []EndedTask
}

// TaskWorkers sends orders to workers of tasks. Errors: ErrOrderRefused if the
// worker did nothing, ErrIncarnationEnded if that incarnation has ended,
// ErrUnavailable if no answer came: then the order may have been executed, or
// may still be executed later.
type TaskWorkers interface {
	Start(ctx context.Context, at WorkerAddress, order StartOrder) (WorkerClock, error)
	Stop(ctx context.Context, at WorkerAddress, task TaskName, run RunNumber, epoch Epoch) (WorkerClock, error)
	Poll(ctx context.Context, at WorkerAddress, order PollOrder) (PollReport, error)
	// Pace limits a task to a percentage of its speed.
	Pace(ctx context.Context, at WorkerAddress, task TaskName, run RunNumber, percent int, epoch Epoch) (WorkerClock, error)
}

// Adviser decides which workers may run a step.
type Adviser interface {
	// Advise returns tickets for those of the workers that may run the step,
	// and how long they are valid.
	Advise(ctx context.Context, job JobID, occurrence, step int, workers []WorkerID) (map[WorkerID]string, time.Duration, error)
}

// MachineState is the state of a machine as the platform reports it.
type MachineState string

// States of a machine.
const (
	MachineUp          MachineState = "up"
	MachineMoving      MachineState = "moving"
	MachineMaintenance MachineState = "upkeep"
	MachineDown        MachineState = "down"
	MachineUnknown     MachineState = "unknown"
)

// Machine is one machine as the platform lists it.
type Machine struct {
	Machine    MachineID
	Pool       ServiceID
	State      MachineState
	DataCentre DataCentre
	Labels     []string
	// Kind tells which machines can take each other's place in a pool.
	Kind     MachineKind
	Capacity Resources
	Worker   WorkerID
}

// MachineKind is the kind of a machine, which stays the same when it moves to another pool.
type MachineKind string

// MachineFence names who requests a change of a machine, and under which epoch.
type MachineFence struct {
	Holder DaemonID
	Epoch  Epoch
}

// WaveID numbers a maintenance wave.
type WaveID int

// Machines lists the platform's machines, moves them between pools and takes
// them out of service for maintenance. A change immediately ends all tasks on
// the machine.
type Machines interface {
	List(ctx context.Context) ([]Machine, error)
	Move(ctx context.Context, machine MachineID, pool ServiceID, fence MachineFence) error
	StartMaintenance(ctx context.Context, machine MachineID, wave WaveID, fence MachineFence) error
}
