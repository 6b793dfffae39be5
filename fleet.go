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
	// has, which is higher than that of any row written before, in whichever table. It fails with ErrConflict if a check does not hold, with ErrDeclined
	// if the store certainly did nothing, and with ErrUnavailable if no reply
	// came: then the change may have been made, or may still be made later, as
	// long as its checks hold.
	Commit(ctx context.Context, txn Txn) (Version, error)
	// Range returns rows of one part in ascending order of keys.
	Range(ctx context.Context, q RowRange) (RowPage, error)
	// Follow returns the rows of a table that changed after a version, in
	// order, waiting for at most wait until there is one. It fails with
	// ErrHistoryGone if the store has forgotten changes after that version.
	Follow(ctx context.Context, table TableID, after Version, wait time.Duration) (RowPage, error)
}

// RowRange selects rows of one part of a table by key: From inclusive, To exclusive.
type RowRange struct {
	Table TableID
	Part  PartID
	From  Key
	// To is empty for no upper bound.
	To Key
	// Limit is the largest number of rows wanted; zero leaves it to the store.
	Limit int
}

// RowPage is a store's answer to a read: rows as of one moment.
type RowPage struct {
	Rows []Row
	// More says that rows beyond the last one were left out.
	More bool
	// Version is the newest version of the whole store at that moment.
	Version Version
}

// WorkerID names a worker. A restart brings a new id, or another LifeStart under the same.
type WorkerID string

// IncarnationStart is when a life of a worker began, in milliseconds since 1970 by its own time of
// day. It tells lives apart that have one id; a later life has a larger one. Zero where it is
// not told.
type IncarnationStart int64

// MachineID names the hardware below a worker. It stays the same over restarts.
type MachineID string

// WorkerClock is a reading of a worker's own steady clock.
type WorkerClock time.Duration

// WorkerAddress is where one life of a worker takes orders.
type WorkerAddress struct {
	Worker WorkerID
	// Address is an IP address and port.
	Address string
	// DataCentre is where it is.
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

// EndNumber counts the ends that one life of a worker has listed, from 1 up.
type EndNumber int64

// Checkpoint is a task's saved progress; empty if there is none.
type Checkpoint string

// EndCause says why a run of a task ended.
type EndCause string

// Causes of a run's end.
const (
	// EndDone: the task did its work.
	EndDone EndCause = "done"
	// EndFailed: the task or its worker failed.
	EndFailed EndCause = "failed"
	// EndStopped: it was told to stop.
	EndStopped EndCause = "stopped"
	// EndLeaseExpired: its worker's lease ran out.
	EndLeaseExpired EndCause = "lapsed"
	// EndGangMember: another member of its gang ended.
	EndGangMember EndCause = "partner_ended"
	// EndGangIncomplete: the other members of its gang did not arrive in time.
	EndGangIncomplete EndCause = "alone"
)

// StartOrder tells a worker to start one run of a task.
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

// PollOrder asks a worker what it runs and extends the lease of all of it.
type PollOrder struct {
	Epoch Epoch
	// Until is when the lease ends; zero leaves it as it is.
	Until WorkerClock
	// LastEndSeen is the last end that need not be listed again.
	LastEndSeen EndNumber
	// Wait is how long the worker may wait for an end before it answers.
	Wait time.Duration
}

// RunningTask is one entry of a worker's list of what runs.
type RunningTask struct {
	Task       TaskName
	Run        RunNumber
	Checkpoint Checkpoint
	// Percent is how much of the work is done; for a lasting task 100 means at work.
	Percent int
	// TailLatency is a serving task's response time at its tail. Figures of others are left out.
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

// PollReport is a worker's answer to a look.
type PollReport struct {
	Clock WorkerClock
	// StartedAt is when the life that answers began.
	StartedAt IncarnationStart
	Running   []RunningTask
	Ended     []EndedTask
}

// TaskWorkers gives orders to workers of tasks. Errors: ErrOrderRefused if
// the worker did nothing, ErrOtherLife if that life is over, ErrUnavailable if
// no answer came: then the order may have been carried out, or may be later.
type TaskWorkers interface {
	Start(ctx context.Context, at WorkerAddress, order StartOrder) (WorkerClock, error)
	Stop(ctx context.Context, at WorkerAddress, task TaskName, run RunNumber, epoch Epoch) (WorkerClock, error)
	Poll(ctx context.Context, at WorkerAddress, order PollOrder) (PollReport, error)
	// Pace lets a task work at a percentage of its speed.
	Pace(ctx context.Context, at WorkerAddress, task TaskName, run RunNumber, percent int, epoch Epoch) (WorkerClock, error)
}

// Adviser knows which workers may run a step.
type Adviser interface {
	// Advise returns tickets for those of the workers that may run the step,
	// and how long they are valid.
	Advise(ctx context.Context, job JobID, occurrence, step int, workers []WorkerID) (map[WorkerID]string, time.Duration, error)
}

// MachineState is what the platform says of a machine.
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
	Capacity   Resources
	Worker     WorkerID
}

// MachineFence names who asks for a change of a machine and under which epoch.
type MachineFence struct {
	Holder DaemonID
	Epoch  Epoch
}

// WaveID numbers a wave of upkeep.
type WaveID int

// Machines lists the platform's machines, moves them between pools and takes
// them down for upkeep. A change ends all that runs on the machine at once.
type Machines interface {
	List(ctx context.Context) ([]Machine, error)
	Move(ctx context.Context, machine MachineID, pool ServiceID, fence MachineFence) error
	StartMaintenance(ctx context.Context, machine MachineID, wave WaveID, fence MachineFence) error
}
